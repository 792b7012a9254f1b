"""Streaming of bodies: limits on their memory, and the path of a request's body to a server."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from proxy.memory import MB, Held, HeldMemory, MemoryAccount, held_limit

MAX_BUFFERED_BODY = 64 * 1024  # bytes; a body up to this size is buffered completely and can be sent again
MAX_BODY = 32 << 20  # bytes
MIN_BODY_RATE = 40_000.0  # bytes per second; the slowest peers write 64 kB in one second
BODY_STALL_TIMEOUT_S = 20.0  # a peer that makes no progress with a body for this long counts as dead
MAX_CHUNK, MIN_CHUNK = 64 * 1024, 2 * 1024  # bytes per read
CHUNKS_PER_BODY = 4  # chunks of a body in memory at most: being read, unsent, in the outgoing connection's buffer
BODY_MEMORY_SHARE = 0.125  # share of the process's memory limit that streamed bodies may use
STREAMED_SHARE = 0.5  # of the limit on all that is held; the upper limit of the share above

_read_buffer = memoryview(bytearray(MAX_CHUNK))  # shared by all connections: each read is consumed before the next


class BodyBudget:
    """Limits the memory of all bodies in the process; there is one instance per process."""

    def __init__(self, memory_mb: float) -> None:
        self._memory_mb = memory_mb
        self._resident = 0.0  # bytes
        self._processes = 1
        self.memory = HeldMemory()
        self.total = 0  # bytes of streamed bodies
        self._set_limits()
        self.streaming = 0  # number of bodies that are being streamed, and of connections with unparsed data

    def set_resident(self, resident: float) -> None:
        """States how many bytes the process takes before the first client; NaN if that is not known."""
        self._resident = resident
        self._set_limits()

    def divide(self, processes: int) -> None:
        """States how many processes share the memory."""
        self._processes = processes
        self._set_limits()

    def _set_limits(self) -> None:
        memory_mb = self._memory_mb / self._processes
        self.memory.limit = held_limit(memory_mb, self._resident)
        self.total = int(min(memory_mb * MB * BODY_MEMORY_SHARE, STREAMED_SHARE * self.memory.limit))

    @property
    def held(self) -> int:
        """Bytes of request bodies that are buffered completely."""
        return self.memory.by_kind[Held.BODY]

    def chunk_size(self) -> int:
        """Bytes to read at a time from each connection; the more bodies are streamed or may come, the fewer."""
        if self.memory.is_tight():
            return MIN_CHUNK
        bodies = self.streaming + self.memory.open_requests() + 1
        return min(max(self.total // (CHUNKS_PER_BODY * bodies), MIN_CHUNK), MAX_CHUNK)

    def answer_limit(self) -> int:
        """Bytes up to which an answer is passed on whole: less where the answers to all open requests had no room."""
        share = int(self.memory.free() / (self.memory.open_requests() + 1))
        return min(max(share, MIN_CHUNK), MAX_BUFFERED_BODY)

    def stream_threshold(self, length: int | None) -> int:
        """Bytes of a body that are buffered before it is streamed; a body that may end before is sent as a whole."""
        if length is None or length <= MAX_BUFFERED_BODY:
            return MAX_BUFFERED_BODY
        return min(MAX_BUFFERED_BODY, self.chunk_size())

    def read_buffer(self) -> memoryview:
        return _read_buffer[: self.chunk_size()]


class RequestBodyStream:
    """A request's body that is streamed to one server. Sent chunks are not kept, so it can't be sent again."""

    __slots__ = (
        "_account",
        "_budget",
        "_chunks",
        "_on_data",
        "_update_reading",
        "ended",
        "length",
        "on_sending_started",
        "received_bytes",
        "sending_started",
        "unsent_bytes",
    )

    def __init__(
        self,
        budget: BodyBudget,
        length: int | None,
        first: bytes,
        update_reading: Callable[[], None],
        account: MemoryAccount,
    ) -> None:
        self._budget = budget
        self._account = account
        self._chunks = deque((first,))
        self._on_data: Callable[[], None] | None = None
        self._update_reading = update_reading  # pauses or resumes reading from the client
        self.length = length  # bytes; None for a chunked body
        self.unsent_bytes = self.received_bytes = len(first)
        account.set(Held.STREAM, self.unsent_bytes)
        self.ended = self.sending_started = False
        self.on_sending_started: Callable[[], None] = lambda: None

    def is_full(self) -> bool:
        """At least one chunk is unsent: reading from the client pauses."""
        return self.unsent_bytes >= self._budget.chunk_size()

    def push(self, data: bytes) -> None:
        self._chunks.append(data)
        self.unsent_bytes += len(data)
        self.received_bytes += len(data)
        self._account.set(Held.STREAM, self.unsent_bytes)
        if self._on_data is not None:
            self._on_data()

    def end(self) -> None:
        self.ended = True
        if self._on_data is not None:
            self._on_data()

    def attach(self, on_data: Callable[[], None]) -> None:
        """Sets `on_data`, and calls it at once and when data was added or the body ended."""
        self._on_data = on_data
        on_data()

    def detach(self) -> None:
        self._on_data = None

    def take(self) -> bytes:
        """Removes and returns all unsent data. The first data that is taken marks the body as partly sent."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.unsent_bytes = 0
        self._account.set(Held.STREAM, 0)
        if data and not self.sending_started:
            self.sending_started = True
            self.on_sending_started()
        self._update_reading()
        return data

    def drop(self) -> None:
        """Discards the unsent data; no server needs it any more."""
        self._on_data = None
        self.on_sending_started = self._update_reading = lambda: None  # breaks a reference cycle with the request
        self._chunks.clear()
        self.unsent_bytes = 0
        self._account.set(Held.STREAM, 0)

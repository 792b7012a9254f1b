"""Streaming of bodies: limits on their memory, and the path of a request's body to a server."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from proxy.memory import Held, HeldMemory, MemoryAccount

MAX_BUFFERED_BODY = 64 * 1024  # bytes; a body up to this size is buffered completely and can be sent again
MAX_BODY = 32 << 20  # bytes
BODY_STALL_TIMEOUT_S = 20.0  # a peer that makes no progress with a body for this long counts as dead
MAX_CHUNK, MIN_CHUNK = 64 * 1024, 8 * 1024  # bytes per read
CHUNKS_PER_BODY = 4  # chunks of a body in memory at most: being read, unsent, in the outgoing connection's buffer
BODY_MEMORY_SHARE = 0.125  # share of the process's memory limit that bodies may use
MB = 1_000_000

_read_buffer = memoryview(bytearray(MAX_CHUNK))  # shared by all connections: each read is consumed before the next


class BodyBudget:
    """Limits the memory of all bodies in the process; there is one instance per process."""

    def __init__(self, memory_mb: float) -> None:
        self.total = int(memory_mb * MB * BODY_MEMORY_SHARE)
        self.streaming = 0  # number of bodies that are being streamed, and of connections with unparsed data
        self.memory = HeldMemory()

    @property
    def held(self) -> int:
        """Bytes of request bodies that are buffered completely."""
        return self.memory.by_kind[Held.BODY]

    def chunk_size(self) -> int:
        """Bytes to read at a time from each connection; the more bodies are streamed, the fewer."""
        return min(max(self.total // (CHUNKS_PER_BODY * (self.streaming + 1)), MIN_CHUNK), MAX_CHUNK)

    def has_room(self) -> bool:
        return self.held <= self.total

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

"""Connections to backends: sends attempts and reports how they end as an `Outcome` of the balancer.

A connection carries one exchange at a time. Nothing is sent again here: if a reused connection breaks during a request,
that is reported as an outcome. An answer of up to 64 KiB is passed on whole; a longer one is streamed to a sink and
read only as fast as the sink accepts it.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, cast

import httptools

from balancing.api import Outcome
from proxy.clock import has_elapsed
from proxy.config import Address
from proxy.descriptors import Descriptors
from proxy.flow import BODY_STALL_TIMEOUT_S, MAX_BODY, MAX_BUFFERED_BODY, BodyBudget, RequestBodyStream
from proxy.memory import SERVER_CONNECTION_BYTES, Held, MemoryAccount
from proxy.metrics import ProxyMetrics
from proxy.receiving import ReceiveProgress
from proxy.request_parser import MAX_HEAD, MAX_HEADER_FIELDS

MAX_FRAMING = 8  # bytes on the wire per byte of the body, for a body in small chunks
# A backend may send a second answer some ms after the first. On a connection that is reused immediately it would be
# taken for the answer to the next request, so a connection is reused only after this time. Data that arrives meanwhile,
# or is still unread at the reuse, closes the connection.
MIN_IDLE_S = 0.025
HOLD_CHECK_S = 0.5  # interval between checks whether an answer without a length may be a long one
UNREAD_CHECK_S = 0.1  # interval between checks of an answer that the proxy itself does not read at once
HOLD_UNSIZED_S = 1.0  # for this long it is held back however slowly it comes; over 2 s a long one counts as lost
NEVER_RAN_STATUS = (503, 504)


@dataclass(slots=True)
class Answer:
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Sink(Protocol):
    """Receives a long answer while it is read."""

    def forward(self, data: bytes) -> None: ...


class Source(Protocol):
    """Controls the reading of a streamed answer."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Start(Enum):
    """Whether the first byte of an attempt may be sent."""

    NOW = "now"
    LATER = "later"  # held on its connection until `Exchange.resume_start`
    NEVER = "never"


Done = Callable[[Outcome, Answer | None], None]  # OK without an answer: it was streamed to the sink completely
# Called when a long answer starts, with its headers and its length if known. Without a sink it is not needed.
StreamStarted = Callable[[list[tuple[bytes, bytes]], int | None, Source], Sink | None]


def outcome_of(answer: Answer) -> Outcome:
    """Only status 200 counts as served. Only a 503 or 504 that is marked by a header proves that the request did not
    run; with any other status it may have run."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in NEVER_RAN_STATUS:
        for name, value in answer.headers:
            if name.lower() == b"x-never-ran" and value.strip() == b"1":
                return Outcome.FULL
    return Outcome.ERROR


class NotSent(Enum):
    """Why an attempt was never sent; the values are labels of metrics."""

    REFUSED = "connection refused"
    CONNECT_TIMEOUT = "no connection in time"
    UNREAD_DATA = "data before the request"
    TOO_LATE = "not allowed to start any more"
    BROKEN = "connection broken before the end of the request"


class Exchange:
    """One attempt on a connection. `done` is called once, unless the exchange is aborted first."""

    __slots__ = ("body", "connection", "done", "may_start", "on_stream", "payload")

    def __init__(
        self,
        payload: Callable[[], bytes],
        done: Done,
        on_stream: StreamStarted = lambda *_: None,
        body: RequestBodyStream | None = None,
        may_start: Callable[[], Start] = lambda: Start.NOW,
    ) -> None:
        self.payload = payload  # built when it is written, since it contains the time left
        self.done = done
        self.on_stream = on_stream
        self.may_start = may_start  # called right before the first byte is sent
        self.body = body  # a long body, which is streamed after the payload
        self.connection: Connection | None = None

    def is_written(self) -> bool:
        return self.connection is not None and self.connection.is_written()

    def is_unsent(self) -> bool:
        """Whether no byte has been sent: the connection is still being established, or the attempt is held."""
        return self.connection is not None and not self.connection.has_started()

    def resume_start(self) -> None:
        """Checks again whether a held exchange may start."""
        if self.connection is not None:
            self.connection.resume_start()

    def overtime_s(self, overdue_s: float) -> float:
        """For how many seconds its answer may still go on; the client's time is over since `overdue_s`."""
        return self.connection.overtime_s(overdue_s) if self.connection is not None else 0.0

    def pass_on(self) -> bool:
        """Begins to stream what has come of an answer without a length. False if it does not come any more."""
        return self.connection is not None and self.connection.pass_on_unsized()

    def abort(self) -> None:
        """Closes the connection, so that the backend can stop working and a late answer cannot be taken for another
        request's."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.exchange = None
            connection.abort()
        if self.body is not None:
            self.body.detach()


class Connection(asyncio.BufferedProtocol):
    """A connection to a backend, which carries one exchange after the other."""

    __slots__ = (
        "__weakref__",
        "_account",
        "_answer",
        "_body",
        "_connect_task",
        "_headers",
        "_hold_timer",
        "_in_head",
        "_length",
        "_parser",
        "_paused",
        "_paused_at",
        "_progress_at",
        "_reading_paused",
        "_receive_progress",
        "_received",
        "_resumed_at",
        "_reusable",
        "_sent_end",
        "_sink",
        "_size",
        "_stall_timer",
        "_stream_complete",
        "_transport",
        "_until_close",
        "_write_started",
        "address",
        "closed",
        "exchange",
        "idle_since",
        "idle_timer",
        "pool",
        "server",
    )

    def __init__(self, pool: Pool, server: str, address: Address, exchange: Exchange) -> None:
        self.pool = pool
        self.server = server
        self.address = address
        self.exchange: Exchange | None = exchange
        self.idle_timer: asyncio.TimerHandle | None = None
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._write_started = self._paused = False
        self._sent_end = True  # whether the end of a streamed request body has been written
        self._account = MemoryAccount(pool.budget.memory)
        self._account.add(Held.CONNECTION, SERVER_CONNECTION_BYTES)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._size = self._received = 0
        self._length: int | None = None  # of the answer's body, if known
        self._hold_timer: asyncio.TimerHandle | None = None  # while an answer without a length is held back
        self._receive_progress: ReceiveProgress | None = None  # once the body of such an answer has begun
        self._until_close = False
        self._in_head = True
        self._answer: Answer | None = None
        self._reusable = False
        self._sink: Sink | None = None
        self._reading_paused = False  # the sink accepts no more data for now
        self._paused_at = self._resumed_at = -math.inf  # when it last did not, and did again, on the loop's clock
        self._stream_complete = False  # the streamed answer is complete
        self._progress_at = 0.0  # when data of a body was last sent or received, in seconds on the loop's clock
        self.idle_since = 0.0
        self._stall_timer: asyncio.TimerHandle | None = None

    # --- opening ---

    def open(self, timeout_ms: float) -> None:
        loop = self.pool.loop
        self._connect_task = loop.create_task(self._connect())
        self.idle_timer = loop.call_later(timeout_ms / 1000.0, self._not_connected)

    async def _connect(self) -> None:
        try:
            await self.pool.loop.create_connection(lambda: self, *self.address)
        except OSError:
            self._not_connected(NotSent.REFUSED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._stop_timer()
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With a high-water mark of 0, pause_writing is called whenever any bytes are not yet written.
        self._transport.set_write_buffer_limits(high=0)
        if self.closed or self.exchange is None:
            self._transport.abort()
        else:
            self.resume_start()

    def resume_start(self) -> None:
        """Starts the exchange if the connection is established and the exchange may start now."""
        if self._transport is None or self._write_started or self.closed:
            return
        if self.has_unread():
            self._fail_unsent(NotSent.UNREAD_DATA)  # data before any request: its answers could not be trusted
        else:
            self._write()

    def has_unread(self) -> bool:
        """Whether unread data, an end of stream or a reset has been received; the connection must not be used then."""
        assert self._transport is not None
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _not_connected(self, reason: NotSent = NotSent.CONNECT_TIMEOUT) -> None:
        if self._transport is None:
            self._fail_unsent(reason)

    def _fail_unsent(self, reason: NotSent) -> None:
        """Ends the exchange, of which no server has the whole request."""
        if self.exchange is not None:
            self.pool.metrics.not_connected.add(reason.value)
        self._finish(Outcome.CONNECT_FAILED)

    # --- one exchange ---

    def start(self, exchange: Exchange) -> None:
        self._stop_timer()
        self.exchange = exchange
        exchange.connection = self
        self._write()

    def _write(self) -> None:
        assert self._transport is not None and self.exchange is not None
        exchange = self.exchange
        start = exchange.may_start()
        if start is Start.LATER:
            return
        if start is Start.NEVER:
            self._fail_unsent(NotSent.TOO_LATE)
            return
        self._write_started = True
        self._answer = None
        self._sent_end = exchange.body is None
        self._write_out(exchange.payload())
        if self._transport.is_closing():
            # The first write failed, so the kernel accepted no byte.
            self._write_started = False
            self._fail_unsent(NotSent.BROKEN)
        elif exchange.body is not None:
            self._start_stall_timer()
            exchange.body.attach(self._send_body)

    def _write_out(self, data: bytes) -> None:
        """Writes to the backend, and counts what it does not take: the event loop keeps all of the data until then."""
        assert self._transport is not None
        self._transport.write(data)
        if self._paused:
            self._account.set(Held.SERVER_REQUEST, max(self._transport.get_write_buffer_size(), len(data)))

    def _send_body(self) -> None:
        """Writes the received part of a long request body, as fast as the backend accepts it."""
        exchange, transport = self.exchange, self._transport
        if exchange is None or exchange.body is None or transport is None or self._paused or self._sent_end:
            return
        body = exchange.body
        data = body.take()
        ends = body.ended and not body.unsent_bytes
        if data:
            self._progress_at = self.pool.loop.time()
            self._write_out(b"%x\r\n%s\r\n" % (len(data), data) if body.length is None else data)
        if ends and self.exchange is exchange:
            self._sent_end = True
            if body.length is None:
                transport.write(b"0\r\n\r\n")

    def has_started(self) -> bool:
        return self._write_started

    def is_written(self) -> bool:
        """Whether the request's last byte has been passed to the kernel."""
        return self._write_started and not self._paused and self._sent_end

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._account.set(Held.SERVER_REQUEST, 0)
        self._send_body()

    # --- the answer ---

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.budget.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        if self.exchange is None:
            self.abort()  # data without a request
            return
        self._progress_at = self.pool.loop.time()
        try:
            self._parser.feed_data(self.pool.budget.read_buffer()[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.closed:
                return
            if self._answer is None and not self._stream_complete:
                self._fail_malformed()
                return
            self._reusable = False
        if self.closed:
            return  # the rest is not needed
        self._received += nbytes
        if self._stream_complete:
            self._finish(Outcome.OK)
        elif self._answer is not None:
            self._end_with(self._answer)
        elif self._received > MAX_HEAD + (0 if self._in_head else MAX_FRAMING * max(self._size, MAX_BUFFERED_BODY)):
            self._fail_malformed()

    def on_message_begin(self) -> None:
        if self._answer is not None or self._stream_complete:
            raise ValueError("more than one answer")
        self._clear()
        self._in_head = True
        self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # trailers are ignored
            self._headers.append((name, (value or b"").strip(b" \t")))
            if len(self._headers) > MAX_HEADER_FIELDS:
                raise ValueError("the answer's head has too many fields")

    def on_headers_complete(self) -> None:
        self._in_head = False
        is_chunked = False
        for name, value in self._headers:
            if name.lower() == b"content-length":
                self._length = int(value)
                if self._length > MAX_BODY:
                    raise ValueError("the answer is too large")
            elif name.lower() == b"transfer-encoding":
                is_chunked = True
        # Without a length and not chunked, the answer ends when the connection is closed.
        self._until_close = self._length is None and not is_chunked

    def _clear(self) -> None:
        self._headers, self._body, self._size, self._received = [], bytearray(), 0, 0
        self._length, self._until_close = None, False
        self._receive_progress = None
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        self._account.set(Held.SERVER_ANSWER, 0)

    def on_body(self, body: bytes) -> None:
        if self.exchange is None:
            return  # the rest is not needed
        self._size += len(body)
        if self._size > MAX_BODY:
            raise ValueError("the answer is too large")
        if self._length is None:
            self._note_progress(len(body))
        if self._sink is not None:
            self._sink.forward(body)
            return
        self._body += body
        self._account.set(Held.SERVER_ANSWER, self._size)
        if max(self._size, self._length or 0) > self.pool.budget.answer_limit():
            self._start_stream()
        elif self._length is None and self._hold_timer is None:
            self._hold_timer = self.pool.loop.call_later(HOLD_CHECK_S, self._check_held, self.pool.loop.time())

    def _note_progress(self, size: int) -> None:
        now = self.pool.loop.time()
        if self._receive_progress is None:
            self._receive_progress = ReceiveProgress(now)
        self._receive_progress.add(size, now)

    def _check_held(self, held_since: float) -> None:
        """Ends the holding back of an answer without a length while its server writes on. One that rests is held, so
        that the request can still be served by another attempt."""
        progress, now = self._receive_progress, self.pool.loop.time()
        if self.exchange is None or self._sink is not None or progress is None:
            return
        is_due = progress.is_fast(now) or has_elapsed(held_since, HOLD_UNSIZED_S, now)
        if is_due and progress.has_grown_within(HOLD_CHECK_S, now) and progress.still_comes(now):
            self._start_stream()
        else:
            self._hold_timer = self.pool.loop.call_later(HOLD_CHECK_S, self._check_held, held_since)

    def overtime_s(self, overdue_s: float) -> float:
        """For how many seconds from now the exchange may go on, though the client's time is over since `overdue_s`.

        0 without a part of the body; inf for the answer over MAX_BUFFERED_BODY of which the first bytes were in time.
        """
        if self.exchange is None or self._in_head or not self._size:
            return 0.0
        if self._sink is not None:
            if max(self._size, self._length or 0) > MAX_BUFFERED_BODY:
                return math.inf
            if self._is_held_up():
                return UNREAD_CHECK_S
        if self._receive_progress is None:
            return 0.0  # its length is known: it is short, or nothing of it was passed on in time
        now = self.pool.loop.time()
        return self._receive_progress.overtime_s(now - overdue_s, now)

    def _is_held_up(self) -> bool:
        """What the server has written waits for the client or for the event loop."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._reading_paused or self.has_unread():
            return True
        return not has_elapsed(self._resumed_at, UNREAD_CHECK_S, self.pool.loop.time())

    def pass_on_unsized(self) -> bool:
        """Streams an answer without a length from now on, if it still comes: it may be a long one."""
        if self._sink is None and self.exchange is not None and self._receive_progress is not None:
            if not self._receive_progress.still_comes(self.pool.loop.time()):
                return False  # an answer that never ends must end with the client's time
            self._start_stream()
        return self._sink is not None

    def _start_stream(self) -> None:
        """Streams the answer to the client from here on, since it is too long to be held in memory."""
        exchange, status = self.exchange, self._parser.get_status_code()
        assert exchange is not None
        if status != 200:
            # The body of an error answer is not passed on; status and headers decide the outcome.
            self._answer = Answer(status, self._headers, b"")
            self._finish(outcome_of(self._answer), self._answer)
            return
        if not self.is_written():
            self._fail_malformed()
            return
        sink = exchange.on_stream(self._headers, self._length, self)
        if self.exchange is not exchange:
            return  # the exchange ended during the call
        if sink is None:
            self._finish(Outcome.CANCELLED)
            return
        self._sink = sink
        self.pool.budget.streaming += 1
        self._start_stall_timer()
        body, self._body = bytes(self._body), bytearray()
        self._account.set(Held.SERVER_ANSWER, 0)
        sink.forward(body)

    def on_message_complete(self) -> None:
        if self.exchange is None or self._answer is not None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._reusable = self._parser.should_keep_alive()
        if self._sink is not None:
            self._stream_complete = True
        else:
            self._answer = Answer(status, self._headers, bytes(self._body))

    def _end_with(self, answer: Answer) -> None:
        outcome = outcome_of(answer)
        if outcome is Outcome.OK and not self.is_written():
            # A server starts once it has the whole request, so this cannot be the answer to it.
            self._fail_malformed()
        else:
            self._finish(outcome, answer)

    def eof_received(self) -> None:
        if self.exchange is not None and self._until_close and not self._in_head:
            self._reusable = False
            if self._sink is not None:
                self._finish(Outcome.OK)
            else:
                self._end_with(Answer(self._parser.get_status_code(), self._headers, bytes(self._body)))
        else:
            self._fail_broken()

    def connection_lost(self, problem: Exception | None) -> None:
        self._fail_broken()

    # --- flow control of long bodies ---

    def pause(self) -> None:
        """Stops reading, because the client does not accept more data."""
        if not self._reading_paused and self._transport is not None and not self._transport.is_closing():
            self._reading_paused = True
            self._paused_at = self.pool.loop.time()
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._progress_at = self._resumed_at = self.pool.loop.time()
            if self._receive_progress is not None:
                self._receive_progress.leave_out(self._resumed_at - self._paused_at)
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _start_stall_timer(self) -> None:
        """Starts to check for a backend host that disappeared during a body, which would otherwise never end."""
        if self._stall_timer is None:
            self._progress_at = self.pool.loop.time()
            self._stall_timer = self.pool.loop.call_later(BODY_STALL_TIMEOUT_S, self._check_stall)

    def _check_stall(self) -> None:
        self._stall_timer = None
        body = self.exchange.body if self.exchange is not None else None
        stuck = self._paused or self._sink is not None  # otherwise progress depends on the client or the balancer
        left = self._progress_at + BODY_STALL_TIMEOUT_S - self.pool.loop.time()
        if self._reading_paused or not stuck or left > 0:
            if self._sink is not None or (body is not None and not self._sent_end):
                self._stall_timer = self.pool.loop.call_later(max(left, 1.0), self._check_stall)
        else:
            self._fail_broken()

    # --- end of an exchange ---

    def _fail_malformed(self) -> None:
        """Ends the exchange for an invalid answer, which unlike a broken connection is a fault of the backend."""
        self._finish(Outcome.ERROR if self.is_written() else Outcome.CONNECT_FAILED)

    def _fail_broken(self) -> None:
        """Ends the exchange for a broken connection. The request may have run only if its last byte was written."""
        if self.is_written():
            self._finish(Outcome.RESET)
        else:
            self._fail_unsent(NotSent.BROKEN)

    def _finish(self, outcome: Outcome, answer: Answer | None = None) -> None:
        exchange, self.exchange = self.exchange, None
        is_clean = (answer is not None or self._stream_complete) and self._reusable
        if is_clean and self.is_written() and not self.closed:
            self._write_started = False
            self._drop_sink()
            self._clear()
            self.pool.add_idle(self)
        else:
            self.abort()
        if exchange is not None:
            exchange.connection = None
            if exchange.body is not None:
                exchange.body.detach()
            exchange.done(outcome, answer)

    def _drop_sink(self) -> None:
        if self._sink is not None:
            self.pool.budget.streaming -= 1
        self._sink = None
        self._stream_complete = False
        self.resume()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def abort(self) -> None:
        self._stop_timer()
        if not self.closed:
            self._drop_sink()
            self.closed = True
            self.pool.on_closed(self)
            # Breaks the reference cycle of the parser and the connection: otherwise the received part of an answer
            # would stay in memory until the next full garbage collection.
            self._clear()
            self._account.release()
            del self._parser
        if self._transport is not None:
            self._transport.abort()
        elif self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None  # breaks the reference cycle with the task's exception

    def _stop_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None


class Pool:
    """Connections to backends; idle ones are kept per backend, the most recently used last."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        budget: BodyBudget,
        idle_close_ms: float,
        connect_timeout_ms: float,
        metrics: ProxyMetrics | None = None,
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.metrics = metrics or ProxyMetrics()
        self._descriptors = descriptors
        self.change(idle_close_ms, connect_timeout_ms)
        self._idle: dict[str, list[Connection]] = {}
        self._by_age: dict[Connection, None] = {}  # all idle connections, the longest idle first

    def change(self, idle_close_ms: float, connect_timeout_ms: float) -> None:
        # Closes idle connections before the backend does, so that no request is written to one that is being closed.
        self._idle_timeout_s = max(0.5 * idle_close_ms, 0.9 * idle_close_ms - 250.0) / 1000.0
        self._connect_timeout_ms = connect_timeout_ms

    def send(self, server: str, address: Address, exchange: Exchange) -> bool:
        """Sends the exchange on an idle connection or a new one. False if no connection may be opened."""
        now = self.loop.time()
        for connection in self._idle.get(server, [])[::-1]:
            if not has_elapsed(connection.idle_since, MIN_IDLE_S, now):
                continue
            if connection.has_unread():
                connection.abort()
                continue
            self._remove_idle(connection)
            connection.start(exchange)
            return True
        descriptors = self._descriptors
        if (
            descriptors.is_full()
            and not self.close_oldest_idle()
            and not descriptors.make_room()
            and not descriptors.can_open_to_backend()
        ):
            return False
        connection = Connection(self, server, address, exchange)
        exchange.connection = connection
        self._descriptors.used += 1
        connection.open(self._connect_timeout_ms)
        return True

    def add_idle(self, connection: Connection) -> None:
        connection.idle_since = self.loop.time()
        self._idle.setdefault(connection.server, []).append(connection)
        self._by_age[connection] = None
        connection.idle_timer = self.loop.call_later(self._idle_timeout_s, connection.abort)

    def on_closed(self, connection: Connection) -> None:
        self._descriptors.used -= 1
        if connection in self._by_age:
            self._remove_idle(connection)

    def close_idle(self, server: str) -> None:
        for connection in list(self._idle.get(server, ())):
            connection.abort()

    def close_all_idle(self) -> None:
        for connection in list(self._by_age):
            connection.abort()

    def close_oldest_idle(self) -> bool:
        oldest = next(iter(self._by_age), None)
        if oldest is None:
            return False
        oldest.abort()
        return True

    def _remove_idle(self, connection: Connection) -> None:
        del self._by_age[connection]
        idle = self._idle[connection.server]
        idle.remove(connection)
        if not idle:
            del self._idle[connection.server]

"""HTTP/1.1 server side of the proxy: reads client requests, writes answers and detects client disconnects."""

from __future__ import annotations

import asyncio
import logging
import math
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol, cast

from proxy.client_request import ClientRequest, RequestReader, origin_form
from proxy.clock import has_elapsed
from proxy.config import Address
from proxy.descriptors import Descriptors
from proxy.flow import (
    BODY_STALL_TIMEOUT_S,
    MAX_BODY,
    MAX_BUFFERED_BODY,
    MIN_BODY_RATE,
    MIN_CHUNK,
    BodyBudget,
    RequestBodyStream,
)
from proxy.lifecycle import LifeCycle
from proxy.listener import Listener
from proxy.memory import CLIENT_CONNECTION_BYTES, OPEN_REQUEST_BYTES, Held, MemoryAccount
from proxy.metrics import ProxyMetrics
from proxy.parsequeue import ParseQueue
from proxy.request_parser import (
    MAX_HEAD,
    BadRequest,
    Headers,
    Rejection,
    RequestHead,
    RequestParser,
    TunnelRequested,
)
from proxy.sending import SendProgress
from proxy.upstream import Source

log = logging.getLogger(__name__)

BACKLOG = 1024
MAX_FRAMING_OVERHEAD = 8  # bytes on the wire per byte of a chunked body; small chunks have a high overhead
MIN_LINGER_S = 0.2  # a lingering connection (answered, input discarded) may be closed for a new one after this time
PARSE_SLICE = 4 * 1024  # bytes of heads and chunks that are parsed between two looks at the clock
PARSE_S = 0.002  # of a turn of the event loop for the data of one connection
MAX_PIPELINED = 4  # requests parsed ahead on one connection; what is received behind them is parsed later
# Limit from the first byte of a request to the end of its head, and from accepting a connection to the end of its
# first head: a peer that sends no valid request must get an error or a close within 3 s. A body gets at least as long.
READ_TIMEOUT_S = 2.5
BODY_GRACE_S = 0.8  # time, from the end of the head, that a body may lag behind MIN_BODY_RATE
CLIENT_SEND_BUFFER = 4 << 20  # bytes that a client's system may take before we read any: tcp_wmem of tcp(7)
BURST_GAP_S = 0.005  # what a client wrote before comes within this time after room was made for it
FULL_READ_GAP_S = 0.05  # the same after a read that took as much as it could
IN_FLIGHT_S = 0.001  # the same for a client that waits for its answer before it writes more
RELIEF_INTERVAL_S = 0.005  # between two looks at all connections for requests to refuse
RECHECK_S = 0.05  # interval between checks of a connection whose received bytes the event loop has not read yet
STALLED_HEAD_S = 1.0  # a connection without progress within a head for this long may be closed for a new one
MIN_IDLE_S = 2.0  # a connection without a request may be closed for a new one after this time
LINGER_S = 1.0  # for this long the input of a connection that the proxy ends is still read, and discarded
# Work for a client must stop within 0.1 s after it disconnected. While its connection is not read, only polling the
# socket shows the end of its input; and a close differs from a half-close only by the reset that a few bytes provoke.
EOF_POLL_S, RESET_PROBE_S = 0.04, 0.015
CONFIRMATION_S = 0.05  # for this long after it was read or answered a probe, a client counts as connected
SILENT_LINGER_S = 0.3  # for a connection that never sent a request: it must be closed within 3 s
UNREAD_CHECK_S = 1.0  # interval between checks whether a client still reads an answer that is being streamed
UNSENT_CHECK_S = 0.25  # interval between checks whether a client still reads its last answer
MAX_LINGER_S = 30.0  # upper limit while a client still sends a body that the proxy no longer needs
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
# Headers that apply to one connection, or that the proxy generates itself for each hop.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"transfer-encoding",
        b"content-length",
        b"expect",
        b"x-expires-in",
    }
)


class Handler(Protocol):
    """The proxy as the frontend sees it; its methods run on the event loop."""

    def make_room(self) -> bool:
        """Closes an idle connection to a backend to free a descriptor; returns whether there was one."""
        ...

    def handle_request(self, connection: ClientConnection, request: ClientRequest) -> None: ...

    def body_ended(self, connection: ClientConnection) -> None:
        """The body of the connection's current request is complete."""
        ...

    def client_gone(self, connection: ClientConnection) -> None:
        """The client of the current request has disconnected; no answer can reach it."""
        ...

    def client_confirmed(self, connection: ClientConnection) -> None:
        """The client that `ClientConnection.is_connected` could not confirm is still there, half-closed."""
        ...


class Input(Enum):
    """State of the client's side of a connection."""

    OPEN = "open"
    ENDED = "ended"  # end of input received; after a half-close the client still reads
    UNWANTED = "unwanted"  # input is discarded: it was malformed, or the connection is closing


class ConnectionState(Enum):
    """What a client connection is doing; the values are labels of metrics and of log lines."""

    SILENT = "silent"  # no complete request yet, and no part of one
    IDLE = "idle"
    HEAD = "in_head"
    BODY = "in_body"
    WAITING = "waiting"  # for the answer to a whole request
    ANSWERING = "answering"  # a long answer is being streamed
    CLOSING = "closing"


class CloseReason(Enum):
    """Why the proxy closes a client connection out of turn; the values are labels of metrics."""

    IDLE = "room, idle"
    LINGERING = "room, lingering"
    STALLED = "room, stalled in a head"
    OVER_LIMIT = "no descriptor"
    SILENT = "no request in time"
    UNREAD_ANSWER = "answer not read"


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client: parses its requests and writes their answers in the order of the requests."""

    __slots__ = (
        "__weakref__",
        "_account",
        "_blocked_since",
        "_body",
        "_body_length",
        "_body_size",
        "_confirmed_at",
        "_continue_pending",
        "_eof_check",
        "_front",
        "_head_ended_at",
        "_in_request",
        "_incoming",
        "_incomplete_head_size",
        "_input",
        "_is_chunked",
        "_is_drained",
        "_is_half_closed",
        "_is_parse_scheduled",
        "_is_state_unknown",
        "_is_writing_paused",
        "_last_read_at",
        "_linger_timer",
        "_linger_until",
        "_offered",
        "_parser",
        "_paused_at",
        "_pipelined",
        "_read_timer",
        "_reading_paused",
        "_received",
        "_received_at",
        "_request_began_at",
        "_reset_probe_sent",
        "_resumed_at",
        "_send_progress",
        "_source",
        "_stall_timer",
        "_transport",
        "_uncounted",
        "_unparsed",
        "idle_since",
        "is_new",
        "lingering_since",
        "request",
    )

    def __init__(self, front: Frontend) -> None:
        self._front = front
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._body = bytearray()  # in one piece: as objects of their own, tiny chunks would take many times their bytes
        self._body_size = 0
        self._uncounted = 0  # bytes of the body that are not in the account yet
        self._body_length: int | None = None  # as the head states it
        self._received = 0  # bytes on the wire of the request that is being received
        self._unparsed = b""  # received behind MAX_PIPELINED requests; the connection is not read meanwhile
        self._is_parse_scheduled = False
        self._received_at = 0.0  # when the last data came; time.monotonic() in seconds
        # Since when data may wait unread, on the same clock: the client may have written all of them by then.
        self._blocked_since: float | None = None
        self._resumed_at = 0.0  # when reading was last resumed, on the same clock
        self._offered = 0  # bytes that the last read could take
        self._is_drained = True  # the last read left nothing in the socket, and all of it was parsed
        self._incomplete_head_size = 0  # bytes, which the parser buffers without a limit
        self._in_request = False  # a request is partly received
        self._incoming: ClientRequest | None = None  # its head is complete, its body is not
        self._continue_pending = False
        self.is_new = True  # no complete request received yet
        self.idle_since = self._request_began_at = self._last_read_at = front.loop.time()
        self._head_ended_at = 0.0  # on the loop's clock
        self._account = MemoryAccount(front.budget.memory)
        self._pipelined: list[ClientRequest] = []  # at most MAX_PIPELINED
        self._reading_paused = False
        self._paused_at = 0.0
        self._is_writing_paused = False  # the write buffer is full: the client does not read its answers
        self._input = Input.OPEN
        self._eof_check: asyncio.TimerHandle | None = None  # polls for a disconnect while the connection is not read
        self._reset_probe_sent = False
        self._is_state_unknown = False  # an attempt is held until a disconnect is confirmed or ruled out
        self._is_half_closed = False  # end of input received, and a probe did not provoke a reset
        self._confirmed_at = -math.inf  # when a probe last provoked no reset, on the loop's clock
        self._linger_timer: asyncio.TimerHandle | None = None
        self._linger_until = 0.0
        self._send_progress: SendProgress | None = None  # of the last answer, once the connection is closing
        self.lingering_since = math.inf
        self._read_timer: asyncio.TimerHandle | None = None
        self._source: Source | None = None  # of the answer that is being streamed
        self._is_chunked = False  # the streamed answer has no Content-Length
        self._stall_timer: asyncio.TimerHandle | None = None
        self.request: ClientRequest | None = None  # the request to be answered next

    # --- asyncio callbacks ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._transport.set_write_buffer_limits(high=MIN_CHUNK)
        self._account.add(Held.CONNECTION, CLIENT_CONNECTION_BYTES)
        self._read_timer = self._front.loop.call_later(READ_TIMEOUT_S, self._check_read_progress)
        self._front.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        buffer = self._front.budget.read_buffer()
        self._offered = len(buffer)
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._last_read_at = self._front.loop.time()
        if self._input is not Input.OPEN:
            return
        now = time.monotonic()
        quiet_s = now - max(self._received_at, self._resumed_at)
        if quiet_s > (BURST_GAP_S if self._is_drained else FULL_READ_GAP_S):
            self._blocked_since = None
        self._received_at = now
        self._set_unparsed(self._unparsed + self._front.budget.read_buffer()[:nbytes])
        if self._front.parse_queue.is_empty() or len(self._unparsed) <= PARSE_SLICE:
            self._parse()
        self._is_drained = nbytes < self._offered and not self._unparsed
        self._process_next()
        if self._in_request and self._front.budget.memory.is_over():
            self._front.relieve_memory()

    def _parse(self) -> None:
        """Parses some of what was received, until MAX_PIPELINED requests wait to be answered."""
        data, position = self._unparsed, 0
        until = time.monotonic() + PARSE_S
        while position < len(data) and self._can_take_more():
            position = self._parse_message(data, position)
            if time.monotonic() >= until:
                break
        self._set_unparsed(data[position:] if self._input is Input.OPEN else b"")
        self._count_body()
        self._account.set(Held.INCOMPLETE_HEAD, self._parser.held_head_bytes() if self._parser.in_head else 0)
        if not self._in_request:
            if not self.is_new:
                self._stop_read_timer()
        elif self._read_timer is None:
            self._read_timer = self._front.loop.call_later(READ_TIMEOUT_S, self._check_read_progress)

    def _can_take_more(self) -> bool:
        return len(self._pipelined) < MAX_PIPELINED and self._input is Input.OPEN

    def _parse_message(self, data: bytes, start: int) -> int:
        """Parses the data from `start` on to the end of one message at most. Returns the index of what is left."""
        was_in_head = self._parser.in_head
        try:
            position = self._parser.feed(data, start, PARSE_SLICE)
        except TunnelRequested:
            self._input = Input.UNWANTED
            if self._pipelined:
                self._pipelined[-1].keep_alive = False
            return len(data)
        except BadRequest as problem:
            self._reject_input(problem.rejection)
            return len(data)
        size = position - start
        self._incomplete_head_size = self._incomplete_head_size + size if was_in_head and self._parser.in_head else 0
        self._received += size
        if self._incomplete_head_size > MAX_HEAD:
            self._reject_input(Rejection(431, "the head is too large"))
        elif self._incoming is not None and self._received > MAX_HEAD + MAX_FRAMING_OVERHEAD * max(
            self._body_size, MAX_BUFFERED_BODY
        ):
            self._reject_input(Rejection(400, "the chunks are too small"))
        return position

    def _set_unparsed(self, data: bytes) -> None:
        """Keeps received data. Like a streamed body, it reduces what is read from each connection at a time."""
        self._front.budget.streaming += bool(data) - bool(self._unparsed)
        self._unparsed = data
        self._account.set(Held.INPUT, len(data))

    def parse_more(self) -> None:
        """Parses a further part of what was received."""
        self._is_parse_scheduled = False
        if not self._is_closing():
            self._parse()
            self._process_next()

    def _read_deadline(self) -> float:
        """Time-out of the request that is being received, on the loop's clock."""
        until = self._request_began_at + READ_TIMEOUT_S
        if self._incoming is None:
            return until
        paced = self._head_ended_at + BODY_GRACE_S + self._body_size / MIN_BODY_RATE
        return max(until, min(paced, self._last_read_at + READ_TIMEOUT_S))

    def _check_read_progress(self) -> None:
        """Rejects or closes a connection that makes no progress, so that it does not keep its descriptor for ever."""
        self._read_timer = None
        left = self._read_deadline() - self._front.loop.time()
        if self._reading_paused:
            self._read_timer = self._front.loop.call_later(READ_TIMEOUT_S, self._check_read_progress)
        elif left > 0.0:
            self._read_timer = self._front.loop.call_later(left, self._check_read_progress)
        elif self._in_request:
            self._reject_input(Rejection(408, "the request did not come in time"))
            self._process_next()
        elif self.is_idle():
            self._front.metrics.closed.add(CloseReason.SILENT.value)
            self.shut_down(SILENT_LINGER_S)
        elif not self._is_closing():
            # The socket has unread bytes, which may be the request.
            self._read_timer = self._front.loop.call_later(RECHECK_S, self._check_read_progress)

    def _stop_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def pause_writing(self) -> None:
        """Applies back-pressure: without it, answers to a client that sends requests but reads nothing fill memory."""
        self._is_writing_paused = True
        if self._source is not None:
            self._source.pause()
            self._stop_stall_timer()
            self._stall_timer = self._front.loop.call_later(UNREAD_CHECK_S, self._begin_unread_check)

    def _begin_unread_check(self) -> None:
        """The transport moves in large steps: only what the kernel holds shows whether the client goes on reading."""
        assert self._transport is not None
        now = self._front.loop.time()
        progress = SendProgress(self._transport, now - UNREAD_CHECK_S)
        self._check_unread(progress)

    def _check_unread(self, progress: SendProgress) -> None:
        """Ends an answer of which the client takes nothing any more."""
        now = self._front.loop.time()
        if has_elapsed(progress.last_progress_at(now), BODY_STALL_TIMEOUT_S, now):
            self._front.metrics.closed.add(CloseReason.UNREAD_ANSWER.value)
            self.abort_answer()
        else:
            self._stall_timer = self._front.loop.call_later(UNREAD_CHECK_S, self._check_unread, progress)

    def _write(self, data: bytes) -> None:
        """Writes to the client, and counts what it does not take: the event loop keeps all of the data until then."""
        assert self._transport is not None
        self._transport.write(data)
        if self._is_writing_paused:
            self._account.set(Held.ANSWER, max(self._transport.get_write_buffer_size(), len(data)))

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        self._account.set(Held.ANSWER, 0)
        self._stop_stall_timer()
        if self._source is not None:
            self._source.resume()
        self._process_next()

    def eof_received(self) -> bool:
        """Returns True to keep the connection open while a half-closed client may still read pending answers."""
        if self._is_closing() or (self._input is Input.UNWANTED and not self._has_unanswered()):
            self._drop_requests()
            return False
        if self._input is Input.OPEN and self._in_request:
            self._reject_input(Rejection(400, "the request breaks off"))
        self._input = Input.ENDED
        self._reading_paused = False
        self._process_next()
        if not self._has_unanswered():
            self._drop_requests()
            return False
        self._probe_for_reset()
        return True

    def connection_lost(self, problem: Exception | None) -> None:
        self._drop_requests()
        self._stop_read_timer()
        self._stop_stall_timer()
        self._cancel_eof_check()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._front.closed(self)
        self._account.release()
        self._body = bytearray()
        self._incoming = None
        self._parser.close()
        del self._parser

    # --- client disconnects ---

    def is_connected(self) -> bool:
        """Whether the client is still connected, by its socket: a late event loop may not have read its end yet.

        False also if that is not known yet; the handler then gets `client_gone` or `client_confirmed` later.
        """
        if self._is_closing():
            return False
        seen = self._poll(select.POLLRDHUP)
        if not seen and not self._may_hide_end():
            return True
        if seen in (0, select.POLLRDHUP) and self._is_confirmed():
            return True
        if not self._is_state_unknown:
            self._is_state_unknown = True
            self._schedule_eof_check(0.0)  # deferred, because the caller is in the middle of starting an attempt
        return False

    def _may_hide_end(self) -> bool:
        """The client's end may wait behind data that is not read, where the socket does not show it."""
        request = self.request
        if not self._reading_paused or (request is not None and (request.is_http10 or request.is_body_incomplete())):
            return False  # within a body an ordinary client expects no interim answer
        return time.monotonic() - self._received_at > CONFIRMATION_S and bool(self._poll(select.POLLIN))

    def _is_confirmed(self) -> bool:
        """A probe has shown a moment ago that the client is still there."""
        return not has_elapsed(self._confirmed_at, CONFIRMATION_S, self._front.loop.time())

    def _has_unanswered(self) -> bool:
        return self.request is not None or self._has_waiting()

    def _has_waiting(self) -> bool:
        """Something was received behind the current request and is not handled yet."""
        return bool(self._pipelined or self._unparsed)

    def _probe_for_reset(self) -> None:
        """Tells whether the client has closed its socket: only then are data answered with a reset.

        A half-close sends a FIN too, and behind data that are not read neither arrives.

        The probe is an interim answer, which every HTTP/1.1 client must accept before its final answer (RFC 9110,
        15.2). While an answer is being streamed, its own bytes serve as the probe.
        """
        assert self._transport is not None
        request = self.request
        if request is not None and request.is_http10:
            self._drop_requests()  # HTTP/1.0 has no interim answers
            self._transport.close()
            return
        if request is not None and self._source is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._reset_probe_sent = True
        self._schedule_eof_check(RESET_PROBE_S)

    def _schedule_eof_check(self, pause_s: float) -> None:
        self._cancel_eof_check()
        self._eof_check = self._front.loop.call_later(pause_s, self._check_for_eof)

    def _cancel_eof_check(self) -> None:
        if self._eof_check is not None:
            self._eof_check.cancel()
            self._eof_check = None

    def _check_for_eof(self) -> None:
        """Polls for a disconnect, which asyncio does not report while the connection is not read."""
        self._eof_check = None
        if self._is_closing() or not self._has_unanswered():
            self._is_state_unknown = self._reset_probe_sent = False
            return
        seen = self._poll(select.POLLRDHUP)
        if seen & (select.POLLERR | select.POLLHUP):
            assert self._transport is not None
            self._drop_requests()
            self._transport.abort()
        elif self._reset_probe_sent:
            self._confirm_connected(bool(seen & select.POLLRDHUP))
        elif self._source is None and self._needs_probe(bool(seen & select.POLLRDHUP)):
            self._probe_for_reset()
        elif self._reading_paused or self._input is Input.ENDED:
            self._schedule_eof_check(EOF_POLL_S)

    def _needs_probe(self, has_ended: bool) -> bool:
        """`has_ended`: the end of the client's input has been received."""
        return self._is_state_unknown or (has_ended and not self._is_half_closed)

    def _confirm_connected(self, has_ended: bool) -> None:
        """The last probe provoked no reset: starts attempts that were held until that was known."""
        self._reset_probe_sent = False
        self._confirmed_at = self._front.loop.time()
        self._is_half_closed = self._is_half_closed or has_ended
        if self._reading_paused or self._input is Input.ENDED:
            self._schedule_eof_check(EOF_POLL_S)
        if self._is_state_unknown:
            self._is_state_unknown = False
            self._front.handler.client_confirmed(self)

    def _poll(self, events: int) -> int:
        assert self._transport is not None
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), events)
        return next((seen for _, seen in poll.poll(0)), 0)

    # --- parts of requests, called by the parser ---

    def message_began(self) -> None:
        self._body = bytearray()
        self._body_size = self._received = 0
        self._incoming = None
        self._in_request = True
        if not self.is_new:
            self._request_began_at = self._front.loop.time()

    def head_received(self, head: RequestHead) -> None:
        self._head_ended_at = self._front.loop.time()
        request = self._incoming = ClientRequest(
            head.method,
            origin_form(head.target),
            head.headers,
            b"",
            head.keep_alive,
            0.0,
            is_http10=head.is_http10,
            held_head_bytes=head.held_bytes(),
        )
        self._account.add(Held.HEAD, request.held_head_bytes)
        length = self._body_length = head.length
        expects = any(name.lower() == b"expect" and value.lower() == b"100-continue" for name, value in head.headers)
        if length is not None and length > MAX_BODY:
            raise BadRequest(413, "the body is too large")
        if request.target.split(b"?", 1)[0] == b"/up" and request.method == b"GET":
            request.is_up_check = True
        else:
            self._read_headers(request)
            if request.rejection is not None and (expects or (length or 0) > MAX_BUFFERED_BODY):
                raise BadRequest(*request.rejection)  # refused before the body is received
        self._continue_pending = expects

    def _read_headers(self, request: ClientRequest) -> None:
        request.rejection = None
        try:
            self._front.reader.read(request)
        except BadRequest as problem:
            request.rejection = problem.rejection

    def body_received(self, body: bytes) -> None:
        request = self._incoming
        assert request is not None
        self._body_size += len(body)
        if self._body_size > MAX_BODY:
            raise BadRequest(413, "the body is too large")
        if request.body_stream is not None:
            if (self._body_length or 0) - self._body_size > CLIENT_SEND_BUFFER:
                self._blocked_since = time.monotonic()  # the client's system can't have taken the rest yet
            request.body_stream.push(body)
            return
        self._body += body
        self._uncounted += len(body)  # tiny chunks come in thousands: counted once for all that are parsed together
        if self._body_size > self._front.budget.stream_threshold(self._body_length):
            self._begin_streaming(request)

    def _begin_streaming(self, request: ClientRequest) -> None:
        """Switches a body that is too long to buffer to streaming: its request is handled before it is complete."""
        if request.rejection is not None or request.is_up_check:
            raise BadRequest(*(request.rejection or (413, "no body is wanted")))
        if self._front.budget.memory.is_tight():
            raise BadRequest(503, "no memory is left for a long body")
        body, self._body = bytes(self._body), bytearray()
        self._count_body()
        self._adjust_held(-self._body_size)
        request.body_stream = RequestBodyStream(
            self._front.budget, self._body_length, body, self._update_reading, self._account
        )
        self._front.budget.streaming += 1
        self._pipelined.append(request)

    def message_ended(self) -> None:
        self._in_request = self.is_new = False
        self._continue_pending = False
        request, self._incoming = self._incoming, None
        assert request is not None
        request.arrived_at = self._sent_at_earliest()
        if request.body_stream is None:
            request.body = bytes(self._body)
            self._body = bytearray()
            self._pipelined.append(request)
            return
        if request is self.request:
            # Called before the last chunk is sent: the attempt's time limit starts here.
            self._front.handler.body_ended(self)
        request.body_stream.end()

    def _count_body(self) -> None:
        if self._uncounted:
            self._adjust_held(self._uncounted)
            self._uncounted = 0

    def _adjust_held(self, size: int) -> None:
        self._account.add(Held.BODY, size)

    # --- requests in order ---

    def _process_next(self) -> None:
        """Starts the next pipelined request once no other is being answered.

        What waits to be parsed is left to a later turn of the event loop, so that one client that sends many requests
        cannot keep the others waiting.
        """
        while self.request is None and self._pipelined and not self._is_writing_paused and not self._is_closing():
            request = self.request = self._pipelined.pop(0)
            if request.read_by is not None and request.read_by is not self._front.reader:
                self._read_headers(request)  # the settings were reloaded since
            if request.rejection is not None:
                status, reason = request.rejection
                if request.read_by is not None:
                    self._front.metrics.rejected.add(str(status))
                self.answer(status, self._front.reader.busy_headers if status == 503 else [], reason.encode())
            elif request.is_up_check:
                self.answer(200 if self._front.life.is_up() else 503, [], b"")
            elif self._front.is_over_limit():
                self.answer(503, self._front.reader.busy_headers, b"")
            else:
                self._account.set(Held.REQUEST, OPEN_REQUEST_BYTES)
                self._front.handler.handle_request(self, request)
        if self._unparsed and self._can_parse() and not self._is_parse_scheduled:
            self._is_parse_scheduled = True
            self._front.parse_queue.add(self)
        if self._continue_pending and self.request is None and not self._has_waiting() and not self._is_closing():
            self._continue_pending = False
            if self._transport is not None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._update_reading()

    def _can_parse(self) -> bool:
        return len(self._pipelined) < MAX_PIPELINED and not self._is_writing_paused and not self._is_closing()

    def _update_reading(self) -> None:
        """Pauses reading while input could be neither buffered nor forwarded, and resumes it after that."""
        if self._transport is None or self._is_closing() or self._input is Input.ENDED:
            return
        incoming = self._incoming.body_stream if self._incoming is not None else None
        full = (
            len(self._pipelined) >= MAX_PIPELINED
            or bool(self._unparsed)
            or (self._is_writing_paused and self._source is None)
            or (incoming is not None and incoming.is_full())
        )
        if full == self._reading_paused:
            return
        self._reading_paused = full
        now = self._front.loop.time()
        if full:
            self._paused_at = now
            if self._blocked_since is None:
                self._blocked_since = time.monotonic()
            self._transport.pause_reading()
            if not self._is_state_unknown:
                self._schedule_eof_check(EOF_POLL_S)
        else:
            if not self._is_state_unknown:
                self._cancel_eof_check()
            # The client could not send during the pause, so it does not count towards the time-outs.
            for name in ("_request_began_at", "_head_ended_at", "_last_read_at"):
                setattr(self, name, getattr(self, name) + now - self._paused_at)
            if self._has_read_all() or (self._blocked_since or 0.0) > time.monotonic() - BURST_GAP_S:
                self._blocked_since = None
            self._resumed_at = time.monotonic()
            self._transport.resume_reading()

    def body_sent_since(self) -> float | None:
        """When the client may have written the last byte of the body that is being received, at the earliest, in
        seconds of time.monotonic(); None if it has not."""
        if self._blocked_since is None or self._has_read_all():
            return None
        return self._sent_at_earliest()

    def _has_read_all(self) -> bool:
        """Nothing that the client has written waits unread, on its side neither."""
        is_quiet = time.monotonic() - self._received_at > BURST_GAP_S
        return is_quiet and not self._unparsed and not self._poll(select.POLLIN)

    def _sent_at_earliest(self) -> float:
        """When the client may have written what was read last."""
        return self._received_at if self._blocked_since is None else min(self._blocked_since, self._received_at)

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete final answer to the current request."""
        request = self._finish_request()
        if request is None or self._transport is None or self._is_closing():
            return
        keep = self._keeps_alive(request)
        length = b"Content-Length: %d\r\n" % len(body)
        self._write(self._head(status, headers, length, keep, request.is_http10) + body)
        self._after_answer(keep, request.is_body_incomplete())

    def begin_answer(self, headers: Headers, length: int | None, source: Source) -> bool:
        """Starts a streamed answer to the current request; `forward`, then `end_answer` or `abort_answer` follow.

        Returns False if the client has disconnected. Without a length the answer is chunked, or ends with the
        connection for HTTP/1.0.
        """
        request = self.request
        if request is None or self._transport is None or self._is_closing():
            return False
        self._source = source
        self._is_chunked = length is None and not request.is_http10
        if request.is_http10 and length is None:
            request.keep_alive = False  # closing the connection marks the end of the answer
        framing = (
            b"Content-Length: %d\r\n" % length
            if length is not None
            else b"Transfer-Encoding: chunked\r\n"
            if self._is_chunked
            else b""
        )
        request.keep_alive = self._keeps_alive(request)  # fixed here, because the head announces it
        self._write(self._head(200, headers, framing, request.keep_alive, request.is_http10))
        return True

    def forward(self, data: bytes) -> None:
        if data and self._source is not None and self._transport is not None and not self._is_closing():
            self._write(b"%x\r\n%s\r\n" % (len(data), data) if self._is_chunked else data)

    def end_answer(self) -> None:
        request = self._finish_request()
        if request is None or self._transport is None or self._is_closing():
            return
        if self._is_chunked:
            self._write(b"0\r\n\r\n")
        self._after_answer(self._keeps_alive(request))

    def abort_answer(self) -> None:
        """Resets the connection, so that the client detects an incomplete answer."""
        self._stop_stall_timer()
        if self._transport is not None:
            self._transport.abort()

    def _finish_request(self) -> ClientRequest | None:
        """Releases the state of the current request and returns it, if there is one."""
        request, self.request = self.request, None
        self._source = None
        self._stop_stall_timer()
        self._account.set(Held.REQUEST, 0)
        if request is not None:
            self._adjust_held(-len(request.body))
            self._account.add(Held.HEAD, -request.held_head_bytes)
            if request.body_stream is not None:
                self._front.budget.streaming -= 1
                request.body_stream.drop()
        return request

    def _keeps_alive(self, request: ClientRequest) -> bool:
        # While the frontend is closing, pipelined requests are still answered first. The rest of a body that is not
        # needed any more precedes the next request, so such a connection is closed.
        is_last = self._front.closing or self._input is Input.ENDED
        return request.keep_alive and not request.is_body_incomplete() and not (is_last and not self._has_waiting())

    @staticmethod
    def _head(status: int, headers: Headers, framing: bytes, keep: bool, is_http10: bool) -> bytes:
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS[status]), framing]
        lines += [b"%s: %s\r\n" % header for header in headers if header[0].lower() not in HOP_BY_HOP_HEADERS]
        if not keep:
            lines.append(b"Connection: close\r\n")
        elif is_http10:
            lines.append(b"Connection: keep-alive\r\n")  # HTTP/1.0 defaults to close
        lines.append(b"\r\n")
        return b"".join(lines)

    def _after_answer(self, keep: bool, is_body_incomplete: bool = False) -> None:
        if not keep and self._input is Input.ENDED and not self.has_unsent():
            self._drop_pipelined()
            self.close()  # no lingering: without further input the close causes no reset
        elif not keep:
            self._begin_linger(MAX_LINGER_S if is_body_incomplete else LINGER_S)
        elif self._has_waiting() or self._continue_pending:
            self._front.loop.call_soon(self._process_next)
        else:
            if time.monotonic() - self._received_at > IN_FLIGHT_S and not self._poll(select.POLLIN):
                self._blocked_since = None
            self._front.mark_idle(self)

    def _reject_input(self, rejection: Rejection) -> None:
        """Discards all further input and queues the error answer behind the requests received before it."""
        self._input = Input.UNWANTED
        self._in_request = self.is_new = self._continue_pending = False
        self._front.metrics.rejected.add(str(rejection.status))
        self._parser.release_head()
        self._set_unparsed(b"")
        self._account.set(Held.INCOMPLETE_HEAD, 0)
        incoming, self._incoming = self._incoming, None
        if incoming is not None and incoming is not self.request:
            self._account.add(Held.HEAD, -incoming.held_head_bytes)
        if incoming is not None and incoming.body_stream is not None:
            if incoming is not self.request:
                self._pipelined.remove(incoming)
                self._front.budget.streaming -= 1
                incoming.body_stream.drop()
            elif self._source is not None:
                self.abort_answer()
                return
            else:
                self._front.handler.client_gone(self)
                self._finish_request()
        else:
            self._count_body()
            self._adjust_held(-len(self._body))
            self._body = bytearray()
        self._pipelined.append(ClientRequest(b"", b"", [], b"", False, time.monotonic(), rejection=rejection))

    def _begin_linger(self, linger_s: float) -> None:
        """Half-closes the connection and discards input for up to `linger_s`.

        Closing with unread input would send a reset, and the client could lose the answer.
        """
        self._input = Input.UNWANTED
        self._drop_pipelined()
        if self._transport is not None and self._linger_timer is None:
            if self._reading_paused and not self._transport.is_closing():
                self._transport.resume_reading()
            self._transport.write_eof()
            self.lingering_since = self._front.loop.time()
            self._front.mark_lingering(self)
            self._linger_until = self.lingering_since + linger_s
            self._send_progress = SendProgress(self._transport, self.lingering_since)
            self._linger_timer = self._front.loop.call_later(min(linger_s, LINGER_S), self._end_linger)

    def _end_linger(self) -> None:
        """Ends a closing connection once the client has taken its last answer, or no longer takes anything of it."""
        assert self._transport is not None
        now = self._front.loop.time()
        is_counted = self in self._front.connections
        if self.has_unsent() and not self._has_rested(BODY_STALL_TIMEOUT_S if is_counted else LINGER_S):
            self._linger_until = max(self._linger_until, now + LINGER_S)
            self._linger_timer = self._front.loop.call_later(UNSENT_CHECK_S, self._end_linger)
            return
        left = min(self._last_read_at + LINGER_S, self._linger_until) - now
        if left > 0.0 and not self.has_unsent():
            self._linger_timer = self._front.loop.call_later(left, self._end_linger)
        else:
            self._transport.abort()

    def has_unsent(self) -> bool:
        """Bytes of an answer would be lost if the connection were aborted."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def _has_rested(self, limit_s: float) -> bool:
        """The client has taken nothing of its last answer for that time."""
        assert self._send_progress is not None
        now = self._front.loop.time()
        return has_elapsed(self._send_progress.last_progress_at(now), limit_s, now)

    def is_sending_last_answer(self) -> bool:
        """The client of a closing connection has not taken its last answer yet, and took some of it in LINGER_S."""
        return self.has_unsent() and not self._has_rested(LINGER_S)

    def _drop_pipelined(self) -> None:
        for request in self._pipelined:
            if request.body_stream is not None:
                self._front.budget.streaming -= 1
                request.body_stream.drop()
        self._pipelined.clear()
        self._set_unparsed(b"")
        self._uncounted = 0
        self._account.set(Held.BODY, 0)
        self._account.set(Held.HEAD, 0)
        self._account.set(Held.INCOMPLETE_HEAD, 0)

    def _is_closing(self) -> bool:
        return self._linger_timer is not None or self._transport is None or self._transport.is_closing()

    def _drop_requests(self) -> None:
        """Drops all requests of a client that has disconnected and tells the handler."""
        self._input = Input.UNWANTED
        if self.request is not None:
            self._finish_request()
            self._front.handler.client_gone(self)
        self._drop_pipelined()

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    # --- end ---

    def is_idle(self) -> bool:
        """No part of a request has been received, and the socket has no unread bytes."""
        if self._has_unanswered() or self._in_request or self._is_closing():
            return False
        return not self._poll(select.POLLIN)

    def can_refuse_incoming(self) -> bool:
        """A request is still being received, and no server has any of it: refusing it does no harm."""
        if not self._in_request or self._is_closing():
            return False
        stream = self._incoming.body_stream if self._incoming is not None else None
        return stream is None or not stream.sending_started

    def refuse_incoming(self) -> None:
        """Refuses the request that is being received, and releases what is held of it."""
        self._reject_input(Rejection(503, "no memory is left"))
        self._process_next()

    def held_bytes(self) -> int:
        """The memory that is held for this connection."""
        return self._account.total

    def state(self) -> ConnectionState:
        """For metrics and log lines."""
        if self._is_closing():
            return ConnectionState.CLOSING
        if self._source is not None:
            return ConnectionState.ANSWERING
        if self._in_request:
            return ConnectionState.HEAD if self._parser.in_head else ConnectionState.BODY
        if self._has_unanswered():
            return ConnectionState.WAITING
        return ConnectionState.SILENT if self.is_new else ConnectionState.IDLE

    def is_receiving(self) -> bool:
        return (self._in_request or bool(self._unparsed)) and not self._is_closing()

    def is_stalled_in_head(self, duration_s: float, now: float) -> bool:
        """The head is incomplete and nothing has been received for that time."""
        return self._parser.in_head and has_elapsed(self._last_read_at, duration_s, now) and not self._has_unanswered()

    def shut_down(self, linger_s: float = LINGER_S) -> None:
        """Closes an idle connection gracefully.

        A request that arrives during the close is discarded, not forwarded: the client sees the close and retries
        elsewhere. A close with unread bytes would send a reset, and the client could lose its last answer.
        """
        self._begin_linger(linger_s)

    def close(self) -> None:
        """Closes the connection without lingering, once the client has taken its last answer.

        Its descriptor no longer counts, so a client that stops reading is given LINGER_S only.
        """
        if self._transport is None:
            return
        if self.has_unsent():
            now = self._front.loop.time()
            self._send_progress = self._send_progress or SendProgress(self._transport, now)
            self._linger_timer = self._linger_timer or self._front.loop.call_later(UNSENT_CHECK_S, self._end_linger)
        self._transport.close()
        self._front.released(self)


@dataclass
class Frontend:
    """All client connections of the process and their listener, within the limit on descriptors."""

    loop: asyncio.AbstractEventLoop
    reader: RequestReader
    descriptors: Descriptors
    budget: BodyBudget
    handler: Handler
    life: LifeCycle
    metrics: ProxyMetrics = field(default_factory=ProxyMetrics)
    closing: bool = False  # connections close after their next answer
    connections: dict[ClientConnection, None] = field(default_factory=dict)  # longest idle first
    lingering: dict[ClientConnection, None] = field(default_factory=dict)  # longest lingering first
    parse_queue: ParseQueue = field(init=False)
    _relieved_at: float = -math.inf
    _listener: Listener | None = None

    def __post_init__(self) -> None:
        self.descriptors.make_room = self.make_room
        self.parse_queue = ParseQueue(self.loop)

    def listen(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind((host, port))
        except OSError:
            listening.close()
            raise
        self.listen_on(listening)

    def listen_on(self, listening: socket.socket) -> None:
        """Listens on a socket that other processes may share; only this process's descriptor of it is ever closed."""
        listening.listen(BACKLOG)
        self._listener = Listener(self.loop, listening, lambda: ClientConnection(self), self.has_room_for)

    def address(self) -> Address:
        """The listener's host and port."""
        assert self._listener is not None
        host, port = self._listener.socket.getsockname()[:2]
        return host, port

    async def drain_backlog(self, timeout_s: float) -> None:
        """Accepts the connections in the backlog before the listener is closed.

        The kernel has completed them and clients may have sent requests: closing the listener would reset them.
        """
        until = self.loop.time() + timeout_s
        while self._listener is not None and self._listener.has_pending() and self.loop.time() < until:
            await asyncio.sleep(0)

    def is_receiving(self) -> bool:
        """Some connection has received part of a request."""
        return any(connection.is_receiving() for connection in self.connections)

    def is_sending(self) -> bool:
        """Some client has not taken the whole of an answer that was written to its connection."""
        return any(connection.has_unsent() for connection in self.connections)

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def is_listening(self) -> bool:
        return self._listener is not None

    def close_idle(self, first_request_s: float = 0.0) -> None:
        """Closes idle connections; one without a request yet only if it is older than `first_request_s`."""
        now = self.loop.time()
        for connection in list(self.connections):
            may_send = connection.is_new and not has_elapsed(connection.idle_since, first_request_s, now)
            if not may_send and connection.is_idle():
                connection.shut_down()

    def opened(self, connection: ClientConnection) -> None:
        """Registers a connection, and over the limit on descriptors closes another one for it.

        Client connections without pending requests are closed first, then idle connections to backends: idle clients
        after a burst cost their own connections, not those that requests use. Last are clients that sent nothing yet.
        If all are in use, a few more clients get an answer that refuses them; beyond these the new one is closed.
        """
        self.connections[connection] = None
        self.descriptors.used += 1
        if not self.is_over_limit() or self.make_room() or self.handler.make_room():
            return
        if not self._close_longest_idle(lambda other: other is not connection) and not self.has_room_for(0):
            self._close_for(connection, CloseReason.OVER_LIMIT)

    def _close_for(self, connection: ClientConnection, reason: CloseReason) -> None:
        self.metrics.closed.add(reason.value)
        connection.close()

    def has_room_for(self, more: int) -> bool:
        """`more` connections can be accepted, counting those whose requests are only refused."""
        return self.descriptors.used + more <= self.descriptors.limit + Descriptors.REFUSED_CLIENTS

    def mark_idle(self, connection: ClientConnection) -> None:
        """Moves a connection without pending requests to the end of the idle order."""
        connection.idle_since = self.loop.time()
        self.connections[connection] = self.connections.pop(connection)

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Its answers are complete; it is only read so that a reset does not discard the last one."""
        if connection in self.connections:
            self.lingering[connection] = None

    def make_room(self) -> bool:
        """Closes a client connection without pending requests, preferably one idle for at least MIN_IDLE_S.

        After a burst all connections have been idle only briefly. An early close costs an answered client nothing,
        while an open request without a connection to a server fails. Returns whether a connection was closed.
        """
        return (
            self._close_idle_past_minimum()
            or self._close_lingering()
            or self._close_idle_answered()
            or self._close_stalled()
        )

    def relieve_memory(self) -> None:
        """Refuses requests that are still being received, those that hold most first, until enough memory is free."""
        now = self.loop.time()
        if not has_elapsed(self._relieved_at, RELIEF_INTERVAL_S, now):
            return
        self._relieved_at = now
        excess = self.budget.memory.excess()
        receiving = [connection for connection in self.connections if connection.can_refuse_incoming()]
        receiving.sort(key=ClientConnection.held_bytes, reverse=True)
        for connection in receiving:
            if excess <= 0.0:
                return
            before = connection.held_bytes()
            connection.refuse_incoming()
            excess -= before - connection.held_bytes()

    def _close_lingering(self) -> bool:
        now = self.loop.time()
        for oldest in self.lingering:
            if not has_elapsed(oldest.lingering_since, MIN_LINGER_S, now):
                return False
            if not oldest.is_sending_last_answer():
                self._close_for(oldest, CloseReason.LINGERING)
                return True
        return False

    def _close_idle_past_minimum(self) -> bool:
        return self._close_longest_idle(lambda other: True, MIN_IDLE_S)

    def _close_idle_answered(self) -> bool:
        return self._close_longest_idle(lambda other: not other.is_new)

    def _close_stalled(self) -> bool:
        """Closes a connection without progress for STALLED_HEAD_S within a head; it is unlikely to continue."""
        now = self.loop.time()
        for other in self.connections:
            if not has_elapsed(other.idle_since, STALLED_HEAD_S, now):
                return False  # the connections are ordered, so none of the following is stalled for as long
            if other.is_stalled_in_head(STALLED_HEAD_S, now):
                self._close_for(other, CloseReason.STALLED)
                return True
        return False

    def _close_longest_idle(self, may_close: Callable[[ClientConnection], bool], rest_s: float = -math.inf) -> bool:
        now = self.loop.time()
        for other in self.connections:
            if not has_elapsed(other.idle_since, rest_s, now):
                return False
            if may_close(other) and other.is_idle():
                self._close_for(other, CloseReason.IDLE)
                return True
        return False

    def released(self, connection: ClientConnection) -> None:
        """A closing connection no longer counts: its descriptor is freed shortly."""
        if connection in self.connections:
            del self.connections[connection]
            self.lingering.pop(connection, None)
            self.descriptors.used -= 1

    def closed(self, connection: ClientConnection) -> None:
        self.released(connection)

    def is_over_limit(self) -> bool:
        """No further request can be taken up, for want of descriptors or memory."""
        return self.descriptors.used > self.descriptors.limit or self.budget.memory.is_over()

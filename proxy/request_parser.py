"""Parsing of the requests on a client connection: HTTP/1.1 messages in, heads and bodies out.

A wrapper of the parser of httptools. That one takes each offer of another protocol (RFC 9110, 7.8) for accepted, and
ends the message after its head. No offer is ever accepted here, so such a message is parsed as if it held none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

import httptools

MAX_HEAD = 64 * 1024  # bytes of a request's head
OPTIONAL_WHITESPACE = b" \t"  # allowed around a header's value; httptools keeps it at the end

Headers = list[tuple[bytes, bytes]]


class Rejection(NamedTuple):
    """The answer to a request that is not tried: the status, and the reason as the body."""

    status: int
    reason: str


class BadRequest(Exception):
    """Ends the processing of a request that is rejected.

    It must not be kept, nor raised from a local variable: its traceback holds the frames that it passed, and with a
    reference back to it they are released only by the garbage collector.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.rejection = Rejection(status, reason)


class TunnelRequested(Exception):
    """The request that was just received is a CONNECT: what follows it is not HTTP."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request as the client sent it."""

    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool
    is_http10: bool


class RequestReceiver(Protocol):
    """Receives the parts of each message in order. Each method may raise BadRequest, which ends the parsing."""

    def message_began(self) -> None: ...

    def head_received(self, head: RequestHead) -> None: ...

    def body_received(self, data: bytes) -> None: ...

    def message_ended(self) -> None: ...


def _bad_request_of(problem: httptools.HttpParserError) -> BadRequest:
    """The exception of a callback, which httptools wraps, or a rejection of data that are not HTTP."""
    cause = problem.__context__
    return cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed")


class RequestParser:
    """Parses the requests of one connection."""

    def __init__(self, receiver: RequestReceiver) -> None:
        self.in_head = False  # the head of a message is incomplete
        self.on_body = receiver.body_received
        self._receiver = receiver
        self._target = bytearray()
        self._headers: Headers = []
        self._head_size = 0
        self._is_replaying = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: memoryview) -> None:
        """Parses the data and calls the receiver. Raises BadRequest or TunnelRequested; no data may follow then."""
        try:
            while data:
                data = data[self._feed_to_offer(data) :]
        except httptools.HttpParserError as problem:
            raise _bad_request_of(problem) from None

    def close(self) -> None:
        """Breaks the reference cycles with httptools and the receiver, which would delay the release of a body."""
        del self._parser, self._receiver, self.on_body

    def _feed_to_offer(self, data: memoryview) -> int:
        """Parses up to the end of the next head that offers another protocol. Returns the number of bytes."""
        try:
            self._parser.feed_data(data)
            return len(data)
        except httptools.HttpParserUpgrade as upgrade:
            end_of_head = int(upgrade.args[0])
        if not self._is_offer():
            raise TunnelRequested
        self._replay_head()
        return end_of_head

    def _is_offer(self) -> bool:
        """The current message offers another protocol; a CONNECT, which httptools treats alike, does not."""
        return bool(self._parser.should_upgrade()) and self._parser.get_method() != b"CONNECT"

    def _replay_head(self) -> None:
        """Parses the head of the current message again, without its offer, so that the body is parsed behind it."""
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (self._parser.get_method(), bytes(self._target), version)]
        lines += [b"%s: %s" % header for header in self._headers if header[0].lower() != b"upgrade"]
        self._parser = httptools.HttpRequestParser(self)  # with "Connection: close" the former one takes no more data
        self._is_replaying = True
        try:
            self._parser.feed_data(b"\r\n".join([*lines, b"", b""]))
        finally:
            self._is_replaying = False

    # --- httptools callbacks ---

    def on_message_begin(self) -> None:
        self._target.clear()
        self._headers = []
        self._head_size = 0
        self.in_head = True
        if not self._is_replaying:
            self._receiver.message_began()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value or b""))
        if self.in_head:  # trailers after the body are ignored
            self._headers.append((name, (value or b"").strip(OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        if self._is_offer():
            return
        self.in_head = False
        self._receiver.head_received(
            RequestHead(
                self._parser.get_method(),
                bytes(self._target),
                self._headers,
                bool(self._parser.should_keep_alive()),
                self._parser.get_http_version() == "1.0",
            )
        )

    def on_message_complete(self) -> None:
        if not self._is_offer():
            self._receiver.message_ended()

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            raise BadRequest(431, "the head is too large")

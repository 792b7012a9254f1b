"""Parsing of the requests on a client connection: HTTP/1.1 messages in, heads and bodies out.

A wrapper of the parser of httptools. That one takes each offer of another protocol (RFC 9110, 7.8) for accepted, and
ends the message after its head. No offer is ever accepted here, so such a message is parsed as if it held none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

import httptools

from proxy.memory import HEADER_FIELD_OVERHEAD, REQUEST_HEAD_OVERHEAD

MAX_HEAD = 64 * 1024  # bytes of a request's head
MAX_HEADER_FIELDS = 256  # of a head; a short field takes many times its bytes
END_OF_HEAD = b"\r\n\r\n"  # also ends each chunked body
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
    length: int | None  # bytes of the body, if stated
    keep_alive: bool
    is_http10: bool

    def held_bytes(self) -> int:
        """The memory that it takes, in bytes."""
        text = len(self.target) + sum(len(name) + len(value) for name, value in self.headers)
        return REQUEST_HEAD_OVERHEAD + text + HEADER_FIELD_OVERHEAD * len(self.headers)


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
        self._body_left = 0  # bytes of the current body that are missing, if the head states its length
        self._tail = b""  # the last bytes of heads and chunks that were parsed: the end of a head may come in parts
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes, start: int = 0, most: int = MAX_HEAD) -> int:
        """Parses the data from `start` on and calls the receiver. Returns the index of the first byte not parsed.

        Of heads and chunks, each part of which is a call, at most that many bytes are parsed.

        At most one message ends in a call, so that the caller can leave the others until it has room for them. Raises
        BadRequest or TunnelRequested; no data may follow then.
        """
        end = self._end_of_part(data, start, most)
        try:
            self._feed_part(memoryview(data)[start:end])
        except httptools.HttpParserError as problem:
            raise _bad_request_of(problem) from None
        return end

    def held_head_bytes(self) -> int:
        """The memory that the head of the current message takes, in bytes."""
        return self._head_size + HEADER_FIELD_OVERHEAD * len(self._headers)

    def release_head(self) -> None:
        """Releases what was kept of the current message's head; no data may follow."""
        self._target.clear()
        self._headers = []
        self._head_size = 0

    def close(self) -> None:
        """Breaks the reference cycles with httptools and the receiver, which would delay the release of a body."""
        del self._parser, self._receiver, self.on_body

    def _end_of_part(self, data: bytes, start: int, most: int) -> int:
        """The index at which the current message may end: the end of its body, or else the next blank line."""
        if self._body_left:
            end = min(start + self._body_left, len(data))
            self._body_left -= end - start
            return end
        overlap = len(END_OF_HEAD) - 1
        found = (self._tail + data[start : start + overlap]).find(END_OF_HEAD)
        if found >= 0:
            end = start + found + len(END_OF_HEAD) - len(self._tail)
        else:
            stop = min(start + most, len(data))
            found = data.find(END_OF_HEAD, start, stop)
            end = found + len(END_OF_HEAD) if found >= 0 else stop
        self._tail = (self._tail + data[max(end - overlap, start) : end])[-overlap:]
        return end

    def _feed_part(self, part: memoryview) -> None:
        try:
            self._parser.feed_data(part)
            return
        except httptools.HttpParserUpgrade:
            pass  # handled outside, so that the exceptions of callbacks keep their context
        if not self._is_offer():
            raise TunnelRequested
        self._replay_head()

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
            if len(self._headers) > MAX_HEADER_FIELDS:
                raise BadRequest(431, "the head has too many fields")

    def on_headers_complete(self) -> None:
        if self._is_offer():
            return
        self.in_head = False
        length = next((int(value) for name, value in self._headers if name.lower() == b"content-length"), None)
        self._body_left = length or 0
        self._receiver.head_received(
            RequestHead(
                self._parser.get_method(),
                bytes(self._target),
                self._headers,
                length,
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

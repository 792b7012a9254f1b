"""One call for the endpoint list: a chunked answer of JSON objects that continues until the connection ends."""

from __future__ import annotations

import asyncio
import math
import re
import select
from collections.abc import Iterator
from typing import Any, Protocol, cast

import httptools
import orjson

from balancing.api import Server
from balancing.freshness import CallFailure
from proxy.config import Address

MAX_OBJECT_BYTES = 8 << 20  # enough for a list of about 40,000 servers
LIFE_HEADER = "Mastlift-Life"  # header that names the history that the revisions belong to; optional
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


class ObjectSplitter:
    """Splits a stream into JSON objects: one per line, or one over several lines if it is indented.

    An empty line means that nothing has changed; it never occurs within an object.
    """

    def __init__(self) -> None:
        self._partial_line = bytearray()  # a line that is not complete
        self._object_lines: list[bytes] = []  # the lines of an object that is not complete
        self._size = self._depth = 0

    def is_at_boundary(self) -> bool:
        """Whether no part of a further object has been received."""
        return not self._partial_line and not self._object_lines

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yields the objects that `data` completes. Raises ValueError if the stream cannot be a list."""
        searched = len(self._partial_line)
        self._partial_line += data
        start = 0
        while (end := self._partial_line.find(b"\n", searched)) >= 0:
            line = bytes(self._partial_line[start:end]).strip()
            start = searched = end + 1
            yield from self._take(line)
        del self._partial_line[:start]
        if len(self._partial_line) + self._size > MAX_OBJECT_BYTES:
            raise ValueError("the list is too long")

    def _take(self, line: bytes) -> Iterator[Any]:
        if not line:
            if self._object_lines:
                raise ValueError("empty line within a list")
            return
        if not self._object_lines:
            try:
                yield orjson.loads(line)
                return
            except orjson.JSONDecodeError:
                if not line.startswith(b"{"):
                    raise
        self._object_lines.append(line)
        self._size += len(line)
        for token in TOKEN.findall(line):
            self._depth += (token in (b"{", b"[")) - (token in (b"}", b"]"))
        if self._depth <= 0:
            whole = b"\n".join(self._object_lines)
            self._object_lines, self._size, self._depth = [], 0, 0
            yield orjson.loads(whole)


class Reader(Protocol):
    def read(self, message: dict[str, Any]) -> tuple[list[Server], dict[str, Address]]: ...


class Owner(Protocol):
    """Receives the events of a call."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...

    @property
    def reader(self) -> Reader: ...

    def rejection_reason(self, message: dict[str, Any], life: str) -> str: ...

    def changed(
        self, watch: WatchConnection, message: dict[str, Any], servers: list[Server], addresses: dict[str, Address]
    ) -> None: ...

    def fell_silent(self, watch: WatchConnection, silent_s: float) -> None: ...

    def recovered(self, watch: WatchConnection) -> None: ...

    def ended(self, watch: WatchConnection, reason: str) -> None: ...

    def record_call_end(self, watch: WatchConnection, reason: str) -> None: ...


class WatchConnection(asyncio.Protocol):
    """The connection of one call: reports lists, silence and the end of the connection to its owner."""

    number = 0  # of the call, in the log
    _recovery_pending = False  # silence was reported and its end has not been reported yet
    moved_away_at = math.inf  # when discovery moved away from its address, on the loop's clock in seconds

    def __init__(
        self,
        owner: Owner,
        target: str,
        host: str,
        first_line_timeout_s: float,
        silence_timeout_s: float,
        life: str = "",
    ) -> None:
        """`life` names the history that the index in `target` belongs to.

        Silence is reported after `first_line_timeout_s` without a first line, and after `silence_timeout_s` without
        data from then on. The connection stays open until `end` is called.
        """
        self._owner = owner
        self._head = (
            f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n"
            + (f"{LIFE_HEADER}: {life}\r\n" if life else "")
            + "\r\n"
        ).encode()
        self.life = ""  # the history that the answer names
        self.is_answered = self.has_list = False  # whether a line has been received; whether a list has been applied
        self.was_closed = self.was_refused = False  # how it ended: closed properly by discovery; with an error answer
        self._timeout_s, self._silence_timeout_s = first_line_timeout_s, silence_timeout_s
        self._silent = False  # silence was reported and no data has been received since
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)  # None after the end
        self._splitter = ObjectSplitter()
        self._is_reading = False
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._ended = False
        self._last_received_at = self.opened_at = owner.loop.time()
        self._silence_timer = owner.loop.call_later(first_line_timeout_s, self._check_silence)

    @property
    def last_received_at(self) -> float:
        """When data was last received, or the call was made; on the loop's clock, in seconds."""
        return self._last_received_at

    @property
    def is_silent(self) -> bool:
        """Whether silence was reported and no data has been received since."""
        return self._silent

    @property
    def was_connected(self) -> bool:
        return self._transport is not None

    def open(self, address: Address) -> None:
        self._connect_task = self._owner.loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        try:
            await self._owner.loop.create_connection(lambda: self, *address)
        except OSError as problem:
            self.end(f"connection failed: {problem}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:
            self._transport.abort()
        else:
            self._transport.write(self._head)

    def data_received(self, data: bytes) -> None:
        assert self._parser is not None
        self._is_reading = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self.end(f"answer not understood: {problem}")
        finally:
            self._is_reading = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == LIFE_HEADER.lower().encode():
            self.life = value.decode("ascii", "replace")

    def on_body(self, body: bytes) -> None:
        if not self._ended and self._status() == 200:
            self._take(body)

    def _status(self) -> int:
        assert self._parser is not None
        return int(self._parser.get_status_code())

    def _take(self, body: bytes) -> None:
        self._on_bytes_received()
        try:
            for message in self._splitter.feed(body):
                self._read(message)
                if self._ended:
                    break
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            self.end(f"line not understood: {type(problem).__name__}: {problem}")
        # An incomplete line does not prove that the list is current.
        if self._recovery_pending and self.has_list and self._splitter.is_at_boundary() and not self._ended:
            self._recovery_pending = False
            self._owner.recovered(self)

    def _read(self, message: dict[str, Any]) -> None:
        if reason := self._owner.rejection_reason(message, self.life):
            self.end(reason)
            return
        self._owner.changed(self, message, *self._owner.reader.read(message))

    def on_message_complete(self) -> None:
        status = self._status()
        if status >= 200:
            self.was_closed = status == 200
            self.was_refused = not self.was_closed
            self.end(f"over, status {status}")

    def eof_received(self) -> None:
        self.was_closed = True
        self.end("connection closed")

    def connection_lost(self, problem: Exception | None) -> None:
        self.end(f"connection lost: {problem}")
        self._release_parser()

    def has_unread(self) -> bool:
        """Whether data has been received that is not processed yet, or is just being processed."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._is_reading:
            return True
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def failure(self) -> CallFailure:
        """How the call failed, if no line was received."""
        if self.was_refused:
            return CallFailure.REFUSED
        return CallFailure.UNANSWERED if self.was_connected else CallFailure.UNREACHABLE

    def outcome(self) -> str:
        """How the call ended, as named in the log and the metrics."""
        return "answered" if self.is_answered else self.failure().value

    def _on_bytes_received(self) -> None:
        self._last_received_at = self._owner.loop.time()
        self._timeout_s = self._silence_timeout_s
        self.is_answered = True
        if self._silent:
            self._silent = False
            self._recovery_pending = True
            self._silence_timer = self._owner.loop.call_later(self._timeout_s, self._check_silence)

    def _check_silence(self) -> None:
        """Reports silence. If the discovery host disappears, its connection stays open and no data arrives."""
        now = self._owner.loop.time()
        left = self._last_received_at + self._timeout_s - now
        if left <= 0:
            self._silent = True
            self._owner.fell_silent(self, now - self._last_received_at)
        else:
            self._silence_timer = self._owner.loop.call_later(left, self._check_silence)

    def end(self, reason: str, notify_owner: bool = True) -> None:
        """Closes the connection; with `notify_owner` its owner is notified, so that it can call again."""
        if self._ended:
            return
        self._ended = True
        self._silence_timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        elif self._connect_task is not None:
            self._connect_task.cancel()
            self._release_parser()
        self._owner.record_call_end(self, reason)
        if notify_owner:
            self._owner.ended(self, reason)

    def _release_parser(self) -> None:
        """Breaks the reference cycle with the parser, which would delay the release of what is held of a list."""
        self._parser = None

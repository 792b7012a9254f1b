"""The admin endpoint: an HTTP listener for operators, separate from the clients' one; one call per connection.

Its descriptors are reserved, so that neither load nor stalled connections can block it: the number and the duration of
connections are limited, and a new connection beyond the limit closes the oldest one.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, cast

import orjson

from proxy.config import Address
from proxy.lifecycle import LifeCycle
from proxy.metrics import ProxyMetrics
from proxy.request_parser import BadRequest, RequestHead, RequestParser, TunnelRequested

MAX_OPEN = 8
DESCRIPTORS = MAX_OPEN + 3  # reserved: also for the listener and for connections that are closing
MAX_CALL_SIZE = 16 * 1024  # bytes of a call, including its body
CALL_TIMEOUT_S = 2.0  # from connecting to the end of the call
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Call:
    """An operation of the endpoint; `run` returns the status and the text of the answer."""

    method: bytes
    run: Callable[[], tuple[int, str]]


def settings_digest(raw: Mapping[str, Any]) -> str:
    """SHA-256 of a configuration, independent of the order of its keys. The list of backends is left out."""
    settings = {name: value for name, value in raw.items() if name != "known"}
    return hashlib.sha256(orjson.dumps(settings, option=orjson.OPT_SORT_KEYS)).hexdigest()


@dataclass
class Configuration:
    """The settings in force and the result of the last reload, as the admin endpoint shows them."""

    digest: str
    version: Any  # the file's `version`; None without one
    reloads: int = 0  # since the start, applied or refused
    refused: str | None = None  # why the last reload was refused; None if it was applied

    @classmethod
    def of(cls, raw: Mapping[str, Any]) -> Configuration:
        return cls(settings_digest(raw), raw.get("version"))

    def record_applied(self, raw: Mapping[str, Any]) -> None:
        self.reloads += 1
        self.digest, self.version, self.refused = settings_digest(raw), raw.get("version"), None

    def record_refused(self, reason: str) -> None:
        self.reloads += 1
        self.refused = reason

    def text(self) -> str:
        return orjson.dumps(
            {
                "pid": os.getpid(),
                "digest": self.digest,
                "version": self.version,
                "reloads": self.reloads,
                "refused": self.refused,
            }
        ).decode()


def admin_calls(
    life: LifeCycle, configuration: Configuration | None = None, metrics: ProxyMetrics | None = None
) -> dict[bytes, Call]:
    """The endpoint's calls by their paths."""

    def ready() -> tuple[int, str]:
        return (200 if life.is_ready() else 503), life.phase.value

    def order(action: Callable[[], bool]) -> Callable[[], tuple[int, str]]:
        def run() -> tuple[int, str]:
            done = action()
            return (200 if done else 409), life.phase.value

        return run

    calls = {
        b"/api/ready": Call(b"GET", ready),
        b"/api/evacuate": Call(b"POST", order(life.evacuate)),
        b"/api/rejoin": Call(b"POST", order(life.rejoin)),
    }
    if configuration is not None:
        calls[b"/api/configuration"] = Call(b"GET", lambda: (200, configuration.text()))
    if metrics is not None:
        calls[b"/metrics"] = Call(b"GET", lambda: (200, metrics.text()))
    return calls


class AdminConnection(asyncio.Protocol):
    """One connection to the admin endpoint: parses one call, answers it and closes."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._head: RequestHead | None = None  # of the first call; no other is answered
        self._size = 0
        self._is_complete = False
        self._answered = False
        self._timer = endpoint.loop.call_later(CALL_TIMEOUT_S, self._timed_out)
        self.since = endpoint.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._size += len(data)
        if self._size > MAX_CALL_SIZE:
            self._answer(413, "too large")
            return
        try:
            position = 0
            while position < len(data):
                position = self._parser.feed(data, position)
        except (BadRequest, TunnelRequested):
            self._answer(400, "malformed")
            return
        if self._head is not None and self._is_complete:
            self._run(self._head)

    def message_began(self) -> None:
        pass

    def head_received(self, head: RequestHead) -> None:
        if self._head is None:
            self._head = head

    def body_received(self, data: bytes) -> None:
        pass  # no call has a use for a body

    def message_ended(self) -> None:
        self._is_complete = True

    def _run(self, head: RequestHead) -> None:
        call = self._endpoint.calls.get(head.target.split(b"?", 1)[0])
        if call is None:
            self._answer(404, "unknown path")
        elif head.method != call.method:
            self._answer(405, "wrong method", b"Allow: %s\r\n" % call.method)
        else:
            self._answer(*call.run())

    def _timed_out(self) -> None:
        if self._answered or not self._size:
            self.end()
        else:
            self._answer(408, "the call did not come in time")

    def _answer(self, status: int, text: str, header: bytes = b"") -> None:
        self._answered = True
        body = text.encode() + b"\n"
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(
                b"HTTP/1.1 %d %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n"
                b"Connection: close\r\n\r\n%s" % (status, REASONS[status], header, len(body), body)
            )
            # Closes fully only after the peer has closed, or at CALL_TIMEOUT_S: a close with unread input would send
            # a reset, and the peer could lose the answer.
            self._transport.write_eof()

    def eof_received(self) -> None:
        self.end()

    def connection_lost(self, problem: Exception | None) -> None:
        self._timer.cancel()
        self._endpoint.connection_closed(self)
        self._parser.close()
        del self._parser

    def end(self) -> None:
        """Closes the connection; without an answer it is reset."""
        if self._transport is not None:
            self._transport.abort() if not self._answered else self._transport.close()


@dataclass
class AdminEndpoint:
    """Listens for admin calls on at most MAX_OPEN connections."""

    loop: asyncio.AbstractEventLoop
    calls: dict[bytes, Call]
    _connections: dict[AdminConnection, None] = field(default_factory=dict)  # oldest first
    _server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        self._server = await self.loop.create_server(
            lambda: AdminConnection(self), host, port, backlog=128, reuse_address=True
        )

    def address(self) -> Address:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def connection_opened(self, connection: AdminConnection) -> None:
        self._connections[connection] = None
        if len(self._connections) > MAX_OPEN:
            next(iter(self._connections)).end()

    def connection_closed(self, connection: AdminConnection) -> None:
        self._connections.pop(connection, None)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.end()

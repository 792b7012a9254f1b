"""An event loop that counts what passes its client sockets, by the port at the other end."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, cast

import msgspec
import uvloop


class Traffic(msgspec.Struct):
    """What passed some sockets. A message is one read or one write of the program."""

    connections: int = 0
    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def add(self, other: Traffic) -> None:
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def since(self, earlier: Traffic) -> Traffic:
        return Traffic(*(getattr(self, name) - getattr(earlier, name) for name in self.__struct_fields__))


def total(parts: Iterable[Traffic]) -> Traffic:
    everything = Traffic()
    for one in parts:
        everything.add(one)
    return everything


class _CountedTransport:
    """A transport whose writes are counted; all else is the transport's own."""

    def __init__(self, transport: asyncio.Transport, traffic: Traffic, sent: Counter[int]) -> None:
        self._transport, self._traffic, self._sent = transport, traffic, sent

    def write(self, data: bytes) -> None:
        self._note(len(data))
        self._transport.write(data)

    def writelines(self, pieces: Iterable[bytes]) -> None:
        data = b"".join(pieces)
        self._note(len(data))
        self._transport.write(data)

    def _note(self, size: int) -> None:
        self._traffic.messages_out += 1
        self._traffic.bytes_out += size
        self._sent[int(time.monotonic())] += 1

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class _CountedProtocol(asyncio.Protocol):
    """Passes everything on to the program's own protocol, and counts what is read."""

    def __init__(self, inner: asyncio.Protocol, traffic: Traffic, sent: Counter[int]) -> None:
        self.inner, self._traffic, self._sent = inner, traffic, sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._traffic.connections += 1
        counted = _CountedTransport(cast(asyncio.Transport, transport), self._traffic, self._sent)
        self.counted = cast(asyncio.Transport, counted)
        self.inner.connection_made(self.counted)

    def data_received(self, data: bytes) -> None:
        self._traffic.messages_in += 1
        self._traffic.bytes_in += len(data)
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self.inner.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        self.inner.connection_lost(error)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()


class CountingLoop(uvloop.Loop):
    """`traffic` is by remote port; `sent` counts writes by second of the monotonic clock."""

    def __init__(self) -> None:
        super().__init__()
        self.traffic: dict[int, Traffic] = defaultdict(Traffic)
        self.sent: Counter[int] = Counter()

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> tuple[Any, Any]:
        given = options.get("sock")
        remote = given.getpeername()[1] if given is not None else int(port)
        _, counted = await super().create_connection(
            lambda: _CountedProtocol(factory(), self.traffic[remote], self.sent), host, port, **options
        )
        return counted.counted, counted.inner

"""Stand-in backends in a process of their own, and a stand-in discovery that lists them: all answer at once.

`python -m mastlift.lab.capacity.answering COUNT` prints `answering {addresses, discovery}` on standard error.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from typing import cast

import msgspec
import uvloop

from mastlift.discovery.lists import ListUpdate, Member, Phase

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
HEAD_END = b"\r\n\r\n"
EMPTY_LINE_S = 2.0


class Addresses(msgspec.Struct, frozen=True):
    """Where the stand-ins listen."""

    backends: list[str]
    discovery: str


class Backend(asyncio.Protocol):
    """Answers each request without a body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport, self._waiting = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        *requests, self._waiting = (self._waiting + data).split(HEAD_END)
        for _ in requests:
            self._transport.write(ANSWER)


class ListStream(asyncio.Protocol):
    """Answers a watch with the whole list, then with an empty line every other second."""

    def __init__(self, line: bytes) -> None:
        self._line = line

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport, self._is_answered = cast(asyncio.Transport, transport), False

    def data_received(self, data: bytes) -> None:
        if not self._is_answered:
            self._is_answered = True
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n" + _chunk(self._line)
            )
            asyncio.get_running_loop().call_later(EMPTY_LINE_S, self._say_nothing_new)

    def _say_nothing_new(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(_chunk(b"\n"))
            asyncio.get_running_loop().call_later(EMPTY_LINE_S, self._say_nothing_new)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def _listen(factory: type[Backend]) -> str:
    server = await asyncio.get_running_loop().create_server(factory, "127.0.0.1", 0, backlog=1024)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def _serve(count: int) -> None:
    addresses = [await _listen(Backend) for _ in range(count)]
    members = [
        Member(f"b{number}", address, "a", "std", number, Phase.IN_SERVICE, 1.0, 0)
        for number, address in enumerate(addresses)
    ]
    line = msgspec.json.encode(ListUpdate(int(time.time() * 1000), True, members)) + b"\n"
    server = await asyncio.get_running_loop().create_server(lambda: ListStream(line), "127.0.0.1", 0)
    discovery = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    told = msgspec.json.encode(Addresses(addresses, discovery)).decode()
    print(f"answering {told}", file=sys.stderr, flush=True)
    gc.freeze()
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_serve(int(sys.argv[1])))

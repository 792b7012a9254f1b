"""A relay before a process: cuts, one way too, and delays, by who connects. It tells peers by the head they send."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from mastlift.keeper.peers import FROM_HEADER

CLIENTS = "clients"
Heard = Callable[[bytes], None]


def _unheard(data: bytes) -> None:
    """Nobody listens."""


class Relay:
    """`deaf_to` names the sources whose bytes go nowhere, `mute_to` those who get no answers; connections stay open,
    and one that lost bytes so stays dead when its source is heard again.
    `delay_s` is what each piece waits, either way. `tap` is called with the head of each connection and gives what
    hears the bytes of its answer as they leave."""

    def __init__(self, target: str, tap: Callable[[bytes], Heard] | None = None) -> None:
        self.target, self.address, self._tap = target, "", tap
        self.deaf_to: set[str] = set()
        self.mute_to: set[str] = set()
        self.delay_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        there: asyncio.StreamWriter | None = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            source = CLIENTS
            for line in head.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == FROM_HEADER.lower().encode():
                    source = value.strip().decode().partition(".")[0]
            host, _, port = self.target.rpartition(":")
            back, there = await asyncio.open_connection(host, int(port))
            reached = source not in self.deaf_to
            if reached:
                there.write(head)
            heard = self._tap(head) if self._tap else _unheard
            await asyncio.gather(
                self._pump(reader, there, self.deaf_to, source, _unheard, not reached),
                self._pump(back, writer, self.mute_to, source, heard, False),
            )
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the end of a connection, or of the relay
        finally:
            self._tasks.discard(task)
            for end in (writer, there):
                if end is not None:
                    end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: set[str],
        source: str,
        heard: Heard,
        hole: bool,
    ) -> None:
        """`hole`: bytes of this stream were lost already; such a one passes on no more of them."""
        while data := await reader.read(1 << 16):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            hole = hole or source in cut
            if not hole:
                heard(data)
                writer.write(data)
                await writer.drain()
        writer.close()

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def relay(target: str, address: str, tap: Callable[[bytes], Heard] | None = None) -> AsyncIterator[Relay]:
    """A relay that listens at `address` and goes on to `target`."""
    host, _, port = address.rpartition(":")
    one = Relay(target, tap)
    server = await asyncio.start_server(one._serve, host, int(port), limit=1 << 20)
    one.address = address
    try:
        yield one
    finally:
        server.close()
        await one.close()

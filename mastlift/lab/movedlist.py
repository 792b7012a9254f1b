"""Real proxies whose discovery moves several times in a row while its queue is full, and a server that then drains.

The stand-in discovery answers calls in turn, refuses at once a call that would wait too long, works through calls whose
caller has left, and keeps the former address's connections for a while, as the terms say. Checked from outside:
when each proxy counts as told of the drain, and each request that arrives at the draining server after that.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mastlift.lab.addresses import free_address
from mastlift.lab.fleet import SETTINGS, Client, list_entry
from mastlift.lab.processes import Child, started

GRACE_S = 0.25 + 0.05  # of the terms: after a change counts as told, and what sockets may add
ARRIVAL_S = 0.1  # from a send to its record here, on a busy machine
CHANGE_KNOWN_AFTER_S = 6.0  # of the terms: a change counts as told so long after discovery had it and could be reached
QUEUE_WAIT_S = 2.0  # the longest wait of a call that discovery takes
REFUSAL_S = 0.02  # until the answer to a call that is refused at once
LINE_EVERY_S = 2.0
FORMER_ADDRESS_S = 1.5  # a former address keeps its open connections so long after the signal
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
STREAM = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DRAINING = "s0"


class Call:
    """One call for the list, from its head to the end of its connection."""

    def __init__(self, proxy: int, index: int, writer: asyncio.StreamWriter) -> None:
        self.proxy, self.index = proxy, index
        self.writer = writer
        self.watching = False

    def write(self, data: bytes) -> bool:
        """False where the caller has left."""
        if self.writer.is_closing():
            return False
        self.writer.write(data)
        return True

    def chunk(self, data: bytes) -> bool:
        return self.write(b"%x\r\n%s\r\n" % (len(data), data))


class CrowdedDiscovery:
    """One queue for all addresses. `service_s`: the time that it works at each call."""

    def __init__(self, members: list[dict[str, Any]], service_s: float) -> None:
        self._members = {member["id"]: member for member in members}
        self._service_s = service_s
        self._changes: list[str] = []
        self._queue: asyncio.Queue[Call] = asyncio.Queue()
        self._busy_until = 0.0
        self._calls: set[Call] = set()
        self._handlers: set[asyncio.Task[None]] = set()
        self.is_down = False
        self.told: dict[int, float] = {}  # when the drain was written to each proxy
        self.outcomes: Counter[str] = Counter()

    @property
    def revision(self) -> int:
        return 1 + len(self._changes)

    async def listen(self, proxy: int) -> tuple[str, asyncio.Server]:
        """A further address for that proxy."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._handlers.add(task)
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._serve(proxy, reader, writer)
            self._handlers.discard(task)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}", server

    async def _serve(self, proxy: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        call = Call(proxy, int(head.split(b"index=")[1].split()[0]), writer)
        self._calls.add(call)
        try:
            if self.is_down:
                await asyncio.sleep(QUEUE_WAIT_S)
                self.outcomes["refused while down"] += call.write(BUSY)
            elif self._turn_in_s() > QUEUE_WAIT_S:
                await asyncio.sleep(REFUSAL_S)
                self.outcomes["refused"] += call.write(BUSY)
            else:
                self._busy_until = max(self._busy_until, time.monotonic()) + self._service_s
                self._queue.put_nowait(call)
            await reader.read()  # until the caller leaves
        finally:
            self._calls.discard(call)

    def _turn_in_s(self) -> float:
        return max(self._busy_until - time.monotonic(), 0.0) + self._service_s

    async def work(self) -> None:
        """Answer calls in turn, for ever; those whose caller has left take their time all the same."""
        while True:
            call = await self._queue.get()
            await asyncio.sleep(self._service_s)
            if self.is_down or call not in self._calls or not call.write(STREAM):
                self.outcomes["worked at in vain"] += 1
                continue
            self.outcomes["answered"] += 1
            call.watching = True
            names = dict.fromkeys(self._changes[max(call.index - 1, 0) :])
            self._tell(call, [self._members[name] for name in names])

    async def keep_lines_coming(self) -> None:
        """An empty line to each watch from time to time."""
        while True:
            await asyncio.sleep(LINE_EVERY_S)
            for call in self._calls:
                if call.watching:
                    call.chunk(b"\n")

    def _tell(self, call: Call, entries: list[dict[str, Any]]) -> None:
        message = {"revision": self.revision, "complete": False, "members": entries}
        if call.chunk(json.dumps(message).encode() + b"\n") and any(entry["id"] == DRAINING for entry in entries):
            self.told.setdefault(call.proxy, time.monotonic())

    def drain(self) -> None:
        """The one server begins to drain; open watches hear of it."""
        entry = self._members[DRAINING] = {**self._members[DRAINING], "phase": "terminating"}
        self._changes.append(DRAINING)
        for call in self._calls:
            if call.watching:
                self._tell(call, [entry])

    def close_calls_of(self, proxy: int, before: set[Call]) -> None:
        """The former address ends the connections that it still had."""
        for call in self._calls & before:
            if call.proxy == proxy:
                call.writer.close()

    def open_calls(self) -> set[Call]:
        return set(self._calls)


@dataclass
class Server:
    """A stand-in server; `arrivals` are the times and trace ids of its requests."""

    name: str
    answer_s: float = 0.02
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request on one connection with its own name."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                trace = next(
                    line.split(":")[1].strip() for line in head.split("\r\n") if line.lower().startswith("x-trace-id")
                )
                self.arrivals.append((time.monotonic(), trace))
                await asyncio.sleep(self.answer_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(self.name), self.name.encode()))
        writer.close()


@dataclass(frozen=True, slots=True)
class Plan:
    """What happens, in seconds. `moves_s`: the times between a proxy's signals; the first comes `stagger_s` after the
    one of the proxy before. The drain begins `drain_s` after the first signal of all."""

    proxies: int = 17
    servers: int = 4
    all_calls_s: float = 6.5  # discovery's time for a call of each proxy
    moves_s: tuple[float, ...] = (0.3, 0.4, 0.9)
    stagger_s: float = 0.21
    drain_s: float = 2.17
    watch_s: float = 12.0  # from the drain on
    asks_per_s: float = 20.0


@dataclass(slots=True)
class Result:
    """What was seen from outside."""

    proxies: int = 0
    told_s: list[float] = field(default_factory=list)  # from the drain until it was written to each proxy
    late_sends: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    logs: list[list[str]] = field(default_factory=list)

    def __str__(self) -> str:
        served = sum(count for what, count in self.answers.items() if what.startswith("200"))
        slowest = f"{max(self.told_s):.2f} s" if len(self.told_s) == self.proxies else "not all"
        return (
            f"late sends {len(self.late_sends)}, served {served} of {self.answers.total()}, told "
            f"{len(self.told_s)} of {self.proxies} proxies, the last after {slowest}; calls: "
            + ", ".join(f"{count} {what}" for what, count in sorted(self.outcomes.items()))
        )


class MovedFleet:
    """The processes of one run."""

    def __init__(self, plan: Plan, folder: Path, seed: int) -> None:
        self._plan, self._folder = plan, folder
        self._random = random.Random(seed)
        self._stack = contextlib.AsyncExitStack()
        self._servers = [Server(f"s{number}") for number in range(plan.servers)]
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[asyncio.Server] = []
        self._children: list[Child] = []
        self._configs: list[dict[str, Any]] = []
        self._clients: list[Client] = []
        self.discovery: CrowdedDiscovery

    async def __aenter__(self) -> MovedFleet:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        members = []
        for server in self._servers:
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            self._listeners.append(listener)
            host, port = listener.sockets[0].getsockname()[:2]
            members.append(list_entry(server.name, f"{host}:{port}"))
        plan = self._plan
        self.discovery = CrowdedDiscovery(members, plan.all_calls_s / plan.proxies)
        self._spawn(self.discovery.work(), self.discovery.keep_lines_coming())
        for number in range(plan.proxies):
            await self._add_proxy(number, members)
        await asyncio.gather(*(child.line("serves on") for child in self._children))

    def _spawn(self, *works: Any) -> None:
        self._tasks += [asyncio.create_task(work) for work in works]

    async def _add_proxy(self, number: int, members: list[dict[str, Any]]) -> None:
        address, listener = await self.discovery.listen(number)
        self._listeners.append(listener)
        listen = free_address()
        config = {
            "name": f"n{number}",
            "listen": listen,
            "discovery": address,
            "seed": f"{self._random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {**SETTINGS, "discovery": "subscribe", "group_size": self._plan.proxies, "position": number},
            "known": {"revision": 1, "complete": True, "members": members},
        }
        self._configs.append(config)
        self._children.append(
            await self._stack.enter_async_context(
                started("-m", "proxy", environment={"NODE_CONFIG": str(self._write(number))})
            )
        )
        client = Client(listen, self._plan.asks_per_s, first=number << 32)
        self._clients.append(client)

    def _write(self, number: int) -> Path:
        path = self._folder / f"n{number}.json"
        path.write_text(json.dumps(self._configs[number]))
        return path

    async def all_watch(self, within_s: float = 30.0) -> None:
        """Until each proxy has had its first list."""
        await asyncio.gather(*(child.line("discovery: at revision", within_s) for child in self._children))

    def clients_come(self) -> None:
        """From here on each proxy is asked."""
        self._spawn(*(client.run() for client in self._clients))

    async def move(self, number: int) -> None:
        """A new configuration and SIGHUP: discovery is at another address."""
        address, listener = await self.discovery.listen(number)
        self._configs[number]["discovery"] = address
        self._write(number)
        self._listeners.append(listener)
        before = self.discovery.open_calls()
        self._children[number].send(signal.SIGHUP)
        asyncio.get_running_loop().call_later(FORMER_ADDRESS_S, self.discovery.close_calls_of, number, before)

    async def move_in_a_row(self, number: int) -> None:
        """All of the plan's signals to one proxy."""
        await asyncio.sleep(number * self._plan.stagger_s)
        for pause_s in (0.0, *self._plan.moves_s):
            await asyncio.sleep(pause_s)
            await self.move(number)

    async def run_plan(self) -> Result:
        """Moves, the drain, and what was seen of it."""
        plan = self._plan
        await self.all_watch()
        self.clients_come()
        await asyncio.sleep(0.5)
        moves = [asyncio.create_task(self.move_in_a_row(number)) for number in range(plan.proxies)]
        await asyncio.sleep(plan.drain_s)
        self.discovery.drain()
        drained_at = time.monotonic()
        await asyncio.gather(*moves)
        await asyncio.sleep(max(drained_at + plan.watch_s - time.monotonic(), 0.0))
        return self._result(drained_at)

    def _result(self, drained_at: float) -> Result:
        told = self.discovery.told
        result = Result(
            self._plan.proxies,
            [at - drained_at for at in told.values()],
            outcomes=self.discovery.outcomes,
            logs=[child.lines for child in self._children],
        )
        for client in self._clients:
            result.answers += client.answers
        for arrived_at, trace in self._servers[0].arrivals:
            number = int(trace, 16) >> 32
            known_at = min(told.get(number, drained_at + CHANGE_KNOWN_AFTER_S), drained_at + CHANGE_KNOWN_AFTER_S)
            if arrived_at > known_at + GRACE_S + ARRIVAL_S:
                result.late_sends.append(f"n{number}: {arrived_at - known_at:.2f} s after the drain counted as told")
        return result

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        for listener in self._listeners:
            listener.close()


@contextlib.asynccontextmanager
async def moved_fleet(plan: Plan, folder: Path, seed: int) -> AsyncIterator[MovedFleet]:
    """Proxies, servers and discovery of one run; all end with the block."""
    async with MovedFleet(plan, folder, seed) as fleet:
        yield fleet


async def play(plan: Plan, folder: Path, seed: int) -> Result:
    """One run of the plan."""
    async with moved_fleet(plan, folder, seed) as fleet:
        return await fleet.run_plan()

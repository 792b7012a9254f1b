"""Real proxies and `serve-as` processes beside as many hollow ones, each kind behind relays that count.

The relays are the same on both sides, so that what is compared does not depend on how the clients count.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean

from mastlift.keeper.client import KeeperClient
from mastlift.lab.addresses import free_address
from mastlift.lab.capacity.counting import Traffic, total
from mastlift.lab.capacity.group import KeeperGroup, keeper_group
from mastlift.lab.capacity.hollow import AddProxies, Begin, HollowServer, Register
from mastlift.lab.capacity.placement import service_name
from mastlift.lab.capacity.usage import rss_mb
from mastlift.lab.capacity.workers import Worker, worker
from mastlift.lab.fleet import backend, proxy
from mastlift.lab.processes import Child, cpu_s, started

TTL_S = 1.0  # short, so that a short window holds many renewals
CHANGES_PER_S = 20.0
CHANGED = "changed"  # the server that is changed all the time
START_AT_ONCE = 8
SETTLE_S = 1.0
SERVICE = service_name(0)


@dataclass(frozen=True, slots=True)
class Side:
    """What the clients of one side used in the window, a second and client."""

    messages: float
    kb: float
    core_share: float
    rss_mb: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """So many real clients of one kind beside as many hollow ones."""

    count: int
    real: Side
    hollow: Side

    @property
    def messages_ratio(self) -> float:
        return self.hollow.messages / self.real.messages

    @property
    def bytes_ratio(self) -> float:
        return self.hollow.kb / self.real.kb


class CountingRelay:
    """Passes bytes on, and counts them as the client behind it sees them."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self.traffic = Traffic()
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.traffic.connections += 1
        there: asyncio.StreamWriter | None = None
        try:
            back, there = await asyncio.open_connection(*self._target)
            await asyncio.gather(self._pass_on(reader, there, True), self._pass_on(back, writer, False))
        except (OSError, asyncio.CancelledError):
            pass  # one end is gone, or the relay is
        finally:
            self._tasks.discard(task)
            for end in (writer, there):
                if end is not None:
                    end.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, out: bool) -> None:
        while data := await reader.read(1 << 16):
            if out:
                self.traffic.messages_out += 1
                self.traffic.bytes_out += len(data)
            else:
                self.traffic.messages_in += 1
                self.traffic.bytes_in += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def counting_relay(target: str) -> AsyncIterator[tuple[str, CountingRelay]]:
    """The address and the relay."""
    one, address = CountingRelay(target), free_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(one.serve, host, int(port), backlog=1024)
    try:
        yield address, one
    finally:
        server.close()
        await one.close()


@dataclass(slots=True)
class _Ways:
    """One side's own addresses of the keepers and of the list, each through a relay."""

    keepers: list[str]
    lists: list[str]
    relays: dict[str, list[CountingRelay]]  # "keepers", "lists"

    def passed(self, kind: str) -> Traffic:
        return total(one.traffic for one in self.relays[kind])


async def _ways(stack: contextlib.AsyncExitStack, group: KeeperGroup) -> _Ways:
    ways = _Ways([], [], {"keepers": [], "lists": []})
    for kind, targets, addresses in (
        ("keepers", group.keepers, ways.keepers),
        ("lists", group.lists[SERVICE], ways.lists),
    ):
        for target in targets:
            address, one = await stack.enter_async_context(counting_relay(target))
            addresses.append(address)
            ways.relays[kind].append(one)
    return ways


async def _real(
    stack: contextlib.AsyncExitStack, folder: Path, count: int, ways: _Ways
) -> tuple[list[Child], list[Child]]:
    """So many proxies and so many `serve-as`, which all stand for one stand-in server."""
    answering = await stack.enter_async_context(backend("stand-in"))
    gate = asyncio.Semaphore(START_AT_ONCE)

    async def one_proxy(number: int) -> Child:
        async with gate:
            return (await stack.enter_async_context(proxy(folder / f"p{number}", {}, ways.lists)))[1]

    async def one_registration(number: int) -> Child:
        async with gate:
            child = await stack.enter_async_context(
                started(
                    "-m",
                    "mastlift",
                    "serve-as",
                    "--tier",
                    SERVICE,
                    "--id",
                    f"real-{number}",
                    "--address",
                    answering,
                    "--zone",
                    "a",
                    "--kind",
                    "std",
                    "--ttl",
                    str(TTL_S),
                    "--keepers",
                    ",".join(ways.keepers),
                    "--",
                    "sleep",
                    "600",
                )
            )
            await child.line("listed")
            return child

    proxies, registrations = await asyncio.gather(
        asyncio.gather(*map(one_proxy, range(count))), asyncio.gather(*map(one_registration, range(count)))
    )
    return list(proxies), list(registrations)


async def _hollow(stack: contextlib.AsyncExitStack, count: int, ways: _Ways) -> tuple[Worker, Worker, float, float]:
    """The workers of proxies and registrations, and their memory before there were any, in MB."""
    proxies, registrations = (await stack.enter_async_context(worker()), await stack.enter_async_context(worker()))
    begin = Begin(ways.keepers, {SERVICE: ways.lists}, int(TTL_S * 1000))
    for one in (proxies, registrations):
        await one.ask(begin)
    empty = rss_mb(proxies.pid), rss_mb(registrations.pid)
    await registrations.ask(Register([HollowServer(f"hollow-{number}", SERVICE, "a") for number in range(count)]))
    await proxies.ask(AddProxies([SERVICE] * count))
    return proxies, registrations, *empty


def _side(count: int, seconds: float, before: Traffic, after: Traffic, cpu_s_used: float, memory_mb: float) -> Side:
    passed = after.since(before)
    return Side(
        (passed.messages_in + passed.messages_out) / seconds / count,
        (passed.bytes_in + passed.bytes_out) / seconds / count / 1024,
        cpu_s_used / seconds / count,
        memory_mb,
    )


async def _changing(group: KeeperGroup) -> None:
    """Changes one server of the list at a steady pace, until cancelled."""
    async with KeeperClient(group.keepers) as client:
        number = 0
        while True:
            number += 1
            value = b'{"host_port":"127.0.0.1:9","locality":"a","flavor":"std","size":%d.5}' % (1 + number % 9)
            await client.put(f"list/{SERVICE}/{CHANGED}", value)
            await asyncio.sleep(1.0 / CHANGES_PER_S)


async def compare(folder: Path, count: int, seconds: float) -> dict[str, Comparison]:
    """By kind, `proxy` and `registration`."""
    async with keeper_group(folder / "keepers", 1) as group, contextlib.AsyncExitStack() as stack:
        ways = {"real": await _ways(stack, group), "hollow": await _ways(stack, group)}
        real, (proxies, registrations, *empty) = await asyncio.gather(
            _real(stack, folder, count, ways["real"]), _hollow(stack, count, ways["hollow"])
        )
        changing = asyncio.create_task(_changing(group))
        await asyncio.sleep(SETTLE_S)
        pids = {
            "proxy": ([one.process.pid for one in real[0]], proxies.pid, empty[0], "lists"),
            "registration": ([one.process.pid for one in real[1]], registrations.pid, empty[1], "keepers"),
        }

        def cpu() -> dict[str, tuple[float, float]]:
            return {kind: (sum(map(cpu_s, pids_)), cpu_s(hollow)) for kind, (pids_, hollow, _, _) in pids.items()}

        def passed() -> dict[str, tuple[Traffic, Traffic]]:
            return {
                kind: (total([ways["real"].passed(way)]), total([ways["hollow"].passed(way)]))
                for kind, (_, _, _, way) in pids.items()
            }

        began, cpu_before, before = time.monotonic(), cpu(), passed()
        await asyncio.sleep(seconds)
        took, cpu_after, after = time.monotonic() - began, cpu(), passed()
        found = {}
        for kind, (real_pids, hollow_pid, empty_mb, _) in pids.items():
            used = [b - a for a, b in zip(cpu_before[kind], cpu_after[kind], strict=True)]
            memory = fmean(map(rss_mb, real_pids)), (rss_mb(hollow_pid) - empty_mb) / count
            found[kind] = Comparison(
                count,
                *(
                    _side(count, took, before[kind][side], after[kind][side], used[side], memory[side])
                    for side in (0, 1)
                ),
            )
        changing.cancel()
        await asyncio.gather(changing, return_exceptions=True)
        return found

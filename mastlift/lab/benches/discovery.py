"""Figures of the list service: fan-out against bare writes to as many sockets, the way back after a keeper is lost,
what a watch costs, and how cost grows with servers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from statistics import median
from typing import Any
from unittest import mock

import msgspec
import uvloop

from mastlift.discovery.config import DiscoverySection
from mastlift.discovery.lists import Lists, ServerRecord, list_key
from mastlift.discovery.service import ListService, encode_chunk, serve_lists
from mastlift.durable.disk import RealDisk
from mastlift.durable.frames import LIFE_SIZE
from mastlift.keeper.client import KeeperClient
from mastlift.keeper.config import KeeperSection, Settings
from mastlift.keeper.renewals import LeaseRenewal
from mastlift.keeper.service import Service
from mastlift.lab.addresses import free_address, free_addresses
from mastlift.lab.benches import Figures
from mastlift.lab.chaos import running
from mastlift.lab.plots import Report
from mastlift.lab.processes import ROOT, cpu_s, keeper, keeper_settings
from mastlift.metrics import Metrics
from mastlift.store import commands as c
from mastlift.store.machine import LIST_BASE_KEY, Store

TIER = "front"
READERS = 4  # processes
KEEPS_UP_MS = 250.0


def registered(number: int) -> bytes:
    return msgspec.json.encode(
        ServerRecord(
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
            "a",
            "std",
            up_since_ms=1_700_000_000_000 + number,
        )
    )


def filled(servers: int) -> tuple[Store, Lists]:
    store, lists = Store(), Lists()
    store.apply(c.Envelope(c.Put(LIST_BASE_KEY, b"%d" % 10**12)))
    for number in range(servers):
        store.apply(c.Envelope(c.Put(list_key(TIER, f"s{number}"), registered(number))))
    lists.load(store.revision, store.keys, store.entries)
    return store, lists


def cost_by_servers(rounds: int) -> Figures:
    """Microseconds of one change (applied and encoded once), and of the whole list."""
    change, whole = {}, {}
    for servers in (100, 10_000):
        store, lists = filled(servers)
        times, wholes = [], []
        for number in range(rounds):
            store.apply(c.Envelope(c.Put(list_key(TIER, "s7"), registered(number + 50_000))))
            started = time.perf_counter()
            lists.apply(store.history.after(lists.revision), store.entries, store.revision)
            times.append(time.perf_counter() - started)
            if number % 20 == 0:
                started = time.perf_counter()
                lists.whole(TIER)
                wholes.append(time.perf_counter() - started)
        change[servers], whole[servers] = median(times), median(wholes)
    return {
        "change_cost_10000_vs_100": change[10_000] / change[100],
        "whole_cost_10000_vs_100": whole[10_000] / whole[100],
        "change_us": change[100] * 1e6,
        "whole_ms_10000": whole[10_000] * 1e3,
    }


async def read_all(address: str, count: int, head: str) -> None:
    """So many connections whose answers are read and dropped, until this process is ended."""

    class Drop(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            transport.write(head.encode())  # type: ignore[attr-defined]

        def data_received(self, data: bytes) -> None:
            """Nothing is made of it."""

    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    for _ in range(count):
        await loop.create_connection(Drop, host, int(port))
    print("all", flush=True)
    await asyncio.Event().wait()


@contextlib.contextmanager
def readers(address: str, count: int, head: str) -> Iterator[None]:
    """Connections from several processes, all open when this begins."""
    code = (
        f"import uvloop; from mastlift.lab.benches.discovery import read_all; "
        f"uvloop.run(read_all({address!r}, {count // READERS}, {head!r}))"
    )
    workers = [
        subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, text=True)
        for _ in range(READERS)
    ]
    try:
        yield
    finally:
        for worker in workers:
            worker.kill()
            worker.communicate()


def _rss_kb() -> int:
    return next(
        int(line.split()[1]) for line in Path("/proc/self/status").read_text().splitlines() if line.startswith("VmRSS")
    )


async def _fanout(watches: int, servers: int, changes: int) -> Figures:
    """In one process: the service with its watches, and a bare server with as many sockets, written to in turn."""
    bare: list[asyncio.Transport] = []

    class Bare(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            bare.append(transport)  # type: ignore[arg-type]

    with tempfile.TemporaryDirectory(prefix="mastlift-bench-") as folder:
        listen, disk = free_address(), RealDisk(Path(folder))
        disk.lock()
        service = Service(
            Settings(KeeperSection("a", "127.0.0.1:0", folder)),
            disk,
            Metrics(),
            lambda: os.urandom(LIFE_SIZE),
            lambda error: os._exit(3),
        )
        await service.start()
        plain = await asyncio.get_running_loop().create_server(Bare, "127.0.0.1", 0, backlog=4096)
        port = plain.sockets[0].getsockname()[1]
        section = DiscoverySection({TIER: listen}, whole_per_s=100_000, whole_at_once=100_000, watches=2 * watches)
        async with contextlib.AsyncExitStack() as stack:
            lists = await stack.enter_async_context(serve_lists(service, section, Metrics()))
            await asyncio.gather(
                *(
                    service.propose(c.Envelope(c.Put(list_key(TIER, f"s{i}"), registered(i))), 300)
                    for i in range(servers)
                )
            )
            while not lists.responder.ready:
                await asyncio.sleep(0.02)
            stack.enter_context(readers(f"127.0.0.1:{port}", watches, "GET / HTTP/1.1\r\n\r\n"))
            while len(bare) < watches:
                await asyncio.sleep(0.05)
            before = _rss_kb()
            stack.enter_context(
                readers(listen, watches, "GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n")
            )
            while lists._count() < watches or not _flushed(lists):
                await asyncio.sleep(0.05)
            figures: Figures = {"watch_kb": (_rss_kb() - before) / watches}
            figures |= await _written(service, lists, bare, changes)
            cpu, began = time.process_time(), time.monotonic()
            await asyncio.sleep(2.0)
            figures["watch_cpu_us_per_s"] = (time.process_time() - cpu) / (time.monotonic() - began) / watches * 1e6
            figures["changes_per_s_kept_up"] = await _keeps_up(service, lists)
        plain.close()
        await service.stop()
    return figures


def _flushed(lists: ListService) -> bool:
    return not any(watch.transport.get_write_buffer_size() for watch in lists.watches[TIER])


async def _change(service: Service, number: int) -> None:
    await service.propose(c.Envelope(c.Put(list_key(TIER, f"s{number % 100}"), registered(number + 100_000))), 300)


async def _written(service: Service, lists: ListService, bare: list[asyncio.Transport], changes: int) -> Figures:
    """From a change known to written on all watches, and the same bytes to as many bare sockets, in turn."""
    told, raw, catch_up, broadcast = [], [], lists.catch_up, lists._broadcast
    lines: list[bytes] = []

    def noted(tier: str, line: bytes) -> None:
        lines.append(line)
        broadcast(tier, line)

    def timed() -> None:
        started, count = time.perf_counter(), len(lines)
        catch_up()
        if len(lines) > count:
            told.append(time.perf_counter() - started)

    lists.catch_up, lists._broadcast = timed, noted  # type: ignore[method-assign]
    for number in range(changes):
        await _change(service, number)
        while len(told) <= number:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.005)
        data, started = encode_chunk(lines[-1]), time.perf_counter()
        for transport in bare:
            transport.write(data)
        raw.append(time.perf_counter() - started)
        await asyncio.sleep(0.005)
    lists.catch_up, lists._broadcast = catch_up, broadcast  # type: ignore[method-assign]
    p99 = [sorted(one)[len(one) * 99 // 100] for one in (told, raw)]
    return {
        "fanout_vs_raw": p99[0] / p99[1],
        "fanout_vs_raw_median": median(told) / median(raw),
        "fanout_p99_ms": p99[0] * 1e3,
        "raw_p99_ms": p99[1] * 1e3,
    }


async def _keeps_up(service: Service, lists: ListService) -> int:
    """The highest of some rates of changes after which all watches have all within KEEPS_UP_MS."""
    kept_up, number = 0, 0
    for rate in (10, 20, 40, 80, 160):
        began = time.monotonic()
        for i in range(rate):
            await asyncio.sleep(max(0.0, began + i / rate - time.monotonic()))
            number += 1
            await _change(service, number)
        end = time.monotonic()
        while lists.lists.revision < service.store.revision or not _flushed(lists):
            await asyncio.sleep(0.01)
        if (time.monotonic() - end) * 1000 > KEEPS_UP_MS or end - began > 1.25:
            break
        kept_up = rate
    return kept_up


async def watch_as_proxies(addresses: list[str], count: int) -> None:
    """So many of the proxy's own discovery clients; a line `up T` when all have a watch that answers, `down T` else."""
    from proxy.config import read_addresses
    from proxy.discovery import Discovery, ListReader

    def has_watch(one: Discovery) -> bool:
        watch = one._watch
        return watch is not None and watch.is_answered

    loop, state = asyncio.get_running_loop(), False
    clients = [
        Discovery(loop, read_addresses(addresses), ListReader([], []), False, {}, lambda change, found: None)
        for _ in range(count)
    ]
    for one in clients:
        one.start()
    while True:
        await asyncio.sleep(0.02)
        if all(map(has_watch, clients)) != state:
            state = not state
            print(f"{'up' if state else 'down'} {time.time()}", flush=True)


async def _herd(clients: int, servers: int) -> Figures:
    """Seconds from the kill of one of three keepers until all clients have a watch again."""
    at = dict(zip("abc", free_addresses(3), strict=True))

    def each(name: str) -> dict[str, Any]:
        return {"discovery": {"whole_per_s": 2000, "whole_at_once": 4000}, "discovery.tiers": {TIER: f'"{at[name]}"'}}

    code = (
        f"import uvloop; from mastlift.lab.benches.discovery import watch_as_proxies; "
        f"uvloop.run(watch_as_proxies({list(at.values())!r}, {clients // READERS}))"
    )
    with tempfile.TemporaryDirectory(prefix="mastlift-bench-") as folder:
        async with running(Path(folder), "abc", each) as group, KeeperClient(group.keepers) as client:
            await asyncio.gather(*(client.put(list_key(TIER, f"s{i}"), registered(i)) for i in range(servers)))
            workers = [
                await asyncio.create_subprocess_exec(
                    sys.executable, "-c", code, cwd=ROOT, stdout=asyncio.subprocess.PIPE
                )
                for _ in range(READERS)
            ]
            try:

                async def until(word: str) -> float:
                    async def one(worker: asyncio.subprocess.Process) -> float:
                        assert worker.stdout is not None
                        while True:
                            said, when = (await worker.stdout.readline()).split()
                            if said == word.encode():
                                return float(when)

                    return max(await asyncio.gather(*map(one, workers)))

                await until("up")
                await asyncio.sleep(1.0)
                began = time.time()
                await group.places[await group.leader()].kill()
                await until("down")
                back = await until("up") - began
            finally:
                for worker in workers:
                    with contextlib.suppress(ProcessLookupError):
                        worker.send_signal(signal.SIGKILL)
                    await worker.wait()
    return {"herd_back_s": back, "herd_clients": clients}


async def _all_gone(clients: int, seconds: float) -> Figures:
    """Calls per second of so many proxies' clients, none of whose three addresses answers, once their pauses grew."""
    from proxy import discovery
    from proxy.config import read_address
    from proxy.watch import WatchConnection

    calls = [0]

    class Counted(WatchConnection):
        def open(self, address: tuple[str, int]) -> None:
            calls[0] += 1
            super().open(address)

    gone = read_address(free_address())
    addresses = [gone, ("127.0.0.2", gone[1]), ("127.0.0.3", gone[1])]
    with mock.patch.object(discovery, "WatchConnection", Counted):
        each = [
            discovery.Discovery(
                asyncio.get_running_loop(),
                addresses,
                discovery.ListReader([], []),
                False,
                {},
                lambda change, found: None,
            )
            for _ in range(clients)
        ]
        for one in each:
            one.start()
        await asyncio.sleep(6.0)
        before = calls[0]
        await asyncio.sleep(seconds)
        for one in each:
            one.stop()
    return {"calls_per_s_of_500_proxies_all_gone": (calls[0] - before) / seconds}


async def _renewals(servers: int, ttl_ms: int, seconds: float) -> Figures:
    """Share of one core that a keeper uses for the renewals of so many servers, and over the cost of one call each."""
    with tempfile.TemporaryDirectory(prefix="mastlift-bench-") as folder:
        listen = free_address()
        async with keeper(keeper_settings(Path(folder), listen)) as child, contextlib.AsyncExitStack() as stack:
            clients = [await stack.enter_async_context(KeeperClient([listen])) for _ in range(10)]
            gone: list[int] = []
            for at in range(0, servers, 500):
                leases = await asyncio.gather(*(clients[i % 10].grant(ttl_ms) for i in range(at, at + 500)))
                for i, lease in enumerate(leases):
                    clients[i % 10].renewals.keep(
                        LeaseRenewal(lease, ttl_ms / 5, lambda: 0.0, lambda sent: None, lambda: gone.append(1))
                    )
            await asyncio.sleep(ttl_ms / 5000)
            before, began = cpu_s(child.process.pid), time.monotonic()
            await asyncio.sleep(seconds)
            used = (cpu_s(child.process.pid) - before) / (time.monotonic() - began)
            calls = sum(client.renewals.calls for client in clients)
    assert not gone, f"{len(gone)} of {servers} leases ended"
    return {"renewals_of_10000_share_of_core": used * 10_000 / servers, "renewal_calls": calls}


def measure(quick: bool, tell: Callable[[str], None], report: Report) -> Figures:
    """All figures of the list service."""
    figures: Figures = {"watches": 2000, "servers": 2000}
    steps: list[tuple[str, Callable[[], Awaitable[Figures]]]] = [
        ("fan-out", lambda: _fanout(2000, 2000, 60 if quick else 400)),
        ("herd", lambda: _herd(2000, 2000)),
        ("all gone", lambda: _all_gone(500, 3.0 if quick else 20.0)),
        ("renewals", lambda: _renewals(10_000, 10_000, 4.0 if quick else 20.0)),
    ]
    tell("cost by servers")
    figures |= cost_by_servers(200 if quick else 2000)
    for name, step in steps:
        tell(name)

        async def run(step: Callable[[], Awaitable[Figures]] = step) -> Figures:
            return await step()

        figures |= uvloop.run(run())
    return figures

"""The list service among processes: keepers with lists, real proxies that take their list from them, stand-in backends
that register, and clients; a relay before each keeper and each list's address.

What is judged is seen from outside: the relays read the lines that pass to each proxy, and the backends note when a
request of which proxy came. A proxy shows in its requests' trace ids, which pass on unchanged.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from mastlift.discovery.lists import ListUpdate, Phase, ServerRecord
from mastlift.discovery.registration import Registration, ServerListing
from mastlift.keeper.client import KeeperClient
from mastlift.lab.addresses import free_address, free_addresses
from mastlift.lab.chaos import ChaosGroup, running
from mastlift.lab.fleet import Client, proxy
from mastlift.lab.relay import Heard, Relay, relay

TIER = "front"
OF_A_PROXY = 1_000_000_000  # trace ids of one proxy's clients
NOTHING_NEW_MS = 250.0  # after a proxy was told that a server drains or is gone
SLACK_MS = 50.0  # as on the wire's page
TICK_S = 0.01
_LINE = re.compile(rb'\{"revision":\d+,"complete":(?:true|false),"members":\[.*?\]\}\n')
_HEAD = re.compile(rb"GET (\S+)")
_TOLD = msgspec.json.Decoder(ListUpdate).decode


@dataclass(slots=True)
class Witness:
    """What the relays saw pass. Times are of the machine's monotonic clock, in milliseconds."""

    broken: list[str] = field(default_factory=list)
    lines: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    stopped: dict[tuple[str, str], float] = field(default_factory=dict)  # (proxy, server): told to send nothing new
    listed: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))  # by proxy
    highest: dict[str, int] = field(default_factory=dict)  # by proxy: what it has taken at the most
    largest_lag_ms: float = 0.0
    smallest: int = 1 << 30  # servers that a proxy was told of, at the least

    def tap(self, who: str) -> Any:
        """For a relay before a list's address; `who` is the proxy behind it."""

        def connection(head: bytes) -> Heard:
            target = _HEAD.match(head)
            found = re.search(rb"index=(\d+)", target[1]) if target else None
            index, rest, newest = int(found[1]) if found else 0, bytearray(), 0
            self.calls[who] += 1

            def heard(data: bytes) -> None:
                nonlocal newest
                rest.extend(data)
                end = 0
                for match in _LINE.finditer(rest):
                    told, end = _TOLD(match[0]), match.end()
                    if told.revision < max(index, newest):
                        self.broken.append(f"{who} asked from {index} on and was told {told.revision} after {newest}")
                    newest = told.revision
                    self.take(who, told)
                del rest[:end]

            return heard

        return connection

    def take(self, who: str, told: ListUpdate) -> None:
        self.lines += 1
        now = time.monotonic() * 1000.0
        if told.revision < self.highest.get(who, 0):
            return  # the proxy does not take it
        self.highest[who] = told.revision
        before = self.listed[who]
        here = {member.id for member in told.members if member.phase is Phase.IN_SERVICE}
        off = before - here if told.complete else {m.id for m in told.members if m.phase is not Phase.IN_SERVICE}
        for id_ in off:
            self.stopped.setdefault((who, id_), now)
        for id_ in here:
            self.stopped.pop((who, id_), None)
        self.listed[who] = here if told.complete else (before | here) - off
        if len(self.listed[who]) < len(before) or told.complete:
            self.smallest = min(self.smallest, len(self.listed[who]))

    async def watch_the_clock(self) -> None:
        """How late this process is itself: what it sees may be as late."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK_S)
            self.largest_lag_ms = max(self.largest_lag_ms, (time.monotonic() - began - TICK_S) * 1000.0)


class Backend:
    """A stand-in server with its own listener and registration."""

    def __init__(self, fleet: ListFleet, id_: str) -> None:
        self.fleet, self.id, self.address = fleet, id_, ""
        self.requests = 0
        self._runner: web.AppRunner | None = None
        self.registration: Registration | None = None

    async def start(self, ttl_ms: int) -> Backend:
        application = web.Application()
        application.router.add_get("/up", self._up)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        said = ServerRecord(self.address, "a", "std", up_since_ms=int((time.time() - 60.0) * 1000))
        self.registration = Registration(self.fleet.client, ServerListing(TIER, self.id, said), ttl_ms)
        await self.registration.register()
        return self

    async def _up(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _serve(self, request: web.Request) -> web.Response:
        self.requests += 1
        number = int(request.headers.get("X-Trace-Id", "0"), 16)
        self.fleet.arrived(self.id, f"p{number // OF_A_PROXY - 1}")
        return web.Response(text=self.id)

    async def say_goodbye(self) -> None:
        """As a planned stop: terminating, time for what is under way, gone, and only then no more listener."""
        assert self.registration is not None
        await self.registration.set_phase(Phase.TERMINATING)
        await asyncio.sleep(0.6)
        await self.registration.deregister()
        await asyncio.sleep(0.6)
        await self.stop()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


class ListFleet:
    """Made by `list_fleet`."""

    def __init__(self, group: ChaosGroup, client: KeeperClient, lists: dict[str, Relay], witness: Witness) -> None:
        self.group, self.client, self.lists, self.witness = group, client, lists, witness
        self.backends: dict[str, Backend] = {}
        self.proxies: dict[str, str] = {}
        self.clients: list[Client] = []
        self.notes: dict[str, str] = {}
        self.latest_ms = 0.0  # the longest time from being told to a request that came all the same

    def arrived(self, server: str, who: str) -> None:
        told = self.witness.stopped.get((who, server))
        if told is None:
            return
        late = time.monotonic() * 1000.0 - told
        self.latest_ms = max(self.latest_ms, late)
        if late > NOTHING_NEW_MS + SLACK_MS + self.witness.largest_lag_ms:
            self.witness.broken.append(f"{server} got a request of {who} {late:.0f} ms after it was told to stop")

    async def add(self, ids: list[str], ttl_ms: int) -> None:
        made = await asyncio.gather(*(Backend(self, id_).start(ttl_ms) for id_ in ids))
        self.backends |= {one.id: one for one in made}

    async def known_everywhere(self, wanted: set[str], within_s: float = 15.0) -> None:
        """Wait until each proxy was told exactly these."""
        end = time.monotonic() + within_s
        while any(self.witness.listed[who] != wanted for who in self.proxies):
            if time.monotonic() > end:
                raise TimeoutError({who: sorted(self.witness.listed[who] ^ wanted)[:5] for who in self.proxies})
            await asyncio.sleep(0.02)

    def served(self) -> tuple[int, int]:
        each = [client.served() for client in self.clients]
        return sum(served for served, _ in each), sum(asked for _, asked in each)

    def heal(self) -> None:
        self.group.heal()
        for one in self.lists.values():
            one.deaf_to.clear()
            one.mute_to.clear()


@contextlib.asynccontextmanager
async def list_fleet(
    folder: Path, proxies: int = 6, backends: int = 30, per_s: float = 15.0, ttl_ms: int = 3000, **discovery: float
) -> AsyncIterator[ListFleet]:
    """Three keepers, so many proxies and backends, and clients at each proxy, all running."""
    at_keeper = dict(zip("abc", free_addresses(3), strict=True))

    def each(name: str) -> dict[str, Any]:
        return {"discovery": {"cut_off_s": 1.0, **discovery}, "discovery.tiers": {TIER: f'"{at_keeper[name]}"'}}

    witness = Witness()
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(running(folder / "keepers", "abc", each))
        client = await stack.enter_async_context(KeeperClient(group.keepers, deadline_s=20.0))
        lists: dict[str, Relay] = {}
        for number in range(proxies):  # a relay before each keeper's lists for each proxy: it is known who hears
            for name, target in at_keeper.items():
                lists[f"p{number}-{name}"] = await stack.enter_async_context(
                    relay(target, free_address(), witness.tap(f"p{number}"))
                )
        fleet = ListFleet(group, client, lists, witness)

        async def stop_backends() -> None:
            for backend in fleet.backends.values():
                await backend.stop()

        stack.push_async_callback(stop_backends)
        await fleet.add([f"s{i}" for i in range(backends)], ttl_ms)
        for number in range(proxies):
            who = f"p{number}"
            addresses = [lists[f"{who}-{name}"].address for name in "abc"]
            address, _ = await stack.enter_async_context(
                proxy(folder / who, {}, addresses, folder / who / "list", must_ask=number % 2 == 1)
            )
            fleet.proxies[who] = address
        await fleet.known_everywhere(set(fleet.backends))
        fleet.clients = [
            Client(address, per_s, (number + 1) * OF_A_PROXY) for number, address in enumerate(fleet.proxies.values())
        ]
        tasks = [asyncio.create_task(one.run()) for one in fleet.clients]
        tasks.append(asyncio.create_task(witness.watch_the_clock()))
        try:
            await asyncio.sleep(1.0)
            yield fleet
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

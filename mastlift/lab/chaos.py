"""A group of keepers as processes, with a relay before each, under random faults; writers with ledgers outside it.

Faults: SIGKILL, SIGSTOP, cuts between two members both ways and one way, a leader cut off from its followers but not
from clients, delays, an emptied disk. At the end all heals, and the store is held against the ledgers.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mastlift.keeper.client import Unreachable, ask_each
from mastlift.lab.addresses import free_address, free_addresses
from mastlift.lab.kill import Verdict, compare
from mastlift.lab.processes import Child, keeper, keeper_settings, started
from mastlift.lab.relay import Relay, relay


@dataclass(slots=True)
class KeeperProcess:
    """One place in the group: its settings, its relay, and the process that runs there now."""

    name: str
    folder: Path
    config: Path
    relay: Relay
    child: Child | None = None
    stack: contextlib.AsyncExitStack = field(default_factory=contextlib.AsyncExitStack)

    async def start(self, *more: str) -> None:
        self.child = await self.stack.enter_async_context(keeper(self.config, None, *more))

    async def kill(self) -> None:
        if self.child is not None:
            await self.child.end(signal.SIGKILL)
            self.child = None

    async def empty(self) -> None:
        await self.kill()
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()


class ChaosGroup:
    """A running group. Use `running` to make one."""

    def __init__(self, places: dict[str, KeeperProcess], addresses: dict[str, str]) -> None:
        self.places, self.addresses = places, addresses

    @property
    def keepers(self) -> list[str]:
        return list(self.addresses.values())

    async def status(self) -> dict[str, dict[str, Any]]:
        """By name, of those that answer now."""
        told = await ask_each(self.keepers, "/v1/group", 0.5)
        return {name: told[address] for name, address in self.addresses.items() if "error" not in told[address]}

    async def leader(self, within_s: float = 10.0) -> str:
        """The name of the one that leads the newest term, waited for."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            leaders = [(one["term"], name) for name, one in (await self.status()).items() if one["role"] == "leader"]
            if leaders:
                return max(leaders)[1]
            await asyncio.sleep(0.05)
        raise TimeoutError("no keeper leads")

    async def settled(self, voters: int, within_s: float = 20.0) -> None:
        """Wait until a leader has so many voters, none lagging or silent."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            status = await self.status()
            there = {one["id"] for one in status.values()}
            for one in status.values():
                if (
                    one["role"] == "leader"
                    and len(one["voters"]) == voters
                    and not one["learners"]
                    and there <= set(one["voters"])
                    and len(there) == len(self.places)
                    and max(one["silent_ms"].values(), default=0) < 1000
                ):
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"the group did not settle with {voters} voters: {await self.status()}")

    def heal(self) -> None:
        for place in self.places.values():
            place.relay.deaf_to.clear()
            place.relay.mute_to.clear()
            place.relay.delay_s = 0.0
            if place.child is not None:
                place.child.send(signal.SIGCONT)


@contextlib.asynccontextmanager
async def running(
    folder: Path, names: str = "abc", each: Callable[[str], dict[str, Any]] = lambda name: {}, **tables: Any
) -> Any:
    """A group of keepers that is ready; `each` gives further tables of one's settings."""
    async with contextlib.AsyncExitStack() as stack:
        addresses = dict(zip(names, free_addresses(len(names)), strict=True))
        places = {}
        for name in names:
            listen = free_address()
            config = keeper_settings(folder / name, listen, name, addresses, **tables, **each(name))
            one = await stack.enter_async_context(relay(listen, addresses[name]))
            places[name] = KeeperProcess(name, folder / name, config, one)
            await stack.enter_async_context(places[name].stack)
        group = ChaosGroup(places, addresses)
        await asyncio.gather(*(place.start("--new-group") for place in places.values()))
        await group.leader()
        yield group


@contextlib.asynccontextmanager
async def writing(folder: Path, keepers: list[str], writers: int, seed: int) -> AsyncIterator[list[Path]]:
    """So many writers as processes, each of which has written once; their ledgers."""
    ledgers = [folder / f"w{i}.ledger" for i in range(writers)]
    async with contextlib.AsyncExitStack() as stack:
        for i, ledger in enumerate(ledgers):
            await stack.enter_async_context(
                started(
                    "-m",
                    "mastlift",
                    "lab",
                    "writer",
                    "--keepers",
                    ",".join(keepers),
                    "--name",
                    f"w{i}",
                    "--ledger",
                    str(ledger),
                    "--seed",
                    str(seed + i),
                )
            )
        async with asyncio.timeout(60.0):
            while not all(ledger.exists() and "ok" in ledger.read_text() for ledger in ledgers):
                await asyncio.sleep(0.05)
        yield ledgers


async def chaos_run(
    folder: Path,
    seconds: float,
    members: int,
    writers: int,
    seed: int,
) -> tuple[Verdict, Counter[str]]:
    """Faults for so long, then healing, then the comparison."""
    rng, verdict, done = random.Random(seed), Verdict(writers=writers), Counter[str]()
    names = "abcde"[:members]
    async with running(folder, names, snapshot={"entries": 400}, log={"segment_mb": 1}) as group:
        async with writing(folder, group.keepers, writers, seed) as ledgers:
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                done[await one_fault(group, rng, members)] += 1
            group.heal()
            await asyncio.gather(*(place.start() for place in group.places.values() if place.child is None))
            with contextlib.suppress(TimeoutError):
                await group.settled(members)
            before = [ledger.read_text().count("\n") for ledger in ledgers]
            await asyncio.sleep(1.0)
            if sum(ledger.read_text().count("\n") for ledger in ledgers) <= sum(before):
                verdict.broken.append(f"nothing is written after all has healed: {await group.status()}")
        try:
            await compare(group.keepers, ledgers, verdict)
        except Unreachable as error:
            verdict.broken.append(str(error))
        codes = await asyncio.gather(*(place.child.end() for place in group.places.values() if place.child))
        verdict.broken += [f"SIGTERM ended a keeper with {code}" for code in codes if code]
    verdict.kills = done["kill"] + done["empty"]
    return verdict, done


async def one_fault(group: ChaosGroup, rng: random.Random, members: int) -> str:
    """Something goes wrong and, mostly, right again; its name."""
    status = await group.status()
    leaders = [name for name, one in status.items() if one["role"] == "leader"]
    name = leaders[0] if leaders and rng.random() < 0.5 else rng.choice(sorted(group.places))
    place, others = group.places[name], [one for one in group.places if one != name]
    kind = rng.choice(("kill", "kill", "stop", "cut", "deaf", "mute", "delay", "empty"))
    if kind == "empty" and not any(
        one["role"] == "leader" and len(one["voters"]) == members and max(one["silent_ms"].values(), default=0) < 500
        for one in status.values()
    ):
        kind = "kill"  # more than a minority of emptied disks is a loss that nothing can mend
    match kind:
        case "kill":
            await place.kill()
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await place.start()
        case "stop":
            assert place.child is not None
            place.child.send(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.1, 2.0))
            place.child.send(signal.SIGCONT)
        case "cut":  # from the others, not from clients
            place.relay.deaf_to |= set(others)
            for other in others:
                group.places[other].relay.deaf_to.add(name)
            await asyncio.sleep(rng.uniform(0.3, 2.0))
        case "deaf":
            place.relay.deaf_to |= set(others)
            await asyncio.sleep(rng.uniform(0.3, 1.5))
        case "mute":
            for other in others:
                group.places[other].relay.deaf_to.add(name)
            await asyncio.sleep(rng.uniform(0.3, 1.5))
        case "delay":
            place.relay.delay_s = rng.uniform(0.01, 0.2)
            await asyncio.sleep(rng.uniform(0.3, 1.0))
        case "empty":
            await place.empty()
            await place.start()
            with contextlib.suppress(TimeoutError):
                await group.settled(members)
    group.heal()
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    return kind

"""Writers as processes, a keeper that is killed at random moments under them, and ledgers outside it that say what
was acknowledged. A real proxy meanwhile serves requests.

Each writer has a key of its own, which it sets to 1, 2, 3, ..., and a share in common keys. It sends each command
again, in its session, until it is answered; so the key's version counts how often commands were applied.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from mastlift.durable.check import check_folder
from mastlift.durable.disk import RealDisk
from mastlift.keeper.client import KeeperClient, Refused, Unreachable
from mastlift.lab.addresses import free_address
from mastlift.lab.fleet import served_meanwhile
from mastlift.lab.processes import keeper, keeper_settings, started

COMMON = 4


async def write(keepers: list[str], name: str, ledger: Path, seed: int) -> None:
    """The writer's process: until it is ended. Each line is written before the call and after its answer."""
    rng = random.Random(seed)
    with ledger.open("a", buffering=1) as lines:
        async with KeeperClient(keepers, deadline_s=60.0, seed=seed) as client:
            number = 0
            while True:
                number += 1
                lines.write(f"try {number}\n")
                try:
                    told = await client.put(f"writer/{name}", b"%d" % number)
                    lines.write(f"ok {number} {told['revision']} {told['version']}\n")
                    if rng.random() < 0.2:
                        key = f"common/{rng.randrange(COMMON)}"
                        told = await client.put(key, name.encode())
                        lines.write(f"common {told['revision']} {key} {name}\n")
                except (Refused, Unreachable) as error:
                    lines.write(f"error {number} {error}\n")
                    return


@dataclass(slots=True)
class Verdict:
    """What came of a run. No `broken` means that all promises were kept."""

    kills: int = 0
    writers: int = 0
    acknowledged: int = 0
    served: int = 0
    asked: int = 0
    torn_tails: int = 0
    slowest_start_s: float = 0.0
    slowest_recovery_s: float = 0.0
    broken: list[str] = field(default_factory=list)


async def kill_run(
    folder: Path, kills: int, writers: int, seed: int, progress: Callable[[int], None] = lambda kills: None
) -> Verdict:
    """Kill a keeper so many times under so many writers, then compare the store with the ledgers."""
    rng, verdict = random.Random(seed), Verdict(writers=writers)
    listen = free_address()
    config = keeper_settings(folder, listen, snapshot={"entries": 500}, log={"segment_mb": 1})
    ledgers = [folder / f"w{i}.ledger" for i in range(writers)]
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(served_meanwhile(folder))
        async with keeper(config) as first:
            for i, ledger in enumerate(ledgers):
                await stack.enter_async_context(
                    started(
                        "-m",
                        "mastlift",
                        "lab",
                        "writer",
                        "--keepers",
                        listen,
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
            await first.end(signal.SIGKILL)
        for _ in range(kills - 1):
            began = time.monotonic()
            async with keeper(config) as killed:
                verdict.slowest_start_s = max(verdict.slowest_start_s, time.monotonic() - began)
                ready = await killed.event("ready")
                verdict.slowest_recovery_s = max(verdict.slowest_recovery_s, sum(ready["recovery_s"].values()))
                verdict.torn_tails += any("torn tail" in event.get("note", "") for event in killed.events)
                await asyncio.sleep(rng.uniform(0.05, 0.6))
                await killed.end(signal.SIGKILL)
            verdict.kills += 1
            progress(verdict.kills)
        verdict.kills += 1
        async with keeper(config) as last:
            await asyncio.sleep(0.5)
            await compare([listen], ledgers, verdict)
            if code := await last.end():
                verdict.broken.append(f"SIGTERM ended the keeper with {code}")
        verdict.served, verdict.asked = client.served()
    if damage := check_folder(RealDisk(folder / "data")).damage:
        verdict.broken.append(f"the folder is damaged: {damage}")
    if verdict.served < verdict.asked:
        verdict.broken.append(f"the proxy served {verdict.served} of {verdict.asked}: {dict(client.answers)}")
    return verdict


async def compare(keepers: list[str], ledgers: list[Path], verdict: Verdict) -> None:
    """Hold the store against what the writers were told."""
    told_before = [ledger.read_text().splitlines() for ledger in ledgers]  # older than what is read next
    async with KeeperClient(keepers, deadline_s=30.0) as client:
        found = {entry["key"]: entry for entry in (await client.ls())["entries"]}
    revisions: dict[int, str] = {}
    newest: dict[str, tuple[int, str]] = {}
    for ledger, lines in zip(ledgers, told_before, strict=True):
        name, expected = ledger.stem, 0
        for line in lines:
            what, *rest = line.split()
            if what == "error":
                verdict.broken.append(f"{name}: {line}")
            if what not in ("ok", "common") or len(rest) < 3:
                continue
            verdict.acknowledged += 1
            revision = int(rest[1] if what == "ok" else rest[0])
            if revision in revisions:
                verdict.broken.append(f"revision {revision} was given to {name} and to {revisions[revision]}")
            revisions[revision] = name
            if what == "ok":
                expected = int(rest[0])
                if int(rest[2]) != expected:
                    verdict.broken.append(f"{name}: command {expected} made version {rest[2]}")
            elif revision > newest.get(rest[1], (0, ""))[0]:
                newest[rest[1]] = revision, rest[2]
        entry = found.get(f"writer/{name}")
        if entry is None or int(entry["value"]) < expected or entry["version"] != int(entry["value"]):
            verdict.broken.append(f"{name}: {expected} writes were acknowledged, found {entry}")
    for key, (revision, name) in newest.items():
        entry = found.get(key)
        if entry is None or entry["changed"] < revision or (entry["changed"] == revision and entry["value"] != name):
            verdict.broken.append(f"{key}: revision {revision} by {name} was acknowledged, found {entry}")

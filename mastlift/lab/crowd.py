"""Many duties and many candidates at three keepers, one of which is lost and comes back.

Each candidate holds some duties and waits in the line of as many others. What is counted: duties that moved though
no holder failed, and calls per second while all is quiet, after a loss, and after a return.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from pathlib import Path

from mastlift.duty.clock import HoldState
from mastlift.duty.holder import Duty
from mastlift.keeper.client import KeeperClient
from mastlift.lab.chaos import running

AT_ONCE = 40  # that come at the same time
MOST_OVER_DUE = 1.0  # calls of the busiest second after a loss, over the renewals that are due in one
FAIR = 25  # duties whose lines are looked at
LINE_S = 30.0
Told = dict[str, float | int | str]


class Crowd:
    def __init__(self, clients: list[KeeperClient], duties: int, ttl_ms: int) -> None:
        self.clients, self.ttl_ms = clients, ttl_ms
        count = len(clients)
        self.holding = [Duty(clients[i % count], f"duty-{i}", f"c{i % count}", ttl_ms) for i in range(duties)]
        self.waiting = [
            Duty(clients[(i + 1) % count], f"duty-{i}", f"c{(i + 1) % count}", ttl_ms) for i in range(duties)
        ]
        self.takes: list[asyncio.Task[int]] = []

    async def begin(self) -> None:
        gate = asyncio.Semaphore(AT_ONCE)

        async def take(duty: Duty) -> None:
            async with gate:
                await duty.take()

        await asyncio.gather(*map(take, self.holding))
        for at in range(0, len(self.waiting), AT_ONCE):
            self.takes += [asyncio.create_task(duty.take()) for duty in self.waiting[at : at + AT_ONCE]]
            await asyncio.sleep(0.05)

    def moved(self) -> list[str]:
        """Duties that are not their first holder's any more."""
        return [
            one.name
            for one, take in zip(self.holding, self.takes, strict=True)
            if one.state is not HoldState.HELD or take.done()
        ]

    async def calls_per_s(self, seconds: float) -> tuple[float, float]:
        """Of all candidates together: the mean and the busiest second."""
        counts = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            before, began = sum(client.calls for client in self.clients), time.monotonic()
            await asyncio.sleep(1.0)
            counts.append((sum(client.calls for client in self.clients) - before) / (time.monotonic() - began))
        return sum(counts) / len(counts), max(counts)

    async def end(self) -> None:
        for task in self.takes:
            task.cancel()
        await asyncio.gather(*self.takes, return_exceptions=True)
        gate = asyncio.Semaphore(AT_ONCE)

        async def leave(duty: Duty) -> None:
            async with gate:
                await duty.leave()

        await asyncio.gather(*map(leave, (*self.waiting, *self.holding)))


async def fair_lines(crowd: Crowd, duties: list[int]) -> list[str]:
    """Two more come one after the other, the one who waited longest leaves, then holder after holder ends: the next
    must be who then has waited longest. What was not so."""
    broken: list[str] = []

    async def line(number: int) -> None:
        holder, count = crowd.holding[number], len(crowd.clients)
        late = [Duty(crowd.clients[(number + k) % count], holder.name, f"late{k}", crowd.ttl_ms) for k in (2, 3)]
        takes: list[asyncio.Task[int]] = []
        for duty in late:
            takes.append(asyncio.create_task(duty.take()))
            while all(
                entry["value"] != duty.candidate
                for entry in (await duty.client.ls(f"duty/{duty.name}/line/"))["entries"]
            ):
                await asyncio.sleep(0.05)
        crowd.takes[number].cancel()
        await asyncio.gather(crowd.takes[number], return_exceptions=True)
        await crowd.waiting[number].leave()
        for at, duty in enumerate(late):
            await holder.leave()
            await asyncio.wait({takes[at]}, timeout=LINE_S)
            if not takes[at].done() or any(take.done() for take in takes[at + 1 :]):
                broken.append(
                    f"{duty.name}: {duty.candidate} had waited longest; "
                    f"done: {[one.candidate for one, take in zip(late, takes, strict=True) if take.done()]}"
                )
            holder = duty
        for duty, take in zip(late, takes, strict=True):
            take.cancel()
            await duty.leave()

    await asyncio.gather(*map(line, duties))
    return broken


async def crowd_run(
    folder: Path,
    duties: int,
    candidates: int,
    ttl_s: float,
    seconds: float,
    tell: Callable[[str], None] = lambda step: None,
) -> tuple[Told, list[str]]:
    """The figures, and what was broken."""
    told: Told = {"duties": duties, "candidates": candidates, "ttl_s": ttl_s}
    broken: list[str] = []
    async with running(folder, "abc", limits={"watches": 4 * duties}) as group, contextlib.AsyncExitStack() as stack:
        clients = [
            await stack.enter_async_context(
                KeeperClient([place.relay.target for place in group.places.values()], seed=number)
            )
            for number in range(candidates)
        ]
        crowd = Crowd(clients, duties, int(ttl_s * 1000))
        tell("all take their duties")
        await crowd.begin()
        await asyncio.sleep(1.0)
        quiet, _ = await crowd.calls_per_s(seconds)
        wanted = 2 * duties / (ttl_s / 5)
        told |= {"calls_per_s_quiet": round(quiet), "renewals_due_per_s": round(wanted)}
        watches = sum(client.watches for client in clients)
        follower = min(set(group.places) - {await group.leader()})
        for step, name, number in (
            ("a follower is killed", follower, signal.SIGKILL),
            ("a follower comes back", follower, None),
            ("the leader is killed", "", signal.SIGKILL),
        ):
            tell(step)
            place = group.places[name or await group.leader()]
            if number is None:
                await place.start()
            else:
                await place.kill()
            mean, busiest = await crowd.calls_per_s(seconds)
            watches, before = sum(client.watches for client in clients), watches
            told[f"{step}"] = (
                f"calls per second: {mean:.0f} mean, {busiest:.0f} in the busiest one; "
                f"{watches - before} watches came back"
            )
            if busiest > MOST_OVER_DUE * wanted:
                broken.append(f"{step}: {busiest:.0f} calls in a second, {wanted:.0f} renewals are due")
            if moved := crowd.moved():
                broken.append(f"{step}: {len(moved)} duties moved, {moved[0]} among them")
        tell("lines")
        looked_at = list(range(min(FAIR, duties)))
        broken += await fair_lines(crowd, looked_at)
        told["lines_looked_at"] = len(looked_at)
        await crowd.end()
    return told, broken

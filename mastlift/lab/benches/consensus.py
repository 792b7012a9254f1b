"""Figures of the group and of duties. Real processes, except where a name says `simulated` or `core`."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import tempfile
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from statistics import median

import uvloop

from mastlift.consensus import core as r
from mastlift.consensus.log import Log
from mastlift.consensus.messages import Members
from mastlift.duty.holder import Duty
from mastlift.keeper.client import KeeperClient
from mastlift.lab.addresses import free_addresses
from mastlift.lab.benches import Figures
from mastlift.lab.benches.load import rate
from mastlift.lab.chaos import ChaosGroup, running
from mastlift.lab.groupsim import Faults, Group
from mastlift.lab.plots import Report
from mastlift.lab.processes import cpu_s

CLIENTS = 256


def core_alone(commands: int, batch: int = 64) -> Figures:
    """Three cores that hand each other messages at once, each sync at once: what the rules alone cost."""
    members = Members(("a", "b", "c"))
    cores = {id_: r.Core(id_, Log(0, 0, members), random.Random(id_)) for id_ in members.voters}
    queue: deque[tuple[str, list[r.Action]]] = deque()
    now = 10_000.0

    def settle() -> None:
        while queue:
            id_, actions = queue.popleft()
            core = cores[id_]
            if any(isinstance(action, r.Write | r.Save) for action in actions):
                queue.append((id_, core.synced(core.log.last, core.log.last_term)))
            for action in actions:
                if isinstance(action, r.Send):
                    queue.append((action.to, cores[action.to].receive(id_, action.message, now)))

    queue.append(("a", cores["a"].tick(now)))
    settle()
    leader = cores["a"]
    assert leader.role is r.Role.LEADER
    started, cpu, data = time.perf_counter(), time.process_time(), [os.urandom(100)] * batch
    for _ in range(commands // batch):
        queue.append(("a", leader.propose(data, now)[1]))
        settle()
    took, used = time.perf_counter() - started, time.process_time() - cpu
    assert leader.commit == leader.log.last
    return {"core_commands_per_s": commands / took, "core_cpu_us_per_command": used / commands * 1e6}


def failover_simulated(seeds: int, times: list[float]) -> Figures:
    """Times without a leader after it was killed, over the longest election time-out."""
    for seed in range(seeds):
        group = Group(seed, members=3, length_ms=12_000.0, faults=Faults(0.0, 0.0, 0.0, 1e12))

        def kill(group: Group = group) -> None:
            leader = group._leader()
            if leader is not None:
                group.crash(leader)
                group._lost_leader_at = group.now
                group.after(500.0, lambda: group.restart(leader))

        for at in range(1500, 11_000, 1500):
            group.at(float(at), kill)
        group.run()
        times += group.leaderless
    times.sort()
    return {
        "failover_p99_vs_election": times[len(times) * 99 // 100] / (2 * r.Timing().election),
        "failover_simulated_kills": len(times),
        "failover_simulated_ms_p50": median(times),
    }


async def _failover_real(group: ChaosGroup, kills: int, times: list[float]) -> Figures:
    """From the kill of the leader to the next write that is acknowledged."""
    async with KeeperClient(group.keepers, deadline_s=20.0) as client:
        for number in range(kills):
            name = await group.leader()
            await group.settled(3)
            started = time.monotonic()
            await group.places[name].kill()
            await client.put("failover", b"%d" % number)
            times.append((time.monotonic() - started) * 1000)
            await group.places[name].start()
    return {"failover_real_ms_p50": median(times), "failover_real_ms_max": max(times)}


async def _release(group: ChaosGroup, times: int) -> Figures:
    """From the holder's clean end to the next holder's token."""
    took: list[float] = []
    async with KeeperClient(group.keepers) as one, KeeperClient(group.keepers) as two:
        holding, waiting = Duty(one, "bench", "one", 5000), Duty(two, "bench", "two", 5000)
        await holding.take()
        for _ in range(times):
            taking = asyncio.create_task(waiting.take())
            await asyncio.sleep(0.1)  # until it stands in the line
            started = time.perf_counter()
            await holding.leave()
            await taking
            took.append((time.perf_counter() - started) * 1000)
            holding, waiting = waiting, holding
        await holding.leave()
    took.sort()
    return {"release_ms_p50": median(took), "release_ms_p99": took[len(took) * 99 // 100]}


async def _succession(group: ChaosGroup, times: int) -> Figures:
    """From a holder's crash to the next holder's token, over ttl and the longest election; every second time the
    leading keeper is killed in the same moment."""
    ttl_ms, took = 1000, list[float]()
    for number in range(times):
        async with KeeperClient(group.keepers) as one, KeeperClient(group.keepers) as two:
            holding, waiting = Duty(one, f"crash-{number}", "one", ttl_ms), Duty(two, f"crash-{number}", "two", ttl_ms)
            await holding.take()
            taking = asyncio.create_task(waiting.take())
            await asyncio.sleep(0.2)
            started = time.perf_counter()
            await one.renewals.close()  # nothing more comes from this one
            lost = group.places[await group.leader()] if number % 2 else None
            if lost is not None:
                await lost.kill()
            await taking
            took.append((time.perf_counter() - started) * 1000)
            await waiting.leave()
            if lost is not None:
                await lost.start()
                await group.settled(3)
    return {
        "succession_max_vs_ttl_and_election": max(took) / (ttl_ms + 2 * r.Timing().election),
        "succession_ms_max": max(took),
    }


async def _renewals(seconds: float) -> Figures:
    """Processor time of the leader for each renewal, with 10,000 leases over with 100."""
    costs = {}
    for leases in (100, 10_000):
        with tempfile.TemporaryDirectory(prefix="mastlift-bench-") as folder:
            async with running(Path(folder), "abc") as group, KeeperClient(group.keepers) as client:
                await asyncio.sleep(1.0)  # ids are places in the order: what a group notes at its start comes first
                ids = [await client.grant(3_600_000)]
                while len(ids) < leases:  # few at once: the relays run in this process
                    more = min(250, leases - len(ids))
                    ids += await asyncio.gather(*(client.grant(3_600_000) for _ in range(more)))
                first = min(ids)
                assert max(ids) - first == leases - 1
                place = group.places[await group.leader()]
                before = cpu_s(place.child.process.pid)
                done = await asyncio.to_thread(rate, place.relay.target, 32, seconds, f"renew:{first}:{leases}")
                costs[leases] = (cpu_s(place.child.process.pid) - before) / (done * seconds)
    return {"renewals_cost_10000_vs_100": costs[10_000] / costs[100], "renewal_cpu_us": costs[100] * 1e6}


async def _by_clients(one: str, three: str, report: Report) -> None:
    """Commands per second as clients grow, for the plot."""
    rates: dict[str, dict[float, float]] = {"one keeper": {}, "three keepers": {}}
    for clients in (4, 16, 64, 256, 1024):
        for name, address in zip(rates, (one, three), strict=True):
            rates[name][clients] = await asyncio.to_thread(rate, address, clients, 2.0)
    report.lines(
        "throughput", "Commands made durable, by clients", ("clients", "commands per second"), rates, log_x=True
    )


async def _storm(clients: int, seconds: float) -> Figures:
    """Calls per second of so many clients whose keepers are all gone, once their pauses have grown."""
    gone = free_addresses(3)
    async with contextlib.AsyncExitStack() as stack:
        each = [await stack.enter_async_context(KeeperClient(gone, 60.0, seed)) for seed in range(clients)]
        tasks = [asyncio.create_task(client.put("k", b"")) for client in each]
        await asyncio.sleep(3.0)
        before = sum(client.calls for client in each)
        await asyncio.sleep(seconds)
        rate_ = (sum(client.calls for client in each) - before) / seconds
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return {"calls_per_s_of_500_clients_all_gone": rate_}


async def _processes(quick: bool, report: Report, times: list[float]) -> Figures:
    seconds, rounds = (0.8, 3) if quick else (5.0, 5)
    figures: Figures = {}
    with tempfile.TemporaryDirectory(prefix="mastlift-bench-") as folder:
        async with running(Path(folder) / "one", "a") as one, running(Path(folder) / "three", "abc") as three:
            ratios, reads, at_leader, ones, threes = [], [], [], [], []
            for _ in range(rounds):
                alone = one.places["a"].relay.target
                leader = three.places[await three.leader()].relay.target
                ones.append(await asyncio.to_thread(rate, alone, CLIENTS, seconds))
                threes.append(await asyncio.to_thread(rate, leader, CLIENTS, seconds))
                every = ",".join(place.relay.target for place in three.places.values())
                read = await asyncio.to_thread(rate, every, CLIENTS, seconds, "get")
                lone = await asyncio.to_thread(rate, leader, CLIENTS, seconds, "get")
                ratios.append(threes[-1] / ones[-1])
                reads.append(read / threes[-1])
                at_leader.append(lone / threes[-1])
            figures |= {
                "three_vs_one": median(ratios),
                "one_puts_per_s": median(ones),
                "three_puts_per_s": median(threes),
                "read_vs_write": median(reads),
                "read_at_leader_vs_write": median(at_leader),
            }
            if report.wanted:
                await _by_clients(alone, leader, report)
            figures |= await _release(three, 25 if quick else 200)
            figures |= await _failover_real(three, 3 if quick else 20, times)
            figures |= await _succession(three, 4 if quick else 20)
    figures |= await _storm(500, 2.0 if quick else 10.0)
    return figures | await _renewals(1.0 if quick else 6.0)


def measure(quick: bool, tell: Callable[[str], None], report: Report) -> Figures:
    """All figures of the group and the duties on it."""
    figures: Figures = {"clients": CLIENTS}
    simulated, real = list[float](), list[float]()
    steps: list[tuple[str, Callable[[], Figures]]] = [
        ("core", lambda: core_alone(100_000 if quick else 500_000)),
        ("simulated failovers", lambda: failover_simulated(6 if quick else 60, simulated)),
        ("processes", lambda: uvloop.run(_processes(quick, report, real))),
    ]
    for name, step in steps:
        tell(name)
        figures |= step()
    report.histogram(
        "failover",
        "Time without a leader after its kill",
        "ms",
        {"simulated, to the next leader": simulated, "processes, to the next write": real},
        2 * 2 * r.Timing().election,
        "bound: two longest election time-outs",
    )
    return figures

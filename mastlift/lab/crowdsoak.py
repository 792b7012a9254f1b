"""Seeded runs of a real proxy that is killed, ended and reloaded under crowds, beside sound clients and slow servers.

A seed draws the limits of the process, the crowd, the servers' pace and rows of signals. Checked from outside: no
process ends by itself, none holds more memory than its settings say, no request of a sound client is lost, and no order
runs twice. Clients go on using the connections that stay open until SIGKILL, which follows SIGTERM at the earliest.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from mastlift.lab.addresses import free_address
from mastlift.lab.clientcrowd import (
    LANE_DEADLINE_MS,
    OVERDUE_S,
    Backend,
    Crowd,
    KeptConnection,
    Plan,
    Trouble,
    configuration,
    most_memory_mb,
    request_head,
)
from mastlift.lab.processes import Child, started

RESTART_S = 1.0  # from SIGKILL to the next start
LONGEST_DEADLINE_S = min(LANE_DEADLINE_MS / 1000.0, 3.0)  # as the protocol counts it for the kill
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # from SIGTERM, by the protocol at the earliest
DEADLINES_S = (0.6, 1.5, 2.5)  # of the sound clients' requests
ORDER, READ = "order-", "read-"  # how the ids of the sound clients begin
SOUND_CLIENTS = 6
SOUND_PAUSE_S = 0.03
MEMORY_LOOK_S = 0.05
MEMORY_MB = (32, 48, 88, 192)
SOCKETS = (256, 576, 1024)
CROWD_CHANCE = 0.8
FLOOD_CHANCE = 0.3
MOST_CLIENTS = 600


class Signal(Enum):
    """What happens to the process; it is started again after each end."""

    KILL = "SIGKILL"
    END = "SIGTERM, and SIGKILL at the earliest"
    RELOAD = "SIGHUP"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run. `signals`: the time from the start, in seconds, and what is done then."""

    crowd: Plan
    flood: Trouble | None
    signals: tuple[tuple[float, Signal], ...]
    seconds: float


def draw(seed: int) -> SoakPlan:
    """The plan of a seed."""
    chance = random.Random(seed)
    floods = [trouble for trouble in Trouble if trouble.name.startswith("FLOOD")]
    others = [trouble for trouble in Trouble if trouble not in floods]
    sockets = chance.choice(SOCKETS)
    crowd = Plan(
        tuple(chance.sample(others, chance.randint(1, 5))),
        clients=chance.randint(50, min(MOST_CLIENTS, sockets)) if chance.random() < CROWD_CHANCE else 0,
        memory_mb=chance.choice(MEMORY_MB),
        sockets=sockets,
        servers=chance.randint(1, 3),
        servers_read_pause_s=chance.choice((0.0, 0.0, 0.01, 0.1)),
    )
    signals, at = [], chance.uniform(1.0, 2.5)
    for _ in range(chance.randint(1, 2)):
        for _ in range(chance.randint(1, 3)):
            what = chance.choice(tuple(Signal))
            signals.append((at, what))
            at += chance.uniform(0.1, 1.0) + {Signal.KILL: 1.5, Signal.END: KILL_AFTER_S + 1.5}.get(what, 0.0)
        at += chance.uniform(0.5, 2.0)
    flood = chance.choice(floods) if chance.random() < FLOOD_CHANCE else None
    return SoakPlan(crowd, flood, tuple(signals), at + 1.0)


@dataclass(slots=True)
class SoakOutcome:
    """What was seen of a run."""

    seed: int
    broken: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)  # of the sound clients
    memory_mb: float = 0.0
    limit_mb: int = 0
    log: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        answers = ", ".join(f"{count} {what}" for what, count in sorted(self.answers.items()))
        state = "; ".join(self.broken) or "held"
        return f"seed {self.seed}: {state}; {self.memory_mb:.1f} MB of {self.limit_mb}; sound clients: {answers}"


class CountingBackend(Backend):
    """Counts how often each id was run whole."""

    def __init__(self, runs: Counter[str], read_pause_s: float) -> None:
        super().__init__(read_pause_s)
        self._runs = runs

    def ran(self, head: bytes) -> None:
        """A request has come whole."""
        if b"\r\nx-sound: 1\r\n" in head:
            self._runs[head.split(b"x-trace-id: ")[1].split(b"\r\n")[0].decode()] += 1


class SoundClient:
    """Sends proper requests one after the other, orders and reads, on a connection that it keeps while it may."""

    def __init__(self, address: tuple[str, int], soak: Soak, chance: random.Random) -> None:
        self.connection = KeptConnection(address)
        self._soak = soak
        self._chance = chance

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            await self._ask()
            await asyncio.sleep(SOUND_PAUSE_S)

    async def _ask(self) -> None:
        is_order = self._chance.random() < 0.5
        trace = f"{ORDER if is_order else READ}{self._chance.getrandbits(64):016x}"
        deadline_s = self._chance.choice(DEADLINES_S)
        began, kills = time.monotonic(), self._soak.kills
        for is_first in (True, False):
            is_kept = self.connection.is_open()
            result = await self._try(trace, deadline_s, is_order)
            if result == "closed" and is_kept and is_first:
                continue  # it may have crossed the end of the connection: sent once more on a new one
            break
        self._soak.note(result, trace, time.monotonic() - began - deadline_s, self._soak.kills != kills)

    async def _try(self, trace: str, deadline_s: float, is_order: bool) -> str:
        method, path = ("POST", "/pay/1") if is_order else ("GET", "/read/1")
        fields = ("X-Sound: 1", "Content-Length: 0") if is_order else ("X-Sound: 1",)
        try:
            async with asyncio.timeout(deadline_s + 4 * OVERDUE_S):
                return await self.connection.exchange(request_head(method, path, deadline_s, *fields, trace=trace))
        except TimeoutError:
            self.connection.close()
            return "no answer"
        except ConnectionRefusedError:
            return "nobody listens"
        except (OSError, asyncio.IncompleteReadError):
            self.connection.close()
            return "closed"


class Soak:
    """The processes and clients of one run."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._plan = draw(seed)
        self._chance = random.Random(seed + 1)
        self._folder = folder
        self._runs: Counter[str] = Counter()
        self._child: Child | None = None
        self._is_ending = False  # we have told the process to end
        self.kills = 0  # by SIGKILL so far: what is open then may go without an answer
        self.outcome = SoakOutcome(seed, limit_mb=self._plan.crowd.memory_mb)

    def note(self, result: str, trace: str, overdue_s: float, was_killed: bool) -> None:
        """The end of one request of a sound client."""
        self.outcome.answers[result] += 1
        if was_killed:
            return
        if result == "no answer" or (result.isdigit() and overdue_s > OVERDUE_S):
            self.outcome.broken.append(f"{trace} {result}, {overdue_s:.2f} s over its time")
        elif result == "closed" and self._runs[trace]:
            self.outcome.broken.append(f"{trace} ran, and its connection was closed without an answer")

    async def run(self) -> SoakOutcome:
        """Plays the plan."""
        host, port = free_address().split(":")
        address = host, int(port)
        servers = [
            await CountingBackend(self._runs, self._plan.crowd.servers_read_pause_s).start()
            for _ in range(self._plan.crowd.servers)
        ]
        settings = configuration(self._plan.crowd, f"{host}:{port}", [server.address for server in servers])
        path = self._folder / "config.json"
        path.write_text(json.dumps(settings))
        environment = {"NODE_CONFIG": str(path)}
        sound = [SoundClient(address, self, self._chance) for _ in range(SOUND_CLIENTS)]
        crowds = [Crowd(address, self._plan.crowd, self._chance)]
        if self._plan.flood is not None:
            crowds.append(Crowd(address, Plan((self._plan.flood,), clients=1), self._chance))
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack, environment)
            tasks = [asyncio.create_task(client.run()) for client in sound]
            tasks.append(asyncio.create_task(self._watch_memory()))
            coming = [asyncio.create_task(self._come_again(crowd)) for crowd in crowds]
            began = time.monotonic()
            for at, what in self._plan.signals:
                await asyncio.sleep(max(began + at - time.monotonic(), 0.0))
                await self._send(what, stack, environment)
            await asyncio.sleep(max(began + self._plan.seconds - time.monotonic(), 0.0))
            for task in (*tasks, *coming):
                task.cancel()
            results = await asyncio.gather(*tasks, *coming, return_exceptions=True)
            self.outcome.broken += [repr(each) for each in results if isinstance(each, Exception)]
            self._check_alive()
            for crowd in crowds:
                await crowd.leave()
            for client in sound:
                client.connection.close()
        for server in servers:
            await server.stop()
        for trace, count in self._runs.items():
            if count > 1 and trace.startswith(ORDER):
                self.outcome.broken.append(f"{trace} ran {count} times")
        return self.outcome

    async def _come_again(self, crowd: Crowd) -> None:
        """The crowd comes, and again whenever the process was killed, as clients do that reconnect."""
        while True:
            kills = self.kills
            await crowd.come()
            while kills == self.kills:
                await asyncio.sleep(0.1)
            await crowd.leave()
            await asyncio.sleep(RESTART_S)

    async def _start(self, stack: contextlib.AsyncExitStack, environment: dict[str, str]) -> None:
        self._child = await stack.enter_async_context(started("-m", "proxy", environment=environment))
        await self._child.line("serves on")
        self._is_ending = False

    async def _send(self, what: Signal, stack: contextlib.AsyncExitStack, environment: dict[str, str]) -> None:
        assert self._child is not None
        self._check_alive()
        if what is Signal.RELOAD:
            self._child.send(signal.SIGHUP)
            return
        self._is_ending = True
        if what is Signal.END:
            self._child.send(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._child.process.wait(), KILL_AFTER_S)
        self._read_memory()
        self._child.send(signal.SIGKILL)
        self.kills += what is Signal.KILL or self._child.process.returncode is None
        await self._child.process.wait()
        self.outcome.log += self._child.lines
        await asyncio.sleep(RESTART_S)
        await self._start(stack, environment)

    def _check_alive(self) -> None:
        assert self._child is not None
        code = self._child.process.returncode
        if code is not None and not self._is_ending:
            self.outcome.broken.append(f"the process ended by itself with {code}: {self._child.lines[-5:]}")

    async def _watch_memory(self) -> None:
        while True:
            self._read_memory()
            await asyncio.sleep(MEMORY_LOOK_S)

    def _read_memory(self) -> None:
        assert self._child is not None
        with contextlib.suppress(OSError, StopIteration):
            held = most_memory_mb(self._child.process.pid)
            if self.outcome.memory_mb <= self.outcome.limit_mb < held:
                self.outcome.broken.append(f"{held:.1f} MB of {self.outcome.limit_mb}")
            self.outcome.memory_mb = max(self.outcome.memory_mb, held)


async def soak(seed: int, folder: Path) -> SoakOutcome:
    """One run of a seed."""
    return await Soak(seed, folder).run()

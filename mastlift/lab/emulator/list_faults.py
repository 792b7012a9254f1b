"""Random faults of the discovery service, drawn by seed, in front of the production discovery clients of a fleet.

Watches are reset, closed instead of reporting a drain, or stop sending without being closed; discovery goes down or
moves to other addresses several times in a row; servers drain meanwhile. A run records the requests that are sent to a
draining server too late. The same seed repeats the same run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mastlift.lab.emulator.lists import World

SERVERS = 30
FIRST_DRAINED = 2
FAULTS_UNTIL_S = 8.0
DRAINS_UNTIL_S = 14.0
WATCHED_S = 26.0
FLEETS = (4, 8, 17, 17, 40)
ALL_CALL_S = (0.5, 2.0, 4.0, 6.5, 8.2)  # time in which discovery answers one call of each proxy, in sequence
LONGEST_CALL_S = 1.0  # per proxy; a call that takes more than the 2 s of discovery's queue would never be accepted
OUTAGE_ANSWERS = ("refused", "reset", "503 after the wait", "503 after the wait")


@dataclass
class FaultRun:
    """One run; `faults` lists the injected faults, each with its time in seconds since the clients started."""

    seed: int
    faults: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        proxies = self._random.choice(FLEETS)
        all_call_s = min(self._random.choice(ALL_CALL_S), LONGEST_CALL_S * proxies)
        self.world = World(proxies, SERVERS, asked=True, all_call_s=all_call_s, seed=self.seed)
        self._drained = FIRST_DRAINED
        self.world.run(2.0 * all_call_s + 5.0)
        self.world.start_clients()
        self._began = self.world.loop.now

    def play(self) -> World:
        """Draw the faults and run them; the world's `late` then contains the requests that were sent too late."""
        kinds: list[Callable[[], None]] = [self._reset, self._close, self._silence, self._outage, self._moves]
        for fault in self._random.sample(kinds, k=self._random.choice((1, 2, 2, 3))):
            self.world.loop.call_later(self._random.uniform(0.0, FAULTS_UNTIL_S), fault)
        for _ in range(self._random.choice((1, 2, 3))):
            self.world.loop.call_later(self._random.uniform(0.0, DRAINS_UNTIL_S), self._drain)
        self.world.run(WATCHED_S)
        return self.world

    def _note(self, fault: str) -> None:
        self.faults.append((round(self.world.loop.now - self._began, 3), fault))

    def _next_server(self) -> str:
        self._drained += 1
        return f"s{self._drained - 1}"

    def _reset(self) -> None:
        self._note("watches reset")
        self.world.end_watches(self._random.choice((0.3, 1.0)))

    def _close(self) -> None:
        name = self._next_server()
        self._note(f"watches closed in place of reporting {name}")
        self.world.end_watches(self._random.choice((0.2, 1.0)), name)

    def _silence(self) -> None:
        if not self.world.is_down:
            self._note("all fall silent")
            self.world.fall_silent()

    def _drain(self) -> None:
        if not self.world.is_down:
            name = self._next_server()
            self._note(f"{name} drains")
            self.world.change(name)

    def _outage(self) -> None:
        seconds, answers = self._random.uniform(1.0, 8.0), self._random.choice(OUTAGE_ANSWERS)
        self._note(f"down for {seconds:.1f} s, calls: {answers}")
        self.world.go_down(seconds, answers)

    def _moves(self) -> None:
        gaps = [self._random.uniform(0.1, 1.0) for _ in range(self._random.choice((1, 2, 4)))]
        stagger_s = self._random.choice((0.0, 0.05, 0.21))
        self._note(f"{len(gaps)} moves of each, {stagger_s} s from one proxy to the next")
        for number in self.world.addresses:
            after_s = number * stagger_s
            for gap_s in gaps:
                self.world.loop.call_later(after_s, self.world.move, number)
                after_s += gap_s

"""Requests that are held while the endpoint list may lack a drain: sends too late, with the hold and without it.

The real discovery client and decision module of each proxy run before the emulator's discovery. Runs are compared by
seed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from unittest import mock

from mastlift.lab.emulator.lists import World

SERVERS = 30
SETTLED_S = 30.0  # until all proxies have a watch
DRAINED = "s2"
AFTERWARDS_S = 14.0


def _closed_with_a_full_queue(world: World) -> None:
    """All watches are reset; some that are up again are closed in place of reporting a drain."""
    world.end_watches(1.0)
    world.run(3.4)
    world.end_watches(1 / 6, DRAINED)


def _closed_after_an_outage(world: World) -> None:
    """Discovery is down for 6 s; the watches that are up 2 s after its return are closed in place of reporting."""
    world.go_down(6.0, "503 after the wait")
    world.run(8.0)
    world.end_watches(1.0, DRAINED)


def _silent_before_a_slow_discovery(world: World) -> None:
    world.fall_silent()
    world.run(0.5)
    world.change(DRAINED)


@dataclass(frozen=True, slots=True)
class Scenario:
    """`all_call_s`: how long discovery takes for a call of each proxy, one after another. `refuses_at_once`: a call for
    which its queue is too long; else such a call waits in vain."""

    name: str
    proxies: int
    all_call_s: float
    happens: Callable[[World], None]
    refuses_at_once: bool = True


CLOSED = Scenario("closed, queue full", 17, 6.5, _closed_with_a_full_queue)
CLOSED_MANY = Scenario("closed, queue full", 60, 6.5, _closed_with_a_full_queue)
OUTAGE = Scenario("closed after an outage", 60, 6.5, _closed_after_an_outage, refuses_at_once=False)
SILENT = Scenario("silent, discovery slow", 17, 8.2, _silent_before_a_slow_discovery)
SCENARIOS = (CLOSED, CLOSED_MANY, OUTAGE, SILENT)


@dataclass(slots=True)
class Result:
    """Counts over all seeds."""

    plays: int = 0
    plays_with_late_sends: int = 0
    late_sends: int = 0
    late_after_close: int = 0  # of these, by proxies whose watch was closed in place of reporting
    sends: int = 0
    refusals: int = 0

    def add(self, world: World) -> None:
        self.plays += 1
        self.plays_with_late_sends += bool(world.late)
        self.late_sends += len(world.late)
        self.late_after_close += sum(number in world.closed for number, _, _ in world.late)
        self.sends += world.sends
        self.refusals += world.refusals

    def __str__(self) -> str:
        return (f"late sends {self.late_sends} ({self.late_after_close} after a close) in "
                f"{self.plays_with_late_sends} of {self.plays} plays, "
                f"refused {self.refusals} of {self.sends + self.refusals}")


def play(scenario: Scenario, seed: int) -> World:
    """One run: all proxies have a watch and clients, then what the scenario says happens."""
    world = World(scenario.proxies, SERVERS, asked=True, all_call_s=scenario.all_call_s, seed=seed,
                  refuses_at_once=scenario.refuses_at_once)
    world.run(SETTLED_S)
    world.clients_come()
    scenario.happens(world)
    world.run(AFTERWARDS_S)
    return world


def play_seeds(scenario: Scenario, seeds: Sequence[int], *, holds: bool = True) -> Result:
    """`holds`: requests are held; else sends go on by the outdated list."""
    result = Result()
    for seed in seeds:
        if holds:
            result.add(play(scenario, seed))
        else:
            with mock.patch.multiple("balancing.outdated", UNSEEN_WAIT_MS=0.0, LONGEST_WAIT_MS=0.0):
                result.add(play(scenario, seed))
    return result

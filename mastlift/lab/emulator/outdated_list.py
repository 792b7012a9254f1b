"""Holding requests while the endpoint list may lack a drain: late sends with the hold and without it.

The production discovery client and balancer of each proxy run against the emulator's discovery. Runs with and without
the hold use the same seeds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from unittest import mock

from mastlift.lab.emulator.lists import World

SERVERS = 30
SETTLED_S = 30.0  # time in which all proxies establish a watch
DRAINED = "s2"
AFTERWARDS_S = 14.0  # how long a run goes on after the fault
MOVES_S = (0.0, 0.3, 0.7, 1.6)  # times of the moves of one proxy, in seconds after its first
MOVES_STAGGER_S = 0.21  # delay from the first move of one proxy to that of the next


def _closed_with_a_full_queue(world: World) -> None:
    """Reset all watches; of those that are re-established, close some instead of reporting a drain."""
    world.end_watches(1.0)
    world.run(3.4)
    world.end_watches(1 / 6, DRAINED)


def _closed_after_an_outage(world: World) -> None:
    """Stop discovery for 6 s; 2 s after its return, close the established watches instead of reporting a drain."""
    world.go_down(6.0, "503 after the wait")
    world.run(8.0)
    world.end_watches(1.0, DRAINED)


def _silent_before_a_slow_discovery(world: World) -> None:
    world.fall_silent()
    world.run(0.5)
    world.change(DRAINED)


def _moved_in_a_row(world: World) -> None:
    """Give each proxy four new configurations, staggered over the proxies; a server drains meanwhile."""
    for proxy in world.proxies:
        for after_s in MOVES_S:
            world.loop.call_later(proxy.number * MOVES_STAGGER_S + after_s, world.move, proxy.number)
    world.run(2.17)
    world.change(DRAINED)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault that `apply_fault` injects into a running fleet.

    `all_call_s`: time in which discovery answers one call of each proxy, in sequence. `refuses_at_once`: discovery
    refuses a call at once if its queue is too long; otherwise it refuses the call after the longest wait.
    """

    name: str
    proxies: int
    all_call_s: float
    apply_fault: Callable[[World], None]
    refuses_at_once: bool = True


CLOSED = Scenario("closed, queue full", 17, 6.5, _closed_with_a_full_queue)
CLOSED_MANY = Scenario("closed, queue full", 60, 6.5, _closed_with_a_full_queue)
OUTAGE = Scenario("closed after an outage", 60, 6.5, _closed_after_an_outage, refuses_at_once=False)
SILENT = Scenario("silent, discovery slow", 17, 8.2, _silent_before_a_slow_discovery)
MOVED = Scenario("moved in a row", 17, 6.5, _moved_in_a_row)
MOVED_MANY = Scenario("moved in a row, many", 60, 6.5, _moved_in_a_row)
SCENARIOS = (CLOSED, CLOSED_MANY, OUTAGE, SILENT, MOVED, MOVED_MANY)


@dataclass(slots=True)
class Result:
    """Totals over all seeds."""

    plays: int = 0
    plays_with_late_sends: int = 0
    late_sends: int = 0
    late_after_close: int = 0  # of these, by proxies whose watch was closed instead of reporting the drain
    sends: int = 0
    refusals: int = 0
    calls: int = 0  # to discovery, for the list

    def add(self, world: World) -> None:
        self.plays += 1
        self.plays_with_late_sends += bool(world.late)
        self.late_sends += len(world.late)
        self.late_after_close += sum(number in world.closed for number, _, _ in world.late)
        self.sends += world.sends
        self.refusals += world.refusals
        self.calls += len(world.calls)

    def __str__(self) -> str:
        return (
            f"late sends {self.late_sends} ({self.late_after_close} after a close) in "
            f"{self.plays_with_late_sends} of {self.plays} plays, "
            f"refused {self.refusals} of {self.sends + self.refusals}, {self.calls} calls for the list"
        )


def play(scenario: Scenario, seed: int) -> World:
    """Run a scenario once: all proxies establish a watch, clients start, and the scenario injects its fault."""
    world = World(
        scenario.proxies,
        SERVERS,
        asked=True,
        all_call_s=scenario.all_call_s,
        seed=seed,
        refuses_at_once=scenario.refuses_at_once,
    )
    world.run(SETTLED_S)
    world.start_clients()
    scenario.apply_fault(world)
    world.run(AFTERWARDS_S)
    return world


def play_seeds(scenario: Scenario, seeds: Sequence[int], *, holds: bool = True) -> Result:
    """Run a scenario once per seed; without `holds`, requests are sent by the outdated list instead of being held."""
    result = Result()
    for seed in seeds:
        if holds:
            result.add(play(scenario, seed))
        else:
            with mock.patch.multiple("balancing.freshness", UNSURE_SEND_STOP_MS=0.0, MAX_SEND_STOP_MS=0.0):
                result.add(play(scenario, seed))
    return result

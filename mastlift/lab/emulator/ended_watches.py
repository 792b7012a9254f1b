"""Watches that end instead of reporting a drain: how many proxies receive the drain too late.

The production discovery client and balancer of each proxy run against the emulator's discovery, which answers calls one
after another. For the same seeds, the current timing of calls is compared with the former one, and with the lower bound
for any order of calls.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from mastlift.lab.emulator.lists import ENDED_DUE_S, GRACE_S, Wire, World

SERVERS = 30
SETTLED_S = 20.0  # time in which all proxies establish a watch
WATCHED_S = 12.0  # how long a run goes on after the watches have ended
DRAINED = "s2"
LATE_AFTER_S = ENDED_DUE_S + GRACE_S


@dataclass(frozen=True, slots=True)
class Scenario:
    """A `share` of the watches of a fleet end at once.

    `all_call_s`: time in which discovery answers one call of each proxy, in sequence. `reset_before_s`: all watches are
    reset this long before, so that discovery's queue is full. With 0 it is empty.
    """

    proxies: int
    all_call_s: float
    share: float
    reset_before_s: float = 0.0

    @property
    def ended(self) -> int:
        return round(self.share * self.proxies)

    @property
    def bound(self) -> float:
        """The least share of late proxies for any order of calls, if discovery answered only their calls."""
        in_time = int(LATE_AFTER_S / (self.all_call_s / self.proxies))
        return max(self.ended - in_time, 0) / max(self.ended, 1)


@dataclass(slots=True)
class Result:
    """Seconds from the end of each watch until its proxy has the list, and the calls of all proxies in that time."""

    delays_s: list[float]
    calls: int

    @property
    def late(self) -> int:
        return sum(delay > LATE_AFTER_S for delay in self.delays_s)


SCENARIOS = (
    Scenario(5, 1.0, 0.4),
    Scenario(17, 6.5, 0.2),
    Scenario(17, 6.5, 1.0),
    Scenario(17, 6.5, 1 / 6, 5.4),
    Scenario(17, 6.5, 1 / 6, 3.4),
    Scenario(60, 6.5, 1 / 6, 4.4),
    Scenario(230, 3.7, 0.2),
    Scenario(230, 3.7, 1.0),
    Scenario(230, 6.5, 0.2, 3.4),
)


@contextmanager
def former_timing() -> Iterator[None]:
    """Use the former timing: 6 s to get the list after a watch ends, and no allowance for discovery's queue."""
    with ExitStack() as stack:
        for name, value in (
            ("proxy.discovery.ENDED_WATCH_DUE_S", 6.0),
            ("balancing.freshness.CLOSED_DUE_MS", 6_000.0),
            ("balancing.balancer.DISCOVERY_QUEUE_WAIT_MS", 0.0),
            ("balancing.balancer.MIN_RETRY_SPACING_MS", 300.0),
            ("balancing.balancer.MAX_RETRY_SPACING_MS", 300.0),
        ):
            stack.enter_context(mock.patch(name, value))
        yield


def play(scenario: Scenario, seed: int) -> Result:
    """Run a scenario once."""
    world = World(scenario.proxies, SERVERS, asked=True, all_call_s=scenario.all_call_s, seed=seed)
    world.run(SETTLED_S)
    calls = len(world.calls)
    if scenario.reset_before_s:
        world.end_watches(1.0)
        world.run(scenario.reset_before_s)
    known_at: dict[int, float] = {}
    send_entries = world.send_entries

    def note(wire: Wire, entries: Sequence[dict[str, Any]]) -> None:
        if any(entry["id"] == DRAINED for entry in entries):
            known_at.setdefault(wire.number, world.loop.now)
        send_entries(wire, list(entries))

    world.send_entries = note  # type: ignore[method-assign]
    ended_at = world.loop.now
    ended = world.end_watches(scenario.share, DRAINED)
    world.run(WATCHED_S)
    delays = [known_at.get(proxy.number, world.loop.now) - ended_at for proxy in ended]
    return Result(delays, len(world.calls) - calls)


def play_seeds(scenario: Scenario, seeds: Sequence[int]) -> Result:
    """Run a scenario once per seed and combine the results."""
    results = [play(scenario, seed) for seed in seeds]
    return Result([delay for result in results for delay in result.delays_s], sum(result.calls for result in results))


@dataclass(frozen=True, slots=True)
class Comparison:
    """Shares of late proxies over all seeds, and mean number of calls for a list in a run; `_before`: former timing."""

    scenario: Scenario
    seeds: int
    late: float
    late_before: float
    bound: float
    slowest_s: float
    slowest_before_s: float
    calls: float
    calls_before: float

    def __str__(self) -> str:
        scenario = self.scenario
        queue = f"reset {scenario.reset_before_s:.1f} s before" if scenario.reset_before_s else "queue empty"
        return (
            f"{scenario.proxies:4} proxies, {scenario.ended:3} watches end, each call {scenario.all_call_s} s, "
            f"{queue}: late {self.late_before:.3f} -> {self.late:.3f} (bound {self.bound:.3f}), "
            f"slowest {self.slowest_before_s:.2f} -> {self.slowest_s:.2f} s, "
            f"calls {self.calls_before:.0f} -> {self.calls:.0f}"
        )


def compare(scenario: Scenario, seeds: Sequence[int]) -> Comparison:
    new = play_seeds(scenario, seeds)
    with former_timing():
        former = play_seeds(scenario, seeds)
    return Comparison(
        scenario,
        len(seeds),
        new.late / len(new.delays_s),
        former.late / len(former.delays_s),
        scenario.bound,
        max(new.delays_s),
        max(former.delays_s),
        new.calls / len(seeds),
        former.calls / len(seeds),
    )

"""When leases are over: the arithmetic of whoever keeps the time for the store. Pure; times in milliseconds of any
monotonic clock.

The state itself has no time. The keeper that orders commands feeds this with what was granted and renewed, asks it
what is due, and proposes a `Revoke` that holds only if no renewal came first. Time in which the keeper itself was away
(not started, paused, its clock set) counts for nobody: every lease then has its full time again.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from mastlift.store.commands import Revoke

LARGEST_STEP_MS = 1000.0  # ticks further apart than this mean that this process was away


@dataclass(slots=True)
class _Running:
    ttl_ms: int
    renewals: int
    until: float


class LeaseClock:
    def __init__(self, now: float, leases: Iterable[tuple[int, int, int]] = ()) -> None:
        """`leases` are (id, ttl in ms, renewals) of a state just recovered: each has its full time from `now` on."""
        self._last = now
        self._running: dict[int, _Running] = {}
        self._due: list[tuple[float, int]] = []
        for lease, ttl_ms, renewals in leases:
            self.started(lease, ttl_ms, renewals, now)

    def started(self, lease: int, ttl_ms: int, renewals: int, now: float) -> None:
        """A lease was granted or renewed, at this time at the earliest."""
        until = now + ttl_ms
        running = self._running.get(lease)
        self._running[lease] = _Running(ttl_ms, renewals, until)
        if running is None:  # a renewed one is put back when its old time comes up
            heapq.heappush(self._due, (until, lease))

    def ended(self, lease: int) -> None:
        self._running.pop(lease, None)

    def remaining_ms(self, lease: int, now: float) -> float:
        running = self._running.get(lease)
        return max(0.0, running.until - now) if running else 0.0

    def tick(self, now: float) -> list[Revoke]:
        """What is due. Call it every LARGEST_STEP_MS or more often. What it tells is told again at the next tick
        until `ended` or `started` says what came of it."""
        step, self._last = now - self._last, now
        if step < 0 or step > LARGEST_STEP_MS:
            for running in self._running.values():
                running.until = now + running.ttl_ms
            self._due = [(running.until, lease) for lease, running in self._running.items()]
            heapq.heapify(self._due)
        due: list[Revoke] = []
        again: list[tuple[float, int]] = []
        while self._due and self._due[0][0] <= now:
            _, lease = heapq.heappop(self._due)
            found = self._running.get(lease)
            if found is None:
                continue
            if found.until <= now:
                due.append(Revoke(lease, found.renewals))
            again.append((max(found.until, now), lease))
        for item in again:
            heapq.heappush(self._due, item)
        return due

"""Lease expiry, tracked outside the state machine. Performs no I/O; times are milliseconds of any monotonic clock.

The state machine holds no time. The keeper that orders the commands reports each granted and renewed lease to a
`LeaseClock`, asks it which leases have expired, and proposes a `Revoke` that takes effect only if no renewal precedes
it in the log. Time during which the keeper did not run (not started, paused, its clock set) is not counted: every lease
then gets its full ttl again.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from mastlift.store.commands import Revoke

MAX_TICK_INTERVAL_MS = 1000.0  # a longer interval between ticks means that the process did not run


@dataclass(slots=True)
class _LeaseTimer:
    ttl_ms: int
    renewals: int
    expires_at: float


class LeaseClock:
    """The expiry times of the running leases."""

    def __init__(self, now: float, leases: Iterable[tuple[int, int, int]] = ()) -> None:
        """`leases` are the (id, ttl in ms, number of renewals) of a recovered state; each runs for its full ttl from
        `now`."""
        self._last_tick = now
        self._timers: dict[int, _LeaseTimer] = {}
        self._expiry_heap: list[tuple[float, int]] = []
        for lease, ttl_ms, renewals in leases:
            self.started(lease, ttl_ms, renewals, now)

    def started(self, lease: int, ttl_ms: int, renewals: int, now: float) -> None:
        """Record that a lease was granted or renewed; its ttl counts from `now`, the earliest time at which that can
        have happened."""
        expires_at = now + ttl_ms
        timer = self._timers.get(lease)
        self._timers[lease] = _LeaseTimer(ttl_ms, renewals, expires_at)
        if timer is None:  # the heap entry of a renewed lease is updated when its former expiry time is reached
            heapq.heappush(self._expiry_heap, (expires_at, lease))

    def ended(self, lease: int) -> None:
        """Record that a lease was revoked."""
        self._timers.pop(lease, None)

    def remaining_ms(self, lease: int, now: float) -> float:
        """The time until the lease expires; 0 for an expired or unknown lease."""
        timer = self._timers.get(lease)
        return max(0.0, timer.expires_at - now) if timer else 0.0

    def tick(self, now: float) -> list[Revoke]:
        """Return a Revoke command for each expired lease. Must be called at least every MAX_TICK_INTERVAL_MS.

        An expired lease is returned at every tick until `ended` or `started` is called for it."""
        step, self._last_tick = now - self._last_tick, now
        if step < 0 or step > MAX_TICK_INTERVAL_MS:
            for timer in self._timers.values():
                timer.expires_at = now + timer.ttl_ms
            self._expiry_heap = [(timer.expires_at, lease) for lease, timer in self._timers.items()]
            heapq.heapify(self._expiry_heap)
        due: list[Revoke] = []
        requeued: list[tuple[float, int]] = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, lease = heapq.heappop(self._expiry_heap)
            current = self._timers.get(lease)
            if current is None:
                continue
            if current.expires_at <= now:
                due.append(Revoke(lease, current.renewals))
            requeued.append((max(current.expires_at, now), lease))
        for entry in requeued:
            heapq.heappush(self._expiry_heap, entry)
        return due

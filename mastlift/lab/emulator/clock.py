"""A discrete-event scheduler with simulated time in seconds.

Calls run in the order of their times. Calls for the same time run in the order in which they were scheduled, so that a
run with the same seed repeats exactly.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class ScheduledCall:
    """A scheduled call that can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Clock:
    """Simulated time, and the queue of scheduled calls."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0  # calls that have run
        self._due: list[tuple[float, int, ScheduledCall]] = []
        self._order = count()

    def at(self, when: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedule a call for an absolute time in seconds; ValueError if that time has passed."""
        if when < self.now:
            raise ValueError(f"cannot schedule a call for {when} s: the clock is already at {self.now} s")
        due = ScheduledCall(call)
        heappush(self._due, (when, next(self._order), due))
        return due

    def after(self, seconds: float, call: Callable[[], None]) -> ScheduledCall:
        return self.at(self.now + seconds, call)

    def run(self, until: float) -> None:
        """Run all calls due up to and including this time, also those that these calls schedule."""
        while self._due and self._due[0][0] <= until:
            self.now, _, due = heappop(self._due)
            if (call := due.call) is not None:
                due.call = None
                self.events += 1
                call()
        self.now = max(self.now, until)

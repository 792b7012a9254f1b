"""The life cycle of the proxy process, as shown by `/up` and changed by the admin endpoint and SIGTERM."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from enum import Enum

log = logging.getLogger(__name__)


class Phase(Enum):
    STARTING = "starting"  # the list of servers is not known yet, or the listener is not open yet
    SERVING = "serving"
    EVACUATING = "evacuating"  # clients are directed away; requests that still arrive are served
    LEAVING = "leaving"  # after SIGTERM; final


class LifeCycle:
    """State of the process."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []
        # The latest operator order and its time (time.monotonic()); of two processes that act as one proxy, the later
        # order counts.
        self.evacuation_ordered = False
        self.ordered_at = 0.0
        self._can_serve = False  # the servers are known and the listener is open
        self._follows_order = False  # the latest order was given to the other process
        # Another process serves at the same address: the two act as one proxy, which stays up.
        self.has_successor: Callable[[], bool] = lambda: False

    def add_listener(self, listener: Callable[[Phase], None]) -> None:
        """Calls the listener with the phase in force at once, and with the new phase after each change."""
        self._listeners.append(listener)
        listener(self.phase)

    def is_ready(self) -> bool:
        """The result of the admin endpoint's readiness call.

        An evacuation that was ordered of the other process does not make this one unready: the platform would abort
        the upgrade, although the new version could replace the old one. `/up` still directs no clients here.
        """
        return self.phase is Phase.SERVING or (
            self.phase is Phase.EVACUATING and self._can_serve and self._follows_order
        )

    def is_up(self) -> bool:
        """The result of `/up`, by which clients choose a proxy."""
        return self.phase is Phase.SERVING or (self.phase is Phase.LEAVING and self.has_successor())

    def mark_ready(self) -> None:
        self._can_serve = True
        if self.phase is Phase.STARTING:
            self._enter(Phase.SERVING)

    def evacuate(self, at: float | None = None) -> bool:
        """Directs clients away; `at` is the time of the order, now by default. Always succeeds."""
        self._record_order(True, at)
        if self.phase in (Phase.STARTING, Phase.SERVING):
            self._enter(Phase.EVACUATING)
        return True  # a process in LEAVING directs its clients away as well

    def rejoin(self, at: float | None = None) -> bool:
        """Ends an evacuation; returns False after SIGTERM, when it can no longer be ended."""
        self._record_order(False, at)
        if self.phase is Phase.EVACUATING:
            self._enter(Phase.SERVING if self._can_serve else Phase.STARTING)
        return self.phase is not Phase.LEAVING

    def _record_order(self, evacuation_ordered: bool, at: float | None) -> None:
        self.evacuation_ordered = evacuation_ordered
        self._follows_order = False
        self.ordered_at = time.monotonic() if at is None else at

    def follow(self, evacuation_ordered: bool, at: float) -> None:
        """Applies an order given to the other process, unless a later one was given to this process."""
        if at > self.ordered_at:
            (self.evacuate if evacuation_ordered else self.rejoin)(at)
            self._follows_order = True

    def leave(self) -> None:
        if self.phase is not Phase.LEAVING:
            self._enter(Phase.LEAVING)

    def _enter(self, phase: Phase) -> None:
        log.info("phase is %s, was %s", phase.value, self.phase.value)
        self.phase = phase
        for listener in self._listeners:
            listener(phase)

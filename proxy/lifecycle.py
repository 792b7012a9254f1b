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
        """Calls the listener with the phase in force at once, and after each change of the phase or new order."""
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
        if self.phase is Phase.LEAVING:
            return self.has_successor() and not self.evacuation_ordered
        return self.phase is Phase.SERVING

    def mark_ready(self) -> None:
        self._can_serve = True
        if self.phase is Phase.STARTING:
            self._enter(Phase.SERVING)

    def evacuate(self) -> bool:
        """Directs clients away. Always succeeds: a process in LEAVING does so as well, and its successor follows."""
        self._apply_order(True, time.monotonic(), is_followed=False)
        return True

    def rejoin(self) -> bool:
        """Ends an evacuation; returns False after SIGTERM, when it can no longer be ended."""
        if self.phase is Phase.LEAVING:
            return False
        self._apply_order(False, time.monotonic(), is_followed=False)
        return True

    def follow(self, evacuation_ordered: bool, at: float) -> None:
        """Applies an order given to the other process, unless a later one was given to this process."""
        if at > self.ordered_at:
            self._apply_order(evacuation_ordered, at, is_followed=True)

    def _apply_order(self, evacuation_ordered: bool, at: float, is_followed: bool) -> None:
        self.evacuation_ordered = evacuation_ordered
        self.ordered_at = at
        self._follows_order = is_followed
        if evacuation_ordered and self.phase in (Phase.STARTING, Phase.SERVING):
            self._enter(Phase.EVACUATING)
        elif not evacuation_ordered and self.phase is Phase.EVACUATING:
            self._enter(Phase.SERVING if self._can_serve else Phase.STARTING)
        else:
            self._notify()  # of the order, which the other process follows

    def leave(self) -> None:
        if self.phase is not Phase.LEAVING:
            self._enter(Phase.LEAVING)

    def _enter(self, phase: Phase) -> None:
        log.info("phase is %s, was %s", phase.value, self.phase.value)
        self.phase = phase
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener(self.phase)

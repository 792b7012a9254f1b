"""When the endpoint list may lack a change that counts as known, and whether discovery is working.

No I/O; times are milliseconds on the caller's clock. Missed changes count as known some time after a watch
was lost if discovery keeps working, which only its answers show. A call refused at once has reached a working
discovery with a full queue; one refused after the longest wait may also have met a discovery that is down.
"""

from __future__ import annotations

import math
from enum import Enum

from balancing.api import CHANGE_KNOWN_AFTER_MS, DISCOVERY_QUEUE_WAIT_MS
from balancing.congestion import QUEUE_TIMEOUT_MS

CLOSED_DUE_MS = DISCOVERY_QUEUE_WAIT_MS  # discovery may close a watch instead of reporting a change
# A discovery that answers no call for longer is taken as broken, not busy.
MAX_SEND_STOP_MS = 30_000.0
UNSURE_SEND_STOP_MS = 2.0 * DISCOVERY_QUEUE_WAIT_MS  # a list call refused after its wait, and the next one


class CallFailure(Enum):
    """How a list call without a result ended."""

    REFUSED = "refused"  # answered with a status other than 200
    UNREACHABLE = "unreachable"  # no connection
    UNANSWERED = "unanswered"  # reset or timed out without an answer


class DiscoveryState(Enum):
    """State of discovery, as observed since the list was last current."""

    NONE = "none"  # nothing observed, or unreachable
    UNSURE = "unsure"  # down, or its queue is too long
    WORKING = "at work"


class ListFreshness:
    """Tracks which changes the list in use may lack, and the observed state of discovery."""

    def __init__(self) -> None:
        self._due = math.inf  # when a change that the list may lack counts as known
        # The same after a broken watch or a process start; postponed by each call that may have found
        # discovery down.
        self._broken_due = math.inf
        self._state = DiscoveryState.NONE

    def mark_current(self) -> None:
        """Record that the list is current: one has arrived, or a timed-out watch delivers again."""
        self._due = self._broken_due = math.inf
        self._state = DiscoveryState.NONE

    def watch_broke(self, now: float) -> None:
        """Record a reset watch, as when discovery goes down, or a process start without a watch."""
        self._broken_due = min(self._broken_due, now + CHANGE_KNOWN_AFTER_MS)

    def watch_closed(self, now: float) -> None:
        """Record that a working discovery closed a watch regularly."""
        self._due = min(self._due, now + CLOSED_DUE_MS)
        self._state = DiscoveryState.WORKING

    def watch_timed_out(self, last_received: float) -> None:
        """Record that a watch timed out; its last message came at `last_received`."""
        self._due = min(self._due, last_received + CHANGE_KNOWN_AFTER_MS)

    def address_changed(self, now: float, due_ms: float) -> None:
        """Record a new address of discovery, whose changes count as known after `due_ms`."""
        self._due = min(self._due, now + due_ms)

    def call_failed(self, failure: CallFailure, asked_at: float, now: float) -> None:
        """Record that a list call sent at `asked_at` ended without a list."""
        is_at_once = failure is CallFailure.REFUSED and now - asked_at < QUEUE_TIMEOUT_MS
        is_unsure = failure is CallFailure.REFUSED and not is_at_once
        known_by = asked_at if is_unsure else now  # discovery may have been down since the call
        if self._state is DiscoveryState.WORKING and min(self._due, self._broken_due) <= known_by:
            return  # known changes stay known, even if discovery fails now
        if is_at_once:
            self._state = DiscoveryState.WORKING
            return
        self._state = DiscoveryState.UNSURE if is_unsure else DiscoveryState.NONE
        if self._broken_due < math.inf:
            self._broken_due = max(self._broken_due, asked_at + CHANGE_KNOWN_AFTER_MS)

    def outdated_in_ms(self, now: float) -> float:
        """Time until a change that the list may lack counts as known; negative if past, infinite if none is
        missed or nothing shows that discovery is reachable."""
        if self._state is DiscoveryState.NONE:
            return math.inf
        due = min(self._due, self._broken_due) if self._state is DiscoveryState.WORKING else self._due
        return due - now

    def max_send_stop_ms(self) -> float:
        """How long at most an outdated list stops new attempts."""
        return UNSURE_SEND_STOP_MS if self._state is DiscoveryState.UNSURE else MAX_SEND_STOP_MS

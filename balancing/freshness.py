"""From when on the endpoint list may lack a change that counts as known, and whether discovery is at work.

Pure: times are milliseconds on the caller's clock. What is missed counts as known some time after a watch was
lost, as long as discovery goes on; that it does shows only in what it answers. A call that is refused at once
has found a working discovery with a full queue; one refused after the longest wait may as well have found one
that is down.
"""

from __future__ import annotations

import math
from enum import Enum

from balancing.api import NEWS_DUE_MS, QUEUE_WAIT_MS
from balancing.congestion import VAIN_WAIT_MS, WIDE_PAUSE_MS

CLOSED_DUE_MS = QUEUE_WAIT_MS  # a watch may be closed in place of reporting a change
# A refusal at once shows discovery at work until the next call has ended: widest pause, its wait, some slack.
AT_WORK_MS = WIDE_PAUSE_MS + QUEUE_WAIT_MS + 500.0


class CallFailure(Enum):
    """How a call for the list ended that brought none."""

    REFUSED = "refused"  # by an answer other than 200
    UNREACHABLE = "unreachable"  # no connection came up
    UNANSWERED = "unanswered"  # it broke or was given up with no answer


class ListFreshness:
    """What is missed by the list in use, and what is seen of discovery."""

    def __init__(self) -> None:
        self._due = math.inf  # when a change that the list may lack counts as known
        # The same of a watch that broke, or of a start: put off by each call that may have found discovery
        # down.
        self._broken_due = math.inf
        self._looked_down = False  # such a call there has been since
        self._is_reached = False  # it has refused a call since a watch was lost
        self._at_work_until = -math.inf

    def current(self) -> None:
        """The list is whole: one has come, or a silent watch is heard again."""
        self._due = self._broken_due = math.inf
        self._is_reached = self._looked_down = False
        self._at_work_until = -math.inf

    def watch_broke(self, now: float) -> None:
        """A watch was reset, as where discovery goes down, or this is the start: there has been none.

        An outage may refuse at once as a full queue does. Only where calls failed in another way before does
        a refusal at once show that it is over.
        """
        self._broken_due = min(self._broken_due, now + NEWS_DUE_MS)

    def watch_closed(self, now: float) -> None:
        """A watch was ended by discovery in good order."""
        self._due = min(self._due, now + CLOSED_DUE_MS)

    def watch_fell_silent(self, last_heard: float) -> None:
        """A watch has said nothing since `last_heard`."""
        self._due = min(self._due, last_heard + NEWS_DUE_MS)

    def moved(self, now: float, due_ms: float) -> None:
        """Discovery is at another address; what it has to tell counts as known after `due_ms`."""
        self._due = min(self._due, now + due_ms)

    def call_failed(self, failure: CallFailure, asked_at: float, now: float) -> None:
        """A call made at `asked_at` has ended without a list."""
        is_at_once = failure is CallFailure.REFUSED and now - asked_at < VAIN_WAIT_MS
        if is_at_once:
            self._at_work_until = now + AT_WORK_MS
        elif self._broken_due < math.inf:
            self._broken_due = max(self._broken_due, asked_at + NEWS_DUE_MS)
            self._looked_down = True
        if failure is CallFailure.REFUSED:
            self._is_reached = True
        elif failure is CallFailure.UNREACHABLE:
            self._is_reached = False
            self._at_work_until = -math.inf

    def outdated_in_ms(self, now: float) -> float:
        """Until a change that the list may lack counts as known; negative where that is past, infinite where
        nothing is missed or nothing shows that discovery can be reached."""
        due = self._due if self._is_reached else math.inf
        if self._looked_down and self._at_work_until > now:
            due = min(due, self._broken_due)
        return due - now

    def at_work_ms(self, now: float) -> float:
        """For how long what is seen shows discovery at work; negative where it does not."""
        return self._at_work_until - now

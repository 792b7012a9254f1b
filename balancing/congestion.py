"""Detects that many balancers ask for the endpoint list faster than discovery can answer.

No I/O; times are milliseconds. Discovery also processes calls that have timed out, so a queue longer than
the longest wait answers no caller while calls arrive as fast as it works.
"""

from __future__ import annotations

from balancing.api import CHANGE_KNOWN_AFTER_MS, DISCOVERY_QUEUE_WAIT_MS

QUEUE_TIMEOUT_MS = 0.9 * DISCOVERY_QUEUE_WAIT_MS  # a call that fails later has waited in the queue
QUEUE_TIMEOUTS_BEFORE_WIDENING = 3  # in a row; fewer may also come from a short outage
# A call that times out as discovery returns, then this delay and an immediate answer fit
# CHANGE_KNOWN_AFTER_MS.
CONGESTED_RETRY_DELAY_MS = CHANGE_KNOWN_AFTER_MS - DISCOVERY_QUEUE_WAIT_MS


class ListCongestion:
    """The delay between list calls, widened after timeouts in discovery's queue.

    Guards against a queue that stays too long indefinitely. The cost: after an outage of a discovery that
    could answer all at once, the list comes up to one delay later. An immediate refusal resets it, since a
    queue that refuses at once answers in time the calls that it accepts.
    """

    def __init__(self) -> None:
        self._asked_at = 0.0
        self._is_waiting = False  # a call is pending
        self._queue_timeouts = 0  # in a row

    def asked(self, now: float) -> None:
        """Record that a list call is sent."""
        self._asked_at, self._is_waiting = now, True

    def answered(self) -> None:
        """Record that a list has arrived."""
        self._is_waiting, self._queue_timeouts = False, 0

    def failed(self, now: float) -> None:
        """Record a failed list call or a lost watch."""
        if self._is_waiting:
            has_timed_out = now - self._asked_at >= QUEUE_TIMEOUT_MS
            self._queue_timeouts = self._queue_timeouts + 1 if has_timed_out else 0
        self._is_waiting = False

    def max_retry_delay_ms(self) -> float:
        """Minimum for the longest random delay of the next call; 0 unless the queue seems congested."""
        return CONGESTED_RETRY_DELAY_MS if self._queue_timeouts >= QUEUE_TIMEOUTS_BEFORE_WIDENING else 0.0

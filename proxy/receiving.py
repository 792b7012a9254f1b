"""Progress of an answer that states no length: how fast it comes, and whether it still does.

Such an answer may turn out short (up to MAX_BUFFERED_BODY), so that its last byte is due within the client's time, or
long, so that its first bytes are. Until it is over that size only its progress tells which one is likely.
"""

from __future__ import annotations

import math

from proxy.clock import has_elapsed
from proxy.flow import BODY_STALL_TIMEOUT_S, MAX_BUFFERED_BODY, MIN_BODY_RATE

MAX_REST_S = 1.0  # a server that writes nothing for this long has stopped
# For an answer that has not grown since the client's time was over: it is lost 0.5 s after that, and the proxy may be
# held up for 0.15 s.
MAX_OVERTIME_S = 0.35
# Bytes per second; an answer that comes slower would be over MAX_BUFFERED_BODY only after BODY_STALL_TIMEOUT_S.
MIN_ANSWER_RATE = MAX_BUFFERED_BODY / BODY_STALL_TIMEOUT_S


class ReceiveProgress:
    """When and how fast an answer's body grew. All times are in seconds on the event loop's clock."""

    __slots__ = ("_began_at", "_counted", "_grown_at", "size")

    def __init__(self, now: float) -> None:
        """`now` is when the first bytes of the body came."""
        self.size = 0  # bytes
        self._began_at = self._grown_at = now
        self._counted = 0  # bytes that had come by `_grown_at`

    def add(self, size: int, now: float) -> None:
        """Counts received bytes. A trickle below MIN_ANSWER_RATE is no progress."""
        self.size += size
        if self.size - self._counted >= MIN_ANSWER_RATE * min(now - self._grown_at, MAX_REST_S):
            self._counted, self._grown_at = self.size, now

    def has_grown_within(self, duration_s: float, now: float) -> bool:
        return not has_elapsed(self._grown_at, duration_s, now)

    def is_fast(self, now: float) -> bool:
        """Whether all of it came at the pace of the slowest peers that the proxy reckons with."""
        return self.size >= MIN_BODY_RATE * (now - self._began_at)

    def still_comes(self, now: float) -> bool:
        """Whether the server goes on with an answer that is a long one or may become one."""
        return self.overtime_s(now, now) > 0.0

    def overtime_s(self, due_at: float, now: float) -> float:
        """For how many seconds from now the answer may go on if it does not grow; inf if it is a long one.

        `due_at` is when the client's time was over.
        """
        if self.size > MAX_BUFFERED_BODY:
            return math.inf
        if self.size < MIN_ANSWER_RATE * (now - self._began_at) or not self.has_grown_within(MAX_REST_S, now):
            return 0.0
        stops_at = self._grown_at + MAX_REST_S
        if self._grown_at <= due_at:
            stops_at = min(stops_at, due_at + MAX_OVERTIME_S)
        return max(stops_at - now, 0.0)

    def leave_out(self, pause_s: float) -> None:
        """Takes off a time in which the proxy did not read, since the client took nothing."""
        self._began_at += pause_s
        self._grown_at += pause_s

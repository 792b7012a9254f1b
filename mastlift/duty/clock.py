"""Computes how long a holder may act. Performs no I/O; times are milliseconds of the holder's own clock.

The keepers count a lease from the arrival of a renewal. The holder counts from before it sent the renewal, and
subtracts a margin for clocks of different rates (Gray and Cheriton, "Leases", 1989). A holder that checks this clock
before each action therefore stops before the keepers can give the duty to another, however late responses arrive and
however long the holder was paused.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

RATE_MARGIN = 0.02  # each clock runs within 1% of true time, so two of them within 2% of each other


class HoldState(StrEnum):
    HELD = "held"  # the holder may act
    UNSURE = "unsure"  # the holder must not act, but a renewal may still succeed
    LOST = "lost"  # another candidate holds the duty, or nobody


@dataclass(slots=True)
class HolderClock:
    """Tracks one lease of `ttl_ms`. It lasts until `expires_at`, the latest end that any renewal has given."""

    ttl_ms: float
    expires_at: float = -1.0
    lost: bool = False

    def renewed(self, sent: float) -> None:
        """Records a renewal that was sent at this time and has succeeded, whenever its response arrived."""
        self.expires_at = max(self.expires_at, sent + self.ttl_ms * (1.0 - RATE_MARGIN))

    def mark_lost(self) -> None:
        """Records a keeper's notice that the lease or the duty is lost. This is final."""
        self.lost = True

    def state(self, now: float) -> HoldState:
        if self.lost:
            return HoldState.LOST
        return HoldState.HELD if now < self.expires_at else HoldState.UNSURE

    def left_ms(self, now: float) -> float:
        """Milliseconds for which the holder may still act without another renewal."""
        return 0.0 if self.lost else max(0.0, self.expires_at - now)

    @property
    def valid_until(self) -> float:
        """The time until which the holder may act without another renewal; -inf once the duty is lost."""
        return -math.inf if self.lost else self.expires_at

    @property
    def renew_every_ms(self) -> float:
        return self.ttl_ms / 5.0

"""Comparisons of times on the event loop's clock."""

from __future__ import annotations

CLOCK_STEP_S = 0.001  # of the loop's clock; a sum or difference of two of its times is not exact


def has_elapsed(since: float, duration_s: float, now: float) -> bool:
    """Whether the duration has passed since then, whatever the rounding of times that are whole steps of the clock."""
    return now - since > duration_s - CLOCK_STEP_S / 2

"""Decides how a keeper answers calls for lists, and whether its state is current enough to answer.

Performs no I/O: its caller carries out the steps that it returns.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from mastlift.discovery.lists import Lists
from mastlift.store.history import Compacted


class Step(StrEnum):
    """What the caller of `next_step` has to do."""

    NOTHING = "nothing"
    END_WATCHES = "end watches"  # no contact with the leader for too long: the lists may be stale
    CATCH_UP = "catch up"  # a read barrier at the leader, then `record_catch_up`


class ResponseKind(StrEnum):
    """How to answer a call."""

    UNAVAILABLE = "not now"  # 503
    CATCH_UP = "catch up"  # the caller is ahead: do a read barrier, then call `answer` again; 503 if it fails
    CHANGES = "since"  # the changes after the caller's index
    WHOLE = "whole"


@dataclass(slots=True)
class Responder:
    """Tracks how current the lists are and chooses responses.

    The lists are served only while they were confirmed to be current within the last `cut_off_ms`. Times are
    milliseconds of a monotonic clock.
    """

    cut_off_ms: float
    lists: Lists = field(default_factory=Lists)
    fresh_as_of: float = float("-inf")  # start of the last read barrier that succeeded
    ready: bool = False

    def next_step(self, now: float) -> Step:
        """To be called periodically and before each `answer`."""
        age = now - self.fresh_as_of
        if self.ready and age > self.cut_off_ms:
            self.ready = False
            return Step.END_WATCHES
        return Step.CATCH_UP if not self.ready or age > self.cut_off_ms / 3.0 else Step.NOTHING

    def record_catch_up(self, began: float) -> None:
        """Records that a read barrier begun at that time succeeded and that the lists contain all changes up to it."""
        self.fresh_as_of = max(self.fresh_as_of, began)
        self.ready = self.lists.base > 0

    def answer(self, tier: str, index: int | None, same_life: bool, read: bool = False) -> ResponseKind:
        """Chooses the response to a call.

        `index` is the caller's published revision, or None if it has no list. `same_life` is False if the caller's
        revision belongs to another history. `read` is True if a read barrier has succeeded since the call arrived.
        """
        if not self.ready:
            return ResponseKind.UNAVAILABLE
        if index is None or not same_life:
            return ResponseKind.WHOLE
        if index > self.lists.published_revision and not read:
            return ResponseKind.CATCH_UP
        return ResponseKind.CHANGES if self.has_changes_after(tier, index) else ResponseKind.WHOLE

    def has_changes_after(self, tier: str, index: int) -> bool:
        """Whether all changes after `index` are still known."""
        try:
            self.lists.after(tier, index)
        except (Compacted, KeyError):
            return False
        return True

    def changes_or_whole(self, tier: str, index: int) -> bytes:
        """The line for a watch that is at `index`: the changes, an empty line, or the whole list."""
        return (
            (self.lists.after(tier, index) or b"\n") if self.has_changes_after(tier, index) else self.lists.whole(tier)
        )

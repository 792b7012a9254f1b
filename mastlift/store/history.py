"""The most recent changes, bounded in number and bytes, so that a watch can continue after a known revision."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator

from mastlift.store.commands import Entry

Change = tuple[str, Entry]  # key and new entry; version 0 marks a deletion


def _revision(change: Change) -> int:
    return change[1].changed


class Compacted(Exception):
    """The requested changes have been discarded. All changes after revision `oldest` are still available."""

    def __init__(self, oldest: int) -> None:
        super().__init__(f"changes are known after revision {oldest} only")
        self.oldest = oldest


class History:
    def __init__(self, max_changes: int = 50_000, max_bytes: int = 32 << 20) -> None:
        """Keep the last `max_changes` changes, or fewer if their keys and values exceed `max_bytes`. Up to an eighth
        more may be held before the oldest are discarded."""
        self.max_changes, self.max_bytes = max_changes, max_bytes
        self.oldest = 0  # all changes after this revision are available
        self.changes: list[Change] = []
        self.bytes = 0
        self._trim_at, self._trim_at_bytes = max_changes + max_changes // 8 + 1, max_bytes + max_bytes // 8

    def __len__(self) -> int:
        return len(self.changes)

    def add(self, key: str, entry: Entry) -> None:
        self.extend([(key, entry)])

    def extend(self, changes: list[Change]) -> None:
        """Append changes, which must be in the order of their revisions."""
        self.changes += changes
        for key, entry in changes:
            self.bytes += len(key) + len(entry.value)
        if self.bytes > self._trim_at_bytes or len(self.changes) >= self._trim_at:
            self._trim()

    def _trim(self) -> None:
        """Discard the oldest changes in one pass, never part of a revision. Discarding them one at a time took a third
        of the time of a replay."""
        changes, size, drop_count = self.changes, self.bytes, 0
        minimum = len(changes) - self.max_changes
        for key, entry in changes:
            if drop_count >= minimum and size <= self.max_bytes and entry.changed != self.oldest:
                break
            self.oldest, drop_count, size = entry.changed, drop_count + 1, size - len(key) - len(entry.value)
        del changes[:drop_count]
        self.bytes = size

    def after(self, revision: int) -> Iterator[Change]:
        """Return the changes after `revision`, oldest first, with all changes of a revision. Raises Compacted."""
        if revision < self.oldest:
            raise Compacted(self.oldest)
        return iter(self.changes[bisect_right(self.changes, revision, key=_revision) :])

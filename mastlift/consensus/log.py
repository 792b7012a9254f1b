"""The in-memory log: the entries after the last snapshot. Indexes start at 1; 0 is the position before the first."""

from __future__ import annotations

from mastlift.consensus.messages import Entry, Members


class Log:
    """Log entries after a snapshot, with the index of the last membership change."""

    def __init__(
        self, base: int = 0, base_term: int = 0, base_members: Members | None = None, entries: list[Entry] | None = None
    ) -> None:
        """`base` is the last index covered by the snapshot; `base_term` and `base_members` are as of that index."""
        self.base, self.base_term, self.base_members = base, base_term, base_members or Members(())
        self.entries = entries or []
        self._changes = [base + 1 + i for i, entry in enumerate(self.entries) if entry.members is not None]

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None if it is compacted or beyond the end."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1].term
        return None

    def slice(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return up to `max_entries` entries from `first` on, at least one if there is any, and stop once their data
        reaches `max_bytes`."""
        taken, size = [], 0
        for entry in self.entries[first - self.base - 1 : first - self.base - 1 + max_entries]:
            taken.append(entry)
            size += len(entry.data)
            if size >= max_bytes:
                break
        return tuple(taken)

    def put(self, first: int, entries: tuple[Entry, ...] | list[Entry]) -> None:
        """Put entries at `first` and after; existing entries from `first` on are removed."""
        del self.entries[first - self.base - 1 :]
        self._changes = [index for index in self._changes if index < first]
        self._changes += [first + i for i, entry in enumerate(entries) if entry.members is not None]
        self.entries += entries

    @property
    def last_change(self) -> int:
        """Index of the last membership change; 0 if there is none after the snapshot."""
        return self._changes[-1] if self._changes else 0

    def members(self) -> Members:
        """Return the membership of the latest change in the log, committed or not."""
        if not self._changes:
            return self.base_members
        members = self.entries[self._changes[-1] - self.base - 1].members
        assert members is not None
        return members

    def members_at(self, index: int) -> Members:
        """Return the membership in effect at `index`."""
        for change in reversed(self._changes):
            if change <= index:
                members = self.entries[change - self.base - 1].members
                assert members is not None
                return members
        return self.base_members

    def first_of_term(self, index: int) -> int:
        """Return the first known index with the same term as the entry at `index`."""
        term = self.term(index)
        while index - 1 > self.base and self.term(index - 1) == term:
            index -= 1
        return index

    def last_of_term(self, term: int, at_most: int) -> int | None:
        """Return the last index not above `at_most` with this term; None if there is none."""
        for index in range(min(at_most, self.last), self.base - 1, -1):
            found = self.term(index)
            if found == term:
                return index
            if found is not None and found < term:
                return None
        return None

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which a snapshot covers."""
        if index <= self.base:
            return
        members, term = self.members_at(index), self.term(index)
        assert term is not None
        del self.entries[: index - self.base]
        self.base, self.base_term, self.base_members = index, term, members
        self._changes = [change for change in self._changes if change > index]

    def restart_from(self, index: int, term: int, members: Members) -> None:
        """Replace the whole log with a received snapshot up to `index`."""
        self.base, self.base_term, self.base_members = index, term, members
        self.entries, self._changes = [], []

"""Server lists, one per tier, and their encoding as lines of JSON: the whole list, or the changes after a revision.

Performs no I/O. A server is the key `list/TIER/ID` under the server's lease. If an operator has set the key
`drain/TIER/ID`, the server is listed as terminating even if it reports itself in service.

The published revision is the store's revision plus `base`, the Unix time in milliseconds at which this history began.
So the revisions published after a backup was restored, or by a new group, are higher than all published before.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from mastlift.store.commands import Entry
from mastlift.store.history import Change, Compacted
from mastlift.store.machine import LIST_BASE_KEY

LIST, DRAIN = "list/", "drain/"
MAX_CHANGES = 20_000  # kept per tier; a caller with an older revision gets the whole list


class Phase(StrEnum):
    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class ServerRecord(msgspec.Struct, frozen=True):
    """The value of the key `list/TIER/ID`.

    `up_since_ms` is the Unix time in milliseconds at which the server started. `size` is its relative weight.
    """

    host_port: str
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: int = 0
    phase: Phase = Phase.IN_SERVICE


class Member(msgspec.Struct, frozen=True):
    """One server as published to proxies."""

    id: str
    host_port: str
    locality: str
    flavor: str
    cell: int
    phase: Phase
    size: float
    up_since_ms: int


class ListUpdate(msgspec.Struct, frozen=True):
    """One line of a response. If `complete`, `members` is the whole list, otherwise only the changed servers."""

    revision: int
    complete: bool
    members: list[Member]


ENCODE = msgspec.json.Encoder().encode
_DECODE_RECORD = msgspec.json.Decoder(ServerRecord).decode


def list_key(tier: str, id_: str) -> str:
    return f"{LIST}{tier}/{id_}"


def drain_key(tier: str, id_: str) -> str:
    return f"{DRAIN}{tier}/{id_}"


def tier_and_id(key: str) -> tuple[str, str] | None:
    """The tier and id of a key `list/TIER/ID` or `drain/TIER/ID`, or None for other keys."""
    kind, _, rest = key.partition("/")
    tier, _, id_ = rest.partition("/")
    return (tier, id_) if kind in ("list", "drain") and tier and id_ else None


def member_of(id_: str, value: bytes, drained: bool) -> Member:
    """Decodes a server's record. `drained` shows a server in service as terminating. Raises msgspec.DecodeError."""
    record = _DECODE_RECORD(value)
    phase = Phase.TERMINATING if drained and record.phase is Phase.IN_SERVICE else record.phase
    return Member(
        id_, record.host_port, record.locality, record.flavor, record.cell, phase, record.size, record.up_since_ms
    )


@dataclass(slots=True)
class TierList:
    """The list of one tier and its recent changes.

    `changed` contains a (revision, id) pair for each change after revision `oldest`, oldest first. `removed` contains
    the servers among them that are no longer listed. Revisions are the store's.
    """

    oldest: int
    members: dict[str, Member] = field(default_factory=dict)
    removed: dict[str, Member] = field(default_factory=dict)
    changed: list[tuple[int, str]] = field(default_factory=list)
    _whole: tuple[int, bytes] = (-1, b"")

    def record_change(self, revision: int, id_: str) -> None:
        self.changed.append((revision, id_))
        if len(self.changed) > MAX_CHANGES + MAX_CHANGES // 8:
            drop = len(self.changed) - MAX_CHANGES
            self.oldest = self.changed[drop - 1][0]
            while drop < len(self.changed) and self.changed[drop][0] == self.oldest:
                drop += 1  # all changes of one revision are dropped together
            del self.changed[:drop]
            known = {id_ for _, id_ in self.changed}
            self.removed = {id_: member for id_, member in self.removed.items() if id_ in known}


class Lists:
    """The lists of all tiers at `revision` of the store.

    `base` is 0 until the history has a base revision; until then nothing may be published.
    """

    def __init__(self) -> None:
        self.revision = self.base = 0
        self.tiers: dict[str, TierList] = {}
        self.unreadable: set[str] = set()  # keys whose value is not a valid ServerRecord
        self._oldest = 0

    # --- applying changes ---

    def load(
        self,
        revision: int,
        keys: Callable[[str], Iterator[str]],
        entries: dict[str, Entry],
        recent: Iterable[Change] = (),
        oldest: int | None = None,
    ) -> None:
        """Replaces everything with the store's state at `revision`. `recent` contains the changes after `oldest`."""
        self.revision, self._oldest = revision, revision if oldest is None else oldest
        self.tiers, self.unreadable = {}, set()
        self._load_base(entries.get(LIST_BASE_KEY))
        for key in keys(LIST):
            self._update_member(key, entries)
        for key, entry in recent:
            if (found := tier_and_id(key)) is not None:
                tier, id_ = found
                tier_list = self._tier(tier)
                tier_list.record_change(entry.changed, id_)
                if id_ not in tier_list.members:  # only its removal is known, not its last record
                    tier_list.removed[id_] = Member(id_, "", "", "", 0, Phase.TERMINATED, 1.0, 0)

    def apply(self, changes: Iterable[Change], entries: dict[str, Entry], revision: int) -> dict[str, bytes]:
        """Applies the changes up to `revision`, at which `entries` is the store's state.

        Returns the line to publish for each tier whose list changed.
        """
        before: dict[tuple[str, str], Member | None] = {}
        for key, entry in changes:
            if key == LIST_BASE_KEY:
                self._load_base(entries.get(key))
            elif (found := tier_and_id(key)) is not None:
                tier_list = self._tier(found[0])
                before.setdefault(found, tier_list.members.get(found[1]))
                self._update_member(list_key(*found), entries)
                # Every change is recorded, as a caller's revision may lie between two of them.
                tier_list.record_change(entry.changed, found[1])
        self.revision = revision
        touched: dict[str, list[str]] = {}
        for (tier, id_), previous in before.items():
            if self._tier(tier).members.get(id_) != previous:
                touched.setdefault(tier, []).append(id_)
        return {tier: self._line(tier, changed_ids) for tier, changed_ids in touched.items()}

    def _load_base(self, entry: Entry | None) -> None:
        self.base = int(entry.value) if entry else 0

    def _tier(self, tier: str) -> TierList:
        return self.tiers.setdefault(tier, TierList(self._oldest))

    def _update_member(self, key: str, entries: dict[str, Entry]) -> None:
        found = tier_and_id(key)
        assert found is not None
        tier, id_ = found
        tier_list, entry = self._tier(tier), entries.get(key)
        self.unreadable.discard(key)
        if entry is not None:
            try:
                tier_list.members[id_] = member_of(id_, entry.value, drain_key(tier, id_) in entries)
                tier_list.removed.pop(id_, None)
                return
            except msgspec.DecodeError:
                self.unreadable.add(key)
        removed_member = tier_list.members.pop(id_, None)
        if removed_member is not None:
            tier_list.removed[id_] = msgspec.structs.replace(removed_member, phase=Phase.TERMINATED)

    # --- encoding ---

    @property
    def published_revision(self) -> int:
        """The revision that proxies see: the store's revision plus `base`."""
        return self.base + self.revision

    def _line(self, tier: str, changed_ids: list[str]) -> bytes:
        tier_list = self._tier(tier)
        members = [
            tier_list.members.get(id_) or tier_list.removed[id_]
            for id_ in changed_ids
            if id_ in tier_list.members or id_ in tier_list.removed
        ]
        return ENCODE(ListUpdate(self.published_revision, False, members)) + b"\n"

    def whole(self, tier: str) -> bytes:
        """The line with the whole list, encoded once per revision."""
        tier_list = self._tier(tier)
        revision, line = tier_list._whole
        if revision != self.published_revision:
            line = ENCODE(ListUpdate(self.published_revision, True, list(tier_list.members.values()))) + b"\n"
            tier_list._whole = self.published_revision, line
        return line

    def after(self, tier: str, index: int) -> bytes:
        """The line with the changes after the published revision `index`, or b"" if there are none.

        Raises Compacted if `index` is too old or from an earlier history, and KeyError if it is ahead of this list.
        """
        if index > self.published_revision:
            raise KeyError(index)
        tier_list = self._tier(tier)
        if index < self.base + tier_list.oldest:
            raise Compacted(self.base + tier_list.oldest)
        later_changes = tier_list.changed[
            bisect_right(tier_list.changed, index - self.base, key=lambda change: change[0]) :
        ]
        return self._line(tier, list(dict.fromkeys(id_ for _, id_ in later_changes))) if later_changes else b""

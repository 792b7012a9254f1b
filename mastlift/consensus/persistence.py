"""The persistent state of a member: its id, term and vote, the log, and the store as of the last snapshot.

The journal numbers *records* and never removes one; entries of a later leader that replace earlier ones are a new
record. A snapshot holds the whole state as of one record, including the vote and the entries not yet applied.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from mastlift.consensus.log import Log
from mastlift.consensus.messages import Entry, Members
from mastlift.durable.archive import read_live
from mastlift.durable.disk import Disk
from mastlift.store.machine import Store


class _Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    pass


class IdentityRecord(_Row, frozen=True, tag=1):
    """The first record of a data folder: the member's id and group. `members` is the initial membership of a new group,
    and empty for a member that joins an existing one."""

    id: str
    group: str
    members: Members


class VoteRecord(_Row, frozen=True, tag=2):
    """The current term and the member voted for in it."""

    term: int
    vote: str


class EntriesRecord(_Row, frozen=True, tag=3):
    """Log entries from index `first` on, which replace any entries at these and higher indexes."""

    first: int
    entries: tuple[Entry, ...]


Record = IdentityRecord | VoteRecord | EntriesRecord


class _Head(_Row, frozen=True):
    """A snapshot's first block. `base*` describe the last applied entry, `tail` holds the log entries after it."""

    id: str
    group: str
    term: int
    vote: str
    base: int
    base_term: int
    base_members: Members
    tail: tuple[Entry, ...]


ENCODE = msgspec.msgpack.Encoder().encode
_RECORDS = msgspec.msgpack.Decoder(list[Record]).decode
_HEAD = msgspec.msgpack.Decoder(_Head).decode
HEAD, STATE = b"h", b"s"  # the first byte of a snapshot block: _Head, or a block of the store


class PersistentState:
    """Implements the journal's `StateMachine`; the Raft core is constructed from it after recovery."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.id = self.group = self.vote = ""
        self.term = 0
        self.log = Log()

    def load(self, block: bytes) -> None:
        if block[:1] == STATE:
            self.store.load(block[1:])
            return
        head = _HEAD(block[1:])
        self.id, self.group, self.term, self.vote = head.id, head.group, head.term, head.vote
        self.log = Log(head.base, head.base_term, head.base_members, list(head.tail))

    def reset(self) -> None:
        self.store.reset()
        self.__init__(self.store)  # type: ignore[misc]

    def replay(self, first: int, count: int, body: bytes) -> None:
        for record in _RECORDS(body):
            match record:
                case IdentityRecord():
                    self.id, self.group = record.id, record.group
                    self.log = Log(0, 0, record.members)
                case VoteRecord():
                    self.term, self.vote = record.term, record.vote
                case EntriesRecord():
                    if record.first > self.log.last + 1:
                        raise msgspec.DecodeError(f"entries from {record.first} on, where {self.log.last} is the last")
                    skipped = max(0, self.log.base + 1 - record.first)
                    if record.entries[skipped:]:
                        self.log.put(record.first + skipped, record.entries[skipped:])


def dump(id_: str, group: str, term: int, vote: str, log: Log, store: Store) -> Iterator[bytes]:
    """Return the blocks of a snapshot at the store's index, including the log entries after it.

    The state is copied immediately; blocks are encoded one by one as they are consumed.
    """
    applied = store.index
    at = log.term(applied)
    assert at is not None
    head = _Head(id_, group, term, vote, applied, at, log.members_at(applied), tuple(log.entries[applied - log.base :]))
    blocks = store.dump()

    def encoded() -> Iterator[bytes]:
        yield HEAD + ENCODE(head)
        for block in blocks:
            yield STATE + block if block else b""

    return encoded()


def new_group_snapshot(blocks: Iterator[bytes], id_: str, group: str, index: int) -> Iterator[bytes]:
    """Return the blocks of a snapshot for a new group with this member as the only voter; others join it later."""
    yield HEAD + ENCODE(_Head(id_, group, 1, "", index, 1, Members((id_,)), ()))
    for block in blocks:
        yield STATE + block


class _GroupProbe(PersistentState):
    """Detects whether a folder holds the records of a group's member; ignores all records after the first."""

    def __init__(self) -> None:
        super().__init__(Store())
        self.found: bool | None = None

    def load(self, block: bytes) -> None:
        self.found = block[:1] == HEAD if self.found is None else self.found

    def reset(self) -> None:
        self.found = None

    def replay(self, first: int, count: int, body: bytes) -> None:
        if self.found is None:
            try:
                self.found = isinstance(_RECORDS(body)[0], IdentityRecord)
            except msgspec.DecodeError:
                self.found = False


def is_group_folder(disk: Disk) -> bool:
    """Whether the data folder belongs to a member of a group. Raises Damaged, NewerFormat."""
    probe = _GroupProbe()
    read_live(disk, probe)
    return bool(probe.found)

"""Messages between members. Each carries the sender's term.

Member ids are `NAME.LIFE@HOST:PORT`. A member whose disk was emptied gets a new LIFE and so counts as a new member: it
must not vote without the votes and entries that it has lost.
"""

from __future__ import annotations

import msgspec


class _Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    pass


class Members(_Row, frozen=True):
    """The membership of a group. Learners receive the log but do not vote or count towards a majority."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners


class Entry(_Row, frozen=True):
    """A log entry. An entry with `members` is a membership change, in effect on a member once it is in its log."""

    term: int
    data: bytes = b""
    members: Members | None = None


class Vote(_Row, frozen=True, tag=1):
    """RequestVote, or with `pre` a pre-vote. `last_index` and `last_term` describe the candidate's last log entry."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    handed_over: bool = False  # requested by the leader: voters skip the leader stickiness check


class VoteReply(_Row, frozen=True, tag=2):
    term: int
    granted: bool
    pre: bool = False


class Append(_Row, frozen=True, tag=3):
    """Entries after index `previous`; empty for a heartbeat. The reply returns `round`, which confirms reads."""

    term: int
    previous: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendReply(_Row, frozen=True, tag=4):
    """`match` is the index up to which the logs are known to be equal and durable.

    If they differ, `conflict` is the first index of the conflicting entry's term, which is `conflict_term`. If the log
    is too short, `conflict` is the index after its end and `conflict_term` is 0.
    """

    term: int
    ok: bool
    match: int
    round: int
    conflict: int = 0
    conflict_term: int = 0


class SnapshotChunk(_Row, frozen=True, tag=5):
    """A chunk of a snapshot that covers the log up to `index`; `offset` is in bytes."""

    term: int
    index: int
    index_term: int
    members: Members
    offset: int
    data: bytes
    last: bool
    round: int


class SnapshotChunkReply(_Row, frozen=True, tag=6):
    """Requests the chunk at `offset` of the snapshot at `index`."""

    term: int
    index: int
    offset: int
    round: int


class TimeoutNow(_Row, frozen=True, tag=7):
    """Leadership transfer: the receiver starts an election immediately."""

    term: int


Message = Vote | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotChunkReply | TimeoutNow

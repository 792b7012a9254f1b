"""The Raft state machine, without I/O: it takes events and the current time and returns actions for the driver.

After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's dissertation
(2014): pre-vote and leader stickiness (9.6, 4.2.3), one change of members at a time (4.1) and only after an entry of
the current term is committed, learners (4.2.1), leadership transfer (3.10), reads without a log write (6.4), chunked
snapshots (7).

The driver must execute the actions in order. `Save` and `Write` go to the disk. A `Send` with `after_sync` may be sent
only when every `Save` and `Write` before it is durable; the driver reports durability with `synced`. A `Send` without
`after_sync` is sent immediately, in parallel with disk writes. Times are in milliseconds of a monotonic clock.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from mastlift.consensus.log import Log
from mastlift.consensus.messages import (
    Append,
    AppendReply,
    Entry,
    Members,
    Message,
    SnapshotChunk,
    SnapshotChunkReply,
    TimeoutNow,
    Vote,
    VoteReply,
)


class Role(StrEnum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Protocol timing in milliseconds. The election timeout is drawn uniformly from `election` to twice `election`."""

    heartbeat: float = 50.0
    election: float = 300.0
    batch: int = 512  # maximum number of entries per message
    batch_bytes: int = 1 << 20  # approximate maximum of entry data per message
    in_flight: int = 8  # maximum number of unanswered messages per member
    hand_over: float = 1000.0  # a leadership transfer is abandoned after this; the leader then accepts commands again


# --- actions ---


@dataclass(frozen=True, slots=True)
class Save:
    """Persist the current term and the member voted for in it (empty: none)."""

    term: int
    vote: str


@dataclass(frozen=True, slots=True)
class Write:
    """Persist entries from index `first` on, replacing any entries at these and higher indexes."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; with `after_sync` only after all earlier `Save` and `Write` actions are durable."""

    to: str
    message: Message
    after_sync: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """All entries up to `index` are committed; apply those that are not applied yet."""

    index: int


@dataclass(frozen=True, slots=True)
class SendSnapshotChunk:
    """Read the newest snapshot from byte `offset` on and pass the data to `snapshot_chunk_read`."""

    to: str
    index: int
    offset: int


@dataclass(frozen=True, slots=True)
class StoreSnapshotChunk:
    """Store a received snapshot chunk. Chunks come in order from offset 0. After the `last` one, make the snapshot
    durable, replace state and log with it, and call `restored`."""

    index: int
    term: int
    members: Members
    offset: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The read with `token` may be answered as soon as `index` is applied."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The read with `token` cannot be confirmed because this member is no longer the leader."""

    token: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role or the known leader changed. `leader` is empty if no leader is known."""

    role: Role
    term: int
    leader: str


Action = Save | Write | Send | Commit | SendSnapshotChunk | StoreSnapshotChunk | ReadReady | ReadFailed | RoleChanged


class NotLeader(Exception):
    """The operation requires the leader. `leader` is the leader's id, or empty if none is known."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"the leader is {leader}" if leader else "there is no leader now")
        self.leader = leader


class NotNow(Exception):
    """The operation is not allowed in the current state; the text names the precondition that does not hold."""


@dataclass(slots=True)
class Progress:
    """The leader's replication state for one member.

    `match` is the highest index known to be replicated and `next` the next index to send. While `probing`, one message
    is sent at a time until the logs' common prefix is found; otherwise `next` advances before replies arrive.
    `round` is the highest read round that the member has acknowledged.
    """

    next: int
    match: int = 0
    probing: bool = True
    in_flight: int = 0
    last_reply_at: float = 0.0
    last_sent_at: float = -1e18
    round: int = 0
    snapshot: int = 0  # index of the snapshot being transferred; 0: none
    offset: int = 0  # next byte of that snapshot to send


@dataclass(slots=True)
class Core:
    """The Raft state of one member.

    `synced_to` is the highest log index that is durable on this member's own disk. A leader uses it as its own match
    index when it determines the commit index.
    """

    id: str
    log: Log
    rng: random.Random
    timing: Timing = field(default_factory=Timing)
    term: int = 0
    vote: str = ""
    now: float = 0.0
    commit: int = 0
    applied_snapshot: int = 0
    role: Role = Role.FOLLOWER
    leader: str = ""
    synced_to: int = 0
    peers: dict[str, Progress] = field(default_factory=dict)
    _actions: list[Action] = field(default_factory=list)
    _timer_at: float = 0.0  # next election, or the leader's next check that a majority is reachable
    _last_leader_contact: float = -1e18
    _votes: set[str] = field(default_factory=set)
    _round: int = 0
    # (round, token, commit index) of reads that wait for a majority
    _reads: deque[tuple[int, int, int]] = field(default_factory=deque)
    # tokens of reads requested before an entry of this term is committed
    _pending_reads: list[int] = field(default_factory=list)
    _successor: str = ""
    _successor_until: float = 0.0
    _incoming_snapshot: tuple[int, str, int] = (0, "", 0)  # snapshot being received: index, sender, next offset

    def __post_init__(self) -> None:
        self.commit = max(self.commit, self.log.base)
        self.synced_to = self.log.last
        self._restart_timer()

    # --- methods called by the driver ---

    def tick(self, now: float) -> list[Action]:
        """Process timeouts. To be called about four times per heartbeat interval."""
        self.now = max(self.now, now)
        if self.role is Role.LEADER:
            self._leader_tick()
        elif self.now >= self._timer_at and self.id in self.members.voters:
            self._start_election(pre=True)
        return self._take_actions()

    def receive(self, source: str, message: Message, now: float) -> list[Action]:
        """Process a message from the member `source`. Stale, duplicate and lost messages are tolerated."""
        self.now = max(self.now, now)
        if self._check_term(source, message):
            handlers: dict[type, Callable[[str, object], None]] = {
                Vote: self._on_vote,  # type: ignore[dict-item]
                VoteReply: self._on_vote_reply,  # type: ignore[dict-item]
                Append: self._on_append,  # type: ignore[dict-item]
                AppendReply: self._on_append_reply,  # type: ignore[dict-item]
                SnapshotChunk: self._on_snapshot_chunk,  # type: ignore[dict-item]
                SnapshotChunkReply: self._on_snapshot_chunk_reply,  # type: ignore[dict-item]
                TimeoutNow: self._on_timeout_now,  # type: ignore[dict-item]
            }
            handlers[type(message)](source, message)
        return self._take_actions()

    def propose(self, data: list[bytes], now: float) -> tuple[int, list[Action]]:
        """Append commands to the log and return the index of the first one. They are committed when a Commit covers
        them and the entries at their indexes still have the current term.

        Raises NotLeader, and NotNow during a leadership transfer.
        """
        self.now = max(self.now, now)
        self._require_leader()
        first = self._append([Entry(self.term, one) for one in data])
        return first, self._take_actions()

    def change(self, members: Members, now: float) -> tuple[int, list[Action]]:
        """Add or remove one voter, or any number of learners. Raises NotLeader, NotNow."""
        self.now = max(self.now, now)
        self._require_leader()
        current = self.members
        if self.log.last_change > self.commit:
            raise NotNow("a change of members is on its way")
        if self.log.term(self.commit) != self.term:
            raise NotNow("nothing of this term is committed yet")
        if len(set(current.voters) ^ set(members.voters)) > 1:
            raise NotNow("voters change one at a time")
        if not members.voters:
            raise NotNow("a group has a voter")
        for added in set(members.voters) - set(current.voters):
            progress = self.peers.get(added)
            if progress is None or progress.match < self.commit:
                raise NotNow(f"{added} has not caught up: add it as a learner first")
        first = self._append([Entry(self.term, b"", members)])
        return first, self._take_actions()

    def synced(self, index: int, term: int) -> list[Action]:
        """All earlier `Save` and `Write` actions are durable; the last log entry among them is `index` of `term`."""
        if self.log.term(index) == term:  # otherwise the entry was replaced meanwhile and a later sync covers it
            self.synced_to = max(self.synced_to, index)
        if self.role is Role.LEADER:
            self._advance()
        return self._take_actions()

    def read(self, token: int, now: float) -> list[Action]:
        """Request a linearizable read; ReadReady or ReadFailed with this token follows. Raises NotLeader."""
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.log.term(self.commit) != self.term:
            self._pending_reads.append(token)
        else:
            self._begin_read(token)
        return self._take_actions()

    def hand_over(self, to: str, now: float) -> list[Action]:
        """Transfer leadership to the voter `to` as soon as it has the whole log. Commands are rejected until the
        transfer completes or `Timing.hand_over` has elapsed. Raises NotLeader, NotNow."""
        self.now = max(self.now, now)
        self._require_leader()
        if to not in self.members.voters or to == self.id:
            raise NotNow(f"{to} is no other voter")
        self._successor, self._successor_until = to, self.now + self.timing.hand_over
        self._complete_hand_over()
        return self._take_actions()

    def compacted(self, index: int) -> None:
        """Discard the log up to the committed `index`, which a durable snapshot of the driver covers."""
        self.log.compact(min(index, self.commit))

    def snapshot_chunk_read(self, to: str, index: int, offset: int, data: bytes, last: bool) -> list[Action]:
        """Send the data that `SendSnapshotChunk` requested. Data of a snapshot that is no longer the newest is dropped,
        and the transfer is requested again."""
        progress = self.peers.get(to)
        if self.role is Role.LEADER and progress is not None and progress.snapshot == index == self.log.base:
            self._send(
                to,
                SnapshotChunk(
                    self.term, index, self.log.base_term, self.log.base_members, offset, data, last, self._round
                ),
            )
        return self._take_actions()

    def restored(self, index: int, term: int, members: Members) -> list[Action]:
        """The snapshot that the last `StoreSnapshotChunk` completed is durable and loaded."""
        if index > self.commit:
            if self.log.term(index) == term:
                self.log.compact(index)
            else:
                self.log.restart_from(index, term, members)
            self.commit = index
            self.synced_to = max(index, min(self.synced_to, self.log.last))
        if self.leader:
            self._send(self.leader, AppendReply(self.term, True, index, 0), after_sync=True)
        return self._take_actions()

    @property
    def members(self) -> Members:
        return self.log.members()

    @property
    def change_pending(self) -> bool:
        """Whether a membership change is not committed yet."""
        return self.log.last_change > self.commit

    # --- terms and elections ---

    def _take_actions(self) -> list[Action]:
        taken, self._actions = self._actions, []
        return taken

    def _send(self, to: str, message: Message, after_sync: bool = False) -> None:
        self._actions.append(Send(to, message, after_sync))

    def _restart_timer(self) -> None:
        self._timer_at = self.now + self.timing.election * self.rng.uniform(1.0, 2.0)

    def _save(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self._actions.append(Save(term, vote))

    def _become(self, role: Role, leader: str) -> None:
        changed = (role, leader) != (self.role, self.leader)
        if self.role is Role.LEADER and role is not Role.LEADER:
            for _, token, _ in self._reads:
                self._actions.append(ReadFailed(token))
            self._actions += [ReadFailed(token) for token in self._pending_reads]
            self._reads.clear()
            self._pending_reads.clear()
            self._successor = ""
            self.peers = {}
        self.role, self.leader = role, leader
        if changed:
            self._actions.append(RoleChanged(role, self.term, leader))

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self._save(term, "")
        self._become(Role.FOLLOWER, leader)
        self._restart_timer()

    def _has_live_leader(self) -> bool:
        """Whether this member has a leader with which it had contact within the minimum election timeout (leader
        stickiness: vote requests are then ignored)."""
        if self.role is Role.LEADER:
            return self._majority_reachable()
        return bool(self.leader) and self.now - self._last_leader_contact < self.timing.election

    def _check_term(self, source: str, message: Message) -> bool:
        """Compare the message's term with the current one; False if the message needs no further processing."""
        if message.term < self.term:
            if isinstance(message, Append | SnapshotChunk):  # a deposed leader learns the current term
                self._send(source, AppendReply(self.term, False, 0, 0))
            elif isinstance(message, Vote):
                self._send(source, VoteReply(self.term, False, message.pre))
            return False
        if isinstance(message, Vote) and not message.handed_over and self._has_live_leader():
            return False
        if message.term > self.term:
            if isinstance(message, Vote | VoteReply) and message.pre and (isinstance(message, Vote) or message.granted):
                return True  # a pre-vote names a term that no member has entered yet
            self._follow(message.term, source if isinstance(message, Append | SnapshotChunk) else "")
        return True

    def _start_election(self, pre: bool, handed_over: bool = False) -> None:
        self._restart_timer()
        self._votes = {self.id}
        if pre:
            self._become(Role.PRE_CANDIDATE, "")
        else:
            self._save(self.term + 1, self.id)
            self._become(Role.CANDIDATE, "")
        ask = Vote(self.term + pre, self.log.last, self.log.last_term, pre, handed_over)
        for peer in self.members.voters:
            if peer != self.id:
                self._send(peer, ask, after_sync=not pre)
        if self.members.voters == (self.id,):
            self._on_election_won(pre)

    def _on_election_won(self, pre: bool) -> None:
        if pre:
            self._start_election(pre=False)
        else:
            self._become_leader()

    def _on_vote(self, source: str, ask: Vote) -> None:
        current = (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last)
        if ask.pre:
            if source in self.members.voters or current:
                self._send(source, VoteReply(ask.term if current else self.term, current, True))
            return
        granted = current and self.vote in ("", source) and self.role is not Role.LEADER
        if granted:
            if self.vote != source:
                self._save(self.term, source)
            self._restart_timer()
        self._send(source, VoteReply(self.term, granted), after_sync=True)

    def _on_vote_reply(self, source: str, reply: VoteReply) -> None:
        wanted = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        if self.role is not wanted or reply.term != self.term + reply.pre or not reply.granted:
            return
        self._votes.add(source)
        if len(self._votes & set(self.members.voters)) >= self.members.majority:
            self._on_election_won(reply.pre)

    def _on_timeout_now(self, source: str, message: TimeoutNow) -> None:
        if self.id in self.members.voters and self.role is not Role.LEADER:
            self._start_election(pre=False, handed_over=True)

    # --- leader ---

    def _require_leader(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self._successor:
            raise NotNow(f"leadership is being handed over to {self._successor}")

    def _become_leader(self) -> None:
        self._become(Role.LEADER, self.id)
        self.peers = {}
        self._successor = ""
        self._timer_at = self.now + self.timing.election
        self._append([Entry(self.term)])  # entries of earlier terms are committed by one of this term (5.4.2)

    def _refresh_peers(self) -> None:
        wanted = set(self.members.all()) - {self.id}
        for removed in self.peers.keys() - wanted:
            del self.peers[removed]
        for new in sorted(wanted - self.peers.keys()):
            self.peers[new] = Progress(self.log.last + 1, last_reply_at=self.now)

    def _append(self, entries: list[Entry]) -> int:
        first = self.log.last + 1
        self.log.put(first, entries)
        self._actions.append(Write(first, tuple(entries)))
        self._refresh_peers()
        for peer in self.peers:
            self._replicate_to(peer)
        self._advance()
        return first

    def _majority_reachable(self) -> bool:
        voters = self.members.voters
        heard = sum(
            1
            for peer, progress in self.peers.items()
            if peer in voters and self.now - progress.last_reply_at < self.timing.election
        )
        return heard + (self.id in voters) >= self.members.majority

    def _leader_tick(self) -> None:
        if self.now >= self._timer_at:
            self._timer_at = self.now + self.timing.election / 4
            if not self._majority_reachable():  # a partitioned leader steps down
                self._become(Role.FOLLOWER, "")
                self._restart_timer()
                return
        if self._successor and self.now >= self._successor_until:
            self._successor = ""
        due = [
            peer for peer, progress in self.peers.items() if self.now - progress.last_sent_at >= self.timing.heartbeat
        ]
        if due:
            self._round += 1
        for peer in due:
            progress = self.peers[peer]
            if self.now - progress.last_reply_at >= self.timing.election:
                progress.probing = True  # replies may be lost: determine the match index again
            if progress.probing or progress.snapshot:
                progress.in_flight = 0
            self._replicate_to(peer, force=True)

    def _replicate_to(self, peer: str, force: bool = False) -> None:
        """Send a member missing entries within its in-flight limit; with `force` at least an empty heartbeat."""
        progress = self.peers[peer]
        if progress.next <= self.log.base:
            if force or not progress.snapshot:
                if progress.snapshot != self.log.base:
                    progress.snapshot, progress.offset = self.log.base, 0
                progress.last_sent_at = self.now
                self._actions.append(SendSnapshotChunk(peer, progress.snapshot, progress.offset))
            return
        progress.snapshot = 0
        sent = False
        while progress.in_flight < (1 if progress.probing else self.timing.in_flight):
            entries = self.log.slice(progress.next, self.timing.batch, self.timing.batch_bytes)
            if not entries:
                break
            self._send_append(peer, progress, entries)
            sent = True
            if progress.probing:
                break
            progress.next += len(entries)
        if force and not sent:
            self._send_append(peer, progress, ())

    def _send_append(self, peer: str, progress: Progress, entries: tuple[Entry, ...]) -> None:
        previous = progress.next - 1
        term = self.log.term(previous)
        assert term is not None
        progress.last_sent_at = self.now
        progress.in_flight += bool(entries)
        self._send(
            peer, Append(self.term, previous, term, entries, min(self.commit, previous + len(entries)), self._round)
        )

    def _on_append_reply(self, source: str, reply: AppendReply) -> None:
        progress = self.peers.get(source)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.last_reply_at = self.now
        progress.round = max(progress.round, reply.round)
        progress.in_flight = max(0, progress.in_flight - 1)
        if reply.ok:
            if reply.match >= progress.match:
                progress.match = reply.match
                progress.next = max(progress.next, reply.match + 1) if not progress.probing else reply.match + 1
                progress.probing = False
            self._advance()
            if source == self._successor:
                self._complete_hand_over()
        elif reply.conflict > progress.match or reply.conflict_term:
            found = self.log.last_of_term(reply.conflict_term, reply.conflict) if reply.conflict_term else None
            progress.next = max(progress.match + 1, (found + 1) if found is not None else reply.conflict)
            progress.probing, progress.in_flight = True, 0
        self._confirm_reads()
        if self.role is Role.LEADER and source in self.peers:
            self._replicate_to(source)

    def _on_snapshot_chunk_reply(self, source: str, reply: SnapshotChunkReply) -> None:
        progress = self.peers.get(source)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.last_reply_at, progress.round = self.now, max(progress.round, reply.round)
        self._confirm_reads()
        if progress.snapshot == reply.index and reply.offset != progress.offset:
            progress.offset, progress.last_sent_at = reply.offset, self.now
            self._actions.append(SendSnapshotChunk(source, progress.snapshot, progress.offset))

    def _advance(self) -> None:
        """Advance the commit index to the last entry of the current term that is durable on a majority (5.4.2)."""
        voters = self.members.voters
        held = sorted(
            (
                self.synced_to if voter == self.id else self.peers[voter].match if voter in self.peers else 0
                for voter in voters
            ),
            reverse=True,
        )
        index = held[self.members.majority - 1]
        if index > self.commit and self.log.term(index) == self.term:
            self.commit = index
            self._actions.append(Commit(index))
            early, self._pending_reads = self._pending_reads, []
            for token in early:
                self._begin_read(token)
            if self.id not in self.log.members_at(index).voters and self.log.last_change <= index:
                self._become(Role.FOLLOWER, "")  # the committed change removes this member
                self._restart_timer()
                return
            for peer in self.peers:
                if self.peers[peer].next > self.log.last and not self.peers[peer].in_flight:
                    self._replicate_to(peer, force=True)  # propagate the commit index before the next heartbeat

    def _complete_hand_over(self) -> None:
        progress = self.peers.get(self._successor)
        if progress is not None and progress.match == self.log.last:
            self._send(self._successor, TimeoutNow(self.term))

    # --- reads ---

    def _begin_read(self, token: int) -> None:
        self._round += 1
        self._reads.append((self._round, token, self.commit))
        if self.members.voters == (self.id,):
            self._confirm_reads()
            return
        for peer, progress in self.peers.items():
            if progress.next > self.log.base:
                self._send_append(peer, progress, ())

    def _confirm_reads(self) -> None:
        """Confirm reads for which a majority has answered a message that was sent after the read began."""
        voters = self.members.voters
        rounds = sorted(
            (
                self._round if voter == self.id else self.peers[voter].round if voter in self.peers else -1
                for voter in voters
            ),
            reverse=True,
        )
        confirmed = rounds[self.members.majority - 1]
        while self._reads and self._reads[0][0] <= confirmed:
            _, token, index = self._reads.popleft()
            self._actions.append(ReadReady(token, index))

    # --- follower ---

    def _on_leader_contact(self, source: str) -> None:
        self._last_leader_contact = self.now
        if self.role is not Role.FOLLOWER or self.leader != source:
            self._become(Role.FOLLOWER, source)
        self._restart_timer()

    def _on_append(self, source: str, message: Append) -> None:
        if self.role is Role.LEADER:
            return  # a term has one leader only
        self._on_leader_contact(source)
        previous, entries = message.previous, message.entries
        if previous < self.log.base:  # the snapshot covers a part of the message
            skip = self.log.base - previous
            if skip > len(entries):
                self._reply(source, True, self.log.base, message.round)
                return
            previous, entries = self.log.base, entries[skip:]
        elif self.log.term(previous) != message.previous_term:
            if previous > self.log.last:
                self._reply(source, False, 0, message.round, self.log.last + 1)
            else:
                first = self.log.first_of_term(previous)
                self._reply(source, False, 0, message.round, first, self.log.term(previous) or 0)
            return
        for at, entry in enumerate(entries):
            index = previous + 1 + at
            if self.log.term(index) != entry.term:
                assert index > self.commit, "a committed entry must not be replaced"
                self.log.put(index, entries[at:])
                self.synced_to = min(self.synced_to, index - 1)
                self._actions.append(Write(index, entries[at:]))
                break
        match = previous + len(entries)
        self._reply(source, True, match, message.round)
        if min(message.commit, match) > self.commit:
            self.commit = min(message.commit, match)
            self._actions.append(Commit(self.commit))

    def _reply(self, to: str, ok: bool, match: int, round_: int, conflict: int = 0, conflict_term: int = 0) -> None:
        self._send(to, AppendReply(self.term, ok, match, round_, conflict, conflict_term), after_sync=True)

    def _on_snapshot_chunk(self, source: str, piece: SnapshotChunk) -> None:
        if self.role is Role.LEADER:
            return
        self._on_leader_contact(source)
        if piece.index <= self.commit:
            self._reply(source, True, piece.index, piece.round)
            return
        index, origin, offset = self._incoming_snapshot
        if (index, origin) != (piece.index, source):
            offset = 0
        if piece.offset == offset:
            offset += len(piece.data)
            self._actions.append(
                StoreSnapshotChunk(piece.index, piece.index_term, piece.members, piece.offset, piece.data, piece.last)
            )
        self._incoming_snapshot = (piece.index, source, 0 if piece.last else offset)
        if not piece.last:
            self._send(source, SnapshotChunkReply(self.term, piece.index, offset, piece.round))

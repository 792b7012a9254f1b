"""A group of members in simulated time: the real core and the real store, under a network that loses, doubles, delays
and cuts, disks that keep only what was synced, clocks of unequal rates, crashes, pauses, emptied disks and changes of
members. One seed replays one schedule. After each step the rules of Raft are checked, at the end the clients' history.
"""

from __future__ import annotations

import heapq
import random
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from mastlift.consensus import core as r
from mastlift.consensus.log import Log
from mastlift.consensus.messages import Entry, Members
from mastlift.lab.crash import Broken, digest
from mastlift.store import commands as c
from mastlift.store.machine import Store

KEYS = 3
CLIENTS = 4
SNAPSHOT_EVERY = 25
PIECE = 700  # bytes


@dataclass(slots=True)
class Durable:
    """What a member's disk holds for sure."""

    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    base_members: Members = field(default_factory=lambda: Members(()))
    entries: list[Entry] = field(default_factory=list)
    blocks: bytes = b""

    def do(self, action: r.Save | r.Write) -> None:
        if isinstance(action, r.Save):
            self.term, self.vote = action.term, action.vote
        elif action.first > self.base:
            del self.entries[action.first - self.base - 1 :]
            self.entries += action.entries


@dataclass(slots=True)
class Node:
    id: str
    name: str
    core: r.Core
    store: Store
    disk: Durable
    rate: float
    up: bool = True
    paused_until: float = 0.0
    life: int = 0  # grows with each crash, so that what was on its way inside the process ends with it
    applied: int = 0
    pending: list[r.Save | r.Write] = field(default_factory=list)
    held: list[r.Send] = field(default_factory=list)  # until the sync under way comes back
    syncing: bool = False
    incoming: bytes = b""
    tokens: dict[int, Callable[[int | None], None]] = field(default_factory=dict)


@dataclass(slots=True)
class Operation:
    """A client's call. `position` is its place in the order: the index of a write, or what a read had seen."""

    key: str
    value: bytes | None  # None: a read
    began: float
    ended: float = float("inf")
    position: int = -1
    seen: bytes | None = None


@dataclass(frozen=True, slots=True)
class Faults:
    """How much of what. Chances are per message or per event."""

    loss: float = 0.02
    double: float = 0.02
    late: float = 0.01  # by up to two minutes
    every_ms: float = 400.0  # mean time between faults of nodes and links
    calm_from: float = 0.75  # of the schedule: then all heals, and the group must come back


def _unheard(index: int | None) -> None:
    """The caller has gone."""


def encode_snapshot(store: Store) -> bytes:
    return b"".join(len(block).to_bytes(4, "big") + block for block in store.dump() if block)


def load_snapshot(data: bytes) -> Store:
    store, at = Store(), 0
    while at < len(data):
        size = int.from_bytes(data[at : at + 4], "big")
        store.load(data[at + 4 : at + 4 + size])
        at += 4 + size
    return store


class Group:
    """One schedule. `run` plays it; it raises Broken with the seed and the time at the first broken rule."""

    KINDS: tuple[str, ...] = (
        "crash",
        "crash at sync",
        "crash at sync",
        "pause",
        "cut",
        "one way",
        "heal",
        "hand over",
        "replace",
        "grow",
        "shrink",
    )

    def __init__(
        self,
        seed: int,
        members: int = 0,
        length_ms: float = 12_000.0,
        faults: Faults | None = None,
        without: frozenset[int] = frozenset(),
    ) -> None:
        """`without` leaves out the faults of these numbers; the others stay as the seed draws them."""
        self.seed, self.rng, self.length, self.without = seed, random.Random(seed), length_ms, without
        self.fault_number = 0
        self.faults = faults or Faults()
        self.now, self._number = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        count = members or self.rng.choice((3, 3, 3, 5))
        names = "abcdefg"[:count]
        self.spare = list("hijkl")
        first = Members(tuple(f"{name}.1" for name in names))
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()
        self.leaders: dict[int, str] = {}
        self.committed: list[Entry] = []
        self.commit_terms: list[int] = []  # in which each was committed: leaders of later ones must have it
        self._crash_at_sync: set[str] = set()
        self.states: dict[int, int] = {}
        self.operations: list[Operation] = []
        self.seen: Counter[str] = Counter()
        self.trace: list[str] = []
        self.leaderless: list[float] = []
        self._lost_leader_at: float | None = None
        self._joining: list[str] = []
        store, opening = Store(), c.Envelope(c.OpenSession())
        for _ in range(CLIENTS):  # the group begins with a session for each client
            store.apply(opening)
            self.committed.append(Entry(0, c.encode([opening])))
            self.commit_terms.append(0)
        for name in names:
            self._make(f"{name}.1", name, Durable(0, "", CLIENTS, 0, first, [], encode_snapshot(store)))

    # --- time and processes ---

    def at(self, when: float, event: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, event))

    def after(self, ms: float, event: Callable[[], None]) -> None:
        self.at(self.now + ms, event)

    def note(self, text: str) -> None:
        self.trace.append(f"{self.now:9.1f} {text}")

    def broken(self, text: str) -> Broken:
        return Broken(f"seed {self.seed} at {self.now:.0f} ms: {text}")

    def _make(self, id_: str, name: str, disk: Durable) -> Node:
        log = Log(disk.base, disk.base_term, disk.base_members, list(disk.entries))
        rate = self.nodes[id_].rate if id_ in self.nodes else self.rng.uniform(0.99, 1.01)
        life = self.nodes[id_].life + 1 if id_ in self.nodes else 0
        core = r.Core(
            id_, log, random.Random(self.rng.getrandbits(32)), term=disk.term, vote=disk.vote, now=self.now * rate
        )
        node = Node(id_, name, core, load_snapshot(disk.blocks), disk, rate, life=life, applied=disk.base)
        self.nodes[id_] = node
        self._tick(node, life)
        return node

    def _alive(self, node: Node, life: int) -> bool:
        return self.nodes.get(node.id) is node and node.up and node.life == life

    def _tick(self, node: Node, life: int) -> None:
        if not self._alive(node, life):
            return
        if self.now >= node.paused_until:
            self._do(node, node.core.tick(self.now * node.rate))
            self.after(self.rng.uniform(8, 16), lambda: self._tick(node, life))
        else:
            self.at(node.paused_until + self.rng.uniform(0, 16), lambda: self._tick(node, life))

    def crash(self, node: Node) -> None:
        """The process ends; of what was not synced, some beginning may be on the disk."""
        self.note(f"crash {node.id}")
        self.seen["crash"] += 1
        node.up = False
        for action in node.pending[: self.rng.randint(0, len(node.pending))]:
            node.disk.do(action)
        for token in list(node.tokens):
            node.tokens.pop(token)(None)

    def restart(self, node: Node) -> None:
        if not node.up and self.nodes.get(node.id) is node:
            self.note(f"restart {node.id}")
            self._make(node.id, node.name, node.disk)

    def _do(self, node: Node, actions: list[r.Action]) -> None:
        for action in actions:
            match action:
                case r.Save() | r.Write():
                    node.pending.append(action)
                    self._sync(node)
                case r.Send():
                    if action.after_sync and (node.pending or node.syncing):
                        node.held.append(action)
                    else:
                        self._post(node, action)
                case r.Commit():
                    self._committed(node, action.index)
                case r.SendSnapshotChunk():
                    self._read_piece(node, action)
                case r.StoreSnapshotChunk():
                    self._store_snapshot_chunk(node, action)
                case r.ReadReady():
                    self._serve_read(node, action, node.life)
                case r.ReadFailed():
                    node.tokens.pop(action.token, _unheard)(None)
                case r.RoleChanged():
                    self._role(node, action)

    def _sync(self, node: Node) -> None:
        """One sync at a time; what comes meanwhile waits for the next."""
        if node.syncing:
            return
        node.syncing = True
        batch, life = len(node.pending), node.life
        index, term = node.core.log.last, node.core.log.last_term

        def done() -> None:
            if not self._alive(node, life):
                return
            nonlocal batch, index, term
            for action in node.pending[:batch]:
                node.disk.do(action)
            del node.pending[:batch]
            node.syncing = False
            held: list[r.Send] = []
            if node.pending:
                self._sync(node)
            else:
                held, node.held = node.held, []
                index, term = node.core.log.last, node.core.log.last_term
            for send in held:
                self._post(node, send)
            if not node.pending:
                self._do(node, node.core.synced(index, term))
                self._apply(node)

        took = self.rng.expovariate(1 / 4.0)
        if node.id in self._crash_at_sync:
            self._crash_at_sync.discard(node.id)
            self.after(self.rng.uniform(0, took), lambda: self._crash_within(node, life))
            took = self.rng.uniform(5.0, 60.0)
        self.after(took, done)

    def _crash_within(self, node: Node, life: int) -> None:
        """While a sync is under way; back soon enough to be asked again."""
        if self._alive(node, life):
            self.crash(node)
            self.after(self.rng.uniform(1.0, 60.0), lambda: self.restart(node))

    # --- the network ---

    def _post(self, node: Node, send: r.Send) -> None:
        rng, faults = self.rng, self.faults
        if rng.random() < faults.loss and self.now < self.length * faults.calm_from:
            return
        for _ in range(1 + (rng.random() < faults.double)):
            delay = rng.expovariate(1 / 6.0)
            if rng.random() < faults.late:
                delay = rng.uniform(0, 120_000)
            self.after(delay, lambda: self._arrive(node.id, send))

    def _arrive(self, source: str, send: r.Send) -> None:
        node = self.nodes.get(send.to)
        if node is None or not node.up or (source, send.to) in self.cut:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until + self.rng.uniform(0, 30), lambda: self._arrive(source, send))
            return
        self._do(node, node.core.receive(source, send.message, self.now * node.rate))

    # --- what the rules promise ---

    def _role(self, node: Node, change: r.RoleChanged) -> None:
        if change.role is not r.Role.LEADER:
            if not any(n.up and n.core.role is r.Role.LEADER for n in self.nodes.values()):
                self._lost_leader_at = self._lost_leader_at or self.now
            return
        self.note(f"{node.id} leads term {change.term}")
        self.seen["leader"] += 1
        if self.leaders.setdefault(change.term, node.id) != node.id:
            raise self.broken(f"{node.id} and {self.leaders[change.term]} both lead term {change.term}")
        log = node.core.log
        for index in range(log.base + 1, len(self.committed) + 1):
            if self.commit_terms[index - 1] < change.term and log.term(index) != self.committed[index - 1].term:
                raise self.broken(f"{node.id} leads term {change.term} without the committed entry {index}")
        if self._lost_leader_at is not None:
            self.leaderless.append(self.now - self._lost_leader_at)
            self._lost_leader_at = None

    def _committed(self, node: Node, index: int) -> None:
        log = node.core.log
        for at in range(len(self.committed) + 1, index + 1):
            self.committed.append(log.entries[at - log.base - 1])
            self.commit_terms.append(node.core.term)
        for at in range(max(node.applied, log.base) + 1, index + 1):
            mine, first = log.entries[at - log.base - 1], self.committed[at - 1]
            if (mine.term, mine.data, mine.members) != (first.term, first.data, first.members):
                raise self.broken(f"{node.id} commits another entry {at} than was committed before")
        self._apply(node)

    def _apply(self, node: Node) -> None:
        """As far as it is committed and on this member's disk."""
        core = node.core
        while node.applied < min(core.commit, core.synced_to):
            node.applied += 1
            entry = core.log.entries[node.applied - core.log.base - 1]
            if entry.data:
                node.store.apply(c.DECODE_ENVELOPES(entry.data)[0])
            else:
                node.store.index += 1
            self._check_state(node)
            if node.applied % SNAPSHOT_EVERY == 0 and not any(p.snapshot for p in core.peers.values()):
                self._snapshot(node)

    def _check_state(self, node: Node) -> None:
        state = zlib.crc32(digest(node.store))
        if self.states.setdefault(node.applied, state) != state:
            raise self.broken(f"{node.id}: the state after entry {node.applied} is not that of the others")

    def _snapshot(self, node: Node) -> None:
        """Written and synced in one step here; crashes in the middle of it are the durable package's matter."""
        self.seen["snapshot"] += 1
        for action in node.pending:
            node.disk.do(action)
        node.pending.clear()
        log, disk = node.core.log, node.disk
        term = log.term(node.applied)
        assert term is not None
        members = log.members_at(node.applied)
        del disk.entries[: node.applied - disk.base]
        disk.base, disk.base_term, disk.base_members = node.applied, term, members
        disk.blocks = encode_snapshot(node.store)
        node.core.compacted(node.applied)

    def _read_piece(self, node: Node, ask: r.SendSnapshotChunk) -> None:
        if node.disk.base == ask.index == node.core.log.base:
            data = node.disk.blocks[ask.offset : ask.offset + PIECE]
            self._do(
                node,
                node.core.snapshot_chunk_read(
                    ask.to, ask.index, ask.offset, data, ask.offset + len(data) >= len(node.disk.blocks)
                ),
            )

    def _store_snapshot_chunk(self, node: Node, piece: r.StoreSnapshotChunk) -> None:
        node.incoming = (node.incoming if piece.offset else b"") + piece.data
        if not piece.last:
            return
        self.seen["snapshot installed"] += 1
        self.install(node, piece)
        self._do(node, node.core.restored(piece.index, piece.term, piece.members))
        self._apply(node)

    def install(self, node: Node, piece: r.StoreSnapshotChunk) -> None:
        for action in node.pending:
            node.disk.do(action)
        node.pending.clear()
        disk, at = node.disk, piece.index - node.disk.base
        fits = 0 < at <= len(disk.entries) and disk.entries[at - 1].term == piece.term
        disk.entries = disk.entries[at:] if fits else []
        disk.base, disk.base_term, disk.base_members = piece.index, piece.term, piece.members
        disk.blocks = node.incoming
        node.store, node.applied = load_snapshot(node.incoming), piece.index
        if node.store.index != piece.index:
            raise self.broken(f"{node.id}: the snapshot of {piece.index} holds a state of {node.store.index}")
        self._check_state(node)

    # --- clients ---

    def client(self, number: int) -> None:
        """Calls one after the other, at any member; a write is repeated in its session until it is answered."""
        rng, node = self.rng, self.rng.choice(sorted(self.nodes.values(), key=lambda n: n.id))
        if self.now > self.length:
            return
        key = f"k{rng.randrange(KEYS)}"
        if rng.random() < 0.4:
            self._read(number, node, key)
            return
        operation = Operation(key, b"%d-%d" % (number, len(self.operations)), self.now)
        self.operations.append(operation)
        self._try_write(number, operation, len(self.operations))

    def _next(self, number: int) -> None:
        self.after(self.rng.uniform(5, 60), lambda: self.client(number))

    def _leader(self) -> Node | None:
        found = [n for n in self.nodes.values() if n.up and n.core.role is r.Role.LEADER and self.now >= n.paused_until]
        return self.rng.choice(found) if found else None

    def _try_write(self, number: int, operation: Operation, sequence: int) -> None:
        """Until an entry with this command is committed where it was put, as the client's library does it."""
        if self.now > self.length:
            return
        node = self._leader()
        again = self.rng.uniform(50, 300)
        if node is None:
            self.after(again, lambda: self._try_write(number, operation, sequence))
            return
        assert operation.value is not None
        command = c.Envelope(c.Put(operation.key, operation.value), number, sequence)
        try:
            index, actions = node.core.propose([c.encode([command])], self.now * node.rate)
        except (r.NotLeader, r.NotNow):
            self.after(again, lambda: self._try_write(number, operation, sequence))
            return
        term, life, patience = node.core.term, node.life, self.now + 600.0
        self._do(node, actions)

        def look() -> None:
            if self._alive(node, life) and node.applied >= index:
                if len(self.committed) >= index and self.committed[index - 1].term == term:
                    if operation.position < 0:  # the first place counts: a repeat changes nothing
                        operation.position = self._first_place(command, index)
                    operation.ended = self.now
                    self._next(number)
                else:
                    self._try_write(number, operation, sequence)
            elif self.now > patience or not self._alive(node, life):
                self._try_write(number, operation, sequence)
            else:
                self.after(3.0, look)

        look()

    def _first_place(self, command: c.Envelope, index: int) -> int:
        data = c.encode([command])
        return next(i for i, entry in enumerate(self.committed[:index], 1) if entry.data == data)

    def _read(self, number: int, node: Node, key: str) -> None:
        leader = self._leader()
        if leader is None:
            self._next(number)
            return
        operation, token = Operation(key, None, self.now), len(self.operations)
        self.operations.append(operation)

        def served(index: int | None) -> None:
            if index is not None:
                entry = leader.store.entries.get(key)
                operation.seen, operation.position = (entry.value if entry else b""), leader.applied
                operation.ended = self.now
            self._next(number)

        try:
            actions = leader.core.read(token, self.now * leader.rate)
        except r.NotLeader:
            self._next(number)
            return
        leader.tokens[token] = served
        self._do(leader, actions)

    def _serve_read(self, node: Node, ready: r.ReadReady, life: int) -> None:
        if not self._alive(node, life):
            return
        if node.applied < ready.index:
            self.after(2.0, lambda: self._serve_read(node, ready, life))
        else:
            node.tokens.pop(ready.token, _unheard)(ready.index)

    def check_history(self) -> None:
        """Linearizable, with the order itself as the witness: no operation stands before one that had ended when it
        began, and each read saw what the writes before its place leave (Herlihy and Wing, 1990)."""
        done = sorted((o for o in self.operations if o.position >= 0 and o.ended < float("inf")), key=lambda o: o.began)
        ended = sorted(done, key=lambda o: o.ended)
        highest, at = -1, 0
        for operation in done:
            while at < len(ended) and ended[at].ended < operation.began:
                highest, at = max(highest, ended[at].position), at + 1
            if operation.position < highest or (operation.value is not None and operation.position == highest):
                raise self.broken(f"{operation} began after an operation at place {highest} had ended")
        values: dict[str, list[tuple[int, bytes]]] = {}
        store = Store()
        for index, entry in enumerate(self.committed, 1):
            if entry.data:
                envelope = c.DECODE_ENVELOPES(entry.data)[0]
                before = store.revision
                store.apply(envelope)
                if isinstance(envelope.command, c.Put) and store.revision > before:
                    values.setdefault(envelope.command.key, []).append((index, envelope.command.value))
        for operation in done:
            if operation.value is None:
                stands = [value for index, value in values.get(operation.key, []) if index <= operation.position]
                if (stands[-1] if stands else b"") != operation.seen:
                    raise self.broken(f"{operation} does not see the last write before its place")
            elif not any(value == operation.value for _, value in values.get(operation.key, [])):
                raise self.broken(f"{operation} was acknowledged and is not there")

    # --- the schedule ---

    def _fault(self) -> None:
        if self.now > self.length * self.faults.calm_from:
            return
        rng = random.Random(self.seed << 20 | self.fault_number)
        self.after(rng.expovariate(1 / self.faults.every_ms), self._fault)
        self.fault_number += 1
        if self.fault_number - 1 in self.without:
            return
        node = rng.choice(sorted(self.nodes.values(), key=lambda n: n.id))
        leader = self._leader()
        if leader is not None and rng.random() < 0.5:
            node = leader
        kind = rng.choice(self.KINDS)
        voters = self._newest_members().voters
        if kind == "crash" and node.up:
            self.crash(node)
            self.after(rng.expovariate(1 / 800.0), lambda: self.restart(node))
        elif kind == "pause" and node.up:
            self.note(f"pause {node.id}")
            node.paused_until = self.now + rng.uniform(50, 2500)
        elif kind == "crash at sync":
            self._crash_at_sync.add(node.id)
            away = rng.choice(sorted(self.nodes.values(), key=lambda n: n.id))
            if away is not node and rng.random() < 0.5:
                away.paused_until = self.now + rng.uniform(50, 1200)
        elif kind in ("cut", "one way"):
            side = {n for n in self.nodes if rng.random() < 0.4} | {node.id}
            self.note(f"{kind} {sorted(side)}")
            for one in side:
                for other in self.nodes.keys() - side:
                    self.cut.add((one, other))
                    if kind == "cut":
                        self.cut.add((other, one))
            self.after(rng.uniform(200, 3000), self.cut.clear)
        elif kind == "heal":
            self.cut.clear()
        elif kind == "hand over" and leader is not None and len(voters) > 1:
            self._try(leader, lambda: leader.core.hand_over(rng.choice(voters), self.now * leader.rate), kind)
        elif kind == "replace" and node.id in voters and self.spare and len(voters) >= 3 and self._settled():
            self._empty(node)
        elif kind == "grow" and leader is not None and self.spare and len(voters) < 5:
            self._join(self.spare.pop(0))
        elif kind == "shrink" and len(voters) > 3 and self._settled():
            gone = rng.choice(voters)
            self.aim(lambda members: Members(tuple(v for v in members.voters if v != gone), members.learners))
        else:
            self.fault_of(kind, node, rng)
        self.seen[kind] += 1

    def fault_of(self, kind: str, node: Node, rng: random.Random) -> None:
        """Kinds that a schedule with more on it has beside these."""

    def _settled(self) -> bool:
        """Is each member that was emptied or added a voter by now, and no change on its way? Operators wait for that:
        more than a minority of emptied disks is a loss that no rule can mend."""
        leader = self._leader()
        return (
            leader is not None
            and not leader.core.change_pending
            and self.nodes.keys() >= set(leader.core.members.voters) >= set(self._joining)
        )

    def _newest_members(self) -> Members:
        return max((n.core.log for n in self.nodes.values()), key=lambda log: (log.last_term, log.last)).members()

    def _try(self, node: Node, call: Callable[[], list[r.Action]], what: str) -> bool:
        try:
            actions = call()
        except (r.NotLeader, r.NotNow):
            return False
        self.note(f"{what} by {node.id}")
        self._do(node, actions)
        return True

    def aim(self, change: Callable[[Members], Members], tries: int = 60) -> None:
        """An operator's change of members, again until a leader takes it."""
        leader = self._leader()
        if leader is not None:
            wanted = change(leader.core.members)
            if wanted == leader.core.members or self._try(
                leader, lambda: leader.core.change(wanted, self.now * leader.rate)[1], f"members {wanted}"
            ):
                return
        if tries and self.now < self.length:
            self.after(self.rng.uniform(50, 200), lambda: self.aim(change, tries - 1))

    def _join(self, id_: str) -> None:
        """A new member: a learner first, a voter once it has caught up."""
        node_id = f"{id_}.1"
        self._joining = [node_id]
        self._make(node_id, id_, Durable())
        self.aim(
            lambda members: (
                Members(members.voters, (*members.learners, node_id)) if node_id not in members.all() else members
            )
        )
        self.after(
            400.0,
            lambda: self.aim(
                lambda members: Members(
                    members.voters + ((node_id,) if node_id not in members.voters else ()),
                    tuple(learner for learner in members.learners if learner != node_id),
                )
            ),
        )

    def _empty(self, node: Node) -> None:
        """A member's disk is emptied. It comes back under an id of its own, as a learner, in the old one's place."""
        self.note(f"emptied {node.id}")
        self.crash(node)
        del self.nodes[node.id]
        self.aim(lambda members: Members(tuple(v for v in members.voters if v != node.id), members.learners))
        self._join(self.spare.pop(0))

    def run(self) -> None:
        """Raises Broken."""
        for number in range(1, CLIENTS + 1):
            self.after(500.0, lambda number=number: self.client(number))  # type: ignore[misc]
        self.after(self.rng.expovariate(1 / self.faults.every_ms) + 800.0, self._fault)
        self.at(self.length * self.faults.calm_from, self._calm)
        while self._events and self._events[0][0] <= self.length + 3000.0:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.check_history()
        acknowledged = sum(o.ended < float("inf") for o in self.operations)
        late = [
            o
            for o in self.operations
            if o.began > self.length * (self.faults.calm_from + 0.2) and o.ended < float("inf")
        ]
        if not late:
            raise self.broken(f"nothing is served after all has healed ({acknowledged} calls were before)")
        self.seen["operations"] += acknowledged

    def _calm(self) -> None:
        self.note("all heals")
        self.cut.clear()
        for node in list(self.nodes.values()):
            node.paused_until = min(node.paused_until, self.now)
            self.restart(node)


def check_group(seed: int, without: frozenset[int] = frozenset()) -> Counter[str]:
    """One schedule; what happened in it. Raises Broken."""
    group = Group(seed, without=without)
    group.run()
    check_undisturbed(seed)
    return group.seen


def check_undisturbed(seed: int) -> None:
    """A member that was cut off and comes back must not unseat a leader whom a majority hears (dissertation, 9.6)."""
    group = Group(seed, members=3, length_ms=6000.0, faults=Faults(0.0, 0.0, 0.0, 1e12))
    cut: list[str] = []

    def cut_off() -> None:
        cut.append(min(n.id for n in group.nodes.values() if n.core.role is not r.Role.LEADER))
        for other in group.nodes.keys() - set(cut):
            group.cut |= {(cut[0], other), (other, cut[0])}

    group.after(2000.0, cut_off)
    group.after(3500.0, group.cut.clear)
    group.run()
    if len(group.leaders) > 1:
        raise group.broken(f"{cut[0]} was cut off, came back, and unseated the leader: {group.leaders}")


class Replayed(Protocol):
    """A simulated run with numbered faults. `run` raises Broken."""

    trace: list[str]
    fault_number: int

    def run(self) -> None: ...


def shrink(
    seed: int,
    tries: int = 200,
    make: Callable[[int, frozenset[int]], Replayed] | None = None,
) -> tuple[frozenset[int], str, list[str]]:
    """Leave out faults of a broken schedule as long as it stays broken: which, how it breaks then, and its trace."""

    def outcome(without: frozenset[int]) -> tuple[str, list[str], int] | None:
        group = make(seed, without) if make else Group(seed, without=without)
        try:
            group.run()
        except (Broken, AssertionError) as error:
            return str(error), group.trace, group.fault_number
        return None

    best = outcome(frozenset())
    without: frozenset[int] = frozenset()
    if best is None:
        return without, "", []
    size = max(1, best[2] // 2)
    while size and tries > 0:
        for first in range(0, best[2], size):
            tries -= 1
            fewer = without | frozenset(range(first, min(first + size, best[2])))
            if fewer != without and (found := outcome(fewer)) is not None:
                without, best = fewer, found
        size //= 2
    return without, best[0], best[1]

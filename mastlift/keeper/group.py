"""Command ordering by Raft in a group of keepers, and the management of the group's membership.

A keeper with a new folder that does not start a new group is not a member yet. It requests admission from the
configured members. The leader adds it as a learner, replaces an unreachable member of the same name, and makes it a
voter once it has caught up. A keeper with an emptied disk thus rejoins without manual steps, under a new id, and never
votes without the state that it has lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from collections.abc import Callable, Iterator

import aiohttp
import msgspec

from mastlift.consensus import core as raft
from mastlift.consensus import persistence
from mastlift.consensus.coalescing import CoalescedCall
from mastlift.consensus.driver import Member, now_ms
from mastlift.consensus.messages import Members
from mastlift.durable.disk import DiskFailed
from mastlift.durable.journal import Journal
from mastlift.keeper.client import ask_each
from mastlift.keeper.config import GroupSection
from mastlift.keeper.order import Apply
from mastlift.keeper.peers import DECODE, PEER_FORMAT, Batch, Peers, name_of
from mastlift.logs import get_logger
from mastlift.store import commands as c
from mastlift.store.machine import LIFE_KEY

HELLO_INTERVAL_S = 0.3  # between admission requests of a non-member
ADMIT_INTERVAL_S = 0.2  # between the leader's admission steps
PROGRESS_PREFIX = "mastlift/heard/"  # keys that record, by member id, the highest known term and log index
SILENT_MS, RECORD_INTERVAL_MS = 1000.0, 30_000.0  # progress is recorded when a member becomes silent, and periodically
STATUS_TIMEOUT_S = 1.0
REPLACE_AFTER_MS = 3000.0  # minimum silence before a member is replaced by one of the same name
_DECODE = msgspec.msgpack.Decoder(c.Envelope).decode


class PeerStatus(msgspec.Struct, frozen=True):
    """The parts of another member's status that are used. `heard` maps ids to the highest known term and log index."""

    leader: str = ""
    group: str = ""
    voters: tuple[str, ...] = ()
    heard: dict[str, tuple[int, int]] | tuple[str, ...] = {}  # a tuple of ids from older versions


class PeerRefused(Exception):
    """A request that this member must reject, or a folder that must not take part; the text names both sides."""


def write_identity(
    journal: Journal, state: persistence.PersistentState, group: GroupSection, name: str, new_group: bool
) -> None:
    """Append the first record of a new folder, which holds the member's id, group and initial membership."""
    ids = {member: f"{member}.0@{where}" for member, where in group.members.items()}
    members = Members(tuple(ids.values())) if new_group else Members(())
    id_ = ids[name] if new_group else f"{name}.{journal.identity.life[:8]}@{group.members[name]}"
    body = persistence.ENCODE([persistence.IdentityRecord(id_, group.name, members)])
    state.replay(journal.append(1, body), 1, body)


def _retrieve_exception(future: asyncio.Future[c.Result]) -> None:
    """Mark the exception as retrieved; a failed write is repeated by a later admission step."""
    if not future.cancelled():
        future.exception()


async def _fetch_member_statuses(group: GroupSection, name: str) -> dict[str, dict[str, object]]:
    """Return the group status of each other member that answers, by name."""
    addresses = {address: other for other, address in group.members.items() if other != name}
    replies = await ask_each(list(addresses), "/v1/group", STATUS_TIMEOUT_S)
    return {addresses[address]: status for address, status in replies.items() if "error" not in status}


async def require_new_member(group: GroupSection, name: str) -> None:
    """Check before a folder starts a new group. Raises PeerRefused if this member had a log already."""
    id_ = f"{name}.0@{group.members[name]}"
    for other, reply in (await _fetch_member_statuses(group, name)).items():
        status = msgspec.convert(reply, PeerStatus)
        if (
            id_ == status.leader
            or id_ in status.heard
            or (status.group == group.name and status.voters and id_ not in status.voters)
        ):
            raise PeerRefused(
                f"the group '{group.name}' already exists (reported by {other}): start {name} without "
                "--new-group, and it will join the group"
            )


async def require_current_state(group: GroupSection, name: str, state: persistence.PersistentState) -> None:
    """Check before a member takes part. Raises PeerRefused if another member recorded a higher term or log index for it
    than its folder holds, as after a restored backup of the folder: the member could vote twice in a term."""
    for other, reply in (await _fetch_member_statuses(group, name)).items():
        heard = msgspec.convert(reply, PeerStatus).heard
        term, match = heard.get(state.id, (0, 0)) if isinstance(heard, dict) else (0, 0)
        if term > state.term or match > state.log.last:
            raise PeerRefused(
                f"the folder is older than what this member had: term {state.term} and entry "
                f"{state.log.last}, but {other} recorded {term} and {match}. A member must not vote with "
                "outdated state: empty the folder and start it (without --new-group), and it will rejoin the group"
            )


class GroupOrder:
    """Implements `Order` for a member of a group, and `Replica` for its Raft member."""

    def __init__(
        self,
        journal: Journal,
        state: persistence.PersistentState,
        group: GroupSection,
        apply: Apply,
        failed: Callable[[DiskFailed], None],
        role: Callable[[bool], None],
        snapshot_now: Callable[[], None],
    ) -> None:
        self.group, self.state, self._apply_all, self._role_changed = group, state, apply, role
        self.log = get_logger("group")
        self.peers = Peers(state.id, state.group)
        self.member = Member(journal, state, self, self.peers, failed, self._role, snapshot_now)
        self.hellos: dict[str, str] = {}
        self._recorded_at: dict[str, float] = {}
        self._read_calls = CoalescedCall(self._ask_leader)
        self._tasks = [asyncio.create_task(self._request_admission()), asyncio.create_task(self._admit())]

    # --- Order ---

    @property
    def leads(self) -> bool:
        return self.member.leads

    def propose(self, envelope: c.Envelope, size: int) -> asyncio.Future[c.Result]:
        return self.member.propose(c.ENCODE(envelope))

    def waiting(self) -> tuple[int, int]:
        return self.member.waiting()

    async def read_barrier(self) -> None:
        """Wait until a linearizable read is possible here.

        Raises NotLeader if the leader is unknown or does not answer, and StaleMember.
        """
        if self.leads:
            await self.member.read_barrier()
        else:
            await self.member.wait_applied(await self._read_calls.get())

    async def read_index(self, group: str) -> int:
        """Return the read index to a follower that answers a read. Raises PeerRefused, NotLeader, StaleMember."""
        if group != self.state.group:
            raise PeerRefused(f"this keeper is of the group '{self.state.group}', not of '{group}'")
        return await self.member.read_index()

    async def _ask_leader(self) -> int:
        leader = self.member.core.leader
        index = await self.peers.read_index(leader) if leader else None
        if index is None:
            raise raft.NotLeader("")
        return index

    def position(self) -> int:
        return self.member.records

    def snapshot(self) -> tuple[int, int, Iterator[bytes]]:
        return self.member.dump()

    async def wait_durable(self, position: int) -> None:
        while self.member.durable_records < position:
            await asyncio.sleep(0.005)

    def snapshot_done(self, position: int, index: int) -> None:
        self.member.snapshot_done(position, index)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._read_calls.close()
        await self.member.stop()
        await self.peers.close()

    # --- Replica ---

    @property
    def index(self) -> int:
        return self.state.store.index

    def apply(self, data: list[bytes]) -> list[c.Result | None]:
        """Apply encoded envelopes; an empty one is a no-op that advances the index."""
        return list(self._apply_all([_DECODE(envelope) if envelope else None for envelope in data]))

    # --- the group ---

    def _role(self, change: raft.RoleChanged) -> None:
        self._role_changed(change.role is raft.Role.LEADER)

    def receive(self, body: bytes) -> None:
        """Process a message batch from a peer. Raises PeerRefused, msgspec.DecodeError."""
        batch: Batch = DECODE(body)
        if batch.format != PEER_FORMAT:
            raise PeerRefused(f"this keeper speaks format {PEER_FORMAT} to its peers, not {batch.format}")
        if batch.group != self.state.group:
            raise PeerRefused(f"this keeper is of the group '{self.state.group}', not of '{batch.group}'")
        if batch.to != self.state.id:
            raise PeerRefused(f"this keeper is {self.state.id}, not {batch.to}")
        for message in batch.messages:
            self.member.receive(batch.source, message)

    def hello(self, group: str, id_: str) -> None:
        """Register a keeper's admission request. Raises PeerRefused, NotLeader."""
        if group != self.state.group:
            raise PeerRefused(f"this keeper is of the group '{self.state.group}', not of '{group}'")
        if not self.leads:
            raise raft.NotLeader(self.member.core.leader)
        store, name = self.state.store, name_of(id_)
        if f"mastlift/removed/{name}" in store.entries or (
            name not in self.group.members and f"mastlift/admit/{name}" not in store.entries
        ):
            raise PeerRefused(f"'{name}' is no member: add it with `mastlift group add {name}`")
        self.hellos[name] = id_

    async def _request_admission(self) -> None:
        """Request admission from the configured members while this keeper is not a member."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(1.0)) as http:
            while True:
                if self.state.id not in self.member.core.members.all():
                    for name, address in self.group.members.items():
                        if name == name_of(self.state.id):
                            continue
                        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                            async with http.post(
                                f"http://{address}/v1/group/hello",
                                json={"group": self.state.group, "id": self.state.id},
                            ) as response:
                                await response.read()
                await asyncio.sleep(HELLO_INTERVAL_S)

    async def _admit(self) -> None:
        """On the leader: admit keepers that requested it, one membership change at a time."""
        while True:
            await asyncio.sleep(ADMIT_INTERVAL_S)
            if self.leads:
                self._record_all_progress()
                for id_ in list(self.hellos.values()):
                    with contextlib.suppress(raft.NotLeader, raft.NotNow):
                        self._admit_step(id_)
            else:
                self.hellos.clear()

    def _record_all_progress(self) -> None:
        """Record each member's log progress in the store, so that no member can rejoin with an older log.

        It is recorded when a member is new, when it becomes silent, and periodically; the leader's own term at once.
        """
        core, now = self.member.core, now_ms()
        if core.log.term(core.commit) != core.term:
            return
        if LIFE_KEY not in self.state.store.entries:
            self._put(LIFE_KEY, uuid.uuid4().hex.encode(), 0)
        heard = self.heard()
        for id_, progress in core.peers.items():
            term, match = heard.get(id_, (0, 0))
            silent = now - progress.last_reply_at > SILENT_MS
            if progress.match > match and (
                not match or silent or now - self._recorded_at.get(id_, 0.0) > RECORD_INTERVAL_MS
            ):
                self._record_progress(id_, max(term, core.term), progress.match, now)
        if heard.get(core.id, (0, 0))[0] < core.term:
            self._record_progress(core.id, core.term, core.synced_to, now)

    def _record_progress(self, id_: str, term: int, match: int, now: float) -> None:
        self._recorded_at[id_] = now
        self._put(PROGRESS_PREFIX + id_, b"%d %d" % (term, match))

    def _put(self, key: str, value: bytes, if_revision: int = -1) -> None:
        put = c.Put(key, value, 0, if_revision)
        with contextlib.suppress(raft.NotLeader, raft.NotNow):
            self.member.propose(c.ENCODE(c.Envelope(put))).add_done_callback(_retrieve_exception)

    def heard(self) -> dict[str, tuple[int, int]]:
        """Return, by id, the highest recorded term and log index; zeros if an older version recorded the id alone."""
        entries = self.state.store.entries
        noted = {
            key.removeprefix(PROGRESS_PREFIX): entries[key].value.split()
            for key in self.state.store.keys(PROGRESS_PREFIX)
        }
        return {id_: (int(value[0]), int(value[1])) if value else (0, 0) for id_, value in noted.items()}

    def _admit_step(self, id_: str) -> None:
        """Propose the next membership change towards admitting `id_`. Raises NotLeader, NotNow."""
        core, name = self.member.core, name_of(id_)
        members, same_name = (
            core.members,
            [member_id for member_id in core.members.all() if name_of(member_id) == name and member_id != id_],
        )
        if id_ in members.voters and not same_name:
            del self.hellos[name]
        elif same_name and any(
            now_ms() - core.peers[member_id].last_reply_at < REPLACE_AFTER_MS
            for member_id in same_name
            if member_id in core.peers
        ):
            return  # a reachable member has this name
        elif same_name or id_ not in members.all():
            outgoing = same_name[:1]
            learners = tuple(
                member_id for member_id in members.learners if member_id not in outgoing and member_id != id_
            )
            self.member.change(
                lambda _: Members(tuple(v for v in members.voters if v not in outgoing), (*learners, id_))
            )
            self.log.info("member_taken_in", id=id_, instead=outgoing)
        elif core.peers[id_].match >= core.commit - 100:
            self.member.change(
                lambda _: Members(
                    (*members.voters, id_), tuple(member_id for member_id in members.learners if member_id != id_)
                )
            )
            self.log.info("member_votes", id=id_)

    def remove(self, name: str) -> None:
        """Remove the member. Raises NotLeader, NotNow, KeyError."""
        members = self.member.core.members
        outgoing = [member_id for member_id in members.all() if name_of(member_id) == name]
        if not outgoing:
            raise KeyError(name)
        self.member.change(
            lambda _: Members(
                tuple(v for v in members.voters if v not in outgoing),
                tuple(member_id for member_id in members.learners if member_id not in outgoing),
            )
        )

    def hand_over(self, name: str) -> None:
        """Transfer leadership to the voter. Raises NotLeader, NotNow, KeyError."""
        for id_ in self.member.core.members.voters:
            if name_of(id_) == name:
                self.member.hand_over(id_)
                return
        raise KeyError(name)

    def status(self) -> dict[str, object]:
        core = self.member.core
        members = core.members
        return {
            "group": self.state.group,
            "id": core.id,
            "role": core.role.value,
            "term": core.term,
            "leader": core.leader,
            "commit": core.commit,
            "applied": self.index,
            "last": core.log.last,
            "heard": self.heard(),
            "voters": list(members.voters),
            "learners": list(members.learners),
            "match": {id_: progress.match for id_, progress in core.peers.items()},
            "lag": {id_: core.log.last - progress.match for id_, progress in core.peers.items()},
            "silent_ms": {id_: round(now_ms() - progress.last_reply_at) for id_, progress in core.peers.items()},
        }

"""The order that a group of keepers agrees on, in the place of `Alone`'s; and who belongs to the group.

A keeper whose folder is new and that was not told to begin a group is nobody yet: it says hello to the named members,
and the leader takes it in as a learner, in the place of a silent member of its name, and as a voter once it has caught
up. So an emptied disk comes back by itself, and never votes on what it forgot.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import aiohttp
import msgspec

from mastlift.consensus import core as r
from mastlift.consensus import kept
from mastlift.consensus.driver import Member, now_ms
from mastlift.consensus.messages import Members
from mastlift.durable.disk import DiskFailed
from mastlift.durable.journal import Journal
from mastlift.keeper.config import GroupSection
from mastlift.keeper.order import Apply
from mastlift.keeper.peers import DECODE, PEER_FORMAT, Batch, Peers, name_of
from mastlift.logs import get_logger
from mastlift.store import commands as c

HELLO_S = 0.3
ADMIT_S = 0.2
HEARD = "mastlift/heard/"
GONE_MS = 3000.0  # a member of the same name is replaced only after so long a silence
_DECODE = msgspec.msgpack.Decoder(c.Envelope).decode


class Refused(Exception):
    """What a peer sent is not for this member; the text names both sides."""


def begin(journal: Journal, state: kept.Kept, group: GroupSection, name: str, new_group: bool) -> None:
    """The first record of a new folder: who this member is."""
    ids = {one: f"{one}.0@{where}" for one, where in group.members.items()}
    members = Members(tuple(ids.values())) if new_group else Members(())
    id_ = ids[name] if new_group else f"{name}.{journal.identity.life[:8]}@{group.members[name]}"
    body = kept.ENCODE([kept.Named(id_, group.name, members)])
    state.replay(journal.append(1, body), 1, body)


def _seen_to(future: asyncio.Future[c.Result]) -> None:
    """Whatever came of it: it is looked at again."""
    if not future.cancelled():
        future.exception()


async def must_be_new(group: GroupSection, name: str) -> None:
    """Before a folder begins a group: raises Refused where a member knows that this one had a log already."""
    id_ = f"{name}.0@{group.members[name]}"
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(1.0)) as http:
        for other, address in group.members.items():
            if other == name:
                continue
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
                async with http.get(f"http://{address}/v1/group") as response:
                    told = msgspec.json.decode(await response.read())
                    if id_ in (told.get("leader"), *told.get("heard", ())) or (
                            told.get("group") == group.name and told.get("voters") and id_ not in told["voters"]):
                        raise Refused(f"the group '{group.name}' lives already (asked {other}): start {name} without "
                                      "--new-group, and it will be taken in")


class Grouped:
    """Implements `Order`."""

    def __init__(self, journal: Journal, state: kept.Kept, group: GroupSection, apply: Apply,
                 failed: Callable[[DiskFailed], None], role: Callable[[bool], None],
                 snapshot_now: Callable[[], None]) -> None:
        self.group, self.state, self._apply_all, self._told = group, state, apply, role
        self.log = get_logger("group")
        self.peers = Peers(state.id, state.group)
        self.member = Member(journal, state, self, self.peers, failed, self._role, snapshot_now)
        self.hellos: dict[str, str] = {}
        self._tasks = [asyncio.create_task(self._say_hello()), asyncio.create_task(self._admit())]

    # --- Order ---

    @property
    def leads(self) -> bool:
        return self.member.leads

    def propose(self, envelope: c.Envelope, size: int) -> asyncio.Future[c.Result]:
        return self.member.propose(c.ENCODE(envelope))

    def waiting(self) -> tuple[int, int]:
        return self.member.waiting()

    async def read_barrier(self) -> None:
        await self.member.read_barrier()

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
        await self.member.stop()
        await self.peers.close()

    # --- Replica ---

    @property
    def index(self) -> int:
        return self.state.store.index

    def apply(self, data: list[bytes]) -> list[c.Result | None]:
        """Empty entries count and do nothing."""
        return list(self._apply_all([_DECODE(one) if one else None for one in data]))

    # --- the group ---

    def _role(self, change: r.RoleChanged) -> None:
        self._told(change.role is r.Role.LEADER)

    def receive(self, body: bytes) -> None:
        """A batch of a peer. Raises Refused, msgspec.DecodeError."""
        batch: Batch = DECODE(body)
        if batch.format != PEER_FORMAT:
            raise Refused(f"this keeper speaks format {PEER_FORMAT} to its peers, not {batch.format}")
        if batch.group != self.state.group:
            raise Refused(f"this keeper is of the group '{self.state.group}', not of '{batch.group}'")
        if batch.to != self.state.id:
            raise Refused(f"this keeper is {self.state.id}, not {batch.to}")
        for message in batch.messages:
            self.member.receive(batch.source, message)

    def hello(self, group: str, id_: str) -> None:
        """Somebody wants to belong. Raises Refused, NotLeader."""
        if group != self.state.group:
            raise Refused(f"this keeper is of the group '{self.state.group}', not of '{group}'")
        if not self.leads:
            raise r.NotLeader(self.member.core.leader)
        store, name = self.state.store, name_of(id_)
        if f"mastlift/removed/{name}" in store.entries or (
                name not in self.group.members and f"mastlift/admit/{name}" not in store.entries):
            raise Refused(f"'{name}' is no member: add it with `mastlift group add {name}`")
        self.hellos[name] = id_

    async def _say_hello(self) -> None:
        """Until this keeper belongs."""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(1.0)) as http:
            while True:
                if self.state.id not in self.member.core.members.all():
                    for name, address in self.group.members.items():
                        if name == name_of(self.state.id):
                            continue
                        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                            async with http.post(f"http://{address}/v1/group/hello",
                                                 json={"group": self.state.group, "id": self.state.id}) as response:
                                await response.read()
                await asyncio.sleep(HELLO_S)

    async def _admit(self) -> None:
        """The leader's part: take in those who said hello, one step at a time."""
        while True:
            await asyncio.sleep(ADMIT_S)
            if self.leads:
                self._note_heard()
                for id_ in list(self.hellos.values()):
                    with contextlib.suppress(r.NotLeader, r.NotNow):
                        self._step(id_)
            else:
                self.hellos.clear()

    def _note_heard(self) -> None:
        """Keep for good who had a part of the log: its folder must never begin the group again."""
        core = self.member.core
        heard = [core.id, *(id_ for id_, progress in core.peers.items() if progress.match)]
        for id_ in heard:
            if HEARD + id_ not in self.state.store.entries and core.log.term(core.commit) == core.term:
                self.member.propose(c.ENCODE(c.Envelope(c.Put(HEARD + id_, b"", 0, 0)))).add_done_callback(_seen_to)

    def _step(self, id_: str) -> None:
        core, name = self.member.core, name_of(id_)
        members, same = core.members, [one for one in core.members.all() if name_of(one) == name and one != id_]
        if id_ in members.voters and not same:
            del self.hellos[name]
        elif same and any(now_ms() - core.peers[one].heard < GONE_MS for one in same if one in core.peers):
            return  # a live member has this name
        elif same or id_ not in members.all():
            gone = same[:1]
            learners = tuple(one for one in members.learners if one not in gone and one != id_)
            self.member.change(lambda _: Members(tuple(v for v in members.voters if v not in gone), (*learners, id_)))
            self.log.info("member_taken_in", id=id_, instead=gone)
        elif core.peers[id_].match >= core.commit - 100:
            self.member.change(lambda _: Members((*members.voters, id_),
                                                 tuple(one for one in members.learners if one != id_)))
            self.log.info("member_votes", id=id_)

    def remove(self, name: str) -> None:
        """Raises NotLeader, NotNow, KeyError."""
        members = self.member.core.members
        gone = [one for one in members.all() if name_of(one) == name]
        if not gone:
            raise KeyError(name)
        self.member.change(lambda _: Members(tuple(v for v in members.voters if v not in gone),
                                             tuple(one for one in members.learners if one not in gone)))

    def hand_over(self, name: str) -> None:
        """Raises NotLeader, NotNow, KeyError."""
        for id_ in self.member.core.members.voters:
            if name_of(id_) == name:
                self.member.hand_over(id_)
                return
        raise KeyError(name)

    def status(self) -> dict[str, object]:
        core = self.member.core
        members = core.members
        return {"group": self.state.group, "id": core.id, "role": core.role.value, "term": core.term,
                "leader": core.leader, "commit": core.commit, "applied": self.index, "last": core.log.last,
                "heard": [key.removeprefix(HEARD) for key in self.state.store.keys(HEARD)],
                "voters": list(members.voters), "learners": list(members.learners),
                "match": {id_: progress.match for id_, progress in core.peers.items()},
                "lag": {id_: core.log.last - progress.match for id_, progress in core.peers.items()},
                "silent_ms": {id_: round(now_ms() - progress.heard) for id_, progress in core.peers.items()}}

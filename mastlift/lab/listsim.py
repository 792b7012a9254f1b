"""Lists in simulated time, on the group of `groupsim`: its core, store and lease clocks, the real `Lists`, `Responder`
and `RemovalLimiter` at each keeper, servers that register and renew over a bad network, and proxies with the real
discovery client.

The rules: no keeper tells a caller less than it has; what a proxy holds is the true list of its revision; nothing told
is older than `cut_off`; time alone takes at most a share within one lease time; after all has healed everybody has the
true list, and every server is in it.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import orjson

from balancing.api import ListChanged
from mastlift.consensus import core as r
from mastlift.discovery.lists import LIST, list_key, tier_and_id
from mastlift.discovery.removal_limit import ExpiredLease, RemovalLimiter
from mastlift.discovery.responder import Responder, ResponseKind, Step
from mastlift.lab.groupsim import Node
from mastlift.lab.leasesim import LeaseGroup
from mastlift.store import commands as c
from mastlift.store.history import Compacted
from mastlift.store.machine import LIST_BASE_KEY
from proxy import discovery as client_
from proxy.config import Address
from proxy.watch import ObjectSplitter, WatchConnection

TIER, BASE = "t", 1_000_000
SERVERS, PROXIES = 10, 3
TTL_MS, SHARE = 900, 0.3
CUT_OFF_MS, READ_MS = 600.0, 400.0
MARGIN_MS = 400.0  # ticks, message delays and unequal clocks, beside CUT_OFF_MS
LENGTH_MS = 16_000.0
Reply = Callable[[c.Result | None], None]


class Loop:
    """The part of an event loop that the client uses, in simulated time."""

    def __init__(self, group: ListGroup) -> None:
        self._group = group

    def time(self) -> float:
        return self._group.now / 1000.0

    def call_later(self, seconds: float, call: Callable[..., object], *args: Any) -> Timer:
        timer = Timer()

        def due() -> None:
            if not timer.cancelled:
                call(*args)

        self._group.after(seconds * 1000.0, due)
        return timer


class Drawn(random.Random):
    """In place of the client's `random`: the same draws for the same seed."""

    Random = random.Random


class Timer:
    cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


@dataclass(slots=True, eq=False)
class Served:
    """One keeper's side of the lists. Ends with its process."""

    node: Node
    responder: Responder
    removal_limiter: RemovalLimiter
    watches: list[SimWatch] = field(default_factory=list)
    reading: bool = False


class SimWatch(WatchConnection):
    """A proxy's call over the simulated network, in place of sockets; lines are read by the real client's code."""

    def __init__(
        self,
        owner: client_.Discovery,
        target: str,
        host: str,
        first_line_timeout_s: float,
        silence_timeout_s: float,
        life: str = "",
    ) -> None:
        self.group: ListGroup = owner.loop._group  # type: ignore[attr-defined]
        self._owner, self._given, self.life = owner, life, ""
        self.index, self.told, self._ended = int(target.rpartition("=")[2]), 0, False
        self._last_received_at, self._timeout_s, self._silence_timeout_s = (
            owner.loop.time(),
            first_line_timeout_s,
            silence_timeout_s,
        )
        self._splitter = ObjectSplitter()
        self.opened_at, self._silent, self.is_answered, self.has_list = self._last_received_at, False, False, False
        self.was_closed = self.was_refused = False  # the simulated network only cuts
        self._last, self._cut = 0.0, False
        self._silence_timer = owner.loop.call_later(first_line_timeout_s, self._check_silence)

    def open(self, address: Address) -> None:
        self.node_id = address[0]
        self.group.travel(lambda: self.group.call_lists(self))

    def end(self, reason: str, notify_owner: bool = True) -> None:
        if self._ended:
            return
        self._ended = True
        self._silence_timer.cancel()
        if notify_owner:
            self._owner.ended(self, reason)

    @property
    def was_connected(self) -> bool:
        """A node of the simulated group answers a call that it takes at once."""
        return self.is_answered

    @property
    def over(self) -> bool:
        return self._ended

    def deliver(self, line: bytes) -> None:
        """In order, each after its way."""
        self._last = max(self._last, self.group.now + self.group.rng.expovariate(1 / 5.0))
        self.group.at(self._last, lambda: self._hear(line))

    def _hear(self, line: bytes) -> None:
        self._cut = self._cut or self.node_id in self.group.mute  # a stream with a hole in it goes on nowhere
        if self._ended or self._cut:
            return
        self._take(line.strip() + b"\n")


class Server:
    """Registers, renews, and now and then says goodbye and comes back."""

    def __init__(self, group: ListGroup, number: int) -> None:
        self.group, self.id, self.rng = group, f"s{number}", random.Random(group.seed * 31 + number)
        self.lease, self.wanted, self.starts = 0, True, 0

    def call(self, command: c.Command, heard: Reply) -> None:
        open_ = [True]

        def answer(result: c.Result | None) -> None:
            if open_[0]:
                open_[0] = False
                heard(result)

        def lost() -> bool:
            calm = self.group.now > self.group.length * self.group.faults.calm_from
            return (not calm and self.rng.random() < 0.03) or self.id in self.group.deaf_servers

        def there() -> None:
            if not lost():
                self.group.submit(
                    command,
                    lambda result: (
                        None if lost() else self.group.after(self.rng.expovariate(1 / 6.0), lambda: answer(result))
                    ),
                )

        self.group.after(self.rng.expovariate(1 / 6.0), there)
        self.group.after(250.0, lambda: answer(None))

    def enter(self) -> None:
        self.starts += 1
        start = self.starts

        def granted(result: c.Result | None) -> None:
            if result is None or start != self.starts:
                self.group.after(self.rng.uniform(30, 150), self.enter) if start == self.starts else None
                return
            self.lease = result.number
            self.put(start)

        self.call(c.Grant(TTL_MS), granted)

    def put(self, start: int) -> None:
        """Until it is heard."""

        def heard(result: c.Result | None) -> None:
            if start != self.starts or not self.wanted:
                return
            if result is None:
                self.put(start)
            elif result.outcome is c.Outcome.NO_LEASE:
                self.enter()
            else:
                self.renew(start)

        value = orjson.dumps({"host_port": "h:1", "up_since_ms": start})
        self.call(c.Put(list_key(TIER, self.id), value, self.lease), heard)

    def renew(self, start: int) -> None:
        if start != self.starts or not self.wanted:
            return

        def heard(result: c.Result | None) -> None:
            if start != self.starts:
                return
            if result is not None and result.outcome is c.Outcome.NO_LEASE:
                self.enter()
                return
            self.group.after(self.rng.uniform(0.75, 1.0) * TTL_MS / 5, lambda: self.renew(start))

        self.call(c.Renew(self.lease), heard)

    def leave(self) -> None:
        """A goodbye, said until it is heard; back after a while."""
        self.wanted, lease = False, self.lease

        def heard(result: c.Result | None) -> None:
            if result is None:
                self.call(c.Revoke(lease), heard)
            else:
                self.group.after(self.rng.uniform(200, 1500), self.back)

        self.call(c.Revoke(lease), heard)

    def back(self) -> None:
        self.wanted = True
        self.enter()


class ListGroup(LeaseGroup):
    """One schedule."""

    KINDS = (
        "crash",
        "crash at sync",
        "pause",
        "cut",
        "one way",
        "hand over",
        "servers deaf",
        "goodbye",
        "goodbye",
        "mute",
        "long cut",
    )

    def __init__(self, seed: int, without: frozenset[int] = frozenset()) -> None:
        self.served: dict[str, Served] = {}
        self.mute: set[str] = set()  # keepers whose answers proxies don't get
        self.deaf_servers: set[str] = set()
        self.true_lists: dict[int, dict[str, int]] = {0: {}}  # by revision: server -> its start
        self.newest = 0
        self.known_at: list[tuple[float, int]] = [(0.0, 0)]  # when which revision was committed
        self.ended: list[float] = []  # when time alone took a server
        super().__init__(seed, LENGTH_MS, without)
        self.servers = [Server(self, number) for number in range(SERVERS)]
        self.proxies: list[client_.Discovery] = []
        self.highest: dict[int, int] = {}
        for server in self.servers:
            self.after(700.0 + server.rng.uniform(0, 300), server.enter)
        self.after(600.0, self._put_base)
        self.after(900.0, self._begin_proxies)

    def _put_base(self) -> None:
        self.submit(c.Put(LIST_BASE_KEY, b"%d" % BASE, 0, 0), lambda result: None)
        if not any(one.responder.lists.base for one in self.served.values()) and self.now < 5000:
            self.after(100.0, self._put_base)

    def _begin_proxies(self) -> None:
        addresses = [(id_, 1) for id_ in self.nodes]
        for number in range(PROXIES):
            reader = client_.ListReader([], [])
            proxy = client_.Discovery(
                Loop(self),  # type: ignore[arg-type]
                addresses,
                reader,
                False,
                {},
                lambda change, _, number=number: self._taken(number, change),  # type: ignore[misc]
            )
            proxy._rotation._rng.seed(self.seed * 7 + number)
            proxy._rotation._addresses = (
                sorted(addresses)[number % len(addresses) :] + sorted(addresses)[: number % len(addresses)]
            )
            self.proxies.append(proxy)
            proxy.start()

    # --- a keeper's side ---

    def lists_of(self, node: Node) -> Served:
        served = self.served.get(node.id)
        if served is None or served.node is not node:
            if served is not None:
                self._break_watches(served)
            served = self.served[node.id] = Served(node, Responder(CUT_OFF_MS), RemovalLimiter(SHARE))
            self._load(served)
        return served

    def _load(self, served: Served) -> None:
        store = served.node.store
        oldest = store.history.oldest
        served.responder.lists.load(store.revision, store.keys, store.entries, store.history.after(oldest), oldest)

    def _break_watches(self, served: Served) -> None:
        for watch in served.watches:
            self.travel(lambda watch=watch: watch.end("the connection broke"))  # type: ignore[misc]
        served.watches.clear()

    def travel(self, event: Callable[[], None]) -> None:
        self.after(self.rng.expovariate(1 / 5.0), event)

    def _check_state(self, node: Node) -> None:
        super()._check_state(node)
        self._feed(self.lists_of(node))

    def _feed(self, served: Served) -> None:
        """What the service's `catch_up` does."""
        node, lists = served.node, served.responder.lists
        if node.store.revision == lists.revision:
            return
        base = lists.base
        try:
            lines = lists.apply(node.store.history.after(lists.revision), node.store.entries, node.store.revision)
        except Compacted:
            self._load(served)
            self._break_watches(served)
            return
        if lists.base != base:
            self._break_watches(served)
        for line in lines.values():
            for watch in served.watches:
                self._tell(watch, line)

    def _tell(self, watch: SimWatch, line: bytes) -> None:
        if line.strip():
            revision = int(orjson.loads(line)["revision"])
            if revision < (has := max(watch.index, watch.told)):
                raise self.broken(f"{watch.node_id} tells {revision} to a caller that has {has}")
            watch.told = revision
        watch.deliver(line)

    def _tick(self, node: Node, life: int) -> None:
        super()._tick(node, life)
        if not self._alive(node, life) or self.now < node.paused_until:
            return
        served = self.lists_of(node)
        self._look(served)
        served.watches = [watch for watch in served.watches if not watch.over]
        if served.watches:
            self._must_be_fresh(served)
        if self.rng.random() < 0.01:  # empty lines
            for watch in served.watches:
                watch.deliver(b"\n")

    def _must_be_fresh(self, served: Served) -> None:
        before = self.now - CUT_OFF_MS - MARGIN_MS
        wanted = next((revision for at, revision in reversed(self.known_at) if at < before), 0)
        if served.responder.lists.revision < wanted:
            raise self.broken(
                f"{served.node.id} tells revision {served.responder.lists.revision}, and {wanted} was "
                f"committed more than {CUT_OFF_MS + MARGIN_MS:.0f} ms ago"
            )

    def _look(self, served: Served) -> None:
        node = served.node
        step = served.responder.next_step(self.now * node.rate)
        if step is Step.END_WATCHES:
            self.seen["keeper out of touch"] += 1
            self._break_watches(served)
        if step is not Step.NOTHING and not served.reading:
            self._read_through(served, lambda good: None)

    def _read_through(self, served: Served, done: Callable[[bool], None]) -> None:
        """A read through the leader; `done` hears whether it came back in time."""
        node, life, began, open_ = served.node, served.node.life, self.now * served.node.rate, [True]
        served.reading = True

        def over(good: bool) -> None:
            if open_[0] and self._alive(node, life):
                open_[0], served.reading = False, False
                if good:
                    self._feed(served)
                    served.responder.record_catch_up(began)
                done(good)

        def wait(index: int) -> None:
            if open_[0]:
                over(True) if node.applied >= index else self.after(3.0, lambda: wait(index))

        leader = self.nodes.get(node.core.leader)
        self.after(READ_MS, lambda: over(False))
        if leader is None or not leader.up:
            return
        there, back = (node.id, leader.id), (leader.id, node.id)

        def ask() -> None:
            if there in self.cut or not leader.up or self.now < leader.paused_until:
                return
            self._number += 1
            token = 1_000_000 + self._number
            try:
                actions = leader.core.read(token, self.now * leader.rate)
            except r.NotLeader:
                return
            leader.tokens[token] = lambda index: (
                None if index is None or back in self.cut else self.travel(lambda: wait(index))
            )
            self._do(leader, actions)

        self.travel(ask)

    def call_lists(self, watch: SimWatch) -> None:
        """A proxy's call arrives."""
        node = self.nodes.get(watch.node_id)
        if node is None or not node.up:
            self.travel(lambda: watch.end("not connected"))
            return
        if self.now < node.paused_until:
            self.at(node.paused_until + 1.0, lambda: self.call_lists(watch))
            return
        served = self.lists_of(node)
        self._look(served)
        say = served.responder.answer(TIER, watch.index, True)
        if say is ResponseKind.CATCH_UP:
            self._read_through(
                served,
                lambda good: self._answer(
                    served,
                    watch,
                    served.responder.answer(TIER, watch.index, True, read=True) if good else ResponseKind.UNAVAILABLE,
                ),
            )
        else:
            self._answer(served, watch, say)

    def _answer(self, served: Served, watch: SimWatch, say: ResponseKind) -> None:
        if say is ResponseKind.UNAVAILABLE:
            self.seen["not now"] += 1
            self.travel(lambda: watch.end("over, status 503"))
            return
        self.seen[f"told {say.value}"] += 1
        self._must_be_fresh(served)
        self._tell(
            watch,
            served.responder.changes_or_whole(TIER, watch.index)
            if say is ResponseKind.CHANGES
            else served.responder.lists.whole(TIER),
        )
        served.watches.append(watch)

    def may_end(self, node: Node, due: list[c.Revoke]) -> list[c.Revoke]:
        servers = []
        for revoke in due:
            lease = node.store.leases.get(revoke.lease)
            if lease is not None and any(key.startswith(LIST) for key in lease.keys):
                servers.append(ExpiredLease(revoke.lease, lease.ttl_ms, (TIER,)))
        served = self.lists_of(node)
        tier = served.responder.lists.tiers.get(TIER)
        ends = served.removal_limiter.may_end(self.now * node.rate, servers, {TIER: len(tier.members) if tier else 0})
        if served.removal_limiter.held:
            self.seen["held"] += 1
        held = {one.lease for one in servers} - ends
        return [revoke for revoke in due if revoke.lease not in held]

    # --- what is true ---

    def _committed(self, node: Node, index: int) -> None:
        before = len(self.committed)
        super()._committed(node, index)
        if len(self.committed) > before:
            self._note_truth()

    def _note_truth(self) -> None:
        while self._referee.index < len(self.committed):
            at = self._referee.index
            entry = self.committed[at]
            command = c.DECODE_ENVELOPES(entry.data)[0].command if entry.data else None
            by_time = isinstance(command, c.Revoke) and command.renewals >= 0
            before = self._referee.revision
            if entry.data:
                self._results[at + 1] = self._referee.apply(c.DECODE_ENVELOPES(entry.data)[0])
            else:
                self._referee.index += 1
            if self._referee.revision == before:
                continue
            was, now = self.true_lists[self.newest], {}
            for key in self._referee.keys(LIST):
                found = tier_and_id(key)
                assert found is not None
                now[found[1]] = int(orjson.loads(self._referee.entries[key].value)["up_since_ms"])
            self.newest = self._referee.revision
            self.true_lists[self.newest] = now
            self.known_at.append((self.now, self.newest))
            if by_time and len(now) < len(was):
                self._time_took_one()

    def _time_took_one(self) -> None:
        """The share is of the list as it was when it was decided: goodbyes may make it smaller meanwhile, and those who
        come larger."""
        since = self.now - TTL_MS - MARGIN_MS
        self.ended = [at for at in self.ended if at > self.now - TTL_MS + MARGIN_MS]  # a commit may come late
        self.ended.append(self.now)
        listed = max(
            len(self.true_lists[revision])
            for i, (_, revision) in enumerate(self.known_at)
            if i + 1 == len(self.known_at) or self.known_at[i + 1][0] > since
        )
        listed = max(listed, len(self.true_lists[self.newest]) + len(self.ended))
        self.seen["taken by time"] += 1
        if len(self.ended) > max(1, int(SHARE * listed)):
            raise self.broken(f"time alone took {len(self.ended)} of {listed} servers within one lease time")

    def _taken(self, number: int, change: ListChanged) -> None:
        """A proxy's decisions were told something."""
        proxy = self.proxies[number]
        told = proxy.full_list()
        revision = told["revision"] - BASE
        if revision < self.highest.get(number, 0):
            raise self.broken(f"proxy {number} goes back from revision {self.highest[number]} to {revision}")
        self.highest[number] = revision
        self.seen["taken"] += 1
        holds = {member["id"]: member["up_since_ms"] for member in told["members"]}
        if holds != self.true_lists.get(revision):
            raise self.broken(
                f"proxy {number} at revision {revision} holds {holds}, the list then was "
                f"{self.true_lists.get(revision)}"
            )

    # --- faults of its own ---

    def fault_of(self, kind: str, node: Node, rng: random.Random) -> None:
        """What `Group._fault` does not know."""
        if kind == "servers deaf":
            count = rng.choice((2, SERVERS // 2, SERVERS))
            self.deaf_servers = {server.id for server in rng.sample(self.servers, count)}
            self.after(rng.uniform(0.5, 4.0) * TTL_MS, self.deaf_servers.clear)
        elif kind == "goodbye":
            server = rng.choice(self.servers)
            if server.wanted and server.lease:
                server.leave()
        elif kind == "mute":
            self.mute.add(node.id)
            self.after(rng.uniform(500, 4000), lambda: self.mute.discard(node.id))
        elif kind == "long cut":
            for other in self.nodes.keys() - {node.id}:
                self.cut |= {(node.id, other), (other, node.id)}
            self.after(rng.uniform(1500, 5000), self.cut.clear)

    def _calm(self) -> None:
        super()._calm()
        self.mute.clear()
        self.deaf_servers.clear()

    def run(self) -> None:
        with (
            mock.patch.object(client_, "WatchConnection", SimWatch),
            mock.patch.object(client_, "random", Drawn(self.seed)),
        ):
            super().run()
        self._note_truth()
        truth = self.true_lists[self.newest]
        missing = {server.id for server in self.servers if server.wanted} - truth.keys()
        if missing:
            raise self.broken(f"{sorted(missing)} live and are not listed")
        for number, proxy in enumerate(self.proxies):
            holds = {member["id"]: member["up_since_ms"] for member in proxy.full_list()["members"]}
            if holds != truth:
                raise self.broken(f"after all has healed proxy {number} holds {holds}, the list is {truth}")


def check_lists(seed: int, without: frozenset[int] = frozenset()) -> Counter[str]:
    """One schedule; what happened in it. Raises Broken."""
    group = ListGroup(seed, without)
    group.run()
    if not group.seen["taken"]:
        raise group.broken("no proxy was ever told a list")
    return group.seen

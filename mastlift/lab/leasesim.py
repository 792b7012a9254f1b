"""Leases on a group in simulated time: the keepers' clocks, who proposes their ends, and calls from outside."""

from __future__ import annotations

from collections.abc import Callable

from mastlift.consensus import core as r
from mastlift.lab.groupsim import Group, Node
from mastlift.store import commands as c
from mastlift.store.leases import LeaseClock
from mastlift.store.machine import Store


class LeaseGroup(Group):
    """A group's schedule whose leader ends leases, with the real arithmetic."""

    def __init__(self, seed: int, length_ms: float = 12_000.0, without: frozenset[int] = frozenset()) -> None:
        self.clocks: dict[str, tuple[int, LeaseClock]] = {}
        self._results: dict[int, c.Result] = {}
        self._referee = Store()
        super().__init__(seed, length_ms=length_ms, without=without)

    # --- the keepers' time ---

    def _clock(self, node: Node) -> LeaseClock:
        life, clock = self.clocks.get(node.id, (-1, LeaseClock(0.0)))
        if life != node.life:
            clock = LeaseClock(self.now * node.rate, self._leases(node))
            self.clocks[node.id] = node.life, clock
        return clock

    @staticmethod
    def _leases(node: Node) -> list[tuple[int, int, int]]:
        return [(lease, one.ttl_ms, one.renewals) for lease, one in node.store.leases.items()]

    def _role(self, node: Node, change: r.RoleChanged) -> None:
        super()._role(node, change)
        if change.role is r.Role.LEADER:
            self.clocks[node.id] = node.life, LeaseClock(self.now * node.rate, self._leases(node))

    def _check_state(self, node: Node) -> None:
        super()._check_state(node)
        log, clock, now = node.core.log, self._clock(node), self.now * node.rate
        if not log.base < node.applied <= log.last:
            return
        entry = log.entries[node.applied - log.base - 1]
        command = c.DECODE_ENVELOPES(entry.data)[0].command if entry.data else None
        if isinstance(command, c.Grant | c.Renew | c.Revoke):
            lease = node.applied if isinstance(command, c.Grant) else command.lease
            standing = node.store.leases.get(lease)
            if standing is None:
                clock.ended(lease)
            elif not isinstance(command, c.Revoke):
                clock.started(lease, standing.ttl_ms, standing.renewals, now)

    def _tick(self, node: Node, life: int) -> None:
        super()._tick(node, life)
        if self._alive(node, life) and self.now >= node.paused_until:
            due = self._clock(node).tick(self.now * node.rate)
            if node.core.role is r.Role.LEADER:
                for revoke in self.may_end(node, due):
                    self._propose(node, self.ending(revoke))

    def may_end(self, node: Node, due: list[c.Revoke]) -> list[c.Revoke]:
        return due

    def ending(self, revoke: c.Revoke) -> c.Revoke:
        return revoke

    def _propose(self, node: Node, command: c.Command) -> int:
        try:
            index, actions = node.core.propose([c.encode([c.Envelope(command)])], self.now * node.rate)
        except (r.NotLeader, r.NotNow):
            return 0
        self._do(node, actions)
        return index

    def submit(self, command: c.Command, heard: Callable[[c.Result], None]) -> None:
        """A holder's call at a member that thinks it leads; answered only if it is committed there."""
        node = self._leader()
        if node is None:
            return
        term, life = node.core.term, node.life
        index, until = self._propose(node, command), self.now + 3000.0

        def look() -> None:
            if not index or not self._alive(node, life) or self.now > until:
                return
            if node.applied < index:
                self.after(2.0, look)
            elif len(self.committed) >= index and self.committed[index - 1].term == term:
                heard(self.results[index])

        look()

    @property
    def results(self) -> dict[int, c.Result]:
        """What each committed command came to, by a state machine that stands apart."""
        while self._referee.index < len(self.committed):
            entry = self.committed[self._referee.index]
            if entry.data:
                result = self._referee.apply(c.DECODE_ENVELOPES(entry.data)[0])
                self._results[self._referee.index] = result
            else:
                self._referee.index += 1
        return self._results

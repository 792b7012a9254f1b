"""Rules broken on purpose, by name, to see that the checkers find it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from msgspec import structs

from mastlift.configuration import core as config_core
from mastlift.configuration import saved
from mastlift.consensus import core, persistence
from mastlift.consensus.log import Log
from mastlift.consensus.messages import AppendReply, Entry, Message, Vote, VoteReply
from mastlift.discovery import lists, removal_limit, responder
from mastlift.durable import commit, frames, journal
from mastlift.durable.disk import Disk
from mastlift.duty import clock
from mastlift.lab import configsim, dutysim, groupsim, leasesim
from mastlift.lab.simdisk import SimDisk
from mastlift.store.commands import Revoke
from mastlift.store.machine import Store


def _put_without_sync(self: journal.Journal, pieces: tuple[bytes, ...]) -> None:
    assert self._file is not None
    self._file.write(*pieces)


def _leave_tail(disk: Any, name: str, open_: journal.Journal, torn: Any, recovery: Any) -> None:
    open_._file = disk.append(name)
    if torn is not None:
        open_._file.truncate(open_.size)


MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "ack-before-sync": (journal.Journal, "_put", _put_without_sync),
    "no-folder-sync": (SimDisk, "sync_directory", lambda self: self.step()),
    "unchained": (frames, "chain", lambda frame: 0),
    "tail-left-unsynced": (journal, "_make_tail_durable", _leave_tail),
    "any-tail-is-torn": (frames, "find_valid_frame", lambda *_: None),
}


_send, _on_vote, _put, _load, _append = (
    core.Core._send,
    core.Core._on_vote,
    Log.put,
    groupsim.load_snapshot,
    core.Core._append,
)


def _send_at_once(kind: type[Any]) -> Any:
    def send(self: core.Core, to: str, message: Message, after_sync: bool = False) -> None:
        _send(self, to, message, after_sync and not isinstance(message, kind))

    return send


def _vote_for_any_log(self: core.Core, source: str, ask: Vote) -> None:
    _on_vote(self, source, structs.replace(ask, last_index=1 << 60, last_term=1 << 60))


def _vote_again(self: core.Core, source: str, ask: Vote) -> None:
    self.vote = ""
    _on_vote(self, source, ask)


def _advance_by_count(self: core.Core) -> None:
    held = sorted(
        (
            self.synced_to if voter == self.id else self.peers[voter].match if voter in self.peers else 0
            for voter in self.members.voters
        ),
        reverse=True,
    )
    if held[self.members.majority - 1] > self.commit:
        self.commit = held[self.members.majority - 1]
        self._actions.append(core.Commit(self.commit))


def _read_at_once(self: core.Core, token: int) -> None:
    self._actions.append(core.ReadReady(token, self.commit))


def _count_unsynced(self: core.Core, entries: list[Entry]) -> int:
    self.synced_to = self.log.last + len(entries)
    return _append(self, entries)


def _keep_conflicts(self: Log, first: int, entries: Any) -> None:
    _put(self, max(first, self.last + 1), entries[max(0, self.last + 1 - first) :])


def _forget_sessions(data: bytes) -> Store:
    store = _load(data)
    store.sessions.by_id = {number: type(session)() for number, session in store.sessions.by_id.items()}
    return store


def _empty_in_place(self: groupsim.Group, node: groupsim.Node) -> None:
    self.crash(node)
    self._make(node.id, node.name, groupsim.Durable(base_members=self._newest_members()))


def _no_pre_vote(self: core.Core, pre: bool, handed_over: bool = False) -> None:
    _start_election(self, False, handed_over)


_start_election = core.Core._start_election

GROUP_MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "vote-not-synced": (core.Core, "_send", _send_at_once(VoteReply)),
    "append-not-synced": (core.Core, "_send", _send_at_once(AppendReply)),
    "leader-counts-unsynced": (core.Core, "_append", _count_unsynced),
    "older-term-by-count": (core.Core, "_advance", _advance_by_count),
    "read-without-majority": (core.Core, "_begin_read", _read_at_once),
    "two-changes-at-once": (Log, "last_change", property(lambda self: 0)),
    "no-pre-vote": (core.Core, "_start_election", _no_pre_vote),
    "snapshot-without-sessions": (groupsim, "load_snapshot", _forget_sessions),
    "conflicts-kept": (Log, "put", _keep_conflicts),
    "emptied-disk-votes": (groupsim.Group, "_empty", _empty_in_place),
    "vote-for-any-log": (core.Core, "_on_vote", _vote_for_any_log),
    "two-votes-a-term": (core.Core, "_on_vote", _vote_again),
}


def _count_from_answer(self: dutysim.Holder, sent: float) -> None:
    self.clock.renewed(self.now())


def _never_ask_the_clock(self: clock.HolderClock, now: float) -> clock.HoldState:
    return clock.HoldState.LOST if self.lost else clock.HoldState.HELD


def _no_time_again(node: groupsim.Node) -> list[tuple[int, int, int]]:
    return [(lease, 1, one.renewals) for lease, one in node.store.leases.items()]


def _end_whatever_came(self: leasesim.LeaseGroup, revoke: Revoke) -> Revoke:
    return Revoke(revoke.lease)


def _count_anew(data: bytes) -> Store:
    """A start that takes the newest key's revision for the store's: what was deleted since is forgotten."""
    store = _load(data)
    store.revision = max((entry.changed for entry in store.entries.values()), default=0)
    return store


_watch, _guard_now = dutysim.Guard.watch, dutysim.Guard.now


def _watch_late(self: dutysim.Guard, kill_at: float) -> None:
    _watch(self, kill_at + 100.0)


def _wall_time(self: dutysim.Guard) -> float:
    """A clock that is set by up to 0.7 s either way, once a second."""
    return _guard_now(self) + (int(self.group.now // 1000.0) % 3 - 1) * 700.0


DUTY_MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "lease-counted-from-answer": (dutysim.Holder, "renewed", _count_from_answer),
    "clock-not-asked": (clock.HolderClock, "state", _never_ask_the_clock),
    "new-leader-ends-leases": (leasesim.LeaseGroup, "_leases", staticmethod(_no_time_again)),
    "token-reused-after-restart": (groupsim, "load_snapshot", _count_anew),
    "no-guard": (dutysim.Guard, "_look", lambda self: None),
    "guard-ends-late": (dutysim.Guard, "watch", _watch_late),
    "guard-trusts-wall-time": (dutysim.Guard, "now", _wall_time),
    "end-despite-renewal": (leasesim.LeaseGroup, "ending", _end_whatever_came),
}


_answer, _load_lists, _after = responder.Responder.answer, lists.Lists.load, lists.Lists.after


def _serve_who_is_ahead(
    self: responder.Responder, tier: str, index: int | None, same_life: bool, read: bool = False
) -> responder.ResponseKind:
    return _answer(self, tier, index, same_life, True)


def _never_out_of_touch(self: responder.Responder, now: float) -> responder.Step:
    return responder.Step.NOTHING if self.ready else responder.Step.CATCH_UP


def _ready_at_once(self: responder.Responder, now: float) -> responder.Step:
    self.record_catch_up(now)
    return responder.Step.NOTHING


def _all_may_end(self: removal_limit.RemovalLimiter, now: float, due: Any, listed: Any) -> set[int]:
    return {one.lease for one in due}


def _line_without_the_gone(self: lists.Lists, tier: str, ids: list[str]) -> bytes:
    place = self._tier(tier)
    members = [place.members[id_] for id_ in ids if id_ in place.members]
    return lists.ENCODE(lists.ListUpdate(self.published_revision, False, members)) + b"\n"


def _load_as_if_all_known(
    self: lists.Lists, revision: int, keys: Any, entries: Any, recent: Any = (), oldest: int | None = None
) -> None:
    _load_lists(self, revision, keys, entries, (), 0)


LIST_MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "ahead-is-served": (responder.Responder, "answer", _serve_who_is_ahead),
    "cut-off-keeper-goes-on": (responder.Responder, "next_step", _never_out_of_touch),
    "told-before-caught-up": (responder.Responder, "next_step", _ready_at_once),
    "time-takes-all": (removal_limit.RemovalLimiter, "may_end", _all_may_end),
    "gone-not-told": (lists.Lists, "_line", _line_without_the_gone),
    "changes-lost-at-a-start": (lists.Lists, "load", _load_as_if_all_known),
}


_dump = persistence.dump


def _dump_without_vote(id_: str, group: str, term: int, vote: str, log: Log, store: Store) -> Iterator[bytes]:
    return _dump(id_, group, term, "", log, store)


def _dump_without_tail(id_: str, group: str, term: int, vote: str, log: Log, store: Store) -> Iterator[bytes]:
    return _dump(
        id_,
        group,
        term,
        vote,
        Log(log.base, log.base_term, log.base_members, log.entries[: store.index - log.base]),
        store,
    )


MEMBER_MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "ack-before-sync": MUTATIONS["ack-before-sync"],
    "snapshot-within-a-frame": (commit.GroupCommit, "fence", lambda self: None),
    "snapshot-without-vote": (persistence, "dump", _dump_without_vote),
    "snapshot-without-tail": (persistence, "dump", _dump_without_tail),
}


_signalled, _learned_version, _repair = (
    config_core.AgentCore._signalled,
    config_core.AgentCore._learned,
    config_core.AgentCore._repair,
)
_begin_trial, _written = config_core.AgentCore._begin_trial, config_core.AgentCore._written


def _goal_without_floor(self: config_core.AgentCore) -> config_core.Candidate | None:
    return next(
        (one for one in (self.target, self.last_good) if one is not None and one.digest not in self._refusals), None
    )


def _in_force_unsaved(
    self: config_core.AgentCore,
    target: config_core.Candidate,
) -> tuple[config_core.Condition, str]:
    return config_core.Condition.IN_FORCE, ""


def _believe_the_signal(self: config_core.AgentCore, before: config_core.ProxyState, now: float) -> None:
    if self.phase is config_core.Phase.SIGNALLING and self.trial_candidate is not None:
        _signalled(self, before, now)
        self._answered(
            config_core.ProxyState(
                before.pid, self.trial_candidate.digest, self.trial_candidate.id, before.reloads + 1, ""
            ),
            now,
        )


def _believe_the_file(self: config_core.AgentCore, candidate: config_core.Candidate, now: float) -> None:
    _written(self, candidate, now)
    self._in_force = candidate


def _learn_when_idle(self: config_core.AgentCore, candidate: config_core.Candidate) -> None:
    if self.phase is config_core.Phase.IDLE:
        _learned_version(self, candidate)


def _one_trial_each(self: config_core.AgentCore, goal: config_core.Candidate, now: float) -> None:
    if goal.digest not in self._refusals:
        _begin_trial(self, goal, now)
        self._refusals[goal.digest] = "it was tried"


def _repair_for_a_start_only(self: config_core.AgentCore, candidate: config_core.Candidate | None, now: float) -> None:
    if self.proxy_state is None:
        _repair(self, candidate, now)


def _write_in_place(disk: Disk, name: str, data: bytes) -> None:
    file = disk.create(name)
    file.write(data)
    file.sync()
    disk.sync_directory()


def _write_without_sync(disk: Disk, name: str, data: bytes) -> None:
    file = disk.create(name + ".tmp")
    file.write(data)
    disk.rename(name + ".tmp", name)
    disk.sync_directory()


CONFIG_MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "floor-not-kept": (config_core.AgentCore, "_desired_candidate", _goal_without_floor),
    "what-stands-not-adopted": (config_core.AgentCore, "_adopt_version_in_force", lambda self: None),
    "reported-before-saved": (config_core.AgentCore, "_condition_in_force", _in_force_unsaved),
    "names-left-unsynced": (configsim, "sync_directories", lambda *disks: None),
    "in-force-once-signalled": (config_core.AgentCore, "_signalled", _believe_the_signal),
    "in-force-once-written": (config_core.AgentCore, "_written", _believe_the_file),
    "burst-loses-the-last": (config_core.AgentCore, "_learned", _learn_when_idle),
    "one-trial-each": (config_core.AgentCore, "_begin_trial", _one_trial_each),
    "refused-file-left": (config_core.AgentCore, "_repair", _repair_for_a_start_only),
    "file-written-in-place": (configsim, "write_file_atomically", _write_in_place),
    "file-not-synced": (configsim, "write_file_atomically", _write_without_sync),
    "saved-not-synced": (saved, "write_file_atomically", _write_without_sync),
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Within this, the named rule is not kept. Raises KeyError for a name that is not known."""
    owner, attribute, broken = (
        MUTATIONS | GROUP_MUTATIONS | DUTY_MUTATIONS | LIST_MUTATIONS | MEMBER_MUTATIONS | CONFIG_MUTATIONS
    )[name]
    with mock.patch.object(owner, attribute, broken):
        yield

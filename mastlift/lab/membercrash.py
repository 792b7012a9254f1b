"""What a group's member keeps (`consensus.persistence`), on the disk that loses what was not synced: the histories of
`crash` with votes, terms, entries that replace others, and snapshots that hold entries behind their state.

After any crash the member is what one of its records had made it, none that was durable is missing: its vote and term,
the whole log behind the snapshot, who takes part, and a state that has committed entries only.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from concurrent.futures import Executor, Future
from dataclasses import dataclass
from typing import Any
from unittest import mock

from mastlift.consensus import persistence
from mastlift.consensus.log import Log
from mastlift.consensus.messages import Entry, Members
from mastlift.durable import commit as commit_
from mastlift.durable.commit import GroupCommit
from mastlift.durable.journal import Journal, open_journal
from mastlift.lab.crash import LIFE, SEGMENT_BYTES, Broken, History, Run, digest, draw_commands
from mastlift.lab.simdisk import Loss, SimDisk
from mastlift.store import commands as c
from mastlift.store.machine import Store

RECORDS = 90
ID, GROUP = "a.0@127.0.0.1:1", "g"
FIRST = Members((ID, "b.0@127.0.0.1:2", "c.0@127.0.0.1:3"))


@dataclass(frozen=True, slots=True)
class Stands:
    """What a member is after one of its records."""

    term: int = 0
    vote: str = ""
    entries: tuple[Entry, ...] = ()
    commit: int = 0


class MemberSubject(persistence.PersistentState):
    """A member's disk side with its store, applied as far as `commits` says for each record."""

    def __init__(self, commits: list[int]) -> None:
        super().__init__(Store())
        self.commits, self.index = commits, 0

    def reset(self) -> None:
        self.__init__(self.commits)  # type: ignore[misc]

    def apply(self, record: persistence.Record) -> None:
        self.index += 1
        self.replay(self.index, 1, persistence.ENCODE([record]))
        while self.store.index < self.commits[self.index]:
            self.store.apply(c.DECODE_ENVELOPES(self.log.entries[self.store.index - self.log.base].data)[0])

    def dump(self, block_bytes: int = 600) -> Iterator[bytes]:
        return persistence.dump(self.id, self.group, self.term, self.vote, self.log, self.store)


class MemberHistory(History):
    """Records of a member as elections and leaders make them, and what it is after each."""

    def __init__(self, seed: int) -> None:
        self.seed, self.rng = seed, random.Random(seed)
        rng, drawn = self.rng, iter(draw_commands(self.rng, 4 * RECORDS))
        self.commands = [persistence.IdentityRecord(ID, GROUP, FIRST)]
        now = Stands()
        self.stands, self.bases = [Stands(), now], dict[int, bytes]()
        while len(self.commands) < RECORDS:
            if rng.random() < 0.2:
                term = now.term + rng.randint(0, 2)
                vote = rng.choice(FIRST.voters) if term > now.term or not now.vote else now.vote
                record: persistence.Record = persistence.VoteRecord(term, vote)
                now = Stands(term, vote, now.entries, now.commit)
            else:
                first = len(now.entries) + 1
                if rng.random() < 0.25:  # a later leader's entries in place of what was not committed
                    first = rng.randint(now.commit + 1, len(now.entries) + 1)
                more = tuple(
                    Entry(
                        now.term,
                        c.encode([next(drawn)]),
                        Members((*FIRST.voters, f"d.{first}@127.0.0.1:4")) if rng.random() < 0.1 else None,
                    )
                    for _ in range(rng.randint(1, 3))
                )
                record = persistence.EntriesRecord(first, more)
                entries = now.entries[: first - 1] + more
                now = Stands(now.term, now.vote, entries, rng.randint(now.commit, len(entries)))
            self.commands.append(record)
            self.stands.append(now)
        store = Store()
        self.bases[0] = digest(store)
        for index, entry in enumerate(now.entries[: now.commit], 1):
            store.apply(c.DECODE_ENVELOPES(entry.data)[0])
            self.bases[index] = digest(store)

    def subject(self) -> MemberSubject:
        return MemberSubject([one.commit for one in self.stands])

    def encode(self, commands: list[persistence.Record]) -> bytes:
        return persistence.ENCODE(commands)

    def started(self, subject: MemberSubject, journal: Journal) -> None:
        subject.index = journal.last

    def covered(self, subject: MemberSubject, index: int) -> None:
        subject.log.compact(self.stands[index].commit)

    def check(self, subject: MemberSubject, acknowledged: int, submitted: int, where: str) -> None:
        """Raises Broken."""
        if not acknowledged <= subject.index <= submitted:
            raise Broken(
                f"{where}: {acknowledged} records were durable and {submitted} submitted, but {subject.index} are there"
            )
        stands, log = self.stands[subject.index], subject.log
        if (subject.term, subject.vote) != (stands.term, stands.vote):
            raise Broken(
                f"{where}: term and vote are {subject.term}, {subject.vote!r}; {stands.term}, {stands.vote!r} "
                f"were made durable by record {subject.index}"
            )
        if log.base > stands.commit or tuple(log.entries) != stands.entries[log.base :]:
            raise Broken(f"{where}: the log behind {log.base} is not that of record {subject.index}")
        if subject.index and log.members() != Log(0, 0, FIRST, list(stands.entries)).members():
            raise Broken(f"{where}: {log.members()} take part, by the log of record {subject.index} others do")
        if digest(subject.store) != self.bases[log.base]:
            raise Broken(f"{where}: the state of the snapshot is not that of entry {log.base}")


class _Inline(Executor):
    """In place of the log's thread: what is submitted is done at once, so that one seed replays one run."""

    def __init__(self, *_: object) -> None:
        """As a pool of one thread is made."""

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        try:
            future.set_result(fn(*args, **kwargs))
        except Exception as error:
            future.set_exception(error)
        return future


async def _commit_groups(history: MemberHistory, disk: SimDisk, rng: random.Random) -> list[tuple[SimDisk, int]]:
    """A member's records through the group commit, with snapshots begun at any moment; images of the disk, each with
    how many records were durable by then."""
    subject, images, durable = history.subject(), list[tuple[SimDisk, int]](), [0]
    journal, _ = open_journal(disk, "a", subject, lambda: LIFE, segment_bytes=SEGMENT_BYTES)

    def done(first: int, group: list[persistence.Record]) -> None:
        durable[0] = first + len(group) - 1

    def image() -> None:
        images.append((disk.image(), durable[0]))

    disk.on_step = image
    commit: GroupCommit[persistence.Record] = GroupCommit(
        journal, history.encode, done, lambda group, error: True, lambda error: None
    )
    begun: tuple[int, list[bytes]] | None = None
    for record in history.commands:
        commit.submit(record, 50)
        subject.apply(record)
        if begun is None and rng.random() < 0.2:
            commit.fence()
            begun = subject.index, list(subject.dump())
        while rng.random() < 0.3:
            await asyncio.sleep(0)
        if begun is not None and durable[0] >= begun[0]:
            writer = journal.snapshot_writer(begun[0])
            for block in begun[1]:
                writer.write(block)
            writer.finish()
            journal.snapshot_done(begun[0])
            begun = None
    await commit.stop()
    disk.on_step = lambda: None
    image()
    return images


def check_commits(seed: int) -> int:
    """The group commit under snapshots that begin while records wait; recoveries that were looked at. Raises Broken."""
    history, rng = MemberHistory(seed), random.Random(seed)
    with mock.patch.object(commit_, "ThreadPoolExecutor", _Inline):
        images = asyncio.run(_commit_groups(history, SimDisk(seed), rng))
    for step, (disk, durable) in enumerate(images):
        where = f"seed {seed}, step {step}"
        run = Run(history, disk.crash(rng.choice(list(Loss)), rng), rng)
        try:
            run.start()
        except Exception as error:
            raise Broken(f"{where}: {durable} records were durable; the start says: {error}") from error
        history.check(run.store, durable, len(history.commands), where)
    return len(images)

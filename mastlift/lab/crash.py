"""The crash checker: a journal and its store on a disk that loses what was not synced, crashed at every disk step, and
again at every step of the recovery. After any of it, all that was acknowledged is there, in order, and nothing half.

A history is drawn from a seed and replays from it: commands, groups, marks, snapshots in slices between the writes,
full disks, failed syncs, and up to three lives, each going on from what one crash of the life before left.
"""

from __future__ import annotations

import random
import re
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from mastlift.durable.disk import DiskFailed, DiskFull
from mastlift.durable.journal import Journal, StateMachine, open_journal
from mastlift.durable.snapshot import SnapshotWriter
from mastlift.lab.simdisk import Loss, SimDisk
from mastlift.store import commands as c
from mastlift.store.machine import Store

LIFE = bytes(range(16))
SEGMENT_BYTES = 1500
COMMANDS = 120


class Broken(AssertionError):
    """A rule is broken; the text says which and where."""


def digest(store: Store) -> bytes:
    """All that commands decide, in bytes."""
    return msgspec.msgpack.encode(
        [
            store.revision,
            store.index,
            sorted(store.entries.items()),
            [(lease, one.ttl_ms, one.renewals, sorted(one.keys)) for lease, one in sorted(store.leases.items())],
            [(number, one.received, sorted(one.results.items())) for number, one in store.sessions.by_id.items()],
        ]
    )


def draw_commands(rng: random.Random, count: int) -> list[c.Envelope]:
    """Commands of all kinds over few keys, sessions that repeat themselves, leases that end."""
    leases: list[int] = []
    sessions: list[int] = []
    drawn: list[c.Envelope] = []
    for index in range(1, count + 1):
        key, roll = f"key/{rng.randrange(8)}", rng.random()
        lease = rng.choice(leases) if leases and rng.random() < 0.3 else 0
        command: c.Command = c.Put(
            key, rng.randbytes(rng.choice((0, 3, 60, 400, 1300))), lease, rng.choice((-1, -1, -1, 0, index // 2))
        )
        if roll < 0.1:
            command = c.Delete(key)
        elif roll < 0.2:
            command = c.Txn(
                (c.Compare(key, c.Field.VERSION, c.Comparison.GREATER, 1),),
                (c.Put(key, b"then", lease), c.Delete("key/0")),
                (c.Get(key), c.Put("key/9", rng.randbytes(20))),
            )
        elif roll < 0.27:
            command = c.Grant(rng.randrange(1000, 9000))
            leases.append(index)
        elif roll < 0.33 and leases:
            command = c.Renew(rng.choice(leases)) if rng.random() < 0.5 else c.Revoke(rng.choice(leases))
        elif roll < 0.37:
            command = c.OpenSession()
            sessions.append(index)
        session = rng.choice(sessions) if sessions and rng.random() < 0.4 else 0
        number = rng.randrange(1, 30) if session else 0
        drawn.append(c.Envelope(command, session, number, max(0, number - 8)))
    return drawn


class Subject(StateMachine, Protocol):
    """What is crashed: a machine that knows how many commands of its history it has."""

    @property
    def index(self) -> int: ...

    def apply(self, command: Any) -> object: ...

    def dump(self, block_bytes: int = ...) -> Iterator[bytes]: ...


class History:
    """One drawn history and what the store is after each of its commands."""

    commands: list[Any]

    def __init__(self, seed: int) -> None:
        self.seed, self.rng = seed, random.Random(seed)
        self.commands = draw_commands(self.rng, COMMANDS)
        store = Store()
        self.states = [digest(store)]
        for command in self.commands:
            store.apply(command)
            self.states.append(digest(store))

    def subject(self) -> Any:
        """An empty one."""
        return Store()

    def encode(self, commands: list[Any]) -> bytes:
        return c.encode(commands)

    def started(self, subject: Any, journal: Journal) -> None:
        """It was recovered from this journal."""

    def covered(self, subject: Any, index: int) -> None:
        """A snapshot that was begun at `index` is durable."""

    def check(self, store: Any, acknowledged: int, submitted: int, where: str) -> None:
        """Raises Broken."""
        if not acknowledged <= store.index <= submitted:
            raise Broken(
                f"{where}: {acknowledged} commands were acknowledged and {submitted} submitted, "
                f"but {store.index} are there"
            )
        if digest(store) != self.states[store.index]:
            raise Broken(f"{where}: the state after command {store.index} is not what the commands make")


@dataclass(slots=True)
class Run:
    """One process's life on a disk. `acknowledged` and `submitted` count commands."""

    history: History
    disk: SimDisk
    rng: random.Random
    acknowledged: int = 0
    submitted: int = 0
    store: Any = None  # a Subject
    notes: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.store = self.history.subject()

    def start(self) -> Journal:
        journal, recovery = open_journal(self.disk, "a", self.store, lambda: LIFE, segment_bytes=SEGMENT_BYTES)
        self.notes = recovery.notes
        self.history.started(self.store, journal)
        return journal

    def work(self, journal: Journal, until: int) -> None:
        """Submit commands in groups up to `until`, with marks and snapshots between. Ends early on a full disk that
        stays full; raises DiskFailed as the disk does."""
        blocks: Iterator[bytes] | None = None
        writer: SnapshotWriter | None = None
        self.acknowledged = self.submitted = at = self.store.index
        while at < until:
            group = self.history.commands[at : at + self.rng.randint(1, 6)]
            self.submitted = at + len(group)
            try:
                journal.append(len(group), self.history.encode(group))
            except DiskFull:
                self.submitted = at
                self.disk.capacity += 4000
                continue
            self.acknowledged = at = self.submitted
            for command in group:
                self.store.apply(command)
            if self.rng.random() < 0.2:
                self._without_room(journal.mark)
            try:
                if writer is None and self.rng.random() < 0.25:
                    covered, blocks = self.store.index, self.store.dump(600)
                    writer = journal.snapshot_writer(covered)
                elif writer is not None and blocks is not None:
                    if (block := next(blocks, None)) is not None:
                        writer.write(block)
                    else:
                        writer.finish()
                        journal.snapshot_done(covered)
                        self.history.covered(self.store, covered)
                        writer = None
            except DiskFull:
                if writer is not None:
                    writer.abandon()
                writer = None
                self.disk.capacity += 4000

    @staticmethod
    def _without_room(call: Callable[[], None]) -> None:
        try:
            call()
        except DiskFull:
            return


@dataclass(frozen=True, slots=True)
class CrashPoint:
    """What may stand on the disk at one step, and what had been promised by then."""

    disk: SimDisk
    acknowledged: int
    submitted: int


@dataclass(slots=True)
class Tally:
    """What a checker has been through."""

    histories: int = 0
    crash_points: int = 0
    recoveries: int = 0
    second_crashes: int = 0
    seen: Counter[str] = field(default_factory=Counter)


def live(history: History, disk: SimDisk, rng: random.Random, until: int) -> list[CrashPoint]:
    """Let a process live on `disk`, and take an image at each of its steps."""
    run, points = Run(history, disk, rng), list[CrashPoint]()

    def image() -> None:
        points.append(CrashPoint(disk.image(), run.acknowledged, run.submitted))

    journal = run.start()
    run.acknowledged = run.submitted = run.store.index
    disk.on_step = image
    try:
        run.work(journal, until)
        journal.close()
    except DiskFailed:
        pass  # the process ends here; the group on its way may stand or not
    disk.on_step = lambda: None
    image()
    return points


def check_recovery(
    history: History, point: CrashPoint, loss: Loss, rng: random.Random, tally: Tally, where: str, thorough: bool
) -> SimDisk:
    """Crash, recover, and crash the recovery at each of its steps. Returns a disk that was recovered."""
    crashed = point.disk.crash(loss, rng)
    seconds: list[SimDisk] = []
    first = crashed.image()
    first.on_step = lambda: seconds.append(first.image())
    served = _recover(history, first, point, tally, f"{where}, {loss}")
    tally.crash_points += 1
    # What is served now has been told to somebody: it must outlive the next power loss as it is.
    _recover(
        history,
        first.crash(Loss.ALL, rng),
        CrashPoint(first, served, served),
        tally,
        f"{where}, {loss}, power loss right after",
    )
    for number, second in enumerate(seconds):
        if thorough or rng.random() < 0.2:
            tally.second_crashes += 1
            _recover(
                history,
                second.crash(rng.choice(list(Loss)), rng),
                point,
                tally,
                f"{where}, {loss}, recovery's step {number}",
            )
    return first


def _recover(history: History, disk: SimDisk, point: CrashPoint, tally: Tally, where: str) -> int:
    run = Run(history, disk, random.Random(0))
    try:
        try:
            run.start()
        except DiskFull:
            tally.seen["too full to start, then space"] += 1
            disk.capacity += 1 << 20
            run = Run(history, disk, random.Random(0))
            run.start()
    except Exception as error:
        raise Broken(f"{where}: {point.acknowledged} commands were acknowledged; the start says: {error}") from error
    tally.recoveries += 1
    tally.seen.update(re.sub(r"(log|snap)-\d+\.\w+|\d+", "#", note.split(" (")[0]) for note in run.notes)
    if any("damaged" in note for note in run.notes):
        raise Broken(f"{where}: a crash alone left damage: {run.notes}")
    history.check(run.store, point.acknowledged, point.submitted, where)
    return int(run.store.index)


def check_history(seed: int, tally: Tally, thorough: bool = True, draw: Callable[[int], History] = History) -> None:
    """One history through up to three lives. Raises Broken; the seed replays it."""
    history = draw(seed)
    rng = random.Random(seed ^ 0x5EED)
    disk = SimDisk(seed)
    if rng.random() < 0.3:
        disk.capacity = 6000
    for life in range(3):
        disk.syncs, disk.fail_sync_at = 0, rng.randrange(3, 60) if rng.random() < 0.3 else 0
        until = len(history.commands) * (life + 1) // 3
        points = live(history, disk, rng, until)
        tally.seen["disk full"] += disk.capacity not in (6000, 1 << 40)
        tally.seen["sync failed"] += 0 < disk.fail_sync_at <= disk.syncs
        recovered = None
        for step, point in enumerate(points):
            for loss in (Loss.NOTHING, Loss.ALL, Loss.SOME, Loss.SOME):
                if thorough or rng.random() < 0.25 or step == len(points) - 1:
                    recovered = check_recovery(
                        history, point, loss, rng, tally, f"seed {seed}, life {life}, step {step}", thorough
                    )
        assert recovered is not None
        disk = recovered.image()  # one that a crash at the end of this life left, recovered and not yet synced further
    tally.histories += 1

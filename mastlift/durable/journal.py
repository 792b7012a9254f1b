"""Creates, recovers, appends to and compacts the log and snapshots of one folder.

The folder holds `identity` (format, life, name), log segments `log-FIRST.seg` and snapshots `snap-INDEX.snap`. The two
newest snapshots are kept, and the log from the older one on, so that recovery is possible if the newest is damaged.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from mastlift.durable import frames
from mastlift.durable.disk import TEMPORARY_SUFFIX, Disk, DiskFailed, DiskFull, File, write_file_atomically
from mastlift.durable.frames import FORMAT, LIFE_SIZE, OLDEST_FORMAT, Kind, NewerFormat, SegmentHeader, Unreadable
from mastlift.durable.segments import (
    READ_CHUNK_BYTES,
    Damaged,
    Position,
    SegmentReader,
    TornTail,
    segment_first,
    segment_name,
)
from mastlift.durable.snapshot import SnapshotHeader, SnapshotReader, SnapshotWriter, snapshot_index, snapshot_name

IDENTITY = "identity"
KEPT_SNAPSHOTS = 2


class WrongFolder(Exception):
    """The folder is intact but belongs to another keeper, is in another format than the settings ask for, or holds
    files of another program."""


class StateMachine(Protocol):
    """The state that the log and snapshots store. It starts empty; recovery passes it the blocks of a snapshot and then
    the bodies of the log's frames, in the order in which they were written."""

    def load(self, block: bytes) -> None: ...

    def reset(self) -> None:
        """Discard the state, after a partly loaded snapshot proved to be damaged."""

    def replay(self, first: int, count: int, body: bytes) -> None: ...


class Identity(msgspec.Struct, frozen=True):
    """The owner and format of a folder. `life` is the random id, in hexadecimal, of a created or restored folder.
    `check` is the checksum of the record with `check` 0."""

    format: int
    life: str
    name: str
    check: int = 0


def encode_identity(identity: Identity) -> bytes:
    plain = msgspec.json.encode(msgspec.structs.replace(identity, check=0))
    return msgspec.json.encode(msgspec.structs.replace(identity, check=frames.checksum(plain))) + b"\n"


def read_identity(disk: Disk) -> Identity:
    """Read and verify the folder's identity. Raises Damaged, NewerFormat."""
    try:
        identity = msgspec.json.decode(disk.read(IDENTITY, 0, 1 << 16), type=Identity)
        valid = encode_identity(identity) == disk.read(IDENTITY, 0, 1 << 16)
    except msgspec.DecodeError as error:
        raise Damaged(IDENTITY, 0, f"the identity file can't be decoded: {error}") from error
    if not valid or len(bytes.fromhex(identity.life)) != LIFE_SIZE:
        raise Damaged(IDENTITY, 0, "the identity file does not match its checksum")
    if identity.format > FORMAT:
        raise NewerFormat(
            f"{IDENTITY}: written in format {identity.format}; this program reads {OLDEST_FORMAT} to {FORMAT}"
        )
    return identity


@dataclass(slots=True)
class Recovery:
    """A report of one recovery: the duration of each step in seconds, notes for the operator (one line each), and
    what was read. `snapshot` is the index of the loaded one, 0 for none; `created` tells that the folder is new."""

    seconds: dict[str, float] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    snapshot: int = 0
    entries: int = 0
    bytes_read: int = 0
    log_bytes: int = 0
    created: bool = False


@dataclass(frozen=True, slots=True)
class Layout:
    """The files of a folder, classified by their names and sorted."""

    segments: tuple[int, ...]
    snapshots: tuple[int, ...]
    temporary: tuple[str, ...]
    identity: bool
    unknown_files: tuple[str, ...]

    @classmethod
    def of(cls, disk: Disk) -> Layout:
        segments, snapshots, temporary, unknown_files, identity = [], [], [], [], False
        for name in disk.names():
            if (first := segment_first(name)) is not None:
                segments.append(first)
            elif (index := snapshot_index(name)) is not None:
                snapshots.append(index)
            elif name.endswith(TEMPORARY_SUFFIX):
                temporary.append(name)
            elif name == IDENTITY:
                identity = True
            else:
                unknown_files.append(name)
        return cls(tuple(sorted(segments)), tuple(sorted(snapshots)), tuple(temporary), identity, tuple(unknown_files))

    def segments_after(self, index: int) -> list[int]:
        """The first indexes of the segments that hold the entries after `index`. Raises Damaged if the log starts
        later."""
        needed = [
            first
            for first, following in zip(self.segments, (*self.segments[1:], None), strict=True)
            if following is None or following > index + 1
        ]
        if not needed or needed[0] > index + 1:
            next_segment = segment_name(needed[0]) if needed else "no segment"
            raise Damaged(
                segment_name(index + 1),
                0,
                f"entries from {index + 1} on are missing (next segment present: {next_segment})",
            )
        return needed


class Journal:
    """The log and snapshots of one folder, open for appending. Created by `open_journal`.

    `append` and `mark` must be called from one thread; a SnapshotWriter and `snapshot_done` may run in a second one."""

    def __init__(self, disk: Disk, identity: Identity, version: int, segment_bytes: int) -> None:
        self.disk, self.identity, self.version, self.segment_bytes = disk, identity, version, segment_bytes
        self.life = bytes.fromhex(identity.life)
        self.position = Position(1, 0)
        self.size = 0  # bytes of the current segment
        self.log_bytes = 0  # read during recovery and written since
        self.marked = True  # no entries have been written since the last mark
        self.broken: str | None = None  # why nothing more can be written, or None
        self._file: File | None = None
        self._version_on_disk = version
        self._unsynced_truncation = False
        self._known_durable = self.position, 0
        self._segments: list[int] = []
        self._snapshots: list[int] = []
        self._lock = threading.Lock()

    @property
    def last(self) -> int:
        """The index of the last durable entry; 0 if there is none."""
        return self.position.index - 1

    # --- writing ---

    def append(self, count: int, body: bytes, term: int = 0) -> int:
        """Make `count` entries durable as one frame and return the index of the first.

        Raises DiskFull if there is no space; nothing is written then. Raises DiskFailed if the disk fails; the process
        must then exit, and the next recovery shows whether the entries were written."""
        first = self.position.index
        self._write(Kind.ENTRIES, count, term, body)
        self.marked = False
        return first

    def mark(self) -> None:
        """Record durably that the last sync completed, so that later damage to the last frame is distinguishable from
        a torn tail."""
        if not self.marked:
            self._write(Kind.MARK, 0, 0, b"")
            self.marked = True

    def _write(self, kind: Kind, count: int, term: int, body: bytes) -> None:
        """Write one frame, in a new segment if the current one is full or in an older format."""
        if self.broken:
            raise DiskFailed(self.broken)
        try:
            if kind is not Kind.SEAL and (self.size >= self.segment_bytes or self._version_on_disk != self.version):
                self._roll_segment()
            pieces, frame = frames.encode_frame(
                self._version_on_disk,
                self.life,
                kind,
                self.position.index,
                count,
                term,
                self.position.previous_checksum,
                body,
            )
            self._put(pieces)
        except DiskFailed as error:
            self.broken = str(error)
            raise
        self.position = Position(self.position.index + count, frames.chain(frame))
        size = sum(map(len, pieces))
        self.size += size
        self.log_bytes += size

    def _put(self, pieces: tuple[bytes, ...]) -> None:
        """Write and sync one frame. If the disk is full, cut off the part that was written."""
        assert self._file is not None
        try:
            self._file.write(*pieces)
        except DiskFull:
            self._file.truncate(self.size)
            self._unsynced_truncation = True
            raise
        self._file.sync()
        self._unsynced_truncation = False

    def _roll_segment(self) -> None:
        """Continue in a new segment. The new one is durable before the old one is sealed, so a sealed segment without
        a successor proves that data was lost."""
        assert self._file is not None
        if self._unsynced_truncation:
            self._file.sync()
            self._unsynced_truncation = False
        first, old, old_position, old_size = self.position.index, self._file, self.position, self.size
        if first == self._segments[-1]:
            return  # the current segment has no entries yet, only marks
        self._start_segment()
        seal, _ = frames.encode_frame(
            self._version_on_disk, self.life, Kind.SEAL, first, 0, 0, old_position.previous_checksum
        )
        try:
            old.write(*seal)
            old.sync()
        except DiskFull:
            old.truncate(old_size)
        finally:
            old.close()
        self._version_on_disk = self.version

    def _start_segment(self) -> None:
        name = segment_name(self.position.index)
        write_file_atomically(
            self.disk,
            name,
            frames.encode_segment_header(
                SegmentHeader(self.version, self.life, self.position.index, self.position.previous_checksum)
            ),
        )
        self._file, self.size = self.disk.append(name), frames.SEGMENT_HEADER_SIZE
        with self._lock:
            self._segments.append(self.position.index)

    def close(self) -> None:
        """Write a final mark and close the files. Acknowledged entries are durable without this."""
        if not self.broken:
            try:
                self.mark()
            except (DiskFull, DiskFailed):
                self.broken = "closed without a mark"
        if self._file is not None:
            self._file.close()
            self._file = None

    # --- snapshots ---

    def snapshot_writer(self, index: int, term: int = 0) -> SnapshotWriter:
        return SnapshotWriter(self.disk, SnapshotHeader(self.version, self.life, index, term))

    def snapshot_done(self, index: int) -> None:
        """Record that a snapshot of `index` is durable, and delete the snapshots and segments that it and the
        preceding snapshot make obsolete."""
        with self._lock:
            self._snapshots = sorted({*self._snapshots, index})
            dropped = [snapshot_name(i) for i in self._snapshots[:-KEPT_SNAPSHOTS]]
            self._snapshots = self._snapshots[-KEPT_SNAPSHOTS:]
            if len(self._snapshots) == KEPT_SNAPSHOTS:
                obsolete = [
                    first
                    for first, following in zip(self._segments, self._segments[1:], strict=False)
                    if following <= self._snapshots[0] + 1
                ]
                dropped += map(segment_name, obsolete)
                self._segments = self._segments[len(obsolete) :]
        for name in dropped:
            self.disk.unlink(name)
        if dropped:
            self.disk.sync_directory()

    def snapshots(self) -> list[int]:
        with self._lock:
            return list(self._snapshots)


def initialize_folder(disk: Disk, name: str, life: bytes, version: int = FORMAT, first: int = 1) -> Identity:
    """Create the first files of an empty folder. After a crash in it, `open_journal` starts over if `first` is
    1, and otherwise reports the folder as damaged."""
    write_file_atomically(
        disk, segment_name(first), frames.encode_segment_header(SegmentHeader(version, life, first, 0))
    )
    identity = Identity(version, life.hex(), name)
    write_file_atomically(disk, IDENTITY, encode_identity(identity))
    return identity


def never_used(disk: Disk, layout: Layout) -> bool:
    """Whether the folder is empty, or its creation was interrupted before anything could be stored in it."""
    return (
        not layout.identity
        and not layout.snapshots
        and layout.segments in ((), (1,))
        and (not layout.segments or disk.size(segment_name(1)) <= frames.SEGMENT_HEADER_SIZE)
    )


def open_journal(
    disk: Disk,
    name: str,
    machine: StateMachine,
    new_life: Callable[[], bytes],
    *,
    version: int = FORMAT,
    segment_bytes: int = 16 << 20,
    clock: Callable[[], float] = time.monotonic,
) -> tuple[Journal, Recovery]:
    """Recover the folder into `machine` and open it for appending. An empty folder is initialized first; `new_life`
    returns its random id.

    An existing folder is changed only after everything that is needed has been read and verified. Raises Damaged
    (nothing was changed), NewerFormat, WrongFolder, DiskFull, DiskFailed."""
    recovery = Recovery()
    started = clock()

    def record_step(what: str) -> None:
        nonlocal started
        recovery.seconds[what], started = clock() - started, clock()

    layout = Layout.of(disk)
    if never_used(disk, layout):
        if layout.unknown_files:
            raise WrongFolder(
                f"the folder holds other files ({', '.join(layout.unknown_files[:3])}); use an empty folder"
            )
        initialize_folder(disk, name, new_life(), version)
        layout, recovery.created = Layout.of(disk), True
    if not layout.identity:
        raise Damaged(IDENTITY, 0, "the identity file is missing, though the folder holds a log or snapshots")
    identity = read_identity(disk)
    if identity.name != name:
        raise WrongFolder(f"the folder belongs to the keeper '{identity.name}', not to '{name}'")
    if identity.format > version:
        raise WrongFolder(f"the folder is in format {identity.format} already; the settings ask for {version}")
    journal = Journal(disk, identity, version, segment_bytes)
    record_step("look")
    index = _load_snapshot(disk, layout, journal.life, machine, recovery)
    record_step("snapshot")
    tail = _replay(disk, layout, journal, index, machine, recovery)
    record_step("log")
    _finish_recovery(disk, layout, journal, tail, recovery)
    record_step("settle")
    return journal, recovery


def read_folder(disk: Disk, machine: StateMachine) -> tuple[Identity, Recovery]:
    """Recover the folder into `machine` without changing it. While a keeper uses the folder, the result is its state
    at one moment. Raises Damaged, NewerFormat, and FileNotFoundError if the keeper deletes a file meanwhile."""
    layout, recovery = Layout.of(disk), Recovery()
    if not layout.identity:
        raise Damaged(IDENTITY, 0, "the identity file is missing: this is not a keeper's folder")
    journal = Journal(disk, read_identity(disk), FORMAT, 0)
    index = _load_snapshot(disk, layout, journal.life, machine, recovery)
    torn = _replay(disk, layout, journal, index, machine, recovery)
    if torn is not None:
        recovery.notes.append(f"bytes at the end that are no whole write (yet): {torn}")
    return journal.identity, recovery


def _load_snapshot(disk: Disk, layout: Layout, life: bytes, machine: StateMachine, recovery: Recovery) -> int:
    """Load the newest valid snapshot and return its index, or 0 if there is none and the log is complete. Raises
    Damaged if neither holds."""
    damage: list[Damaged] = []
    for index in reversed(layout.snapshots):
        name = snapshot_name(index)
        reader = None
        try:
            reader = SnapshotReader(disk, name)
            if reader.head.life != life:
                raise Unreadable(f"the snapshot is of another life ({reader.head.life.hex()})")
            for block in reader.blocks():
                machine.load(block)
            recovery.bytes_read += reader.offset
        except (Unreadable, msgspec.DecodeError) as error:
            machine.reset()
            damage.append(Damaged(name, reader.offset if reader else 0, str(error)))
            continue
        recovery.snapshot = index
        recovery.notes += [f"damaged snapshot passed over: {one}" for one in damage]
        return index
    try:
        layout.segments_after(0)
    except Damaged as missing:
        raise (damage[0] if damage else missing) from missing
    recovery.notes += [f"damaged snapshot passed over: {one}" for one in damage]
    return 0


def _replay(
    disk: Disk, layout: Layout, journal: Journal, index: int, machine: StateMachine, recovery: Recovery
) -> TornTail | None:
    """Replay the entries after `index` into the machine. Return the torn tail of the last segment, if any. Raises
    Damaged, NewerFormat."""
    position: Position | None = None
    torn: TornTail | None = None
    needed = layout.segments_after(index)
    for first, following in zip(needed, (*needed[1:], None), strict=True):
        name = segment_name(first)
        if position is not None and first > position.index:
            raise Damaged(
                segment_name(position.index),
                0,
                f"entries {position.index} to {first - 1} are missing: the next segment present is {name}",
            )
        reader = SegmentReader(disk, name, journal.life, position)
        try:
            for frame, body in reader:
                if frame.count and frame.first + frame.count > index + 1:
                    _replay_frame(name, reader.offset, frame.first, frame.count, body, index, machine)
                    recovery.entries += frame.count
        except TornTail as error:
            if following is None:
                torn = error
            elif reader.position.index == following:
                recovery.notes.append(f"{name}: {error.size} bytes of an unfinished seal behind the last entry")
            else:
                raise Damaged(name, error.offset, error.reason) from error
        position = reader.position
        recovery.bytes_read += reader.offset
        recovery.log_bytes += reader.offset
        if following is None and reader.sealed:
            raise Damaged(
                segment_name(position.index), 0, f"the segment is missing: {name} is sealed, so another followed it"
            )
        journal.position, journal.size, journal._known_durable = position, reader.offset, reader.known_durable
        journal.marked = reader.last_kind is not Kind.ENTRIES
        journal._version_on_disk = reader.head.version
    if journal.last < index:
        raise Damaged(
            segment_name(needed[-1]),
            journal.size,
            f"the log ends at entry {journal.last}, before the snapshot's index {index}",
        )
    return torn


def _replay_frame(name: str, end: int, first: int, count: int, body: bytes, index: int, machine: StateMachine) -> None:
    """Replay one frame that ends at byte `end` of the segment. A snapshot must not end within a frame."""
    if first <= index:
        raise Damaged(name, end - len(body), f"the snapshot's index {index} lies within a frame")
    try:
        machine.replay(first, count, body)
    except msgspec.DecodeError as error:
        raise Damaged(name, end - len(body), f"the entries from {first} on can't be decoded: {error}") from error


def _finish_recovery(disk: Disk, layout: Layout, journal: Journal, torn: TornTail | None, recovery: Recovery) -> None:
    """Make the recovered entries durable before anything is served from them, remove the leftovers of a crash, and
    upgrade the format of the folder."""
    _make_tail_durable(disk, segment_name(layout.segments[-1]), journal, torn, recovery)
    for leftover in (name for name in Layout.of(disk).temporary):
        disk.unlink(leftover)
        recovery.notes.append(f"unfinished file removed: {leftover}")
    disk.sync_directory()
    if journal.identity.format < journal.version:
        newer = msgspec.structs.replace(journal.identity, format=journal.version)
        try:
            write_file_atomically(disk, IDENTITY, encode_identity(newer))
            journal.identity = newer
            recovery.notes.append(f"format {journal.version} from here on, was {journal._version_on_disk}")
        except DiskFull:
            journal.version = journal.identity.format
            recovery.notes.append(f"the disk is full: the folder stays in format {journal.version} for now")
    journal._segments = list(layout.segments)
    journal._snapshots = [i for i in layout.snapshots if i <= recovery.snapshot]
    for damaged in (i for i in layout.snapshots if i > recovery.snapshot):
        disk.rename(snapshot_name(damaged), snapshot_name(damaged) + ".damaged")
    journal.log_bytes = recovery.log_bytes


def _make_tail_durable(disk: Disk, name: str, journal: Journal, torn: TornTail | None, recovery: Recovery) -> None:
    """Rewrite the last segment up to its last valid frame. That frame may be in the page cache only, and if an earlier
    sync of it failed, another sync of the same file would succeed without writing the bytes.

    If there is no space for the copy, the segment is cut at the last position known to be durable. Raises DiskFull if
    that would cut off entries."""
    try:
        file = disk.create(name + TEMPORARY_SUFFIX)
        for offset in range(0, journal.size, READ_CHUNK_BYTES):
            file.write(disk.read(name, offset, min(READ_CHUNK_BYTES, journal.size - offset)))
        file.sync()
        file.close()
        disk.rename(name + TEMPORARY_SUFFIX, name)
        disk.sync_directory()
    except DiskFull as error:
        known_durable, size = journal._known_durable
        if known_durable.index != journal.position.index:
            raise DiskFull(
                f"recovery needs {journal.size >> 20 or 1} MB of free space to make the last writes durable; "
                "free some space and start again"
            ) from error
        recovery.notes.append(f"no room to write {name} anew: what proves the last write is cut off instead")
        journal.position, journal.size, journal.marked = known_durable, size, False
        file = disk.append(name)
        file.truncate(size)
        file.sync()
        file.close()
    journal._file = disk.append(name)
    if torn is not None:
        recovery.notes.append(
            f"torn tail cut: {name}: {torn.size} bytes at {torn.offset} were never acknowledged ({torn.reason})"
        )

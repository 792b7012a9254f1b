"""Verification for the command `state check`: reads every byte of a folder without changing it, and reports each damage
with file and offset."""

from __future__ import annotations

from dataclasses import dataclass, field

from mastlift.durable.disk import Disk
from mastlift.durable.frames import NewerFormat, Unreadable
from mastlift.durable.journal import IDENTITY, Layout, never_used, read_identity
from mastlift.durable.segments import Damaged, Position, SegmentReader, TornTail, segment_name
from mastlift.durable.snapshot import SnapshotReader, snapshot_name


@dataclass(slots=True)
class Findings:
    """The result of a check. The folder is valid if `damage` is empty; `notes` describe harmless findings."""

    damage: list[Damaged] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    entries: int = 0
    bytes_read: int = 0
    segments: int = 0
    snapshots: list[int] = field(default_factory=list)  # the valid ones
    last: int = 0  # index of the last entry
    life: str = ""
    name: str = ""
    format: int = 0


def check_folder(disk: Disk) -> Findings:
    """Check all files of a keeper's folder. Raises NewerFormat if a later version of the program wrote them."""
    findings, layout = Findings(), Layout.of(disk)
    if never_used(disk, layout):
        findings.notes.append("the folder has never been used")
        return findings
    findings.notes += [f"{name}: not yet in force, removed at the next start" for name in layout.temporary]
    findings.notes += [f"{name}: not a file of the keeper's" for name in layout.unknown_files]
    try:
        if not layout.identity:
            raise Damaged(IDENTITY, 0, "the identity file is missing")
        identity = read_identity(disk)
    except Damaged as error:
        findings.damage.append(error)
        return findings  # the other files can't be verified without the life
    findings.life, findings.name, findings.format = identity.life, identity.name, identity.format
    life = bytes.fromhex(identity.life)
    for index in layout.snapshots:
        _check_snapshot(disk, index, life, findings)
    _check_log(disk, layout, life, findings)
    return findings


def _check_snapshot(disk: Disk, index: int, life: bytes, findings: Findings) -> None:
    name, reader = snapshot_name(index), None
    try:
        reader = SnapshotReader(disk, name)
        if reader.head.life != life:
            raise Unreadable(f"the snapshot is of another life ({reader.head.life.hex()})")
        for _ in reader.blocks():
            pass
        findings.bytes_read += reader.offset
        findings.snapshots.append(index)
    except Unreadable as error:
        findings.damage.append(Damaged(name, reader.offset if reader else 0, str(error)))
    except NewerFormat as error:
        raise NewerFormat(f"{name}: {error}") from error


def _check_log(disk: Disk, layout: Layout, life: bytes, findings: Findings) -> None:
    """Check the segments that are needed from the oldest valid snapshot on. If no snapshot is valid, the index of the
    oldest one counts; without snapshots, the log must begin with entry 1."""
    oldest_valid = findings.snapshots[0] if findings.snapshots else 0
    start_index = oldest_valid if findings.snapshots else layout.snapshots[0] if layout.snapshots else 0
    position: Position | None = None
    for first, following in zip(layout.segments, (*layout.segments[1:], None), strict=True):
        name = segment_name(first)
        if following is not None and following <= start_index + 1:
            findings.notes.append(f"{name}: needless since the snapshot of {start_index}, removed by the next one")
            continue
        if position is not None and first > position.index:
            findings.damage.append(
                Damaged(segment_name(position.index), 0, f"entries {position.index} to {first - 1} are missing")
            )
            position = None
        if position is None and not findings.segments and first > start_index + 1:
            findings.damage.append(
                Damaged(segment_name(start_index + 1), 0, f"entries {start_index + 1} to {first - 1} are missing")
            )
        findings.segments += 1
        reader = None
        try:
            reader = SegmentReader(disk, name, life, position)
            for _ in reader:
                pass
            if following is None and reader.sealed:
                findings.damage.append(
                    Damaged(segment_name(reader.position.index), 0, f"the segment is missing: {name} is sealed")
                )
            position = reader.position
        except TornTail as error:
            assert reader is not None
            if following is None:
                findings.notes.append(
                    f"{name}: a torn tail of {error.size} bytes at {error.offset}, never "
                    f"acknowledged, is cut at the next start ({error.reason})"
                )
            elif reader.position.index != following:
                findings.damage.append(Damaged(name, error.offset, error.reason))
            else:
                findings.notes.append(f"{name}: an unfinished seal of {error.size} bytes behind the last entry")
            position = reader.position if reader.position.index == following else None
        except Damaged as error:
            findings.damage.append(error)
            position = None
        if reader is not None:
            findings.entries += reader.count
            findings.bytes_read += reader.offset
            findings.last = max(findings.last, reader.position.index - 1)
    if not layout.segments:
        findings.damage.append(Damaged(segment_name(start_index + 1), 0, "there is no segment of the log"))

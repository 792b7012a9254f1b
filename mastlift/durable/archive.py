"""Backup and restore of a folder's state.

A backup is one file in the format of a snapshot and is verified like one. A restored folder gets a new life, so that
clients and peers do not confuse its history with the old one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from mastlift.durable.disk import TEMPORARY_SUFFIX, Disk
from mastlift.durable.frames import FORMAT
from mastlift.durable.journal import Identity, Layout, Recovery, StateMachine, initialize_folder, read_folder
from mastlift.durable.segments import Damaged
from mastlift.durable.snapshot import SnapshotHeader, SnapshotReader, SnapshotWriter

MAX_ATTEMPTS = 5  # to read a folder from which a keeper deletes files meanwhile


class DumpableStateMachine(StateMachine, Protocol):
    """A state machine whose state, up to the entry `index`, can be written to a snapshot."""

    index: int

    def dump(self) -> Iterator[bytes]: ...


class NotEmpty(Exception):
    """The folder to restore into is not empty."""


def read_live(disk: Disk, machine: StateMachine) -> tuple[Identity, Recovery]:
    """Call `read_folder`, and retry while a running keeper deletes segments during the read. Raises Damaged,
    NewerFormat, FileNotFoundError."""
    for attempt in range(MAX_ATTEMPTS):
        before = Layout.of(disk)
        try:
            return read_folder(disk, machine)
        except (FileNotFoundError, Damaged):
            if attempt == MAX_ATTEMPTS - 1 or Layout.of(disk).segments[:1] == before.segments[:1]:
                raise
            machine.reset()
    raise AssertionError("unreachable")


def backup(source: Disk, machine: DumpableStateMachine, target: Disk, name: str) -> tuple[Identity, Recovery]:
    """Write the state of the folder `source` to the file `name` of `target`. The file is durable when this returns.
    Raises Damaged, DiskFull."""
    identity, recovery = read_live(source, machine)
    writer = SnapshotWriter(target, SnapshotHeader(FORMAT, bytes.fromhex(identity.life), machine.index, 0), name)
    try:
        for block in machine.dump():
            writer.write(block)
        writer.finish()
    except BaseException:
        writer.abandon()
        raise
    return identity, recovery


def _unchanged(blocks: Iterator[bytes]) -> Iterator[bytes]:
    return blocks


def restore(
    source: Disk,
    name: str,
    target: Disk,
    keeper: str,
    life: bytes,
    change: Callable[[Iterator[bytes]], Iterator[bytes]] = _unchanged,
) -> SnapshotHeader:
    """Initialize the empty folder `target` for a keeper from the backup `name`. `change` may add blocks to the state.

    The identity file is written last, so that an interrupted restore leaves no folder that a keeper would start from.
    Raises NotEmpty, Unreadable, NewerFormat, DiskFull."""
    if any(not name.endswith(TEMPORARY_SUFFIX) for name in target.names()):
        raise NotEmpty("the folder to restore into is not empty; use a new one")
    for _ in SnapshotReader(source, name).blocks():
        pass  # verify the whole backup before anything is written
    reader = SnapshotReader(source, name)
    writer = SnapshotWriter(target, SnapshotHeader(FORMAT, life, reader.head.index, reader.head.term))
    for block in change(reader.blocks()):
        writer.write(block)
    writer.finish()
    initialize_folder(target, keeper, life, first=reader.head.index + 1)
    return reader.head

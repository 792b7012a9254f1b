"""The damage checker: bytes that were synced are changed, zeroed, exchanged or taken away. A start then either goes on
with all that was acknowledged, or names the file and changes nothing. It never serves anything else."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from copy import copy

from msgspec import structs

from mastlift.durable.check import check_folder
from mastlift.durable.disk import TEMPORARY_SUFFIX
from mastlift.durable.frames import SECTOR
from mastlift.durable.journal import IDENTITY, WrongFolder, open_journal
from mastlift.durable.segments import Damaged, SegmentReader, segment_first
from mastlift.durable.snapshot import snapshot_index
from mastlift.lab.crash import COMMANDS, LIFE, SEGMENT_BYTES, Broken, History, Run
from mastlift.lab.simdisk import SimDisk
from mastlift.store import commands as c
from mastlift.store.machine import Store


def settled(history: History, life: bytes = LIFE, name: str = "a", segment_bytes: int = SEGMENT_BYTES) -> SimDisk:
    """A folder after a whole history and a clean end."""
    disk = SimDisk(history.seed)
    run = Run(history, disk, random.Random(history.seed))
    journal, _ = open_journal(disk, name, run.store, lambda: life, segment_bytes=segment_bytes)
    run.work(journal, COMMANDS)
    journal.close()
    return disk


def stale(history: History) -> History:
    """The same history up to its middle; from there on other values of the same sizes, as in a copy of the folder
    that went its own way."""
    other = copy(history)
    other.commands = history.commands[: COMMANDS // 2] + [
        structs.replace(one, command=structs.replace(one.command, value=bytes(b ^ 1 for b in one.command.value)))
        if isinstance(one.command, c.Put)
        else one
        for one in history.commands[COMMANDS // 2 :]
    ]
    return other


Damage = tuple[str, str, bytes | None]  # what was done, the file, its new bytes


def damages(history: History, disk: SimDisk, rng: random.Random, flips: int) -> Iterator[Damage]:
    """Every kind of damage, drawn over all files of a settled folder."""
    files = disk.files()
    for name, data in files.items():
        if name.endswith(TEMPORARY_SUFFIX):
            continue
        for at in (rng.randrange(len(data)) for _ in range(flips)):
            yield "flipped bit", name, data[:at] + bytes([data[at] ^ 1 << rng.randrange(8)]) + data[at + 1 :]
        for at in range(0, len(data), SECTOR):
            if any(data[at : at + SECTOR]):
                yield "zeroed sector", name, data[:at] + bytes(len(data[at : at + SECTOR])) + data[at + SECTOR :]
        if snapshot_index(name) is not None or name == IDENTITY:
            yield "cut short", name, data[: rng.randrange(len(data))]
        yield "taken away", name, None
    copies = {
        "older life": settled(history, bytes(16)),
        "another keeper": settled(history, b"k" * 16, "b"),
        "stale copy": settled(stale(history)),
    }
    for what, other in copies.items():
        for name, data in other.files().items():
            if name.endswith(TEMPORARY_SUFFIX) or files.get(name, data) == data:
                continue
            if what != "stale copy" or snapshot_index(name) is None:  # a fork's snapshot has the same life: docs
                yield f"whole file of {what}", name, data
                if segment_first(name) is not None and len(data) == len(files[name]):
                    for start, end in frame_bounds(disk, name):
                        if data[start:end] != files[name][start:end]:
                            yield f"frame of {what}", name, files[name][:start] + data[start:end] + files[name][end:]


def frame_bounds(disk: SimDisk, name: str) -> Iterator[tuple[int, int]]:
    reader = SegmentReader(disk, name, LIFE)
    start = reader.offset
    for _ in reader:
        yield start, reader.offset
        start = reader.offset


def check_damage(seed: int, flips: int = 40) -> Counter[str]:
    """Raises Broken. Counts outcomes by kind of damage."""
    history, seen = History(seed), Counter[str]()
    whole = settled(history)
    if check_folder(whole).damage:
        raise Broken(f"seed {seed}: a whole folder is called damaged: {check_folder(whole).damage}")
    for what, name, data in damages(history, whole, random.Random(seed), flips):
        disk = whole.image()
        disk.put(name, data)
        where = f"seed {seed}: {what} in {name}"
        before, store = disk.files(), Store()
        findings = check_folder(disk)
        if disk.files() != before:
            raise Broken(f"{where}: the check changed something")
        try:
            _, recovery = open_journal(disk, "a", store, lambda: LIFE, segment_bytes=SEGMENT_BYTES)
        except (Damaged, WrongFolder) as error:
            if disk.files() != before:
                raise Broken(f"{where}: the start refused, but changed something") from error
            if not findings.damage:
                raise Broken(f"{where}: the start refuses ({error}), the check does not") from error
            seen[f"{what}: refused"] += 1
            continue
        history.check(store, COMMANDS, COMMANDS, where)
        said = any("damaged" in note for note in recovery.notes)
        where = "said so" if said else "not needed" if findings.damage else "nothing in force"
        seen[f"{what}: recovered, {where}"] += 1
    return seen

"""A disk in memory that keeps, loses or tears what was not synced, after the model of the ALICE paper (Pillai et al.,
"All File Systems Are Not Created Equal", 2014): between syncs nothing has an order, sectors and names are independent.

Each change is a step. `on_step` is called before it, so that a checker can take an image of what may stand then.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from mastlift.durable.disk import DiskFailed, DiskFull
from mastlift.durable.frames import SECTOR


class Loss(StrEnum):
    """What a crash does to what was not synced."""

    NOTHING = "nothing"  # the process died, the machine did not
    ALL = "all"
    SOME = "some"  # each sector, size and name by itself


@dataclass(slots=True)
class _Inode:
    seen: bytearray = field(default_factory=bytearray)  # what reads give
    kept: bytearray = field(default_factory=bytearray)  # what is on the platter
    pending: list[tuple[int, bytes | None]] = field(default_factory=list)  # offset and bytes; None: cut there

    def copy(self) -> _Inode:
        return _Inode(bytearray(self.seen), bytearray(self.kept), list(self.pending))


class SimFile:
    def __init__(self, disk: SimDisk, inode: _Inode) -> None:
        self._disk, self._inode = disk, inode

    def write(self, *pieces: bytes) -> None:
        disk, inode, data = self._disk, self._inode, b"".join(pieces)
        disk.step()
        free = disk.capacity - disk.used()
        taken = data if free >= len(data) else data[: max(0, free)]
        inode.pending.append((len(inode.seen), taken))
        inode.seen += taken
        if len(taken) < len(data):
            raise DiskFull("no space left in the model")

    def truncate(self, size: int) -> None:
        self._disk.step()
        self._inode.pending.append((size, None))
        del self._inode.seen[size:]

    def sync(self) -> None:
        self._disk.step()
        if self._disk.fails():
            # The kernel drops what it could not write and counts it as clean; reads still give it.
            self._inode.kept = lose(self._inode, Loss.SOME, self._disk.random)
            self._inode.pending.clear()
            raise DiskFailed("fsync: input/output error in the model")
        kept = self._inode.kept
        for offset, data in self._inode.pending:  # only these: what a failed sync dropped stays dropped
            if data is None:
                del kept[offset:]
            else:
                kept.extend(bytes(max(0, offset - len(kept))))
                kept[offset : offset + len(data)] = data
        self._inode.pending.clear()

    def close(self) -> None:
        pass


def lose(inode: _Inode, loss: Loss, rng: random.Random) -> bytearray:
    """What of a file is there after a crash."""
    after = bytearray(inode.kept)
    if loss is Loss.ALL:
        return after
    for offset, data in inode.pending:
        if data is None:
            if rng.random() < 0.5:
                del after[offset:]
            continue
        end = offset + len(data)
        for at in range(offset - offset % SECTOR, end, SECTOR):
            first, last = max(at, offset), min(at + SECTOR, end)
            fate = rng.random()
            if fate < 0.35:
                continue
            if fate < 0.4:  # neither old nor new
                after.extend(bytes(max(0, last - len(after))))
                after[at:last] = rng.randbytes(last - at)
                continue
            if fate < 0.5:  # torn: its beginning or its end arrived
                middle = rng.randint(first, last)
                first, last = (first, middle) if rng.random() < 0.5 else (middle, last)
            if len(after) < last:
                after.extend(bytes(last - len(after)))
            after[first:last] = data[first - offset : last - offset]
        if len(after) < end and rng.random() < 0.5:  # the size arrived without the bytes
            after.extend(bytes(end - len(after)))
    return after


class SimDisk:
    """The seam `mastlift.durable.disk.Disk` in memory. `capacity` is in bytes; `fail_sync_at` counts syncs from 1."""

    def __init__(self, seed: int = 0, capacity: int = 1 << 40) -> None:
        self.random, self.capacity = random.Random(seed), capacity
        self.steps = self.syncs = self.fail_sync_at = 0
        self.on_step: Callable[[], None] = lambda: None
        self._names: dict[str, _Inode] = {}
        self._kept_names: dict[str, _Inode] = {}
        self._pending_names: list[dict[str, _Inode | None]] = []

    def step(self) -> None:
        self.on_step()
        self.steps += 1

    def fails(self) -> bool:
        self.syncs += 1
        return self.syncs == self.fail_sync_at

    def used(self) -> int:
        return sum(len(inode.seen) for inode in self._names.values())

    def image(self) -> SimDisk:
        """A copy as it stands, with what is not synced yet."""
        copies: dict[int, _Inode] = {}

        def copy(inode: _Inode) -> _Inode:
            return copies.setdefault(id(inode), inode.copy())

        other = SimDisk(0, self.capacity)
        other._names = {name: copy(inode) for name, inode in self._names.items()}
        other._kept_names = {name: copy(inode) for name, inode in self._kept_names.items()}
        other._pending_names = [
            {name: inode and copy(inode) for name, inode in change.items()} for change in self._pending_names
        ]
        return other

    def crash(self, loss: Loss, rng: random.Random) -> SimDisk:
        """The disk after a crash in this moment. This one is left as it is."""
        if loss is Loss.NOTHING:
            return self.image()
        other, names = SimDisk(rng.getrandbits(32), self.capacity), dict(self._kept_names)
        if loss is Loss.SOME:
            for change in self._pending_names:
                if rng.random() < 0.5:
                    for name, inode in change.items():
                        if inode is None:
                            names.pop(name, None)
                        else:
                            names[name] = inode
        left: dict[int, _Inode] = {}
        for name, inode in names.items():
            if id(inode) not in left:
                data = lose(inode, loss, rng)
                left[id(inode)] = _Inode(bytearray(data), data)
            other._names[name] = left[id(inode)]
        other._kept_names = dict(other._names)
        return other

    def files(self) -> dict[str, bytes]:
        """All files as reads give them; for comparing."""
        return {name: bytes(inode.seen) for name, inode in self._names.items()}

    def put(self, name: str, data: bytes | None) -> None:
        """Damage: the file is what is given, durably; None takes it away."""
        self._names.pop(name, None)
        self._kept_names.pop(name, None)
        if data is not None:
            self._names[name] = self._kept_names[name] = _Inode(bytearray(data), bytearray(data))

    def _change(self, change: dict[str, _Inode | None]) -> None:
        self._pending_names.append(change)
        for name, inode in change.items():
            if inode is None:
                del self._names[name]
            else:
                self._names[name] = inode

    # --- the seam ---

    def names(self) -> list[str]:
        return sorted(self._names)

    def _inode(self, name: str) -> _Inode:
        if name not in self._names:
            raise FileNotFoundError(name)
        return self._names[name]

    def size(self, name: str) -> int:
        return len(self._inode(name).seen)

    def read(self, name: str, offset: int, size: int) -> bytes:
        return bytes(self._inode(name).seen[offset : offset + size])

    def create(self, name: str) -> SimFile:
        self.step()
        if self.capacity <= self.used():
            raise DiskFull("no space left in the model")
        inode = _Inode()
        self._change({name: inode})
        return SimFile(self, inode)

    def append(self, name: str) -> SimFile:
        return SimFile(self, self._inode(name))

    def rename(self, old: str, new: str) -> None:
        self.step()
        self._change({new: self._inode(old), old: None})

    def unlink(self, name: str) -> None:
        self.step()
        self._change({name: None})

    def sync_directory(self) -> None:
        self.step()
        self._kept_names = dict(self._names)
        self._pending_names.clear()

    def free_bytes(self) -> int:
        return max(0, self.capacity - self.used())

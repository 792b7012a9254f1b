"""A real disk that fails when told to: for a keeper's process under test. Faults are files in a folder of their own."""

from __future__ import annotations

import contextlib
import time
from enum import StrEnum
from pathlib import Path

from mastlift.durable.disk import Disk, DiskFailed, DiskFull, File


class Fault(StrEnum):
    """A fault is on while a file of its name is there."""

    FULL = "full"  # no write finds room
    FSYNC = "fsync"  # the next sync fails; taken away by it
    SLOW = "slow"  # each sync takes so many ms more as the file says


class Faults:
    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def on(self, fault: Fault) -> bool:
        return (self.folder / fault).exists()

    def set(self, fault: Fault, value: str = "") -> None:
        (self.folder / fault).write_text(value)

    def clear(self, fault: Fault) -> None:
        (self.folder / fault).unlink(missing_ok=True)

    def before_write(self) -> None:
        if self.on(Fault.FULL):
            raise DiskFull("no space left, by the lab")

    def before_sync(self) -> None:
        if self.on(Fault.FSYNC):
            self.clear(Fault.FSYNC)
            raise DiskFailed("fsync: input/output error, by the lab")
        if self.on(Fault.SLOW):
            with contextlib.suppress(ValueError, FileNotFoundError):
                time.sleep(float((self.folder / Fault.SLOW).read_text()) / 1000)


class FaultyFile:
    def __init__(self, file: File, faults: Faults) -> None:
        self._file, self._faults = file, faults

    def write(self, *pieces: bytes) -> None:
        data = b"".join(pieces)
        if self._faults.on(Fault.FULL):
            self._file.write(data[: len(data) // 2])  # as much as there was room for
        self._faults.before_write()
        self._file.write(data)

    def truncate(self, size: int) -> None:
        self._file.truncate(size)

    def sync(self) -> None:
        self._faults.before_sync()
        self._file.sync()

    def close(self) -> None:
        self._file.close()


class FaultyDisk:
    """The seam `Disk` before another one."""

    def __init__(self, disk: Disk, folder: Path) -> None:
        self._disk, self._faults = disk, Faults(folder)

    def names(self) -> list[str]:
        return self._disk.names()

    def size(self, name: str) -> int:
        return self._disk.size(name)

    def read(self, name: str, offset: int, size: int) -> bytes:
        return self._disk.read(name, offset, size)

    def create(self, name: str) -> File:
        self._faults.before_write()
        return FaultyFile(self._disk.create(name), self._faults)

    def append(self, name: str) -> File:
        return FaultyFile(self._disk.append(name), self._faults)

    def rename(self, old: str, new: str) -> None:
        self._disk.rename(old, new)

    def unlink(self, name: str) -> None:
        self._disk.unlink(name)

    def sync_directory(self) -> None:
        self._faults.before_sync()
        self._disk.sync_directory()

    def free_bytes(self) -> int:
        return 0 if self._faults.on(Fault.FULL) else self._disk.free_bytes()

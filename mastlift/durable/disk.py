"""The interface to the disk: one flat folder of files. The implementation for the file system is here; simulated and
fault-injecting ones are in `mastlift.lab`."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class DiskFull(Exception):
    """No space is left: the data was not written. The operation can be retried once there is space."""


class DiskFailed(Exception):
    """The disk is no longer reliable, for example after a failed sync or truncation. The process must exit: after a
    failed fsync the kernel may have dropped the dirty pages, and a second fsync would succeed without having written
    them (Rebello et al., "Can Applications Recover from fsync Failures?", 2020)."""


class FolderInUse(Exception):
    """Another process has locked the folder."""


class File(Protocol):
    """An append-only file. Offsets and sizes are in bytes."""

    def write(self, *pieces: bytes) -> None:
        """Append the pieces in order. Raises DiskFull; the content after the former end is then undefined."""

    def truncate(self, size: int) -> None: ...

    def sync(self) -> None:
        """Return once all bytes written and the size are durable. Raises DiskFailed."""

    def close(self) -> None: ...


class Disk(Protocol):
    """A folder without subfolders. `append` opens an existing file. A created, renamed or removed name is durable only
    after `sync_directory`."""

    def names(self) -> list[str]: ...

    def size(self, name: str) -> int: ...

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read `size` bytes from `offset`, or fewer at the end of the file."""

    def create(self, name: str) -> File:
        """Create an empty file for appending; an existing one of this name is truncated or replaced."""

    def append(self, name: str) -> File: ...

    def rename(self, old: str, new: str) -> None: ...

    def unlink(self, name: str) -> None: ...

    def sync_directory(self) -> None: ...

    def free_bytes(self) -> int: ...


NO_SPACE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class RealFile:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, *pieces: bytes) -> None:
        views = [memoryview(piece) for piece in pieces if piece]
        while views:
            try:
                written = os.writev(self._fd, views)
                while views and written >= len(views[0]):
                    written -= len(views.pop(0))
                if views:
                    views[0] = views[0][written:]
            except OSError as error:
                if error.errno in NO_SPACE_ERRNOS:
                    raise DiskFull(error.strerror) from error
                raise DiskFailed(f"write: {error.strerror}") from error

    def truncate(self, size: int) -> None:
        try:
            os.ftruncate(self._fd, size)
        except OSError as error:
            raise DiskFailed(f"truncate: {error.strerror}") from error

    def sync(self) -> None:
        try:
            os.fdatasync(self._fd)  # also syncs the size, which is needed to read the file back
        except OSError as error:
            raise DiskFailed(f"fsync: {error.strerror}") from error

    def close(self) -> None:
        os.close(self._fd)


class RealDisk:
    """A folder of the file system, which must exist and be writable. `lock` prevents use by a second process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._dir = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self._lock: int | None = None
        self.copied = False

    def lock(self) -> None:
        """Lock the folder until `close` or the end of the process. Raises FolderInUse.

        Afterwards `copied` tells whether the folder is a copy: the lock file records its own inode, and a copied lock
        file has another one."""
        fd = os.open("lock", os.O_RDWR | os.O_CREAT, 0o644, dir_fd=self._dir)
        recorded = os.read(fd, 60).decode("ascii", "replace").split()
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            raise FolderInUse(
                f"{self.folder} is in use by process {recorded[0] if recorded else '(unknown)'}"
            ) from error
        inode = str(os.fstat(fd).st_ino)
        self.copied = len(recorded) > 1 and recorded[1] != inode  # older versions wrote only the process id
        if not self.copied:
            os.ftruncate(fd, 0)
            os.pwrite(fd, f"{os.getpid()} {inode}\n".encode(), 0)
        self._lock = fd

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._dir) if name != "lock")

    def size(self, name: str) -> int:
        return os.stat(name, dir_fd=self._dir).st_size

    def read(self, name: str, offset: int, size: int) -> bytes:
        fd = os.open(name, os.O_RDONLY, dir_fd=self._dir)
        try:
            parts: list[bytes] = []
            while size > 0 and (part := os.pread(fd, size, offset)):
                parts.append(part)
                offset, size = offset + len(part), size - len(part)
            return parts[0] if len(parts) == 1 else b"".join(parts)
        finally:
            os.close(fd)

    def _open(self, name: str, flags: int) -> RealFile:
        try:
            return RealFile(os.open(name, os.O_RDWR | os.O_APPEND | flags, 0o644, dir_fd=self._dir))
        except OSError as error:
            if error.errno in NO_SPACE_ERRNOS:
                raise DiskFull(error.strerror) from error
            raise DiskFailed(f"open {name}: {error.strerror}") from error

    def create(self, name: str) -> RealFile:
        return self._open(name, os.O_CREAT | os.O_TRUNC)

    def append(self, name: str) -> RealFile:
        return self._open(name, 0)

    def rename(self, old: str, new: str) -> None:
        try:
            os.rename(old, new, src_dir_fd=self._dir, dst_dir_fd=self._dir)
        except OSError as error:
            if error.errno in NO_SPACE_ERRNOS:
                raise DiskFull(error.strerror) from error
            raise DiskFailed(f"rename {old}: {error.strerror}") from error

    def unlink(self, name: str) -> None:
        os.unlink(name, dir_fd=self._dir)

    def sync_directory(self) -> None:
        try:
            os.fsync(self._dir)
        except OSError as error:
            raise DiskFailed(f"fsync of the folder: {error.strerror}") from error

    def free_bytes(self) -> int:
        stat = os.fstatvfs(self._dir)
        return stat.f_bavail * stat.f_frsize

    def close(self) -> None:
        os.close(self._dir)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


def write_file_atomically(disk: Disk, name: str, data: bytes) -> None:
    """Write a file so that after a crash at any point it has either its former content (or none) or all of `data`."""
    temporary_name = name + TEMPORARY_SUFFIX
    file = disk.create(temporary_name)
    try:
        file.write(data)
        file.sync()
    finally:
        file.close()
    disk.rename(temporary_name, name)
    disk.sync_directory()


TEMPORARY_SUFFIX = ".tmp"  # a file with this suffix is incomplete and is removed at the next start

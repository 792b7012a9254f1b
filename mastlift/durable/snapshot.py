"""A snapshot on disk: a header, blocks with chained checksums, and a trailer that counts them.

A snapshot is written block by block, concurrently with the log, under a temporary name. It is renamed only once its
content is durable, so an incomplete snapshot under its final name was damaged after it was written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from mastlift.durable.disk import TEMPORARY_SUFFIX, Disk, File
from mastlift.durable.frames import FORMAT, LIFE_SIZE, OLDEST_FORMAT, NewerFormat, Unreadable, checksum

MAGIC, END_MAGIC = 0x4E534C4D, 0x45534C4D  # "MLSN", "MLSE"
_HEAD = struct.Struct("<IHH16sQQI")  # magic, format, 0, life, index, term, checksum
_BLOCK = struct.Struct("<II")  # size in bytes, checksum continued from the previous block's
_END = struct.Struct("<IIQI")  # magic, number of blocks, their total bytes, checksum
MAX_BLOCK_BYTES = 64 << 20
SYNC_INTERVAL_BYTES = 1 << 20  # a single large sync at the end would delay the syncs of the log


@dataclass(frozen=True, slots=True)
class SnapshotHeader:
    version: int
    life: bytes
    index: int  # of the last log entry that the state includes
    term: int


def snapshot_name(index: int) -> str:
    return f"snap-{index:020d}.snap"


def snapshot_index(name: str) -> int | None:
    """Parse the index from the name of a snapshot; None for other files."""
    number = name.removeprefix("snap-").removesuffix(".snap")
    return int(number) if name == f"snap-{number}.snap" and len(number) == 20 and number.isdecimal() else None


class SnapshotWriter:
    """Writes one snapshot. Every call may block; the snapshot is durable under its name when `finish` returns.

    Every call may raise DiskFull or DiskFailed; the caller then calls `abandon` to remove the partial file."""

    def __init__(self, disk: Disk, header: SnapshotHeader, name: str = "") -> None:
        self._disk, self._name = disk, name or snapshot_name(header.index)
        self._file: File = disk.create(self._name + TEMPORARY_SUFFIX)
        data = _HEAD.pack(MAGIC, header.version, 0, header.life, header.index, header.term, 0)[:-4]
        self._check = checksum(data)
        self._file.write(data + struct.pack("<I", self._check))
        self._blocks = self._bytes = self._unsynced = 0

    def write(self, block: bytes) -> None:
        """Append a block. An empty block, with which a producer only yields control, is ignored."""
        if not block:
            return
        if len(block) > MAX_BLOCK_BYTES:
            raise ValueError(f"a snapshot block of {len(block)} bytes exceeds the limit of {MAX_BLOCK_BYTES}")
        self._check = checksum(block, self._check)
        self._file.write(_BLOCK.pack(len(block), self._check), block)
        self._blocks, self._bytes = self._blocks + 1, self._bytes + len(block)
        self._unsynced += len(block)
        if self._unsynced >= SYNC_INTERVAL_BYTES:
            self._file.sync()
            self._unsynced = 0

    def finish(self) -> None:
        end = _END.pack(END_MAGIC, self._blocks, self._bytes, 0)[:-4]
        self._file.write(_BLOCK.pack(0, 0) + end + struct.pack("<I", checksum(end, self._check)))
        self._file.sync()
        self._file.close()
        self._disk.rename(self._name + TEMPORARY_SUFFIX, self._name)
        self._disk.sync_directory()

    def abandon(self) -> None:
        """Close and remove the unfinished file."""
        self._file.close()
        if self._name + TEMPORARY_SUFFIX in self._disk.names():
            self._disk.unlink(self._name + TEMPORARY_SUFFIX)


class SnapshotReader:
    """Reads a snapshot block by block, with one block in memory. `offset` is the position in bytes, or that of the
    invalid block after an error."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk, self._name, self.offset = disk, name, 0
        data = self._read_exact(_HEAD.size)
        magic, version, zero, life, index, term, check = _HEAD.unpack(data)
        if magic != MAGIC:
            raise Unreadable("this is no snapshot")
        if check != checksum(data[:-4]) or version < OLDEST_FORMAT or zero:
            raise Unreadable("the snapshot's header does not match its checksum")
        if version > FORMAT:
            raise NewerFormat(f"written in format {version}; this program reads {OLDEST_FORMAT} to {FORMAT}")
        if len(life) != LIFE_SIZE or snapshot_index(name) not in (None, index):
            raise Unreadable(f"the snapshot is of index {index}, not of the one in its name")
        self.head, self._check = SnapshotHeader(version, life, index, term), check

    def _read_exact(self, size: int) -> bytes:
        data = self._disk.read(self._name, self.offset, size)
        if len(data) < size:
            raise Unreadable(f"the snapshot is cut short: {len(data)} of {size} bytes")
        self.offset += size
        return data

    def blocks(self) -> Iterator[bytes]:
        """Yield the blocks in order. Raises Unreadable, possibly only after the last block: the snapshot is verified
        only once the iteration ends."""
        count = total = 0
        while True:
            start = self.offset
            size, check = _BLOCK.unpack(self._read_exact(_BLOCK.size))
            if not size:
                break
            if size > MAX_BLOCK_BYTES:
                self.offset = start
                raise Unreadable(f"a block of {size} bytes")
            block = self._read_exact(size)
            self._check = checksum(block, self._check)
            if self._check != check:
                self.offset = start
                raise Unreadable("a block does not match its checksum")
            count, total = count + 1, total + size
            yield block
        end = self._read_exact(_END.size)
        magic, blocks, expected, check = _END.unpack(end)
        if (magic, blocks, expected, check) != (END_MAGIC, count, total, checksum(end[:-4], self._check)):
            raise Unreadable("the snapshot's end does not match its blocks")
        if self._disk.size(self._name) != self.offset:
            raise Unreadable("there are bytes behind the snapshot's end")

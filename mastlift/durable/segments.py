"""Reads segments of the log. A segment holds valid frames in order and ends cleanly, in a torn tail, or in damage."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from mastlift.durable import frames
from mastlift.durable.disk import Disk
from mastlift.durable.frames import (
    FRAME_HEADER_SIZES,
    SEGMENT_HEADER_SIZE,
    Frame,
    Kind,
    SegmentHeader,
    Unreadable,
    checksum,
)

READ_CHUNK_BYTES = 4 << 20


class Damaged(Exception):
    """Data that was synced has changed or is missing. `offset` is in bytes."""

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at byte {offset}: {reason}")
        self.file, self.offset, self.reason = file, offset, reason


class TornTail(Exception):
    """The segment ends in `size` bytes at `offset` that are not a valid frame and are not followed by one."""

    def __init__(self, offset: int, size: int, reason: str) -> None:
        super().__init__(f"{size} bytes at {offset}: {reason}")
        self.offset, self.size, self.reason = offset, size, reason


@dataclass(frozen=True, slots=True)
class Position:
    """A position in the log: the index of the next entry and the checksum of the frame before it, which the next frame
    must carry."""

    index: int
    previous_checksum: int


def segment_name(first: int) -> str:
    return f"log-{first:020d}.seg"


def segment_first(name: str) -> int | None:
    """Parse the index of the first entry from the name of a segment; None for other files."""
    number = name.removeprefix("log-").removesuffix(".seg")
    return int(number) if name == f"log-{number}.seg" and len(number) == 20 and number.isdecimal() else None


def read_segment_header(disk: Disk, name: str, life: bytes) -> SegmentHeader:
    """Read and verify the header of a segment. Raises Damaged, NewerFormat."""
    try:
        head = frames.decode_segment_header(disk.read(name, 0, SEGMENT_HEADER_SIZE))
    except Unreadable as error:
        raise Damaged(name, 0, str(error)) from error
    if head.life != life:
        raise Damaged(
            name, 0, f"the segment belongs to another life ({head.life.hex()}), not to this folder's ({life.hex()})"
        )
    if segment_name(head.first) != name:
        raise Damaged(name, 0, f"the segment header has the first index {head.first}, which differs from its file name")
    return head


class SegmentReader:
    """Iterates over the frames of one segment and their bodies. `position` and `offset` follow the last frame returned.

    Holds READ_CHUNK_BYTES in memory, or one frame if that is larger."""

    def __init__(self, disk: Disk, name: str, life: bytes, position: Position | None = None) -> None:
        """`position` is the end of the preceding segment, which the header must match; None skips that check. Raises
        Damaged, NewerFormat."""
        self.disk, self.name, self.life = disk, name, life
        self.head = read_segment_header(disk, name, life)
        header_position = Position(self.head.first, self.head.previous_checksum)
        if position is not None and header_position != position:
            mismatch = (
                f"index {header_position.index}, {position.index} is next"
                if header_position.index != position.index
                else "another frame than the one that ends the segment before it"
            )
            raise Damaged(name, 0, f"the segment does not continue the log before it: it continues from {mismatch}")
        self.position, self.offset, self.count = header_position, SEGMENT_HEADER_SIZE, 0
        self.last_kind: Kind | None = None
        # The end of the last frame that is followed by further bytes, which proves that its sync completed.
        self.known_durable = (
            header_position,
            SEGMENT_HEADER_SIZE,
        )
        self._seed = checksum(life)

    @property
    def sealed(self) -> bool:
        return self.last_kind is Kind.SEAL

    def __iter__(self) -> Iterator[tuple[Frame, bytes]]:
        """Yield each frame header and its body. Raises TornTail if the segment ends in an unacknowledged write,
        Damaged if synced data is invalid."""
        size, buffer, base = self.disk.size(self.name), b"", self.offset
        header_size = FRAME_HEADER_SIZES[self.head.version]
        while self.offset < size:
            at = self.offset - base
            try:
                if len(buffer) - at < header_size:
                    buffer, base, at = self.disk.read(self.name, self.offset, READ_CHUNK_BYTES), self.offset, 0
                frame = frames.decode_frame(self.head.version, self._seed, buffer, at)
                frame_size = frames.size_on_disk(self.head.version, frame.body_size)
                if self.offset + frame_size > size:
                    raise Unreadable("the file ends within a frame")
                if len(buffer) - at < frame_size:
                    buffer, base, at = (
                        self.disk.read(self.name, self.offset, max(READ_CHUNK_BYTES, frame_size)),
                        self.offset,
                        0,
                    )
                if frame.body_check != checksum(buffer[at + header_size : at + frame_size]):
                    raise Unreadable("the frame's body does not match its checksum")
                body = buffer[at + header_size : at + header_size + frame.body_size]
            except Unreadable as error:
                self._raise_tail_error(str(error), size)
            frame_position = Position(frame.first, frame.previous_checksum)
            if frame_position != self.position:
                raise Damaged(
                    self.name,
                    self.offset,
                    f"the frame with index {frame.first} does not continue the "
                    f"frame before it (expected index {self.position.index})",
                )
            if self.last_kind is Kind.SEAL:
                raise Damaged(self.name, self.offset, "a frame follows the segment's seal")
            self.known_durable = self.position, self.offset
            self.offset += frame_size
            # The next segment is created before the seal is written, so it continues from the frame before the seal.
            if frame.kind is not Kind.SEAL:
                self.position = Position(frame.first + frame.count, frames.chain(frame))
            self.last_kind, self.count = frame.kind, self.count + frame.count
            yield frame, body

    def _raise_tail_error(self, reason: str, size: int) -> None:
        """Raise Damaged if a valid frame follows the unreadable bytes at `offset`, else TornTail."""
        self.known_durable = self.position, self.offset
        rest = self.disk.read(self.name, self.offset, size - self.offset)
        valid_frame = frames.find_valid_frame(self.head.version, self._seed, rest, self.position.index)
        if valid_frame is not None:
            raise Damaged(
                self.name,
                self.offset,
                f"{reason}; a later frame (index {valid_frame[1].first}) at byte {self.offset + valid_frame[0]}",
            )
        raise TornTail(self.offset, size - self.offset, reason)

"""The encoding of the log on disk. Performs no I/O.

A segment is a header followed by frames. A frame is the unit of one sync: `count` entries from index `first` on, in one
body that is opaque to this package. The life is a random id that every newly created or restored folder gets. Each
frame carries the checksum of the frame before it, and the checksum of every frame header is seeded with the life, so
that a frame or segment of another life, of another keeper or from another position is not accepted. Checksums are
CRC-32C (Castagnoli), integers are little endian.

Frames start on a sector boundary and are padded with zeros to whole sectors. A torn write therefore cannot damage a
sector of an acknowledged frame, and one lost sector cannot hold both a frame and the frame that proves its existence.

A frame is written only after the preceding one is synced. Unreadable bytes followed by a valid frame header are
therefore damage to synced data; unreadable bytes followed by none are a write that was never acknowledged. A MARK frame
(without entries) after the last frame proves that the sync of that frame completed. A SEAL frame says that another
segment follows.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from google_crc32c import extend

OLDEST_FORMAT, FORMAT = 1, 2  # oldest readable and current version; 2 added the term of a frame's entries
SEGMENT_MAGIC, FRAME_MAGIC = 0x47534C4D, 0x52464C4D  # "MLSG", "MLFR"
_SEGMENT = struct.Struct(
    "<IHH16sQII"
)  # magic, format, 0, life, first index, checksum of the previous frame, own checksum
SECTOR = 512  # bytes; the alignment of frames
SEGMENT_HEADER_SIZE = SECTOR  # bytes, with padding
_FRAME = {
    # magic, kind, 0, body size in bytes, entry count, first index, checksum of the previous frame, of the body
    1: struct.Struct("<IHHIIQII"),
    # the same with the term after the first index
    2: struct.Struct("<IHHIIQQII"),
}
_CHECK = struct.Struct("<I")
FRAME_HEADER_SIZES = {version: header_struct.size + _CHECK.size for version, header_struct in _FRAME.items()}
LIFE_SIZE = 16  # bytes


class Kind(IntEnum):
    """The kinds of frames, as written to disk."""

    ENTRIES = 1
    MARK = 2
    SEAL = 3


class Unreadable(Exception):
    """The bytes are not a valid segment header, frame or snapshot; the text gives the reason."""


class NewerFormat(Exception):
    """The file has a format that only a later version of the program reads."""


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    version: int
    life: bytes
    first: int  # index of the first entry
    previous_checksum: int  # checksum of the frame before the first one


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame header."""

    kind: Kind
    first: int  # index of the first entry; for a MARK or SEAL, of the next entry
    count: int
    term: int
    previous_checksum: int
    body_check: int
    body_size: int
    check: int  # checksum of this header, the `previous_checksum` of the next frame


def checksum(data: bytes, seed: int = 0) -> int:
    """CRC-32C of `data`, continued from the checksum `seed`."""
    value: int = extend(seed, data)
    return value


def chain(frame: Frame) -> int:
    """The `previous_checksum` that the next frame must carry."""
    return frame.check


def pad_to_sector(data: bytes) -> bytes:
    """Pad with zeros to a multiple of the sector size."""
    return data + bytes(-len(data) % SECTOR)


def encode_segment_header(header: SegmentHeader) -> bytes:
    data = _SEGMENT.pack(SEGMENT_MAGIC, header.version, 0, header.life, header.first, header.previous_checksum, 0)[:-4]
    return pad_to_sector(data + _CHECK.pack(checksum(data)))


def decode_segment_header(data: bytes) -> SegmentHeader:
    """Raises Unreadable, NewerFormat."""
    if len(data) < SEGMENT_HEADER_SIZE:
        raise Unreadable(f"the segment's header has {len(data)} of {SEGMENT_HEADER_SIZE} bytes")
    magic, version, zero, life, first, previous_checksum, check = _SEGMENT.unpack_from(data)
    padding = data[_SEGMENT.size : SEGMENT_HEADER_SIZE]
    if magic != SEGMENT_MAGIC:
        raise Unreadable("this is no segment of a log")
    if check != checksum(data[: _SEGMENT.size - 4]) or version < OLDEST_FORMAT or zero or any(padding):
        raise Unreadable("the segment's header does not match its checksum")
    if version > FORMAT:  # all formats share this header, so that a newer format is not reported as damage
        raise NewerFormat(f"written in format {version}; this program reads {OLDEST_FORMAT} to {FORMAT}")
    return SegmentHeader(version, life, first, previous_checksum)


def encode_frame(
    version: int, life: bytes, kind: Kind, first: int, count: int, term: int, previous_checksum: int, body: bytes = b""
) -> tuple[tuple[bytes, bytes, bytes], Frame]:
    """Return the bytes of the frame as header, body and padding, and its decoded header. The pieces are not joined,
    because copying a large body takes as long as writing it."""
    padding = bytes(-(FRAME_HEADER_SIZES[version] + len(body)) % SECTOR)
    body_check = checksum(padding, checksum(body))
    leading_fields, trailing_fields = (FRAME_MAGIC, kind, 0, len(body), count, first), (previous_checksum, body_check)
    data = (
        _FRAME[1].pack(*leading_fields, *trailing_fields)
        if version == 1
        else _FRAME[version].pack(*leading_fields, term, *trailing_fields)
    )
    check = checksum(data, checksum(life))
    frame = Frame(kind, first, count, term if version > 1 else 0, previous_checksum, body_check, len(body), check)
    return (data + _CHECK.pack(check), body, padding), frame


def size_on_disk(version: int, body_size: int) -> int:
    """The size of a frame in bytes, with header and padding."""
    size = FRAME_HEADER_SIZES[version] + body_size
    return size + -size % SECTOR


def decode_frame(version: int, seed: int, data: bytes, at: int = 0) -> Frame:
    """Decode the frame header at offset `at`, without verifying the body. `seed` is the checksum of the life.
    Raises Unreadable."""
    header_struct = _FRAME[version]
    if len(data) - at < FRAME_HEADER_SIZES[version]:
        raise Unreadable("the file ends within a frame's header")
    if version == 1:
        magic, kind, zero, size, count, first, previous_checksum, body_check = header_struct.unpack_from(data, at)
        term = 0
    else:
        magic, kind, zero, size, count, first, term, previous_checksum, body_check = header_struct.unpack_from(data, at)
    if magic != FRAME_MAGIC:
        raise Unreadable("no frame begins here")
    (check,) = _CHECK.unpack_from(data, at + header_struct.size)
    if check != checksum(data[at : at + header_struct.size], seed):
        raise Unreadable("the frame's header does not match its checksum, or is of another life")
    if zero or kind not in KINDS or (kind != Kind.ENTRIES and (size or count)):
        raise Unreadable("the frame's header makes no sense")
    return Frame(KINDS[kind], first, count, term, previous_checksum, body_check, size, check)


KINDS = {int(kind): kind for kind in Kind}


def find_valid_frame(version: int, seed: int, data: bytes, first: int) -> tuple[int, Frame] | None:
    """Search the sectors after the first one for a valid frame header with an index of at least `first`; return its
    offset in `data` and the header."""
    for at in range(SECTOR, len(data), SECTOR):
        try:
            frame = decode_frame(version, seed, data, at)
        except Unreadable:
            continue
        if frame.first >= first:
            return at, frame
    return None

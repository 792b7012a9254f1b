"""The files that an agent saves: the newest version that it knows, and the proxy's file that was last in force.

Each is one small file with a checksum in front of its body, replaced atomically. A file that cannot be read or does not
match its checksum is reported and treated as absent; no part of it is used.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

import msgspec

from mastlift.configuration.versions import Version, VersionId, decode_version, encode_version
from mastlift.durable.disk import Disk, write_file_atomically

TARGET_FILE, LAST_GOOD_FILE = "newest.json", "in-force.json"
MAX_FILE_BYTES = 8 << 20


class SavedFile(msgspec.Struct, frozen=True):
    """The proxy's file of one version as it was in force."""

    service: str
    id: VersionId
    digest: str
    data: str


@dataclass(slots=True)
class Saved:
    """The saved files that were found at the start. `problems` describes each unusable file in one line for the log."""

    target: Version | None = None
    last_good: SavedFile | None = None
    problems: list[str] = field(default_factory=list)


def _add_checksum(body: bytes) -> bytes:
    return b"%08x\n" % crc32(body) + body


def _verify_checksum(data: bytes) -> bytes:
    check, _, body = data.partition(b"\n")
    if check != b"%08x" % crc32(body):
        raise ValueError("it does not match its checksum")
    return body


def save_target(disk: Disk, version: Version) -> None:
    """Raises DiskFull, DiskFailed."""
    write_file_atomically(disk, TARGET_FILE, _add_checksum(encode_version(version)))


def save_last_good(disk: Disk, last_good: SavedFile) -> None:
    """Raises DiskFull, DiskFailed."""
    write_file_atomically(disk, LAST_GOOD_FILE, _add_checksum(msgspec.json.encode(last_good)))


def sync_directories(*disks: Disk) -> None:
    """Make the names of files durable at the start.

    An agent that was killed between a rename and the sync of its folder leaves a file whose rename a crash of the
    machine could undo. Raises DiskFailed."""
    for disk in disks:
        disk.sync_directory()


def load_saved(disk: Disk, service: str) -> Saved:
    """Load the saved files of this service. Unusable files are skipped and described in `problems`."""
    saved = Saved()
    if (body := _read(disk, TARGET_FILE, saved)) is not None:
        try:
            saved.target = decode_version(body, service)
        except ValueError as error:
            saved.problems.append(f"{TARGET_FILE}: {error}")
    if (body := _read(disk, LAST_GOOD_FILE, saved)) is not None:
        try:
            saved.last_good = _decode_last_good(body, service)
        except (msgspec.DecodeError, ValueError) as error:
            saved.problems.append(f"{LAST_GOOD_FILE}: {error}")
    return saved


def _decode_last_good(body: bytes, service: str) -> SavedFile:
    last_good = msgspec.json.decode(body, type=SavedFile)
    if last_good.service != service:
        raise ValueError(f"it belongs to the service '{last_good.service}', not to '{service}'")
    return last_good


def _read(disk: Disk, name: str, saved: Saved) -> bytes | None:
    if name not in disk.names():
        return None
    try:
        return _verify_checksum(disk.read(name, 0, MAX_FILE_BYTES))
    except (OSError, ValueError) as error:
        saved.problems.append(f"{name}: {error}")
        return None

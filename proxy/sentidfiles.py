"""The request ids that processes of one proxy have sent, shared through files while more than one of them runs.

Each process appends to a file of its own in the shared folder and reads those of the others, also after their end.
"""

from __future__ import annotations

import hashlib
import logging
import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

from balancing.sentids import REMEMBERED_MS

log = logging.getLogger(__name__)

RECORD_SIZE = 16  # bytes of the digest of an id
READ_SIZE = 1 << 16  # bytes


def digest(trace_id: str) -> bytes:
    """A record: ids come from clients and may be of any length."""
    return hashlib.blake2b(trace_id.encode(), digest_size=RECORD_SIZE).digest()


class PeerFile:
    """The ids of one other process."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._descriptor = -1
        self._digests: set[bytes] = set()
        self.last_seen = 0.0  # when its process was known to run, in seconds

    def has(self, record: bytes) -> bool:
        """Whether the other process has sent it, as far as its file says by now."""
        self.open()
        if self._descriptor >= 0:
            self._read()
        return record in self._digests

    def open(self) -> None:
        """Opens the file, if it is there and not open yet: it can then be read after it was removed, too."""
        if self._descriptor < 0:
            with suppress(OSError):
                self._descriptor = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC)

    def _read(self) -> None:
        try:
            while data := os.pread(self._descriptor, READ_SIZE, len(self._digests) * RECORD_SIZE):
                whole = len(data) - len(data) % RECORD_SIZE
                if not whole:
                    return
                self._digests.update(data[start : start + RECORD_SIZE] for start in range(0, whole, RECORD_SIZE))
        except OSError as problem:
            log.warning("cannot read the ids that another process has sent: %s", problem)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class SentIdFiles:
    """This process's file, and those of its peers."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._descriptor = -1
        self._recorded: set[bytes] = set()
        self._peers: dict[Path, PeerFile] = {}

    def watch(self, paths: Iterable[Path], now: float) -> None:
        """Reads the files of the other processes that run now, and of others for REMEMBERED_MS after their end."""
        for path in paths:
            peer = self._peers.setdefault(path, PeerFile(path))
            peer.last_seen = now
            peer.open()
        for path, peer in list(self._peers.items()):
            if now - peer.last_seen > REMEMBERED_MS / 1000.0:
                peer.close()
                del self._peers[path]
        if not self._peers:
            self._remove_own()

    def is_shared(self) -> bool:
        """Another process runs, or did a short while ago."""
        return bool(self._peers)

    def record(self, trace_ids: Iterable[str]) -> None:
        """Appends ids to this process's file, each once."""
        records = {digest(trace_id) for trace_id in trace_ids} - self._recorded
        if not records:
            return
        try:
            if self._descriptor < 0:
                flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
                self._descriptor = os.open(self._path, flags, 0o600)
            os.write(self._descriptor, b"".join(records))
            self._recorded |= records
        except OSError as problem:
            log.warning("cannot record sent ids for other processes: %s", problem)

    def peer_has(self, trace_id: str) -> bool:
        """Whether another process has sent a request under this id."""
        record = digest(trace_id)
        return any(peer.has(record) for peer in self._peers.values())

    def close(self) -> None:
        """Closes all files and removes this process's own."""
        for peer in self._peers.values():
            peer.close()
        self._remove_own()

    def _remove_own(self) -> None:
        self._recorded.clear()
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
            self._path.unlink(missing_ok=True)

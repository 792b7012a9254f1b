"""Hand-over of state from an old proxy process to a new one that the platform starts beside it.

Each process has a mark file in a shared folder, named by its start time, and holds a lock on it until it ends. A mark
file without a lock was left by a dead process and is removed. The old process passes its state to the new one in a
second file, which is written under a temporary name and then renamed.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from proxy.lifecycle import LifeCycle, Phase

log = logging.getLogger(__name__)

# The prefix is a former name of the package: processes of older versions in the same folder still use it.
PREFIX, MARK, STATE, PART, IDS = "cometdoor-", ".mark", ".state", ".part", ".ids"
POLL_INTERVAL_S = 0.05
STATE_WAIT_S = 0.5  # the new process waits this long for the state of the old one
MAX_STATE_AGE_S = 5.0  # older state is ignored as out of date
MAX_FILE_SIZE = 8 << 20  # bytes


@dataclass(frozen=True, slots=True)
class Peer:
    """Another process of the same proxy, as its mark file describes it."""

    start: int  # time.monotonic_ns() at its start; identifies the process
    phase: str
    evacuation_ordered: bool
    ordered_at: float
    descriptors: int  # the limit that it keeps to


def read_object(path: Path) -> dict[str, Any]:
    """Reads a JSON object. Raises OSError, or ValueError if the file is too large or holds something else."""
    if path.stat().st_size > MAX_FILE_SIZE:
        raise ValueError(f"{path} is larger than {MAX_FILE_SIZE} bytes")
    value = orjson.loads(path.read_bytes())
    if not isinstance(value, dict):
        raise ValueError(f"{path} holds no JSON object")
    return value


class Handover:
    """This process's mark and state files, and those of its peers.

    `export_state` returns the state for a newer process; `on_peers_read` is called after each reading of the peers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path, life: LifeCycle) -> None:
        self._loop = loop
        self._folder = folder
        self._life = life
        self.start = time.monotonic_ns()
        self._mark = self._path(self.start, MARK)
        self._lock = -1
        self._informed: set[int] = set()  # newer processes for which the state was written
        self._timer: asyncio.TimerHandle | None = None
        self.peers: list[Peer] = []
        self.descriptors = 0
        self.export_state: Callable[[], dict[str, Any]] = dict
        self.on_peers_read: Callable[[], None] = lambda: None
        life.add_listener(lambda phase: self.write())

    def _path(self, start: int, ending: str) -> Path:
        return self._folder / f"{PREFIX}{start}{ending}"

    def ids_path(self) -> Path:
        """The file for the ids that this process has sent."""
        return self._path(self.start, IDS)

    def peers_ids_paths(self) -> list[Path]:
        """The files for the ids that the other processes have sent."""
        return [self._path(peer.start, IDS) for peer in self.peers]

    # --- this process ---

    def announce(self) -> None:
        """Creates the mark file; raises OSError.

        The file is locked before it gets its name: without a lock others would take it for that of a dead process.
        """
        part = self._path(self.start, PART)
        self._lock = os.open(part, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.write()
        part.rename(self._mark)

    def write(self) -> None:
        """Updates the mark file in place: a renamed new file would not be the locked one.

        A partly written file is not a JSON object, so a reader keeps the previous content and reads it again.
        """
        if self._lock < 0:
            return
        data = orjson.dumps(
            {
                "phase": self._life.phase.value,
                "away": self._life.evacuation_ordered,
                "ordered_at": self._life.ordered_at,
                "descriptors": self.descriptors,
            }
        )
        try:
            os.ftruncate(self._lock, 0)
            os.pwrite(self._lock, data, 0)
        except OSError as problem:
            log.warning("mark file can't be written, other processes do not see this one's phase: %s", problem)

    def close(self) -> None:
        """Removes this process's files and releases the lock on its mark file."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._lock >= 0:
            for ending in (MARK, STATE, PART):
                self._path(self.start, ending).unlink(missing_ok=True)
            os.close(self._lock)
            self._lock = -1

    # --- other processes ---

    def read_peers(self) -> None:
        """Reads the mark files of all peers, follows their orders, and writes the state for newer ones once."""
        self.peers = sorted(self._find_peers(), key=lambda peer: peer.start)
        for peer in self.peers:
            self._life.follow(peer.evacuation_ordered, peer.ordered_at)
            if peer.start > self.start and peer.start not in self._informed:
                self._write_state(peer.start)
        self.on_peers_read()

    def watch(self) -> None:
        """Reads the peers now and then every POLL_INTERVAL_S."""
        self.read_peers()
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self.watch)

    def _find_peers(self) -> list[Peer]:
        found = []
        try:
            names = os.listdir(self._folder)
        except OSError:
            return []
        for name in names:
            number = name.removeprefix(PREFIX).removesuffix(MARK)
            if name.startswith(PREFIX) and name.endswith(MARK) and number.isdecimal():
                start = int(number)
                if start != self.start and (peer := self._read_peer(start)):
                    found.append(peer)
        return found

    def _read_peer(self, start: int) -> Peer | None:
        path = self._path(start, MARK)
        known = next((peer for peer in self.peers if peer.start == start), None)
        try:
            if self._is_unlocked(path):
                for ending in (MARK, STATE, PART, IDS):
                    self._path(start, ending).unlink(missing_ok=True)
                return None
            content = read_object(path)
            return Peer(
                start,
                str(content["phase"]),
                bool(content["away"]),
                float(content["ordered_at"]),
                int(content["descriptors"]),
            )
        except (OSError, ValueError, KeyError, TypeError):
            return known  # the file is being written

    @staticmethod
    def _is_unlocked(path: Path) -> bool:
        """No process holds the file's lock."""
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return True
        except BlockingIOError:
            return False
        finally:
            os.close(descriptor)

    def set_descriptors(self, descriptors: int) -> None:
        """Announces the number of descriptors that this process uses at most; the others use the rest."""
        if descriptors != self.descriptors:
            self.descriptors = descriptors
            self.write()

    def peers_descriptors(self) -> int:
        return sum(peer.descriptors for peer in self.peers)

    def has_newer_peer(self) -> bool:
        """A newer process is running, in any phase."""
        return any(peer.start > self.start for peer in self.peers)

    def has_successor(self) -> bool:
        """A newer process serves."""
        serving = (Phase.SERVING.value, Phase.EVACUATING.value)
        return any(peer.start > self.start and peer.phase in serving for peer in self.peers)

    # --- state ---

    def _write_state(self, start: int) -> None:
        self._informed.add(start)
        part, state = self._path(self.start, PART), self._path(self.start, STATE)
        try:
            part.write_bytes(orjson.dumps({"at": time.monotonic(), "for": start, **self.export_state()}))
            part.rename(state)
        except (OSError, TypeError, ValueError) as problem:
            log.warning("state can't be written for the newer process: %s", problem)

    async def receive_state(self) -> dict[str, Any] | None:
        """The state of the next older process; None if there is none, or without usable state after STATE_WAIT_S."""
        until = self._loop.time() + STATE_WAIT_S
        while True:
            self.read_peers()
            older = [peer.start for peer in self.peers if peer.start < self.start]
            if not older:
                return None
            content = self._read_state(older[-1])
            if content is not None:
                return content
            if self._loop.time() >= until:
                log.warning("no usable state from the older process within %.1f s", STATE_WAIT_S)
                return None
            await asyncio.sleep(POLL_INTERVAL_S / 2)

    def _read_state(self, start: int) -> dict[str, Any] | None:
        try:
            content = read_object(self._path(start, STATE))
            age = time.monotonic() - float(content["at"])
            return content if content["for"] == self.start and 0.0 <= age < MAX_STATE_AGE_S else None
        except (OSError, ValueError, KeyError, TypeError):
            return None

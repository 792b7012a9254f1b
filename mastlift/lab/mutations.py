"""Rules broken on purpose, by name, to see that the checkers find it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from mastlift.durable import frames, journal
from mastlift.lab.simdisk import SimDisk


def _put_without_sync(self: journal.Journal, pieces: tuple[bytes, ...]) -> None:
    assert self._file is not None
    self._file.write(*pieces)


def _leave_tail(disk: Any, name: str, open_: journal.Journal, torn: Any, recovery: Any) -> None:
    open_._file = disk.append(name)
    if torn is not None:
        open_._file.truncate(open_.size)


MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "ack-before-sync": (journal.Journal, "_put", _put_without_sync),
    "no-folder-sync": (SimDisk, "sync_names", lambda self: self.step()),
    "unchained": (frames, "chain", lambda frame: 0),
    "tail-left-unsynced": (journal, "_make_tail_durable", _leave_tail),
    "any-tail-is-torn": (frames, "sound_frame_after", lambda *_: None),
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Within this, the named rule is not kept. Raises KeyError for a name that is not known."""
    owner, attribute, broken = MUTATIONS[name]
    with mock.patch.object(owner, attribute, broken):
        yield

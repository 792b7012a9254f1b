"""Memory that is held for peers, counted in bytes by kind, for each connection and for the process."""

from __future__ import annotations

import ctypes
import math
import os
from contextlib import suppress
from enum import Enum
from pathlib import Path

STATM = Path("/proc/self/statm")  # proc(5): sizes in pages; the second is the resident set
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
# Bytes of the objects that hold one header field, beside its text: a tuple, two byte strings, a place in a list.
HEADER_FIELD_OVERHEAD = 180


class Held(Enum):
    """What memory is held for; the values are labels of metrics and of log lines."""

    HEAD = "request_heads"
    INCOMPLETE_HEAD = "incomplete_request_heads"
    INPUT = "unparsed_input"
    BODY = "buffered_bodies"
    STREAM = "streamed_bodies"
    ANSWER = "unsent_answers"
    SERVER_REQUEST = "unsent_requests_to_servers"
    SERVER_ANSWER = "buffered_answers_of_servers"


class HeldMemory:
    """The sums over all connections of the process."""

    def __init__(self) -> None:
        self.total = 0  # bytes
        self.by_kind = dict.fromkeys(Held, 0)  # bytes

    def text(self) -> str:
        """What is held, by kind, for a log line; the largest first."""
        held = sorted(self.by_kind.items(), key=lambda item: -item[1])
        return ", ".join(f"{kind.value} {size}" for kind, size in held if size) or "nothing"


class MemoryAccount:
    """What is held for one connection."""

    __slots__ = ("_memory", "_sizes", "total")

    def __init__(self, memory: HeldMemory) -> None:
        self._memory = memory
        self._sizes: dict[Held, int] = {}
        self.total = 0  # bytes

    def add(self, kind: Held, size: int) -> None:
        """Adds to what is held of this kind; a negative size takes away."""
        self._sizes[kind] = self._sizes.get(kind, 0) + size
        self.total += size
        self._memory.by_kind[kind] += size
        self._memory.total += size

    def set(self, kind: Held, size: int) -> None:
        """States how many bytes are held of this kind from now on."""
        change = size - self._sizes.get(kind, 0)
        if change:
            self.add(kind, change)

    def release(self) -> None:
        """Nothing is held any more."""
        for kind in self._sizes:
            self.set(kind, 0)


def resident_bytes() -> float:
    """The resident set of this process in bytes; NaN if it can't be read, for example without a free descriptor."""
    try:
        return int(STATM.read_text("ascii").split()[1]) * PAGE_SIZE
    except OSError:
        return math.nan


def release_free_memory() -> None:
    """Gives free memory back to the system, where the C library can do so: malloc_trim(3) of glibc."""
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)

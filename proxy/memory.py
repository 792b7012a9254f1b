"""Memory that is held for peers, counted in bytes by kind, for each connection and for the process."""

from __future__ import annotations

import ctypes
import math
import os
from contextlib import suppress
from enum import StrEnum
from pathlib import Path

STATM = Path("/proc/self/statm")  # proc(5): sizes in pages; the second is the resident set
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
MB = 1_000_000  # bytes, as in the settings
# Of what the process has left after its start. The rest is for what is not counted here: the allocator's gaps, lists of
# servers, the balancer's figures, objects that are about to be released.
HELD_SHARE = 0.55
SMALLEST_LIMIT = 1_000_000  # bytes held, where the start has taken nearly all
TIGHT_SHARE = 0.75  # of the limit; above it no long body is begun, and answers are passed on in small pieces
RELIEVED_SHARE = 0.9  # of the limit; requests that are still received are refused until no more than that is held
# Bytes of objects of the program, the event loop and the parsers.
REQUEST_HEAD_OVERHEAD = 700  # of a request that waits or is open, beside its header fields
HEADER_FIELD_OVERHEAD = 180  # beside its text: a tuple, two byte strings, a place in a list
CLIENT_CONNECTION_BYTES = 3_500
SERVER_CONNECTION_BYTES = 5_000
OPEN_REQUEST_BYTES = 6_000


class Held(StrEnum):
    """What memory is held for; the values are labels of metrics and of log lines."""

    CONNECTION = "connections"
    REQUEST = "open_requests"
    HEAD = "request_heads"
    INCOMPLETE_HEAD = "incomplete_request_heads"
    INPUT = "unparsed_input"
    BODY = "buffered_bodies"
    STREAM = "streamed_bodies"
    ANSWER = "unsent_answers"
    SERVER_REQUEST = "unsent_requests_to_servers"
    SERVER_ANSWER = "buffered_answers_of_servers"


class HeldMemory:
    """The sums over all connections of the process, and the limit on them."""

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit  # bytes
        self.total = 0  # bytes
        self.by_kind = dict.fromkeys(Held, 0)  # bytes

    def is_over(self) -> bool:
        """Nothing more is taken up, and requests that are still received are refused."""
        return self.total > self.limit

    def is_tight(self) -> bool:
        """Little is left below the limit."""
        return self.free() < 0.0

    def free(self) -> float:
        """Bytes that are left until memory is tight; below 0 if it is."""
        return TIGHT_SHARE * self.limit - self.total

    def open_requests(self) -> int:
        """The number of requests that are being handled."""
        return self.by_kind[Held.REQUEST] // OPEN_REQUEST_BYTES

    def excess(self) -> float:
        """Bytes to release until enough is free for requests to come."""
        return self.total - RELIEVED_SHARE * self.limit

    def text(self) -> str:
        """What is held, by kind, for a log line; the largest first."""
        held = sorted(self.by_kind.items(), key=lambda item: -item[1])
        return ", ".join(f"{kind.value} {size}" for kind, size in held if size) or "nothing"


def held_limit(memory_mb: float, resident: float) -> float:
    """Bytes that may be held for peers by a process with this limit on its memory and this resident set after its
    start, which may be unknown (NaN)."""
    left = memory_mb * MB - (0.0 if math.isnan(resident) else resident)
    return max(HELD_SHARE * left, SMALLEST_LIMIT)


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

"""Processor time, memory and bytes of other processes, as the system counts them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from mastlift.lab.processes import cpu_s


@dataclass(frozen=True, slots=True)
class Usage:
    """One process at one moment. `read` and `written` are bytes of all its calls, to sockets and files alike; `stored`
    those of them that a disk was given."""

    at: float
    cpu_s: float
    rss_mb: float
    read: int
    written: int
    calls: int
    stored: int


@dataclass(frozen=True, slots=True)
class Rates:
    """Between two moments, a second. `core_share` is of one core."""

    core_share: float
    rss_mb: float
    read_kb: float
    written_kb: float
    calls: float
    stored_kb: float


def rss_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")) / 1024


def usage(pid: int) -> Usage:
    counters = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
    return Usage(
        time.monotonic(),
        cpu_s(pid),
        rss_mb(pid),
        int(counters["rchar"]),
        int(counters["wchar"]),
        int(counters["syscr"]) + int(counters["syscw"]),
        int(counters["write_bytes"]),
    )


def rates(before: Usage, after: Usage) -> Rates:
    seconds = after.at - before.at
    return Rates(
        (after.cpu_s - before.cpu_s) / seconds,
        after.rss_mb,
        (after.read - before.read) / seconds / 1024,
        (after.written - before.written) / seconds / 1024,
        (after.calls - before.calls) / seconds,
        (after.stored - before.stored) / seconds / 1024,
    )

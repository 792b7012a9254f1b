"""The proxy with one thing changed, to see what its tail comes from: `python -m mastlift.lab.capacity.variant NAME`.

`no-gc` never collects garbage, `no-log` writes no lines after its start, `timed` prints at its end how long decisions
and collections took. The proxy itself is the one of `python -m proxy`.
"""

from __future__ import annotations

import atexit
import gc
import logging
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from balancing import balancer
from proxy.__main__ import main as run_proxy

START_LINES = ("serves on", "discovery: at revision")


class Durations(msgspec.Struct):
    """Milliseconds, one a call."""

    decisions_ms: list[float] = msgspec.field(default_factory=list)
    collections_ms: list[float] = msgspec.field(default_factory=list)


def no_gc() -> None:
    gc.disable()


def no_log() -> None:
    """Only the lines of the start, which whoever started the proxy waits for."""
    handle = logging.Logger.handle

    def start_only(self: logging.Logger, record: logging.LogRecord) -> None:
        if any(part in str(record.msg) for part in START_LINES):
            handle(self, record)

    setattr(logging.Logger, "handle", start_only)  # noqa: B010  a method can't be assigned under strict typing


def timed() -> None:
    """Wrap the decisions and hear of collections; print both at the end."""
    durations, handle, started = Durations(), balancer.Balancer.handle, [0.0]

    def measured(self: Any, event: Any, now: float) -> Any:
        began = time.perf_counter()
        try:
            return handle(self, event, now)
        finally:
            durations.decisions_ms.append((time.perf_counter() - began) * 1000.0)

    def collected(phase: str, details: dict[str, int]) -> None:
        if phase == "start":
            started[0] = time.perf_counter()
        else:
            durations.collections_ms.append((time.perf_counter() - started[0]) * 1000.0)

    def show() -> None:
        print(f"durations {msgspec.json.encode(durations).decode()}", file=sys.stderr, flush=True)

    setattr(balancer.Balancer, "handle", measured)  # noqa: B010  a method can't be assigned under strict typing
    gc.callbacks.append(collected)
    atexit.register(show)


VARIANTS: dict[str, Callable[[], None]] = {"no-gc": no_gc, "no-log": no_log, "timed": timed}

if __name__ == "__main__":
    VARIANTS[sys.argv[1]]()
    sys.exit(run_proxy())

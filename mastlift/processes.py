"""Helpers to run other programs: they end with this process, and are signalled as a process group."""

from __future__ import annotations

import contextlib
import ctypes
import os
import signal
from pathlib import Path

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent ends, even if the parent is killed by SIGKILL.

    Called in the child before it executes its program."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def is_running(pid: int) -> bool:
    """Whether the process exists and has not ended. A zombie counts as ended."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] not in "ZX"
    except (FileNotFoundError, ProcessLookupError):
        return False


def signal_group(leader: int, number: signal.Signals) -> None:
    """Send a signal to all processes left in the group of `leader`; an empty group is no error."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(leader, number)

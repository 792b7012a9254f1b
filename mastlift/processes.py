"""What runs other programs shares: they end with this one, and as a group."""

from __future__ import annotations

import contextlib
import ctypes
import os
import signal
from pathlib import Path

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """In the child, before its program: it must not act on when this process is killed outright."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def is_running(pid: int) -> bool:
    """Whether a process is there and has not ended; one that nobody has waited for yet has."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] not in "ZX"
    except (FileNotFoundError, ProcessLookupError):
        return False


def signal_group(leader: int, number: signal.Signals) -> None:
    """To all that still runs of a process group."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(leader, number)

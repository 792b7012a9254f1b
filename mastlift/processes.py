"""What runs other programs shares: they end with this one, and as a group."""

from __future__ import annotations

import contextlib
import ctypes
import os
import signal

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """In the child, before its program: it must not act on when this process is killed outright."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def signal_group(leader: int, number: signal.Signals) -> None:
    """To all that still runs of a process group."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(leader, number)

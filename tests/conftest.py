"""Properties are drawn the same way each time: a verdict must not change between two runs of one text."""

import contextlib
import os
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.rig import started

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture(autouse=True)
def no_proxy_is_left() -> Iterator[None]:
    """A test that fails in the middle must not leave its proxies running."""
    yield
    while started:
        pid = started.pop()
        with contextlib.suppress(OSError):
            if b"proxy" in Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0"):
                os.kill(pid, signal.SIGKILL)

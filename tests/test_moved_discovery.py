"""Report 351900: discovery moves several times in a row, its queue is full, and a server begins to drain."""

from __future__ import annotations

import asyncio
from pathlib import Path

from mastlift.lab.movedlist import Plan, play


def test_no_request_goes_to_a_draining_server_while_moved_proxies_wait_for_the_list(tmp_path: Path) -> None:
    result = asyncio.run(play(Plan(), tmp_path, seed=1))
    assert result.late_sends == [], str(result)

"""`lab try`: what the product does, shown in half a minute on this machine alone."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Callable
from pathlib import Path

from mastlift.keeper.client import KeeperClient
from mastlift.lab.fleet import served_meanwhile
from mastlift.lab.processes import free_address, keeper, keeper_settings


async def walk(folder: Path, tell: Callable[[str], None]) -> bool:
    """Play it; True if all came out as it should. All processes have ended when this returns."""
    listen = free_address()
    config = keeper_settings(folder, listen)
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(served_meanwhile(folder))
        tell("a proxy (python -m cometdoor) before two stand-in backends, asked 50 times a second from here on")
        async with keeper(config) as first, KeeperClient([listen]) as keys:
            ready = await first.event("ready")
            tell(f"a keeper at {listen}: ready {ready['start_s']:.3f} s after its start, in an empty folder")
            told = await keys.put("greeting", b"hello")
            tell(f"stored the key 'greeting' at revision {told['revision']}")
            code = await first.end(signal.SIGKILL)
            tell(f"killed the keeper with SIGKILL (exit code {code})")
        async with keeper(config) as second, KeeperClient([listen]) as keys:
            ready = await second.event("ready")
            tell(f"started it again: recovered {ready['entries']} entries in {sum(ready['recovery_s'].values()):.4f} s")
            entry = await keys.get("greeting")
            tell(f"read the key 'greeting': {entry.value.decode() if entry else 'GONE'}, of revision "
                 f"{entry.changed if entry else 0}")
            code = await second.end()
            tell(f"ended the keeper with SIGTERM (exit code {code})")
    served, asked = client.served()
    by_server = ", ".join(f"{count} by {what.split()[-1]}" for what, count in sorted(client.answers.items()))
    tell(f"the proxy meanwhile answered {served} of {asked} requests: {by_server}")
    return entry is not None and entry.value == b"hello" and code == 0 and served == asked > 0

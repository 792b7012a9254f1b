"""`lab try`: what the product does, shown in half a minute on this machine alone."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from mastlift.keeper.client import KeeperClient
from mastlift.lab.addresses import free_address
from mastlift.lab.chaos import ChaosGroup, running
from mastlift.lab.fleet import served_meanwhile
from mastlift.lab.processes import Child, keeper, keeper_settings, started

Tell = Callable[[str], None]


async def walk(folder: Path, tell: Tell) -> bool:
    """Play it; True if all came out as it should. All processes have ended when this returns."""
    async with served_meanwhile(folder) as client:
        tell("a proxy (python -m proxy) before two stand-in backends, asked 50 times a second from here on")
        fine = await walk_alone(folder / "alone", tell)
        async with running(folder / "group") as group:
            fine &= await walk_duty(group, tell)
    served, asked = client.served()
    by_server = ", ".join(f"{count} by {what.split()[-1]}" for what, count in sorted(client.answers.items()))
    tell(f"the proxy meanwhile answered {served} of {asked} requests: {by_server}")
    return fine and served == asked > 0


async def walk_alone(folder: Path, tell: Tell) -> bool:
    """A keeper alone, killed and started again."""
    listen = free_address()
    config = keeper_settings(folder, listen)
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
        tell(
            f"read the key 'greeting': {entry.value.decode() if entry else 'GONE'}, of revision "
            f"{entry.changed if entry else 0}"
        )
        code = await second.end()
        tell(f"ended the keeper with SIGTERM (exit code {code})")
    return entry is not None and entry.value == b"hello" and code == 0


async def walk_duty(group: ChaosGroup, tell: Tell) -> bool:
    """Three keepers; a duty whose holder is killed, then the keepers' leader."""
    tell(f"three keepers as a group: {await group.leader()} leads")

    def hold(name: str) -> contextlib.AbstractAsyncContextManager[Child]:
        return started(
            "-m",
            "mastlift",
            "duty",
            "hold",
            "nightly",
            "--ttl",
            "1.5",
            "--as",
            name,
            "--keepers",
            ",".join(group.keepers),
            "--",
            sys.executable,
            "-c",
            "import time; time.sleep(600)",
        )

    async with contextlib.AsyncExitStack() as stack:
        one = await stack.enter_async_context(hold("one"))
        taken = await one.event("command_started")
        two = await stack.enter_async_context(hold("two"))
        tell(f"'one' holds the duty 'nightly' with token {taken['token']} and runs its command; 'two' waits in line")
        await one.end(signal.SIGKILL)
        next_ = await two.event("command_started")
        tell(f"killed 'one': after its lease 'two' holds the duty with token {next_['token']}")
        leader = await group.leader()
        await group.places[leader].kill()
        now = await group.leader()
        await asyncio.sleep(1.5)  # longer than a lease
        still = not any(event.get("event") == "command_ended" for event in two.events)
        tell(
            f"killed the leading keeper {leader}: now {now} leads, and 'two' "
            f"{'still holds' if still else 'HAS LOST'} the duty"
        )
        code = await two.end()
        tell(f"ended 'two' with SIGTERM (exit code {code})")
    return bool(next_["token"] > taken["token"]) and still and code == 0

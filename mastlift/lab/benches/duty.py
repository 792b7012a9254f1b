"""What a duty costs its machine: a holder with a guard for its command, against one that starts the command itself.

Both sides hold duties at one real keeper at the same time, with commands that sleep. Memory is the proportional set
size (shared pages divided among who shares them), processor time what the holder and its guard used over a window. The
unguarded side is no command line: its memory says nothing of a holder's.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

from mastlift.lab.addresses import free_address
from mastlift.lab.benches import Figures
from mastlift.lab.plots import Report
from mastlift.lab.processes import Child, cpu_s, keeper, keeper_settings, started

TTL_S = 2.0
COMMAND = ("sleep", "3600")
UNGUARDED = """
import asyncio, sys
import mastlift.cli  # as `duty hold` does
from mastlift.duty.holder import Duty
from mastlift.keeper.client import KeeperClient
from mastlift.logs import LogFormat, get_logger, start_logging
from mastlift.processes import die_with_parent

async def main():
    start_logging(LogFormat.JSON)
    async with KeeperClient([sys.argv[1]]) as client:
        duty = Duty(client, sys.argv[2], "bench", int(float(sys.argv[3]) * 1000))
        await duty.take()
        process = await asyncio.create_subprocess_exec(
            *sys.argv[4:], start_new_session=True, preexec_fn=die_with_parent)
        get_logger("duty").info("command_started", pid=process.pid)
        try:
            await process.wait()
        finally:
            process.kill()

asyncio.run(main())
"""


def pss_mb(pid: int) -> float:
    """Proportional set size of a process."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) / 1024.0
    raise ValueError(f"process {pid} has no Pss")


async def _measure(duties: int, window_s: float) -> Figures:
    listen = free_address()
    with tempfile.TemporaryDirectory() as folder:
        async with keeper(keeper_settings(Path(folder), listen)), AsyncExitStack() as stack:
            with_guard: list[Child] = []
            without: list[Child] = []
            for number in range(duties):
                with_guard.append(
                    await stack.enter_async_context(
                        started(
                            "-m",
                            "mastlift",
                            "duty",
                            "hold",
                            f"guarded{number}",
                            "--ttl",
                            str(TTL_S),
                            "--keepers",
                            listen,
                            "--",
                            *COMMAND,
                        )
                    )
                )
                without.append(
                    await stack.enter_async_context(
                        started("-c", UNGUARDED, listen, f"bare{number}", str(TTL_S), *COMMAND)
                    )
                )
            begun = [await child.event("command_started") for child in with_guard]
            for child in without:
                await child.event("command_started")
            guards = [int(event["guard"]) for event in begun]
            holders = [child.process.pid for child in with_guard]
            bare = [child.process.pid for child in without]
            sides = {"holder": holders, "guard": guards, "unguarded": bare}
            before = {name: [cpu_s(pid) for pid in pids] for name, pids in sides.items()}
            await asyncio.sleep(window_s)
            cores = {
                name: statistics.median(
                    (cpu_s(pid) - then) / window_s for pid, then in zip(pids, before[name], strict=True)
                )
                for name, pids in sides.items()
            }
            memory = {name: statistics.median(map(pss_mb, sides[name])) for name in ("holder", "guard")}
    return {
        "duties": duties,
        "ttl_s": TTL_S,
        "window_s": window_s,
        **{f"{name}_pss_mb": round(memory[name], 2) for name in memory},
        **{f"{name}_cores": round(cores[name], 5) for name in sides},
        "memory_vs_holder_alone": round((memory["holder"] + memory["guard"]) / memory["holder"], 3),
        "cores_vs_unguarded": round((cores["holder"] + cores["guard"]) / max(cores["unguarded"], 1e-9), 3),
    }


def measure(quick: bool, tell: Callable[[str], None], report: Report) -> Figures:
    """Medians over the duties of each side."""
    tell(f"holders with and without a guard side by side, on {sys.platform}")
    return asyncio.run(_measure(4 if quick else 12, 10.0 if quick else 60.0))

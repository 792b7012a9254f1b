"""Runs a program while a duty is held, and ends its process group before the duty could be another's."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Sequence

from mastlift.duty.holder import Duty
from mastlift.logs import get_logger
from mastlift.processes import die_with_parent, signal_group

TOKEN = "MASTLIFT_DUTY_TOKEN"
KILL_BEFORE_MS = 50.0  # of the lease's end, as the holder counts it


async def _end(process: asyncio.subprocess.Process, duty: Duty, grace_ms: float) -> None:
    """SIGTERM to the group, then SIGKILL when its grace, or the time in which it may act, is up."""
    if process.returncode is None:
        signal_group(process.pid, signal.SIGTERM)
        left = min(grace_ms, max(0.0, duty.clock.left_ms(duty._now()) - KILL_BEFORE_MS))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), left / 1000.0)
    signal_group(process.pid, signal.SIGKILL)  # what else is in its group
    await process.wait()


async def hold(duty: Duty, command: Sequence[str], ending: asyncio.Event, grace_ms: float) -> int:
    """Wait in line, run the command while the duty is held, and again from the line on whenever it was lost. Returns
    the command's exit code once it ends by itself, 0 when `ending` was set."""
    log = get_logger("duty").bind(duty=duty.name, candidate=duty.candidate)
    try:
        while True:
            taking = asyncio.create_task(duty.take())
            stop = asyncio.create_task(ending.wait())
            await asyncio.wait({taking, stop}, return_when=asyncio.FIRST_COMPLETED)
            stop.cancel()
            if ending.is_set() and not taking.done():
                taking.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await taking
                return 0
            token = await taking
            process = await asyncio.create_subprocess_exec(
                *command, env={**os.environ, TOKEN: str(token)}, start_new_session=True,
                preexec_fn=die_with_parent)
            log.info("command_started", token=token, pid=process.pid)
            try:
                why = await _run(duty, process, ending, grace_ms)
            finally:
                await _end(process, duty, grace_ms)
            log.info("command_ended", token=token, why=why, code=process.returncode)
            await duty.leave()
            if why == "by itself":
                return process.returncode or 0
            if why == "told to end":
                return 0
    finally:
        await duty.leave()


async def _run(duty: Duty, process: asyncio.subprocess.Process, ending: asyncio.Event, grace_ms: float) -> str:
    """Until the command has to end; why."""
    ended = asyncio.create_task(process.wait())
    stop = asyncio.create_task(ending.wait())
    try:
        while True:
            duty.changed.clear()
            left = duty.clock.left_ms(duty._now()) - grace_ms - KILL_BEFORE_MS
            if process.returncode is not None:
                return "by itself"
            if ending.is_set():
                return "told to end"
            if duty.asked_to_leave.is_set():
                return "an operator wants it elsewhere"
            if left <= 0:
                return "lost" if duty.clock.lost else "no renewal in time"
            changed = asyncio.create_task(duty.changed.wait())
            await asyncio.wait({ended, stop, changed}, timeout=left / 1000.0, return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
    finally:
        ended.cancel()
        stop.cancel()

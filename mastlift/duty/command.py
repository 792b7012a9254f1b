"""Runs a program under a guard while a duty is held, and ends it before another candidate can get the duty."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Sequence
from enum import StrEnum

from mastlift.duty.clock import HolderClock
from mastlift.duty.guarded import Deadlines, GuardedCommand
from mastlift.duty.holder import Duty
from mastlift.logs import get_logger

TOKEN_VARIABLE = "MASTLIFT_DUTY_TOKEN"
KILL_BEFORE_MS = 50.0  # before the end of the lease on the holder's clock: the guard kills the command
BACKUP_BEFORE_MS = 25.0  # before that end: the holder kills the command if the guard has not


class EndReason(StrEnum):
    """Why a command ended, or has to."""

    BY_ITSELF = "by itself"
    STOP_REQUESTED = "told to end"
    HAND_OVER = "an operator wants it elsewhere"
    LOST = "lost"
    NO_RENEWAL = "no renewal in time"
    GUARD_LOST = "its guard was lost"


def deadlines_of(clock: HolderClock, grace_ms: float) -> Deadlines:
    """The deadlines of the command for the lease. SIGTERM precedes SIGKILL by `grace_ms`."""
    kill_at = clock.valid_until - KILL_BEFORE_MS
    return Deadlines(kill_at - grace_ms, kill_at)


async def _end_command(command: GuardedCommand, duty: Duty, grace_ms: float) -> None:
    """Sends SIGTERM to the command's group, and SIGKILL after `grace_ms` or when it may no longer act."""
    now = duty.now_ms()
    kill_at = max(min(now + grace_ms, duty.clock.valid_until - KILL_BEFORE_MS), now)
    command.set_deadlines(Deadlines(now, kill_at))
    await command.close(kill_at + KILL_BEFORE_MS - BACKUP_BEFORE_MS)


async def hold(duty: Duty, command: Sequence[str], stop_requested: asyncio.Event, grace_ms: float) -> int:
    """Waits in line for the duty and runs the command while it is held; starts over when the duty was lost.

    Returns the command's exit code when it ends on its own, and 0 after `stop_requested` was set. If the command cannot
    be executed, gives the duty up and raises NotStartedError. This process must have no other children.
    """
    log = get_logger("duty").bind(duty=duty.name, candidate=duty.candidate)
    try:
        while True:
            token = await _take(duty, stop_requested)
            if token is None:
                return 0
            running = await GuardedCommand.start(
                command,
                {**os.environ, TOKEN_VARIABLE: str(token)},
                deadlines_of(duty.clock, grace_ms),
                owns_orphans=True,
            )
            log.info("command_started", token=token, pid=running.pid, guard=running.guard_pid)
            reason = EndReason.LOST
            try:
                reason = await _run(duty, running, stop_requested, grace_ms)
            finally:
                await _end_command(running, duty, grace_ms)
            log.info("command_ended", token=token, why=reason, code=running.code)
            await duty.leave()
            if reason is EndReason.BY_ITSELF:
                return running.code or 0
            if reason is EndReason.STOP_REQUESTED:
                return 0
    finally:
        await duty.leave()


async def _take(duty: Duty, stop_requested: asyncio.Event) -> int | None:
    """Returns the token once the duty is held, or None if `stop_requested` was set before."""
    taking = asyncio.create_task(duty.take())
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({taking, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    stop_task.cancel()
    if stop_requested.is_set() and not taking.done():
        taking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await taking
        return None
    return await taking


async def _run(duty: Duty, command: GuardedCommand, stop_requested: asyncio.Event, grace_ms: float) -> EndReason:
    """Extends the deadlines with each renewal until the command has ended or has to end. Returns the reason."""
    ended = asyncio.create_task(command.ended.wait())
    stop_task = asyncio.create_task(stop_requested.wait())
    try:
        while True:
            duty.changed.clear()
            command.set_deadlines(deadlines_of(duty.clock, grace_ms))
            left_ms = duty.clock.left_ms(duty.now_ms()) - grace_ms - KILL_BEFORE_MS
            if reason := _reason_to_end(duty, command, stop_requested, left_ms):
                return reason
            changed = asyncio.create_task(duty.changed.wait())
            await asyncio.wait(
                {ended, stop_task, changed}, timeout=left_ms / 1000.0, return_when=asyncio.FIRST_COMPLETED
            )
            changed.cancel()
    finally:
        ended.cancel()
        stop_task.cancel()


def _reason_to_end(
    duty: Duty, command: GuardedCommand, stop_requested: asyncio.Event, left_ms: float
) -> EndReason | None:
    if command.ended_by_itself:
        return EndReason.BY_ITSELF
    if command.ended.is_set():
        return EndReason.GUARD_LOST if command.guard_was_lost else EndReason.NO_RENEWAL
    if stop_requested.is_set():
        return EndReason.STOP_REQUESTED
    if duty.hand_over_requested.is_set():
        return EndReason.HAND_OVER
    if left_ms <= 0:
        return EndReason.LOST if duty.clock.lost else EndReason.NO_RENEWAL
    return None

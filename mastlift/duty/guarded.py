"""The holder's side of the guard: starts it, sends it deadlines, and kills it and the command if it fails to act."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from mastlift.duty import guard
from mastlift.logs import get_logger
from mastlift.processes import is_running, signal_group

GUARD = Path(guard.__file__)
_PR_SET_CHILD_SUBREAPER = 36
_LIBC = ctypes.CDLL(None, use_errno=True)


def become_subreaper() -> None:
    """Makes orphaned descendants children of this process. The setting survives exec."""
    _LIBC.prctl(_PR_SET_CHILD_SUBREAPER, 1)


@dataclass(frozen=True, slots=True)
class Deadlines:
    """The times of SIGTERM and SIGKILL for the command's group, in milliseconds of `guard.now_ms`."""

    terminate_at: float
    kill_at: float

    def packed(self) -> bytes:
        """The message to the guard."""
        return guard.DEADLINES.pack(self.terminate_at, self.kill_at)


class NotStartedError(Exception):
    """The command could not be executed. `reason` is the operating system's error message."""

    def __init__(self, command: str, reason: str) -> None:
        super().__init__(f"{command}: {reason}")
        self.command, self.reason = command, reason


class GuardedCommand:
    """A command that runs under a guard.

    `ended` is set once the command has ended or its guard has died; then `code` is the exit code, if known, and
    `out_of_reach` are the processes that could not be killed.
    """

    def __init__(self, process: asyncio.subprocess.Process, control: int, owns_orphans: bool) -> None:
        self.ended = asyncio.Event()
        self.pid = 0
        self.code: int | None = None
        self.ended_by_itself = False
        self.guard_was_lost = False
        self.out_of_reach: tuple[int, ...] = ()
        self._process = process
        self._control = control
        self._owns_orphans = owns_orphans
        self._reading: asyncio.Task[None] | None = None
        self._log = get_logger("guard")

    @property
    def guard_pid(self) -> int:
        """The process id of the guard."""
        return self._process.pid

    @classmethod
    async def start(
        cls, command: Sequence[str], environment: Mapping[str, str], deadlines: Deadlines, *, owns_orphans: bool = False
    ) -> GuardedCommand:
        """Starts a command under a guard.

        `owns_orphans` says that this process has no other children, so that all children left by a killed guard belong
        to the command. Raises NotStartedError if the command cannot be executed.
        """
        if owns_orphans:
            become_subreaper()
        control, control_end = os.pipe()
        report, report_end = os.pipe()
        os.write(control_end, deadlines.packed())
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-I",
                "-S",
                str(GUARD),
                str(control),
                str(report_end),
                *command,
                env=environment,
                pass_fds=(control, report_end),
                start_new_session=True,
                preexec_fn=become_subreaper,
            )
        except BaseException:
            os.close(report)
            os.close(control_end)
            raise
        finally:
            os.close(control)
            os.close(report_end)
        guarded = cls(process, control_end, owns_orphans)
        reader = asyncio.StreamReader()
        transport, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(report, "rb", buffering=0)
        )
        fields = (await reader.readline()).decode().split()
        if fields and fields[0] == "failed":
            await process.wait()
            transport.close()
            os.close(control_end)
            raise NotStartedError(command[0], os.strerror(int(fields[1])))
        if fields and fields[0] == "started":
            guarded.pid = int(fields[1])
            fields = []
        guarded._reading = asyncio.create_task(guarded._read_report(reader, transport, fields))
        return guarded

    async def _read_report(
        self, reader: asyncio.StreamReader, transport: asyncio.ReadTransport, fields: list[str]
    ) -> None:
        """Reads the guard's last line, or the end of the pipe if the guard was killed."""
        fields = fields or (await reader.readline()).decode().split()
        self.guard_was_lost = not fields
        if fields:
            self.ended_by_itself = fields[0] == "exited"
            self.code = None if fields[1] == "-" else int(fields[1])
            self.out_of_reach = tuple(map(int, fields[2:]))
        transport.close()
        self.ended.set()

    def set_deadlines(self, deadlines: Deadlines) -> None:
        """Sends new deadlines to the guard."""
        with contextlib.suppress(BrokenPipeError):  # the guard has exited; its report says why
            os.write(self._control, deadlines.packed())

    async def close(self, kill_at: float) -> None:
        """Waits until the guard has ended the command. At `kill_at` kills both, if the guard is late."""
        try:
            async with asyncio.timeout(max(kill_at - guard.now_ms(), 0.0) / 1000.0):
                await self.ended.wait()
        except TimeoutError:
            self._log.warning("guard_late", guard=self._process.pid, command=self.pid)
        await self._kill_remaining()
        await self._process.wait()
        await self.ended.wait()
        os.close(self._control)
        if self.out_of_reach:
            self._log.error("out_of_reach", command=self.pid, processes=list(self.out_of_reach))

    async def _kill_remaining(self) -> None:
        """Kills what the guard has left: nothing, unless the guard was killed or is stopped.

        The guard is killed last, because orphans are found among its descendants while it lives.
        """
        if self.pid:
            signal_group(self.pid, signal.SIGKILL)
        left = await kill_descendants(self._process.pid)
        guard.send_signal(self._process.pid, signal.SIGKILL)
        if self._owns_orphans:
            left += await kill_descendants(os.getpid())
        self.out_of_reach += tuple(left)


async def kill_descendants(parent: int) -> list[int]:
    """Sends SIGKILL to all descendants of a process; returns those still running after `guard.KILL_TIMEOUT_S`.

    A process that loses its parent while the tree is read can be missed, so the tree is read until two reads in a row
    find no process."""
    until = guard.now_ms() + 1000.0 * guard.KILL_TIMEOUT_S
    empty = 0
    while True:
        found = [pid for pid in guard.descendants(parent) if is_running(pid)]
        empty = 0 if found else empty + 1
        if empty == 2 or guard.now_ms() > until:
            return found
        for pid in found:
            guard.send_signal(pid, signal.SIGKILL)
        await asyncio.sleep(guard.POLL_INTERVAL_S if found else 0.0)

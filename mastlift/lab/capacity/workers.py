"""Hollow processes as the load's driver sees them: started, commanded, stopped and continued."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator

import msgspec

from mastlift.lab.capacity.hollow import Answer, Command, Measured, Report
from mastlift.lab.processes import ROOT
from mastlift.processes import die_with_parent

ANSWER_S = 90.0
_ENCODE = msgspec.json.Encoder().encode
_ANSWER = msgspec.json.Decoder(Answer).decode


class HollowFailed(Exception):
    """A hollow process ended, or could not carry out a command."""


class Worker:
    """One hollow process; one command at a time."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self._busy = asyncio.Lock()

    @property
    def pid(self) -> int:
        return self._process.pid

    async def ask(self, command: Command) -> Answer:
        """Raises HollowFailed, TimeoutError."""
        assert self._process.stdin is not None and self._process.stdout is not None
        async with self._busy, asyncio.timeout(ANSWER_S):
            self._process.stdin.write(_ENCODE(command) + b"\n")
            await self._process.stdin.drain()
            line = await self._process.stdout.readline()
        if not line:
            raise HollowFailed(f"hollow process {self.pid} ended")
        answer = _ANSWER(line)
        if answer.error:
            raise HollowFailed(answer.error)
        return answer

    async def report(self, take: bool = False) -> Measured:
        measured = (await self.ask(Report(take))).measured
        assert measured is not None
        return measured

    def pause(self) -> None:
        """Silent, with its connections open: as a machine without power is to its peers."""
        self._process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self._process.send_signal(signal.SIGCONT)

    async def end(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()


@contextlib.asynccontextmanager
async def worker() -> AsyncIterator[Worker]:
    """A hollow process for the time of the block."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mastlift.lab.capacity.hollow",
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 26,
        preexec_fn=die_with_parent,
    )
    one = Worker(process)
    try:
        yield one
    finally:
        await one.end()

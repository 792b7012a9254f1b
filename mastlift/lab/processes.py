"""Real processes of the program under test, on loopback. Whatever is started here ends with its block."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
END_S = 5.0
ADDRESS_IN_USE = "address already in use"


def cpu_s(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Child:
    """A process of the program and the events of its log."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.events: list[dict[str, Any]] = []
        self.lines: list[str] = []
        self._more = asyncio.Event()
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode(errors="replace").rstrip())
            with contextlib.suppress(ValueError):
                self.events.append(json.loads(line))
            self._more.set()
        self._more.set()

    async def event(self, name: str, within_s: float = 20.0) -> dict[str, Any]:
        """The first event of that name. Raises AssertionError with the log where the process ends before it."""
        async with asyncio.timeout(within_s):
            while True:
                for event in self.events:
                    if isinstance(event, dict) and event.get("event") == name:
                        return event
                if self._reader.done():
                    raise AssertionError(self._end_before(name))
                self._more.clear()
                await self._more.wait()

    async def line(self, part: str, within_s: float = 20.0) -> str:
        """The first line of the log that holds `part`."""
        async with asyncio.timeout(within_s):
            while not any(part in line for line in self.lines):
                if self._reader.done():
                    raise AssertionError(self._end_before(part))
                self._more.clear()
                await self._more.wait()
        return next(line for line in self.lines if part in line)

    def _end_before(self, awaited: str) -> str:
        """How the process ended before what was awaited in its log."""
        taken = any(ADDRESS_IN_USE in line.lower() for line in self.lines)
        reason = "another process took its address after it was drawn, " if taken else ""
        return f"{reason}ended before '{awaited}': {self.lines[-5:]}"

    def send(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Signal it and wait; its exit code."""
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), END_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self._reader
        return self.process.returncode if self.process.returncode is not None else -1


@contextlib.asynccontextmanager
async def started(*arguments: str, environment: dict[str, str] | None = None) -> AsyncIterator[Child]:
    """`python ARGUMENTS` from the project's root, killed at the end of the block if it still runs."""
    kept = {key: value for key, value in os.environ.items() if not key.startswith(("NODE_", "MASTLIFT_"))}
    child = Child(
        await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env={**kept, **(environment or {})},
            limit=1 << 20,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
    )
    try:
        yield child
    finally:
        await child.end(signal.SIGKILL)


def keeper_settings(
    folder: Path, listen: str, name: str = "a", group: dict[str, str] | None = None, **tables: dict[str, int]
) -> Path:
    """A settings file and a data folder for one keeper below `folder`; `group` has names and addresses of members."""
    (folder / "data").mkdir(parents=True, exist_ok=True)
    lines = ["[keeper]", f'name = "{name}"', f'listen = "{listen}"', 'data = "data"']
    if group:
        lines += ["[group]", 'name = "g"', "[group.members]", *(f'{one} = "{where}"' for one, where in group.items())]
    for table, values in tables.items():
        lines += [f"[{table}]", *(f"{key} = {value}" for key, value in values.items())]
    path = folder / "keeper.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


@contextlib.asynccontextmanager
async def keeper(config: Path, faults: Path | None = None, *more: str) -> AsyncIterator[Child]:
    """A keeper that is ready; with `faults`, on a disk that fails as `mastlift.lab.faulty` is told there."""
    arguments = (
        ["-m", "mastlift", "lab", "keeper", "--faults", str(faults)]
        if faults
        else ["-m", "mastlift", "keeper", "run", "--log", "json"]
    )
    async with started(*arguments, *more, "--config", str(config)) as child:
        await child.event("ready")
        yield child

"""Configuration agents by the hundred in one process: the real `Agent`, its clients and its core, before stand-ins for
what a machine has beside them. Left out are the proxy's process (its answers and its file reading are done here at
once) and the disk (files are in memory, nothing waits for a sync)."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import statistics
import sys
import time
from collections.abc import Sequence

import msgspec
import structlog
import uvloop

from mastlift.configuration import core as c
from mastlift.configuration.agent import Agent, AgentEnvironment, AgentMetrics, ReportTiming
from mastlift.configuration.command import CALL_TIMEOUT_S, REPORT_ATTEMPT_TIMEOUT_S
from mastlift.configuration.endpoint import ProxyUnavailable
from mastlift.configuration.versions import VersionId, digest_and_version
from mastlift.durable.disk import write_file_atomically
from mastlift.keeper.client import KeeperClient
from mastlift.lab.simdisk import SimDisk
from mastlift.metrics import Metrics

FILE = "proxy.json"
START_APART_S = 0.004  # machines don't start at one moment; bench figures are of what comes after


class HollowProxy:
    """Answers as a proxy that takes every file."""

    def __init__(self, service: str, files: SimDisk, pid: int) -> None:
        self._service, self._files, self._pid, self._reloads = service, files, pid, 0
        self._digest, self._version = self._look()

    def _look(self) -> tuple[str, VersionId | None]:
        return digest_and_version(self._files.read(FILE, 0, 1 << 24), self._service)

    async def read(self) -> c.ProxyState:
        return c.ProxyState(self._pid, self._digest, self._version, self._reloads, "")

    async def reload(self) -> c.ProxyState:
        before = await self.read()
        try:
            self._digest, self._version = self._look()
        except ValueError as error:
            raise ProxyUnavailable(str(error)) from error
        self._reloads += 1
        return before


class Fleet:
    """Tells on standard error, as a line of JSON, when all of its agents have a version in force."""

    def __init__(self, count: int) -> None:
        self.count = count
        self._times: dict[int, list[float]] = {}

    def seen(self, number: int) -> None:
        times = self._times.setdefault(number, [])
        times.append(time.time())
        if len(times) == self.count:
            told = {"event": f"in_force_{number}", "last": max(times), "median": statistics.median(times)}
            print(msgspec.json.encode(told).decode(), file=sys.stderr, flush=True)


class HollowAgent(Agent):
    """Notes when it first reports a version in force."""

    fleet: Fleet
    newest_seen = 0

    def _update_report(self, now: float) -> None:
        super()._update_report(now)
        shown = self._last_report
        if shown.condition is c.Condition.IN_FORCE and shown.in_force and shown.in_force.number > self.newest_seen:
            self.newest_seen = shown.in_force.number
            self.fleet.seen(self.newest_seen)


async def run_agents(keepers: Sequence[str], service: str, first: int, count: int) -> None:
    """For ever."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    fleet, metrics = Fleet(count), AgentMetrics(Metrics())
    async with contextlib.AsyncExitStack() as stack, asyncio.TaskGroup() as tasks:
        for number in range(first, first + count):
            files, name = SimDisk(), f"h{number}"
            base = {"name": name, "listen": "127.0.0.1:1", "seed": 1, "settings": {"position": 0, "zone": 0}}
            write_file_atomically(files, FILE, msgspec.json.encode(base))
            environment = AgentEnvironment(service, name, files, FILE, SimDisk(), lambda base=base: base)  # type: ignore[misc]
            watcher = await stack.enter_async_context(KeeperClient(keepers, CALL_TIMEOUT_S))
            reporter = await stack.enter_async_context(
                KeeperClient(keepers, CALL_TIMEOUT_S, attempt_s=REPORT_ATTEMPT_TIMEOUT_S)
            )
            proxy = HollowProxy(service, files, number + 1)
            agent = HollowAgent(environment, proxy, watcher, reporter, c.Timing(), ReportTiming(), metrics)
            agent.fleet = fleet
            tasks.create_task(agent.run())
            await asyncio.sleep(START_APART_S)
        print('{"event": "started"}', file=sys.stderr, flush=True)


def main(keepers: str, service: str, first: int, count: int) -> None:
    """Entry point of one process of hollow agents."""
    uvloop.run(run_agents(keepers.split(","), service, first, count))

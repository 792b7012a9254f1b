"""Runs an agent as a process: logs the event `ready` once it has started, and ends on SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import uvloop

from mastlift.configuration.agent import Agent, AgentEnvironment, AgentMetrics, ReportTiming
from mastlift.configuration.config import AgentSettings, read_base
from mastlift.configuration.endpoint import ProxyEndpoint
from mastlift.durable.disk import RealDisk
from mastlift.keeper.client import KeeperClient
from mastlift.logs import get_logger
from mastlift.metrics import Metrics
from mastlift.settings import BadSettings, address

CALL_TIMEOUT_S = 5.0
REPORT_ATTEMPT_TIMEOUT_S = 1.0  # limits the delay of a report by a keeper that hangs


@contextlib.asynccontextmanager
async def _serving_metrics(where: str, metrics: Metrics) -> AsyncIterator[str]:
    """Serve /metrics at the address `where` and yield the bound address; with an empty `where`, serve nothing."""
    if not where:
        yield ""
        return
    from aiohttp import web  # imported here because it takes 2 MB and only this function needs it

    async def show(request: web.Request) -> web.Response:
        return web.Response(body=metrics.text(), headers={"Content-Type": metrics.content_type})

    application = web.Application()
    application.router.add_get("/metrics", show)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        try:
            await web.TCPSite(runner, *address(where, "agent.metrics")).start()
        except OSError as error:
            raise BadSettings(f"agent.metrics: {where}: {error.strerror}") from error
        yield ":".join(map(str, runner.addresses[0][:2]))
    finally:
        await runner.cleanup()


def _agent_environment(settings: AgentSettings, folder: Path, state: RealDisk) -> AgentEnvironment:
    agent, file = settings.agent, (folder / settings.agent.file).resolve()
    return AgentEnvironment(
        agent.service, agent.name, RealDisk(file.parent), file.name, state, partial(read_base, folder / agent.base)
    )


async def _serve(settings: AgentSettings, folder: Path, state: RealDisk) -> None:
    agent, metrics, stop_requested = settings.agent, Metrics(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    proxy = ProxyEndpoint(agent.service, *address(agent.control, "agent.control"))
    report_timing = ReportTiming(settings.timing.report_s, settings.timing.spread_s)
    async with contextlib.AsyncExitStack() as stack:
        metrics_at = await stack.enter_async_context(_serving_metrics(agent.metrics, metrics))
        watcher = await stack.enter_async_context(KeeperClient(agent.keepers, CALL_TIMEOUT_S))
        reporter = await stack.enter_async_context(
            KeeperClient(agent.keepers, CALL_TIMEOUT_S, attempt_s=REPORT_ATTEMPT_TIMEOUT_S)
        )
        config_agent = Agent(
            _agent_environment(settings, folder, state),
            proxy,
            watcher,
            reporter,
            settings.core_timing(),
            report_timing,
            AgentMetrics(metrics),
        )
        running = asyncio.create_task(config_agent.run())
        config_agent.log.info("ready", pid=os.getpid(), metrics=metrics_at)
        stop = asyncio.create_task(stop_requested.wait())
        await asyncio.wait({running, stop}, return_when=asyncio.FIRST_COMPLETED)
        for task in (running, stop):
            task.cancel()
        results = await asyncio.gather(running, stop, return_exceptions=True)
        if isinstance(results[0], Exception):
            raise results[0]
    get_logger("config-agent").info("ended")


def run(settings: AgentSettings, folder: Path) -> None:
    """Run an agent until SIGTERM or SIGINT. Relative paths in the settings are relative to `folder`.

    Raises BadSettings, and FolderInUse if another agent uses the same state folder."""
    state = RealDisk(folder / settings.agent.state)
    state.lock()
    uvloop.run(_serve(settings, folder, state))

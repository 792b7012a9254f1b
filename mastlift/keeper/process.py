"""The process `mastlift keeper run`: startup, the `ready` log event, and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import uvloop
from aiohttp import web

from mastlift import settings as settings_
from mastlift.durable.disk import Disk, DiskFailed, RealDisk
from mastlift.durable.frames import LIFE_SIZE
from mastlift.durable.journal import Layout, never_used
from mastlift.keeper.config import Settings
from mastlift.keeper.group import PeerRefused, require_current_state, require_new_member
from mastlift.keeper.http import KeeperApi
from mastlift.keeper.service import Service
from mastlift.logs import drain_logs, get_logger
from mastlift.metrics import Metrics
from mastlift.settings import BadSettings

DAMAGE = 3  # exit code for a disk failure or damaged data
SWITCH_INTERVAL_S = 0.0002  # with the default of 5 ms the log thread may wait that long for the GIL after each sync
SHUTDOWN_TIMEOUT_S = 0.5  # for requests in progress after SIGTERM; accepted commands are made durable regardless


def open_folder(settings: Settings, base: Path) -> RealDisk:
    """Open and lock the data folder. Raises BadSettings, FolderInUse."""
    folder = (base / settings.keeper.data).resolve()
    if not folder.exists():
        raise BadSettings(f"keeper.data: {folder} does not exist; make it first (mkdir -p)")
    if not folder.is_dir():
        raise BadSettings(f"keeper.data: {folder} is no folder")
    if not os.access(folder, os.W_OK | os.X_OK):
        raise BadSettings(f"keeper.data: {folder} is not writable")
    disk = RealDisk(folder)
    try:
        disk.lock()
    except OSError as error:
        raise BadSettings(f"keeper.data: {folder}: {error.strerror}") from error
    if settings.group and disk.copied:
        raise BadSettings(
            f"keeper.data: {folder} is a copy of a member's folder, or was restored from one: a member "
            "must not vote with outdated state. Empty it and start (without --new-group), and it will rejoin "
            "the group"
        )
    return disk


def _exit_on_disk_failure(error: DiskFailed) -> None:
    """Exit without answering pending requests, so that no write without a completed sync is acknowledged."""
    get_logger("keeper").error(
        "disk_failed", reason=str(error), do="check the disk; the next start reports the recovered state"
    )
    drain_logs()
    os._exit(DAMAGE)


Extension = Callable[[Service, Metrics], contextlib.AbstractAsyncContextManager[object]]


@contextlib.asynccontextmanager
async def _no_extension(service: Service, metrics: Metrics) -> AsyncIterator[None]:
    yield


async def _serve(settings: Settings, disk: Disk, started: float, new_group: bool, extension: Extension) -> None:
    host, port = settings_.address(settings.keeper.listen, "keeper.listen")
    log, metrics, loop = get_logger("keeper"), Metrics(), asyncio.get_running_loop()
    ending = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    if new_group and settings.group and never_used(disk, Layout.of(disk)):
        try:
            await require_new_member(settings.group, settings.keeper.name)
        except PeerRefused as error:
            raise BadSettings(str(error)) from error
    service = Service(settings, disk, metrics, lambda: os.urandom(LIFE_SIZE), _exit_on_disk_failure, new_group)
    if settings.group and service.kept is not None:
        try:
            await require_current_state(settings.group, settings.keeper.name, service.kept)
        except PeerRefused as error:
            raise BadSettings(str(error)) from error
    gc.collect()
    gc.freeze()  # excludes the recovered state from later collections, which would pause all requests
    for note in service.recovery.notes:
        log.warning("recovery", note=note)
    await service.start()
    api = KeeperApi(service, metrics)
    runner = web.AppRunner(
        api.application(), access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S, handler_cancellation=False
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    try:
        await site.start()
    except OSError as error:
        await service.stop()
        raise BadSettings(f"keeper.listen: {settings.keeper.listen}: {error.strerror}") from error
    address = runner.addresses[0]
    recovery = service.recovery
    async with contextlib.AsyncExitStack() as stack:
        try:
            await stack.enter_async_context(extension(service, metrics))
        except OSError as error:
            await service.stop()
            raise BadSettings(f"discovery.tiers: {error.strerror}") from error
        log.info(
            "ready",
            name=settings.keeper.name,
            address=f"{address[0]}:{address[1]}",
            pid=os.getpid(),
            recovery_s={step: round(took, 6) for step, took in recovery.seconds.items()},
            start_s=round(time.monotonic() - started, 6),
            snapshot=recovery.snapshot,
            entries=recovery.entries,
            revision=service.store.revision,
            keys=len(service.store.entries),
            made=recovery.created,
            life=service.journal.identity.life,
        )
        await ending.wait()
        service.stopping = True
    await site.stop()
    await service.stop()
    await runner.cleanup()
    await api.close()
    log.info("ended", revision=service.store.revision, index=service.store.index)


def _check_group(settings: Settings) -> None:
    """Raises BadSettings."""
    if settings.group is None:
        return
    for name, where in settings.group.members.items():
        settings_.address(where, f"group.members.{name}")
    if settings.keeper.name not in settings.group.members:
        raise BadSettings(
            f"group.members: {settings.keeper.name} itself is missing; known: {', '.join(settings.group.members)}"
        )


def run(
    settings: Settings,
    base: Path,
    wrap: Callable[[Disk], Disk] = lambda disk: disk,
    new_group: bool = False,
    extension: Extension = _no_extension,
) -> None:
    """Serve until SIGTERM or SIGINT.

    `base` is the folder that a relative data path refers to. `wrap` may wrap the disk, for fault injection. `extension`
    is a context manager that is active while the keeper serves.

    Raises BadSettings, FolderInUse, and what `open_journal` raises.
    """
    started = time.monotonic()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    settings_.address(settings.keeper.listen, "keeper.listen")
    _check_group(settings)
    uvloop.run(_serve(settings, wrap(open_folder(settings, base)), started, new_group, extension))

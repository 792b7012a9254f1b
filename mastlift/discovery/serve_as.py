"""Runs a server's program and keeps it registered in its tier's list.

The server is listed once it responds, shown as terminating before it gets SIGTERM, and removed when it has exited.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp
from msgspec.structs import replace

from mastlift.discovery.lists import Phase
from mastlift.discovery.registration import RETRY_INTERVAL_S, Registration, RegistrationState, ServerListing
from mastlift.keeper.client import KeeperClient, Refused, Unreachable
from mastlift.keeper.command import NO
from mastlift.logs import get_logger
from mastlift.processes import die_with_parent, signal_group

PROBE_PATHS = ("/up", "/alive")
PROBE_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Times:
    """Time limits in seconds.

    `ready`: for the first successful probe. `drain`: from publishing the terminating phase to SIGTERM, in which proxies
    learn of it. `grace`: from SIGTERM to SIGKILL.
    """

    ready: float = 60.0
    drain: float = 0.5
    grace: float = 10.0


async def responds(address: str) -> bool:
    """Whether the server returns 200 at /up or /alive."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(PROBE_TIMEOUT_S)) as http:
        for path in PROBE_PATHS:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with http.get(f"http://{address}{path}") as response:
                    if response.status == 200:
                        return True
    return False


async def serve_as(
    client: KeeperClient,
    listing: ServerListing,
    command: Sequence[str],
    stop_requested: asyncio.Event,
    times: Times,
    ttl_ms: int,
) -> int:
    """Runs the command and its registration until the command exits or `stop_requested` is set.

    Returns the command's exit code if it exited on its own, 0 after `stop_requested` was set, and 1 if the server never
    responded or another server registered its id.
    """
    log = get_logger("serve-as").bind(tier=listing.tier, id=listing.id)
    process = await asyncio.create_subprocess_exec(*command, start_new_session=True, preexec_fn=die_with_parent)
    listing.record = replace(listing.record, up_since_ms=int(time.time() * 1000.0))
    log.info("command_started", pid=process.pid)
    registration = Registration(client, listing, ttl_ms)
    exited = asyncio.create_task(process.wait())
    stopping = asyncio.create_task(stop_requested.wait())
    registering = asyncio.create_task(_register_when_up(registration, times.ready))
    try:
        await asyncio.wait({exited, stopping, registering}, return_when=asyncio.FIRST_COMPLETED)
        while not exited.done() and not stopping.done() and registering.done():
            if not registering.result():
                log.error("never_answered", address=listing.record.host_port, within_s=times.ready)
                return NO
            if registration.state is RegistrationState.REPLACED:
                log.error("replaced", do="another server with this id started later and is registered instead")
                return NO
            registration.changed.clear()
            changed = asyncio.create_task(registration.changed.wait())
            await asyncio.wait({exited, stopping, changed}, return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
        if not exited.done():
            with contextlib.suppress(Refused, Unreachable):
                revision = await registration.set_phase(Phase.TERMINATING)
                log.info("terminating", revision=revision)
                await asyncio.sleep(times.drain)
            return 0
        if process.returncode:
            with contextlib.suppress(Unreachable):
                await registration.deregister_after_crash()
        log.warning("command_ended", code=process.returncode)
        return process.returncode or 0
    finally:
        registering.cancel()
        stopping.cancel()
        await asyncio.gather(registering, return_exceptions=True)
        if process.returncode is None:
            signal_group(process.pid, signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), times.grace)
        signal_group(process.pid, signal.SIGKILL)  # the other processes of its group
        await process.wait()
        with contextlib.suppress(Refused, Unreachable):
            await registration.deregister()
        log.info("gone", code=process.returncode, parent=os.getpid())


async def _register_when_up(registration: Registration, within_s: float) -> bool:
    """Registers the server once it responds to a probe. Returns False if it does not within `within_s`."""
    end = time.monotonic() + within_s
    while not await responds(registration.listing.record.host_port):
        if time.monotonic() > end:
            return False
        await asyncio.sleep(PROBE_INTERVAL_S)
    while True:
        try:
            await registration.register()
            return True
        except (Refused, Unreachable) as error:  # also if the lease or session ended while no keeper could be reached
            registration.log.warning("not_listed", reason=str(error))
            await asyncio.sleep(RETRY_INTERVAL_S)

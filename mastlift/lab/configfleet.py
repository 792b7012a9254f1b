"""Real proxies with an agent beside each, as processes, and what the keepers' reports and the proxies say of them."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import signal
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from mastlift.configuration import operations
from mastlift.configuration.core import ProxyState
from mastlift.configuration.endpoint import ProxyEndpoint, ProxyUnavailable
from mastlift.configuration.versions import VersionId, digest_and_version
from mastlift.keeper.client import KeeperClient
from mastlift.lab.addresses import free_address
from mastlift.lab.fleet import SETTINGS
from mastlift.lab.processes import Child, started
from mastlift.settings import address

SERVICE = "pay"
POLL_S = 0.02


def content(marker: float = 1.0, **settings: Any) -> bytes:
    """A service's configuration; `marker` is a number that proxies accept and that tells versions apart."""
    changed: dict[str, Any] = copy.deepcopy(SETTINGS)
    changed.update({"over_share_worth": marker, **settings})
    return orjson.dumps({"settings": changed, "discovery": "127.0.0.1:1"})


@dataclass(slots=True)
class Machine:
    """One proxy and its agent: their folder, and the processes that run now."""

    name: str
    folder: Path
    keepers: Sequence[str]
    service: str = SERVICE
    listen: str = field(default_factory=free_address)
    control: str = field(default_factory=free_address)
    proxy: Child | None = None
    agent: Child | None = None
    _stack: contextlib.AsyncExitStack = field(default_factory=contextlib.AsyncExitStack)

    def __post_init__(self) -> None:
        for name in ("live", "state"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        own = {
            "name": self.name,
            "listen": self.listen,
            "control": self.control,
            "seed": "8c1f30d27a5be964",
            "discovery": "127.0.0.1:1",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"revision": 1, "complete": True, "members": []},
        }
        (self.folder / "base.json").write_text(json.dumps({**own, "settings": {"position": 0, "zone": 0}}))
        self.file.write_text(json.dumps({**own, "settings": SETTINGS}))
        keepers = ", ".join(f'"{keeper}"' for keeper in self.keepers)
        (self.folder / "agent.toml").write_text(
            "\n".join(
                [
                    "[agent]",
                    f'service = "{self.service}"',
                    f'name = "{self.name}"',
                    'base = "base.json"',
                    'file = "live/proxy.json"',
                    'state = "state"',
                    f'control = "{self.control}"',
                    f"keepers = [{keepers}]",
                    "[timing]",
                    "spacing_s = 0.3",
                    "poll_s = 0.3",
                    "report_s = 1.0",
                    "spread_s = 0.05",
                ]
            )
            + "\n"
        )

    @property
    def file(self) -> Path:
        return self.folder / "live" / "proxy.json"

    async def start_proxy(self) -> None:
        self.proxy = await self._stack.enter_async_context(
            started("-m", "proxy", environment={"NODE_CONFIG": str(self.file)})
        )
        await self.proxy.line("serves on")

    async def end_proxy(self) -> None:
        if self.proxy is not None:
            await self.proxy.end(signal.SIGKILL)

    async def start_agent(self) -> None:
        self.agent = await self._stack.enter_async_context(
            started("-m", "mastlift", "config", "agent", "--log", "json", "--config", str(self.folder / "agent.toml"))
        )
        await self.agent.event("ready")

    async def kill_agent(self) -> None:
        if self.agent is not None:
            await self.agent.end(signal.SIGKILL)

    async def close(self) -> None:
        await self._stack.aclose()

    # --- what is true of it ---

    async def reading(self) -> ProxyState:
        return await ProxyEndpoint(self.service, *address(self.control, "control")).read()

    async def in_force(self) -> VersionId | None:
        """As the proxy itself says; None where it does not answer or has no version."""
        with contextlib.suppress(ProxyUnavailable):
            return (await self.reading()).version
        return None

    def in_file(self) -> VersionId | None:
        """Raises ValueError for a file that is not whole."""
        return digest_and_version(self.file.read_bytes(), self.service)[1]

    async def until_in_force(self, number: int, within_s: float = 20.0) -> None:
        end = time.monotonic() + within_s
        while (found := await self.in_force()) is None or found.number != number:
            if time.monotonic() > end:
                raise TimeoutError(f"{self.name} has version {found}, not {number}")
            await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def machines(
    folder: Path,
    keepers: Sequence[str],
    count: int,
    service: str = SERVICE,
) -> AsyncIterator[list[Machine]]:
    """So many proxies with agents, all running; ended with the block."""
    made = [Machine(f"p{number}", folder / f"p{number}", keepers, service) for number in range(count)]
    try:
        await asyncio.gather(*(one.start_proxy() for one in made), *(one.start_agent() for one in made))
        yield made
    finally:
        await asyncio.gather(*(one.close() for one in made))


async def until_status(
    client: KeeperClient, keepers: Sequence[str], want: Any, within_s: float = 20.0, service: str = SERVICE
) -> operations.ServiceStatus:
    """The first status of which `want` is true. Raises TimeoutError with the last one."""
    end = time.monotonic() + within_s
    while True:
        seen = await operations.status(client, keepers, service)
        if want(seen):
            return seen
        if time.monotonic() > end:
            raise TimeoutError(f"still {seen}")
        await asyncio.sleep(0.1)

"""A group of real keeper processes that serves the lists of many services, without anything between it and clients."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from mastlift.keeper.client import ask_each
from mastlift.lab.capacity.placement import service_name
from mastlift.lab.processes import Child, keeper, keeper_settings

LEADER_S = 15.0
POLL_S = 0.02
KEEPER_PORT, LISTS_PORT = 7500, 7600
WHOLE_LISTS_PER_S, WHOLE_LISTS_AT_ONCE = 200, 100  # the defaults of the settings


class KeeperGroup:
    """Made by `keeper_group`. `lists` has, by service, one address a keeper."""

    def __init__(
        self, addresses: dict[str, str], lists: dict[str, list[str]], children: dict[str, Child], start_s: float
    ) -> None:
        self.addresses, self.lists, self.children, self.start_s = addresses, lists, children, start_s

    @property
    def keepers(self) -> list[str]:
        return list(self.addresses.values())

    def pid(self, name: str) -> int:
        return self.children[name].process.pid

    async def leader(self) -> str:
        """The name of the keeper that leads. Raises TimeoutError."""
        async with asyncio.timeout(LEADER_S):
            while True:
                told = await ask_each(list(self.addresses.values()), "/v1/group", 0.5)
                leaders = [
                    (one["term"], name)
                    for name, address in self.addresses.items()
                    if (one := told[address]).get("role") == "leader"
                ]
                if leaders:
                    return max(leaders)[1]
                await asyncio.sleep(POLL_S)

    async def kill(self, name: str) -> None:
        await self.children.pop(name).end(signal.SIGKILL)


def _hosts(names: str) -> dict[str, str]:
    """A loopback address of its own for each keeper, so that its ports are not taken by others' connections: those
    leave from 127.0.0.1, and hundreds of free ports there don't stay free."""
    second, third = random.randrange(1, 255), random.randrange(1, 255)
    return {name: f"127.{second}.{third}.{number}" for number, name in enumerate(names, 1)}


@contextlib.asynccontextmanager
async def keeper_group(folder: Path, services: int, names: str = "abc", **discovery: Any) -> AsyncIterator[KeeperGroup]:
    """Keepers that are ready and have a leader; each has one listening address a service."""
    hosts = _hosts(names)
    addresses = {name: f"{host}:{KEEPER_PORT}" for name, host in hosts.items()}
    tiers = {
        name: {service_name(number): f"{host}:{LISTS_PORT + number}" for number in range(services)}
        for name, host in hosts.items()
    }
    section = {"whole_per_s": WHOLE_LISTS_PER_S, "whole_at_once": WHOLE_LISTS_AT_ONCE, **discovery}
    began = time.monotonic()
    async with contextlib.AsyncExitStack() as stack:

        async def start(name: str) -> Child:
            quoted: dict[str, Any] = {tier: f'"{where}"' for tier, where in tiers[name].items()}
            tables: dict[str, Any] = {"discovery": section, "discovery.tiers": quoted}
            config = keeper_settings(folder / name, addresses[name], name, addresses, **tables)
            return await stack.enter_async_context(keeper(config, None, "--new-group"))

        children = dict(zip(names, await asyncio.gather(*map(start, names)), strict=True))
        lists = {
            service_name(number): [tiers[name][service_name(number)] for name in names] for number in range(services)
        }
        group = KeeperGroup(addresses, lists, children, 0.0)
        await group.leader()
        group.start_s = time.monotonic() - began
        yield group

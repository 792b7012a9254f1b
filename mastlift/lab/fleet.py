"""A small fleet of real sockets: stand-in backends, a real proxy before them, and a client that counts."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from mastlift.lab.addresses import free_address
from mastlift.lab.processes import Child, started

LANE = {
    "name": "read",
    "aim_ms": 1000.0,
    "deadline_ms": 3000.0,
    "effect": "retryable",
    "dedup_scope": "all",
    "key_ttl_ms": 0.0,
    "late_worth": 0.2,
    "stream": False,
    "worth": 1.0,
}
SETTINGS: dict[str, Any] = {
    "client_habits": {"marks_retry": False},
    "counted_by": "request",
    "discovery": "automatic",
    "family": "chain",
    "fees": {"connection": 0.0, "cross_zone": 0.0, "handshake": 0.0, "probe": 0.0, "waste": 0.0},
    "group_size": 1,
    "host_types": ["std"],
    "lanes": [LANE],
    "limits": {
        "cancel": True,
        "may_duplicate": True,
        "max_open": 100,
        "max_retry_after_ms": 500.0,
        "multiplex": 1,
        "probes": False,
        "retry_after": True,
        "try_limit": 4,
    },
    "obligations": {
        "ask_within_ms": 10000.0,
        "cold_from": 0.3,
        "fall_ms": 3000.0,
        "overload_factor": 3.0,
        "ramp_time_ms": 9000.0,
    },
    "over_share_worth": 1.0,
    "position": 0,
    "report": {"columns": [], "how": "off"},
    "round_ms": 5.0,
    "stage": 0,
    "tenants": [],
    "tiers": ["front"],
    "weights": "rough",
    "zone": 0,
    "zones": ["a"],
}


def list_entry(name: str, address: str) -> dict[str, Any]:
    """A ready server's entry in the endpoint list."""
    return {
        "id": name,
        "host_port": address,
        "locality": "a",
        "flavor": "std",
        "cell": 0,
        "phase": "in_service",
        "size": 1.0,
        "up_since_ms": 0,
    }


@contextlib.asynccontextmanager
async def backend(name: str) -> AsyncIterator[str]:
    """A stand-in server in this process that answers everything with its name; its address."""

    async def serve(request: web.Request) -> web.Response:
        return web.Response(text=name)

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", serve)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def proxy(
    folder: Path,
    backends: dict[str, str],
    discovery: str | list[str] = "127.0.0.1:1",
    list_file: Path | None = None,
    must_ask: bool = False,
    program: tuple[str, ...] = ("-m", "proxy"),
) -> AsyncIterator[tuple[str, Child]]:
    """A real proxy before the named backends; its address and process. `program` are Python's arguments."""
    listen = free_address()
    folder.mkdir(parents=True, exist_ok=True)
    members = [list_entry(name, address) for name, address in backends.items()]
    config = {
        "name": "p1",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        **({"list_file": str(list_file)} if list_file else {}),
        "settings": {**SETTINGS, **({"discovery": "subscribe"} if must_ask else {})},
        "known": {"revision": 1, "complete": True, "members": members},
    }
    path = folder / "proxy.json"
    path.write_text(json.dumps(config))
    async with started(*program, environment={"NODE_CONFIG": str(path)}) as child:
        await child.line("serves on")
        yield listen, child


class Client:
    """Asks a proxy at a steady pace, each request at its time whatever became of the one before (open loop)."""

    def __init__(self, address: str, per_s: float = 50.0, first: int = 0) -> None:
        """`first` is where the numbers of its requests begin: they are its trace ids."""
        self._address, self._pause, self._first = address, 1.0 / per_s, first
        self.answers: Counter[str] = Counter()
        self._asked: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        async with ClientSession(timeout=ClientTimeout(4.0)) as session:
            number = self._first
            try:
                while True:
                    number += 1
                    task = asyncio.create_task(self._ask(session, number))
                    self._asked.add(task)
                    task.add_done_callback(self._asked.discard)
                    await asyncio.sleep(self._pause)
            finally:
                await asyncio.gather(*self._asked, return_exceptions=True)

    async def _ask(self, session: ClientSession, number: int) -> None:
        headers = {"X-Trace-Id": f"{number:016x}", "X-Qos": "read", "X-Expires-In": "3.0"}
        try:
            async with session.get(f"http://{self._address}/read/1", headers=headers) as response:
                self.answers[
                    f"{response.status} {await response.text()}" if response.status == 200 else str(response.status)
                ] += 1
        except (ClientError, TimeoutError) as error:
            self.answers[type(error).__name__] += 1

    def served(self) -> tuple[int, int]:
        """How many were answered 200, and how many were asked."""
        return sum(n for what, n in self.answers.items() if what.startswith("200")), self.answers.total()


@contextlib.asynccontextmanager
async def served_meanwhile(folder: Path) -> AsyncIterator[Client]:
    """Two backends, a proxy and a client that asks it all the time of the block."""
    async with contextlib.AsyncExitStack() as stack:
        backends = {name: await stack.enter_async_context(backend(name)) for name in ("ada", "bob")}
        address, _ = await stack.enter_async_context(proxy(folder, backends))
        client = Client(address)
        task = asyncio.create_task(client.run())
        try:
            yield client
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

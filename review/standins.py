"""Stand-ins for the review's cases: backends, discovery, the platform that starts a proxy, and an HTTP client.

Only the standard library is used. Every address is on 127.0.0.1. A case is a coroutine that returns the list of broken
rules; `main` runs it and turns its result into the exit status: 0 held, 1 broken, 2 could not run.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CASE_LIMIT_S = 110.0
READY_LIMIT_S = 30.0
LEAST_S = 40.0  # a case is not repeated in less
MEMORY_MB = 192  # the most that a proxy is given
MB = 1 << 20  # bytes

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """Writes `record.txt` in the case's folder: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Request:
    """A request as a backend read it, or the head of an answer as a client read it."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def id(self) -> str:
        return self.headers.get("x-trace-id", "")

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The start line and the headers of the next message. Raises IncompleteReadError at the end of the connection."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """The body, by its length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return b"".join(parts)


async def read_answer(reader: asyncio.StreamReader) -> Request:
    """The next final answer; interim ones are passed over."""
    while True:
        start, headers = await read_head(reader)
        if not start.split()[1].startswith("1"):
            return Request(start, headers, await read_body(reader, headers))


Serve = Callable[["Backend", Request, asyncio.StreamWriter], Awaitable[None]]


class Backend:
    """A backend: reads whole requests, one at a time on a connection, and answers them by `serve`."""

    def __init__(self, name: str, zone: str, serve: Serve, record: Record) -> None:
        self.name, self.zone, self.address = name, zone, ""
        self.got: list[Request] = []
        self._serve, self._record = serve, record

    async def start(self) -> None:
        server = await asyncio.start_server(self._connected, HOST, 0, limit=1 << 20)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                start, headers = await read_head(reader)
                request = Request(start, headers, await read_body(reader, headers))
                self.got.append(request)
                self._record.line(
                    f"{self.name} got {start.split(' HTTP')[0]} id {request.id}, body {len(request.body)} bytes, "
                    f"X-Expires-In {headers.get('x-expires-in')}"
                )
                await self._serve(self, request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the peer has closed, or the case is over
        finally:
            writer.close()

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": self.zone,
            "flavor": "box",
            "cell": 0,
            "phase": "in_service",
            "size": 1.0,
            "up_since_ms": 0,
        }


def answer_200(body: bytes, *headers: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset."""
    raw = writer.transport.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Discovery:
    """Discovery: sends the whole list at once and then an empty line every second."""

    def __init__(self, backends: list[Backend]) -> None:
        self.backends, self.address = backends, ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._connected, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def list(self) -> dict[str, Any]:
        return {"revision": 41, "complete": True, "members": [backend.entry() for backend in self.backends]}

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.list()).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(1.0)
                line = b"\n"
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the peer has closed, or the case is over
        finally:
            writer.close()


def lane(name: str, effect: str, **other: Any) -> dict[str, Any]:
    """A request class with the times of the brief's `quote-view`, unless others are given."""
    return {
        "name": name,
        "effect": effect,
        "aim_ms": 2500.0,
        "deadline_ms": 6000.0,
        "dedup_scope": "all",
        "key_ttl_ms": 5000.0,
        "late_worth": 0.3,
        "stream": False,
        "worth": 3.0,
        **other,
    }


def settings(lanes: list[dict[str, Any]]) -> dict[str, Any]:
    """The settings of a small deployment with a single proxy at the clients' entry."""
    return {
        "client_habits": {"marks_retry": True},
        "counted_by": "request",
        "discovery": "subscribe",
        "family": "chain",
        "fees": {"cross_zone": 0.06, "probe": 0.01, "waste": 0.04},
        "group_size": 1,
        "host_types": ["box"],
        "lanes": lanes,
        "limits": {
            "cancel": True,
            "connect_timeout_ms": 100.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 15000,
            "idle_close_ms": 10000.0,
            "max_open": 20000,
            "max_retry_after_ms": 2000.0,
            "may_duplicate": True,
            "multiplex": 1,
            "probes": True,
            "retry_after": True,
            "try_limit": 3,
        },
        "obligations": {
            "answer_slack_ms": 16.0,
            "ask_within_ms": 10000.0,
            "cold_from": 0.14,
            "fall_ms": 3000.0,
            "overload_factor": 4.0,
            "ramp_time_ms": 24000.0,
            "stop_sending_within_ms": 250.0,
        },
        "over_share_worth": 0.05,
        "position": 0,
        "report": {"columns": ["depth", "tps"], "how": "inline"},
        "stage": 0,
        "tenants": [],
        "tiers": ["front"],
        "weights": "off",
        "zone": 0,
        "zones": ["east", "west"],
    }


class Proxy:
    """The platform: starts `run` of the deploy file with a configuration file and ends it by its process id."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.port = free_port()
        self.control_port = free_port()
        self.pid = 0
        self._config = folder / "config.json"
        self._tmp = folder / "tmp"
        self._log = folder / "proxy.log"
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._written: dict[str, Any] = {}

    def write_config(self, discovery: Discovery, settings: dict[str, Any]) -> None:
        self._written = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "control": f"{HOST}:{self.control_port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "known": discovery.list(),
            "settings": settings,
        }
        self._config.write_text(json.dumps(self._written), encoding="utf-8")

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        self._tmp.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "NODE_NAME": "n1",
            "NODE_LISTEN": self._written["listen"],
            "NODE_DISCOVERY": self._written["discovery"],
            "NODE_CONFIG": str(self._config),
            "NODE_CONTROL": self._written["control"],
            "TMPDIR": str(self._tmp),
        }
        with self._log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.pid = self._process.pid
        until = time.monotonic() + READY_LIMIT_S
        while not await self._is_up():
            if time.monotonic() > until or self._process.returncode is not None:
                raise CannotRun(f"the proxy is not ready: {self.log()[-2000:]}")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        self._record.line(f"the proxy is ready at port {self.port}")

    async def _is_up(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            status = (await asyncio.wait_for(read_answer(reader), 2.0)).status
            writer.close()
            return status == 200
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False

    async def control(self, method: str, path: str) -> int:
        reader, writer = await asyncio.open_connection(HOST, self.control_port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n".encode())
        status = (await asyncio.wait_for(read_answer(reader), 2.0)).status
        writer.close()
        self._record.line(f"control: {method} {path} answered {status}")
        return status

    def signal(self, number: signal.Signals) -> None:
        self._record.line(f"{number.name} to the proxy")
        os.kill(self.pid, number)

    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def memory_mb(self) -> float:
        """Memory that the process holds, in MB; 0 once it has ended."""
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii").splitlines()
        except OSError:
            return 0.0
        return next((int(line.split()[1]) * 1024 / MB for line in lines if line.startswith("VmRSS:")), 0.0)

    def log(self) -> str:
        return self._log.read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()


Case = Callable[[Record, Path], Awaitable[list[str]]]


async def _limited(case: Case, record: Record, folder: Path, limit_s: float) -> list[str]:
    return await asyncio.wait_for(case(record, folder), limit_s)


def play(case: Case, record: Record, limit_s: float) -> list[str] | None:
    """Plays the case in a temporary folder. Returns what was broken, or None if the case could not run."""
    record.line("with the disruption" if TROUBLE else "without the disruption")
    try:
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            return asyncio.run(_limited(case, record, Path(folder), limit_s))
    except Exception as problem:
        record.line(f"the case could not run: {type(problem).__name__}: {problem}\n{traceback.format_exc()}")
        print(f"the case could not run: {type(problem).__name__}: {problem}", file=sys.stderr)
        return None


def conclude(broken: list[str] | None, record: Record) -> int:
    """Records the result and returns the exit status."""
    if broken is None:
        return 2
    for text in broken:
        record.line(f"BROKEN: {text}")
    record.line("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


def main(case: Case, script: str) -> None:
    """Plays the case, once more with new ports if it could not run, and exits with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the case still ends its processes
    until = time.monotonic() + CASE_LIMIT_S
    status = 2
    try:
        record = Record(Path(script).resolve().parent)
        broken = play(case, record, CASE_LIMIT_S)
        if broken is None and (left := until - time.monotonic()) > LEAST_S:
            broken = play(case, record, left)
        status = conclude(broken, record)
        record.close()
    except OSError as problem:
        print(f"the case could not run: {problem}", file=sys.stderr)
    sys.exit(status)

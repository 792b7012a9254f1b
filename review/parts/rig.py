"""Stand-ins of the cases 6 to 10: backends, discovery and clients on loopback, and the start of the proxy.

They follow the operators' pages: a backend begins a request once its last byte has arrived, discovery holds a watch
open with an empty line every 2 s, clients send one request at a time. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LANE = {"aim_ms": 1000.0, "deadline_ms": 2500.0, "worth": 1.0, "late_worth": 0.4, "stream": False}


def lane(name: str, effect: str, **changes: Any) -> dict[str, Any]:
    keyed = {"dedup_scope": "all", "key_ttl_ms": 10_000.0} if effect == "dedup" else {}
    return {**LANE, "name": name, "effect": effect, **keyed, **changes}


def settings(lanes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    return {
        "client_habits": {"marks_retry": True},
        "counted_by": "request",
        "discovery": "subscribe",
        "extra": {},
        "family": "chain",
        "fees": {"cross_zone": 0.0, "handshake": 0.0, "probe": 0.0, "waste": 0.0},
        "group_size": 1,
        "host_types": ["front-box"],
        "lanes": lanes,
        "limits": {
            "cancel": True,
            "connect_timeout_ms": 250.0,
            "idle_close_ms": 10_000.0,
            "max_open": 300,
            "max_retry_after_ms": 2000.0,
            "may_duplicate": True,
            "multiplex": 1,
            "probes": False,
            "retry_after": True,
            "try_limit": 3,
        },
        "obligations": {
            "answer_slack_ms": 50.0,
            "ask_within_ms": 10_000.0,
            "cold_from": 0.2,
            "fall_ms": 3000.0,
            "overload_factor": 4.0,
            "ramp_time_ms": 20_000.0,
            "stop_sending_within_ms": 250.0,
        },
        "over_share_worth": 0.05,
        "position": 0,
        "report": {"columns": [], "how": "off"},
        "round_ms": 4.0,
        "stage": 0,
        "tenants": [],
        "tiers": ["front"],
        "weights": "off",
        "zone": 0,
        "zones": ["almaty"],
        **changes,
    }


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._since = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._since:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Received:
    """A request that a backend has received, or receives."""

    backend: Backend
    method: str
    target: str
    headers: dict[str, str]
    began_at: float
    writer: asyncio.StreamWriter
    body: bytes = b""
    whole_at: float = 0.0

    @property
    def id(self) -> str:
        return self.headers.get("x-trace-id", "")

    async def answer(self, body: bytes, status: str = "200 OK", *headers: str) -> None:
        head = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
        self.writer.write("\r\n".join(head).encode() + body)
        await self.writer.drain()

    def reset(self) -> None:
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in fields}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return body


Behaviour = Callable[[Received], Awaitable[None]]


class Backend:
    """A server of the tier. `behave` answers each whole request."""

    def __init__(self, name: str, record: Record, behave: Behaviour) -> None:
        self.name, self.record, self.behave = name, record, behave
        self.runs: list[Received] = []
        self.seen: list[Received] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.zone, self.cell = "almaty", 1

    async def start(self, port: int = 0) -> Backend:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=1024)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                start, headers = await read_head(reader)
                method, target, _ = start.split(" ")
                received = Received(self, method, target, headers, time.monotonic(), writer)
                self.seen.append(received)
                received.body = await read_body(reader, headers)
                received.whole_at = time.monotonic()
                self.runs.append(received)
                self.record.write(f"{self.name} runs {method} {target} {received.id}")
                await self.behave(received)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            writer.close()

    def member(self, phase: str = "in_service") -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": self.zone,
            "flavor": "front-box",
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class Discovery:
    """Tells the list at once on each call and keeps the watch open."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 41
        self.members: list[dict[str, Any]] = []
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> Discovery:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    def list(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": self.members}

    def change(self, members: list[dict[str, Any]]) -> None:
        """Tells all watches the whole new list."""
        self.members, self.revision = members, self.revision + 1
        for writer in list(self._watches):
            self._line(writer, json.dumps(self.list()).encode())

    @staticmethod
    def _line(writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, json.dumps(self.list()).encode())
            self._watches.add(writer)
            while not writer.is_closing():
                await writer.drain()
                await asyncio.sleep(2.0)
                self._line(writer, b"")
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()


@dataclass
class Answer:
    """How a request of a client ended."""

    status: int = 0  # 0: none came
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False  # the answer came to its end
    ended: str = ""  # how its connection ended, if it did
    sent_at: float = 0.0  # when the last byte of the request was written
    began_at: float = 0.0  # when the first byte of the answer's body came
    at: float = 0.0  # when the last byte of the answer came, or the connection ended


_last_id = 0


def new_id() -> str:
    global _last_id
    _last_id += 1
    return f"{os.getpid() & 0xFFFFFFFF:08x}{_last_id:08x}"


def request_head(cls: str, method: str, id: str, expires_s: float, *more: str, path: str = "") -> bytes:
    lines = [f"{method} /{cls}{path} HTTP/1.1", "Host: app.svc", f"X-Trace-Id: {id}", f"X-Qos: {cls}"]
    lines += ["X-Customer: acme", f"X-Expires-In: {expires_s:.3f}", *more, "", ""]
    return "\r\n".join(lines).encode()


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Reads one final answer; `answer` tells how far it came."""
    try:
        while True:
            start, headers = await read_head(reader)
            answer.status = int(start.split(" ")[1])
            if answer.status >= 200:
                break
            answer.status = 0
        answer.headers = headers
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                while size:
                    data = await reader.read(size)
                    if not data:
                        raise asyncio.IncompleteReadError(b"", None)
                    answer.began_at = answer.began_at or time.monotonic()
                    answer.body += data
                    answer.at = time.monotonic()
                    size -= len(data)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            left = int(headers.get("content-length", "0"))
            while left:
                data = await reader.read(left)
                if not data:
                    raise asyncio.IncompleteReadError(b"", None)
                answer.began_at = answer.began_at or time.monotonic()
                answer.body += data
                answer.at = time.monotonic()
                left -= len(data)
        answer.whole = True
    except asyncio.IncompleteReadError:
        answer.ended = "closed"
    except (ConnectionError, OSError) as problem:
        answer.ended = f"reset ({type(problem).__name__})"
    answer.at = time.monotonic()


_started: list[asyncio.subprocess.Process] = []


class ProxyProcess:
    """The proxy, started by the deploy file's `run` in a temporary folder of its own."""

    def __init__(self, config: dict[str, Any], temporary: Path, record: Record) -> None:
        self.config, self.temporary, self.record = config, temporary, record
        self.process: asyncio.subprocess.Process | None = None
        self.listener: socket.socket | None = None

    async def start(self, wait_s: float = 20.0) -> None:
        """Starts it, and waits until it is ready."""
        await self.launch()
        assert self.process is not None
        until = time.monotonic() + wait_s
        while not await self.is_up():
            if time.monotonic() > until or self.process.returncode is not None:
                raise RuntimeError("the proxy does not get ready")
            await asyncio.sleep(0.1)
        self.record.write("the proxy is ready")

    async def launch(self) -> None:
        path = self.temporary / f"{self.config['name']}.json"
        self.path = path
        self.write_config()
        scratch = self.temporary / "scratch"
        scratch.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "NODE_NAME": self.config["name"],
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(path),
            **({"NODE_CONTROL": self.config["control"]} if "control" in self.config else {}),
            "TMPDIR": str(scratch),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        more: dict[str, Any] = {}
        if self.listener is not None:
            fd = self.listener.fileno()
            environment["NODE_INHERITED_FD"] = "7"
            more = {"pass_fds": (7,), "preexec_fn": lambda: os.dup2(fd, 7, inheritable=True)}
        log = (self.temporary / f"{self.config['name']}-{time.monotonic_ns()}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, **more
        )
        log.close()
        _started.append(self.process)

    def write_config(self) -> None:
        self.path.write_text(json.dumps(self.config))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.config["listen"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return reader, writer

    async def is_up(self) -> bool:
        try:
            reader, writer = await self.connect()
            writer.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            answer = Answer()
            await asyncio.wait_for(read_answer(reader, answer), 1.0)
            writer.close()
            return answer.status == 200
        except (OSError, TimeoutError):
            return False

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.write(f"{number.name} to the proxy")
        self.process.send_signal(number)

    def memory_mb(self) -> tuple[float, float]:
        """The resident memory, and the same with what it shares with other processes counted once for all of them."""
        assert self.process is not None
        lines = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text().splitlines()
        sizes = {line.split(":")[0]: int(line.split()[1]) * 1024 / 1e6 for line in lines[1:] if line.endswith(" kB")}
        return sizes["Rss"], sizes["Pss"]

    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None


async def call(address: str, method: str, path: str) -> Answer:
    """One call at an operators' address; raises OSError if nobody listens."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
    answer = Answer()
    await read_answer(reader, answer)
    writer.close()
    return answer


def shared_listener(address: str) -> socket.socket:
    """The clients' listening socket, as the platform holds it on days with a new version."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    host, port = address.split(":")
    listener.bind((host, int(port)))
    listener.listen(1024)
    return listener


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def configuration(discovery: Discovery, lanes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    limits = {"cores": 1.0, "memory_mb": 128, "sockets": 1024, **changes.pop("limits", {})}
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": limits,
        "known": discovery.list(),
        "settings": settings(lanes, **changes),
    }


def play(folder: Path, case: Callable[[Record, Path], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Runs the case, which returns whether the rule held, and exits with its result."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp())

    async def limited() -> bool:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(case(record, temporary), limit_s)
        finally:
            for process in _started:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    try:
        status = HELD if asyncio.run(limited()) else BROKEN
    except Exception as problem:
        record.write(f"the case could not run: {type(problem).__name__}: {problem}")
        status = NOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    os._exit(status)  # connections that are left open would be complained about at the interpreter's end

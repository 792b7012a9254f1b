"""A real proxy under hundreds of clients that are slow, stop half way or send much, beside a few sound ones.

Checked from outside: the process lives, its resident memory stays within the limit of its settings, and each request of
the sound clients gets a final answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from mastlift.lab.addresses import free_address
from mastlift.lab.fleet import LANE, SETTINGS, list_entry
from mastlift.lab.processes import Child, started

KB = 1024  # bytes of a line of /proc/PID/status
MB = 1_000_000  # bytes, as in the settings
CONNECT_PAUSE_S = 0.001  # between two connections of the crowd
SOUND_CLIENTS = 6
SOUND_PAUSE_S = 0.03  # between an answer and the next request of a sound client
SOUND_DEADLINE_S = 2.5
OVERDUE_S = 0.5  # a final answer later than this after its time is lost
CROWD_DEADLINE_S = 2.0
LONG_ANSWER = 8_000_000  # bytes
LONG_BODY = 3_000_000  # bytes
PIECE = 8_192  # bytes that servers write and read at once
BURST = 200  # requests that are written at once
STREAM_LIMIT = 1 << 20  # bytes of a head that a server takes
RECEIVE_BUFFER = 4_096  # bytes, of clients that read slowly
LANE_DEADLINE_MS = 5_000.0
LANES = [
    {**LANE, "name": "read", "effect": "retryable", "deadline_ms": LANE_DEADLINE_MS},
    {**LANE, "name": "pay", "effect": "fragile", "deadline_ms": LANE_DEADLINE_MS},
]

Act = Callable[["CrowdClient"], Awaitable[None]]


def request_head(method: str, path: str, deadline_s: float, *fields: str, trace: str = "") -> bytes:
    """The head of a proper request, with a trace id of its own unless one is given."""
    trace = trace or f"{random.getrandbits(64):016x}"
    lines = [f"{method} {path} HTTP/1.1", "Host: app.svc", f"X-Trace-Id: {trace}", f"X-Expires-In: {deadline_s}"]
    return "\r\n".join([*lines, *fields, "", ""]).encode()


class CrowdClient:
    """One client of the crowd, on a socket that is connected."""

    def __init__(self, connection: socket.socket, stop: asyncio.Event) -> None:
        self._loop = asyncio.get_running_loop()
        self._socket = connection
        self._stop = stop

    async def send(self, data: bytes) -> None:
        """Writes it as fast as the proxy takes it. Raises OSError."""
        await self._loop.sock_sendall(self._socket, data)

    async def send_slowly(self, data: bytes, piece: int, pause_s: float) -> None:
        """Writes it in pieces with a pause after each. Raises OSError."""
        for start in range(0, len(data), piece):
            await self.send(data[start : start + piece])
            await asyncio.sleep(pause_s)

    async def read_slowly(self, piece: int, pause_s: float) -> None:
        """Reads to the end of the connection, with a pause after each piece. Raises OSError."""
        while await self._loop.sock_recv(self._socket, piece):
            await asyncio.sleep(pause_s)

    async def hold(self) -> None:
        """Neither writes nor reads until the run ends."""
        await self._stop.wait()


async def _half_upload(client: CrowdClient) -> None:
    await client.send(request_head("POST", "/pay/1", CROWD_DEADLINE_S, f"Content-Length: {LONG_BODY}"))
    await client.send(bytes(140_000))
    await client.hold()


async def _slow_upload(client: CrowdClient) -> None:
    await client.send(request_head("POST", "/pay/1", CROWD_DEADLINE_S, "Content-Length: 400000"))
    await client.send_slowly(bytes(400_000), PIECE, PIECE / 64_000)
    await client.hold()


async def _half_body(client: CrowdClient) -> None:
    await client.send(request_head("POST", "/pay/1", CROWD_DEADLINE_S, "Content-Length: 64000"))
    await client.send(bytes(62_000))
    await client.hold()


async def _half_head_of_many_fields(client: CrowdClient) -> None:
    await client.send(request_head("GET", "/read/1", CROWD_DEADLINE_S)[:-2] + b"a:b\r\n" * 12_000)
    await client.hold()


async def _head_of_many_fields(client: CrowdClient) -> None:
    await client.send(request_head("GET", "/read/1", CROWD_DEADLINE_S, *["a:b"] * 12_000))
    await client.hold()


async def _slow_head(client: CrowdClient) -> None:
    await client.send_slowly(request_head("GET", "/read/1", CROWD_DEADLINE_S, *["x: yyyyyyyyyy"] * 50), 40, 0.1)
    await client.hold()


async def _tiny_chunks(client: CrowdClient) -> None:
    await client.send(request_head("POST", "/pay/1", CROWD_DEADLINE_S, "Transfer-Encoding: chunked"))
    await client.send(b"1\r\nx\r\n" * 20_000)
    await client.hold()


async def _slow_reader(client: CrowdClient) -> None:
    await client.send(request_head("GET", f"/read/long/{LONG_ANSWER}", CROWD_DEADLINE_S))
    await client.read_slowly(1_000, 0.05)


async def _slow_reader_of_chunks(client: CrowdClient) -> None:
    await client.send(request_head("GET", f"/read/chunked/{LONG_ANSWER}", CROWD_DEADLINE_S))
    await client.read_slowly(1_000, 0.05)


async def _unread_short_answers(client: CrowdClient) -> None:
    for _ in range(100):
        await client.send(request_head("GET", "/read/long/60000", CROWD_DEADLINE_S))
    await client.hold()


async def _improper_requests(client: CrowdClient) -> None:
    await client.send(b"GET / HTTP/1.1\r\n\r\n" * 3_600)
    await client.hold()


async def _flood(client: CrowdClient, burst: Callable[[], bytes]) -> None:
    """Sends bursts at full speed and reads what comes, without a look at it."""
    reading = asyncio.create_task(client.read_slowly(1 << 16, 0.0))
    try:
        while True:
            await client.send(burst())
    finally:
        reading.cancel()


async def _flood_of_proper_requests(client: CrowdClient) -> None:
    await _flood(client, lambda: b"".join(request_head("GET", "/read/1", CROWD_DEADLINE_S) for _ in range(BURST)))


async def _flood_of_probes(client: CrowdClient) -> None:
    await _flood(client, lambda: b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" * BURST)


async def _flood_of_improper_requests(client: CrowdClient) -> None:
    await _flood(client, lambda: b"GET / HTTP/1.1\r\n\r\n" * BURST)


async def _flood_of_new_names(client: CrowdClient) -> None:
    """Each request names another class, tenant and header field."""

    def burst() -> bytes:
        names = [f"{random.getrandbits(64):016x}" for _ in range(BURST)]
        return b"".join(
            request_head("GET", f"/{name}/1", CROWD_DEADLINE_S, f"X-Qos: {name}", f"X-Customer: {name}", f"X-{name}: 1")
            for name in names
        )

    await _flood(client, burst)


async def _flood_of_new_tenants(client: CrowdClient) -> None:
    """Each request is proper, of a tenant that no other one has."""
    await _flood(
        client,
        lambda: b"".join(
            request_head("GET", f"/read/{number}", CROWD_DEADLINE_S, f"X-Customer: {random.getrandbits(64):016x}")
            for number in range(BURST)
        ),
    )


async def _flood_of_tiny_chunks(client: CrowdClient) -> None:
    head = request_head("POST", "/pay/1", CROWD_DEADLINE_S, "Transfer-Encoding: chunked")
    await _flood(client, lambda: head + b"1\r\nx\r\n" * 2_000 + b"0\r\n\r\n")


async def _silent(client: CrowdClient) -> None:
    await client.hold()


class Trouble(Enum):
    """What the clients of a crowd do; the values are names for reports."""

    HALF_UPLOAD = "stop half way through a large request"
    SLOW_UPLOAD = "write a large request slowly"
    HALF_BODY = "stop half way through a small body"
    HALF_HEAD_OF_MANY_FIELDS = "stop within a head of very many short fields"
    HEAD_OF_MANY_FIELDS = "send a head of very many short fields"
    SLOW_HEAD = "write the head slowly"
    TINY_CHUNKS = "send a body in tiny chunks"
    SLOW_READER = "read a long answer slowly"
    SLOW_READER_OF_CHUNKS = "read a long answer without a length slowly"
    UNREAD_SHORT_ANSWERS = "send many requests and read no answer"
    IMPROPER_REQUESTS = "send many improper requests"
    SILENT = "connect and send nothing"
    FLOOD_OF_PROPER_REQUESTS = "send proper requests at full speed"
    FLOOD_OF_PROBES = "send probes at full speed"
    FLOOD_OF_IMPROPER_REQUESTS = "send improper requests at full speed"
    FLOOD_OF_NEW_NAMES = "send requests with ever new names at full speed"
    FLOOD_OF_NEW_TENANTS = "send requests of ever new tenants at full speed"
    FLOOD_OF_TINY_CHUNKS = "send requests in tiny chunks at full speed"


ACTS: dict[Trouble, Act] = {
    Trouble.HALF_UPLOAD: _half_upload,
    Trouble.SLOW_UPLOAD: _slow_upload,
    Trouble.HALF_BODY: _half_body,
    Trouble.HALF_HEAD_OF_MANY_FIELDS: _half_head_of_many_fields,
    Trouble.HEAD_OF_MANY_FIELDS: _head_of_many_fields,
    Trouble.SLOW_HEAD: _slow_head,
    Trouble.TINY_CHUNKS: _tiny_chunks,
    Trouble.SLOW_READER: _slow_reader,
    Trouble.SLOW_READER_OF_CHUNKS: _slow_reader_of_chunks,
    Trouble.UNREAD_SHORT_ANSWERS: _unread_short_answers,
    Trouble.IMPROPER_REQUESTS: _improper_requests,
    Trouble.SILENT: _silent,
    Trouble.FLOOD_OF_PROPER_REQUESTS: _flood_of_proper_requests,
    Trouble.FLOOD_OF_PROBES: _flood_of_probes,
    Trouble.FLOOD_OF_IMPROPER_REQUESTS: _flood_of_improper_requests,
    Trouble.FLOOD_OF_NEW_NAMES: _flood_of_new_names,
    Trouble.FLOOD_OF_NEW_TENANTS: _flood_of_new_tenants,
    Trouble.FLOOD_OF_TINY_CHUNKS: _flood_of_tiny_chunks,
}


class Backend:
    """A stand-in server. `read_pause_s`: how long it rests after each piece of a request's body."""

    def __init__(self, read_pause_s: float = 0.0) -> None:
        self._read_pause_s = read_pause_s
        self._handlers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> Backend:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024, limit=STREAM_LIMIT)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._handlers:
            task.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await self._answer(reader, writer)
        finally:
            writer.transport.abort()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        await self._read_body(head.lower(), reader)
        self.ran(head.lower())
        path = head.split(b" ", 2)[1].split(b"/")
        if path[2] == b"chunked":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(int(path[3]) // PIECE):
                writer.write(b"%x\r\n%s\r\n" % (PIECE, bytes(PIECE)))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return
        length = int(path[3]) if path[2] == b"long" else 2
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for start in range(0, length, PIECE):
            writer.write(bytes(min(PIECE, length - start)))
            await writer.drain()

    def ran(self, head: bytes) -> None:
        """A request has come whole; `head` is in lower case."""

    async def _read_body(self, head: bytes, reader: asyncio.StreamReader) -> None:
        if b"transfer-encoding: chunked" in head:
            while (size := int(await reader.readline(), 16)) > 0:
                await reader.readexactly(size + 2)
            await reader.readline()
            return
        if b"content-length: " not in head:
            return
        left = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        while left:
            piece = await reader.read(min(left, PIECE))
            if not piece:
                raise ConnectionResetError("the request breaks off")
            left -= len(piece)
            await asyncio.sleep(self._read_pause_s)


@dataclass(slots=True)
class Outcome:
    """What was seen of a run from outside."""

    memory_mb: float = 0.0  # the most that was resident
    is_alive: bool = False
    answers: Counter[str] = field(default_factory=Counter)  # of the sound clients, by status or kind of failure
    slowest_s: float = 0.0  # until the final answer of a sound client
    log: list[str] = field(default_factory=list)

    def served_share(self) -> float:
        """The part of the sound clients' requests that were served."""
        return self.answers["200"] / max(self.answers.total(), 1)

    def lost(self) -> int:
        """Requests of the sound clients without a final answer in their time and OVERDUE_S."""
        return self.answers["no answer"] + self.answers["overdue"]

    def __str__(self) -> str:
        answers = ", ".join(f"{count} {what}" for what, count in sorted(self.answers.items()))
        end = "alive" if self.is_alive else "ended"
        return f"{self.memory_mb:.1f} MB at most, {end}; sound clients: {answers}; the slowest {self.slowest_s:.2f} s"


class KeptConnection:
    """A client's connection, which it keeps while the proxy does; one request at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def is_open(self) -> bool:
        """The next request goes out on a connection that was used before."""
        return self._streams is not None

    async def exchange(self, request: bytes) -> str:
        """The status of the final answer. Raises OSError or IncompleteReadError."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        writer.write(request)
        status = b"100"
        while status.startswith(b"1"):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            status = head.split(b" ")[1]
        await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r\n")[0]))
        if b"connection: close" in head:
            self.close()
        return status.decode()

    def close(self) -> None:
        """Ends it at once."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class SoundClient:
    """Sends one proper request after another, on a connection that it keeps while the proxy does."""

    def __init__(self, address: tuple[str, int], outcome: Outcome) -> None:
        self.connection = KeptConnection(address)
        self._outcome = outcome

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            began = time.monotonic()
            result = await self._ask()
            took_s = time.monotonic() - began
            self._outcome.slowest_s = max(self._outcome.slowest_s, took_s)
            late = took_s > SOUND_DEADLINE_S + OVERDUE_S
            self._outcome.answers["overdue" if late else result] += 1
            await asyncio.sleep(SOUND_PAUSE_S)

    async def _ask(self) -> str:
        """The status. A request that crosses the end of a kept connection is sent once more on a new one."""
        is_kept = self.connection.is_open()
        try:
            async with asyncio.timeout(SOUND_DEADLINE_S + 2 * OVERDUE_S):
                return await self.connection.exchange(request_head("GET", "/read/1", SOUND_DEADLINE_S))
        except TimeoutError:
            self.connection.close()
            return "no answer"
        except (OSError, asyncio.IncompleteReadError):
            self.connection.close()
            return await self._ask() if is_kept else "closed"


@dataclass(frozen=True, slots=True)
class Plan:
    """A run: who comes, how many, for how long, and the limits of the process."""

    troubles: tuple[Trouble, ...]
    clients: int = 600
    memory_mb: int = 32
    sockets: int = 1024
    crowd_s: float = 3.0  # from the first client of the crowd to the end
    servers: int = 2
    servers_read_pause_s: float = 0.0
    servers_out_of_reach: bool = False  # connections to them never come up


def configuration(plan: Plan, listen: str, servers: list[str]) -> dict[str, Any]:
    """The proxy's settings; its discovery can't be reached."""
    limits = {**SETTINGS["limits"], "max_open": 20_000}
    return {
        "name": "n0",
        "listen": listen,
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
        "settings": {**SETTINGS, "lanes": LANES, "limits": limits},
        "known": {
            "revision": 1,
            "complete": True,
            "members": [list_entry(f"s{number}", address) for number, address in enumerate(servers)],
        },
    }


def most_memory_mb(pid: int) -> float:
    """The most memory of a process that was resident at any time. Raises OSError once it has ended."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) * KB / MB for line in lines if line.startswith("VmHWM:"))


class Unreachable:
    """An address where connections neither come up nor are refused: its backlog is full."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._fillers = [socket.socket() for _ in range(4)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        for each in (self._listener, *self._fillers):
            each.close()


@contextlib.asynccontextmanager
async def _servers(plan: Plan) -> AsyncIterator[list[str]]:
    servers: list[Backend | Unreachable] = []
    for _ in range(plan.servers):
        servers.append(Unreachable() if plan.servers_out_of_reach else await Backend(plan.servers_read_pause_s).start())
    try:
        yield [server.address for server in servers]
    finally:
        for server in servers:
            await server.stop()


class Crowd:
    """The clients of the crowd, which come one after the other as fast as the proxy accepts them."""

    def __init__(self, address: tuple[str, int], plan: Plan, chance: random.Random) -> None:
        self._address = address
        self._plan = plan
        self._chance = chance
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def come(self) -> None:
        for _ in range(self._plan.clients):
            trouble = self._chance.choice(self._plan.troubles)
            self._tasks.append(asyncio.create_task(self._act(ACTS[trouble])))
            await asyncio.sleep(CONNECT_PAUSE_S)

    async def _act(self, act: Act) -> None:
        with socket.socket() as connection, contextlib.suppress(OSError):
            connection.setblocking(False)
            if act in (_slow_reader, _slow_reader_of_chunks, _unread_short_answers):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            await asyncio.get_running_loop().sock_connect(connection, self._address)
            await act(CrowdClient(connection, self._stop))

    async def leave(self) -> None:
        """All end at once."""
        self._stop.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        self._stop.clear()


async def play(plan: Plan, folder: Path, seed: int = 1) -> Outcome:
    """One run with a process of its own."""
    outcome = Outcome()
    listen = free_address()
    host, port = listen.split(":")
    address = host, int(port)
    async with _servers(plan) as servers:
        path = folder / "config.json"
        path.write_text(json.dumps(configuration(plan, listen, servers)))
        async with started("-m", "proxy", environment={"NODE_CONFIG": str(path)}) as child:
            await child.line("serves on")
            await _watch_crowd(plan, address, child, outcome, random.Random(seed))
            outcome.log = child.lines
    return outcome


async def _watch_crowd(
    plan: Plan, address: tuple[str, int], child: Child, outcome: Outcome, chance: random.Random
) -> None:
    sound = [SoundClient(address, outcome) for _ in range(SOUND_CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in sound]
    crowd = Crowd(address, plan, chance)
    until = time.monotonic() + plan.crowd_s
    await crowd.come()
    await asyncio.sleep(max(until - time.monotonic(), 0.0))
    with contextlib.suppress(OSError):
        outcome.memory_mb = most_memory_mb(child.process.pid)
    outcome.is_alive = child.process.returncode is None
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    await crowd.leave()
    for client in sound:
        client.connection.close()
    for result in results:
        if isinstance(result, Exception):
            raise result  # a client that has stopped asking would go unnoticed

"""Bad peers that send much at once and go must not make the proxy use more memory than it has."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    MEMORY_MB,
    TROUBLE,
    Backend,
    CannotRun,
    Discovery,
    Proxy,
    Record,
    Request,
    answer_200,
    lane,
    main,
    read_answer,
    settings,
)

BAD_PEERS = 40
IMPROPER = b"GET / HTTP/1.1\r\n\r\n"  # neither a class nor an id
MUCH = 65_536  # bytes that each of them sends
STAY_S = 1.0
CLIENTS = 4
QUIET_S, WATCH_S = 2.0, 15.0  # before the bad peers come, and from then on
POLL_S = 0.05


async def serve(backend: Backend, request: Request, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.05)
    writer.write(answer_200(b"quote"))


async def bad_peer(proxy: Proxy) -> None:
    """Connects, sends, and goes a second later without reading."""
    try:
        _, writer = await asyncio.open_connection(HOST, proxy.port)
        writer.write(IMPROPER * (MUCH // len(IMPROPER)))
        await asyncio.sleep(STAY_S)
        writer.transport.abort()
    except OSError:
        pass  # closed by the proxy: that is its right


async def client(proxy: Proxy, record: Record, number: int, lost: list[str]) -> None:
    """Sends one request after the other on its own connection, until one gets no answer."""
    reader, writer = await asyncio.open_connection(HOST, proxy.port)
    for count in range(10_000):
        trace_id = f"{0xB0743EAF00000000 + number * 10_000 + count:016x}"
        try:
            writer.write(
                f"GET /quote-view HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {trace_id}\r\nX-Qos: quote-view\r\n"
                "X-Expires-In: 6.000\r\n\r\n".encode()
            )
            answer = await asyncio.wait_for(read_answer(reader), 6.5)
            record.line(f"client {number} got {answer.start} for id {trace_id}")
        except (OSError, asyncio.IncompleteReadError) as problem:
            record.line(f"client {number} got no answer for id {trace_id}: {type(problem).__name__}")
            lost.append(trace_id)
            return
        await asyncio.sleep(0.2)


async def watch_memory(proxy: Proxy, record: Record) -> float:
    """The platform: ends the proxy once it holds more memory than it has. Returns its most in MB."""
    most = 0.0
    for _ in range(int(WATCH_S / POLL_S)):
        used = proxy.memory_mb()
        if used > most + 10.0:
            record.line(f"the proxy holds {used:.0f} MB of {MEMORY_MB}")
        most = max(most, used)
        if most > MEMORY_MB:
            record.line(f"the proxy holds {most:.0f} MB of {MEMORY_MB}: the platform kills it")
            await proxy.end()
            break
        await asyncio.sleep(POLL_S)
    return most


async def case(record: Record, folder: Path) -> list[str]:
    backends = [Backend(f"b{number}", "east", serve, record) for number in range(3)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(backends)
    await discovery.start()
    proxy = Proxy(record, folder)
    proxy.write_config(discovery, settings([lane("quote-view", "retryable")]))
    lost: list[str] = []
    tasks = []
    try:
        await proxy.start()
        tasks = [asyncio.create_task(client(proxy, record, number, lost)) for number in range(CLIENTS)]
        await asyncio.sleep(QUIET_S)
        if lost:
            raise CannotRun("requests fail before the bad peers come")
        if TROUBLE:
            record.line(f"{BAD_PEERS} bad peers connect and send {MUCH} bytes each")
            tasks += [asyncio.create_task(bad_peer(proxy)) for _ in range(BAD_PEERS)]
        most = await watch_memory(proxy, record)
        await asyncio.sleep(0.5)
        crashed = not proxy.is_running()
    finally:
        for task in tasks:
            task.cancel()
        await proxy.end()
    broken = [f"id {trace_id}: no answer" for trace_id in lost]
    if crashed:
        broken.insert(0, f"the proxy held {most:.0f} MB of {MEMORY_MB}: killed")
    return broken


if __name__ == "__main__":
    main(case, __file__)

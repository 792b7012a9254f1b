"""An order that offers an upgrade to another protocol must run with its own body, or not at all."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
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

ORDERS = 5
OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"


async def serve(backend: Backend, request: Request, writer: asyncio.StreamWriter) -> None:
    """Runs the order and confirms what was ordered."""
    await asyncio.sleep(0.05)
    writer.write(answer_200(b"ordered: " + request.body))


async def order(proxy: Proxy, record: Record, number: int) -> tuple[str, bytes, Request | None]:
    """Sends an order on a new connection. Returns its id, its body and the answer, if there was one."""
    trace_id, body = f"{0xB0743EAF5D3A9000 + number:016x}", b'{"part": %d, "pieces": 12}' % number
    head = (
        f"POST /order-place HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {trace_id}\r\nX-Qos: order-place\r\n"
        f"X-Expires-In: 2.500\r\n{OFFER if TROUBLE else ''}Content-Length: {len(body)}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection(HOST, proxy.port)
    record.line(f"client sends POST /order-place id {trace_id}, body {body!r}{', offers h2c' if TROUBLE else ''}")
    writer.write(head.encode() + body)
    answer = None
    try:
        answer = await asyncio.wait_for(read_answer(reader), 4.0)
        record.line(f"client got {answer.start} for id {trace_id}, body {answer.body!r}")
    except (OSError, asyncio.IncompleteReadError) as problem:
        record.line(f"client got no answer for id {trace_id}: {type(problem).__name__}")
    writer.close()
    return trace_id, body, answer


async def case(record: Record, folder: Path) -> list[str]:
    backends = [Backend(f"b{number}", "east", serve, record) for number in range(3)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(backends)
    await discovery.start()
    proxy = Proxy(record, folder)
    proxy.write_config(discovery, settings([lane("order-place", "fragile", aim_ms=1000.0, deadline_ms=2500.0)]))
    try:
        await proxy.start()
        results = [await order(proxy, record, number) for number in range(ORDERS)]
    finally:
        await proxy.end()
    broken = []
    for trace_id, body, answer in results:
        ran = [request.body for backend in backends for request in backend.got if request.id == trace_id]
        if any(other != body for other in ran):
            broken.append(f"id {trace_id}: a backend ran {ran} and the client sent {body!r}")
        if answer is None:
            broken.append(f"id {trace_id}: no answer")
        elif answer.status == 200 and answer.body != b"ordered: " + body:
            broken.append(f"id {trace_id}: the client was answered 200 {answer.body!r}")
    if not any(backend.got for backend in backends) and not broken and not TROUBLE:
        raise CannotRun("no order reached a backend")
    return broken


if __name__ == "__main__":
    main(case, __file__)

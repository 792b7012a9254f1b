"""A server hangs in the middle of an answer without a length, of less than 64 KiB."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts"))
import rig

ANSWER, FIRST = 60_000, 30_000  # bytes
HANG_S = 40.0
EXPIRES_S = 1.5
LATEST_S = EXPIRES_S + 0.5 + 0.05  # a request that is not answered by then is lost
WATCHED_S = 12.0
CLIENTS = 16


async def case(record: rig.Record, temporary: Path) -> bool:
    async def behave(received: rig.Received) -> None:
        received.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for position in range(0, ANSWER, FIRST):
            received.writer.write(b"%x\r\n%s\r\n" % (FIRST, b"x" * FIRST))
            await received.writer.drain()
            if position == 0 and rig.TROUBLE and received.backend is backends[0]:
                record.write(f"{received.backend.name} hangs within the answer to {received.id}")
                await asyncio.sleep(HANG_S)
        received.writer.write(b"0\r\n\r\n")
        await received.writer.drain()

    backends: list[rig.Backend] = []
    for number in range(4):
        backends.append(await rig.Backend(f"b{number}", record, behave).start())
    discovery = await rig.Discovery(record).start()
    discovery.members = [backend.member() for backend in backends]
    proxy = rig.ProxyProcess(rig.configuration(discovery, [rig.lane("order-place", "fragile")]), temporary, record)
    await proxy.start()

    async def client() -> bool:
        """Whether the client has a whole answer in time, or can tell by then that it gets none."""
        reader, writer = await proxy.connect()
        id, answer = rig.new_id(), rig.Answer(sent_at=time.monotonic())
        writer.write(rig.request_head("order-place", "POST", id, EXPIRES_S, "Content-Length: 0"))
        reading = asyncio.create_task(rig.read_answer(reader, answer))
        await asyncio.wait([reading], timeout=LATEST_S)
        ended = reading.done()
        if not ended:
            record.write(f"{id}: status {answer.status}, {len(answer.body)} bytes, and no end after {LATEST_S} s")
            await asyncio.wait([reading], timeout=WATCHED_S - LATEST_S)
        after_s = (answer.at if reading.done() else time.monotonic()) - answer.sent_at
        how = "whole" if answer.whole else answer.ended or "still without an end"
        record.write(f"{id}: status {answer.status}, {len(answer.body)} bytes, {how} after {after_s:.2f} s")
        reading.cancel()
        writer.close()
        return ended

    pending = []
    for _ in range(CLIENTS):
        pending.append(asyncio.create_task(client()))
        await asyncio.sleep(0.2)
    results = [await one for one in pending]
    lost = results.count(False)
    record.write(f"{lost} of {len(results)} clients had no final answer, and an open connection, when it was due")
    return not lost


rig.play(Path(__file__).resolve().parent, case)

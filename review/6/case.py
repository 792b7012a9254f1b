"""A planned restart after a new configuration has dropped the class with the longest deadline."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts"))
import rig

DEADLINE_S = 1.0  # the longest one of the settings in force at the restart
KILL_AFTER_S = max(DEADLINE_S + 0.7, 1.7) + 0.05  # SIGKILL comes no sooner than the longest deadline plus 0.7 s
ARRIVES_AFTER_S = 0.7 + 0.05  # only a request that arrives later than this after SIGTERM counts
WORK_S = 0.35  # of a server for one request
WRITE_S = 1.25  # that a client takes to write its request
CLIENTS = 15


async def case(record: rig.Record, temporary: Path) -> bool:
    async def behave(received: rig.Received) -> None:
        await asyncio.sleep(WORK_S)
        await received.answer(b"priced " + received.id.encode())

    backends = [await rig.Backend(f"b{number}", record, behave).start() for number in range(4)]
    discovery = await rig.Discovery(record).start()
    discovery.members = [backend.member() for backend in backends]
    kept = rig.lane("order-place", "fragile", aim_ms=500.0, deadline_ms=1000.0 * DEADLINE_S)
    dropped = rig.lane("drawing-add", "dedup", deadline_ms=6000.0)
    config = rig.configuration(discovery, [kept, dropped] if rig.TROUBLE else [kept])
    proxy = rig.ProxyProcess(config, temporary, record)
    await proxy.start()
    await asyncio.sleep(1.5)
    if rig.TROUBLE:
        config["settings"]["lanes"] = [kept]
        proxy.write_config()
        proxy.signal(signal.SIGHUP)
    await asyncio.sleep(5.0)

    terminated_at = time.monotonic()

    async def client(after_s: float) -> rig.Answer:
        """Connects after SIGTERM, as clients do for 0.2 to 0.4 s, and writes its request in pieces."""
        await asyncio.sleep(after_s)
        reader, writer = await proxy.connect()
        id, pieces, answer = rig.new_id(), 10, rig.Answer()
        data = rig.request_head("order-place", "POST", id, DEADLINE_S, "Content-Length: 0")
        for piece in range(pieces):
            writer.write(data[len(data) * piece // pieces : len(data) * (piece + 1) // pieces])
            await writer.drain()
            if piece < pieces - 1:
                await asyncio.sleep(WRITE_S / (pieces - 1))
        answer.sent_at = time.monotonic()
        record.write(f"{id} is written, {answer.sent_at - terminated_at:.2f} s after SIGTERM")
        await rig.read_answer(reader, answer)
        writer.close()
        record.write(f"{id} answered {answer.status}, {answer.at - terminated_at:.2f} s after SIGTERM {answer.ended}")
        return answer

    proxy.signal(signal.SIGTERM)
    clients = [asyncio.create_task(client(0.05 + 0.018 * number)) for number in range(CLIENTS)]
    await asyncio.sleep(terminated_at + KILL_AFTER_S - time.monotonic())
    killed_at = time.monotonic()
    if proxy.is_running():
        proxy.signal(signal.SIGKILL)
    answers = [await one for one in clients]
    lost = [
        one
        for one in answers
        if not one.whole and terminated_at + ARRIVES_AFTER_S < one.sent_at < killed_at - 0.05 and one.sent_at > 0.0
    ]
    record.write(f"{len(lost)} of {len(answers)} requests that had arrived were never answered")
    return not lost


rig.play(Path(__file__).resolve().parent, case)

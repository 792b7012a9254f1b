"""A long answer without a length, which its server takes some seconds to write."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts"))
import rig

ANSWER, PIECE = 160_000, 3_200  # bytes
PIECE_S = 0.1 if rig.TROUBLE else 0.0  # 5 s for the whole
EXPIRES_S = 1.5
CLIENTS = 12


async def case(record: rig.Record, temporary: Path) -> bool:
    async def behave(received: rig.Received) -> None:
        received.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            for position in range(0, ANSWER, PIECE):
                size = min(PIECE, ANSWER - position)
                received.writer.write(b"%x\r\n%s\r\n" % (size, b"x" * size))
                await received.writer.drain()
                await asyncio.sleep(PIECE_S)
            received.writer.write(b"0\r\n\r\n")
            await received.writer.drain()
            record.write(f"{received.backend.name} has written the whole answer to {received.id}")
        except OSError:
            record.write(f"{received.backend.name} was cut off at {position} bytes of the answer to {received.id}")
            raise

    backends = [await rig.Backend(f"b{number}", record, behave).start() for number in range(4)]
    discovery = await rig.Discovery(record).start()
    discovery.members = [backend.member() for backend in backends]
    proxy = rig.ProxyProcess(rig.configuration(discovery, [rig.lane("order-place", "fragile")]), temporary, record)
    await proxy.start()

    async def client() -> rig.Answer:
        reader, writer = await proxy.connect()
        id, answer = rig.new_id(), rig.Answer(sent_at=time.monotonic())
        writer.write(rig.request_head("order-place", "POST", id, EXPIRES_S, "Content-Length: 0"))
        await rig.read_answer(reader, answer)
        writer.close()
        record.write(
            f"{id} answered {answer.status} after {answer.at - answer.sent_at:.2f} s, {len(answer.body)} bytes, "
            f"{'whole' if answer.whole else 'not whole'} {answer.ended}"
        )
        return answer

    pending = []
    for _ in range(CLIENTS):
        pending.append(asyncio.create_task(client()))
        await asyncio.sleep(0.3)
    answers = [await one for one in pending]
    cut = [one for one in answers if one.status != 200 or not one.whole or len(one.body) != ANSWER]
    record.write(f"{len(cut)} of {len(answers)} answers were cut off while their server wrote on")
    return not cut


rig.play(Path(__file__).resolve().parent, case)

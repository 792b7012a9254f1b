"""The proxy is emptied while a new version of it starts."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts"))
import rig

CONNECT_EVERY_S, ASK_EVERY_S, SEND_FOR_S = 0.01, 0.1, 0.2  # of the front
REST_S = 0.5  # between two requests of a client
EMPTY_AFTER_S = 4.0 + 0.15
# The order comes this long before the new process says yes: a time, or a share of what it needs for its start.
ORDER_BEFORE_S, ORDER_BEFORE_SHARE = 0.12, 0.15


async def launch(config: dict[str, Any], temporary: Path, record: rig.Record, listener: socket.socket) -> Any:
    config["control"] = f"127.0.0.1:{rig.free_port()}"
    process = rig.ProxyProcess(config, temporary, record)
    process.listener = listener
    await process.launch()
    record.write("a process is started")
    return process, config["control"]


async def until_ready(control: str) -> None:
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        try:
            if (await rig.call(control, "GET", "/api/ready")).status == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.01)
    raise RuntimeError("the proxy does not get ready")


async def case(record: rig.Record, temporary: Path) -> bool:
    async def behave(received: rig.Received) -> None:
        await asyncio.sleep(0.05)
        await received.answer(b"viewed " + received.id.encode())

    backends = [await rig.Backend(f"b{number}", record, behave).start() for number in range(4)]
    discovery = await rig.Discovery(record).start()
    discovery.members = [backend.member() for backend in backends]
    config = rig.configuration(discovery, [rig.lane("quote-view", "retryable")])
    listener = rig.shared_listener(config["listen"])

    # A first upgrade shows how long a new process takes on this machine.
    first, control = await launch(config, temporary, record, listener)
    await until_ready(control)
    began_at = time.monotonic()
    old, control = await launch(config, temporary, record, listener)
    await until_ready(control)
    start_s = time.monotonic() - began_at
    record.write(f"a new process takes {start_s:.2f} s to say yes")
    first.signal(signal.SIGTERM)
    await asyncio.wait_for(first.process.wait(), 10.0)
    await asyncio.sleep(1.0)

    open_clients: dict[int, float] = {}  # their connections -> when they were made

    async def client(number: int) -> None:
        """Uses its connection for as long as it stays open."""
        try:
            reader, writer = await old.connect()
        except OSError:
            return
        open_clients[number] = time.monotonic()
        try:
            while True:
                id, answer = rig.new_id(), rig.Answer()
                writer.write(rig.request_head("quote-view", "GET", id, 2.0))
                await rig.read_answer(reader, answer)
                record.write(f"client {number}: {id} answered {answer.status} {answer.ended}")
                if not answer.whole or answer.headers.get("connection") == "close":
                    return
                try:
                    await asyncio.wait_for(reader.read(1), REST_S)
                    return  # the proxy has closed the connection
                except TimeoutError:
                    pass
        except OSError:
            pass
        finally:
            del open_clients[number]
            writer.close()

    clients: list[asyncio.Task[None]] = []

    async def front() -> None:
        """Asks every 0.1 s, and sends new connections for 0.2 s after the first no."""
        asked_at, no_at = 0.0, None
        while no_at is None or time.monotonic() - no_at < SEND_FOR_S:
            clients.append(asyncio.create_task(client(len(clients))))
            if no_at is None and time.monotonic() - asked_at >= ASK_EVERY_S:
                asked_at = time.monotonic()
                if not await old.is_up():
                    record.write("/up says no")
                    no_at = time.monotonic()
            await asyncio.sleep(CONNECT_EVERY_S)

    sending = asyncio.create_task(front())
    await asyncio.sleep(0.3)
    if rig.TROUBLE:
        _, new_control = await launch(config, temporary, record, listener)
        await asyncio.sleep(max(start_s - max(ORDER_BEFORE_S, ORDER_BEFORE_SHARE * start_s), 0.0))
    ordered_at = time.monotonic()
    if (await rig.call(control, "POST", "/api/evacuate")).status != 200:
        raise RuntimeError("the proxy does not take the order")
    record.write("the proxy is told to get empty")
    await sending
    if rig.TROUBLE:
        await until_ready(new_control)
        record.write("the new version says yes")
    await asyncio.sleep(ordered_at + EMPTY_AFTER_S - time.monotonic())
    is_up = await old.is_up()
    left = {number: made_at - ordered_at for number, made_at in open_clients.items()}
    text = ", ".join(f"client {number} ({made_at:+.2f} s)" for number, made_at in left.items())
    record.write(
        f"{EMPTY_AFTER_S} s after the order: /up says {'yes' if is_up else 'no'}; still open: {text or 'none'}"
    )
    return not is_up and not left


rig.play(Path(__file__).resolve().parent, case)

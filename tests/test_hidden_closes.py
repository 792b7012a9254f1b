"""Clients whose close does not reach the proxy: it waits behind data that is not read, or follows a half-close."""

from __future__ import annotations

import asyncio
import socket

import pytest

from balancing import api
from tests.rig import Caller, FakeServer, Rig, Script, member, run
from tests.test_client_disconnects import DISCONNECT_LIMIT_S, assert_no_attempt_starts, final_status
from tests.test_late_loop import retry_on_s2

FILLER = 300  # requests of 20 kB, more than the sockets of both sides hold
REQUEST = (
    "POST /pay/1 HTTP/1.1\r\nX-Trace-Id: {trace}\r\nX-Qos: pay\r\nX-Expires-In: 9\r\nContent-Length: {size}\r\n\r\n"
)


def order(trace: str, size: int) -> bytes:
    return REQUEST.format(trace=trace, size=size).encode() + bytes(size)


async def started(script: Script) -> tuple[FakeServer, FakeServer, Rig]:
    first, second = await FakeServer().start(), await FakeServer().start()
    script.react = retry_on_s2
    return first, second, await Rig().start(member("s1", first.address), member("s2", second.address))


def open_client(rig: Rig) -> socket.socket:
    """A client whose writes don't block."""
    client = socket.create_connection(rig.front.address())
    client.setblocking(False)
    return client


async def fill(client: socket.socket, data: bytes) -> None:
    """Writes as much of it as the sockets take while the proxy reads what it will."""
    sent, idle = 0, 0
    while sent < len(data) and idle < 20:
        try:
            sent += client.send(data[sent:])
            idle = 0
        except BlockingIOError:
            idle += 1
            await asyncio.sleep(0.01)
    assert sent < len(data), "the close would not be hidden"


def test_no_retry_starts_after_a_close_behind_unread_requests() -> None:
    async def test() -> None:
        with Script().installed() as script:
            first, second, rig = await started(script)
            client = open_client(rig)
            await fill(client, b"".join(order(f"t{number}", 20_000) for number in range(FILLER)))
            call = await first.next()
            client.close()
            await asyncio.sleep(2 * DISCONNECT_LIMIT_S)
            call.reply(500)
            await script.until(api.ClientDisconnected)
            assert second.calls.empty()
            assert first.calls.empty()

    run(test)


def test_the_next_request_is_not_sent_after_a_close_behind_unread_requests() -> None:
    async def test() -> None:
        with Script().installed() as script:
            first, _second, rig = await started(script)
            client = open_client(rig)
            await fill(client, b"".join(order(f"t{number}", 20_000) for number in range(FILLER)))
            call = await first.next()
            client.close()
            await asyncio.sleep(2 * DISCONNECT_LIMIT_S)
            call.reply(200)
            while rig.front.connections:
                await asyncio.sleep(0.01)
            await assert_no_attempt_starts(rig, first)

    run(test)


def test_no_attempt_starts_after_a_close_behind_an_unread_body() -> None:
    """The connection to the server comes up only after the close."""

    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            rig = await Rig().start(member("s1", backend.address))
            client = open_client(rig)
            await fill(client, order("t0", 9_000_000))
            arrived = await script.until(api.RequestArrived)
            client.close()
            await asyncio.sleep(2 * DISCONNECT_LIMIT_S)
            script.react = lambda event: (
                [api.Send(event.request, "s1")]
                if isinstance(event, api.RequestArrived) and event.request != arrived.request
                else []
            )
            rig.proxy._carry_out(api.Send(arrived.request, "s1"))
            await script.until(api.ClientDisconnected)
            await assert_no_attempt_starts(rig, backend)

    run(test)


def test_no_retry_starts_after_a_half_close_and_a_close() -> None:
    async def test() -> None:
        with Script().installed() as script:
            first, second, rig = await started(script)
            caller = await rig.caller()
            caller.ask()
            call = await first.next()
            caller.writer.write_eof()
            await asyncio.sleep(2 * DISCONNECT_LIMIT_S)
            caller.writer.close()
            await asyncio.sleep(2 * DISCONNECT_LIMIT_S)
            call.reply(500)
            await script.until(api.ClientDisconnected)
            assert second.calls.empty()

    run(test)


def test_a_client_within_a_long_body_is_sent_no_interim_answer() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            rig = await Rig().start(member("s1", backend.address))
            caller = await rig.caller()
            caller.writer.write(order("t0", 1_000_000))
            arrived = await script.until(api.RequestArrived)
            await asyncio.sleep(2 * DISCONNECT_LIMIT_S)
            rig.proxy._carry_out(api.Send(arrived.request, "s1"))
            (await backend.next()).reply(200, b"whole")
            assert (await caller.answer()).body == b"whole"

    run(test)


@pytest.mark.parametrize("half_closed", [False, True])
def test_a_client_that_is_still_there_gets_its_retry_and_all_its_answers(half_closed: bool) -> None:
    async def test() -> None:
        with Script().installed() as script:
            first, second, rig = await started(script)
            reader, writer = await asyncio.open_connection(*rig.front.address())
            caller = Caller(reader, writer)
            count = 1 if half_closed else FILLER
            writer.write(b"".join(order(f"t{number}", 20_000) for number in range(count)))
            if half_closed:
                writer.write_eof()
            call = await first.next()
            await asyncio.sleep(2 * DISCONNECT_LIMIT_S)
            call.reply(500)
            (await second.next()).reply(200)
            assert await final_status(caller) == 200
            for _ in range(min(count - 1, 10)):
                (await first.next()).reply(200)
                assert await final_status(caller) == 200

    run(test)

"""Shutdown: no accepted request loses its answer when a connection, the listener or the process closes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from unittest import mock

import pytest

from mastlift.lab.addresses import free_port
from proxy import __main__ as program
from proxy.frontend import ClientConnection
from tests.rig import Caller, FakeServer, Rig, first_call, make_config, member, run, scripted_proxy
from tests.test_frontend import GOOD, head
from tests.test_process import launch, until_serving

REQUEST = head("GET /read/1 HTTP/1.1", *GOOD[:2], "X-Expires-In: 9")


@contextmanager
def short_times(flush_s: float = 0.05) -> Iterator[None]:
    with ExitStack() as stack:
        for name, value in (("KEEP_SERVING_S", 0.01), ("KEEP_LISTENING_S", 0.02), ("FLUSH_TIMEOUT_S", flush_s)):
            stack.enter_context(mock.patch.object(program, name, value))
        yield


async def raw_client(rig: Rig) -> socket.socket:
    """An idle connection with one answered request; the client has not read the answer yet."""
    client = socket.create_connection(rig.front.address())
    client.sendall(head("GET /up HTTP/1.1", "Host: x"))
    while not rig.front.connections or next(reversed(rig.front.connections)).is_new:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    client.setblocking(False)
    return client


async def read_to_end(client: socket.socket) -> bytes:
    data = b""
    while part := await asyncio.get_running_loop().sock_recv(client, 65536):
        data += part
    return data


@pytest.mark.parametrize("sent_during_close", [REQUEST, REQUEST[:20], REQUEST * 30])
@pytest.mark.parametrize("answered_before", [True, False])
def test_bytes_sent_while_an_idle_connection_closes_cause_no_reset(
    sent_during_close: bytes, answered_before: bool
) -> None:
    """SIGTERM, evacuation, hand-over and the time-out of a silent connection all close it this way."""

    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            if answered_before:
                client = await raw_client(rig)
            else:
                client = socket.create_connection(rig.front.address())
                client.setblocking(False)
            while not rig.front.connections:
                await asyncio.sleep(0)
            is_idle = ClientConnection.is_idle

            def send_after_the_check(connection: ClientConnection) -> bool:
                idle = is_idle(connection)
                os.write(client.fileno(), sent_during_close)
                return idle

            with mock.patch.object(ClientConnection, "is_idle", send_after_the_check):
                rig.front.close_idle()
            answer = await read_to_end(client)  # ConnectionResetError if it was closed with unread bytes
            assert answer.startswith(b"HTTP/1.1 200") if answered_before else answer == b""
            client.close()
            assert backend.calls.empty()
            assert not script.events[1:]  # only the list event: no request arrived
            while rig.front.connections:
                await asyncio.sleep(0)
            assert rig.descriptors.used == 0

    run(test)


def test_connections_in_the_backlog_are_served_before_the_listener_closes() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        clients = [
            socket.create_connection(rig.front.address()) for _ in range(20)
        ]  # without a turn of the loop in between
        for client in clients:
            client.sendall(head("GET /up HTTP/1.1", "Host: x", "Connection: close"))
            client.setblocking(False)
        await rig.front.drain_backlog(5.0)
        rig.front.stop_listening()
        for client in clients:
            assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
            client.close()

    run(test)


def test_request_with_an_incomplete_body_at_sigterm_is_answered() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        caller = await rig.caller()
        caller.writer.write(
            head("POST /pay/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: pay", "X-Expires-In: 9", "Content-Length: 10")
            + b"half "
        )
        while not rig.front.is_receiving():
            await asyncio.sleep(0)
        with short_times():
            leaving = asyncio.ensure_future(program.leave(rig.config, rig.proxy, rig.front, rig.life))
            await asyncio.sleep(0.3)  # much longer than FLUSH_TIMEOUT_S, which applies without open requests
            assert not leaving.done()
            caller.writer.write(b"whole")
            call = await backend.next()
            assert call.message.body == b"half whole"
            call.reply(200, b"x")
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            caller.writer.close()
            await leaving

    run(test)


def test_incomplete_request_does_not_delay_the_exit_beyond_the_kill_margin() -> None:
    async def test() -> None:
        rig = await Rig().start()
        caller = await rig.caller()
        caller.writer.write(REQUEST[:20])
        while not rig.front.is_receiving():
            await asyncio.sleep(0)
        with (
            short_times(),
            mock.patch.object(program, "MAX_WAIT_S", 0.1),
            mock.patch.object(program, "KILL_AFTER_S", 0.2),
        ):
            await program.leave(rig.config, rig.proxy, rig.front, rig.life)

    run(test)


def test_request_on_a_connection_opened_just_before_shutdown_is_answered() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        with short_times(flush_s=5.0):
            caller = await rig.caller()
            while not rig.front.connections:
                await asyncio.sleep(0)
            leaving = asyncio.ensure_future(program.leave(rig.config, rig.proxy, rig.front, rig.life))
            while rig.front.is_listening():
                await asyncio.sleep(0)
            await asyncio.sleep(0.05)  # several polls of the idle connections
            caller.ask()
            (await backend.next()).reply(200, b"x")
            assert (await caller.answer()).status == 200
            caller.writer.close()
            await leaving

    run(test)


@pytest.mark.parametrize(
    "state", ["an attempt is out", "a retry is pending", "a backup is out", "its answer is read slowly"]
)
def test_requests_accepted_before_sigterm_are_answered_completely(state: str) -> None:
    async def test() -> None:
        backends = [await FakeServer().start() for _ in range(3)]
        rig = await Rig().start(*(member(f"s{i}", backend.address) for i, backend in enumerate(backends)))
        caller = await rig.caller()
        caller.ask(left="0.6" if state == "a backup is out" else "5.0")
        call = await first_call(backends)
        body = b"x" * (60_000 if state == "its answer is read slowly" else 5)
        with short_times(flush_s=3.0):
            leaving = asyncio.ensure_future(program.leave(rig.config, rig.proxy, rig.front, rig.life))
            while rig.front.is_listening():
                await asyncio.sleep(0)
            if state == "a retry is pending":
                call.reset()
                call = await first_call(backends)
            elif state == "a backup is out":
                call = await first_call(backends)  # the first server does not answer
            call.reply(200, body)
            answer = await caller.answer()
            assert (answer.status, answer.body, answer.headers["connection"]) == (200, body, "close")
            caller.writer.close()
            await leaving

    run(test)


# --- signals during the start and the shutdown ---


def test_sigterm_twice_ends_once(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        port = free_port()
        process = await launch(
            json.dumps(make_config(f"127.0.0.1:{port}", "127.0.0.1:1", member("s1", backend.address), group_size=1)),
            tmp_path,
        )
        await until_serving(process)
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        caller.ask()
        call = await backend.next()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        call.reply(200, b"x")
        assert (await caller.answer()).status == 200
        caller.writer.close()
        assert await process.wait() == 0

    run(test)


def test_sighup_during_startup_neither_ends_the_process_nor_gets_lost() -> None:
    before = signal.getsignal(signal.SIGHUP)
    try:
        early = program.EarlyReload()
        os.kill(os.getpid(), signal.SIGHUP)
        assert early.is_due
    finally:
        signal.signal(signal.SIGHUP, before)


def test_tcp_nodelay_is_set_on_both_sides() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        caller = await rig.caller()
        caller.ask()
        await backend.next()
        (client,) = rig.front.connections
        (live,) = rig.proxy._requests.values()
        exchange = live.attempts[0].exchange
        assert client._transport is not None and exchange is not None and exchange.connection is not None
        for transport in (client._transport, exchange.connection._transport):
            assert transport is not None
            raw = transport.get_extra_info("socket")
            assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test)

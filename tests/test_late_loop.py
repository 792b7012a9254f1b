"""A late event loop: data that is unread in a socket is taken into account before an attempt starts."""

from __future__ import annotations

import asyncio
import gc
import json
import math
import socket
import struct
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest import mock

import pytest

from balancing import api
from proxy.client_request import ClientRequest
from proxy.frontend import MIN_LINGER_S, ClientConnection
from proxy.proxy import Attempt, LiveRequest
from proxy.upstream import Connection
from tests.rig import Caller, FakeServer, Message, Rig, Script, first_to, member, run, scripted_proxy
from tests.test_client_disconnects import assert_no_attempt_starts, final_status, until_no_open_requests

BLOCK_S = 0.3  # longer than any time limit under test


def block_event_loop() -> None:
    time.sleep(BLOCK_S)


def request_text(trace: str = "t0", kind: str = "read") -> bytes:
    method, more = ("GET", "") if kind == "read" else ("POST", "Content-Length: 0\r\n")
    return (
        f"{method} /{kind}/1 HTTP/1.1\r\nX-Trace-Id: {trace}\r\nX-Qos: {kind}\r\nX-Expires-In: 9\r\n{more}\r\n"
    ).encode()


def close(client: socket.socket) -> None:
    client.close()


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


LEAVE_METHODS = pytest.mark.parametrize("leave", [close, reset])


def open_client(rig: Rig) -> socket.socket:
    """A blocking client: what it sends is in the proxy's kernel when its call returns."""
    return socket.create_connection(rig.front.address())


async def accepted(rig: Rig, count: int = 1) -> None:
    while len(rig.front.connections) < count:
        await asyncio.sleep(0)


async def open_idle_connection(rig: Rig, backend: FakeServer) -> Caller:
    """Leaves an idle connection to the backend that may be reused. The client stays open while the result is
    referenced."""
    caller = await rig.caller()
    caller.ask()
    (await backend.next()).reply(200, b"x")
    await caller.answer()
    await asyncio.sleep(0.03)
    return caller


@contextmanager
def connections_established_after(up: asyncio.Event) -> Iterator[None]:
    """Connections to backends are established once `up` is set."""
    open_connection = Connection._connect

    async def late(connection: Connection) -> None:
        await up.wait()
        await open_connection(connection)

    with mock.patch.object(Connection, "_connect", late):
        yield


def retry_on_s2(event: api.Event) -> list[api.Action]:
    if isinstance(event, api.RequestArrived):
        return [api.Send(event.request, "s1")]
    if isinstance(event, api.AttemptEnded) and not event.final:
        return [api.Send(event.request, "s2") if event.attempt == 0 else api.Fail(event.request)]
    return []


@LEAVE_METHODS
@pytest.mark.parametrize("is_accepted", [True, False])
def test_a_request_read_after_its_client_left_is_not_sent(
    leave: Callable[[socket.socket], None], is_accepted: bool
) -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            client = open_client(rig)
            if is_accepted:
                await accepted(rig)
            client.sendall(request_text())
            leave(client)
            block_event_loop()
            await assert_no_attempt_starts(rig, backend)
            await until_no_open_requests(rig)
            assert not rig.proxy._requests

    run(test)


def test_an_idle_connection_is_not_used_for_a_client_that_left() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            _client = await open_idle_connection(rig, backend)
            client = open_client(rig)
            await accepted(rig, 2)
            client.sendall(request_text())
            client.close()
            block_event_loop()
            await assert_no_attempt_starts(rig, backend)
            await until_no_open_requests(rig)

    run(test)


@LEAVE_METHODS
def test_an_attempt_is_not_written_if_its_connection_is_established_after_the_client_left(
    leave: Callable[[socket.socket], None],
) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        up = asyncio.Event()
        rig = await Rig().start(member("s1", backend.address), limits={"connect_timeout_ms": 9000.0})
        with connections_established_after(up):
            client = open_client(rig)
            client.sendall(request_text(kind="pay"))
            while not rig.proxy._requests:
                await asyncio.sleep(0)
            up.set()
            leave(client)
            block_event_loop()
            await until_no_open_requests(rig)
        await assert_no_attempt_starts(rig, backend)
        assert not rig.proxy._requests

    run(test)


@LEAVE_METHODS
def test_no_further_attempt_starts_after_the_client_left(leave: Callable[[socket.socket], None]) -> None:
    """The failure of the first attempt is processed before the client's end of stream."""

    async def test() -> None:
        first, second = await FakeServer().start(), await FakeServer().start()
        with Script().installed() as script:
            script.react = retry_on_s2
            rig = await Rig().start(member("s1", first.address), member("s2", second.address))
            client = open_client(rig)
            client.sendall(request_text())
            call = await first.next()
            call.reset()
            leave(client)
            block_event_loop()
            await until_no_open_requests(rig)
            other = await rig.caller()
            other.ask(trace="barrier")
            (await first.next()).reply(500)
            call = await second.next()
            assert call.message.headers["x-trace-id"] == "barrier"
            call.reply(200)
            assert (await other.answer()).status == 200

    run(test)


def test_no_further_attempt_starts_after_a_half_close_and_a_reset() -> None:
    async def test() -> None:
        first, second = await FakeServer().start(), await FakeServer().start()
        with Script().installed() as script:
            script.react = retry_on_s2
            rig = await Rig().start(member("s1", first.address), member("s2", second.address))
            client = open_client(rig)
            client.sendall(request_text())
            client.shutdown(socket.SHUT_WR)
            call = await first.next()
            call.reset()
            reset(client)
            block_event_loop()
            await until_no_open_requests(rig)
            await asyncio.sleep(0.05)
            assert second.calls.empty()

    run(test)


# --- an unread drain in the watch's connection ---


@pytest.mark.parametrize("is_kept", [True, False])
@pytest.mark.parametrize("phase", ["terminating", "terminated"])
def test_a_request_read_before_a_pending_drain_is_not_sent_to_the_leaving_server(is_kept: bool, phase: str) -> None:
    """The request arrived first, and both were processed after the time to stop sending had ended."""

    async def test() -> None:
        discovery, leaving, staying = [await FakeServer().start() for _ in range(3)]
        members = [member("s1", leaving.address), member("s2", staying.address)]
        with Script().installed() as script:
            script.react = retry_on_s2
            rig = await Rig().start(*members, discovery=discovery.address)
            watch = await discovery.next()
            watch.open_stream()
            if is_kept:
                _client = await open_idle_connection(rig, leaving)
            client = open_client(rig)
            await accepted(rig, 1 + is_kept)
            client.sendall(request_text())
            watch.send_list(42, False, {**members[0], "phase": phase})
            block_event_loop()
            (await staying.next()).reply(200, b"x")
            assert leaving.calls.empty()
            rig.proxy.stop()

    run(test)


def test_an_attempt_is_not_written_if_a_drain_is_pending_when_its_connection_is_established() -> None:
    """The time to stop sending counts from when the drain may have arrived, not from when it is read."""

    async def test() -> None:
        discovery, leaving, staying = [await FakeServer().start() for _ in range(3)]
        members = [member("s1", leaving.address), member("s2", staying.address)]
        up = asyncio.Event()
        with Script().installed() as script, connections_established_after(up):
            script.react = retry_on_s2
            rig = await Rig().start(*members, discovery=discovery.address, limits={"connect_timeout_ms": 9000.0})
            watch = await discovery.next()
            watch.open_stream()
            client = open_client(rig)
            client.sendall(request_text())
            while not rig.proxy._requests:
                await asyncio.sleep(0)
            up.set()
            watch.send_list(42, False, {**members[0], "phase": "terminating"})
            block_event_loop()
            (await staying.next()).reply(200, b"x")
            assert leaving.calls.empty()
            rig.proxy.stop()

    run(test)


def test_an_attempt_caused_by_one_line_is_not_sent_to_a_server_that_the_next_line_drains() -> None:
    """Both lines arrive together."""

    async def test() -> None:
        discovery, leaving, staying = [await FakeServer().start() for _ in range(3)]
        members = [member("s1", leaving.address), member("s2", staying.address)]
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(*members, discovery=discovery.address)
            watch = await discovery.next()
            watch.open_stream()
            _client = await open_idle_connection(rig, leaving)
            script.react = lambda event: []
            waiting = await rig.caller()
            waiting.ask()
            while not rig.proxy._requests:
                await asyncio.sleep(0)
            (request,) = rig.proxy._requests

            def react(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.ListChanged) and event.servers[0].name == "s2":
                    return [api.Send(request, "s1")]
                return retry_on_s2(event)

            script.react = react
            lines = [
                json.dumps({"revision": revision, "complete": False, "members": [changed]}).encode() + b"\n"
                for revision, changed in ((42, members[1]), (43, {**members[0], "phase": "terminating"}))
            ]
            watch.chunk(b"".join(lines))
            block_event_loop()
            (await staying.next()).reply(200, b"x")
            assert leaving.calls.empty()
            rig.proxy.stop()

    run(test)


# --- half-closed clients ---


@pytest.mark.parametrize("ahead", [0, 2, 6])
@pytest.mark.parametrize("held", [True, False])
def test_a_client_that_half_closes_after_its_requests_gets_all_answers(ahead: int, held: bool) -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            client = open_client(rig)
            client.sendall(b"".join(request_text(f"t{number}") for number in range(1 + ahead)))
            client.shutdown(socket.SHUT_WR)
            if held:
                block_event_loop()
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            for number in range(1 + ahead):
                call = await backend.next()
                assert call.message.headers["x-trace-id"] == f"t{number}"
                call.reply(200, b"x")
                message = await Message.read(reader)
                while message.status == 100:
                    message = await Message.read(reader)
                assert message.status == 200
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_a_half_close_is_distinguished_from_a_close_when_a_connection_is_established() -> None:
    """The attempt is held while the client is probed, and starts if no reset arrives."""

    async def test() -> None:
        backend = await FakeServer().start()
        up = asyncio.Event()
        rig = await Rig().start(member("s1", backend.address), limits={"connect_timeout_ms": 9000.0})
        with connections_established_after(up):
            client = await rig.caller()
            client.ask("pay", trace="t0")
            while not rig.proxy._requests:
                await asyncio.sleep(0)
            client.writer.write_eof()
            up.set()
            block_event_loop()
            call = await backend.next()
        assert call.message.headers["x-trace-id"] == "t0"
        call.reply(200, b"x")
        assert await final_status(client) == 200

    run(test)


# --- time limits that end meanwhile ---


@pytest.mark.parametrize(("left", "window_ms"), [("0.25", math.inf), ("9.0", 100.0)])
def test_an_attempt_is_not_written_if_its_connection_is_established_after_the_deadline(
    left: str, window_ms: float
) -> None:
    """The deadline and the key window are checked at the first byte, not once per loop iteration."""

    async def test() -> None:
        backend = await FakeServer().start()
        up = asyncio.Event()

        def react(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                return [api.Send(event.request, "s1", start_within_ms=window_ms)]
            if isinstance(event, api.AttemptEnded) and not event.final:
                return [api.Fail(event.request)]
            return []

        with Script().installed() as script, connections_established_after(up):
            script.react = react
            rig = await Rig().start(member("s1", backend.address), limits={"connect_timeout_ms": 9000.0})
            caller = await rig.caller()
            caller.ask("pay", left=left)
            while not rig.proxy._requests:
                await asyncio.sleep(0)
            up.set()
            block_event_loop()
            assert (await caller.answer()).status == 502
            script.react = first_to("s1")
            await assert_no_attempt_starts(rig, backend)

    run(test)


# --- causes of a late event loop ---


def requests_in_memory() -> int:
    return sum(isinstance(kept, LiveRequest | Attempt | ClientRequest) for kept in gc.get_objects())


@pytest.mark.parametrize("status", [200, 500])
def test_a_finished_request_is_freed_without_garbage_collection(status: int) -> None:
    """Objects left to the garbage collector make its runs long, and they block the event loop."""

    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            caller = await rig.caller()
            for _ in range(5):
                caller.ask()
                call = await backend.next()
                assert requests_in_memory() == before + 3
                call.reply(status)
                await caller.answer()
            assert requests_in_memory() == before

    gc.collect()
    before = requests_in_memory()
    gc.disable()
    try:
        run(test)
    finally:
        gc.enable()


class Counted(dict[ClientConnection, None]):
    """Counts the entries that are iterated over."""

    looks = 0

    def __iter__(self) -> Iterator[ClientConnection]:
        for connection in super().__iter__():
            self.looks += 1
            yield connection


@pytest.mark.parametrize(("asked", "looks"), [(True, 2), (False, 62)])
def test_make_room_does_not_look_at_all_connections(asked: bool, looks: int) -> None:
    """No connection is idle for long, lingering or stalled in a head: the oldest of each kind shows it."""

    async def test() -> None:
        rig = await Rig().start()
        callers = [await rig.caller() for _ in range(60)]
        await accepted(rig, 60)
        if asked:
            for caller in callers:
                caller.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
                await caller.answer()
        counted = rig.front.connections = Counted(rig.front.connections)
        assert rig.front.make_room() == asked
        assert counted.looks <= looks

    run(test)


def test_the_longest_lingering_connection_is_closed_first() -> None:
    async def test() -> None:
        rig = await Rig().start()
        callers = [await rig.caller() for _ in range(3)]
        await accepted(rig, 3)
        for caller in callers[1:]:
            caller.writer.write(b"nonsense\r\n\r\n")
            assert (await caller.answer()).status == 400
        await asyncio.sleep(MIN_LINGER_S)
        assert len(rig.front.lingering) == 2
        first, last = rig.front.lingering
        assert rig.front.make_room()
        assert list(rig.front.lingering) == [last]
        assert first not in rig.front.connections
        assert rig.front.make_room()
        assert not rig.front.lingering
        assert not rig.front.make_room()
        assert len(rig.front.connections) == 1

    run(test)

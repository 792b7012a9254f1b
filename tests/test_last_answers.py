"""The last answer on a connection: sent whole while the client reads it, and given up once it stops."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from unittest import mock

import pytest

from proxy.__main__ import leave
from proxy.frontend import ClientConnection
from tests.rig import FakeServer, Rig, Script, first_to, member, run, scripted_proxy
from tests.test_bodies import raw_server
from tests.test_frontend import GOOD, head

ANSWER = bytes(range(250)) * 20_000  # 5 MB: more than the sockets between proxy and client hold
TRIES = 40  # it depends on the length of an answer whether its end finds the socket to the client full
STEP = 40_000  # bytes that the answer of each try is shorter
LINGER_S = 0.05
STALL_S = 2.0
LONG_S = 20.0  # in place of LINGER_S where a late event loop must not count as a client's rest
PIECE = 65_536
SLOWLY_READ = 12_000_000  # bytes of an answer
SHORT_STALL_S = 0.4  # less than the time in which a client at 2 MB a second makes room for the next megabyte
PAUSE_S = 0.04  # of a client between two pieces
KEPT = "none: the connection is kept"
ENDINGS: dict[str, tuple[str, ...]] = {
    "the client asked for it": ("Connection: close",),
    "the client half-closed": (),
    "an evacuation": (),
}


@pytest.fixture(autouse=True)
def short_times() -> Iterator[None]:
    with mock.patch.multiple(
        "proxy.frontend", LINGER_S=LINGER_S, UNSENT_CHECK_S=0.02, BODY_STALL_TIMEOUT_S=STALL_S, MIN_LINGER_S=0.01
    ):
        yield


class SlowReader:
    """A client with a small receive buffer that reads nothing ahead."""

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self.received = b""

    @staticmethod
    async def connect(port: int) -> SlowReader:
        connected = socket.socket()
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        connected.connect(("127.0.0.1", port))
        connected.setblocking(False)
        return SlowReader(connected)

    async def ask(self, *lines: str) -> None:
        request = head("GET /read/1 HTTP/1.1", *GOOD[:2], "X-Expires-In: 9", *lines)
        await asyncio.get_running_loop().sock_sendall(self._socket, request)

    def half_close(self) -> None:
        self._socket.shutdown(socket.SHUT_WR)

    @property
    def body(self) -> bytes:
        return self.received.rpartition(b"\r\n\r\n")[2]

    def close(self) -> None:
        self._socket.close()

    async def read_until(self, is_enough: Callable[[], bool], pause_s: float = 0.0, size: int = PIECE) -> None:
        """Reads pieces of up to `size` bytes until the condition holds, or the connection ends."""
        with suppress(ConnectionError):
            while not is_enough():
                piece = await asyncio.get_running_loop().sock_recv(self._socket, size)
                if not piece:
                    break
                self.received += piece
                await asyncio.sleep(pause_s)

    async def read_all(self, pause_s: float = 0.0) -> None:
        length = int(self.received.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        await self.read_until(lambda: len(self.body) >= length, pause_s)
        assert self.body == ANSWER[:length]

    async def expect_cut_off(self) -> None:
        """The connection ends with what the sockets held of the answer; the rest is lost."""
        taken = len(self.body)
        await self.read_until(lambda: False)
        assert len(self.body) - taken < 4 * PIECE


async def answer_all(backend: FakeServer) -> None:
    """Each answer is shorter than the one before."""
    for number in range(TRIES):
        (await backend.next()).reply(200, ANSWER[: len(ANSWER) - STEP * number])


async def answered(rig: Rig, ending: str) -> tuple[SlowReader, ClientConnection]:
    """A client that has read of its answer until the proxy had passed on the end."""
    client = await SlowReader.connect(rig.front.address()[1])
    await until(lambda: bool(rig.front.connections))
    connection = next(iter(rig.front.connections))
    assert connection._transport is not None
    connection._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PIECE)
    await client.ask(*ENDINGS.get(ending, ()))
    if ending == "the client half-closed":
        client.half_close()
    await client.read_until(lambda: bool(client.received) and connection.request is None, size=PIECE // 16)
    return client, connection


@asynccontextmanager
async def unsent_answer(ending: str) -> AsyncIterator[tuple[Rig, SlowReader, ClientConnection]]:
    """A connection that is closing, or kept, with the end of its last answer unsent."""
    async with scripted_proxy() as (backend, _, rig):
        serving = asyncio.create_task(answer_all(backend))
        for _ in range(TRIES):
            client, connection = await answered(rig, ending)
            if connection.has_unsent():
                break
            client.close()
            await until(lambda: not rig.front.connections)
        else:
            raise AssertionError("no answer had its end unsent")
        if ending == "an evacuation":
            rig.front.closing = True
            rig.front.close_idle()
        assert (connection in rig.front.lingering) is (ending != KEPT)
        yield rig, client, connection
        serving.cancel()


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("ending", ENDINGS)
def test_a_client_that_goes_on_reading_gets_its_last_answer_whole(ending: str) -> None:
    """The connection was reset a second after the end of the answer had been written to its buffer."""

    async def test() -> None:
        async with unsent_answer(ending) as (rig, client, connection):
            await asyncio.sleep(6 * LINGER_S)  # six seconds for an ordinary proxy
            assert connection.has_unsent()
            await client.read_all(PAUSE_S)
            await until(lambda: not rig.front.connections)

    run(test)


@pytest.mark.parametrize("ending", ENDINGS)
def test_a_client_that_stops_reading_its_last_answer_is_disconnected(ending: str) -> None:
    async def test() -> None:
        async with unsent_answer(ending) as (rig, client, _):
            since = asyncio.get_running_loop().time()
            await until(lambda: not rig.front.connections)
            assert asyncio.get_running_loop().time() - since >= STALL_S - LINGER_S
            await client.expect_cut_off()

    run(test)


def test_room_is_made_by_closing_a_client_that_has_stopped_reading_and_no_other() -> None:
    async def test() -> None:
        async with unsent_answer("the client asked for it") as (rig, client, connection):
            with mock.patch("proxy.frontend.LINGER_S", LONG_S):
                assert not rig.front.make_room()  # it may still read
            await asyncio.sleep(2 * LINGER_S)
            assert rig.front.make_room()
            assert connection not in rig.front.connections
            await until(lambda: not connection.has_unsent())  # its descriptor is free soon, not after STALL_S
            await client.expect_cut_off()

    run(test)


def test_a_client_that_reads_its_last_answer_is_not_closed_for_a_new_one() -> None:
    async def test() -> None:
        async with unsent_answer("the client asked for it") as (rig, client, connection):
            reading = asyncio.create_task(client.read_all(0.01))
            with mock.patch("proxy.frontend.LINGER_S", LONG_S):
                while connection.has_unsent():
                    assert not rig.front.make_room()
                    await asyncio.sleep(0.01)
            await reading

    run(test)


def test_a_kept_connection_closed_for_a_new_one_sends_its_answer_whole() -> None:
    async def test() -> None:
        async with unsent_answer(KEPT) as (rig, client, connection):
            with mock.patch("proxy.frontend.LINGER_S", LONG_S):
                assert rig.front.make_room()
                assert connection not in rig.front.connections
                await client.read_all(PAUSE_S)

    run(test)


def test_a_kept_connection_closed_for_a_new_one_is_given_up_if_its_client_rests() -> None:
    """Its descriptor no longer counts, and stayed open for as long as the client read nothing."""

    async def test() -> None:
        async with unsent_answer(KEPT) as (rig, client, connection):
            assert rig.front.make_room()
            await until(lambda: not connection.has_unsent())
            await client.expect_cut_off()

    run(test)


def test_a_proxy_that_ends_sends_its_last_answers_whole() -> None:
    """After SIGTERM answers had 1.5 s to be read from the time of the last open request."""

    async def test() -> None:
        with mock.patch.multiple("proxy.__main__", FLUSH_TIMEOUT_S=0.1, KEEP_SERVING_S=0.0, KEEP_LISTENING_S=0.0):
            async with unsent_answer("the client asked for it") as (rig, client, _):
                rig.life.leave()
                leaving = asyncio.create_task(leave(rig.config, rig.proxy, rig.front, rig.life))
                await asyncio.sleep(STALL_S / 5)
                assert not leaving.done()
                await client.read_all()
                await leaving

    run(test)


def test_a_long_answer_is_not_cut_off_while_its_client_reads_it_slowly() -> None:
    """Its connection takes more only in steps of over a megabyte: at 20 kB a second a minute passes between two."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SLOWLY_READ)
        writer.write(bytes(SLOWLY_READ))
        await writer.drain()

    async def test() -> None:
        with (
            Script().installed() as script,
            mock.patch.multiple("proxy.frontend", BODY_STALL_TIMEOUT_S=SHORT_STALL_S, UNREAD_CHECK_S=SHORT_STALL_S / 8),
        ):
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", await raw_server(serve)))
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, rig.front.address())
            await loop.sock_sendall(client, b"GET /read/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Expires-In: 2\r\n\r\n")
            received = 0
            while received < SLOWLY_READ:
                data = await loop.sock_recv(client, 40_000)
                assert data, f"cut off after {received} bytes"
                received += len(data)
                await asyncio.sleep(0.02)
            client.close()

    run(test)

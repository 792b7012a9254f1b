"""Clients that send many requests at once: what is held of them, and the turns that they take of the event loop."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random
from unittest import mock

import pytest

from balancing import api
from mastlift.lab.addresses import free_port
from proxy.frontend import MAX_PIPELINED, PARSE_SLICE, ClientConnection
from proxy.parsequeue import ParseQueue
from tests.rig import Caller, FakeServer, Rig, make_config, member, run, scripted_proxy
from tests.test_frontend import head
from tests.test_process import launch, until_serving
from tests.test_upgrade_offers import OFFERS, chunked

IMPROPER = head("GET / HTTP/1.1")  # neither a class nor an id
BURST_SIZE = 65_536  # bytes: as much as a single read takes
BURSTS = {
    "rejected": IMPROPER,
    "rejected, with a body": head("POST / HTTP/1.1", "Content-Length: 5") + b"abcde",
    "rejected, in chunks with trailers": head("POST / HTTP/1.1", "Transfer-Encoding: chunked") + chunked(b"abc", 2),
    "rejected, with an offer": head("GET / HTTP/1.1", *OFFERS["h2c"]),
    "probes": head("GET /up HTTP/1.1"),
    "proper": head("GET /read/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: read", "X-Expires-In: 5"),
}
BAD_PEERS = 40
CHUNK_SENDERS, CHUNKS = 5, 9_000
TINY_CHUNK = b"1\r\nx\r\n"
ORDER_IN_CHUNKS = head("POST /pay/1 HTTP/1.1", "X-Trace-Id: 1", "X-Expires-In: 9", "Transfer-Encoding: chunked")
MEMORY_MB = 88  # of a proxy in the operators' test with many bad peers
MIB = 1 << 20  # bytes


async def burst(rig: Rig, data: bytes) -> Caller:
    """A client that sends as many copies of the data as a read takes, and reads nothing yet."""
    caller = await rig.caller()
    caller.writer.write(data * (BURST_SIZE // len(data)))
    await caller.writer.drain()
    return caller


@pytest.mark.parametrize("name", BURSTS)
def test_few_requests_of_a_burst_are_held_at_once(name: str) -> None:
    """A single read was parsed to its end: 3,600 requests of a peer were held, 1 kB each and more."""
    most = 0
    original = ClientConnection.message_ended

    def count(connection: ClientConnection) -> None:
        nonlocal most
        original(connection)
        most = max(most, len(connection._pipelined))

    async def test() -> None:
        async with scripted_proxy() as (_, _script, rig):
            with mock.patch.object(ClientConnection, "message_ended", count):
                caller = await burst(rig, BURSTS[name])
                if name == "proper":
                    await asyncio.sleep(0.2)  # nobody answers them
                else:
                    for _ in range(BURST_SIZE // len(BURSTS[name])):
                        assert (await caller.answer()).status in (200, 404)
            assert 0 < most <= MAX_PIPELINED
            caller.writer.transport.abort()
            while rig.front.connections:
                await asyncio.sleep(0.005)
            assert rig.budget.streaming == 0

    run(test)


@pytest.mark.parametrize("name", [name for name in BURSTS if name != "proper"])
def test_a_burst_takes_few_answers_of_each_turn_of_the_event_loop(name: str) -> None:
    """A burst was answered in a single turn: with 40 peers nobody else was served for 3.7 s."""
    answers_of_turn = [0]
    original = ClientConnection.answer

    def count(connection: ClientConnection, *arguments: object) -> None:
        answers_of_turn[-1] += 1
        original(connection, *arguments)  # type: ignore[arg-type]

    async def count_turns() -> None:
        while True:
            answers_of_turn.append(0)
            await asyncio.sleep(0)

    async def test() -> None:
        async with scripted_proxy() as (_, _script, rig):
            turns = asyncio.create_task(count_turns())
            with mock.patch.object(ClientConnection, "answer", count):
                caller = await burst(rig, BURSTS[name])
                for _ in range(BURST_SIZE // len(BURSTS[name])):
                    await caller.answer()
            turns.cancel()
            assert max(answers_of_turn) <= 2 * MAX_PIPELINED

    run(test)


def message(random: Random, number: int) -> tuple[bytes, int, bytes]:
    """A request of a random form. Returns it, the status of its answer and the body of that answer or the request."""
    body = bytes(random.randrange(256) for _ in range(random.choice((0, 1, 40, 3_000))))
    order = ("POST /pay/1 HTTP/1.1", f"X-Trace-Id: t{number}", "X-Qos: pay", "X-Expires-In: 9")
    offer = OFFERS["websocket"] if random.random() < 0.3 else ()
    match random.randrange(4):
        case 0:
            return IMPROPER, 404, b"unknown class"
        case 1:
            return head(*order, *offer, f"Content-Length: {len(body)}") + body, 200, body
        case 2:
            return head(*order, *offer, "Transfer-Encoding: chunked") + chunked(body, 700), 200, body
        case _:
            return (
                head("POST /pay/1 HTTP/1.1", "X-Qos: pay", "Content-Length: 2") + b"\r\n",
                400,
                b"X-Trace-Id is missing",
            )


@pytest.mark.parametrize("seed", range(8))
def test_pipelined_requests_of_all_forms_are_answered_in_order(seed: int) -> None:
    async def test() -> None:
        random = Random(seed)
        messages = [message(random, number) for number in range(60)]
        data = b"".join(wire for wire, _, _ in messages)
        async with scripted_proxy() as (backend, _, rig):

            async def serve() -> None:
                while True:
                    call = await backend.next()
                    call.reply(200, call.message.body)

            serving = asyncio.create_task(serve())
            caller = await rig.caller()
            position = 0
            while position < len(data):
                size = random.choice((1, 3, 50, 5_000, 200_000))
                caller.writer.write(data[position : position + size])
                position += size
                if random.random() < 0.5:
                    await asyncio.sleep(0.002)
            for _, status, body in messages:
                answer = await caller.answer()
                assert (answer.status, answer.body) == (status, body)
            serving.cancel()

    run(test)


def test_the_time_of_pipelined_requests_counts_from_when_they_were_received() -> None:
    """The requests that are parsed later must not get the time that they waited."""

    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await rig.caller()
            for number in range(3 * MAX_PIPELINED):
                caller.ask(trace=f"t{number}", left="5.0")
            call = await backend.next()
            await asyncio.sleep(0.3)
            call.reply()
            for _ in range(3 * MAX_PIPELINED - 1):
                (await backend.next()).reply()
            arrivals = [event for event in script.events if isinstance(event, api.RequestArrived)]
            assert len(arrivals) == 3 * MAX_PIPELINED
            assert all(arrival.left_ms <= 4_700.0 for arrival in arrivals[1:])

    run(test)


def test_requests_of_a_client_that_has_gone_are_dropped_unparsed() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await burst(rig, BURSTS["proper"])
            call = await backend.next()
            caller.writer.transport.abort()
            await call.closed()
            while rig.front.connections:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            assert len([event for event in script.events if isinstance(event, api.RequestArrived)]) == 1
            assert rig.budget.streaming == 0

    run(test)


def test_a_closing_proxy_answers_all_pipelined_requests_that_it_has_received() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            caller = await rig.caller()
            count = 3 * MAX_PIPELINED
            for number in range(count):
                caller.ask(trace=f"t{number}")
            call = await backend.next()
            rig.front.closing = True
            rig.front.close_idle()
            for number in range(count):
                call.reply(200, b"%d" % number)
                answer = await caller.answer()
                is_last = number == count - 1
                assert (answer.body, answer.headers.get("connection")) == (b"%d" % number, "close" if is_last else None)
                if not is_last:
                    call = await backend.next()
            assert await caller.ended()

    run(test)


def test_a_half_closed_client_gets_all_answers_of_its_burst() -> None:
    async def test() -> None:
        async with scripted_proxy() as (_, _script, rig):
            caller = await burst(rig, IMPROPER)
            caller.writer.write_eof()
            statuses = [(await caller.answer()).status for _ in range(BURST_SIZE // len(IMPROPER))]
            assert set(statuses) == {404}
            assert await caller.ended()

    run(test)


def test_bad_peers_that_send_much_at_once_leave_the_proxy_within_its_memory(tmp_path: Path) -> None:
    """review/2: 40 peers that sent 64 KiB of improper requests each took a proxy to 310 MB, and it was killed."""

    async def bad_peer(port: int) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(IMPROPER * (BURST_SIZE // len(IMPROPER)))
        await asyncio.sleep(1.0)
        writer.transport.abort()

    async def test() -> None:
        backend = await FakeServer().start()
        port = free_port()
        config = make_config(f"127.0.0.1:{port}", "127.0.0.1:1", member("s1", backend.address))
        config["limits"]["memory_mb"] = MEMORY_MB
        process = await launch(json.dumps(config), tmp_path)
        await until_serving(process)
        most = 0.0

        async def serve() -> None:
            while True:
                (await backend.next()).reply(200, b"fine")

        async def watch_memory() -> None:
            nonlocal most
            while True:
                most = max(most, memory_mb(process.pid))
                await asyncio.sleep(0.02)

        helpers = [asyncio.create_task(serve()), asyncio.create_task(watch_memory())]
        peers = [asyncio.create_task(bad_peer(port)) for _ in range(BAD_PEERS)]
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        statuses = []
        for number in range(100):
            caller.ask(trace=f"{number:016x}")
            statuses.append((await caller.answer()).status)
            await asyncio.sleep(0.02)
        await asyncio.gather(*peers)
        for helper in helpers:
            helper.cancel()
        assert most <= MEMORY_MB
        assert set(statuses) == {200}
        assert process.returncode is None
        process.terminate()
        await process.wait()

    run(test)


def memory_mb(pid: int) -> float:
    """The memory that a process holds, in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) * 1024 / MIB for line in lines if line.startswith("VmRSS:"))


@mock.patch("proxy.frontend.PARSE_S", 0.0)
@mock.patch("proxy.parsequeue.TURN_S", 0.0)
def test_tiny_chunks_of_many_clients_are_parsed_in_small_parts_of_each_turn() -> None:
    """Each read was parsed to its end: hundreds of clients kept the loop for seconds, and the others waited."""
    chunks_of_turn = [0]
    original = ClientConnection.body_received

    def count(connection: ClientConnection, body: bytes) -> None:
        chunks_of_turn[-1] += 1
        original(connection, body)

    async def count_turns() -> None:
        while True:
            chunks_of_turn.append(0)
            await asyncio.sleep(0)

    async def test() -> None:
        async with scripted_proxy() as (_, _script, rig):
            with mock.patch.object(ClientConnection, "body_received", count):
                callers = [await rig.caller() for _ in range(CHUNK_SENDERS)]
                for caller in callers:
                    caller.writer.write(ORDER_IN_CHUNKS + TINY_CHUNK * CHUNKS)
                turns = asyncio.create_task(count_turns())
                while rig.budget.held < CHUNK_SENDERS * CHUNKS:
                    await asyncio.sleep(0)
                turns.cancel()
            parts = CHUNK_SENDERS + 1  # a first part of each, and one from the queue
            assert max(chunks_of_turn) <= parts * (PARSE_SLICE // len(TINY_CHUNK) + 1)

    run(test)


class Queued:
    """A connection that has several parts to parse."""

    def __init__(self, queue: ParseQueue, name: str, parts: int, log: list[str]) -> None:
        self._queue, self._name, self._parts, self._log = queue, name, parts, log

    def parse_more(self) -> None:
        self._log.append(self._name)
        self._parts -= 1
        if self._parts:
            self._queue.add(self)


def test_connections_take_turns_and_others_run_between_the_turns() -> None:
    async def test() -> None:
        log: list[str] = []
        queue = ParseQueue(asyncio.get_running_loop())
        with mock.patch("proxy.parsequeue.TURN_S", 0.0):
            queue.add(Queued(queue, "a", 2, log))
            queue.add(Queued(queue, "b", 1, log))
            while not queue.is_empty():
                await asyncio.sleep(0)
                log.append("-")
        assert [name for name in log if name != "-"] == ["a", "b", "a"]
        assert "".join(log).count("-a") == 1

    run(test)

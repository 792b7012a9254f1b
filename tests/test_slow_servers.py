"""Servers that write a long answer slowly, or read a long request slowly."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import pytest

from balancing import api
from proxy.flow import MAX_BUFFERED_BODY, MAX_CHUNK, MIN_CHUNK
from proxy.receiving import MAX_OVERTIME_S, MAX_REST_S, ReceiveProgress
from tests.rig import Call, Caller, FakeServer, Message, Rig, Script, first_to, member, run, scripted_proxy
from tests.test_bodies import Serve, raw_server

OVERDUE_S = 0.5  # of the terms: a final answer that is later than this after its time is lost
TIME_LIMIT_SLACK_S = 0.05  # of the protocol: every time limit on sockets is this much longer
READ_MS = 20.0  # in which the first requests, which do not wait, are read
PIECE = 4_000  # bytes; a hundred kilobytes a second
SLOW_PIECE = 20_000  # bytes; a megabyte a second
LONG_ANSWER = 200_000  # bytes
LONGER_THAN_SHORT = 72_000  # bytes; of an answer up to 65,536 the last byte is timed
MAX_HOLD_S = 2.0  # of the terms: holding back a long answer for this long loses the request


def paced_server(
    framing: str, size: int, piece: int, pause_s: float, hang_at: int | None = None, written: list[int] | None = None
) -> Serve:
    """Writes an answer of `size` bytes without a length in pieces; hangs once `hang_at` bytes are written."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        field = b"Transfer-Encoding: chunked\r\n" if framing == "chunked" else b"Connection: close\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + field + b"\r\n")
        for position in range(0, size, piece):
            if hang_at is not None and position >= hang_at:
                await reader.read()  # until the proxy closes the connection
                return
            data = bytes(min(piece, size - position))
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framing == "chunked" else data)
            if written is not None:
                written.append(len(data))
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n" if framing == "chunked" else b"")
        await writer.drain()
        writer.close()

    return serve


async def read_chunks(reader: asyncio.StreamReader) -> int:
    """The bytes of a chunked body; raises an error of the connection if it is cut off."""
    total = 0
    while size := int(await reader.readuntil(b"\r\n"), 16):
        total += len(await reader.readexactly(size + 2)) - 2
    return total


@pytest.mark.parametrize("framing", ["chunked", "until the close"])
def test_a_long_answer_without_a_length_is_passed_on_while_its_server_writes_it_slowly(framing: str) -> None:
    """It was held back until 64 KiB had come, and cut off at the deadline of its first byte."""

    async def test() -> None:
        with Script().installed() as script:
            script.react = first_to("s1")
            serve = paced_server(framing, LONG_ANSWER, PIECE, 0.04)
            rig = await Rig().start(member("s1", await raw_server(serve)))
            caller = await rig.caller()
            caller.ask(left="0.5")
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == b"200"
            assert await read_chunks(caller.reader) == LONG_ANSWER

    run(test)


# Pieces in bytes and the pauses between them in seconds: 32 and 12 kB a second, and 30 kB a second with long pauses.
SLOW_PACES = {"slow": (3_200, 0.1), "very slow": (1_200, 0.1), "with pauses": (24_000, 0.8)}


@pytest.mark.parametrize("framing", ["chunked", "until the close"])
@pytest.mark.parametrize("pace", SLOW_PACES)
def test_a_long_answer_without_a_length_is_not_cut_off_however_slowly_its_server_writes_on(
    pace: str, framing: str
) -> None:
    """It ended with the client's time if it came slower than 40 kB a second (review/8)."""
    piece, pause_s = SLOW_PACES[pace]

    async def test() -> None:
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(
                member("s1", await raw_server(paced_server(framing, LONGER_THAN_SHORT, piece, pause_s)))
            )
            caller = await rig.caller()
            caller.ask("pay", left="1.9")
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == b"200"
            assert await read_chunks(caller.reader) == LONGER_THAN_SHORT

    run(test)


@pytest.mark.parametrize("pace", SLOW_PACES)
def test_an_answer_without_a_length_is_held_back_for_less_than_two_seconds(pace: str) -> None:
    """It was held until 64 KiB had come or the client's time was over: at 32 kB a second for over 2 s (review/8)."""
    piece, pause_s = SLOW_PACES[pace]

    async def test() -> None:
        written: list[int] = []
        serve = paced_server("chunked", int(4.0 / pause_s) * piece, piece, pause_s, written=written)
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", await raw_server(serve)))
            caller = await rig.caller()
            caller.ask("pay", left="9.0")
            await caller.reader.readuntil(b"\r\n\r\n")
            assert sum(written) < MAX_HOLD_S / pause_s * piece

    run(test)


def test_a_trickle_is_no_progress_of_an_answer() -> None:
    """An answer that never ends, a few bytes at a time, would keep its client waiting without an end."""
    progress = ReceiveProgress(0.0)
    progress.add(30_000, 0.0)
    for step in range(1, 200):
        progress.add(10, 0.01 * step)
    assert not progress.still_comes(2.0)


async def read_to_the_end(reader: asyncio.StreamReader) -> bytes:
    """All that a client gets until its answer or its connection ends."""
    data = b""
    try:
        while part := await reader.read(1 << 16):
            data += part
            if data.startswith(b"HTTP/1.1 502") and data.endswith(b"\r\n\r\n"):
                break
    except ConnectionError:
        pass
    return data


# Pieces in bytes, the pauses between them in seconds, and where the server hangs: at once, while its answer would be
# passed on for its pace, 0.1 s before the client's time is over, and after the first byte.
HANGS = {
    "at once": (30_000, 0.0, 30_000),
    "late": (4_000, 0.05, 60_000),
    "just before the time is over": (3_200, 0.1, 28_800),
    "after a byte": (1, 0.0, 1),
}


@pytest.mark.parametrize("framing", ["chunked", "until the close"])
@pytest.mark.parametrize("hang", HANGS)
def test_a_short_answer_without_a_length_ends_in_time_if_its_server_hangs_within_it(hang: str, framing: str) -> None:
    """Once a part of it was passed on, only the time-out of a silent server ended it, after 20 s (review/9)."""
    piece, pause_s, hang_at = HANGS[hang]

    async def test() -> None:
        with Script().installed() as script:
            script.react = first_to("s1")
            serve = paced_server(framing, 64_000, piece, pause_s, hang_at)
            rig = await Rig().start(member("s1", await raw_server(serve)))
            caller = await rig.caller()
            caller.ask("pay", left="1.0")
            async with asyncio.timeout(1.0 + OVERDUE_S + TIME_LIMIT_SLACK_S):
                data = await read_to_the_end(caller.reader)
            assert data.startswith(b"HTTP/1.1 502") or (
                data.startswith(b"HTTP/1.1 200") and not data.endswith(b"\r\n0\r\n\r\n")
            )
            (outcome,) = script.outcomes()
            assert outcome[1] is api.Outcome.TIMEOUT
            assert not rig.proxy.has_open_requests()
            assert rig.budget.streaming == 0

    run(test)


SHORT_ANSWER = 60_000  # bytes; written in two halves
HALF = bytes(SHORT_ANSWER // 2)
HEADS = {"with its length": b"Content-Length: %d" % SHORT_ANSWER, "chunked": b"Transfer-Encoding: chunked"}
HALVES = {"with its length": HALF, "chunked": b"%x\r\n%s\r\n" % (len(HALF), HALF)}
ENDS = {"with its length": b"", "chunked": b"0\r\n\r\n"}


@asynccontextmanager
async def half_answered(framing: str, left: str) -> AsyncIterator[tuple[Call, Script, Rig, Caller]]:
    """A proxy with little memory, so that answers pass in pieces, and a request with half of its answer."""
    async with scripted_proxy() as (backend, script, rig):
        with mock.patch.object(rig.budget, "answer_limit", lambda: MIN_CHUNK):
            caller = await rig.caller()
            caller.ask("pay", left=left)
            call = await backend.next()
            call.writer.write(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n%s" % (HEADS[framing], HALVES[framing]))
            yield call, script, rig, caller


@pytest.mark.parametrize("framing", HEADS)
def test_a_short_answer_in_pieces_ends_in_time_if_its_server_hangs_and_memory_is_short(framing: str) -> None:
    """Answers of any length pass in pieces then, and no time of the request ran from their first byte on (review/9)."""

    async def test() -> None:
        async with half_answered(framing, left="0.6") as (call, script, _rig, caller):
            async with asyncio.timeout(0.6 + OVERDUE_S + TIME_LIMIT_SLACK_S):
                data = await read_to_the_end(caller.reader)
            assert data.startswith(b"HTTP/1.1 200")
            assert [outcome for _, outcome, _ in script.outcomes()] == [api.Outcome.TIMEOUT]
            await call.closed()

    run(test)


@pytest.mark.parametrize("framing", HEADS)
def test_a_short_answer_that_waits_for_its_client_is_not_cut_off_at_the_clients_time(framing: str) -> None:
    """Its server has written all of it; the proxy does not read, since the client takes nothing."""

    async def test() -> None:
        async with half_answered(framing, left="0.4") as (call, script, rig, caller):
            await script.until(api.StreamStarted)
            (request,) = rig.proxy._requests.values()
            exchange = request.attempts[0].exchange
            assert exchange is not None
            assert exchange.connection is not None
            exchange.connection.pause()
            call.writer.write(HALVES[framing] + ENDS[framing])
            await asyncio.sleep(2.0)
            exchange.connection.resume()
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            if framing == "chunked":
                assert await read_chunks(caller.reader) == SHORT_ANSWER
            else:
                await caller.reader.readexactly(SHORT_ANSWER)

    run(test)


def test_an_answer_that_still_comes_goes_on_past_the_clients_time_until_its_server_stops() -> None:
    """The rule for answers without a length: neither cut off while they come, nor left open once they have stopped."""
    progress = ReceiveProgress(0.0)
    progress.add(20_000, 0.0)
    progress.add(20_000, 0.9)
    assert progress.overtime_s(1.0, 1.0) == pytest.approx(MAX_OVERTIME_S)
    assert progress.overtime_s(1.0, 1.0 + MAX_OVERTIME_S) == 0.0  # it has not grown since the client's time was over
    progress.add(4_000, 1.2)
    assert progress.overtime_s(1.0, 1.2) == pytest.approx(MAX_REST_S)
    assert progress.overtime_s(1.0, 1.2 + MAX_REST_S) == 0.0
    progress.leave_out(5.0)
    assert progress.overtime_s(1.0, 6.2) == pytest.approx(MAX_REST_S)
    progress.add(MAX_BUFFERED_BODY, 6.3)
    assert progress.overtime_s(1.0, 30.0) == math.inf


def test_a_short_answer_without_a_length_is_still_passed_on_whole() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _script, rig):
            caller = await rig.caller()
            caller.ask()
            call = await backend.next()
            call.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n")
            answer = await caller.answer()
            assert (answer.headers["content-length"], answer.body) == ("5", b"short")

    run(test)


async def read_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    while await reader.read(SLOW_PIECE):
        await asyncio.sleep(0.02)
    writer.close()


def test_a_long_request_that_its_server_reads_slowly_gets_its_final_answer_in_time() -> None:
    """The client's time runs from the last byte that it wrote, which waits in the sockets on its way."""

    async def test() -> None:
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", await raw_server(read_slowly)))
            caller = await rig.caller()
            body = bytes(12_000_000)
            caller.writer.transport.set_write_buffer_limits(high=0)
            caller.writer.write(
                b"POST /pay/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nX-Expires-In: 1.0\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body) + body
            )
            await caller.writer.drain()
            began = time.monotonic()
            answer = await caller.answer()
            assert time.monotonic() - began < 1.0 + OVERDUE_S
            assert answer.status == 503

    run(test)


def test_a_long_request_that_its_client_writes_slowly_keeps_its_time() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            caller = await rig.caller()
            caller.writer.write(
                b"POST /pay/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nX-Expires-In: 0.5\r\n"
                b"Content-Length: 200000\r\n\r\n"
            )
            for _ in range(20):
                caller.writer.write(bytes(10_000))
                await asyncio.sleep(0.1)
            (await backend.next()).reply(200, b"whole")
            assert (await caller.answer()).body == b"whole"

    run(test)


def test_a_pause_of_the_client_within_its_body_ends_a_blocked_stretch_whatever_the_last_read_took() -> None:
    """A read that took just as much as it could leaves no sign that nothing was left behind it."""

    async def test() -> None:
        async with scripted_proxy() as (backend, _script, rig):
            caller = await rig.caller()
            caller.writer.write(
                b"POST /pay/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nX-Expires-In: 0.4\r\n"
                b"Content-Length: %d\r\n\r\n" % (3 * MAX_CHUNK) + bytes(2 * MAX_CHUNK)
            )
            await asyncio.sleep(0.2)
            (connection,) = rig.front.connections
            connection._blocked_since = time.monotonic() - 0.2
            connection._is_drained = False
            await asyncio.sleep(0.5)
            caller.writer.write(bytes(MAX_CHUNK))
            (await backend.next()).reply(200, b"whole")
            assert (await caller.answer()).body == b"whole"

    run(test)


def test_the_next_request_after_one_that_waited_unread_has_its_whole_time() -> None:
    """The client sends it as soon as it has its answer."""

    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await rig.caller()
            caller.ask(left="5.0")
            call = await backend.next()
            (connection,) = rig.front.connections
            connection._blocked_since = time.monotonic() - 10.0
            await asyncio.sleep(0.003)
            call.reply(200)
            await caller.answer()
            caller.ask(left="5.0")
            await backend.next()
            arrived = [event for event in script.events if isinstance(event, api.RequestArrived)]
            assert arrived[-1].left_ms > 4_000.0

    run(test)


def test_a_request_that_waits_unread_has_its_time_from_when_it_came() -> None:
    """Requests behind others that wait were given their whole time anew when they were read."""

    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await rig.caller()
            for number in range(14):
                caller.ask("pay", bytes(20_000), trace=f"t{number}", left="0.6")
            (await backend.next()).reply(200)
            for _ in range(2):
                call = await backend.next()
                await asyncio.sleep(0.25)
                call.reply(200)
            await asyncio.sleep(0.3)
            statuses: list[int] = []
            while len(statuses) < 14:
                statuses.append((await Message.read(caller.reader)).status)
            left = [event.left_ms for event in script.events if isinstance(event, api.RequestArrived)]
            assert all(later <= earlier + READ_MS for earlier, later in itertools.pairwise(left)), left

    run(test)

"""Streaming of long bodies, slow peers, and all forms of message framing in HTTP/1.1."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from unittest import mock

import pytest

from balancing import api
from balancing.api import Outcome
from proxy import flow
from proxy.flow import MAX_BUFFERED_BODY, BodyBudget
from tests.rig import FakeServer, Rig, Script, first_to, member, run

LONG = os.urandom(3_000_000)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = "Transfer-Encoding: chunked"
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def raw_server(serve: Serve) -> str:
    async def closing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(closing, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readline() == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return body


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(b"\r\n\r\n")).lower()


def chunks(data: bytes, size: int = 100_000, extension: bytes = b"") -> bytes:
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    return (
        b"".join(b"%x%s\r\n%s\r\n" % (len(chunk_size), extension, chunk_size) for chunk_size in pieces) + b"0\r\n\r\n"
    )


def post(*lines: str, body: bytes = b"") -> bytes:
    head = ["POST /pay/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: pay", "X-Expires-In: 3", *lines, "", ""]
    return "\r\n".join(head).encode() + body


ANSWERS = {
    "with its length": HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG,
    "in chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, extension=b";a=b"),
    "until the end": HEAD + b"\r\n" + LONG,
    "after interim answers": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    + HEAD
    + b"Content-Length: %d\r\n\r\n" % len(LONG)
    + LONG,
    "with trailers": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG)[:-2] + b"X-Sum: 1\r\n\r\n",
}


@pytest.mark.parametrize("name", ANSWERS)
def test_long_answer_is_streamed_complete_with_any_framing(name: str) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await read_head(reader):
            writer.write(ANSWERS[name])
            await writer.drain()
            if name == "until the end":
                return

    async def test() -> None:
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", await raw_server(serve)))
            caller = await rig.caller()
            for _ in range(2):
                caller.ask()
                head = await read_head(caller.reader)
                if b"content-length" in head:
                    assert await caller.reader.readexactly(len(LONG)) == LONG
                else:
                    assert b"transfer-encoding: chunked" in head
                    assert await read_chunked(caller.reader) == LONG
            kinds = [type(event) for event in script.events[-3:]]
            assert kinds == [api.RequestArrived, api.StreamStarted, api.AttemptEnded]
            assert script.outcomes()[-1] == (0, Outcome.OK, True)
            assert rig.budget.streaming == rig.budget.held == 0
            assert not rig.proxy.has_open_requests()

    run(test)


def test_http_1_0_client_gets_a_long_answer_ended_by_close() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(ANSWERS["in chunks"])
        await reader.read()

    async def test() -> None:
        rig = await Rig().start(member("s1", await raw_server(serve)), group_size=1)
        caller = await rig.caller()
        caller.writer.write(
            b"GET /read/1 HTTP/1.0\r\nX-Trace-Id: 1\r\nX-Qos: read\r\nX-Expires-In: 5\r\nConnection: keep-alive\r\n\r\n"
        )
        head = await read_head(caller.reader)
        assert b"chunked" not in head and b"connection: close" in head
        assert await caller.reader.read() == LONG

    run(test)


def test_slow_reader_applies_back_pressure_to_its_answer() -> None:
    given = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal given
        await read_head(reader)
        writer.write(HEAD + b"Content-Length: 32000000\r\n\r\n")
        for _ in range(320):
            writer.write(bytes(100_000))
            await writer.drain()
            given += 100_000
        await reader.read()

    async def test() -> None:
        rig = await Rig().start(member("s1", await raw_server(serve)), group_size=1)
        caller = await rig.caller()
        caller.ask()
        await read_head(caller.reader)
        before = -1
        while given != before:  # until all buffers in between are full
            before = given
            await asyncio.sleep(0.3)
        (connection,) = rig.front.connections
        assert connection._transport is not None
        assert given < 32_000_000
        assert connection._transport.get_write_buffer_size() <= 4 * flow.MAX_CHUNK
        body = await caller.reader.readexactly(32_000_000)
        assert not any(body[::1000])

    run(test)


def test_started_answer_outlives_the_deadline_and_cancels_other_attempts() -> None:
    async def test() -> None:
        slow, fast = await FakeServer().start(), await FakeServer().start()
        with Script().installed() as script:
            rig = await Rig().start(member("s1", slow.address), member("s2", fast.address))

            def react(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.RequestArrived):
                    return [api.Send(event.request, "s1"), api.Send(event.request, "s2")]
                if isinstance(event, api.StreamStarted):
                    return [api.Cancel(event.request, 0), api.Cancel(event.request, 1)]
                return []

            script.react = react
            caller = await rig.caller()
            caller.ask(left="0.3")
            late = await slow.next()
            call = await fast.next()
            call.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:-1])
            await late.closed()
            await read_head(caller.reader)
            assert await caller.reader.readexactly(len(LONG) - 1) == LONG[:-1]
            await asyncio.sleep(0.4)
            call.writer.write(LONG[-1:])
            assert await caller.reader.readexactly(1) == LONG[-1:]
            await script.until(api.AttemptEnded)
            assert (1, Outcome.OK, True) in script.outcomes()

    run(test)


@pytest.mark.parametrize("form", ["with its length", "in chunks", "until the end"])
def test_client_detects_an_answer_that_was_cut_off(form: str) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            caller = await rig.caller()
            caller.ask()
            call = await backend.next()
            call.writer.write(ANSWERS[form][:1_000_000])
            await read_head(caller.reader)
            await caller.reader.readexactly(MAX_BUFFERED_BODY)
            call.reset()
            rest = b""
            with pytest.raises(ConnectionError):
                while chunk_size := await caller.reader.read(1 << 20):
                    rest += chunk_size
                assert not rest.endswith(b"0\r\n\r\n")
                raise ConnectionError  # closed before the announced length
            await script.until(api.AttemptEnded)
            assert script.outcomes() == [(0, Outcome.RESET, True)]
            assert rig.budget.streaming == 0

    run(test)


def test_client_disconnect_ends_a_streamed_answer() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address), group_size=1)
        caller = await rig.caller()
        caller.ask()
        call = await backend.next()
        call.writer.write(ANSWERS["with its length"][:1_000_000])
        await read_head(caller.reader)
        caller.writer.transport.abort()
        await call.closed()
        assert not rig.proxy.has_open_requests()
        assert rig.budget.streaming == 0

    run(test)


def test_client_that_stops_reading_an_answer_is_disconnected() -> None:
    async def test() -> None:
        with mock.patch("proxy.frontend.BODY_STALL_TIMEOUT_S", 0.1):
            backend = await FakeServer().start()
            rig = await Rig().start(member("s1", backend.address), group_size=1)
            caller = await rig.caller()
            caller.ask()
            call = await backend.next()
            call.writer.write(HEAD + b"Content-Length: 30000000\r\n\r\n" + bytes(30_000_000))
            await call.closed()
            assert not rig.proxy.has_open_requests()

    run(test)


@pytest.mark.parametrize("form", ["with its length", "in chunks"])
def test_long_body_is_forwarded_while_it_is_received(form: str) -> None:
    """The time to the deadline counts from the body's last byte, so sending it may take longer than that."""
    got: asyncio.Queue[bytes] = asyncio.Queue()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        got.put_nowait(head)
        got.put_nowait(await reader.readexactly(len(LONG)) if b"content-length" in head else await read_chunked(reader))
        writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")

    async def test() -> None:
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", await raw_server(serve)))
            caller = await rig.caller()
            framing = CHUNKED if form == "in chunks" else f"Content-Length: {len(LONG)}"
            caller.writer.write(post(framing).replace(b"In: 3", b"In: 0.4"))
            data = chunks(LONG) if form == "in chunks" else LONG
            caller.writer.write(data[:500_000])
            assert b"x-trace-id: 1" in await got.get()
            await asyncio.sleep(0.5)
            caller.writer.write(data[500_000:])
            assert await got.get() == LONG
            assert (await caller.answer()).body == b"ok"
            kinds = [type(event) for event in script.events]
            assert kinds[-4:] == [api.RequestArrived, api.BodyDiscarded, api.BodyEnded, api.AttemptEnded]
            arrival = next(event for event in script.events if isinstance(event, api.RequestArrived))
            assert (arrival.body_pending, arrival.left_ms) == (True, 400.0)
            assert rig.budget.streaming == rig.budget.held == 0
            caller.ask("pay", b"short")  # the connection can be used again
            await got.get()

    run(test)


def test_backend_that_does_not_read_applies_back_pressure_to_the_client() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        await go.wait()
        await reader.readexactly(32_000_000)
        writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")

    go = asyncio.Event()

    async def test() -> None:
        rig = await Rig().start(member("s1", await raw_server(serve)), group_size=1)
        caller = await rig.caller()
        caller.writer.write(
            b"POST /pay/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nX-Expires-In: 3\r\n"
            b"Content-Length: 32000000\r\n\r\n"
        )
        caller.writer.write(bytes(32_000_000))
        (connection,) = rig.front.connections
        while not connection._reading_paused:
            await asyncio.sleep(0.01)
        assert connection.request is not None and connection.request.body_stream is not None
        assert connection.request.body_stream.unsent_bytes <= 2 * flow.MAX_CHUNK
        go.set()
        assert (await caller.answer()).body == b"ok"

    run(test)


def test_body_that_was_partly_sent_is_not_retried() -> None:
    async def test() -> None:
        one, two = await FakeServer().start(), await FakeServer().start()
        rig = await Rig().start(member("s1", one.address), member("s2", two.address), group_size=1)
        caller = await rig.caller()
        caller.writer.write(
            b"POST /book/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: book\r\nX-Expires-In: 3\r\n"
            b"Idempotency-Key: 1\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000)
        )
        while not one.connections + two.connections:
            await asyncio.sleep(0.01)
        (request,) = rig.proxy._requests.values()
        assert request.message.body_stream is not None
        while not request.message.body_stream.sending_started:
            await asyncio.sleep(0.01)
        exchange = request.attempts[0].exchange
        assert exchange is not None and exchange.connection is not None
        exchange.connection.connection_lost(ConnectionResetError())
        answer = await caller.answer()
        assert (answer.status, answer.headers["connection"]) == (503, "close")  # no server processed it
        assert len(request.attempts) == 1
        assert await caller.ended()

    run(test)


def test_a_long_body_that_found_no_connection_goes_to_another_server() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:

            def react(event: api.Event) -> list[api.Action]:
                match event:
                    case api.RequestArrived():
                        return [api.Send(event.request, "s1")]
                    case api.AttemptEnded(outcome=Outcome.CONNECT_FAILED):
                        return [api.Send(event.request, "s2")]
                return []

            script.react = react
            rig = await Rig().start(member("s1", "127.0.0.1:1"), member("s2", backend.address))
            caller = await rig.caller()
            caller.ask("pay", LONG)
            call = await backend.next()
            assert call.message.body == LONG
            call.reply(200, b"ok")
            assert (await caller.answer()).body == b"ok"

    run(test)


def test_slow_body_at_the_minimum_rate_is_accepted_and_a_stalled_one_is_not() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address), group_size=1)
        with mock.patch.multiple("proxy.frontend", READ_TIMEOUT_S=0.3, BODY_GRACE_S=0.2, MIN_BODY_RATE=10_000.0):
            slow, stopping = await rig.caller(), await rig.caller()
            head = (
                b"POST /pay/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nX-Expires-In: 3\r\n"
                b"Content-Length: 10000\r\n\r\n"
            )
            for caller in (slow, stopping):
                caller.writer.write(head + bytes(1000))
            for _ in range(9):
                await asyncio.sleep(0.06)
                slow.writer.write(bytes(1000))
            (await backend.next()).reply(200, b"taken")
            assert (await slow.answer()).body == b"taken"
            assert (await stopping.answer()).status == 408
            assert backend.calls.empty()

    run(test)


UNREADABLE = {
    "two lengths": (post("Content-Length: 3", "Content-Length: 4", body=b"abcd"), 400),
    "one length twice": (post("Content-Length: 3", "Content-Length: 3", body=b"abc"), 400),
    "a length and chunks": (post("Content-Length: 3", CHUNKED, body=chunks(b"abc")), 400),
    "chunks and a length": (post(CHUNKED, "Content-Length: 3", body=chunks(b"abc")), 400),
    "a signed length": (post("Content-Length: +3", body=b"abc"), 400),
    "a length in hex": (post("Content-Length: 0x3", body=b"abc"), 400),
    "a chunk size in words": (post(CHUNKED, body=b"three\r\nabc\r\n0\r\n\r\n"), 400),
    "a chunk without end": (post(CHUNKED, body=b"3\r\nabcd\r\n0\r\n\r\n"), 400),
    "an unknown coding": (post("Transfer-Encoding: gzip", body=b"abc"), 400),
    "a bad chunk late": (post(CHUNKED, body=chunks(LONG)[:-5] + b"zz\r\n"), 400),
    "chunks past the limit": (post(CHUNKED, body=b"2000001\r\n" + bytes(0x2000001)), 413),
    "framing without measure": (post(CHUNKED, body=b"1;" + b"x" * 900_000), 400),
    "a long body of no class": (post("Content-Length: 3000000").replace(b"pay", b"fly"), 404),
    "a body announced for no class": (post("Content-Length: 3", "Expect: 100-continue").replace(b"pay", b"fly"), 404),
}


@pytest.mark.parametrize("name", UNREADABLE)
def test_malformed_body_is_refused_and_never_forwarded_complete(name: str) -> None:
    whole = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        await read_chunked(reader)
        whole.set()

    async def test() -> None:
        rig = await Rig().start(member("s1", await raw_server(serve)), group_size=1)
        caller = await rig.caller()
        data, status = UNREADABLE[name]
        caller.writer.write(data)
        assert (await caller.answer()).status == status
        assert await caller.ended()
        assert not whole.is_set()
        assert not rig.proxy.has_open_requests()
        assert rig.budget.streaming == rig.budget.held == 0

    run(test)


def test_header_whitespace_and_absolute_targets_are_normalized() -> None:
    """In recorded traffic 'X-Qos: price-check ' was refused with 400: with its trailing space the class was unknown."""

    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address), group_size=1)
        caller = await rig.caller()
        caller.writer.write(
            b"GET http://app.svc/read/1?q=1 HTTP/1.1\r\nX-Trace-Id:\tab \t\r\n"
            b"x-qos:   read  \r\nX-EXPIRES-IN: 3 \r\nX-Empty:\r\n\r\n"
        )
        call = await backend.next()
        assert call.message.start == b"GET /read/1?q=1 HTTP/1.1"
        assert call.message.headers["x-trace-id"] == "ab"
        call.reply(200, b"ok", "X-Own:  kept  ")
        assert (await caller.answer()).headers["x-own"] == "kept"

    run(test)


def test_trailers_are_ignored() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address), group_size=1)
        caller = await rig.caller()
        caller.writer.write(post(CHUNKED, body=b"3\r\nabc\r\n0\r\nX-Qos: read\r\nX-Trace-Id: other\r\n\r\n"))
        call = await backend.next()
        assert (call.message.body, call.message.headers["x-trace-id"]) == (b"abc", "1")
        call.reply(200, b"ok")
        assert (await caller.answer()).body == b"ok"

    run(test)


def test_interim_answer_is_sent_after_earlier_answers() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address), group_size=1)
        caller = await rig.caller()
        caller.ask()
        caller.writer.write(post("Content-Length: 3", "Expect: 100-continue"))
        call = await backend.next()
        call.reply(200, b"first")
        assert (await caller.answer()).body == b"first"
        assert b"100 continue" in await read_head(caller.reader)
        caller.writer.write(b"abc")
        call = await backend.next()
        assert call.message.body == b"abc"
        call.reply(200, b"second")
        assert (await caller.answer()).body == b"second"

    run(test)


def test_pipelined_long_body_waits_for_earlier_requests() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address), group_size=1)
        caller = await rig.caller()
        caller.ask(trace="a")
        caller.ask("pay", LONG, trace="b")
        caller.ask(trace="c")
        for trace, body in (("a", b""), ("b", LONG), ("c", b"")):
            call = await backend.next()
            assert (call.message.headers["x-trace-id"], call.message.body) == (trace, body)
            call.reply(200, trace.encode())
            assert (await caller.answer()).body == trace.encode()

    run(test)


def test_a_refused_long_body_is_answered_at_once_and_read_to_its_end() -> None:
    async def test() -> None:
        with Script().installed() as script, mock.patch("proxy.frontend.LINGER_S", 0.15):
            script.react = lambda event: [api.Refuse(event.request)] if isinstance(event, api.RequestArrived) else []
            rig = await Rig().start()
            caller = await rig.caller()
            caller.writer.write(post("Content-Length: 3000000", body=LONG[:100_000]))
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            for _ in range(6):  # three times LINGER_S, the limit after malformed input
                caller.writer.write(bytes(10_000))
                await asyncio.sleep(0.075)
            assert len(rig.front.connections) == 1

    run(test)


def test_body_budget_limits_chunk_size_and_buffered_bytes() -> None:
    budget = BodyBudget(40.0)
    alone = budget.chunk_size()
    budget.streaming = 1000
    assert (alone, budget.chunk_size()) == (flow.MAX_CHUNK, flow.MIN_CHUNK)
    budget.streaming = 100
    assert 101 * budget.chunk_size() * flow.CHUNKS_PER_BODY <= budget.total

    async def test() -> None:
        rig = await Rig().start(limits={"retry_after": True})
        rig.budget.memory.limit = 40_000
        callers = [await rig.caller() for _ in range(2)]
        for caller in callers:
            caller.writer.write(post("Content-Length: 40000", body=bytes(20_000)))
        answers = [asyncio.ensure_future(caller.answer()) for caller in callers]
        done, waiting = await asyncio.wait(answers, return_when=asyncio.FIRST_COMPLETED)
        (answer,) = (task.result() for task in done)
        assert (answer.status, answer.headers["retry-after"]) == (503, "0.500")
        assert rig.budget.held == 20_000
        for task in waiting:
            task.cancel()

    run(test)

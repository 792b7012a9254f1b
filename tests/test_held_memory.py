"""What single peers can make the proxy hold: heads of many fields, bodies in tiny chunks, answers that are not read."""

from __future__ import annotations

import asyncio
import gc
import math
import tracemalloc

import pytest

from balancing import api
from proxy.flow import MAX_BUFFERED_BODY, MAX_CHUNK, MIN_CHUNK, BodyBudget
from proxy.memory import (
    HEADER_FIELD_OVERHEAD,
    HELD_SHARE,
    MB,
    OPEN_REQUEST_BYTES,
    SMALLEST_LIMIT,
    Held,
    MemoryAccount,
    held_limit,
)
from proxy.request_parser import MAX_HEADER_FIELDS
from tests.rig import Rig, Script, run, scripted_proxy

REQUIRED = b"X-Trace-Id: 1\r\nX-Qos: read\r\nX-Expires-In: 5\r\n"
REQUIRED_OF_PAY = REQUIRED.replace(b"read", b"pay")
STABLE_LOOKS = 10
WAITING = 20  # clients
REQUIRED_COUNT = 3
OBJECTS = 30_000  # bytes of a test, its client and a connection


@pytest.mark.parametrize("end", [b"", b"\r\n"])
def test_a_head_of_very_many_short_fields_is_rejected_before_its_end(end: bytes) -> None:
    async def test() -> None:
        async with scripted_proxy() as (_, _script, rig):
            caller = await rig.caller()
            caller.writer.write(b"GET /read/1 HTTP/1.1\r\n" + REQUIRED + b"a:b\r\n" * 12_000 + end)
            assert (await caller.answer()).status == 431
            assert rig.budget.memory.by_kind[Held.INCOMPLETE_HEAD] < MAX_HEADER_FIELDS * HEADER_FIELD_OVERHEAD

    run(test)


def test_a_head_with_the_most_fields_is_served() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _script, rig):
            caller = await rig.caller()
            fields = b"a:b\r\n" * (MAX_HEADER_FIELDS - REQUIRED_COUNT)
            caller.writer.write(b"GET /read/1 HTTP/1.1\r\n" + REQUIRED + fields + b"\r\n")
            (await backend.next()).reply(200, b"served")
            assert (await caller.answer()).body == b"served"

    run(test)


def test_an_answer_with_very_many_short_fields_is_an_error_of_its_server() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await rig.caller()
            caller.ask()
            call = await backend.next()
            call.writer.write(b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 12_000)
            assert (await caller.answer()).status == 502
            await asyncio.sleep(0)
            assert [outcome.value for _, outcome, _ in script.outcomes()] == ["error"]

    run(test)


@pytest.mark.parametrize("piece", [b"x", b"xy"])
def test_a_body_in_tiny_chunks_takes_no_more_memory_than_in_one(piece: bytes) -> None:
    async def test() -> None:
        async with scripted_proxy() as (_, _script, rig):
            caller = await rig.caller()
            chunks = b"%x\r\n%s\r\n" % (len(piece), piece) * 20_000
            caller.writer.write(b"POST /pay/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + REQUIRED_OF_PAY + b"\r\n")
            gc.collect()
            tracemalloc.start()
            caller.writer.write(chunks)
            await caller.writer.drain()
            while rig.budget.held < 20_000 * len(piece):
                await asyncio.sleep(0.01)
            taken, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert taken < 2 * 20_000 * len(piece) + OBJECTS

    run(test)


def test_an_answer_that_is_not_read_holds_no_more_than_what_was_read_at_once() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _script, rig):
            caller = await rig.caller()
            caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
            caller.ask()
            call = await backend.next()
            call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + bytes(30_000_000))
            held, unchanged = -1, 0
            while unchanged < STABLE_LOOKS:
                await asyncio.sleep(0.02)
                unchanged = unchanged + 1 if rig.budget.memory.by_kind[Held.ANSWER] == held else 0
                held = rig.budget.memory.by_kind[Held.ANSWER]
            assert 0 < held <= MAX_CHUNK

    run(test)


def test_the_request_that_holds_most_is_refused_first_when_memory_runs_out() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _script, rig):
            large, small, sound = [await rig.caller() for _ in range(3)]
            for caller, size in ((small, 10_000), (large, 40_000)):
                caller.writer.write(post_head(size + 1) + bytes(size))
                while rig.budget.held < size:
                    await asyncio.sleep(0.005)
            rig.budget.memory.limit = rig.budget.memory.total + 1_000
            small.writer.write(bytes(1))
            (await backend.next()).reply(200, b"small")
            assert (await small.answer()).body == b"small"
            sound.writer.write(post_head(20_000) + bytes(15_000))
            assert (await large.answer()).status == 503
            sound.writer.write(bytes(5_000))
            (await backend.next()).reply(200, b"sound")
            assert (await sound.answer()).body == b"sound"

    run(test)


def test_no_long_body_is_begun_while_memory_is_tight() -> None:
    async def test() -> None:
        async with scripted_proxy() as (_, script, rig):
            caller = await rig.caller()
            rig.budget.memory.limit = 100_000
            caller.writer.write(post_head(3_000_000) + bytes(100_000))
            assert (await caller.answer()).status == 503
            assert not any(isinstance(event, api.RequestArrived) for event in script.events)

    run(test)


def test_requests_are_refused_while_too_much_memory_is_held_and_served_after_that() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _script, rig):
            caller, other = await rig.caller(), await rig.caller()
            caller.ask()
            call = await backend.next()
            rig.budget.memory.limit = rig.budget.memory.total - 1
            other.ask()
            assert (await other.answer()).status == 503
            call.reply(200, b"served")
            assert (await caller.answer()).body == b"served"
            other.ask()
            (await backend.next()).reply(200, b"served")
            assert (await other.answer()).body == b"served"

    run(test)


def test_a_long_body_that_waits_for_a_server_holds_little_where_many_do() -> None:
    async def test() -> None:
        with Script().installed():
            rig = await Rig().start()
            rig.budget.total = 100_000
            callers = [await rig.caller() for _ in range(WAITING)]
            for caller in callers:
                caller.writer.write(post_head(3_000_000) + bytes(100_000))
            while rig.budget.streaming < WAITING:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert rig.budget.memory.by_kind[Held.STREAM] < WAITING * MAX_BUFFERED_BODY / 4

    run(test)


def test_short_answers_pass_in_pieces_where_the_answers_to_all_requests_have_no_room() -> None:
    budget = BodyBudget(16.0)
    account = MemoryAccount(budget.memory)
    assert budget.answer_limit() == MAX_BUFFERED_BODY
    for _ in range(400):
        account.add(Held.REQUEST, OPEN_REQUEST_BYTES)
        account.add(Held.ANSWER, 20_000)
        assert budget.answer_limit() * (budget.memory.open_requests() + 1) <= max(
            budget.memory.free(), MIN_CHUNK * (budget.memory.open_requests() + 1)
        )
    assert budget.answer_limit() == MIN_CHUNK


def test_two_processes_that_share_the_memory_hold_half_of_it_each() -> None:
    budget = BodyBudget(192.0)
    budget.set_resident(20 * MB)
    alone = budget.memory.limit
    budget.divide(2)
    assert budget.memory.limit == pytest.approx(HELD_SHARE * (96 - 20) * MB)
    budget.divide(1)
    assert budget.memory.limit == alone


def test_an_unknown_or_large_resident_set_leaves_a_limit() -> None:
    assert held_limit(32.0, math.nan) == HELD_SHARE * 32 * MB
    assert held_limit(32.0, 40.0 * MB) == SMALLEST_LIMIT


def post_head(size: int) -> bytes:
    return b"POST /pay/1 HTTP/1.1\r\n" + REQUIRED_OF_PAY + b"Content-Length: %d\r\n\r\n" % size

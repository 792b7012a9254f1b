"""What single peers can make the proxy hold: heads of many fields, bodies in tiny chunks, answers that are not read."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc

import pytest

from proxy.flow import MAX_CHUNK
from proxy.memory import HEADER_FIELD_OVERHEAD, Held
from proxy.request_parser import MAX_HEADER_FIELDS
from tests.rig import run, scripted_proxy

REQUIRED = b"X-Trace-Id: 1\r\nX-Qos: read\r\nX-Expires-In: 5\r\n"
REQUIRED_OF_PAY = REQUIRED.replace(b"read", b"pay")
STABLE_LOOKS = 10
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

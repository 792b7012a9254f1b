"""Log lines and metrics of discovery calls, of send stops for lack of a current list, and of refusals."""

from __future__ import annotations

import asyncio
import re
from unittest import mock

import pytest

from balancing import api
from proxy.control import AdminEndpoint, admin_calls
from proxy.frontend import CloseReason
from proxy.lifecycle import LifeCycle
from proxy.memory import HEADER_FIELD_OVERHEAD, Held
from proxy.metrics import Counter, ProxyMetrics
from proxy.upstream import NotSent
from proxy.usage import UsageLog
from tests.rig import FakeServer, Rig, Script, first_to, member, run
from tests.test_control import call


def test_a_counter_is_written_in_the_text_exposition_format() -> None:
    counter = Counter("calls_total", "Calls.", "outcome")
    for outcome in ("refused", "answered", "refused"):
        counter.add(outcome)
    assert counter.lines() == [
        "# HELP calls_total Calls.",
        "# TYPE calls_total counter",
        'calls_total{outcome="answered"} 1',
        'calls_total{outcome="refused"} 2',
    ]


def test_discovery_calls_send_stops_and_refusal_reasons_are_logged_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        caplog.set_level("INFO")
        discovery, backend = await FakeServer().start(), await FakeServer().start()
        with mock.patch("balancing.freshness.CLOSED_DUE_MS", 0.0):
            rig = await Rig().start(member("s1", backend.address), discovery=discovery.address, asked=True)
            watch = await discovery.next()
            watch.open_stream()
            watch.send_list(42, False)
            watch.writer.close()
            (await discovery.next()).reply(503)
            await discovery.next()  # gets no answer
            client = await rig.caller()
            client.ask("pay", trace="77", left="0.2")
            assert (await client.answer()).status == 503
        metrics = rig.proxy._metrics
        assert metrics.discovery_calls.values == {"answered": 1, "refused": 1}
        assert metrics.unserved.values == {api.Unserved.OUTDATED_LIST.value: 1}
        assert metrics.send_stops.values == {"stopped": 1}
        assert metrics.list_revision.read() == 42
        assert metrics.sends_stopped.read() == 1.0
        text = caplog.text
        for line in (
            "call 1 to ",
            "call 1 is over after",
            "refused: over, status 503",
            "no attempt begins",
            "77 class 2 answered 503",
            "the endpoint list may be outdated: never sent",
        ):
            assert line in text
        rig.proxy.stop()

    run(test)


def test_list_age_counts_from_the_last_watch_line() -> None:
    async def test() -> None:
        discovery = await FakeServer().start()
        rig = await Rig().start(member("s1", "127.0.0.1:9"), discovery=discovery.address, asked=True)
        watch = await discovery.next()
        watch.open_stream()
        watch.send_list(42, False)
        await asyncio.sleep(0.3)
        assert rig.proxy._metrics.list_age.read() > 0.2
        watch.chunk(b"\n")
        await asyncio.sleep(0.05)
        assert rig.proxy._metrics.list_age.read() < 0.2
        rig.proxy.stop()

    run(test)


def test_the_admin_endpoint_serves_the_metrics() -> None:
    async def test() -> None:
        metrics = ProxyMetrics()
        metrics.unserved.add(api.Unserved.NO_ROOM.value)
        endpoint = AdminEndpoint(asyncio.get_running_loop(), admin_calls(LifeCycle(), metrics=metrics))
        await endpoint.listen("127.0.0.1", 0)
        answer = await call(endpoint, "GET /metrics")
        assert answer.status == 200
        assert b'mastlift_proxy_unserved_requests_total{reason="no room at the entry"} 1' in answer.body
        assert (await call(endpoint, "POST /metrics")).status == 405
        endpoint.close()

    run(test)


def test_what_is_held_for_clients_is_counted_by_kind_and_released_with_them() -> None:
    async def test() -> None:
        rig = await Rig().start()
        half_head, half_body = await rig.caller(), await rig.caller()
        half_head.writer.write(b"GET /read/1 HTTP/1.1\r\n" + b"a: b\r\n" * 51)  # the parser holds the last one back
        half_body.writer.write(b"POST /book/1 HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + bytes(20_000))
        await asyncio.sleep(0.1)
        held = rig.budget.memory
        assert held.by_kind[Held.INCOMPLETE_HEAD] >= 50 * HEADER_FIELD_OVERHEAD
        assert held.by_kind[Held.HEAD] > 0
        assert held.by_kind[Held.BODY] == 20_000
        states = sorted(connection.state().value for connection in rig.front.connections)
        assert states == ["in_body", "in_head"]
        for caller in (half_head, half_body):
            caller.writer.close()
        await asyncio.sleep(0.1)
        assert set(held.by_kind.values()) == {0}
        assert held.text() == "nothing"

    run(test)


def test_rejected_requests_closed_connections_and_unsent_attempts_are_counted_by_reason() -> None:
    async def test() -> None:
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", "127.0.0.1:1"))
            client = await rig.caller()
            client.ask()
            assert (await client.answer()).status == 502
            client.writer.write(b"GET /nowhere/1 HTTP/1.1\r\n\r\n")
            assert (await client.answer()).status == 404
            assert rig.front.make_room()
        metrics = rig.proxy._metrics
        assert metrics.not_connected.values == {NotSent.REFUSED.value: 1}
        assert rig.front.metrics.rejected.values == {"404": 1}
        assert rig.front.metrics.closed.values == {CloseReason.IDLE.value: 1}

    run(test)


def test_a_refused_long_body_is_logged_with_what_came_of_it(caplog: pytest.LogCaptureFixture) -> None:
    """Its arrival is not known yet: 277588 ms of 2000 was logged, the time since the start of the machine."""

    async def test() -> None:
        caplog.set_level("INFO")
        with Script().installed() as script:
            script.react = lambda event: [api.Refuse(event.request)] if isinstance(event, api.RequestArrived) else []
            rig = await Rig().start()
            client = await rig.caller()
            client.writer.write(
                b"POST /pay/1 HTTP/1.1\r\nX-Trace-Id: 7\r\nX-Expires-In: 2\r\nContent-Length: 900000\r\n\r\n"
            )
            client.writer.write(bytes(100_000))
            assert (await client.answer()).status == 503
        assert re.search(
            r"7 class 2 answered 503 with \d{5,6} bytes of its body received, 2000 ms from its", caplog.text
        )

    run(test)


def test_memory_near_the_limit_is_logged_with_connections_and_what_is_held(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        caplog.set_level("INFO")
        rig = await Rig().start()
        usage = UsageLog(asyncio.get_running_loop(), 1.0, rig.budget.memory, rig.front, rig.proxy._metrics)
        usage.start()
        usage.stop()
        text = rig.proxy._metrics.text()
        assert 'mastlift_proxy_held_bytes{kind="buffered_bodies"} 0' in text
        assert "mastlift_proxy_memory_limit_bytes 1e+06" in text

    run(test)
    assert re.search(r"[\d.]+ MB of memory in use of 1.0; client connections: none; bytes held: nothing", caplog.text)

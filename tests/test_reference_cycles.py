"""Requests and connections are released without the garbage collector, which runs rarely in a proxy."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from collections.abc import Iterator

import pytest

from mastlift.lab.clientcrowd import Unreachable
from proxy.upstream import MIN_IDLE_S
from tests.rig import FakeServer, Rig, Script, first_to, member, run, scripted_proxy
from tests.test_frontend import BAD_INPUT, GOOD, head

ROUNDS = 5
ORDER = ("POST /pay/1 HTTP/1.1", "X-Trace-Id: 1", "X-Qos: pay", "X-Expires-In: 5")
OFFER = ("Connection: Upgrade", "Upgrade: h2c")
IMPROPER = head("GET / HTTP/1.1")
LONG = b"x" * 200_000
INPUT = {
    **{name: data for name, (data, _) in BAD_INPUT.items()},
    "several rejected requests": IMPROPER * 20,
    "rejected before its body": head(*ORDER[:3], "Expect: 100-continue", "Content-Length: 9"),
    "rejected before its long body": head(*ORDER[:3], f"Content-Length: {len(LONG)}") + LONG[:100],
    "a body in malformed chunks": head(*ORDER, "Transfer-Encoding: chunked") + b"zz\r\n",
    "a long body in malformed chunks": head(*ORDER, "Transfer-Encoding: chunked") + b"30d40\r\n" + LONG + b"zzzz",
    "half a head": head("GET /read/1 HTTP/1.1", *GOOD)[:-2],
    "half a body": head(*ORDER, "Content-Length: 9") + b"x",
    "served": head("GET /read/1 HTTP/1.1", *GOOD),
    "served, with an offer": head(*ORDER, *OFFER, "Content-Length: 3") + b"abc",
    "served, with a long body": head(*ORDER, f"Content-Length: {len(LONG)}") + LONG,
    "a probe": head("GET /up HTTP/1.1"),
}


@pytest.fixture(autouse=True)
def no_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def living() -> Counter[str]:
    """The number of objects of the proxy and its parser by type, those in unreachable cycles included."""
    kinds = (type(each) for each in gc.get_objects())
    return Counter(kind.__qualname__ for kind in kinds if str(kind.__module__).split(".")[0] in ("proxy", "httptools"))


async def play(rig: Rig, data: bytes) -> None:
    """A client sends the data and its end, reads what comes, and goes."""
    caller = await rig.caller()
    caller.writer.write(data)
    caller.writer.write_eof()
    while not await caller.ended():
        pass
    caller.writer.close()
    while rig.front.connections or rig.proxy.has_open_requests():
        await asyncio.sleep(0.005)
    await asyncio.sleep(2 * MIN_IDLE_S)  # then the next request can reuse the connection to the backend


@pytest.mark.parametrize("name", INPUT)
def test_requests_of_a_client_leave_no_reference_cycles(name: str) -> None:
    """Each rejected request left 2 kB in cycles: 40 peers that sent 3,600 each took more than a proxy's memory."""

    async def test() -> None:
        discovery = await FakeServer().start()
        async with scripted_proxy(discovery=discovery.address) as (backend, _, rig):
            watch = await discovery.next()
            watch.open_stream()
            watch.send_list(42, True, member("s1", backend.address))

            async def serve() -> None:
                while True:
                    (await backend.next()).reply(200, b"fine")

            serving = asyncio.create_task(serve())
            for _ in range(2):  # the connection to the backend and what is created once
                await play(rig, INPUT[name])
            before = living()
            for _ in range(ROUNDS):
                await play(rig, INPUT[name])
            left = living() - before
            assert not left, dict(left)
            serving.cancel()

    run(test)


@pytest.mark.parametrize("answer", ["an error", "a list", "half a line", "a reset"])
def test_calls_to_discovery_leave_no_reference_cycles(answer: str) -> None:
    """Each call left its parser in a cycle, with the part of the list that it had received."""

    async def test() -> None:
        discovery = await FakeServer().start()
        async with scripted_proxy(discovery=discovery.address) as (backend, _, _rig):
            for _ in range(ROUNDS):
                call = await discovery.next()
                if answer == "an error":
                    call.reply(503)
                elif answer == "a reset":
                    call.reset()
                else:
                    call.open_stream()
                    if answer == "a list":
                        call.send_list(42, True, member("s1", backend.address))
                    else:
                        call.chunk(b'{"revision":')
                    call.writer.write(b"0\r\n\r\n")
                await call.closed()
            await discovery.next()
            assert living()["WatchConnection"] == 1

    run(test)


@pytest.mark.parametrize("end", ["the client leaves", "the connect timeout"])
def test_connections_that_never_come_up_leave_no_reference_cycles(end: str) -> None:
    """Each left its request in a cycle with the error of its task: hundreds while servers are out of reach."""

    async def test() -> None:
        nowhere = Unreachable()
        timeout_ms = 50.0 if end == "the connect timeout" else 5000.0
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", nowhere.address), limits={"connect_timeout_ms": timeout_ms})

        async def ask() -> None:
            caller = await rig.caller()
            caller.ask()
            if end == "the connect timeout":
                await caller.answer()
            else:
                await asyncio.sleep(0.02)
            caller.writer.close()
            while rig.front.connections or rig.proxy.has_open_requests():
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.02)

        await ask()
        before = living()
        for _ in range(ROUNDS):
            await ask()
        left = living() - before
        await nowhere.stop()
        assert not left, dict(left)

    run(test)

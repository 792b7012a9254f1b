"""Requests that offer another protocol (RFC 9110, 7.8): the offer is ignored, the request keeps its body."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field, replace

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancing import api
from proxy.control import AdminEndpoint, admin_calls
from proxy.lifecycle import LifeCycle, Phase
from proxy.request_parser import BadRequest, RequestHead, RequestParser, TunnelRequested
from tests.rig import Message, run, scripted_proxy
from tests.test_frontend import head

OFFERS = {
    "h2c": ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAAP__"),
    "websocket": ("connection: keep-alive, upgrade", "UPGRADE: websocket", "Sec-WebSocket-Version: 13"),
    "several": ("Upgrade: TLS/1.2", "Connection: Upgrade", "Upgrade: h2c, foo/2"),
}
ORDER = ("POST /pay/1 HTTP/1.1", "Host: app.svc", "X-Trace-Id: 1", "X-Qos: pay", "X-Expires-In: 5")
SHORT = b'{"part": 7, "pieces": 12}'
LONG = bytes(range(256)) * 1000  # longer than what is buffered: streamed to the backend


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[place : place + size] for place in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\nX-Sum: 1\r\n\r\n"


FRAMED = {
    "short, by length": (f"Content-Length: {len(SHORT)}", SHORT, SHORT),
    "short, in chunks": ("Transfer-Encoding: chunked", chunked(SHORT, 9), SHORT),
    "long, by length": (f"Content-Length: {len(LONG)}", LONG, LONG),
    "empty": ("Content-Length: 0", b"", b""),
}


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("form", FRAMED)
@pytest.mark.parametrize("piece", [1 << 20, 5])
def test_an_order_that_offers_an_upgrade_runs_with_its_own_body(offer: str, form: str, piece: int) -> None:
    """Orders ran with an empty body: the message was taken for complete after its head."""
    framing, wire, body = FRAMED[form]
    if body is LONG and piece == 5:
        piece = 5_000

    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await rig.caller()
            data = head(*ORDER, *OFFERS[offer], framing) + wire
            for place in range(0, len(data), piece):
                caller.writer.write(data[place : place + piece])
                await asyncio.sleep(0)
            call = await backend.next()
            assert (call.message.start, call.message.body) == (b"POST /pay/1 HTTP/1.1", body)
            assert "upgrade" not in call.message.headers
            call.reply(200, b"ordered")
            answer = await caller.answer()
            assert (answer.status, answer.body, answer.headers.get("connection")) == (200, b"ordered", None)
            caller.ask()  # the connection goes on with HTTP/1.1
            (await backend.next()).reply(200, b"fine")
            assert (await caller.answer()).body == b"fine"
            assert len([event for event in script.events if isinstance(event, api.RequestArrived)]) == 2

    run(test)


def test_pipelined_orders_that_offer_an_upgrade_each_run_with_their_own_body() -> None:
    """What followed an offer was discarded, the orders behind it too."""

    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            caller = await rig.caller()
            bodies = [b"%d" % number * (number + 1) for number in range(9)]
            caller.writer.write(
                b"".join(head(*ORDER, *OFFERS["h2c"], f"Content-Length: {len(body)}") + body for body in bodies)
            )
            for body in bodies:
                call = await backend.next()
                assert call.message.body == body
                call.reply(200, body)
                assert (await caller.answer()).body == body

    run(test)


def test_interim_answer_is_sent_to_an_order_that_offers_an_upgrade() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            caller = await rig.caller()
            caller.writer.write(head(*ORDER, *OFFERS["h2c"], f"Content-Length: {len(SHORT)}", "Expect: 100-continue"))
            assert (await caller.answer()).status == 100
            caller.writer.write(SHORT)
            call = await backend.next()
            assert call.message.body == SHORT
            call.reply()
            assert (await caller.answer()).status == 200

    run(test)


@pytest.mark.parametrize(
    ("lines", "sent", "status"),
    [
        (("Content-Length: 25",), SHORT[:20], 400),
        (("Transfer-Encoding: chunked",), b"5\r\nabcde\r\nzz\r\n", 400),
        (("Transfer-Encoding: chunked",), b"5\r\nabcde\r\n", 400),
        (("Content-Length: 33554433",), SHORT, 413),
        (("Content-Length: 2", "Content-Length: 3"), b"abc", 400),
    ],
)
def test_an_order_with_an_offer_and_no_whole_body_reaches_no_backend(
    lines: tuple[str, ...], sent: bytes, status: int
) -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await rig.caller()
            caller.writer.write(head(*ORDER, *OFFERS["h2c"], *lines) + sent)
            caller.writer.write_eof()
            assert (await caller.answer()).status == status
            assert await caller.ended()
            assert not any(isinstance(event, api.RequestArrived) for event in script.events)
            assert backend.connections == 0

    run(test)


def test_a_request_inside_a_tunnel_is_not_taken_for_one() -> None:
    async def test() -> None:
        async with scripted_proxy() as (_, script, rig):
            caller = await rig.caller()
            caller.writer.write(head("CONNECT app.svc:1 HTTP/1.1", *ORDER[1:]) + head(*ORDER, "Content-Length: 0"))
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (400, "close")
            assert await caller.ended()
            assert not any(isinstance(event, api.RequestArrived) for event in script.events)

    run(test)


@pytest.mark.parametrize("offer", OFFERS)
def test_an_answer_that_names_other_protocols_is_passed_on_whole(offer: str) -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _, rig):
            caller = await rig.caller()
            caller.ask()
            (await backend.next()).reply(200, SHORT, *OFFERS[offer])
            answer = await caller.answer()
            assert (answer.status, answer.body, answer.headers.get("upgrade")) == (200, SHORT, None)

    run(test)


def test_an_admin_call_that_offers_an_upgrade_is_carried_out() -> None:
    """An evacuation by a client library that makes such offers was refused as malformed."""

    async def test() -> None:
        life = LifeCycle()
        life.mark_ready()
        endpoint = AdminEndpoint(asyncio.get_running_loop(), admin_calls(life))
        await endpoint.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*endpoint.address())
        writer.write(head("POST /api/evacuate HTTP/1.1", "Host: x", *OFFERS["h2c"], "Content-Length: 2") + b"{}")
        assert (await Message.read(reader)).status == 200
        assert life.phase is Phase.EVACUATING
        writer.close()
        endpoint.close()

    run(test)


# --- the parser alone ---


@dataclass
class Recorder:
    """Records what the parser reports; the parts of a body are joined, since their sizes are free."""

    messages: list[tuple[RequestHead, bytes]] = field(default_factory=list)
    began: int = 0
    _head: RequestHead | None = None
    _body: bytes = b""

    def message_began(self) -> None:
        self.began += 1
        self._body = b""

    def head_received(self, head: RequestHead) -> None:
        headers = [header for header in head.headers if header[0].lower() != b"upgrade"]
        self._head = replace(head, headers=headers)

    def body_received(self, data: bytes) -> None:
        self._body += data

    def message_ended(self) -> None:
        assert self._head is not None
        self.messages.append((self._head, self._body))


def parse(data: bytes, cuts: list[int]) -> tuple[Recorder, str]:
    """Feeds the data in pieces. Returns what was reported, and how the parsing was ended."""
    recorder, end = Recorder(), ""
    parser = RequestParser(recorder)
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    try:
        for start, stop in itertools.pairwise(places):
            while start < stop:
                ended = len(recorder.messages)
                start = parser.feed(data[:stop], start)
                assert len(recorder.messages) <= ended + 1
    except (BadRequest, TunnelRequested) as problem:
        end = repr(problem)
    return recorder, end


MESSAGE = st.tuples(
    st.sampled_from(["GET", "POST", "PUT", "CONNECT"]),
    st.sampled_from(["HTTP/1.1", "HTTP/1.1", "HTTP/1.0"]),
    st.sampled_from([(), ("Connection: keep-alive",), ("Connection: close",), ("X-A:  b ",)]),
    st.sampled_from(["none", "length", "chunks", "both", "broken"]),
    st.binary(max_size=40),
)


def render(message: tuple[str, str, tuple[str, ...], str, bytes], offer: tuple[str, ...]) -> bytes:
    method, version, lines, framing, body = message
    by_length, in_chunks = f"Content-Length: {len(body)}", "Transfer-Encoding: chunked"
    form, wire = {
        "none": ((), b""),
        "length": ((by_length,), body),
        "chunks": ((in_chunks,), chunked(body, 7)),
        "both": ((by_length, in_chunks), chunked(body, 7)),
        "broken": ((in_chunks,), b"zz\r\n" + body),
    }[framing]
    return head(f"{method} /pay/1?q=%20 {version}", *lines, *offer, *form) + wire


@given(
    messages=st.lists(MESSAGE, min_size=1, max_size=4),
    offer=st.sampled_from(list(OFFERS.values())),
    cuts=st.lists(st.integers(0, 2_000), max_size=6),
)
def test_messages_with_and_without_an_offer_are_parsed_alike(
    messages: list[tuple[str, str, tuple[str, ...], str, bytes]], offer: tuple[str, ...], cuts: list[int]
) -> None:
    neutral = tuple(line for line in offer if not line.lower().startswith("upgrade:"))
    plain, plain_end = parse(b"".join(render(message, neutral) for message in messages), cuts)
    offered, offered_end = parse(b"".join(render(message, offer) for message in messages), cuts)
    assert offered.messages == plain.messages
    assert (offered.began, offered_end) == (plain.began, plain_end)


def test_httptools_ends_a_message_with_an_offer_after_its_head() -> None:
    """The reason for the wrapper; once this fails, it may be needless."""
    bodies: list[bytes] = []

    class Receiver:
        def on_body(self, data: bytes) -> None:
            bodies.append(data)

    data = head(*ORDER, *OFFERS["h2c"], f"Content-Length: {len(SHORT)}") + SHORT
    with pytest.raises(httptools.HttpParserUpgrade):
        httptools.HttpRequestParser(Receiver()).feed_data(data)
    assert bodies == []

"""An id that comes again after its client has left, or at the other process of an upgrade, does not run twice."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from balancing import api
from balancing.sentids import MAX_REMEMBERED, REMEMBERED_MS, SentIds
from mastlift.lab.addresses import free_port
from mastlift.lab.clientcrowd import Unreachable
from proxy.config import read_address
from proxy.sentidfiles import SentIdFiles
from tests.rig import FakeServer, make_config, member, run, scripted_proxy
from tests.test_control import call, launch
from tests.test_process import until_serving

ID = "5e6f"


def test_an_id_is_sent_by_one_open_request_only() -> None:
    ids = SentIds()
    assert ids.claim(ID, "1", 0.0)
    assert ids.claim(ID, "1", 1.0)
    assert not ids.claim(ID, "2", 2.0)
    ids.release(ID, "2")
    assert not ids.claim(ID, "2", 3.0)
    ids.release(ID, "1")
    assert ids.claim(ID, "2", 4.0)


def test_an_id_without_an_answer_is_remembered_for_a_time_and_in_a_bounded_number() -> None:
    ids = SentIds()
    assert ids.claim(ID, "1", 0.0)
    ids.abandon(ID, "2", 0.0)
    ids.abandon(ID, "1", 0.0)
    assert not ids.claim(ID, "2", REMEMBERED_MS)
    assert ids.claim(ID, "2", REMEMBERED_MS + 1.0)
    for number in range(MAX_REMEMBERED + 1):
        assert ids.claim(f"t{number}", "3", REMEMBERED_MS)
        ids.abandon(f"t{number}", "3", REMEMBERED_MS)
    assert len(ids.all()) == MAX_REMEMBERED + 1  # with the open one
    assert ids.claim("t0", "4", REMEMBERED_MS)
    assert not ids.claim("t1", "4", REMEMBERED_MS)


@pytest.mark.parametrize(("kind", "status"), [("pay", 409), ("book", 409), ("read", 200)])
def test_an_id_that_comes_again_after_its_client_left_is_run_again_only_if_that_is_harmless(
    kind: str, status: int
) -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            leaving = await rig.caller()
            leaving.ask(kind, trace=ID)
            await backend.next()
            leaving.writer.close()
            await script.until(api.ClientDisconnected)
            again = await rig.caller()
            again.ask(kind, trace=ID)
            if status == 200:
                (await backend.next()).reply(200)
            assert (await again.answer()).status == status
            assert backend.calls.empty()

    run(test)


def test_an_id_that_is_still_open_on_another_connection_is_not_run_twice() -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, _script, rig):
            first, second = await rig.caller(), await rig.caller()
            first.ask("pay", trace=ID)
            held = await backend.next()
            second.ask("pay", trace=ID)
            assert (await second.answer()).status == 409
            held.reply(200, b"once")
            assert (await first.answer()).body == b"once"

    run(test)


def test_an_id_is_free_once_its_client_is_answered_while_an_attempt_waits_to_be_sent() -> None:
    nowhere = Unreachable()

    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            rig.proxy._addresses["s2"] = read_address(nowhere.address)
            caller = await rig.caller()
            caller.ask("pay", trace=ID)
            call = await backend.next()
            script.react = lambda event: (
                [api.Send(event.request, "s2"), api.Fail(event.request)]
                if isinstance(event, api.AttemptEnded) and event.attempt == 0
                else []
            )
            call.reply(500)
            assert (await caller.answer()).status == 502
            assert rig.proxy.sent_ids.all() == []

    run(test)


@pytest.mark.parametrize("end", ["answered", "never sent"])
def test_an_id_that_was_answered_or_never_sent_may_come_again(end: str) -> None:
    async def test() -> None:
        async with scripted_proxy() as (backend, script, rig):
            caller = await rig.caller()
            if end == "never sent":
                script.react = lambda event: (
                    [api.Refuse(event.request)]
                    if isinstance(event, api.RequestArrived) and event.request == "1"
                    else []
                )
            caller.ask("pay", trace=ID)
            if end == "answered":
                (await backend.next()).reply(200)
            assert (await caller.answer()).status == (200 if end == "answered" else 503)
            script.react = lambda event: (
                [api.Send(event.request, "s1")] if isinstance(event, api.RequestArrived) else []
            )
            caller.ask("pay", trace=ID)
            (await backend.next()).reply(200, b"run")
            assert (await caller.answer()).body == b"run"

    run(test)


def test_processes_read_each_others_ids_also_after_one_has_ended(tmp_path: Path) -> None:
    paths = [tmp_path / "1.ids", tmp_path / "2.ids"]
    old, new = (SentIdFiles(path) for path in paths)
    for files, other in ((old, paths[1]), (new, paths[0])):
        files.watch([other], 0.0)
    old.record([ID, "x" * 10_000])
    old.record([ID])
    assert new.peer_has(ID)
    assert new.peer_has("x" * 10_000)
    assert not new.peer_has("other")
    old.record(["late"])
    old.close()
    assert not paths[0].exists()
    assert new.peer_has("late")
    new.watch([], REMEMBERED_MS / 1000.0)
    assert new.is_shared()
    new.watch([], REMEMBERED_MS / 1000.0 + 1.0)
    assert not new.is_shared()
    new.close()
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice(
    end: signal.Signals, tmp_path: Path
) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        shared = tmp_path / "shared"
        shared.mkdir()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            address = listener.getsockname()
            config = make_config("{}:{}".format(*address), "127.0.0.1:1", member("s1", backend.address), group_size=1)

            async def start() -> asyncio.subprocess.Process:
                control = ("127.0.0.1", free_port())
                process = await launch(
                    {**config, "control": "{}:{}".format(*control)},
                    tmp_path,
                    listener.fileno(),
                    NODE_INHERITED_FD=str(listener.fileno()),
                    TMPDIR=str(shared),
                )
                await until_serving(process)
                assert (await call(control, "GET /api/ready")).status == 200
                return process

            async def order(left: str) -> asyncio.StreamReader:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(
                    f"POST /pay/1 HTTP/1.1\r\nX-Trace-Id: {ID}\r\nX-Qos: pay\r\n"
                    f"X-Expires-In: {left}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                writers.append(writer)
                return reader

            writers: list[asyncio.StreamWriter] = []
            old = await start()
            await order("2.0")
            await backend.next()
            new = await start()
            old.send_signal(end)
            writers[0].close()
            await old.wait()
            reader = await order("2.0")
            assert (await reader.readline()).split()[1] == b"409"
            assert backend.calls.empty()
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0
        assert not list(shared.glob("*.ids"))

    run(test)

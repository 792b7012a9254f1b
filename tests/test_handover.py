"""Hand-over from an old proxy process to a new one: mark files, transferred state, shared limits, full upgrades."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from balancing import api
from balancing.api import Outcome, State
from balancing.balancer import Balancer
from mastlift.lab.addresses import free_port
from proxy import handover
from proxy.__main__ import Succession
from proxy.descriptors import Descriptors
from proxy.handover import Handover
from proxy.lifecycle import LifeCycle, Phase
from proxy.proxy import Proxy
from tests.harness import SAFE, SETTINGS, Checker, servers
from tests.rig import Caller, FakeServer, Rig, Script, first_to, make_config, member, run
from tests.test_control import call, launch
from tests.test_process import until_serving


def start_handover(folder: Path) -> Handover:
    life = LifeCycle()
    started = Handover(asyncio.get_running_loop(), folder, life)
    started.announce()
    return started


def kill(killed: Handover) -> None:
    """Simulates a killed process: the kernel releases its lock, its files remain."""
    os.close(killed._lock)
    killed._lock = -1


def test_processes_see_each_other_until_one_ends(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = start_handover(tmp_path), start_handover(tmp_path)
        for one in (old, new):
            one.read_peers()
        assert [peer.start for peer in old.peers] == [new.start]
        assert (old.has_newer_peer(), old.has_successor(), new.has_newer_peer()) == (True, False, False)
        new._life.mark_ready()
        old.read_peers()
        assert old.has_successor()
        kill(new)
        old.read_peers()
        assert (old.peers, old.has_successor()) == ([], False)
        assert [path.suffix for path in tmp_path.iterdir()].count(".mark") == 1  # that of the dead process was removed
        old.close()
        assert list(tmp_path.iterdir()) == []

    run(test)


def test_new_process_receives_the_state_of_the_old_one(tmp_path: Path) -> None:
    async def test() -> None:
        old = start_handover(tmp_path)
        old.export_state = lambda: {"list": [1, 2]}
        old.watch()
        new = start_handover(tmp_path)
        received = await new.receive_state()
        assert received is not None and received["list"] == [1, 2]
        third = start_handover(tmp_path)
        new.export_state = lambda: {"list": [3]}
        new.watch()
        received = await third.receive_state()  # from the newest of the older processes
        assert received is not None and received["list"] == [3]
        for one in (old, new, third):
            one.close()

    run(test)


def test_first_process_does_not_wait_for_state(tmp_path: Path) -> None:
    async def test() -> None:
        dead = start_handover(tmp_path)
        dead._write_state(7)
        kill(dead)
        (tmp_path / "cometdoor-12.mark").write_bytes(b"{}")
        (tmp_path / "cometdoor-x.mark").write_bytes(b"")
        (tmp_path / "other").write_bytes(b"")
        with mock.patch("proxy.handover.STATE_WAIT_S", 3600.0):
            assert await start_handover(tmp_path).receive_state() is None

    run(test)


@pytest.mark.parametrize("state", ["", "{", "[]", "null", '{"at": "x", "for": 1}', "stale", "another's", "early"])
def test_malformed_stale_or_foreign_state_is_ignored(state: str, tmp_path: Path) -> None:
    async def test() -> None:
        old, new = start_handover(tmp_path), start_handover(tmp_path)
        now = time.monotonic()
        text = {
            "stale": {"at": now - 60.0, "for": new.start},
            "another's": {"at": now, "for": 7},
            "early": {"at": now + 60.0, "for": new.start},
        }.get(state)
        path = old._path(old.start, handover.STATE)
        path.write_text(state if text is None else json.dumps(text))
        with mock.patch("proxy.handover.STATE_WAIT_S", 0.1):
            assert await new.receive_state() is None
        path.write_text(json.dumps({"at": time.monotonic(), "for": new.start}))
        assert await new.receive_state() is not None

    run(test)


def test_partly_written_mark_file_is_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = start_handover(tmp_path), start_handover(tmp_path)
        new._life.mark_ready()
        old.read_peers()
        before = old.peers
        for half in (b"", b'{"phase":"serv', b'{"phase":"serving"}'):
            new._mark.write_bytes(half)
            old.read_peers()
            assert old.peers == before

    run(test)


def test_latest_operator_order_applies_to_both_processes(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = start_handover(tmp_path), start_handover(tmp_path)
        old._life.mark_ready()
        old._life.evacuate()
        new.read_peers()
        new._life.mark_ready()
        assert (new._life.phase, new._life.is_up()) == (Phase.EVACUATING, False)
        assert new._life.is_ready()  # otherwise the platform would abort the upgrade
        new._life.rejoin()
        new.read_peers()
        old.read_peers()
        assert (old._life.phase, new._life.phase) == (Phase.SERVING, Phase.SERVING)
        new._life.evacuate()
        assert not new._life.is_ready()
        old.read_peers()
        old._life.leave()
        assert (old._life.phase, old._life.is_up()) == (Phase.LEAVING, False)

    run(test)


def test_an_order_to_the_old_process_right_after_the_new_one_got_ready_leaves_it_ready(tmp_path: Path) -> None:
    """The platform, which asks now and then, never got its yes and would have aborted the upgrade."""

    async def test() -> None:
        old, new = start_handover(tmp_path), start_handover(tmp_path)
        old._life.mark_ready()
        new._life.mark_ready()
        old._life.evacuate()
        new.read_peers()
        assert (new._life.phase, new._life.is_up(), new._life.is_ready()) == (Phase.EVACUATING, False, True)
        new._life.evacuate()  # to this process itself: it takes no clients
        assert not new._life.is_ready()

    run(test)


def test_descriptors_and_memory_of_both_together_stay_within_the_limits(tmp_path: Path) -> None:
    async def test() -> None:
        sockets = 200
        sides = []
        for _ in range(2):
            rig = await Rig().start(sockets=sockets)
            sides.append((rig, start_handover(tmp_path)))
            Succession(rig.config, sides[-1][1], rig.proxy, rig.front)
        (old, old_side), (new, new_side) = sides
        alone, memory = old.descriptors.limit, old.budget.total
        callers = [await old.caller() for _ in range(40)]

        def together() -> int:
            for side in (old_side, new_side, old_side, new_side):
                side.read_peers()
            assert old.budget.total == new.budget.total == memory // 2
            return old.descriptors.limit + new.descriptors.limit + 2 * Descriptors.RESERVE

        assert together() <= sockets
        assert old.descriptors.limit == sockets // 2 - Descriptors.RESERVE
        new_side._life.mark_ready()
        assert together() <= sockets
        assert old.descriptors.limit == 68  # each of its 28 clients may still need a connection to a backend
        for caller in callers[:30]:
            caller.writer.close()
        while len(old.front.connections) > 10:
            await asyncio.sleep(0.01)
        assert together() <= sockets
        assert old.descriptors.limit == 20  # descriptors that the old process releases go to the new one
        old_side.close()
        new_side.read_peers()
        assert (new.descriptors.limit, new.budget.total) == (alone, memory)

    run(test)


def test_old_process_yields_idle_connections_and_resumes_if_the_new_one_dies(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            side = start_handover(tmp_path)
            Succession(rig.config, side, rig.proxy, rig.front)
            side.export_state = lambda: {}
            caller = await rig.caller()
            caller.ask()
            kept = await backend.next()
            kept.reply(200)
            await caller.answer()
            new = start_handover(tmp_path)
            new._life.mark_ready()
            side.read_peers()
            await kept.closed()
            assert script.events[-1] == api.Yielded(True)
            kill(new)
            side.read_peers()
            assert script.events[-1] == api.Yielded(False)

    run(test)


# --- the balancer ---


def run_traffic(checker: Checker) -> None:
    """Simulates some seconds of requests, including copies and slow answers."""
    for number in range(60):
        name = f"r{number}"
        checker.request(name)
        checker.advance(20.0)
        sent = checker.requests[name].sent[0]
        checker.advance(700.0 if number % 15 == 0 else 10.0)
        if sent.outcome is None:
            checker.end(name, 0, Outcome.OK)
        for attempt in checker.requests[name].outstanding():
            checker.end(name, attempt, Outcome.CANCELLED)


def take_over(old: Checker, *entries: api.Server) -> Checker:
    """The balancer of a new process that took over the old one's list and learned state through a file."""
    new = Checker(old.settings, seed=2)
    new.now = old.now
    new.list_servers(*entries, kind=api.ListKind.CACHED)
    new.feed(api.TakenOver(json.loads(json.dumps(old.balancer.learned()))))
    return new


def test_new_process_continues_with_the_learned_state() -> None:
    old = Checker()
    old.list_servers(*servers(6))
    run_traffic(old)
    new = take_over(old, *servers(6))
    assert new.balancer.learned() == old.balancer.learned()
    assert new.balancer._gate.is_open(new.now) == old.balancer._gate.is_open(old.now)
    assert new.balancer._admission.limit(new.now) == pytest.approx(old.balancer._admission.limit(old.now))
    assert new.balancer._budget.allows_one(new.now) == old.balancer._budget.allows_one(old.now)


def test_learned_state_of_a_restarted_server_is_dropped() -> None:
    old = Checker()
    old.list_servers(*servers(3))
    run_traffic(old)
    first, *others = servers(3)
    new = take_over(old, replace(first, started_at=old.now - 500.0), *others)
    assert new.balancer._members[first.name].failures.count == 0.0
    assert new.balancer._members[others[0].name].failures.count > 0.0


def test_new_process_requests_the_list_at_once_and_again_soon() -> None:
    settings = replace(SETTINGS, must_ask=True, ask_within_ms=10_000.0)
    old = Checker(settings)
    old.list_servers(*servers(3))
    new = take_over(old, *servers(3))
    assert (new.now, new.balancer._watch_due) in new.timers
    assert new.feed(api.TimerFired(new.balancer._watch_due)) == [api.Watch()]
    stale = [token for _, token in new.timers if token != new.balancer._watch_due]
    assert all(new.feed(api.TimerFired(token)) == [] for token in stale)  # no second call
    for failures in (1, 2):
        (timer,) = new.feed(api.ListChanged(api.ListKind.FAILED))
        assert isinstance(timer, api.SetTimer) and timer.after_ms <= 300.0 * failures
        new.feed(api.TimerFired(timer.token))


def test_yielding_process_sends_no_copies_and_avoids_cold_servers() -> None:
    settings = replace(SETTINGS, cold_from=0.2, warm_up_ms=60_000.0)
    for yields in (False, True):
        checker = Checker(settings)
        warm = servers(4)
        cold = api.Server("cold", started_at=checker.now - 1000.0)
        checker.list_servers(*warm, cold)
        run_traffic(checker)
        checker.feed(api.Yielded(yields))
        before = sum(sent.server.name == "cold" for tracked in checker.requests.values() for sent in tracked.sent)
        copies = len(checker.extra)
        for number in range(200):
            checker.request(f"n{number}")
            checker.advance(30.0)
            checker.end(f"n{number}", 0, Outcome.OK)
        checker.request("slow", 0)
        checker.advance(SAFE.aim_ms * 0.8)
        now = sum(sent.server.name == "cold" for tracked in checker.requests.values() for sent in tracked.sent)
        assert (now > before) is not yields
        assert (len(checker.extra) > copies) is not yields


def test_yielding_process_uses_cold_servers_if_none_is_warm() -> None:
    checker = Checker(replace(SETTINGS, cold_from=0.2, warm_up_ms=60_000.0))
    checker.list_servers(api.Server("cold", started_at=checker.now - 1000.0))
    checker.feed(api.Yielded(True))
    assert any(isinstance(action, api.Send) for action in checker.request("r"))


# --- proxy objects and whole processes ---


def list_message(*members: dict[str, Any]) -> dict[str, Any]:
    return {"revision": 50, "complete": True, "members": list(members)}


@pytest.mark.parametrize("spoil", ["nothing", "list", "member", "learned", "averages"])
def test_state_of_another_version_is_used_completely_or_not_at_all(spoil: str) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address), discovery="127.0.0.1:2")
        received: dict[str, Any] = {
            "list": list_message(member("s2", backend.address)),
            "learned": Balancer(rig.config.settings, 1).learned(),
        }
        match spoil:
            case "list":
                del received["list"]
            case "member":
                received["list"]["members"][0]["phase"] = "unheard of"
            case "learned":
                received["learned"] = []
            case "averages":
                received["learned"]["averages"] = [[1.0, 2.0]]
        proxy = Proxy(rig.config, asyncio.get_running_loop(), rig.descriptors, rig.budget, LifeCycle(), received)
        assert set(proxy._addresses) == ({"s2"} if spoil == "nothing" else {"s1"})

    run(test)


def test_handed_over_list_is_the_last_one_from_discovery() -> None:
    async def test() -> None:
        discovery = await FakeServer().start()
        rig = await Rig().start(member("s1", "127.0.0.1:7"), discovery=discovery.address)
        watch = await discovery.next()
        watch.open_stream()
        watch.send_list(
            60, False, member("s2", "127.0.0.1:8", phase="terminating"), member("s1", "127.0.0.1:7", phase="terminated")
        )
        while "s1" in rig.proxy._addresses:
            await asyncio.sleep(0.01)
        received = json.loads(json.dumps(rig.proxy.learned()))
        assert (received["list"]["revision"], received["list"]["complete"]) == (60, True)
        (entry,) = received["list"]["members"]
        assert (entry["id"], entry["phase"]) == ("s2", "terminating")
        successor = await Rig().start(discovery=discovery.address)
        listed, _ = successor.proxy._discovery.reader.read(received["list"])
        assert listed[0].state is State.DRAINING

    run(test)


def test_two_upgrades_in_a_row_refuse_no_client(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        shared = tmp_path / "shared"
        shared.mkdir()

        async def answer_all() -> None:
            while True:
                asked = await backend.next()
                asked.reply(200, asked.message.headers["x-trace-id"].encode())

        async def ask_on(number: int) -> int:
            """A client that reuses its connection, and retries once if it was closed between requests."""
            asked, caller = 0, None
            while not over.is_set():
                asked += 1
                trace = f"{number}-{asked}"
                for _ in range(2):
                    if caller is None:
                        caller = Caller(*await asyncio.open_connection(*address))
                    caller.ask(trace=trace)
                    try:
                        answer = await caller.answer()
                    except (asyncio.IncompleteReadError, ConnectionError):
                        caller = None
                        continue
                    break
                assert answer.body == trace.encode()
                if answer.headers.get("connection") == "close":
                    caller = None
                await asyncio.sleep(0.01)
            return asked

        over = asyncio.Event()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            address = listener.getsockname()
            listen = "{}:{}".format(*address)
            answering = asyncio.ensure_future(answer_all())
            clients: list[asyncio.Task[int]] = []
            old = None
            for _ in range(3):
                control = ("127.0.0.1", free_port())
                config = make_config(listen, "127.0.0.1:1", member("s1", backend.address), group_size=1)
                new = await launch(
                    {**config, "control": "{}:{}".format(*control)},
                    tmp_path,
                    listener.fileno(),
                    NODE_INHERITED_FD=str(listener.fileno()),
                    TMPDIR=str(shared),
                )
                await until_serving(new)
                assert (await call(control, "GET /api/ready")).status == 200
                if old is None:
                    clients = [asyncio.ensure_future(ask_on(number)) for number in range(8)]
                else:
                    old.send_signal(signal.SIGTERM)
                    assert await old.wait() == 0
                await asyncio.sleep(0.2)
                old = new
            over.set()
            assert min(await asyncio.gather(*clients)) > 10
            assert old is not None
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            answering.cancel()
        assert list(shared.iterdir()) == []

    run(test)


async def until_accepted(address: tuple[str, int], order: str) -> int:
    """The status of an admin call, made as soon as the process listens for it."""
    while True:
        try:
            return (await call(address, order)).status
        except OSError:
            await asyncio.sleep(0.002)


@pytest.mark.parametrize("ordered", ["to the old process before the start", "to the new process during its start"])
def test_a_process_that_starts_while_the_proxy_is_emptied_closes_its_connections(ordered: str, tmp_path: Path) -> None:
    """It learned of the order before anything closed connections for one, and kept them open (review/10)."""

    async def test() -> None:
        backend = await FakeServer().start()
        shared = tmp_path / "shared"
        shared.mkdir()
        old = start_handover(shared)
        old._life.mark_ready()
        if ordered == "to the old process before the start":
            old._life.evacuate()
            old.watch()  # else it writes no state, for which the new process waits meanwhile
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            address, control_at = listener.getsockname(), ("127.0.0.1", free_port())
            config = make_config("{}:{}".format(*address), "127.0.0.1:1", member("s1", backend.address), group_size=1)
            new = await launch(
                {**config, "control": "{}:{}".format(*control_at)},
                tmp_path,
                listener.fileno(),
                NODE_INHERITED_FD=str(listener.fileno()),
                TMPDIR=str(shared),
            )
            if ordered == "to the new process during its start":
                assert await until_accepted(control_at, "POST /api/evacuate") == 200
            await until_serving(new)
            busy, silent = [Caller(*await asyncio.open_connection(*address)) for _ in range(2)]
            busy.ask()
            (await backend.next()).reply(200, b"served")
            answer = await busy.answer()
            assert (answer.body, answer.headers.get("connection")) == (b"served", "close")
            assert await busy.ended()
            assert await silent.ended()
            assert (await call(control_at, "POST /api/rejoin")).status == 200
            back = Caller(*await asyncio.open_connection(*address))
            back.ask()
            (await backend.next()).reply(200, b"again")
            assert "connection" not in (await back.answer()).headers
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0
        old.close()

    run(test)


def test_an_order_to_a_leaving_process_reaches_its_successor(tmp_path: Path) -> None:
    """It was answered with yes and told to nobody: the successor took clients on."""

    async def test() -> None:
        old, new = start_handover(tmp_path), start_handover(tmp_path)
        old._life.has_successor = old.has_successor
        for one in (old, new):
            one._life.mark_ready()
        old.read_peers()
        old._life.leave()
        assert old._life.is_up()  # by its successor
        assert old._life.evacuate()
        new.read_peers()
        assert new._life.phase is Phase.EVACUATING
        assert not old._life.is_up()
        new._life.rejoin()
        old.read_peers()
        assert old._life.is_up()
        new._life.evacuate()
        old.read_peers()
        assert not old._life.rejoin()  # refused, so it changes nothing
        new.read_peers()
        assert (old._life.is_up(), new._life.phase) == (False, Phase.EVACUATING)

    run(test)

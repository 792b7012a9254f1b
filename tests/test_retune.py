"""New settings while the proxy runs are applied completely or not at all."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from balancing import api
from balancing.api import Effect, Outcome
from proxy.__main__ import Reload, leave
from proxy.client_request import RequestReader
from proxy.config import BadConfig, NodeConfig, load_config
from tests.harness import KEYED, SAFE, SETTINGS, UNSAFE, Checker, servers
from tests.rig import LANES, FakeServer, Rig, Script, first_to, make_config, member, run

Change = Callable[[dict[str, Any]], None]


def written(folder: Path, raw: Any) -> dict[str, str]:
    path = folder / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    return {"NODE_CONFIG": str(path)}


def base() -> dict[str, Any]:
    return copy.deepcopy(make_config("127.0.0.1:1", "127.0.0.1:2"))


def setting(*path: str | int, value: Any) -> Change:
    def change(raw: dict[str, Any]) -> None:
        owner: Any = raw
        for step in path[:-1]:
            owner = owner[step]
        owner[path[-1]] = value

    return change


def without(*path: str | int) -> Change:
    def change(raw: dict[str, Any]) -> None:
        owner: Any = raw
        for step in path[:-1]:
            owner = owner[step]
        del owner[path[-1]]

    return change


INVALID_NUMBERS = ["3", True, None, 0, -5, -0.5, [], {}]
LANE = ("settings", "lanes", 1)
INVALID_CHANGES: dict[str, Change] = {
    **{f"a deadline of {value!r}": setting(*LANE, "deadline_ms", value=value) for value in INVALID_NUMBERS},
    **{f"{value!r} attempts": setting("settings", "limits", "try_limit", value=value) for value in INVALID_NUMBERS},
    **{f"no {key}": without(*LANE, key) for key in ("name", "aim_ms", "deadline_ms", "effect", "key_ttl_ms")},
    **{
        f"no {path[-1]}": without(*path)
        for path in (
            ("seed",),
            ("settings",),
            ("settings", "lanes"),
            ("settings", "limits"),
            ("settings", "obligations"),
            ("settings", "limits", "try_limit"),
            ("settings", "obligations", "cold_from"),
            ("settings", "zone"),
        )
    },
    "half an attempt": setting("settings", "limits", "try_limit", value=1.5),
    "no class at all": setting("settings", "lanes", value=[]),
    "one class twice": setting("settings", "lanes", value=[LANES[0], LANES[0]]),
    "an unknown effect": setting(*LANE, "effect", value="brittle"),
    "classes in a text": setting("settings", "lanes", value="read"),
    "settings in a list": setting("settings", value=[]),
    "a bad address": setting("discovery", value="here"),
}
INVALID_JSON = [
    "",
    " ",
    "{",
    json.dumps(base())[:-40],
    "[]",
    "null",
    "7",
    "\x00",
    json.dumps(base()).replace('"deadline_ms": 3000.0', '"deadline_ms": NaN'),
    json.dumps(base()).replace('"deadline_ms": 3000.0', '"deadline_ms": 1e999'),
]


@pytest.mark.parametrize("name", INVALID_CHANGES)
def test_an_invalid_file_is_rejected_at_the_start_and_at_a_reload(name: str, tmp_path: Path) -> None:
    good = load_config(written(tmp_path, base()))
    raw = base()
    INVALID_CHANGES[name](raw)
    for now in (None, good):
        with pytest.raises(BadConfig):
            load_config(written(tmp_path, raw), now)


@pytest.mark.parametrize("text", INVALID_JSON)
def test_an_empty_truncated_or_non_object_file_is_rejected(text: str, tmp_path: Path) -> None:
    for now in (None, load_config(written(tmp_path, base()))):
        with pytest.raises(BadConfig):
            load_config(written(tmp_path, text), now)


@pytest.mark.parametrize(
    "path",
    [
        ("listen",),
        ("discovery",),
        ("limits", "sockets"),
        ("settings", "fees"),
        ("settings", "fees", "waste"),
        ("settings", "limits", "retry_after"),
        (*LANE, "worth"),
    ],
)
def test_a_file_that_lacks_a_key_of_the_settings_in_force_is_rejected(
    path: tuple[str | int, ...], tmp_path: Path
) -> None:
    good = load_config(written(tmp_path, base()))
    raw = base()
    without(*path)(raw)
    with pytest.raises(BadConfig, match=str(path[-1])):
        load_config({**written(tmp_path, raw), "NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "127.0.0.1:1"}, good)


def new_lanes(*lanes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    raw = base()
    raw["settings"].update(lanes=list(lanes), **changes)
    return raw


class Running:
    """A rig whose settings come from a file."""

    def __init__(self, folder: Path, rig: Rig) -> None:
        self.folder = folder
        self.rig = rig
        self.reload = Reload(rig.config, rig.proxy, rig.front)

    def take(self, raw: Any) -> NodeConfig:
        with mock.patch.dict("os.environ", written(self.folder, raw)):
            self.reload()
        return self.reload.config


def test_an_invalid_file_changes_nothing_and_is_logged_in_one_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        with Script().installed() as script:
            running = Running(tmp_path, await Rig().start())
            before = running.reload.config
            reader = running.rig.front.reader
            with caplog.at_level("INFO"):
                for text in ("", "{", json.dumps(new_lanes({**LANES[0], "deadline_ms": 0}))):
                    caplog.clear()
                    assert running.take(text) is before
                    (line,) = caplog.messages
                    assert "kept as it was" in line
            assert running.rig.front.reader is reader
            assert not any(isinstance(event, api.SettingsChanged) for event in script.events)

    run(test)


def test_open_requests_keep_their_class_and_new_ones_use_the_new_settings(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            running = Running(tmp_path, rig)
            early = await rig.caller()
            early.ask("pay")
            held = await backend.next()
            new = {**LANES[2], "name": "rent", "effect": "retryable"}
            config = running.take(new_lanes(new, LANES[2], LANES[0]))
            changed = await script.until(api.SettingsChanged)
            assert [cls.name for cls in changed.settings.classes] == ["rent", "pay", "read", "book"]
            late = await rig.caller()
            for kind, place in (("pay", 1), ("read", 2), ("book", 3)):
                late.ask(kind, trace=f"{place:016x}")
                arrival = await script.until(api.RequestArrived)
                assert arrival.class_index == place
                (await backend.next()).reply(200, kind.encode())
                assert (await late.answer()).body == kind.encode()
            late.writer.write(b"GET /rent/1 HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: rent\r\nX-Expires-In: 3\r\n\r\n")
            arrival = await script.until(api.RequestArrived)
            assert changed.settings.classes[arrival.class_index].effect is Effect.SAFE
            (await backend.next()).reply(200, b"new")
            assert (await late.answer()).body == b"new"
            held.reply(200, b"held")
            assert (await early.answer()).body == b"held"
            with mock.patch("proxy.client_request.PREVIOUS_CLASSES_S", 0.0):
                rig.front.reader = RequestReader(config)
            late.ask("book")
            assert (await late.answer()).status == 404  # removed, and clients no longer use it

    run(test)


def test_a_request_of_the_former_form_runs_at_most_once(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            running = Running(tmp_path, rig)
            config = running.take(new_lanes({**LANES[0], "effect": "fragile"}, LANES[1], LANES[2]))
            caller = await rig.caller()
            caller.ask("read")  # GET, as under the former settings
            arrival = await script.until(api.RequestArrived)
            assert config.settings.classes[arrival.class_index].effect is Effect.UNSAFE
            (await backend.next()).reply(200, b"ok")
            assert (await caller.answer()).status == 200
            with mock.patch("proxy.client_request.PREVIOUS_CLASSES_S", 0.0):
                rig.front.reader = RequestReader(config)
            caller.ask("read")
            assert (await caller.answer()).status == 405

    run(test)


def test_a_request_read_before_the_change_and_sent_after_it_is_read_again(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with Script().installed() as script:
            script.react = first_to("s1")
            rig = await Rig().start(member("s1", backend.address))
            running = Running(tmp_path, rig)
            caller = await rig.caller()
            caller.ask("read")
            caller.ask("pay")  # queued behind the first request
            call = await backend.next()
            (connection,) = rig.front.connections
            while not connection._pipelined:
                await asyncio.sleep(0.01)
            running.take(new_lanes(LANES[2], LANES[0], LANES[1]))
            call.reply(200)
            await caller.answer()
            (await backend.next()).reply(200)
            await caller.answer()
            arrivals = [event for event in script.events if isinstance(event, api.RequestArrived)]
            assert [arrival.class_index for arrival in arrivals] == [0, 0]

    run(test)


READ, BOOK, PAY = replace(SAFE, name="read"), replace(KEYED, name="book"), replace(UNSAFE, name="pay")


def test_the_balancer_keeps_its_records_by_class_name_and_open_requests_their_rules() -> None:
    settings = replace(SETTINGS, classes=(READ, PAY), max_attempts=3)
    checker = Checker(settings)
    checker.list_servers(*servers(6))
    checker.request("a", 0)
    checker.now += 70.0
    checker.end("a", 0, Outcome.OK)
    checker.request("open", 0)
    record = checker.balancer._record_at[0]
    assert record.latency.count == 1.0
    rent = replace(READ, name="rent")
    checker.settings = replace(settings, classes=(rent, replace(READ, effect=Effect.UNSAFE)), max_attempts=2)
    checker.feed(api.SettingsChanged(checker.settings))
    assert checker.balancer._record_at[1] is record
    assert checker.balancer._record_at[0].latency.count == 0.0
    # The open request is still safe, so it is retried, but only once, since two attempts are allowed now.
    assert any(isinstance(action, api.Send) for action in checker.end("open", 0, Outcome.RESET))
    assert [type(action) for action in checker.end("open", 1, Outcome.RESET)] == [api.Refuse]
    # A new request follows the new settings.
    checker.request("new", 1)
    assert [type(action) for action in checker.end("new", 0, Outcome.RESET)] == [api.Fail]


def test_the_balancer_watches_the_list_when_new_settings_require_it() -> None:
    checker = Checker(replace(SETTINGS, must_ask=False))
    checker.list_servers(*servers(3))
    actions = checker.feed(api.SettingsChanged(replace(SETTINGS, must_ask=True)))
    (timer,) = (action for action in actions if isinstance(action, api.SetTimer))
    assert checker.feed(api.TimerFired(timer.token)) == [api.Watch()]


def test_the_admission_limit_survives_a_class_with_another_aim() -> None:
    checker = Checker(replace(SETTINGS, classes=(READ,)))
    checker.list_servers(*servers(6))
    for number in range(200):
        checker.request(f"r{number}")
        checker.now += 20.0
        checker.end(f"r{number}", 0, Outcome.OK)
    before = checker.balancer._admission.limit(checker.now)
    slow = replace(READ, name="slow", aim_ms=4000)
    checker.feed(api.SettingsChanged(replace(SETTINGS, classes=(READ, slow))))
    assert checker.balancer._admission.limit(checker.now) == pytest.approx(before, rel=0.3)


def test_reordered_zones_renumber_the_known_servers(tmp_path: Path) -> None:
    async def test() -> None:
        with Script().installed() as script:
            rig = await Rig().start(
                member("s1", "127.0.0.1:7"), member("s2", "127.0.0.1:8", locality="b"), zones=["a", "b"]
            )
            running = Running(tmp_path, rig)
            await script.until(api.ListChanged)
            running.take(new_lanes(*LANES, zones=["c", "b", "a"]))
            changed = await script.until(api.ListChanged)
            assert [(server.name, server.zone) for server in changed.servers] == [("s1", 2), ("s2", 1)]
            assert set(rig.proxy._addresses) == {"s1", "s2"}

    run(test)


KILL_AFTER_S = 0.7  # of the protocol: SIGKILL follows SIGTERM no sooner than the longest deadline plus this
SHORT = {"aim_ms": 200.0, "deadline_ms": 200.0}
REMOVED_DEADLINES = {
    "a dropped class": [{**LANES[0], **SHORT}, {**LANES[2], **SHORT}],
    "a class of another effect": [{**LANES[0], **SHORT}, {**LANES[1], **SHORT, "effect": "fragile"}, LANES[2] | SHORT],
    "a class that keeps its effect": [lane | SHORT for lane in LANES],
}


@pytest.mark.parametrize("is_replaced", [False, True], ids=["restart", "upgrade"])
@pytest.mark.parametrize("lanes", REMOVED_DEADLINES.values(), ids=REMOVED_DEADLINES)
def test_open_requests_are_answered_before_sigkill_after_a_reload_removed_the_longest_deadline(
    lanes: list[dict[str, Any]], is_replaced: bool, tmp_path: Path
) -> None:
    """They were left open: the deadline of a class that only late clients still use was the longest (review/6)."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        backend = await FakeServer().start()
        with Script().installed() as script:
            script.react = first_to("s1")
            long = [LANES[0] | SHORT, LANES[1] | {"deadline_ms": 6000.0}, LANES[2] | SHORT]
            rig = await Rig().start(member("s1", backend.address), lanes=long)
            config = Running(tmp_path, rig).take(new_lanes(*lanes))
            rig.life.has_successor = lambda: is_replaced
            caller = await rig.caller()
            caller.ask("pay", left="60.0")
            await backend.next()
            rig.life.leave()
            killed_at = loop.time() + config.longest_deadline_s() + KILL_AFTER_S
            leaving = asyncio.create_task(leave(config, rig.proxy, rig.front, rig.life))
            async with asyncio.timeout_at(killed_at):
                assert (await caller.answer()).status == 502
            await leaving

    run(test)


def test_the_longest_deadline_is_that_of_the_last_of_several_reloads(tmp_path: Path) -> None:
    def lanes(*deadlines_ms: float) -> dict[str, Any]:
        return new_lanes(
            *({**lane, "deadline_ms": deadline} for lane, deadline in zip(LANES, deadlines_ms, strict=False))
        )

    config = load_config(written(tmp_path, lanes(200.0, 300.0, 6000.0)))
    assert config.longest_deadline_s() == 6.0
    for raw, expected_s in ((lanes(200.0, 300.0), 0.3), (lanes(500.0), 0.5), (lanes(200.0, 4000.0), 4.0)):
        config = load_config(written(tmp_path, raw), config)
        assert config.longest_deadline_s() == expected_s

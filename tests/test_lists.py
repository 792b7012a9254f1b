"""The list service: lists, the limit on expiry, registrations, and keepers, proxies and backends as processes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastlift.discovery.lists import Lists, ListUpdate, Phase, ServerRecord, drain_key, list_key
from mastlift.discovery.registration import (
    FlapRecord,
    Registration,
    RegistrationState,
    ServerListing,
    damping_delay_s,
    servers,
)
from mastlift.discovery.removal_limit import ExpiredLease, RemovalLimiter
from mastlift.discovery.service import TokenBucket
from mastlift.keeper.client import KeeperClient, Refused
from mastlift.lab.addresses import free_address
from mastlift.lab.listfaults import SCENARIOS, play_lists
from mastlift.lab.listfleet import ListFleet, Witness
from mastlift.lab.processes import Child, keeper, keeper_settings, started
from mastlift.lab.schedules import play
from mastlift.store import commands as c
from mastlift.store.history import Compacted, History
from mastlift.store.machine import LIST_BASE_KEY, Store
from tests.test_keeper import mastlift

DECODE_UPDATE = msgspec.json.Decoder(ListUpdate).decode
BASE = 10**12


def run(test: Callable[[], Awaitable[None]], limit_s: float = 120.0) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test(), limit_s)

    asyncio.run(limited())


class ListReader:
    """Applies lines to a list as a proxy does."""

    def __init__(self) -> None:
        self.revision, self.members = 0, dict[str, Phase]()

    def take(self, line: bytes) -> None:
        if not line.strip():
            return
        update = DECODE_UPDATE(line)
        assert update.revision >= self.revision
        self.revision = update.revision
        if update.complete:
            self.members.clear()
        for member in update.members:
            if member.phase is Phase.TERMINATED:
                self.members.pop(member.id, None)
            else:
                self.members[member.id] = member.phase


STEP = st.tuples(st.integers(0, 4), st.sampled_from(("put", "delete", "drain", "undrain", "bad", "other")))


@given(st.lists(st.lists(STEP, min_size=1, max_size=5), max_size=25), st.integers(1, 6), st.randoms())
def test_updates_from_any_keeper_lead_to_the_whole_list(
    batches: list[list[tuple[int, str]]], history_size: int, rng: random.Random
) -> None:
    """Guards against a reader that misses a change when it switches keepers.

    Two keepers apply the same changes, reload at random and have a short history; a reader reads from either of them.
    """
    store = Store(History(max_changes=history_size))
    store.apply(c.Envelope(c.Put(LIST_BASE_KEY, b"%d" % BASE)))
    keepers, reader = [Lists(), Lists()], ListReader()

    def command(what: str, id_: str) -> c.Command:
        key = list_key("u" if what == "other" else "t", id_)
        value = msgspec.json.encode(ServerRecord(f"h:{rng.random()}"))
        match what:
            case "delete":
                return c.Delete(key)
            case "drain":
                return c.Put(drain_key("t", id_), b"")
            case "undrain":
                return c.Delete(drain_key("t", id_))
        return c.Put(key, b"no registration" if what == "bad" else value)

    def load(lists: Lists) -> None:
        oldest = store.history.oldest
        lists.load(store.revision, store.keys, store.entries, store.history.after(oldest), oldest)

    for one in keepers:
        load(one)
    for batch in batches:
        for number, what in batch:
            store.apply(c.Envelope(command(what, f"s{number}")))
        for lists in keepers:
            try:
                if rng.random() < 0.2:
                    raise Compacted(0)
                lists.apply(store.history.after(lists.revision), store.entries, store.revision)
            except Compacted:
                load(lists)
            assert lists.revision == store.revision
        lists = rng.choice(keepers)
        if rng.random() < 0.7:
            try:
                reader.take(lists.after("t", reader.revision))
            except Compacted:
                reader.take(lists.whole("t"))
            wanted = {member.id: member.phase for member in DECODE_UPDATE(lists.whole("t")).members}
            assert reader.members == wanted and reader.revision <= BASE + store.revision
    assert keepers[0].whole("t") and {m.id for m in DECODE_UPDATE(keepers[0].whole("t")).members} == {
        m.id for m in DECODE_UPDATE(keepers[1].whole("t")).members
    }
    with pytest.raises(KeyError):
        keepers[0].after("t", BASE + store.revision + 1)


EXPIRIES = st.lists(st.tuples(st.floats(0, 400), st.integers(0, 39)), max_size=60)


@given(st.integers(1, 40), st.floats(0.05, 1.0), EXPIRIES)
def test_expiry_removes_at_most_a_share_of_a_list_within_one_lease_time(
    count: int, share: float, expiries: list[tuple[float, int]]
) -> None:
    """Servers expire one after the other; each lease that may end ends at the next call."""
    limiter, listed, due, now, removal_times = (
        RemovalLimiter(share),
        set(range(count)),
        dict[int, ExpiredLease](),
        0.0,
        list[float](),
    )
    for pause, number in [*expiries, *[(100.0, -1)] * 30]:
        now += pause
        if number in listed:
            due[number] = ExpiredLease(number, 1000, ("t",))
        size = len(listed)
        for lease in limiter.may_end(now, due.values(), {"t": size}):
            if due.pop(lease, None):
                listed.discard(lease)
                removal_times.append(now)
        # Removals within the last lease time of 1000 ms, less the rounding error of floats.
        within = [at for at in removal_times if at > now - 1000 + 1e-6]
        assert len(within) <= max(1, int(share * (len(listed) + len(within))))
    assert not due or limiter.held["t"] == len(due)


def test_damping_delays_grow_and_refused_callers_get_a_token_at_their_retry_time() -> None:
    waits = [damping_delay_s(FlapRecord(starts, 0), 1000.0) for starts in range(12)]
    assert waits[:3] == [0.0, 0.0, 1.0] and waits == sorted(waits) and waits[-1] == 60.0
    assert damping_delay_s(FlapRecord(9, 0), 200_000.0) == 0.0
    bucket = TokenBucket(per_s=100, burst=10)
    times = [bucket.take(1.0) for _ in range(200)]
    assert times[:10] == [0.0] * 10 and times[10:] == sorted(times[10:])
    assert all(not bucket.take(1.0 + wait + 0.011) for wait in times[10:])


def test_fleet_witness_detects_a_list_that_goes_back_and_a_late_request() -> None:
    """The witness of the process tests must be able to report a failure."""
    witness = Witness()
    fleet = ListFleet.__new__(ListFleet)
    fleet.witness, fleet.latest_ms = witness, 0.0
    receive = witness.tap("p0")(b"GET /discovery/hosts?stream=1&index=7 HTTP/1.1\r\n")
    receive(b'40\r\n{"revision":8,"complete":true,"members":[]}\n\r\n')
    assert not witness.broken
    receive(b'40\r\n{"revision":6,"complete":')
    receive(b'true,"members":[]}\n\r\n')
    assert len(witness.broken) == 1
    witness.stopped["p0", "s1"] = time.monotonic() * 1000.0 - 100.0
    fleet.arrived("s1", "p0")
    assert len(witness.broken) == 1
    witness.stopped["p0", "s1"] -= 900.0
    fleet.arrived("s1", "p0")
    assert len(witness.broken) == 2


def test_list_invariants_hold_in_random_schedules() -> None:
    found = play(range(48), what="discovery")
    assert not found.broken, (found.broken, found.trace)
    assert found.seen["taken"] > 1000 and found.seen["held"] > 100 and found.seen["told since"] > 200


@pytest.mark.parametrize("name", ["cut-off-keeper-goes-on", "told-before-caught-up", "time-takes-all", "gone-not-told"])
def test_list_mutation_is_detected(name: str) -> None:
    """The two mutations that are detected more rarely run in `lab check discovery --mutation all --runs 96`."""
    found = play(range(64), mutation=name, shrink_tries=4, what="discovery")
    assert found.broken and f"--mutation {name}" in found.broken


def test_list_service_with_real_processes_under_faults(tmp_path: Path) -> None:
    """A short run of `lab lists`."""

    async def test() -> None:
        played, _ = await play_lists(tmp_path, list(SCENARIOS), scale=0.25, proxies=4, backends=16)
        assert not [f"{one.name}: {line}" for one in played for line in one.broken]
        assert all(one.asked > 20 and one.smallest_list >= 14 for one in played), played

    run(test, 400.0)


SERVER = """
import http.server, sys
class Up(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200); self.send_header("Content-Length", "0"); self.end_headers()
    def log_message(self, *args): pass
http.server.HTTPServer(("127.0.0.1", int(sys.argv[1])), Up).serve_forever()
"""


@contextlib.asynccontextmanager
async def serve_as_process(keepers: str, id_: str, *more: str, code: str = SERVER) -> Any:
    address = free_address()
    async with started(
        "-m",
        "mastlift",
        "serve-as",
        "--tier",
        "front",
        "--id",
        id_,
        "--address",
        address,
        "--ttl",
        "1.5",
        "--drain",
        "0.4",
        *more,
        "--keepers",
        keepers,
        "--",
        sys.executable,
        "-S",
        "-c",
        code,
        address.rpartition(":")[2],
    ) as child:
        yield child


async def listed(address: str) -> dict[str, str]:
    async with aiohttp.ClientSession() as http, http.get(f"http://{address}/discovery/hosts") as response:
        return {member.id: member.phase.value for member in DECODE_UPDATE(await response.read()).members}


async def wait_for_list(address: str, wanted: dict[str, str], within_s: float = 15.0) -> None:
    end = time.monotonic() + within_s
    while (now := await listed(address)) != wanted:
        assert time.monotonic() < end, (now, wanted)
        await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def single_keeper(folder: Path, **discovery: float) -> Any:
    """A single keeper with one list; yields its API address, the list's address and the process."""
    listen, lists = free_address(), free_address()
    tables: dict[str, Any] = {"discovery": discovery, "discovery.tiers": {"front": f'"{lists}"'}}
    async with keeper(keeper_settings(folder, listen, **tables)) as child:
        async with asyncio.timeout(10.0):
            await child.event("lists_ready")
        yield listen, lists, child


def test_server_is_listed_once_it_responds_drains_before_sigterm_and_the_later_start_wins(tmp_path: Path) -> None:
    async def test() -> None:
        async with single_keeper(tmp_path) as (listen, lists, _), serve_as_process(listen, "one") as one:
            await wait_for_list(lists, {"one": "in_service"})

            async def command(*arguments: str) -> str:
                output = await asyncio.to_thread(mastlift, "servers", *arguments, "--keepers", listen)
                return f"{output.returncode} {output.stdout} {output.stderr}"

            assert (await command("drain", "front/one")).startswith("0")
            await wait_for_list(lists, {"one": "terminating"})
            assert "terminating (drained)" in await command("ls")
            assert (await command("undrain", "front/one")).startswith("0")
            assert (await command("drain", "front/two")).startswith("1") and "no server" in await command(
                "drain", "front/two"
            )
            assert (await command("drain", "two")).startswith("2")
            async with serve_as_process(listen, "one") as later:  # the same id, started later
                await later.event("listed")
                assert (await one.event("replaced"))["level"] == "error"
                assert await asyncio.wait_for(one.process.wait(), 10) == 1
                await wait_for_list(lists, {"one": "in_service"})
                later.send(signal.SIGTERM)
                await wait_for_list(lists, {"one": "terminating"})
                await wait_for_list(lists, {})
                assert await asyncio.wait_for(later.process.wait(), 10) == 0
            async with serve_as_process(listen, "three", code="import sys; sys.exit(7)") as three:
                assert await asyncio.wait_for(three.process.wait(), 10) == 7
            async with serve_as_process(listen, "four", "--ready", "0.5", code="import time; time.sleep(60)") as four:
                assert await asyncio.wait_for(four.process.wait(), 10) == 1
                await four.event("never_answered")
            assert await listed(lists) == {}
            for starts in range(3):  # as if its machine had failed: no deregistration, repeatedly
                async with serve_as_process(listen, "five") as five:
                    await wait_for_list(lists, {"five": "in_service"})
                    assert any(event["event"] == "damped" for event in five.events) == (starts == 2)
                    await five.end(signal.SIGKILL)
                    await wait_for_list(lists, {})

    run(test)


async def held_output(child: Child, listen: str) -> str:
    await child.event("list_held")
    output = await asyncio.to_thread(mastlift, "servers", "ls", "--keepers", listen)
    return str(output.stdout)


def test_servers_that_expire_together_are_held_but_deregistration_is_not(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            single_keeper(tmp_path, share=0.25) as (listen, lists, child),
            KeeperClient([listen]) as client,
            KeeperClient([listen]) as cut_off,
        ):

            def register(number: int) -> Registration:
                return Registration(
                    cut_off if number < 10 else client,
                    ServerListing("front", f"s{number}", ServerRecord(f"127.0.0.1:{number + 1}")),
                    1000,
                )

            registrations = [register(number) for number in range(16)]
            await asyncio.gather(*(one.register() for one in registrations))
            await cut_off.renewals.close()  # ten of sixteen stop renewing
            assert "HELD: " in await held_output(child, listen)
            assert len(await listed(lists)) >= 12
            await registrations[15].deregister()
            with pytest.raises(Refused, match="not listed"):
                await registrations[15].set_phase(Phase.TERMINATING)  # must not create a record without a lease
            await registrations[14].set_phase(Phase.TERMINATING)
            await asyncio.to_thread(mastlift, "servers", "rm", "front/s0", "--keepers", listen)
            now = await listed(lists)
            assert "s15" not in now and "s0" not in now and now["s14"] == "terminating" and len(now) >= 11
            assert all(one.state is RegistrationState.LISTED for one in registrations[10:14])
            async with aiohttp.ClientSession() as http, http.get(f"http://{listen}/metrics") as response:
                assert "list_held 0" not in await response.text()
            assert len(await servers(client, "front")) == len(now)

    run(test)


def test_slow_watch_is_skipped_then_catches_up_and_unknown_indexes_get_the_whole_list(tmp_path: Path) -> None:
    async def test() -> None:
        async with single_keeper(tmp_path, slow_kb=1) as (listen, lists, _), KeeperClient([listen]) as client:
            host, _, port = lists.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
            writer.write(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"\n\r\n")
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            value = msgspec.json.encode(ServerRecord("127.0.0.1:1", "z" * 200_000)).decode()
            for i in range(60):  # more than the socket buffers hold
                await client.put(list_key("front", f"s{i % 3}"), value.replace(":1", f":{i + 1}").encode())
            reader._transport.resume_reading()  # type: ignore[attr-defined]
            end, received, view = time.monotonic() + 20.0, b"", ListReader()
            while view.revision < DECODE_UPDATE(await whole_list(lists)).revision:
                assert time.monotonic() < end
                received = await asyncio.wait_for(reader.readuntil(b"\n\r\n"), 10)
                line = received.split(b"\r\n", 1)[1][:-2] if b"{" in received else b""
                view.take(line)
            assert set(view.members) == {"s0", "s1", "s2"}
            writer.close()
            async with aiohttp.ClientSession() as http:
                for query, headers in (
                    ("index=5", {}),
                    (f"index={10**17}", {}),
                    (f"index={view.revision}", {"Mastlift-Life": "of another"}),
                ):
                    url = f"http://{lists}/discovery/hosts?stream=1&{query}"
                    async with http.get(url, headers=headers, read_bufsize=1 << 21) as response:
                        assert DECODE_UPDATE(await response.content.readuntil(b"\n")).complete
                async with http.get(f"http://{lists}/discovery/hosts?stream=1&index=-1") as response:
                    assert response.status == 400

    run(test)


async def whole_list(lists: str) -> bytes:
    async with aiohttp.ClientSession() as http, http.get(f"http://{lists}/discovery/hosts") as response:
        return await response.read()


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("", "names no tier"),
        ('"a/b" = "127.0.0.1:1"', "is no tier's name"),
        ('front = "nowhere"', "discovery.tiers.front"),
        ('front = "127.0.0.1:5"\nback = "127.0.0.1:5"', "is taken by discovery.tiers.front"),
    ],
)
def test_invalid_list_settings_are_reported(tmp_path: Path, text: str, part: str) -> None:
    config = keeper_settings(tmp_path, "127.0.0.1:1")
    config.write_text(config.read_text() + f"[discovery]\n[discovery.tiers]\n{text}\n")
    output = mastlift("keeper", "run", "--config", config)
    assert output.returncode == 2 and part in output.stderr, output.stderr

"""The keeper as a process: HTTP calls, disk and process faults, invalid settings, and writers with external ledgers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from mastlift.keeper.client import KeeperClient, Refused
from mastlift.keeper.watch import follow
from mastlift.lab.addresses import free_address
from mastlift.lab.faulty import Fault, Faults
from mastlift.lab.kill import kill_run
from mastlift.lab.processes import ROOT, Child, keeper, keeper_settings


def run(test: Callable[[], Awaitable[None]], limit_s: float = 90.0) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test(), limit_s)

    asyncio.run(limited())


def mastlift(*arguments: object) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "mastlift", *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_a_keeper_killed_repeatedly_under_writes_retains_acknowledged_writes(tmp_path: Path) -> None:
    """Short form of `lab kill`; meanwhile a proxy must serve all requests."""

    async def test() -> None:
        verdict = await kill_run(tmp_path, kills=8, writers=16, seed=7)
        assert not verdict.broken
        assert verdict.kills == 8 and verdict.acknowledged > 100 and verdict.served == verdict.asked > 50

    run(test)


CALLS: list[tuple[str, str, Any, int, str]] = [
    ("PUT", "/v1/kv/a%2Fb%20c", b"1", 200, "version"),
    ("PUT", "/v1/kv/a%2Fb%20c?if_revision=0", b"2", 412, "stands"),
    ("GET", "/v1/kv/a%2Fb%20c", None, 200, "created"),
    ("GET", "/v1/kv/none", None, 404, "no_key"),
    ("PUT", "/v1/kv/k?if_revision=x", b"", 400, '"field":"if_revision"'),
    ("PUT", "/v1/kv/k?unknown=1", b"", 400, '"field":"unknown"'),
    ("PUT", "/v1/kv/%FF", b"", 400, '"field":"key"'),
    ("PUT", "/v1/kv/%07", b"", 400, '"field":"key"'),
    ("PUT", "/v1/kv/" + "k" * 600, b"", 413, '"field":"key"'),
    ("PUT", "/v1/kv/k", b"x" * 2001, 413, '"field":"value"'),
    ("PUT", "/v1/kv/k", b"x" * 3_000_000, 413, "too large"),
    ("PUT", "/v1/kv/k?lease=77", b"", 404, "no_lease"),
    ("POST", "/v1/leases", b'{"ttl_ms":1}', 400, '"field":"ttl_ms"'),
    ("POST", "/v1/leases", b"{}", 400, "ttl_ms"),
    ("POST", "/v1/leases/9/renew", b"", 404, "no_lease"),
    ("POST", "/v1/txn", b"nonsense", 400, '"field":"body"'),
    ("POST", "/v1/txn", b'{"than":[]}', 400, "than"),
    ("POST", "/v1/txn", b'{"then":[{"put":{"key":"k"}}]}', 400, '"field":"then[0].put"'),
    (
        "POST",
        "/v1/txn",
        b'{"compare":[{"key":"k","field":"version","number":0}],"then":[{"put":{"key":"k","value":"v"'
        b'}},{"get":{"key":"k"}}],"otherwise":[{"get":{"key":"k"}}]}',
        200,
        '"then":true',
    ),
    (
        "POST",
        "/v1/txn",
        b'{"compare":[{"key":"k","field":"value","test":"!=","value":"v"}],"then":[],"otherwise":'
        b'[{"delete":{"key":"k"}}]}',
        200,
        '"then":false',
    ),
    ("DELETE", "/v1/kv/k", None, 200, '"deleted":0'),
    ("GET", "/v1/kv?prefix=a", None, 200, "a/b c"),
    ("GET", "/v1/changes?after=900", None, 409, "ahead"),
    ("GET", "/v1/changes?after=-1", None, 400, "after"),
    ("POST", "/v1/reports/t/one", b'{"a":1}', 200, '"changed":0'),
    ("POST", "/v1/reports/t/one?key=a%2Fb%20c", b'{"a":2}', 200, '"changed":1'),
    ("GET", "/v1/reports/t", None, 200, '"name":"one"'),
    ("GET", "/v1/reports/t", None, 200, '"report":{"a":2}'),
    ("GET", "/v1/reports/other", None, 200, '"reports":[]'),
    ("POST", "/v1/reports/t/one", b"nonsense", 400, '"field":"body"'),
    ("POST", "/v1/reports/t/one", b"[]", 400, '"field":"body"'),
    ("POST", "/v1/reports/t/one", b" " * 5000, 413, '"field":"body"'),
    ("POST", "/v1/reports/t/one?kee=1", b"{}", 400, '"field":"kee"'),
    ("GET", "/nothing", None, 404, ""),
    ("GET", "/up", None, 200, "true"),
    ("GET", "/metrics", None, 200, "mastlift_"),
]


def test_each_call_has_the_specified_status_and_response(tmp_path: Path) -> None:
    async def test() -> None:
        listen, rng = free_address(), random.Random(5)
        config = keeper_settings(tmp_path, listen, limits={"value_bytes": 2000})
        async with keeper(config) as child, aiohttp.ClientSession() as http:

            async def call(method: str, path: str, body: bytes | None, **headers: str) -> tuple[int, str]:
                from yarl import URL

                async with http.request(
                    method, URL(f"http://{listen}{path}", encoded=True), data=body, headers=headers
                ) as response:
                    return response.status, await response.text()

            for method, path, body, status, part in CALLS:
                told = await call(method, path, body)
                assert told[0] == status and part in told[1], (method, path, told)
            for _ in range(60):  # random bytes must not cause an internal error
                status, _ = await call("POST", rng.choice(["/v1/txn", "/v1/leases"]), rng.randbytes(rng.randrange(90)))
                assert status == 400
            session = await call("POST", "/v1/sessions", b"")
            number = {"Mastlift-Session": session[1].split('"session":')[1].strip("}\n"), "Mastlift-Command": "1"}
            first = await call("PUT", "/v1/kv/once", b"1", **number)
            assert first[0] == 200 and await call("PUT", "/v1/kv/once", b"2", **number) == first
            assert (await call("PUT", "/v1/kv/once", b"2", **{**number, "Mastlift-Session": "5555"}))[0] == 410
            assert await child.end() == 0

    run(test)


def test_a_client_with_many_concurrent_writes_evicts_no_unread_result(tmp_path: Path) -> None:
    """A session stores a limited number of results: a retry of the oldest write must still find its own."""

    async def test() -> None:
        listen = free_address()
        async with keeper(keeper_settings(tmp_path, listen)), KeeperClient([listen], attempt_s=0.05) as client:
            told = await asyncio.gather(*(client.put(f"k{i}", b"") for i in range(1500)))
            assert {one["version"] for one in told} == {1} and client.calls >= 1501

    run(test)


def test_a_full_disk_a_slow_one_and_a_failed_sync(tmp_path: Path) -> None:
    async def test() -> None:
        listen, faults = free_address(), Faults(tmp_path / "faults")
        faults.folder.mkdir()
        config = keeper_settings(tmp_path, listen, limits={"waiting": 3})
        async with keeper(config, faults.folder) as child, KeeperClient([listen], deadline_s=2.0) as client:
            await client.put("before", b"1")
            lease = await client.grant(60_000)
            faults.set(Fault.FULL)
            await child.event("disk_full")
            for _ in range(3):
                with pytest.raises(Refused) as refused:
                    await client._call("PUT", "/v1/kv/late", b"2", retry=False)
                assert refused.value.status == 507
            assert (await client.get("before")) is not None and await client.get("late") is None
            faults.clear(Fault.FULL)
            await child.event("disk_has_room")
            assert (await client.put("late", b"3"))["version"] == 1
            await client.renew(lease)

            faults.set(Fault.SLOW, "300")
            tries = await asyncio.gather(
                *(client._call("PUT", f"/v1/kv/s{i}", b"", retry=False) for i in range(12)), return_exceptions=True
            )
            assert {t.status for t in tries if isinstance(t, Refused)} == {429}
            faults.clear(Fault.SLOW)

            faults.set(Fault.FSYNC)
            with pytest.raises(Exception, match="no keeper"):
                await client.put("lost", b"4")
            assert (await child.event("disk_failed"))["reason"].startswith("fsync")
            assert await child.process.wait() == 3
        async with keeper(config, faults.folder) as child, KeeperClient([listen]) as client:
            found = {entry["key"] for entry in (await client.ls())["entries"]}
            assert {"before", "late"} <= found <= {"before", "late", "lost", *(f"s{i}" for i in range(12))}
            assert (await client.put("after", b"5"))["version"] == 1
        assert mastlift("state", "check", tmp_path / "data").returncode == 0

    run(test)


def test_leases_restart_with_their_full_time_after_a_restart_and_after_a_pause(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        config = keeper_settings(tmp_path, listen)
        async with keeper(config) as child, KeeperClient([listen]) as client:
            lease, short = await client.grant(1500), await client.grant(300)
            await client.put("held", b"", lease=lease)
            await client.put("short", b"", lease=short)
            await child.event("lease_ended")
            assert await client.get("short") is None and await client.get("held")
            child.send(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            child.send(signal.SIGCONT)
            told = await client._call("GET", f"/v1/leases/{lease}")
            assert told["remaining_ms"] > 1000 and told["keys"] == ["held"]
            await child.end(signal.SIGKILL)
        await asyncio.sleep(2.0)
        async with keeper(config) as child, KeeperClient([listen]) as client:
            assert await client.get("held")
            assert (await child.event("lease_ended"))["keys"] == 1
            assert await client.get("held") is None
            assert await child.end() == 0

    run(test)


def test_a_watch_delivers_each_change_once_across_kills_and_compaction(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        config = keeper_settings(tmp_path, listen, history={"changes": 150}, snapshot={"entries": 60})
        seen: list[int] = []
        wholes = 0

        async def watch() -> None:
            nonlocal wholes
            async with KeeperClient([listen]) as client:
                async for told in follow(client, "n/", 0):
                    if told.whole:
                        wholes += 1
                        seen.extend(range(seen[-1] + 1 if seen else 1, 1 + max(int(c["value"]) for c in told.changes)))
                    else:
                        seen.extend(int(change["value"]) for change in told.changes)

        task, number = asyncio.create_task(watch()), 0
        for life in range(4):
            async with keeper(config) as child, KeeperClient([listen]) as client:
                for _ in range(30):
                    number += 1
                    await client.put(f"n/{number % 5}", b"%d" % number)
                    await client.put("other", b"")
                while seen[-1:] != [number]:
                    await asyncio.sleep(0.02)
                if life == 2:  # while the watch is closed, more changes occur than the history retains
                    task.cancel()
                    for _ in range(200):
                        number += 1
                        await client.put(f"n/{number % 5}", b"%d" % number)
                    with pytest.raises(Refused, match="compacted"):
                        async for _ in client.changes(1):
                            pass
                    with pytest.raises(Refused, match="ahead"):
                        async for _ in client.changes(10**6):
                            pass
                    task = asyncio.create_task(watch())
                    while seen[-1:] != [number]:
                        await asyncio.sleep(0.02)
                await child.end(signal.SIGKILL)
        task.cancel()
        assert wholes == 1 and sorted(set(seen)) == list(range(1, number + 1))
        assert seen == sorted(seen)

    run(test)


def test_sigterm_ends_the_keeper_and_a_backup_of_a_running_keeper_is_of_one_revision(tmp_path: Path) -> None:
    async def test() -> None:
        listen, acknowledged = free_address(), [0] * 8
        config = keeper_settings(tmp_path, listen, snapshot={"entries": 100}, log={"segment_mb": 1})
        async with keeper(config) as child, KeeperClient([listen], deadline_s=2.0) as client:

            async def writer(i: int) -> None:
                while True:
                    value = str(acknowledged[i] + 1)
                    await client.txn([], [{"put": {"key": f"{side}/{i}", "value": value}} for side in ("l", "r")])
                    acknowledged[i] += 1

            writers = [asyncio.create_task(writer(i)) for i in range(8)]
            await asyncio.sleep(0.5)
            floor = list(acknowledged)
            done = await asyncio.to_thread(mastlift, "state", "backup", tmp_path / "data", "--to", tmp_path / "b")
            assert done.returncode == 0, done.stderr
            await anext(client.changes(prefix="none"))  # leaves a watch open
            assert await child.end() == 0  # without SIGKILL, which `end` sends after 5 s
            for task in writers:
                task.cancel()
        restored = keeper_settings(tmp_path / "again", free_address())
        assert (
            mastlift("state", "restore", tmp_path / "again/data", "--from", tmp_path / "b", "--name", "a").returncode
            == 0
        )
        again = mastlift("state", "restore", tmp_path / "again/data", "--from", tmp_path / "b", "--name", "a")
        assert again.returncode == 2 and "not empty" in again.stderr
        for settings, least in ((config, acknowledged), (restored, floor)):
            address = settings.read_text().split('listen = "')[1].split('"')[0]
            async with keeper(settings), KeeperClient([address]) as client:
                found = {
                    entry["key"]: int(entry["value"])
                    for entry in (await client.ls())["entries"]
                    if not entry["key"].startswith("mastlift/")
                }
                for i in range(8):
                    assert found[f"l/{i}"] == found[f"r/{i}"] >= least[i]

    run(test)


def _bytes_in(folder: Path) -> int:
    """Total size of the files in the folder; files may disappear while it is read."""
    total = 0
    for file in folder.iterdir():
        with contextlib.suppress(FileNotFoundError):
            total += file.stat().st_size
    return total


def test_disk_usage_is_bounded_under_continuous_overwriting(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        config = keeper_settings(tmp_path, listen, snapshot={"entries": 300}, log={"segment_mb": 1})
        largest = 0
        async with keeper(config) as child, KeeperClient([listen]) as client:
            for burst in range(60):
                await asyncio.gather(*(client.put(f"k{i}", b"x" * 4000) for i in range(100)))
                if burst % 5 == 4:  # after the due snapshot, whose duration depends on the machine
                    while (now := await client.status())["index"] - max(now["snapshots"], default=0) > 400:
                        await asyncio.sleep(0.02)
                    largest = max(largest, _bytes_in(tmp_path / "data"))
            status = await client.status()
            assert len(status["snapshots"]) == 2
            assert await child.end() == 0
        written = 60 * 100 * 4000
        assert largest < written / 2  # two snapshots of 0.4 MB, and the log since the older one

    run(test)


BAD = {
    "unknown key": ("[keeper]\nnome = 'a'", "keeper: Object contains unknown field `nome`"),
    "wrong type": ("[keeper]\nname = 'a'\nlisten = 7\ndata = '.'", "keeper.listen: Expected `str`, got `int`"),
    "missing key": ("[keeper]\nname = 'a'", "missing required field"),
    "no TOML": ("[keeper", "it is no TOML"),
    "too small": ("[keeper]\nname='a'\nlisten='127.0.0.1:0'\ndata='.'\n[limits]\nwaiting=0", "limits.waiting"),
    "no address": ("[keeper]\nname = 'a'\nlisten = 'here'\ndata = '.'", "'here' is no address like 127.0.0.1"),
    "no folder": ("[keeper]\nname = 'a'\nlisten = '127.0.0.1:0'\ndata = 'gone'", "does not exist; make it first"),
    "a file": ("[keeper]\nname = 'a'\nlisten = '127.0.0.1:0'\ndata = 'k.toml'", "is no folder"),
    "other files": ("[keeper]\nname = 'a'\nlisten = '127.0.0.1:0'\ndata = '.'", "holds other files"),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_settings_are_one_line_and_exit_code_2(name: str, tmp_path: Path) -> None:
    (tmp_path / "k.toml").write_text(BAD[name][0])
    result = mastlift("keeper", "run", "--config", tmp_path / "k.toml")
    assert result.returncode == 2 and BAD[name][1] in result.stderr and result.stderr.count("\n") == 1


def test_a_locked_folder_a_used_address_another_name_and_damage_give_one_line_errors(tmp_path: Path) -> None:
    async def test() -> None:
        listen = free_address()
        config = keeper_settings(tmp_path, listen)

        async def refused(path: Path, code: int, part: str) -> None:
            result = await asyncio.to_thread(mastlift, "keeper", "run", "--config", path)
            last = result.stderr.splitlines()[-1]
            assert result.returncode == code and part in last and "Traceback" not in result.stderr, result.stderr

        async with keeper(config) as child:
            await refused(config, 2, f"in use by process {child.process.pid}")
            await refused(keeper_settings(tmp_path / "other", listen), 2, "keeper.listen")
            put = await asyncio.to_thread(mastlift, "kv", "put", "k", "v", "--keepers", listen)
            assert put.returncode == 0 and "revision 1" in put.stdout
            got = await asyncio.to_thread(mastlift, "kv", "get", "k", "--keepers", listen)
            assert (got.returncode, got.stdout) == (0, "v")
            gone = await asyncio.to_thread(mastlift, "kv", "rm", "none", "--keepers", listen)
            assert gone.returncode == 1 and "no key none" in gone.stderr
            assert await child.end() == 0
        down = await asyncio.to_thread(mastlift, "kv", "get", "k", "--keepers", listen, "--within", 0.3)
        assert down.returncode == 1 and "no keeper" in down.stderr
        await refused(keeper_settings(tmp_path, listen, "b"), 2, "belongs to the keeper 'a'")
        log = next((tmp_path / "data").glob("log-*"))
        data = bytearray(log.read_bytes())
        data[600] ^= 1
        log.write_bytes(data)
        await refused(keeper_settings(tmp_path, listen), 3, f"{log.name} at byte 512")
        check = mastlift("state", "check", tmp_path / "data")
        assert check.returncode == 1 and f"{log.name} at byte 512" in check.stdout and log.read_bytes() == data

    run(test)


def test_a_child_process_ends_with_its_context(tmp_path: Path) -> None:
    async def test() -> None:
        children: list[Child] = []
        with pytest.raises(RuntimeError):
            async with keeper(keeper_settings(tmp_path, free_address())) as child:
                children.append(child)
                raise RuntimeError
        assert children[0].process.returncode == -signal.SIGKILL

    run(test)

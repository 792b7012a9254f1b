"""The proxy as a process: configuration errors, start, SIGTERM and SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from mastlift.lab.addresses import free_port
from proxy import without_tls
from tests.rig import LANES, Caller, FakeServer, make_config, member, run, started

ROOT = Path(__file__).parent.parent


async def launch(config: str | None, folder: Path) -> asyncio.subprocess.Process:
    environment = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    if config is not None:
        path = folder / "config.json"
        path.write_text(config)
        environment["NODE_CONFIG"] = str(path)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "proxy", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    started.append(process.pid)
    return process


async def until_serving(process: asyncio.subprocess.Process) -> None:
    assert process.stderr is not None
    while line := await process.stderr.readline():
        if b"serves on" in line:
            return
    raise AssertionError("the program ended")


BROKEN = {
    "no variable": None,
    "no JSON": "{",
    "no settings": "{}",
    "a bad address": json.dumps(make_config("here", "127.0.0.1:1")),
    "an unknown effect": json.dumps(make_config("127.0.0.1:1", "127.0.0.1:1")).replace("fragile", "brittle"),
    "a senseless setting": json.dumps(make_config("127.0.0.1:1", "127.0.0.1:1", position=9)),
}


@pytest.mark.parametrize("name", BROKEN)
def test_bad_configuration_prints_one_line_and_fails(name: str, tmp_path: Path) -> None:
    async def test() -> None:
        process = await launch(BROKEN[name], tmp_path)
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"proxy: bad configuration: ")
        assert errors.count(b"\n") == 1

    run(test)


def test_sigterm_keeps_serving_briefly_answers_all_and_exits_0(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        port = free_port()
        process = await launch(
            json.dumps(make_config(f"127.0.0.1:{port}", "127.0.0.1:1", member("s1", backend.address), group_size=1)),
            tmp_path,
        )
        await until_serving(process)

        async def connect() -> Caller:
            return Caller(*await asyncio.open_connection("127.0.0.1", port))

        held, idle = await connect(), await connect()
        idle.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await idle.answer()).status == 200
        held.ask()
        call = await backend.next()
        process.send_signal(signal.SIGTERM)
        late = await connect()  # clients still connect shortly after SIGTERM
        late.ask()
        (await backend.next()).reply(200, b"late")
        assert (await late.answer()).body == b"late"
        assert await idle.ended()
        assert process.returncode is None
        call.reply(200, b"held")
        answer = await held.answer()
        assert (answer.body, answer.headers["connection"]) == (b"held", "close")
        assert await held.ended()
        assert await process.wait() == 0

    run(test)


def test_open_requests_fail_before_sigkill_and_incomplete_ones_do_not_delay_the_exit(tmp_path: Path) -> None:
    """All requests are answered before SIGKILL, which follows SIGTERM after 0.9 s if the longest deadline is 0.2 s."""

    async def test() -> None:
        backend = await FakeServer().start()
        port = free_port()
        config = make_config(f"127.0.0.1:{port}", "127.0.0.1:1", member("s1", backend.address), group_size=1)
        config["settings"]["lanes"] = [{**lane, "aim_ms": 200.0, "deadline_ms": 200.0} for lane in LANES]
        process = await launch(json.dumps(config), tmp_path)
        await until_serving(process)
        held = Caller(*await asyncio.open_connection("127.0.0.1", port))
        half = Caller(*await asyncio.open_connection("127.0.0.1", port))
        held.ask("pay", left="60.0")
        call = await backend.next()
        half.writer.write(b"GET /read/1 HTTP/1.1\r\nX-Trace")
        process.send_signal(signal.SIGTERM)
        assert (await held.answer()).status == 502
        await call.closed()
        assert await process.wait() == 0

    run(test)


def test_sighup_applies_the_discovery_address_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = await FakeServer().start(), await FakeServer().start()
        listen = f"127.0.0.1:{free_port()}"
        process = await launch(json.dumps(make_config(listen, old.address)), tmp_path)
        await until_serving(process)
        (await old.next()).open_stream()
        assert process.stderr is not None
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        while b"kept as it was" not in await process.stderr.readline():
            assert process.returncode is None
        (tmp_path / "config.json").write_text(json.dumps(make_config(listen, new.address)))
        process.send_signal(signal.SIGHUP)
        assert b"index=41" in (await new.next()).message.start
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test)


def test_a_proxy_does_not_load_openssl(tmp_path: Path) -> None:
    async def test() -> None:
        process = await launch(json.dumps(make_config(f"127.0.0.1:{free_port()}", "127.0.0.1:1")), tmp_path)
        await until_serving(process)
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "uvloop" in maps
        assert "libssl" not in maps
        assert "libcrypto" not in maps
        process.terminate()
        await process.wait()

    run(test)


def test_the_stand_in_for_tls_leaves_a_loaded_module_alone() -> None:
    import ssl

    before = sys.modules["ssl"], sys.modules.get("_hashlib")
    without_tls.install()
    assert (sys.modules["ssl"], sys.modules.get("_hashlib")) == before
    assert ssl.SSLContext.__module__ == "ssl"
    with pytest.raises(RuntimeError):
        without_tls.create_default_context()

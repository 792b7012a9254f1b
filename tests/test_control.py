"""The admin endpoint and the effects of its calls on clients."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from unittest import mock

import pytest

from mastlift.lab.addresses import free_port
from proxy import control
from proxy.__main__ import Evacuation
from proxy.control import AdminEndpoint, Configuration, admin_calls, settings_digest
from proxy.lifecycle import LifeCycle, Phase
from tests.rig import Caller, FakeServer, Message, Rig, make_config, member, run, started
from tests.test_process import ROOT, until_serving

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


async def open_endpoint(life: LifeCycle) -> AdminEndpoint:
    endpoint = AdminEndpoint(asyncio.get_running_loop(), admin_calls(life))
    await endpoint.listen("127.0.0.1", 0)
    return endpoint


async def call(endpoint: AdminEndpoint | tuple[str, int], start: str, *lines: str, body: bytes = b"") -> Message:
    address = endpoint.address() if isinstance(endpoint, AdminEndpoint) else endpoint
    reader, writer = await asyncio.open_connection(*address)
    writer.write("\r\n".join([f"{start} HTTP/1.1", "Host: x", *lines, "", ""]).encode() + body)
    answer = await Message.read(reader)
    assert await reader.read() == b""  # the endpoint serves one call per connection
    writer.close()
    return answer


def test_admin_calls_share_one_state_and_are_idempotent() -> None:
    async def test() -> None:
        life = LifeCycle()
        endpoint = await open_endpoint(life)

        async def status(start: str) -> int:
            return (await call(endpoint, start)).status

        assert await status("GET /api/ready") == 503
        life.mark_ready()
        assert await status("GET /api/ready") == 200
        for _ in range(2):
            assert await status("POST /api/evacuate") == 200
            assert (str(life.phase.value), life.is_up()) == ("evacuating", False)
            assert await status("GET /api/ready") == 503
        for _ in range(2):
            assert await status("POST /api/rejoin") == 200
            assert (str(life.phase.value), life.is_up()) == ("serving", True)
        await status("POST /api/evacuate")
        life.leave()
        assert await status("POST /api/evacuate") == 200
        assert await status("POST /api/rejoin") == 409
        assert (str(life.phase.value), life.is_up()) == ("leaving", False)

    run(test)


def test_rejoin_returns_to_serving_only_if_the_proxy_can_serve() -> None:
    life = LifeCycle()
    seen: list[Phase] = []
    life.add_listener(seen.append)
    life.evacuate()
    life.mark_ready()
    life.rejoin()
    assert seen == [Phase.STARTING, Phase.EVACUATING, Phase.SERVING]
    other = LifeCycle()
    other.evacuate()
    other.rejoin()
    assert (other.phase, other.is_up()) == (Phase.STARTING, False)


@pytest.mark.parametrize(
    ("start", "lines", "body", "status"),
    [
        ("GET /api/nothing", (), b"", 404),
        ("POST /api/ready", ("Content-Length: 0",), b"", 405),
        ("GET /api/evacuate", (), b"", 405),
        ("GET", (), b"", 400),
        ("POST /api/evacuate", ("Content-Length: 1", "Content-Length: 2"), b"x", 400),
        ("POST /api/evacuate", ("Content-Length: 100000",), b"x" * 100_000, 413),
        ("GET /api/ready", ("X-Much: " + "x" * 40_000,), b"", 413),
    ],
)
def test_invalid_call_is_refused_and_changes_nothing(
    start: str, lines: tuple[str, ...], body: bytes, status: int
) -> None:
    async def test() -> None:
        life = LifeCycle()
        life.mark_ready()
        endpoint = await open_endpoint(life)
        assert (await call(endpoint, start, *lines, body=body)).status == status
        assert life.phase is Phase.SERVING

    run(test)


def test_call_received_in_fragments_is_parsed_as_one() -> None:
    async def test() -> None:
        life = LifeCycle()
        life.mark_ready()
        endpoint = await open_endpoint(life)
        reader, writer = await asyncio.open_connection(*endpoint.address())
        for byte in b"POST /api/evacuate HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}":
            assert life.phase is Phase.SERVING
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert (await Message.read(reader)).status == 200
        assert life.phase is Phase.EVACUATING

    run(test)


def test_stalled_admin_connections_do_not_block_new_calls() -> None:
    async def test() -> None:
        life = LifeCycle()
        life.mark_ready()
        endpoint = await open_endpoint(life)
        holding = []
        for number in range(2 * control.MAX_OPEN):
            holding.append(await asyncio.open_connection(*endpoint.address()))
            holding[-1][1].write(b"" if number % 2 else b"POST /api/evac")
        for _ in range(3):
            assert (await call(endpoint, "GET /api/ready")).status == 200
        assert len(endpoint._connections) <= control.MAX_OPEN

    run(test)


def test_incomplete_admin_call_times_out() -> None:
    async def test() -> None:
        with mock.patch("proxy.control.CALL_TIMEOUT_S", 0.05):
            endpoint = await open_endpoint(LifeCycle())
            reader, writer = await asyncio.open_connection(*endpoint.address())
            writer.write(b"GET /api/re")
            assert (await Message.read(reader)).status == 408
            silent, _ = await asyncio.open_connection(*endpoint.address())
            assert await silent.read() == b""

    run(test)


def test_evacuation_closes_connections_and_still_serves_new_ones() -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        rig = await Rig().start(member("s1", backend.address))
        with mock.patch("proxy.__main__.FIRST_REQUEST_GRACE_S", 0.2):
            Evacuation(asyncio.get_running_loop(), rig.front, rig.life)
            idle, busy, new = await rig.caller(), await rig.caller(), await rig.caller()
            idle.writer.write(UP)
            assert (await idle.answer()).status == 200
            busy.ask()
            held = await backend.next()
            rig.life.evacuate()
            assert await idle.ended()
            held.reply(200, b"held")
            answer = await busy.answer()
            assert (answer.body, answer.headers["connection"]) == (b"held", "close")
            new.ask()
            (await backend.next()).reply(200, b"served")
            answer = await new.answer()
            assert (answer.body, answer.headers["connection"]) == (b"served", "close")
            late = await rig.caller()
            late.writer.write(UP)
            assert (await late.answer()).status == 503
            assert await (await rig.caller()).ended()  # connected without sending a request
            rig.life.rejoin()
            back = await rig.caller()
            for _ in range(2):
                back.writer.write(UP)
                answer = await back.answer()
                assert (answer.status, "connection" in answer.headers) == (200, False)

    run(test)


def test_no_admin_endpoint_without_a_control_address() -> None:
    config = make_config("127.0.0.1:1", "127.0.0.1:1")
    from proxy.config import read_config

    assert read_config(config, {}).control is None
    assert read_config(config, {"NODE_CONTROL": "127.0.0.1:7"}).control == ("127.0.0.1", 7)
    assert read_config({**config, "control": "127.0.0.1:8"}, {}).control == ("127.0.0.1", 8)


async def launch(
    config: dict[str, object],
    folder: Path,
    *fds: int,
    **variables: str,
) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    environment = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "proxy",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        pass_fds=fds,
        env={**environment, "NODE_CONFIG": str(path), **variables},
    )
    started.append(process.pid)
    return process


def test_a_control_address_that_is_malformed_or_taken_ends_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            for control_at in ("nowhere", f"127.0.0.1:{taken.getsockname()[1]}"):
                config = make_config(f"127.0.0.1:{free_port()}", "127.0.0.1:1")
                process = await launch({**config, "control": control_at}, tmp_path)
                _, errors = await process.communicate()
                assert process.returncode in (1, 2)
                assert errors.splitlines()[-1].startswith(b"proxy: ")
                assert b"Traceback" not in errors

    run(test)


@pytest.mark.parametrize("value", ["seven", "-1", "99999", "99999999999999999999", "pipe", "plain"])
def test_a_descriptor_that_is_no_listening_tcp_socket_ends_the_start(value: str, tmp_path: Path) -> None:
    async def test() -> None:
        read_end, write_end = os.pipe()
        with socket.socket() as plain:
            number = {"pipe": str(read_end), "plain": str(plain.fileno())}.get(value, value)
            process = await launch(
                make_config(f"127.0.0.1:{free_port()}", "127.0.0.1:1"),
                tmp_path,
                read_end,
                plain.fileno(),
                NODE_INHERITED_FD=number,
            )
            _, errors = await process.communicate()
        os.close(read_end)
        os.close(write_end)
        assert process.returncode == 2
        assert errors.splitlines()[-1].startswith(b"proxy: bad configuration: NODE_INHERITED_FD")
        assert b"Traceback" not in errors

    run(test)


def test_two_processes_take_clients_from_one_listener_and_the_old_leaves_it_open(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await FakeServer().start()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            address = listener.getsockname()
            processes, control_addresses = [], []
            for _ in range(2):
                control_addresses.append(("127.0.0.1", free_port()))
                config = make_config(
                    "{}:{}".format(*address), "127.0.0.1:1", member("s1", backend.address), group_size=1
                )
                processes.append(
                    await launch(
                        {**config, "control": "{}:{}".format(*control_addresses[-1])},
                        tmp_path,
                        listener.fileno(),
                        NODE_INHERITED_FD=str(listener.fileno()),
                    )
                )
                await until_serving(processes[-1])
                assert (await call(control_addresses[-1], "GET /api/ready")).status == 200
            old, new = processes
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            for _ in range(3):
                caller = Caller(*await asyncio.open_connection(*address))
                caller.ask()
                (await backend.next()).reply(200, b"new")
                assert (await caller.answer()).body == b"new"
            assert (await call(control_addresses[1], "GET /api/ready")).status == 200
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0

    run(test)


def test_a_digest_is_of_the_settings_whatever_their_order_and_without_the_list() -> None:
    one = {"settings": {"a": 1, "b": 2.5}, "seed": 3, "known": {"revision": 1}}
    assert settings_digest(one) == settings_digest({"seed": 3, "settings": {"b": 2.5, "a": 1}})
    assert settings_digest(one) != settings_digest({"seed": 3, "settings": {"b": 2.5, "a": 2}})


def test_the_admin_endpoint_shows_the_settings_in_force_and_why_others_were_refused(tmp_path: Path) -> None:
    async def test() -> None:
        control_at = ("127.0.0.1", free_port())
        config = {
            **make_config(f"127.0.0.1:{free_port()}", "127.0.0.1:1"),
            "control": "{}:{}".format(*control_at),
            "version": {"number": 1},
        }
        process = await launch(config, tmp_path)
        await until_serving(process)

        async def shown() -> dict[str, object]:
            answer = await call(control_at, "GET /api/configuration")
            assert answer.status == 200
            return dict(json.loads(answer.body))

        async def after(reloads: int) -> dict[str, object]:
            while (now := await shown())["reloads"] != reloads:
                await asyncio.sleep(0.01)
            return now

        assert await shown() == {
            "pid": process.pid,
            "digest": settings_digest(config),
            "version": {"number": 1},
            "reloads": 0,
            "refused": None,
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**config, "seed": "nonsense"}))
        process.send_signal(signal.SIGHUP)
        refused = await after(1)
        assert (refused["digest"], refused["version"]) == (settings_digest(config), {"number": 1})
        assert str(path) in str(refused["refused"])
        newer = {**config, "version": {"number": 2}}
        path.write_text(json.dumps(newer))
        process.send_signal(signal.SIGHUP)
        assert await after(2) == {
            "pid": process.pid,
            "digest": settings_digest(newer),
            "version": {"number": 2},
            "reloads": 2,
            "refused": None,
        }
        assert (await call(control_at, "POST /api/configuration", "Content-Length: 0")).status == 405

    run(test)


def test_a_file_without_a_version_shows_none() -> None:
    assert json.loads(Configuration.of({"seed": 1}).text())["version"] is None

"""Descriptor limits: a burst of clients leaves the descriptors for discovery, servers, admin calls and logs free."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
from pathlib import Path
from unittest import mock

import pytest

from mastlift.lab.addresses import free_port
from proxy import frontend
from proxy.descriptors import Descriptors
from tests.rig import Caller, FakeServer, Rig, make_config, member, run
from tests.test_frontend import head
from tests.test_process import launch, until_serving

SOCKETS = 100
UP = head("GET /up HTTP/1.1", "Host: x")
BURSTS = {
    "silent": b"",
    "stopped in a head": b"GET /read/1 HTTP/1.1\r\nX-Tr",
    "asked once": UP,
    "bad": b"nonsense\r\n\r\n" + b"x" * 5000,
}


async def serve(backend: FakeServer) -> None:
    while True:
        (await backend.next()).reply(200, b"x")


@pytest.mark.parametrize("burst", BURSTS)
def test_connection_burst_fills_descriptors_while_discovery_is_down(burst: str, tmp_path: Path) -> None:
    async def test() -> None:
        backend, port, at, admin_port = await FakeServer().start(), free_port(), free_port(), free_port()
        config = make_config(
            f"127.0.0.1:{port}", f"127.0.0.1:{at}", member("s1", backend.address), sockets=SOCKETS, group_size=1
        )
        process = await launch(json.dumps({**config, "control": f"127.0.0.1:{admin_port}"}), tmp_path)
        await until_serving(process)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        clients = []
        for _ in range(3 * SOCKETS):
            client = socket.create_connection(("127.0.0.1", port))
            client.setblocking(False)
            with contextlib.suppress(OSError):  # already closed in favour of a newer connection
                client.send(BURSTS[burst])
            clients.append(client)
        await asyncio.sleep(0.05)
        held = len(os.listdir(f"/proc/{process.pid}/fd"))
        assert SOCKETS // 2 < held < SOCKETS  # the clients' full share, without the reserved descriptors
        operator = Caller(*await asyncio.open_connection("127.0.0.1", admin_port))
        operator.writer.write(head("GET /api/ready HTTP/1.1", "Host: x"))
        assert (await operator.answer()).status == 200
        discovery = await FakeServer().start(at)
        call = await discovery.next()  # the watch that the proxy opens after the outage
        call.open_stream()
        call.send_list(50, False)
        serving = asyncio.create_task(serve(backend))
        status = 503
        while status == 503:  # retry while refused: stalled heads block places for a second
            good = Caller(*await asyncio.open_connection("127.0.0.1", port))
            good.ask()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status = (await good.answer()).status
        assert status == 200
        serving.cancel()
        process.terminate()
        for client in clients:
            client.close()
        assert process.stderr is not None
        errors = (await process.stderr.read()).decode()
        assert await process.wait() == 0
        assert "Traceback" not in errors
        assert errors.count("\n") < 50

    run(test)


def test_without_a_descriptor_accepting_pauses_and_goes_on() -> None:
    """accept() fails at the system's limit on descriptors: the listener neither spins nor stops."""

    async def test() -> None:
        rig = await Rig().start()
        assert rig.front._listener is not None
        tries = 0

        class Exhausted:
            def __init__(self, real: socket.socket) -> None:
                self.real = real

            def accept(self) -> tuple[socket.socket, object]:
                nonlocal tries
                tries += 1
                if tries <= 3:
                    raise OSError(24, "Too many open files")
                return self.real.accept()

            def fileno(self) -> int:
                return self.real.fileno()

            def getsockname(self) -> tuple[str, int]:
                host, port = self.real.getsockname()
                return host, port

        with (
            mock.patch("proxy.listener.ACCEPT_RETRY_S", 0.02),
            mock.patch.object(rig.front._listener, "socket", Exhausted(rig.front._listener.socket)),
        ):
            caller = Caller(*await asyncio.open_connection(*rig.front.address()))
            caller.writer.write(UP)
            assert (await caller.answer()).status == 503
        assert tries <= 6

    run(test)


def test_simultaneous_connections_stay_within_the_descriptor_limit() -> None:
    """All connections are in the listen backlog before the event loop runs once."""

    async def test() -> None:
        rig = await Rig().start(sockets=Descriptors.RESERVE + 10)
        most = 0
        opened = rig.front.opened
        clients = [socket.create_connection(rig.front.address()) for _ in range(200)]
        before = len(os.listdir("/proc/self/fd"))

        def watched(connection: frontend.ClientConnection) -> None:
            nonlocal most
            most = max(most, len(os.listdir("/proc/self/fd")) - before)
            opened(connection)

        with mock.patch.object(rig.front, "opened", watched):
            for client in clients:
                client.send(BURSTS["stopped in a head"])
            assert rig.front._listener is not None
            while rig.front._listener.has_pending():
                await asyncio.sleep(0)
        assert 10 < most <= 10 + Descriptors.REFUSED_CLIENTS + 4  # a few are just closing
        for client in clients:
            client.close()

    run(test)


def test_lingering_connection_is_closed_for_a_new_one() -> None:
    """Clients that stay after malformed input: each has its error, and would linger for a second."""

    async def test() -> None:
        rig = await Rig().start(sockets=Descriptors.RESERVE + 4)
        with mock.patch.object(frontend, "MIN_LINGER_S", 0.0):
            for _ in range(30):
                bad = await rig.caller()
                bad.writer.write(b"nonsense\r\n\r\n")
                assert (await bad.answer()).status == 400
                good = await rig.caller()
                good.writer.write(UP)
                assert (await good.answer()).status == 503
                assert rig.descriptors.used <= 4
                good.writer.close()

    run(test)

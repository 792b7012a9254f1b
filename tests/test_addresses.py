"""Addresses for processes of the tests: never the same twice, and none that a client's socket could take."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from mastlift.lab.addresses import (
    EPHEMERAL_RANGE,
    FEWEST_PORTS,
    LOOPBACK,
    LOWEST_PORT,
    NoFreePort,
    PortDraw,
    free_addresses,
    free_ports,
    port_range,
)
from mastlift.lab.processes import started
from tests.rig import run

FLEETS, MEMBERS = 2_000, 9


def test_no_port_is_drawn_twice() -> None:
    """Nine addresses drawn one by one held a port twice in 23 of 8,888 draws: a fleet then failed to start."""
    draw = PortDraw(range(LOWEST_PORT, LOWEST_PORT + 2 * FLEETS * MEMBERS))
    drawn = [port for _ in range(FLEETS) for port in draw.draw(MEMBERS)]
    assert len(set(drawn)) == FLEETS * MEMBERS


def test_ports_of_single_draws_differ_from_those_drawn_together() -> None:
    drawn = [port for _ in range(20) for port in (*free_ports(1), *free_ports(MEMBERS))]
    drawn += [int(address.rpartition(":")[2]) for address in free_addresses(MEMBERS)]
    assert len(set(drawn)) == len(drawn)


def test_no_port_is_one_that_the_system_gives_to_clients() -> None:
    start = int(EPHEMERAL_RANGE.read_text().split()[0])
    if start - LOWEST_PORT >= FEWEST_PORTS:
        assert port_range() == range(LOWEST_PORT, start)
    assert set(free_ports(100)) <= set(port_range())


def test_a_port_in_use_is_left_out() -> None:
    with socket.socket() as taken:
        taken.bind((LOOPBACK, 0))
        port = int(taken.getsockname()[1])
        draw = PortDraw(range(port - 3, port + 4))
        with pytest.raises(NoFreePort):
            draw.draw(7)


def test_a_range_without_free_ports_is_named() -> None:
    draw = PortDraw(range(0))
    with pytest.raises(NoFreePort, match="were drawn before"):
        draw.draw(1)


def test_a_process_whose_port_was_taken_says_so(tmp_path: Path) -> None:
    async def test() -> None:
        program = tmp_path / "listen.py"
        program.write_text(
            "import socket, sys\n"
            "socket.socket().bind(('127.0.0.1', int(sys.argv[1])))\n"
            "print('listening', file=sys.stderr)\n"
        )
        with socket.socket() as taken:
            taken.bind((LOOPBACK, 0))
            async with started(str(program), str(taken.getsockname()[1])) as child:
                with pytest.raises(AssertionError, match="another process took its address after it was drawn"):
                    await child.line("listening")

    run(test)


def test_a_process_that_ends_for_another_reason_does_not_blame_its_address(tmp_path: Path) -> None:
    async def test() -> None:
        program = tmp_path / "fail.py"
        program.write_text("raise ValueError('no')")
        async with started(str(program)) as child:
            with pytest.raises(AssertionError, match=r"^ended before 'listening'"):
                await child.line("listening")

    run(test)

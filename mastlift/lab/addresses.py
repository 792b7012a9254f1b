"""Loopback addresses for processes that are told where to listen before they start.

A port is drawn at most once in this process, so the addresses of one fleet never repeat. Ports are taken from below the
range that the system gives to clients' sockets: otherwise a connection of the test could take a port between its draw
and the start of its process. Another process can still do so; that shows as `address already in use` at the start.
"""

from __future__ import annotations

import random
import socket
from contextlib import ExitStack, suppress
from pathlib import Path

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 10_000  # below it are ports of well-known services
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
HIGHEST_PORT = 65_535
FEWEST_PORTS = 5_000  # with fewer below the system's range, ports come from there too


class NoFreePort(Exception):
    """All ports of the range are taken or were drawn before."""


class PortDraw:
    """Draws free ports, each at most once."""

    def __init__(self, ports: range) -> None:
        self._left = list(ports)
        # Seeded by the system: two test runs side by side must not draw the same ports.
        random.Random().shuffle(self._left)

    def draw(self, count: int) -> list[int]:
        """Ports that were free a moment ago, all bound at the same time. Raises NoFreePort."""
        ports: list[int] = []
        with ExitStack() as bound:
            while len(ports) < count:
                if not self._left:
                    raise NoFreePort("all ports of the range are in use or were drawn before")
                port = self._left.pop()
                probe = bound.enter_context(socket.socket())
                with suppress(OSError):  # in use by another process
                    probe.bind((LOOPBACK, port))
                    ports.append(port)
        return ports


def port_range() -> range:
    """The ports to draw from: those below the system's range for clients, if they are enough."""
    try:
        end = int(EPHEMERAL_RANGE.read_text(encoding="ascii").split()[0])
    except (OSError, ValueError, IndexError):
        end = 0  # the system does not tell
    return range(LOWEST_PORT, end if end - LOWEST_PORT >= FEWEST_PORTS else HIGHEST_PORT + 1)


_draw = PortDraw(port_range())


def free_ports(count: int) -> list[int]:
    """Ports on loopback that were free a moment ago and were not drawn before in this process."""
    return _draw.draw(count)


def free_port() -> int:
    """One port; see `free_ports`."""
    return free_ports(1)[0]


def free_addresses(count: int) -> list[str]:
    """Addresses on loopback, as `free_ports`."""
    return [f"{LOOPBACK}:{port}" for port in free_ports(count)]


def free_address() -> str:
    """One address; see `free_ports`."""
    return free_addresses(1)[0]

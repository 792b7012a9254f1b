"""Turns of connections whose data are not parsed at once, so that the event loop is never kept for long."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

TURN_S = 0.01  # of a turn of the event loop; what then waits is parsed in the next ones


class Parsing(Protocol):
    """A connection with data that are not parsed yet."""

    def parse_more(self) -> None:
        """Parses a small part of them; the connection adds itself again if more is left."""
        ...


class ParseQueue:
    """Parses a part of each connection's data in turn; between two turns of the loop, small requests are read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[Parsing] = deque()
        self._is_scheduled = False

    def is_empty(self) -> bool:
        return not self._waiting

    def add(self, connection: Parsing) -> None:
        """Gives the connection a turn, after those that wait already."""
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        until = time.monotonic() + TURN_S
        for _ in range(len(self._waiting)):
            self._waiting.popleft().parse_more()
            if time.monotonic() >= until:
                break
        self._schedule()

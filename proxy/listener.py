"""The listening socket for clients."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Callable
from typing import cast

log = logging.getLogger(__name__)

ACCEPT_RETRY_S = 0.05  # pause after accept() failed, e.g. for lack of descriptors; closed connections free some


class Listener:
    """Accepts connections in small batches.

    So a burst never exceeds the clients' share of descriptors, even briefly, and those reserved for discovery, servers
    and the admin endpoint stay free. After a failed accept() it pauses for ACCEPT_RETRY_S instead of spinning.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listening: socket.socket,
        connect: Callable[[], asyncio.BaseProtocol],
        has_room_for: Callable[[int], bool],
    ) -> None:
        """`connect` makes the protocol of a new connection; `has_room_for` says whether so many more may be open."""
        self.socket = listening
        self._loop = loop
        self._connect = connect
        self._has_room_for = has_room_for
        self._pending_setups: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        listening.setblocking(False)
        loop.add_reader(listening.fileno(), self._accept)

    def _accept(self) -> None:
        """Accepts at least one connection: without a free place it is closed at once and not left in the backlog."""
        while not self._pending_setups or self._has_room_for(len(self._pending_setups) + 1):
            try:
                connected, _ = self.socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as problem:
                log.warning("accepting connections paused for %.2f s: %s", ACCEPT_RETRY_S, problem)
                self._loop.remove_reader(self.socket.fileno())
                self._retry_timer = self._loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)
                return
            task = self._loop.create_task(self._set_up(connected))
            self._pending_setups.add(task)

    async def _set_up(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        try:
            await self._loop.connect_accepted_socket(self._connect, connected)
        except OSError:
            connected.close()  # the client has disconnected already
        finally:
            self._pending_setups.discard(cast("asyncio.Task[None]", asyncio.current_task()))

    def _resume_accepting(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self.socket.fileno(), self._accept)

    def has_pending(self) -> bool:
        """Connections wait in the backlog or are being set up."""
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        return bool(self._pending_setups or poll.poll(0))

    def close(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        else:
            self._loop.remove_reader(self.socket.fileno())
        self.socket.close()

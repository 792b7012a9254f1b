"""Progress of what was written to a connection: how much its peer has not taken, and since when it takes nothing."""

from __future__ import annotations

import array
import asyncio
import fcntl
import termios
from contextlib import suppress


class SendProgress:
    """Watches the bytes that wait for the peer of a connection, in this process and in the kernel."""

    def __init__(self, transport: asyncio.Transport, now: float) -> None:
        """`now` is on the event loop's clock, in seconds, as in all methods."""
        self._transport = transport
        self._waiting = self._count()
        self._changed_at = now

    def last_progress_at(self, now: float) -> float:
        """Since when the peer has taken nothing, as far as the calls of this method have seen."""
        waiting = self._count()
        if waiting != self._waiting:
            self._waiting = waiting
            self._changed_at = now
        return self._changed_at

    def _count(self) -> int:
        connection = self._transport.get_extra_info("socket")
        queued = array.array("i", [0])
        with suppress(OSError):  # the transport was aborted
            fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, queued)
        return self._transport.get_write_buffer_size() + queued[0]

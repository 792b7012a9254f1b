"""The limit on open sockets, shared by the connections of clients and those to backends."""

from __future__ import annotations

from collections.abc import Callable


class Descriptors:
    """Limits the number of open sockets, so that the process does not run out of file descriptors."""

    RESERVE = 32  # for standard streams, the event loop, discovery and sockets that are being closed. Of these:
    REFUSED_CLIENTS = 8  # for clients over the limit, which are accepted and refused with an answer
    BACKEND_RESERVE = 8  # for connections to backends when no client connection can be closed for them

    def __init__(self, limit: int, set_aside: int = 0) -> None:
        self.limit = max(limit - self.RESERVE - set_aside, 1)
        self.used = 0
        self.make_room: Callable[[], bool] = lambda: False  # closes an idle client connection; False if there is none

    def is_full(self) -> bool:
        return self.used >= self.limit

    def can_open_to_backend(self) -> bool:
        return self.used < self.limit + self.REFUSED_CLIENTS + self.BACKEND_RESERVE

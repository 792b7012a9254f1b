"""Coalesces concurrent calls into shared round trips."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


class CoalescedCall:
    """Shares the round trip `ask`, which returns a number, among concurrent callers.

    A caller of `get` receives the result of a round trip that started after its call; all callers that wait when a
    round trip starts share it.
    """

    def __init__(self, ask: Callable[[], Awaitable[int]]) -> None:
        self._ask = ask
        self._next: asyncio.Future[int] | None = None
        self._running: asyncio.Task[None] | None = None

    async def get(self) -> int:
        """Return the result of the next round trip; raises what `ask` raises."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
            if self._running is None:
                self._running = asyncio.create_task(self._run())
        return await asyncio.shield(self._next)

    async def _run(self) -> None:
        try:
            while self._next is not None:
                await asyncio.sleep(0)  # let all callers of this event-loop iteration join
                future, self._next = self._next, None
                future.add_done_callback(_retrieve_exception)
                try:
                    future.set_result(await self._ask())
                except Exception as error:
                    future.set_exception(error)
                except asyncio.CancelledError:
                    future.cancel()
                    raise
        finally:
            self._running = None

    def close(self) -> None:
        if self._running is not None:
            self._running.cancel()


def _retrieve_exception(future: asyncio.Future[int]) -> None:
    """Mark the exception as retrieved: it is no error if all callers have been cancelled."""
    if not future.cancelled():
        future.exception()

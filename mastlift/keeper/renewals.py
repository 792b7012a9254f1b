"""Renews the leases of one client; leases that are due soon are batched into one call."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastlift.keeper.wire import MAX_RENEWALS

if TYPE_CHECKING:
    from mastlift.keeper.client import KeeperClient

MIN_PERIOD_FRACTION = 0.75  # fraction of a period; the jitter spreads out renewals that an outage has synchronized
BATCH_WINDOW_FRACTION = 0.25  # fraction of a period: leases due within it join the batch


@dataclass(slots=True)
class LeaseRenewal:
    """The renewal schedule of one lease.

    `every_ms` is the renewal period. `renewed` is called after each successful renewal with the send time on the clock
    `now`, `gone` if the lease no longer exists, and `missed` if the renewal failed.
    """

    lease: int
    every_ms: float
    now: Callable[[], float]
    renewed: Callable[[float], None]
    gone: Callable[[], None]
    missed: Callable[[], None] = lambda: None
    due: float = 0.0  # on the event loop's clock, in seconds


class Renewals:
    """The renewal task of one client, available as `KeeperClient.renewals` and closed with the client."""

    def __init__(self, client: KeeperClient) -> None:
        self._client, self._renewals = client, dict[int, LeaseRenewal]()
        self._task: asyncio.Task[None] | None = None
        self._more = asyncio.Event()
        self.calls = 0

    def keep(self, renewal: LeaseRenewal) -> None:
        """Renew a lease until `drop` is called or it no longer exists. The first renewal is due after one period."""
        renewal.due = asyncio.get_running_loop().time() + self._period_s(renewal)
        self._renewals[renewal.lease] = renewal
        self._more.set()
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    def drop(self, lease: int) -> None:
        self._renewals.pop(lease, None)

    @staticmethod
    def _period_s(renewal: LeaseRenewal) -> float:
        return renewal.every_ms / 1000.0 * random.uniform(MIN_PERIOD_FRACTION, 1.0)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._more.clear()
            next_ = min((renewal.due for renewal in self._renewals.values()), default=None)
            if next_ is None or next_ > loop.time():
                with contextlib.suppress(TimeoutError):  # asyncio.wait_for may lose a cancellation (CPython 3.11)
                    async with asyncio.timeout_at(next_):
                        await self._more.wait()
                continue
            now = loop.time()
            together = sorted(
                (
                    renewal
                    for renewal in self._renewals.values()
                    if renewal.due - now <= BATCH_WINDOW_FRACTION * renewal.every_ms / 1000.0
                ),
                key=lambda renewal: renewal.due,
            )
            for at in range(0, len(together), MAX_RENEWALS):
                await self._renew(together[at : at + MAX_RENEWALS])

    async def _renew(self, together: list[LeaseRenewal]) -> None:
        from mastlift.keeper.client import Refused, Unreachable

        loop, sent = asyncio.get_running_loop(), [renewal.now() for renewal in together]
        self.calls += 1
        try:
            gone = set(
                await self._client.renew_all(
                    [renewal.lease for renewal in together],
                    2.5 * min(renewal.every_ms for renewal in together) / 1000.0,
                )
            )
        except (Refused, Unreachable):
            for renewal in together:
                renewal.due = loop.time() + BATCH_WINDOW_FRACTION * self._period_s(renewal)
                renewal.missed()
            return
        for renewal, at in zip(together, sent, strict=True):
            renewal.due = loop.time() + self._period_s(renewal)
            if self._renewals.get(renewal.lease) is not renewal:
                continue  # dropped or replaced during the call
            if renewal.lease in gone:
                del self._renewals[renewal.lease]
                renewal.gone()
            else:
                renewal.renewed(at)

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

"""The source of the commands' total order: arrival order in a single keeper. For a group see `group.GroupOrder`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from typing import Protocol

from mastlift.durable.commit import GroupCommit
from mastlift.durable.disk import DiskFailed, DiskFull
from mastlift.durable.journal import Journal
from mastlift.store.commands import Envelope, Result, encode
from mastlift.store.machine import Store

Apply = Callable[[Sequence[Envelope | None]], Sequence[Result | None]]  # None: a no-op entry


class Order(Protocol):
    """Makes commands durable and applies them exactly once, in one total order."""

    @property
    def leads(self) -> bool:
        """Whether this keeper accepts commands and expires leases."""

    def propose(self, envelope: Envelope, size: int) -> asyncio.Future[Result]:
        """Submit a command; the future returns its result once it is durable and applied, or raises DiskFull."""

    def waiting(self) -> tuple[int, int]:
        """The number of proposals that wait for the disk, and their size in bytes."""

    async def read_barrier(self) -> None:
        """Wait until all writes acknowledged before this call are applied here."""

    def position(self) -> int:
        """The journal's current position, in records."""

    def snapshot(self) -> tuple[int, int, Iterator[bytes]]:
        """Begin a snapshot: return the journal position and state index that it covers, and its blocks."""

    async def wait_durable(self, position: int) -> None: ...

    def snapshot_done(self, position: int, index: int) -> None: ...

    async def stop(self) -> None: ...


class SingleKeeperOrder:
    """The arrival order of commands in a single keeper, made durable with group commit on its own disk."""

    leads = True

    def __init__(self, journal: Journal, store: Store, apply: Apply, failed: Callable[[DiskFailed], None]) -> None:
        self._apply, self._store = apply, store
        self._commit: GroupCommit[tuple[Envelope, asyncio.Future[Result]]] = GroupCommit(
            journal, lambda group: encode([envelope for envelope, _ in group]), self._done, self._full, failed
        )
        self._loop = asyncio.get_running_loop()

    def propose(self, envelope: Envelope, size: int) -> asyncio.Future[Result]:
        future: asyncio.Future[Result] = self._loop.create_future()
        self._commit.submit((envelope, future), size)
        return future

    def waiting(self) -> tuple[int, int]:
        return len(self._commit), self._commit.waiting_bytes

    async def read_barrier(self) -> None:
        """No wait is needed: commands are acknowledged only after they are applied here."""

    def position(self) -> int:
        return self._store.index

    def snapshot(self) -> tuple[int, int, Iterator[bytes]]:
        return self._store.index, self._store.index, self._store.dump()

    async def wait_durable(self, position: int) -> None:
        """No wait is needed: applied commands are already durable."""

    def snapshot_done(self, position: int, index: int) -> None:
        """Nothing to do: the journal tracks its snapshots."""

    def _done(self, first: int, group: list[tuple[Envelope, asyncio.Future[Result]]]) -> None:
        results = self._apply([envelope for envelope, _ in group])
        for (_, future), result in zip(group, results, strict=True):
            if not future.done() and result is not None:  # the caller may have been cancelled
                future.set_result(result)

    @staticmethod
    def _full(group: list[tuple[Envelope, asyncio.Future[Result]]], error: DiskFull) -> bool:
        for _, future in group:
            if not future.done():
                future.set_exception(error)
        return False

    async def stop(self) -> None:
        await self._commit.stop()

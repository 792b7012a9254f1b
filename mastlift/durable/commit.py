"""Group commit: the writes of many callers become durable with one sync (Gawlick and Kinkade, 1985).

While one group is written and synced in a separate thread, the next one accumulates. This is the asyncio driver of the
journal, which does not use asyncio itself.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Generic, TypeVar

from mastlift.durable.disk import DiskFailed, DiskFull
from mastlift.durable.journal import Journal

T = TypeVar("T")
MAX_GROUP_BYTES = 1 << 20  # the item that reaches this size is the last of its group
DISK_FULL_RETRY_S = 0.5
IDLE_MARK_DELAY_S = 0.01  # idle time after which a mark records that the last sync completed


class GroupCommit(Generic[T]):
    """Appends submitted items to the journal in groups, and reports the outcome by callbacks.

    `done` gets the index of a group's first item and the items, in order, once they are durable. `full` gets a group
    that did not fit on the disk and returns whether to retry it, before all later items. `failed` is called once if
    the disk fails: nothing more becomes durable, and the process must exit."""

    def __init__(
        self,
        journal: Journal,
        encode: Callable[[list[T]], bytes],
        done: Callable[[int, list[T]], None],
        full: Callable[[list[T], DiskFull], bool],
        failed: Callable[[DiskFailed], None],
        group_items: int = 1024,
    ) -> None:
        self.journal, self.group_items = journal, group_items
        self._encode, self._on_durable, self._on_disk_full, self._on_disk_failed = encode, done, full, failed
        self._waiting: deque[tuple[T, int]] = deque()
        self.waiting_bytes = 0
        self._wake = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, "log")
        self._task = asyncio.create_task(self._run())
        self._stopping = self._mark_failed = False
        self._submitted = self._taken = 0
        self._group_boundaries: deque[int] = deque()
        self.groups = 0

    def __len__(self) -> int:
        """The number of submitted items that are not yet being written."""
        return len(self._waiting)

    def submit(self, item: T, size: int) -> None:
        """Queue an item for the next group. `size` is its approximate size in bytes."""
        if self._stopping:
            raise RuntimeError("cannot submit: the journal is being closed")
        self._waiting.append((item, size))
        self._submitted += 1
        self.waiting_bytes += size
        self._wake.set()

    def fence(self) -> None:
        """Put the items submitted so far and those submitted later into different groups. A snapshot that includes the
        former but not the latter must end at the boundary of a log frame."""
        self._group_boundaries.append(self._submitted)

    def _take_group(self) -> list[T]:
        """Remove the next group from the queue; it ends at a fence or when a limit is reached."""
        taken: list[T] = []
        size, waiting = 0, self._waiting
        while self._group_boundaries and self._group_boundaries[0] <= self._taken:
            self._group_boundaries.popleft()
        max_items = (
            min(self.group_items, self._group_boundaries[0] - self._taken)
            if self._group_boundaries
            else self.group_items
        )
        while waiting and len(taken) < max_items and size < MAX_GROUP_BYTES:
            item, item_size = waiting.popleft()
            taken.append(item)
            size += item_size
        self.waiting_bytes -= size
        self._taken += len(taken)
        return taken

    async def _run(self) -> None:
        """Append one group after the other until `stop` is called and the queue is empty, or the disk fails."""
        loop = asyncio.get_running_loop()
        durable_group: tuple[int, list[T]] | None = None
        try:
            while True:
                group = self._take_group()
                if not group:
                    self._wake.clear()
                    if self._stopping:
                        return
                    await self._idle(loop)
                    continue
                self.groups += 1
                while group:
                    first_index, append_task = (
                        None,
                        loop.run_in_executor(self._thread, self.journal.append, len(group), self._encode(group)),
                    )
                    if durable_group:  # report the previous group while this one is being synced
                        self._on_durable(*durable_group)
                        durable_group = None
                    try:
                        first_index = await append_task
                    except DiskFull as error:
                        if self._on_disk_full(group, error) and not self._stopping:
                            await asyncio.sleep(DISK_FULL_RETRY_S)
                            continue
                    if first_index is not None:
                        durable_group = first_index, group
                    group = self._take_group()
                if durable_group:
                    self._on_durable(*durable_group)
                    durable_group = None
        except DiskFailed as error:
            self._on_disk_failed(error)

    async def _idle(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait for an item; if none comes in time, write a mark. After a mark failed on a full disk, the next attempt
        is delayed by 1 s."""
        timeout_s = None if self.journal.marked else 1.0 if self._mark_failed else IDLE_MARK_DELAY_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
            return
        try:
            await loop.run_in_executor(self._thread, self.journal.mark)
            self._mark_failed = False
        except DiskFull:
            self._mark_failed = True

    async def stop(self) -> None:
        """Write the queued items and a final mark, and close the journal."""
        self._stopping = True
        self._wake.set()
        await self._task
        await asyncio.get_running_loop().run_in_executor(self._thread, self.journal.close)
        self._thread.shutdown()

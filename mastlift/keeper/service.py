"""The running store: proposals with admission limits, lease expiry, watches, and snapshots concurrent with writes."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor

from mastlift.consensus.core import NotLeader, NotNow
from mastlift.consensus.driver import StaleMember
from mastlift.consensus.persistence import PersistentState
from mastlift.durable.disk import Disk, DiskFailed, DiskFull
from mastlift.durable.journal import Journal, Recovery, WrongFolder, open_journal
from mastlift.keeper.config import Settings
from mastlift.keeper.group import GroupOrder, write_identity
from mastlift.keeper.order import Order, SingleKeeperOrder
from mastlift.logs import get_logger
from mastlift.metrics import Metrics
from mastlift.store import commands as c
from mastlift.store.history import Change, History
from mastlift.store.leases import LeaseClock
from mastlift.store.machine import LIFE_KEY, Store

TICK_S = 0.05  # interval of lease expiry and disk space checks
MB = 1 << 20
SNAPSHOT_RETRY_S = 5.0  # delay before the next snapshot attempt after a full disk
GROWING_COMMANDS = c.Put | c.Txn | c.Grant | c.OpenSession  # rejected when only the disk reserve is left


class TooManyWaiting(Exception):
    """The limit of proposals waiting for the disk, or of open watches, is reached."""


class Stopping(Exception):
    """The keeper is shutting down."""


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Service:
    """One keeper's state. Not thread-safe: all methods must be called from the event loop's thread."""

    def __init__(
        self,
        settings: Settings,
        disk: Disk,
        metrics: Metrics,
        new_life: Callable[[], bytes],
        failed: Callable[[DiskFailed], None],
        new_group: bool = False,
    ) -> None:
        """Recover the state from the disk.

        `new_life` generates the identity of a new folder, `failed` is called on a disk failure, and with `new_group` an
        empty folder becomes an initial member of a new group. Raises what `open_journal` raises, and WrongFolder for a
        folder of another group.
        """
        self.settings, self._disk, self._failed = settings, disk, failed
        self.store = Store(History(settings.history.changes, settings.history.mb * MB))
        self.journal: Journal
        self.recovery: Recovery
        self.kept = PersistentState(self.store) if settings.group else None
        self.journal, self.recovery = open_journal(
            disk,
            settings.keeper.name,
            self.kept or self.store,
            new_life,
            version=settings.log.format,
            segment_bytes=settings.log.segment_mb * MB,
        )
        if settings.group and self.kept is not None:
            if not self.kept.id:
                write_identity(self.journal, self.kept, settings.group, settings.keeper.name, new_group)
            if self.kept.group != settings.group.name:
                raise WrongFolder(f"the folder belongs to the group '{self.kept.group}', not '{settings.group.name}'")
        self.log = get_logger("keeper")
        self.stopping = False
        # selects the expired leases to revoke; the discovery service may defer some
        self.may_end: Callable[[list[c.Revoke]], list[c.Revoke]] = lambda due: due
        self.status_sections: dict[str, Callable[[], object]] = {}  # further sections of the status, by name
        self.order: Order | None = None
        self._clock = LeaseClock(0.0)
        self._changed = asyncio.Event()
        self._snapshot: asyncio.Task[None] | None = None
        self._snapshot_index, self._covered_bytes, self._no_snapshot_before = self.recovery.snapshot, 0, 0.0
        self._snapshot_bytes = self.recovery.bytes_read - self.recovery.log_bytes
        self._snapshot_thread = ThreadPoolExecutor(1, "snapshot")
        self._has_room, self._snapshot_wanted = True, False
        self.grouped: GroupOrder | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._make_metrics(metrics)

    def _make_metrics(self, metrics: Metrics) -> None:
        self.commands = metrics.counter("commands", "Commands applied", "outcome")
        self.outcomes = {outcome: self.commands.labels(outcome.value) for outcome in c.Outcome}
        self.refused = metrics.counter("refused", "Commands not taken", "why")
        self.group_sizes = metrics.counter("groups", "Groups of commands made durable by one sync")
        self.copies = metrics.duration_histogram(
            "snapshot_copy", "How long the state was held still for a snapshot's copy"
        )
        self.snapshots = metrics.duration_histogram("snapshot", "How long a snapshot took beside the writes")
        self.ended = metrics.counter("leases_ended", "Leases whose time was up")
        gauges: dict[str, tuple[str, Callable[[], float]]] = {
            "revision": ("The store's revision", lambda: self.store.revision),
            "index": ("Index of the last command applied", lambda: self.store.index),
            "keys": ("Keys in the store", lambda: len(self.store.entries)),
            "leases": ("Leases that live", lambda: len(self.store.leases)),
            "sessions": ("Sessions of clients", lambda: len(self.store.sessions.by_id)),
            "waiting": ("Commands that wait for the disk", lambda: self.order.waiting()[0] if self.order else 0),
            "disk_free_bytes": ("Free room on the disk", self._disk.free_bytes),
            "recovery_seconds": ("How long the last start took", lambda: sum(self.recovery.seconds.values())),
        }
        for name, (text, read) in gauges.items():
            metrics.gauge(name, text).set_function(read)

    async def start(self) -> None:
        """Begin to accept proposals: in a group if the settings name one, otherwise as a single keeper."""
        if self.settings.group and self.kept is not None:
            self.order = self.grouped = GroupOrder(
                self.journal,
                self.kept,
                self.settings.group,
                self._apply,
                self._failed,
                self._on_role_changed,
                self._snapshot_now,
            )
        else:
            self.order = SingleKeeperOrder(self.journal, self.store, self._apply, self._failed)
        self._on_role_changed(True)
        self._tasks = [asyncio.create_task(self._run_timers())]

    def _on_role_changed(self, leads: bool) -> None:
        """A keeper that becomes the leader restarts the full time of each lease."""
        if leads:
            self._clock = LeaseClock(
                now_ms(), ((lease, one.ttl_ms, one.renewals) for lease, one in self.store.leases.items())
            )

    async def stop(self) -> None:
        """Make accepted commands durable and release the disk."""
        self.stopping = True
        self._wake()
        for task in self._tasks:
            task.cancel()
        if self._snapshot is not None:
            self._snapshot.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._snapshot
        if self.order is not None:
            await self.order.stop()
        self._snapshot_thread.shutdown()

    @property
    def life(self) -> str:
        """Id of the served history: the same on all members of a group; a restored backup gets a new one."""
        entry = self.store.entries.get(LIFE_KEY)
        return entry.value.decode() if entry else self.journal.identity.life

    # --- commands ---

    async def propose(self, envelope: c.Envelope, size: int) -> c.Result:
        """Propose a command of about `size` bytes and return its result once it is durable and applied.

        Raises TooManyWaiting, DiskFull, Stopping; in a group also NotLeader, NotNow, StaleMember.
        """
        limits = self.settings.limits
        if self.stopping or self.order is None:
            raise Stopping("the keeper is ending")
        waiting, waiting_bytes = self.order.waiting()
        if waiting >= limits.waiting or waiting_bytes + size > limits.waiting_mb * MB:
            self.refused.labels("waiting").inc()
            raise TooManyWaiting(f"{waiting} writes wait for the disk")
        if not self._has_room and isinstance(envelope.command, GROWING_COMMANDS):
            self.refused.labels("disk full").inc()
            raise DiskFull(f"less than {limits.reserve_mb} MB are free")
        try:
            return await self.order.propose(envelope, size)
        except DiskFull:
            self.refused.labels("disk full").inc()
            raise

    def _apply(self, envelopes: Sequence[c.Envelope | None]) -> list[c.Result | None]:
        results: list[c.Result | None] = []
        before, now = self.store.revision, now_ms()
        for envelope in envelopes:
            if envelope is None:
                self.store.index += 1
                results.append(None)
                continue
            result = self.store.apply(envelope)
            results.append(result)
            command = envelope.command
            if isinstance(command, c.Grant | c.Renew | c.Revoke):
                self._track_lease(command, result, now)
        for outcome, count in Counter(result.outcome for result in results if result).items():
            self.outcomes[outcome].inc(count)
        self.group_sizes.inc()
        if self.store.revision != before:
            self._wake()
        self._maybe_snapshot()
        return results

    # --- leases ---

    def _track_lease(self, command: c.Grant | c.Renew | c.Revoke, result: c.Result, now: float) -> None:
        lease = result.number if isinstance(command, c.Grant) else command.lease
        lease_state = self.store.leases.get(lease)
        if lease_state is None:
            self._clock.ended(lease)
        elif not isinstance(command, c.Revoke):
            self._clock.started(lease, lease_state.ttl_ms, lease_state.renewals, now)

    def lease_remaining_ms(self, lease: int) -> float:
        return self._clock.remaining_ms(lease, now_ms())

    async def _run_timers(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._check_free_space()
            if self._snapshot_wanted:
                self._maybe_snapshot()
            if self.order is None or not self.order.leads:
                continue
            for revoke in self.may_end(self._clock.tick(now_ms())):
                try:
                    result = await self.propose(c.Envelope(revoke), 32)
                except (TooManyWaiting, DiskFull, Stopping, NotLeader, NotNow, StaleMember):
                    break
                if result.outcome is c.Outcome.OK:
                    self.ended.inc()
                    self.log.info("lease_ended", lease=revoke.lease, keys=result.number)

    def _check_free_space(self) -> None:
        has_room = self._disk.free_bytes() >= self.settings.limits.reserve_mb * MB
        if has_room != self._has_room:
            self._has_room = has_room
            (self.log.info if has_room else self.log.warning)(
                "disk_has_room" if has_room else "disk_full", free_bytes=self._disk.free_bytes()
            )

    # --- watches ---

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def changes(self, after: int) -> Iterator[Change]:
        """Return the changes after revision `after`. Raises Compacted."""
        return self.store.history.after(after)

    async def change_after(self, revision: int, wait_s: float) -> bool:
        """Wait until the store's revision exceeds `revision`; False on timeout or shutdown."""
        if self.store.revision <= revision and not self.stopping:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):  # asyncio.wait_for may lose a cancellation (CPython 3.11)
                    await self._changed.wait()
        return self.store.revision > revision

    # --- snapshots ---

    @property
    def snapshotting(self) -> bool:
        """Whether a snapshot is being written."""
        return self._snapshot is not None

    def _snapshot_now(self) -> None:
        """Take a snapshot regardless of the thresholds, as soon as a running one has ended."""
        self._snapshot_wanted = True
        self._maybe_snapshot()

    def _maybe_snapshot(self) -> None:
        limits, order = self.settings.snapshot, self.order
        if order is None or self._snapshot is not None or self.stopping:
            return
        log_bytes = self.journal.log_bytes - self._covered_bytes
        due = order.position() - self._snapshot_index >= limits.entries or log_bytes >= limits.mb * MB
        due = due and log_bytes >= self._snapshot_bytes  # avoids rewriting a large state for a small log
        if (self._snapshot_wanted or due) and time.monotonic() >= self._no_snapshot_before:
            started = time.monotonic()
            position, index, blocks = order.snapshot()
            self._snapshot_wanted = False
            self.copies.observe(time.monotonic() - started)
            self._snapshot = asyncio.create_task(self._take_snapshot(order, position, index, blocks))

    async def _take_snapshot(self, order: Order, position: int, index: int, blocks: Iterator[bytes]) -> None:
        """Write the copied state block by block in a separate thread, concurrently with proposals."""
        loop, started, size = asyncio.get_running_loop(), time.monotonic(), 0
        writer, covered = None, self.journal.log_bytes
        try:
            writer = await loop.run_in_executor(self._snapshot_thread, self.journal.snapshot_writer, position)
            for block in blocks:
                await loop.run_in_executor(self._snapshot_thread, writer.write, block)
                size += len(block)
            await order.wait_durable(position)
            await loop.run_in_executor(self._snapshot_thread, writer.finish)
            await loop.run_in_executor(self._snapshot_thread, self.journal.snapshot_done, position)
            self._snapshot_index, self._snapshot_bytes = position, size
            self._covered_bytes = covered
            order.snapshot_done(position, index)
            self.snapshots.observe(time.monotonic() - started)
            self.log.info("snapshot", index=index, bytes=size, seconds=round(time.monotonic() - started, 4))
        except DiskFull as error:
            self.log.warning("snapshot_put_off", reason=str(error))
            self._no_snapshot_before = time.monotonic() + SNAPSHOT_RETRY_S
            self._snapshot_wanted = True
            if writer is not None:
                await loop.run_in_executor(self._snapshot_thread, writer.abandon)
        except DiskFailed as error:
            self._failed(error)
        finally:
            self._snapshot = None
        if self._snapshot_wanted:
            self._maybe_snapshot()

"""Executes the actions of one member's Raft core: disk writes and messages to peers, in parallel. Makes no decisions.

Messages that require durability are held until the disk sync has completed; all others are sent immediately.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from mastlift.consensus import core as raft
from mastlift.consensus import persistence
from mastlift.consensus.coalescing import CoalescedCall
from mastlift.consensus.messages import Append, Entry, Members, Message, SnapshotChunk
from mastlift.durable.commit import GroupCommit
from mastlift.durable.disk import DiskFailed, DiskFull
from mastlift.durable.journal import Journal
from mastlift.durable.snapshot import SnapshotReader, snapshot_name
from mastlift.logs import get_logger

TICK_S = 0.01  # interval of Core.tick
APPLY_TIMEOUT_S = 2.0  # how long a read waits for its index to be applied
SNAPSHOT_CHUNK_BYTES = 256 << 10
_ENCODE = msgspec.msgpack.Encoder().encode


class StaleMember(Exception):
    """This member no longer leads, or lags behind the leader. It is unknown whether a pending command will commit."""


class Transport(Protocol):
    def send(self, to: str, message: Message) -> None:
        """Queue a message without blocking; a message that cannot be sent is dropped."""


class Replica(Protocol):
    """The state machine that committed commands are applied to."""

    def apply(self, data: list[bytes]) -> list[Any]:
        """Apply commands in order and return their results. Empty data is a no-op that advances the index."""

    @property
    def index(self) -> int: ...


def _no_task() -> asyncio.Task[None] | None:
    return None


def now_ms() -> float:
    return time.monotonic() * 1000.0


@dataclass(slots=True)
class _Item:
    """A record queued for the disk, with the log's last index and term after it."""

    record: persistence.Record
    last: int
    last_term: int


class Member:
    """One member of a Raft group. Not thread-safe: all methods must be called from the event loop's thread."""

    def __init__(
        self,
        journal: Journal,
        state: persistence.PersistentState,
        replica: Replica,
        transport: Transport,
        failed: Callable[[DiskFailed], None],
        role: Callable[[raft.RoleChanged], None],
        snapshot_now: Callable[[], None],
        timing: raft.Timing | None = None,
    ) -> None:
        """`failed` is called on a disk failure, `role` on each role change, and `snapshot_now` when a snapshot must be
        taken because one was received from the leader."""
        self.state, self.replica, self._transport, self._role = state, replica, transport, role
        self._snapshot_now = snapshot_now
        self.core = raft.Core(
            state.id, state.log, random.Random(), timing or raft.Timing(), state.term, state.vote, now_ms()
        )
        self.log = get_logger("consensus")
        self._commit: GroupCommit[_Item] = GroupCommit(
            journal,
            lambda group: _ENCODE([item.record for item in group]),
            self._on_durable,
            self._on_disk_full,
            failed,
        )
        self._submitted = self._finished = journal.last
        self._held_sends: list[tuple[int, raft.Send]] = []
        self._proposed: list[tuple[bytes, asyncio.Future[Any]]] = []
        self._pending_commands: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._reads: dict[int, asyncio.Future[int]] = {}
        self._apply_waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._tokens, self._read_calls = 0, CoalescedCall(self._confirm_read_index)
        self._incoming_snapshot = bytearray()
        self._received_snapshot: raft.StoreSnapshotChunk | None = None
        self._snapshot_bytes: tuple[int, bytes] = (0, b"")
        self._journal, self._snapshot_load = journal, _no_task()
        self._newest_snapshot = state.log.base, (journal.snapshots() or [0])[-1]
        self._task = asyncio.create_task(self._tick())

    # --- interface for the keeper ---

    @property
    def leads(self) -> bool:
        return self.core.role is raft.Role.LEADER

    @property
    def records(self) -> int:
        """Number of records submitted to the disk, durable or not."""
        return self._submitted

    @property
    def durable_records(self) -> int:
        return self._finished

    def waiting(self) -> tuple[int, int]:
        """The number of commands and records that wait for the disk, and the size of the waiting records in bytes."""
        return len(self._commit) + len(self._proposed), self._commit.waiting_bytes

    def propose(self, data: bytes) -> asyncio.Future[Any]:
        """Submit a command; the future returns its result once it is committed and applied.

        Raises NotLeader immediately if this member does not lead. The future raises NotLeader, NotNow, StaleMember.
        """
        if not self.leads:
            raise raft.NotLeader(self.core.leader)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._proposed.append((data, future))
        if len(self._proposed) == 1:
            asyncio.get_running_loop().call_soon(self._flush)
        return future

    def _flush(self) -> None:
        """Append the commands of one event-loop iteration to the log as one batch."""
        proposed, self._proposed = self._proposed, []
        if not proposed:
            return
        try:
            first, actions = self.core.propose([data for data, _ in proposed], now_ms())
        except (raft.NotLeader, raft.NotNow) as error:
            for _, future in proposed:
                if not future.done():
                    future.set_exception(error)
            return
        for at, (_, future) in enumerate(proposed):
            self._pending_commands[first + at] = self.core.term, future
        self.do(actions)

    async def read_barrier(self) -> None:
        """Wait until all writes acknowledged before this call are applied here. Raises NotLeader, StaleMember."""
        await self.wait_applied(await self.read_index())

    async def read_index(self) -> int:
        """Return the index that must be applied before a read that starts now may be answered.

        Reads that arrive during a confirmation round to the peers share the next round. Raises NotLeader, StaleMember.
        """
        if not self.leads:
            raise raft.NotLeader(self.core.leader)
        return await self._read_calls.get()

    async def wait_applied(self, index: int) -> None:
        """Wait until `index` is applied. Raises StaleMember after APPLY_TIMEOUT_S."""
        if self.replica.index < index:
            applied: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._apply_waiters.append((index, applied))
            try:
                async with asyncio.timeout(APPLY_TIMEOUT_S):
                    await applied
            except TimeoutError:
                raise StaleMember("this member is behind the others") from None

    async def _confirm_read_index(self) -> int:
        self._tokens += 1
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._reads[self._tokens] = future
        self.do(self.core.read(self._tokens, now_ms()))
        return await future

    def _finish_read(self, token: int, what: int | Exception) -> None:
        future = self._reads.pop(token)
        if future.done():
            return
        if isinstance(what, int):
            future.set_result(what)
        else:
            future.set_exception(what)

    def change(self, change: Callable[[Members], Members]) -> None:
        """Propose the membership that `change` returns for the current one. Raises NotLeader, NotNow."""
        wanted = change(self.core.members)
        if wanted != self.core.members:
            self.do(self.core.change(wanted, now_ms())[1])

    def hand_over(self, to: str) -> None:
        """Start a leadership transfer. Raises NotLeader, NotNow."""
        self.do(self.core.hand_over(to, now_ms()))

    def dump(self) -> tuple[int, int, Iterator[bytes]]:
        """Begin a snapshot: return the last record it covers, the index of its state, and its blocks."""
        self._commit.fence()
        return (
            self._submitted,
            self.replica.index,
            persistence.dump(
                self.core.id, self.state.group, self.core.term, self.core.vote, self.core.log, self.state.store
            ),
        )

    def snapshot_done(self, record: int, index: int) -> None:
        """The snapshot up to `record`, with the state at `index`, is durable."""
        on_its_way = any(
            progress.snapshot and now_ms() - progress.last_reply_at < 10 * self.core.timing.election
            for progress in self.core.peers.values()
        )
        if not on_its_way:  # compaction would restart the transfer to a member that receives chunks
            self.core.compacted(index)
            self._newest_snapshot, self._snapshot_bytes = (index, record), (0, b"")
        if self._received_snapshot is not None and index >= self._received_snapshot.index:
            piece, self._received_snapshot = self._received_snapshot, None
            self.do(self.core.restored(piece.index, piece.term, piece.members))
            self._apply()

    def receive(self, source: str, message: Message) -> None:
        if self._received_snapshot is not None and isinstance(message, Append | SnapshotChunk):
            return
        self.do(self.core.receive(source, message, now_ms()))

    async def stop(self) -> None:
        """Transfer leadership if another voter is reachable, then close the log."""
        if self.leads and len(self.core.members.voters) > 1:
            ready = [
                (progress.match, peer)
                for peer, progress in self.core.peers.items()
                if peer in self.core.members.voters and now_ms() - progress.last_reply_at < self.core.timing.election
            ]
            if ready:
                with contextlib.suppress(raft.NotLeader, raft.NotNow):
                    self.hand_over(max(ready)[1])
                    for _ in range(40):
                        if not self.leads:
                            break
                        await asyncio.sleep(0.01)
        self._task.cancel()
        self._read_calls.close()
        await self._commit.stop()

    # --- actions of the core ---

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.do(self.core.tick(now_ms()))
            if self._apply_waiters:  # a snapshot from the leader also advances the index
                self._wake_readers()

    def do(self, actions: list[raft.Action]) -> None:
        """Execute the core's actions in order."""
        for action in actions:
            match action:
                case raft.Save():
                    self._submit(persistence.VoteRecord(action.term, action.vote), 64)
                case raft.Write():
                    self._submit(
                        persistence.EntriesRecord(action.first, action.entries),
                        sum(len(entry.data) + 16 for entry in action.entries),
                    )
                case raft.Send():
                    if action.after_sync and self._finished < self._submitted:
                        self._held_sends.append((self._submitted, action))
                    else:
                        self._transport.send(action.to, action.message)
                case raft.Commit():
                    self._apply()
                case raft.SendSnapshotChunk():
                    self._send_snapshot_chunk(action)
                case raft.StoreSnapshotChunk():
                    self._store_snapshot_chunk(action)
                case raft.ReadReady():
                    self._finish_read(action.token, action.index)
                case raft.ReadFailed():
                    self._finish_read(action.token, StaleMember("this member does not lead any more"))
                case raft.RoleChanged():
                    self._on_role_changed(action)

    def _submit(self, record: persistence.Record, size: int) -> None:
        self._submitted += 1
        self._commit.submit(_Item(record, self.core.log.last, self.core.log.last_term), size)

    def _on_durable(self, first: int, group: list[_Item]) -> None:
        self._finished += len(group)
        free = 0
        while free < len(self._held_sends) and self._held_sends[free][0] <= self._finished:
            free += 1
        sends, self._held_sends = self._held_sends[:free], self._held_sends[free:]
        for _, send in sends:
            self._transport.send(send.to, send.message)
        self.do(self.core.synced(group[-1].last, group[-1].last_term))
        self._apply()

    def _on_disk_full(self, group: list[_Item], error: DiskFull) -> bool:
        """Retry until the disk has room: the core cannot revoke an action. Nothing is answered meanwhile."""
        self.log.warning("disk_full", reason=str(error), records=len(group))
        return True

    def _apply(self) -> None:
        """Apply entries that are committed and durable on this member's disk."""
        core = self.core
        until, index = min(core.commit, core.synced_to), self.replica.index
        if until <= index:
            return
        entries: list[Entry] = core.log.entries[index - core.log.base : until - core.log.base]
        results = self.replica.apply([entry.data for entry in entries])
        for at, (entry, result) in enumerate(zip(entries, results, strict=True), index + 1):
            term, future = self._pending_commands.pop(at, (0, None))
            if future is not None and not future.done():
                if term == entry.term:
                    future.set_result(result)
                else:
                    future.set_exception(StaleMember("another leader's command stands there"))
        self._wake_readers()

    def _wake_readers(self) -> None:
        index, waiting = self.replica.index, self._apply_waiters
        self._apply_waiters = [one for one in waiting if one[0] > index]
        for wanted, applied in waiting:
            if wanted <= index and not applied.done():
                applied.set_result(None)

    def _on_role_changed(self, change: raft.RoleChanged) -> None:
        self.log.info("role", role=change.role.value, term=change.term, leader=change.leader, id=self.core.id)
        if change.role is not raft.Role.LEADER:
            waiting, self._pending_commands = self._pending_commands, {}
            for _, future in waiting.values():
                if not future.done():
                    future.set_exception(StaleMember("this member does not lead any more"))
        self._role(change)

    # --- snapshots between members ---

    def _send_snapshot_chunk(self, request: raft.SendSnapshotChunk) -> None:
        if self._snapshot_bytes[0] == request.index:
            data = self._snapshot_bytes[1][request.offset : request.offset + SNAPSHOT_CHUNK_BYTES]
            self.do(
                self.core.snapshot_chunk_read(
                    request.to,
                    request.index,
                    request.offset,
                    data,
                    request.offset + len(data) >= len(self._snapshot_bytes[1]),
                )
            )
        elif self._snapshot_load is None or self._snapshot_load.done():
            self._snapshot_load = asyncio.create_task(self._load_snapshot(request))

    async def _load_snapshot(self, request: raft.SendSnapshotChunk) -> None:
        """Read the newest snapshot from the disk. Heartbeats repeat the request until it is loaded."""
        index, record = self._newest_snapshot
        if index == request.index:
            self._snapshot_bytes = index, await asyncio.to_thread(self._read_snapshot, record)
            self._send_snapshot_chunk(request)

    def _read_snapshot(self, record: int) -> bytes:
        reader = SnapshotReader(self._journal.disk, snapshot_name(record))
        return b"".join(len(block).to_bytes(4, "big") + block for block in reader.blocks())

    def _store_snapshot_chunk(self, piece: raft.StoreSnapshotChunk) -> None:
        if not piece.offset:
            self._incoming_snapshot = bytearray()
        self._incoming_snapshot += piece.data
        if piece.last and self._received_snapshot is None:
            received = persistence.PersistentState(self.state.store)
            received.store.reset()
            at = 0
            while at < len(self._incoming_snapshot):
                size = int.from_bytes(self._incoming_snapshot[at : at + 4], "big")
                received.load(bytes(self._incoming_snapshot[at + 4 : at + 4 + size]))
                at += 4 + size
            self._incoming_snapshot = bytearray()
            # The received state becomes durable only with a snapshot of this member. Until then a crash restores the
            # previous state, so messages from a leader are ignored.
            self.core.log.restart_from(piece.index, piece.term, piece.members)
            self.core.commit, self.core.synced_to, self._received_snapshot = piece.index, piece.index, piece
            self.log.info("snapshot_received", index=piece.index)
            self._snapshot_now()

"""The replicated key-value state machine.

`Store` is deterministic: its state and results depend only on the sequence of commands applied, so every group member
and every replay of the log reaches the same state.
"""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
from sortedcontainers import SortedList

from mastlift.store import commands as c
from mastlift.store.commands import Entry, Outcome, Result
from mastlift.store.history import Change, History
from mastlift.store.sessions import Session, Sessions

OPERATORS: dict[c.Comparison, Callable[[Any, Any], bool]] = {
    c.Comparison.EQUAL: operator.eq,
    c.Comparison.UNEQUAL: operator.ne,
    c.Comparison.LESS: operator.lt,
    c.Comparison.GREATER: operator.gt,
}
MISSING_ENTRY = Entry(b"", 0, 0, 0)
# Unix ms at which this history began; added to the revisions of endpoint lists, so that they exceed those sent under an
# earlier history.
LIST_BASE_KEY = "mastlift/list-base"
LIFE_KEY = "mastlift/life"  # the id of this history, in hexadecimal; a state restored from a backup gets a new one


@dataclass(slots=True)
class Lease:
    """A lease, its number of renewals, and the keys attached to it. Revoking it deletes the keys."""

    ttl_ms: int
    renewals: int = 0
    keys: set[str] = field(default_factory=set)


class _Rejected(Exception):
    """A condition of an operation failed; carries the result to return."""

    def __init__(self, result: Result) -> None:
        self.result = result


class Store:
    """Keys, leases, sessions and the recent changes.

    `revision` increases by one with each command that changes at least one key. `index` is the log index of the last
    command applied."""

    def __init__(self, history: History | None = None) -> None:
        self.history = History() if history is None else history
        self.revision = self.index = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.sessions = Sessions()
        # Sorted index of the keys; built by the first call of keys(), so that a replay does not maintain it.
        self._sorted_keys: Any = None
        self._handlers: dict[type, Callable[[Any, int], Result]] = {
            c.Put: self._put,
            c.Delete: self._delete,
            c.Txn: self._txn,
            c.Grant: self._grant,
            c.Renew: self._renew,
            c.Revoke: self._revoke,
            c.OpenSession: self._open_session,
        }

    # --- reading ---

    def keys(self, prefix: str = "", after: str = "") -> Iterator[str]:
        """Yield the keys that start with `prefix` and sort after `after`, in code point order."""
        if self._sorted_keys is None:
            self._sorted_keys = SortedList(self.entries)
        for key in self._sorted_keys.irange(max(prefix, after), inclusive=(after < prefix or not after, True)):
            if not key.startswith(prefix):
                return
            yield key

    # --- applying ---

    def replay(self, first: int, count: int, body: bytes) -> None:
        """Apply the `count` commands of one log frame and discard their results. `first`, the index of the frame's
        first command, is unused here. Raises msgspec.DecodeError if the body is malformed or the count differs."""
        envelopes = c.DECODE_ENVELOPES(body)
        if len(envelopes) != count:
            raise msgspec.DecodeError(f"the frame body holds {len(envelopes)} commands, its header counts {count}")
        entries, put = self.entries, c.Put
        changes: list[Change] = []
        for envelope in envelopes:
            command = envelope.command
            if (
                type(command) is put
                and not envelope.session
                and command.if_revision < 0
                and not command.lease
                and (previous := entries.get(command.key)) is not None
                and not previous.lease
            ):
                # Fast path for a plain overwrite, the most frequent command in a log: `apply` gives the same result
                # but takes three times as long.
                self.index += 1
                self.revision = revision = self.revision + 1
                entries[command.key] = entry = Entry(command.value, previous.created, revision, previous.version + 1)
                changes.append((command.key, entry))
            else:
                self.history.extend(changes)
                changes = []
                self.apply(envelope)
        self.history.extend(changes)

    def apply(self, envelope: c.Envelope) -> Result:
        """Apply the next command of the log and return its result.

        A command already applied in its session is not applied again; its first result is returned instead."""
        self.index += 1
        command = envelope.command
        if not envelope.session:
            return self._handlers[type(command)](command, self.index)
        session = self.sessions.get(envelope.session)
        if session is None:
            return Result(Outcome.NO_SESSION, self.revision)
        session.discard_results(envelope.received)
        earlier = session.results.get(envelope.number)
        if earlier is not None:
            return earlier
        if envelope.number <= session.received:
            return Result(Outcome.FORGOTTEN, self.revision)
        result = self._handlers[type(command)](command, self.index)
        session.store_result(envelope.number, result)
        return result

    def _set(self, key: str, value: bytes, lease: int, revision: int) -> Entry:
        previous = self.entries.get(key)
        if previous is None:
            entry = Entry(value, revision, revision, 1, lease)
            if self._sorted_keys is not None:
                self._sorted_keys.add(key)
        else:
            entry = Entry(value, previous.created, revision, previous.version + 1, lease)
            if previous.lease and previous.lease != lease:
                self.leases[previous.lease].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
        self.entries[key] = entry
        self.history.add(key, entry)
        return entry

    def _remove(self, key: str, revision: int) -> bool:
        previous = self.entries.pop(key, None)
        if previous is None:
            return False
        if self._sorted_keys is not None:
            self._sorted_keys.remove(key)
        if previous.lease:
            self.leases[previous.lease].keys.discard(key)
        self.history.add(key, Entry(b"", previous.created, revision, 0))
        return True

    def _check_conditions(self, operation: c.Put | c.Delete) -> None:
        """Raise _Rejected unless the key's revision matches `if_revision` and the lease, if any, exists."""
        if operation.if_revision >= 0:
            entry = self.entries.get(operation.key)
            if (entry.changed if entry else 0) != operation.if_revision:
                raise _Rejected(Result(Outcome.CONDITION, self.revision, 0, (entry,)))
        if isinstance(operation, c.Put) and operation.lease and operation.lease not in self.leases:
            raise _Rejected(Result(Outcome.NO_LEASE, self.revision, operation.lease))

    def _put(self, command: c.Put, index: int) -> Result:
        if command.if_revision >= 0 or command.lease:
            try:
                self._check_conditions(command)
            except _Rejected as rejected:
                return rejected.result
        self.revision += 1
        entry = self._set(command.key, command.value, command.lease, self.revision)
        return Result(Outcome.OK, self.revision, entry.version)

    def _delete(self, command: c.Delete, index: int) -> Result:
        try:
            self._check_conditions(command)
        except _Rejected as rejected:
            return rejected.result
        if not self._remove(command.key, self.revision + 1):
            return Result(Outcome.OK, self.revision)
        self.revision += 1
        return Result(Outcome.OK, self.revision, 1)

    def evaluate(self, compare: c.Compare) -> bool:
        """Whether the comparison holds for the current state."""
        entry = self.entries.get(compare.key, MISSING_ENTRY)
        if compare.field is c.Field.VALUE:
            return OPERATORS[compare.test](entry.value, compare.value)
        return OPERATORS[compare.test](getattr(entry, compare.field.value), compare.number)

    def _txn(self, command: c.Txn, index: int) -> Result:
        then = all(map(self.evaluate, command.compares))
        operations = command.then if then else command.otherwise
        try:  # all conditions are checked against the state before the transaction
            for operation in operations:
                if not isinstance(operation, c.Get):
                    self._check_conditions(operation)
        except _Rejected as rejected:
            return rejected.result
        revision = self.revision + 1
        found: list[Entry | None] = []
        for operation in operations:
            match operation:
                case c.Put():
                    found.append(self._set(operation.key, operation.value, operation.lease, revision))
                    self.revision = revision
                case c.Delete():
                    found.append(self.entries.get(operation.key))
                    if self._remove(operation.key, revision):
                        self.revision = revision
                case c.Get():
                    found.append(self.entries.get(operation.key))
        return Result(Outcome.OK, self.revision, 0, tuple(found), then)

    def _grant(self, command: c.Grant, index: int) -> Result:
        self.leases[index] = Lease(command.ttl_ms)
        return Result(Outcome.OK, self.revision, index)

    def _renew(self, command: c.Renew, index: int) -> Result:
        lease = self.leases.get(command.lease)
        if lease is None:
            return Result(Outcome.NO_LEASE, self.revision, command.lease)
        lease.renewals += 1
        return Result(Outcome.OK, self.revision, lease.ttl_ms)

    def _revoke(self, command: c.Revoke, index: int) -> Result:
        lease = self.leases.get(command.lease)
        if lease is None:
            return Result(Outcome.NO_LEASE, self.revision, command.lease)
        if command.renewals >= 0 and command.renewals != lease.renewals:
            return Result(Outcome.CONDITION, self.revision, lease.renewals)
        keys = sorted(lease.keys)
        for key in keys:
            self._remove(key, self.revision + 1)
        if keys:
            self.revision += 1
        del self.leases[command.lease]
        return Result(Outcome.OK, self.revision, len(keys))

    def _open_session(self, command: c.OpenSession, index: int) -> Result:
        self.sessions.open(index)
        return Result(Outcome.OK, self.revision, index)

    # --- snapshots ---

    def dump(self, block_bytes: int = 64 << 10) -> Iterator[bytes]:
        """Return an iterator over the whole state, encoded in blocks of about `block_bytes`.

        The state is copied before this returns, so commands may be applied while the blocks are consumed. Encoding a
        block takes about a millisecond. Some blocks are empty: they only return control to the caller."""
        head = _HeaderRow(self.revision, self.index)
        leases = [_LeaseRow(lease, one.ttl_ms, one.renewals) for lease, one in self.leases.items()]
        sessions = [_SessionRow(number, one.received, dict(one.results)) for number, one in self.sessions.by_id.items()]
        entries, changes = self.entries.copy(), self.history.changes.copy()
        return _encode_blocks([head, *leases, *sessions], entries, changes, self.history.oldest, block_bytes)

    def load(self, block: bytes) -> None:
        """Load one block of a dump. The blocks must be loaded in order, into a store that was empty at the first.
        Raises msgspec.DecodeError."""
        for row in _DECODE_ROWS(block):
            match row:
                case _EntryRow():
                    self.entries[row.key] = row.entry
                    if row.entry.lease:
                        self.leases[row.entry.lease].keys.add(row.key)
                case _ChangeRow():
                    self.history.add(row.key, row.entry or self.entries[row.key])
                case _HistoryRow():
                    self.history.oldest = row.oldest
                case _LeaseRow():
                    self.leases[row.lease] = Lease(row.ttl_ms, row.renewals)
                case _SessionRow():
                    session = self.sessions.by_id[row.session] = Session()
                    session.received, session.results = row.received, dict(row.results)
                case _HeaderRow():
                    self.revision, self.index = row.revision, row.index

    def reset(self) -> None:
        """Discard the state, keeping the limits of the history."""
        self.__init__(History(self.history.max_changes, self.history.max_bytes))  # type: ignore[misc]


def entry_block(key: str, entry: Entry) -> bytes:
    """Encode a block of a dump that sets one key and overrides the earlier blocks."""
    return c.ENCODE([_EntryRow(key, entry)])


class _HeaderRow(c._ArrayStruct, frozen=True, tag=1):
    revision: int
    index: int


class _LeaseRow(c._ArrayStruct, frozen=True, tag=2):
    lease: int
    ttl_ms: int
    renewals: int


class _SessionRow(c._ArrayStruct, frozen=True, tag=3):
    session: int
    received: int
    results: dict[int, Result]


class _EntryRow(c._ArrayStruct, frozen=True, tag=4):
    key: str
    entry: Entry


class _HistoryRow(c._ArrayStruct, frozen=True, tag=5):
    oldest: int  # every change after this revision follows


class _ChangeRow(c._ArrayStruct, frozen=True, tag=6):
    key: str
    entry: Entry | None  # None: the key's current entry


_Row = _HeaderRow | _LeaseRow | _SessionRow | _EntryRow | _HistoryRow | _ChangeRow
_DECODE_ROWS = msgspec.msgpack.Decoder(list[_Row]).decode
ROW_OVERHEAD_BYTES = 24  # approximate encoded size of a row without its key and value
MIN_HISTORY_BYTES = 1 << 20  # a dump has at least this much history, if there is as much
HISTORY_SCAN_BATCH = 1000  # changes examined between two empty blocks


def _encode_blocks(
    first: list[Any], entries: dict[str, Entry], changes: list[Change], oldest: int, block_bytes: int
) -> Iterator[bytes]:
    """Encode the rows of `first`, the entries and the recent changes into blocks of about `block_bytes`.

    `oldest` is the revision after which all of `changes` are known."""
    rows: list[Any] = []
    size = state_bytes = 0
    for row in first:
        rows.append(row)
        size += ROW_OVERHEAD_BYTES if isinstance(row, _HeaderRow | _LeaseRow) else _session_bytes(row)
        if size >= block_bytes:
            yield c.ENCODE(rows)
            rows, size = [], 0
    for key, entry in entries.items():
        rows.append(_EntryRow(key, entry))
        size += len(key) + len(entry.value) + ROW_OVERHEAD_BYTES
        if size >= block_bytes:
            yield c.ENCODE(rows)
            rows, state_bytes, size = [], state_bytes + size, 0
    # Include about as many bytes of history as the state has, or MIN_HISTORY_BYTES if that is more: a snapshot that
    # consists mostly of overwritten values would not make recovery faster.
    history_start, budget_bytes = len(changes), max(MIN_HISTORY_BYTES, state_bytes + size)
    while history_start and budget_bytes > 0:
        for key, entry in reversed(changes[max(0, history_start - HISTORY_SCAN_BATCH) : history_start]):
            budget_bytes -= ROW_OVERHEAD_BYTES + len(key) + (0 if entries.get(key) is entry else len(entry.value))
            if budget_bytes <= 0:
                break
            history_start -= 1
        yield b""
    while (
        0 < history_start < len(changes) and changes[history_start][1].changed == changes[history_start - 1][1].changed
    ):
        history_start += 1  # never split the changes of one revision
    if history_start:
        oldest = changes[history_start - 1][1].changed
    rows.append(_HistoryRow(oldest))
    for at in range(history_start, len(changes)):
        key, entry = changes[at]
        is_current = entries.get(key) is entry
        rows.append(_ChangeRow(key, None if is_current else entry))
        size += len(key) + ROW_OVERHEAD_BYTES + (0 if is_current else len(entry.value))
        if size >= block_bytes:
            yield c.ENCODE(rows)
            rows, size = [], 0
    yield c.ENCODE(rows)


def _session_bytes(row: _SessionRow) -> int:
    """The approximate encoded size of a session, with 64 bytes per result besides the values in it."""
    return ROW_OVERHEAD_BYTES + sum(
        64 + sum(len(entry.value) for entry in result.entries if entry) for result in row.results.values()
    )

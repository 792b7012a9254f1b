"""The commands of the state machine, their results, and their encoding.

Commands are written to the log as MessagePack arrays. A new field is only ever added at the end and with a default, so
that older logs remain readable.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

# The limits are part of the log format: a command that was applied once must be accepted by every later replay.
MAX_KEY_BYTES = 512
MAX_VALUE_BYTES = 1 << 20
MAX_TTL_MS = 24 * 3600 * 1000


class _ArrayStruct(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of the encoded structs. Encoded as an array, and not tracked by the garbage collector because a store may
    hold a million of them."""


class Put(_ArrayStruct, frozen=True, tag=1):
    """Set a key, attached to `lease` unless that is 0.

    `if_revision` is the required revision of the key's last change; 0 requires that the key does not exist, -1 accepts
    any state."""

    key: str
    value: bytes
    lease: int = 0
    if_revision: int = -1


class Delete(_ArrayStruct, frozen=True, tag=2):
    """Delete a key. `if_revision` is as for `Put`."""

    key: str
    if_revision: int = -1


class Get(_ArrayStruct, frozen=True, tag=3):
    """Read a key. Valid only in a transaction, where it sees the effect of the operations before it."""

    key: str


class Field(StrEnum):
    """The attribute of an entry that a comparison tests. For a missing key all numbers are 0 and the value is
    empty."""

    CREATED = "created"
    CHANGED = "changed"
    VERSION = "version"
    LEASE = "lease"
    VALUE = "value"


class Comparison(StrEnum):
    EQUAL = "=="
    UNEQUAL = "!="
    LESS = "<"
    GREATER = ">"


class Compare(_ArrayStruct, frozen=True):
    """A condition of a transaction. `value` is the operand for Field.VALUE, `number` for all other fields."""

    key: str
    field: Field
    test: Comparison
    number: int = 0
    value: bytes = b""


class Txn(_ArrayStruct, frozen=True, tag=4):
    """Execute the operations of `then` if all comparisons hold, else those of `otherwise`, in order and under one
    revision. If an operation fails (unknown lease or unmet `if_revision`), the whole transaction fails and changes
    nothing."""

    compares: tuple[Compare, ...]
    then: tuple[Put | Delete | Get, ...]
    otherwise: tuple[Put | Delete | Get, ...] = ()


class Grant(_ArrayStruct, frozen=True, tag=5):
    """Grant a lease of `ttl_ms` milliseconds. Its id is the log index of this command."""

    ttl_ms: int


class Renew(_ArrayStruct, frozen=True, tag=6):
    """Count a renewal of a lease. LeaseClock extends the lease by its ttl; the state machine itself holds no time."""

    lease: int


class Revoke(_ArrayStruct, frozen=True, tag=7):
    """End a lease and delete its keys. Unless it is -1, `renewals` must equal the lease's number of renewals.

    The keeper that tracks time proposes this command when a lease expires, with the number of renewals it knows; a
    renewal that comes first in the log makes it fail. A member never ends a lease by its own clock."""

    lease: int
    renewals: int = -1


class OpenSession(_ArrayStruct, frozen=True, tag=8):
    """Open a session. Its id is the log index of this command."""


Command = Put | Delete | Txn | Grant | Renew | Revoke | OpenSession


class Envelope(_ArrayStruct, frozen=True):
    """A command with its position in a client session.

    `session` 0 means none. `number` is the command's number in the session; the client has received all results up to
    `received`."""

    command: Command
    session: int = 0
    number: int = 0
    received: int = 0


class Entry(_ArrayStruct, frozen=True):
    """A key's value. `created` and `changed` are the revisions of its creation and last change. `version` counts its
    changes, 1 for the creation; 0 marks a deletion."""

    value: bytes
    created: int
    changed: int
    version: int
    lease: int = 0


class Outcome(StrEnum):
    OK = "ok"
    CONDITION = "condition"  # a condition failed; `entries` has the current entry
    NO_LEASE = "no_lease"
    NO_SESSION = "no_session"  # never opened, or evicted as the least recently used one
    FORGOTTEN = "forgotten"  # the result of this number was received by the client or evicted


class Result(_ArrayStruct, frozen=True):
    """The result of a command.

    `revision` is the store's revision after it. `number` is the version of the key that was put, the id of the granted
    lease or opened session, the ttl of the renewed lease in ms, or the number of deleted keys; for a failed command,
    the id of the unknown lease, or the current number of renewals of a lease that was not revoked. `entries` has one
    item per operation of a transaction, in order (None: no such key), or the current entry if a condition failed.
    `then` tells which branch of a transaction was executed."""

    outcome: Outcome
    revision: int
    number: int = 0
    entries: tuple[Entry | None, ...] = ()
    then: bool = True


ENCODE = msgspec.msgpack.Encoder().encode
DECODE_ENVELOPES = msgspec.msgpack.Decoder(list[Envelope]).decode


def encode(envelopes: list[Envelope]) -> bytes:
    """Encode the commands of one log frame."""
    return ENCODE(envelopes)

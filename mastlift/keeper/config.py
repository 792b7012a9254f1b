"""Settings of a keeper. The suffix of a name is the unit of its value."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from mastlift.durable.frames import FORMAT, OLDEST_FORMAT
from mastlift.settings import Section
from mastlift.store.commands import MAX_KEY_BYTES, MAX_VALUE_BYTES

Count = Annotated[int, Meta(ge=1)]


Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]


class KeeperSection(Section, frozen=True):
    """The keeper's name, listening address (HOST:PORT) and data folder, which must exist and belong to it alone."""

    name: Name
    listen: str
    data: str


class Limits(Section, frozen=True):
    waiting: Count = 4096  # maximum number of writes waiting for the disk; more are answered with 429
    waiting_mb: Count = 32
    key_bytes: Annotated[int, Meta(ge=1, le=MAX_KEY_BYTES)] = MAX_KEY_BYTES
    value_bytes: Annotated[int, Meta(ge=1, le=MAX_VALUE_BYTES)] = MAX_VALUE_BYTES
    watches: Count = 1000
    reserve_mb: Annotated[int, Meta(ge=0)] = 64  # free disk space reserved for deletes, renewals and snapshots


class Snapshots(Section, frozen=True):
    """A snapshot is due after this many entries or this much log since the last one."""

    entries: Count = 100_000
    mb: Count = 64


class HistorySection(Section, frozen=True):
    """How many changes are retained for `/v1/changes`."""

    changes: Count = 50_000
    mb: Count = 32


class Log(Section, frozen=True):
    segment_mb: Count = 16
    format: Annotated[int, Meta(ge=OLDEST_FORMAT, le=FORMAT)] = FORMAT  # an older format allows a downgrade


class GroupSection(Section, frozen=True):
    """The keeper's group: names and addresses of all members, including this one. The own address is the one that
    other members connect to; it may differ from the listening address."""

    name: Name
    members: dict[str, str]


class Settings(Section, frozen=True):
    keeper: KeeperSection
    group: GroupSection | None = None
    limits: Limits = Limits()
    snapshot: Snapshots = Snapshots()
    history: HistorySection = HistorySection()
    log: Log = Log()

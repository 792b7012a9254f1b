"""Registers a server in its tier's list under a lease, and provides the operators' actions on registered servers.

If two servers register the same id, the one that started later wins: it overwrites the key and revokes the other's
lease, by which the other learns that it was replaced. A server that restarts repeatedly without deregistering waits
longer each time before it is listed (flap damping).
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec
from msgspec.structs import replace

from mastlift.discovery.lists import DRAIN, LIST, Phase, ServerRecord, drain_key, list_key
from mastlift.keeper.client import KeeperClient, Refused, Unreachable
from mastlift.keeper.renewals import LeaseRenewal
from mastlift.logs import get_logger

TTL_MS = 10_000
MIN_DAMPING_S, MAX_DAMPING_S = 1.0, 60.0
UNDAMPED_STARTS = 2  # starts without a prior deregistration that are not delayed
FLAP_RESET_S = 120.0  # after this long without a start, earlier starts no longer count
RETRY_INTERVAL_S = 0.5
_DECODE = msgspec.json.Decoder(ServerRecord).decode
_ENCODE = msgspec.json.Encoder().encode


class RegistrationState(StrEnum):
    OUT = "out"  # not listed, or not yet
    LISTED = "listed"
    REPLACED = "replaced"  # a server that started later has registered the id


class FlapRecord(msgspec.Struct, frozen=True):
    """The value of the key `flap/TIER/ID`.

    Counts starts without a deregistration between them; `last_ms` is the Unix time in milliseconds of the last one.
    """

    starts: int = 0
    last_ms: int = 0


def damping_delay_s(flaps: FlapRecord, now_ms: float) -> float:
    """Seconds by which to delay the listing of the next start. `now_ms` is Unix time in milliseconds."""
    if now_ms - flaps.last_ms > FLAP_RESET_S * 1000.0 or flaps.starts < UNDAMPED_STARTS:
        return 0.0
    return float(min(MAX_DAMPING_S, MIN_DAMPING_S * 2.0 ** min(flaps.starts - UNDAMPED_STARTS, 10)))


@dataclass(slots=True)
class ServerListing:
    """The tier and id under which a server is listed, and its record."""

    tier: str
    id: str
    record: ServerRecord


class Registration:
    """Keeps one server registered from `register` until `deregister`, renewing its lease.

    `changed` is set each time `state` is set. `now_ms` returns Unix time in milliseconds.
    """

    def __init__(
        self,
        client: KeeperClient,
        listing: ServerListing,
        ttl_ms: int = TTL_MS,
        now_ms: Callable[[], float] = lambda: time.time() * 1000.0,
    ) -> None:
        self.client, self.listing, self.ttl_ms, self._unix_ms = client, listing, ttl_ms, now_ms
        self.key = list_key(listing.tier, listing.id)
        self._flap_key = f"flap/{listing.tier}/{listing.id}"
        self.lease = self.token = 0
        self.state = RegistrationState.OUT
        self.changed = asyncio.Event()
        self._retry_task: asyncio.Task[None] | None = None
        # True once this start is counted and delayed: not repeated if a later call to the keepers fails.
        self._damping_done = False
        self.log = get_logger("registration").bind(tier=listing.tier, id=listing.id)

    async def register(self) -> RegistrationState:
        """Lists the server; returns REPLACED if one that started later has the id.

        Raises Refused or Unreachable; the call may then be repeated.
        """
        if not self._damping_done:
            await self._apply_damping()
            self._damping_done = True
        self.lease = await self.client.grant(self.ttl_ms)
        while True:
            existing = await self.client.get(self.key)
            existing_record = _DECODE(existing.value) if existing else None
            if existing_record is not None and existing_record.up_since_ms > self.listing.record.up_since_ms:
                await self.client.revoke(self.lease)
                self._set_state(RegistrationState.REPLACED)
                return self.state
            result = await self.client.txn(
                [{"key": self.key, "field": "changed", "number": existing.changed if existing else 0}],
                [{"put": {"key": self.key, "value": self._value(), "lease": self.lease}}],
            )
            if result["then"]:
                break
        self.token = int(result["revision"])
        if existing is not None and existing.lease and existing.lease != self.lease:
            with contextlib.suppress(Refused):  # the other server learns of it at its next renewal
                await self.client.revoke(existing.lease)
        self.client.renewals.keep(
            LeaseRenewal(
                self.lease,
                self.ttl_ms / 5.0,
                self._unix_ms,
                lambda sent: None,
                self._on_lease_ended,
                lambda: self.log.warning("no_keeper"),
            )
        )
        self._damping_done = False
        self._set_state(RegistrationState.LISTED)
        self.log.info("listed", token=self.token, revision=result["revision"])
        return self.state

    def _value(self) -> str:
        return _ENCODE(self.listing.record).decode()

    def _set_state(self, state: RegistrationState) -> None:
        self.state = state
        self.changed.set()

    async def _apply_damping(self) -> None:
        """Counts this start, and sleeps for the damping delay."""
        entry, now = await self.client.get(self._flap_key), self._unix_ms()
        flaps = msgspec.json.decode(entry.value, type=FlapRecord) if entry else FlapRecord()
        if now - flaps.last_ms > FLAP_RESET_S * 1000.0:
            flaps = FlapRecord()
        wait = damping_delay_s(flaps, now)
        await self.client.put(self._flap_key, _ENCODE(FlapRecord(flaps.starts + 1, int(now + wait * 1000.0))))
        if wait:
            self.log.warning("damped", seconds=wait, starts=flaps.starts)
            await asyncio.sleep(wait)

    def _on_lease_ended(self) -> None:
        """The lease expired because it could not be renewed, or another server registered the id and revoked it."""
        if self.state is RegistrationState.LISTED:
            self._set_state(RegistrationState.OUT)
            self._retry_task = asyncio.create_task(self._register_again())

    async def _register_again(self) -> None:
        """Retries until the server is listed or replaced."""
        while self.state is RegistrationState.OUT:
            try:
                await self.register()
            except (Refused, Unreachable) as error:
                self.log.warning("not_listed", reason=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S * random.uniform(0.5, 1.5))

    async def set_phase(self, phase: Phase) -> int:
        """Publishes a new phase and returns the revision. Raises Refused if this server is no longer registered."""
        if self.state is not RegistrationState.LISTED:  # a lease of 0 would match a key that does not exist
            raise Refused(412, {"error": "not_listed", "message": f"{self.key} is not listed"})
        self.listing.record = replace(self.listing.record, phase=phase)
        result = await self.client.txn(
            [{"key": self.key, "field": "lease", "number": self.lease}],
            [{"put": {"key": self.key, "value": self._value(), "lease": self.lease}}],
        )
        if not result["then"]:
            raise Refused(412, {"error": "not_listed", "message": f"{self.key} is registered under another lease"})
        return int(result["revision"])

    async def deregister(self) -> None:
        """Removes the server from the list at once, and its flap record with it."""
        if self._retry_task is not None:
            self._retry_task.cancel()
            await asyncio.gather(self._retry_task, return_exceptions=True)
        lease, self.lease = self.lease, 0
        if self.state is RegistrationState.LISTED:
            self._set_state(RegistrationState.OUT)
            self.client.renewals.drop(lease)
            await self.client.txn(
                [{"key": self.key, "field": "lease", "number": lease}],
                [{"delete": {"key": self.key}}, {"delete": {"key": self._flap_key}}],
            )
            with contextlib.suppress(Refused):
                await self.client.revoke(lease)

    async def deregister_after_crash(self) -> None:
        """Removes a server that crashed from the list at once, but keeps its flap record."""
        lease, self.lease = self.lease, 0
        if self.state is RegistrationState.LISTED:
            self._set_state(RegistrationState.OUT)
            self.client.renewals.drop(lease)
            with contextlib.suppress(Refused):
                await self.client.revoke(lease)


# --- operators ---


@dataclass(frozen=True, slots=True)
class Row:
    """One registered server. `drained`: by an operator; `changed`: the revision of its record."""

    tier: str
    id: str
    record: ServerRecord
    drained: bool
    lease: int
    changed: int


async def servers(client: KeeperClient, tier: str = "") -> list[Row]:
    """The registered servers of a tier, or of all tiers. Skips keys whose value is not a valid record."""
    drained = {entry["key"].removeprefix(DRAIN) for entry in (await client.ls(DRAIN))["entries"]}
    rows = []
    for entry in (await client.ls(f"{LIST}{tier}/" if tier else LIST))["entries"]:
        name = entry["key"].removeprefix(LIST)
        in_tier, _, id_ = name.partition("/")
        with contextlib.suppress(msgspec.DecodeError):
            rows.append(
                Row(in_tier, id_, _DECODE(entry["value"].encode()), name in drained, entry["lease"], entry["changed"])
            )
    return rows


async def drain(client: KeeperClient, tier: str, id_: str) -> int | None:
    """Shows a server as terminating until `undrain`, also after restarts.

    Returns the revision, or None if there is no such server.
    """
    result = await client.txn(
        [{"key": list_key(tier, id_), "field": "version", "test": ">", "number": 0}],
        [{"put": {"key": drain_key(tier, id_), "value": "operator"}}],
    )
    return int(result["revision"]) if result["then"] else None


async def undrain(client: KeeperClient, tier: str, id_: str) -> bool:
    """Ends a drain. Returns False if the server was not drained."""
    return bool((await client.delete(drain_key(tier, id_)))["deleted"])


async def remove(client: KeeperClient, tier: str, id_: str) -> bool:
    """Removes a server from the list at once, and its drain. A live server registers again at its next renewal.

    Returns False if there is no such server.
    """
    entry = await client.get(list_key(tier, id_))
    await client.delete(drain_key(tier, id_))
    if entry is None:
        return False
    result: dict[str, Any] = await client.delete(list_key(tier, id_), if_revision=entry.changed)
    if entry.lease:
        with contextlib.suppress(Refused):
            await client.revoke(entry.lease)
    return bool(result["deleted"])

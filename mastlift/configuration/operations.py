"""The operators' calls on a service's configuration: put, get, history, revert and status."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from mastlift.configuration.checks import check_content
from mastlift.configuration.core import Condition, Report
from mastlift.configuration.versions import (
    KEPT_VERSIONS,
    Version,
    VersionId,
    check_service,
    current_key,
    decode_version,
    encode_version,
    history_key,
    history_prefix,
    make_version,
    topic_of,
)
from mastlift.discovery.lists import LIST
from mastlift.keeper.client import KeeperClient, Unreachable, ask_each
from mastlift.keeper.wire import value_of
from mastlift.store.machine import LIST_BASE_KEY

REPORT_EXPIRY_MS = 10_000.0  # the condition of a proxy is unknown once its agent's last report is older
ASK_TIMEOUT_S = 2.0


class Conflict(Exception):
    """The newest version is not the expected one, or another put won the race."""


class NoVersion(Exception):
    """The requested version does not exist, or what is stored cannot be decoded."""


@dataclass(frozen=True, slots=True)
class CurrentVersion:
    """The newest version, if any, and the revision at which its key last changed (0 without a version).

    A put compares this revision in its transaction, so that it fails if another put came first."""

    version: Version | None
    changed: int


async def current(client: KeeperClient, service: str) -> CurrentVersion:
    """Read the newest version. Raises NoVersion if what is stored cannot be decoded."""
    entry = await client.get(current_key(service))
    if entry is None:
        return CurrentVersion(None, 0)
    return CurrentVersion(_decode_stored(entry.value, service), entry.changed)


def _decode_stored(value: bytes, service: str) -> Version:
    try:
        return decode_version(value, service)
    except ValueError as error:
        raise NoVersion(f"what is stored for {service} cannot be used: {error}") from error


async def put(client: KeeperClient, service: str, file: str, data: bytes, expect: int | None = None) -> Version:
    """Store the file's content as the next version.

    Raises BadSettings for invalid content, and Conflict if the newest version is not `expect` or another put came
    first; nothing was changed then. Raises Refused or Unreachable if the keepers refuse the put or do not answer; after
    Unreachable the outcome is certain only if the message says so."""
    check_service(service, "SERVICE")
    newest = await current(client, service)
    _check_expected(newest, expect)
    return await _store(client, service, newest, check_content(file, data, newest.version))


def _check_expected(newest: CurrentVersion, expect: int | None) -> None:
    number = newest.version.id.number if newest.version else 0
    if expect is not None and number != expect:
        raise Conflict(f"the newest version is {number}, not {expect}: nothing was changed")


async def _store(
    client: KeeperClient, service: str, newest: CurrentVersion, content: dict[str, Any], reverts_to: int = 0
) -> Version:
    base = await client.get(LIST_BASE_KEY)
    former_id = newest.version.id if newest.version else VersionId(0, 0)
    now = int(time.time() * 1000)
    history_start = base.value.decode() if base else str(now)
    version = make_version(
        service, VersionId(max(int(history_start), former_id.history), former_id.number + 1), content, now, reverts_to
    )
    compares: list[dict[str, Any]] = [
        {"key": current_key(service), "field": "changed", "number": newest.changed},
        {"key": LIST_BASE_KEY, "field": "changed", "number": base.changed if base else 0},
    ]
    response = await _transact(client, service, newest, compares, _operations(version, "" if base else history_start))
    if response["then"]:
        return version
    newest_now = await current(client, service)
    if newest_now.changed == newest.changed:  # only LIST_BASE_KEY changed: the list service stored it in the meantime
        return await _store(client, service, newest, content, reverts_to)
    newer = newest_now.version.id if newest_now.version else 0
    raise Conflict(f"version {newer} was put in the meantime: nothing was changed")


def _operations(version: Version, history_start: str) -> list[dict[str, Any]]:
    """The operations that store a version. `history_start` is written too if it is not empty, that is, if the keepers
    have none yet."""
    service, number, value = version.service, version.id.number, encode_version(version).decode()
    operations: list[dict[str, Any]] = [
        {"put": {"key": current_key(service), "value": value}},
        {"put": {"key": history_key(service, number), "value": value}},
    ]
    if number > KEPT_VERSIONS:
        operations.append({"delete": {"key": history_key(service, number - KEPT_VERSIONS)}})
    if history_start:
        operations.append({"put": {"key": LIST_BASE_KEY, "value": history_start}})
    return operations


async def _transact(
    client: KeeperClient,
    service: str,
    newest: CurrentVersion,
    compares: list[dict[str, Any]],
    operations: list[dict[str, Any]],
) -> dict[str, Any]:
    try:
        return await client.txn(compares, operations)
    except Unreachable as error:
        after = await current(client, service)
        if after.changed != newest.changed:
            raise
        unchanged = f"version {newest.version.id if newest.version else 0} is still the newest"
        certain = ", nothing was changed" if "disk_full" in str(error) else "; check the status again before a retry"
        raise Unreachable(f"{error}; {unchanged}{certain}") from error


async def history(client: KeeperClient, service: str) -> list[Version]:
    """The stored versions, oldest first. Raises NoVersion if one cannot be decoded."""
    check_service(service, "SERVICE")
    response = await client.ls(history_prefix(service))
    return [_decode_stored(value_of(entry), service) for entry in response["entries"]]


async def get(client: KeeperClient, service: str, number: int | None = None) -> Version:
    """The version with this number, or the newest one. Raises NoVersion."""
    check_service(service, "SERVICE")
    if number is None:
        version = (await current(client, service)).version
        if version is None:
            raise NoVersion(f"{service} has no version yet; `mastlift config put` makes the first")
        return version
    entry = await client.get(history_key(service, number))
    if entry is None:
        raise NoVersion(f"{service} has no version {number}; `mastlift config history {service}` lists the stored ones")
    return _decode_stored(entry.value, service)


async def revert(client: KeeperClient, service: str, number: int, expect: int | None = None) -> Version:
    """Store the content of an older version as a new version, with the checks of a put.

    Raises NoVersion if the older version is not stored any more, and otherwise as `put` does."""
    wanted = await get(client, service, number)
    newest = await current(client, service)
    _check_expected(newest, expect)
    content = check_content(f"version {number} of {service}", msgspec.json.encode(wanted.content), newest.version)
    return await _store(client, service, newest, content, number)


# --- status ---


class ProxyCondition(StrEnum):
    """The condition of one proxy with respect to the newest version."""

    IN_FORCE = "in force"
    PENDING = "pending"
    REFUSED = "refused"
    RESTARTING = "restarting"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    AHEAD = "ahead"
    UNKNOWN = "unknown"


# Reports with `no version` count as pending.
PROXY_CONDITIONS = {
    condition: ProxyCondition.PENDING if condition is Condition.NO_VERSION else ProxyCondition(condition.value)
    for condition in Condition
}


@dataclass(frozen=True, slots=True)
class ProxyStatus:
    """One proxy in a service's status. `age_ms` is the age of its agent's last report, None if there is no report."""

    name: str
    condition: ProxyCondition
    in_force: VersionId | None = None
    since_ms: float = 0.0
    reason: str = ""
    age_ms: float | None = None
    hand_edits: int = 0


@dataclass(slots=True)
class ServiceStatus:
    """The newest version of a service and the condition of each of its proxies.

    `silent_keepers` did not answer; reports that only they hold are missing."""

    service: str
    newest: Version | None
    proxies: list[ProxyStatus] = field(default_factory=list)
    silent_keepers: list[str] = field(default_factory=list)

    @property
    def up_to_date(self) -> list[ProxyStatus]:
        return [one for one in self.proxies if one.condition is ProxyCondition.IN_FORCE]

    @property
    def laggards(self) -> list[ProxyStatus]:
        return [one for one in self.proxies if one.condition is not ProxyCondition.IN_FORCE]

    @property
    def is_in_force_everywhere(self) -> bool:
        return self.newest is not None and bool(self.proxies) and not self.laggards

    @property
    def latest_since_ms(self) -> float:
        return max((one.since_ms for one in self.up_to_date), default=0.0)


async def status(client: KeeperClient, keepers: Sequence[str], service: str) -> ServiceStatus:
    """Collect the status of a service from its newest version, its registered servers and each keeper's reports."""
    check_service(service, "SERVICE")
    newest = (await current(client, service)).version
    prefix = f"{LIST}{service}/"
    registered = [entry["key"].removeprefix(prefix) for entry in (await client.ls(prefix))["entries"]]
    response = await ask_each(keepers, f"/v1/reports/{topic_of(service)}", ASK_TIMEOUT_S)
    silent_keepers = [keeper for keeper, one in response.items() if "reports" not in one]
    return ServiceStatus(service, newest, merge_reports(response, registered, newest), silent_keepers)


def merge_reports(
    response: dict[str, dict[str, Any]], registered: Sequence[str], newest: Version | None
) -> list[ProxyStatus]:
    """Evaluate the latest report of each proxy. Registered servers without a report are listed as unknown. Pure."""
    youngest: dict[str, tuple[float, Any]] = {}
    for one in response.values():
        for report in one.get("reports", ()):
            name, age = report["name"], report["age_ms"]
            if name not in youngest or age < youngest[name][0]:
                youngest[name] = age, report["report"]
    found = [evaluate_report(name, age, report, newest) for name, (age, report) in youngest.items()]
    found += [
        ProxyStatus(name, ProxyCondition.UNKNOWN, reason="no agent has reported")
        for name in registered
        if name not in youngest
    ]
    return sorted(found, key=lambda one: one.name)


def evaluate_report(name: str, age_ms: float, body: Any, newest: Version | None) -> ProxyStatus:
    """Evaluate one report against the newest version. Pure."""
    try:
        report = msgspec.convert(body, Report)
    except msgspec.ValidationError as error:
        return ProxyStatus(name, ProxyCondition.UNKNOWN, reason=f"its report cannot be read: {error}", age_ms=age_ms)
    condition, reason = PROXY_CONDITIONS[report.condition], report.reason
    if age_ms > REPORT_EXPIRY_MS:
        condition, reason = ProxyCondition.UNKNOWN, f"its agent has not reported for {age_ms / 1000:.0f} s"
    elif condition is ProxyCondition.IN_FORCE and newest is not None and report.in_force != newest.id:
        behind = report.in_force is not None and report.in_force < newest.id
        condition = ProxyCondition.PENDING if behind else ProxyCondition.AHEAD
        reason = reason or f"it has version {report.in_force}"
    return ProxyStatus(name, condition, report.in_force, report.since_ms, reason, age_ms, report.hand_edits)

"""Versions of a service's configuration and the proxy's file rendered from them. Pure.

Versions are ordered first by the history of the store in which they were put (the Unix time in ms at which that history
began), then by number. Restoring a backup begins a new history: a version that is put after the restore is newer than
all versions from before it, and the versions in the backup remain older than those put after the backup was taken.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
import orjson

from mastlift.settings import BadSettings

KEPT_VERSIONS = 50  # per service; a put deletes the version that exceeds this number
DISTRIBUTED_KEYS = ("settings", "discovery")
LOCAL_SETTINGS = ("position", "zone")  # taken from the machine's base file if it has them
VERSION_KEY = "version"  # key in the proxy's file; the proxy reports its value at the admin endpoint
SERVICE_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_ENCODE = msgspec.json.Encoder(order="deterministic").encode


class VersionId(msgspec.Struct, frozen=True, order=True):
    """Identifies a version; newer versions compare greater. `history` is the Unix time in ms at which the store's
    history began."""

    history: int
    number: int

    def __str__(self) -> str:
        return str(self.number)


INSTALLED = VersionId(0, 0)  # a file that names no version, such as the one installed with the proxy


class Version(msgspec.Struct, frozen=True):
    """One version as it is stored. `checksum` covers service, id and content."""

    service: str
    id: VersionId
    content: dict[str, Any]
    checksum: str
    put_ms: int
    reverts_to: int = 0  # number of the version whose content was stored again; 0: none


@dataclass(frozen=True, slots=True)
class Rendered:
    """The proxy's file for one version on one machine, and the digest that the proxy reports once it is in force."""

    id: VersionId
    data: bytes
    digest: str


def current_key(service: str) -> str:
    """The key of the newest version. Its value is the complete version, so that a watch delivers it in one line and
    agents need no further read."""
    return f"config/{service}/current"


def history_prefix(service: str) -> str:
    return f"config-history/{service}/"


def history_key(service: str, number: int) -> str:
    return f"{history_prefix(service)}{number:012d}"


def topic_of(service: str) -> str:
    """The topic of the agents' reports."""
    return f"config:{service}"


def check_service(service: str, what: str) -> str:
    """Return the service's name. Raises BadSettings that names the key or argument `what` if it is not valid."""
    if not SERVICE_NAME.fullmatch(service):
        raise BadSettings(f"{what}: '{service}' is no service's name: a to z, 0 to 9, dots, hyphens, at most 63")
    return service


# --- stored form ---


def _checksum(service: str, id_: VersionId, content: dict[str, Any]) -> str:
    return hashlib.sha256(_ENCODE([service, id_, content])).hexdigest()


def make_version(service: str, id_: VersionId, content: dict[str, Any], put_ms: int, reverts_to: int = 0) -> Version:
    return Version(service, id_, content, _checksum(service, id_, content), put_ms, reverts_to)


def encode_version(version: Version) -> bytes:
    return _ENCODE(version)


def decode_version(data: bytes, service: str) -> Version:
    """Decode a stored version. Raises ValueError if it is no version of this service or does not match its checksum."""
    try:
        version = msgspec.json.decode(data, type=Version)
    except msgspec.DecodeError as error:
        raise ValueError(f"it is no version: {error}") from error
    if version.service != service:
        raise ValueError(f"it belongs to the service '{version.service}', not to '{service}'")
    if version.checksum != _checksum(version.service, version.id, version.content):
        raise ValueError(f"version {version.id} does not match its checksum")
    return version


# --- the proxy's file ---


def settings_digest(raw: Mapping[str, Any]) -> str:
    """The same digest as `proxy.control.settings_digest`. Repeated here so that agents need not import the proxy."""
    settings = {name: value for name, value in raw.items() if name != "known"}
    return hashlib.sha256(orjson.dumps(settings, option=orjson.OPT_SORT_KEYS)).hexdigest()


def merge(base: Mapping[str, Any], content: Mapping[str, Any]) -> dict[str, Any]:
    """Combine the keys of the machine's base file with the distributed keys of the service.

    Distributed keys replace those of the base file, except LOCAL_SETTINGS."""
    base_settings = base.get("settings") or {}
    local = {name: base_settings[name] for name in LOCAL_SETTINGS if name in base_settings}
    return {**base, **content, "settings": {**content["settings"], **local}}


def render(base: Mapping[str, Any], version: Version) -> Rendered:
    """Render the proxy's file for a version from the machine's base file."""
    merged = merge(base, version.content)
    merged[VERSION_KEY] = {"service": version.service, "history": version.id.history, "number": version.id.number}
    data = orjson.dumps(merged, option=orjson.OPT_INDENT_2) + b"\n"
    return Rendered(version.id, data, settings_digest(orjson.loads(data)))


def digest_and_version(data: bytes, service: str) -> tuple[str, VersionId | None]:
    """The digest of a proxy's file and the id of this service's version that it names, None if it names none.

    Raises ValueError if the file is not a JSON object."""
    raw = orjson.loads(data)
    if not isinstance(raw, dict):
        raise ValueError("it is no object")
    return settings_digest(raw), parse_version_id(raw.get(VERSION_KEY), service)


class _VersionField(msgspec.Struct, frozen=True):
    """The value of VERSION_KEY in a proxy's file."""

    service: str
    history: int
    number: int


def parse_version_id(value: object, service: str) -> VersionId | None:
    """The id in the value of VERSION_KEY. None for a version of another service, whose ids are not comparable."""
    try:
        version_field = msgspec.convert(value, _VersionField)
    except msgspec.ValidationError:
        return None
    return VersionId(version_field.history, version_field.number) if version_field.service == service else None

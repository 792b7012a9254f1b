"""The proxy's configuration: the JSON file named by NODE_CONFIG, read at the start and at each SIGHUP.

A file is checked completely before any of it is applied: its keys, its numbers, and that no key of the configuration in
force is missing.
"""

from __future__ import annotations

import math
import os
import socket
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from balancing import api
from balancing.simhost import EFFECTS, SCOPES, optional, read_settings

Address = tuple[str, int]

# Required keys by path; no default would be safe for them.
REQUIRED: dict[str, tuple[str, ...]] = {
    "": ("seed", "settings"),
    "settings": (
        "discovery",
        "group_size",
        "lanes",
        "limits",
        "obligations",
        "position",
        "stage",
        "tiers",
        "zone",
        "zones",
    ),
    "settings.limits": ("cancel", "may_duplicate", "max_open", "try_limit"),
    "settings.obligations": ("ask_within_ms", "cold_from", "fall_ms", "overload_factor", "ramp_time_ms"),
}
REQUIRED_OF_CLASS = ("name", "aim_ms", "deadline_ms", "effect", "worth", "late_worth")
REQUIRED_OF_KEYED = ("dedup_scope", "key_ttl_ms")
DISCOVERY_MODES = ("automatic", "subscribe")
OPTIONAL_ON_RELOAD = frozenset({"aim_stretch", "passes_deadline", "warm_keys"})  # declared optional by the protocol


class BadConfig(Exception):
    """The configuration cannot be used; the message is meant for the operator."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of one proxy, checked and converted."""

    name: str
    listen: Address
    control: Address | None  # of the operators' interface, if any
    discovery: tuple[Address, ...]  # one address, or several that serve the same lists
    list_file: Path | None  # where the last endpoint list is saved, if anywhere
    seed: int
    settings: api.Settings
    classes: dict[str, int]  # name -> index in settings.classes
    tenants: dict[str, int]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    load_fields: tuple[str, ...]  # columns of the load reports in answers; empty if there are none
    known: dict[str, Any]  # the endpoint list that this proxy last had, in discovery's form
    sockets: int
    memory_mb: float
    max_open: int
    idle_close_ms: float
    connect_timeout_ms: float
    stop_sending_ms: float  # time to stop sending to a server after it is announced as leaving
    may_send_retry_after: bool  # whether refused clients are sent a Retry-After header
    raw: dict[str, Any] = field(default_factory=dict)  # the file's content without `known`
    # Classes of the previous settings: name -> index in settings.classes, for requests that match only those.
    former_classes: dict[str, int] = field(default_factory=dict)
    former_methods: dict[str, bytes] = field(default_factory=dict)

    def longest_deadline_s(self) -> float:
        """The longest deadline of a class in force; former classes, which clients use for a while, don't count."""
        return max(self.settings.classes[index].deadline_ms for index in self.classes.values()) / 1000.0


def read_address(text: str) -> Address:
    """Parses HOST:PORT, where HOST may be an IPv6 address in brackets. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def read_addresses(given: str | list[str]) -> tuple[Address, ...]:
    """Parses one or more addresses, given as a list or separated by commas."""
    texts = given.split(",") if isinstance(given, str) else given
    return tuple(dict.fromkeys(read_address(text.strip()) for text in texts))


def method_of(cls: api.RequestClass) -> bytes:
    """The HTTP method that requests of the class have."""
    return b"GET" if cls.effect is api.Effect.SAFE else b"POST"


@dataclass(frozen=True, slots=True)
class Number:
    """The values allowed for a number."""

    minimum: float
    above: bool = False  # the minimum itself is not allowed
    maximum: float = math.inf
    whole: bool = False

    def problem(self, value: Any) -> str:
        """Why the value is not allowed; empty if it is."""
        if not isinstance(value, int | float) or isinstance(value, bool) or not math.isfinite(value):
            return "is not a number"
        if value < self.minimum or (self.above and value == self.minimum):
            return f"is not above {self.minimum:g}" if self.above else f"is below {self.minimum:g}"
        if value > self.maximum:
            return f"is over {self.maximum:g}"
        return "is not a whole number" if self.whole and value != int(value) else ""


POSITIVE, NON_NEGATIVE = Number(0.0, above=True), Number(0.0)
COUNT, INDEX = Number(1.0, whole=True), Number(0.0, whole=True)
# Allowed numbers by path. A key that is listed here but not in REQUIRED may be missing or null.
NUMBERS: dict[str, dict[str, Number]] = {
    "limits": {"sockets": COUNT, "memory_mb": POSITIVE, "cores": POSITIVE},
    "settings": {
        "group_size": COUNT,
        "position": INDEX,
        "stage": INDEX,
        "zone": INDEX,
        "over_share_worth": NON_NEGATIVE,
    },
    "settings.limits": {
        "try_limit": COUNT,
        "max_open": NON_NEGATIVE,
        "idle_close_ms": POSITIVE,
        "connect_timeout_ms": POSITIVE,
        "max_retry_after_ms": NON_NEGATIVE,
    },
    "settings.obligations": {
        "ask_within_ms": POSITIVE,
        "cold_from": Number(0.0, above=True, maximum=1.0),
        "fall_ms": POSITIVE,
        "overload_factor": POSITIVE,
        "ramp_time_ms": NON_NEGATIVE,
        "stop_sending_within_ms": NON_NEGATIVE,
        "extra_floor": NON_NEGATIVE,
        "extra_per_request": NON_NEGATIVE,
        "ratio_span_ms": POSITIVE,
    },
    "settings.fees": {"cross_zone": NON_NEGATIVE},
}
NUMBERS_OF_CLASS = {
    "aim_ms": POSITIVE,
    "deadline_ms": POSITIVE,
    "worth": NON_NEGATIVE,
    "late_worth": NON_NEGATIVE,
    "key_ttl_ms": NON_NEGATIVE,
}
FLAGS = {"settings.limits": ("cancel", "may_duplicate", "retry_after"), "settings.client_habits": ("marks_retry",)}


def check_numbers(section: dict[str, Any], numbers: Mapping[str, Number], where: str) -> None:
    for name, number in numbers.items():
        value = section.get(name)
        if value is not None and (problem := number.problem(value)):
            raise ValueError(f"{where}.{name}: {value!r} {problem}")


def check_keys(section: Any, required: Iterable[str], where: str) -> None:
    if not isinstance(section, dict):
        raise ValueError(f"{where or 'the file'}: {type(section).__name__} instead of an object")
    for name in required:
        if section.get(name) is None:
            raise ValueError(f"{where}.{name} is missing".lstrip("."))


def check_class(lane: Any, index: int, names: set[str]) -> None:
    check_keys(lane, REQUIRED_OF_CLASS, f"settings.lanes[{index}]")
    name = lane["name"]
    if not isinstance(name, str) or not name or name in names:
        raise ValueError(f"settings.lanes[{index}].name: {name!r} is not a unique name")
    names.add(name)
    where = f"settings.lanes[{index}] ({name})"
    for key, known in (("effect", EFFECTS), ("dedup_scope", SCOPES)):
        value = lane.get(key)
        if value is not None and not (isinstance(value, str) and value in known):
            raise ValueError(f"{where}.{key}: {value!r} is none of {', '.join(known)}")
    check_keys(lane, REQUIRED_OF_KEYED if lane["effect"] == "dedup" else (), where)
    check_numbers(lane, NUMBERS_OF_CLASS, where)


def check(raw: dict[str, Any]) -> None:
    """Checks the content of a configuration file. Raises ValueError, which names the key."""
    sections: dict[str, Any] = {"": raw}
    for path in dict.fromkeys((*REQUIRED, *NUMBERS, *FLAGS)):
        above, _, name = path.rpartition(".")
        if path:
            section = sections[above].get(name)
            if section is None and path not in REQUIRED:
                section = {}
            sections[path] = section
        check_keys(sections[path], REQUIRED.get(path, ()), path)
        check_numbers(sections[path], NUMBERS.get(path, {}), path)
        for flag in FLAGS.get(path, ()):
            if not isinstance(optional(sections[path], flag, False), bool):
                raise ValueError(f"{path}.{flag}: {sections[path][flag]!r} is neither true nor false")
    settings = raw["settings"]
    lanes, names = settings["lanes"], set[str]()
    if not isinstance(lanes, list) or not lanes:
        raise ValueError("settings.lanes: no list of at least one class")
    for index, lane in enumerate(lanes):
        check_class(lane, index, names)
    tenants = optional(settings, "tenants", [])
    for index, tenant in enumerate(tenants):
        check_keys(tenant, ("allowance_per_s",), f"settings.tenants[{index}]")
        check_numbers(tenant, {"allowance_per_s": NON_NEGATIVE}, f"settings.tenants[{index}]")
    for name, minimum in (("zones", 0), ("tiers", 1)):
        if not isinstance(settings[name], list) or len(settings[name]) < minimum:
            raise ValueError(f"settings.{name}: not a list of names, or too short")
    for name, count in (("position", settings["group_size"]), ("stage", len(settings["tiers"]))):
        if settings[name] >= count:
            raise ValueError(f"settings.{name}: {settings[name]!r} is not below {count}")
    if settings["discovery"] not in DISCOVERY_MODES:
        raise ValueError(f"settings.discovery: {settings['discovery']!r} is none of {', '.join(DISCOVERY_MODES)}")


def missing_keys(now: Any, new: Any, path: str = "") -> Iterator[str]:
    """Yields the paths of keys that the file in force has and the new one lacks.

    Entries of lists may be added and removed; a key that all old entries have must be in each new entry.
    """
    if isinstance(now, dict) and isinstance(new, dict):
        for name in now.keys() - OPTIONAL_ON_RELOAD:
            where = f"{path}.{name}" if path else name
            if name in new:
                yield from missing_keys(now[name], new[name], where)
            else:
                yield where
    elif isinstance(now, list) and isinstance(new, list):
        entries = [entry for entry in now if isinstance(entry, dict)]
        if entries:
            common = {name: None for name in entries[0] if all(name in entry for entry in entries)}
            for entry in new:
                yield from missing_keys(common, entry, path)


def read_config(raw: dict[str, Any], environment: Mapping[str, str]) -> NodeConfig:
    """Checks and converts a file's content.

    Unknown keys are ignored. Addresses that the file does not contain are taken from the environment. Raises
    ValueError, or KeyError if an address is missing in both.
    """
    check(raw)
    info = raw["settings"]
    limits, report = optional(info, "limits", {}), optional(info, "report", {})
    seed = raw["seed"]
    settings = read_settings(info)
    control = raw.get("control") or environment.get("NODE_CONTROL")
    return NodeConfig(
        name=str(raw.get("name") or environment.get("NODE_NAME", "")),
        listen=read_address(raw.get("listen") or environment["NODE_LISTEN"]),
        control=read_address(control) if control else None,
        discovery=read_addresses(raw.get("discovery") or environment["NODE_DISCOVERY"]),
        list_file=Path(raw["list_file"]) if raw.get("list_file") else None,
        seed=seed if isinstance(seed, int) else int(seed, 16),
        settings=settings,
        classes={lane["name"]: index for index, lane in enumerate(info["lanes"])},
        tenants={tenant["name"]: index for index, tenant in enumerate(optional(info, "tenants", ()))},
        zones=tuple(optional(info, "zones", ())),
        kinds=tuple(optional(info, "host_types", ())),
        load_fields=tuple(optional(report, "columns", ())) if report.get("how") == "inline" else (),
        known=optional(raw, "known", {}),
        sockets=int(optional(optional(raw, "limits", {}), "sockets", 1024)),
        memory_mb=float(optional(optional(raw, "limits", {}), "memory_mb", 64.0)),
        max_open=int(optional(limits, "max_open", 20_000)),
        idle_close_ms=float(optional(limits, "idle_close_ms", 15_000.0)),
        connect_timeout_ms=float(optional(limits, "connect_timeout_ms", 250.0)),
        stop_sending_ms=float(optional(optional(info, "obligations", {}), "stop_sending_within_ms", 250.0)),
        may_send_retry_after=bool(optional(limits, "retry_after", False)),
        raw={name: value for name, value in raw.items() if name != "known"},
    )


def with_former_classes(now: NodeConfig, new: NodeConfig) -> NodeConfig:
    """The new settings, with the classes of the old ones that were removed or whose effect changed added.

    Clients use the old settings for a while. A removed class keeps its rules. If the effect of a class changed, its old
    form is added as unsafe: its requests run at most once, which is correct under both settings.
    """
    classes, former_classes, methods = list(new.settings.classes), {}, {}
    for name, index in now.classes.items():
        cls = now.settings.classes[index]
        kept = new.classes.get(name)
        if kept is not None and new.settings.classes[kept].effect is cls.effect:
            continue
        former_classes[name], methods[name] = len(classes), method_of(cls)
        classes.append(cls if kept is None else replace(cls, effect=api.Effect.UNSAFE))
    settings = replace(new.settings, classes=tuple(classes))
    return replace(new, settings=settings, former_classes=former_classes, former_methods=methods)


def read_file(path: str) -> dict[str, Any]:
    """The JSON object in a file. Raises OSError, or ValueError if it is not an object."""
    raw = orjson.loads(Path(path).read_bytes())
    if not isinstance(raw, dict):
        raise ValueError(f"expected an object, got {type(raw).__name__}")
    return raw


def inherited_listener(environment: Mapping[str, str] = os.environ) -> socket.socket | None:
    """The listening socket for clients, if the service manager opened it and passed it on; else None.

    Raises BadConfig if the descriptor is not a listening TCP socket.
    """
    text = environment.get("NODE_INHERITED_FD")
    if not text:
        return None
    if not text.isdecimal():
        raise BadConfig(f"NODE_INHERITED_FD: {text!r} is not a descriptor number")
    try:
        listener = socket.socket(fileno=int(text))
    except (OSError, OverflowError) as problem:
        raise BadConfig(f"NODE_INHERITED_FD: descriptor {text} is not an open socket: {problem}") from problem
    try:
        is_tcp = listener.family in (socket.AF_INET, socket.AF_INET6) and listener.type == socket.SOCK_STREAM
        if not is_tcp or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise BadConfig(f"NODE_INHERITED_FD: descriptor {text} is not a listening TCP socket")
    except BadConfig:
        listener.detach()  # the descriptor was not opened here, so it is not closed here
        raise
    return listener


def load_config(environment: Mapping[str, str] = os.environ, now: NodeConfig | None = None) -> NodeConfig:
    """Loads the configuration. `now` is the one in force at a reload. Raises BadConfig, which names the file."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise BadConfig("NODE_CONFIG is not set")
    try:
        raw = read_file(path)
        new = read_config(raw, environment)
    except KeyError as problem:
        raise BadConfig(f"{path}: {problem} is missing or has an unknown value") from problem
    except (OSError, ValueError, TypeError, AttributeError, OverflowError) as problem:
        raise BadConfig(f"{path}: {problem}") from problem
    if now is None:
        return new
    if missing := sorted(missing_keys(now.raw, raw)):
        raise BadConfig(f"{path}: {', '.join(missing)} missing, but present in the settings in force")
    return with_former_classes(now, new)

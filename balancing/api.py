"""The interface of the decision module: settings, events in, actions out.

A host passes each event with the current time to `Balancer.handle` and carries out the returned
actions in order. All times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # has an idempotency key; servers of one scope drop its repeats for `key_ttl_ms`
    UNSAFE = "unsafe"  # must not run twice


class Scope(Enum):
    """The group of servers that share idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request with its times, worth and rules for repeats; ValueError for values out of range."""

    aim_ms: float  # an answer within this time earns the full worth
    deadline_ms: float  # total time that a client waits, including its own retries
    effect: Effect = Effect.SAFE
    dedup_scope: Scope = Scope.ALL
    key_ttl_ms: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that an answer between aim and deadline earns
    stream: bool = False
    name: str = ""  # key under which measurements survive a change of settings

    def __post_init__(self) -> None:
        _positive(self, "aim_ms", "deadline_ms")
        _not_negative(self, "key_ttl_ms", "worth", "late_worth")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A client organization with an allowance; ValueError if the allowance is negative."""

    allowance_per_s: float  # requests per second over all balancers that count as within its share
    name: str = ""

    def __post_init__(self) -> None:
        _not_negative(self, "allowance_per_s")


@dataclass(frozen=True, slots=True)
class AttemptBudget:
    """Retries and backup requests that one balancer may send in any window of `span_ms`."""

    floor: float = 0.0  # allowed regardless of traffic
    per_request: float = 0.0  # added for each request that arrived in the window
    span_ms: float = 10_000.0

    def __post_init__(self) -> None:
        _not_negative(self, "floor", "per_request")
        _positive(self, "span_ms")


@dataclass(frozen=True, slots=True)
class Settings:
    """Operator settings; the defaults suit a single balancer. ValueError names a setting out of range."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # balancers in this tier
    position: int = 0  # index of this balancer among them
    tier: int = 0  # the tier that this balancer sends to; 0 at the clients' entry
    tiers: int = 1
    zone: int = 0
    may_cancel: bool = True
    may_duplicate: bool = True
    max_attempts: int = 4
    attempt_budget: AttemptBudget | None = None  # None: the module's default
    must_ask: bool = False  # the endpoint list is sent only on request
    ask_within_ms: float = 10_000.0  # longest time between list requests without a watch
    cold_from: float = 1.0  # a server starts with at least this share of its capacity
    warm_up_ms: float = 0.0  # time after which a started server has its full capacity
    overload_factor: float = 3.0  # a cold server fails at this multiple of its present capacity
    fall_ms: float = 3000.0  # sustained for this time
    cross_zone_price: float = 0.0
    over_share_worth: float = 1.0  # factor on the worth of a request above its tenant's share
    marks_retries: bool = False  # clients mark their retries

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: {self.max_attempts} is not at least 1")
        if not 0 <= self.position < self.balancers:
            raise ValueError(f"position: {self.position} is not below balancers ({self.balancers})")
        if not 0 <= self.tier < self.tiers:
            raise ValueError(f"tier: {self.tier} is not below tiers ({self.tiers})")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from: {self.cold_from} is not in (0, 1]")
        _positive(self, "ask_within_ms", "overload_factor", "fall_ms")
        _not_negative(self, "warm_up_ms", "cross_zone_price", "over_share_worth")


def _positive(owner: object, *names: str) -> None:
    for name in names:
        if not getattr(owner, name) > 0:
            raise ValueError(f"{name}: {getattr(owner, name)} is not above 0")


def _not_negative(owner: object, *names: str) -> None:
    for name in names:
        if not getattr(owner, name) >= 0:
            raise ValueError(f"{name}: {getattr(owner, name)} is below 0")


# --- events ---


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the endpoint list."""

    name: str
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    state: State = State.READY
    started_at: float = 0.0  # 0: unknown, counts as warm


class ListKind(Enum):
    """What a `ListChanged` event brings."""

    DELTA = "delta"  # only changed entries
    FULL = "full"  # complete; servers left out are removed
    CACHED = "cached"  # from this balancer's storage, possibly old
    FAILED = "failed"  # a list request failed, or the watch broke or timed out; no entries
    ALIVE = "alive"  # a watch that had timed out delivers again; no entries

    @property
    def has_servers(self) -> bool:
        return self not in (ListKind.FAILED, ListKind.ALIVE)


@dataclass(frozen=True, slots=True)
class ListChanged:
    """A new or updated endpoint list, or a failure to get one.

    `due_ms`: after a failure, the time until missed changes count as known, as far as the host knows; the next
    list request must be answered by then. A watch that timed out is kept until the next `Watch`, as it may resume.

    `outdated_in_ms`: the time until a change that the list in use may lack counts as known, where discovery is
    seen to be reachable; infinite if nothing is missed or this cannot be determined.
    `max_send_stop_ms`: how long at most no attempt starts from then on.
    """

    kind: ListKind
    servers: tuple[Server, ...] = ()
    due_ms: float = math.inf
    outdated_in_ms: float = math.inf
    max_send_stop_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FreshnessChanged:
    """Updates how outdated the list may be, without entries; fields as in `ListChanged`."""

    outdated_in_ms: float = math.inf
    max_send_stop_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; its `class_index` is a position in `Settings.classes`."""

    request: str  # unique id
    class_index: int
    left_ms: float  # time until the client abandons this attempt
    tenant: int = 0
    cost_ms: float | None = None  # expected work, if the client states it
    is_retry: bool = False  # a client's retry, if clients mark them
    body_pending: bool = False  # the body is incomplete; times count from BodyEnded


@dataclass(frozen=True, slots=True)
class BodyDiscarded:
    """Bytes of the body were sent and not kept, so the request can't be sent again."""

    request: str


@dataclass(frozen=True, slots=True)
class BodyEnded:
    """The last byte of a request with a pending body has arrived."""

    request: str
    left_ms: float  # time until the client abandons this attempt


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for the answer to this request."""

    request: str


class Outcome(Enum):
    """How an attempt ended; after one in `NEVER_RAN` it had no effect."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected by the server without processing
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent


CHANGE_KNOWN_AFTER_MS = 6_000.0  # a change counts as known this long after discovery had it and was reachable
DISCOVERY_QUEUE_WAIT_MS = 2_000.0  # discovery answers or refuses a call within this time
WATCH_HEARTBEAT_MS = 2_000.0  # longest interval between messages of a watch
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: str
    attempt: int  # index in the order of the request's sends, from 0
    server: str
    outcome: Outcome
    final: bool  # the client has its answer
    latency_ms: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings; open requests keep the class that they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class TakenOver:
    """The state of the predecessor process, as returned by its `Balancer.learned`."""

    learned: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Yielded:
    """A successor process has taken over (or no longer does); the two act as one balancer."""

    on: bool


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer has begun to reach the client; the deadline no longer ends it."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that `SetTimer` started with this token has expired."""

    token: int


Event = (
    RequestArrived
    | BodyDiscarded
    | BodyEnded
    | AttemptEnded
    | TimerFired
    | ListChanged
    | FreshnessChanged
    | ClientDisconnected
    | StreamStarted
    | SettingsChanged
    | TakenOver
    | Yielded
)


# --- actions ---


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt: the first, a retry or a backup request."""

    request: str
    server: str
    timeout_ms: float = 0.0  # 0: until the client abandons the request
    # The first byte must be sent within this, else not at all: connecting may outlast the key's lifetime.
    start_within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    request: str
    attempt: int


class Unserved(Enum):
    """Why a request is refused or failed."""

    NO_ROOM = "no room at the entry"
    OUTDATED_LIST = "the endpoint list may be outdated"
    NO_SERVER = "no server may take it"
    NO_ATTEMPT_LEFT = "no further attempt is allowed"
    OUT_OF_TIME = "out of time"
    FAULT = "a fault in the decisions"
    OVERLOAD = "too many requests are open"
    REPEATED = "its id was sent before and may have run"


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: a retry does no harm, as nothing has run or its repeats have no effect."""

    request: str
    retry_after_ms: float = 0.0
    reason: Unserved = field(default=Unserved.NO_ATTEMPT_LEFT, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that does not say whether the request has run."""

    request: str
    reason: Unserved = field(default=Unserved.NO_ATTEMPT_LEFT, compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class Close:
    """Close the idle connections to a server, not those in use."""

    server: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask discovery for the list and its changes."""


Action = Send | Cancel | Refuse | Fail | SetTimer | Close | Watch

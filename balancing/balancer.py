"""All decisions of balancing, without clock or I/O. Types, events and actions: balancing/api.py.

`Balancer.handle` takes one event and returns the actions that follow. At the clients' entry `Admission`
bounds the requests in flight by the measured rate of timely answers. An admitted request goes to the next
server of a weighted round robin over this balancer's subset. Without an answer after a delay, a call that
may be repeated gets one backup request, as far as `BackupGate` (share of recent attempts) and
`AttemptBudget` allow; the first answer wins and the other attempt is cancelled (docs/design.md).

Rules named in this module: 1, one final answer, and no attempt after it; 2, effects are not repeated beyond
what a class allows; 3, no attempt to a draining or removed server; 4, cold servers are not overloaded;
5, the attempt budget holds.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from heapq import heappop, heappush
from typing import Any
from zlib import crc32

from balancing import api
from balancing.api import DISCOVERY_QUEUE_WAIT_MS, Effect, ListKind, Outcome, Scope, State, Unserved
from balancing.congestion import ListCongestion
from balancing.outdated import OutdatedList

MAX_BACKUP_RATIO = 0.05  # backups among the completed attempts of the window; no backup is sent from here on
BACKUP_WINDOW_MS = 10_000.0
BACKUP_DELAY_SHARE = 0.625  # of the time to a timely answer: most answers arrive earlier
# Used where no budget is configured: retries and backups multiply across tiers, but chance losses need some.
DEFAULT_ATTEMPT_BUDGET = api.AttemptBudget(floor=3.0, per_request=0.2, span_ms=10_000.0)
MIN_RATE_SPAN_MS = 1_000.0  # arrivals over a shorter time give no reliable rate
WINDOW_EDGE_MS = 0.002  # a host may count whole microseconds: near a window's edge the stricter case holds
AVERAGE_DECAY_MS = 10_000.0  # time constant of the averages about servers, equal to the backup window
PRIOR_SAMPLES = 3.0  # weight of the prior (that of the server's kind), in answers
SLOWNESS_EXPONENT = 1.0  # queues make answers slower than the server itself: a higher power overcorrects
MAX_SLOWNESS = 3.0  # cap in a weight: a slow server keeps some turns, so that its recovery is noticed
EXCESS_LOAD_RATIO = 1.0  # a server with one call more than this multiple of its fair share is skipped
FAILURE_EXPONENT = 4.0  # a server that fails half of its calls keeps a sixteenth of its turns
MAX_UNSAFE_FAILURE = 0.15  # from this excess over all servers' failure rate, non-safe requests avoid one
MIN_FAILURE_FACTOR = 0.02  # a server that fails all calls still gets one now and then
WORTH_LIMIT_REDUCTION = 0.1  # a request worth nothing may use this much less of the limit
REDUCED_WORTH_LIMIT_SHARE = 0.5  # of the limit, for requests over their tenant's share or past their aim
ALLOWANCE_BURST_MS = 5_000.0  # of its allowance that a tenant may save up: its calls come in bursts
MIN_IN_FLIGHT_PER_SERVER = 3.0  # summed over all balancers; allowed before any answer has come
TARGET_LATENCY_SHARE = 0.35  # of its aim that the mean answer may take; late_worth adds to it
BURST_DEVIATIONS = 3.0  # standard deviations of random arrivals admitted while answers are well in time
HIGH_LATENCY_SHARE = 0.85  # of its aim, taken by the mean request: from here on no burst is admitted
HIGH_LATENCY_RANGE = 0.35  # the burst allowance falls from whole to none over this range below it
HIGH_LATENCY_RATIO = 1.5  # the same limit for attempts, as a multiple of the baseline without overload
HIGH_LATENCY_RATIO_RANGE = 0.45
BASELINE_WINDOW_MS = 10_000.0  # the baseline is the least of the mean latencies within this time
BASELINE_MIN_SAMPLES = 20  # answers in each of these means, which also spans the longest aim
OVERLOAD_LATENCY_SHARE = 0.25  # target where answers are late: servers slow down when overloaded
ATTEMPT_LATENCY_DECAY_MS = 2_000.0  # servers choke within seconds, so attempt latency is averaged no longer
WAIT_SHARE = 0.25  # of its aim that a request may wait for admission at the entry
COLD_MARGIN = 0.5  # of the configured overload that all balancers together may put on a cold server
MIN_WARM_SHARE = 0.5  # of the subset must be warm for a rate to count; one then gets 1.6 times its part
COLD_WEIGHT_FACTOR = 1.8  # a cold server's weight, as a multiple of the least capacity that it may have
TIMEOUT_TOLERANCE_MS = 50.0  # equal client timeouts arrive with remaining times that differ by transit time
LOCALITY_EXPONENT = 3.0  # local answers 1.5 times as slow as remote ones remove most of the preference
MAX_LOCAL_PREFERENCE = 6.0  # weight factor of the own zone's servers where crossing zones has a price
IDLE_RESET_MEMORY_MS = 30_000.0  # after a reset, long-idle connections are closed for this time, then retried
TRUSTED_IDLE_SHARE = 0.5  # of the shortest idle time that lost a connection; one idle for longer is closed
MIN_SUBSET = 5  # servers in a balancer's subset: enough to judge one by its peers
MIN_SERVER_SHARING = 3  # balancers that share each server: evens out what each of them sends
GOLDEN_RATIO_CONJUGATE = 0.6180339887  # its multiples modulo 1 are spread evenly for any run of positions


START_TIME_TOLERANCE_MS = 1_000.0  # two processes read the machine's clock slightly differently
TAKEOVER_RETRY_STEP_MS = 300.0  # added per failure to the delay of list calls after a takeover
# Spacing of calls for a list that is overdue or nearly so, doubled with each failure in a row: refusals come
# back at once, and a balancer that has just lost its watch takes precedence over one refused often.
MIN_RETRY_SPACING_MS, MAX_RETRY_SPACING_MS = 20.0, 1_200.0
MAX_DOUBLINGS = 10  # without a cap, failures over an hour overflow the power of two
RETRY_SPREAD_SHARE = 0.5  # of the time until a change is due; the rest lets discovery answer all balancers


def max_retry_delay_ms(due_ms: float) -> float:
    """Longest delay of the next list call, `due_ms` before missed changes count as known: spread out, since
    all watches end at once when discovery's machine fails, but leaving time to wait in discovery's queue."""
    return max(min(RETRY_SPREAD_SHARE * due_ms, due_ms - DISCOVERY_QUEUE_WAIT_MS), 0.0)


class DecayingAverage:
    """A mean whose samples lose weight exponentially, with time constant `decay_ms`."""

    __slots__ = ("at", "count", "decay_ms", "total")

    def __init__(self, decay_ms: float = AVERAGE_DECAY_MS) -> None:
        self.decay_ms = decay_ms
        self.count = self.total = self.at = 0.0

    def add(self, value: float, now: float) -> None:
        self.decay(now)
        self.count += 1.0
        self.total += value

    def restore(self, saved: Any) -> None:
        """Continue from a state that `learned` returned."""
        self.count, self.total, self.at = map(float, saved)

    def learned(self) -> list[float]:
        """The state, as plain values."""
        return [self.count, self.total, self.at]

    def mean(self, prior: float, prior_count: float, now: float) -> float:
        """The mean, with a prior of the weight of `prior_count` samples."""
        self.decay(now)
        return (self.total + prior * prior_count) / (self.count + prior_count)

    def decay(self, now: float) -> None:
        kept = math.exp((self.at - now) / self.decay_ms)
        self.count *= kept
        self.total *= kept
        self.at = now


class Member:
    """A server with its rotation state and health, as measured by this balancer."""

    __slots__ = (
        "cold_credit",
        "cold_credit_at",
        "entry",
        "failures",
        "idle_since",
        "name",
        "order",
        "outstanding",
        "ready",
        "ring_key",
        "slowness",
        "turn",
        "weight",
    )

    def __init__(self, entry: api.Server, order: int) -> None:
        self.order = order  # unique, so that heap entries of equal turns compare
        self.cold_credit = 0.0  # sends that it may receive while cold
        self.cold_credit_at = -math.inf
        self.entry = entry
        self.name = entry.name
        self.ready = entry.state is State.READY
        self.failures = DecayingAverage()
        self.slowness = DecayingAverage()  # its latencies, each as a multiple of its class's mean
        # Hashing mixes kinds and zones; a cell stays together, so that keyed calls find a second server.
        self.ring_key = (crc32(b"%d" % entry.cell), crc32(entry.name.encode()), entry.name)
        self.weight = 0.0  # the part of its capacity inside this balancer's subset
        self.turn = 0.0  # virtual time of its next turn in the rotation
        self.outstanding = 0
        self.idle_since = math.inf  # when a connection last became idle; infinite without one

    def capacity(self) -> float:
        """Weight from the endpoint list; kept positive, since a ready server takes part in the rotation."""
        return max(self.entry.weight, 1e-3)

    def group(self, scope: Scope) -> int | None:
        """Number of the group of servers that drops repeats of each other's keys; None for all servers."""
        return {Scope.ALL: None, Scope.ZONE: self.entry.zone, Scope.CELL: self.entry.cell}[scope]


class ClassRecord:
    """Measurements of a request class, kept across settings changes by the class's name."""

    __slots__ = ("latency", "max_left_ms")

    def __init__(self) -> None:
        self.latency = DecayingAverage()
        self.max_left_ms = 0.0  # longest timeout of a client's first attempt


def keys_of(entries: Sequence[api.RequestClass | api.Tenant]) -> list[str]:
    """Keys of stored records: the entries' names, or `#` and the position without a name."""
    return [entry.name or f"#{position}" for position, entry in enumerate(entries)]


class TenantShare:
    """Token bucket for a tenant; balancers share no state, so each has an equal part of the allowance."""

    __slots__ = ("at", "burst", "left", "rate")

    def __init__(self, tenant: api.Tenant, balancers: int) -> None:
        self.set_allowance(tenant, balancers)
        self.left = self.burst
        self.at: float | None = None

    def set_allowance(self, tenant: api.Tenant, balancers: int) -> None:
        """Set the refill rate, in requests per ms, and the size of the bucket."""
        self.rate = tenant.allowance_per_s / 1000.0 / balancers
        self.burst = 1.0 + self.rate * ALLOWANCE_BURST_MS

    def take(self, now: float) -> bool:
        """Consume a token; whether the request is within the share."""
        if self.at is not None:
            self.left = min(self.left + self.rate * (now - self.at), self.burst)
        self.at = now
        within = self.left >= 1.0
        self.left -= within
        return within


class LatencyBaseline:
    """Attempt latency without overload, as a share of the aim: the least of the recent means."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._means: deque[tuple[float, float]] = deque()  # (end time, mean)
        self._since = -math.inf
        self._total = 0.0
        self._count = 0

    def add(self, share: float, now: float) -> None:
        """Add an answer; a mean is complete after `span_ms` and BASELINE_MIN_SAMPLES answers."""
        self._total += share
        self._count += 1
        if now - self._since < self.span_ms or self._count < BASELINE_MIN_SAMPLES:
            return
        # The first span is biased: its slow answers have not arrived yet.
        if self._since > -math.inf:
            self._means.append((now, self._total / self._count))
        self._since, self._total, self._count = now, 0.0, 0

    def minimum(self, now: float) -> float:
        """The baseline, or 0 without measurements."""
        while len(self._means) > 1 and self._means[0][0] < now - BASELINE_WINDOW_MS:
            self._means.popleft()
        return min((mean for _, mean in self._means), default=0.0)


class Admission:
    """Concurrency limit at the clients' entry, and the queue of requests that wait for admission.

    Without a limit a queue that has built up stays: clients time out and retry, and all work goes into
    late answers.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.floor = 1.0
        self.in_flight = 0  # requests that servers work on
        self.waiting: dict[float, dict[str, Request]] = {}  # by earnable share; newest last
        self._apply(settings)
        self.target_time = DecayingAverage(self.decay_ms)  # target latency per answer
        self.overload_target_time = DecayingAverage(self.decay_ms)  # the same in overload
        self.request_latency = DecayingAverage(2.0 * self.decay_ms)  # as a share of the aim
        self.attempt_latency = DecayingAverage(ATTEMPT_LATENCY_DECAY_MS)  # of answered attempts
        self.baseline = LatencyBaseline(self.decay_ms)
        self.started_at: float | None = None

    def _apply(self, settings: api.Settings) -> None:
        self.max_worth = max(cls.worth for cls in settings.classes) or 1.0
        self.decay_ms = max(cls.aim_ms for cls in settings.classes)
        rate = sum(tenant.allowance_per_s for tenant in settings.tenants) / 1000.0 / settings.balancers
        aim_ms = sum(cls.aim_ms for cls in settings.classes) / len(settings.classes)
        self.expected = rate * aim_ms * TARGET_LATENCY_SHARE  # in flight by allowances, at the start

    def update_settings(self, settings: api.Settings) -> None:
        before = self.decay_ms
        self._apply(settings)
        for average in (self.target_time, self.overload_target_time):
            average.decay_ms = self.decay_ms
            average.total *= self.decay_ms / before  # keeps the same rate over the new time constant
        self.request_latency.decay_ms = 2.0 * self.decay_ms
        self.baseline.span_ms = self.decay_ms

    def answered(self, cls: api.RequestClass, took_ms: float, now: float) -> None:
        """Record an answer and the time since its attempt was sent."""
        self.baseline.add(took_ms / cls.aim_ms, now)
        self.attempt_latency.add(took_ms / cls.aim_ms, now)
        self.target_time.add(cls.aim_ms * (TARGET_LATENCY_SHARE + cls.late_worth), now)
        share = min(max(OVERLOAD_LATENCY_SHARE, self.baseline.minimum(now)), TARGET_LATENCY_SHARE)
        self.overload_target_time.add(cls.aim_ms * share, now)

    def limit(self, now: float) -> float:
        """Requests that may be in flight: recent answer rate times target latency (Little's law).

        Each class counts with its own aim. Measured by the aim of a fast class, a slow class would exceed
        the limit even on an idle fleet, be refused, and lower the measured rate for all.
        """
        if self.started_at is None:
            self.started_at = now
        self.target_time.decay(now)
        self.overload_target_time.decay(now)
        span_ms = self.decay_ms * (1.0 - math.exp(min(self.started_at - now, -1.0) / self.decay_ms))
        # Guards against refusals of random bursts, which are common at one of many balancers. Admits too much
        # while an overload is too recent to show: a server holds the calls of all balancers, and chokes
        # long before the mean answer is late.
        slack = (HIGH_LATENCY_SHARE - self.request_latency.mean(0.0, 1.0, now)) / HIGH_LATENCY_RANGE
        if baseline := self.baseline.minimum(now):
            slack = min(
                slack,
                (HIGH_LATENCY_RATIO - self.attempt_latency.mean(baseline, 1.0, now) / baseline)
                / HIGH_LATENCY_RATIO_RANGE,
            )
        slack = min(max(slack, 0.0), 1.0)
        mean = (slack * self.target_time.total + (1.0 - slack) * self.overload_target_time.total) / span_ms
        # Added to the mean: if traffic of another entry moves here, growth would else take ten seconds.
        mean += slack * BURST_DEVIATIONS * math.sqrt(mean)
        # Before the first answers the capacity is unknown. Admits too much if the process starts in overload.
        return self.floor + max(mean, self.expected * math.exp((self.started_at - now) / self.decay_ms))

    def has_room(self, request: Request, now: float) -> bool:
        """Whether the request may start; a request of less worth may use a smaller part of the limit."""
        share = 1.0 - WORTH_LIMIT_REDUCTION * (1.0 - request.cls.worth / self.max_worth)
        if request.worth < request.cls.worth:
            share *= REDUCED_WORTH_LIMIT_SHARE
        return self.in_flight < max(1.0, self.limit(now) * share)

    def enqueue(self, request: Request) -> None:
        request.queued = True
        self.waiting.setdefault(request.earnable_share(), {})[request.id] = request

    def dequeue(self, request: Request) -> None:
        request.queued = False
        earnable_share = request.earnable_share()
        del self.waiting[earnable_share][request.id]
        if not self.waiting[earnable_share]:
            del self.waiting[earnable_share]

    def next(self, now: float, is_limited: bool = True) -> Request | None:
        """Dequeue the newest request with the highest earnable share, the likeliest to be in time.

        Ordered by worth itself, a class of less worth would starve while others wait; the worst served
        class counts as well as the total.
        """
        if not self.waiting:
            return None
        request = next(reversed(self.waiting[max(self.waiting)].values()))
        if is_limited and not self.has_room(request, now):
            return None
        self.dequeue(request)
        return request


class IdleConnections:
    """Detects that idle connections are dropped without notice; a request sent on one is lost.

    An unsafe call can't be retried then, so such connections are closed before they are used. The sign is
    a reset within a quarter of the time that the connection had been idle; a server that crashes under
    load looks the same only by chance, which costs some handshakes.
    """

    def __init__(self) -> None:
        self._shortest_ms = math.inf  # shortest idle time of a lost connection
        self._until = -math.inf

    def is_idle_reset(self, attempt: Attempt, outcome: Outcome, now: float) -> bool:
        """Whether the attempt was lost because its connection had been dropped while idle; records it."""
        idle_ms = attempt.idle_ms
        if outcome is not Outcome.RESET or not 0.0 <= now - attempt.sent_at < idle_ms / 4:
            return False
        self._shortest_ms = min(idle_ms, self._shortest_ms if now < self._until else math.inf)
        self._until = now + IDLE_RESET_MEMORY_MS
        return True

    def may_be_stale(self, member: Member, now: float) -> bool:
        """Whether an idle connection to the server may have been dropped.

        Also true with a call outstanding: a second connection may have been idle for longer.
        """
        return (
            now < self._until
            and member.idle_since < math.inf
            and (member.outstanding > 0 or now - member.idle_since > TRUSTED_IDLE_SHARE * self._shortest_ms)
        )


class Attempt:
    """One send of a request to a server."""

    __slots__ = ("ended", "idle_ms", "member", "never_ran", "sent_at", "streams")

    def __init__(self, member: Member, sent_at: float) -> None:
        self.member = member
        self.sent_at = sent_at
        self.idle_ms = max(sent_at - member.idle_since, 0.0)  # of its connection; 0 for a new one
        self.ended = False
        self.never_ran = False
        self.streams = False  # its answer has begun to stream to the client


class Request:
    """A client's request, from its arrival until its final answer and the end of its last attempt."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "awaits_list",
        "backup_index",
        "body_discarded",
        "body_pending",
        "cls",
        "expires_at",
        "id",
        "is_counted",
        "max_attempts",
        "open",
        "queued",
        "record",
        "streaming",
        "timer",
        "worth",
    )

    def __init__(
        self,
        event: api.RequestArrived,
        cls: api.RequestClass,
        record: ClassRecord,
        max_attempts: int,
        worth: float,
        now: float,
    ) -> None:
        self.id = event.request
        self.cls = cls
        self.record = record
        self.max_attempts = max_attempts  # from the settings at arrival
        self.worth = worth
        self.arrived_at = now
        self.queued = False  # waits for admission
        self.awaits_list = False  # waits for a new endpoint list
        self.is_counted = False  # in the admission's number in flight
        self.body_pending = event.body_pending  # the body is incomplete: its deadline starts later
        self.body_discarded = False  # bytes sent were not kept: no further attempt
        self.streaming = False  # its answer has begun
        self.timer = 0  # token of its one valid timer
        # An answer that earns nothing is not waited for: others need its server and connection.
        self.expires_at = math.inf if self.body_pending else self.expiry(event.left_ms, now)
        self.attempts: list[Attempt] = []
        self.backup_index = 0  # of the backup request; 0 for none
        self.open = True  # the final answer is pending

    def expiry(self, left_ms: float, now: float) -> float:
        """Time from which an answer earns nothing: the client's timeout, or the aim without late_worth."""
        return now + (left_ms if self.cls.late_worth else min(left_ms, self.cls.aim_ms))

    def earnable_share(self) -> float:
        """The share of its class's worth that it can still earn."""
        return self.worth / self.cls.worth if self.cls.worth else 0.0

    def outstanding(self) -> int:
        return sum(not attempt.ended for attempt in self.attempts)

    def backup_delay_ms(self, now: float) -> float:
        return BACKUP_DELAY_SHARE * min(self.cls.aim_ms, self.expires_at - now)

    def may_have_run(self) -> Attempt | None:
        """The first attempt that ran or can still run."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)

    def retry_until(self) -> float:
        """Time by which a further attempt must start (rule 2)."""
        first = self.may_have_run()
        if first is None or self.cls.effect is Effect.SAFE:
            return math.inf
        return first.sent_at + self.cls.key_ttl_ms if self.cls.effect is Effect.KEYED else -math.inf


class AttemptBudget:
    """Rule 5: limits retries and backup requests together, over a sliding window.

    Exact at every send: a token bucket exceeds its rate in some windows. Also bounds retry storms of any
    cause. It refuses useful retries when many first attempts happen to fail at once.
    """

    def __init__(self, budget: api.AttemptBudget) -> None:
        self.limits = budget
        self._arrivals: deque[float] = deque()  # arrival times, oldest first; refused ones too
        self._extra: deque[float] = deque()  # send times of further attempts

    def add_request(self, now: float) -> None:
        self._expire(now)
        self._arrivals.append(now)

    def allows_one(self, now: float) -> bool:
        self._expire(now)
        return len(self._extra) + 1 <= self.limits.floor + self.limits.per_request * len(self._arrivals)

    def attempt_sent(self, now: float) -> None:
        self._extra.append(now)

    def discard_moot(self, sent_at: float) -> None:
        """Take back an attempt that was never sent, if it is still in the window."""
        if sent_at in self._extra:
            self._extra.remove(sent_at)

    def arrival_rate(self, now: float) -> float:
        """Recent requests per millisecond."""
        self._expire(now)
        return len(self._arrivals) / max(now - self._arrivals[0], MIN_RATE_SPAN_MS) if self._arrivals else 0.0

    def _expire(self, now: float) -> None:
        oldest = now - self.limits.span_ms
        while self._arrivals and self._arrivals[0] <= oldest + WINDOW_EDGE_MS:
            self._arrivals.popleft()
        while self._extra and self._extra[0] < oldest - WINDOW_EDGE_MS:
            self._extra.popleft()


class BackupGate:
    """Limits backups to a share of completed attempts, over a sliding window (brpc's DoBackup)."""

    def __init__(self) -> None:
        self._seconds: deque[list[float]] = deque()  # [second, backups, attempts], oldest first
        self._lifetime = [0, 0]
        self.wins = DecayingAverage()  # share of backed-up requests that the backup answered

    def _count(self, now: float, column: int) -> None:
        second = now // 1000.0
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0, 0])
        self._seconds[-1][1 + column] += 1
        self._lifetime[column] += 1

    def attempt_completed(self, now: float) -> None:
        self._count(now, 1)

    def is_open(self, now: float) -> bool:
        """Whether a backup may be sent now; computed anew at each call.

        With a ratio cached for seconds, many balancers with few attempts let bursts through. With few
        attempts one backup can exceed the cap; the first of a window is sent nevertheless.
        """
        while self._seconds and self._seconds[0][0] * 1000.0 < now - BACKUP_WINDOW_MS:
            self._seconds.popleft()
        backups, completed = (sum(row[column] for row in self._seconds) for column in (1, 2))
        if not completed:
            backups, completed = self._lifetime
        ratio = backups / completed if completed else float(backups > 0)
        # Backups of requests that are slow because they are expensive only add load: few of them win.
        return ratio < MAX_BACKUP_RATIO * self.wins.mean(1.0, PRIOR_SAMPLES, now)

    def backup_sent(self, now: float) -> None:
        self._count(now, 0)


class Balancer:
    """The decisions of one proxy. During a handover the old and the new process act as one balancer."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._members: dict[str, Member] = {}
        self._last_order = 0
        self._rotation: list[tuple[float, int, Member]] = []  # heap by turn; stale entries are skipped
        self._virtual_now = 0.0
        self._gate = BackupGate()
        self._idle = IdleConnections()
        self._records = {name: ClassRecord() for name in keys_of(settings.classes)}
        self._failures = DecayingAverage()
        self._zone_slowness = (DecayingAverage(), DecayingAverage())  # own zone's servers, all others
        self._kind_slowness: dict[int, DecayingAverage] = {}
        self._requests: dict[str, Request] = {}
        self._budget = AttemptBudget(settings.attempt_budget or DEFAULT_ATTEMPT_BUDGET)
        self._subset: list[Member] = []  # ready servers of this balancer's subset
        self._preference_limit = MAX_LOCAL_PREFERENCE
        self._coverage = 1.0  # share of the total capacity in this balancer's subset
        self._warm_weight = 0.0  # of the warm servers in the subset
        self._warm_until = -math.inf  # when the next cold server is warm
        self._warm_sends = DecayingAverage()
        self._warm_rate = 0.0  # sends per ms and capacity, last with most warm
        self._outstanding = 0
        self._shares = {
            name: TenantShare(tenant, settings.balancers)
            for name, tenant in zip(keys_of(settings.tenants), settings.tenants, strict=True)
        }
        self._index_by_position()
        self._admission = Admission(settings)
        self._timers: dict[int, str | None] = {}  # token -> request, or None for a list call
        self._last_token = 0
        self._watch_due = 0  # token of the timer for the next list call; 0 for none
        self._is_list_urgent = False  # after a takeover: the list is needed soon
        self._has_yielded = False  # a successor process has taken over
        self._watch_failures = 0  # in a row
        self._asked_at = -math.inf
        self._congestion = ListCongestion()
        self._outdated = OutdatedList()
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Apply an event at the time `now` and return the actions to carry out, in order.

        Raises ValueError for a `class_index` without a class. Unknown requests and timers are ignored.
        """
        self._actions = []
        match event:
            case api.RequestArrived():
                self._arrive(event, now)
            case api.AttemptEnded():
                self._attempt_ended(event, now)
            case api.TimerFired():
                self._timer_fired(event.token, now)
            case api.ListChanged():
                self._list_changed(event, now)
            case api.FreshnessChanged():
                self._outdated.update(event, now)
            case api.ClientDisconnected():
                self._close(event.request)
            case api.StreamStarted():
                self._stream_started(event, now)
            case api.BodyDiscarded():
                if request := self._requests.get(event.request):
                    request.body_discarded = True
            case api.BodyEnded():
                self._body_ended(event, now)
            case api.SettingsChanged():
                self._settings_changed(event.settings, now)
            case api.TakenOver():
                self._take_over(event.learned)
            case api.Yielded():
                self._has_yielded = event.on
        is_limited = not self._settings.tier  # only the entry has a limit; others wait for the list
        while not self._outdated.blocks_sends(now) and (waiting := self._admission.next(now, is_limited)):
            self._start(waiting, now)
        return self._actions

    # --- settings ---

    def _index_by_position(self) -> None:
        """Index records by position, since events name classes and tenants by it."""
        self._record_at = [self._records[name] for name in keys_of(self._settings.classes)]
        self._share_at = [self._shares[name] for name in keys_of(self._settings.tenants)]

    def _settings_changed(self, settings: api.Settings, now: float) -> None:
        must_ask_now = settings.must_ask and not self._settings.must_ask
        self._settings = settings
        self._records = {name: self._records.get(name) or ClassRecord() for name in keys_of(settings.classes)}
        shares, self._shares = self._shares, {}
        for name, tenant in zip(keys_of(settings.tenants), settings.tenants, strict=True):
            share = self._shares[name] = shares.get(name) or TenantShare(tenant, settings.balancers)
            share.set_allowance(tenant, settings.balancers)
        self._index_by_position()
        self._budget.limits = settings.attempt_budget or DEFAULT_ATTEMPT_BUDGET
        self._admission.update_settings(settings)
        if must_ask_now and not self._watch_due:
            self._watch_due = self._set_timer(None, 0.0)
        self._choose_subset(now)

    # --- handover to a new process ---

    def learned(self) -> dict[str, Any]:
        """State for a successor process, as plain values; times are on the same clock."""
        admission, gate, budget = self._admission, self._gate, self._budget
        return {
            "records": {name: [r.latency.learned(), r.max_left_ms] for name, r in self._records.items()},
            "members": {
                name: [
                    m.entry.started_at,
                    m.failures.learned(),
                    m.slowness.learned(),
                    m.cold_credit,
                    m.cold_credit_at if m.cold_credit_at >= 0.0 else None,
                ]
                for name, m in self._members.items()
            },
            "averages": [average.learned() for average in self._averages()],
            "kinds": [[kind, average.learned()] for kind, average in self._kind_slowness.items()],
            "borne_rate": self._warm_rate,
            "seconds": [list(row) for row in gate._seconds],
            "lifetime": list(gate._lifetime),
            "taken": list(budget._arrivals),
            "extra": list(budget._extra),
            "shares": {name: [share.left, share.at] for name, share in self._shares.items()},
            "base": [list(mean) for mean in admission.baseline._means],
            "started_at": admission.started_at,
        }

    def _averages(self) -> tuple[DecayingAverage, ...]:
        """The averages that a handover passes on; their order is part of its format."""
        admission = self._admission
        return (
            self._failures,
            *self._zone_slowness,
            self._warm_sends,
            self._gate.wins,
            admission.target_time,
            admission.overload_target_time,
            admission.request_latency,
            admission.attempt_latency,
        )

    def _take_over(self, learned: Mapping[str, Any]) -> None:
        """Replace this balancer's state by a predecessor's, except for servers restarted since."""
        for name, (latency, max_left_ms) in learned["records"].items():
            if record := self._records.get(name):
                record.latency.restore(latency)
                record.max_left_ms = float(max_left_ms)
        for name, (started_at, failures, slowness, cold_credit, cold_credit_at) in learned["members"].items():
            member = self._members.get(name)
            if member and abs(member.entry.started_at - started_at) < START_TIME_TOLERANCE_MS:
                member.failures.restore(failures)
                member.slowness.restore(slowness)
                member.cold_credit = float(cold_credit)
                member.cold_credit_at = -math.inf if cold_credit_at is None else float(cold_credit_at)
        for average, saved in zip(self._averages(), learned["averages"], strict=True):
            average.restore(saved)
        for kind, saved in learned["kinds"]:
            self._kind_slowness.setdefault(int(kind), DecayingAverage()).restore(saved)
        self._warm_rate = float(learned["borne_rate"])
        self._gate._seconds = deque(
            [float(at), int(b), int(completed)] for at, b, completed in learned["seconds"]
        )
        self._gate._lifetime = [int(count) for count in learned["lifetime"]]
        self._budget._arrivals = deque(map(float, learned["taken"]))
        self._budget._extra = deque(map(float, learned["extra"]))
        for name, (left, at) in learned["shares"].items():
            if share := self._shares.get(name):
                share.left, share.at = float(left), None if at is None else float(at)
        self._admission.baseline._means = deque((float(at), float(mean)) for at, mean in learned["base"])
        self._admission.started_at = learned["started_at"]
        if self._settings.must_ask:
            self._is_list_urgent = True
            self._watch_due = self._set_timer(None, 0.0)

    # --- server list ---

    def _list_changed(self, event: api.ListChanged, now: float) -> None:
        """Update the servers; after a failure or a cached list, schedule the next list call."""
        failed = event.kind is ListKind.FAILED
        self._outdated.update(event, now)
        self._watch_failures = self._watch_failures + 1 if failed else 0
        if failed:
            self._congestion.failed(now)
        elif event.kind is not ListKind.CACHED:
            self._congestion.answered()
        if self._settings.must_ask and not self._watch_due and (failed or event.kind is ListKind.CACHED):
            # Growing delays spare a slow discovery; half of ask_within_ms is never exceeded.
            growth = 2.0 ** min(self._watch_failures, MAX_DOUBLINGS)
            widest = self._settings.ask_within_ms * min(growth / 8, 0.5)
            if self._is_list_urgent:
                widest = min(widest, TAKEOVER_RETRY_STEP_MS * self._watch_failures)
            # The time that the failed call took counts towards the spacing.
            spacing = min(MIN_RETRY_SPACING_MS * growth, MAX_RETRY_SPACING_MS)
            minimum = max(spacing - (now - self._asked_at), 0.0)
            widest = min(widest, max(max_retry_delay_ms(event.due_ms), minimum))
            widest = max(widest, self._congestion.max_retry_delay_ms())
            self._watch_due = self._set_timer(None, self._random.uniform(0.0, widest))
        if failed:
            return
        if event.kind is ListKind.ALIVE:
            self._watch_due = 0
            return
        self._is_list_urgent = self._is_list_urgent and event.kind is ListKind.CACHED
        if event.kind is not ListKind.DELTA:
            listed = {entry.name for entry in event.servers}
            for name in [name for name in self._members if name not in listed]:
                self._remove_member(name)
        for entry in event.servers:
            self._update_member(entry)
        self._choose_subset(now)

    def _remove_member(self, name: str) -> None:
        """Drop a server that is gone or was restarted; records would else accumulate over weeks."""
        if member := self._members.pop(name, None):
            member.ready, member.weight = False, 0.0

    def _update_member(self, entry: api.Server) -> None:
        member = self._members.get(entry.name)
        if entry.state is State.GONE or (member and entry.started_at != member.entry.started_at):
            self._remove_member(entry.name)  # measurements of the old process do not apply
            member = None
        if member:
            member.entry, member.ready = entry, entry.state is State.READY
        elif entry.state is not State.GONE:
            self._last_order += 1
            self._members[entry.name] = Member(entry, self._last_order)

    def _choose_subset(self, now: float) -> None:
        """Select an arc of a ring on which each server's length is its capacity.

        Over all servers, many balancers with little traffic would open a connection for nearly every call
        and have too few samples. Equal arcs load all servers alike. Where crossing zones has a price the
        own zone has a separate ring: an arc over all zones holds too few of its servers to prefer them.
        """
        settings = self._settings
        ready = sorted((m for m in self._members.values() if m.ready), key=lambda m: m.ring_key)
        zones = {member.entry.zone for member in ready}
        fresh = {member for member in ready if not member.weight}
        for member in self._members.values():
            member.weight = 0.0  # a server that returns to ready is scheduled anew
        if settings.cross_zone_price and settings.zone in zones and len(zones) > 1:
            self._assign([m for m in ready if m.entry.zone == settings.zone], settings.balancers / len(zones))
            self._assign([m for m in ready if m.entry.zone != settings.zone], settings.balancers)
            self._limit_preference(ready, len(zones))
        else:
            self._assign(ready, settings.balancers)
        self._subset = [member for member in ready if member.weight > 0.0]
        for member in self._subset:
            if member in fresh:
                # A random phase keeps all balancers from sending to a new server at once.
                self._schedule(member, self._virtual_now + self._random.random() / self._weight(member, now))
        self._coverage = sum(m.weight for m in ready) / sum(m.capacity() for m in ready) if ready else 1.0
        self._update_warm_weight(now)
        self._admission.floor = max(1.0, MIN_IN_FLIGHT_PER_SERVER * len(ready) / settings.balancers)

    def _limit_preference(self, ready: list[Member], zones: int) -> None:
        """Cap the local preference so that the own zone's servers get no more than their part of the traffic.

        With fewer balancers than zones, some zone has servers but no balancer, and its part of the traffic
        must cross zones. Assumes equally many balancers in each zone, and at least this one here.
        """
        zone, balancers = self._settings.zone, self._settings.balancers
        near = sum(m.capacity() for m in ready if m.entry.zone == zone) / sum(m.capacity() for m in ready)
        most = near * balancers / max(balancers / zones, 1.0)  # of this balancer's sends, to its own zone
        near_weight = sum(m.weight for m in ready if m.entry.zone == zone)
        far_weight = sum(m.weight for m in ready if m.entry.zone != zone)
        self._preference_limit = MAX_LOCAL_PREFERENCE
        if most < 1.0:
            fair = most * far_weight / (near_weight * (1.0 - most))
            self._preference_limit = min(max(fair, 1.0), MAX_LOCAL_PREFERENCE)

    def _assign(self, ring: list[Member], balancers: float) -> None:
        """Set each weight to the overlap with this balancer's arc, which starts by its position."""
        weights = [member.capacity() for member in ring]
        total = sum(weights)
        length = total * min(1.0, max(MIN_SUBSET / max(len(ring), 1), MIN_SERVER_SHARING / balancers))
        start = total * (self._settings.position * GOLDEN_RATIO_CONJUGATE % 1.0)
        at = 0.0
        for member, weight in zip(ring, weights, strict=True):
            end = at + weight
            # The arc may wrap around the ring's end.
            member.weight = max(0.0, min(end, start + length) - max(at, start)) + max(
                0.0, min(end, start + length - total) - at
            )
            at = end

    # --- rotation: smooth weighted round robin, kept as a heap of turns in virtual time ---

    def _schedule(self, member: Member, turn: float) -> None:
        member.turn = turn
        heappush(self._rotation, (turn, member.order, member))

    def _preferred_weight(self, member: Member, now: float) -> float:
        """Weight in the subset, reduced while cold and raised in the own zone."""
        weight = member.weight * min(COLD_WEIGHT_FACTOR * self._warm_share(member, now), 1.0)
        if self._settings.cross_zone_price and member.entry.zone == self._settings.zone:
            weight *= self._local_preference(now)
        return weight

    def _weight(self, member: Member, now: float) -> float:
        """Weight in the rotation: the preferred weight, reduced by failures and slowness."""
        weight = self._preferred_weight(member, now)
        weight *= max(self._success(member, now) ** FAILURE_EXPONENT, MIN_FAILURE_FACTOR)
        return float(weight / self._slowness(member, now) ** SLOWNESS_EXPONENT)

    def _success(self, member: Member, now: float) -> float:
        """The server's success rate relative to that of all servers, at most 1.

        Where all fail alike, as when the tier below is down, no server is penalized.
        """
        success_ratio = 1.0 - member.failures.mean(0.0, PRIOR_SAMPLES, now)
        return min(success_ratio / max(1.0 - self._failures.mean(0.0, PRIOR_SAMPLES, now), 1e-3), 1.0)

    def _local_preference(self, now: float) -> float:
        """Weight factor of the own zone; guards against overloading a zone with its own traffic.

        Crossing zones costs little compared to late answers, so the preference falls as local answers get
        slower than remote ones. Where the network makes remote answers slow it does not fall.
        """
        near, far = (average.mean(1.0, PRIOR_SAMPLES, now) for average in self._zone_slowness)
        return 1.0 + (self._preference_limit - 1.0) * float(min(far / near, 1.0) ** LOCALITY_EXPONENT)

    def _warm_share(self, member: Member, now: float) -> float:
        """The share of its capacity that a warming server has at least, growing linearly with its age."""
        age, warm_up = now - member.entry.started_at, self._settings.warm_up_ms
        if not member.entry.started_at or age >= warm_up:
            return 1.0
        cold_from = self._settings.cold_from
        return cold_from + (1 - cold_from) * max(age, 0.0) / warm_up

    def _may_send_cold(self, member: Member, now: float) -> bool:
        """Rule 4: whether a cold server's credit allows a send; it earns a part of a warm server's rate.

        Weights limit it only relative to its peers: alone in its group, or after most of the fleet restarted,
        it would get all calls, backups and retries too, and fail. The sum over all balancers matters: if
        each saved up a call, all of these could be sent at one moment. A balancer that earns less than
        one call in the longest span saves nothing and draws at random, which keeps the mean of the sum.
        """
        warmth = self._warm_share(member, now)
        if warmth >= 1.0:
            return True
        if self._has_yielded and any(self._warm_share(other, now) >= 1.0 for other in self._subset):
            return False  # the successor uses all of a cold server's credit
        rate = self._send_rate(now) * member.weight * warmth * self._settings.overload_factor * COLD_MARGIN
        longest_ms = self._settings.fall_ms * COLD_MARGIN
        most = rate * longest_ms
        if member.cold_credit_at < 0.0:
            # One call for all balancers on average: a server alone is probed before any rate is known.
            member.cold_credit = float(self._random.random() * self._settings.balancers < 1.0)
        earned = rate * min(now - max(member.cold_credit_at, member.entry.started_at), longest_ms)
        if most < 1.0:
            earned = float(self._random.random() < earned)
        member.cold_credit = min(member.cold_credit + earned, max(most, 1.0))
        member.cold_credit_at = now
        return member.cold_credit >= 1.0

    def _send_rate(self, now: float) -> float:
        """Sends per ms that a warm server receives from this balancer, per weight in the subset.

        Stored for the whole fleet: how many balancers share a server changes with the list.
        """
        if self._warm_rate:
            return self._warm_rate / self._coverage
        if self._warm_weight > 0.0:
            return 0.0  # unknown until the first calls to warm servers
        # A new balancer without a warm server: its part of the tenants' allowances, else its arrival rate.
        weight = sum(member.weight for member in self._subset)
        allowance = sum(tenant.allowance_per_s for tenant in self._settings.tenants) / 1000.0
        return (allowance / self._settings.balancers or self._budget.arrival_rate(now)) / weight

    def _update_warm_weight(self, now: float) -> None:
        """Recompute the weight of the warm servers, and until when it holds."""
        cold = [member for member in self._subset if self._warm_share(member, now) < 1.0]
        self._warm_weight = sum(m.weight for m in self._subset) - sum(m.weight for m in cold)
        first = min((m.entry.started_at for m in cold), default=math.inf)
        self._warm_until = first + self._settings.warm_up_ms

    def _count_send(self, member: Member, now: float) -> None:
        """Take a send from a cold server's credit, or add one to a warm server to the measured rate."""
        if self._warm_share(member, now) < 1.0:
            member.cold_credit -= 1.0
            return
        if now >= self._warm_until:
            self._update_warm_weight(now)
        if self._warm_weight <= MIN_WARM_SHARE * sum(other.weight for other in self._subset):
            return  # few warm servers carry the load of the others: their rate is not usual
        self._warm_sends.add(self._coverage / self._warm_weight, now)
        if self._warm_sends.count >= PRIOR_SAMPLES:
            self._warm_rate = self._warm_sends.total / AVERAGE_DECAY_MS

    def _is_overloaded(self, member: Member, now: float) -> bool:
        """Whether it holds more of this balancer's outstanding calls than its fair share, beyond chance.

        The share follows the preferred weight: by the plain mean, servers of the own zone would lose their
        preference. Slowness and failures are left out: outstanding calls show them already.
        """
        if not member.outstanding:
            return False  # shortcut for the result below
        total = sum(self._preferred_weight(other, now) for other in self._subset)
        fair_share = self._outstanding * self._preferred_weight(member, now) / total
        return member.outstanding >= 1.0 + EXCESS_LOAD_RATIO * fair_share

    def _slowness(self, member: Member, now: float) -> float:
        """Latency as a multiple of the mean over all servers, limited to 0.5 up to MAX_SLOWNESS."""
        kind = self._kind_slowness.get(member.entry.kind)
        prior = kind.mean(1.0, PRIOR_SAMPLES, now) if kind else 1.0
        return min(max(member.slowness.mean(prior, PRIOR_SAMPLES, now), 0.5), MAX_SLOWNESS)

    # --- health ---

    def _record_outcome(self, attempt: Attempt, request: Request, outcome: Outcome, now: float) -> None:
        """Update failure rates and latencies; a cancelled or timed-out attempt counts only if slow."""
        latency, member = now - attempt.sent_at, attempt.member
        if outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            failed = float(outcome is not Outcome.OK)
            member.failures.add(failed, now)
            self._failures.add(failed, now)
        of_class = request.record.latency
        if outcome is Outcome.OK:
            of_class.add(latency, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.TIMEOUT):
            return
        ratio = latency / max(of_class.mean(latency, 1.0, now), 1.0)
        if outcome is not Outcome.OK and ratio < self._slowness(member, now):
            return  # ended too early to show that the server is slow
        member.slowness.add(ratio, now)
        self._zone_slowness[member.entry.zone != self._settings.zone].add(ratio, now)
        self._kind_slowness.setdefault(member.entry.kind, DecayingAverage()).add(ratio, now)

    def _pick(self, request: Request, now: float) -> Member | None:
        """The next ready server in turn that this request has not tried and may go to."""
        picked = None
        if request.cls.effect is not Effect.SAFE:
            # A failure can't be retried elsewhere. The cost: recovery of a server is noticed later.
            picked = self._next_in_rotation(request, now, MAX_UNSAFE_FAILURE)
        return picked or self._next_in_rotation(request, now, math.inf)

    def _next_in_rotation(self, request: Request, now: float, risk: float) -> Member | None:
        """The next server whose failure rate in excess of all servers' is at most `risk`."""
        tried = [attempt.member for attempt in request.attempts]
        first = request.may_have_run()
        scope = request.cls.dedup_scope if first and request.cls.effect is Effect.KEYED else Scope.ALL
        group = first.member.group(scope) if first else None
        passed: list[tuple[float, int, Member]] = []
        overloaded: set[str] = set()
        picked = None
        while self._rotation:
            turn, _, member = entry = heappop(self._rotation)
            if not (member.ready and member.weight) or turn != member.turn:
                continue
            if member in tried or member.group(scope) != group or 1.0 - self._success(member, now) > risk:
                passed.append(entry)
                continue
            if member.name in overloaded and not self._may_send_cold(member, now):
                passed.append(entry)
                continue
            if member.name not in overloaded and (
                self._is_overloaded(member, now) or not self._may_send_cold(member, now)
            ):
                # It loses this turn; where all are overloaded it is taken at the next.
                overloaded.add(member.name)
                self._schedule(member, turn + 1.0 / self._weight(member, now))
                continue
            picked = member
            if not request.attempts:
                self._virtual_now = turn
            self._schedule(member, turn + 1.0 / self._weight(member, now))
            break
        for entry in passed:
            heappush(self._rotation, entry)
        return picked

    # --- request life ---

    def _arrive(self, event: api.RequestArrived, now: float) -> None:
        """Determine the worth of a new request, then start it or let it wait for admission."""
        if not 0 <= event.class_index < len(self._settings.classes):
            raise ValueError(f"class_index: {event.class_index} is not the index of a class")
        cls, record = self._settings.classes[event.class_index], self._record_at[event.class_index]
        worth = cls.worth
        # An attempt of the client past the aim of its first one no longer earns the full worth.
        if self._is_past_aim(event, cls, record):
            worth *= cls.late_worth
        # Else a tenant that sends several times its share displaces those within theirs.
        elif event.tenant < len(self._share_at) and not self._share_at[event.tenant].take(now):
            worth *= self._settings.over_share_worth
        request = self._requests[event.request] = Request(  # keeps the class and limit at its arrival
            event, cls, record, self._settings.max_attempts, worth, now
        )
        self._budget.add_request(now)
        if self._settings.tier or self._admission.has_room(request, now):
            self._start(request, now)
        else:
            # The client's timeout does not run while its body is in transit.
            hold_ms = cls.aim_ms if event.body_pending else min(WAIT_SHARE * cls.aim_ms, event.left_ms / 2)
            self._enqueue(request, hold_ms)

    def _enqueue(self, request: Request, longest_ms: float) -> None:
        """Let a request wait at most `longest_ms`, then refuse it."""
        self._set_in_flight(request, -1)
        self._admission.enqueue(request)
        request.timer = self._set_timer(request.id, longest_ms)

    def _enqueue_for_list(self, request: Request, now: float) -> None:
        request.awaits_list = True
        left_ms = request.cls.aim_ms if request.body_pending else request.expires_at - now
        self._enqueue(request, left_ms / 2)

    def _is_past_aim(self, event: api.RequestArrived, cls: api.RequestClass, record: ClassRecord) -> bool:
        """Whether the client has spent more than the aim, by the time left of its deadline.

        Clients limit all attempts but the last to the first one's timeout, so such an attempt says nothing; a
        last one may have more time. Without retry marks, any with less time left than the longest is late.
        """
        if not event.is_retry:
            record.max_left_ms = max(record.max_left_ms, event.left_ms)
        if self._settings.marks_retries and not event.is_retry:
            return False
        cut = abs(event.left_ms - record.max_left_ms) <= TIMEOUT_TOLERANCE_MS
        return not cut and cls.deadline_ms - event.left_ms > cls.aim_ms

    def _start(self, request: Request, now: float) -> None:
        if not request.body_pending:
            self._set_in_flight(request, 1)
        self._send(request, now)
        if request.open and not request.queued and not request.body_pending:
            request.timer = self._set_timer(request.id, request.backup_delay_ms(now))

    def _set_in_flight(self, request: Request, change: int) -> None:
        """Count requests that servers work on: not while a body is uploaded or an answer streamed."""
        if request.is_counted is not (change > 0):
            request.is_counted = change > 0
            self._admission.in_flight += change

    def _body_ended(self, event: api.BodyEnded, now: float) -> None:
        """Restart the times: the server's work and the client's timeout begin now."""
        request = self._requests.get(event.request)
        if request is None or not request.open or not request.body_pending:
            return
        request.body_pending = False
        request.arrived_at = now
        request.expires_at = request.expiry(event.left_ms, now)
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.sent_at = now
        if not request.queued:
            self._set_in_flight(request, 1)

    def _may_send(self, request: Request, now: float) -> bool:
        """Whether rules 1, 2 and 5 and max_attempts allow a further attempt."""
        if request.streaming or request.body_discarded or not request.open or now >= request.expires_at:
            return False
        if len(request.attempts) >= min(request.max_attempts, self._settings.max_attempts):
            return False
        if request.attempts and not self._budget.allows_one(now):
            return False
        if request.outstanding() and not self._settings.may_duplicate:
            return False
        return now < request.retry_until()

    def _send(self, request: Request, now: float) -> bool:
        """Send an attempt if the rules and a server allow it; returns whether one was sent.

        Otherwise a request without an outstanding attempt waits for a new list or is answered as unserved.
        """
        may_send = self._may_send(request, now)
        if may_send and self._outdated.blocks_sends(now):
            if not request.outstanding():
                self._enqueue_for_list(request, now)
            return False
        member = self._pick(request, now) if may_send else None
        if member:
            starts_until = request.retry_until()
            if request.attempts:
                self._budget.attempt_sent(now)
            if self._idle.may_be_stale(member, now):
                self._actions.append(api.Close(member.name))
                member.idle_since = math.inf
            request.attempts.append(Attempt(member, now))
            member.outstanding += 1
            self._outstanding += 1
            self._count_send(member, now)
            limit_ms = 0.0 if request.body_pending else request.expires_at - now
            request.awaits_list = False
            self._actions.append(api.Send(request.id, member.name, limit_ms, starts_until - now))
        elif not request.outstanding():
            self._end_unserved(request, Unserved.NO_SERVER if may_send else Unserved.NO_ATTEMPT_LEFT)
        return member is not None

    def _end_unserved(self, request: Request, reason: Unserved) -> None:
        """Refuse, which invites a retry, wherever rule 2 allows, else fail; both at once.

        The retry delay equals the longest wait for admission here, so that retries do not meet the same
        overload. It is too long where capacity frees up sooner, and has no effect if clients ignore it.
        """
        cls = request.cls
        harmless = (
            request.may_have_run() is None
            or cls.effect is Effect.SAFE
            or (cls.effect is Effect.KEYED and cls.dedup_scope is Scope.ALL)
        )
        refusal = api.Refuse(request.id, retry_after_ms=WAIT_SHARE * cls.aim_ms, reason=reason)
        self._actions.append(refusal if harmless else api.Fail(request.id, reason))
        self._close(request.id)

    def _close(self, request_id: str) -> None:
        """End a request that has its final answer or no client; its outstanding attempts are cancelled."""
        request = self._requests.get(request_id)
        if request is None or not request.open:
            return
        request.open = False
        if request.queued:
            self._admission.dequeue(request)
        self._set_in_flight(request, -1)
        if not request.streaming:
            self._cancel_others(request)
        if not request.outstanding():
            del self._requests[request.id]

    def _stream_started(self, event: api.StreamStarted, now: float) -> None:
        request = self._requests.get(event.request)
        if request is None or not request.open or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        request.streaming = attempt.streams = True
        request.timer = 0
        self._cancel_others(request, event.attempt)
        # The server's latency is known now; how long the rest takes depends on the client.
        self._record_outcome(attempt, request, Outcome.OK, now)
        self._answered(request, attempt, now)
        self._set_in_flight(request, -1)

    def _answered(self, request: Request, attempt: Attempt, now: float) -> None:
        if request.backup_index:
            self._gate.wins.add(float(request.attempts[request.backup_index] is attempt), now)
        self._admission.answered(request.cls, now - attempt.sent_at, now)
        self._admission.request_latency.add((now - request.arrived_at) / request.cls.aim_ms, now)

    def _cancel_others(self, request: Request, kept: int = -1) -> None:
        for index, attempt in enumerate(request.attempts):
            if index != kept and not attempt.ended and self._settings.may_cancel:
                self._actions.append(api.Cancel(request.id, index))

    def _timer_fired(self, token: int, now: float) -> None:
        """A timer ends the delay of a list call, a wait in the queue, or the delay of a backup request."""
        request_id = self._timers.pop(token, "")
        if request_id is None:
            if token == self._watch_due:  # a replaced timer is ignored
                self._watch_due = 0
                self._asked_at = now
                self._congestion.asked(now)
                self._actions.append(api.Watch())
            return
        request = self._requests.get(request_id)
        if request is None or not request.open or request.timer != token:
            return
        if request.queued:
            self._end_unserved(request, Unserved.OUTDATED_LIST if request.awaits_list else Unserved.NO_ROOM)
            return
        for attempt in request.attempts:
            if not attempt.ended:
                # A hanging server ends no attempt: before the timeouts only a missing answer shows it.
                attempt.member.failures.add(1.0, now)
                self._failures.add(1.0, now)
        # Counted only when sent: a backup that no server could take once closed the gate for others.
        # After a handover the successor uses the whole backup share.
        if (
            request.outstanding() == 1
            and not self._has_yielded
            and self._gate.is_open(now)
            and self._send(request, now)
        ):
            self._gate.backup_sent(now)
            request.backup_index = len(request.attempts) - 1

    def _set_timer(self, request_id: str | None, after_ms: float) -> int:
        self._last_token += 1
        self._timers[self._last_token] = request_id
        self._actions.append(api.SetTimer(self._last_token, after_ms))
        return self._last_token

    def _attempt_ended(self, event: api.AttemptEnded, now: float) -> None:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.ended:
            return
        attempt.ended = True
        attempt.never_ran = event.outcome in api.NEVER_RAN
        attempt.member.outstanding -= 1
        self._outstanding -= 1
        if event.outcome is Outcome.MOOT and event.attempt:
            self._budget.discard_moot(attempt.sent_at)
        self._gate.attempt_completed(now)
        is_answer = event.outcome is Outcome.OK and request.open and not attempt.streams
        # The client determines how long the transfer of a body takes, in either direction.
        is_clients = (attempt.streams and event.outcome in (Outcome.OK, Outcome.CANCELLED)) or (
            request.body_pending and event.outcome is Outcome.CANCELLED
        )
        # A connection dropped while idle says nothing about the server.
        if self._idle.is_idle_reset(attempt, event.outcome, now):
            self._actions.append(api.Close(attempt.member.name))
        elif not is_clients:
            self._record_outcome(attempt, request, event.outcome, now)
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            attempt.member.idle_since = now
        elif event.outcome is Outcome.RESET:
            attempt.member.idle_since = math.inf
        if is_answer:
            self._answered(request, attempt, now)
        elif request.open and not attempt.streams and (event.final or event.outcome is Outcome.TIMEOUT):
            self._admission.request_latency.add((now - request.arrived_at) / request.cls.aim_ms, now)
        if event.final or not request.open:
            self._close(request.id)
            if not request.outstanding():
                self._requests.pop(request.id, None)
        elif not request.outstanding():
            self._send(request, now)

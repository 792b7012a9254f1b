"""Runs the balancer's decisions: clock, timers, open requests and their attempts. No decision is made here.

Events are passed to `Balancer.handle` one at a time and the actions it returns are executed in order. Events that
arise while an action is executed are queued, so that the balancer is never re-entered.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from balancing import Balancer, api
from balancing.api import ListKind, Outcome, State
from balancing.outdated import OutdatedList
from balancing.sentids import SentIds
from proxy.client_request import BUSY_RETRY_AFTER_MS, ClientRequest, retry_after_headers
from proxy.config import Address, NodeConfig
from proxy.descriptors import Descriptors
from proxy.discovery import Discovery, ListReader
from proxy.flow import BodyBudget
from proxy.frontend import HOP_BY_HOP_HEADERS, ClientConnection
from proxy.lifecycle import LifeCycle
from proxy.listfile import read_list
from proxy.metrics import ProxyMetrics
from proxy.request_parser import Headers
from proxy.sentidfiles import SentIdFiles
from proxy.upstream import Answer, Exchange, Pool, Sink, Source, Start

log = logging.getLogger(__name__)

NEVER_RAN = frozenset(outcome.value for outcome in api.NEVER_RAN)

# The client's deadline counts from when it sent the request, and the whole answer must have arrived by then. Attempts
# end this much earlier, to allow for the network in both directions and for delays of the event loop.
MARGIN_MS = 20.0
MARGIN_SHARE = 0.25  # of the time a request has left: upper limit of the margin for requests with a short deadline
# Share of `stop_sending_ms` after which no attempt starts at a leaving server; the rest allows for a late event loop.
STOP_SENDING_SHARE = 0.8
# Share of the margin in which the balancer can react to the timeout of the attempts, before the proxy answers the
# client itself.
FALLBACK_ANSWER_SHARE = 0.5

# In each interval, at most this many unserved requests are logged individually.
UNSERVED_LOG_INTERVAL_MS = 1000.0
UNSERVED_LOG_LINES = 5


class LiveRequest:
    """A request that has not been answered, or that still has attempts without an outcome."""

    __slots__ = (
        "attempts",
        "client",
        "expires_at",
        "id",
        "is_answered",
        "is_repeatable",
        "message",
        "streaming_attempt",
        "timer",
    )

    def __init__(self, id: str, client: ClientConnection, message: ClientRequest, expires_at: float) -> None:
        self.id = id
        self.client: ClientConnection | None = client  # None once it is answered or has left
        self.message = message
        self.expires_at = expires_at  # when the last attempt ends at the latest; inf while the body is received
        self.attempts: list[Attempt] = []
        self.timer: Timer | None = None  # for the proxy's own answer at the deadline
        self.streaming_attempt: Attempt | None = None  # whose answer is being streamed to the client
        self.is_repeatable = False  # may run more than once
        self.is_answered = False  # the client was still there for the whole of its final answer

    def may_have_run(self) -> bool:
        return any(attempt.outcome not in NEVER_RAN for attempt in self.attempts)

    def is_over(self) -> bool:
        return self.client is None and all(attempt.ended for attempt in self.attempts)


class Attempt:
    """One try of a request at one server. All times are of `now_ms`."""

    __slots__ = (
        "ended",
        "exchange",
        "expires_at",
        "index",
        "outcome",
        "request",
        "sent_at",
        "server",
        "start_before",
        "timer",
    )

    def __init__(
        self, request: LiveRequest, index: int, server: str, sent_at: float, expires_at: float, start_before: float
    ) -> None:
        self.request = request
        self.index = index
        self.server = server
        self.sent_at = sent_at
        self.expires_at = expires_at
        self.start_before = start_before  # the first byte must be sent before this time
        self.ended = False
        self.outcome = "out"
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None

    def may_start(self) -> Start:
        """Whether the first byte may be sent now.

        Checks the clock and the client's socket at the time of the send, since the connection or the event loop may be
        late.
        """
        client = self.request.client
        if (
            client is None
            or self.request.streaming_attempt is not None
            or now_ms() >= min(self.start_before, self.expires_at)
        ):
            return Start.NEVER
        return Start.NOW if client.is_connected() else Start.LATER

    def is_unsent(self) -> bool:
        """Whether the attempt is open and no byte of it has been sent."""
        return not self.ended and self.exchange is not None and self.exchange.is_unsent()


class UnservedLog:
    """Logs why requests were not served, with the trace id that the client gave; the number of lines is limited."""

    def __init__(self) -> None:
        self._since = -UNSERVED_LOG_INTERVAL_MS
        self._lines = self._left_out = 0

    def write(self, request: LiveRequest, status: int, reason: api.Unserved) -> None:
        now = now_ms()
        if now - self._since >= UNSERVED_LOG_INTERVAL_MS:
            if self._left_out:
                log.info("%d more requests were not served", self._left_out)
            self._since, self._lines, self._left_out = now, 0, 0
        if self._lines >= UNSERVED_LOG_LINES:
            self._left_out += 1
            return
        self._lines += 1
        message = request.message
        attempts = ", ".join(
            f"{attempt.server} {attempt.outcome}, sent {now - attempt.sent_at:.0f} ms ago"
            for attempt in request.attempts
        )
        log.info(
            "%s class %d answered %d %s, %s: %s",
            message.trace_id,
            message.class_index,
            status,
            self._age_text(message, now),
            reason.value,
            attempts or "never sent",
        )

    @staticmethod
    def _age_text(message: ClientRequest, now: float) -> str:
        """How much of the request's time is over; it starts with the last byte of the body."""
        if message.body_stream is not None and not message.body_stream.ended:
            received = message.body_stream.received_bytes
            return f"with {received} bytes of its body received, {message.left_ms:.0f} ms from its end on"
        return f"after {now - message.arrived_at * 1000.0:.0f} ms of {message.left_ms:.0f}"


class Timer:
    """A timer that never fires early: a timeout that fires early would leave time for a further attempt that cannot
    succeed."""

    __slots__ = ("_call", "_due", "_handle", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop, due_ms: float, call: Callable[[], None]) -> None:
        self._loop = loop
        self._due = due_ms
        self._call = call
        self._handle = loop.call_later(max(due_ms - now_ms(), 0.0) / 1000.0, self._on_due)

    def _on_due(self) -> None:
        left = self._due - now_ms()
        if left > 0.0:
            self._handle = self._loop.call_later(max(left, 1.0) / 1000.0, self._on_due)
        else:
            self._call()

    def cancel(self) -> None:
        self._handle.cancel()


def now_ms() -> float:
    """The monotonic clock in ms, on which all times of this module and of the balancer are."""
    return time.monotonic() * 1000.0


class Proxy:
    """Executes the balancer's actions: sends attempts to backends, answers clients, watches the endpoint list.

    The front end reports requests and clients through `handle_request`, `body_ended`, `client_gone` and
    `client_confirmed`.
    """

    def __init__(
        self,
        config: NodeConfig,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        budget: BodyBudget,
        life: LifeCycle,
        inherited_state: dict[str, Any] | None = None,
        metrics: ProxyMetrics | None = None,
    ) -> None:
        """`inherited_state`: the result of `learned` from the process that this one replaces."""
        self._life = life
        self._metrics = metrics or ProxyMetrics()
        self._config = config
        self._loop = loop
        self._balancer = Balancer(config.settings, config.seed)
        self._pool = Pool(loop, descriptors, budget, config.idle_close_ms, config.connect_timeout_ms, self._metrics)
        self._requests: dict[str, LiveRequest] = {}
        self._by_client: dict[ClientConnection, LiveRequest] = {}
        self._addresses: dict[str, Address] = {}
        self._started_at: dict[str, float] = {}
        self._ready: set[str] = set()
        self._outdated = OutdatedList()
        self._sends_stopped = False  # as last logged and counted
        self._metrics.sends_stopped.read = lambda: float(self._outdated.blocks_sends(now_ms()))
        self._updates_read_at = now_ms()  # when no update from discovery was unread
        self._held_attempts: list[Attempt] = []  # until unread updates have been processed
        self._last_id = 0
        self.sent_ids = SentIds()
        self.shared_ids: SentIdFiles | None = None  # of the processes that act as one proxy with this one
        self._events: deque[api.Event] = deque()
        self._handling = self._started = False
        self._unserved = UnservedLog()
        reader = ListReader(config.zones, config.kinds)
        inherited_state = (
            inherited_state if inherited_state is not None and self._is_state_usable(inherited_state, reader) else None
        )
        known = inherited_state["list"] if inherited_state is not None else self._initial_list(reader)
        self._discovery = Discovery(
            loop,
            config.discovery,
            reader,
            config.settings.must_ask,
            known,
            self._on_discovery_event,
            config.list_file,
            self._metrics,
        )
        servers, addresses = reader.read(known)
        self._apply_list(api.ListChanged(ListKind.CACHED, tuple(servers)), addresses)
        if inherited_state is not None:
            self._dispatch(api.TakenOver(inherited_state["learned"]))
            log.info("state taken over: %d servers at list revision %s", len(servers), known["revision"])

    def _initial_list(self, reader: ListReader) -> dict[str, Any]:
        """The list in the configuration, or the one saved in the list file if its revision is higher."""
        known = self._validated(self._config.known, "in the configuration", reader)
        if self._config.list_file is None:
            return known
        saved = self._validated(read_list(self._config.list_file), "in the list file", reader)
        return saved if int(saved.get("revision") or 0) > int(known.get("revision") or 0) else known

    @staticmethod
    def _validated(known: dict[str, Any], what: str, reader: ListReader) -> dict[str, Any]:
        """The list, or an empty one if it cannot be read. `what` says in the log where it is from."""
        try:
            reader.read(known)
        except (KeyError, ValueError, TypeError, AttributeError) as problem:
            log.error("cannot use the endpoint list %s: %s: %s", what, type(problem).__name__, problem)
            return {}
        return known

    def _is_state_usable(self, inherited_state: dict[str, Any], reader: ListReader) -> bool:
        """Whether the state can be loaded. Another version may have written it, so it is tried on a second balancer
        that is then discarded."""
        try:
            servers, _ = reader.read(inherited_state["list"])
            int(inherited_state["list"]["revision"])
            trial = Balancer(self._config.settings, self._config.seed)
            trial.handle(api.ListChanged(ListKind.CACHED, tuple(servers)), now_ms())
            trial.handle(api.TakenOver(inherited_state["learned"]), now_ms())
        except Exception as problem:
            log.warning("cannot use the state of the previous process: %s: %s", type(problem).__name__, problem)
            return False
        return True

    def learned(self) -> dict[str, Any]:
        """The state for the process that replaces this one: the endpoint list and what the balancer learned."""
        return {"list": self._discovery.full_list(), "learned": self._balancer.learned()}

    def set_yielded(self, on: bool) -> None:
        """Records whether another process has taken over from this one; closes idle connections if so."""
        self._dispatch(api.Yielded(on))
        if on:
            self._pool.close_all_idle()

    def start(self) -> None:
        """Starts the watch of the endpoint list; called once the listening socket is open."""
        self._started = True
        if self._addresses:
            self._life.mark_ready()
        self._discovery.start()

    def stop(self) -> None:
        self._discovery.stop()

    def reconfigure(self, config: NodeConfig) -> None:
        """Applies new settings. The limits of the machine and the listening addresses change only with a restart."""
        before, self._config = self._config, config
        self._pool.change(config.idle_close_ms, config.connect_timeout_ms)
        self._discovery.move(config.discovery)
        self._dispatch(api.SettingsChanged(config.settings))
        if (config.zones, config.kinds) != (before.zones, before.kinds):
            # Zones and kinds are identified by their index in the settings: renumber those of the known servers.
            reader = self._discovery.reader
            reader.renumber(config.zones, config.kinds)
            servers, addresses = reader.read(self._discovery.full_list())
            event = api.ListChanged(ListKind.FULL, tuple(servers))
            self._apply_list(self._discovery.with_freshness(event), addresses)
        self._discovery.change(config.settings.must_ask)

    def has_open_requests(self) -> bool:
        return bool(self._by_client)

    # --- events to the balancer ---

    def _dispatch(self, event: api.Event) -> None:
        """Handles the event, or queues it if another one is being handled."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _report_send_stop(self) -> None:
        """Logs and counts when sends stop because the endpoint list may be outdated, and when they resume."""
        stopped = self._outdated.blocks_sends(now_ms())
        if stopped is self._sends_stopped:
            return
        self._sends_stopped = stopped
        self._metrics.send_stops.add("stopped" if stopped else "went on")
        log.warning(
            "%s: the endpoint list was last confirmed current %.2f s ago, revision %.0f",
            "no attempt begins" if stopped else "attempts begin again",
            self._metrics.list_age.read(),
            self._metrics.list_revision.read(),
        )

    def _handle(self, event: api.Event) -> None:
        self._report_send_stop()
        try:
            actions = self._balancer.handle(event, now_ms())
        except Exception:
            # A fault in the balancer fails only the request of this event; the process goes on.
            log.exception("the balancer failed on %s", type(event).__name__)
            if isinstance(event, api.RequestArrived | api.AttemptEnded | api.ClientDisconnected | api.StreamStarted):
                self._fail_request(event.request)
            return
        for action in actions:
            self._carry_out(action)

    def _on_discovery_event(self, event: api.ListChanged | api.FreshnessChanged, addresses: dict[str, Address]) -> None:
        if isinstance(event, api.ListChanged):
            self._apply_list(event, addresses)
            return
        self._outdated.update(event, now_ms())
        self._dispatch(event)

    def _apply_list(self, event: api.ListChanged, addresses: dict[str, Address]) -> None:
        self._outdated.update(event, now_ms())
        if event.kind.has_servers:
            if event.kind is not ListKind.DELTA:
                for name in self._addresses.keys() - {server.name for server in event.servers}:
                    self._on_server_leaving(name)
                    self._forget_server(name)
            for server in event.servers:
                name = server.name
                if (
                    server.state is not State.READY
                    or addresses.get(name) != self._addresses.get(name)
                    or server.started_at != self._started_at.get(name)
                ):
                    self._pool.close_idle(name)
                if server.state is State.READY:
                    self._ready.add(name)
                else:
                    self._on_server_leaving(name)
                if server.state is State.GONE:
                    self._forget_server(name)
                else:
                    self._addresses[name] = addresses[name]
                    self._started_at[name] = server.started_at
        self._dispatch(event)
        if self._started and self._addresses:
            self._life.mark_ready()

    def _on_server_leaving(self, name: str) -> None:
        if name in self._ready:
            self._ready.remove(name)
            # The update may have been received at any time since `_updates_read_at`, so the period starts there.
            stop_at = self._updates_read_at + STOP_SENDING_SHARE * self._config.stop_sending_ms
            waiting = [
                attempt
                for request in self._requests.values()
                for attempt in request.attempts
                if attempt.server == name and attempt.is_unsent()
            ]
            for attempt in waiting:
                attempt.start_before = min(attempt.start_before, stop_at)
            if waiting:
                self._loop.call_later(max(stop_at - now_ms(), 0.0) / 1000.0, self._end_unsent_to_leaving, waiting)

    def _end_unsent_to_leaving(self, waiting: list[Attempt]) -> None:
        """Ends attempts of which no byte was sent: an attempt whose connection is still being established must not
        start at a leaving server after the stop period, even if the connect timeout is longer."""
        for attempt in waiting:
            if attempt.is_unsent():
                log.info("%s: attempt not sent, %s is leaving", attempt.request.message.trace_id, attempt.server)
                self._end_attempt(attempt, Outcome.CONNECT_FAILED)

    def _forget_server(self, name: str) -> None:
        self._pool.close_idle(name)
        self._addresses.pop(name, None)
        self._started_at.pop(name, None)

    def handle_request(self, connection: ClientConnection, message: ClientRequest) -> None:
        if len(self._by_client) >= self._config.max_open:
            self._metrics.unserved.add(api.Unserved.OVERLOAD.value)
            connection.answer(503, retry_after_headers(self._config, BUSY_RETRY_AFTER_MS), b"")
            return
        self._last_id += 1
        request = LiveRequest(str(self._last_id), connection, message, math.inf)
        request.is_repeatable = self._config.settings.classes[message.class_index].effect is api.Effect.SAFE
        self._requests[request.id] = self._by_client[connection] = request
        left_ms = message.left_ms
        is_body_incomplete = message.is_body_incomplete()
        if is_body_incomplete:
            self._watch_body(request, now_ms())
        else:
            self._set_expiry(request)
            left_ms = max(request.expires_at - now_ms(), 0.0)
        if message.body_stream is not None:
            message.body_stream.on_sending_started = lambda: self._dispatch(api.BodyDiscarded(request.id))
        self._dispatch(
            api.RequestArrived(
                request.id,
                message.class_index,
                left_ms,
                message.tenant,
                message.cost_ms,
                message.is_retry,
                is_body_incomplete,
            )
        )

    def _set_expiry(self, request: LiveRequest) -> None:
        """Starts the request's deadline; for a request with a long body it counts from its last byte."""
        left_ms = request.message.left_ms
        margin = min(MARGIN_MS, MARGIN_SHARE * left_ms)
        request.expires_at = request.message.arrived_at * 1000.0 + left_ms - margin
        request.timer = Timer(
            self._loop, request.expires_at + margin * FALLBACK_ANSWER_SHARE, lambda: self._on_deadline(request)
        )

    def _watch_body(self, request: LiveRequest, since: float) -> None:
        """Checks when the client's time would be over if it had written all of its body at that time."""
        request.timer = Timer(self._loop, self._last_moment(request, since), lambda: self._check_body(request))

    @staticmethod
    def _last_moment(request: LiveRequest, sent_at: float) -> float:
        left_ms = request.message.left_ms
        return sent_at + left_ms - min(MARGIN_MS, MARGIN_SHARE * left_ms)

    def _check_body(self, request: LiveRequest) -> None:
        """Refuses a request whose server reads its body so slowly that the client's time is over. It has not run."""
        client = request.client
        if client is None or request.streaming_attempt is not None or not request.message.is_body_incomplete():
            return
        sent_since = client.body_sent_since()
        sent_at = now_ms() if sent_since is None else sent_since * 1000.0
        if self._last_moment(request, sent_at) > now_ms():
            self._watch_body(request, sent_at)
            return
        self._answer(request, 503, [], b"", api.Unserved.OUT_OF_TIME)
        self._dispatch(api.ClientDisconnected(request.id))
        self._clean_up(request)

    def body_ended(self, connection: ClientConnection) -> None:
        """The last byte of a streamed request body has been received."""
        request = self._by_client.get(connection)
        if request is None or request.streaming_attempt is not None:
            return
        self._stop_timer(request)
        self._set_expiry(request)
        for attempt in request.attempts:
            if not attempt.ended:
                self._set_attempt_timeout(attempt, request.expires_at)
        self._dispatch(api.BodyEnded(request.id, max(request.expires_at - now_ms(), 0.0)))

    def _set_attempt_timeout(self, attempt: Attempt, expires_at: float) -> None:
        attempt.expires_at = expires_at
        if expires_at < math.inf:
            attempt.timer = Timer(self._loop, expires_at, lambda: self._on_attempt_timeout(attempt))

    def client_gone(self, connection: ClientConnection) -> None:
        request = self._by_client.pop(connection, None)
        if request is not None:
            request.client = None
            self._stop_timer(request)
            self._end_unsent_attempts(request)
            self._dispatch(api.ClientDisconnected(request.id))
            if request.streaming_attempt is not None:
                self._end_attempt(request.streaming_attempt, Outcome.CANCELLED)
            self._clean_up(request)

    def client_confirmed(self, connection: ClientConnection) -> None:
        """The client closed only its sending side (a half-close): starts attempts held until that was known."""
        request = self._by_client.get(connection)
        if request is None:
            return
        for attempt in request.attempts:
            if attempt.exchange is not None and attempt.is_unsent():
                attempt.exchange.resume_start()

    def _end_unsent_attempts(self, request: LiveRequest) -> None:
        """Ends attempts of which no byte was sent, since the client needs no answer any more. Also done where the
        settings do not allow a started attempt to be cancelled."""
        for attempt in request.attempts:
            if attempt.is_unsent():
                self._end_attempt(attempt, Outcome.MOOT)

    def _on_deadline(self, request: LiveRequest) -> None:
        """Answers the client in time if the balancer has not decided on the request."""
        if request.client is not None and request.streaming_attempt is None:
            self._answer(request, 502, [], b"", api.Unserved.OUT_OF_TIME)
            self._dispatch(api.ClientDisconnected(request.id))
            self._clean_up(request)

    @staticmethod
    def _stop_timer(request: LiveRequest) -> None:
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None  # breaks the reference cycle with the request

    def fail_all(self) -> None:
        """Answers all open requests with an error, before the process is killed."""
        for request in list(self._by_client.values()):
            self._on_deadline(request)

    def make_room(self) -> bool:
        """Closes an idle backend connection to free a descriptor; False if there is none."""
        return self._pool.close_oldest_idle()

    def _fail_request(self, request_id: str) -> None:
        request = self._requests.get(request_id)
        if request is None:
            return
        self._answer(request, 502, [], b"", api.Unserved.FAULT)
        for attempt in request.attempts:
            if attempt is not request.streaming_attempt:
                self._end_attempt(attempt, Outcome.CANCELLED)
        self._clean_up(request)

    # --- actions of the balancer ---

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel():
                request = self._requests.get(action.request)
                if (
                    request is not None
                    and 0 <= action.attempt < len(request.attempts)
                    and request.attempts[action.attempt] is not request.streaming_attempt
                ):
                    self._end_attempt(request.attempts[action.attempt], Outcome.CANCELLED)
            case api.Refuse():
                self._answer_unserved(
                    action.request, 503, retry_after_headers(self._config, action.retry_after_ms), action.reason
                )
            case api.Fail():
                self._answer_unserved(action.request, 502, [], action.reason)
            case api.SetTimer():
                token = action.token
                Timer(self._loop, now_ms() + action.after_ms, lambda: self._dispatch(api.TimerFired(token)))
            case api.Close():
                self._pool.close_idle(action.server)
            case api.Watch():
                self._discovery.watch()

    def _answer_unserved(self, request_id: str, status: int, headers: Headers, reason: api.Unserved) -> None:
        request = self._requests.get(request_id)
        if request is not None:
            self._answer(request, status, headers, b"", reason)
            self._clean_up(request)

    def _answer(
        self, request: LiveRequest, status: int, headers: Headers, body: bytes, reason: api.Unserved | None = None
    ) -> None:
        """Answers the client unless an answer is being streamed. `reason` says why the request is not served, if so."""
        if request.streaming_attempt is not None:
            return  # an answer is being streamed
        client = self._detach_client(request)
        request.is_answered = client is not None
        self._end_unsent_attempts(request)
        if client is not None:
            if reason is not None:
                self._metrics.unserved.add(reason.value)
                self._unserved.write(request, status, reason)
            client.answer(status, headers, body)

    def _send(self, action: api.Send) -> None:
        request = self._requests.get(action.request)
        if request is None:
            return
        now = now_ms()
        expires_at = request.expires_at
        if action.timeout_ms > 0 and not request.message.is_body_incomplete():
            expires_at = min(expires_at, now + action.timeout_ms)
        attempt = Attempt(request, len(request.attempts), action.server, now, expires_at, now + action.start_within_ms)
        request.attempts.append(attempt)
        if (
            request.client is None
            or request.streaming_attempt is not None
            or now >= expires_at
            or len(request.attempts) > self._config.settings.max_attempts
        ):
            self._end_attempt(attempt, Outcome.MOOT)
            return
        if not self._may_send_id(request):
            self._fail_repeated(request)
            self._end_attempt(attempt, Outcome.MOOT)
            return
        address = self._addresses.get(action.server)
        if address is None:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.exchange = Exchange(
            lambda: self._payload(request.message, attempt.expires_at),
            lambda outcome, answer: self._on_attempt_done(attempt, outcome, answer),
            lambda headers, length, source: self._on_stream_started(attempt, headers, length, source),
            request.message.body_stream,
            lambda: self._may_start(attempt),
        )
        self._set_attempt_timeout(attempt, expires_at)
        self._has_unread_update()  # updates received from now on will find this attempt unsent
        if not self._pool.send(action.server, address, attempt.exchange):
            log.warning("no file descriptor left for a connection to %s", action.server)
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)

    def _may_send_id(self, request: LiveRequest) -> bool:
        """False if a server may have run another request under the same id, sent by this process or one beside it."""
        if request.is_repeatable:
            return True
        trace_id = request.message.trace_id
        is_first = not self.sent_ids.is_claimed_by(trace_id, request.id)
        shared = self.shared_ids if self.shared_ids is not None and self.shared_ids.is_shared() else None
        if is_first and shared is not None and shared.peer_has(trace_id):
            return False
        if not self.sent_ids.claim(trace_id, request.id, now_ms()):
            return False
        if shared is not None:
            shared.record([trace_id])
        return True

    def _fail_repeated(self, request: LiveRequest) -> None:
        self._answer(request, 409, [], b"", api.Unserved.REPEATED)
        self._dispatch(api.ClientDisconnected(request.id))

    @staticmethod
    def _payload(message: ClientRequest, expires_at: float) -> bytes:
        lines = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
        lines += [b"%s: %s\r\n" % header for header in message.headers if header[0].lower() not in HOP_BY_HOP_HEADERS]
        # The deadline only starts to count once the request's body is complete.
        left_ms = message.left_ms if message.is_body_incomplete() else expires_at - now_ms()
        lines.append(b"X-Expires-In: %.4f\r\n" % (max(left_ms, 0.1) / 1000.0))
        if message.body_stream is not None:
            length = message.body_stream.length
            lines.append(b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length)
        elif message.body or message.method != b"GET":
            lines.append(b"Content-Length: %d\r\n" % len(message.body))
        lines.append(b"\r\n")
        lines.append(message.body)
        return b"".join(lines)

    # --- attempts ---

    def _may_start(self, attempt: Attempt) -> Start:
        """Whether the first byte may be sent now. Unread updates from discovery are processed first, since a server
        counts as leaving from when the update was received."""
        if self._outdated.blocks_sends(now_ms(), STOP_SENDING_SHARE * self._config.stop_sending_ms):
            return Start.NEVER  # the connection was established too late
        if not self._has_unread_update():
            return attempt.may_start()
        if not self._held_attempts:
            self._loop.call_soon(self._resume_held_attempts)
        self._held_attempts.append(attempt)
        return Start.LATER

    def _has_unread_update(self) -> bool:
        if self._discovery.has_unread():
            return True
        self._updates_read_at = now_ms()
        return False

    def _resume_held_attempts(self) -> None:
        held, self._held_attempts = self._held_attempts, []
        for attempt in held:
            if attempt.exchange is not None and attempt.is_unsent():
                attempt.exchange.resume_start()

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        """Ends the attempt, unless its answer is or may become a long one, whose first bytes are in time."""
        exchange = attempt.exchange
        overtime_s = exchange.overtime_s((now_ms() - attempt.expires_at) / 1000.0) if exchange is not None else 0.0
        if exchange is not None and overtime_s > 0.0 and exchange.pass_on():
            self._extend_attempt(attempt, overtime_s)
            return
        # An attempt that was not fully written cannot have run, and is not written later.
        written = exchange is None or exchange.is_written()
        self._on_attempt_done(attempt, Outcome.TIMEOUT if written else Outcome.CONNECT_FAILED, None)

    def _extend_attempt(self, attempt: Attempt, overtime_s: float) -> None:
        """Checks again after `overtime_s` whether the answer has stopped."""
        self._stop_attempt_timer(attempt)
        if overtime_s < math.inf:
            due = now_ms() + overtime_s * 1000.0
            attempt.timer = Timer(self._loop, due, lambda: self._on_attempt_timeout(attempt))

    @staticmethod
    def _stop_attempt_timer(attempt: Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None  # breaks the reference cycle with the attempt

    def _on_attempt_done(self, attempt: Attempt, outcome: Outcome, answer: Answer | None) -> None:
        if attempt.ended:
            return
        request = attempt.request
        if attempt is request.streaming_attempt:
            client = self._detach_client(request)
            if client is not None and outcome is Outcome.OK:
                request.is_answered = True
                client.end_answer()
            elif client is not None:
                log.info(
                    "%s: the answer of %s was cut off: %s", request.message.trace_id, attempt.server, outcome.value
                )
                client.abort_answer()
        elif outcome is Outcome.OK and answer is not None and request.streaming_attempt is None:
            self._answer(request, 200, answer.headers, answer.body)
        self._end_attempt(attempt, outcome)

    def _on_stream_started(self, attempt: Attempt, headers: Headers, length: int | None, source: Source) -> Sink | None:
        """Starts to stream an attempt's answer to the client; None if the client does not need it any more."""
        if attempt.ended:
            return None
        request = attempt.request
        client = request.client
        if request.streaming_attempt is not None or client is None or not client.begin_answer(headers, length, source):
            return None
        request.streaming_attempt = attempt
        self._stop_timer(request)
        # The client's time goes on: an answer that turns out short is due within it.
        self._stop_attempt_timer(attempt)
        self._set_attempt_timeout(attempt, request.expires_at)
        self._dispatch(api.StreamStarted(request.id, attempt.index))
        return client

    def _detach_client(self, request: LiveRequest) -> ClientConnection | None:
        """Takes the client off the request, before its final answer."""
        client, request.client = request.client, None
        if client is not None:
            self._stop_timer(request)
            self._by_client.pop(client, None)
        return client

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Reports the attempt's outcome. Each attempt has exactly one, also if it is cancelled or ends after the
        client was answered."""
        if attempt.ended:
            return
        request = attempt.request
        attempt.ended = True
        attempt.outcome = outcome.value
        self._metrics.attempts.add(outcome.value)
        self._stop_attempt_timer(attempt)
        if attempt.exchange is not None:
            attempt.exchange.abort()
            attempt.exchange = None
        self._dispatch(
            api.AttemptEnded(
                request.id, attempt.index, attempt.server, outcome, request.client is None, now_ms() - attempt.sent_at
            )
        )
        self._clean_up(request)

    def _clean_up(self, request: LiveRequest) -> None:
        if request.is_over() and self._requests.pop(request.id, None) is not None:
            self._release_id(request)
            for attempt in request.attempts:
                # Breaks the reference cycle: otherwise the request with its headers and body would stay in memory until
                # the next garbage collection and make that slow. The request of an ended attempt is never read.
                del attempt.request

    def _release_id(self, request: LiveRequest) -> None:
        if request.is_repeatable:
            return
        trace_id = request.message.trace_id
        if request.is_answered or not request.may_have_run():
            self.sent_ids.release(trace_id, request.id)
        else:
            self.sent_ids.abandon(trace_id, request.id, now_ms())

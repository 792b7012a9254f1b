"""A proxy in the emulator: executes the decisions of the production balancer on the simulated network."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum

from balancing import api
from balancing.balancer import Balancer
from mastlift.lab.emulator.backend import Attempt, Backend, ConnectionPool
from mastlift.lab.emulator.clock import Clock

MARGIN_S = 0.02  # reserved for the network round trip out of a client's remaining time, as in the real proxy


class Answer(Enum):
    """What the client of a request receives."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


OnAnswer = Callable[[Answer], None]


class ActiveRequest:
    """A request that is unanswered or has attempts in progress; `until` is the time by which it must be answered."""

    __slots__ = ("answered", "attempts", "ended", "until", "work")

    def __init__(self, work: float, until: float, answered: OnAnswer) -> None:
        self.work, self.until = work, until
        self.answered: OnAnswer | None = answered  # None once the request is answered
        self.attempts: list[Attempt | None] = []  # None for an attempt that was not made
        self.ended: list[bool] = []


class Host:
    """A proxy with the production balancer.

    `backends`: by name, all servers that an endpoint list may contain. `watch` is called when the balancer requests a
    watch of the list.
    """

    def __init__(
        self,
        clock: Clock,
        settings: api.Settings,
        seed: int,
        backends: dict[str, Backend],
        connect_timeout_s: float = 0.25,
        keep_s: float = 5.0,
        watch: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock, self._settings, self._backends, self._watch = clock, settings, backends, watch
        self._balancer = Balancer(settings, seed)
        self.calls = ConnectionPool(clock, settings.zone, connect_timeout_s, keep_s)
        self._active: dict[str, ActiveRequest] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self.sent = 0

    def list_changed(self, kind: api.ListKind, servers: tuple[api.Server, ...]) -> None:
        """Pass a new endpoint list to the balancer."""
        self._dispatch(api.ListChanged(kind, servers))

    def ask(
        self, request: str, class_index: int, work: float, left_s: float, answered: OnAnswer, tenant: int = 0
    ) -> None:
        """Handle a client's request; `answered` is called exactly once, within `left_s` seconds."""
        left_s = max(left_s - MARGIN_S, 0.0)
        self._active[request] = ActiveRequest(work, self._clock.now + left_s, answered)
        self._dispatch(api.RequestArrived(request, class_index, 1000.0 * left_s, tenant))

    def _dispatch(self, event: api.Event) -> None:
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        while self._events:
            for action in self._balancer.handle(self._events.popleft(), 1000.0 * self._clock.now):
                self._carry_out(action)
        self._handling = False

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel(request, number):
                live = self._active.get(request)
                if live is not None and (attempt := live.attempts[number]) is not None:
                    self.calls.cancel(attempt)
            case api.Refuse(request):
                self._answer(request, Answer.REFUSED)
            case api.Fail(request):
                self._answer(request, Answer.FAILED)
            case api.SetTimer(token, after_ms):
                self._clock.after(after_ms / 1000.0, lambda: self._dispatch(api.TimerFired(token)))
            case api.Close(server):
                self.calls.close_idle(server)
            case api.Watch():
                self._watch()

    def _send(self, action: api.Send) -> None:
        live = self._active[action.request]
        number, now = len(live.attempts), self._clock.now
        until = min(live.until, now + action.timeout_ms / 1000.0) if action.timeout_ms > 0 else live.until
        live.attempts.append(None)
        live.ended.append(False)

        def ended(outcome: api.Outcome) -> None:
            live.ended[number] = True
            if outcome is api.Outcome.OK:
                self._answer(action.request, Answer.SERVED)
            self._dispatch(
                api.AttemptEnded(
                    action.request,
                    number,
                    action.server,
                    outcome,
                    live.answered is None,
                    1000.0 * (self._clock.now - now),
                )
            )
            self._forget(action.request, live)

        if live.answered is None or now >= until or number >= self._settings.max_attempts:
            ended(api.Outcome.MOOT)
            return
        self.sent += 1
        live.attempts[number] = self.calls.send(self._backends[action.server], live.work, until - now, ended)

    def _answer(self, request: str, answer: Answer) -> None:
        live = self._active[request]
        answered, live.answered = live.answered, None
        if answered is not None:
            answered(answer)
        self._forget(request, live)

    def _forget(self, request: str, live: ActiveRequest) -> None:
        if live.answered is None and all(live.ended):
            self._active.pop(request, None)


class Arrivals:
    """Open-loop load: Poisson arrivals that do not depend on the progress of earlier requests.

    A closed loop would send less while requests are slow, and so hide their delays.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        per_s: Callable[[float], float],
        max_per_s: float,
        arrive: Callable[[], None],
    ) -> None:
        """Start the arrivals.

        `per_s` gives the rate at a time and must not exceed `max_per_s`, since arrivals are drawn by thinning (Lewis
        and Shedler 1979); a higher rate raises ValueError on the next arrival.
        """
        self._clock, self._rng, self._per_s, self._most, self._arrive = clock, rng, per_s, max_per_s, arrive
        self._next()

    def _next(self) -> None:
        self._clock.after(self._rng.expovariate(self._most), self._due)

    def _due(self) -> None:
        self._next()
        rate = self._per_s(self._clock.now)
        if rate > self._most:
            raise ValueError(f"rate of {rate} arrivals per second exceeds the maximum of {self._most}")
        if self._rng.random() * self._most < rate:
            self._arrive()

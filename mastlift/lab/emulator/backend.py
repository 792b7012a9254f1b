"""Model of a server on the network and of a client's connection pool, with the outcomes that HTTP/1.1 allows.

Each attempt ends with exactly one outcome, reported once. A connection carries one exchange at a time, its handshake
costs the server work, and the number of connections per server is limited. A process that ends resets its open
connections; a machine that vanishes sends nothing.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from balancing.api import Outcome
from mastlift.lab.emulator.clock import Clock, ScheduledCall
from mastlift.lab.emulator.machine import Job, Machine, MachineSpec
from mastlift.lab.emulator.network import Network

OnOutcome = Callable[[Outcome], None]


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """Properties of a server; ValueError for values out of range.

    `handshake_s`: work in core seconds that a new connection costs. `round_trips`: until a connection is established.
    `max_connections`: open at once. `idle_s`: the server closes a connection that has been idle for so many seconds.
    `errors`: share of the processed requests that fail. `cancel`: the work that is stopped when a client closes its
    connection: "queued" work only, "all" or "none".
    """

    machine: MachineSpec
    handshake_s: float = 0.0015
    round_trips: int = 2
    max_connections: float = math.inf
    idle_s: float = 10.0
    errors: float = 0.0
    cancel: str = "all"

    def __post_init__(self) -> None:
        if self.cancel not in ("queued", "all", "none"):
            raise ValueError(f'cancel must be "queued", "all" or "none", got {self.cancel!r}')
        if not 0 <= self.errors <= 1 or self.round_trips < 1:
            raise ValueError("errors must be in [0, 1], and round_trips must be at least 1")


class Backend:
    """A server on the network.

    `state`: "up", "draining" (rejects new requests), "dead" (refuses connections) or "vanished" (sends nothing).
    """

    def __init__(self, name: str, zone: int, spec: BackendSpec, network: Network, rng: random.Random) -> None:
        self.name, self.zone, self.spec, self.network, self.rng = name, zone, spec, network, rng
        self.clock: Clock = network.clock
        self.machine = Machine(self.clock, spec.machine)
        self.state = "up"
        self.connections: dict[Connection, None] = {}  # by age, so that a run with the same seed repeats exactly
        self.completed = 0  # requests that were processed, successfully or not

    def crash(self) -> None:
        """End the process: open connections are reset and new ones refused."""
        self.state = "dead"
        open_, self.connections = self.connections, {}
        self.machine = Machine(self.clock, self.spec.machine)
        for connection in open_:
            connection.job = None
            self.network.travel(self.zone, connection.zone, connection.on_broken)

    def restart(self) -> None:
        """Start a new process on a cold machine."""
        if self.state != "dead":
            self.crash()
        self.state = "up"
        self.machine = Machine(self.clock, self.spec.machine, cold=True)

    def connect(self, connection: Connection) -> None:
        """Accept a connection, or refuse it if the process has ended or the limit of connections is reached."""
        if self.state == "vanished":
            return
        if self.state == "dead" or len(self.connections) >= self.spec.max_connections:
            self.network.travel(self.zone, connection.zone, connection.on_broken)
            return
        self.connections[connection] = None

        def up() -> None:
            if connection in self.connections:
                self.network.travel(self.zone, connection.zone, connection.on_connected)

        if not self.machine.offer(Job(self.spec.handshake_s, up)):
            up()  # a saturated process does not keep the kernel from accepting the connection

    def begin(self, connection: Connection, work: float) -> None:
        """Process a request that has arrived in full."""
        if self.state == "vanished":
            return
        if connection not in self.connections:
            self.network.travel(self.zone, connection.zone, connection.on_broken)
            return

        def done() -> None:
            connection.job = None
            self.completed += 1
            failed = self.rng.random() < self.spec.errors
            self._answer(connection, Outcome.ERROR if failed else Outcome.OK)

        job = Job(work, done)
        if self.state == "draining" or not self.machine.offer(job):
            self._answer(connection, Outcome.FULL)
        else:
            connection.job = job

    def _answer(self, connection: Connection, outcome: Outcome) -> None:
        if self.state != "vanished":
            self.network.travel(self.zone, connection.zone, lambda: connection.answered(outcome))

    def hang_up(self, connection: Connection) -> None:
        """Handle the close of a connection by its client; `BackendSpec.cancel` decides which work this stops."""
        self.connections.pop(connection, None)
        job, connection.job = connection.job, None
        if job is not None and (self.spec.cancel == "all" or (self.spec.cancel == "queued" and job.state == "waiting")):
            self.machine.cancel_job(job)


class Attempt:
    """One request on a connection; `ended` is called with its outcome."""

    __slots__ = ("connection", "ended")

    def __init__(self, connection: Connection, ended: OnOutcome) -> None:
        self.connection, self.ended = connection, ended


class Connection:
    """The client's end of a connection."""

    def __init__(self, calls: ConnectionPool, backend: Backend, number: int) -> None:
        self.calls, self.backend, self.number, self.zone = calls, backend, number, calls.zone
        self.job: Job | None = None  # the work on the server for the exchange in progress
        self.is_up = self.closed = False
        self.work = 0.0
        self.attempt: Attempt | None = None  # in progress
        self.timer: ScheduledCall | None = None
        self.limit: ScheduledCall | None = None

    def open(self) -> None:
        """Connect to the server; the attempt fails with CONNECT_FAILED after the pool's connect timeout."""
        spec, network = self.backend.spec, self.backend.network
        trips = spec.round_trips

        def step() -> None:
            nonlocal trips
            trips -= 1
            if trips:  # a round trip without work for the server
                network.travel(self.backend.zone, self.zone, lambda: network.travel(self.zone, self.backend.zone, step))
            else:
                self.backend.connect(self)

        self.timer = self.calls.clock.after(self.calls.connect_timeout_s, lambda: self.finish(Outcome.CONNECT_FAILED))
        network.travel(self.zone, self.backend.zone, step)

    def on_connected(self) -> None:
        if not self.closed:
            self._stop_timer()
            self.is_up = True
            self.write()

    def write(self) -> None:
        work = self.work
        self.backend.network.travel(self.zone, self.backend.zone, lambda: self.backend.begin(self, work))

    def answered(self, outcome: Outcome) -> None:
        if not self.closed:
            self.finish(outcome, keep=True)

    def on_broken(self) -> None:
        if not self.closed:
            self.finish(Outcome.RESET if self.is_up else Outcome.CONNECT_FAILED)

    def finish(self, outcome: Outcome, keep: bool = False) -> None:
        """End the exchange with this outcome, and `keep` the connection for reuse or close it."""
        self._stop_timer()
        if self.limit is not None:
            self.limit.cancel()
            self.limit = None
        attempt, self.attempt = self.attempt, None
        if keep:
            self.calls.keep(self)
        else:
            self.close()
        if attempt is not None:
            attempt.ended(outcome)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._stop_timer()
            self.calls.remove_connection(self)
            self.backend.network.travel(self.zone, self.backend.zone, lambda: self.backend.hang_up(self))

    def start_idle_timer(self, seconds: float) -> None:
        self.timer = self.calls.clock.after(seconds, self.close)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class ConnectionPool:
    """A client's connections to all servers; reuses idle ones first, beginning with the most recently used."""

    def __init__(self, clock: Clock, zone: int, connect_timeout_s: float, keep_s: float) -> None:
        self.clock, self.zone, self.connect_timeout_s, self.keep_s = clock, zone, connect_timeout_s, keep_s
        self.opened = 0
        self._idle: dict[str, list[Connection]] = {}

    def send(self, backend: Backend, work: float, limit_s: float, ended: OnOutcome) -> Attempt:
        """Send a request of `work` core seconds; if it takes longer than `limit_s`, a timeout is its outcome."""
        idle = self._idle.get(backend.name)
        fresh = not idle
        if idle:
            connection = idle.pop()
            connection._stop_timer()
        else:
            self.opened += 1
            connection = Connection(self, backend, self.opened)
        attempt = connection.attempt = Attempt(connection, ended)
        connection.work = work
        connection.limit = self.clock.after(
            limit_s, lambda: connection.finish(Outcome.TIMEOUT if connection.is_up else Outcome.CONNECT_FAILED)
        )
        if fresh:
            connection.open()
        else:
            connection.write()
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt.

        No effect on one that has ended, since its connection may carry the exchange of another attempt by then.
        """
        if attempt.connection.attempt is attempt:
            attempt.connection.finish(Outcome.CANCELLED)

    def close_idle(self, server: str) -> None:
        for connection in list(self._idle.get(server, ())):
            connection.close()

    def keep(self, connection: Connection) -> None:
        self._idle.setdefault(connection.backend.name, []).append(connection)
        connection.start_idle_timer(min(self.keep_s, connection.backend.spec.idle_s))

    def remove_connection(self, connection: Connection) -> None:
        idle = self._idle.get(connection.backend.name, [])
        if connection in idle:
            idle.remove(connection)

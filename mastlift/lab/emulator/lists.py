"""The discovery clients of a fleet in simulated time.

The production watch code and balancer of many proxies run against one simulated discovery service. That service answers
calls one after another, refuses calls that would wait too long, and also processes calls whose client has disconnected.
It can end watches instead of reporting a change, stop responding, go down, move, and drain servers.

For each proxy the simulation records from when a draining server counts as announced, by the contract between discovery
and proxies, and each request that is sent to that server later than this time plus a grace period of 250 ms.
"""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from itertools import count
from typing import Any, cast

from balancing import api
from balancing.balancer import Balancer
from mastlift.lab.emulator.clock import Clock, ScheduledCall
from proxy.discovery import Discovery, ListReader

START_S = 1000.0
# Required by the contract between discovery and proxies; not imported from the code under test, to stay independent.
GRACE_S, CHANGE_KNOWN_AFTER_S, WATCH_HEARTBEAT_S = 0.25, 6.0, 2.0
MOVE_DUE_S = 4.0  # from a move until the changes known to discovery count as announced
FORMER_ADDRESS_S = 1.5  # how long a former address keeps its open connections
ENDED_DUE_S = 2.0  # from the end of a watch until the changes it did not report count as announced
REFUSAL_S = 0.02  # round trip of a call that is refused at once
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
# With ask_within_ms at 10 s, the longest pause after a single failure would end in time by coincidence.
SETTINGS = api.Settings(classes=(api.RequestClass(aim_ms=1000, deadline_ms=3000),), ask_within_ms=40_000.0)


class Loop:
    """The part of the asyncio event loop interface that the watch code uses, on the emulator's clock."""

    def __init__(self) -> None:
        self._clock = Clock()
        self.connect: Callable[[Callable[[], Any]], None] = lambda make: None

    @property
    def now(self) -> float:
        return START_S + self._clock.now

    def time(self) -> float:
        return self.now

    def call_later(self, after_s: float, call: Callable[..., None], *args: Any) -> ScheduledCall:
        return self._clock.after(max(after_s, 0.0), lambda: call(*args))

    async def create_connection(self, make: Callable[[], Any], *_address: Any) -> None:
        self.connect(make)

    def create_task(self, work: Coroutine[Any, Any, None]) -> Task:
        return Task(self._clock, work)

    def run_until(self, end: float) -> None:
        self._clock.run(end - START_S)


class Task:
    """Runs a coroutine that never suspends; RuntimeError if it does."""

    def __init__(self, clock: Clock, work: Coroutine[Any, Any, None]) -> None:
        self._work = work
        self._due = clock.after(0.0, self._step)

    def _step(self) -> None:
        try:
            self._work.send(None)
        except StopIteration:
            return
        raise RuntimeError("the coroutine suspended; the emulated loop cannot resume it")

    def cancel(self) -> None:
        if self._due.call is not None:  # otherwise the coroutine has run, or is the one that cancels the task
            self._due.cancel()
            self._work.close()


class Wire:
    """A connection of a proxy to discovery: transport of the watch protocol; discovery answers by `send_bytes`."""

    def __init__(self, world: World, protocol: Any) -> None:
        self.world, self.protocol = world, protocol
        self.host, self.port = protocol._owner._rotation.current
        self.index = 0
        self.received_at = 0.0
        self.silent = self.closed = self.watching = False

    @property
    def number(self) -> int:
        """The number of the proxy that opened the connection."""
        return int(self.port) - 1

    def write(self, head: bytes) -> None:
        self.index = int(head.split(b"index=")[1].split()[0])
        self.received_at = self.world.loop.now
        self.world.calls.append(self.received_at)
        self.silent = self.received_at < self.world.unresponsive_until
        if not self.silent and not self.world.is_down:
            self.world.admit(self)

    def send_bytes(self, data: bytes) -> None:
        self.world.loop.call_later(0.001, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        if not self.closed:
            self.protocol.data_received(data)

    def chunk(self, data: bytes) -> None:
        self.send_bytes(b"%x\r\n%s\r\n" % (len(data), data))

    def abort(self) -> None:
        self.closed = True


@dataclass
class Proxy:
    """A proxy with the production balancer and watch code.

    `notified_at`: for each draining server, from when its drain counts as announced to this proxy.
    """

    world: World
    number: int

    def __post_init__(self) -> None:
        world = self.world
        settings = replace(
            SETTINGS, must_ask=world.asked, balancers=len(world.addresses), position=self.number, zone=self.number % 2
        )
        self.balancer = Balancer(settings, world.random.getrandbits(64))
        self.notified_at: dict[str, float] = {}
        self.silent_since: float | None = None
        known = world.whole() if world.starts_with_list else {}
        self.discovery = Discovery(
            cast(Any, world.loop),
            [("127.0.0.1", self.number + 1)],
            ListReader(("a", "b"), ()),
            world.asked,
            known,
            lambda event, _: self.handle(event),
        )
        self.requests = count()
        self.handle(api.ListChanged(api.ListKind.CACHED, tuple(self.discovery.reader.read(known)[0])))
        self.discovery.start()

    def handle(self, event: api.Event) -> None:
        loop = self.world.loop
        for action in self.balancer.handle(event, loop.now * 1000.0):
            match action:
                case api.SetTimer(token, after_ms):
                    loop.call_later(after_ms / 1000.0, self.handle, api.TimerFired(token))
                case api.Watch():
                    self.discovery.watch()
                case api.Refuse():
                    self.world.refusals += 1
                case api.Send(request, server):
                    self.world.sent(self, server)
                    loop.call_later(0.02, self.handle, api.AttemptEnded(request, 0, server, api.Outcome.OK, True, 20.0))

    def ask(self) -> None:
        self.handle(api.RequestArrived(f"{next(self.requests)}", 0, 3000.0))
        self.world.loop.call_later(0.3, self.ask)


class World:
    """A fleet of proxies, its servers and the simulated discovery service; `late` lists the late sends."""

    def __init__(
        self,
        proxies: int,
        servers: int,
        *,
        asked: bool,
        all_call_s: float = 3.7,
        wait_s: float = 2.0,
        seed: int = 1,
        starts_with_list: bool = True,
        refuses_at_once: bool = True,
        max_queue_s: float = 0.0,
    ) -> None:
        """Start a fleet.

        `asked`: proxies call discovery for changes; otherwise the agent of each proxy delivers them at once.
        `all_call_s`: time in which discovery answers one call of each proxy, in sequence.
        `starts_with_list`: proxies start with a list.
        `refuses_at_once`: a call that would wait for more than `wait_s` is refused at once, otherwise after `wait_s`.
        `max_queue_s`: if above 0, calls that were refused after the wait stay in the queue and are processed; a call
        that would make the queue longer than this many seconds of work is refused at once.
        """
        random.seed(seed)
        self.random = random.Random(seed)
        self.asked, self.starts_with_list = asked, starts_with_list
        self.loop = Loop()
        self.loop.connect = self._connect
        self.service_s, self.wait_s = all_call_s / proxies, wait_s
        self.refuses_at_once, self.max_queue_s = refuses_at_once, max_queue_s
        self.members = {
            name: {
                "id": name,
                "host_port": "127.0.0.1:9",
                "locality": "ab"[i % 2],
                "flavor": "std",
                "cell": i // 3,
                "phase": "in_service",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for i, name in enumerate(f"s{i}" for i in range(servers))
        }
        self.changes: list[str] = []  # for each revision, the server that it changed
        self.queue: deque[Wire] = deque()
        self.calls: list[float] = []  # times of the calls for the list
        self.attempts = 0  # connection attempts, including those while discovery is down
        self.refused = self.sends = self.refusals = 0
        self.late: list[tuple[int, str, float]] = []  # proxy, server, seconds since the drain was announced
        self.closed: set[int] = set()  # proxies whose watch was closed instead of reporting a drain
        self.wires: list[Wire] = []
        self.busy = False
        self.busy_until = 0.0
        self.is_down = False
        self.outage_response = "refused"
        self.reached_since = START_S  # from when on discovery answers calls
        self.changed_at: dict[str, float] = {}  # for each server, when discovery received its last change
        self.stalled_until = self.unresponsive_until = 0.0
        self.addresses = range(proxies)
        self.proxies = [Proxy(self, number) for number in self.addresses]

    def whole(self) -> dict[str, Any]:
        return {"revision": len(self.changes), "complete": True, "members": list(self.members.values())}

    # --- faults and changes ---

    def move(self, number: int) -> None:
        """Give one proxy a new configuration with another address of discovery.

        The former address accepts no new calls and closes its connections after FORMER_ADDRESS_S.
        """
        discovery = self.proxies[number].discovery
        host, port = discovery._rotation.current
        former = [wire for wire in self.wires if wire.number == number and not wire.closed]
        discovery.move([(f"127.0.0.{int(host.rpartition('.')[2]) + 1}", port)])
        self.loop.call_later(FORMER_ADDRESS_S, self._close, former)
        for name in self.changes:
            if not self.is_down and self.proxies[number].notified_at.get(name) is None:
                self._mark_notified(self.proxies[number], name, self.loop.now + MOVE_DUE_S)

    def _close(self, wires: list[Wire]) -> None:
        for wire in wires:
            if not wire.closed and not wire.silent:
                wire.protocol.eof_received()

    def restart(self, share: float) -> list[Proxy]:
        """Replace a share of the proxies by new processes, all at once."""
        chosen = self.random.sample(self.addresses, round(share * len(self.proxies)))
        for number in chosen:
            self.proxies[number].discovery.stop()
            self.proxies[number] = Proxy(self, number)
        return [self.proxies[number] for number in chosen]

    def start_clients(self) -> None:
        for proxy in self.proxies:
            self.loop.call_later(self.random.uniform(0.0, 0.3), proxy.ask)

    def run(self, seconds: float) -> None:
        self.loop.run_until(self.loop.now + seconds)

    def fall_silent(self) -> None:
        """Stop sending on all open connections, both established watches and queued calls, without closing them."""
        for wire in self.wires:
            wire.silent = True
        self.queue.clear()
        for proxy in self.proxies:
            if proxy.silent_since is None:
                proxy.silent_since = self.loop.now

    def go_silent_for(self, seconds: float) -> None:
        """Accept calls without answering them."""
        self.unresponsive_until = self.reached_since = self.loop.now + seconds

    def end_watches(self, share: float, missed: str = "") -> list[Proxy]:
        """End the watches of a share of the proxies at once.

        They are reset, or, if `missed` names a server, closed by discovery instead of reporting that it drains.
        """
        watching = [wire for wire in self.wires if wire.watching and not wire.closed and not wire.silent]
        ending = self.random.sample(watching, round(share * len(watching)))
        for wire in ending:
            wire.watching = False
            if missed:
                self.loop.call_later(0.0, wire.protocol.eof_received)
            else:
                self.loop.call_later(0.0, wire.protocol.connection_lost, ConnectionResetError())
        self.wires = [wire for wire in self.wires if wire not in ending]
        proxies = [self.proxies[wire.number] for wire in ending]
        if missed:
            self.closed |= {proxy.number for proxy in proxies}
            self.change(missed)
            for proxy in proxies:
                self._mark_notified(proxy, missed, self.loop.now + ENDED_DUE_S)
        return proxies

    def stall(self, seconds: float) -> None:
        """Delay the empty lines that keep watches alive by this time."""
        self.stalled_until = self.loop.now + seconds

    def go_down(self, seconds: float, answers: str = "refused") -> None:
        """Stop discovery; meanwhile calls are refused, reset, or answered 503, at once or after the longest wait."""
        self.is_down, self.outage_response = True, answers
        self.queue.clear()
        for proxy in self.proxies:  # changes not yet announced are due again once discovery returns
            proxy.silent_since = None
            proxy.notified_at = {name: at for name, at in proxy.notified_at.items() if at <= self.loop.now}
        for wire in self.wires:
            if not wire.silent and not wire.closed:
                self.loop.call_later(0.0, wire.protocol.connection_lost, None)
        self.wires = [wire for wire in self.wires if wire.silent]
        self.loop.call_later(seconds, self._return)

    def _return(self) -> None:
        self.is_down = False
        self.reached_since = self.loop.now
        if not self.asked:  # changes that the agent receives at the return count as announced at once
            for proxy in self.proxies:
                for name in self.changes:
                    self._mark_notified(proxy, name, self.loop.now)

    def change(self, name: str, phase: str = "terminating") -> None:
        """Set the phase of a server and report it to the established watches."""
        entry = self.members[name] = {**self.members[name], "phase": phase}
        self.changes.append(name)
        self.changed_at[name] = self.loop.now
        for proxy in self.proxies:
            silent = proxy.silent_since
            if phase != "in_service" and silent is not None:
                self._mark_notified(proxy, name, max(silent + CHANGE_KNOWN_AFTER_S, self.loop.now))
            elif phase != "in_service" and not self.asked and not self.is_down:
                self._mark_notified(proxy, name, self.loop.now)  # the agent receives the change at once
        for wire in self.wires:
            if wire.watching and not wire.silent and not wire.closed and not self.is_down:
                self.send_entries(wire, [entry])

    def _mark_notified(self, proxy: Proxy, name: str, at: float) -> None:
        """Record that a drain counts as announced to a proxy from this time, or from an earlier one already set."""
        if self.members[name]["phase"] != "in_service":
            proxy.notified_at[name] = min(proxy.notified_at.get(name, at), at)

    # --- the discovery service ---

    def _connect(self, make: Callable[[], Any]) -> None:
        self.attempts += 1
        if self.is_down and self.outage_response == "refused":
            raise ConnectionRefusedError("discovery is down")
        protocol = make()
        wire = Wire(self, protocol)
        if self.is_down:
            protocol.connection_made(wire)
            if self.outage_response == "503":
                self._refuse(wire, 0.0)
            elif self.outage_response == "503 after the wait":
                self._refuse(wire, self.wait_s)
            else:
                self.loop.call_later(0.001, protocol.connection_lost, None)
            return
        self.wires.append(wire)
        protocol.connection_made(wire)

    def admit(self, wire: Wire) -> None:
        """Queue a call, or refuse it at once if the queue is too long; a queued call may be refused after the wait."""
        longest_s = self.wait_s if self.refuses_at_once else self.max_queue_s
        if longest_s and (len(self.queue) + 1) * self.service_s + max(self.busy_until - self.loop.now, 0.0) > longest_s:
            self._refuse(wire, REFUSAL_S)
            return
        if not self.refuses_at_once:
            self.loop.call_later(self.wait_s, self._refuse_waiting, wire)
        self.queue.append(wire)
        self.serve()

    def _refuse(self, wire: Wire, after_s: float) -> None:
        self.refused += 1
        self.loop.call_later(after_s, wire.send_bytes, BUSY)

    def _refuse_waiting(self, wire: Wire) -> None:
        if wire in self.queue:
            if not self.max_queue_s:
                self.queue.remove(wire)
            self._refuse(wire, 0.0)

    def serve(self) -> None:
        """Start the next queued call; calls whose client has disconnected take the full service time too."""
        if not self.busy and self.queue:
            wire = self.queue.popleft()
            self.busy = True
            self.busy_until = self.loop.now + self.service_s
            self.loop.call_later(self.service_s, self._answer, wire)

    def _answer(self, wire: Wire) -> None:
        self.busy = False
        if not wire.closed and not wire.silent and not self.is_down:  # a proxy closes a connection after a refusal
            wire.watching = True
            wire.send_bytes(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            names = dict.fromkeys(self.changes[wire.index :])
            self.send_entries(wire, [self.members[name] for name in (names if self.starts_with_list else self.members)])
            self.loop.call_later(WATCH_HEARTBEAT_S, self._empty_line, wire)
        self.serve()

    def send_entries(self, wire: Wire, entries: list[dict[str, Any]]) -> None:
        update = {"revision": len(self.changes), "complete": False, "members": entries}
        wire.chunk(json.dumps(update).encode() + b"\n")
        proxy = self.proxies[wire.number]
        proxy.silent_since = None
        for entry in entries:
            self._mark_notified(proxy, entry["id"], self.loop.now)

    def _empty_line(self, wire: Wire) -> None:
        if self.loop.now < self.stalled_until:
            self.loop.call_later(self.stalled_until - self.loop.now, self._empty_line, wire)
        elif not wire.closed and not wire.silent:
            wire.chunk(b"\n")
            self.loop.call_later(WATCH_HEARTBEAT_S, self._empty_line, wire)

    # --- the check for late sends ---

    def sent(self, proxy: Proxy, server: str) -> None:
        """Check a request that a proxy sends, and record it if the drain of its server was announced too long ago."""
        self.sends += 1
        at = proxy.notified_at.get(server)
        if at is None and self.members[server]["phase"] != "in_service" and not self.is_down:
            # Even if calls failed, a change is due this long after discovery received it and answered calls.
            at = max(self.changed_at[server], self.reached_since) + CHANGE_KNOWN_AFTER_S
        if at is not None and self.loop.now > at + GRACE_S:
            self.late.append((proxy.number, server, self.loop.now - at))

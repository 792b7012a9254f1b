"""Many hollow clients in one process: each runs the code of the real program that talks to keepers, and nothing else.

A hollow proxy has the proxy's own `Discovery`, `WatchConnection` and `Balancer`, and serves no calls. A hollow
registration has the real `KeeperClient` and `Registration` of `serve-as`, and runs no command. A hollow candidate has
the real `Duty`. The process takes commands as lines of JSON on standard input and answers each on standard output.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import sys
import time
from collections.abc import Awaitable, Iterable
from typing import Any

import msgspec
import structlog

from balancing.api import ListChanged, Server, State
from balancing.balancer import Balancer
from balancing.simhost import read_settings
from mastlift.discovery.lists import ServerRecord
from mastlift.discovery.registration import RETRY_INTERVAL_S, Registration, RegistrationState, ServerListing
from mastlift.duty.clock import HoldState
from mastlift.duty.holder import Duty
from mastlift.keeper.client import KeeperClient, Refused, Unreachable
from mastlift.lab.capacity.counting import CountingLoop, Traffic, total
from mastlift.lab.fleet import SETTINGS
from proxy.config import Address, read_addresses
from proxy.discovery import STATES, Discovery, ListReader
from proxy.watch import WatchConnection

ENTER_AT_ONCE = 200  # coroutines of one process that register at the same moment
DUTIES_AT_ONCE = 20
POLL_S = 0.02
CALL_DEADLINE_S = 10.0


class HollowServer(msgspec.Struct, frozen=True):
    """A server to register."""

    id: str
    service: str
    zone: str


class Begin(msgspec.Struct, tag="begin", frozen=True):
    """The first command: where the keepers are, and by service where its list is served."""

    keepers: list[str]
    lists: dict[str, list[str]]
    ttl_ms: int


class AddProxies(msgspec.Struct, tag="add_proxies", frozen=True):
    """One hollow proxy for each named service, whose list it watches. Answered once all have their list."""

    services: list[str]


class Register(msgspec.Struct, tag="register", frozen=True):
    """Answered once all are listed."""

    servers: list[HollowServer]


class TakeDuties(msgspec.Struct, tag="take_duties", frozen=True):
    """One candidate for each named duty. Answered at once where `wait` is not set."""

    names: list[str]
    candidate: str
    wait: bool


class SetDecisions(msgspec.Struct, tag="set_decisions", frozen=True):
    """Whether what is delivered goes on to the decisions. Clients that share a process wait for each other's: without
    them, times are closer to those of a process each."""

    enabled: bool


class Report(msgspec.Struct, tag="report", frozen=True):
    """Answered with a `Measured`; with `take`, also with what was recorded since the last such report."""

    take: bool = False


Command = Begin | AddProxies | Register | TakeDuties | SetDecisions | Report


class Departure(msgspec.Struct, frozen=True):
    """A server that watches were told to send nothing new to. Times are of the machine's monotonic clock."""

    service: str
    id: str
    first_at: float
    last_at: float
    watches: int


class Delivery(msgspec.Struct, frozen=True):
    """When each watch of a service had a revision, as published. `watches` numbers the watches of the process."""

    service: str
    revision: int
    at: list[float]
    watches: list[int]


class Measured(msgspec.Struct, frozen=True):
    """The state of a hollow process since its start; deliveries and departures since they were last taken."""

    at: float
    cpu_s: float
    rss_kb: int
    watch_traffic: Traffic
    keeper_traffic: Traffic
    sent_by_second: dict[int, int]
    proxies_with_list: int
    registrations_listed: int
    duties_held: int
    calls: int
    deliveries: list[Delivery]
    departures: list[Departure]


class Answer(msgspec.Struct, frozen=True):
    """To one command: `took_s` for those that wait, `measured` for a report, `error` where it failed."""

    took_s: float = 0.0
    measured: Measured | None = None
    error: str = ""


class Recorder:
    """What the watches of one process were told, and when."""

    def __init__(self) -> None:
        self._deliveries: dict[tuple[str, int], Delivery] = {}
        self._departures: dict[tuple[str, str], list[float]] = {}

    def delivered(self, service: str, revision: int, watch: int) -> None:
        found = self._deliveries.setdefault((service, revision), Delivery(service, revision, [], []))
        found.at.append(time.monotonic())
        found.watches.append(watch)

    def departed(self, service: str, id_: str) -> None:
        self._departures.setdefault((service, id_), []).append(time.monotonic())

    def take(self) -> tuple[list[Delivery], list[Departure]]:
        """All since the last call."""
        deliveries = list(self._deliveries.values())
        departures = [
            Departure(service, id_, at[0], at[-1], len(at)) for (service, id_), at in self._departures.items()
        ]
        self._deliveries, self._departures = {}, {}
        return deliveries, departures


class RecordedDiscovery(Discovery):
    """The proxy's discovery client; what it is told is also recorded."""

    def __init__(self, service: str, recorder: Recorder, number: int, *given: Any) -> None:
        super().__init__(*given)
        self._service, self._recorder, self._number = service, recorder, number
        self.listed: set[str] = set()
        self.has_list = False

    def changed(
        self, watch: WatchConnection, message: dict[str, Any], servers: list[Server], addresses: dict[str, Address]
    ) -> None:
        super().changed(watch, message, servers, addresses)
        self._recorder.delivered(self._service, self._revision, self._number)
        here = {member["id"] for member in message["members"] if STATES[member["phase"]] is State.READY}
        off = (
            self.listed - here if message["complete"] else {member["id"] for member in message["members"]} - here
        ) & self.listed
        for id_ in off:
            self._recorder.departed(self._service, id_)
        self.listed = here if message["complete"] else (self.listed | here) - off
        self.has_list = self.has_list or bool(message["complete"])


class HollowProxy:
    """The control part of a proxy: the watch of one list, and the decisions that hear of its changes."""

    def __init__(self, service: str, addresses: list[str], recorder: Recorder, number: int) -> None:
        self._balancer = Balancer(read_settings(SETTINGS), number)
        self.decides = True
        loop = asyncio.get_running_loop()
        reader = ListReader(SETTINGS["zones"], SETTINGS["host_types"])
        self.discovery = RecordedDiscovery(
            service, recorder, number, loop, read_addresses(addresses), reader, False, {}, self._deliver
        )
        self.discovery.start()

    def _deliver(self, change: ListChanged, addresses: dict[str, Address]) -> None:
        if self.decides:
            self._balancer.handle(change, time.monotonic() * 1000.0)


class HollowProcess:
    """All hollow clients of this process."""

    def __init__(self, loop: CountingLoop) -> None:
        self._loop, self._recorder = loop, Recorder()
        self._keepers: list[str] = []
        self._lists: dict[str, list[str]] = {}
        self._ttl_ms = 0
        self._proxies: list[HollowProxy] = []
        self._registrations: list[Registration] = []
        self._duties: list[Duty] = []
        self._takes: list[asyncio.Task[int]] = []
        self._clients = contextlib.AsyncExitStack()
        self._calls: list[KeeperClient] = []

    async def run(self, command: Command) -> Answer:
        began = time.monotonic()
        match command:
            case Begin():
                self._keepers, self._lists, self._ttl_ms = command.keepers, command.lists, command.ttl_ms
            case AddProxies():
                await self._add_proxies(command.services)
            case Register():
                await self._register(command.servers)
            case TakeDuties():
                await self._take_duties(command)
            case SetDecisions():
                for one in self._proxies:
                    one.decides = command.enabled
            case Report():
                return Answer(measured=self._measure(command.take))
        return Answer(took_s=time.monotonic() - began)

    async def _client(self) -> KeeperClient:
        client = await self._clients.enter_async_context(KeeperClient(self._keepers, CALL_DEADLINE_S))
        self._calls.append(client)
        return client

    async def _add_proxies(self, services: list[str]) -> None:
        first = len(self._proxies)
        self._proxies += [
            HollowProxy(service, self._lists[service], self._recorder, first + number)
            for number, service in enumerate(services)
        ]
        while not all(one.discovery.has_list for one in self._proxies):
            await asyncio.sleep(POLL_S)

    async def _register(self, servers: list[HollowServer]) -> None:
        started = int(time.time() * 1000)
        added = []
        for server in servers:
            registered = ServerRecord("127.0.0.1:9", server.zone, "std", up_since_ms=started)
            added.append(
                Registration(await self._client(), ServerListing(server.service, server.id, registered), self._ttl_ms)
            )
        self._registrations += added
        await _limited((_enter(one) for one in added), ENTER_AT_ONCE)

    async def _take_duties(self, command: TakeDuties) -> None:
        added = [Duty(await self._client(), name, command.candidate, self._ttl_ms) for name in command.names]
        self._duties += added
        if command.wait:
            await _limited((_take(one) for one in added), DUTIES_AT_ONCE)
        else:
            self._takes += [asyncio.create_task(one.take()) for one in added]

    def _measure(self, take: bool) -> Measured:
        ports = {int(address.rpartition(":")[2]) for address in self._keepers}
        used = resource.getrusage(resource.RUSAGE_SELF)
        deliveries, departures = self._recorder.take() if take else ([], [])
        return Measured(
            at=time.monotonic(),
            cpu_s=used.ru_utime + used.ru_stime,
            rss_kb=_rss_kb(),
            watch_traffic=total(one for port, one in self._loop.traffic.items() if port not in ports),
            keeper_traffic=total(one for port, one in self._loop.traffic.items() if port in ports),
            sent_by_second=dict(self._loop.sent),
            proxies_with_list=sum(one.discovery.has_list for one in self._proxies),
            registrations_listed=sum(one.state is RegistrationState.LISTED for one in self._registrations),
            duties_held=sum(one.state is HoldState.HELD and one.token > 0 for one in self._duties),
            calls=sum(client.calls for client in self._calls),
            deliveries=deliveries,
            departures=departures,
        )


async def _enter(registration: Registration) -> None:
    """As `serve-as` does, once its command answers."""
    while True:
        try:
            await registration.register()
            return
        except (Refused, Unreachable):
            await asyncio.sleep(RETRY_INTERVAL_S)


async def _take(duty: Duty) -> None:
    await duty.take()


async def _limited(jobs: Iterable[Awaitable[None]], at_once: int) -> None:
    gate = asyncio.Semaphore(at_once)

    async def run(job: Awaitable[None]) -> None:
        async with gate:
            await job

    await asyncio.gather(*map(run, jobs))


def _rss_kb() -> int:
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


async def _serve() -> None:
    """Until standard input ends. Commands are run one after the other."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, CountingLoop)
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    process, decoder = HollowProcess(loop), msgspec.json.Decoder(Command)
    encode = msgspec.json.Encoder().encode
    while line := await reader.readline():
        try:
            answer = await process.run(decoder.decode(line))
        except (Refused, Unreachable, OSError) as error:
            answer = Answer(error=f"{type(error).__name__}: {error}")
        sys.stdout.buffer.write(encode(answer) + b"\n")
        sys.stdout.buffer.flush()


def main() -> None:
    """One hollow process."""
    logging.disable(logging.CRITICAL)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(_serve())


if __name__ == "__main__":
    main()

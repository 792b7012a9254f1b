"""What goes wrong around the list service, each by name, on a running `list_fleet`."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from mastlift.discovery import registration
from mastlift.keeper.client import Refused, Unreachable
from mastlift.lab.fleet import Client, proxy
from mastlift.lab.listfleet import OF_A_PROXY, TIER, ListFleet, list_fleet
from mastlift.lab.processes import ROOT
from mastlift.lab.relay import CLIENTS

LEAST_SERVED = 0.98  # of what was served without faults
SETTLE_S = 30.0
TTL_MS = 3000


async def _drained(fleet: ListFleet, id_: str) -> None:
    """Drain it, have every proxy know, and let requests go on for longer than the rule's time."""
    assert await registration.drain(fleet.client, TIER, id_) is not None
    await fleet.known_everywhere(in_service(fleet) - {id_})
    await asyncio.sleep(0.6)


async def _undrained(fleet: ListFleet, id_: str) -> None:
    await registration.undrain(fleet.client, TIER, id_)
    await fleet.known_everywhere(in_service(fleet))


def in_service(fleet: ListFleet) -> set[str]:
    return set(fleet.backends)


async def nothing(fleet: ListFleet, scale: float) -> None:
    """What is compared with."""
    await asyncio.sleep(4.0 * scale)


async def leader_dies(fleet: ListFleet, scale: float) -> None:
    name = await fleet.group.leader()
    await fleet.group.places[name].kill()
    await _drained(fleet, "s0")
    await fleet.group.places[name].start()
    await _undrained(fleet, "s0")


async def two_of_three_die(fleet: ListFleet, scale: float) -> None:
    """For longer than a lease lasts: no list may shrink for it."""
    lost = list(fleet.group.places)[:2]
    await asyncio.gather(*(fleet.group.places[name].kill() for name in lost))
    await asyncio.sleep(TTL_MS / 1000 + 2.0 * scale)
    await asyncio.gather(*(fleet.group.places[name].start() for name in lost))


async def all_die_and_one_disk_is_lost(fleet: ListFleet, scale: float) -> None:
    places = list(fleet.group.places.values())
    await asyncio.gather(*(place.kill() for place in places))
    await asyncio.sleep(2.0 * scale)
    await places[0].empty()
    await asyncio.gather(*(place.start() for place in places))


async def cut_from_peers(fleet: ListFleet, scale: float) -> None:
    """A follower that proxies still reach: it must send them elsewhere, and tell nothing old."""
    leader = await fleet.group.leader()
    name = max(set(fleet.group.places) - {leader})
    others = set(fleet.group.places) - {name}
    fleet.group.places[name].relay.deaf_to |= others
    for other in others:
        fleet.group.places[other].relay.deaf_to.add(name)
    await _drained(fleet, "s1")
    await asyncio.sleep(2.0 * scale)
    fleet.heal()
    await _undrained(fleet, "s1")


def _lists_of(fleet: ListFleet, name: str) -> list[str]:
    return [relay for relay in fleet.lists if relay.endswith(f"-{name}")]


async def cut_from_clients(fleet: ListFleet, scale: float) -> None:
    """The leader's lists are silent both ways; connections stay open."""
    for relay in _lists_of(fleet, await fleet.group.leader()):
        fleet.lists[relay].deaf_to.add(CLIENTS)
        fleet.lists[relay].mute_to.add(CLIENTS)
    await _drained(fleet, "s2")
    fleet.heal()
    await _undrained(fleet, "s2")


async def cut_one_way(fleet: ListFleet, scale: float) -> None:
    """The leader hears its peers, they don't hear it; and one keeper's answers are lost on the way to proxies."""
    leader = await fleet.group.leader()
    others = sorted(set(fleet.group.places) - {leader})
    for other in others:
        fleet.group.places[other].relay.deaf_to.add(leader)
    for relay in _lists_of(fleet, others[0]):
        fleet.lists[relay].mute_to.add(CLIENTS)
    await _drained(fleet, "s3")
    fleet.heal()
    await _undrained(fleet, "s3")


async def paused_and_wakes(fleet: ListFleet, scale: float) -> None:
    """A keeper stands still for 10 s while the list changes; what it wakes with is old."""
    place = fleet.group.places[await fleet.group.leader()]
    assert place.child is not None
    place.child.send(signal.SIGSTOP)
    try:
        await _drained(fleet, "s4")
        await asyncio.sleep(10.0 * scale)
    finally:
        place.child.send(signal.SIGCONT)
    await asyncio.sleep(1.0)
    await _undrained(fleet, "s4")


async def half_replaced(fleet: ListFleet, scale: float) -> None:
    """In 7 s, each by a planned stop, new ones beside them first."""
    old = sorted(fleet.backends)[::2]
    gap = 7.0 * scale / len(old)

    async def replace(number: int, id_: str) -> None:
        await asyncio.sleep(number * gap)
        await fleet.add([f"{id_}r"], TTL_MS)
        await fleet.backends.pop(id_).say_goodbye()

    await asyncio.gather(*(replace(number, id_) for number, id_ in enumerate(old)))


async def drained_as_the_teller_dies(fleet: ListFleet, scale: float) -> None:
    """The order to drain is acknowledged by the leader, which is killed at once."""
    id_ = max(fleet.backends)
    name = await fleet.group.leader()
    assert await registration.drain(fleet.client, TIER, id_) is not None
    await fleet.group.places[name].kill()
    await fleet.known_everywhere(in_service(fleet) - {id_})
    await asyncio.sleep(0.6)
    await fleet.group.places[name].start()
    await _undrained(fleet, id_)


async def five_hundred_at_once(fleet: ListFleet, scale: float) -> None:
    """After a restart of one keeper so many clients ask it for the whole at one moment, and obey Retry-After."""
    name = await fleet.group.leader()
    await fleet.group.places[name].kill()
    await fleet.group.places[name].start()
    address = fleet.lists[f"p0-{name}"].target
    answers, longest = Counter[int](), 0.0

    async def ask(http: aiohttp.ClientSession) -> None:
        nonlocal longest
        began = time.monotonic()
        while True:
            async with http.get(f"http://{address}/discovery/hosts?stream=1&index=0") as response:
                answers[response.status] += 1
                if response.status == 200:
                    await response.content.readline()
                    longest = max(longest, time.monotonic() - began)
                    return
                wait = float(response.headers["Retry-After"])
            await asyncio.sleep(wait)

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        await asyncio.gather(*(ask(http) for _ in range(500)))
    if answers[200] != 500 or not answers[503]:
        fleet.witness.broken.append(f"500 clients at once: {dict(answers)}")
    fleet.notes["herd_of_500"] = f"{answers[503]} told to come again, all served within {longest:.1f} s"


async def backup_restored(fleet: ListFleet, scale: float) -> None:
    """All three disks are lost; the group goes on from a backup that knows nothing of what came after it."""
    folder = next(iter(fleet.group.places.values())).folder.parent
    backup = folder / f"backup-{random.getrandbits(32):08x}"
    await _mastlift("group", "backup", "--to", str(backup), "--keepers", ",".join(fleet.group.keepers))
    await _drained(fleet, "s5")  # will be forgotten
    places = list(fleet.group.places.values())
    await asyncio.gather(*(place.kill() for place in places))
    for place in places:
        await place.empty()
    data = places[0].folder / "data"
    data.rmdir()
    await _mastlift(
        "state", "restore", str(data), "--from", str(backup), "--name", places[0].name, "--group", str(places[0].config)
    )
    await asyncio.gather(*(place.start() for place in places))


async def proxy_starts_alone(fleet: ListFleet, scale: float) -> None:
    """No keeper answers when a proxy starts; what it has is the list that another start of it kept in a file."""
    places = list(fleet.group.places.values())
    folder = places[0].folder.parent.parent
    await asyncio.sleep(1.5)  # lists are written to their files within a second
    await asyncio.gather(*(place.kill() for place in places))
    addresses = [fleet.lists[f"p0-{name}"].address for name in fleet.group.places]
    kept = folder / "alone" / "list"
    kept.parent.mkdir(exist_ok=True)
    shutil.copy(folder / "p0" / "list", kept)
    async with proxy(folder / "alone", {}, addresses, kept) as (address, _):
        client = Client(address, 30.0, OF_A_PROXY * 100)
        asking = asyncio.create_task(client.run())
        await asyncio.sleep(3.0 * scale)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
    served, asked = client.served()
    fleet.notes["a_proxy_started_alone"] = f"served {served} of {asked} by its last list"
    if served < asked or not asked:
        fleet.witness.broken.append(f"a proxy started alone: {dict(client.answers)}")
    await asyncio.gather(*(place.start() for place in places))


async def _mastlift(*arguments: str) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mastlift",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    _, said = await process.communicate()
    if process.returncode:
        raise RuntimeError(f"mastlift {arguments[0]} {arguments[1]}: {said.decode()}")


Scenario = Callable[[ListFleet, float], Awaitable[None]]
SCENARIOS: dict[str, Scenario] = {
    one.__name__.replace("_", "-"): one
    for one in (
        nothing,
        leader_dies,
        two_of_three_die,
        all_die_and_one_disk_is_lost,
        cut_from_peers,
        cut_from_clients,
        cut_one_way,
        paused_and_wakes,
        half_replaced,
        drained_as_the_teller_dies,
        five_hundred_at_once,
        proxy_starts_alone,
        backup_restored,
    )
}


@dataclass(slots=True)
class Played:
    """What came of one scenario. `latest_ms`: the latest request to a server after its proxy was told to stop."""

    name: str
    served: int
    asked: int
    smallest_list: int
    calls: int
    latest_ms: float
    lag_ms: float
    seconds: float
    broken: list[str] = field(default_factory=list)


async def play_lists(
    folder: Path,
    names: list[str],
    scale: float = 1.0,
    proxies: int = 6,
    backends: int = 30,
    tell: Callable[[str], None] = lambda name: None,
) -> tuple[list[Played], dict[str, str]]:
    """Play these on one fleet, one after the other, each healed before the next."""
    played: list[Played] = []
    async with list_fleet(folder, proxies, backends, ttl_ms=TTL_MS) as fleet:
        for name in names:
            tell(name)
            played.append(await _play(fleet, name, scale))
            share = played[-1].served / max(1, played[-1].asked)
            if share < LEAST_SERVED * played[0].served / max(1, played[0].asked):
                played[-1].broken.append(f"{played[-1].served} of {played[-1].asked} requests were served")
        return played, fleet.notes


async def _play(fleet: ListFleet, name: str, scale: float) -> Played:
    witness, began = fleet.witness, time.monotonic()
    broken, calls, (served, asked) = len(witness.broken), witness.calls.total(), fleet.served()
    witness.smallest, fleet.latest_ms, witness.largest_lag_ms = len(fleet.backends), 0.0, 0.0
    try:
        async with asyncio.timeout(60.0 + 60.0 * scale):
            await SCENARIOS[name](fleet, scale)
            fleet.heal()
            await fleet.group.settled(3, SETTLE_S)
            await fleet.known_everywhere(in_service(fleet), SETTLE_S)
    except (TimeoutError, Refused, Unreachable, AssertionError, RuntimeError) as error:
        witness.broken.append(f"it does not come back: {type(error).__name__}: {error}")
        fleet.heal()
    await asyncio.sleep(0.5)
    now_served, now_asked = fleet.served()
    least = len(fleet.backends) // 2
    if witness.smallest < least:
        witness.broken.append(f"a list had only {witness.smallest} of {len(fleet.backends)} servers")
    return Played(
        name,
        now_served - served,
        now_asked - asked,
        witness.smallest,
        witness.calls.total() - calls,
        round(fleet.latest_ms, 1),
        round(witness.largest_lag_ms, 1),
        round(time.monotonic() - began, 1),
        witness.broken[broken:],
    )

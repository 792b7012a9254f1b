"""The client side of duties: waiting in line for a duty, holding it under a lease, and giving it up."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

from mastlift.duty.clock import HolderClock, HoldState
from mastlift.keeper.client import KeeperClient, Refused, Unreachable
from mastlift.keeper.renewals import LeaseRenewal
from mastlift.keeper.watch import follow
from mastlift.logs import get_logger

HAND_OVER_TTL_MS = 15_000  # lease time of a hand-over request


def now_ms() -> float:
    """Milliseconds of CLOCK_BOOTTIME, which also counts while the machine is suspended. The guard uses it too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def prefix(name: str) -> str:
    """The common prefix of a duty's keys."""
    return f"duty/{name}/"


def while_held(name: str, token: int) -> dict[str, Any]:
    """A comparison for `KeeperClient.txn` that is true while the duty is held with this token."""
    return {"key": prefix(name) + "holder", "field": "created", "number": token}


async def is_held(client: KeeperClient, name: str, token: int) -> bool:
    """Whether the duty is held with this token at the time of the call, as agreed by the keepers."""
    return bool((await client.txn([while_held(name, token)], []))["then"])


async def put_while_held(client: KeeperClient, name: str, token: int, key: str, value: str) -> int | None:
    """Writes a key in a transaction that compares the token.

    Returns the revision, or None if the duty is not held with this token.
    """
    result = await client.txn([while_held(name, token)], [{"put": {"key": key, "value": value}}])
    return int(result["revision"]) if result["then"] else None


@dataclass(slots=True)
class DutyState:
    """The state of one duty. `line` contains a (revision, name) pair for each waiting candidate, in order."""

    holder: str = ""
    token: int = 0
    line: tuple[tuple[int, str], ...] = ()
    # The candidate to which an operator asked to hand over, "" for the next in line; None without a request.
    successor: str | None = None

    @classmethod
    def of(cls, name: str, entries: dict[str, dict[str, Any]]) -> DutyState:
        duty_state, begins = cls(), prefix(name)
        holder = entries.get(begins + "holder")
        if holder is not None:
            duty_state.holder, duty_state.token = holder["value"], holder["created"]
        duty_state.line = tuple(
            sorted(
                (entry["created"], entry["value"]) for key, entry in entries.items() if key.startswith(begins + "line/")
            )
        )
        successor = entries.get(begins + "next")
        duty_state.successor = successor["value"] if successor is not None else None
        return duty_state

    def next_in_line(self) -> int:
        """The revision of the line's entry that is next: the requested successor's if it waits, else the first.

        0 if nobody waits.
        """
        for queue_revision, name in self.line:
            if self.successor and name == self.successor:
                return queue_revision
        return self.line[0][0] if self.line else 0


async def watch_duty(client: KeeperClient, name: str) -> AsyncIterator[DutyState]:
    """Yields the duty's state now and after each change."""
    snapshot = await client.ls(prefix(name))
    entries = {entry["key"]: entry for entry in snapshot["entries"]}
    yield DutyState.of(name, entries)
    async for event in follow(client, prefix(name), snapshot["revision"]):
        if event.whole:
            entries = {}
        for change in event.changes:
            if change.get("deleted"):
                entries.pop(change["key"], None)
            else:
                entries[change["key"]] = change
        yield DutyState.of(name, entries)


class Duty:
    """One candidate for one duty. After `take` returns, act only while `state` is HELD.

    `changed` is set when a renewal succeeded or failed, when the duty was lost and when a hand-over was requested.
    `clock_ms` is the holder's clock in milliseconds, replaceable for tests.
    """

    def __init__(
        self,
        client: KeeperClient,
        name: str,
        candidate: str,
        ttl_ms: int = 10_000,
        clock_ms: Callable[[], float] = now_ms,
    ) -> None:
        self.client, self.name, self.candidate, self.ttl_ms = client, name, candidate, ttl_ms
        self._now = clock_ms
        self.clock = HolderClock(ttl_ms, lost=True)
        self.token = self.lease = 0
        self.hand_over_requested = asyncio.Event()
        self.changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.log = get_logger("duty").bind(duty=name, candidate=candidate)

    def now_ms(self) -> float:
        """The holder's clock, in milliseconds."""
        return self._now()

    @property
    def state(self) -> HoldState:
        """Whether the candidate may act; check it before each action. HELD is possible only after `take`."""
        return self.clock.state(self._now()) if self.token else HoldState.LOST

    async def take(self) -> int:
        """Waits in line for the duty and returns its token. Gives up a duty that is still held.

        Raises Unreachable if no keeper answers for too long.
        """
        await self.leave()
        while True:
            self.clock, self.token = HolderClock(self.ttl_ms), 0
            self.hand_over_requested.clear()
            sent = self._now()
            self.lease = await self.client.grant(self.ttl_ms)
            self.clock.renewed(sent)
            self.client.renewals.keep(
                LeaseRenewal(
                    self.lease,
                    self.clock.renew_every_ms,
                    self._now,
                    self._on_renewed,
                    self._on_lost,
                    self._on_renewal_missed,
                )
            )
            try:
                self.token = await self._wait_in_line()
            finally:
                if not self.token:
                    self.client.renewals.drop(self.lease)
            if self.token:
                self._tasks = [asyncio.create_task(self._watch_holder())]
                self.log.info("duty_held", token=self.token)
                return self.token

    async def _wait_in_line(self) -> int:
        """Returns the token, or 0 if the lease ended while waiting."""
        begins, line = prefix(self.name), f"{prefix(self.name)}line/{self.lease:020d}"
        try:
            queue_revision = (await self.client.put(line, self.candidate.encode(), lease=self.lease))["revision"]
            async for duty_state in watch_duty(self.client, self.name):
                if self.clock.lost or queue_revision not in (mine for mine, _ in duty_state.line):
                    return 0
                if duty_state.holder or duty_state.next_in_line() != queue_revision:
                    continue
                result = await self.client.txn(
                    [
                        {"key": begins + "holder", "field": "version", "number": 0},
                        {"key": line, "field": "created", "number": queue_revision},
                    ],
                    [
                        {"put": {"key": begins + "holder", "value": self.candidate, "lease": self.lease}},
                        {"delete": {"key": line}},
                        {"delete": {"key": begins + "next"}},
                    ],
                )
                if result["then"]:
                    return int(result["results"][0]["created"])
        except Refused as refused:
            if refused.body.get("error") not in ("no_lease", "no_session", "forgotten"):
                raise
        return 0

    def _on_renewed(self, sent: float) -> None:
        self.clock.renewed(sent)
        self.changed.set()

    def _on_lost(self) -> None:
        self.clock.mark_lost()
        self.changed.set()

    def _on_renewal_missed(self) -> None:
        self.log.warning("no_keeper", left_ms=round(self.clock.left_ms(self._now())))
        self.changed.set()

    async def _watch_holder(self) -> None:
        """Watches for the loss of the duty and for a hand-over requested by an operator."""
        async for duty_state in watch_duty(self.client, self.name):
            if duty_state.token != self.token:
                self._on_lost()
                return
            if duty_state.successor is not None and duty_state.successor != self.candidate:
                self.hand_over_requested.set()
                self.changed.set()

    async def put(self, key: str, value: str) -> int:
        """Writes a key if the duty is still held with this holder's token, and returns the revision.

        Raises Refused with status 412 if it is not.
        """
        revision = await put_while_held(self.client, self.name, self.token, key, value)
        if revision is None:
            self.clock.mark_lost()
            raise Refused(412, {"error": "not_held", "message": f"token {self.token} does not hold {self.name}"})
        return revision

    async def leave(self) -> None:
        """Gives the duty up by revoking its lease, so that the next candidate gets it within a round trip."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        if self.lease:
            self.client.renewals.drop(self.lease)
            lease, self.lease, self.token = self.lease, 0, 0
            self.clock.mark_lost()
            with contextlib.suppress(Refused, Unreachable):
                await self.client.revoke(lease)


async def all_duties(client: KeeperClient) -> dict[str, DutyState]:
    """The state of each duty, by name."""
    by_name: dict[str, dict[str, dict[str, Any]]] = {}
    for entry in (await client.ls("duty/"))["entries"]:
        by_name.setdefault(entry["key"].split("/")[1], {})[entry["key"]] = entry
    return {name: DutyState.of(name, entries) for name, entries in sorted(by_name.items())}


async def request_hand_over(client: KeeperClient, name: str, to: str) -> bool:
    """Asks the holder to give the duty up to the candidate `to`, or to the next in line if it is empty.

    Returns False if the duty has no holder or no such candidate waits.
    """
    duty_state = (await all_duties(client)).get(name, DutyState())
    if not duty_state.holder or not any(not to or to == waiting for _, waiting in duty_state.line):
        return False
    lease = await client.grant(HAND_OVER_TTL_MS)
    await client.put(prefix(name) + "next", to.encode(), lease=lease)
    return True

"""Client of the discovery service: reads the endpoint list and watches it for changes.

With pushed lists this module keeps the watch open by itself. Where discovery must be asked, the balancer orders each
call, is notified when a call fails or a watch ends, and decides when to call again.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any
from zlib import crc32

from balancing.api import (
    CHANGE_KNOWN_AFTER_MS,
    DISCOVERY_QUEUE_WAIT_MS,
    WATCH_HEARTBEAT_MS,
    FreshnessChanged,
    ListChanged,
    ListKind,
    Server,
    State,
)
from balancing.balancer import max_retry_delay_ms
from balancing.freshness import ListFreshness
from proxy.clock import has_elapsed
from proxy.config import Address, read_address
from proxy.listfile import write_list
from proxy.metrics import ProxyMetrics
from proxy.sources import MULTI_FIRST_LINE_TIMEOUT_S, AddressRotation
from proxy.watch import WatchConnection

log = logging.getLogger(__name__)

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
# A change is applied within 6 s from when discovery had it and could be reached, whatever fails, and sends to a leaving
# server end 250 ms later. Discovery serves its calls one after the other and must get to all proxies within that time.
# Of the time that is left after a failure, at most half is used for the pause before the next call, which each proxy
# draws at random, and at least 2 s are left for waiting in discovery's queue: the longest time that a call it accepts
# waits. The longest sequences, each counted from its worst moment:
#   a watch becomes silent                   2.25 s to notice it + 1.75 s pause + 2.0 s in the queue = 6.0 s
#   and the new call is silent too           2.25 s + 1.75 s + 2.1 s until its timeout = 6.1 s, then a new cycle begins
#   a watch ends                             no pause + 2.0 s in the queue = 2.0 s
#   discovery returns while a call waits without result
#                                            2.1 s until its timeout + 1.9 s pause + 2.0 s in the queue = 6.0 s
#   the same, if an update was overdue before
#                                            4.2 s + no pause + 1.8 s in the queue = 6.0 s
#   or right after a call was refused, reset or answered 503
#                                            1.9 s pause + 4.1 s in the queue = 6.0 s
# The limit does not hold for a discovery that needs more time to answer one call of each proxy than is left for its
# queue, whose queue is full when a watch ends, or that lets a call wait for more than 4.2 s.

# A watch may end instead of reporting a change. Discovery answers a call within 2 s or refuses it, so a change that the
# watch left out counts as known this long after its end: the new call is made without a pause and must be accepted
# immediately.
ENDED_WATCH_DUE_S = DISCOVERY_QUEUE_WAIT_MS / 1000.0
# A watch sends a line every 2 s; the rest allows for the network and a late event loop.
SILENCE_TIMEOUT_S = WATCH_HEARTBEAT_MS / 1000.0 + 0.25
# Until the first line of a call, which may wait in discovery's queue. A repeated call goes to the end of the queue, so
# the timeout is doubled once an update is overdue.
FIRST_LINE_TIMEOUT_S, MAX_FIRST_LINE_TIMEOUT_S = 2.1, 4.2
CHANGE_KNOWN_AFTER_S = CHANGE_KNOWN_AFTER_MS / 1000.0  # from when discovery has a change until it counts as known
MOVE_DUE_S = 4.0  # required: from SIGHUP until the changes known at the new address have to be applied
# With several addresses: 6 s, less the pause before the next address, MULTI_FIRST_LINE_TIMEOUT_S, one more pause and
# the time for an answer.
MULTI_SILENCE_TIMEOUT_S = 3.0
SAVE_INTERVAL_S = 1.0  # a changing list is written to its file at most this often
# Pause between calls where lists are pushed. A change that the local agent receives when discovery returns counts as
# known immediately, so sends have to end within 250 ms, less the time for an answer.
FIRST_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.1, 0.2
# With several addresses the calls do not go to a local agent but to a service that many proxies share.
MULTI_MAX_RETRY_PAUSE_S = 5.0
# All proxies receive a new address at the same moment, and it answers calls one after the other; the old address keeps
# its open connections for another 1.5 s.
MOVE_SPREAD_S = 1.0
FORMER_ADDRESS_CLOSES_S = 1.5 - 0.05  # from the signal, less the time until the signal is handled here


class ListReader:
    """Converts discovery's list entries to the balancer's form: names to numbers, Unix time to the monotonic clock."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.renumber(zones, kinds)
        # Fixed at the start: if the system clock is set later, backends must not appear to have restarted.
        self._unix_ahead_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def renumber(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        """Numbers zones and kinds by their index in the settings; names not in the settings are numbered when read."""
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}

    def read(self, message: dict[str, Any]) -> tuple[list[Server], dict[str, Address]]:
        """The servers of a list message, and their addresses by name.

        Raises KeyError, ValueError, TypeError or AttributeError if the message is malformed.
        """
        servers, addresses = [], {}
        for member in message.get("members") or ():
            server = self._read_member(member)
            servers.append(server)
            if server.state is not State.GONE or member.get("host_port"):
                addresses[server.name] = read_address(member["host_port"])
        return servers, addresses

    def _read_member(self, member: dict[str, Any]) -> Server:
        cell = member.get("cell") or 0
        since = float(member.get("up_since_ms") or 0.0)
        weight = member.get("size")
        return Server(
            name=member["id"],
            weight=1.0 if weight is None else float(weight),
            zone=self._number(self._zones, member.get("locality")),
            cell=cell if isinstance(cell, int) else crc32(str(cell).encode()),
            kind=self._number(self._kinds, member.get("flavor")),
            state=STATES[member["phase"]],
            started_at=since - self._unix_ahead_ms if since else 0.0,
        )

    @staticmethod
    def _number(numbers: dict[str, int], name: str | None) -> int:
        return numbers.setdefault(name, len(numbers)) if name is not None else 0


class Discovery:
    """Keeps one watch of the endpoint list open, at one of the configured addresses.

    While a new call is waiting for its first list, the previous watch stays in use.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        addresses: Sequence[Address],
        reader: ListReader,
        must_ask: bool,
        known: dict[str, Any],
        deliver: Callable[[ListChanged | FreshnessChanged, dict[str, Address]], None],
        list_file: Path | None = None,
        metrics: ProxyMetrics | None = None,
    ) -> None:
        self.loop = loop
        self._metrics = metrics or ProxyMetrics()
        self._metrics.list_revision.read = lambda: self._revision
        self._metrics.list_age.read = lambda: self.loop.time() - self._list_current_at()
        self._current_at = loop.time()  # when an ended watch last confirmed the list, or the start
        self._calls = 0  # number of calls made
        self.reader = reader
        self._rotation = AddressRotation(addresses, random.Random())
        self._must_ask = must_ask
        self._revision = int(known.get("revision") or 0)
        self._life = str(known.get("life") or "")
        self._unknown_history_count = 0  # consecutive lists of another history that were rejected
        self._members = {member["id"]: member for member in known.get("members") or ()}
        self._deliver = deliver
        self._watch: WatchConnection | None = None  # the one that sent the list in use
        self._call: WatchConnection | None = None  # waits for its first list, then becomes the watch
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        self._first_line_timeout_s = FIRST_LINE_TIMEOUT_S
        self._update_due_at = loop.time() + CHANGE_KNOWN_AFTER_S  # when a missed change counts as known
        self._ended_watch_due_at = math.inf  # the same for a change that an ended watch left out
        self._freshness = ListFreshness()
        self._freshness.watch_broke(self._now_ms())
        self._call_timer: asyncio.TimerHandle | None = None  # for the next call, where the balancer does not order it
        self._call_again = False  # call the current address once the call at a former one is answered or ends
        self._list_file = list_file
        self._save_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if not self._must_ask:
            self.watch()

    def watch(self) -> None:
        """Makes a new call, unless a working watch or a waiting call makes it unnecessary.

        A call that waits in discovery's queue is kept, since discovery processes it in any case. The watch stays open
        until the new call has sent a list. Silent connections are closed.
        """
        self._cancel_call_timer()
        if self._has_good_watch():
            self._deliver(ListChanged(ListKind.ALIVE), {})  # another call was answered before this one was due
            return
        if self._call is not None and not self._call.is_silent:
            self._call_again = self._call.moved_away_at < math.inf
            return
        for former in (self._call, self._watch):
            if former is not None and former.is_silent:
                former.end("replaced", notify_owner=False)
        if self._watch is not None and self._watch.is_silent:
            self._watch = None
        self._call_again = False
        host, port = self._rotation.current
        target, name = f"/discovery/hosts?stream=1&index={self._revision}", f"{host}:{port}"
        first_line_timeout_s, silence_timeout_s = (
            (MULTI_FIRST_LINE_TIMEOUT_S, MULTI_SILENCE_TIMEOUT_S)
            if self._rotation.has_several
            else (self._first_line_timeout_s, SILENCE_TIMEOUT_S)
        )
        self._calls += 1
        log.info("discovery: call %d to %s from revision %d", self._calls, name, self._revision)
        self._call = WatchConnection(self, target, name, first_line_timeout_s, silence_timeout_s, self._life)
        self._call.number = self._calls
        self._call.open((host, port))

    def _has_good_watch(self) -> bool:
        """Whether a watch at the current address reports changes."""
        return self._watch is not None and not self._watch.is_silent and self._watch.moved_away_at == math.inf

    def has_unread(self) -> bool:
        """Whether a connection has received data that the event loop has not processed."""
        return any(connection.has_unread() for connection in self._connections())

    def full_list(self) -> dict[str, Any]:
        """The list in use, in the form in which discovery sends it."""
        return {
            "revision": self._revision,
            "complete": True,
            "members": list(self._members.values()),
            **({"life": self._life} if self._life else {}),
        }

    def move(self, addresses: Sequence[Address]) -> None:
        """Continues from the known revision at new addresses, without waiting for the old address to close."""
        if not self._rotation.change(addresses):
            return
        log.info("discovery: address changed to %s:%d", *self._rotation.current)
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        for connection in self._connections():
            connection.moved_away_at = min(connection.moved_away_at, self.loop.time())
        self._freshness.address_changed(self._now_ms(), 1000.0 * MOVE_DUE_S)
        self._update_due_at = min(self._update_due_at, self.loop.time() + MOVE_DUE_S)
        self._cancel_call_timer()
        self._call_timer = self.loop.call_later(random.uniform(0.0, MOVE_SPREAD_S), self.watch)
        self._deliver_freshness()

    def change(self, must_ask: bool) -> None:
        """Applies new settings; starts a watch if lists are now pushed and no call is open or scheduled."""
        self._must_ask = must_ask
        if not must_ask and not self._connections() and self._call_timer is None:
            self.watch()

    def _cancel_call_timer(self) -> None:
        if self._call_timer is not None:
            self._call_timer.cancel()
            self._call_timer = None

    def stop(self) -> None:
        self._cancel_call_timer()
        if self._save_timer is not None:
            self._save_timer.cancel()
            self._save_list()
        for connection in self._connections():
            connection.end("stopped", notify_owner=False)
        self._watch = self._call = None

    def _connections(self) -> list[WatchConnection]:
        return [connection for connection in (self._watch, self._call) if connection is not None]

    def rejection_reason(self, message: dict[str, Any], life: str) -> str:
        """Why a list must not be used; empty if it may. `life` names the history that its revision belongs to.

        Lists are rejected only with several addresses for one list: one of them may be behind, or have another history.
        """
        if not self._rotation.has_several:
            return ""
        revision = int(message.get("revision", self._revision))
        if life != self._life and self._life and (not message.get("complete") or revision < self._revision):
            # A later history always has higher revisions. If all addresses send a lower one, a clock was set back, and
            # their list is used since there is no other.
            self._unknown_history_count += 1
            if not message.get("complete") or self._unknown_history_count <= self._rotation.count:
                return f"list of another history: revision {revision} after {self._revision}"
        elif revision < self._revision:
            return f"outdated list: revision {revision} after {self._revision}"
        return ""

    def changed(
        self, watch: WatchConnection, message: dict[str, Any], servers: list[Server], addresses: dict[str, Address]
    ) -> None:
        """Applies a list from the watch, or the first one of the call that replaces it."""
        revision = int(message.get("revision", self._revision))
        if watch is self._call:
            is_behind = self._watch is not None and revision < self._revision
            self._replace_watch(watch, revision)
            if is_behind:  # the old watch sent later changes; the new one sends them again
                self._confirm_list(watch)
                self._deliver(self.with_freshness(ListChanged(ListKind.ALIVE)), {})
                return
        self._revision = revision
        if message.get("complete"):
            self._members.clear()
        for member in message.get("members") or ():
            if STATES[member["phase"]] is State.GONE:
                self._members.pop(member["id"], None)
            else:
                self._members[member["id"]] = member
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        self._first_line_timeout_s = FIRST_LINE_TIMEOUT_S
        self._confirm_list(watch)
        self._rotation.succeeded()
        self._unknown_history_count = 0
        self._life = watch.life
        if self._list_file is not None and self._save_timer is None:
            self._save_timer = self.loop.call_later(SAVE_INTERVAL_S, self._save_list)
        kind = ListKind.FULL if message.get("complete") else ListKind.DELTA
        self._deliver(self.with_freshness(ListChanged(kind, tuple(servers))), addresses)

    def _list_current_at(self) -> float:
        """When the list in use was last confirmed as current, on the loop's clock in seconds."""
        return self._watch.last_received_at if self._watch is not None and self._watch.has_list else self._current_at

    def record_call_end(self, watch: WatchConnection, reason: str) -> None:
        """Logs and counts the end of a call, for any reason."""
        if watch.has_list:
            self._current_at = watch.last_received_at
        self._metrics.discovery_calls.add(watch.outcome())
        log.info(
            "discovery: call %d is over after %.2f s, %s: %s",
            watch.number,
            self.loop.time() - watch.opened_at,
            watch.outcome(),
            reason,
        )

    def _is_at_closed_address(self, watch: WatchConnection) -> bool:
        """Whether the watch is at a former address that closes its connections by now, so that its end is expected and
        no change is missed."""
        return has_elapsed(watch.moved_away_at, FORMER_ADDRESS_CLOSES_S, self.loop.time())

    def _replace_watch(self, call: WatchConnection, revision: int) -> None:
        """Makes the call that has sent a list the watch, and closes the previous one."""
        if self._watch is not None:
            self._watch.end("replaced", notify_owner=False)
        self._watch, self._call = call, None
        call.has_list = True
        log.info(
            "discovery: at revision %d, %.2f s after the call, number %d",
            revision,
            self.loop.time() - call.opened_at,
            call.number,
        )
        if self._call_again:
            self._call_after(0.0)

    def ended(self, watch: WatchConnection, reason: str) -> None:
        """Schedules or requests the next call after discovery, the network or an invalid line ended this one."""
        if watch is self._watch:
            self._watch = None
        elif watch is self._call:
            self._call = None
        else:
            return
        if watch.is_answered:
            self._ended_watch_due_at = self.loop.time() + ENDED_WATCH_DUE_S
            if watch.was_closed and not self._is_at_closed_address(watch):
                self._freshness.watch_closed(self._now_ms())
            else:
                self._freshness.watch_broke(self._now_ms())
        else:
            if not watch.was_connected:
                self._ended_watch_due_at = math.inf  # unreachable: no change counts as known until it can be reached
            self._freshness.call_failed(watch.failure(), 1000.0 * watch.opened_at, self._now_ms())
        if self._call is not None:
            self._deliver_freshness()
            return  # a new call is already open
        if self._rotation.has_several and (soon := self._rotation.failed()) is not None:
            self._call_timer = self.loop.call_later(soon, self.watch)
            return
        if self._must_ask:
            self._deliver_failure(1000.0 * self._due_in_s())
            return
        self._call_after(self._retry_pause_s * random.uniform(0.5, 1.0))
        longest_s = MULTI_MAX_RETRY_PAUSE_S if self._rotation.has_several else MAX_RETRY_PAUSE_S
        self._retry_pause_s = min(2.0 * self._retry_pause_s, longest_s)

    def fell_silent(self, watch: WatchConnection, silent_s: float) -> None:
        """Schedules or requests the next call. The silent connection is kept until then; each proxy draws the time of
        its call at random."""
        if watch not in self._connections():
            return
        if self._rotation.has_several:
            watch.end("silent")
            return
        log.info("discovery: call %d received nothing for %.2f s", watch.number, silent_s)
        now = self.loop.time()
        if not watch.is_answered and now > self._update_due_at:
            self._first_line_timeout_s = MAX_FIRST_LINE_TIMEOUT_S
        if watch.is_answered:
            self._update_due_at = min(self._update_due_at, now - silent_s + CHANGE_KNOWN_AFTER_S)
            self._freshness.watch_timed_out(1000.0 * (now - silent_s))
        else:
            self._freshness.call_failed(watch.failure(), 1000.0 * watch.opened_at, self._now_ms())
        if watch is self._watch and self._call is not None:
            self._deliver_freshness()
            return  # a new call is already open
        due_ms = 1000.0 * self._due_in_s()
        if self._must_ask:
            self._deliver_failure(due_ms)
            return
        self._call_after(random.uniform(0.0, max_retry_delay_ms(due_ms)) / 1000.0)

    def _deliver_failure(self, due_ms: float) -> None:
        """Reports the failure to the balancer, which orders the next call; it has to be answered within `due_ms`."""
        event = self.with_freshness(ListChanged(ListKind.FAILED, due_ms=due_ms))
        if event.outdated_in_ms < math.inf:
            log.info("discovery: the list may be outdated in %.2f s", event.outdated_in_ms / 1000.0)
        self._deliver(event, {})

    def _deliver_freshness(self) -> None:
        """Reports to the balancer from when on the list may be outdated, without a change of the list."""
        if self._must_ask and not self._rotation.has_several:
            self._deliver(
                FreshnessChanged(self._freshness.outdated_in_ms(self._now_ms()), self._freshness.max_send_stop_ms()), {}
            )

    def _now_ms(self) -> float:
        return 1000.0 * self.loop.time()

    def with_freshness(self, event: ListChanged) -> ListChanged:
        """The event with the list's freshness added.

        With several addresses it is returned unchanged, since another address is called if one fails.
        """
        if self._rotation.has_several:
            return event
        return replace(
            event,
            outdated_in_ms=self._freshness.outdated_in_ms(self._now_ms()),
            max_send_stop_ms=self._freshness.max_send_stop_ms(),
        )

    def _due_in_s(self) -> float:
        """Seconds until the next call has to be answered, after a failure. Changes that are overdue can no longer be
        applied in time, so the limit then counts for later ones."""
        now = self.loop.time()
        if not now < self._update_due_at < math.inf:
            self._update_due_at = now + CHANGE_KNOWN_AFTER_S
        due_in_s = min(self._update_due_at - now, CHANGE_KNOWN_AFTER_S - self._first_line_timeout_s)
        return min(due_in_s, self._ended_watch_due_at - now) if now < self._ended_watch_due_at else due_in_s

    def _confirm_list(self, watch: WatchConnection) -> None:
        """Records that the list is current and no change is missed. After a move, a watch at the former address may
        still miss changes made later."""
        self._ended_watch_due_at = math.inf
        if watch.moved_away_at == math.inf:
            self._update_due_at = math.inf
            self._freshness.mark_current()
        else:
            self._update_due_at = watch.moved_away_at + MOVE_DUE_S
            self._freshness.mark_current()
            self._freshness.address_changed(1000.0 * watch.moved_away_at, 1000.0 * MOVE_DUE_S)

    def recovered(self, watch: WatchConnection) -> None:
        """A silent connection receives data again and has sent a list; a current list needs no further call."""
        if watch not in self._connections():
            return
        log.info("discovery: call %d receives data again", watch.number)
        self._confirm_list(watch)
        if watch.moved_away_at < math.inf or (watch is self._watch and self._call is not None):
            self._deliver_freshness()
            return
        if self._must_ask:
            self._deliver(ListChanged(ListKind.ALIVE), {})
        else:
            self._cancel_call_timer()

    def _call_after(self, pause_s: float) -> None:
        self._cancel_call_timer()
        self._call_timer = self.loop.call_later(pause_s, self.watch)

    def _save_list(self) -> None:
        self._save_timer = None
        if self._list_file is not None:
            write_list(self._list_file, self.full_list())

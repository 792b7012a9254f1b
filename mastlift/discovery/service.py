"""Serves server lists at one keeper: applies the store's changes to the lists and maintains the watches of proxies.

A watch is a call whose chunked response stays open. Each change is encoded once for all watches of a tier and written
directly to their transports; the HTTP library only sends the response headers. While this keeper has lost contact with
the leader, or has not caught up after that, it serves no lists, because its state may be stale.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

from mastlift.consensus.core import NotLeader, NotNow
from mastlift.consensus.driver import StaleMember
from mastlift.discovery.config import DiscoverySection
from mastlift.discovery.lists import LIST, tier_and_id
from mastlift.discovery.removal_limit import ExpiredLease, RemovalLimiter
from mastlift.discovery.responder import Responder, ResponseKind, Step
from mastlift.durable.disk import DiskFull
from mastlift.keeper.service import Service, Stopping, TooManyWaiting, now_ms
from mastlift.keeper.wire import LIFE
from mastlift.logs import get_logger
from mastlift.metrics import Metrics
from mastlift.settings import address
from mastlift.store import commands as c
from mastlift.store.history import Compacted
from mastlift.store.machine import LIST_BASE_KEY

TICK_INTERVAL_S = 0.1
KEEPALIVE_INTERVAL_S = 2.0
# Each watch has one of these slots, so that the keepalive lines are spread over the interval.
KEEPALIVE_SLOTS = int(KEEPALIVE_INTERVAL_S / TICK_INTERVAL_S)
# Errors after which this keeper cannot confirm that its state is current.
UNAVAILABLE_ERRORS = (NotLeader, NotNow, StaleMember, TooManyWaiting, DiskFull, Stopping, TimeoutError)


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a body with `Transfer-Encoding: chunked`."""
    return b"%x\r\n%b\r\n" % (len(data), data)


KEEPALIVE_CHUNK = encode_chunk(b"\n")


@dataclass(slots=True, eq=False)
class Watch:
    """One proxy's open watch.

    `index` is the revision of the last line written. `slow_since` is the monotonic time in seconds at which the proxy
    was found to read too slowly, or 0.0; until its write buffer is empty again it gets no changes.
    """

    transport: asyncio.Transport
    ended: asyncio.Future[None]
    keepalive_slot: int
    index: int
    slow_since: float = 0.0

    def end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)


class TokenBucket:
    """Limits a rate to `per_s` on average with bursts of up to `burst`.

    Each refused caller gets a retry time of its own, so that callers that retry at that time find a token. Performs no
    I/O and reads no clock; times are in seconds.
    """

    def __init__(self, per_s: float, burst: float) -> None:
        self.per_s, self.burst, self._tokens, self._refilled_at, self._last_retry_at = per_s, burst, burst, 0.0, 0.0

    def take(self, now: float) -> float:
        """Takes a token. Returns 0.0 if there was one, otherwise the seconds after which to retry."""
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.per_s)
        self._refilled_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        self._last_retry_at = max(self._last_retry_at, now) + 1.0 / self.per_s
        return self._last_retry_at - now


class ListService:
    """Serves the lists of all tiers at one keeper."""

    def __init__(self, service: Service, section: DiscoverySection, metrics: Metrics) -> None:
        self.service, self.section, self.responder = service, section, Responder(section.cut_off_s * 1000.0)
        self.lists = self.responder.lists
        self.log = get_logger("discovery")
        self.removal_limiter = RemovalLimiter(section.share)
        self.watches: dict[str, set[Watch]] = {tier: set() for tier in section.tiers}
        self._admission = TokenBucket(section.whole_per_s, section.whole_at_once)
        self._current_slot = 0
        self._catch_up_task: asyncio.Task[bool] | None = None
        self._logged_held: dict[str, int] = {}
        service.may_end = self._hold_back
        service.status_sections["discovery"] = self.status
        self.lines_sent = metrics.counter("list_lines", "Changes written to watches, encoded once each", "tier")
        self.refused = metrics.counter("list_refused", "Calls for lists answered with 503", "why")
        self.slow_watches = metrics.counter("list_slow", "Watches passed over or dropped for reading slowly", "what")
        metrics.gauge("list_watches", "Watches of lists that are open").set_function(self._count)
        metrics.gauge("list_held", "Servers whose time is up and which are held").set_function(
            lambda: sum(self.removal_limiter.held.values())
        )

    def _count(self) -> int:
        return sum(map(len, self.watches.values()))

    def status(self) -> dict[str, object]:
        return {
            "ready": self.responder.ready,
            "revision": self.lists.published_revision,
            "watches": self._count(),
            "held": dict(self.removal_limiter.held),
            "unreadable": sorted(self.lists.unreadable),
            "servers": {tier: len(tier_list.members) for tier, tier_list in sorted(self.lists.tiers.items())},
        }

    # --- limiting removals by lease expiry ---

    def _hold_back(self, due: list[c.Revoke]) -> list[c.Revoke]:
        """Returns those of the expired leases that may end now.

        Leases without a server registration pass unchanged.
        """
        leases, expired_servers = self.service.store.leases, list[ExpiredLease]()
        for revoke in due:
            lease = leases.get(revoke.lease)
            tiers = (
                {found[0] for key in lease.keys if key.startswith(LIST) and (found := tier_and_id(key))}
                if lease
                else set()
            )
            if lease and tiers:
                expired_servers.append(ExpiredLease(revoke.lease, lease.ttl_ms, tuple(sorted(tiers))))
        if not expired_servers and not self.removal_limiter.held:
            return due
        ends = self.removal_limiter.may_end(
            now_ms(), expired_servers, {tier: len(tier_list.members) for tier, tier_list in self.lists.tiers.items()}
        )
        if self.removal_limiter.held != self._logged_held:
            self._logged_held = dict(self.removal_limiter.held)
            self.log.warning(
                "list_held",
                held=self._logged_held,
                share=self.section.share,
                do="check whether the servers or the network between them and the keepers failed; "
                "see `mastlift servers ls` and `mastlift servers rm`",
            )
        held = {expired.lease for expired in expired_servers} - ends
        return [revoke for revoke in due if revoke.lease not in held]

    # --- applying the store's changes ---

    async def run(self) -> None:
        """Applies changes and maintains watches until cancelled."""
        await asyncio.gather(self._follow_store(), self._maintain_watches())

    def _load(self) -> None:
        """Rebuilds the lists from the store."""
        store = self.service.store
        oldest = store.history.oldest
        self.lists.load(store.revision, store.keys, store.entries, store.history.after(oldest), oldest)

    async def _follow_store(self) -> None:
        self._load()
        while True:
            store, at = self.service.store, self.lists.revision
            if store.revision <= at:
                await self.service.change_after(at, TICK_INTERVAL_S)
                if self.service.stopping:
                    await asyncio.sleep(TICK_INTERVAL_S)
                continue
            self.catch_up()
            await asyncio.sleep(0)

    def catch_up(self) -> None:
        """Brings the lists to the store's revision and writes the changes to the watches."""
        store, base = self.service.store, self.lists.base
        if store.revision == self.lists.revision:
            return
        try:
            lines = self.lists.apply(self.service.changes(self.lists.revision), store.entries, store.revision)
        except Compacted:  # a snapshot from the leader replaced the changes in between
            self._load()
            self._end_watches()
            return
        if self.lists.base != base:
            self._end_watches()
        for tier, line in lines.items():
            self._broadcast(tier, line)

    def _broadcast(self, tier: str, line: bytes) -> None:
        """Writes a line to a tier's watches; skips those with more than `slow_kb` of unsent bytes."""
        data, limit, revision = encode_chunk(line), self.section.slow_kb << 10, self.lists.published_revision
        watches = self.watches.get(tier, ())
        self.lines_sent.labels(tier).inc(len(watches))
        for watch in watches:
            if watch.slow_since:
                continue
            if watch.transport.get_write_buffer_size() > limit:
                watch.slow_since = time.monotonic()
                self.slow_watches.labels("passed over").inc()
                continue
            watch.transport.write(data)
            watch.index = revision

    # --- freshness, keepalives, slow readers ---

    def _check_freshness(self) -> None:
        """Ends all watches once the lists may be stale, and starts a catch-up when one is due."""
        step = self.responder.next_step(now_ms())
        if step is Step.END_WATCHES:
            self.log.warning("lists_out_of_touch", watches=self._count())
            self._end_watches()
        if step is not Step.NOTHING and (self._catch_up_task is None or self._catch_up_task.done()):
            self._catch_up_task = asyncio.create_task(self._catch_up_with_leader())

    async def _maintain_watches(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._check_freshness()
            self._current_slot = (self._current_slot + 1) % KEEPALIVE_SLOTS
            for tier, watches in self.watches.items():
                for watch in list(watches):
                    self._maintain_watch(watch, tier)

    def _maintain_watch(self, watch: Watch, tier: str) -> None:
        """Sends a keepalive, resumes a slow watch whose buffer is empty, or drops one that was slow for `slow_s`."""
        if watch.transport.is_closing():
            watch.end()
        elif watch.slow_since:
            if not watch.transport.get_write_buffer_size():
                watch.slow_since = 0.0
                self._write_changes(watch, tier)
            elif time.monotonic() - watch.slow_since > self.section.slow_s:
                self.slow_watches.labels("dropped").inc()
                watch.transport.abort()
                watch.end()
        elif watch.keepalive_slot == self._current_slot:
            watch.transport.write(KEEPALIVE_CHUNK)

    def _write_changes(self, watch: Watch, tier: str) -> None:
        watch.transport.write(encode_chunk(self.responder.changes_or_whole(tier, watch.index)))
        watch.index = self.lists.published_revision

    def _end_watches(self) -> None:
        for watches in self.watches.values():
            for watch in watches:
                watch.end()

    # --- calls ---

    def application(self, tier: str) -> web.Application:
        """The HTTP application of one tier's listener."""

        async def hosts(request: web.Request) -> web.StreamResponse:
            return await self._hosts(request, tier)

        application = web.Application()
        application.router.add_get("/discovery/hosts", hosts)
        return application

    def _refuse(self, why: str, after_s: float) -> web.Response:
        """A 503 response that asks the client to retry after `after_s`."""
        self.refused.labels(why).inc()
        return web.Response(status=503, text=f"{why}\n", headers={"Retry-After": f"{after_s:.2f}"})

    async def _catch_up_with_leader(self) -> bool:
        """Catches up through a read barrier at the leader.

        Returns True once the lists contain every change committed before the call, False if no leader confirms that
        within `wait_s`. If the history has no base revision yet, the leader's keeper also stores one.
        """
        order, started_at, was_ready = self.service.order, now_ms(), self.responder.ready
        assert order is not None
        try:
            async with asyncio.timeout(self.section.wait_s):
                await order.read_barrier()
            self.catch_up()
            if not self.lists.base and order.leads:
                await self.service.propose(c.Envelope(c.Put(LIST_BASE_KEY, b"%d" % (time.time() * 1000), 0, 0)), 64)
                self.catch_up()
        except UNAVAILABLE_ERRORS:
            return False
        self.responder.record_catch_up(started_at)
        if self.responder.ready and not was_ready:
            self.log.info("lists_ready", revision=self.lists.published_revision)
        return True

    async def _hosts(self, request: web.Request, tier: str) -> web.StreamResponse:
        """Answers with the whole list, or with `stream=1` opens a watch that continues after `index`."""
        text = request.query.get("index", "")
        if text and not (text.isascii() and text.isdecimal() and len(text) <= 19):
            return web.Response(status=400, text="index: it is a whole number, not below 0\n")
        watching = request.query.get("stream") == "1"
        index = int(text) if text and watching else None
        if watching and self._count() >= self.section.watches:
            return self._refuse("too many watches", random.uniform(1.0, 3.0))
        same_life = request.headers.get(LIFE, self.service.life) == self.service.life
        self._check_freshness()
        kind = self.responder.answer(tier, index, same_life)
        if kind is ResponseKind.CATCH_UP:
            if not await self._catch_up_with_leader():
                return self._refuse("behind the index", random.uniform(0.2, 0.6))
            kind = self.responder.answer(tier, index, same_life, read=True)
        if kind is ResponseKind.UNAVAILABLE:
            return self._refuse("not in touch", random.uniform(0.2, 0.6))
        if kind is ResponseKind.WHOLE and (wait := self._admission.take(time.monotonic())):
            return self._refuse("too many whole lists", wait)
        headers = {"Content-Type": "application/json", LIFE: self.service.life}
        if not watching:
            return web.Response(body=self.lists.whole(tier), headers=headers)
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        transport = request.transport
        if transport is None or transport.is_closing():
            return response
        watch = Watch(
            transport, asyncio.get_running_loop().create_future(), random.randrange(KEEPALIVE_SLOTS), index or 0
        )
        if kind is ResponseKind.CHANGES:
            self._write_changes(watch, tier)
        else:
            transport.write(encode_chunk(self.lists.whole(tier)))
            watch.index = self.lists.published_revision
        self.watches[tier].add(watch)
        try:
            await watch.ended
        finally:
            self.watches[tier].discard(watch)
            transport.close()
        return response


@contextlib.asynccontextmanager
async def serve_lists(service: Service, section: DiscoverySection, metrics: Metrics) -> AsyncIterator[ListService]:
    """Runs a list service for a keeper's service, with one listener per tier.

    Raises BadSettings for an invalid address and OSError if an address cannot be bound; the keeper's process reports
    the latter as BadSettings too.
    """
    list_service = ListService(service, section, metrics)
    async with contextlib.AsyncExitStack() as stack:
        for tier, listen_address in section.tiers.items():
            runner = web.AppRunner(
                list_service.application(tier), access_log=None, shutdown_timeout=0.1, handler_cancellation=True
            )
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            host, port = address(listen_address, f"discovery.tiers.{tier}")
            await web.TCPSite(runner, host, port, backlog=4096).start()
            list_service.log.info("lists_at", tier=tier, address=":".join(map(str, runner.addresses[0][:2])))
        task = asyncio.create_task(list_service.run())
        try:
            yield list_service
        finally:
            list_service._end_watches()
            if list_service._catch_up_task is not None:
                list_service._catch_up_task.cancel()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

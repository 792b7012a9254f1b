"""The HTTP API of a keeper."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from urllib.parse import unquote

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web
from yarl import URL

from mastlift.consensus.core import NotLeader, NotNow
from mastlift.consensus.driver import StaleMember
from mastlift.durable.disk import DiskFull
from mastlift.keeper import wire
from mastlift.keeper.group import GroupOrder, PeerRefused
from mastlift.keeper.peers import PEER_PATH, READ_INDEX_PATH, address_of
from mastlift.keeper.reports import MAX_REPORT_BYTES, ReportTable
from mastlift.keeper.service import Service, Stopping, TooManyWaiting, now_ms
from mastlift.keeper.wire import INDEX, LIFE, NUMBER, RECEIVED, SESSION, BadRequest
from mastlift.metrics import Metrics
from mastlift.store import commands as c
from mastlift.store.history import Change, Compacted

FORWARDED_HEADER = "Mastlift-Forwarded"  # marks requests that a follower forwarded to the leader
FORWARD_TIMEOUT_S = 2.0
PROGRESS_INTERVAL_S = 5.0  # a watch without changes is sent the current revision at this interval
LINES_PER_WRITE = 500  # approximate maximum of change lines per write to a watch
ENCODE_JSON = msgspec.json.Encoder().encode
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
STATUS_BY_OUTCOME = {
    c.Outcome.OK: 200,
    c.Outcome.CONDITION: 412,
    c.Outcome.NO_LEASE: 404,
    c.Outcome.NO_SESSION: 410,
    c.Outcome.FORGOTTEN: 410,
}
MESSAGE_BY_OUTCOME = {
    c.Outcome.CONDITION: "the condition does not hold",
    c.Outcome.NO_LEASE: "there is no such lease",
    c.Outcome.NO_SESSION: "there is no such session: open one, and learn by reading what became of the last calls",
    c.Outcome.FORGOTTEN: "the result of this command number is no longer kept",
}


def json_response(status: int, body: dict[str, Any], **headers: str) -> web.Response:
    """Build a JSON response; underscores in header names become hyphens."""
    named = {"Content-Type": "application/json"}
    for name, value in headers.items():
        named[name.replace("_", "-")] = value
    return web.Response(status=status, body=ENCODE_JSON(body) + b"\n", headers=named)


class KeeperApi:
    """Routes and request handlers of one keeper."""

    def __init__(self, service: Service, metrics: Metrics) -> None:
        self.service, self.store, self.metrics = service, service.store, metrics
        self.call_times = metrics.duration_histogram("call", "How long calls took", "call")
        self.watches = metrics.gauge("watches", "Watches that are open")
        self.open_watches = 0
        self.reports = ReportTable()
        metrics.gauge("reports", "Reports of agents that are kept").set_function(lambda: len(self.reports))
        self._http: ClientSession | None = None

    def application(self) -> web.Application:
        limit = self.service.settings.limits.value_bytes
        application = web.Application(client_max_size=2 * limit + (1 << 20))
        add = application.router.add_route
        for method, path, handler in (
            ("PUT", "/v1/kv/{key:.+}", self.put),
            ("GET", "/v1/kv/{key:.+}", self.get),
            ("DELETE", "/v1/kv/{key:.+}", self.delete),
            ("GET", "/v1/kv", self.list),
            ("POST", "/v1/txn", self.txn),
            ("POST", "/v1/sessions", self.open_session),
            ("POST", "/v1/leases", self.grant),
            ("GET", "/v1/leases", self.list_leases),
            ("GET", "/v1/leases/{lease}", self.show_lease),
            ("POST", "/v1/renew", self.renew_all),
            ("POST", "/v1/leases/{lease}/renew", self.renew),
            ("DELETE", "/v1/leases/{lease}", self.revoke),
            ("GET", "/v1/changes", self.changes),
            ("GET", "/v1/backup", self.backup),
            ("POST", "/v1/reports/{topic}/{name}", self.take_report),
            ("GET", "/v1/reports/{topic}", self.show_reports),
            ("GET", "/up", self.up),
            ("GET", "/metrics", self.show_metrics),
            ("GET", "/v1/status", self.status),
            ("POST", PEER_PATH, self.peer),
            ("GET", READ_INDEX_PATH, self.read_index),
            ("GET", "/v1/group", self.group_status),
            ("POST", "/v1/group", self.change_group),
            ("POST", "/v1/group/hello", self.hello),
        ):
            add(method, path, self._with_error_responses(handler))
        return application

    def _with_error_responses(self, handler: Handler) -> Handler:
        """Wrap a handler: map exceptions to error responses, forward to the leader, and observe the duration."""
        observe, clock = self.call_times.labels(handler.__name__).observe, time.monotonic

        async def call(request: web.Request) -> web.StreamResponse:
            started = clock()
            try:
                return await handler(request)
            except BadRequest as error:
                return self._error_response(error.status, "bad_call", str(error), field=error.field)
            except web.HTTPRequestEntityTooLarge:
                return self._error_response(413, "bad_call", "the body is too large", field="body")
            except DiskFull as error:
                return self._error_response(507, "disk_full", str(error))
            except TooManyWaiting as error:
                return self._error_response(429, "too_many_waiting", str(error), {"Retry_After": "1"})
            except NotLeader as error:
                return await self._forward(request, error.leader)
            except PeerRefused as error:
                return self._error_response(409, "not_for_me", str(error))
            except (NotNow, StaleMember) as error:
                return self._error_response(503, "not_now", str(error), {"Retry_After": "0.1"})
            except Stopping as error:
                return self._error_response(503, "ending", str(error), {"Retry_After": "1"})
            finally:
                observe(clock() - started)

        return call

    def _error_response(
        self, status: int, error: str, message: str, headers: dict[str, str] | None = None, **more: Any
    ) -> web.Response:
        return json_response(
            status, {"error": error, "message": message, "revision": self.store.revision, **more}, **(headers or {})
        )

    async def _forward(self, request: web.Request, leader: str) -> web.Response:
        """Forward the request to the leader, or answer 503. A forwarded request is not forwarded again."""
        if leader and self._http is None:
            self._http = ClientSession(timeout=ClientTimeout(FORWARD_TIMEOUT_S), connector=TCPConnector(limit=0))
        if leader and self._http is not None and FORWARDED_HEADER not in request.headers:
            headers = {name: request.headers[name] for name in (SESSION, NUMBER, RECEIVED) if name in request.headers}
            url = URL(f"http://{address_of(leader)}{request.raw_path}", encoded=True)
            with contextlib.suppress(ClientError, TimeoutError):
                async with self._http.request(
                    request.method, url, data=await request.read(), headers={**headers, FORWARDED_HEADER: "1"}
                ) as response:
                    kept = {
                        name: value
                        for name, value in response.headers.items()
                        if name.startswith("Mastlift-") or name in ("Content-Type", "Retry-After")
                    }
                    return web.Response(status=response.status, body=await response.read(), headers=kept)
        return self._error_response(
            503,
            "no_leader",
            f"the leader is {leader}" if leader else "there is no leader now",
            {"Retry_After": "0.2"},
            leader=leader,
        )

    async def close(self) -> None:
        if self._http is not None:
            await self._http.close()

    # --- group membership ---

    def _group(self) -> GroupOrder:
        if self.service.grouped is None:
            raise BadRequest("group", "this keeper is alone: its settings name no [group]", 404)
        return self.service.grouped

    async def peer(self, request: web.Request) -> web.Response:
        try:
            self._group().receive(await request.read())
        except msgspec.DecodeError as error:
            raise BadRequest("body", str(error)) from error
        return web.Response()

    async def read_index(self, request: web.Request) -> web.Response:
        return web.Response(text=str(await self._group().read_index(request.query.get("group", ""))))

    async def group_status(self, request: web.Request) -> web.Response:
        return json_response(200, {"revision": self.store.revision, **self._group().status()})

    async def hello(self, request: web.Request) -> web.Response:
        call = wire.decode(await request.read(), wire.HelloCall)
        self._group().hello(call.group, call.id)
        return json_response(200, {"revision": self.store.revision})

    async def change_group(self, request: web.Request) -> web.Response:
        call, group = wire.decode(await request.read(), wire.GroupCall), self._group()
        if not group.leads:
            raise NotLeader(group.member.core.leader)
        removed, admit = f"mastlift/removed/{call.name}", f"mastlift/admit/{call.name}"
        try:
            match call.do:
                case "add":
                    await self.service.propose(c.Envelope(c.Txn((), (c.Put(admit, b""), c.Delete(removed)))), 64)
                case "remove":
                    await self.service.propose(c.Envelope(c.Txn((), (c.Put(removed, b""), c.Delete(admit)))), 64)
                    group.remove(call.name)
                case "hand-over":
                    group.hand_over(call.name)
        except KeyError:
            raise BadRequest("name", f"there is no member '{call.name}'", 404) from None
        return json_response(200, {"revision": self.store.revision, **group.status()})

    # --- request parsing ---

    def _parse_key(self, request: web.Request) -> str:
        raw = request.rel_url.raw_path.removeprefix("/v1/kv/")
        try:
            key = unquote(raw, errors="strict")
        except UnicodeDecodeError:
            raise BadRequest("key", "a key is text in UTF-8") from None
        return wire.check_key(key, self.service.settings.limits.key_bytes)

    @staticmethod
    def _parse_number(text: str | None, field: str, default: int = 0) -> int:
        if text is None:
            return default
        if not (text.isascii() and text.isdecimal() and len(text) <= 19):
            raise BadRequest(field, "it is a whole number, not below 0")
        return int(text)

    @staticmethod
    def _check_query(request: web.Request, *known: str) -> None:
        for name in request.query if request.query_string else ():
            if name not in known:
                raise BadRequest(name, f"it is not known here; known: {', '.join(known) or 'nothing'}")

    async def _propose(self, request: web.Request, command: c.Command, size: int) -> c.Result:
        headers = request.headers
        session = self._parse_number(headers.get(SESSION), SESSION)
        number = self._parse_number(headers.get(NUMBER), NUMBER)
        if session and not number:
            raise BadRequest(NUMBER, "a command of a session has a number from 1 on")
        received = self._parse_number(headers.get(RECEIVED), RECEIVED)
        return await self.service.propose(c.Envelope(command, session, number, received), size + 64)

    def _result_response(self, result: c.Result, **body: Any) -> web.Response:
        if result.outcome is c.Outcome.OK:
            return json_response(200, {"revision": result.revision, **body})
        entries = [wire.entry_json("", entry) for entry in result.entries]
        for entry in entries:
            del entry["key"]
        return json_response(
            STATUS_BY_OUTCOME[result.outcome],
            {
                "error": result.outcome.value,
                "message": MESSAGE_BY_OUTCOME[result.outcome],
                "revision": result.revision,
                **({"stands": entries[0]} if entries else {}),
            },
        )

    # --- keys ---

    async def put(self, request: web.Request) -> web.Response:
        self._check_query(request, "if_revision", "lease")
        key = self._parse_key(request)
        condition = self._parse_number(request.query.get("if_revision"), "if_revision", -1)
        lease = self._parse_number(request.query.get("lease"), "lease")
        value = wire.check_value(await request.read(), self.service.settings.limits.value_bytes)
        result = await self._propose(request, c.Put(key, value, lease, condition), len(key) + len(value))
        return self._result_response(result, key=key, version=result.number)

    async def get(self, request: web.Request) -> web.Response:
        self._check_query(request, "raw")
        key = self._parse_key(request)
        await self._barrier()
        entry = self.store.entries.get(key)
        if entry is None:
            return self._error_response(404, "no_key", "there is no such key", key=key)
        if "raw" in request.query:
            return web.Response(
                body=entry.value,
                content_type="application/octet-stream",
                headers={"Mastlift-Revision": str(self.store.revision), "Mastlift-Changed": str(entry.changed)},
            )
        return json_response(200, {"revision": self.store.revision, **wire.entry_json(key, entry)})

    async def delete(self, request: web.Request) -> web.Response:
        self._check_query(request, "if_revision")
        key = self._parse_key(request)
        condition = self._parse_number(request.query.get("if_revision"), "if_revision", -1)
        result = await self._propose(request, c.Delete(key, condition), len(key))
        return self._result_response(result, key=key, deleted=result.number)

    async def list(self, request: web.Request) -> web.Response:
        self._check_query(request, "prefix", "limit", "after")
        limit = self._parse_number(request.query.get("limit"), "limit", 10_000)
        after = request.query.get("after", "")
        await self._barrier()
        found: list[dict[str, Any]] = []
        more = False
        for key in self.store.keys(request.query.get("prefix", ""), after):
            if len(found) >= limit:
                more = True
                break
            found.append(wire.entry_json(key, self.store.entries[key]))
        return json_response(
            200, {"revision": self.store.revision, "life": self.service.life, "entries": found, "more": more}
        )

    async def txn(self, request: web.Request) -> web.Response:
        limits = self.service.settings.limits
        body = await request.read()
        command = wire.txn_command(wire.decode(body, wire.TxnCall), limits.key_bytes, limits.value_bytes)
        result = await self._propose(request, command, len(body))
        operations = command.then if result.then else command.otherwise
        shown = [
            wire.entry_json(operation.key, entry) for operation, entry in zip(operations, result.entries, strict=False)
        ]
        return self._result_response(result, then=result.then, results=shown)

    async def _barrier(self) -> None:
        if self.service.order is not None:
            await self.service.order.read_barrier()

    # --- sessions and leases ---

    async def open_session(self, request: web.Request) -> web.Response:
        result = await self._propose(request, c.OpenSession(), 0)
        return self._result_response(result, session=result.number)

    async def grant(self, request: web.Request) -> web.Response:
        call = wire.decode(await request.read(), wire.LeaseCall)
        result = await self._propose(request, c.Grant(call.ttl_ms), 0)
        return self._result_response(result, lease=result.number, ttl_ms=call.ttl_ms)

    def _parse_lease(self, request: web.Request) -> int:
        return self._parse_number(request.match_info["lease"], "lease")

    async def renew(self, request: web.Request) -> web.Response:
        lease = self._parse_lease(request)
        result = await self._propose(request, c.Renew(lease), 0)
        return self._result_response(result, lease=lease, ttl_ms=result.number)

    async def renew_all(self, request: web.Request) -> web.Response:
        """Renew many leases; `gone` lists those that do not exist. Idempotent, so it needs no session."""
        call = wire.decode(await request.read(), wire.RenewCall)
        results = await asyncio.gather(*(self.service.propose(c.Envelope(c.Renew(lease)), 64) for lease in call.leases))
        gone = [
            lease for lease, result in zip(call.leases, results, strict=True) if result.outcome is c.Outcome.NO_LEASE
        ]
        return json_response(200, {"revision": self.store.revision, "gone": gone})

    async def revoke(self, request: web.Request) -> web.Response:
        lease = self._parse_lease(request)
        result = await self._propose(request, c.Revoke(lease), 0)
        return self._result_response(result, lease=lease, keys=result.number)

    def _lease_json(self, lease: int) -> dict[str, Any]:
        one = self.store.leases[lease]
        return {
            "lease": lease,
            "ttl_ms": one.ttl_ms,
            "keys": sorted(one.keys),
            "remaining_ms": round(self.service.lease_remaining_ms(lease)),
        }

    async def list_leases(self, request: web.Request) -> web.Response:
        return json_response(
            200, {"revision": self.store.revision, "leases": list(map(self._lease_json, self.store.leases))}
        )

    async def show_lease(self, request: web.Request) -> web.Response:
        lease = self._parse_lease(request)
        if lease not in self.store.leases:
            return self._error_response(404, "no_lease", "there is no such lease")
        return json_response(200, {"revision": self.store.revision, **self._lease_json(lease)})

    # --- changes ---

    async def changes(self, request: web.Request) -> web.StreamResponse:
        """Stream JSON lines: {revision, changes} per revision that affects the prefix, {revision} as a keep-alive."""
        self._check_query(request, "after", "prefix")
        prefix = request.query.get("prefix", "")
        after = self._parse_number(request.query.get("after"), "after", self.store.revision)
        if after > self.store.revision:
            return self._error_response(
                409,
                "ahead",
                f"this keeper (life {self.service.life}) has not come to revision {after}: read the whole",
                field="after",
            )
        try:
            self.service.changes(after)
        except Compacted as error:
            return self._error_response(410, "compacted", f"{error}: read the whole", oldest=error.oldest)
        if self.open_watches >= self.service.settings.limits.watches:
            raise TooManyWaiting(f"{self.open_watches} watches are open")
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        self.open_watches += 1
        self.watches.set(self.open_watches)
        try:
            await response.prepare(request)
            await response.write(ENCODE_JSON({"revision": after, "life": self.service.life}) + b"\n")
            with contextlib.suppress(ConnectionError):
                await self._stream_changes(response, after, prefix)
        finally:
            self.open_watches -= 1
            self.watches.set(self.open_watches)
        return response

    async def _stream_changes(self, response: web.StreamResponse, after: int, prefix: str) -> None:
        while not self.service.stopping:
            if not await self.service.change_after(after, PROGRESS_INTERVAL_S):
                await response.write(ENCODE_JSON({"revision": after}) + b"\n")
                continue
            try:
                changes = self.service.changes(after)
            except Compacted as error:  # the reader has fallen behind the retained history
                await response.write(ENCODE_JSON({"error": "compacted", "oldest": error.oldest}) + b"\n")
                return
            after, lines = self._encode_changes(changes, prefix, after)
            if lines:
                await response.write(lines)

    @staticmethod
    def _encode_changes(changes: Iterator[Change], prefix: str, after: int) -> tuple[int, bytes]:
        """Encode about LINES_PER_WRITE complete revisions; return the last revision read and the encoded lines."""
        lines: list[bytes] = []
        group: list[dict[str, Any]] = []
        for key, entry in changes:
            if entry.changed != after:
                if group:
                    lines.append(ENCODE_JSON({"revision": after, "changes": group}))
                    group = []
                if len(lines) >= LINES_PER_WRITE:
                    break
                after = entry.changed
            if key.startswith(prefix):
                group.append(wire.change_json((key, entry)))
        if group:
            lines.append(ENCODE_JSON({"revision": after, "changes": group}))
        return after, b"".join(line + b"\n" for line in lines)

    async def backup(self, request: web.Request) -> web.StreamResponse:
        """Stream the state at one log index as length-prefixed blocks (4 bytes, big-endian), ended by a length of 0."""
        await self._barrier()
        blocks = self.store.dump()
        response = web.StreamResponse(
            headers={
                "Content-Type": "application/octet-stream",
                INDEX: str(self.store.index),
                LIFE: self.service.life,
                "Mastlift-Revision": str(self.store.revision),
            }
        )
        await response.prepare(request)
        for block in blocks:
            if block:
                await response.write(len(block).to_bytes(4, "big") + block)
        await response.write(bytes(4))
        return response

    # --- reports of agents ---

    async def take_report(self, request: web.Request) -> web.Response:
        """Store an agent's report in this keeper's memory only.

        The response contains the keeper's revision and the revision at which the optional `key` last changed, so that
        an agent can detect that its watch hangs.
        """
        self._check_query(request, "key")
        if self.service.stopping:
            raise Stopping("the keeper is ending")
        topic, name = (
            wire.check_key(request.match_info[what], self.service.settings.limits.key_bytes, what)
            for what in ("topic", "name")
        )
        body = wire.check_value(await request.read(), MAX_REPORT_BYTES, "body")
        wire.decode(body, dict[str, Any])
        self.reports.put(topic, name, body, now_ms())
        entry = self.store.entries.get(request.query.get("key", ""))
        return json_response(
            200, {"revision": self.store.revision, "life": self.service.life, "changed": entry.changed if entry else 0}
        )

    async def show_reports(self, request: web.Request) -> web.Response:
        """Return the reports that this keeper received; reports to other keepers must be queried there."""
        self._check_query(request)
        reports = self.reports.of(request.match_info["topic"], now_ms())
        return json_response(200, {"revision": self.store.revision, "reports": reports})

    # --- health and status ---

    async def up(self, request: web.Request) -> web.Response:
        if self.service.stopping:
            return json_response(503, {"up": False})
        return json_response(200, {"up": True, "revision": self.store.revision})

    async def show_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self.metrics.text(), headers={"Content-Type": self.metrics.content_type})

    async def status(self, request: web.Request) -> web.Response:
        service, recovery = self.service, self.service.recovery
        return json_response(
            200,
            {
                "name": service.settings.keeper.name,
                "life": service.life,
                "format": service.journal.identity.format,
                "revision": self.store.revision,
                "index": self.store.index,
                "keys": len(self.store.entries),
                "leases": len(self.store.leases),
                "sessions": len(self.store.sessions.by_id),
                "snapshots": service.journal.snapshots(),
                "oldest_change": self.store.history.oldest,
                "recovery_s": recovery.seconds,
                "notes": recovery.notes,
                **{name: tell() for name, tell in service.status_sections.items()},
            },
        )

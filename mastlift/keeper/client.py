"""Client of the keepers: numbered commands in a session, backoff with jitter, and a deadline per call."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Sequence
from types import TracebackType
from typing import Any
from urllib.parse import quote, urlencode

import aiohttp
import msgspec
from yarl import URL

from mastlift.keeper.renewals import Renewals
from mastlift.keeper.wire import INDEX, LIFE, NUMBER, RECEIVED, SESSION, entry_json, value_of
from mastlift.store.commands import Entry
from mastlift.store.sessions import MAX_RESULTS_PER_SESSION

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0
# The backoff is limited to the deadline divided by this: a renewal, whose deadline is half a lease time, must be
# retried in time.
MIN_BACKOFFS_PER_DEADLINE = 5.0
RETRY_STATUSES = frozenset({429, 502, 503, 504, 507})  # HTTP statuses after which another keeper is tried
READ_TIMEOUT_S = 15.0  # of a watch or backup; a keeper sends on a watch at least every 5 s
ATTEMPT_TIMEOUT_S = 3.0  # per keeper: a hanging keeper must not consume the whole deadline of a call
__all__ = ["KeeperClient", "Refused", "Unreachable", "ask_each", "entry_json", "value_of"]


class Refused(Exception):
    """A keeper rejected the request. `status` is the HTTP status, `body` the decoded error response."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(
            f"{body.get('error', status)}: {body.get('message', '')}"
            + (f" ({body['field']})" if "field" in body else "")
        )
        self.status, self.body = status, body


class Unreachable(Exception):
    """No keeper answered within the deadline. Whether a write took effect is unknown, unless it is repeated in the
    session."""


class KeeperClient:
    """Asynchronous client; use it as an async context manager.

    Writes are retried safely because each one has a number in the client's session. This also covers retries by the
    HTTP library, which resends a PUT when a reused connection fails.
    """

    def __init__(
        self,
        keepers: Sequence[str],
        deadline_s: float = 10.0,
        seed: int | None = None,
        attempt_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        self._keepers, self.deadline_s, self.attempt_s = list(keepers), deadline_s, attempt_s
        self._random = random.Random(seed)
        self._random.shuffle(self._keepers)
        self._session_id = 0
        self._number = 0
        self._unanswered: set[int] = set()
        self._session_lock = asyncio.Lock()
        self._in_flight_slots, self._window_moved = asyncio.Semaphore(MAX_RESULTS_PER_SESSION // 2), asyncio.Event()
        self._http: aiohttp.ClientSession | None = None
        self.calls = 0  # requests sent, including retries
        self.watches = 0  # watches started, including restarts
        self.renewals = Renewals(self)

    async def __aenter__(self) -> KeeperClient:
        self._http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        assert self._http is not None
        await self.renewals.close()
        await self._http.close()

    def _rotate_from(self, keeper: str) -> None:
        """Switch to the next keeper unless a concurrent call has already switched."""
        if self._keepers[0] == keeper:
            self._keepers.append(self._keepers.pop(0))

    @staticmethod
    def _url(keeper: str, path: str, query: dict[str, Any] | None = None) -> URL:
        given = {name: value for name, value in (query or {}).items() if value is not None}
        return URL(f"http://{keeper}{path}" + (f"?{urlencode(given)}" if given else ""), encoded=True)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        query: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        deadline_s: float | None = None,
        retry: bool = True,
    ) -> dict[str, Any]:
        """Send a request, with retries on other keepers until the deadline; without `retry` only connection failures
        are retried. Raises Refused, Unreachable."""
        assert self._http is not None
        loop, timeout_s = asyncio.get_running_loop(), deadline_s or self.deadline_s
        end, backoff, last = loop.time() + timeout_s, INITIAL_BACKOFF_S, "no try"
        attempt, max_backoff = (
            min(self.attempt_s, timeout_s / 2),
            min(MAX_BACKOFF_S, timeout_s / MIN_BACKOFFS_PER_DEADLINE),
        )
        while (remaining := end - loop.time()) > 0:
            delay, keeper = backoff * self._random.uniform(0.5, 1.5), self._keepers[0]
            try:
                self.calls += 1
                async with self._http.request(
                    method,
                    self._url(keeper, path, query),
                    data=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(min(attempt, remaining)),
                ) as response:
                    reply: dict[str, Any] = msgspec.json.decode(await response.read())
                    if response.status < 300:
                        return reply
                    refused = Refused(response.status, reply)
                    if response.status not in RETRY_STATUSES or not retry:
                        raise refused
                    last = str(refused)
                    delay = max(delay, float(response.headers.get("Retry-After", 0)))
            except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
                last = str(error) or type(error).__name__
                if not retry and not isinstance(error, aiohttp.ClientConnectorError):
                    break
            self._rotate_from(keeper)
            backoff = min(backoff * 2, max_backoff)
            await asyncio.sleep(min(delay, max(0.0, end - loop.time())))
        raise Unreachable(f"no keeper of {', '.join(sorted(self._keepers))} answered within {timeout_s:g} s: {last}")

    async def _write(
        self, method: str, path: str, body: bytes | None = None, query: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        async with self._session_lock:
            if not self._session_id:
                self._session_id = (await self._call("POST", "/v1/sessions"))["session"]
        async with self._in_flight_slots:
            while self._unanswered and self._number - min(self._unanswered) >= MAX_RESULTS_PER_SESSION - 1:
                self._window_moved.clear()  # wait for the oldest write: later ones must not evict its stored result
                await self._window_moved.wait()
            self._number += 1
            number = self._number
            self._unanswered.add(number)
            try:
                return await self._call(
                    method,
                    path,
                    body,
                    query,
                    {SESSION: str(self._session_id), NUMBER: str(number), RECEIVED: str(min(self._unanswered) - 1)},
                )
            except Refused as refused:
                if refused.body.get("error") == "no_session":  # the next command opens a new session
                    self._session_id = 0
                raise
            finally:
                self._unanswered.discard(number)
                self._window_moved.set()

    # --- keys ---

    async def put(
        self, key: str, value: bytes, if_revision: int | None = None, lease: int | None = None
    ) -> dict[str, Any]:
        """Write a key and return `revision` and `version`. Raises Refused (412: condition failed), Unreachable."""
        return await self._write(
            "PUT", f"/v1/kv/{quote(key, safe='')}", value, {"if_revision": if_revision, "lease": lease}
        )

    async def get(self, key: str) -> Entry | None:
        """Read a key; None if it does not exist."""
        try:
            reply = await self._call("GET", f"/v1/kv/{quote(key, safe='')}")
        except Refused as refused:
            if refused.body.get("error") == "no_key":
                return None
            raise
        return Entry(value_of(reply), reply["created"], reply["changed"], reply["version"], reply["lease"])

    async def delete(self, key: str, if_revision: int | None = None) -> dict[str, Any]:
        return await self._write("DELETE", f"/v1/kv/{quote(key, safe='')}", query={"if_revision": if_revision})

    async def ls(self, prefix: str = "") -> dict[str, Any]:
        """List all keys under a prefix. Several pages may be of different revisions; `revision` is the first page's."""
        reply = await self._call("GET", "/v1/kv", query={"prefix": prefix})
        while reply["more"]:
            page = await self._call("GET", "/v1/kv", query={"prefix": prefix, "after": reply["entries"][-1]["key"]})
            reply["entries"] += page["entries"]
            reply["more"] = page["more"]
        return reply

    async def txn(
        self, compare: list[dict[str, Any]], then: list[dict[str, Any]], otherwise: list[dict[str, Any]] | None = None
    ) -> dict[str, Any]:
        body = msgspec.json.encode({"compare": compare, "then": then, "otherwise": otherwise or []})
        return await self._write("POST", "/v1/txn", body)

    async def change_group(self, do: str, name: str) -> dict[str, Any]:
        """Change the membership; `do` is add, remove or hand-over."""
        return await self._call("POST", "/v1/group", msgspec.json.encode({"do": do, "name": name}))

    # --- leases ---

    async def grant(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        reply = await self._write("POST", "/v1/leases", msgspec.json.encode({"ttl_ms": ttl_ms}))
        return int(reply["lease"])

    async def renew(self, lease: int) -> dict[str, Any]:
        return await self._write("POST", f"/v1/leases/{lease}/renew")

    async def renew_all(self, leases: Sequence[int], deadline_s: float | None = None) -> list[int]:
        """Renew leases and return those that no longer exist. `renewals` schedules these calls."""
        body = msgspec.json.encode({"leases": leases})
        reply = await self._call("POST", "/v1/renew", body, deadline_s=deadline_s)
        return list(reply["gone"])

    async def revoke(self, lease: int) -> dict[str, Any]:
        return await self._write("DELETE", f"/v1/leases/{lease}")

    # --- reports ---

    async def report(
        self, topic: str, name: str, body: bytes, key: str = "", deadline_s: float | None = None
    ) -> dict[str, Any]:
        """Report to one keeper, which holds it in memory only. The response has the keeper's `revision` and `life`, and
        under `changed` the revision at which `key` last changed on it."""
        path = f"/v1/reports/{quote(topic, safe='')}/{quote(name, safe='')}"
        return await self._call("POST", path, body, {"key": key or None}, deadline_s=deadline_s)

    # --- backup ---

    async def backup(self, begin: Callable[[int, str], Callable[[bytes], None]]) -> int:
        """Fetch the state at one log index in blocks and return its revision.

        `begin` receives the index and life and returns the function that is called with each block. Raises Refused, and
        Unreachable also if the transfer is interrupted; the blocks received are then unusable.
        """
        assert self._http is not None
        try:
            async with self._http.get(
                self._url(self._keepers[0], "/v1/backup"),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.deadline_s, sock_read=READ_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    raise Refused(response.status, msgspec.json.decode(await response.read()))
                take = begin(int(response.headers[INDEX]), response.headers[LIFE])
                while size := int.from_bytes(await response.content.readexactly(4), "big"):
                    take(await response.content.readexactly(size))
                return int(response.headers["Mastlift-Revision"])
        except (aiohttp.ClientError, TimeoutError, asyncio.IncompleteReadError) as error:
            raise Unreachable(
                f"the backup from {self._keepers[0]} broke off: {error or type(error).__name__}"
            ) from error

    # --- changes ---

    async def status(self) -> dict[str, Any]:
        return await self._call("GET", "/v1/status")

    async def changes(self, after: int | None = None, prefix: str = "") -> AsyncIterator[dict[str, Any]]:
        """Yield the lines of one watch until the keeper ends it. Raises Refused (410: compacted, 409: ahead of the
        keeper's revision), Unreachable."""
        assert self._http is not None
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.attempt_s, sock_read=READ_TIMEOUT_S)
        keeper = self._keepers[0]
        self.watches += 1
        try:
            async with self._http.get(
                self._url(keeper, "/v1/changes", {"after": after, "prefix": prefix or None}),
                timeout=timeout,
                read_bufsize=1 << 22,
            ) as response:
                if response.status != 200:
                    raise Refused(response.status, msgspec.json.decode(await response.read()))
                rest = b""
                async for data in response.content.iter_any():
                    *lines, rest = (rest + data).split(b"\n")
                    for line in lines:
                        yield msgspec.json.decode(line)
        except (aiohttp.ClientError, TimeoutError) as error:
            self._rotate_from(keeper)
            raise Unreachable(f"the watch at {keeper} broke: {error or type(error).__name__}") from error

    def use_next_keeper(self) -> None:
        """Switch to the next keeper."""
        self._rotate_from(self._keepers[0])

    def jittered(self, after: float) -> float:
        """Return the delay with jitter (0.5 to 1.5 times), so that clients do not retry simultaneously."""
        return after * self._random.uniform(0.5, 1.5)


async def ask_each(keepers: Sequence[str], path: str, within_s: float) -> dict[str, dict[str, Any]]:
    """GET `path` from each keeper concurrently; keepers that do not answer have an `error`."""

    async def ask(http: aiohttp.ClientSession, keeper: str) -> dict[str, Any]:
        try:
            async with http.get(f"http://{keeper}{path}") as response:
                reply: dict[str, Any] = msgspec.json.decode(await response.read())
                return reply
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            return {"error": str(error) or type(error).__name__}

    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(within_s)) as http:
        return dict(zip(keepers, await asyncio.gather(*(ask(http, keeper) for keeper in keepers)), strict=True))

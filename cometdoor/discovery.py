"""The list of backends: reading discovery's entries, and the watch that brings changes.

Where lists are pushed the watch is kept up here. Where discovery is asked, each watch is a call that
the module orders; that it failed or broke is told to the module, which says when to call again.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, cast
from zlib import crc32

import httptools
import orjson

from cometdoor.config import Address, read_address
from cometdoor.listfile import write_list
from cometdoor.sources import FIRST_ANSWER_S, Sources
from jasperhall.api import NEWS_DUE_MS, ListChanged, ListKind, Server, State
from jasperhall.balancer import LINE_SHARE

log = logging.getLogger(__name__)

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
# A watch says something every 2 s; the rest is for the way here and for a loop that gets round to it late. What a
# silent watch misses counts as told 6 s after it was last heard, and sends have to end 250 ms later: until then all
# proxies have to be served anew by a discovery that answers in turn, so every moment here is one less for that.
SILENCE_S = 2.0 + 0.25
# The first answer waits its turn, and one that asks anew goes to the end of the line. With a call that was silent from
# its start, as much is left of the 6 s for the next.
FIRST_LINE_S, LONGEST_FIRST_LINE_S = 3.0, 12.0
NEWS_DUE_S = NEWS_DUE_MS / 1000.0
SEVERAL_SILENCE_S = 3.0  # of one of several addresses: 6 s less a hop, FIRST_ANSWER_S, another hop, and an answer
MAX_LINE = 8 << 20
KEEP_EVERY_S = 1.0  # a list that changes is written to its file no more often
LIFE = "Mastlift-Life"  # names the history that revisions are of, where discovery says it
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.1, 5.0  # between watches where lists are pushed
# All proxies are told of a new address at one moment, and it answers calls in turn; the old one still
# keeps its open connections for 1.5 s.
MOVE_SPREAD_S = 1.0


class ListReader:
    """Discovery's form to the module's: names to numbers, Unix time to the module's clock."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.renumber(zones, kinds)
        # Fixed at the start: a clock that is set later must not make every backend look restarted.
        self._unix_ahead_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def renumber(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}

    def read(self, message: dict[str, Any]) -> tuple[list[Server], dict[str, Address]]:
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


class WatchConnection(asyncio.Protocol):
    """One call: a chunked answer of one JSON object a line, until the connection ends."""

    def __init__(self, owner: Discovery, target: str, host: str, life: str = "",
                 patience_s: float = FIRST_LINE_S) -> None:
        """`life`: of the history that the index in the target is of; `patience_s` for the first byte of the answer."""
        self._owner = owner
        self._head = (f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n"
                      + (f"{LIFE}: {life}\r\n" if life else "") + "\r\n").encode()
        self.life = ""  # what the answer says
        self._patience_s = patience_s
        self._silent = False  # told to be, and not heard since
        self._parser = httptools.HttpResponseParser(self)
        self._line = bytearray()
        self._transport: asyncio.Transport | None = None
        self._opening: asyncio.Task[None] | None = None
        self._ended = False
        self._heard_at = owner.loop.time()
        self._silence = owner.loop.call_later(patience_s, self._check_silence)

    def open(self, address: Address) -> None:
        self._opening = self._owner.loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        try:
            await self._owner.loop.create_connection(lambda: self, *address)
        except OSError as problem:
            self.end(f"not connected: {problem}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:
            self._transport.abort()
        else:
            self._transport.write(self._head)

    def data_received(self, data: bytes) -> None:
        self._heard_at = self._owner.loop.time()
        self._patience_s = self._owner.silence_s
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self.end(f"not understood: {problem}")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == LIFE.lower().encode():
            self.life = value.decode("ascii", "replace")

    def on_body(self, body: bytes) -> None:
        if self._ended or self._parser.get_status_code() != 200:
            return
        if self._silent:
            self._silent = False
            self._silence = self._owner.loop.call_later(self._patience_s, self._check_silence)
            self._owner.heard_again(self)
        self._line += body
        if len(self._line) > MAX_LINE:
            self.end("a line without end")
        while not self._ended and (end := self._line.find(b"\n")) >= 0:
            line = bytes(self._line[:end]).strip()
            del self._line[:end + 1]
            if line:
                self._read_line(line)

    def _read_line(self, line: bytes) -> None:
        try:
            message = orjson.loads(line)
            if reason := self._owner.not_to_take(message, self.life):
                self.end(reason)
                return
            changes = self._owner.reader.read(message)
            self._owner.changed(message, *changes)
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            self.end(f"a line not understood: {type(problem).__name__}: {problem}")

    def is_unanswered(self) -> bool:
        return self._parser.get_status_code() == 0

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:
            self.end(f"over, status {status}")

    def eof_received(self) -> None:
        self.end("the connection ended")

    def connection_lost(self, problem: Exception | None) -> None:
        self.end(f"the connection broke: {problem}")

    def _check_silence(self) -> None:
        """Guards against a discovery machine that vanished: its connection stays open and says nothing."""
        now = self._owner.loop.time()
        left = self._heard_at + self._patience_s - now
        if left <= 0:
            self._silent = True
            self._owner.fell_silent(self, now - self._heard_at)
        else:
            self._silence = self._owner.loop.call_later(left, self._check_silence)

    def end(self, reason: str, tell: bool = True) -> None:
        if self._ended:
            return
        self._ended = True
        self._silence.cancel()
        if self._transport is not None:
            self._transport.abort()
        elif self._opening is not None:
            self._opening.cancel()
        if tell:
            self._owner.ended(self, reason)


class Discovery:
    """The watch, at one of several addresses; with a single one nothing here differs from calling it alone."""

    def __init__(self, loop: asyncio.AbstractEventLoop, addresses: Sequence[Address], reader: ListReader,
                 must_ask: bool, known: dict[str, Any], deliver: Callable[[ListChanged, dict[str, Address]], None],
                 list_file: Path | None = None) -> None:
        self.loop = loop
        self.reader = reader
        self._sources = Sources(addresses, random.Random())
        self._must_ask = must_ask
        self._revision = int(known.get("revision") or 0)
        self._life = str(known.get("life") or "")
        self._strange = 0  # answers of another life that were not taken
        self._members = {member["id"]: member for member in known.get("members") or ()}
        self._deliver = deliver
        self._watch: WatchConnection | None = None
        self._pause_s = FIRST_PAUSE_S
        self._first_line_s = FIRST_LINE_S
        self._news_due = math.inf  # when what a silent watch missed counts as told
        self._moving: asyncio.TimerHandle | None = None  # the next call, where it is not the module's to order
        self._list_file = list_file
        self._keeping: asyncio.TimerHandle | None = None

    @property
    def silence_s(self) -> float:
        return SEVERAL_SILENCE_S if self._sources.several else SILENCE_S

    def start(self) -> None:
        if not self._must_ask:
            self.watch()

    def watch(self) -> None:
        """A new call; it takes the place of the one before."""
        self._stop_moving()
        if self._watch is not None:
            self._watch.end("replaced", tell=False)
        host, port = self._sources.current
        target, name = f"/discovery/hosts?stream=1&index={self._revision}", f"{host}:{port}"
        self._watch = (WatchConnection(self, target, name, self._life, FIRST_ANSWER_S) if self._sources.several
                       else WatchConnection(self, target, name, patience_s=self._first_line_s))
        self._watch.open((host, port))

    def whole_list(self) -> dict[str, Any]:
        """As discovery itself would tell it."""
        return {"revision": self._revision, "complete": True, "members": list(self._members.values()),
                **({"life": self._life} if self._life else {})}

    def move(self, addresses: Sequence[Address]) -> None:
        """Go on at other addresses from the known revision, without waiting for the old one's end."""
        if not self._sources.change(addresses):
            return
        log.info("discovery moves to %s:%d", *self._sources.current)
        self._pause_s = FIRST_PAUSE_S
        self._stop_moving()
        self._moving = self.loop.call_later(random.uniform(0.0, MOVE_SPREAD_S), self.watch)

    def change(self, must_ask: bool) -> None:
        self._must_ask = must_ask
        if not must_ask and self._watch is None and self._moving is None:
            self.watch()

    def _stop_moving(self) -> None:
        if self._moving is not None:
            self._moving.cancel()
            self._moving = None

    def stop(self) -> None:
        self._stop_moving()
        if self._keeping is not None:
            self._keeping.cancel()
            self._keep()
        if self._watch is not None:
            self._watch.end("stopped", tell=False)
            self._watch = None

    def not_to_take(self, message: dict[str, Any], life: str) -> str:
        """Why a line must not be told to the decisions; empty where it may. Only where several addresses tell one
        list: one of them may have fallen behind, or tell of another history."""
        if not self._sources.several:
            return ""
        revision = int(message.get("revision", self._revision))
        if life != self._life and self._life and (not message.get("complete") or revision < self._revision):
            # A later history has higher revisions by its making. That all tell of a lower one means a clock that was
            # set back: then there is nothing else to go by.
            self._strange += 1
            if not message.get("complete") or self._strange <= self._sources.count:
                return f"of another life: revision {revision} after {self._revision}"
        elif revision < self._revision:
            return f"older than what is known: {revision} after {self._revision}"
        return ""

    def changed(self, message: dict[str, Any], servers: list[Server], addresses: dict[str, Address]) -> None:
        self._revision = int(message.get("revision", self._revision))
        if message.get("complete"):
            self._members.clear()
        for member in message.get("members") or ():
            if STATES[member["phase"]] is State.GONE:
                self._members.pop(member["id"], None)
            else:
                self._members[member["id"]] = member
        self._pause_s = FIRST_PAUSE_S
        self._first_line_s = FIRST_LINE_S
        self._news_due = math.inf
        self._sources.worked()
        self._strange = 0
        if self._watch is not None:
            self._life = self._watch.life
        if self._list_file is not None and self._keeping is None:
            self._keeping = self.loop.call_later(KEEP_EVERY_S, self._keep)
        kind = ListKind.FULL if message.get("complete") else ListKind.DELTA
        self._deliver(ListChanged(kind, tuple(servers)), addresses)

    def ended(self, watch: WatchConnection, reason: str) -> None:
        if watch is not self._watch:
            return
        self._watch = None
        log.info("discovery: %s", reason)
        if self._sources.several and (soon := self._sources.failed()) is not None:
            self._moving = self.loop.call_later(soon, self.watch)
            return
        if self._must_ask:
            self._deliver(ListChanged(ListKind.FAILED), {})
            return
        self._call_after(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(2.0 * self._pause_s, LONGEST_PAUSE_S)

    def fell_silent(self, watch: WatchConnection, silent_s: float) -> None:
        """It is kept until the next call, which all proxies make at a moment of their own."""
        if watch is not self._watch:
            return
        if self._sources.several:
            watch.end("silent")
            return
        log.info("discovery: silent for %.2f s", silent_s)
        if watch.is_unanswered():
            self._first_line_s = min(2.0 * self._first_line_s, LONGEST_FIRST_LINE_S)
        if self._must_ask:
            self._deliver(ListChanged(ListKind.FAILED, silent_ms=1000.0 * silent_s), {})
            return
        now = self.loop.time()
        self._news_due = min(self._news_due, now - silent_s + NEWS_DUE_S)
        self._call_after(random.uniform(0.0, max(LINE_SHARE * (self._news_due - now), FIRST_PAUSE_S)))

    def heard_again(self, watch: WatchConnection) -> None:
        if watch is not self._watch:
            return
        log.info("discovery: heard again")
        self._news_due = math.inf
        if self._must_ask:
            self._deliver(ListChanged(ListKind.ALIVE), {})
        else:
            self._stop_moving()

    def _call_after(self, pause_s: float) -> None:
        self._stop_moving()
        self._moving = self.loop.call_later(pause_s, self.watch)

    def _keep(self) -> None:
        self._keeping = None
        if self._list_file is not None:
            write_list(self._list_file, self.whole_list())

"""The transport between members: message batches over HTTP, one request at a time per peer.

Messages that cannot be sent are dropped; the Raft core sends them again.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass

import aiohttp
import msgspec

from mastlift.consensus.messages import Message
from mastlift.logs import get_logger

PEER_FORMAT = 1
PEER_PATH = "/peer"
READ_INDEX_PATH = "/peer/read-index"
FROM_HEADER = "Mastlift-From"  # for tools that inspect connections; the sender is also in the body
MAX_QUEUED = 256  # messages per peer; the oldest are dropped
SEND_TIMEOUT_S = 1.0  # of a whole request
RETRY_DELAY_S = 0.05  # after a failed request


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Messages from one member to another in one request."""

    format: int
    group: str
    source: str
    to: str
    messages: list[Message]


ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(Batch).decode


def name_of(id_: str) -> str:
    """Return the NAME part of a member id."""
    return id_.partition(".")[0]


def address_of(id_: str) -> str:
    """Return the HOST:PORT part of a member id (NAME.LIFE@HOST:PORT)."""
    return id_.partition("@")[2]


@dataclass(slots=True)
class _Peer:
    queue: deque[Message]
    wake: asyncio.Event
    task: asyncio.Task[None]


class Peers:
    """The transport of one member: a bounded queue and a sender task per peer."""

    def __init__(self, own: str, group: str) -> None:
        self.own, self.group = own, group
        self._peers: dict[str, _Peer] = {}
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(SEND_TIMEOUT_S),
            headers={FROM_HEADER: own},
        )
        self._log = get_logger("peers")

    def send(self, to: str, message: Message) -> None:
        peer = self._peers.get(to)
        if peer is None:
            queue: deque[Message] = deque(maxlen=MAX_QUEUED)
            wake = asyncio.Event()
            peer = self._peers[to] = _Peer(queue, wake, asyncio.create_task(self._sender(to, queue, wake)))
        peer.queue.append(message)
        peer.wake.set()

    async def _sender(self, to: str, queue: deque[Message], wake: asyncio.Event) -> None:
        url, refused = f"http://{address_of(to)}{PEER_PATH}", False
        while True:
            await wake.wait()
            wake.clear()
            batch = list(queue)
            queue.clear()
            if not batch:
                continue
            try:
                async with self._http.post(
                    url,
                    data=ENCODE(Batch(PEER_FORMAT, self.group, self.own, to, batch)),
                ) as response:
                    if response.status != 200 and not refused:
                        self._log.error(
                            "peer_refused", peer=to, status=response.status, reason=(await response.text()).strip()
                        )
                    refused = response.status != 200
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(RETRY_DELAY_S)

    async def read_index(self, leader: str) -> int | None:
        """Ask the leader for the read index; None if it does not provide one."""
        try:
            async with self._http.get(
                f"http://{address_of(leader)}{READ_INDEX_PATH}", params={"group": self.group}
            ) as reply:
                return int(await reply.read()) if reply.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None

    def forget(self, ids: set[str]) -> None:
        """Stop sending to former members."""
        for former in self._peers.keys() & ids:
            self._peers.pop(former).task.cancel()

    async def close(self) -> None:
        for peer in self._peers.values():
            peer.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await peer.task
        await self._http.close()

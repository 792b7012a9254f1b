"""Follows changes across broken watches, restarts and compaction: each change exactly once and in order, or the full
state after a gap."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from mastlift.keeper.client import INITIAL_BACKOFF_S, MAX_BACKOFF_S, KeeperClient, Refused, Unreachable

WATCH_BACKOFF_FACTOR = (
    3.0  # a failed keeper ends all its watches at once: spread their reconnection more than that of calls
)


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """With `whole`, `changes` is the full state at `revision`: keys that are not in it do not exist."""

    revision: int
    changes: list[dict[str, Any]]
    whole: bool = False


async def follow(client: KeeperClient, prefix: str = "", after: int | None = None) -> AsyncIterator[ChangeBatch]:
    """Yield change batches forever. Raises Refused for errors that a retry cannot resolve."""
    backoff, life = INITIAL_BACKOFF_S, ""
    while True:
        try:
            if after is None:
                after = int((await client.status())["revision"])
            async for line in client.changes(after, prefix):
                if "error" in line:
                    raise Refused(410, line)
                if life and line.get("life", life) != life:
                    raise Refused(409, {"error": "another life"})
                life, backoff = line.get("life", life), INITIAL_BACKOFF_S
                after = int(line["revision"])
                if "changes" in line:
                    yield ChangeBatch(after, line["changes"])
            await asyncio.sleep(
                client.jittered(INITIAL_BACKOFF_S)
            )  # the keeper closed the watch, as it does on shutdown
        except Refused as refused:
            if refused.status in (429, 503):  # another keeper may have capacity or contact with the leader
                client.use_next_keeper()
                await asyncio.sleep(client.jittered(backoff))
                backoff = min(backoff * 2, MAX_BACKOFF_S)
                continue
            if refused.status not in (409, 410):
                raise
            whole = await client.ls(prefix)
            after, life = int(whole["revision"]), whole["life"]
            yield ChangeBatch(after, whole["entries"], whole=True)
        except Unreachable:
            await asyncio.sleep(client.jittered(backoff) * WATCH_BACKOFF_FACTOR)
            backoff = min(backoff * 2, MAX_BACKOFF_S)

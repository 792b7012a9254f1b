"""Following changes across broken watches, restarts and compaction: each change once, in order, nothing left out."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from mastlift.keeper.client import FIRST_PAUSE_S, LONGEST_PAUSE_S, KeeperClient, Refused, Unreachable

SPREAD = 3.0  # a keeper that is lost ends all its watches at once: they come back over longer than single calls do


@dataclass(frozen=True, slots=True)
class Followed:
    """`whole` means that `changes` are all keys as they stand at `revision`: those not among them are gone."""

    revision: int
    changes: list[dict[str, Any]]
    whole: bool = False


async def follow(client: KeeperClient, prefix: str = "", after: int | None = None) -> AsyncIterator[Followed]:
    """Endless. Raises Refused for a call that no time will mend."""
    pause, life = FIRST_PAUSE_S, ""
    while True:
        try:
            if after is None:
                after = int((await client.status())["revision"])
            async for line in client.changes(after, prefix):
                if "error" in line:
                    raise Refused(410, line)
                if life and line.get("life", life) != life:
                    raise Refused(409, {"error": "another life"})
                life, pause = line.get("life", life), FIRST_PAUSE_S
                after = int(line["revision"])
                if "changes" in line:
                    yield Followed(after, line["changes"])
            await asyncio.sleep(client.pause_s(FIRST_PAUSE_S))  # the keeper ended the watch, as it does before its end
        except Refused as refused:
            if refused.status in (429, 503):  # another one may have room, or hear its leader
                client.go_on()
                await asyncio.sleep(client.pause_s(pause))
                pause = min(pause * 2, LONGEST_PAUSE_S)
                continue
            if refused.status not in (409, 410):
                raise
            whole = await client.ls(prefix)
            after, life = int(whole["revision"]), whole["life"]
            yield Followed(after, whole["entries"], whole=True)
        except Unreachable:
            await asyncio.sleep(client.pause_s(pause) * SPREAD)
            pause = min(pause * 2, LONGEST_PAUSE_S)

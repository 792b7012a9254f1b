"""How long no attempt begins because the endpoint list may lack a drain that counts as known.

Pure: times come in as milliseconds on the caller's clock. The balancer asks before it sends, the proxy again
before the first byte of an attempt leaves on a connection that has come up late.
"""

from __future__ import annotations

import math

from balancing.api import QUEUE_WAIT_MS, FreshnessChanged, ListChanged

UNSEEN_WAIT_MS = 2.0 * QUEUE_WAIT_MS  # a call for the list that is refused after its wait, and the next one
# A discovery that refuses every call for longer is out of order, not busy: it has no list for anybody.
LONGEST_WAIT_MS = 30_000.0


class OutdatedList:
    """Whether to wait for a new endpoint list.

    Time alone tells nothing of the list: while discovery is seen at work the wait goes on. It ends with a new
    list, or where nothing shows discovery at work, since then the servers that are known are all there is.
    """

    def __init__(self) -> None:
        self._since = math.inf  # when a change that the list may lack counts as known
        self._until = math.inf

    def update(self, event: ListChanged | FreshnessChanged, now: float) -> None:
        """Take over what an event says of the list in use, at `now`."""
        self._since = now + event.outdated_in_ms
        seen_until = min(now + event.at_work_ms, self._since + LONGEST_WAIT_MS)
        self._until = max(self._since + UNSEEN_WAIT_MS, seen_until)

    def holds_sends(self, now: float, grace_ms: float = 0.0) -> bool:
        """`grace_ms`: how long sends may go on after a change is known."""
        return self._since + grace_ms <= now < self._until

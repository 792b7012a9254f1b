"""How long no attempt begins because the endpoint list may lack a drain that counts as known.

Pure: times come in as milliseconds on the caller's clock. The balancer asks before it sends, the proxy again
before the first byte of an attempt leaves on a connection that has come up late.
"""

from __future__ import annotations

import math

from balancing.api import QUEUE_WAIT_MS, ListChanged

LONGEST_WAIT_MS = 2.0 * QUEUE_WAIT_MS  # a call for the list that is refused after its wait, and the next one


class OutdatedList:
    """Whether to wait for a new endpoint list.

    Guards against sends to a server that drains, where discovery has more calls than it answers in time. It
    harms where no list comes: so the servers that are known are used again after `LONGEST_WAIT_MS`.
    """

    def __init__(self) -> None:
        self._since = math.inf  # when a change that the list may lack counts as known

    def update(self, event: ListChanged, now: float) -> None:
        """Take over what an event says of the list in use, at `now`."""
        self._since = now + event.outdated_in_ms

    def holds_sends(self, now: float, grace_ms: float = 0.0) -> bool:
        """`grace_ms`: how long sends may go on after a change is known."""
        return self._since + grace_ms <= now < self._since + LONGEST_WAIT_MS

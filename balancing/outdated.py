"""Stops new attempts while the endpoint list may lack a drain that counts as known.

No I/O; times are milliseconds on the caller's clock. The balancer checks before each send, the proxy again
before the first byte of an attempt on a connection that was slow to open.
"""

from __future__ import annotations

import math

from balancing.api import FreshnessChanged, ListChanged


class OutdatedList:
    """Whether requests have to wait for a new endpoint list.

    The wait ends with a new list, since passing time does not make the old one valid. It is limited, so that
    a broken discovery does not end all service.
    """

    def __init__(self) -> None:
        self._since = math.inf  # when a change that the list may lack counts as known
        self._until = math.inf

    def update(self, event: ListChanged | FreshnessChanged, now: float) -> None:
        """Apply an event about the list in use, received at `now`."""
        self._since = now + event.outdated_in_ms
        self._until = self._since + event.max_send_stop_ms

    def blocks_sends(self, now: float, grace_ms: float = 0.0) -> bool:
        """Whether no attempt may start; `grace_ms`: how long sends may go on after a change is known."""
        return self._since + grace_ms <= now < self._until

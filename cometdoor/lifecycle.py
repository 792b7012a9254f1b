"""The one state of this process that all who ask or order go by: `/up`, the door, SIGTERM."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

log = logging.getLogger(__name__)


class Phase(Enum):
    STARTING = "starting"  # servers are not known yet, or nobody listens yet
    SERVING = "serving"
    EVACUATING = "evacuating"  # clients are sent away; whoever still comes is served
    LEAVING = "leaving"  # SIGTERM has come; there is no way back


class LifeCycle:
    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.changed: Callable[[Phase], None] = lambda phase: None
        self._able = False  # has all it needs to serve
        # Another process serves at the same address: the two are one proxy, which stays up.
        self.is_succeeded: Callable[[], bool] = lambda: False

    def takes_clients(self) -> bool:
        """What the door's ready call says."""
        return self.phase is Phase.SERVING

    def is_up(self) -> bool:
        """What `/up` says to those who send clients."""
        return self.phase is Phase.SERVING or (self.phase is Phase.LEAVING and self.is_succeeded())

    def able(self) -> None:
        self._able = True
        if self.phase is Phase.STARTING:
            self._enter(Phase.SERVING)

    def evacuate(self) -> bool:
        if self.phase in (Phase.STARTING, Phase.SERVING):
            self._enter(Phase.EVACUATING)
        return True  # a proxy that leaves is being emptied too

    def rejoin(self) -> bool:
        if self.phase is Phase.EVACUATING:
            self._enter(Phase.SERVING if self._able else Phase.STARTING)
        return self.phase is not Phase.LEAVING

    def leave(self) -> None:
        if self.phase is not Phase.LEAVING:
            self._enter(Phase.LEAVING)

    def _enter(self, phase: Phase) -> None:
        log.info("%s, was %s", phase.value, self.phase.value)
        self.phase = phase
        self.changed(phase)

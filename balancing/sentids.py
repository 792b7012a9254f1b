"""Which request ids a server may have run, so that an id that comes again is not run twice.

A client that has left, or whose proxy was replaced, may send the same request once more under the same id.
For a class that must not simply be repeated it is then not known whether the first one had an effect.
"""

from __future__ import annotations

from collections import OrderedDict

REMEMBERED_MS = 30_000.0  # longer than any request may take, its client's pause included
MAX_REMEMBERED = 4_096  # ids; beyond these the oldest are forgotten


class SentIds:
    """The ids of requests that were sent and whose client has no answer. Times in milliseconds."""

    def __init__(self) -> None:
        self._open: dict[str, str] = {}  # id -> the request that was sent under it
        self._unanswered: OrderedDict[str, float] = OrderedDict()  # id -> when its client was given up

    def claim(self, trace_id: str, request: str, now: float) -> bool:
        """Records that the request is about to be sent under this id. False if the id may have run."""
        self._forget_old(now)
        if trace_id in self._unanswered:
            return False
        return self._open.setdefault(trace_id, request) == request

    def is_claimed_by(self, trace_id: str, request: str) -> bool:
        """Whether this request was sent under the id, or is about to be."""
        return self._open.get(trace_id) == request

    def release(self, trace_id: str, request: str) -> None:
        """The client has its answer, or no server can have run the request: the id may be sent again."""
        if self._open.get(trace_id) == request:
            del self._open[trace_id]

    def abandon(self, trace_id: str, request: str, now: float) -> None:
        """The client has left without an answer, and a server may have run the request."""
        if self._open.get(trace_id) != request:
            return
        del self._open[trace_id]
        self._unanswered[trace_id] = now
        if len(self._unanswered) > MAX_REMEMBERED:
            self._unanswered.popitem(last=False)

    def _forget_old(self, now: float) -> None:
        while self._unanswered and next(iter(self._unanswered.values())) < now - REMEMBERED_MS:
            self._unanswered.popitem(last=False)

    def all(self) -> list[str]:
        """The ids that may not be sent again at present, for a process that replaces this one."""
        return [*self._open, *self._unanswered]

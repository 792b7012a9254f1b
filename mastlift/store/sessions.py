"""Results of commands by session and number, so that a command that is sent again is not applied again.

Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.3. A session discards the results that its
client reports as received. When there are too many sessions, the least recently used one is evicted; use is defined by
the order of commands alone, so that all members and all replays evict the same session.
"""

from __future__ import annotations

from mastlift.store.commands import Result

# Both limits are part of the log format, because they determine the results of commands.
MAX_SESSIONS = 10_000
MAX_RESULTS_PER_SESSION = 256


class Session:
    """The results that a client may still ask for."""

    __slots__ = ("received", "results")

    def __init__(self) -> None:
        self.received = 0  # no result up to this number is stored
        self.results: dict[int, Result] = {}

    def discard_results(self, received: int) -> None:
        """Discard the results up to the number `received`."""
        if received > self.received:
            self.received = received
            for number in [n for n in self.results if n <= received]:
                del self.results[number]

    def store_result(self, number: int, result: Result) -> None:
        """Store the result of command `number`. Beyond MAX_RESULTS_PER_SESSION the lowest number is discarded."""
        self.results[number] = result
        if len(self.results) > MAX_RESULTS_PER_SESSION:
            self.discard_results(min(self.results))


class Sessions:
    """The open sessions by id."""

    def __init__(self) -> None:
        self.by_id: dict[int, Session] = {}  # least recently used first

    def open(self, index: int) -> None:
        """Open a session with the id `index`, evicting the least recently used one if there are too many."""
        self.by_id[index] = Session()
        if len(self.by_id) > MAX_SESSIONS:
            del self.by_id[next(iter(self.by_id))]

    def get(self, session: int) -> Session | None:
        """Return the session and mark it as the most recently used."""
        found = self.by_id.pop(session, None)
        if found is not None:
            self.by_id[session] = found
        return found

"""Decides which of several discovery addresses is called next, without access to sockets or a clock."""

from __future__ import annotations

import random
from collections.abc import Sequence

from proxy.config import Address

# Maximum pause before the next address is called, so that the clients of a failed host do not all call at once.
FAILOVER_SPREAD_S = 0.2
MULTI_FIRST_LINE_TIMEOUT_S = 1.5  # without an answer for this long after the call, the next address is called


class AddressRotation:
    """The addresses in the order in which they are called.

    Each proxy starts at a random address and stays with one that works. Once all have failed in a row, the caller
    decides on the pause, as with a single address.
    """

    def __init__(self, addresses: Sequence[Address], rng: random.Random) -> None:
        self._rng = rng
        self._addresses = list(addresses)
        rng.shuffle(self._addresses)
        self._failed = 0  # consecutive failures

    @property
    def current(self) -> Address:
        return self._addresses[0]

    @property
    def count(self) -> int:
        return len(self._addresses)

    @property
    def has_several(self) -> bool:
        return self.count > 1

    def succeeded(self) -> None:
        self._failed = 0

    def failed(self) -> float | None:
        """Moves on to the next address. Returns the pause before it in seconds, or None if all have failed in a row."""
        self._addresses.append(self._addresses.pop(0))
        self._failed += 1
        if self._failed % len(self._addresses) == 0:
            return None
        return self._rng.uniform(0.0, FAILOVER_SPREAD_S)

    def change(self, addresses: Sequence[Address]) -> bool:
        """Sets the addresses. Returns False if the address in use stays."""
        if set(addresses) == set(self._addresses):
            return False
        in_use, old = self.current, set(self._addresses)
        self._addresses, self._failed = list(addresses), 0
        self._rng.shuffle(self._addresses)
        if len(old) > 1 and in_use in addresses:
            self._addresses.remove(in_use)
            self._addresses.insert(0, in_use)
            return False
        return True

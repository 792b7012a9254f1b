"""Model of the network between zones: message delays and partitions.

A partition drops messages silently, and may affect one direction only.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mastlift.lab.emulator.clock import Clock


@dataclass(frozen=True, slots=True)
class NetworkSpec:
    """One-way delays in seconds, within a zone and between two zones; `jitter`: the largest relative deviation."""

    same_s: float = 0.0002
    cross_s: float = 0.007
    jitter: float = 0.2

    def __post_init__(self) -> None:
        if min(self.same_s, self.cross_s) < 0 or not 0 <= self.jitter < 1:
            raise ValueError("same_s and cross_s must not be negative, and jitter must be in [0, 1)")


@dataclass(slots=True)
class Network:
    """Delivers messages between zones on the emulator's clock. `lost` counts the messages dropped by partitions."""

    clock: Clock
    spec: NetworkSpec
    rng: random.Random
    cuts: set[tuple[int, int]] = field(default_factory=set)  # partitioned zones as (from, to)
    lost: int = 0

    def travel(self, start: int, end: int, call: Callable[[], None]) -> None:
        """Deliver a message between two zones by a call; messages in flight when a partition begins are lost too."""
        mean = self.spec.same_s if start == end else self.spec.cross_s
        delay = mean * self.rng.uniform(1.0 - self.spec.jitter, 1.0 + self.spec.jitter)

        def arrive() -> None:
            if (start, end) in self.cuts:
                self.lost += 1
            else:
                call()

        if (start, end) in self.cuts:
            self.lost += 1
        else:
            self.clock.after(delay, arrive)

    def cut(self, start: int, end: int, both: bool = True) -> None:
        """Partition two zones, in one direction or in `both`."""
        self.cuts.add((start, end))
        if both:
            self.cuts.add((end, start))

    def heal(self) -> None:
        """End all partitions."""
        self.cuts.clear()

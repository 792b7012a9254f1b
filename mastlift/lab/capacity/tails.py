"""Percentiles of latencies, what a proxy adds to them, and what a chain of proxies adds. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


@dataclass(frozen=True, slots=True)
class Latencies:
    """Percentiles of one run, in the unit of its samples."""

    p50: float
    p99: float
    p999: float
    samples: int


def latencies(samples: Sequence[float]) -> Latencies:
    """Raises ValueError for no samples."""
    if not samples:
        raise ValueError("there are no samples")
    p50, p99, p999 = np.percentile(np.array(samples), list(PERCENTILES.values()))
    return Latencies(float(p50), float(p99), float(p999), len(samples))


def added(direct: Latencies, proxied: Latencies) -> Latencies:
    """The difference at each percentile."""
    return Latencies(
        proxied.p50 - direct.p50,
        proxied.p99 - direct.p99,
        proxied.p999 - direct.p999,
        min(direct.samples, proxied.samples),
    )


def queueing(work_ms: float, per_s: float, draws: int, seed: int) -> Latencies:
    """Times in a queue with one server, constant work and Poisson arrivals (M/D/1): what calls would take on a core of
    their own, without any other noise. The waits follow from Lindley's recursion."""
    gaps_ms = np.random.default_rng(seed).exponential(1000.0 / per_s, size=draws)
    steps = np.concatenate(([0.0], np.cumsum(work_ms - gaps_ms)))
    waits = steps - np.minimum.accumulate(steps)
    return latencies((waits + work_ms).tolist())


def chain(direct: Sequence[float], proxied: Sequence[float], hops: int, draws: int, seed: int) -> Latencies:
    """What so many hops add to a call, by resampling: sums of independent draws from the measured distributions.

    Each draw is a latency over the direct median. The same sums of direct calls are taken off at each percentile, so
    that the machine's own noise is not counted as the proxies'."""
    random = np.random.default_rng(seed)
    usual = float(np.median(np.array(direct)))

    def sums(samples: Sequence[float]) -> Latencies:
        drawn = random.choice(np.array(samples) - usual, size=(draws, hops))
        return latencies(drawn.sum(axis=1).tolist())

    return added(sums(direct), sums(proxied))

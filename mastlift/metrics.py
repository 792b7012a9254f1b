"""Counters, gauges and histograms of one process, in the Prometheus text format for `/metrics`."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

DURATION_BUCKETS_S = (
    0.0002,
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)  # upper bounds in seconds


class Metrics:
    """Creates and registers a process's metrics. Names begin with `mastlift_`; times are in seconds, sizes in bytes."""

    content_type = CONTENT_TYPE_PLAIN_0_0_4

    def __init__(self) -> None:
        self._registry = CollectorRegistry()

    def counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"mastlift_{name}", text, labels, registry=self._registry)

    def gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"mastlift_{name}", text, labels, registry=self._registry)

    def duration_histogram(self, name: str, text: str, *labels: str) -> Histogram:
        return Histogram(f"mastlift_{name}_seconds", text, labels, buckets=DURATION_BUCKETS_S, registry=self._registry)

    def text(self) -> bytes:
        return generate_latest(self._registry)

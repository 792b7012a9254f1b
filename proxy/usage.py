"""Watches the resident memory: near the limit, free memory is given back and there is a log line."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter

from proxy.frontend import Frontend
from proxy.memory import MB, HeldMemory, release_free_memory, resident_bytes
from proxy.metrics import ProxyMetrics

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
LOG_INTERVAL_S = 1.0
HIGH_SHARE = 0.85  # of the memory limit; from there on the C library's free memory is given back


class UsageLog:
    """Reads the resident memory at intervals, and keeps the highest value."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        memory_mb: float,
        memory: HeldMemory,
        front: Frontend,
        metrics: ProxyMetrics,
    ) -> None:
        self._loop = loop
        self._limit = memory_mb * MB  # bytes
        self._memory = memory
        self._front = front
        self._highest = 0.0  # bytes
        self._logged_at = -LOG_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None
        self._connect(metrics)

    def _connect(self, metrics: ProxyMetrics) -> None:
        metrics.memory_limit.read = lambda: self._limit
        metrics.memory_resident.read = resident_bytes
        metrics.memory_held.read = lambda: {kind.value: size for kind, size in self._memory.by_kind.items()}
        metrics.connections.read = self._connections

    def _connections(self) -> dict[str, int]:
        """Client connections by state."""
        return dict(Counter(connection.state().value for connection in self._front.connections))

    def start(self) -> None:
        """Logs the limits and what is in use before the first client, and checks from now on."""
        log.info(
            "%.1f MB of memory in use of %.1f, at most %d connections",
            resident_bytes() / MB,
            self._limit / MB,
            self._front.descriptors.limit,
        )
        self._check()

    def stop(self) -> None:
        """Ends the checks and logs the highest value."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        log.info("at most %.1f MB of memory were in use of %.1f", self._highest / MB, self._limit / MB)

    def _check(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
        resident = resident_bytes()
        self._highest = max(self._highest, resident)
        if resident >= HIGH_SHARE * self._limit:
            self._log(resident)
            release_free_memory()

    def _log(self, resident: float) -> None:
        now = self._loop.time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        log.warning(
            "%.1f MB of memory in use of %.1f; client connections: %s; bytes held: %s",
            resident / MB,
            self._limit / MB,
            ", ".join(f"{state} {count}" for state, count in sorted(self._connections().items())) or "none",
            self._memory.text(),
        )

"""Reports of agents, held in the memory of one keeper and never written to the log. The caller supplies the time.

An agent reports to any keeper; a reader of all reports queries every keeper and uses the newest report of each name.
A restarted keeper has no reports until the agents' next ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

MAX_REPORT_BYTES = 4096  # size limit of one report
MAX_REPORTS = 50_000  # per keeper; the least recently updated are evicted first
RETENTION_MS = 3600_000.0  # a report that is not renewed for this long is dropped


class AgedReport(msgspec.Struct, frozen=True):
    """A report with `age_ms`, the time since this keeper received it."""

    name: str
    age_ms: float
    report: msgspec.Raw


@dataclass(slots=True)
class ReportTable:
    """The latest report per topic and name. Times are in milliseconds of a monotonic clock."""

    max_reports: int = MAX_REPORTS
    _reports: dict[tuple[str, str], tuple[float, bytes]] = field(default_factory=dict)  # least recently updated first

    def __len__(self) -> int:
        return len(self._reports)

    def put(self, topic: str, name: str, body: bytes, now: float) -> None:
        self._reports.pop((topic, name), None)
        self._reports[topic, name] = now, body
        self._evict(now)

    def _evict(self, now: float) -> None:
        while self._reports:
            oldest = next(iter(self._reports))
            if len(self._reports) <= self.max_reports and now - self._reports[oldest][0] <= RETENTION_MS:
                return
            del self._reports[oldest]

    def of(self, topic: str, now: float) -> list[AgedReport]:
        """Return the reports of a topic that are within the retention time."""
        return [
            AgedReport(name, now - at, msgspec.Raw(body))
            for (in_topic, name), (at, body) in self._reports.items()
            if in_topic == topic and now - at <= RETENTION_MS
        ]

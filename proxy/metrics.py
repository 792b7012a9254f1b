"""Counters of one proxy process, served by the admin endpoint in the Prometheus text exposition format 0.0.4."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class Counter:
    """A count that only grows, split by the values of one label."""

    name: str
    help: str
    label: str
    values: dict[str, int] = field(default_factory=dict)

    def add(self, value: str) -> None:
        """Increments the counter for this value of the label."""
        self.values[value] = self.values.get(value, 0) + 1

    def lines(self) -> list[str]:
        """Exposition lines. Label values are constants of the program, so they need no escaping."""
        samples = [f'{self.name}{{{self.label}="{value}"}} {count}' for value, count in sorted(self.values.items())]
        return [f"# HELP {self.name} {self.help}", f"# TYPE {self.name} counter", *samples]


@dataclass
class Gauge:
    """A value that is read at the time of a scrape."""

    name: str
    help: str
    read: Callable[[], float] = lambda: 0.0

    def lines(self) -> list[str]:
        """Exposition lines."""
        return [f"# HELP {self.name} {self.help}", f"# TYPE {self.name} gauge", f"{self.name} {self.read():g}"]


@dataclass
class LabelledGauge:
    """Values that are read at the time of a scrape, split by the values of one label."""

    name: str
    help: str
    label: str
    read: Callable[[], dict[str, int]] = dict

    def lines(self) -> list[str]:
        """Exposition lines. Label values are constants of the program, so they need no escaping."""
        samples = [f'{self.name}{{{self.label}="{value}"}} {size}' for value, size in sorted(self.read().items())]
        return [f"# HELP {self.name} {self.help}", f"# TYPE {self.name} gauge", *samples]


class ProxyMetrics:
    """Metrics for staff on call: is the endpoint list current, does the proxy send, why does it refuse requests and
    close connections, and what takes its memory."""

    def __init__(self) -> None:
        self.discovery_calls = Counter(
            "mastlift_proxy_discovery_calls_total", "Calls for the endpoint list, by how they ended.", "outcome"
        )
        self.attempts = Counter("mastlift_proxy_attempts_total", "Attempts at servers, by outcome.", "outcome")
        self.unserved = Counter(
            "mastlift_proxy_unserved_requests_total", "Requests refused or failed, by reason.", "reason"
        )
        self.send_stops = Counter(
            "mastlift_proxy_send_stops_total",
            "Times that sends stopped or went on for want of a current list.",
            "change",
        )
        self.list_age = Gauge(
            "mastlift_proxy_list_age_seconds", "Time since discovery last showed that the list is current."
        )
        self.list_revision = Gauge("mastlift_proxy_list_revision", "Revision of the endpoint list in use.")
        self.sends_stopped = Gauge("mastlift_proxy_sends_stopped", "1 while no attempt begins for want of a list.")
        self.rejected = Counter(
            "mastlift_proxy_rejected_requests_total", "Requests that were rejected by their form, by status.", "status"
        )
        self.closed = Counter(
            "mastlift_proxy_client_connections_closed_total",
            "Client connections that the proxy closed out of turn, by reason.",
            "reason",
        )
        self.not_connected = Counter(
            "mastlift_proxy_failed_connections_total", "Attempts that were never sent, by reason.", "reason"
        )
        self.connections = LabelledGauge(
            "mastlift_proxy_client_connections", "Open client connections, by state.", "state"
        )
        self.memory_held = LabelledGauge("mastlift_proxy_held_bytes", "Memory held for peers, by kind.", "kind")
        self.memory_resident = Gauge("mastlift_proxy_resident_memory_bytes", "Resident memory of the process.")
        self.memory_limit = Gauge("mastlift_proxy_memory_limit_bytes", "Memory over which the process is killed.")

    def text(self) -> str:
        """All metrics in the exposition format."""
        parts = (
            self.discovery_calls,
            self.attempts,
            self.unserved,
            self.send_stops,
            self.list_age,
            self.list_revision,
            self.sends_stopped,
            self.rejected,
            self.closed,
            self.not_connected,
            self.connections,
            self.memory_held,
            self.memory_resident,
            self.memory_limit,
        )
        return "\n".join(line for part in parts for line in part.lines())

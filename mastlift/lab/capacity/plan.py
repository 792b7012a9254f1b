"""The size that the system is designed for, and the limits that hold at that size."""

from __future__ import annotations

from dataclasses import dataclass

PROXIES = 900  # one beside each backend
SERVICES = 98
CALLS_PER_S = 250_000
LONGEST_CHAIN = 13
REGIONS = 2
ZONES = 5  # of both regions together
CHANGES_PER_DAY = 550
CONTROL_MACHINES = 5

ADDED_P99_MS = 1.0
CHANGE_IN_FORCE_S = 6.0
PROXY_CONTROL_CORE_SHARE = 0.026
PROXY_CONTROL_MEMORY_MB = 64.0
PROXY_CONTROL_KB_PER_S = 4.0

SECONDS_PER_DAY = 86_400
CHANGES_PER_S = CHANGES_PER_DAY / SECONDS_PER_DAY
CALLS_PER_PROXY_PER_S = CALLS_PER_S / PROXIES


@dataclass(frozen=True, slots=True)
class FleetSize:
    """One point of the model's input. `changes` is a rate per second."""

    proxies: float
    services: float
    changes: float


PLANNED = FleetSize(PROXIES, SERVICES, CHANGES_PER_S)

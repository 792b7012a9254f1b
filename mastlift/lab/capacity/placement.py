"""Which service, zone and rack each backend of a fleet belongs to, and which service its proxy calls. Pure.

The placement of a backend does not depend on the size of the fleet, so that a fleet can grow step by step.
"""

from __future__ import annotations

from dataclasses import dataclass

from mastlift.lab.capacity import plan

LARGE_EVERY = 5  # each so-manyth backend is of the one large service; every other proxy calls that service
RACK_SIZE = 30
LARGE_SERVICE = 0


@dataclass(frozen=True, slots=True)
class Backend:
    """`calls` is the service that the proxy beside this backend keeps a list of."""

    id: str
    service: int
    zone: int
    rack: int  # counted within the zone
    calls: int


def service_name(number: int) -> str:
    return f"service-{number}"


def place(backends: int, services: int = plan.SERVICES, zones: int = plan.ZONES) -> list[Backend]:
    """So many backends in so many services: one large one, the rest alike; each service spread over the zones."""
    placed: list[Backend] = []
    members = [0] * services
    in_zone = [0] * zones
    small = 0
    for number in range(backends):
        if services == 1 or number % LARGE_EVERY == 0:
            service = LARGE_SERVICE
        else:
            service = 1 + small % (services - 1)
            small += 1
        zone = (members[service] + service) % zones
        calls = LARGE_SERVICE if number % 2 else (service + 1) % services
        placed.append(Backend(f"b{number}", service, zone, in_zone[zone] // RACK_SIZE, calls))
        members[service] += 1
        in_zone[zone] += 1
    return placed

"""Load-balancing decisions: server selection, admission at the entry, retries and backup requests."""

from balancing import api
from balancing.balancer import Balancer

__all__ = ["Balancer", "api"]

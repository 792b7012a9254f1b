"""Limits how many servers lease expiry may remove from a list. Performs no I/O.

If many leases of one list expire together, the network to the keepers has most likely failed rather than the servers.
Expiry therefore removes at most a share of a list within one lease time. If more servers of a tier have expired, all
of them stay listed (are held) until their number is within the share again. Deregistration by a server and removal by
an operator are separate commands and are not limited. Times are milliseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ExpiredLease:
    """An expired lease with its duration, and the tiers in which it has servers."""

    lease: int
    ttl_ms: int
    tiers: tuple[str, ...]


@dataclass(slots=True)
class RemovalLimiter:
    """Lets at most `share` of each list, but at least one server, expire within one lease time.

    `held` is the number of expired servers that stay listed, by tier.
    """

    share: float
    held: dict[str, int] = field(default_factory=dict)
    # By lease: the end of the period in which it counts against the share, and its tiers.
    _released: dict[int, tuple[float, tuple[str, ...]]] = field(default_factory=dict)

    def may_end(self, now: float, due: Iterable[ExpiredLease], listed: Mapping[str, int]) -> set[int]:
        """Returns the leases that may end now.

        `due` must contain all leases that have expired and still exist, on each call. `listed` is the number of listed
        servers of each tier.
        """
        due = list(due)
        self._released = {lease: release for lease, release in self._released.items() if release[0] > now}
        # Their servers are still listed, even if the leases are released: their end is not committed yet.
        still_due = {expired_lease.lease for expired_lease in due}
        recent, removed = Counter[str](), Counter[str]()
        for lease, (_, tiers) in self._released.items():
            recent.update(tiers)
            if lease not in still_due:
                removed.update(tiers)
        waiting = [expired_lease for expired_lease in due if expired_lease.lease not in self._released]
        expired = Counter(tier for expired_lease in waiting for tier in expired_lease.tiers)
        room = {
            tier: max(1, int(self.share * (listed.get(tier, 0) + removed[tier]))) - recent[tier] for tier in expired
        }
        self.held = {tier: count for tier, count in expired.items() if count > room[tier]}
        released = {lease for lease in self._released}
        for expired_lease in waiting:
            if not any(tier in self.held for tier in expired_lease.tiers):
                self._released[expired_lease.lease] = now + expired_lease.ttl_ms, expired_lease.tiers
                released.add(expired_lease.lease)
        return released

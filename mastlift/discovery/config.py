"""The settings of a keeper that serves lists: the section `[discovery]` in addition to the keeper's own."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from mastlift.keeper.config import Count
from mastlift.keeper.config import Settings as KeeperSettings
from mastlift.settings import BadSettings, Section, address

Seconds = Annotated[float, Meta(gt=0)]


class DiscoverySection(Section, frozen=True):
    """The section `[discovery]`.

    `tiers` maps each tier to its own listen address, because a proxy's call does not name the tier it wants.
    """

    tiers: dict[str, str]
    share: Annotated[float, Meta(gt=0, le=1)] = 0.3  # of a list that lease expiry may remove within one lease time
    # Without contact with the leader for this long, the keeper ends its watches and serves no lists.
    cut_off_s: Seconds = 2.0
    wait_s: Seconds = 1.0  # the longest wait to catch up with an index that this keeper has not reached
    whole_per_s: Count = 200  # average rate of whole lists; calls above it get 503 with Retry-After
    whole_at_once: Count = 100  # burst of whole lists
    watches: Count = 5000  # the most open watches
    slow_kb: Count = 1024  # KiB of unsent data above which a watch gets no changes until all of it is sent
    slow_s: Seconds = 30.0  # after this long above the limit, the watch is dropped


class Settings(KeeperSettings, frozen=True):
    discovery: DiscoverySection | None = None


def check(settings: Settings) -> None:
    """Checks the names and addresses of the tiers. Raises BadSettings."""
    section = settings.discovery
    if section is None:
        return
    if not section.tiers:
        raise BadSettings('discovery.tiers: it names no tier; write [discovery.tiers] with TIER = "HOST:PORT"')
    taken = {settings.keeper.listen: "keeper.listen"}
    for tier, where in section.tiers.items():
        if not tier or "/" in tier or not tier.isprintable():
            raise BadSettings(f"discovery.tiers: '{tier}' is no tier's name: some printable characters, no /")
        address(where, f"discovery.tiers.{tier}")
        if not where.endswith(":0") and taken.setdefault(where, f"discovery.tiers.{tier}") != f"discovery.tiers.{tier}":
            raise BadSettings(f"discovery.tiers.{tier}: {where} is taken by {taken[where]}")

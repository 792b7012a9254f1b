"""Runs a keeper, with the list service in the same process if it is configured."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from pathlib import Path

from mastlift.discovery.config import Settings, check
from mastlift.discovery.service import serve_lists
from mastlift.durable.disk import Disk
from mastlift.keeper import process
from mastlift.keeper.service import Service
from mastlift.metrics import Metrics
from mastlift.settings import load


def run_keeper(config: Path, new_group: bool = False, wrap: Callable[[Disk], Disk] = lambda disk: disk) -> None:
    """Runs a keeper until it is stopped (`mastlift keeper run`).

    `wrap` may replace the disk. Raises BadSettings, and what `keeper.process.run` raises.
    """
    settings = load(config, Settings)
    check(settings)
    section = settings.discovery
    if section is None:
        process.run(settings, config.parent, wrap, new_group)
        return

    def beside(service: Service, metrics: Metrics) -> contextlib.AbstractAsyncContextManager[object]:
        return serve_lists(service, section, metrics)

    process.run(settings, config.parent, wrap, new_group, beside)

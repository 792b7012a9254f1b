"""`bench NAME`: figures as ratios, both sides taken in one run. The names in the results don't change."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from typing import cast

from mastlift.lab.plots import Report

Figures = dict[str, float | int | str]
Measure = Callable[[bool, Callable[[str], None], Report], Figures]
NAMES = {"durable": "the log, its recovery and the keeper before it, against raw files and a bare echo",
         "consensus": "a group of keepers against one alone, its failovers, and duties changing hands",
         "discovery": "lists told to many watches against bare writes, a herd's way back, and renewals",
         "config": "configuration from a put to in force at all agents, also across an election, and an agent's cost"}


def load(name: str) -> Measure:
    """The bench of that name: call it with (quick, tell, report). Raises KeyError."""
    NAMES[name]
    module = import_module(f"mastlift.lab.benches.{name}")
    return cast(Measure, module.measure)

"""A short run of the seeded soak; the long one is started by hand: `python -m mastlift lab crowd-soak --seeds 60`."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mastlift.lab.crowdsoak import KILL_AFTER_S, Signal, draw, soak

SEEDS = range(101, 106)
LATE_SEED = 251


@pytest.mark.parametrize("seed", SEEDS)
def test_a_proxy_that_is_killed_ended_and_reloaded_under_crowds_keeps_its_limits(seed: int, tmp_path: Path) -> None:
    outcome = asyncio.run(soak(seed, tmp_path))
    assert not outcome.broken, str(outcome)
    assert outcome.answers["200"] > 0, str(outcome)


def test_sound_requests_are_in_time_beside_a_flood_and_a_crowd_that_reads_no_answers(tmp_path: Path) -> None:
    outcome = asyncio.run(soak(LATE_SEED, tmp_path))
    assert not outcome.broken, str(outcome)


def test_the_seeds_draw_rows_of_all_signals_with_and_without_a_crowd() -> None:
    plans = [draw(seed) for seed in range(60)]
    assert {what for plan in plans for _, what in plan.signals} == set(Signal)
    assert {len(plan.signals) for plan in plans} >= {1, 2, 3, 4}
    assert {plan.crowd.clients == 0 for plan in plans} == {True, False}
    assert {plan.flood is None for plan in plans} == {True, False}
    assert pytest.approx(3.0 + 0.7) == KILL_AFTER_S

"""Report 887579: hundreds of clients that are slow, stop half way or send much, with the least memory of the pages."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mastlift.lab.clientcrowd import Plan, Trouble, play

FLOODS = [trouble for trouble in Trouble if trouble.name.startswith("FLOOD")]
PLANS = {
    **{trouble.value: Plan((trouble,)) for trouble in Trouble if trouble not in FLOODS},
    "stop half way through a large request, no server in reach": Plan(
        (Trouble.HALF_UPLOAD,), servers_out_of_reach=True
    ),
    "write a large request slowly, servers read slowly": Plan((Trouble.SLOW_UPLOAD,), servers_read_pause_s=0.1),
    "each does something else": Plan(tuple(trouble for trouble in Trouble if trouble not in FLOODS)),
}


@pytest.mark.parametrize("name", PLANS)
def test_a_crowd_of_clients_does_not_take_the_proxy_over_its_memory(name: str, tmp_path: Path) -> None:
    plan = PLANS[name]
    outcome = asyncio.run(play(plan, tmp_path))
    assert outcome.is_alive, str(outcome)
    assert outcome.memory_mb <= plan.memory_mb, str(outcome)
    assert outcome.lost() == 0, str(outcome)


@pytest.mark.parametrize("trouble", FLOODS, ids=lambda trouble: trouble.value)
def test_a_client_that_sends_at_full_speed_does_not_keep_the_others_from_their_answers(
    trouble: Trouble, tmp_path: Path
) -> None:
    plan = Plan((trouble,), clients=1)
    outcome = asyncio.run(play(plan, tmp_path))
    assert outcome.is_alive, str(outcome)
    assert outcome.memory_mb <= plan.memory_mb, str(outcome)
    assert set(outcome.answers) == {"200"}, str(outcome)

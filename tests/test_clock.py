"""Times on the event loop's clock that lie a bound apart to the millisecond."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from proxy.clock import has_elapsed

STEPS_PER_S = 1000


@given(st.integers(0, 10**9), st.integers(1, 60_000))
def test_a_duration_has_elapsed_at_its_last_step_and_not_one_before(since: int, duration: int) -> None:
    since_s, duration_s = since / STEPS_PER_S, duration / STEPS_PER_S
    assert has_elapsed(since_s, duration_s, (since + duration) / STEPS_PER_S)
    assert not has_elapsed(since_s, duration_s, (since + duration - 1) / STEPS_PER_S)

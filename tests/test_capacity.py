"""The capacity model: the fit, the fleet's placement, and small runs of the load that measures it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastlift.lab.capacity import plan
from mastlift.lab.capacity.plan import FleetSize
from mastlift.lab.capacity.slopes import LinearCost, Observation, TooFewObservations, fit

# --- slopes ---

coefficients = st.floats(-1000.0, 1000.0, allow_nan=False)
SIZES = [FleetSize(proxies, services, changes) for proxies, services, changes in (
    (225, 98, 0), (450, 98, 0), (900, 98, 0), (225, 10, 0), (900, 98, 10), (450, 98, 5))]


def measured(cost: LinearCost, sizes: list[FleetSize]) -> list[Observation]:
    return [Observation(size, cost.at(size)) for size in sizes]


@given(coefficients, coefficients, coefficients, coefficients)
def test_a_fit_of_exact_values_gives_the_formula_back(a: float, b: float, c: float, d: float) -> None:
    true = LinearCost(a, b, c, d, 1.0, 0.0, 0)
    found = fit(measured(true, SIZES))
    scale = max(1.0, *(abs(true.at(size)) for size in SIZES))
    assert found.per_proxy is not None and found.per_service is not None and found.per_change is not None
    assert found.planned == pytest.approx(true.planned, abs=1e-6 * scale)
    assert found.worst_residual <= 1e-6 * scale
    assert found.per_proxy == pytest.approx(b, abs=1e-6 * scale)
    assert found.per_service == pytest.approx(c, abs=1e-6 * scale)
    assert found.per_change == pytest.approx(d, abs=1e-6 * scale)


@given(st.lists(st.floats(-0.01, 0.01), min_size=len(SIZES), max_size=len(SIZES)))
def test_noise_moves_the_planned_value_no_more_than_it_moves_the_points(noise: list[float]) -> None:
    true = LinearCost(1.0, 0.01, 0.02, 0.5, 1.0, 0.0, 0)
    points = [Observation(size, true.at(size) + one) for size, one in zip(SIZES, noise, strict=True)]
    found = fit(points)
    assert abs(found.planned - true.planned) <= 10 * 0.01
    assert found.r_squared <= 1.0 + 1e-9


def test_a_term_that_was_not_varied_has_no_slope_and_does_not_spoil_the_others() -> None:
    true = LinearCost(5.0, 2.0, None, None, 1.0, 0.0, 0)
    found = fit(measured(true, [FleetSize(proxies, 98, 0) for proxies in (225, 450, 900)]))
    assert found.per_service is None and found.per_change is None
    assert found.per_proxy == pytest.approx(2.0)
    assert found.planned == pytest.approx(5.0 + 2.0 * plan.PROXIES)
    assert "services not varied" in found.as_text()


def test_terms_that_only_vary_together_are_counted_once() -> None:
    found = fit([Observation(FleetSize(n, n / 9, 0), 3.0 * n) for n in (225, 450, 900)])
    assert found.per_proxy == pytest.approx(3.0) and found.per_service is None


def test_a_bend_shows_in_the_fit() -> None:
    found = fit([Observation(FleetSize(n, 98, 0), float(n * n)) for n in (225, 450, 900, 1800)])
    assert found.r_squared < 0.99 and found.worst_residual > 1000


def test_one_observation_is_a_constant_and_none_is_refused() -> None:
    found = fit([Observation(FleetSize(900, 98, 0), 7.0)])
    assert found.fixed == pytest.approx(7.0)
    assert (found.r_squared, found.observations) == (1.0, 1)
    with pytest.raises(TooFewObservations):
        fit([])


def test_the_plan_is_the_letters() -> None:
    assert (plan.PLANNED.proxies, plan.PLANNED.services) == (900, 98)
    assert pytest.approx(278, abs=0.5) == plan.CALLS_PER_PROXY_PER_S
    assert plan.PLANNED.changes * plan.SECONDS_PER_DAY == pytest.approx(550)

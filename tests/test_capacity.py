"""The capacity model: the fit, the fleet's placement, and small runs of the load that measures it."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastlift.lab.capacity import plan
from mastlift.lab.capacity.counting import CountingLoop, Traffic
from mastlift.lab.capacity.faults import silence
from mastlift.lab.capacity.fleet import RACK, Change, hollow_fleet, matched
from mastlift.lab.capacity.group import keeper_group
from mastlift.lab.capacity.hollow import Delivery
from mastlift.lab.capacity.honesty import compare
from mastlift.lab.capacity.placement import RACK_SIZE, place, service_name
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

# --- placement ---

@pytest.mark.parametrize("services", [1, 2, 10, plan.SERVICES])
def test_a_fleet_grows_without_moving_anybody(services: int) -> None:
    large, small = place(900, services), place(225, services)
    assert large[:225] == small
    assert len({one.id for one in large}) == 900


def test_the_planned_fleet_has_one_large_service_and_spreads_each_over_the_zones() -> None:
    placed = place(plan.PROXIES)
    members = Counter(one.service for one in placed)
    assert len(members) == plan.SERVICES and members[0] == 180
    assert {members[service] for service in range(1, plan.SERVICES)} <= {7, 8}
    zones = Counter(one.zone for one in placed)
    assert sorted(zones) == list(range(plan.ZONES)) and max(zones.values()) - min(zones.values()) <= 40
    in_zone = Counter((one.service, one.zone) for one in placed)
    assert all(count <= -(-members[service] // plan.ZONES) for (service, _), count in in_zone.items())
    racks = Counter((one.zone, one.rack) for one in placed)
    assert max(racks.values()) == RACK_SIZE


# --- deliveries ---

def test_changes_that_were_published_as_one_are_all_matched_with_it() -> None:
    changes = [Change("s", 11, 1.0, 1.1), Change("s", 12, 1.2, 1.3), Change("s", 14, 2.0, 2.5)]
    deliveries = [Delivery("s", 12, [1.4, 1.5]), Delivery("s", 14, [2.4]), Delivery("t", 11, [0.0])]
    found = matched(changes, deliveries, 6)
    assert [round(one) for one in found.since_sent_ms] == [400, 500, 200, 300, 400]
    assert [round(one) for one in found.since_acknowledged_ms] == [300, 400, 100, 200, 0]
    assert found.expected == 6 and len(found.write_ms) == 3


# --- counting ---

def test_the_loop_counts_what_passes_the_socket_of_any_client() -> None:
    async def talk() -> Traffic:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, CountingLoop)

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while line := await reader.readline():
                writer.write(line * 2)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for _ in range(3):
            writer.write(b"12345\n")
            assert await reader.readexactly(12)
        writer.close()
        server.close()
        return loop.traffic[port]

    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        traffic = runner.run(talk())
    assert (traffic.connections, traffic.messages_out, traffic.bytes_out, traffic.bytes_in) == (1, 3, 18, 36)
    assert 3 <= traffic.messages_in <= 6


# --- hollow clients at real keepers ---

def test_hollow_clients_pass_as_many_messages_and_bytes_as_real_processes(tmp_path: Path) -> None:
    for comparison in asyncio.run(compare(tmp_path, 2, 2.5)).values():
        assert comparison.messages_ratio == pytest.approx(1.0, abs=0.25)
        assert comparison.bytes_ratio == pytest.approx(1.0, abs=0.25)
        assert comparison.hollow.rss_mb < comparison.real.rss_mb


def test_a_hollow_fleet_is_listed_hears_changes_and_falls_silent(tmp_path: Path) -> None:
    async def play() -> None:
        async with keeper_group(tmp_path, 3) as group, hollow_fleet(group, 3, 2000) as fleet:
            await fleet.grow(40)
            state = await fleet.steady(1.0)
            assert (state.proxies, state.watches.count) == (40, 40)
            assert state.registrations.messages_out > 0 and state.leader.calls > state.follower.calls
            changes = await fleet.change(service_name(0), 10.0, 0.5)
            found = await fleet.propagation(changes)
            assert len(found.since_sent_ms) == found.expected == 5 * fleet.watches_of(service_name(0))
            outcome = await silence(fleet, [RACK], 2.0, returns=True)
            assert outcome.gone == outcome.silent == len(fleet.members([RACK]))
            assert not outcome.living_dropped and outcome.back == outcome.silent

    asyncio.run(play())

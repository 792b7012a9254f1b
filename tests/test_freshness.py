"""When what the endpoint list lacks counts as known, and what shows discovery at work. Times are milliseconds."""

from __future__ import annotations

import math

import pytest

from balancing.api import NEWS_DUE_MS, QUEUE_WAIT_MS
from balancing.freshness import AT_WORK_MS, CLOSED_DUE_MS, CallFailure, ListFreshness


def refused_at_once(freshness: ListFreshness, now: float) -> None:
    freshness.call_failed(CallFailure.REFUSED, now - 20.0, now)


def test_what_a_lost_watch_missed_counts_as_known_by_how_it_was_lost() -> None:
    for lose, due in ((lambda f: f.watch_closed(1_000.0), 1_000.0 + CLOSED_DUE_MS),
                      (lambda f: f.watch_fell_silent(1_000.0), 1_000.0 + NEWS_DUE_MS),
                      (lambda f: f.moved(1_000.0, 4_000.0), 5_000.0)):
        freshness = ListFreshness()
        lose(freshness)  # type: ignore[no-untyped-call]
        assert freshness.outdated_in_ms(1_100.0) == math.inf  # nothing shows that discovery can be reached
        refused_at_once(freshness, 1_100.0)
        assert freshness.outdated_in_ms(1_100.0) == due - 1_100.0


def test_the_earliest_of_several_losses_counts_and_a_list_ends_them_all() -> None:
    freshness = ListFreshness()
    freshness.watch_fell_silent(0.0)
    freshness.watch_closed(1_000.0)
    freshness.moved(1_000.0, 4_000.0)
    refused_at_once(freshness, 1_000.0)
    assert freshness.outdated_in_ms(1_000.0) == CLOSED_DUE_MS
    freshness.current()
    assert freshness.outdated_in_ms(9_000.0) == math.inf
    assert freshness.at_work_ms(1_001.0) < 0.0


@pytest.mark.parametrize(("failure", "took_ms", "at_work"), [
    (CallFailure.REFUSED, 20.0, True), (CallFailure.REFUSED, QUEUE_WAIT_MS, False),
    (CallFailure.UNANSWERED, 20.0, False), (CallFailure.UNREACHABLE, 20.0, False)])
def test_only_a_refusal_at_once_shows_discovery_at_work(failure: CallFailure, took_ms: float, at_work: bool) -> None:
    freshness = ListFreshness()
    freshness.watch_closed(0.0)
    freshness.call_failed(failure, 1_000.0, 1_000.0 + took_ms)
    assert (freshness.at_work_ms(1_000.0 + took_ms) == AT_WORK_MS) is at_work


def test_a_discovery_that_no_longer_can_be_reached_is_not_at_work() -> None:
    freshness = ListFreshness()
    freshness.watch_closed(0.0)
    refused_at_once(freshness, 100.0)
    freshness.call_failed(CallFailure.UNREACHABLE, 200.0, 210.0)
    assert freshness.at_work_ms(210.0) < 0.0
    assert freshness.outdated_in_ms(210.0) == math.inf
    refused_at_once(freshness, 5_000.0)
    assert freshness.outdated_in_ms(5_000.0) == CLOSED_DUE_MS - 5_000.0


def test_a_watch_that_broke_or_a_start_counts_only_where_discovery_is_seen_at_work() -> None:
    freshness = ListFreshness()
    freshness.watch_broke(0.0)
    freshness.call_failed(CallFailure.REFUSED, 100.0, 100.0 + QUEUE_WAIT_MS)
    assert freshness.outdated_in_ms(2_100.0) == math.inf
    refused_at_once(freshness, 3_000.0)
    assert freshness.outdated_in_ms(3_000.0) == 100.0 + NEWS_DUE_MS - 3_000.0
    assert freshness.outdated_in_ms(3_000.0 + AT_WORK_MS) == math.inf
    freshness.current()
    refused_at_once(freshness, 4_000.0)
    assert freshness.outdated_in_ms(4_000.0) == math.inf


@pytest.mark.parametrize("failure", [CallFailure.UNREACHABLE, CallFailure.UNANSWERED, CallFailure.REFUSED])
def test_a_call_that_may_have_found_discovery_down_puts_off_what_a_broken_watch_missed(failure: CallFailure) -> None:
    """Nothing counts as known while discovery can't be reached, and 6 s after its return at the earliest."""
    freshness = ListFreshness()
    freshness.watch_broke(0.0)
    for asked_at in (1_000.0, 5_000.0):
        freshness.call_failed(failure, asked_at, asked_at + QUEUE_WAIT_MS)
    refused_at_once(freshness, 8_000.0)
    assert freshness.outdated_in_ms(8_000.0) == 5_000.0 + NEWS_DUE_MS - 8_000.0


def test_a_call_that_found_discovery_down_puts_off_nothing_that_a_closed_watch_hid() -> None:
    freshness = ListFreshness()
    freshness.watch_closed(0.0)
    freshness.call_failed(CallFailure.UNANSWERED, 1_000.0, 1_500.0)
    refused_at_once(freshness, 1_600.0)
    assert freshness.outdated_in_ms(1_600.0) == CLOSED_DUE_MS - 1_600.0


def test_an_outage_that_refuses_at_once_from_its_first_call_on_is_not_taken_for_a_full_queue() -> None:
    freshness = ListFreshness()
    freshness.watch_broke(0.0)
    for now in range(100, 20_000, 500):
        refused_at_once(freshness, float(now))
        assert freshness.outdated_in_ms(float(now)) == math.inf

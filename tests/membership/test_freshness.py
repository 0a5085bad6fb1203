"""Whether the endpoint list may be acted on: starts, silence, outages, pauses, in simulated time."""

from __future__ import annotations

import pytest

from beaconhinge.membership.freshness import (
    AGENT_PROCESS_PAUSE_S,
    LIST_MAX_AGE_S,
    UNKNOWN_MAX_S,
    ListFreshness,
    ListState,
)

NOTIFIED_AFTER, DRAIN_GRACE = 6.0, 0.4  # seconds, as the operators have them


def running(freshness: ListFreshness, since: float, until: float) -> None:
    """It runs all the while, as its timer says."""
    steps = int((until - since) / 0.15)
    for step in range(steps + 1):
        assert not freshness.mark_running(since + step * 0.15)
    freshness.mark_running(until)


@pytest.mark.parametrize("pushed", [False, True])
def test_list_is_unknown_at_the_start_until_discovery_has_answered(pushed: bool) -> None:
    """It served by its configured list, however old, for up to 5 s before it asked."""
    freshness = ListFreshness(pushed, 100.0)
    assert freshness.state(100.0) is ListState.UNKNOWN
    running(freshness, 100.0, 101.0)
    assert freshness.state(101.0) is ListState.UNKNOWN
    freshness.handle_answer(call_started_s=100.5, now=101.0)
    assert freshness.state(101.0) is ListState.CURRENT


def test_list_is_current_until_missed_changes_count_as_notified() -> None:
    freshness = ListFreshness(False, 0.0)
    freshness.handle_answer(0.0, 0.1)
    running(freshness, 0.1, 0.1 + LIST_MAX_AGE_S)
    assert freshness.state(0.1 + LIST_MAX_AGE_S) is ListState.CURRENT
    assert LIST_MAX_AGE_S <= NOTIFIED_AFTER + DRAIN_GRACE
    assert freshness.state(0.2 + LIST_MAX_AGE_S) is ListState.UNKNOWN


def test_service_continues_while_discovery_is_down_and_not_for_lack_of_one_answer() -> None:
    freshness = ListFreshness(False, 0.0)
    running(freshness, 0.0, 1.0)
    # An overloaded discovery answers with 503.
    freshness.handle_failure(call_started_s=0.9, now=1.0, refused=False, was_watch=False)
    assert freshness.state(1.0) is ListState.UNKNOWN
    # A watch breaks for many reasons.
    freshness.handle_failure(call_started_s=0.5, now=1.0, refused=True, was_watch=True)
    assert freshness.state(1.0) is ListState.UNKNOWN
    freshness.handle_failure(call_started_s=0.9, now=1.0, refused=True, was_watch=False)
    assert freshness.state(1.0) is ListState.UNKNOWN  # one call may have met a fault of its own
    freshness.handle_failure(call_started_s=1.1, now=1.2, refused=True, was_watch=False)
    assert freshness.state(1.2) is ListState.UNREACHABLE


def test_process_that_has_had_an_answer_continues_while_its_calls_are_refused() -> None:
    """In an outage calls end with 503 after a while; two hundred held all their jobs back."""
    freshness = ListFreshness(False, 0.0)
    freshness.handle_answer(0.0, 0.1)
    running(freshness, 0.1, 6.0)
    freshness.handle_failure(call_started_s=4.2, now=6.0, refused=False, was_watch=False)
    running(freshness, 6.0, 11.0)
    assert freshness.state(11.0) is ListState.UNREACHABLE


def test_silent_discovery_delays_work_for_a_bounded_time() -> None:
    freshness = ListFreshness(False, 0.0)
    running(freshness, 0.0, UNKNOWN_MAX_S)
    assert freshness.state(UNKNOWN_MAX_S - 0.1) is ListState.UNKNOWN
    assert freshness.state(UNKNOWN_MAX_S) is ListState.UNREACHABLE


@pytest.mark.parametrize("stopped", [7.0, 20.0, 3600.0])
def test_list_is_unknown_after_a_pause_whatever_failed_before_it(stopped: float) -> None:
    freshness = ListFreshness(False, 0.0)
    freshness.handle_answer(0.0, 0.1)
    freshness.handle_failure(call_started_s=0.2, now=0.3, refused=True, was_watch=False)
    running(freshness, 0.1, 0.4)
    back = 0.4 + stopped
    assert freshness.mark_running(back)
    assert freshness.state(back) is ListState.UNKNOWN
    freshness.handle_answer(call_started_s=0.35, now=back)  # written while it stood still: as old as that
    freshness.handle_failure(call_started_s=0.35, now=back, refused=True, was_watch=False)
    assert freshness.state(back) is ListState.UNKNOWN
    freshness.handle_answer(call_started_s=back, now=back + 0.05)
    assert freshness.state(back + 0.05) is ListState.CURRENT


def test_shorter_pause_makes_the_list_unknown_where_an_agent_pushes_it() -> None:
    freshness = ListFreshness(True, 0.0)
    freshness.handle_answer(0.0, 0.1)
    running(freshness, 0.1, 1.0)
    assert freshness.mark_running(1.0 + AGENT_PROCESS_PAUSE_S)
    assert freshness.state(1.0 + AGENT_PROCESS_PAUSE_S) is ListState.UNKNOWN
    assert AGENT_PROCESS_PAUSE_S < DRAIN_GRACE

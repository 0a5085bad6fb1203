"""Whether work may be sent by the endpoint list: starts, silence, outages and pauses, in simulated time."""

from __future__ import annotations

import pytest

from beaconhinge.membership.freshness import (
    AGENT_PROCESS_PAUSE_S,
    LIST_MAX_AGE_S,
    UNKNOWN_MAX_S,
    FreshnessState,
    ListFreshness,
)

# The operators' rules: the time until a change counts as notified, and how long after that a job may still be
# sent to a draining worker.
NOTIFIED_AFTER_S, DRAIN_GRACE_S = 6.0, 0.4


def run_without_pause(freshness: ListFreshness, since: float, until: float) -> None:
    """Report every 0.15 s that the process runs."""
    steps = int((until - since) / 0.15)
    for step in range(steps + 1):
        assert not freshness.mark_running(since + step * 0.15)
    freshness.mark_running(until)


@pytest.mark.parametrize("pushed", [False, True])
def test_list_is_unknown_at_the_start_until_discovery_has_answered(pushed: bool) -> None:
    """A process sent jobs by its configured list, however old, for up to 5 s before it called discovery."""
    freshness = ListFreshness(pushed, 100.0)
    assert freshness.state(100.0) is FreshnessState.UNKNOWN
    run_without_pause(freshness, 100.0, 101.0)
    assert freshness.state(101.0) is FreshnessState.UNKNOWN
    freshness.handle_answer(call_started_s=100.5, now=101.0)
    assert freshness.state(101.0) is FreshnessState.CURRENT


def test_list_is_current_until_missed_changes_count_as_notified() -> None:
    freshness = ListFreshness(False, 0.0)
    freshness.handle_answer(0.0, 0.1)
    run_without_pause(freshness, 0.1, 0.1 + LIST_MAX_AGE_S)
    assert freshness.state(0.1 + LIST_MAX_AGE_S) is FreshnessState.CURRENT
    assert LIST_MAX_AGE_S <= NOTIFIED_AFTER_S + DRAIN_GRACE_S
    assert freshness.state(0.2 + LIST_MAX_AGE_S) is FreshnessState.UNKNOWN


def test_list_is_used_only_if_refusals_show_discovery_to_be_down() -> None:
    """A process without an answer must not take an overloaded discovery for one that is down."""
    freshness = ListFreshness(False, 0.0)
    run_without_pause(freshness, 0.0, 1.0)
    # An overloaded discovery answers with 503.
    freshness.handle_failure(call_started_s=0.9, now=1.0, refused=False, was_watch=False)
    assert freshness.state(1.0) is FreshnessState.UNKNOWN
    # A watch breaks for many reasons.
    freshness.handle_failure(call_started_s=0.5, now=1.0, refused=True, was_watch=True)
    assert freshness.state(1.0) is FreshnessState.UNKNOWN
    freshness.handle_failure(call_started_s=0.9, now=1.0, refused=True, was_watch=False)
    # A single refusal may be a fault of that connection.
    assert freshness.state(1.0) is FreshnessState.UNKNOWN
    freshness.handle_failure(call_started_s=1.1, now=1.2, refused=True, was_watch=False)
    assert freshness.state(1.2) is FreshnessState.UNREACHABLE


def test_process_that_has_had_an_answer_continues_while_calls_fail() -> None:
    """In an outage calls end with 503 after a while; two hundred dispatchers delayed all their jobs then."""
    freshness = ListFreshness(False, 0.0)
    freshness.handle_answer(0.0, 0.1)
    run_without_pause(freshness, 0.1, 6.0)
    freshness.handle_failure(call_started_s=4.2, now=6.0, refused=False, was_watch=False)
    run_without_pause(freshness, 6.0, 11.0)
    assert freshness.state(11.0) is FreshnessState.UNREACHABLE


def test_silent_discovery_delays_work_for_a_bounded_time() -> None:
    freshness = ListFreshness(False, 0.0)
    run_without_pause(freshness, 0.0, UNKNOWN_MAX_S)
    assert freshness.state(UNKNOWN_MAX_S - 0.1) is FreshnessState.UNKNOWN
    assert freshness.state(UNKNOWN_MAX_S) is FreshnessState.UNREACHABLE


@pytest.mark.parametrize("stopped", [7.0, 20.0, 3600.0])
def test_list_is_unknown_after_a_pause_whatever_failed_before_it(stopped: float) -> None:
    """Answers and failures of calls from before a pause of the process show nothing about the time after it."""
    freshness = ListFreshness(False, 0.0)
    freshness.handle_answer(0.0, 0.1)
    freshness.handle_failure(call_started_s=0.2, now=0.3, refused=True, was_watch=False)
    run_without_pause(freshness, 0.1, 0.4)
    back = 0.4 + stopped
    assert freshness.mark_running(back)
    assert freshness.state(back) is FreshnessState.UNKNOWN
    freshness.handle_answer(call_started_s=0.35, now=back)  # may be as old as the pause
    freshness.handle_failure(call_started_s=0.35, now=back, refused=True, was_watch=False)
    assert freshness.state(back) is FreshnessState.UNKNOWN
    freshness.handle_answer(call_started_s=back, now=back + 0.05)
    assert freshness.state(back + 0.05) is FreshnessState.CURRENT


def test_shorter_pause_makes_the_list_unknown_where_an_agent_pushes_it() -> None:
    freshness = ListFreshness(True, 0.0)
    freshness.handle_answer(0.0, 0.1)
    run_without_pause(freshness, 0.1, 1.0)
    assert freshness.mark_running(1.0 + AGENT_PROCESS_PAUSE_S)
    assert freshness.state(1.0 + AGENT_PROCESS_PAUSE_S) is FreshnessState.UNKNOWN
    assert AGENT_PROCESS_PAUSE_S < DRAIN_GRACE_S

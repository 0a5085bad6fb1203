"""Whether the believed list may be acted on: starts, silence, outages, stalls, in made-up time."""

from __future__ import annotations

import pytest

from beaconhinge.membership.freshness import (
    CURRENT_FOR,
    STOOD_STILL_AGENT,
    UNKNOWN_MOST,
    Freshness,
    ListState,
)

NOTIFIED_AFTER, DRAIN_GRACE = 6.0, 0.4  # seconds, as the operators have them


def running(freshness: Freshness, since: float, until: float) -> None:
    """It runs all the while, as its timer says."""
    steps = int((until - since) / 0.15)
    for step in range(steps + 1):
        assert not freshness.ran(since + step * 0.15)
    freshness.ran(until)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_start_knows_nothing_until_discovery_has_spoken(pushed: bool) -> None:
    """It served by its configured list, however old, for up to 5 s before it asked."""
    freshness = Freshness(pushed, 100.0)
    assert freshness.state(100.0) is ListState.UNKNOWN
    running(freshness, 100.0, 101.0)
    assert freshness.state(101.0) is ListState.UNKNOWN
    freshness.heard(began=100.5, now=101.0)
    assert freshness.state(101.0) is ListState.CURRENT


def test_a_list_is_current_until_what_was_missed_counts_as_notified() -> None:
    freshness = Freshness(False, 0.0)
    freshness.heard(0.0, 0.1)
    running(freshness, 0.1, 0.1 + CURRENT_FOR)
    assert freshness.state(0.1 + CURRENT_FOR) is ListState.CURRENT
    assert CURRENT_FOR <= NOTIFIED_AFTER + DRAIN_GRACE
    assert freshness.state(0.2 + CURRENT_FOR) is ListState.UNKNOWN


def test_service_goes_on_while_discovery_is_down_and_not_for_lack_of_one_answer() -> None:
    freshness = Freshness(False, 0.0)
    running(freshness, 0.0, 1.0)
    freshness.failed(began=0.9, now=1.0, down=False, watched=False)  # refused in a crowd
    assert freshness.state(1.0) is ListState.UNKNOWN
    freshness.failed(began=0.5, now=1.0, down=True, watched=True)  # a watch breaks for many reasons
    assert freshness.state(1.0) is ListState.UNKNOWN
    freshness.failed(began=0.9, now=1.0, down=True, watched=False)
    assert freshness.state(1.0) is ListState.UNKNOWN  # one call may have met a fault of its own
    freshness.failed(began=1.1, now=1.2, down=True, watched=False)
    assert freshness.state(1.2) is ListState.UNREACHABLE


def test_one_that_has_had_a_word_goes_on_while_its_calls_are_refused() -> None:
    """In an outage calls end with 503 after a while; two hundred held all their jobs back."""
    freshness = Freshness(False, 0.0)
    freshness.heard(0.0, 0.1)
    running(freshness, 0.1, 6.0)
    freshness.failed(began=4.2, now=6.0, down=False, watched=False)
    running(freshness, 6.0, 11.0)
    assert freshness.state(11.0) is ListState.UNREACHABLE


def test_a_discovery_that_says_nothing_holds_work_up_for_a_bounded_time() -> None:
    freshness = Freshness(False, 0.0)
    running(freshness, 0.0, UNKNOWN_MOST)
    assert freshness.state(UNKNOWN_MOST - 0.1) is ListState.UNKNOWN
    assert freshness.state(UNKNOWN_MOST) is ListState.UNREACHABLE


@pytest.mark.parametrize("stopped", [7.0, 20.0, 3600.0])
def test_one_that_stood_still_knows_nothing_and_failures_of_before_show_nothing(stopped: float) -> None:
    freshness = Freshness(False, 0.0)
    freshness.heard(0.0, 0.1)
    freshness.failed(began=0.2, now=0.3, down=True, watched=False)
    running(freshness, 0.1, 0.4)
    back = 0.4 + stopped
    assert freshness.ran(back)
    assert freshness.state(back) is ListState.UNKNOWN
    freshness.heard(began=0.35, now=back)  # written while it stood still: as old as that
    freshness.failed(began=0.35, now=back, down=True, watched=False)
    assert freshness.state(back) is ListState.UNKNOWN
    freshness.heard(began=back, now=back + 0.05)
    assert freshness.state(back + 0.05) is ListState.CURRENT


def test_what_an_agent_at_hand_has_counts_at_once_so_that_a_short_stop_is_enough() -> None:
    freshness = Freshness(True, 0.0)
    freshness.heard(0.0, 0.1)
    running(freshness, 0.1, 1.0)
    assert freshness.ran(1.0 + STOOD_STILL_AGENT)
    assert freshness.state(1.0 + STOOD_STILL_AGENT) is ListState.UNKNOWN
    assert STOOD_STILL_AGENT < DRAIN_GRACE

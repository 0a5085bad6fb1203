"""How long a request may have waited to be read, in simulated time."""

from __future__ import annotations

import pytest

from beaconhinge.dispatch.arrivals import (
    DRAIN_INPUT_FRACTION,
    DRAIN_INPUT_MAX_S,
    DRAIN_INPUT_MIN_S,
    PROCESS_PAUSE_S,
    ArrivalBounds,
)


def running(until: float) -> ArrivalBounds:
    arrivals = ArrivalBounds(0.0)
    for step in range(1, round(until / 0.1) + 1):
        arrivals.mark_running(step * 0.1)
    return arrivals


def test_request_arrives_when_it_is_read_while_the_process_runs() -> None:
    assert running(10.0).earliest_arrival(10.0) == 10.0
    assert running(10.0).earliest_arrival(10.0 + PROCESS_PAUSE_S) == 10.0 + PROCESS_PAUSE_S
    assert ArrivalBounds(5.0).earliest_arrival(5.0) == 5.0


@pytest.mark.parametrize("first", ["a timer", "the request"])
def test_input_that_came_during_a_pause_counts_from_when_the_process_last_ran(first: str) -> None:
    arrivals = running(10.0)
    if first == "a timer":
        arrivals.mark_running(12.5)
    assert arrivals.earliest_arrival(12.5) == 10.0
    until = 12.5 + DRAIN_INPUT_FRACTION * 2.5
    arrivals.mark_running(12.6)
    assert arrivals.earliest_arrival(until - 0.01) == 10.0  # the rest of what waited
    assert arrivals.earliest_arrival(until + 0.01) == until + 0.01


@pytest.mark.parametrize(
    ("stood", "within"), [(0.3, DRAIN_INPUT_MIN_S), (3.0, 0.3), (3600.0, DRAIN_INPUT_MAX_S)]
)
def test_waiting_input_is_read_within_a_bounded_time(stood: float, within: float) -> None:
    arrivals = running(10.0)
    back = 10.0 + stood
    arrivals.mark_running(back)
    for step in range(int(within / 0.1)):
        arrivals.mark_running(back + step * 0.1)
    assert arrivals.earliest_arrival(back + within - 0.01) == 10.0
    assert arrivals.earliest_arrival(back + within + 0.01) == back + within + 0.01


def test_second_pause_while_input_of_the_first_is_read_hides_nothing() -> None:
    arrivals = running(10.0)
    arrivals.mark_running(17.0)
    arrivals.mark_running(17.4)
    assert arrivals.earliest_arrival(17.5) == 10.0

"""Conversion of workers' start times from wall time to the monotonic clock."""

from __future__ import annotations

import pytest

from beaconhinge.membership.start_times import StartTimes


def test_start_is_converted_unchanged_while_the_wall_clock_does_not_step() -> None:
    starts = StartTimes()
    starts.observe_clocks(11000.0, 11000.0)
    assert starts.to_monotonic("s-1", 10990.0, 11000.0) == 10990.0
    assert starts.to_monotonic("s-2", 0.0, 11000.0) == 0.0
    assert (
        starts.to_monotonic("s-3", 11000.2, 11000.0) == 11000.0
    )  # the clock of the worker's machine is ahead


@pytest.mark.parametrize("step", [-3600.0, -2.0, 2.0, 3600.0])
def test_no_start_is_too_early_after_a_step(step: float) -> None:
    """A start that is too early makes a worker seem warmed up, and it is overloaded."""
    starts = StartTimes()
    starts.observe_clocks(11000.0, 11000.0)
    before = starts.to_monotonic("before", 10990.0, 11000.0)
    starts.observe_clocks(11010.0, 11010.0 + step)
    assert starts.to_monotonic("everywhere", 11008.0 + step, 11010.0) >= 11008.0
    assert starts.to_monotonic("here alone", 11008.0, 11010.0) >= 11008.0
    assert starts.to_monotonic("before", 10990.0, 11010.0) == before == 10990.0


def test_restarted_worker_gets_a_new_start_and_a_removed_one_is_forgotten() -> None:
    starts = StartTimes()
    assert starts.to_monotonic("s-1", 10990.0, 11000.0) == 10990.0
    starts.observe_clocks(11500.0, 11500.0 - 3600.0)
    assert starts.to_monotonic("s-1", 10990.0, 11500.0) == 10990.0
    assert starts.to_monotonic("s-1", 11490.0 - 3600.0, 11500.0) == 11490.0
    starts.retain_only({"s-2"})
    # The age is 510 s by the wall clock before its step, and negative by the one after it; 0 is used.
    assert starts.to_monotonic("s-1", 10990.0, 11500.0) == 11500.0

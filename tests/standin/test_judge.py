"""When the rig's judge takes a dispatcher for notified of a change, by what the run recorded."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from beaconhinge.standin.rig.judge import _notified_at
from beaconhinge.standin.rig.record import RunRecord


def run_with(record: RunRecord) -> Any:
    """A run of one dispatcher that was never down."""
    return SimpleNamespace(
        record=record,
        topology=SimpleNamespace(processes=[SimpleNamespace(down_spans=[])]),
        scenario=SimpleNamespace(pushed_membership=False),
    )


@pytest.mark.parametrize(
    ("changed_at", "notified_at"), [(1.0, 1.0), (2.2, 8.0), (5.0, 8.0), (6.5, 12.0), (13.0, 13.0)]
)
def test_each_time_that_a_watch_fell_silent_counts_for_what_changes_after_it(
    changed_at: float, notified_at: float
) -> None:
    """The latest one alone was kept: what changed after an earlier one was taken for told at once (soak 4547)."""
    record = RunRecord(silent_from={0: [2.0, 6.0]})
    assert _notified_at(run_with(record), 0, changed_at) == notified_at

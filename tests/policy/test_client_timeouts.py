"""Jobs with less time remaining than their client's timeout, and start times that go back."""

from __future__ import annotations

import pytest
from decision_helpers import final_answers
from helpers import job, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.interface import (
    RETRY_FLAG,
    UpdateKind,
)


@pytest.mark.parametrize("marks_retries", ["true", "false"])
@pytest.mark.parametrize("flags", [0, RETRY_FLAG])
def test_time_cut_by_shutdown_is_not_taken_for_a_client_retry(marks_retries: str, flags: int) -> None:
    """A process that shuts down gives a job less time than its client does.

    If that were taken as time since the client's first try, all jobs would be rejected as late.
    """
    dispatcher = started(clients__marksRetry=marks_retries)
    assert sends(dispatcher.handle(100.0, job(1, 2, remaining=4.0, size_hint=0.5)))
    shortened = job(2, 2, remaining=1.5, size_hint=0.5, client_timeout=4.0, flags=flags)
    assert sends(dispatcher.handle(100.1, shortened))
    # The client of this one has waited for 2.5 s already.
    retry = job(3, 2, remaining=1.5, size_hint=0.5, flags=RETRY_FLAG)
    assert final_answers(dispatcher.handle(100.2, retry)) == [interface.Reject]


def test_job_that_would_outlast_the_process_is_rejected_on_arrival() -> None:
    """An admitted job would be lost when the process ends, and may have run.

    If it is rejected at once, another dispatcher can still run it.
    """
    dispatcher = started(clients__marksRetry="true")
    dispatcher.estimates.seconds_per_work = 1.0
    assert final_answers(
        dispatcher.handle(100.0, job(1, remaining=1.0, size_hint=2.0, client_timeout=4.0))
    ) == [interface.Reject]
    assert sends(dispatcher.handle(100.0, job(2, remaining=1.0, size_hint=0.5, client_timeout=4.0)))
    # The client of this one waits no longer itself.
    assert sends(dispatcher.handle(100.0, job(3, remaining=1.0, size_hint=2.0)))


def test_older_start_in_a_newer_list_leaves_a_worker_cold() -> None:
    """A list may contain old data, and after a wall clock is set back a restart has an older time."""
    dispatcher = started(1, rules__warmWithin="10")
    for version, (started_at, slow_start_from) in enumerate(
        [(98.0, 98.0), (40.0, 40.0), (97.5 - 3600, 99.5), (0.0, 0.0)], start=2
    ):
        member = interface.MemberEntry(100, started_at=started_at, slow_start_from=slow_start_from)
        dispatcher.handle(100.0, interface.MembershipUpdate(UpdateKind.CHANGES, version, [member]))
        assert dispatcher.slow_start.is_cold(dispatcher.workers[100])
    assert dispatcher.workers[100].slow_start_from == 99.5

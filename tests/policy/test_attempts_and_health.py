"""Retries after the outcomes of attempts, and the health of workers."""

from __future__ import annotations

import pytest
from decision_helpers import final_answers
from helpers import job, outcome, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.interface import (
    AttemptOutcome,
    NoticeKind,
)


@pytest.mark.parametrize("attempt_outcome", [AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION])
def test_unsafe_job_that_never_ran_is_sent_to_another_worker(attempt_outcome: str) -> None:
    """These outcomes guarantee that the job never started, so it can't run twice."""
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    again = sends(dispatcher.handle(100.1, outcome(1, first, attempt_outcome)))
    assert len(again) == 1
    assert again[0].worker != first


@pytest.mark.parametrize(
    "attempt_outcome",
    [
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.TIMEOUT,
    ],
)
def test_unsafe_job_that_may_have_run_is_failed(attempt_outcome: str) -> None:
    """After these outcomes a retry could run the job a second time."""
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    actions = dispatcher.handle(100.1, outcome(1, first, attempt_outcome))
    assert final_answers(actions) == [interface.Fail]
    assert not sends(actions)


def test_deduplicated_job_is_retried_only_in_its_cell_and_window() -> None:
    """In another cell, or after the window of 2 s, a second run would not be dropped."""
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 1)))[0].worker
    again = sends(dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVER_ERROR)))
    assert [s.worker % 2 for s in again] == [first % 2]
    actions = dispatcher.handle(102.5, outcome(1, again[0].worker, AttemptOutcome.SERVER_ERROR, 1))
    assert final_answers(actions) == [interface.Fail]


def test_failing_worker_is_ejected_and_gets_one_job_on_probation() -> None:
    """A worker that fails fast always has free slots and would attract all traffic."""
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVER_ERROR))
    worker = dispatcher.workers[first]
    assert worker.on_probation
    placed = [s.worker for n in range(2, 9) for s in sends(dispatcher.handle(100.2, job(n)))]
    assert first not in placed
    placed = [s.worker for n in range(9, 30) for s in sends(dispatcher.handle(102.0, job(n)))]
    assert placed.count(first) <= 1


def test_at_most_three_quarters_of_the_fleet_are_ejected() -> None:
    """If nearly all workers fail, the cause is elsewhere, and jobs still need workers."""
    dispatcher = started()
    for number in range(1, 40):
        for send in sends(dispatcher.handle(100.0, job(number, 2))):
            dispatcher.handle(100.0, outcome(number, send.worker, AttemptOutcome.SERVER_ERROR))
    assert sum(w.on_probation for w in dispatcher.workers.values()) == 3


def test_rejection_with_free_slots_is_a_failure_not_overload() -> None:
    """A worker that rejects far below its limit is faulty; the fleet rate must not be cut for it."""
    dispatcher = started()
    for worker in dispatcher.workers.values():
        worker.learned_limit = 4.0
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.0, outcome(1, first, AttemptOutcome.REJECTED, latency=0.001))
    assert dispatcher.workers[first].on_probation
    assert dispatcher.admission.rejections == 0


def test_timeout_is_no_failure_of_a_worker_that_sent_progress() -> None:
    """A job may time out on a healthy worker. Its progress notice shows that the worker runs."""
    dispatcher = started(count=2)
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(102.0, interface.ProgressNotice(1, first, 0, NoticeKind.PROGRESS, 0.3))
    dispatcher.handle(104.0, outcome(1, first, AttemptOutcome.TIMEOUT))
    assert dispatcher.workers[first].failure_rate == 0.0


def test_events_of_unknown_or_ended_requests_are_ignored() -> None:
    dispatcher = started()
    assert dispatcher.handle(100.0, outcome(9, 100, AttemptOutcome.SERVER_ERROR)) == []
    assert dispatcher.handle(100.0, interface.ClientDisconnected(9)) == []
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.1, interface.ClientDisconnected(1))
    late = dispatcher.handle(100.2, outcome(1, first, AttemptOutcome.SERVER_ERROR))
    assert not sends(late)
    assert final_answers(late) == []
    assert dispatcher.workers[first].in_flight == 0


def test_start_reported_with_the_answer_leaves_speed_finite() -> None:
    """The run time from start to answer is then 0, and so would be the worker's time per work."""
    dispatcher = started(count=2, familyInfo__tellsStart="true")
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.5, interface.ProgressNotice(1, first, 0, NoticeKind.STARTED))
    dispatcher.handle(100.5, outcome(1, first, AttemptOutcome.SERVED))
    assert dispatcher.workers[first].seconds_per_work > 0
    assert sends(dispatcher.handle(100.6, job(2)))

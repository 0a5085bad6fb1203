"""Decisions on attempts and health."""

from __future__ import annotations

import pytest
from decision_helpers import finals
from helpers import job, outcome, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.interface import (
    AttemptOutcome,
    NoticeKind,
)


@pytest.mark.parametrize("what", [AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION])
def test_proven_unrun_fragile_goes_elsewhere(what: str) -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    again = sends(dispatcher.handle(100.1, outcome(1, first, what)))
    assert len(again) == 1
    assert again[0].worker != first


@pytest.mark.parametrize(
    "what",
    [
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.TIMEOUT,
    ],
)
def test_fragile_that_may_have_run_is_aborted(what: str) -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    actions = dispatcher.handle(100.1, outcome(1, first, what))
    assert finals(actions) == [interface.Fail]
    assert not sends(actions)


def test_keyed_stays_in_its_cell_and_window() -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 1)))[0].worker
    again = sends(dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVER_ERROR)))
    assert [s.worker % 2 for s in again] == [first % 2]
    actions = dispatcher.handle(102.5, outcome(1, again[0].worker, AttemptOutcome.SERVER_ERROR, 1))
    assert finals(actions) == [interface.Fail]


def test_a_fast_failer_is_benched_and_returns_by_single_trials() -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVER_ERROR))
    worker = dispatcher.workers[first]
    assert worker.on_probation
    placed = [s.worker for n in range(2, 9) for s in sends(dispatcher.handle(100.2, job(n)))]
    assert first not in placed
    placed = [s.worker for n in range(9, 30) for s in sends(dispatcher.handle(102.0, job(n)))]
    assert placed.count(first) <= 1


def test_never_more_than_three_quarters_of_the_fleet_are_benched() -> None:
    dispatcher = started()
    for number in range(1, 40):
        for send in sends(dispatcher.handle(100.0, job(number, 2))):
            dispatcher.handle(100.0, outcome(number, send.worker, AttemptOutcome.SERVER_ERROR))
    assert sum(w.on_probation for w in dispatcher.workers.values()) == 3


def test_a_worker_that_turns_away_with_slots_free_is_at_fault_not_the_load() -> None:
    dispatcher = started()
    for worker in dispatcher.workers.values():
        worker.learned_limit = 4.0
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.0, outcome(1, first, AttemptOutcome.REJECTED, latency=0.001))
    assert dispatcher.workers[first].on_probation
    assert dispatcher.admission.rejections == 0


def test_a_time_out_blames_only_a_worker_that_was_silent() -> None:
    dispatcher = started(count=2)
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(102.0, interface.ProgressNotice(1, first, 0, NoticeKind.PROGRESS, 0.3))
    dispatcher.handle(104.0, outcome(1, first, AttemptOutcome.TIMEOUT))
    assert dispatcher.workers[first].failure_rate == 0.0


def test_unknown_ended_and_gone_requests_are_ignored() -> None:
    dispatcher = started()
    assert dispatcher.handle(100.0, outcome(9, 100, AttemptOutcome.SERVER_ERROR)) == []
    assert dispatcher.handle(100.0, interface.ClientDisconnected(9)) == []
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.1, interface.ClientDisconnected(1))
    late = dispatcher.handle(100.2, outcome(1, first, AttemptOutcome.SERVER_ERROR))
    assert not sends(late)
    assert finals(late) == []
    assert dispatcher.workers[first].in_flight == 0


def test_a_start_told_with_the_answer_does_not_make_a_worker_infinitely_quick() -> None:
    dispatcher = started(count=2, familyInfo__tellsStart="true")
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.5, interface.ProgressNotice(1, first, 0, NoticeKind.STARTED))
    dispatcher.handle(100.5, outcome(1, first, AttemptOutcome.SERVED))
    assert dispatcher.workers[first].seconds_per_work > 0
    assert sends(dispatcher.handle(100.6, job(2)))

"""Where dispatchers may not tell each other of their jobs: workers are asked, and what they say is used."""

from __future__ import annotations

import pytest
from helpers import job, outcome, sends, started

from beaconhinge.gossip.load_view import ReportedLoad
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import AttemptOutcome
from beaconhinge.policy.load_probing import PROBES_PER_REQUEST
from beaconhinge.policy.served_work import ServedWork

ALONE = {
    "groupSize": "6",
    "policyLimits__probes": "true",
    "familyInfo__reportX0": "free_slots",
    "report__source": "answers",
    "report__names": "depth,x0",
}


def asked(actions: list[interface.Action]) -> list[int]:
    return [a.worker for a in actions if isinstance(a, interface.ProbeWorker)]


def told(
    dispatcher: Dispatcher, now: float, worker: int, free: float, depth: float = 0.0
) -> list[interface.Action]:
    return dispatcher.handle(
        now,
        interface.ProbeResult(worker, AttemptOutcome.SERVED, 0.001, {"x0": free, "depth": depth}),
    )


@pytest.mark.parametrize("seed", range(8))
def test_a_job_waits_for_all_that_are_asked_and_goes_to_the_one_with_room(seed: int) -> None:
    """It went with the first answer: to a full worker's neighbour, which nobody had asked."""
    dispatcher = started(PROBES_PER_REQUEST, seed, **ALONE)
    actions = dispatcher.handle(101.0, job(1))
    workers = asked(actions)
    assert len(set(workers)) == PROBES_PER_REQUEST
    assert not sends(actions)
    for worker in workers[:-1]:
        assert not sends(told(dispatcher, 101.002, worker, free=0.0, depth=6.0))
    assert [s.worker for s in sends(told(dispatcher, 101.003, workers[-1], free=3.0))] == [workers[-1]]


def test_who_does_not_answer_holds_a_job_up_for_a_tenth_of_a_second_at_most() -> None:
    dispatcher = started(20, **ALONE)
    workers = asked(dispatcher.handle(101.0, job(1)))
    assert not sends(told(dispatcher, 101.002, workers[0], free=3.0))
    assert [s.worker for s in sends(dispatcher.handle(101.1, interface.TimerFired(TICK_TIMER)))] == [
        workers[0]
    ]
    assert asked(dispatcher.handle(101.2, job(2)))  # and the next one is asked for anew
    late = [told(dispatcher, 101.25, worker, free=0.0) for worker in workers[1:]]
    assert all(len(sends(actions)) <= 1 for actions in late)


@pytest.mark.parametrize(
    "change", [{"policyLimits__probes": "false"}, {"policyLimits__peers": "true"}, {"groupSize": "1"}]
)
def test_nobody_is_asked_where_probes_are_forbidden_or_others_tell_or_there_are_none(
    change: dict[str, str],
) -> None:
    actions = started(20, **{**ALONE, **change}).handle(101.0, job(1))
    assert not asked(actions)
    assert len(sends(actions)) == 1


def test_a_job_that_nobody_can_be_asked_for_is_held_and_ends_in_time() -> None:
    dispatcher = started(0, **ALONE)
    assert dispatcher.handle(101.0, job(1, remaining=2.0)) == []
    ends = [
        a
        for at in range(25)
        for a in dispatcher.handle(101.0 + at / 10, interface.TimerFired(TICK_TIMER))
        if isinstance(a, (interface.Reject, interface.Fail))
    ]
    assert len(ends) == 1


def test_a_report_is_worth_less_the_older_it_is() -> None:
    seen = ReportedLoad()
    for worker in range(10):
        seen.record(100.0, worker, 4.0)
    seen.record(100.0, 3, 9.0)
    now = seen.in_flight_elsewhere(100.0, 3, lasts=2.0, limit=6.0)
    later = seen.in_flight_elsewhere(104.0, 3, lasts=2.0, limit=6.0)
    assert now == 9.0 > later > seen.in_flight_elsewhere(200.0, 3, lasts=2.0, limit=6.0) <= 3.0
    assert seen.is_fresh(100.1, 3)
    assert not seen.is_fresh(101.0, 3)
    assert not seen.is_fresh(100.0, 99)


def test_a_job_withdrawn_without_a_word_from_its_worker_counts_against_that() -> None:
    dispatcher = started(4, groupSize="1")
    dispatcher.estimates.mean_latency_s = 0.5
    [send] = sends(dispatcher.handle(101.0, job(1)))
    dispatcher.handle(103.0, outcome(1, send.worker, AttemptOutcome.CANCELLED))
    assert dispatcher.workers[send.worker].failure_rate > 0


def test_the_part_of_a_class_is_told_where_it_is_small() -> None:
    spent = ServedWork()
    assert spent.minor_share("short") == 0.0  # nothing is known
    for _ in range(300):
        spent.record("short", 0, 1.0, 1.0)
        spent.record("long", 0, 9.0, 1.0)
    assert 0.08 < spent.minor_share("short") < 0.12
    assert spent.minor_share("long") == 0.0  # most of the work: it needs no workers of its own
    for _ in range(600):
        spent.record("short", 0, 1.0, 1.0)
    assert spent.minor_share("short") == 0.0  # the day has changed


def test_long_jobs_leave_some_workers_to_the_shortest_class_in_a_large_group_alone() -> None:
    def bias(size: str) -> tuple[list[float], list[float]]:
        dispatcher = started(200, groupSize=size, requestClasses__0__aim="0.2")
        short, long = dispatcher.settings.classes[0], dispatcher.settings.classes[1]
        for _ in range(100):
            dispatcher.estimates.work_by_class.record(short, 0, 1.0, 1.0)
            dispatcher.estimates.work_by_class.record(long, 0, 9.0, 1.0)
        wishes = []
        for number, cls in enumerate((0, 1)):
            dispatcher.handle(101.0, job(number, cls))
            request = dispatcher.requests.by_id[number]
            wishes.append(
                [dispatcher.router.class_affinity(worker, request) for worker in dispatcher.workers.values()]
            )
        return wishes[0], wishes[1]

    for_short, for_long = bias("200")
    assert 0.12 < sum(like > 1 for like in for_short) / 200 < 0.28  # twice its part of the work
    assert [1 / like for like in for_short] == pytest.approx(for_long)
    assert set(sum(bias("6"), [])) == {1.0}

"""Load probing: without messages among dispatchers, workers are probed and their reports used."""

from __future__ import annotations

import pytest
from helpers import job, outcome, sends, started

from beaconhinge.gossip.load_view import ReportedLoad
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import AttemptOutcome
from beaconhinge.policy.load_probing import PROBES_PER_REQUEST
from beaconhinge.policy.served_work import ServedWork

WITHOUT_PEER_MESSAGES = {
    "groupSize": "6",
    "policyLimits__probes": "true",
    "familyInfo__reportX0": "free_slots",
    "report__source": "answers",
    "report__names": "depth,x0",
}


def probed_workers(actions: list[interface.Action]) -> list[int]:
    return [a.worker for a in actions if isinstance(a, interface.ProbeWorker)]


def probe_result(
    dispatcher: Dispatcher, now: float, worker: int, free: float, depth: float = 0.0
) -> list[interface.Action]:
    return dispatcher.handle(
        now,
        interface.ProbeResult(worker, AttemptOutcome.SERVED, 0.001, {"x0": free, "depth": depth}),
    )


@pytest.mark.parametrize("seed", range(8))
def test_job_waits_for_all_probes_and_uses_the_free_worker(seed: int) -> None:
    """If it were sent after the first result, it would go to another worker, which was not even probed."""
    dispatcher = started(PROBES_PER_REQUEST, seed, **WITHOUT_PEER_MESSAGES)
    actions = dispatcher.handle(101.0, job(1))
    workers = probed_workers(actions)
    assert len(set(workers)) == PROBES_PER_REQUEST
    assert not sends(actions)
    for worker in workers[:-1]:
        assert not sends(probe_result(dispatcher, 101.002, worker, free=0.0, depth=6.0))
    assert [s.worker for s in sends(probe_result(dispatcher, 101.003, workers[-1], free=3.0))] == [
        workers[-1]
    ]


def test_missing_probe_results_delay_a_job_by_one_tick_at_most() -> None:
    """A probe may be lost. A job must not wait for its result until the deadline."""
    dispatcher = started(20, **WITHOUT_PEER_MESSAGES)
    workers = probed_workers(dispatcher.handle(101.0, job(1)))
    assert not sends(probe_result(dispatcher, 101.002, workers[0], free=3.0))
    assert [s.worker for s in sends(dispatcher.handle(101.1, interface.TimerFired(TICK_TIMER)))] == [
        workers[0]
    ]
    assert probed_workers(dispatcher.handle(101.2, job(2)))  # the next job causes new probes
    late = [probe_result(dispatcher, 101.25, worker, free=0.0) for worker in workers[1:]]
    assert all(len(sends(actions)) <= 1 for actions in late)


@pytest.mark.parametrize(
    "change", [{"policyLimits__probes": "false"}, {"policyLimits__peers": "true"}, {"groupSize": "1"}]
)
def test_no_probes_where_forbidden_or_with_peer_messages_or_alone(
    change: dict[str, str],
) -> None:
    actions = started(20, **{**WITHOUT_PEER_MESSAGES, **change}).handle(101.0, job(1))
    assert not probed_workers(actions)
    assert len(sends(actions)) == 1


def test_job_without_any_worker_gets_one_final_answer_in_time() -> None:
    """Without a worker to probe, no probe result would ever end the wait."""
    dispatcher = started(0, **WITHOUT_PEER_MESSAGES)
    assert dispatcher.handle(101.0, job(1, remaining=2.0)) == []
    ends = [
        a
        for at in range(25)
        for a in dispatcher.handle(101.0 + at / 10, interface.TimerFired(TICK_TIMER))
        if isinstance(a, (interface.Reject, interface.Fail))
    ]
    assert len(ends) == 1


def test_load_report_loses_weight_with_age() -> None:
    reports = ReportedLoad()
    for worker in range(10):
        reports.record(100.0, worker, 4.0)
    reports.record(100.0, 3, 9.0)
    now = reports.in_flight_elsewhere(100.0, 3, lasts=2.0, limit=6.0)
    later = reports.in_flight_elsewhere(104.0, 3, lasts=2.0, limit=6.0)
    assert now == 9.0 > later > reports.in_flight_elsewhere(200.0, 3, lasts=2.0, limit=6.0) <= 3.0
    assert reports.is_fresh(100.1, 3)
    assert not reports.is_fresh(101.0, 3)
    assert not reports.is_fresh(100.0, 99)


def test_cancelled_job_of_a_silent_worker_is_a_failure() -> None:
    """A client that leaves early would otherwise hide that the worker hangs."""
    dispatcher = started(4, groupSize="1")
    dispatcher.estimates.mean_latency_s = 0.5
    [send] = sends(dispatcher.handle(101.0, job(1)))
    dispatcher.handle(103.0, outcome(1, send.worker, AttemptOutcome.CANCELLED))
    assert dispatcher.workers[send.worker].failure_rate > 0


def test_minor_share_is_given_only_for_a_minor_class() -> None:
    served = ServedWork()
    assert served.minor_share("short") == 0.0  # no job was served yet
    for _ in range(300):
        served.record("short", 0, 1.0, 1.0)
        served.record("long", 0, 9.0, 1.0)
    assert 0.08 < served.minor_share("short") < 0.12
    assert served.minor_share("long") == 0.0  # it has most of the work, so no workers are reserved for it
    for _ in range(600):
        served.record("short", 0, 1.0, 1.0)
    assert served.minor_share("short") == 0.0  # the mix of jobs has changed


def test_only_large_groups_reserve_workers_for_the_tightest_class() -> None:
    """Jobs with a tight objective are late when they wait behind long ones."""

    def affinities(size: str) -> tuple[list[float], list[float]]:
        dispatcher = started(200, groupSize=size, requestClasses__0__aim="0.2")
        short, long = dispatcher.settings.classes[0], dispatcher.settings.classes[1]
        for _ in range(100):
            dispatcher.estimates.work_by_class.record(short, 0, 1.0, 1.0)
            dispatcher.estimates.work_by_class.record(long, 0, 9.0, 1.0)
        by_class = []
        for number, cls in enumerate((0, 1)):
            dispatcher.handle(101.0, job(number, cls))
            request = dispatcher.requests.by_id[number]
            by_class.append(
                [dispatcher.router.class_affinity(worker, request) for worker in dispatcher.workers.values()]
            )
        return by_class[0], by_class[1]

    for_short, for_long = affinities("200")
    assert 0.12 < sum(affinity > 1 for affinity in for_short) / 200 < 0.28  # twice its share of the work
    assert [1 / affinity for affinity in for_short] == pytest.approx(for_long)
    assert set(sum(affinities("6"), [])) == {1.0}

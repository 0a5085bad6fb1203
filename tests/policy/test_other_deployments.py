"""Behaviour that held by chance on the first deployment and must hold on any.

The cases are unsafe classes without an idempotency key, pushed weights, and clients that retry at once.
"""

from __future__ import annotations

import heapq
from collections import Counter
from itertools import count

import pytest
from helpers import job, members, settings

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import RETRY_FLAG, AttemptOutcome, UpdateKind
from beaconhinge.policy.outlier_detection import MAX_EJECTION_S

HANGING, WORKERS = 100, 9
UNSAFE, CLIENT_TIMEOUT_S = 2, 25.0  # number of the class, and how long its clients wait
SLOTS = 4  # slots of each worker


def weighted_members(weights: list[float]) -> list[interface.MemberEntry]:
    listed = members(WORKERS)
    for member, weight in zip(listed, weights, strict=True):
        member.weight = weight
    return listed


class Simulation:
    """One dispatcher, and workers that need a second for a job. One worker accepts jobs and answers none.

    A worker rejects jobs beyond its slots. Its load reports are `report_age_s` seconds old. Clients of
    rejected jobs retry at once, `retries` times.
    """

    def __init__(
        self, weights: list[float], hangs_for_s: float = 0.0, report_age_s: float = 0.0, retries: int = 0
    ) -> None:
        reports = {
            "report__source": "answers",
            "report__names": "depth,x0",
            "familyInfo__reportX0": "free_slots",
        }
        self.dispatcher = Dispatcher(
            settings(requestClasses__2__hardLimit=str(CLIENT_TIMEOUT_S), **(reports if report_age_s else {})),
            1,
        )
        self.sent: list[tuple[float, int, int]] = []  # time, worker, request
        self.ended: Counter[str] = Counter()
        self.hangs_for_s, self.report_age_s, self.retries = hangs_for_s, report_age_s, retries
        self.runs: list[tuple[int, float, float]] = []  # worker, start and end of a job
        self.retry_counts: dict[int, int] = {}  # number of the client's retry, by request
        self._numbers = count(1_000_000)
        self._order = count()
        self._events: list[tuple[float, int, interface.Event]] = []
        self._feed(100.0, interface.Start())
        self._feed(100.0, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, weighted_members(weights)))

    def run_jobs(self, rate: float, seconds: float) -> None:
        for number in range(int(rate * seconds)):
            self._schedule(
                100.5 + number / rate, job(number + 1, UNSAFE, remaining=CLIENT_TIMEOUT_S, size_hint=1.0)
            )
        while self._events and self._events[0][0] < 100.5 + seconds:
            now, _, event = heapq.heappop(self._events)
            self._feed(now, event)

    def update_list(self, at: float, weights: list[float]) -> None:
        self._schedule(at, interface.MembershipUpdate(UpdateKind.CHANGES, int(at), weighted_members(weights)))

    def _schedule(self, at: float, event: interface.Event) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _running(self, worker: int, at: float) -> int:
        return sum(started_at <= at < ended for runner, started_at, ended in self.runs if runner == worker)

    def _feed(self, now: float, event: interface.Event) -> None:
        for action in self.dispatcher.handle(now, event):
            if isinstance(action, interface.SendAttempt):
                self._run(now, action)
            elif isinstance(action, interface.SetTimer):
                self._schedule(now + action.after, interface.TimerFired(action.token))
            elif isinstance(action, (interface.Reject, interface.Fail)):
                self.ended[type(action).__name__] += 1
                retry_count = self.retry_counts.get(action.request, 0)
                if isinstance(action, interface.Reject) and retry_count < self.retries:
                    request_id = next(self._numbers)
                    self.retry_counts[request_id] = retry_count + 1
                    self._schedule(
                        now,
                        job(request_id, UNSAFE, remaining=CLIENT_TIMEOUT_S, size_hint=1.0, flags=RETRY_FLAG),
                    )

    def _run(self, now: float, send: interface.SendAttempt) -> None:
        number = sum(request == send.request for _, _, request in self.sent)
        self.sent.append((now, send.worker, send.request))
        outcome, after = AttemptOutcome.SERVED, 1.0
        if send.worker == HANGING and now < 100.0 + self.hangs_for_s:
            outcome, after = AttemptOutcome.TIMEOUT, CLIENT_TIMEOUT_S
        elif self._running(send.worker, now) >= SLOTS:
            outcome, after = AttemptOutcome.REJECTED, 0.002
        else:
            self.runs.append((send.worker, now, now + after))
        self.ended[outcome] += 1
        load = None
        if self.report_age_s and outcome != AttemptOutcome.TIMEOUT:
            free = SLOTS - self._running(send.worker, now + after - self.report_age_s)
            load = {"x0": float(free), "depth": 0.0}
        self._schedule(
            now + after, interface.AttemptEnded(send.request, send.worker, number, outcome, True, after, load)
        )


@pytest.mark.parametrize("report_age_s", [0.0, 5.0])
@pytest.mark.parametrize("rate", [3.0, 6.0, 9.0])
def test_hanging_worker_gets_few_unsafe_jobs_and_causes_no_rejection(
    rate: float, report_age_s: float
) -> None:
    simulation = Simulation([1.0] * WORKERS, hangs_for_s=60.0, report_age_s=report_age_s)
    simulation.run_jobs(rate, 60.0)
    sent_to_hanging = [at for at, worker, _ in simulation.sent if worker == HANGING]
    first = [at for at in sent_to_hanging if at < sent_to_hanging[0] + CLIENT_TIMEOUT_S]
    # Of up to 225 jobs it first gets two, the initial limit, and a few more as its kind's limit is learned.
    assert 1 <= len(first) <= 4
    # Later it gets one at a time on probation, more and more rarely.
    assert len(sent_to_hanging) - len(first) <= len(first) + (60.0 - CLIENT_TIMEOUT_S) / MAX_EJECTION_S
    # No job is sent twice.
    assert max(Counter(request for _, _, request in simulation.sent).values()) == 1
    assert not simulation.ended[interface.Reject.__name__]
    assert not simulation.ended[interface.Fail.__name__]


def test_weights_in_the_list_do_not_change_routing() -> None:
    """All dispatchers get the same weights. If they used them, all would move to the same workers at once."""
    steady, swinging = Simulation([1.0] * WORKERS), Simulation([1.0] * WORKERS)
    for step in range(20):
        swinging.update_list(100.6 + step, [0.1 if (n + step) % 2 else 3.0 for n in range(WORKERS)])
        steady.update_list(100.6 + step, [1.0] * WORKERS)
    for simulation in (steady, swinging):
        simulation.run_jobs(6.0, 25.0)
    assert swinging.sent == steady.sent
    assert len(steady.sent) == 150


@pytest.mark.parametrize(("report_age_s", "max_attempts_per_run"), [(0.0, 1.0), (5.0, 1.25)])
def test_immediate_client_retries_do_not_multiply_work_when_full(
    report_age_s: float, max_attempts_per_run: float
) -> None:
    """Clients send twice as many jobs as the fleet can run, and retry each rejected one up to three times.

    The workers must receive only the jobs that they run; with load reports 5 s old a fourth more, which they
    reject.
    """
    simulation = Simulation([1.0] * WORKERS, report_age_s=report_age_s, retries=3)
    simulation.run_jobs(2.0 * WORKERS * SLOTS, 20.0)
    job_count, run = 2 * WORKERS * SLOTS * 20, len(simulation.runs)
    assert job_count + len(simulation.retry_counts) > 2 * job_count  # the clients did retry
    assert len(simulation.sent) <= max_attempts_per_run * run
    assert run >= 0.7 * job_count / 2  # the fleet can run half of the jobs
    attempts_by_request = Counter(request for _, _, request in simulation.sent)
    assert len(attempts_by_request) >= run
    assert max(attempts_by_request.values()) <= 4

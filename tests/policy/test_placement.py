"""Placement: limits, cold workers, leaving workers, and the subscription to the list."""

from __future__ import annotations

import pytest
from helpers import job, members, outcome, sends, settings, started

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import (
    AttemptOutcome,
    UpdateKind,
    WorkerState,
)
from beaconhinge.quota_snapshots import record


def test_job_is_queued_when_all_workers_are_at_their_limit() -> None:
    dispatcher = started(count=2)
    for worker in dispatcher.workers.values():
        worker.learned_limit = 2.0
    placed = [sends(dispatcher.handle(100.0, job(n))) for n in range(1, 6)]
    assert [len(p) for p in placed] == [1, 1, 1, 1, 0]
    assert dispatcher.placement.queue.by_kind[-1]


def test_freed_slot_goes_to_the_queued_job() -> None:
    dispatcher = started(count=1)
    dispatcher.workers[100].learned_limit = 1.0
    dispatcher.handle(100.0, job(1))
    assert not sends(dispatcher.handle(100.0, job(2)))
    assert [s.request for s in sends(dispatcher.handle(100.3, outcome(1, 100, AttemptOutcome.SERVED)))] == [2]


def test_limit_is_learned_from_free_slots_and_rejections() -> None:
    dispatcher = started(
        count=1, report__source="answers", report__names="tps,x0", familyInfo__reportX0="free_slots"
    )
    dispatcher.handle(100.0, job(1))
    done = outcome(1, 100, AttemptOutcome.SERVED)
    done.load = {"x0": 4.1}
    dispatcher.handle(100.5, done)
    assert dispatcher.workers[100].learned_limit == 4.0
    for n in range(2, 6):
        dispatcher.handle(101.0, job(n))
    dispatcher.handle(101.1, outcome(5, 100, AttemptOutcome.REJECTED, latency=0.001))
    assert dispatcher.workers[100].learned_limit == 3.0
    assert dispatcher.admission.rejections == 1


def test_cold_worker_gets_less_work_than_a_warm_one() -> None:
    """A cold worker is overloaded by work that a warm one can do."""

    def placed(started_at: float, hint: float) -> int:
        dispatcher = started(count=0, groupSize="3")
        dispatcher.handle(
            102.0,
            interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=started_at)),
        )
        dispatcher.workers[100].learned_limit = dispatcher.limits.by_kind[0] = 8.0
        dispatcher.estimates.seconds_per_work = 1.0
        return sum(bool(sends(dispatcher.handle(102.0, job(n, size_hint=hint)))) for n in range(1, 20))

    # 0.75 x overload_multiple x ramp x slots x overload_window_s is the work that all three dispatchers may
    # send in any second; a third of it is this dispatcher's.
    assert placed(started_at=101.99, hint=0.1) == 8  # these short jobs, 0.8 s in all, fill the slots first
    assert placed(started_at=98.0, hint=0.4) == 7  # of a budget of 3.1 s
    assert placed(started_at=0.0, hint=0.4) == 8


def test_cold_budget_counts_jobs_by_class_and_kind_of_worker() -> None:
    """The work of a job is the mean of its class on that kind of worker.

    If jobs of all classes counted as the mean of all, which short jobs dominate, long jobs would overload a
    cold worker threefold.
    """

    def placed(cls: int, seconds: float) -> int:
        dispatcher = started(count=0, groupSize="3")
        dispatcher.handle(
            102.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=98.0))
        )
        dispatcher.workers[100].learned_limit = dispatcher.limits.by_kind[0] = 8.0
        dispatcher.estimates.seconds_per_work = 0.4
        for kind, work in ((0, seconds), (1, 0.1)):
            for _ in range(6):
                dispatcher.estimates.work_by_class.record(dispatcher.settings.classes[cls], kind, work, 1.0)
        return sum(bool(sends(dispatcher.handle(102.0, job(n, cls, size_hint=0.0)))) for n in range(1, 20))

    assert placed(cls=0, seconds=0.1) == 7  # the mean of all jobs, 0.4 s, counts, of a budget of 3.1 s
    assert placed(cls=0, seconds=1.0) == placed(cls=2, seconds=1.0) == 3
    assert placed(cls=2, seconds=4.0) == 0


def test_cold_budget_uses_the_smaller_of_own_and_kinds_limit() -> None:
    """A worker's own limit may have been learned too high, and its budget would overload it."""
    dispatcher = started(count=0)
    dispatcher.handle(102.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=98.0)))
    (
        dispatcher.workers[100].learned_limit,
        dispatcher.limits.by_kind[0],
        dispatcher.estimates.seconds_per_work,
    ) = (
        8.0,
        2.0,
        1.0,
    )
    # The budget is 0.75 x 3 x 0.52 x 2 slots x 1 s = 2.3 s.
    assert sum(bool(sends(dispatcher.handle(102.0, job(n, size_hint=0.4)))) for n in range(1, 20)) == 5


@pytest.mark.parametrize("restored", [False, True])
def test_cold_budget_counts_sends_of_an_earlier_process(
    restored: bool,
) -> None:
    """A process that is killed and restarted has no record of what it sent to a cold worker before.

    It must not use the worker's budget until the window has passed since its own start. Restoring a quota
    snapshot, which has no record of these sends either, must not move that start back.
    """
    dispatcher = started(count=0)  # started at 100.0; the window of the budget is 1 s
    if restored:
        record.restore(dispatcher, record.take(dispatcher, 100.0), 100.0, 0.0)
        dispatcher.quotas.tokens = [99.0] * len(dispatcher.quotas.tokens)
    for now, started_at, expected in ((100.9, 99.0, False), (100.95, 100.5, True), (101.1, 99.0, True)):
        dispatcher.handle(
            now,
            interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=started_at)),
        )
        dispatcher.workers[100].started_at = started_at
        dispatcher.workers[100].learned_limit = dispatcher.limits.by_kind[0] = 8.0
        assert bool(sends(dispatcher.handle(now, job(int(now * 100), size_hint=0.1)))) is expected


def test_restart_under_the_same_id_resets_health_and_start() -> None:
    """Failures of the previous process must not count against the new one."""
    dispatcher = started(count=1)
    dispatcher.workers[100].failure_rate = 0.9
    dispatcher.handle(105.0, interface.MembershipUpdate(UpdateKind.CHANGES, 2, members(1, started_at=105.0)))
    worker = dispatcher.workers[100]
    assert worker.failure_rate == 0.0
    assert worker.started_at == 105.0


def test_draining_and_unlisted_workers_get_no_jobs() -> None:
    dispatcher = started(count=2)
    dispatcher.handle(
        100.0,
        interface.MembershipUpdate(UpdateKind.CHANGES, 2, [interface.MemberEntry(100, WorkerState.DRAINING)]),
    )
    assert {s.worker for n in range(1, 9) for s in sends(dispatcher.handle(100.0, job(n)))} == {101}
    dispatcher.handle(100.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 3, []))
    assert not sends(dispatcher.handle(100.0, job(9)))


@pytest.mark.parametrize("update_kind", [UpdateKind.CHANGES, UpdateKind.SNAPSHOT, UpdateKind.BOOTSTRAP])
def test_idle_connections_to_a_leaving_worker_are_closed(update_kind: str) -> None:
    """The rules require this within `rules.drainRelease` seconds, also after later outcomes."""
    dispatcher = started(count=1, rules__drainRelease="0.8")
    dispatcher.handle(100.0, job(1))
    leaving = [interface.MemberEntry(100, WorkerState.DRAINING)]
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        101.0, interface.MembershipUpdate(update_kind, 2, leaving)
    )
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        102.0, outcome(1, 100, AttemptOutcome.SERVED)
    )
    dispatcher.handle(103.0, interface.MembershipUpdate(UpdateKind.CHANGES, 3, members(1)))
    dispatcher.handle(103.0, job(2))
    assert interface.CloseIdleConnections(100) not in dispatcher.handle(
        104.0, outcome(2, 100, AttemptOutcome.SERVED)
    )
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        105.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 4, [])
    )


def test_subscription_is_repeated_with_limited_backoff() -> None:
    """Repeated requests must get rarer, but not so rare that the list is older than the rules allow."""
    dispatcher = Dispatcher(settings(membershipMode="on_request", rules__mustAskIn="8"), 3)
    assert interface.SubscribeMembership(True) in dispatcher.handle(100.0, interface.Start())
    subscribed_at, now = [100.0], 100.0
    dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.REFUSED))
    while now < 140.0:
        now += 0.1
        actions = dispatcher.handle(now, interface.TimerFired(TICK_TIMER))
        if interface.SubscribeMembership(True) in actions:
            subscribed_at.append(now)
            dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.REFUSED))
    gaps = [b - a for a, b in zip(subscribed_at, subscribed_at[1:], strict=False)]
    # After a refusal, a dispatcher is held to know the list after four times 8 s. The back-off uses half of
    # that time.
    assert len(gaps) > 5
    assert max(gaps) <= 16.2
    assert sum(gaps[:3]) < sum(gaps[-3:])

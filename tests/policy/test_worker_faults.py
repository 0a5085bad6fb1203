"""Workers that hang, slow down, reject or lose connections, and hedging of the jobs on them."""

from __future__ import annotations

import pytest
from decision_helpers import free_slot_rejection, group
from helpers import job, outcome, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import (
    AttemptOutcome,
    NoticeKind,
)
from beaconhinge.policy.stall_detection import MIN_RELATIVE_SPEED


def test_hanging_worker_is_avoided_and_its_timeouts_eject_it() -> None:
    """A worker may hang while its process is up and accepts jobs; then its attempts end by timeouts."""
    dispatcher = started(count=2)
    dispatcher.estimates.mean_latency_s = 0.5
    stalled = sends(dispatcher.handle(100.0, job(1, remaining=2.0)))[0].worker
    placed = []
    for step in range(1, 9):
        actions = dispatcher.handle(100.0 + step * 0.25, job(1 + step))
        for send in sends(actions):
            if step * 0.25 > 2.0 - 1e-9 or send.worker != stalled:
                placed.append(send.worker)
                dispatcher.handle(100.0 + step * 0.25, outcome(1 + step, send.worker, AttemptOutcome.SERVED))
    for request in [
        r for r in list(dispatcher.requests.by_id) if dispatcher.requests.by_id[r].attempts_in_flight
    ]:
        dispatcher.handle(104.0, outcome(request, stalled, AttemptOutcome.TIMEOUT))
    assert dispatcher.workers[stalled].on_probation
    assert {s.worker for n in range(50, 55) for s in sends(dispatcher.handle(104.0, job(n)))} != {stalled}


def test_no_send_to_full_workers_beyond_the_own_share_of_slots() -> None:
    """Each worker is full, and this dispatcher uses its share of all slots, so its job must wait."""
    dispatcher = group(1, 0)
    for worker in dispatcher.workers.values():
        worker.learned_limit, worker.in_flight, dispatcher.gossip.in_flight_table.slots[worker.key] = (
            4.0,
            3.0,
            7,
        )
    (
        dispatcher.workers[100].in_flight,
        dispatcher.gossip.in_flight_table.slots[dispatcher.workers[100].key],
    ) = 0.0, 4
    assert not sends(dispatcher.handle(100.0, job(1)))


def send_notice(
    dispatcher: Dispatcher, now: float, request: int, worker: int, share: float | None = None
) -> None:
    kind = NoticeKind.STARTED if share is None else NoticeKind.PROGRESS
    dispatcher.handle(now, interface.ProgressNotice(request, worker, 0, kind, share or 0.0))


PROGRESS_NOTICES = {
    "familyInfo__tellsStart": "true",
    "familyInfo__progress": "1",
    "policyLimits__mayDuplicate": "true",
}


def test_worker_is_avoided_while_its_jobs_slow_down() -> None:
    """A worker that has slowed down answers and fails nothing, so only the progress of its jobs shows it."""
    dispatcher = started(count=3, **PROGRESS_NOTICES)
    slow_worker = sends(dispatcher.handle(100.0, job(1, remaining=60.0)))[0].worker
    send_notice(dispatcher, 100.0, 1, slow_worker)
    for step, share in enumerate((0.2, 0.4, 0.44, 0.48, 0.5, 0.52)):
        send_notice(dispatcher, 101.0 + step, 1, slow_worker, share)
        send_notice(dispatcher, 101.0 + step, 1, slow_worker, share)  # a repeated notice is ignored
    assert dispatcher.stalls.speed_of(dispatcher.workers[slow_worker]) < MIN_RELATIVE_SPEED
    placed = [send for n in range(2, 8) for send in sends(dispatcher.handle(106.0, job(n, remaining=60.0)))]
    assert placed
    assert slow_worker not in {send.worker for send in placed}
    for n in range(2, 8):
        dispatcher.handle(106.5, interface.ClientDisconnected(n))
    for step in range(1, 5):
        send_notice(dispatcher, 106.0 + step, 1, slow_worker, 0.52 + 0.1 * step)
    assert dispatcher.stalls.speed_of(dispatcher.workers[slow_worker]) > MIN_RELATIVE_SPEED


@pytest.mark.parametrize(
    ("shares", "hedged"),
    [
        ((), True),  # started, then silent
        ((0.3, 0.6, 0.9), False),
        ((0.3, 0.31, 0.32), True),  # 100 s remain here, and 3 s on another worker
    ],
)
def test_job_that_will_be_late_on_its_worker_is_hedged(shares: tuple[float, ...], hedged: bool) -> None:
    dispatcher = started(
        count=2, requestClasses__0__aim="8", familyInfo__classStretch="0,0,0", **PROGRESS_NOTICES
    )
    first = sends(dispatcher.handle(100.0, job(1, remaining=60.0)))[0].worker
    send_notice(dispatcher, 100.0, 1, first)
    for step, share in enumerate(shares):
        send_notice(dispatcher, 101.0 + step, 1, first, share)
    again = sends(dispatcher.handle(103.1, interface.TimerFired(TICK_TIMER)))
    assert [send.request for send in again if send.worker != first] == [1] * hedged


@pytest.mark.parametrize(
    ("start_reported", "cls", "hedged"), [(False, 0, True), (True, 0, False), (False, 2, False)]
)
def test_job_without_start_notice_is_hedged_if_safe_to_repeat(
    start_reported: bool, cls: int, hedged: bool
) -> None:
    dispatcher = started(count=2, **PROGRESS_NOTICES)
    first = sends(dispatcher.handle(100.0, job(1, cls)))[0].worker
    if start_reported:
        send_notice(dispatcher, 100.0, 1, first)
    assert not sends(dispatcher.handle(100.9, interface.TimerFired(TICK_TIMER)))
    assert len(sends(dispatcher.handle(101.1, interface.TimerFired(TICK_TIMER)))) == hedged


def test_class_rejected_with_free_slots_is_ejected_there_only() -> None:
    dispatcher = started(
        count=2, report__names="x0", report__source="answers", familyInfo__reportX0="free_slots"
    )
    worker = sends(dispatcher.handle(100.0, job(1)))[0].worker
    rate, limit = dispatcher.admission.fleet_rate, dispatcher.limits.limit_of(dispatcher.workers[worker])
    again = sends(dispatcher.handle(100.1, free_slot_rejection(1, worker, 3.0)))
    assert [send.worker for send in again] == [201 - worker]
    placed = [send.worker for n in range(2, 5) for send in sends(dispatcher.handle(100.2, job(n)))]
    assert placed
    assert worker not in placed
    others = [send.worker for n in range(5, 11) for send in sends(dispatcher.handle(100.2, job(n, 1)))]
    assert worker in others  # jobs of other classes still go there
    assert (dispatcher.admission.fleet_rate, dispatcher.admission.rejections) == (
        rate,
        0,
    )
    assert dispatcher.limits.limit_of(dispatcher.workers[worker]) >= limit
    for n in range(1, 11):
        dispatcher.handle(100.3, interface.ClientDisconnected(n))
        for attempt, send in enumerate(
            dispatcher.requests.by_id[n].attempts if n in dispatcher.requests.by_id else ()
        ):
            dispatcher.handle(100.3, outcome(n, send.worker.id, AttemptOutcome.CANCELLED, attempt))
    later = [send.worker for n in range(20, 26) for send in sends(dispatcher.handle(101.0, job(n)))]
    assert worker in later


@pytest.mark.parametrize(
    ("lost_connections", "notice_after", "ejected"), [(1, False, False), (2, False, True), (2, True, False)]
)
def test_single_lost_connection_does_not_eject_a_worker(
    lost_connections: int, notice_after: bool, ejected: bool
) -> None:
    """Only two lost connections without a sign from the worker between them are its fault."""
    dispatcher = started(count=3)
    placed: dict[int, int] = {}
    for n in range(1, 7):
        for send in sends(dispatcher.handle(100.0, job(n))):
            placed[n] = send.worker
    worker = max(placed.values(), key=list(placed.values()).count)
    requests_there = [n for n, at in placed.items() if at == worker]
    assert len(requests_there) >= 2
    for n in requests_there[:lost_connections]:
        dispatcher.handle(100.5, outcome(n, worker, AttemptOutcome.CONNECTION_LOST))
        if notice_after:
            send_notice(dispatcher, 100.6, n, worker)
    assert dispatcher.workers[worker].on_probation == ejected


def test_invalid_request_fails_at_once_and_blames_no_worker() -> None:
    dispatcher = started(count=3)
    worker = sends(dispatcher.handle(100.0, job(1)))[0].worker
    assert dispatcher.handle(100.1, outcome(1, worker, AttemptOutcome.INVALID_REQUEST)) == [
        interface.Fail(request=1)
    ]
    assert (dispatcher.workers[worker].failure_rate, dispatcher.workers[worker].on_probation) == (0.0, False)
    assert 1 not in dispatcher.requests.by_id

"""The rig's judge: when a dispatcher counts as notified, and what a verdict reports of a run."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from beaconhinge.net.http1 import Message
from beaconhinge.standin.rig.judge import (
    _broken_by_sends,
    _may_be_closed_by_crowd,
    _notified_at,
    _own_stalls,
)
from beaconhinge.standin.rig.record import RunRecord
from beaconhinge.standin.rig.verdict import (
    TIME_OUT_PASSED,
    ClientAttempt,
    describe_missing,
    over_memory_limit,
    wrongly_failed,
)
from beaconhinge.standin.workers import FakeWorker, LostMessage


def run_with(record: RunRecord) -> Any:
    """Return a finished run with this record, of one dispatcher that was never down."""
    return SimpleNamespace(
        record=record,
        topology=SimpleNamespace(processes=[SimpleNamespace(down_spans=[])]),
        scenario=SimpleNamespace(pushed_membership=False),
    )


@pytest.mark.parametrize(
    ("changed_at", "notified_at"), [(1.0, 1.0), (2.2, 8.0), (5.0, 8.0), (6.5, 12.0), (13.0, 13.0)]
)
def test_each_silent_watch_delays_the_notice_of_later_changes(changed_at: float, notified_at: float) -> None:
    """Guards against a judge that keeps only the last time at which a watch fell silent.

    A change after an earlier time then counted as notified at once (soak 4547).
    """
    record = RunRecord(silent_from={0: [2.0, 6.0]})
    assert _notified_at(run_with(record), 0, changed_at) == notified_at


def test_a_retryable_job_answered_502_breaks_a_rule() -> None:
    # Guards against a 502 that no policy decided on, which only the program's own counter showed (soak 4508).
    answers = [
        ("render", "502"),
        ("render", "503"),
        ("transfer", "502"),
        ("publish", "502"),
        ("render", "200"),
    ]
    attempts = [
        ClientAttempt("", job_class, 7, 1.0, 2.0, outcome, request_id=f"r{number}")
        for number, (job_class, outcome) in enumerate(answers)
    ]
    assert wrongly_failed(attempts) == ["dispatcher 7 answered r0, a render that may be retried, with 502"]


def test_a_missing_answer_is_described_with_its_time_and_reason() -> None:
    # Guards against a verdict that names only the dispatcher (soak 2013).
    attempt = ClientAttempt(
        "", "render", 7, 104.5, 107.5, "missing", request_id="r1", timeout_s=1.0, missing_why="Closed: "
    )
    assert describe_missing(attempt, 100.0, reached_worker=False) == (
        "no answer from dispatcher 7 to a render: r1 sent at 4.50 s, ended after 3.00 of 1.00 s (Closed: ), "
        "not received by a worker"
    )


def test_a_verdict_reports_how_long_the_rig_itself_stood_still() -> None:
    # Guards against a verdict that does not show whether a healthy worker was ejected by a fault of the
    # dispatcher or because the rig's process, which runs the workers, got no processor time.
    record = RunRecord(began_at=100.0)
    assert list(_own_stalls(record)) == []
    record.log_own_stall(101.0, 101.5)
    record.log_own_stall(104.0, 105.42)
    assert list(_own_stalls(record)) == ["the rig itself stood still 2 times, 1.42 s at most"]


def test_a_dispatcher_over_its_memory_breaks_a_rule() -> None:
    # Guards against a soak with bad clients in which none goes over, as nobody looks at the memory.
    mb = 1024 * 1024
    assert over_memory_limit({0: 63 * mb, 1: 97 * mb, 2: 64 * mb}, 64) == [
        "dispatcher 1 had 97 MB of memory, its limit being 64 MB"
    ]


def test_a_second_attempt_beside_the_first_breaks_a_rule() -> None:
    # Guards against stand-in workers that turn away what must not reach them, without a word (review/10).
    worker = FakeWorker("s-1", 1, {"render": 60.0})
    run = run_with(RunRecord())
    run.topology.workers = [worker]
    run.clients = SimpleNamespace(attempts=[])

    async def send_twice_withdraw_and_send_again() -> None:
        job = Message("POST", b"/render", headers={"x-request-id": "r1", "x-timeout-ms": "1000"})
        withdrawal = Message("DELETE", b"/jobs/r1")
        worker.lost_message = LostMessage.WITHDRAWAL
        for message in (job, withdrawal, job):
            await worker._answer(worker.callers[0], message)
        worker.lost_message = None
        for message in (withdrawal, job):
            await worker._answer(worker.callers[0], message)
        await worker.server.stop()

    asyncio.run(send_twice_withdraw_and_send_again())
    assert _broken_by_sends(run) == ["s-1 got a second attempt of r1 while it had the first"]


def test_a_client_that_a_crowd_keeps_out_is_not_excused() -> None:
    # Guards against a judge that excuses each missing answer during a crowd, also that of a client which was
    # neither served nor closed until its time-out (review/7).
    run = run_with(RunRecord(crowded_spans={0: [(100.0, 110.0)]}))
    run.topology.has_reached_worker = lambda _request: False
    excused = {}
    for why in (TIME_OUT_PASSED, "Closed: "):
        attempt = ClientAttempt("", "render", 0, 101.0, 105.0, "missing", missing_why=why)
        excused[why] = _may_be_closed_by_crowd(run, attempt)
    assert excused == {TIME_OUT_PASSED: False, "Closed: ": True}

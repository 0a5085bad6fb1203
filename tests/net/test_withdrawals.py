"""Given-up attempts: no worker gets another attempt of a request before it has confirmed the withdrawal.

Times are seconds of a virtual clock.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from attempt_scenario import POLL_S, Scenario, play
from helpers import members

from beaconhinge.dispatch.job import RequestEnd
from beaconhinge.net.attempts import AttemptSender
from beaconhinge.net.http1 import Message
from beaconhinge.policy.interface import AttemptOutcome, NoticeKind

NO_ANSWERS = (AttemptOutcome.NO_CONNECTION, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.TIMEOUT)
UNCONFIRMED_STATUSES = (408, 429, 500, 503)


@pytest.mark.parametrize("failure", [*NO_ANSWERS, *UNCONFIRMED_STATUSES])
@pytest.mark.parametrize("late_s", [0.0, 0.4, 1.0, 3.0])
@pytest.mark.parametrize("second_fails_after_s", [0.0, 0.5, 1.5])
def test_worker_gets_no_second_attempt_before_it_has_confirmed_the_withdrawal(
    failure: AttemptOutcome | int, late_s: float, second_fails_after_s: float
) -> None:
    """Guards against a withdrawal that is never written, and counts as done from the decision on."""

    async def scenario(s: Scenario) -> None:
        await s.until(lambda: len(s.pool.written) == 2)  # the first worker is silent: a copy
        first, second = (entry.worker for _, entry in s.pool.written)
        s.pool.confirmed_from_s = s.clock.now() + late_s
        copy = next(sent.attempt for sent in s.sender.open.values() if sent.attempt.worker == second)
        copy.report_progress(NoticeKind.STARTED)
        await s.until(lambda: len(s.sender.open) == 1)  # the first attempt is given up
        await asyncio.sleep(second_fails_after_s)
        copy.end(AttemptOutcome.SERVER_ERROR)
        await s.until(lambda: len(s.pool.written) == 3)  # a repeat that is allowed is not suppressed
        written_at, entry = s.pool.written[2]
        assert entry.worker == first
        assert [at for at, worker in s.pool.confirmed if worker == first and at <= written_at]
        assert written_at >= s.pool.confirmed_from_s
        assert written_at <= max(s.pool.confirmed_from_s, s.clock.now() - POLL_S) + 0.6
        s.open_attempt().end(AttemptOutcome.SERVED, b"done")
        await s.request.answer

    reply = Message(status=failure) if isinstance(failure, int) else failure
    played = play(scenario, failure=reply, confirmed_from_s=1e9)
    assert played.request.answer.result().end is RequestEnd.SERVED
    assert not played.broken()


def test_run_time_check_finds_a_second_attempt_that_routing_and_guard_let_pass(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The fault planted: an attempt is over with the decision, and nobody is notified of the withdrawal."""
    monkeypatch.setattr(AttemptSender, "_withdraw", lambda _self, _sent: None)

    async def scenario(s: Scenario) -> None:
        await s.until(lambda: len(s.pool.written) == 2)
        second = s.pool.written[1][1].worker
        copy = next(sent.attempt for sent in s.sender.open.values() if sent.attempt.worker == second)
        copy.report_progress(NoticeKind.STARTED)
        await s.until(lambda: len(s.sender.open) == 1)
        copy.end(AttemptOutcome.SERVER_ERROR)
        await s.until(lambda: bool(s.broken()), within_s=1.0)

    assert play(scenario).broken()["invariant_violations_duplicate"] == 1


def test_connection_that_ends_unanswered_is_followed_by_a_withdrawal_before_the_next_attempt() -> None:
    """Guards against a worker that takes a job, notices the end of the connection late and gets it again."""

    async def scenario(s: Scenario) -> None:
        await s.until(
            lambda: len(s.pool.written) == 2
        )  # each worker has broken a connection, or was sent one
        s.pool.breaks = False
        await s.until(lambda: len(s.pool.written) == 3)
        written_at, entry = s.pool.written[2]
        assert entry.worker == s.pool.written[0][1].worker
        assert [worker for at, worker in s.pool.confirmed if at <= written_at] == [entry.worker]
        s.open_attempt().end(AttemptOutcome.SERVED, b"done")
        await s.request.answer

    play(scenario, breaks=True)


def test_no_attempt_follows_an_unanswered_one_whose_worker_confirms_nothing() -> None:
    async def scenario(s: Scenario) -> None:
        await s.until(s.request.answer.done)
        assert len(s.pool.written) == 2  # one for each worker

    play(scenario, breaks=True, confirmed_from_s=1e9)


def test_restart_of_the_worker_ends_its_withdrawals() -> None:
    """A worker that has started again holds no job of the time before, though it has confirmed nothing."""

    async def scenario(s: Scenario) -> None:
        await s.until(lambda: len(s.pool.written) == 2)
        first, second = (entry.worker for _, entry in s.pool.written)
        copy = next(sent.attempt for sent in s.sender.open.values() if sent.attempt.worker == second)
        copy.report_progress(NoticeKind.STARTED)
        await asyncio.sleep(1.0)
        assert s.sender.withdrawals.pending
        restarted = [
            replace(entry, started_at=entry.started_at + (5.0 if entry.worker == first else 0.0))
            for entry in members(2)
        ]
        s.list_workers(restarted)
        await s.until(lambda: not s.sender.withdrawals.pending, within_s=1.0)
        copy.end(AttemptOutcome.SERVED, b"done")
        await s.request.answer

    play(scenario, confirmed_from_s=1e9)


def test_withdrawal_ends_some_time_after_the_deadline() -> None:
    """A worker that never confirms is not called for ever; that is counted."""

    async def scenario(s: Scenario) -> None:
        await s.until(lambda: bool(s.sender.open))
        await s.request.answer  # the time is over
        await s.until(lambda: not s.sender.withdrawals.pending, within_s=3.0)
        assert s.metrics.counters["withdrawal_unconfirmed"] >= 1

    play(scenario, confirmed_from_s=1e9)

"""Given-up attempts: no worker gets another attempt of a request before it has confirmed the withdrawal.

Times are seconds of a virtual clock.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import pytest
from fake_pool import FakePool
from helpers import members, settings
from virtual_time import PausingClock, run_in_virtual_time

from beaconhinge.dispatch.job import Job, RequestEnd
from beaconhinge.dispatch.policy_runner import PolicyRunner
from beaconhinge.dispatch.request import Request, RequestTable
from beaconhinge.membership.inventory import WorkerEndpoint
from beaconhinge.net.attempts import AttemptSender
from beaconhinge.net.http1 import Closed, Message
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, NoticeKind, UpdateKind
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

DEADLINE_S = 20.0
RETRYABLE_CLASS = 0
EXCHANGE_S = 0.01
POLL_S = 0.005


@dataclass
class WithdrawalPool(FakePool):
    """Workers whose answers to withdrawals are `failure` until `confirmed_from_s`, and 204 from then on."""

    failure: Message | AttemptOutcome = AttemptOutcome.NO_CONNECTION
    confirmed_from_s: float = 0.0
    confirmed: list[tuple[float, int]] = field(default_factory=list)  # time, number of the worker
    breaks: bool = False  # whether a connection ends before the answer to the job

    async def exchange(self, host: WorkerEndpoint, method: str, target: bytes) -> Message | AttemptOutcome:
        assert (method, target) == ("DELETE", b"/jobs/a")
        await asyncio.sleep(EXCHANGE_S)
        if self.clock.now() < self.confirmed_from_s:
            return self.failure
        self.confirmed.append((self.clock.now(), host.member.worker))
        return Message(status=204)

    async def connection(self, host: WorkerEndpoint) -> Any:
        connection = await super().connection(host)
        if self.breaks:
            connection.next = _end_of_stream
        return connection


async def _end_of_stream() -> Message:
    raise Closed


@dataclass
class Scenario:
    """A request, with the parts that serve it, on workers of numbers 100 and 101."""

    clock: PausingClock
    metrics: Metrics
    runner: PolicyRunner
    pool: WithdrawalPool
    sender: AttemptSender
    table: RequestTable
    request: Request

    def list_workers(self, entries: list[interface.MemberEntry]) -> None:
        self.pool.list_members(entries)
        self.runner.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, entries))

    async def until(self, condition: Callable[[], bool], within_s: float = DEADLINE_S) -> None:
        """Wait in virtual time until the condition holds."""
        end = self.clock.now() + within_s
        while not condition():
            assert self.clock.now() < end, "not in time"
            await asyncio.sleep(POLL_S)

    def open_attempt(self) -> Any:
        (sent,) = self.sender.open.values()
        return sent.attempt

    def broken(self) -> Counter[str]:
        names = ("broken_", "invariant_", "task_")
        return Counter({n: c for n, c in self.metrics.counters.items() if n.startswith(names)})


def play(scenario: Callable[[Scenario], Coroutine[Any, Any, None]], **pool_fields: Any) -> Scenario:
    """Play a scenario from the moment on at which the request is taken; return its final state."""
    clock = PausingClock()
    played: list[Scenario] = []

    async def run() -> None:
        metrics = Metrics(clock.now, writer=lambda event, fields: None)
        timers = TimerWheel(clock.now, metrics.log_exception)
        job_settings = settings(
            requestClasses__0__hardLimit=str(DEADLINE_S),
            requestClasses__0__aim="10",
            policyLimits__mayDuplicate="true",
            familyInfo__tellsStart="true",
        )
        runner = PolicyRunner(Dispatcher(job_settings, 1), timers, metrics)
        pool = WithdrawalPool(clock, timers, 0.0, **pool_fields)
        config: Any = SimpleNamespace(settings=job_settings)
        load_reports: Any = SimpleNamespace(parse=lambda _text: None)
        any_pool: Any = pool
        sender = AttemptSender(config, any_pool, load_reports, runner, timers, metrics)
        table = RequestTable(runner, sender, timers, metrics, job_settings, ["render", "publish", "transfer"])
        runner.feed(interface.Start())
        entries = members(2)
        pool.list_members(entries)
        runner.feed(interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, entries))
        job = Job("a", RETRYABLE_CLASS, 0, DEADLINE_S, clock.now(), b"/render", b"")
        played.append(Scenario(clock, metrics, runner, pool, sender, table, table.take(job)))
        await scenario(played[0])

    run_in_virtual_time(clock, run())
    return played[0]


NO_ANSWERS = (AttemptOutcome.NO_CONNECTION, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.TIMEOUT)
FAILURES = {
    **{str(outcome): outcome for outcome in NO_ANSWERS},
    **{str(status): Message(status=status) for status in (408, 429, 500, 503)},
}


@pytest.mark.parametrize("failure", FAILURES.values(), ids=FAILURES.keys())
@pytest.mark.parametrize("late_s", [0.0, 0.4, 1.0, 3.0])
@pytest.mark.parametrize("second_fails_after_s", [0.0, 0.5, 1.5])
def test_worker_gets_no_second_attempt_before_it_has_confirmed_the_withdrawal(
    failure: Message | AttemptOutcome, late_s: float, second_fails_after_s: float
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

    played = play(scenario, failure=failure, confirmed_from_s=1e9)
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

"""A pause of the process at any reading of its clock: each client must still get the policy's own answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from helpers import members, settings
from virtual_time import PausingClock, run_in_virtual_time

from beaconhinge.dispatch.attempt import Attempt
from beaconhinge.dispatch.job import Job, KeyStatus, RequestEnd
from beaconhinge.dispatch.policy_runner import PolicyRunner
from beaconhinge.dispatch.request_table import RequestTable
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TICK_S, TimerWheel

JOB_S = 0.45  # the job's time limit: short, so that a pause can be tried at every reading
GRACE_S = 0.008
PAUSES_S = (0.005, 0.02, 0.2, 3.0)
OFFSETS_S = (0.0, 0.0031)  # of the job's start within a tick of the timer wheel


@dataclass
class Workers:
    """All workers: each attempt ends as `outcome` after `after_s` seconds; without one it is never answered."""

    timers: TimerWheel
    outcome: AttemptOutcome | None = None
    after_s: float = 0.0
    started: list[Attempt] = field(default_factory=list)

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)
        if self.outcome is not None:
            outcome = self.outcome
            asyncio.get_running_loop().call_later(self.after_s, lambda: attempt.end(outcome))


class HangingKeys:
    """A registry of idempotency keys whose look-up never completes."""

    async def register(self, _job: Job) -> KeyStatus:
        await asyncio.Event().wait()
        return KeyStatus()

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        pass


@dataclass
class RunResult:
    """The answer of a run, how late it was after the deadline, the counters and the number of clock readings."""

    end: RequestEnd
    late_s: float
    counters: Counter[str]
    readings: int


Setup = Callable[[RequestTable, Workers, PolicyRunner], None]


def never_answered(_table: RequestTable, _workers: Workers, _runner: PolicyRunner) -> None:
    pass


def never_sent(_table: RequestTable, _workers: Workers, runner: PolicyRunner) -> None:
    none_ready = [
        interface.MemberEntry(worker=100 + i, state=interface.WorkerState.DRAINING) for i in range(4)
    ]
    runner.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, none_ready))


def connections_fail(_table: RequestTable, workers: Workers, _runner: PolicyRunner) -> None:
    workers.outcome, workers.after_s = AttemptOutcome.NO_CONNECTION, 0.13


def lost_shortly_before_deadline(_table: RequestTable, workers: Workers, _runner: PolicyRunner) -> None:
    workers.outcome, workers.after_s = AttemptOutcome.CONNECTION_LOST, JOB_S - 0.11


def key_look_up_hangs(table: RequestTable, _workers: Workers, _runner: PolicyRunner) -> None:
    table.keys = HangingKeys()


def run_job(prepare: Setup, clock: PausingClock, offset_s: float) -> RunResult:
    async def scenario() -> RunResult:
        metrics = Metrics(clock.now, writer=lambda event, fields: None)
        # As under -O, which `run` uses: a failed check is counted and does not raise.
        metrics.check = lambda holds, name: holds or metrics.count("broken_" + name) or False  # type: ignore[method-assign]
        timers = TimerWheel(clock.now, metrics.log_exception)
        job_settings = settings(requestClasses__0__hardLimit=str(JOB_S), rules__graceToAnswer=str(GRACE_S))
        runner = PolicyRunner(Dispatcher(job_settings, 1), timers, metrics)
        workers = Workers(timers)
        table = RequestTable(
            runner, workers, timers, metrics, job_settings, ["render", "publish", "transfer"]
        )
        runner.feed(interface.Start())
        runner.feed(interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, members(4)))
        prepare(table, workers, runner)
        await asyncio.sleep(0.2 + offset_s)
        request = table.take(Job("a", 0, 0, JOB_S, clock.now(), b"/render", b"", idempotency_key="k"))
        answer = await request.answer
        return RunResult(answer.end, clock.now() - request.job.deadline, metrics.counters, clock.readings)

    return run_in_virtual_time(clock, scenario())


@pytest.mark.parametrize("offset_s", OFFSETS_S)
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize(
    "prepare", [never_answered, never_sent, connections_fail, lost_shortly_before_deadline, key_look_up_hangs]
)
def test_policy_answers_despite_pause_at_any_clock_reading(
    prepare: Setup, pause_s: float, offset_s: float
) -> None:
    # Guards against a 502 in place of the policy's answer if the process is paused near a deadline.
    unpaused = run_job(prepare, PausingClock(), offset_s)
    assert unpaused.end is RequestEnd.REJECTED
    failures = list[tuple[int, RequestEnd, float, str]]()
    for reading in range(unpaused.readings):
        result = run_job(prepare, PausingClock(reading, pause_s), offset_s)
        broken = [name for name in result.counters if name.startswith("broken_") or name == "task_failed"]
        late_s = result.late_s - pause_s
        if result.end is not RequestEnd.REJECTED or broken or late_s > GRACE_S + 2 * TICK_S:
            failures.append((reading, result.end, round(late_s, 4), " ".join(broken)))
    assert not failures

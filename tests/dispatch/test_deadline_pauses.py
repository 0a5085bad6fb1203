"""A process that stands still between any two readings of its clock: the policy answers each client all the same."""

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
from beaconhinge.dispatch.request import RequestTable
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TICK_S, TimerWheel

JOB_S = 0.45  # its client's time: short, so that every reading can be paused at
GRACE_S = 0.008
PAUSES_S = (0.005, 0.02, 0.2, 3.0)
OFFSETS_S = (0.0, 0.0031)  # of the job within a tick of the timer wheel


@dataclass
class Workers:
    """All workers: an attempt ends as `outcome` after so many seconds, or is never answered."""

    timers: TimerWheel
    outcome: AttemptOutcome | None = None
    after_s: float = 0.0
    started: list[Attempt] = field(default_factory=list)

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)
        if self.outcome is not None:
            outcome = self.outcome
            asyncio.get_running_loop().call_later(self.after_s, lambda: attempt.end(outcome))


class SlowKeys:
    """Keys whose look-up never ends by itself."""

    async def register(self, _job: Job) -> KeyStatus:
        await asyncio.Event().wait()
        return KeyStatus()

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        pass


@dataclass
class Played:
    end: RequestEnd
    late_s: float
    counters: Counter[str]
    readings: int


Setup = Callable[[RequestTable, Workers, PolicyRunner], None]


def never_answered(_table: RequestTable, _workers: Workers, _runner: PolicyRunner) -> None:
    pass


def queued_for_ever(_table: RequestTable, _workers: Workers, runner: PolicyRunner) -> None:
    none_ready = [
        interface.MemberEntry(worker=100 + i, state=interface.WorkerState.DRAINING) for i in range(4)
    ]
    runner.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, none_ready))


def connections_fail(_table: RequestTable, workers: Workers, _runner: PolicyRunner) -> None:
    workers.outcome, workers.after_s = AttemptOutcome.NO_CONNECTION, 0.13


def lost_near_the_end(_table: RequestTable, workers: Workers, _runner: PolicyRunner) -> None:
    workers.outcome, workers.after_s = AttemptOutcome.CONNECTION_LOST, JOB_S - 0.11


def keys_are_slow(table: RequestTable, _workers: Workers, _runner: PolicyRunner) -> None:
    table.keys = SlowKeys()


def play(prepare: Setup, clock: PausingClock, offset_s: float) -> Played:
    async def scenario() -> Played:
        metrics = Metrics(clock.now, writer=lambda event, fields: None)
        # As under -O, which `run` uses: what must hold is counted.
        metrics.check = lambda holds, name: holds or metrics.count("broken_" + name) or False  # type: ignore[method-assign]
        timers = TimerWheel(clock.now, metrics.log_exception)
        given = settings(requestClasses__0__hardLimit=str(JOB_S), rules__graceToAnswer=str(GRACE_S))
        runner = PolicyRunner(Dispatcher(given, 1), timers, metrics)
        workers = Workers(timers)
        table = RequestTable(runner, workers, timers, metrics, given, ["render", "publish", "transfer"])
        runner.feed(interface.Start())
        runner.feed(interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, members(4)))
        prepare(table, workers, runner)
        await asyncio.sleep(0.2 + offset_s)
        request = table.take(Job("a", 0, 0, JOB_S, clock.now(), b"/render", b"", idempotency_key="k"))
        answer = await request.answer
        return Played(answer.end, clock.now() - request.job.deadline, metrics.counters, clock.readings)

    return run_in_virtual_time(clock, scenario())


@pytest.mark.parametrize("offset_s", OFFSETS_S)
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize(
    "prepare", [never_answered, queued_for_ever, connections_fail, lost_near_the_end, keys_are_slow]
)
def test_a_pause_at_any_reading_of_the_clock_leaves_the_client_the_policys_answer(
    prepare: Setup, pause_s: float, offset_s: float
) -> None:
    # Guards against a 502 in place of the policy's answer where the process stands still near a deadline.
    whole = play(prepare, PausingClock(), offset_s)
    assert whole.end is RequestEnd.REJECTED
    wrong = list[tuple[int, RequestEnd, float, str]]()
    for reading in range(whole.readings):
        played = play(prepare, PausingClock(reading, pause_s), offset_s)
        counted = [name for name in played.counters if name.startswith("broken_") or name == "task_failed"]
        late_s = played.late_s - pause_s
        if played.end is not RequestEnd.REJECTED or counted or late_s > GRACE_S + 2 * TICK_S:
            wrong.append((reading, played.end, round(late_s, 4), " ".join(counted)))
    assert not wrong

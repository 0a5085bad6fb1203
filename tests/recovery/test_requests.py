"""What a job waits for before the module hears of it costs it that time, and no more than half of its own."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from beaconhinge.dispatch.job import Job, KeyStatus
from beaconhinge.dispatch.policy_runner import PolicyRunner
from beaconhinge.dispatch.request import RequestTable
from beaconhinge.policy import Settings, interface
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel


class Refusing:
    """A module that refuses each job, and keeps what it was told."""

    def __init__(self) -> None:
        self.heard: list[Any] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        self.heard.append(event)
        return [interface.Reject(event.request, 0.0)] if isinstance(event, interface.JobArrived) else []


class Slow:
    """A book of keys that takes so long; a process that stands still meanwhile moves its clock."""

    def __init__(self, wait: Any) -> None:
        self.wait = wait
        self.ended: list[bool] = []

    async def register(self, job: Job) -> KeyStatus:
        await self.wait()
        return KeyStatus(registered=True)

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        self.ended.append(may_have_run)


def taken(
    wait: Any, clock: list[float], remaining: float
) -> tuple[list[interface.JobArrived], list[bool], str]:
    async def scenario() -> tuple[list[interface.JobArrived], list[bool], str]:
        module, told = Refusing(), []
        metrics = Metrics(lambda: clock[0], writer=lambda event, fields: told.append(event))
        timers = TimerWheel(lambda: clock[0], metrics.log_exception)
        requests = RequestTable(
            PolicyRunner(module, timers, metrics),
            None,
            timers,
            metrics,
            Settings.from_pairs(
                {  # type: ignore[arg-type]
                    "requestClasses.count": "1",
                    "requestClasses.0.aim": "0.25",
                    "requestClasses.0.hardLimit": "7.5",
                }
            ),
            ["publish"],
        )
        book = requests.keys = Slow(wait)
        job = Job("a", 0, 0, remaining, clock[0], b"/publish", b"", idempotency_key="k")
        answer = await asyncio.wait_for(requests.take(job).answer, 5)
        await asyncio.sleep(0)
        return [e for e in module.heard if isinstance(e, interface.JobArrived)], book.ended, answer.end

    return asyncio.run(scenario())


@pytest.mark.parametrize(("passed", "left"), [(0.4, 0.6), (0.0, 1.0), (9.0, 0.0)])
def test_the_module_hears_how_much_time_is_left_after_the_wait(passed: float, left: float) -> None:
    """Told the whole, it held a job past its deadline by as much as was waited before."""
    clock = [100.0]

    async def wait() -> None:
        clock[0] += passed

    jobs, ended, end = taken(wait, clock, 1.0)
    assert len(jobs) == 1
    assert jobs[0].remaining == pytest.approx(left)
    assert not jobs[0].may_run_elsewhere
    assert ended == [False]
    assert end == "refused"


def test_who_waits_for_too_long_is_refused_as_doubted() -> None:
    clock = [100.0]

    async def wait() -> None:
        clock[0] += 0.6  # past the half, as the wheel sees it next
        await asyncio.Event().wait()

    jobs, ended, end = taken(wait, clock, 1.0)
    assert len(jobs) == 1
    assert jobs[0].may_run_elsewhere
    assert jobs[0].remaining == pytest.approx(0.4)
    assert ended == []
    assert end == "refused"

"""The wait for a key before the policy gets a job counts against its deadline, and is limited to half."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from beaconhinge.dispatch.job import Job, KeyStatus
from beaconhinge.dispatch.policy_runner import PolicyRunner
from beaconhinge.dispatch.request_table import RequestTable
from beaconhinge.policy import Settings, interface
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel


class RejectingPolicy:
    """A policy that rejects each job and records its events."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        self.events.append(event)
        return [interface.Reject(event.request, 0.0)] if isinstance(event, interface.JobArrived) else []


class SlowKeys:
    """An idempotency-key service whose `register` lasts as long as `wait`, which may set the clock."""

    def __init__(self, wait: Any) -> None:
        self.wait = wait
        self.ended: list[bool] = []

    async def register(self, job: Job) -> KeyStatus:
        await self.wait()
        return KeyStatus(registered=True)

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        self.ended.append(may_have_run)


def take_job(
    wait: Any, clock: list[float], remaining: float
) -> tuple[list[interface.JobArrived], list[bool], str]:
    async def scenario() -> tuple[list[interface.JobArrived], list[bool], str]:
        policy, logged = RejectingPolicy(), []
        metrics = Metrics(lambda: clock[0], writer=lambda event, fields: logged.append(event))
        timers = TimerWheel(lambda: clock[0], metrics.log_exception)
        requests = RequestTable(
            PolicyRunner(policy, timers, metrics),
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
        keys = requests.keys = SlowKeys(wait)
        job = Job("a", 0, 0, remaining, clock[0], b"/publish", b"", idempotency_key="k")
        answer = await asyncio.wait_for(requests.take(job).answer, 5)
        await asyncio.sleep(0)
        return [e for e in policy.events if isinstance(e, interface.JobArrived)], keys.ended, answer.end

    return asyncio.run(scenario())


@pytest.mark.parametrize(("passed", "left"), [(0.4, 0.6), (0.0, 1.0), (9.0, 0.0)])
def test_policy_gets_the_time_left_after_the_wait_for_a_key(passed: float, left: float) -> None:
    """With the time left before the wait, the policy kept a job past its deadline by as long as it waited."""
    clock = [100.0]

    async def wait() -> None:
        clock[0] += passed

    jobs, ended, end = take_job(wait, clock, 1.0)
    assert len(jobs) == 1
    assert jobs[0].remaining == pytest.approx(left)
    assert not jobs[0].may_run_elsewhere
    assert ended == [False]
    assert end == "refused"


def test_wait_over_half_of_the_time_reports_that_the_job_may_have_run() -> None:
    """A key that was not looked up in time proves nothing, so the policy must not treat the job as new."""
    clock = [100.0]

    async def wait() -> None:
        clock[0] += 0.6  # over half of the job's time, when the timer wheel looks next
        await asyncio.Event().wait()

    jobs, ended, end = take_job(wait, clock, 1.0)
    assert len(jobs) == 1
    assert jobs[0].may_run_elsewhere
    assert jobs[0].remaining == pytest.approx(0.4)
    assert ended == []
    assert end == "refused"

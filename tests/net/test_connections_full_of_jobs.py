"""Jobs must leave connections free: the call-backs that end them arrive at the same listener."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

import pytest
from harness import Harness, ReceivedMessage, reply, run_scenario, use_scripted_policy

from beaconhinge.membership.inventory import worker_number
from beaconhinge.policy import interface

SOCKETS = 64  # 24 of them are reserved for other uses, and clients may have three quarters of the rest
CLIENT_CONNECTIONS = 30
CLIENTS = 60
WORKERS = 4
JOB_S = 0.1


def use_round_robin_policy(monkeypatch: pytest.MonkeyPatch, workers: int) -> None:
    """Install a policy that sends each job once, to the workers in turn, and rejects a job that fails."""
    policy = use_scripted_policy(monkeypatch)
    numbers = [worker_number(f"s-{number}") for number in range(workers)]

    def handle(_now: float, event: interface.Event) -> list[interface.Action]:
        match event:
            case interface.Start():
                return [interface.SubscribeMembership()]
            case interface.JobArrived(request=request):
                return [interface.SendAttempt(request, numbers[request % workers])]
            case interface.AttemptEnded(request=request, settled=False):
                return [interface.Reject(request, 1.0)]
        return []

    policy.handle = handle  # type: ignore[method-assign]


@pytest.mark.parametrize("hanging", [0, 2])
def test_callbacks_are_accepted_while_jobs_fill_the_connections(
    monkeypatch: pytest.MonkeyPatch, hanging: int
) -> None:
    # Guards against a dispatcher that serves no job: each job held a connection until its deadline, since the
    # call-back with its result waited to be accepted behind further clients (soak 2013). Jobs at hanging workers
    # hold connections too.
    use_round_robin_policy(monkeypatch, WORKERS)

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()

        async def accept_job(number: int, message: ReceivedMessage) -> bytes | None:
            if number < hanging:
                await asyncio.Event().wait()
            content = {"id": message.headers["x-request-id"], "state": "done", "result": "x"}
            loop.call_later(JOB_S, lambda: asyncio.ensure_future(harness.callback(number, **content)))
            return reply(202)

        async def post_job(number: int) -> tuple[int, float]:
            sent_at = loop.time()
            answer = await harness.post(X_Request_ID=f"r{number}", X_Timeout_Ms="3000")
            return answer.status, loop.time() - sent_at

        for number, worker in enumerate(harness.workers):
            worker.script = partial(accept_job, number)
        answers = await asyncio.gather(*(post_job(number) for number in range(CLIENTS)))
        statuses = Counter(status for status, _ in answers)
        assert set(statuses) == {200, 503}
        assert statuses[200] >= (WORKERS - hanging) * CLIENT_CONNECTIONS / WORKERS / 2
        assert max(seconds for status, seconds in answers if status == 200) < 1.5

    run_scenario(scenario, workers=WORKERS, limits={"memory_mb": 192, "sockets": SOCKETS})

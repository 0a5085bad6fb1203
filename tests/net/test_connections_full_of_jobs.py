"""Jobs may not take every connection: the call-backs that end them come by the same listener."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

import pytest
from harness import Harness, ReceivedMessage, reply, run_scenario, use_scripted_policy

from beaconhinge.membership.inventory import worker_number
from beaconhinge.policy import interface

SOCKETS = 64  # of which 24 are kept for others, and clients may have three quarters of the rest
CLIENT_CONNECTIONS = 30
CLIENTS = 60
WORKERS = 4
JOB_S = 0.1


def send_each_job(monkeypatch: pytest.MonkeyPatch, workers: int) -> None:
    """A policy that sends each job to one worker after the other, and gives up what fails."""
    module = use_scripted_policy(monkeypatch)
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

    module.handle = handle  # type: ignore[method-assign]


@pytest.mark.parametrize("hanging", [0, 2])
def test_callbacks_come_in_while_more_clients_wait_than_there_are_connections(
    monkeypatch: pytest.MonkeyPatch, hanging: int
) -> None:
    # Guards against a dispatcher that serves nobody: each job held a connection until its deadline, since its
    # result waited to be accepted behind further clients (soak 2013). Hanging workers hold connections too.
    send_each_job(monkeypatch, WORKERS)

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()

        async def take(number: int, message: ReceivedMessage) -> bytes | None:
            if number < hanging:
                await asyncio.Event().wait()
            content = {"id": message.headers["x-request-id"], "state": "done", "result": "x"}
            loop.call_later(JOB_S, lambda: asyncio.ensure_future(harness.callback(number, **content)))
            return reply(202)

        async def ask(number: int) -> tuple[int, float]:
            began = loop.time()
            answer = await harness.post(X_Request_ID=f"r{number}", X_Timeout_Ms="3000")
            return answer.status, loop.time() - began

        for number, worker in enumerate(harness.workers):
            worker.script = partial(take, number)
        answers = await asyncio.gather(*(ask(number) for number in range(CLIENTS)))
        ends = Counter(status for status, _ in answers)
        assert set(ends) == {200, 503}
        assert ends[200] >= (WORKERS - hanging) * CLIENT_CONNECTIONS / WORKERS / 2
        assert max(seconds for status, seconds in answers if status == 200) < 1.5

    run_scenario(scenario, workers=WORKERS, limits={"memory_mb": 192, "sockets": SOCKETS})

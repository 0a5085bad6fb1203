"""Real processes that stall: the deadlines that they send to workers."""

from __future__ import annotations

import asyncio
import time

import pytest

from beaconhinge.net import http1
from beaconhinge.standin.http import Server
from beaconhinge.standin.rig import Fault, Scenario, run_scenario
from beaconhinge.standin.rig.clients import Clients
from beaconhinge.standin.rig.judge import DEADLINE_SLACK_S
from beaconhinge.standin.rig.verdict import ClientAttempt, overstated_deadlines
from beaconhinge.standin.workers import ReceivedDeadline

SMALL = {
    "processes": 4,
    "workers": 6,
    "slots": 8,
    "rate": 120.0,
    "keyed": 0.0,
    "render_s": 0.1,
    "client_timeout_s": 3.0,
    "seconds": 6.0,
    "store": False,
}


@pytest.mark.parametrize("recovery", [False, True])
def test_request_that_arrived_during_a_stall_has_only_its_time_left(
    recovery: bool,
) -> None:
    """With the deadline counted from the request's read, workers got up to 1.5 s more than the client had."""
    stops = [Fault(1.0, "stop", 1.5, [0, 1]), Fault(3.2, "stop", 0.7, [2, 3])]
    verdict = asyncio.run(
        run_scenario(Scenario("stopped", seed=61, faults=stops, recovery=recovery, **SMALL))
    )
    assert verdict.broken == [], verdict.last
    assert verdict.faults["stop"] == 4
    assert verdict.ends["200"] > 0.8 * verdict.asked > 400


def test_judge_finds_a_worker_that_is_given_too_much_time() -> None:
    """Guards the check that the test above relies on."""
    attempts = [ClientAttempt("", "render", 0, 10.0, request_id="r1", timeout_s=3.0)]
    assert (
        overstated_deadlines(
            attempts, [ReceivedDeadline("r1", 12.0, 1.1), ReceivedDeadline("r2", 12.0, 9.0)], DEADLINE_SLACK_S
        )
        == []
    )
    assert len(overstated_deadlines(attempts, [ReceivedDeadline("r1", 12.0, 1.3)], DEADLINE_SLACK_S)) == 1


def test_client_whose_time_is_up_does_not_retry_elsewhere() -> None:
    """The rig's client must not retry late, as the judge would blame the dispatcher.

    Cut off when a stopped process was killed, it sent its request to the next one 1.2 s after its time was
    up, with a deadline of 1 ms.
    """
    answers = [http1.response(200), None, http1.response(200)]
    seen: list[str] = []

    async def answer(message: http1.Message) -> bytes | None:
        seen.append(message.headers["x-request-id"])
        return answers[len(seen) - 1]

    async def run() -> str:
        server = Server(answer)
        server.start()
        scenario = Scenario("late", processes=1, front=True)
        clients = Clients(scenario, [server.port], lambda: 0.0, lambda _request_id: False)
        now = time.monotonic()
        first = ClientAttempt("", "render", 0, now, request_id="in-time", timeout_s=3.0)
        late = ClientAttempt("", "render", 0, now - 2.0, request_id="late", timeout_s=1.5)
        await clients._send_attempt(first)
        outcome = await clients._send_attempt(late)
        await server.stop()
        return outcome

    assert asyncio.run(run()) == "missing"
    assert seen == ["in-time", "late"]

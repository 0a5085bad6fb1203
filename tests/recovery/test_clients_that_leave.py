"""Real processes whose clients disconnect early and whose unsafe jobs must not run twice, under faults."""

from __future__ import annotations

import asyncio

from beaconhinge.standin.rig import Fault, Scenario, run_scenario
from beaconhinge.standin.rig.verdict import ClientAttempt, attempts_after_disconnect
from beaconhinge.standin.workers import ReceivedDeadline, WorkerFault

SMALL = {
    "processes": 4,
    "workers": 6,
    "slots": 8,
    "rate": 100.0,
    "keyed": 0.0,
    "render_s": 0.15,
    "publish_s": 0.3,
    "client_timeout_s": 2.0,
    "seconds": 7.0,
    "store": False,
    "recovery": False,
    "ejections_judged": False,
}


def test_no_attempt_for_disconnected_clients_and_no_unsafe_job_twice() -> None:
    """Stops, kills, upgrades and failing workers must not start attempts for clients that are gone."""
    faults = [
        Fault(0.5, "discovery", 1.5),
        Fault(1.0, "kill", 0.3, [0]),
        Fault(1.2, "stop", 1.5, [1]),
        Fault(2.0, "term", 0.3, [2]),
        Fault(1.5, "workers", 1.0, worker_fault=WorkerFault.HANG),
        Fault(3.0, "workers", 1.0, worker_fault=WorkerFault.RESET),
        Fault(4.2, "workers", 0.8, worker_fault=WorkerFault.REJECT),
    ]
    scenario = Scenario("leaving", seed=71, faults=faults, unsafe=0.4, disconnecting=0.4, **SMALL)
    verdict = asyncio.run(run_scenario(scenario))
    assert verdict.broken == [], verdict.last
    assert verdict.ends["left"] > 60
    assert verdict.ends["200"] > 200


def test_judge_finds_an_attempt_that_begins_after_its_client_left() -> None:
    """Guards the check that the test above relies on; 0.1 s after the disconnection are allowed."""
    attempts = [
        ClientAttempt("", "render", 0, 10.0, request_id="r1", timeout_s=3.0, disconnected_at=11.0),
        ClientAttempt("", "render", 0, 10.0, request_id="r2", timeout_s=3.0),
    ]
    assert (
        attempts_after_disconnect(
            attempts, [ReceivedDeadline("r1", 11.05, 1.0), ReceivedDeadline("r2", 12.9, 0.1)], 0.1
        )
        == []
    )
    assert len(attempts_after_disconnect(attempts, [ReceivedDeadline("r1", 11.2, 1.0)], 0.1)) == 1

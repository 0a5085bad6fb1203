"""SIGTERM under load: each accepted request gets its answer, even if all dispatchers end at once."""

from __future__ import annotations

import asyncio
from pathlib import Path

from beaconhinge.standin.rig import Fault, Scenario, Verdict
from beaconhinge.standin.rig.runner import ScenarioRun
from beaconhinge.standin.rig.verdict import ClientAttempt

FIVE = {
    "processes": 5,
    "workers": 8,
    "slots": 8,
    "rate": 100.0,
    "keyed": 0.0,
    "render_s": 0.25,
    "client_timeout_s": 1.5,
    "seconds": 4.0,
}
IN_TRANSIT_S = 0.02  # seconds before the signal in which a request that was sent may not be accepted yet


def run_with_terms(
    scenario: Scenario, folder: Path
) -> tuple[Verdict, list[ClientAttempt], list[ClientAttempt]]:
    """Run a scenario.

    Returns:
        The verdict, the attempts in progress when their dispatcher got SIGTERM, and those of them without an
        answer.
    """
    run = ScenarioRun(scenario, folder)
    verdict = asyncio.run(run.run())
    ends = [(p.number, begun) for p in run.topology.processes for begun, _ in p.down_spans]
    accepted = [
        attempt
        for attempt in run.clients.attempts
        if any(
            attempt.dispatcher == number
            and attempt.sent_at < begun - IN_TRANSIT_S
            and attempt.ended_at > begun
            for number, begun in ends
        )
    ]
    return verdict, accepted, [attempt for attempt in accepted if attempt.outcome == "missing"]


def test_five_dispatchers_that_end_at_once_lose_no_accepted_request(tmp_path: Path) -> None:
    """No other dispatcher can take over then, so each must answer what it has accepted before it exits."""
    verdict, accepted, unanswered = run_with_terms(
        Scenario("all at once", seed=31, faults=[Fault(1.5, "term", 0.3)], **FIVE), tmp_path
    )
    assert verdict.broken == []
    assert verdict.faults["term"] == 5
    assert len(accepted) >= 5
    assert unanswered == []
    assert sum(attempt.outcome == "200" for attempt in accepted) >= 0.8 * len(accepted)
    assert verdict.plain_after > 0.9


def test_five_dispatchers_that_end_in_turn_lose_no_accepted_request(tmp_path: Path) -> None:
    """Each ends while the one before it starts, and one link between two of them is cut.

    The last one must not be left with all the load.
    """
    turns = [Fault(1.0 + 0.4 * n, "term", 0.2, [n]) for n in range(5)]
    scenario = Scenario("in turn", seed=32, faults=[*turns, Fault(0.5, "cut", 2.5, [0], [1])], **FIVE)
    verdict, accepted, unanswered = run_with_terms(scenario, tmp_path)
    assert verdict.broken == []
    assert verdict.faults["term"] == 5
    assert len(accepted) >= 5
    assert unanswered == []
    assert verdict.plain_after > 0.9

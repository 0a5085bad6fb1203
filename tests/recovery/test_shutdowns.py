"""SIGTERM under load: what a dispatcher has taken gets its answer, with all of them ending at once too."""

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
ON_ITS_WAY = 0.02  # seconds before the signal, from which on a job may not have been taken yet


def ended(scenario: Scenario, folder: Path) -> tuple[Verdict, list[ClientAttempt], list[ClientAttempt]]:
    """The verdict, what was in work as its dispatcher got the signal, and what of that had no answer."""
    run = ScenarioRun(scenario, folder)
    verdict = asyncio.run(run.run())
    ends = [(p.number, begun) for p in run.topology.processes for begun, _ in p.down_spans]
    taken = [
        t
        for t in run.clients.attempts
        if any(
            t.dispatcher == number and t.sent_at < begun - ON_ITS_WAY and t.ended_at > begun
            for number, begun in ends
        )
    ]
    return verdict, taken, [t for t in taken if t.outcome == "missing"]


def test_five_that_end_at_once_lose_nothing_they_had_taken(tmp_path: Path) -> None:
    verdict, taken, lost = ended(
        Scenario("all at once", seed=31, faults=[Fault(1.5, "term", 0.3)], **FIVE), tmp_path
    )
    assert verdict.broken == []
    assert verdict.faults["term"] == 5
    assert len(taken) >= 5
    assert lost == []
    assert sum(t.outcome == "200" for t in taken) >= 0.8 * len(taken)
    assert verdict.plain_after > 0.9


def test_five_that_end_in_turn_lose_nothing_and_the_last_is_not_left_with_all(tmp_path: Path) -> None:
    """Each ends while the one before it starts, and one link between two of them is cut."""
    turns = [Fault(1.0 + 0.4 * n, "term", 0.2, [n]) for n in range(5)]
    scenario = Scenario("in turn", seed=32, faults=[*turns, Fault(0.5, "cut", 2.5, [0], [1])], **FIVE)
    verdict, taken, lost = ended(scenario, tmp_path)
    assert verdict.broken == []
    assert verdict.faults["term"] == 5
    assert len(taken) >= 5
    assert lost == []
    assert verdict.plain_after > 0.9

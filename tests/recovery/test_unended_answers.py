"""Discovery's answer reports that a worker drains, but does not end: the drain must be applied at once.

Failure: two requests reached a worker 0.71 and 0.82 s after discovery had written to their dispatcher that
the worker drains; 0.45 s are allowed.

Cause: the dispatcher applied what it had received only when the answer had ended or its call had timed out.
It waited 1.0 s for another byte, gave the answer up, and only then applied the drain in the part received.
The test repeats this with each way not to end an answer, and with one way to end it late.
"""

from __future__ import annotations

import asyncio

from beaconhinge.standin.discovery import Spoil
from beaconhinge.standin.rig import Fault, Scenario, run_scenario

UNENDED_SPOILS = [spoil for spoil in Spoil if spoil.writes_changes_at_once]


def test_drain_in_an_answer_that_does_not_end_is_applied_at_once() -> None:
    """Real processes, one for each way to end an answer badly, with 25 requests a second each."""
    spoils = [Fault(0.8, "spoil", 4.5, [number], spoil=spoil) for number, spoil in enumerate(UNENDED_SPOILS)]
    scenario = Scenario(
        "answers that do not end",
        seed=4101,
        processes=len(UNENDED_SPOILS),
        workers=4,
        slots=16,
        rate=25.0 * len(UNENDED_SPOILS),
        keyed=0.0,
        render_s=0.05,
        seconds=6.0,
        recovery=False,
        store=False,
        faults=[Fault(1.5, "drain", 4.0, workers=2), *spoils],
    )
    verdict = asyncio.run(run_scenario(scenario))
    assert verdict.faults["drain"] == 2
    assert verdict.faults["spoil"] >= len(UNENDED_SPOILS)
    assert verdict.ends["200"] > 0.95 * verdict.asked
    assert verdict.broken == [], [spoil.value for spoil in UNENDED_SPOILS]

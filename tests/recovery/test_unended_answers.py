"""Requests to a draining worker while discovery's answer was still coming.

Seen: six dispatchers; two requests reached a worker 0.71 and 0.82 s after its dispatcher had been written that
the worker drains. 0.45 s are allowed.

How it came about: the answer that said so began and did not end. The dispatcher waited 1.0 s for another byte,
gave the answer up, and only then read from what had come that the worker drains. Until then it sent as before.

Cause: what had arrived was acted on when something else was over: the answer, its call, a time-out. The read
state of the connection held the news, and nobody looked.

What proved it: of the four dispatchers shown, one had an answer written at the time of the notification, and
asked again 1.4 s later with the version from before: 1.0 s without a byte and a retry within 0.4 s. Both
requests lie in between. A call given up within its answer stands in the logs of the same day, played again.
Here each way not to end an answer, and one to end it late, shows the same.
"""

from __future__ import annotations

import asyncio

from beaconhinge.standin.discovery import Spoil
from beaconhinge.standin.rig import Fault, Scenario, run_scenario

WAYS = [spoil for spoil in Spoil if spoil.writes_changes_at_once]


def test_worker_whose_drain_was_written_gets_nothing_more_though_the_answer_does_not_end() -> None:
    """Real processes, one for each way, and 25 requests a second at each."""
    spoils = [Fault(0.8, "spoil", 4.5, [number], spoil=way) for number, way in enumerate(WAYS)]
    scenario = Scenario(
        "answers that do not end",
        seed=4101,
        processes=len(WAYS),
        workers=4,
        slots=16,
        rate=25.0 * len(WAYS),
        keyed=0.0,
        render_s=0.05,
        seconds=6.0,
        recovery=False,
        store=False,
        faults=[Fault(1.5, "drain", 4.0, workers=2), *spoils],
    )
    verdict = asyncio.run(run_scenario(scenario))
    assert verdict.faults["drain"] == 2
    assert verdict.faults["spoil"] >= len(WAYS)
    assert verdict.ends["200"] > 0.95 * verdict.asked
    assert verdict.broken == [], [way.value for way in WAYS]

"""Real processes whose discovery reports a new version of the list in answers that lack the change."""

from __future__ import annotations

import asyncio

from beaconhinge.standin.discovery import Spoil
from beaconhinge.standin.rig import Fault, Scenario, run_scenario

DRAIN_S, DRAIN_DURATION_S = 1.5, 9.0  # when two workers begin to drain, and for how long, in seconds
PASSING = [Spoil.NO_ENTRIES, Spoil.MISSING_ENTRY, Spoil.OLD_CONTENT, Spoil.CUT_BODY]
LASTING = [Spoil.ID_AND_STATE, Spoil.SLOW_BODY]


def scenario(name: str, seed: int, spoil_kinds: list[Spoil], spoilt_s: float) -> Scenario:
    """Return a scenario with one dispatcher for each way in which discovery spoils its answers."""
    spoils = [
        Fault(1.0, "spoil", spoilt_s, [number], spoil=spoil_kind)
        for number, spoil_kind in enumerate(spoil_kinds)
    ]
    return Scenario(
        name,
        seed=seed,
        processes=len(spoil_kinds),
        workers=6,
        rate=80.0,
        keyed=0.0,
        render_s=0.1,  # so that the remaining workers have capacity: a full one may be ejected as late
        seconds=11.0,
        recovery=False,
        store=False,
        faults=[Fault(DRAIN_S, "drain", DRAIN_DURATION_S, workers=2), *spoils],
    )


def test_a_change_in_a_spoilt_answer_is_applied_within_six_seconds() -> None:
    """A version was adopted without its content, and the two were never compared again."""

    async def run_both() -> list[str]:
        broken = []
        scenarios = [scenario("passing", 3501, PASSING, 2.0), scenario("lasting", 3503, LASTING, 9.0)]
        for verdict in await asyncio.gather(*map(run_scenario, scenarios)):
            assert verdict.faults["drain"] == 2
            assert verdict.faults["spoil"] >= 2
            broken += [f"{verdict.name}: {line}" for line in verdict.broken]
        return broken

    broken = asyncio.run(run_both())
    assert not broken, "\n".join(broken)

"""Real processes that hear late, or not at all, that workers leave: judged by when workers got their jobs."""

from __future__ import annotations

import asyncio

import pytest

from beaconhinge.standin.rig import Fault, Scenario, Verdict, run_scenario

SMALL = {
    "processes": 5,
    "workers": 6,
    "slots": 8,
    "rate": 60.0,
    "keyed": 0.0,
    "render_s": 0.1,
    "client_timeout_s": 0.8,
    "seconds": 9.0,
    "store": False,
    "recovery": False,
}
WHOLE = [Fault(0.7, "drain", 8.0, workers=2)]

SCENARIOS = [
    Scenario(
        "watches fall silent as boxes begin to drain",
        seed=41,
        faults=[Fault(0.6, "mute", 0.1), *WHOLE],
        **SMALL,
    ),
    Scenario(
        "the same, pushed", seed=42, pushed_membership=True, faults=[Fault(0.6, "mute", 0.1), *WHOLE], **SMALL
    ),
    Scenario(
        "agents away as boxes begin to drain",
        seed=43,
        pushed_membership=True,
        faults=[Fault(0.5, "discovery", 1.5), *WHOLE],
        **SMALL,
    ),
    Scenario(
        "started again with an old list, pushed",
        seed=44,
        pushed_membership=True,
        faults=[*WHOLE, Fault(2.0, "kill", 0.2, [1]), Fault(2.5, "term", 0.2, [3])],
        **SMALL,
    ),
    Scenario(
        "stopped as boxes begin to drain",
        seed=45,
        pushed_membership=True,
        faults=[Fault(0.5, "stop", 1.5, [1, 2]), *WHOLE],
        **{**SMALL, "recovery": True},
    ),
]


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Verdict]:
    async def all_of_them() -> list[Verdict]:
        limit = asyncio.Semaphore(3)

        async def one(scenario: Scenario) -> Verdict:
            async with limit:
                return await run_scenario(scenario)

        return await asyncio.gather(*(one(scenario) for scenario in SCENARIOS))

    return dict(zip((scenario.name for scenario in SCENARIOS), asyncio.run(all_of_them()), strict=True))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_nothing_is_sent_to_a_worker_known_to_drain(scenario: Scenario, verdicts: dict[str, Verdict]) -> None:
    """Silent watches were noticed when what they missed counted as told; agents were never asked at all."""
    verdict = verdicts[scenario.name]
    assert verdict.broken == [], verdict.last
    assert verdict.faults["drain"] == 2
    assert verdict.ends["200"] > 0.7 * verdict.asked > 150
    assert verdict.counters.get("watch_silent", 0) >= 4 or "silent" not in scenario.name


def test_only_drains_need_a_worker_that_stays() -> None:
    """A scenario with one box was refused for any fault."""
    assert (
        Scenario("one box", workers=1, deduplication_groups=1, faults=[Fault(1.0, "stop", 1.0)]).problem()
        is None
    )
    assert "boxes" in str(
        Scenario("one box", workers=1, deduplication_groups=1, faults=[Fault(1.0, "drain", 1.0)]).problem()
    )

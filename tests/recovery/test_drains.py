"""Real processes that are notified late or not at all that workers drain, judged by when workers get jobs."""

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
DRAIN = [Fault(0.7, "drain", 8.0, workers=2)]

SCENARIOS = [
    Scenario(
        "watches fall silent as boxes begin to drain",
        seed=41,
        faults=[Fault(0.6, "mute", 0.1), *DRAIN],
        **SMALL,
    ),
    Scenario(
        "the same, pushed", seed=42, pushed_membership=True, faults=[Fault(0.6, "mute", 0.1), *DRAIN], **SMALL
    ),
    Scenario(
        "agents away as boxes begin to drain",
        seed=43,
        pushed_membership=True,
        faults=[Fault(0.5, "discovery", 1.5), *DRAIN],
        **SMALL,
    ),
    Scenario(
        "started again with an old list, pushed",
        seed=44,
        pushed_membership=True,
        faults=[*DRAIN, Fault(2.0, "kill", 0.2, [1]), Fault(2.5, "term", 0.2, [3])],
        **SMALL,
    ),
    Scenario(
        "stopped as boxes begin to drain",
        seed=45,
        pushed_membership=True,
        faults=[Fault(0.5, "stop", 1.5, [1, 2]), *DRAIN],
        **{**SMALL, "recovery": True},
    ),
]


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Verdict]:
    async def run_all() -> list[Verdict]:
        limit = asyncio.Semaphore(3)

        async def run_one(scenario: Scenario) -> Verdict:
            async with limit:
                return await run_scenario(scenario)

        return await asyncio.gather(*(run_one(scenario) for scenario in SCENARIOS))

    return dict(zip((scenario.name for scenario in SCENARIOS), asyncio.run(run_all()), strict=True))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_nothing_is_sent_to_a_worker_known_to_drain(scenario: Scenario, verdicts: dict[str, Verdict]) -> None:
    """A watch's silence was detected only when the missed drain already counted as notified.

    With pushed membership, the agents that push the list were never polled.
    """
    verdict = verdicts[scenario.name]
    assert verdict.broken == [], verdict.last
    assert verdict.faults["drain"] == 2
    assert verdict.ends["200"] > 0.7 * verdict.asked > 150
    assert verdict.counters.get("watch_silent", 0) >= 4 or "silent" not in scenario.name


def test_only_drains_need_a_worker_that_stays() -> None:
    """The check of scenarios rejected one worker with any fault, not only with a drain of it."""
    assert (
        Scenario("one box", workers=1, deduplication_groups=1, faults=[Fault(1.0, "stop", 1.0)]).problem()
        is None
    )
    assert "boxes" in str(
        Scenario("one box", workers=1, deduplication_groups=1, faults=[Fault(1.0, "drain", 1.0)]).problem()
    )

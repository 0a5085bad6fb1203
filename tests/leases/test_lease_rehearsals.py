"""Several dispatcher processes act under leases on one resource, which records the times of all acts."""

from __future__ import annotations

import asyncio
from typing import Any

from beaconhinge.standin.rig import Fault, Scenario, Verdict, run_scenario
from beaconhinge.standin.rig.verdict import Act, lease_violations, leases_without_acts

QUIET: dict[str, Any] = {
    "workers": 3,
    "deduplication_groups": 1,
    "rate": 5.0,
    "keyed": 0.0,
    "render_s": 0.1,
    "client_timeout_s": 2.0,
    "leases": 4,
    "lease_span_s": 1.0,
    "stall_s": 0.5,
}


def run_scenarios(*scenarios: Scenario) -> list[Verdict]:
    async def run_all() -> list[Verdict]:
        limit = asyncio.Semaphore(3)

        async def run_one(scenario: Scenario) -> Verdict:
            async with limit:
                return await run_scenario(scenario)

        return list(await asyncio.gather(*(run_one(scenario) for scenario in scenarios)))

    return asyncio.run(run_all())


def test_no_two_processes_act_at_once_under_random_faults() -> None:
    """Faults are drawn by the seed; the resource must record no overlapping acts under one lease."""
    scenarios = [
        Scenario("drawn", seed=seed, processes=processes, seconds=11.0, drawn_faults=8, **QUIET)
        for processes, seed in ((3, 31), (3, 32), (3, 33), (5, 34), (5, 35), (9, 36))
    ]
    verdicts = run_scenarios(*scenarios)
    for verdict in verdicts:
        assert verdict.broken == [], (verdict.seed, verdict.last)
        assert verdict.acts > 150
        assert verdict.tenures >= 4
    assert sum(verdict.tenures for verdict in verdicts) >= 40
    assert {kind for verdict in verdicts for kind, hits in verdict.faults.items() if hits} >= {
        "stop",
        "kill",
        "term",
        "cut",
        "lossy",
    }


def test_stopped_or_cut_off_process_holds_no_lease_when_it_returns() -> None:
    """Each process is stopped in turn for about a span, so that the holder is among them.

    A minority that is cut off gives its leases up; jobs are served throughout.
    """
    stops = [Fault(1.5 + 2.0 * n, "stop", length, [n]) for n, length in enumerate((0.9, 1.1, 1.8))]
    cuts = [Fault(2.0, "cut", 4.0, [0], [1, 2]), Fault(2.0, "cut", 4.0, [1, 2], [0])]
    one_way = [Fault(2.0, "cut", 2.5, [0], [1, 2]), Fault(5.0, "cut", 2.5, [1, 2], [0])]
    verdicts = run_scenarios(
        *(
            Scenario(name, seed=seed, processes=3, seconds=11.0, faults=faults, **QUIET)
            for name, seed, faults in (("stops", 41, stops), ("cut off", 42, cuts), ("one way", 43, one_way))
        )
    )
    for verdict in verdicts:
        assert verdict.broken == [], (verdict.name, verdict.last)
        assert verdict.acts > 200
        assert verdict.ends["200"] > 40
    assert all(verdict.counters["leases_lost"] > 0 for verdict in verdicts)


def test_tenure_numbers_keep_growing_after_a_power_loss_of_all() -> None:
    """All are killed at once and lose their folders; numbers that start anew would let stale acts pass."""
    scenario = Scenario(
        "power",
        seed=51,
        processes=3,
        seconds=8.0,
        store=False,
        **QUIET,
        faults=[Fault(3.0, "kill", 0.2, folder="empty")],
    )
    verdict = run_scenarios(scenario)[0]
    assert verdict.broken == []
    assert verdict.tenures >= 8
    assert verdict.acts > 100


def test_checker_reports_overlapping_acts_and_falling_numbers() -> None:
    """Guards the check that the other tests here rely on."""
    acts = [Act("a", 1, 0.0, 1.0), Act("a", 1, 0.5, 1.5), Act("a", 2, 1.6, 2.0), Act("b", 1, 1.0, 3.0)]
    assert lease_violations(acts) == []
    assert len(lease_violations([*acts, Act("a", 3, 1.9, 2.1)])) == 1
    assert len(lease_violations([*acts, Act("a", 1, 2.5, 2.6)])) == 1
    assert lease_violations([*acts, Act("a", 1, 1.9, 2.1, accepted=False)]) == []


def test_judge_distinguishes_a_late_holder_from_no_holder() -> None:
    """The message for a lease without acts gives the last act before the fault and the first one after it."""
    acts = [Act("a", 1, 9.0, 9.5), Act("a", 2, 14.5, 14.6), Act("b", 1, 8.0, 9.0), Act("c", 1, 12.0, 12.1)]
    prefix = "nobody acted under lease"
    assert list(leases_without_acts(["a", "b", "c", "d"], acts, since=10.0, until=14.0)) == [
        f"{prefix} a in time after the last fault: the last before it ended at -0.50 s, the next began at +4.50 s",
        f"{prefix} b in time after the last fault: the last before it ended at -1.00 s, none after it",
        f"{prefix} d in time after the last fault: none before it, none after it",
    ]

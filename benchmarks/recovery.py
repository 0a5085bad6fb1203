"""Counts repeated keyed jobs and ejections through faults of dispatcher processes, with recovery on and off.

    python benchmarks/recovery.py [--seeds 10] [--write FILE]

Each scenario is run with each seed. A run takes about 16 s; four run at a time. Run it on an idle machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
from pathlib import Path

from beaconhinge.standin.rig import Fault, Scenario, Verdict, run_scenario

MAX_CONCURRENT_RUNS = 4
SCENARIOS = {
    "power": [Fault(4.0, "kill", 1.0), Fault(4.0, "discovery", 5.0)],
    "one killed": [Fault(4.0, "kill", 1.0, [1])],
    "one stopped": [Fault(4.0, "stop", 6.0, [1])],
}


def figures(verdict: Verdict) -> dict[str, float]:
    """Return the figures of one run, by name."""
    ran_twice = sum(1 for line in verdict.broken if line.startswith("key "))
    return {
        "keys": verdict.keys,
        "ran twice": ran_twice,
        "without a result": verdict.keys_unanswered,
        "healthy boxes benched": sum(verdict.benched.values()),
        "stalls": verdict.counters.get("stalls", 0),
    }


async def run_all(seeds: int) -> dict[str, dict[str, list[dict[str, float]]]]:
    """Run each scenario with each seed, recovery on and off; return the figures of each run.

    They are listed by the scenario's name and by "on" or "off", in the order in which the runs ended.
    """
    limit = asyncio.Semaphore(MAX_CONCURRENT_RUNS)
    figures_by_scenario: dict[str, dict[str, list[dict[str, float]]]] = {
        name: {"off": [], "on": []} for name in SCENARIOS
    }

    async def run_one(name: str, recovery: bool, seed: int) -> None:
        scenario = Scenario(
            name,
            seed=seed,
            rate=40.0,
            slots=8,
            keyed=0.4,
            seconds=14.0,
            client_timeout_s=4.0,
            recovery=recovery,
            faults=SCENARIOS[name],
        )
        async with limit:
            figures_by_scenario[name]["on" if recovery else "off"].append(
                figures(await run_scenario(scenario))
            )

    await asyncio.gather(
        *(
            run_one(name, recovery, seed)
            for seed in range(1, seeds + 1)
            for name in SCENARIOS
            for recovery in (False, True)
        )
    )
    return figures_by_scenario


def main() -> None:
    """Run, print, and write the figures to a file if one is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--write", type=Path)
    options = parser.parse_args()
    figures_by_scenario = asyncio.run(run_all(options.seeds))
    print(f"{'scenario':<12} {'recovery':<8} {'figure':<24} {'sum':>6} {'median':>7} {'worst':>6}")
    for name, by_recovery in figures_by_scenario.items():
        for recovery, rows in by_recovery.items():
            for figure in rows[0]:
                values = [row[figure] for row in rows]
                print(
                    f"{name:<12} {recovery:<8} {figure:<24} {sum(values):>6} {statistics.median(values):>7g} "
                    f"{max(values):>6}"
                )
    if options.write:
        options.write.write_text(json.dumps(figures_by_scenario, indent=1))


if __name__ == "__main__":
    main()

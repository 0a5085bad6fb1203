"""Keyed jobs, ejections and service through faults between real processes, recovery on and off, seed by seed.

    python benchmarks/recovery.py [--seeds 10] [--write FILE]

Each run takes some 16 s; four run at a time. Run it on a machine that does nothing else.
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
    """Return the figures of one run."""
    twice = sum(1 for line in verdict.broken if line.startswith("key "))
    return {
        "keys": verdict.keys,
        "ran twice": twice,
        "without a result": verdict.keys_unanswered,
        "healthy boxes benched": sum(verdict.benched.values()),
        "stalls": verdict.counters.get("stalls", 0),
    }


async def run_all(seeds: int) -> dict[str, dict[str, list[dict[str, float]]]]:
    """Run each scenario under each seed, with recovery on and off."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_RUNS)
    found: dict[str, dict[str, list[dict[str, float]]]] = {name: {"off": [], "on": []} for name in SCENARIOS}

    async def one(name: str, on: bool, seed: int) -> None:
        scenario = Scenario(
            name,
            seed=seed,
            rate=40.0,
            slots=8,
            keyed=0.4,
            seconds=14.0,
            client_timeout_s=4.0,
            recovery=on,
            faults=SCENARIOS[name],
        )
        async with limit:
            found[name]["on" if on else "off"].append(figures(await run_scenario(scenario)))

    await asyncio.gather(
        *(one(name, on, seed) for seed in range(1, seeds + 1) for name in SCENARIOS for on in (False, True))
    )
    return found


def main() -> None:
    """Run, print, and write the figures to a file if one is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--write", type=Path)
    options = parser.parse_args()
    found = asyncio.run(run_all(options.seeds))
    print(f"{'scenario':<12} {'recovery':<8} {'figure':<24} {'sum':>6} {'median':>7} {'worst':>6}")
    for name, both in found.items():
        for way, rows in both.items():
            for figure in rows[0]:
                values = [row[figure] for row in rows]
                print(
                    f"{name:<12} {way:<8} {figure:<24} {sum(values):>6} {statistics.median(values):>7g} "
                    f"{max(values):>6}"
                )
    if options.write:
        options.write.write_text(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()

"""`beaconhinge rehearse`: runs a scenario of faults on several dispatcher processes, on loopback only."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from ..standin.rig import Verdict


def rehearse(
    scenario: Annotated[
        Path,
        typer.Argument(
            help="A scenario in TOML; examples are in deploy/rehearsals.", exists=True, dir_okay=False
        ),
    ],
    seed: Annotated[int | None, typer.Option(min=0, max=65535, help="Replaces the scenario's.")] = None,
    runs: Annotated[int, typer.Option(min=1, max=10_000, help="Runs, each with the next seed.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print only the verdict, as JSON.")] = False,
) -> int:
    """Run a scenario, once or with successive seeds, and check what clients, workers and logs recorded.

    Exit status 3 when a rule was broken, or when a fault had no effect.

    Examples: beaconhinge rehearse deploy/rehearsals/stall.toml; beaconhinge rehearse power.toml --seed 7
    """
    from ..standin.rig import read_scenario, run_scenario
    from .terminated import run_until_terminated

    first = read_scenario(scenario, seed)
    for number in range(runs):
        current = first if not number else read_scenario(scenario, (first.seed + number) % 65536)
        on_event = print if runs == 1 and not as_json else _ignore
        verdict = run_until_terminated(run_scenario(current, on_event))
        _print_verdict(verdict, as_json)
        if not verdict.well:
            return 3
    return 0


def _ignore(_line: str) -> None:
    """Print nothing."""


def _print_verdict(verdict: Verdict, as_json: bool) -> None:
    import msgspec

    if as_json:
        print(json.dumps({**msgspec.to_builtins(verdict), "well": verdict.well}))
    else:
        ends = ", ".join(f"{n} {end}" for end, n in verdict.ends.items())
        print(
            f"{verdict.name}, seed {verdict.seed}: {verdict.asked} tries ({ends}); {verdict.keys} keys, "
            f"{verdict.keys_unanswered} without a result; {verdict.runs} runs"
        )
        print(
            f"served {verdict.served_before:.2f} before the first fault, {verdict.served_after:.2f} after "
            f"the last; faults hit: {verdict.faults or 'none'}"
        )
        if verdict.acts:
            print(
                f"{verdict.acts} acts under leases, of {verdict.tenures} tenures; {verdict.stale} refused "
                "for their stale lease number"
            )
        for line in verdict.broken:
            print(f"broken: {line}")
        print("verdict: well" if verdict.well else "verdict: broken")

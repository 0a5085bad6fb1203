"""`beaconhinge soak`: random overlapping faults, seed by seed, on dispatcher processes, on loopback only."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from ..standin.rig import Verdict
    from ..standin.rig.scenario import Scenario

MAX_PROCESSES = 40


def _parse_seeds(text: str) -> range:
    """Parse one seed, or FIRST..LAST; raise BadParameter for other texts."""
    first, separator, last = text.partition("..")
    try:
        seeds = range(int(first), int(last if separator else first) + 1)
    except ValueError:
        seeds = range(0)
    if not seeds or seeds[0] < 0:
        raise typer.BadParameter(f"{text}: expected a seed or a range FIRST..LAST of seeds, 0 or more")
    return seeds


def soak(
    seeds: Annotated[str, typer.Option(help="One seed, or FIRST..LAST.")] = "1..5",
    processes: Annotated[int, typer.Option(min=2, max=MAX_PROCESSES, help="Number of dispatchers.")] = 12,
    only: Annotated[str, typer.Option(help="Numbers of the faults to keep, such as 0,3.")] = "",
    shrink: Annotated[bool, typer.Option(help="Leave out faults while a seed still fails.")] = True,
    hostile: Annotated[
        bool, typer.Option(help="Floods, a crowded discovery, lost jobs and short windows instead.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print a JSON line per seed, and the sum.")] = False,
    logs: Annotated[Path | None, typer.Option(help="Folder for the logs of each seed.")] = None,
) -> int:
    """Run random faults seed by seed, and check what clients, workers and discovery recorded.

    Exit status 3 when a rule was broken, or when no fault had any effect. A failing seed is shrunk to the
    faults that it needs, and printed as one command that repeats it.

    Examples: beaconhinge soak --seeds 1..20; beaconhinge soak --seeds 7 --processes 20 --only 0,3
    """
    from ..standin.rig.hostile_soak import draw_hostile_soak
    from ..standin.rig.soak import draw_soak

    draw = draw_hostile_soak if hostile else draw_soak
    failed, hits = list[int](), Counter[str]()
    for seed in _parse_seeds(seeds):
        scenario = _keep_faults(draw(seed, processes), only)
        verdict = _run_scenario(scenario, None if logs is None else logs / f"seed-{seed}")
        hits.update(verdict.faults)
        failed += [] if verdict.well else [seed]
        _print_verdict(seed, verdict, as_json)
        if not verdict.well and shrink:
            _print_shrunk(scenario, processes, hostile)
    total = {"seeds": len(_parse_seeds(seeds)), "failed": failed, "faults": dict(sorted(hits.items()))}
    print(
        json.dumps(total)
        if as_json
        else f"{total['seeds']} seeds, failed: {failed or 'none'}; hits: "
        + ", ".join(f"{kind} {times}" for kind, times in sorted(hits.items()))
    )
    return 3 if failed or not hits.total() else 0


def _print_verdict(seed: int, verdict: Verdict, as_json: bool) -> None:
    if as_json:
        line = {
            "seed": seed,
            "asked": verdict.asked,
            "ends": verdict.ends,
            "faults": verdict.faults,
            "broken": verdict.broken,
        }
        print(json.dumps(line), flush=True)
        return
    print(
        f"seed {seed}: {verdict.asked} tries, {sum(verdict.faults.values())} hits of "
        f"{len(verdict.faults)} kinds: {'well' if verdict.well else 'broken'}",
        flush=True,
    )
    for broken in verdict.broken:
        print(f"  broken: {broken}", flush=True)


def _run_scenario(scenario: Scenario, logs: Path | None = None) -> Verdict:
    from ..standin.rig import run_scenario
    from .terminated import run_until_terminated

    return run_until_terminated(run_scenario(scenario, logs=logs))


def _keep_faults(scenario: Scenario, only: str) -> Scenario:
    """Return the scenario with only the faults that `only` numbers, such as 0,3; all if it is empty."""
    import msgspec

    if not only:
        return scenario
    try:
        faults = [scenario.faults[int(number)] for number in only.split(",")]
        return msgspec.structs.replace(scenario, faults=faults)
    except (ValueError, IndexError):
        raise typer.BadParameter(
            f"--only {only}: expected numbers of faults from 0 to {len(scenario.faults) - 1}"
        ) from None


def _print_shrunk(scenario: Scenario, processes: int, hostile: bool) -> None:
    """Shrink a failing scenario; print the command that repeats it, and the faults that remain."""
    from ..standin.rig.soak import shrink

    shrunk = shrink(scenario, lambda candidate: not _run_scenario(candidate).well)
    numbers = ",".join(str(scenario.faults.index(fault)) for fault in shrunk.faults)
    profile = " --hostile" if hostile else ""
    command = f"beaconhinge soak{profile} --seeds {scenario.seed} --processes {processes} --only {numbers}"
    print(f"  to repeat: {command}", flush=True)
    for fault in shrunk.faults:
        print(
            f"    {fault.at_s:.2f} s {fault.kind} for {fault.duration_s:.2f} s, "
            f"dispatchers {fault.dispatchers or 'all'}"
            f"{' ' + fault.spoil.value if fault.kind == 'spoil' else ''}"
            f"{' ' + fault.worker_fault.value if fault.kind == 'workers' else ''}"
            f"{' ' + fault.flood.value if fault.kind == 'flood' else ''}"
            f"{' ' + fault.lost_message.value if fault.kind == 'lost-messages' else ''}",
            flush=True,
        )

"""`beaconhinge rehearse`: several real processes through a story of faults, on loopback alone."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer


def rehearse(story: Annotated[Path, typer.Argument(help="A story in TOML; deploy/rehearsals has some.",
                                                   exists=True, dir_okay=False)],
             seed: Annotated[int | None, typer.Option(min=0, max=65535, help="Not the story's.")] = None,
             as_json: Annotated[bool, typer.Option("--json", help="The verdict alone.")] = False) -> int:
    """Play a story and judge what clients, boxes and logs wrote down.

    Status 3 when a rule was broken, or when a fault hit nothing.

    Examples: beaconhinge rehearse deploy/rehearsals/stall.toml; beaconhinge rehearse power.toml --seed 7
    """
    import msgspec

    from ..standin.rig import play, read

    verdict = asyncio.run(play(read(story, seed), (lambda line: None) if as_json else print))
    if as_json:
        print(json.dumps({**msgspec.to_builtins(verdict), "well": verdict.well}))
    else:
        ends = ", ".join(f"{n} {end}" for end, n in verdict.ends.items())
        print(f"{verdict.name}, seed {verdict.seed}: {verdict.asked} tries ({ends}); {verdict.keys} keys, "
              f"{verdict.keys_unanswered} without a result; {verdict.runs} runs")
        print(f"served {verdict.served_before:.2f} before the first fault, {verdict.served_after:.2f} after "
              f"the last; faults hit: {verdict.faults or 'none'}")
        for line in verdict.broken:
            print(f"broken: {line}")
        print("verdict: well" if verdict.well else "verdict: broken")
    return 0 if verdict.well else 3

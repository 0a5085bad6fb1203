"""`beaconhinge logs`: the logs of a fleet, added up."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="Add up log lines of many dispatchers.")


@app.command("sum")
def add_up(
    files: Annotated[list[Path], typer.Argument(exists=True, dir_okay=False)],
    as_json: Annotated[bool, typer.Option("--json", help="For scripts.")] = False,
    events: Annotated[int, typer.Option(min=1, help="How many events to show.")] = 8,
) -> int:
    """Print how often each event was logged, by second and by dispatcher, and the sums of all counters.

    Lines may be plain or JSON.

    Example: beaconhinge logs sum /var/log/beaconhinge/*.log
    """
    from ..logs import summary

    def lines(path: Path) -> list[str]:
        return path.read_text("utf-8", "replace").splitlines()

    found = summary.add_up((path.stem, lines(path)) for path in files)
    names = found.names[:events]
    nodes = sorted({node for node, _ in found.events})
    if as_json:
        print(
            json.dumps(
                {
                    "first": found.first,
                    "unread": found.unread,
                    "counters": dict(sorted(found.counters.items())),
                    "seconds": {
                        str(at): {n: found.seconds[at, n] for n in names if found.seconds[at, n]}
                        for at in sorted({at for at, _ in found.seconds})
                    },
                    "dispatchers": {
                        node: {n: found.events[node, n] for n in names if found.events[node, n]}
                        for node in nodes
                    },
                }
            )
        )
        return 0
    width = max([len(node) for node in nodes] + [6])
    print(f"{'second':>{width}} " + " ".join(f"{name:>{max(len(name), 5)}}" for name in names))
    for at in sorted({at for at, _ in found.seconds}):
        print(f"{at:>{width}} " + " ".join(f"{found.seconds[at, n]:>{max(len(n), 5)}}" for n in names))
    for node in nodes:
        print(f"{node:>{width}} " + " ".join(f"{found.events[node, n]:>{max(len(n), 5)}}" for n in names))
    for name, count in sorted(found.counters.items()):
        print(f"{name} {count}")
    if found.unread:
        print(f"{found.unread} lines are none of a dispatcher's")
    return 0

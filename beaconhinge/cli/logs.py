"""`beaconhinge logs`: the logs of a fleet, added up."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from ..logs.summary import Summary

_MIN_COLUMN = 5  # characters

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
    if as_json:
        print(json.dumps(_as_json(found, found.names[:events])))
    else:
        _print_table(found, found.names[:events])
    return 0


def _as_json(found: Summary, names: list[str]) -> dict[str, Any]:
    seconds = sorted({second for second, _ in found.seconds})
    dispatchers = sorted({dispatcher for dispatcher, _ in found.events})
    return {
        "first": found.first,
        "unread": found.unread,
        "counters": dict(sorted(found.counters.items())),
        "seconds": {
            str(second): {name: found.seconds[second, name] for name in names if found.seconds[second, name]}
            for second in seconds
        },
        "dispatchers": {
            dispatcher: {
                name: found.events[dispatcher, name] for name in names if found.events[dispatcher, name]
            }
            for dispatcher in dispatchers
        },
    }


def _print_table(found: Summary, names: list[str]) -> None:
    dispatchers = sorted({dispatcher for dispatcher, _ in found.events})
    width = max([len(dispatcher) for dispatcher in dispatchers] + [len("second")])
    columns = [max(len(name), _MIN_COLUMN) for name in names]

    def print_row(head: object, cells: list[object]) -> None:
        row = " ".join(f"{cell:>{column}}" for cell, column in zip(cells, columns, strict=True))
        print(f"{head:>{width}} {row}")

    print_row("second", list(names))
    for second in sorted({second for second, _ in found.seconds}):
        print_row(second, [found.seconds[second, name] for name in names])
    for dispatcher in dispatchers:
        print_row(dispatcher, [found.events[dispatcher, name] for name in names])
    for name, count in sorted(found.counters.items()):
        print(f"{name} {count}")
    if found.unread:
        print(f"{found.unread} lines are none of a dispatcher's")

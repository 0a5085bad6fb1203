"""`beaconhinge logs`: sums over the logs of many dispatchers."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from ..logs.summary import Summary

_MIN_COLUMN_WIDTH = 5  # characters

app = typer.Typer(no_args_is_help=True, help="Summarize the logs of many dispatchers.")


@app.command("sum")
def add_up(
    files: Annotated[list[Path], typer.Argument(exists=True, dir_okay=False)],
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")] = False,
    events: Annotated[int, typer.Option(min=1, help="How many events to show, the most frequent first.")] = 8,
) -> int:
    """Print how often each event was logged, by second and by dispatcher, and the sums of all counters.

    Each file is the log of one dispatcher, which is named after the file; lines may be plain or JSON.

    Example: beaconhinge logs sum /var/log/beaconhinge/*.log
    """
    from ..logs import summary

    def lines(path: Path) -> list[str]:
        return path.read_text("utf-8", "replace").splitlines()

    sums = summary.sum_logs((path.stem, lines(path)) for path in files)
    if as_json:
        print(json.dumps(_as_json(sums, sums.event_names[:events])))
    else:
        _print_table(sums, sums.event_names[:events])
    return 0


def _as_json(sums: Summary, names: list[str]) -> dict[str, Any]:
    seconds = sorted({second for second, _ in sums.events_by_second})
    dispatchers = sorted({dispatcher for dispatcher, _ in sums.events_by_dispatcher})
    return {
        "first": sums.start,
        "unread": sums.unread,
        "counters": dict(sorted(sums.counters.items())),
        "seconds": {
            str(second): {
                name: sums.events_by_second[second, name]
                for name in names
                if sums.events_by_second[second, name]
            }
            for second in seconds
        },
        "dispatchers": {
            dispatcher: {
                name: sums.events_by_dispatcher[dispatcher, name]
                for name in names
                if sums.events_by_dispatcher[dispatcher, name]
            }
            for dispatcher in dispatchers
        },
    }


def _print_table(sums: Summary, names: list[str]) -> None:
    dispatchers = sorted({dispatcher for dispatcher, _ in sums.events_by_dispatcher})
    width = max([len(dispatcher) for dispatcher in dispatchers] + [len("second")])
    columns = [max(len(name), _MIN_COLUMN_WIDTH) for name in names]

    def print_row(head: object, cells: list[object]) -> None:
        row = " ".join(f"{cell:>{column}}" for cell, column in zip(cells, columns, strict=True))
        print(f"{head:>{width}} {row}")

    print_row("second", list(names))
    for second in sorted({second for second, _ in sums.events_by_second}):
        print_row(second, [sums.events_by_second[second, name] for name in names])
    for dispatcher in dispatchers:
        print_row(dispatcher, [sums.events_by_dispatcher[dispatcher, name] for name in names])
    for name, count in sorted(sums.counters.items()):
        print(f"{name} {count}")
    if sums.unread:
        print(f"{sums.unread} lines are not log lines of a dispatcher")

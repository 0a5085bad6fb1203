"""`beaconhinge demo`: a dispatcher at work among stand-ins, on this machine's loopback alone."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from ..standin.harness import DemoFleet, Figures

LOOK = 0.5  # seconds between two pictures


def demo(
    seconds: Annotated[float, typer.Option(min=1, max=3600, help="How long clients ask.")] = 10.0,
    boxes: Annotated[int, typer.Option(min=1, max=200)] = 6,
    rate: Annotated[float, typer.Option(min=0.1, max=2000, help="Jobs a second.")] = 40.0,
    seed: Annotated[int, typer.Option(min=0, max=65535)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Closing figures alone.")] = False,
) -> int:
    """Start a dispatcher, discovery, script boxes and clients on free loopback ports, and show what goes on.

    Status 1 when a request did not get its one final answer.

    Examples: beaconhinge demo; beaconhinge demo --seconds 5 --json; beaconhinge demo --rate 200 --boxes 4
    """
    figures = asyncio.run(_play(seconds, boxes, rate, seed, not as_json))
    if as_json:
        import msgspec

        print(json.dumps({**msgspec.to_builtins(figures), "well": figures.well}))
    else:
        print(
            f"{figures.asked} requests: {figures.served} served, {figures.refused} refused, "
            f"{figures.failed} failed, {figures.missing} without an answer; "
            f"median {figures.median_ms:.0f} ms, 99 of 100 within {figures.p99_ms:.0f} ms"
        )
    return 0 if figures.well else 1


async def _play(seconds: float, boxes: int, rate: float, seed: int, live: bool) -> Figures:
    from ..standin.harness import running_demo_fleet

    async with running_demo_fleet(boxes, rate, seed) as made:
        asking = asyncio.create_task(made.clients.run(seconds))
        if live and sys.stdout.isatty():
            await _show(made, asking)
        await asking
        return made.figures(seconds, await made.stop())


async def _show(made: DemoFleet, asking: asyncio.Task[None]) -> None:
    from rich.live import Live

    with Live(_picture(made), refresh_per_second=4, transient=True) as live:
        while not asking.done():
            made.ask_for_counters()
            await asyncio.wait({asking}, timeout=LOOK)
            live.update(_picture(made))


def _picture(made: DemoFleet) -> Any:
    from rich.console import Group
    from rich.table import Table

    told, clients = made.counters, made.clients
    dispatcher = Table(title=f"dispatcher on 127.0.0.1:{made.port}")
    for name in ("taken", "in work", "sent", "served", "refused", "failed"):
        dispatcher.add_column(name, justify="right")
    answered = sum(n for name, n in told.items() if name.startswith("answer_"))
    dispatcher.add_row(
        *(
            str(n)
            for n in (
                told.get("requests_taken", 0),
                told.get("requests_taken", 0) - answered,
                told.get("attempts", 0),
                told.get("answer_served", 0),
                told.get("answer_refused", 0),
                told.get("answer_failed", 0),
            )
        )
    )
    fleet = Table(title="script boxes")
    for name in ("box", "in work", "taken", "done", "turned away"):
        fleet.add_column(name, justify="right")
    for box in made.boxes:
        counts = (str(box.counters[name]) for name in ("taken", "done", "turned_away"))
        fleet.add_row(box.name, str(len(box.jobs)), *counts)
    asked = Table(title="clients")
    for name in ("asked", "open", "answers"):
        asked.add_column(name, justify="right")
    asked.add_row(
        str(clients.asked),
        str(clients.open),
        " ".join(f"{status}: {n}" for status, n in sorted(clients.answers.items())),
    )
    return Group(dispatcher, fleet, asked)

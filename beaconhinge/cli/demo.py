"""`beaconhinge demo`: a dispatcher with stand-in discovery, workers and clients, on loopback only."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from ..standin.harness import DemoFleet, Figures

REFRESH_INTERVAL_S = 0.5  # between two updates of the tables on the terminal


def demo(
    seconds: Annotated[float, typer.Option(min=1, max=3600, help="How long clients send requests.")] = 10.0,
    workers: Annotated[int, typer.Option("--boxes", min=1, max=200)] = 6,
    rate: Annotated[float, typer.Option(min=0.1, max=2000, help="Jobs per second.")] = 40.0,
    seed: Annotated[int, typer.Option(min=0, max=65535)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print only the final figures, as JSON.")] = False,
) -> int:
    """Start a dispatcher, discovery, workers and clients on free loopback ports, and show their counters.

    Exit status 1 when a request did not get exactly one final answer.

    Examples: beaconhinge demo; beaconhinge demo --seconds 5 --json; beaconhinge demo --rate 200 --boxes 4
    """
    figures = asyncio.run(_run_demo(seconds, workers, rate, seed, not as_json))
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


async def _run_demo(seconds: float, workers: int, rate: float, seed: int, live: bool) -> Figures:
    from ..standin.harness import running_demo_fleet

    async with running_demo_fleet(workers, rate, seed) as fleet:
        requests = asyncio.create_task(fleet.clients.run(seconds))
        if live and sys.stdout.isatty():
            await _show_tables(fleet, requests)
        await requests
        return fleet.figures(seconds, await fleet.stop())


async def _show_tables(fleet: DemoFleet, requests: asyncio.Task[None]) -> None:
    """Show tables of counters on the terminal until all requests have ended."""
    from rich.live import Live

    with Live(_render(fleet), refresh_per_second=4, transient=True) as live:
        while not requests.done():
            fleet.ask_for_counters()
            await asyncio.wait({requests}, timeout=REFRESH_INTERVAL_S)
            live.update(_render(fleet))


def _render(fleet: DemoFleet) -> Any:
    from rich.console import Group
    from rich.table import Table

    counters, clients = fleet.counters, fleet.clients
    dispatcher = Table(title=f"dispatcher on 127.0.0.1:{fleet.port}")
    for name in ("requests", "in progress", "attempts", "served", "refused", "failed"):
        dispatcher.add_column(name, justify="right")
    answered = sum(n for name, n in counters.items() if name.startswith("answer_"))
    dispatcher.add_row(
        *(
            str(n)
            for n in (
                counters.get("requests_taken", 0),
                counters.get("requests_taken", 0) - answered,
                counters.get("attempts", 0),
                counters.get("answer_served", 0),
                counters.get("answer_refused", 0),
                counters.get("answer_failed", 0),
            )
        )
    )
    workers = Table(title="workers")
    for name in ("worker", "in progress", "accepted", "done", "rejected"):
        workers.add_column(name, justify="right")
    for worker in fleet.workers:
        counts = (str(worker.counters[name]) for name in ("taken", "done", "turned_away"))
        workers.add_row(worker.name, str(len(worker.jobs)), *counts)
    client_table = Table(title="clients")
    for name in ("requests", "open", "answers"):
        client_table.add_column(name, justify="right")
    client_table.add_row(
        str(clients.asked),
        str(clients.open),
        " ".join(f"{status}: {n}" for status, n in sorted(clients.answers.items())),
    )
    return Group(dispatcher, workers, client_table)

"""The commands in one tree."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any

import typer

from . import config, demo, leases, logs, rehearse, soak, store

# Typer carries its own copy of click in some versions, so that the class is found where typer has it.
UsageError: Any = next(kind for kind in typer.BadParameter.__mro__ if kind.__name__ == "UsageError")

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A dispatcher that takes jobs from clients and pushes them to workers.",
)
app.add_typer(config.app, name="config")
app.add_typer(leases.app, name="leases")
app.add_typer(logs.app, name="logs")
app.add_typer(store.app, name="store")
app.command("demo")(demo.demo)
app.command("rehearse")(rehearse.rehearse)
app.command("soak")(soak.soak)


@app.command("run")
def run(
    file: Annotated[
        Path,
        typer.Option(
            "--config", help="The platform's JSON, or our TOML beside it.", exists=True, dir_okay=False
        ),
    ],
) -> int:
    """Serve until SIGTERM.

    Examples: beaconhinge run --config balancer.json; beaconhinge run --config deploy/edge.toml
    """
    from ..__main__ import run as serve

    name = "RELAY_CONFIG" if file.suffix == ".json" else "BEACONHINGE_CONFIG"
    return serve({**os.environ, name: str(file)})

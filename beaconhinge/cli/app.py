"""The root command `beaconhinge`, to which all subcommands are added."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any

import typer

from . import config, demo, leases, logs, rehearse, soak, store

# Some versions of typer have their own copy of click, so the class is looked up among the bases of typer's.
UsageError: Any = next(base for base in typer.BadParameter.__mro__ if base.__name__ == "UsageError")

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
            "--config",
            help="The platform's JSON file, or this program's TOML file.",
            exists=True,
            dir_okay=False,
        ),
    ],
) -> int:
    """Run a dispatcher until SIGTERM.

    Examples: beaconhinge run --config balancer.json; beaconhinge run --config deploy/edge.toml
    """
    from ..__main__ import run as serve

    variable = "RELAY_CONFIG" if file.suffix == ".json" else "BEACONHINGE_CONFIG"
    return serve({**os.environ, variable: str(file)})

"""`beaconhinge config`: check a configuration, or show every key with its value."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="Check or show a configuration file, in JSON or TOML.")
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]


@app.command()
def check(file: Annotated[Path, typer.Argument(exists=True, dir_okay=False)], as_json: AsJson = False) -> int:
    """Check a configuration file as `run` reads it.

    Exit status 2 and one line of error when a key is invalid.

    Example: beaconhinge config check deploy/edge.toml
    """
    from ..config import ConfigError, load

    try:
        if file.suffix == ".json":
            load({"RELAY_CONFIG": str(file)})
        else:
            from ..config.local import read

            local_config = read(file)
            if local_config.platform.config:
                load({"RELAY_CONFIG": local_config.platform.config})
    except ConfigError as error:
        if as_json:
            print(json.dumps({"file": str(file), "well": False, "error": str(error)}))
            return 2
        raise
    print(json.dumps({"file": str(file), "well": True}) if as_json else f"{file}: well")
    return 0


@app.command()
def show(
    file: Annotated[Path | None, typer.Argument(exists=True, dir_okay=False)] = None,
    defaults: Annotated[bool, typer.Option("--defaults", help="Print every key with its default.")] = False,
    as_json: AsJson = False,
) -> int:
    """Print every key of a TOML file with its value; keys that it lacks have their defaults.

    Examples: beaconhinge config show --defaults; beaconhinge config show deploy/edge.toml --json
    """
    import tomli_w

    from ..config.local import LocalConfig, read, to_tables

    if (file is None) != defaults:
        raise typer.BadParameter("name a file, or say --defaults")
    tables = to_tables(LocalConfig() if file is None else read(file))
    sys.stdout.write(json.dumps(tables, indent=1) + "\n" if as_json else tomli_w.dumps(tables))
    return 0

"""The command line: one file for each group of subcommands, which imports its subsystem on use.

Status 0: well; 1: could not; 2: bad usage or configuration; 3: checked and found broken.
"""

from __future__ import annotations

import sys

from ..config import ConfigError
from ..errors import Error


def main(arguments: list[str] | None = None) -> int:
    """Run one command; its exit status. Errors are one line on standard error."""
    try:
        import typer
    except ImportError:
        print(
            "beaconhinge: the command line needs its libraries: pip install 'beaconhinge[cli]'",
            file=sys.stderr,
        )
        return 2
    from .app import UsageError, app

    try:
        status = app(args=arguments, prog_name="beaconhinge", standalone_mode=False)
    except UsageError as error:
        print(f"beaconhinge: {error.format_message()}", file=sys.stderr)
        return 2
    except typer.Abort:
        print("beaconhinge: stopped", file=sys.stderr)
        return 1
    except typer.Exit as ended:
        return int(ended.exit_code)
    except ConfigError as error:
        print(f"beaconhinge: {error}", file=sys.stderr)
        return 2
    except (Error, OSError) as error:
        print(f"beaconhinge: {error}", file=sys.stderr)
        return 1
    return status if isinstance(status, int) else 0

"""The command line: a module for each group of subcommands, which imports its subsystem when it is run.

Exit status 0: success; 1: the command failed; 2: wrong usage or invalid configuration; 3: a check found
damage or a broken rule.
"""

from __future__ import annotations

import sys

from ..config import ConfigError
from ..errors import Error


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit status. Errors are one line on standard error."""
    try:
        import typer
    except ImportError:
        print(
            "beaconhinge: the command line needs typer, which is not installed: "
            "pip install 'beaconhinge[cli]'",
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

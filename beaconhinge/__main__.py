"""Entry point of the program: reads the configuration, blocks signals at the start, sets the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from .application import SIGNALS_BLOCKED_AT_START, serve
from .config import ConfigError, load
from .errors import Error

if TYPE_CHECKING:
    from .config.local import LocalConfig

SIGNALS_IGNORED_AT_END = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1}
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_CONFIG = 2


def run(environment: Mapping[str, str]) -> int:
    """Serve until SIGTERM or SIGINT, and return the exit status.

    The variable BEACONHINGE_CONFIG names the local configuration file (TOML); without it there is none.
    """
    # With io_uring, libuv starts a kernel thread that polls. Under a limit of half a core that thread took
    # nine tenths of the CPU, and the dispatcher ran late. libuv reads the variable when the loop is created.
    os.environ["UV_USE_IO_URING"] = "0"
    # SIGHUP may arrive during the start; its default action would end the process before the handler is set.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS_BLOCKED_AT_START)
    local_config: LocalConfig | None = None
    read_local_config: Callable[[], LocalConfig] | None = None
    try:
        if environment.get("BEACONHINGE_CONFIG"):
            from .config.local import read

            path = environment["BEACONHINGE_CONFIG"]
            read_local_config = lambda: read(path)  # noqa: E731
            local_config = read_local_config()
            if local_config.platform.config:
                environment = {**environment, "RELAY_CONFIG": local_config.platform.config}
        shared_folder = Path(environment["TMPDIR"]) if environment.get("TMPDIR") else None
        read_config = lambda: load(environment)  # noqa: E731
        uvloop.run(
            _serve_and_ignore_signals(serve(read_config, local_config, shared_folder, read_local_config))
        )
    except ConfigError as error:
        return _report_error(f"{error}", EXIT_BAD_CONFIG)
    except Error as error:
        return _report_error(f"cannot start: {error}", EXIT_FAILED)
    except OSError as error:
        return _report_error(f"cannot serve: {error}", EXIT_FAILED)
    return EXIT_OK


async def _serve_and_ignore_signals(serving: Coroutine[None, None, None]) -> None:
    """Await `serving`, then ignore signals, since the event loop restores their default actions as it closes.

    Without this, a signal during the close ended the process with the signal's status, though every request
    had been answered.
    """
    await serving
    loop = asyncio.get_running_loop()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS_IGNORED_AT_END)
    for number in SIGNALS_IGNORED_AT_END:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _report_error(message: str, status: int) -> int:
    """Print a message to stderr, and return the exit status."""
    print(f"beaconhinge: {message}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(run(os.environ))

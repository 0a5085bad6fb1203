"""The program that `run` starts: configuration, signals at the start, exit status."""

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
    """Serve until a signal ends it; returns the exit status.

    BEACONHINGE_CONFIG names our own TOML, where there is one.
    """
    # libuv's io_uring starts a kernel thread that polls. It took nine tenths of the CPU within half a core,
    # and the work here ran late. libuv reads this when the loop is made.
    os.environ["UV_USE_IO_URING"] = "0"
    # A new configuration may come while this starts: SIGHUP would end a process that has no handler yet.
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
        uvloop.run(_serve_to_the_end(serve(read_config, local_config, shared_folder, read_local_config)))
    except ConfigError as error:
        return _complain(f"{error}", EXIT_BAD_CONFIG)
    except Error as error:
        return _complain(f"cannot start: {error}", EXIT_FAILED)
    except OSError as error:
        return _complain(f"cannot serve: {error}", EXIT_FAILED)
    return EXIT_OK


async def _serve_to_the_end(serving: Coroutine[None, None, None]) -> None:
    """Serve, and ignore signals after that: the loop restores the default actions as it closes.

    One that came then ended the process with the status of the signal, though all was answered.
    """
    await serving
    loop = asyncio.get_running_loop()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS_IGNORED_AT_END)
    for number in SIGNALS_IGNORED_AT_END:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _complain(why: str, status: int) -> int:
    print(f"beaconhinge: {why}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(run(os.environ))

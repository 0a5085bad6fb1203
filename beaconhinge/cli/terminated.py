"""Lets SIGTERM end a command as Ctrl-C does: the processes that it started are ended first."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


def run_until_terminated(work: Coroutine[Any, Any, Result]) -> Result:
    """Run the coroutine and return its result; SIGTERM cancels it.

    Raises:
        asyncio.CancelledError: SIGTERM came, and the coroutine has cleaned up.
    """

    async def terminable() -> Result:
        task = asyncio.ensure_future(work)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await task
        finally:
            loop.remove_signal_handler(signal.SIGTERM)

    return asyncio.run(terminable())

"""An event loop in virtual time, and a clock that simulates a pause of the process between any two readings."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

START_S = 1000.0
READ_DURATION_S = 1e-6  # the time that one reading of the clock takes


class PausingClock:
    """A clock that advances with each reading, while the loop waits, and once by a pause.

    Attributes:
        readings: The number of readings so far.
        pause_before_reading: The pause comes before the reading of this number, counted from 0; -1 for none.
        pause_s: The length of the pause in seconds.
    """

    def __init__(self, pause_before_reading: int = -1, pause_s: float = 0.0) -> None:
        self.readings = 0
        self.pause_before_reading = pause_before_reading
        self.pause_s = pause_s
        self._now = START_S

    def now(self) -> float:
        if self.readings == self.pause_before_reading:
            self._now += self.pause_s
        self.readings += 1
        self._now += READ_DURATION_S
        return self._now

    def sleep(self, seconds: float) -> None:
        self._now += seconds


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self, clock: PausingClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        found = super().select(0)
        if not found:
            assert timeout is not None, "the event loop would wait for ever: no timer and no ready socket"
            self._clock.sleep(max(timeout, 0.0))
        return found


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that, like libuv's, reads its clock after each wait and when a timer is set."""

    def __init__(self, clock: PausingClock) -> None:
        super().__init__(_VirtualSelector(clock))
        self._clock = clock

    def time(self) -> float:
        return self._clock.now()


def run_in_virtual_time(clock: PausingClock, coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on an event loop with this clock, and return its result."""
    with asyncio.Runner(loop_factory=lambda: _VirtualLoop(clock)) as runner:
        return runner.run(coroutine)

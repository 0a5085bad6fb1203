"""An event loop in virtual time, on a clock that lets the process stand still between any two readings."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

START_S = 1000.0
READING_S = 1e-6  # the time that one reading of the clock takes


class PausingClock:
    """Time moves when the loop waits, and once by a pause before the reading of a number."""

    def __init__(self, pause_before_reading: int = -1, pause_s: float = 0.0) -> None:
        self.readings = 0
        self.pause_before_reading = pause_before_reading
        self.pause_s = pause_s
        self._now = START_S

    def now(self) -> float:
        if self.readings == self.pause_before_reading:
            self._now += self.pause_s
        self.readings += 1
        self._now += READING_S
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
            assert timeout is not None, "nothing is left to wait for"
            self._clock.sleep(max(timeout, 0.0))
        return found


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Like libuv's, its time is read when it has waited and when a timer is set."""

    def __init__(self, clock: PausingClock) -> None:
        super().__init__(_VirtualSelector(clock))
        self._clock = clock

    def time(self) -> float:
        return self._clock.now()


def run_in_virtual_time(clock: PausingClock, coroutine: Coroutine[Any, Any, Result]) -> Result:
    with asyncio.Runner(loop_factory=lambda: _VirtualLoop(clock)) as runner:
        return runner.run(coroutine)

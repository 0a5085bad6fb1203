"""A timer wheel of coarse ticks. Timers never fire early, and at most one tick late if the loop is idle.

Timers are due at times of the wheel's clock. After a stall of the process, the timers that became due during
it fire in the order of these times, wherever the program was when it stalled.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from types import TracebackType

TICK_S = 0.005
SLOTS = 512  # a timer that is due more ticks ahead stays in its slot for another rotation of the wheel


class Timer:
    """A call that is scheduled for a time.

    Attributes:
        due_at: The time of the wheel's clock, in seconds, at which the call is due.
        due_tick: The tick at which it is made.
        callback: The function to call; None once it has been called or cancelled.
    """

    __slots__ = ("callback", "due_at", "due_tick")

    def __init__(self, due_at: float, due_tick: int, callback: Callable[[], object]) -> None:
        self.due_at = due_at
        self.due_tick = due_tick
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Cancel the call; no effect if it has been made or cancelled before."""
        self.callback = None


class TimerWheel:
    """Holds timers in the slots of their ticks; it sets no timer of the event loop while it is empty.

    Attributes:
        now: The clock, in seconds.
        on_error: Called with a name and the exception when a timer's callback fails.
        postponed_for: Returns the seconds for which timers must still wait after a stall of the process.
    """

    def __init__(self, now: Callable[[], float], on_error: Callable[[str, BaseException], None]) -> None:
        self.now = now
        self.on_error = on_error
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._origin = now()
        self._last_tick = 0  # the last tick whose timers were fired
        self._count = 0
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_tick = 0  # the tick for which the event loop's timer is set
        self._firing = False
        self._stopped = False
        self.postponed_for: Callable[[], float] = lambda: 0.0

    def after(self, seconds: float, callback: Callable[[], object]) -> Timer:
        """Call a function after so many seconds from now, never earlier.

        Use `at` for a time that is already known: seconds computed from an earlier reading of the clock would
        make the timer late by any stall of the process since that reading.
        """
        return self.at(self.now() + seconds, callback)

    def at(self, time_s: float, callback: Callable[[], object]) -> Timer:
        """Call a function at a time of the wheel's clock, never earlier; a past time means the next tick."""
        if self._count == 0:
            self._last_tick = max(self._last_tick, self._current_tick())
        due = max(math.ceil((time_s - self._origin) / TICK_S), self._last_tick + 1)
        timer = Timer(time_s, due, callback)
        if self._stopped:
            return timer
        self._slots[due % SLOTS].append(timer)
        self._count += 1
        if not self._firing and (self._wakeup is None or due < self._wakeup_tick):
            self._schedule_wakeup()
        return timer

    def timeout(self, seconds: float) -> Timeout:
        """Return a context that limits an `async with` block to so many seconds from its start."""
        return Timeout(self, lambda: self.now() + seconds)

    def timeout_at(self, time_s: float) -> Timeout:
        """Return a context that ends an `async with` block at a time of the wheel's clock."""
        return Timeout(self, lambda: time_s)

    def stop(self) -> None:
        """Fire no more timers: a task started by a timer while the loop closes would stay pending."""
        self._stopped = True
        self._count = 0
        self._slots = [[] for _ in range(SLOTS)]
        if self._wakeup is not None:
            self._wakeup.cancel()

    def fire_due(self) -> None:
        """Fire all due timers in the order of their times.

        A late loop catches up; if it is late by more than a rotation of the wheel, each slot is visited once.
        """
        wait = self.postponed_for()
        if wait > 0:
            # Data that arrived during the stall is read first. Tick 0 keeps newer timers from shortening
            # this wait.
            self._wakeup_tick = 0
            self._wakeup = asyncio.get_running_loop().call_later(wait, self.fire_due)
            return
        self._wakeup, self._firing = None, True
        target = self._current_tick()
        due: list[Timer] = []
        for tick in range(max(self._last_tick + 1, target - SLOTS + 1), target + 1):
            slot = self._slots[tick % SLOTS]
            if slot:
                due += [t for t in slot if t.due_tick <= target]
                self._slots[tick % SLOTS] = [
                    t for t in slot if t.due_tick > target and t.callback is not None
                ]
                self._count -= len(slot) - len(self._slots[tick % SLOTS])
        self._last_tick = max(self._last_tick, target)
        for timer in sorted(due, key=lambda t: t.due_at):
            callback, timer.callback = timer.callback, None
            if callback is not None:
                try:
                    callback()
                except Exception as error:  # noqa: BLE001  # one timer's failure must not lose the others
                    self.on_error("timer", error)
        self._firing = False
        if self._count:
            self._schedule_wakeup()

    def _current_tick(self) -> int:
        return math.floor((self.now() - self._origin) / TICK_S + 1e-6)

    def _schedule_wakeup(self) -> None:
        ahead = next((n for n in range(1, SLOTS) if self._slots[(self._last_tick + n) % SLOTS]), SLOTS)
        self._wakeup_tick = self._last_tick + ahead
        now = self.now()
        while True:
            wait = self._origin + self._wakeup_tick * TICK_S - now
            if self._wakeup is not None:
                self._wakeup.cancel()
            self._wakeup = asyncio.get_running_loop().call_later(max(wait, 0.0), self.fire_due)
            before, now = now, self.now()
            if wait <= 0.0 or now - before < TICK_S:
                return  # otherwise the process stalled here, and the loop's timer is late by that time


class Timeout:
    """The context of `TimerWheel.timeout`: cancels its block at the end time, and raises TimeoutError."""

    def __init__(self, timers: TimerWheel, end: Callable[[], float]) -> None:
        """Create a context.

        Args:
            timers: The wheel that ends the block.
            end: Returns the time of the wheel's clock at which the block ends; called as the block begins.
        """
        self._timers = timers
        self._end = end
        self._expired = False

    async def __aenter__(self) -> Timeout:
        self._task = asyncio.current_task()
        self._timer = self._timers.at(self._end(), self._expire)
        return self

    def _expire(self) -> None:
        if self._task is not None:
            self._expired = True
            self._task.cancel()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._timer.cancel()
        # A cancellation from elsewhere at the same time is passed on as a cancellation.
        if not self._expired or self._task is None:
            return
        if self._task.uncancel() == 0 and kind is asyncio.CancelledError:
            raise TimeoutError from error

"""A timer wheel of coarse ticks. A timer never fires early, at most a tick late while the loop is free.

Timers are due at times of the wheel's clock. A process that stands still fires what has become due meanwhile
in the order of these times, wherever in the program it stood.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from types import TracebackType

TICK_S = 0.005
SLOTS = 512  # a timer further ahead than so many ticks stays in its slot for another turn


class Timer:
    """One call at a time to come; `call` is None once it was made or cancelled."""

    __slots__ = ("callback", "due_at", "due_tick")

    def __init__(self, due_at: float, due_tick: int, callback: Callable[[], object]) -> None:
        self.due_at = due_at
        self.due_tick = due_tick
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Drop the call; a second time changes nothing."""
        self.callback = None


class TimerWheel:
    """Timers hang in the slot of their tick; the wheel sleeps while no timer is left.

    Attributes:
        now: the clock, in seconds.
        postponed_for: seconds that timers have to wait still, after the process stood still.
    """

    def __init__(self, now: Callable[[], float], on_error: Callable[[str, BaseException], None]) -> None:
        self.now = now
        self.on_error = on_error
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._origin = now()
        self._last_tick = 0  # the last tick whose slot was emptied
        self._count = 0
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_tick = 0  # the tick for which the loop's timer is set
        self._firing = False
        self._stopped = False
        self.postponed_for: Callable[[], float] = lambda: 0.0

    def after(self, seconds: float, call: Callable[[], object]) -> Timer:
        """Call something after so many seconds from now, not earlier.

        What is due at a time that is known already is set by `at`: a difference to an earlier reading of the
        clock grows by as long as the process stood still since.
        """
        return self.at(self.now() + seconds, call)

    def at(self, time_s: float, call: Callable[[], object]) -> Timer:
        """Call something at that time of the wheel's clock, not earlier; soon if it is over."""
        if self._count == 0:
            self._last_tick = max(self._last_tick, self._current_tick())
        due = max(math.ceil((time_s - self._origin) / TICK_S), self._last_tick + 1)
        timer = Timer(time_s, due, call)
        if self._stopped:
            return timer
        self._slots[due % SLOTS].append(timer)
        self._count += 1
        if not self._firing and (self._wakeup is None or due < self._wakeup_tick):
            self._schedule_wakeup()
        return timer

    def timeout(self, seconds: float) -> Timeout:
        """Bound the time of an `async with` block, counted from its beginning."""
        return Timeout(self, lambda: self.now() + seconds)

    def timeout_at(self, time_s: float) -> Timeout:
        """End an `async with` block at that time of the wheel's clock."""
        return Timeout(self, lambda: time_s)

    def stop(self) -> None:
        """Fire nothing from now on: a task that a timer begins while the loop closes would stay pending."""
        self._stopped = True
        self._count = 0
        self._slots = [[] for _ in range(SLOTS)]
        if self._wakeup is not None:
            self._wakeup.cancel()

    def fire_due(self) -> None:
        """Fire what is due. A late loop catches up; more than a whole turn late, each slot is seen once."""
        wait = self.postponed_for()
        if wait > 0:
            # What came while the process stood still is read first; no newer timer shortens that.
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
            call, timer.callback = timer.callback, None
            if call is not None:
                try:
                    call()
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
                return  # else the process stood still meanwhile, and the loop's timer is late by that


class Timeout:
    """`async with timers.timeout(seconds)`: the body gets that long, then TimeoutError is raised."""

    def __init__(self, timers: TimerWheel, end: Callable[[], float]) -> None:
        """`end` returns the time at which the body ends, as it begins."""
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
        # A cancellation from elsewhere at the same moment goes on as what it is.
        if not self._expired or self._task is None:
            return
        if self._task.uncancel() == 0 and kind is asyncio.CancelledError:
            raise TimeoutError from error

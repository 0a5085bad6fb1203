"""A timer wheel of coarse ticks. A timer never fires early, at most a tick late while the loop is free."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from types import TracebackType

TICK = 0.005
SLOTS = 512


class Timer:
    __slots__ = ("call", "due")

    def __init__(self, due: int, call: Callable[[], object]) -> None:
        self.due = due
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        self.call = None


class Wheel:
    """Timers hang in the slot of their tick; the wheel sleeps while no timer is left."""

    def __init__(self, now: Callable[[], float], failed: Callable[[str, BaseException], None]) -> None:
        self.now = now
        self.failed = failed
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._origin = now()
        self._turned = 0  # the last tick whose slot was emptied
        self._count = 0
        self._wake: asyncio.TimerHandle | None = None
        self._wakes_at = 0  # the tick for which the loop's timer is set
        self._turning = False
        self.held_for: Callable[[], float] = lambda: 0.0  # seconds that timers have to wait still

    def after(self, seconds: float, call: Callable[[], object]) -> Timer:
        if self._count == 0:
            self._turned = max(self._turned, self._ticks())
        due = max(math.ceil((self.now() + seconds - self._origin) / TICK), self._turned + 1)
        timer = Timer(due, call)
        self._slots[due % SLOTS].append(timer)
        self._count += 1
        if not self._turning and (self._wake is None or due < self._wakes_at):
            self._sleep()
        return timer

    def limit(self, seconds: float) -> Limit:
        return Limit(self, seconds)

    def turn(self) -> None:
        """Fire what is due. A late loop catches up; more than a whole turn late, each slot is seen once."""
        wait = self.held_for()
        if wait > 0:
            # What came while the process stood still is read first; no newer timer shortens that.
            self._wakes_at = 0
            self._wake = asyncio.get_running_loop().call_later(wait, self.turn)
            return
        self._wake, self._turning = None, True
        target = self._ticks()
        due: list[Timer] = []
        for tick in range(max(self._turned + 1, target - SLOTS + 1), target + 1):
            slot = self._slots[tick % SLOTS]
            if slot:
                due += [t for t in slot if t.due <= target]
                self._slots[tick % SLOTS] = [t for t in slot if t.due > target and t.call is not None]
                self._count -= len(slot) - len(self._slots[tick % SLOTS])
        self._turned = max(self._turned, target)
        for timer in sorted(due, key=lambda t: t.due):
            call, timer.call = timer.call, None
            if call is not None:
                try:
                    call()
                except Exception as error:  # one timer's failure must not lose the others
                    self.failed("timer", error)
        self._turning = False
        if self._count:
            self._sleep()

    def _ticks(self) -> int:
        return math.floor((self.now() - self._origin) / TICK + 1e-6)

    def _sleep(self) -> None:
        ahead = next((n for n in range(1, SLOTS) if self._slots[(self._turned + n) % SLOTS]), SLOTS)
        self._wakes_at = self._turned + ahead
        wait = self._origin + self._wakes_at * TICK - self.now()
        if self._wake is not None:
            self._wake.cancel()
        self._wake = asyncio.get_running_loop().call_later(max(wait, 0.0), self.turn)


class Limit:
    """`async with wheel.limit(seconds)`: the body gets that long, then TimeoutError is raised."""

    def __init__(self, wheel: Wheel, seconds: float) -> None:
        self._wheel = wheel
        self._seconds = seconds
        self._expired = False

    async def __aenter__(self) -> Limit:
        self._task = asyncio.current_task()
        self._timer = self._wheel.after(self._seconds, self._expire)
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
        if self._expired and self._task is not None and self._task.uncancel() == 0:
            if kind is asyncio.CancelledError:
                raise TimeoutError from error

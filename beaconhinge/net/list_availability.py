"""Determines whether the endpoint list may be acted on, and lets senders wait until it may."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..membership.freshness import FreshnessState, ListFreshness
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel


class ListAvailability:
    """Reports to senders whether the endpoint list may be acted on, and lets them wait until it may.

    Attributes:
        freshness: Tracks the list's age and the pauses of this process.
    """

    def __init__(
        self,
        pushed: bool,
        timers: TimerWheel,
        metrics: Metrics,
        on_process_paused: Callable[[], None],
    ) -> None:
        """Start with a list that may not be acted on.

        Args:
            pushed: Whether a local agent pushes lists.
            timers: The clock.
            metrics: Where a list that becomes unknown is counted.
            on_process_paused: Called when a pause of this process is detected, before anything else is sent.
        """
        self.freshness = ListFreshness(pushed, timers.now())
        self._timers = timers
        self._metrics = metrics
        self._on_process_paused = on_process_paused
        self._confirmed_s = timers.now()  # when discovery last confirmed the list
        self._usable = asyncio.Event()

    @property
    def usable(self) -> bool:
        """Whether the list may be acted on now. Detects a pause of this process, and reports it."""
        now = self._timers.now()
        if self.freshness.mark_running(now):
            self._usable.clear()  # changes announced during the pause were missed
            self._on_process_paused()
        return self.freshness.state(now) is not FreshnessState.UNKNOWN

    @property
    def list_age_s(self) -> float:
        """Seconds since discovery last confirmed the list."""
        return self._timers.now() - self._confirmed_s

    def handle_answer(self, call_started_s: float, now: float) -> None:
        """Record an answer that shows the list to be current."""
        self._confirmed_s = now
        self.freshness.handle_answer(call_started_s, now)

    def update(self) -> None:
        """Release the senders that wait for a usable list, or make senders wait from now on."""
        if self.usable:
            self._usable.set()
        elif self._usable.is_set():
            self._usable.clear()
            self._metrics.count_and_log("list_unknown", list_age=self.list_age_s)

    async def wait_until_usable(self) -> None:
        """Wait until the list may be acted on.

        The event may still be set although the list has become unknown since the last update, so it is
        updated first.
        """
        self.update()
        await self._usable.wait()

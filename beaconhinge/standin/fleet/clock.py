"""Virtual time: calls in the order of their times, and of their making where those are the same."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Clock:
    """Seconds of virtual time, which pass only in `run`."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._order = count()

    def after(self, seconds: float, call: Callable[[], object]) -> None:
        """Plan a call in so many seconds."""
        heapq.heappush(self._heap, (self.now + seconds, next(self._order), call))

    def run(self, until: float) -> None:
        """Make all calls that are due by then, and those that they plan by then."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

"""Virtual time: runs scheduled calls by their due times, and those due at the same time as scheduled."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Clock:
    """Scheduler of calls. `now` is the virtual time in seconds, which advances only in `run`."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._order = count()

    def after(self, seconds: float, call: Callable[[], object]) -> None:
        """Schedule a call in this many seconds."""
        heapq.heappush(self._heap, (self.now + seconds, next(self._order), call))

    def run(self, until: float) -> None:
        """Make all calls due by this time, including those scheduled meanwhile, and advance `now` to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

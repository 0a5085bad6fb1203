"""Counts the moments in which no watch is open, by what ended the watch before, and by their length."""

from __future__ import annotations

import enum

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel

# A watch goes on if the next one is called within this time of the last one's answer.
WATCH_CONTINUES_S = 0.2
# Upper bounds of the classes of length, in seconds, with the names of their counters.
LENGTH_COUNTERS = (
    (0.01, "watch_gap_le_10ms"),
    (0.05, "watch_gap_le_50ms"),
    (WATCH_CONTINUES_S, "watch_gap_le_200ms"),
    (1.0, "watch_gap_le_1s"),
    (6.0, "watch_gap_le_6s"),
)
LONGEST_COUNTER = "watch_gap_over_6s"


class WatchEnd(enum.Enum):
    """What ended a watch. The values stand in log lines and names of counters."""

    NONE = "none"  # there has been none since the start, or since polling was begun
    ANSWERED = "answered"
    SILENT = "silent"  # no answer came in time
    REFUSED = "refused"  # discovery had too many callers
    FAILED = "failed"  # it broke, or its answer was no list
    CANCELLED = "cancelled"  # it was given up for another address, another list or another numbering


class WatchGaps:
    """Measures from the end of a watch to the call of the next one."""

    def __init__(self, timers: TimerWheel, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._ended_s = timers.now()
        self._end: WatchEnd | None = WatchEnd.NONE  # None: a watch is open

    def begin(self, end: WatchEnd) -> None:
        """Record that no watch is open from now on, unless that is known."""
        if self._end is None:
            self._end, self._ended_s = end, self._timers.now()

    def finish(self) -> None:
        """Record that a watch is called now."""
        if self._end is None:
            return
        end, self._end = self._end, None
        seconds = self._timers.now() - self._ended_s
        self._metrics.count(f"watch_gaps_{end.value}")
        self._metrics.count(
            next((name for bound, name in LENGTH_COUNTERS if seconds <= bound), LONGEST_COUNTER)
        )
        if seconds > WATCH_CONTINUES_S:
            self._metrics.log("watch_resumed", why=end.value, after=seconds)

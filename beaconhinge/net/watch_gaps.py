"""Counts the gaps between watches, by the end of the watch before and by the length of the gap."""

from __future__ import annotations

import enum

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel

# A watch counts as uninterrupted if the next one is called within this time of the last one's answer.
WATCH_CONTINUES_S = 0.2
# Upper bounds of gap lengths in seconds, with the names of their counters.
LENGTH_COUNTERS = (
    (0.01, "watch_gap_le_10ms"),
    (0.05, "watch_gap_le_50ms"),
    (WATCH_CONTINUES_S, "watch_gap_le_200ms"),
    (1.0, "watch_gap_le_1s"),
    (6.0, "watch_gap_le_6s"),
)
LONGEST_COUNTER = "watch_gap_over_6s"


class WatchEnd(enum.Enum):
    """How a watch ended. The values appear in log lines and counter names."""

    NONE = "none"  # no watch since the start, or since polling began
    ANSWERED = "answered"
    SILENT = "silent"  # no answer arrived in time
    REFUSED = "refused"  # discovery had too many callers
    FAILED = "failed"  # the connection broke, or the answer was not a list
    CANCELLED = "cancelled"  # abandoned for another address, another list or another numbering of versions


class WatchGaps:
    """Measures the time from the end of a watch to the call of the next one."""

    def __init__(self, timers: TimerWheel, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._gap_started_s = timers.now()
        self._previous_end: WatchEnd | None = WatchEnd.NONE  # None: a watch is open

    def start_gap(self, end: WatchEnd) -> None:
        """Record that a watch has ended, and how; no effect if none is open."""
        if self._previous_end is None:
            self._previous_end, self._gap_started_s = end, self._timers.now()

    def end_gap(self) -> None:
        """Count the gap that ends as a watch is called, and log a long one; no effect if a watch is open."""
        if self._previous_end is None:
            return
        end, self._previous_end = self._previous_end, None
        seconds = self._timers.now() - self._gap_started_s
        self._metrics.count(f"watch_gaps_{end.value}")
        self._metrics.count(
            next((name for bound, name in LENGTH_COUNTERS if seconds <= bound), LONGEST_COUNTER)
        )
        if seconds > WATCH_CONTINUES_S:
            self._metrics.log("watch_resumed", why=end.value, after=seconds)

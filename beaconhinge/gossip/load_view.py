"""Load of workers as they report it themselves, where dispatchers may not exchange messages."""

from __future__ import annotations

import math

INF = float("inf")

# A report this young is as good as seen.
FRESH_REPORT_S = 0.3
# Weight of one report in the mean of what other dispatchers have in flight.
MEAN_WEIGHT = 0.15
# Part of a worker's slots that others are assumed to hold at most, without a fresh report.
MAX_UNKNOWN_SHARE = 0.5
# A report loses its weight over the time that a job takes, but not faster than over this.
MIN_DECAY_S = 0.1


class ReportedLoad:
    """Slots that other dispatchers have in flight on workers, by the workers' own reports.

    A report is worth the less the older it is beside the time that a job takes.
    """

    def __init__(self) -> None:
        self._reports: dict[int, tuple[float, float]] = {}  # time and slots, by key of a worker
        self._mean = 0.0

    def record(self, now: float, key: int, slots: float) -> None:
        """Record that others have `slots` in flight on a worker."""
        self._reports[key] = now, slots
        self._mean += MEAN_WEIGHT * (slots - self._mean)

    def is_fresh(self, now: float, key: int) -> bool:
        """Whether the worker has reported just now."""
        return now - self._reports.get(key, (-INF, 0.0))[0] < FRESH_REPORT_S

    def in_flight_elsewhere(self, now: float, key: int, lasts: float, limit: float) -> float:
        """Slots of others on a worker that holds `limit` slots, where jobs take `lasts` seconds."""
        reported_at, slots = self._reports.get(key, (-INF, 0.0))
        weight = math.exp((reported_at - now) / max(lasts, MIN_DECAY_S))
        return weight * slots + (1 - weight) * min(self._mean, MAX_UNKNOWN_SHARE * limit)

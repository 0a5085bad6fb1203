"""Load of workers as they report it themselves, for fleets whose dispatchers may not exchange messages."""

from __future__ import annotations

import math

INF = float("inf")

# A report younger than this is treated as the current state.
FRESH_REPORT_S = 0.3
# The weight of one report in the mean over all workers of the slots that other dispatchers have in flight.
MEAN_WEIGHT = 0.15
# The largest share of a worker's slots that other dispatchers are assumed to hold when the worker has not
# reported recently.
MAX_UNKNOWN_SHARE = 0.5
# The weight of a report decays exponentially, with the duration of a job as the time constant, but at least
# this one.
MIN_DECAY_S = 0.1


class ReportedLoad:
    """Slots that other dispatchers have in flight on workers, estimated from the workers' own reports.

    A report has the less weight the older it is, compared with the duration of a job.
    """

    def __init__(self) -> None:
        self._reports: dict[int, tuple[float, float]] = {}  # time and slots, by worker key
        self._mean = 0.0  # slots of other dispatchers on a worker, smoothed over all reports

    def record(self, now: float, key: int, slots: float) -> None:
        """Record that other dispatchers have `slots` in flight on the worker with this key."""
        self._reports[key] = now, slots
        self._mean += MEAN_WEIGHT * (slots - self._mean)

    def is_fresh(self, now: float, key: int) -> bool:
        """Return whether the worker's last report is younger than FRESH_REPORT_S."""
        return now - self._reports.get(key, (-INF, 0.0))[0] < FRESH_REPORT_S

    def in_flight_elsewhere(self, now: float, key: int, lasts: float, limit: float) -> float:
        """Return the slots that other dispatchers are estimated to have in flight on a worker.

        Args:
            now: The current time, in seconds.
            key: The worker's key.
            lasts: The duration of a job, in seconds.
            limit: The number of the worker's slots.
        """
        reported_at, slots = self._reports.get(key, (-INF, 0.0))
        weight = math.exp((reported_at - now) / max(lasts, MIN_DECAY_S))
        return weight * slots + (1 - weight) * min(self._mean, MAX_UNKNOWN_SHARE * limit)

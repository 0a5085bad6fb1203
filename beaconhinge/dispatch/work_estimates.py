"""Turns clients' hints of a job's cost into work estimates for the policy. No I/O and no clock."""

from __future__ import annotations

from bisect import insort
from collections import deque

# Number of recent hints per class that the median is taken of; over half must be outliers to move it far.
HINTS_KEPT = 31
# Minimum number of hints per class for a median.
MEDIAN_MIN_HINTS = 5
# A hint above or below the median of its class by more than this factor is an outlier and is bounded.
OUTLIER_FACTOR = 32.0
# Hints are used once this share of recent jobs carries one.
ENABLE_SHARE = 0.75
# Hints are no longer used once less than this share of recent jobs carries one.
DISABLE_SHARE = 0.25
# Weight of a new value in the exponential averages.
SMOOTHING = 1 / 32


class WorkEstimator:
    """Estimates the work of jobs from the hints that a deployment's clients send.

    The policy's figures are per unit of hinted work, so either every job must have an estimate or none: where
    most jobs carry a hint, a missing one is filled in; where few do, all hints are ignored.

    Attributes:
        bounded_count: Number of hints that were outliers and have been bounded.
        in_use: Whether hints are in use, so that jobs get estimates.
    """

    def __init__(self) -> None:
        self.bounded_count = 0
        self.in_use = False
        self._hint_share = 0.0  # exponential average of the share of jobs with a hint
        self._job_count = 0
        self._mean_work_s = 0.0  # exponential average of the bounded hints of all classes
        self._classes: dict[int, _ClassHints] = {}

    def estimate_s(self, request_class: int, hint_s: float, remaining_s: float) -> float:
        """Return the estimated work of a job, and update the averages with its hint.

        Args:
            request_class: The job's class.
            hint_s: The client's hint of the work, in seconds of a standard core; 0 if it sent none.
            remaining_s: Seconds that the client still waits.

        Returns:
            Work in seconds of a standard core; 0 while hints are not in use.
        """
        self._job_count += 1
        self._hint_share += max(SMOOTHING, 1 / self._job_count) * ((hint_s > 0) - self._hint_share)
        self.in_use = self._hint_share >= (DISABLE_SHARE if self.in_use else ENABLE_SHARE)
        if (class_hints := self._classes.get(request_class)) is None:
            class_hints = self._classes[request_class] = _ClassHints()
        if hint_s > 0:
            work_s = class_hints.bound(hint_s, remaining_s)
            self.bounded_count += work_s != hint_s
            class_hints.record(hint_s, work_s)
            self._mean_work_s += SMOOTHING * (work_s - self._mean_work_s) if self._mean_work_s else work_s
        else:
            work_s = class_hints.mean_work_s or self._mean_work_s
        return work_s if self.in_use else 0.0


class _ClassHints:
    """The recent hints of one request class, in seconds of a standard core."""

    def __init__(self) -> None:
        self.mean_work_s = 0.0  # exponential average of the bounded hints
        self._latest_hints_s: deque[float] = deque(maxlen=HINTS_KEPT)  # as sent, in order of arrival
        self._sorted_hints_s: list[float] = []

    def bound(self, hint_s: float, remaining_s: float) -> float:
        """Return the hint, limited to the range of OUTLIER_FACTOR around the median, in seconds.

        Without a median yet, the hint is limited to `remaining_s`.
        """
        if len(self._sorted_hints_s) < MEDIAN_MIN_HINTS:
            return min(hint_s, remaining_s)  # the client would not wait for a longer job
        median_s = self._sorted_hints_s[len(self._sorted_hints_s) // 2]
        return min(max(hint_s, median_s / OUTLIER_FACTOR), median_s * OUTLIER_FACTOR)

    def record(self, hint_s: float, work_s: float) -> None:
        """Add a hint as sent (`hint_s`) to the median and as bounded (`work_s`) to the mean."""
        if len(self._latest_hints_s) == HINTS_KEPT:
            self._sorted_hints_s.remove(self._latest_hints_s[0])
        self._latest_hints_s.append(hint_s)
        insort(self._sorted_hints_s, hint_s)
        self.mean_work_s += SMOOTHING * (work_s - self.mean_work_s) if self.mean_work_s else work_s

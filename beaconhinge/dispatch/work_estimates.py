"""Clients' hints of what a job costs, turned into work estimates for the policy. Pure."""

from __future__ import annotations

from bisect import insort
from collections import deque

# Hints of a class that its median is taken of; over half of them must be absurd to move it far.
HINTS_KEPT = 31
# With fewer hints than this there is no median to go by.
MEDIAN_MIN_HINTS = 5
# A hint that is further than this factor from the median of its class, up or down, is absurd and is bounded.
OUTLIER_FACTOR = 32.0
# Share of recent jobs with a hint from which on hints are used, and below which they no longer are.
ENABLE_SHARE = 0.75
DISABLE_SHARE = 0.25
# Weight of a new value in the exponential averages.
SMOOTHING = 1 / 32


class WorkEstimator:
    """Work estimates from what a deployment's clients hint.

    The policy's figures are per unit of hinted work, so either every job has an estimate or none has: a
    missing hint is filled in, and a few hints in a deployment without them are ignored.

    Attributes:
        bounded_count: How many hints were absurd and have been bounded.
        in_use: Whether estimates are given at present.
    """

    def __init__(self) -> None:
        self.bounded_count = 0
        self.in_use = False
        self._hint_share = 0.0  # of recent jobs, those that came with a hint
        self._job_count = 0
        self._mean_work_s = 0.0  # of all classes, after bounding
        self._classes: dict[int, _ClassHints] = {}

    def estimate_s(self, request_class: int, hint_s: float, remaining_s: float) -> float:
        """Estimate the work of a job, and learn from its hint.

        Args:
            request_class: The job's class.
            hint_s: Work in seconds of a standard core as its client hints; 0 if it does not.
            remaining_s: How long the client still waits.

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
        self.mean_work_s = 0.0  # after bounding
        self._latest_hints_s: deque[float] = deque(maxlen=HINTS_KEPT)  # as sent, in order of arrival
        self._sorted_hints_s: list[float] = []

    def bound(self, hint_s: float, remaining_s: float) -> float:
        """Bring an absurd hint back to the edge of what is plausible."""
        if len(self._sorted_hints_s) < MEDIAN_MIN_HINTS:
            return min(hint_s, remaining_s)  # a longer job would be of no use to its client
        median_s = self._sorted_hints_s[len(self._sorted_hints_s) // 2]
        return min(max(hint_s, median_s / OUTLIER_FACTOR), median_s * OUTLIER_FACTOR)

    def record(self, hint_s: float, work_s: float) -> None:
        """Take a hint, as sent and as bounded, into the median and the mean."""
        if len(self._latest_hints_s) == HINTS_KEPT:
            self._sorted_hints_s.remove(self._latest_hints_s[0])
        self._latest_hints_s.append(hint_s)
        insort(self._sorted_hints_s, hint_s)
        self.mean_work_s += SMOOTHING * (work_s - self.mean_work_s) if self.mean_work_s else work_s

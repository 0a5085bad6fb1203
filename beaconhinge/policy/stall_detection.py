"""Stall detection: silent workers, workers that have slowed down, and attempts that may be lost."""

import math
from statistics import median

from .context import Context
from .request_table import Attempt, Request
from .work_estimates import OBSERVATION_WEIGHT, WorkEstimates
from .workers import Worker, WorkerTable

SILENT_PROGRESS_INTERVALS = 1.5
"""Progress intervals without a notice after which a worker with jobs is silent."""

SILENT_JOB_TIMES = 3.0
"""Mean job times, by slots in flight, after which it is, where it sends no notices."""

MIN_RELATIVE_SPEED = 0.5
"""Speed by the progress of its jobs, beside the fleet's, under which a worker is passed over."""

SPEED_OBSERVATION_WEIGHT = 0.4
"""Weight of one progress notice in a worker's speed."""

SPEED_DECAY_S = 8.0
"""Seconds after which an observed speed is forgotten."""

LOST_AFTER_S = 1.0
"""Seconds without a sign of its start until a job counts as lost, with those of the next line."""

LOST_AFTER_START_DELAYS = 8.0
"""Usual start delays until a job counts as lost: copies of jobs that merely wait add load."""

MIN_SPEED = 0.01
MIN_PROGRESS_RATE = 1e-6


class StallDetection:
    """How fast workers go on with their jobs.

    Attributes:
        fleet_speed: Speed of the middle worker.
        mean_start_delay_s: Seconds from sends to starts, lately.
    """

    def __init__(self, context: Context, workers: WorkerTable, estimates: WorkEstimates) -> None:
        """Start with all workers at full speed."""
        self._context = context
        self._workers = workers
        self._estimates = estimates
        self.fleet_speed = 1.0
        self.mean_start_delay_s = 0.0

    def speed_of(self, worker: Worker) -> float:
        """Speed of a worker against its own best; what was seen is forgotten in time."""
        age = (worker.speed_measured_at - self._context.now) / SPEED_DECAY_S
        return 1 - (1 - worker.relative_speed) * math.exp(age)

    def update_fleet_speed(self) -> None:
        """Take the speed of the middle worker anew."""
        self.fleet_speed = median([self.speed_of(w) for w in self._workers.all_listed] or [1.0])

    def is_silent(self, worker: Worker) -> bool:
        """Whether a worker with jobs has given no sign for too long.

        Guards against one that stands still with its process up, or is cut off. With more jobs in flight one
        of them should end sooner; a run of long jobs may cost it new ones until one ends.
        """
        limit = SILENT_PROGRESS_INTERVALS * self._context.settings.progress_interval_s
        limit = limit or self._estimates.mean_latency_s * (1 + SILENT_JOB_TIMES / max(worker.in_flight, 1.0))
        return worker.in_flight > 0 and self._context.now - worker.last_heard_at > limit > 0

    def record_start(self, attempt: Attempt) -> None:
        """An attempt has started: how long that took counts when it is the first sign of it."""
        attempt.start_delay_s = self._context.now - attempt.sent_at
        if not attempt.start_seen:
            error = attempt.start_delay_s - self.mean_start_delay_s
            self.mean_start_delay_s += OBSERVATION_WEIGHT * error

    def record_progress(self, attempt: Attempt, worker: Worker, progress: float) -> None:
        """How fast a job goes on.

        Its length is not known, but it is the same all the time: when it goes on slower than it did, the
        worker has slowed down, though it answers and fails nothing.
        """
        now = self._context.now
        span = now - (attempt.progress_at or attempt.sent_at)
        if span < self._context.settings.progress_interval_s / 2 or progress < attempt.progress:
            return  # reported twice, or late
        rate, speed = (progress - attempt.progress) / span, self.speed_of(worker)
        at_full_speed = rate if attempt.best_progress_rate else rate / speed
        attempt.best_progress_rate = max(attempt.best_progress_rate, at_full_speed, MIN_PROGRESS_RATE)
        attempt.progress_rate, attempt.progress, attempt.progress_at = rate, progress, now
        change = SPEED_OBSERVATION_WEIGHT * (rate / attempt.best_progress_rate - speed)
        worker.relative_speed = max(speed + change, MIN_SPEED)
        worker.speed_measured_at = now

    def is_stalled(self, request: Request, attempt: Attempt, fleet_rate_limited: bool) -> bool:
        """Whether an attempt may never end, or will end late where another would not.

        Args:
            request: The request.
            attempt: One of its attempts in flight.
            fleet_rate_limited: Whether the fleet rate is cut.
        """
        now = self._context.now
        if not attempt.start_seen:
            unseen_s = now - max(attempt.sent_at, attempt.worker.last_heard_at)
            lost = unseen_s > LOST_AFTER_S + LOST_AFTER_START_DELAYS * self.mean_start_delay_s
            # In a full fleet a copy would wait as well.
            return lost and not (self._context.large_group and fleet_rate_limited)
        if self.is_silent(attempt.worker):
            return True
        if attempt.progress_rate >= MIN_RELATIVE_SPEED * attempt.best_progress_rate * self.fleet_speed:
            return False
        cls, whole = request.request_class, 1 / attempt.best_progress_rate
        due = request.first_tried_at + cls.latency_objective_s + cls.objective_stretch * whole
        left = (1 - attempt.progress) / max(attempt.progress_rate, MIN_PROGRESS_RATE)
        return now + whole / self.fleet_speed < due < now + left

    def skip_own_stall(self, seconds: float) -> None:
        """The workers' silence while this process itself stood still was its own."""
        for worker in self._workers.by_id.values():
            worker.last_heard_at += seconds

"""Stall detection: finds silent workers, workers that have slowed down, and attempts that may be lost."""

import math
from statistics import median

from .context import Context
from .request_table import Attempt, Request
from .work_estimates import OBSERVATION_WEIGHT, WorkEstimates
from .workers import Worker, WorkerTable

SILENT_PROGRESS_INTERVALS = 1.5
"""A worker with jobs in flight is silent after this many progress intervals without a notice."""

SILENT_JOB_TIMES = 3.0
"""Used where workers send no progress notices.

A worker with jobs in flight is silent after mean latency x (1 + this / slots in flight) without a sign.
"""

MIN_RELATIVE_SPEED = 0.5
"""Workers with a lower speed, relative to the fleet's, are avoided. Speed is measured by job progress."""

SPEED_OBSERVATION_WEIGHT = 0.4
"""Weight of one progress notice in a worker's speed."""

SPEED_DECAY_S = 8.0
"""Time constant, in seconds, with which an observed speed returns to 1."""

LOST_AFTER_S = 1.0
"""Seconds without a sign from the worker until a job without a start notice counts as lost."""

LOST_AFTER_START_DELAYS = 8.0
"""Mean start delays added to LOST_AFTER_S, because copies of jobs that only wait add load."""

MIN_SPEED = 0.01
MIN_PROGRESS_RATE = 1e-6


class StallDetection:
    """Tracks the speed and the silence of workers, and the start delays of attempts.

    Attributes:
        fleet_speed: Median speed of the workers that may receive jobs; 1 is full speed.
        mean_start_delay_s: Smoothed seconds from a send to its start.
    """

    def __init__(self, context: Context, workers: WorkerTable, estimates: WorkEstimates) -> None:
        """Start with all workers at full speed."""
        self._context = context
        self._workers = workers
        self._estimates = estimates
        self.fleet_speed = 1.0
        self.mean_start_delay_s = 0.0

    def speed_of(self, worker: Worker) -> float:
        """Speed of a worker relative to its own best, from 0 to 1. An observed speed decays back to 1."""
        age = (worker.speed_measured_at - self._context.now) / SPEED_DECAY_S
        return 1 - (1 - worker.relative_speed) * math.exp(age)

    def update_fleet_speed(self) -> None:
        """Recompute the median speed of the workers."""
        self.fleet_speed = median([self.speed_of(w) for w in self._workers.all_listed] or [1.0])

    def is_silent(self, worker: Worker) -> bool:
        """Whether a worker with jobs in flight has sent nothing for too long.

        Such a worker may hang while its process is up, or be cut off from the network. Without progress
        notices the limit is shorter with more jobs in flight, since one of them should end sooner. A worker
        that runs long jobs only may then get no new ones until one of them ends.
        """
        limit = SILENT_PROGRESS_INTERVALS * self._context.settings.progress_interval_s
        limit = limit or self._estimates.mean_latency_s * (1 + SILENT_JOB_TIMES / max(worker.in_flight, 1.0))
        return worker.in_flight > 0 and self._context.now - worker.last_heard_at > limit > 0

    def record_start(self, attempt: Attempt) -> None:
        """Record the start of an attempt. The mean counts its delay if no earlier notice showed the start."""
        attempt.start_delay_s = self._context.now - attempt.sent_at
        if not attempt.start_seen:
            error = attempt.start_delay_s - self.mean_start_delay_s
            self.mean_start_delay_s += OBSERVATION_WEIGHT * error

    def record_progress(self, attempt: Attempt, worker: Worker, progress: float) -> None:
        """Record the progress of a job, and update the speed of its worker.

        The length of a job is unknown but constant. When its progress per second falls, the worker has slowed
        down, even if it answers and fails no job.

        Args:
            attempt: The attempt.
            worker: The worker that reports.
            progress: Share of the job done, from 0 to 1.
        """
        now = self._context.now
        span = now - (attempt.progress_at or attempt.sent_at)
        if span < self._context.settings.progress_interval_s / 2 or progress < attempt.progress:
            return  # a repeated or late notice
        rate, speed = (progress - attempt.progress) / span, self.speed_of(worker)
        at_full_speed = rate if attempt.best_progress_rate else rate / speed
        attempt.best_progress_rate = max(attempt.best_progress_rate, at_full_speed, MIN_PROGRESS_RATE)
        attempt.progress_rate, attempt.progress, attempt.progress_at = rate, progress, now
        change = SPEED_OBSERVATION_WEIGHT * (rate / attempt.best_progress_rate - speed)
        worker.relative_speed = max(speed + change, MIN_SPEED)
        worker.speed_measured_at = now

    def is_stalled(self, request: Request, attempt: Attempt, fleet_rate_limited: bool) -> bool:
        """Whether an attempt may never end, or will miss the objective where a new one would meet it.

        Args:
            request: The request.
            attempt: One of its attempts in flight.
            fleet_rate_limited: Whether the fleet rate is limited.
        """
        now = self._context.now
        if not attempt.start_seen:
            no_sign_s = now - max(attempt.sent_at, attempt.worker.last_heard_at)
            seems_lost = no_sign_s > LOST_AFTER_S + LOST_AFTER_START_DELAYS * self.mean_start_delay_s
            # While the fleet rate is limited, a copy would wait as well.
            return seems_lost and not (self._context.large_group and fleet_rate_limited)
        if self.is_silent(attempt.worker):
            return True
        if attempt.progress_rate >= MIN_RELATIVE_SPEED * attempt.best_progress_rate * self.fleet_speed:
            return False
        cls, full_run_s = request.request_class, 1 / attempt.best_progress_rate
        objective_at = request.first_tried_at + cls.latency_objective_s + cls.objective_stretch * full_run_s
        remaining_s = (1 - attempt.progress) / max(attempt.progress_rate, MIN_PROGRESS_RATE)
        return now + full_run_s / self.fleet_speed < objective_at < now + remaining_s

    def skip_own_stall(self, seconds: float) -> None:
        """Don't count a time in which this process itself did not run as silence of workers.

        Args:
            seconds: Length of that time.
        """
        for worker in self._workers.by_id.values():
            worker.last_heard_at += seconds

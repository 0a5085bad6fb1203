"""Means over what was served: seconds for a unit of work, work of a job, latency, work by class."""

from .request_table import Request
from .served_work import ServedWork
from .workers import Worker

OBSERVATION_WEIGHT = 0.15
"""Weight of one observation in a worker's own means."""

FLEET_OBSERVATION_WEIGHT = 0.05
"""Weight of one observation in the means of all workers."""

MAX_WORK_WEIGHT = 3.0
"""A long job counts as that many mean ones at most."""

MIN_RUN_S = 1e-4

UNHINTED_WORK_SHARE = 0.4
"""A job without a hint is taken as this part of the mean: most are shorter than the mean."""


class WorkEstimates:
    """What a job is expected to take.

    Attributes:
        seconds_per_work: Seconds for a unit of work on the mean worker; 0 until one was served.
        mean_work: Work of a job, as hinted.
        mean_latency_s: Mean latency of what was served; 0 until one was.
        work_by_class: Work done by class and kind of worker.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.seconds_per_work = 0.0
        self.mean_work = 1.0
        self.mean_latency_s = 0.0
        self.work_by_class = ServedWork()

    def record_arrival(self, work: float) -> None:
        """Count the hinted work of a job that has arrived."""
        self.mean_work += FLEET_OBSERVATION_WEIGHT * (work - self.mean_work)

    def record_served(
        self, worker: Worker, request: Request, latency: float, start_delay: float, cold: bool
    ) -> None:
        """Learn from a request served in `latency` seconds, `start_delay` of them before its start."""
        pace = max(latency - start_delay, latency / 10, MIN_RUN_S) / request.work
        weight = min(request.work / self.mean_work, MAX_WORK_WEIGHT)  # waits make short jobs seem slow
        error = latency - self.mean_latency_s
        self.mean_latency_s += FLEET_OBSERVATION_WEIGHT * error if self.mean_latency_s else latency
        if not cold:
            own, gossip = worker.seconds_per_work, self.seconds_per_work
            worker.seconds_per_work += OBSERVATION_WEIGHT * weight * (pace - own) if own else pace
            self.seconds_per_work += FLEET_OBSERVATION_WEIGHT * weight * (pace - gossip) if gossip else pace
        worker.class_ejections.pop(request.request_class, None)
        self.work_by_class.record(request.request_class, worker.kind, pace * request.work, request.slots)

    def slot_seconds(self, request: Request, worker: Worker) -> float:
        """Slots times seconds that a request is expected to take on a worker."""
        mean = self.work_by_class.mean_seconds(request.request_class, worker.kind)
        return request.slots * max(mean, request.work * (self.seconds_per_work or 1.0))

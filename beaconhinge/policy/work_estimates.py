"""Estimates learned from served jobs: seconds per unit of work, work per job, latency, work by class."""

from .request_table import Request
from .served_work import ServedWork
from .workers import Worker

OBSERVATION_WEIGHT = 0.15
"""Weight of one observation in the means of one worker."""

FLEET_OBSERVATION_WEIGHT = 0.05
"""Weight of one observation in the means of all workers."""

MAX_WORK_WEIGHT = 3.0
"""Limit of the weight of a long job, in jobs of mean work."""

MIN_RUN_S = 1e-4

UNHINTED_WORK_SHARE = 0.4
"""Share of the mean run time expected of a job without a size hint: most jobs are shorter than the mean."""


class WorkEstimates:
    """Estimates of the time and the slots that jobs take.

    Attributes:
        seconds_per_work: Mean seconds per unit of work over all workers; 0 before the first served job.
        mean_work: Smoothed work of a job, by the hints.
        mean_latency_s: Smoothed latency of served jobs in seconds; 0 before the first one.
        work_by_class: Served work by class and kind of worker.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.seconds_per_work = 0.0
        self.mean_work = 1.0
        self.mean_latency_s = 0.0
        self.work_by_class = ServedWork()

    def record_arrival(self, work: float) -> None:
        """Count the hinted work of an arrived job in the mean."""
        self.mean_work += FLEET_OBSERVATION_WEIGHT * (work - self.mean_work)

    def record_served(
        self, worker: Worker, request: Request, latency: float, start_delay: float, cold: bool
    ) -> None:
        """Update the estimates with a served request.

        Args:
            worker: The worker that served it.
            request: The request.
            latency: Seconds from the send to the answer.
            start_delay: Seconds of these before its start.
            cold: Whether the worker is cold. If so, the time per unit of work is not learned.
        """
        observed = max(latency - start_delay, latency / 10, MIN_RUN_S) / request.work
        # Short jobs weigh less because waiting time makes them seem slow.
        weight = min(request.work / self.mean_work, MAX_WORK_WEIGHT)
        error = latency - self.mean_latency_s
        self.mean_latency_s += FLEET_OBSERVATION_WEIGHT * error if self.mean_latency_s else latency
        if not cold:
            own, fleet = worker.seconds_per_work, self.seconds_per_work
            worker.seconds_per_work += OBSERVATION_WEIGHT * weight * (observed - own) if own else observed
            self.seconds_per_work += (
                FLEET_OBSERVATION_WEIGHT * weight * (observed - fleet) if fleet else observed
            )
        worker.class_ejections.pop(request.request_class, None)
        self.work_by_class.record(request.request_class, worker.kind, observed * request.work, request.slots)

    def slot_seconds(self, request: Request, worker: Worker) -> float:
        """Expected slot-seconds of a request on a worker: its slots times its run time."""
        mean = self.work_by_class.mean_seconds(request.request_class, worker.kind)
        return request.slots * max(mean, request.work * (self.seconds_per_work or 1.0))

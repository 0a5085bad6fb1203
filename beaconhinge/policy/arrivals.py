"""Arrivals: what a job that has arrived needs, and whether it is worth a try."""

from . import interface
from .context import Context
from .interface import RETRY_FLAG
from .request_table import Request
from .retries import RetryPolicy
from .work_estimates import UNHINTED_WORK_SHARE, WorkEstimates


class Arrivals:
    """Makes requests of jobs.

    Attributes:
        max_client_timeouts: Most time that a job of each class came with.
    """

    def __init__(self, context: Context, estimates: WorkEstimates, retries: RetryPolicy) -> None:
        """Start without jobs."""
        self._context = context
        self._estimates = estimates
        self._retries = retries
        self.max_client_timeouts = [0.0] * len(context.settings.classes)

    def create_request(self, job: interface.JobArrived) -> Request:
        """The request, with its times.

        The objective counts from the client's first try. A later one is marked or, where clients do not mark
        theirs, shows by the less time it came with; marked ones guard against clients that just wait less.
        """
        settings = self._context.settings
        counted_from = job.times_from or self._context.now
        cls = settings.classes[job.class_index]
        seconds_per_work = self._estimates.seconds_per_work
        run = job.size_hint or UNHINTED_WORK_SHARE * seconds_per_work
        expected = job.size_hint * seconds_per_work or run
        given = job.client_timeout or job.remaining
        longest = max(self.max_client_timeouts[job.class_index], given)
        self.max_client_timeouts[job.class_index] = longest
        repeat = bool(job.flags & RETRY_FLAG) or not settings.clients_mark_retries
        first_try = counted_from - (longest - given if repeat else 0.0)
        objective_at = first_try + cls.latency_objective_s + cls.objective_stretch * run
        return Request(
            id=job.request,
            request_class=cls,
            slots=max(job.slots, 1.0),
            work=job.size_hint or 1.0,
            first_tried_at=first_try,
            deadline=counted_from + job.remaining,
            objective_at=objective_at,
            expected_s=expected,
            start_by=max(first_try + cls.latency_objective_s / 2, objective_at - expected),
        )

    def should_reject(self, job: interface.JobArrived, request: Request) -> bool:
        """Whether a try has no use.

        It is a client's repeat, which would be a second run or worthless by now; or it would end too late.
        """
        no_late_value = request.request_class.late_value == 0
        last_start = request.start_by if no_late_value else self._retries.give_up_at(request)
        given = job.client_timeout or job.remaining
        too_short = job.remaining < min(given, request.expected_s)
        return job.may_run_elsewhere or self._context.now > last_start or too_short

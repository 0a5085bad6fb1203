"""Arrivals: turns an arrived job into a request, and rejects it if an attempt would be useless."""

from . import interface
from .context import Context
from .interface import RETRY_FLAG
from .request_table import Request
from .retries import RetryPolicy
from .work_estimates import UNHINTED_WORK_SHARE, WorkEstimates


class Arrivals:
    """Creates the requests of arrived jobs.

    Attributes:
        max_client_timeouts: Longest client timeout seen for each class, in seconds.
    """

    def __init__(self, context: Context, estimates: WorkEstimates, retries: RetryPolicy) -> None:
        """Start without any client timeouts seen."""
        self._context = context
        self._estimates = estimates
        self._retries = retries
        self.max_client_timeouts = [0.0] * len(context.settings.classes)

    def create_request(self, job: interface.JobArrived) -> Request:
        """Create the request of a job, with its deadline and objective.

        The latency objective counts from the client's first try. A retry is recognized by its flag or, where
        clients do not mark retries, by a shorter timeout than the longest one of its class. The difference is
        taken as the time since the first try. Where clients mark retries, an unmarked job with a shorter
        timeout is a first try of a client that waits less.
        """
        settings = self._context.settings
        counted_from = job.times_from or self._context.now
        cls = settings.classes[job.class_index]
        seconds_per_work = self._estimates.seconds_per_work
        run = job.size_hint or UNHINTED_WORK_SHARE * seconds_per_work
        expected = job.size_hint * seconds_per_work or run
        client_timeout_s = job.client_timeout or job.remaining
        longest = max(self.max_client_timeouts[job.class_index], client_timeout_s)
        self.max_client_timeouts[job.class_index] = longest
        is_retry = bool(job.flags & RETRY_FLAG) or not settings.clients_mark_retries
        first_tried_at = counted_from - (longest - client_timeout_s if is_retry else 0.0)
        objective_at = first_tried_at + cls.latency_objective_s + cls.objective_stretch * run
        return Request(
            id=job.request,
            request_class=cls,
            slots=max(job.slots, 1.0),
            work=job.size_hint or 1.0,
            first_tried_at=first_tried_at,
            deadline=counted_from + job.remaining,
            objective_at=objective_at,
            expected_s=expected,
            start_by=max(first_tried_at + cls.latency_objective_s / 2, objective_at - expected),
        )

    def should_reject(self, job: interface.JobArrived, request: Request) -> bool:
        """Whether a job must be rejected on arrival because an attempt would be useless.

        That is so if it may have run elsewhere, so that this would be a second run; if its latest useful
        start has passed; or if the time remaining is less than its expected run time although its client
        waits longer.
        """
        no_late_value = request.request_class.late_value == 0
        last_start = request.start_by if no_late_value else self._retries.give_up_at(request)
        client_timeout_s = job.client_timeout or job.remaining
        too_short = job.remaining < min(client_timeout_s, request.expected_s)
        return job.may_run_elsewhere or self._context.now > last_start or too_short

"""Slow start: limits the work sent to a worker that has just started, until it has warmed up."""

from ..gossip import codec
from .concurrency_limits import INITIAL_LIMIT_SLOTS, ConcurrencyLimits
from .context import Context
from .request_table import Request
from .work_estimates import WorkEstimates
from .workers import Worker

BUDGET_SHARE = 0.75
"""Share of a cold worker's budget that is used: dispatchers estimate work, slots and time differently."""


class SlowStart:
    """Keeps the work sent to cold workers within a budget.

    Attributes:
        dispatcher_started_at: Time in seconds at which this dispatcher started. It has no record of what an
            earlier run of it has sent.
    """

    def __init__(self, context: Context, limits: ConcurrencyLimits, estimates: WorkEstimates) -> None:
        """Start without a record of sends."""
        self._context = context
        self._limits = limits
        self._estimates = estimates
        self.dispatcher_started_at = 0.0

    def is_cold(self, worker: Worker) -> bool:
        """Whether the worker started less than the warm-up time ago."""
        start = worker.slow_start_from
        return start > 0 and self._context.now - start < self._context.settings.slow_start_s

    def weight(self, worker: Worker, request: Request) -> float:
        """Factor for the routing weight of a worker.

        Returns:
            1 for a worker that is not cold. For a cold worker, 0 if this dispatcher must not send it the
            request, because that could overload the worker or would be late. Otherwise 1 if all dispatchers
            share its budget, else the ramp multiplied by the group's size over the number of dispatchers that
            share the budget.
        """
        if not self.is_cold(worker):
            return 1.0
        settings, now = self._context.settings, self._context.now
        age = now - worker.slow_start_from
        min_share = settings.slow_start_min_share
        ramp = min_share + (1 - min_share) * max(age, 0.0) / settings.slow_start_s
        late = now + request.expected_s / ramp > request.objective_at and now < request.start_by
        window_start = now - settings.overload_window_s
        if late or worker.slow_start_from < self.dispatcher_started_at > window_start:
            # The request may be in time on another worker, or an earlier run of this dispatcher may have
            # used the budget of the window.
            return 0.0
        while worker.slow_start_sends and worker.slow_start_sends[0][0] < window_start:
            worker.slow_start_sends.popleft()
        slots = min(self._limits.limit_of(worker), self._limits.by_kind.get(worker.kind, INITIAL_LIMIT_SLOTS))
        budget = BUDGET_SHARE * settings.overload_multiple * ramp * slots * settings.overload_window_s
        owners = self._owner_count(budget)
        slot_seconds = self._estimates.slot_seconds(request, worker)
        spent_slot_seconds = sum(load for _, load in worker.slow_start_sends)
        if self._owner_rank(worker) >= owners or spent_slot_seconds + slot_seconds > budget / owners:
            return 0.0
        group_size = settings.group_size
        return ramp * group_size / owners if owners < group_size else 1.0

    def _owner_count(self, budget: float) -> int:
        """Number of dispatchers that share a budget.

        Where an equal share for each dispatcher would be less than a job, only a few share the budget. Their
        number is a power of two, so that most dispatchers compute the same one.

        Args:
            budget: Slot-seconds of work that may be sent to the worker within the overload window.
        """
        job_slot_seconds = 2 * self._estimates.mean_work * (self._estimates.seconds_per_work or 1.0)
        jobs_in_budget = max(1, int(budget / job_slot_seconds))
        return min(self._context.settings.group_size, 1 << jobs_in_budget.bit_length() - 1)

    def _owner_rank(self, worker: Worker) -> int:
        """Rank of this dispatcher for a share of the worker's budget, from 0.

        All dispatchers derive the same order from the worker and its start.
        """
        settings = self._context.settings
        return (settings.own_number - codec.hash32(worker.id ^ int(worker.started_at))) % settings.group_size

    def record_send(self, worker: Worker, request: Request) -> None:
        """Record the slot-seconds of a request that is sent to a cold worker."""
        if self.is_cold(worker):
            slot_seconds = self._estimates.slot_seconds(request, worker)
            worker.slow_start_sends.append((self._context.now, slot_seconds))

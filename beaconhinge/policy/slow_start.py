"""Slow start: a worker that has just started is cold, and may have more only as it warms up."""

from ..gossip import codec
from .concurrency_limits import INITIAL_LIMIT_SLOTS, ConcurrencyLimits
from .context import Context
from .request_table import Request
from .work_estimates import WorkEstimates
from .workers import Worker

BUDGET_SHARE = 0.75
"""Part of the cold budget that is used: each dispatcher sees lengths, slots and clocks differently."""


class SlowStart:
    """Budget of cold workers.

    Attributes:
        dispatcher_started_at: When this dispatcher started; what it sent before is not known to it.
    """

    def __init__(self, context: Context, limits: ConcurrencyLimits, estimates: WorkEstimates) -> None:
        """Start with nothing sent."""
        self._context = context
        self._limits = limits
        self._estimates = estimates
        self.dispatcher_started_at = 0.0

    def is_cold(self, worker: Worker) -> bool:
        """Whether the worker started less than the warm-up time ago."""
        started = worker.slow_start_from
        return started > 0 and self._context.now - started < self._context.settings.slow_start_s

    def weight(self, worker: Worker, request: Request) -> float:
        """How much more than usual a cold worker may have from here; 0 lest it be pushed over."""
        if not self.is_cold(worker):
            return 1.0
        settings, now = self._context.settings, self._context.now
        age = now - worker.slow_start_from
        min_share = settings.slow_start_min_share
        ramp = min_share + (1 - min_share) * max(age, 0.0) / settings.slow_start_s
        late = now + request.expected_s / ramp > request.objective_at and now < request.start_by
        window_start = now - settings.overload_window_s
        if late or worker.slow_start_from < self.dispatcher_started_at > window_start:
            return (
                0.0  # it need not be late elsewhere; and what an earlier run of this dispatcher sent counts
            )
        while worker.slow_start_sends and worker.slow_start_sends[0][0] < window_start:
            worker.slow_start_sends.popleft()
        slots = min(self._limits.limit_of(worker), self._limits.by_kind.get(worker.kind, INITIAL_LIMIT_SLOTS))
        budget = BUDGET_SHARE * settings.overload_multiple * ramp * slots * settings.overload_window_s
        owners = self._owners(budget)
        cost = self._estimates.slot_seconds(request, worker)
        spent = sum(load for _, load in worker.slow_start_sends)
        if self._rank(worker) >= owners or spent + cost > budget / owners:
            return 0.0
        size = settings.group_size
        return ramp * size / owners if owners < size else 1.0

    def _owners(self, budget: float) -> int:
        """Dispatchers that share a budget.

        Where an Nth is less than a job few own it, in powers of two: so most dispatchers see as many.
        """
        job = 2 * self._estimates.mean_work * (self._estimates.seconds_per_work or 1.0)
        parts = max(1, int(budget / job))
        return min(self._context.settings.group_size, 1 << parts.bit_length() - 1)

    def _rank(self, worker: Worker) -> int:
        """Place of this dispatcher among those that may own the worker's budget, alike at all of them."""
        settings = self._context.settings
        return (settings.own_number - codec.hash32(worker.id ^ int(worker.started_at))) % settings.group_size

    def record_send(self, worker: Worker, request: Request) -> None:
        """Count what a cold worker is sent."""
        if self.is_cold(worker):
            cost = self._estimates.slot_seconds(request, worker)
            worker.slow_start_sends.append((self._context.now, cost))

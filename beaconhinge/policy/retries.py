"""Which requests may be sent again, where to, and until when."""

from .context import Context
from .interface import Semantics
from .request_table import Request
from .workers import Worker

MAX_SPEEDUP = 1.2
"""A queued job is given up when even this much faster it would end after its deadline."""


class RetryPolicy:
    """Rules of repetition."""

    def __init__(self, context: Context) -> None:
        """Follow the settings of the context."""
        self._context = context

    def may_run_on(self, request: Request, worker: Worker) -> bool:
        """A job that may have run goes on only where its effect is known to be dropped."""
        cls, first = request.request_class, request.first_run
        if first is None or cls.semantics == Semantics.RETRYABLE:
            return True
        # Written at the latest then; another dispatcher may have sent before us.
        written_at = self._context.now + self._context.settings.connect_timeout_s
        if cls.semantics == Semantics.UNSAFE or written_at >= request.first_tried_at + cls.dedup_window_s:
            return False
        if cls.dedup_group == "cell":
            return worker.cell == first.worker.cell
        return cls.dedup_group == "all" or worker.zone == first.worker.zone

    def may_retry(self, request: Request) -> bool:
        """Whether class, time and number of attempts allow another attempt after the last has failed."""
        if not self.attempts_left(request) or self._context.now >= self.give_up_at(request):
            return False
        first = request.first_run
        return first is None or self.may_run_on(request, first.worker)

    def attempts_left(self, request: Request) -> bool:
        """Whether the number of attempts allows another."""
        return len(request.attempts) < self._context.settings.max_attempts

    def give_up_at(self, request: Request) -> float:
        """When a queued job is given up; hints being rough, it may start while a first try were in time."""
        last = request.deadline - 2 * self._context.tick_s
        return min(last, max(request.start_by, request.deadline - request.expected_s / MAX_SPEEDUP))

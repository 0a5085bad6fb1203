"""Retry policy: which requests may be sent again, to which workers, and until when."""

from .context import Context
from .interface import Semantics
from .request_table import Request
from .workers import Worker

MAX_SPEEDUP = 1.2
"""A queued job is given up when it would miss its deadline even if it ran faster by this factor."""


class RetryPolicy:
    """Decides whether a request may be sent again."""

    def __init__(self, context: Context) -> None:
        """Apply the settings of the context."""
        self._context = context

    def may_run_on(self, request: Request, worker: Worker) -> bool:
        """Whether the request may be sent to the worker.

        A job that may have run already is sent again only if it is harmless to repeat, or if the worker is in
        the deduplication group that drops a second run, and within its window.
        """
        cls, first = request.request_class, request.first_possible_run
        if first is None or cls.semantics == Semantics.RETRYABLE:
            return True
        # The request is written at this time at the latest. The window counts from the first try, because
        # another dispatcher may have sent the request before this one.
        written_at = self._context.now + self._context.settings.connect_timeout_s
        if cls.semantics == Semantics.UNSAFE or written_at >= request.first_tried_at + cls.dedup_window_s:
            return False
        if cls.dedup_group == "cell":
            return worker.cell == first.worker.cell
        return cls.dedup_group == "all" or worker.zone == first.worker.zone

    def may_retry(self, request: Request) -> bool:
        """Whether class, time and number of attempts allow another attempt after the last one failed."""
        if not self.attempts_left(request) or self._context.now >= self.give_up_at(request):
            return False
        first = request.first_possible_run
        return first is None or self.may_run_on(request, first.worker)

    def attempts_left(self, request: Request) -> bool:
        """Whether the request has had fewer attempts than the maximum."""
        return len(request.attempts) < self._context.settings.max_attempts

    def give_up_at(self, request: Request) -> float:
        """Time in seconds at which a queued job is given up.

        Size hints are rough, so a request may start until `start_by`, as long as a first attempt would be in
        time, even if the hint says that it ends too late. The result is at least two ticks before the
        deadline.
        """
        last = request.deadline - 2 * self._context.tick_s
        return min(last, max(request.start_by, request.deadline - request.expected_s / MAX_SPEEDUP))

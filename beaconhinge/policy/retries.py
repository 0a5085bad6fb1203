"""Retry policy: which requests may be sent again, to which workers, and until when."""

from . import interface
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
        return self._may_repeat(request) and cls.shares_deduplication(first, worker)

    def may_retry(self, request: Request) -> bool:
        """Whether class, time and number of attempts allow another attempt after the last one failed."""
        if not self.attempts_left(request) or self._context.now >= self.give_up_at(request):
            return False
        return request.first_possible_run is None or self._may_repeat(request)

    def _may_repeat(self, request: Request) -> bool:
        """Whether a request that may have run may be sent again, to a worker of the same group if need be.

        The time to connect is allowed for, so that few attempts are started in vain. An attempt that waits
        for longer is refused by the sender when its first byte would be written.
        """
        semantics, settings = request.request_class.semantics, self._context.settings
        written_at = self._context.now + max(settings.connect_timeout_s, interface.MAX_HOLD_UP_S)
        return semantics != Semantics.UNSAFE and written_at < request.repeat_until

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

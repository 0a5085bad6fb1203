"""The table of all requests: starts them, and holds those that have no answer yet or have open attempts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from ..management import figures
from ..policy import interface
from ..policy.interface import AttemptOutcome
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .attempt import Attempt, AttemptTransport
from .job import Answer, IdempotencyKeys, Job, RequestEnd
from .policy_runner import PolicyRunner
from .request import Request, RequestObserver

# Request numbers restart at 1 after this one. They stay under 2^32 like the simulator's, with room above: the
# policy adds to them to number its timers.
MAX_REQUEST_NUMBER = 0xFFFF0000


def _unchanged_outcome(_attempt: Attempt, outcome: AttemptOutcome) -> AttemptOutcome:
    return outcome


def _elapsed_s(since: float, now: float) -> float:
    return max(now - since, 0.0)


def _ignore_id(_request: str) -> None:
    pass


def _never_left() -> bool:
    return False


class RequestTable:
    """All requests that have no answer yet or have open attempts.

    Attributes:
        requests: The requests by the id that the client gave.
        reported_outcome: Maps an attempt's outcome to the one that is reported to the policy.
        running_seconds: Returns how many of the seconds between two times this process was running.
        wait_before_admission: Awaited, for a bounded time, before a new job is passed to the policy.
        keys: Registry of idempotency keys; None if none is kept.
        on_left: Called with the id of each request that has left the table.
    """

    def __init__(
        self,
        policy_runner: PolicyRunner,
        transport: AttemptTransport,
        timers: TimerWheel,
        metrics: Metrics,
        settings: interface.Settings,
        class_names: Sequence[str],
    ) -> None:
        """Create an empty table whose attempts are sent by `transport`."""
        self.class_names = class_names
        self.policy_runner = policy_runner
        self.transport = transport
        self.timers = timers
        self.metrics = metrics
        self.settings = settings
        self.requests: dict[str, Request] = {}
        self._last_number = 0
        self.reported_outcome: Callable[[Attempt, AttemptOutcome], AttemptOutcome] = _unchanged_outcome
        self.running_seconds: Callable[[float, float], float] = _elapsed_s
        self.wait_before_admission: Callable[[], Awaitable[None]] | None = None
        self.keys: IdempotencyKeys | None = None
        self.on_left: Callable[[str], object] = _ignore_id

    @property
    def full(self) -> bool:
        """Whether the table holds the maximum number of requests, `max_queued`."""
        return len(self.requests) >= self.settings.max_queued

    @property
    def unanswered(self) -> int:
        """Number of requests without an answer."""
        return sum(not request.answer.done() for request in self.requests.values())

    def reject(self, job: Job) -> Answer:
        """Return a rejection for a job without passing it to the policy.

        Used where there is no room for the job, no time left, or the process is shutting down.
        """
        self.metrics.count(figures.counter_name(figures.BUSY, self.class_names[job.class_index]))
        return Answer(RequestEnd.REJECTED, retry_after=self.settings.max_retry_after_s)

    def take(
        self,
        job: Job,
        observer: RequestObserver | None = None,
        has_client_left: Callable[[], bool] = _never_left,
    ) -> Request:
        """Start a request in a task of its own.

        Args:
            job: The job that the client submitted.
            observer: Receives the request's progress, for a streamed answer.
            has_client_left: Returns whether the client has disconnected, as far as can be seen now.
        """
        self._last_number = self._last_number % MAX_REQUEST_NUMBER + 1
        request = self.requests[job.id] = Request(self, self._last_number, job, observer, has_client_left)
        self.metrics.count("requests_taken")
        self.metrics.spawn(request.run(), "request")
        return request

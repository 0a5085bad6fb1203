"""Requests without a final answer, their attempts, and the final answers themselves."""

from dataclasses import dataclass, field

from . import interface
from .context import Context
from .interface import Semantics
from .workers import Worker


@dataclass(slots=True)
class Attempt:
    """One send of a request to a worker."""

    worker: Worker
    sent_at: float
    in_flight: bool = True
    never_ran: bool = False  # proven
    in_flight_at_send: float = 0.0  # slots taken on the worker with it, as far as was known
    start_delay_s: float = 0.0  # before its start, where that is reported
    start_seen: bool = False  # a sign of its start has come
    progress: float = 0.0  # share done by the last progress notice
    progress_at: float = 0.0
    progress_rate: float = 0.0  # share a second, now
    best_progress_rate: float = 0.0  # share a second on a worker at full speed


@dataclass(slots=True, eq=False)
class Request:
    """A request from its admission until its final answer and the end of its last attempt."""

    id: int
    request_class: interface.RequestClass
    slots: float
    work: float  # hinted work, 1 without a hint
    first_tried_at: float  # when its client first did, as far as is known
    deadline: float
    objective_at: float  # until then an answer has full value
    expected_s: float  # time on a mean worker
    start_by: float  # a later start is likely to be late
    over_quota: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    answered: bool = False  # its final answer is given
    queued: bool = False

    @property
    def first_run(self) -> Attempt | None:
        """The first attempt that may have run, or may run yet."""
        return next((a for a in self.attempts if not a.never_ran), None)

    @property
    def harmless_to_repeat(self) -> bool:
        """Whether its client may repeat it, even if it has run."""
        cls = self.request_class
        deduplicated = cls.semantics == Semantics.DEDUPLICATED and cls.dedup_group == "all"
        return cls.semantics == Semantics.RETRYABLE or deduplicated


class RequestTable:
    """Requests by id. Gives the final answers which are not a worker's."""

    def __init__(self, context: Context) -> None:
        """Start without requests."""
        self._context = context
        self.by_id: dict[int, Request] = {}

    def find_attempt(self, request_id: int, number: int) -> tuple[Request, Attempt] | None:
        """A request and its attempt of that number, unless they are unknown."""
        request = self.by_id.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        return request, request.attempts[number]

    def finish(self, request: Request) -> None:
        """Final answer without a result; a rejection says that nothing ran or that a repeat is harmless."""
        if request.first_run is None or request.harmless_to_repeat:
            self.reject(request)
        else:
            self.fail(request)

    def reject(self, request: Request) -> None:
        """Final answer: not done. Clients are spread, lest all come back at once."""
        settings = self._context.settings
        after = settings.max_retry_after_s * (0.5 + 0.5 * self._context.random.random())
        retry_after = after if settings.retry_after_allowed else 0.0
        self._context.actions.append(interface.Reject(request.id, retry_after))
        self.end(request)

    def fail(self, request: Request) -> None:
        """Final answer: an error."""
        self._context.actions.append(interface.Fail(request.id))
        self.end(request)

    def end(self, request: Request) -> None:
        """The final answer is given; the request stays known while attempts are in flight."""
        request.answered = True
        if request.attempts_in_flight == 0:
            self.by_id.pop(request.id, None)

    def cancel_attempts(self, request: Request, keep: Attempt | None = None) -> None:
        """Attempts that nobody needs give their slots back, where a worker heeds that."""
        for number, attempt in enumerate(request.attempts):
            if self._context.settings.cancel_allowed and attempt.in_flight and attempt is not keep:
                self._context.actions.append(interface.CancelAttempt(request.id, number))

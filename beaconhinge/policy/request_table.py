"""Requests in progress, their attempts, and the final answers that no worker gives."""

from dataclasses import dataclass, field

from . import interface
from .context import INF, Context
from .interface import Semantics
from .workers import Worker


@dataclass(slots=True)
class Attempt:
    """One attempt of a request on a worker. Times are seconds on the dispatcher's clock."""

    worker: Worker
    sent_at: float
    cell: int  # place of the worker when the attempt was sent; a later list may move the worker
    zone: int
    in_flight: bool = True
    never_ran: bool = False  # whether it is proven that the job never started
    withdrawal_pending: bool = False  # whether it was given up and the worker may still hold the job
    may_call_back: bool = False  # whether it has ended, and call-backs about it may still come
    in_flight_at_send: float = 0.0  # slots in use on the worker, with its own, as known at the send
    start_delay_s: float = 0.0  # seconds from the send to the start, where that is reported
    start_seen: bool = False  # whether a notice has shown that it started
    progress: float = 0.0  # share of the job done, from 0 to 1, by the last progress notice
    progress_at: float = 0.0  # time of that notice, or of the start
    progress_rate: float = 0.0  # latest share of the job done per second
    best_progress_rate: float = 0.0  # share of the job done per second on a worker at full speed


@dataclass(slots=True, eq=False)
class Request:
    """A request from its admission until its final answer and the end of its last attempt."""

    id: int
    request_class: interface.RequestClass
    slots: float
    work: float  # hinted work; 1 without a hint
    first_tried_at: float  # estimated time of its client's first try
    deadline: float
    objective_at: float  # time until which an answer has full value
    expected_s: float  # expected run time on a mean worker
    start_by: float  # after a later start the answer is likely to be late
    over_quota: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    answered: bool = False  # whether its final answer is given
    queued: bool = False

    @property
    def first_possible_run(self) -> Attempt | None:
        """The first attempt that may have run or may still run, or None."""
        return next((a for a in self.attempts if not a.never_ran), None)

    @property
    def repeat_until(self) -> float:
        """Time in seconds from which on a request that may have run must not be written again.

        The window counts from the client's first try, because another dispatcher may have sent the request
        before this one.
        """
        cls = self.request_class
        return self.first_tried_at + cls.dedup_window_s if cls.semantics == Semantics.DEDUPLICATED else INF

    @property
    def harmless_to_repeat(self) -> bool:
        """Whether its client may repeat it, even if it has run."""
        cls = self.request_class
        deduplicated = cls.semantics == Semantics.DEDUPLICATED and cls.dedup_group == "all"
        return cls.semantics == Semantics.RETRYABLE or deduplicated


class RequestTable:
    """Requests by id. Gives the final answers that don't come from a worker."""

    def __init__(self, context: Context) -> None:
        """Start without requests."""
        self._context = context
        self.by_id: dict[int, Request] = {}

    def find_attempt(self, request_id: int, number: int) -> tuple[Request, Attempt] | None:
        """Return a request and its attempt with this number, or None if there is no such attempt."""
        request = self.by_id.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        return request, request.attempts[number]

    def finish(self, request: Request) -> None:
        """Give a final answer without a result.

        It is a rejection if nothing has run or a repeat is harmless, else a failure.
        """
        if request.first_possible_run is None or request.harmless_to_repeat:
            self.reject(request)
        else:
            self.fail(request)

    def reject(self, request: Request) -> None:
        """Reject a request. Its retry delay is random, so that rejected clients don't all return at once."""
        settings = self._context.settings
        after = settings.max_retry_after_s * (0.5 + 0.5 * self._context.random.random())
        retry_after = after if settings.retry_after_allowed else 0.0
        self._context.actions.append(interface.Reject(request.id, retry_after))
        self.end(request)

    def fail(self, request: Request) -> None:
        """Give the final answer that the request has failed."""
        self._context.actions.append(interface.Fail(request.id))
        self.end(request)

    def end(self, request: Request) -> None:
        """Mark a request as answered. It stays in the table until its last attempt in flight has ended."""
        request.answered = True
        if request.attempts_in_flight == 0:
            self.by_id.pop(request.id, None)

    def cancel_attempts(self, request: Request, keep: Attempt | None = None) -> None:
        """Cancel the attempts in flight, where that is allowed, to free their slots.

        Args:
            request: The request.
            keep: The attempt that goes on, if any.
        """
        for number, attempt in enumerate(request.attempts):
            if self._context.settings.cancel_allowed and attempt.in_flight and attempt is not keep:
                self._context.actions.append(interface.CancelAttempt(request.id, number))

"""One attempt: a request sent once to one worker. Its first reported outcome is final."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ..policy.interface import PROVEN_UNRUN, AttemptOutcome, MemberEntry
from ..runtime.timer_wheel import Timer
from .job import Job


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """Event: an attempt has ended, with its outcome and, if it was served, the result in `body`."""

    attempt: Attempt
    outcome: AttemptOutcome
    body: bytes = b""
    load: Mapping[str, float] | None = None


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """Event: a worker has reported the progress of an attempt in flight."""

    attempt: Attempt
    kind: int
    """A `NoticeKind`."""
    share: float
    """Completed share of the work, from 0 to 1."""


@dataclass(slots=True, frozen=True)
class AttemptReleased:
    """Event: the worker of a given-up attempt is known not to hold its job any more."""

    attempt: Attempt


AttemptEvent: TypeAlias = AttemptFinished | AttemptProgress | AttemptReleased


@dataclass(slots=True, frozen=True)
class SiblingAttempts:
    """Summary of the other attempts of the same request."""

    at_worker: int
    """Number of attempts whose job the same worker may hold."""
    callers_at_worker: Sequence[Attempt]
    """The ended attempts at the same worker of which call-backs may still come, the first time or again."""
    in_flight: int
    """Number of attempts in flight at any worker."""
    may_have_run: bool
    """Whether an attempt that has ended may have run the job."""
    first_possible_run: MemberEntry | None
    """The worker's list entry when the first attempt was written that may have run or may yet; or None."""


class Attempt:
    """One send of a job to one worker. The first outcome reported is final; later ones are ignored.

    Attributes:
        number: Index of the attempt within its request, from 0.
        worker: Number of the worker.
        sent_at: Time at which the attempt was started, in seconds.
        expires_at: Time at which the attempt times out, in seconds.
        repeat_until: Time from which on the attempt must not be written if another one may have run, in
            seconds.
        outcome: How the attempt ended; None while it is open.
        written_to: The worker's list entry when the first byte was written; None before that.
        withdrawal_pending: Whether the attempt was given up and its worker may still hold the job.
        closed_unanswered: Whether its connection ended before the worker's answer, and the worker has not
            confirmed since that it does not hold the job.
        reported_outcome: The outcome that a call-back of the worker reported; None if none did.
        end_is_uncertain: Whether that call-back may be about an earlier attempt, and the job may run on.
        may_call_back: Whether it has ended, and its worker took the job or may have: call-backs about it may
            come, the first time or again.
        on_end: Called once with the outcome; set by the transport.
        timer: Ends the attempt at `expires_at`.
    """

    def __init__(
        self,
        job: Job,
        number: int,
        worker: int,
        sent_at: float,
        expires_at: float,
        repeat_until: float,
        post_event: Callable[[AttemptEvent], None],
        client_is_waiting: Callable[[], bool],
        siblings_of: Callable[[Attempt], SiblingAttempts],
    ) -> None:
        """Create an open attempt; `post_event` delivers its events to the request."""
        self.job = job
        self.number = number
        self.worker = worker
        self.sent_at = sent_at
        self.expires_at = expires_at
        self.repeat_until = repeat_until
        self.outcome: AttemptOutcome | None = None
        self.written_to: MemberEntry | None = None
        self.withdrawal_pending = False
        self.closed_unanswered = False
        self.reported_outcome: AttemptOutcome | None = None
        self.end_is_uncertain = False
        self.may_call_back = False
        self.on_end: Callable[[AttemptOutcome], None] = _ignore_end
        self.timer: Timer | None = None
        self._post_event = post_event
        self._client_is_waiting = client_is_waiting
        self._siblings_of = siblings_of

    @property
    def open(self) -> bool:
        """Whether the attempt has no outcome yet."""
        return self.outcome is None

    @property
    def held_by_worker(self) -> bool:
        """Whether the worker may hold the job: it was sent, has not ended, and is not known as given up."""
        given_up = self.withdrawal_pending or self.closed_unanswered
        return given_up or (self.open and self.written_to is not None)

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt has ended and may have run the job."""
        return self.outcome is not None and self.outcome not in PROVEN_UNRUN

    def client_is_waiting(self) -> bool:
        """Return whether the client still waits for an answer, as far as can be seen at this moment.

        Callers check this again after each wait: a connection may be established, or a turn of the event
        loop may run, long after the client has disconnected.
        """
        return self._client_is_waiting()

    def siblings(self) -> SiblingAttempts:
        """Return the current state of the other attempts of the same request."""
        return self._siblings_of(self)

    def end(
        self, outcome: AttemptOutcome, body: bytes = b"", load: Mapping[str, float] | None = None
    ) -> None:
        """Set the outcome, unless the attempt has one already.

        Args:
            outcome: How the attempt ended.
            body: The result, if the job was served.
            load: The load report that came with the outcome, if any.
        """
        if self.open:
            self.outcome = outcome
            if self.timer is not None:
                self.timer.cancel()
            # A reference cycle through `on_end` would keep the job until the garbage collector runs.
            on_end, self.on_end = self.on_end, _ignore_end
            on_end(outcome)
            self._post_event(AttemptFinished(self, outcome, body, load))

    def release(self) -> None:
        """Record that the worker is known not to hold the job of this given-up attempt any more."""
        self.withdrawal_pending = False
        self._post_event(AttemptReleased(self))

    def report_progress(self, kind: int, share: float = 0.0) -> None:
        """Post a progress report (a `NoticeKind` and a share from 0 to 1) while the attempt is open."""
        if self.open:
            self._post_event(AttemptProgress(self, kind, share))


class AttemptTransport(Protocol):
    """Sends attempts to workers."""

    def start(self, attempt: Attempt) -> None:
        """Start to send the attempt in a task of its own; its outcome is reported by `Attempt.end`."""


def _ignore_end(_outcome: AttemptOutcome) -> None:
    pass

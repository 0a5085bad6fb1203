"""One attempt: a request sent once to one worker. The first end that is reported counts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ..policy.interface import AttemptOutcome
from ..runtime.timer_wheel import Timer
from .job import Job


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt has its outcome."""

    attempt: Attempt
    outcome: AttemptOutcome
    body: bytes = b""
    load: Mapping[str, float] | None = None


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """A worker reports on an attempt in flight."""

    attempt: Attempt
    kind: int
    """A `NoticeKind`."""
    share: float
    """Part of the work that is done."""


AttemptEvent: TypeAlias = AttemptFinished | AttemptProgress


@dataclass(slots=True, frozen=True)
class SiblingAttempts:
    """The other attempts of an attempt's request."""

    at_worker: int
    """In flight at the same worker."""
    in_flight: int
    """In flight at any worker."""
    may_have_run: bool
    """Whether one of those that have ended may have run the job."""


class Attempt:
    """One send to one worker. The first end counts, whoever reports it; all later ones are ignored.

    Attributes:
        number: counts the attempts of a request from 0.
        until: the time at which it ends without an answer.
        open: whether it has no outcome yet.
        may_be_written: whether its first byte may have been written.
        on_end: called once with the outcome; set by the transport.
        timer: ends it at `until`.
    """

    def __init__(
        self,
        job: Job,
        number: int,
        worker: int,
        sent_at: float,
        until: float,
        post: Callable[[AttemptEvent], None],
        client_is_waiting: Callable[[], bool],
        siblings_of: Callable[[Attempt], SiblingAttempts],
    ) -> None:
        """Make an open attempt; `post` takes its events to the request."""
        self.job = job
        self.number = number
        self.worker = worker
        self.sent_at = sent_at
        self.until = until
        self.open = True
        self.may_be_written = False
        self.on_end: Callable[[AttemptOutcome], None] = _ignore_end
        self.timer: Timer | None = None
        self._post = post
        self._client_is_waiting = client_is_waiting
        self._siblings_of = siblings_of

    def client_is_waiting(self) -> bool:
        """Whether somebody waits for an answer, as far as can be seen this moment.

        A connection may come up, or a turn of the loop be due, long after the client has gone.
        """
        return self._client_is_waiting()

    def siblings(self) -> SiblingAttempts:
        """The other attempts of the same request, as they are this moment."""
        return self._siblings_of(self)

    def end(
        self, outcome: AttemptOutcome, body: bytes = b"", load: Mapping[str, float] | None = None
    ) -> None:
        """Set the outcome, unless there is one already."""
        if self.open:
            self.open = False
            if self.timer is not None:
                self.timer.cancel()
            self.on_end(outcome)
            self._post(AttemptFinished(self, outcome, body, load))

    def report_progress(self, kind: int, share: float = 0.0) -> None:
        """Pass on what the worker reports, while the attempt is open."""
        if self.open:
            self._post(AttemptProgress(self, kind, share))


class AttemptTransport(Protocol):
    """Brings attempts to workers."""

    def start(self, attempt: Attempt) -> None:
        """Begin to send it, in a task of its own; the attempt is told how it ends."""


def _ignore_end(_outcome: AttemptOutcome) -> None:
    pass

"""Call-backs of workers: their reports on the jobs that they have accepted."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from ..dispatch.attempt import Attempt
from ..membership.inventory import worker_number
from ..policy.interface import AttemptOutcome, NoticeKind
from ..runtime.metrics import Metrics
from .load_reports import LoadReportParser


class JobState(StrEnum):
    """State of a job in a call-back. The values are those of the wire."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # the worker has not started the job and will not
    LOST = "lost"


OUTCOMES_WITHOUT_RESULT = {
    JobState.FAILED: AttemptOutcome.SERVER_ERROR,
    JobState.RETURNED: AttemptOutcome.REJECTED,
    JobState.LOST: AttemptOutcome.CONNECTION_LOST,
}


@dataclass(slots=True, frozen=True)
class Callback:
    """A parsed call-back. Only the fields that identify its attempt are extracted; none is validated."""

    request: Any
    worker: Any
    """The worker's id."""
    state: Any
    """A `JobState`, or an unknown value."""
    content: Mapping[str, Any]
    """All fields of the call-back."""


def parse_callback(body: bytes) -> Callback:
    """Parse the body of a call-back.

    Raises:
        ValueError, TypeError, KeyError, RecursionError: The body is not a call-back.
    """
    content = json.loads(body)
    return Callback(content["id"], content["from"], content["state"], content)


class UnmatchedCallbacks(Protocol):
    """Handlers of call-backs for which no attempt is open in this process."""

    on_unmatched_callback: Callable[[bytes, int], None]
    """Called with the body and the worker's number; another process may have the attempt."""
    on_late_result: Callable[[str, str], None]
    """Called with the request's id and the result, if the call-back has a result."""
    on_unowned_job: Callable[[str, int], None]
    """Called with the request's id and the worker's number, if the worker has the job in progress."""


class CallbackReceiver:
    """Matches call-backs with open attempts and applies them."""

    def __init__(
        self,
        find_attempt: Callable[[Any, Any], Attempt | None],
        unmatched: UnmatchedCallbacks,
        load_reports: LoadReportParser,
        metrics: Metrics,
    ) -> None:
        """Create a receiver; `find_attempt` returns the open attempt of a request's id at a worker's id."""
        self.find_attempt = find_attempt
        self.unmatched = unmatched
        self.load_reports = load_reports
        self.metrics = metrics

    def receive(self, body: bytes, on_unmatched: Callable[[bytes, int], None] | None = None) -> None:
        """Process a call-back; it may be early, late, repeated or for an earlier process of this dispatcher.

        A malformed call-back is counted and dropped.

        Args:
            body: The body of the call-back, JSON.
            on_unmatched: Called in place of `UnmatchedCallbacks.on_unmatched_callback`.
        """
        self.metrics.count("callbacks")
        try:
            callback = parse_callback(body)
            attempt = self.find_attempt(callback.request, callback.worker)
            if attempt is None:
                self._report_unmatched(callback, body, on_unmatched or self.unmatched.on_unmatched_callback)
            else:
                self._apply(attempt, callback)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
            self.metrics.count_and_log("callback_malformed", why=f"{type(error).__name__}: {error}")

    def _report_unmatched(
        self, callback: Callback, body: bytes, on_unmatched: Callable[[bytes, int], None]
    ) -> None:
        self.metrics.count("callbacks_unmatched")
        if callback.state == JobState.DONE:
            self.unmatched.on_late_result(str(callback.request), str(callback.content["result"]))
        elif callback.state in (JobState.STARTED, JobState.RUNNING):
            self.unmatched.on_unowned_job(str(callback.request), worker_number(callback.worker))
        on_unmatched(body, worker_number(callback.worker))

    def _apply(self, attempt: Attempt, callback: Callback) -> None:
        load = self.load_reports.parse(callback.content.get("load"))
        state = callback.state
        if state == JobState.STARTED:
            attempt.report_progress(NoticeKind.STARTED)
        elif state == JobState.RUNNING:
            attempt.report_progress(NoticeKind.PROGRESS, float(callback.content["share"]))
        elif state == JobState.DONE:
            # A result that is not a string raises here and is not served: the client must get exactly what
            # the worker returned.
            _end(attempt, AttemptOutcome.SERVED, callback.content["result"].encode(), load)
        elif isinstance(state, str) and state in OUTCOMES_WITHOUT_RESULT:
            _end(attempt, OUTCOMES_WITHOUT_RESULT[JobState(state)], b"", load)
            if attempt.end_is_uncertain:
                self.metrics.count("callbacks_uncertain")
        else:
            raise ValueError(f"state {state!r} is unknown")


def _end(attempt: Attempt, outcome: AttemptOutcome, body: bytes, load: Mapping[str, float] | None) -> None:
    """End an attempt as a call-back reports it.

    If the call-back may be about an earlier attempt, the job may run on: the outcome is then one after which
    nothing is known, but for a result, which is that of the job whichever attempt ran.
    """
    attempt.reported_outcome = outcome
    attempt.end_is_uncertain = _may_be_about_earlier(attempt, outcome)
    if attempt.end_is_uncertain and outcome != AttemptOutcome.SERVED:
        outcome = AttemptOutcome.CONNECTION_LOST
    attempt.end(outcome, body, load)


def _may_be_about_earlier(attempt: Attempt, outcome: AttemptOutcome) -> bool:
    """Return whether a call-back that ends a job may be about an earlier attempt at the same worker.

    A call-back names the request and the worker, not the attempt. A worker reports one end of each attempt,
    and repeats it until it has read an answer.
    """
    return any(
        earlier.reported_outcome in (None, outcome) or earlier.end_is_uncertain
        for earlier in attempt.siblings().callers_at_worker
    )

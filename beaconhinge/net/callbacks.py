"""Call-backs of workers: what they report of the jobs that they have taken."""

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
    """What a call-back says of a job. The values are those of the wire."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # not begun, and not to be begun
    LOST = "lost"


OUTCOMES_WITHOUT_RESULT = {
    JobState.FAILED: AttemptOutcome.SERVER_ERROR,
    JobState.RETURNED: AttemptOutcome.REJECTED,
    JobState.LOST: AttemptOutcome.CONNECTION_LOST,
}


@dataclass(slots=True, frozen=True)
class Callback:
    """One call-back, as far as it must be read to find its attempt."""

    request: Any
    worker: Any
    """The worker's id."""
    state: Any
    """A `JobState`, or something unknown."""
    content: Mapping[str, Any]


def parse_callback(body: bytes) -> Callback:
    """Read the body of a call-back.

    Raises:
        ValueError, TypeError, KeyError, RecursionError: it is none.
    """
    content = json.loads(body)
    return Callback(content["id"], content["from"], content["state"], content)


class UnmatchedCallbacks(Protocol):
    """Who hears of call-backs for which no attempt is open here."""

    on_unmatched_callback: Callable[[bytes, int], None]
    """Another process may have the attempt: the body, and the worker's number."""
    on_late_result: Callable[[str, str], None]
    """A result came, for the request with that id."""
    on_unowned_job: Callable[[str, int], None]
    """A job is under way, of a request, at a worker."""


class CallbackReceiver:
    """Matches call-backs with open attempts."""

    def __init__(
        self,
        find_attempt: Callable[[Any, Any], Attempt | None],
        unmatched: UnmatchedCallbacks,
        load_reports: LoadReportParser,
        metrics: Metrics,
    ) -> None:
        """`find_attempt` finds the open attempt of a request's id at a worker's id."""
        self.find_attempt = find_attempt
        self.unmatched = unmatched
        self.load_reports = load_reports
        self.metrics = metrics

    def receive(self, body: bytes, elsewhere: Callable[[bytes, int], None] | None = None) -> None:
        """Take a call-back; it may come early, late, twice or for an earlier process of this dispatcher.

        Args:
            body: JSON.
            elsewhere: in place of `UnmatchedCallbacks.elsewhere`.
        """
        self.metrics.count("callbacks")
        try:
            callback = parse_callback(body)
            attempt = self.find_attempt(callback.request, callback.worker)
            if attempt is None:
                self._pass_on(callback, body, elsewhere or self.unmatched.on_unmatched_callback)
            else:
                self._apply(attempt, callback)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
            self.metrics.count_and_log("callback_malformed", why=f"{type(error).__name__}: {error}")

    def _pass_on(self, callback: Callback, body: bytes, elsewhere: Callable[[bytes, int], None]) -> None:
        self.metrics.count("callbacks_unmatched")
        if callback.state == JobState.DONE:
            self.unmatched.on_late_result(str(callback.request), str(callback.content["result"]))
        elif callback.state in (JobState.STARTED, JobState.RUNNING):
            self.unmatched.on_unowned_job(str(callback.request), worker_number(callback.worker))
        elsewhere(body, worker_number(callback.worker))

    def _apply(self, attempt: Attempt, callback: Callback) -> None:
        load = self.load_reports.parse(callback.content.get("load"))
        state = callback.state
        if state == JobState.STARTED:
            attempt.report_progress(NoticeKind.STARTED)
        elif state == JobState.RUNNING:
            attempt.report_progress(NoticeKind.PROGRESS, float(callback.content["share"]))
        elif state == JobState.DONE:
            # The client gets what the worker made and nothing else: a result that is no text is not served.
            attempt.end(AttemptOutcome.SERVED, callback.content["result"].encode(), load)
        elif isinstance(state, str) and state in OUTCOMES_WITHOUT_RESULT:
            attempt.end(OUTCOMES_WITHOUT_RESULT[JobState(state)], load=load)
        else:
            raise ValueError(f"state {state!r} is not known")

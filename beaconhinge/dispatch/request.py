"""Runs one request, whatever its protocol: starts the attempts that the policy decides on, answers once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ..management import figures
from ..policy import interface
from ..policy.interface import RETRY_FLAG, AttemptOutcome, NoticeKind, Semantics
from .attempt import (
    Attempt,
    AttemptFinished,
    AttemptProgress,
    AttemptReleased,
    SiblingAttempts,
)
from .invariants import RepeatRule, RepeatsAllowed
from .job import Answer, Job, KeyStatus, RequestEnd
from .steps import Admitted, ClientLeft, Overdue, Step

if TYPE_CHECKING:
    from .request_table import RequestTable

# Figure shown to operators for each end; a request whose client left is counted in none.
FIGURE_OF_END = {
    RequestEnd.SERVED: figures.SUCCESS,
    RequestEnd.REJECTED: figures.BUSY,
    RequestEnd.FAILED: figures.FAILURE,
}

REPEATS_BY_GROUP = {"all": RepeatsAllowed.EVERYWHERE, "cell": RepeatsAllowed.SAME_CELL}

# An answer later than this after its deadline counts as late.
LATE_ANSWER_S = 0.1


class RequestObserver(Protocol):
    """Receives the progress of a request, but not its answer. Attempts are given by number."""

    def accepted(self) -> None:
        """Called when the policy has not rejected the request at once."""

    def started(self, attempt: int) -> None:
        """Called when the worker has started the job."""

    def progress(self, attempt: int, share: float) -> None:
        """Called when the worker reports the completed share of the job, from 0 to 1."""

    def lost(self, attempt: int) -> None:
        """Called when the attempt has ended without a result."""


def _repeat_rule(request_class: interface.RequestClass) -> RepeatRule:
    """Return what the send monitor checks of repeats of this class."""
    if request_class.semantics == Semantics.UNSAFE:
        return RepeatRule(RepeatsAllowed.NEVER)
    if request_class.semantics == Semantics.DEDUPLICATED:
        allowed = REPEATS_BY_GROUP.get(request_class.dedup_group, RepeatsAllowed.SAME_ZONE)
        return RepeatRule(allowed, request_class.dedup_window_s)
    return RepeatRule(RepeatsAllowed.ALWAYS)


class Request:
    """One request with its attempts. Everything that happens to it is handled as a step from one queue.

    Attributes:
        number: The request's number in the policy's events and actions.
        answer: Future with the client's answer.
    """

    def __init__(
        self,
        table: RequestTable,
        number: int,
        job: Job,
        observer: RequestObserver | None,
        has_client_left: Callable[[], bool],
    ) -> None:
        """Called by `RequestTable.take`, which also starts `run`."""
        self.table = table
        self.number = number
        self.job = job
        self.observer = observer
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._steps: asyncio.Queue[Step] = asyncio.Queue()
        self._attempts: list[Attempt] = []
        self._has_client_left = has_client_left
        self._client_left = False

    def client_left(self) -> None:
        """Record that the client has disconnected; later calls have no effect."""
        if not self._client_left:
            self._client_left = True
            self.table.policy_runner.monitor.client_disconnected(self.job.id, self.table.timers.now())
            self._steps.put_nowait(ClientLeft())

    def client_is_waiting(self) -> bool:
        """Return whether the client is connected and the request has no answer yet."""
        if not self._client_left and self._has_client_left():
            self.client_left()
        return not self._client_left and not self.answer.done()

    async def run(self) -> None:
        """Process the request until it is answered and its last attempt has ended."""
        table, job = self.table, self.job
        table.policy_runner.request_handlers[self.number] = self._steps.put_nowait
        rule = _repeat_rule(table.settings.classes[job.class_index])
        table.policy_runner.monitor.request_started(job.id, job.deadline, rule)
        overdue_at = job.deadline + table.settings.answer_grace_s / 2
        overdue_timer = table.timers.at(overdue_at, lambda: self._steps.put_nowait(Overdue()))
        key = KeyStatus()
        try:
            if table.wait_before_admission is not None or table.keys is not None and job.idempotency_key:
                key = await self._look_up_key()
            if key.result is not None:
                self._finish(Answer(RequestEnd.SERVED, key.result))
                return
            self._submit(key)
            # Steps are handled after the answer too: each attempt must get an outcome, and the policy must
            # receive each outcome.
            while not self.answer.done() or not self._steps.empty() or any(a.open for a in self._attempts):
                self._handle(await self._steps.get())
        finally:
            overdue_timer.cancel()
            # This takes effect only if an exception has left the request without an answer.
            self._finish(Answer(RequestEnd.FAILED))
            self._leave_table(key)

    def _submit(self, key: KeyStatus) -> None:
        """Pass the job to the policy, with the remaining part of its time."""
        job = self.job
        now = self.table.timers.now()
        spent_s = now - job.received_at
        self.table.policy_runner.feed(
            interface.JobArrived(
                self.number,
                job.class_index,
                job.tenant,
                max(job.remaining_s - spent_s, 0.0),
                job.route_key,
                size_hint=job.work_s,
                slots=job.slots,
                memory=job.memory,
                flags=RETRY_FLAG if job.is_retry else 0,
                may_run_elsewhere=key.may_run_elsewhere,
                client_timeout=max(job.client_timeout_s - spent_s, 0.0),
                times_from=now,
            )
        )
        if self.observer is not None:
            self._steps.put_nowait(Admitted())

    def _handle(self, step: Step) -> None:
        match step:
            case interface.SendAttempt():
                self._start_attempt(step)
            case interface.CancelAttempt():
                self._attempts[step.attempt].end(AttemptOutcome.CANCELLED)
            case interface.Reject():
                self._finish(Answer(RequestEnd.REJECTED, retry_after=step.retry_after))
            case interface.Fail():
                self._finish(Answer(RequestEnd.FAILED))
            case Admitted():
                self._on_admitted()
            case AttemptProgress():
                self._on_attempt_progress(step)
            case AttemptFinished():
                self._on_attempt_finished(step)
            case AttemptReleased():
                self._on_attempt_released(step)
            case ClientLeft():
                self._on_client_left()
            case Overdue():
                self._on_overdue(step)

    def _leave_table(self, key: KeyStatus) -> None:
        if key.registered and self.table.keys is not None:
            answer = self.answer.result()
            may_have_run = any(a.open or a.may_have_run for a in self._attempts)
            result = answer.body if answer.end is RequestEnd.SERVED else None
            self.table.keys.release(self.job, may_have_run, result)
        self.table.policy_runner.request_handlers.pop(self.number, None)
        self.table.policy_runner.monitor.request_finished(self.job.id)
        # Attempts refer to the request. A cycle would keep its result until the garbage collector runs, which
        # can be hundreds of requests later.
        self._attempts.clear()
        del self.table.requests[self.job.id]
        self.table.on_left(self.job.id)

    async def _look_up_key(self) -> KeyStatus:
        """Wait for admission and return the status of the job's key, within half of the job's time at most.

        The bound ensures that a slow disk, or dispatchers that do not answer, do not use up the job's time.
        On a time-out, a job with a key counts as possibly running elsewhere.
        """
        try:
            async with self.table.timers.timeout_at(self.job.received_at + self.job.remaining_s / 2):
                if self.table.wait_before_admission is not None:
                    await self.table.wait_before_admission()
                if self.table.keys is not None and self.job.idempotency_key:
                    return await self.table.keys.register(self.job)
                return KeyStatus()
        except TimeoutError:
            return KeyStatus(may_run_elsewhere=bool(self.job.idempotency_key))

    def _start_attempt(self, action: interface.SendAttempt) -> None:
        now = self.table.timers.now()
        expires_at = min(self.job.deadline, now + action.timeout if action.timeout > 0 else self.job.deadline)
        attempt = Attempt(
            self.job,
            len(self._attempts),
            action.worker,
            now,
            expires_at,
            action.repeat_until,
            self._steps.put_nowait,
            self.client_is_waiting,
            self._siblings_of,
        )
        worker_has_job = any(
            (a.open or a.withdrawal_pending) and a.worker == action.worker for a in self._attempts
        )
        self._attempts.append(attempt)
        self.table.metrics.count("attempts")
        one_at_a_time = self.table.metrics.check(not worker_has_job, "one_attempt_per_worker")
        if not self.client_is_waiting() or expires_at <= now or not one_at_a_time:
            attempt.end(AttemptOutcome.NOT_SENT)
            return
        attempt.timer = self.table.timers.at(expires_at, lambda: attempt.end(AttemptOutcome.TIMEOUT))
        self.table.metrics.trace(
            "attempts", "attempt", request=self.job.id, worker=action.worker, number=attempt.number
        )
        self.table.transport.start(attempt)

    def _siblings_of(self, attempt: Attempt) -> SiblingAttempts:
        others = [other for other in self._attempts if other is not attempt]
        written = [other for other in others if other.written_to is not None]
        at_worker = [other for other in written if other.worker == attempt.worker]
        in_flight = [other for other in written if other.open]
        possible_runs = [other.written_to for other in written if other.open or other.may_have_run]
        return SiblingAttempts(
            at_worker=sum(other.held_by_worker for other in at_worker),
            callers_at_worker=[other for other in at_worker if other.may_call_back],
            in_flight=len(in_flight),
            may_have_run=any(other.may_have_run for other in others),
            first_possible_run=next(iter(possible_runs), None),
        )

    def _on_admitted(self) -> None:
        if self.observer is not None and not self.answer.done():
            self.observer.accepted()

    def _on_attempt_progress(self, step: AttemptProgress) -> None:
        attempt = step.attempt
        if self.observer is not None:
            if step.kind == NoticeKind.STARTED:
                self.observer.started(attempt.number)
            else:
                self.observer.progress(attempt.number, step.share)
        self.table.policy_runner.feed(
            interface.ProgressNotice(self.number, attempt.worker, attempt.number, step.kind, step.share)
        )

    def _on_client_left(self) -> None:
        if self._finish(Answer(RequestEnd.CLIENT_GONE)):
            self.table.policy_runner.feed(interface.ClientDisconnected(self.number))

    def _on_overdue(self, step: Overdue) -> None:
        if not self._steps.empty():
            # The event loop was late: the outcome of an attempt that timed out at the deadline may still
            # be in the queue, and the policy's answer follows it. Handle the queued steps first.
            self._steps.put_nowait(step)
            return
        # The policy should have answered by now. If it has not, it is notified of the deadline; if it then
        # returns no action for the request, the client gets a failure.
        if not self.table.metrics.check(self.answer.done(), "answered_by_deadline"):
            self.table.metrics.log("request_overdue", **self._overdue_state())
            self.table.policy_runner.feed(interface.DeadlinePassed(self.number))
            if self._steps.empty():
                self._finish(Answer(RequestEnd.FAILED))

    def _overdue_state(self) -> dict[str, object]:
        """Return the log fields of a request without an answer. Times are in seconds after its deadline."""
        deadline, now = self.job.deadline, self.table.timers.now()
        return {
            "request": self.job.id,
            "now": now - deadline,
            "received": self.job.received_at - deadline,
            "attempts": len(self._attempts),
            "attempt_ends": " ".join(
                f"{attempt.timer.due_at - deadline:.4f}"
                for attempt in self._attempts
                if attempt.open and attempt.timer is not None
            ),
        }

    def _on_attempt_finished(self, step: AttemptFinished) -> None:
        attempt = step.attempt
        if self.observer is not None and step.outcome != AttemptOutcome.SERVED:
            self.observer.lost(attempt.number)
        self.table.metrics.count("outcome_" + step.outcome)
        self.table.metrics.trace(
            "attempts",
            "attempt_ended",
            request=self.job.id,
            worker=attempt.worker,
            number=attempt.number,
            outcome=step.outcome,
        )
        if step.outcome == AttemptOutcome.SERVED:
            self._finish(Answer(RequestEnd.SERVED, step.body))
        latency = self.table.running_seconds(attempt.sent_at, self.table.timers.now())
        self.table.policy_runner.feed(
            interface.AttemptEnded(
                self.number,
                attempt.worker,
                attempt.number,
                self.table.reported_outcome(attempt, step.outcome),
                self.answer.done(),
                latency,
                step.load,
                withdrawal_pending=attempt.withdrawal_pending,
                may_call_back=attempt.may_call_back,
            )
        )

    def _on_attempt_released(self, step: AttemptReleased) -> None:
        """Notify the policy, unless the request has left the policy with its answer."""
        if not self.answer.done():
            self.table.policy_runner.feed(interface.AttemptReleased(self.number, step.attempt.number))

    def _finish(self, answer: Answer) -> bool:
        """Set the answer if there is none yet; returns whether this call set it."""
        if self.answer.done():
            return False
        self.answer.set_result(answer)
        self.job.body = b""  # open attempts hold their own reference to the body
        for attempt in self._attempts:
            if attempt.written_to is None:  # it still waits for a connection, and is no longer needed
                attempt.end(AttemptOutcome.NOT_SENT)
        self.table.metrics.count("answer_" + answer.end)
        late_s = self.table.timers.now() - self.job.deadline
        if late_s > LATE_ANSWER_S and answer.end is not RequestEnd.CLIENT_GONE:
            self.table.metrics.count_and_log(
                "answers_late", request=self.job.id, seconds=late_s, end=answer.end
            )
        self.table.metrics.trace(
            "attempts", "answered", request=self.job.id, end=answer.end, attempts=len(self._attempts)
        )
        if answer.end in FIGURE_OF_END:
            self.table.metrics.count(
                figures.counter_name(FIGURE_OF_END[answer.end], self.table.class_names[self.job.class_index])
            )
        return True

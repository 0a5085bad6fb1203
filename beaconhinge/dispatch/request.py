"""The life of one request, whatever its protocol: taken, attempted as the policy decides, answered once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ..management import figures
from ..policy import interface
from ..policy.interface import PROVEN_UNRUN, RETRY_FLAG, AttemptOutcome, NoticeKind, Semantics
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .attempt import Attempt, AttemptFinished, AttemptProgress, AttemptTransport, SiblingAttempts
from .job import Answer, IdempotencyKeys, Job, KeyStatus, RequestEnd
from .policy_runner import PolicyRunner

# Operators' figure for each end; a request whose client left is in none.
FIGURE_OF_END = {
    RequestEnd.SERVED: figures.SUCCESS,
    RequestEnd.REJECTED: figures.BUSY,
    RequestEnd.FAILED: figures.FAILURE,
}

# Seconds after its deadline from which an answer counts as late.
LATE_ANSWER_S = 0.1

# Request numbers stay under 2^32 like the simulator's; the policy adds to them for its timers.
REQUEST_NUMBERS = 0xFFFF0000


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client has closed its connection."""


@dataclass(slots=True, frozen=True)
class Overdue:
    """The deadline is past, and the time that the policy has to answer after it."""


@dataclass(slots=True, frozen=True)
class Admitted:
    """The policy knows of the job; what it decided at once stands before this in the queue."""


Step: TypeAlias = (
    interface.SendAttempt
    | interface.Reject
    | interface.Fail
    | interface.CancelAttempt
    | AttemptFinished
    | AttemptProgress
    | ClientLeft
    | Overdue
    | Admitted
)


class RequestObserver(Protocol):
    """Follows a request on its way; the answer comes by itself. Attempts are named by their numbers."""

    def accepted(self) -> None:
        """The policy has not rejected the request at once."""

    def started(self, attempt: int) -> None:
        """The worker has begun with the job."""

    def progress(self, attempt: int, share: float) -> None:
        """The worker has done so much of the job, from 0 to 1."""

    def lost(self, attempt: int) -> None:
        """The attempt ended without a result."""


def _outcome_as_is(_attempt: Attempt, outcome: AttemptOutcome) -> AttemptOutcome:
    return outcome


def _whole_span(since: float, now: float) -> float:
    return max(now - since, 0.0)


def _client_stays() -> bool:
    return False


class RequestTable:
    """All requests that have no end yet, or have attempts without one.

    Attributes:
        requests: by the id that the client gave.
        reported_outcome: what an attempt's outcome is reported to the policy as.
        own_seconds: the part of a span of time in which this process ran.
        wait_before_admission: a new job waits for it, for a bounded time.
        keys: idempotency keys, where they are kept.
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
        """Make an empty table whose attempts are sent by `transport`."""
        self.class_names = class_names
        self.policy_runner = policy_runner
        self.transport = transport
        self.timers = timers
        self.metrics = metrics
        self.settings = settings
        self.requests: dict[str, Request] = {}
        self._last_number = 0
        self.reported_outcome: Callable[[Attempt, AttemptOutcome], AttemptOutcome] = _outcome_as_is
        self.own_seconds: Callable[[float, float], float] = _whole_span
        self.wait_before_admission: Callable[[], Awaitable[None]] | None = None
        self.keys: IdempotencyKeys | None = None

    @property
    def full(self) -> bool:
        """Whether there is no room for another request."""
        return len(self.requests) >= self.settings.max_queued

    @property
    def unanswered(self) -> int:
        """Number of requests whose end has not come yet."""
        return sum(not request.answer.done() for request in self.requests.values())

    def reject(self, job: Job) -> Answer:
        """Reject a job without asking the policy: there is no room for it, or no time."""
        self.metrics.count(figures.counter_name(figures.BUSY, self.class_names[job.class_index]))
        return Answer(RequestEnd.REJECTED, retry_after=self.settings.max_retry_after_s)

    def take(
        self,
        job: Job,
        observer: RequestObserver | None = None,
        has_client_left: Callable[[], bool] = _client_stays,
    ) -> Request:
        """Start a request in a task of its own.

        Args:
            job: what the client handed in.
            observer: hears of each step, for a streamed answer.
            has_client_left: whether the client has gone, as far as can be seen this moment.
        """
        self._last_number = self._last_number % REQUEST_NUMBERS + 1
        request = self.requests[job.id] = Request(self, self._last_number, job, observer, has_client_left)
        self.metrics.count("requests_taken")
        self.metrics.spawn(request.run(), "request")
        return request


class Request:
    """One request with its attempts. Everything that happens to it is a step in one queue.

    Attributes:
        number: its number in events and actions of the policy.
        answer: done once the client's answer is settled.
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
        self._may_have_run = False
        self._has_client_left = has_client_left
        self._client_left = False

    def client_left(self) -> None:
        """Take note that the client has gone; later calls change nothing."""
        if not self._client_left:
            self._client_left = True
            self.table.policy_runner.monitor.client_disconnected(self.job.id, self.table.timers.now())
            self._steps.put_nowait(ClientLeft())

    def client_is_waiting(self) -> bool:
        """Whether somebody waits for the answer still."""
        if not self._client_left and self._has_client_left():
            self.client_left()
        return not self._client_left and not self.answer.done()

    async def run(self) -> None:
        """Serve the request from its admission until the last attempt has its outcome."""
        table, job = self.table, self.job
        table.policy_runner.request_handlers[self.number] = self._steps.put_nowait
        unsafe = table.settings.classes[job.class_index].semantics == Semantics.UNSAFE
        table.policy_runner.monitor.request_started(job.id, job.deadline, unsafe)
        overdue_at = job.deadline + table.settings.answer_grace_s / 2
        backstop = table.timers.at(overdue_at, lambda: self._steps.put_nowait(Overdue()))
        key = KeyStatus()
        try:
            if table.wait_before_admission is not None or table.keys is not None and job.idempotency_key:
                key = await self._look_up_key()
            if key.result is not None:
                self._finish(Answer(RequestEnd.SERVED, key.result))
                return
            self._submit(key)
            # The last steps count as well: each send is due its outcome, and the policy each outcome.
            while not self.answer.done() or not self._steps.empty() or any(a.open for a in self._attempts):
                self._handle(await self._steps.get())
        finally:
            backstop.cancel()
            self._finish(Answer(RequestEnd.FAILED))  # only if something above has failed
            self._leave_table(key)

    def _submit(self, key: KeyStatus) -> None:
        """Let the policy decide on the job, in the time that is left of its own."""
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
            case ClientLeft():
                self._on_client_left()
            case Overdue():
                self._on_overdue(step)

    def _leave_table(self, key: KeyStatus) -> None:
        if key.registered and self.table.keys is not None:
            answer = self.answer.result()
            may_have_run = self._may_have_run or any(a.open for a in self._attempts)
            result = answer.body if answer.end is RequestEnd.SERVED else None
            self.table.keys.release(self.job, may_have_run, result)
        self.table.policy_runner.request_handlers.pop(self.number, None)
        self.table.policy_runner.monitor.request_finished(self.job.id)
        del self.table.requests[self.job.id]

    async def _look_up_key(self) -> KeyStatus:
        """What is found out before the policy knows of the job, in half of the job's time at most.

        A slow disk, or dispatchers that do not answer, must not cost it its answer.
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

    def _start_attempt(self, order: interface.SendAttempt) -> None:
        now = self.table.timers.now()
        until = min(self.job.deadline, now + order.timeout if order.timeout > 0 else self.job.deadline)
        attempt = Attempt(
            self.job,
            len(self._attempts),
            order.worker,
            now,
            until,
            self._steps.put_nowait,
            self.client_is_waiting,
            self._siblings_of,
        )
        busy = any(a.open and a.worker == order.worker for a in self._attempts)
        self._attempts.append(attempt)
        self.table.metrics.count("attempts")
        one_at_a_time = self.table.metrics.check(not busy, "one_attempt_per_worker")
        if not self.client_is_waiting() or until <= now or not one_at_a_time:
            attempt.end(AttemptOutcome.NOT_SENT)
            return
        attempt.timer = self.table.timers.at(until, lambda: attempt.end(AttemptOutcome.TIMEOUT))
        self.table.metrics.trace(
            "attempts", "attempt", request=self.job.id, worker=order.worker, number=attempt.number
        )
        self.table.transport.start(attempt)

    def _siblings_of(self, attempt: Attempt) -> SiblingAttempts:
        out = [
            other for other in self._attempts if other is not attempt and other.open and other.may_be_written
        ]
        return SiblingAttempts(
            sum(other.worker == attempt.worker for other in out), len(out), self._may_have_run
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
            # The loop was late: the policy's answer may wait behind the outcome at the deadline.
            self._steps.put_nowait(step)
            return
        # The policy answers before this; if it fails to, it is asked, and the client gets an answer still.
        if not self.table.metrics.check(self.answer.done(), "answered_by_deadline"):
            self.table.metrics.log("request_overdue", **self._overdue_state())
            self.table.policy_runner.feed(interface.DeadlinePassed(self.number))
            if self._steps.empty():
                self._finish(Answer(RequestEnd.FAILED))

    def _overdue_state(self) -> dict[str, object]:
        """What is logged of a request without an answer. Times are seconds after its deadline."""
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
        self._may_have_run = self._may_have_run or step.outcome not in PROVEN_UNRUN
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
        latency = self.table.own_seconds(attempt.sent_at, self.table.timers.now())
        self.table.policy_runner.feed(
            interface.AttemptEnded(
                self.number,
                attempt.worker,
                attempt.number,
                self.table.reported_outcome(attempt, step.outcome),
                self.answer.done(),
                latency,
                step.load,
            )
        )

    def _finish(self, answer: Answer) -> bool:
        """Settle the answer. The first one stands; returns whether this is it."""
        if self.answer.done():
            return False
        self.answer.set_result(answer)
        self.job.body = b""  # attempts under way keep it as long as they need it
        for attempt in self._attempts:
            if not attempt.may_be_written:  # it waits for its connection, and nobody for it
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

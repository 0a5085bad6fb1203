"""The life of one request, without a word of HTTP: taken, attempted as the module says, answered once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ..management import figures
from ..policy import interface
from ..policy.interface import PROVEN_UNRUN, RETRY_FLAG, AttemptOutcome, NoticeKind, Semantics
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import Timer, TimerWheel
from .policy_runner import PolicyRunner

REFUSED, FAILED, GONE = (
    "refused",
    "failed",
    "gone",
)  # besides AttemptOutcome.SERVED: the ends of a request
# One whose client left is in no figure.
FIGURE = {AttemptOutcome.SERVED: figures.SUCCESS, REFUSED: figures.BUSY, FAILED: figures.FAILURE}


@dataclass(slots=True)
class Job:
    """What a client hands in, whatever protocol it speaks."""

    id: str
    cls: int
    tenant: int
    remaining_s: float  # seconds from `taken_at`, the arrival of its last byte, until it must have its answer
    taken_at: float
    target: bytes  # path and query, passed on unchanged
    body: bytes
    dedup_key: str = ""
    route_key: str = ""
    slots: float = 1.0
    memory: float = 0.0
    is_retry: bool = False
    work_s: float = 0.0  # seconds of a standard core that it may take; 0: not known
    client_timeout_s: float = (
        0.0  # seconds from `taken_at` that its client waits; 0: `remaining`, and no more
    )

    @property
    def deadline(self) -> float:
        return self.taken_at + self.remaining_s


@dataclass(slots=True, frozen=True)
class Answer:
    end: str
    body: bytes = b""
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class KeyStatus:
    """What is known of a job's key before it is started."""

    may_run_elsewhere: bool = False  # it may have run elsewhere, or may be about to
    result: bytes | None = None
    registered: bool = False  # it is in the book now, and `left` is due


class IdempotencyKeys(Protocol):
    """Knows which keys are, or were lately, at this or another dispatcher."""

    async def enter(self, job: Job) -> KeyStatus: ...

    def left(self, job: Job, may_have_run: bool, result: bytes | None) -> None: ...


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt has its outcome."""

    attempt: Attempt
    outcome: AttemptOutcome
    body: bytes = b""
    load: Mapping[str, float] | None = None


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """A worker tells of an attempt in flight."""

    attempt: Attempt
    kind: int
    share: float


@dataclass(slots=True, frozen=True)
class ClientLeft:
    pass


@dataclass(slots=True, frozen=True)
class Overdue:
    pass


@dataclass(slots=True, frozen=True)
class Admitted:
    """The module has heard of the job, and what it said at once stands before this."""


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
        """The module has not turned it down at once."""

    def started(self, attempt: int) -> None: ...

    def progress(self, attempt: int, share: float) -> None: ...

    def lost(self, attempt: int) -> None: ...


@dataclass(slots=True, frozen=True)
class SiblingAttempts:
    """The other attempts of an attempt's request."""

    at_worker: int  # out at the same worker
    in_flight: int  # out anywhere
    may_have_run: bool  # one of those that have ended


class Attempt:
    """One send to one worker. The first end counts, whoever reports it; all later ones are passed over."""

    def __init__(
        self,
        job: Job,
        number: int,
        worker: int,
        sent_at: float,
        until: float,
        tell: Callable[[Step], None],
        wanted: Callable[[], bool],
        others: Callable[[Attempt], SiblingAttempts],
    ) -> None:
        self.job = job
        self.number = number
        self.worker = worker
        self.sent_at = sent_at
        self.until = until  # when it ends without an answer
        self.open = True
        self.may_be_written = False  # its first byte may have been written
        self.on_end: Callable[[AttemptOutcome], None] = lambda outcome: None  # set by who carries it
        self.timer: Timer | None = None
        self._post = tell
        self._client_is_waiting = wanted
        self._siblings = others

    def client_is_waiting(self) -> bool:
        """Whether somebody waits for an answer, as far as can be seen this moment. A connection may come up,
        or a turn of the loop be due, long after the client has gone.
        """
        return self._client_is_waiting()

    def siblings(self) -> SiblingAttempts:
        return self._siblings(self)

    def end(
        self, outcome: AttemptOutcome, body: bytes = b"", load: Mapping[str, float] | None = None
    ) -> None:
        if self.open:
            self.open = False
            if self.timer is not None:
                self.timer.cancel()
            self.on_end(outcome)
            self._post(AttemptFinished(self, outcome, body, load))

    def report_progress(self, what: int, share: float = 0.0) -> None:
        if self.open:
            self._post(AttemptProgress(self, what, share))


class AttemptTransport(Protocol):
    """Brings attempts to workers."""

    def start(self, attempt: Attempt) -> None: ...


class RequestTable:
    """All requests in hand."""

    def __init__(
        self,
        policy_runner: PolicyRunner,
        transport: AttemptTransport,
        timers: TimerWheel,
        metrics: Metrics,
        settings: interface.Settings,
        class_names: Sequence[str],
    ) -> None:
        self.class_names = class_names
        self.policy_runner = policy_runner
        self.transport = transport
        self.timers = timers
        self.metrics = metrics
        self.settings = settings
        self.requests: dict[str, Request] = {}
        self._last_number = 0
        # What an attempt's end is told to the module as, and the time of it in which this process ran.
        self.reported_outcome: Callable[[Attempt, AttemptOutcome], AttemptOutcome] = lambda _, outcome: (
            outcome
        )
        self.own_seconds: Callable[[float, float], float] = lambda since, now: max(now - since, 0.0)
        self.wait_before_admission: Callable[[], Awaitable[None]] | None = (
            None  # a new job waits for it, if bounded
        )
        self.keys: IdempotencyKeys | None = None

    @property
    def full(self) -> bool:
        return len(self.requests) >= self.settings.max_queued

    @property
    def unanswered(self) -> int:
        """Jobs taken whose end has not come yet."""
        return sum(not request.answer.done() for request in self.requests.values())

    def reject(self, job: Job) -> Answer:
        """Refuse a job without the module's word: there is no room for it, or no time."""
        self.metrics.count(figures.counter(figures.BUSY, self.class_names[job.cls]))
        return Answer(REFUSED, retry_after=self.settings.max_retry_after_s)

    def take(
        self, job: Job, watcher: RequestObserver | None = None, has_left: Callable[[], bool] = lambda: False
    ) -> Request:
        """`has_left` tells whether the client has gone, as far as can be seen this moment."""
        # Numbers stay under 2^32 like the simulator's; the module adds to them for its timers.
        self._last_number = self._last_number % 0xFFFF0000 + 1
        request = self.requests[job.id] = Request(self, self._last_number, job, watcher, has_left)
        self.metrics.count("requests_taken")
        self.metrics.spawn(request.run(), "request")
        return request


class Request:
    def __init__(
        self,
        table: RequestTable,
        number: int,
        job: Job,
        watcher: RequestObserver | None,
        has_left: Callable[[], bool],
    ) -> None:
        self.table = table
        self.number = number
        self.job = job
        self.watcher = watcher
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._steps: asyncio.Queue[Step] = asyncio.Queue()
        self._attempts: list[Attempt] = []
        self._may_have_run = False
        self._has_client_left = has_left
        self._client_left = False

    def client_left(self) -> None:
        if not self._client_left:
            self._client_left = True
            self.table.policy_runner.monitor.client_left(self.job.id, self.table.timers.now())
            self._steps.put_nowait(ClientLeft())

    def client_is_waiting(self) -> bool:
        """Whether somebody waits for the answer still."""
        if not self._client_left and self._has_client_left():
            self.client_left()
        return not self._client_left and not self.answer.done()

    async def run(self) -> None:
        policy_runner, metrics, job = self.table.policy_runner, self.table.metrics, self.job
        policy_runner.request_handlers[self.number] = self._steps.put_nowait
        unsafe = self.table.settings.classes[job.cls].semantics == Semantics.UNSAFE
        policy_runner.monitor.request_taken(job.id, job.deadline, unsafe)
        late = job.remaining_s + self.table.settings.answer_grace_s / 2
        backstop = self.table.timers.after(late, lambda: self._steps.put_nowait(Overdue()))
        known, spent = KeyStatus(), 0.0
        try:
            if self.table.wait_before_admission is not None or self.table.keys is not None and job.dedup_key:
                known = await self._look_up_key()
                spent = self.table.timers.now() - job.taken_at  # that took time
            if known.result is not None:
                self._finish(Answer(AttemptOutcome.SERVED, known.result))
                return
            left, patience = (max(span - spent, 0.0) for span in (job.remaining_s, job.client_timeout_s))
            policy_runner.feed(
                interface.JobArrived(
                    self.number,
                    job.cls,
                    job.tenant,
                    left,
                    job.route_key,
                    size_hint=job.work_s,
                    slots=job.slots,
                    memory=job.memory,
                    flags=RETRY_FLAG if job.is_retry else 0,
                    may_run_elsewhere=known.may_run_elsewhere,
                    client_timeout=patience,
                )
            )
            if self.watcher is not None:
                self._steps.put_nowait(Admitted())
            # The last steps count as well: each send is due its outcome, and the module each outcome.
            while not self.answer.done() or not self._steps.empty() or any(a.open for a in self._attempts):
                step = await self._steps.get()
                match step:
                    case interface.SendAttempt():
                        self._start_attempt(step)
                    case interface.CancelAttempt():
                        self._attempts[step.attempt].end(AttemptOutcome.CANCELLED)
                    case interface.Reject():
                        self._finish(Answer(REFUSED, retry_after=step.retry_after))
                    case interface.Fail():
                        self._finish(Answer(FAILED))
                    case Admitted():
                        if self.watcher is not None and not self.answer.done():
                            self.watcher.accepted()
                    case AttemptProgress():
                        self._notify_observer(step)
                        policy_runner.feed(
                            interface.ProgressNotice(
                                self.number, step.attempt.worker, step.attempt.number, step.kind, step.share
                            )
                        )
                    case AttemptFinished():
                        self._on_attempt_finished(step)
                    case ClientLeft():
                        if self._finish(Answer(GONE)):
                            policy_runner.feed(interface.ClientDisconnected(self.number))
                    case Overdue() if not self._steps.empty():
                        # The loop was late: the module's answer may wait behind the outcome at the deadline.
                        self._steps.put_nowait(step)
                    case Overdue():
                        # The module answers before this; if it fails to, the client gets an answer still.
                        if not metrics.check(self.answer.done(), "answered_by_deadline"):
                            self._finish(Answer(FAILED))
                            policy_runner.feed(interface.ClientDisconnected(self.number))
        finally:
            backstop.cancel()
            self._finish(Answer(FAILED))  # only if something above has failed: the client gets its answer
            if known.registered and self.table.keys is not None:
                answer = self.answer.result()
                may_have_run = self._may_have_run or any(a.open for a in self._attempts)
                self.table.keys.left(
                    job, may_have_run, answer.body if answer.end == AttemptOutcome.SERVED else None
                )
            policy_runner.request_handlers.pop(self.number, None)
            policy_runner.monitor.request_over(job.id)
            del self.table.requests[job.id]

    async def _look_up_key(self) -> KeyStatus:
        """What is found out before the module hears of the job, in half of its time at most: a slow disk, or
        dispatchers that do not answer, must not cost it its answer.
        """
        try:
            async with self.table.timers.timeout(self.job.remaining_s / 2):
                if self.table.wait_before_admission is not None:
                    await self.table.wait_before_admission()
                if self.table.keys is not None and self.job.dedup_key:
                    return await self.table.keys.enter(self.job)
                return KeyStatus()
        except TimeoutError:
            return KeyStatus(may_run_elsewhere=bool(self.job.dedup_key))

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
        attempt.timer = self.table.timers.after(until - now, lambda: attempt.end(AttemptOutcome.TIMEOUT))
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

    def _notify_observer(self, step: AttemptProgress) -> None:
        if self.watcher is None:
            return
        if step.kind == NoticeKind.STARTED:
            self.watcher.started(step.attempt.number)
        else:
            self.watcher.progress(step.attempt.number, step.share)

    def _on_attempt_finished(self, step: AttemptFinished) -> None:
        attempt = step.attempt
        self._may_have_run = self._may_have_run or step.outcome not in PROVEN_UNRUN
        if self.watcher is not None and step.outcome != AttemptOutcome.SERVED:
            self.watcher.lost(attempt.number)
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
            self._finish(Answer(AttemptOutcome.SERVED, step.body))
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
        """The first final answer stands."""
        if self.answer.done():
            return False
        self.answer.set_result(answer)
        self.job.body = b""  # attempts under way hold it as long as they need it
        for attempt in self._attempts:
            if not attempt.may_be_written:  # it waits for its connection, and nobody for it
                attempt.end(AttemptOutcome.NOT_SENT)
        self.table.metrics.count("answer_" + answer.end)
        self.table.metrics.trace(
            "attempts", "answered", request=self.job.id, end=answer.end, attempts=len(self._attempts)
        )
        if answer.end in FIGURE:
            self.table.metrics.count(
                figures.counter(FIGURE[answer.end], self.table.class_names[self.job.cls])
            )
        return True

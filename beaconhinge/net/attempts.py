"""Sends attempts to workers: connects, consults the send guard, writes the job and reads the worker's answer.

The answer only says whether the worker accepted the job; the result follows in a call-back. Jobs that are no
longer needed are withdrawn, see `withdrawals.py`.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..config import Config
from ..dispatch.attempt import Attempt
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.send_guard import SendRefusal, SendState, find_send_refusal
from ..management.figures import BACKEND_CALLS
from ..membership.inventory import WorkerEndpoint
from ..policy.interface import MAX_HOLD_UP_S, PROVEN_UNRUN, AttemptOutcome, Semantics
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from . import http1
from .http1 import BadMessage, Closed, Connection, Message
from .load_reports import LoadReportParser
from .withdrawals import GRACE_S, Withdrawal, Withdrawals

if TYPE_CHECKING:
    from .worker_pool import WorkerPool

LATE_ANSWER_TIMEOUT_S = 1.0  # how long the answer to an attempt that has already ended is still awaited
MAX_ENCODING_S = 0.02  # an encoding that takes longer was interrupted by a pause of the process
MAX_ENCODINGS = 5  # the last one is sent however long it took, for machines that are always slower
WORKER_SERVICE = "service.internal"  # value of the Host header in requests to workers

STATUS_ACCEPTED = 202
STATUS_SERVER_ERROR = 500
UNRUN_STATUSES = (503, 504)  # with X-Not-Processed: 1, the worker has not run the job
CLIENT_ERRORS = range(400, 500)
TRANSIENT_STATUSES = (408, 429)  # client errors that are temporary and not caused by the request
ABANDONED = (AttemptOutcome.CANCELLED, AttemptOutcome.TIMEOUT)  # outcomes that this process decided on


def _encode_job(sent: SentAttempt, remaining_ms: int) -> bytes:
    job = sent.attempt.job
    headers = {
        "Host": WORKER_SERVICE,
        "X-Request-ID": job.id,
        "X-Timeout-Ms": str(remaining_ms),
        "Content-Length": str(len(sent.body)),
    }
    if job.idempotency_key:
        headers["Idempotency-Key"] = job.idempotency_key
    return http1.request("POST", job.target, headers, sent.body)


@dataclass(frozen=True, slots=True)
class _EncodedRequest:
    """The bytes of a request to a worker.

    Attributes:
        data: The bytes.
        announced_timeout_ms: The timeout that they announce to the worker, in milliseconds.
        encoded_at: When they were ready, in seconds.
    """

    data: bytes
    announced_timeout_ms: int
    encoded_at: float


class SentAttempt:
    """An open attempt, while it is connected, sent and answered.

    Attributes:
        host: The worker's list entry when the attempt was started.
        status: Status of the worker's answer; None before it.
        body: The job's body, kept here since an answered request drops its own while this may still connect.
        task: The task that sends the attempt.
    """

    def __init__(self, attempt: Attempt, host: WorkerEndpoint) -> None:
        """Wrap an attempt that has not been started."""
        self.attempt = attempt
        self.host = host
        self.status: int | None = None
        self.body = attempt.job.body
        self.task: asyncio.Task[None] | None = None

    @property
    def accepted(self) -> bool:
        """Whether the worker has accepted the job with a 202."""
        return self.status == STATUS_ACCEPTED


def _closed_unanswered(sent: SentAttempt, outcome: AttemptOutcome) -> bool:
    """Return whether the connection ended before the worker's answer, so that it may yet take the job.

    The end of the connection withdraws the job. But the worker may notice it only after it has received
    another attempt of the request on another connection.
    """
    if sent.attempt.written_to is None or sent.status is not None:
        return False
    return outcome in ABANDONED or outcome == AttemptOutcome.CONNECTION_LOST


def _may_call_back(sent: SentAttempt, outcome: AttemptOutcome) -> bool:
    """Return whether the worker of an attempt that has ended took the job, or may have.

    A worker that answered otherwise than with 202, or that was not sent the whole request, has nothing to
    report. How long it repeats a report whose answer gets lost is not known.
    """
    if sent.attempt.written_to is None or sent.status not in (None, STATUS_ACCEPTED):
        return False
    return sent.attempt.reported_outcome is not None or outcome not in PROVEN_UNRUN


class AttemptSender:
    """Sends attempts to workers."""

    def __init__(
        self,
        config: Config,
        pool: WorkerPool,
        load_reports: LoadReportParser,
        policy_runner: PolicyRunner,
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        """Create a sender; `pool` provides the workers and the connections to them."""
        self.config = config
        self.pool = pool
        self.load_reports = load_reports
        self.policy_runner = policy_runner
        self.timers = timers
        self.metrics = metrics
        self.open: dict[tuple[str, str], SentAttempt] = {}  # by request id and worker id
        self.withdrawals = Withdrawals(pool.exchange, self._current_entry, timers, metrics)

    def find(self, request: str, worker: str) -> Attempt | None:
        """Return the open attempt of a request at a worker, both given by id; None if there is none."""
        sent = self.open.get((request, worker))
        return None if sent is None else sent.attempt

    def start(self, attempt: Attempt) -> None:
        """Send an attempt in a task of its own; ends it as NO_CONNECTION if its worker is not listed."""
        worker = self.pool.workers.get(attempt.worker)
        if worker is None:  # it was removed from the list after the policy had chosen it
            attempt.end(AttemptOutcome.NO_CONNECTION)
            return
        sent = SentAttempt(attempt, worker.host)
        self.open[attempt.job.id, worker.host.id] = sent
        attempt.on_end = lambda outcome: self._on_end(sent, outcome)
        sent.task = self.metrics.spawn(self._send(sent), "attempt")

    def _current_entry(self, number: int) -> WorkerEndpoint | None:
        worker = self.pool.workers.get(number)
        return None if worker is None else worker.host

    def _on_end(self, sent: SentAttempt, outcome: AttemptOutcome) -> None:
        """Clean up after an attempt that has ended, and report its end at the worker to the send monitor.

        A cancelled or timed-out attempt has its connection closed, established or not, if the worker has not
        yet answered 202; after the 202 the job is withdrawn.
        """
        attempt, task = sent.attempt, sent.task
        self.open.pop((attempt.job.id, sent.host.id), None)
        if task is not None and not sent.accepted:
            # A result may arrive before its 202: the connection waits LATE_ANSWER_TIMEOUT_S for the 202.
            if outcome in ABANDONED or attempt.written_to is None:
                task.cancel()
            else:
                self.timers.after(LATE_ANSWER_TIMEOUT_S, task.cancel)
        attempt.may_call_back = _may_call_back(sent, outcome)
        self._report_end(sent, outcome)
        if attempt.end_is_uncertain or (sent.accepted and outcome in ABANDONED):
            self._withdraw(sent)
        elif _closed_unanswered(sent, outcome):
            attempt.closed_unanswered = True

    def _report_end(self, sent: SentAttempt, outcome: AttemptOutcome) -> None:
        """Report to the send monitor what is known at the worker of an attempt that has ended."""
        attempt, monitor = sent.attempt, self.policy_runner.monitor
        request, worker = attempt.job.id, sent.host.id
        if (reported := attempt.reported_outcome) is not None:
            monitor.attempt_called_back(request, worker, reported, reported in PROVEN_UNRUN)
        elif attempt.may_call_back:
            monitor.attempt_given_up(request, worker)
        else:
            monitor.attempt_ended(request, worker, outcome in PROVEN_UNRUN)

    def _withdraw(self, sent: SentAttempt) -> None:
        """Withdraw a job; until the worker has confirmed it, it counts as held by the worker."""
        attempt = sent.attempt
        attempt.withdrawal_pending = True
        request, worker, monitor = attempt.job.id, sent.host.id, self.policy_runner.monitor

        def release() -> None:
            monitor.attempt_ended(request, worker, never_ran=False)
            attempt.release()

        self.withdrawals.start(Withdrawal(request, sent.host, attempt.job.deadline + GRACE_S, release))

    async def _withdraw_earlier(self, sent: SentAttempt) -> None:
        """Withdraw the job from the worker if an earlier attempt there ended with its connection, unanswered.

        Raises:
            OSError: The worker has not confirmed it.
        """
        closed = [caller for caller in sent.attempt.siblings().callers_at_worker if caller.closed_unanswered]
        if not closed:
            return
        request, host = sent.attempt.job.id, sent.host
        if not await self.withdrawals.try_once(Withdrawal(request, host, sent.attempt.expires_at)):
            raise OSError("the worker has not confirmed that it dropped an earlier attempt")
        self.policy_runner.monitor.attempt_ended(request, host.id, never_ran=False)
        for earlier in closed:
            earlier.closed_unanswered = False

    async def _send(self, sent: SentAttempt) -> None:
        """Send the job and read the worker's answer; ends the attempt unless the worker accepted the job."""
        attempt, written = sent.attempt, False
        connection: Connection | None = None
        idle_for_s = 0.0
        try:
            await self._withdraw_earlier(sent)
            # Without this check, a connection to a worker that has left meanwhile would fail, and count as a
            # failure of the worker.
            if (why := await self._refusal_once_list_usable(sent)) is not None:
                self._refuse(sent, why)
                return
            connection = await self.pool.connection(sent.host)
            data = await self._encode_once_allowed(sent)
            if isinstance(data, SendRefusal):
                self._refuse(sent, data)
                self.pool.put_back(sent.host, connection)
                return
            attempt.written_to = self.pool.workers[attempt.worker].host.member
            idle_for_s = self.timers.now() - connection.used_at if connection.used_at else 0.0
            await connection.send(data)
            written = True
            self.metrics.count(BACKEND_CALLS)
            message = await connection.next()
        except (OSError, Closed, BadMessage) as error:  # a time-out is an OSError too
            # The job may have run only if all its bytes were written. Only the policy decides on a repeat, so
            # the job is not sent again here, not even after a failure on a stale connection.
            if isinstance(error, BadMessage):
                self.metrics.count_and_log("worker_answer_malformed", worker=sent.host.id, why=error)
            attempt.end(AttemptOutcome.CONNECTION_LOST if written else AttemptOutcome.NO_CONNECTION)
            if connection is not None:
                connection.close()
            if idle_for_s:
                self.pool.record_reuse(idle_for_s, False)
            return
        except asyncio.CancelledError:  # the attempt was abandoned
            if connection is not None:
                connection.close()
            raise
        sent.status = message.status
        if idle_for_s:
            self.pool.record_reuse(idle_for_s, True)
        self.pool.keep(sent.host, connection, message)
        if not sent.accepted:
            self._end_unaccepted(attempt, message)

    async def _encode_once_allowed(self, sent: SentAttempt) -> bytes | SendRefusal:
        """Return the bytes of the job's request, or why it may not be sent.

        The bytes must be written in the turn of the event loop in which this returns.
        """
        request = self._encode_if_allowed(sent)
        while request is SendRefusal.LIST_UNKNOWN:
            if (why := await self._refusal_once_list_usable(sent)) is not None:
                return why
            request = self._encode_if_allowed(sent)
        if isinstance(request, SendRefusal):
            return request
        self._record_send(sent, request)
        return request.data

    def _encode_if_allowed(self, sent: SentAttempt) -> _EncodedRequest | SendRefusal:
        """Ask the guard and encode the job's request, both again if the process was paused meanwhile.

        Otherwise the answer of the guard would be out of date, and the timeout announced to the worker would
        include time that has already passed.
        """
        for _ in range(MAX_ENCODINGS):
            started_at = self.timers.now()
            if (why := self._refusal(sent)) is not None:
                return why
            remaining_ms = max(int((sent.attempt.expires_at - self.timers.now()) * 1000), 1)
            data = _encode_job(sent, remaining_ms)
            now = self.timers.now()
            if now - started_at < MAX_ENCODING_S:
                break
        return _EncodedRequest(data, remaining_ms, now)

    def _record_send(self, sent: SentAttempt, request: _EncodedRequest) -> None:
        """Trace a send, and have it checked by the send monitor."""
        job = sent.attempt.job
        self.metrics.trace(
            "attempts",
            "attempt_sent",
            request=job.id,
            worker=sent.host.id,
            list_version=self.pool.list_version,
            waited=request.encoded_at - sent.attempt.sent_at,
        )
        self.policy_runner.monitor.attempt_started(
            job.id, sent.host.id, request.encoded_at, request.announced_timeout_ms
        )

    async def _refusal_once_list_usable(self, sent: SentAttempt) -> SendRefusal | None:
        """Wait until the list of workers is usable, then return the guard's refusal, or None.

        The wait ends early when the window for a repeat does. The result is valid in the turn of the event
        loop in which this returns.
        """
        why = self._refusal(sent)
        if why is SendRefusal.LIST_UNKNOWN:
            self.metrics.count("sends_waited_for_list")
        while why is SendRefusal.LIST_UNKNOWN:
            with contextlib.suppress(TimeoutError):
                async with self.timers.timeout_at(self._repeat_until(sent.attempt)):
                    await self.pool.wait_until_list_usable()
            why = self._refusal(sent)
        return why

    def _repeat_until(self, attempt: Attempt) -> float:
        """Return until when the attempt may be written, as far as its siblings now allow it, in seconds.

        Without a sibling that may have run, that is until it expires.
        """
        if attempt.siblings().first_possible_run is None:
            return attempt.expires_at
        return min(attempt.repeat_until - MAX_HOLD_UP_S, attempt.expires_at)

    def _refusal(self, sent: SentAttempt) -> SendRefusal | None:
        """Return the guard's refusal for this moment, or None; valid for this turn of the event loop only."""
        attempt, siblings = sent.attempt, sent.attempt.siblings()
        worker = self.pool.workers.get(attempt.worker)
        current_entry = None if worker is None else worker.host.member
        request_class = self.config.settings.classes[attempt.job.class_index]
        now = self.timers.now()
        # Only a class with keys limits repeats by time and place; for others the first run does not matter.
        deduplicated = request_class.semantics == Semantics.DEDUPLICATED
        first_run = siblings.first_possible_run if deduplicated else None
        return find_send_refusal(
            SendState(
                list_usable=self.pool.list_usable(),
                entry_when_chosen=sent.host.member,
                current_entry=current_entry,
                same_address=worker is not None and worker.host.address == sent.host.address,
                disabled_by_operator=self.pool.is_in_maintenance(sent.host.id),
                attempt_open=attempt.open,
                client_waiting=attempt.client_is_waiting(),
                time_left_s=attempt.expires_at - now,
                other_attempts_at_worker=siblings.at_worker,
                other_attempts_in_flight=siblings.in_flight,
                may_have_run=siblings.may_have_run,
                must_not_run_twice=request_class.semantics == Semantics.UNSAFE,
                repeat_time_left_s=attempt.repeat_until - MAX_HOLD_UP_S - now if first_run else math.inf,
                same_deduplication_group=first_run is None
                or current_entry is None
                or request_class.shares_deduplication(first_run, current_entry),
            )
        )

    def _refuse(self, sent: SentAttempt, why: SendRefusal) -> None:
        self.metrics.count(f"send_refused_{why.value}")
        self.metrics.trace(
            "attempts", "send_refused", request=sent.attempt.job.id, worker=sent.host.id, why=why.value
        )
        sent.attempt.end(AttemptOutcome.NOT_SENT)

    def _end_unaccepted(self, attempt: Attempt, message: Message) -> None:
        """End an attempt whose job the worker has not accepted, with an outcome derived from its answer."""
        status = message.status
        unrun = status in UNRUN_STATUSES and message.headers.get("x-not-processed") == "1"
        if not unrun and status != STATUS_SERVER_ERROR:
            self.metrics.count_and_log(
                "worker_answer_unexpected",
                worker=attempt.worker,
                status=status,
                request=attempt.job.id,
                target=attempt.job.target,
                why=message.body,
            )
        outcome = AttemptOutcome.SERVER_ERROR
        if unrun:
            outcome = AttemptOutcome.REJECTED
        elif status in CLIENT_ERRORS and status not in TRANSIENT_STATUSES:
            # Not a server error: counted against the workers, a faulty request was sent to three of them and
            # had each of them ejected.
            outcome = AttemptOutcome.INVALID_REQUEST
        attempt.end(outcome, load=self.load_reports.parse(message.headers.get("x-server-load")))

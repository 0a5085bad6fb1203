"""Attempts on the wire: dial, ask the guard, write the job, read the worker's answer to that; withdraw.

The job's result comes later, by a call-back.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..config import Config
from ..dispatch.attempt import Attempt
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.send_guard import SendRefusal, SendState, find_send_refusal
from ..management.figures import BACKEND_CALLS
from ..membership.inventory import WorkerEndpoint
from ..policy.interface import PROVEN_UNRUN, AttemptOutcome, Semantics
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from . import http1
from .http1 import BadMessage, Closed, Connection, Message
from .load_reports import LoadReportParser

if TYPE_CHECKING:
    from .worker_pool import WorkerPool

LATE_ANSWER_S = 1.0  # an answer may take it whose attempt is over already
MAX_ENCODING_S = 0.02  # what takes longer was held up
MAX_ENCODINGS = 5  # on a machine where nothing is that fast, the last one is taken
WORKER_SERVICE = "service.internal"  # the WorkerEndpoint header

STATUS_TAKEN = 202
STATUS_SERVER_ERROR = 500
UNRUN_STATUSES = (503, 504)  # with X-Not-Processed: 1
CLIENT_ERRORS = range(400, 500)
TRANSIENT_STATUSES = (408, 429)  # of these, those that speak of the moment and not of the request


def _encode_job(sent: SentAttempt, left_ms: int) -> bytes:
    job = sent.attempt.job
    headers = {
        "Host": WORKER_SERVICE,
        "X-Request-ID": job.id,
        "X-Timeout-Ms": str(left_ms),
        "Content-Length": str(len(sent.body)),
    }
    if job.idempotency_key:
        headers["Idempotency-Key"] = job.idempotency_key
    return http1.request("POST", job.target, headers, sent.body)


class SentAttempt:
    """An attempt on its way.

    Attributes:
        taken: whether the worker has taken the job with a 202.
        body: the job's, which an answered request lets go of while this may still connect.
        task: sends it.
    """

    def __init__(self, attempt: Attempt, host: WorkerEndpoint) -> None:
        """Begin with an attempt that nothing was done for yet."""
        self.attempt = attempt
        self.host = host
        self.taken = False
        self.body = attempt.job.body
        self.task: asyncio.Task[None] | None = None


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
        """`pool` has the workers, and the connections to them."""
        self.config = config
        self.pool = pool
        self.load_reports = load_reports
        self.policy_runner = policy_runner
        self.timers = timers
        self.metrics = metrics
        self.open: dict[tuple[str, str], SentAttempt] = {}  # by request id and worker id

    def find(self, request: str, worker: str) -> Attempt | None:
        """The open attempt of a request at a worker, by their ids."""
        sent = self.open.get((request, worker))
        return None if sent is None else sent.attempt

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, in a task of its own."""
        worker = self.pool.workers.get(attempt.worker)
        if worker is None:  # it left the list before the instruction was carried out
            attempt.end(AttemptOutcome.NO_CONNECTION)
            return
        sent = SentAttempt(attempt, worker.host)
        self.open[attempt.job.id, worker.host.id] = sent
        attempt.on_end = lambda outcome: self._on_end(sent, outcome)
        sent.task = self.metrics.spawn(self._send(sent), "attempt")

    async def withdraw(self, host: WorkerEndpoint, request: str) -> None:
        """Notify a worker that nobody waits for a job any more."""
        await self.pool.exchange(host, "DELETE", f"/jobs/{request}".encode())

    def _on_end(self, sent: SentAttempt, outcome: AttemptOutcome) -> None:
        """Given up before the 202, the connection closes, up or not; after it, the job is withdrawn."""
        attempt, task = sent.attempt, sent.task
        self.open.pop((attempt.job.id, sent.host.id), None)
        self.policy_runner.monitor.attempt_ended(attempt.job.id, sent.host.id, outcome in PROVEN_UNRUN)
        given_up = outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.TIMEOUT)
        if task is not None and not sent.taken:
            # A result may come before its 202, for which the connection waits a little.
            if given_up or not attempt.may_be_written:
                task.cancel()
            else:
                self.timers.after(LATE_ANSWER_S, task.cancel)
        elif given_up:
            self.metrics.spawn(self.withdraw(sent.host, attempt.job.id), "withdrawal")

    async def _send(self, sent: SentAttempt) -> None:
        """Send the job and read the answer to that."""
        attempt, written = sent.attempt, False
        connection: Connection | None = None
        idle_for_s = 0.0
        try:
            # A connection to a worker that has left meanwhile would fail, and count as its failure.
            if (why := await self._settled_refusal(sent)) is not None:
                self._refuse(sent, why)
                return
            connection = await self.pool.connection(sent.host)
            if (why := await self._settled_refusal(sent)) is not None:
                self._refuse(sent, why)
                self.pool.put_back(sent.host, connection)
                return
            attempt.may_be_written = True
            idle_for_s = self.timers.now() - connection.used_at if connection.used_at else 0.0
            await connection.send(self._request_bytes(sent))
            written = True
            self.metrics.count(BACKEND_CALLS)
            message = await connection.next()
        except (OSError, Closed, BadMessage) as error:  # a time-out is an OSError too
            # Whether the last byte was written decides whether the job may have run. It is not sent again
            # from here, on a stale connection either: that is the policy's choice.
            if isinstance(error, BadMessage):
                self.metrics.count_and_log("worker_answer_malformed", worker=sent.host.id, why=error)
            attempt.end(AttemptOutcome.CONNECTION_LOST if written else AttemptOutcome.NO_CONNECTION)
            if connection is not None:
                connection.close()
            if idle_for_s:
                self.pool.record_reuse(idle_for_s, False)
            return
        except asyncio.CancelledError:  # given up
            if connection is not None:
                connection.close()
            raise
        sent.taken = message.status == STATUS_TAKEN
        if idle_for_s:
            self.pool.record_reuse(idle_for_s, True)
        self.pool.keep(sent.host, connection, message)
        if not sent.taken:
            self._end_untaken(attempt, message)

    def _request_bytes(self, sent: SentAttempt) -> bytes:
        """What is written, in the turn of the loop in which this is called.

        Made anew where the process stood still meanwhile: the worker would be told of time that is over.
        """
        job = sent.attempt.job
        self.metrics.trace(
            "attempts",
            "attempt_sent",
            request=job.id,
            worker=sent.host.id,
            list_version=self.pool.list_version,
        )
        for _ in range(MAX_ENCODINGS):
            began = self.timers.now()
            left_ms = max(int((sent.attempt.until - began) * 1000), 1)
            data = _encode_job(sent, left_ms)
            now = self.timers.now()
            if now - began < MAX_ENCODING_S:
                break
        self.policy_runner.monitor.attempt_started(job.id, sent.host.id, now, left_ms)
        return data

    async def _settled_refusal(self, sent: SentAttempt) -> SendRefusal | None:
        """The guard's answer for the moment in which this returns, once the list may be acted on."""
        why = self._refusal(sent)
        if why is SendRefusal.LIST_UNKNOWN:
            self.metrics.count("sends_waited_for_list")
        while why is SendRefusal.LIST_UNKNOWN:
            await self.pool.wait_until_list_usable()
            why = self._refusal(sent)
        return why

    def _refusal(self, sent: SentAttempt) -> SendRefusal | None:
        """The guard's answer for this moment: what is written next is written in this turn of the loop."""
        attempt, siblings = sent.attempt, sent.attempt.siblings()
        worker = self.pool.workers.get(attempt.worker)
        return find_send_refusal(
            SendState(
                list_usable=self.pool.list_usable(),
                entry_when_chosen=sent.host.member,
                current_entry=None if worker is None else worker.host.member,
                same_address=worker is not None and worker.host.address == sent.host.address,
                disabled_by_operator=self.pool.is_in_maintenance(sent.host.id),
                attempt_open=attempt.open,
                client_waiting=attempt.client_is_waiting(),
                time_left_s=attempt.until - self.timers.now(),
                other_attempts_at_worker=siblings.at_worker,
                other_attempts_in_flight=siblings.in_flight,
                may_have_run=siblings.may_have_run,
                must_not_run_twice=self.config.settings.classes[attempt.job.class_index].semantics
                == Semantics.UNSAFE,
            )
        )

    def _refuse(self, sent: SentAttempt, why: SendRefusal) -> None:
        self.metrics.count(f"send_refused_{why.value}")
        self.metrics.trace(
            "attempts", "send_refused", request=sent.attempt.job.id, worker=sent.host.id, why=why.value
        )
        sent.attempt.end(AttemptOutcome.NOT_SENT)

    def _end_untaken(self, attempt: Attempt, message: Message) -> None:
        """End an attempt whose job the worker has not taken."""
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
            # Blamed on the worker, a faulty request went to three of them and had each of these left out.
            outcome = AttemptOutcome.INVALID_REQUEST
        attempt.end(outcome, load=self.load_reports.parse(message.headers.get("x-server-load")))

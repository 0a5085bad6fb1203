"""Attempt outcomes: updates worker health, limits and estimates when an attempt ends."""

from ..gossip import codec
from . import interface
from .admission import Admission
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .interface import AttemptOutcome
from .outlier_detection import FAILURE_WEIGHT, PEER_FAILURE_WEIGHT, OutlierDetection
from .request_table import Attempt, Request
from .slow_start import SlowStart
from .stall_detection import LOST_AFTER_S
from .work_estimates import WorkEstimates
from .workers import BASE_EJECTION_S, Worker, WorkerTable

MIN_OVERLOAD_SLOT_SHARE = 0.75
"""With at most this share of its slots in use, a worker's rejection is a failure, not a sign of overload."""

MAX_REJECTION_LATENCY_S = 0.1
"""A rejection that takes more seconds than this comes from a worker that drains: it had accepted the job."""

ANSWERS = (AttemptOutcome.SERVED, AttemptOutcome.SERVER_ERROR, AttemptOutcome.REJECTED)
"""Outcomes after which the connection to the worker is open and idle."""


class OutcomeRecorder:
    """Passes the outcome of an attempt to the components that learn from it."""

    def __init__(
        self,
        context: Context,
        workers: WorkerTable,
        admission: Admission,
        limits: ConcurrencyLimits,
        estimates: WorkEstimates,
        slow_start: SlowStart,
        outliers: OutlierDetection,
    ) -> None:
        """Keep the components to update."""
        self._context = context
        self._workers = workers
        self._admission = admission
        self._limits = limits
        self._estimates = estimates
        self._slow_start = slow_start
        self._outliers = outliers

    def record(self, attempt: Attempt, request: Request, event: interface.AttemptEnded) -> int:
        """Record the end of an attempt. Return the kind of gossip entry that reports it to peers."""
        worker = attempt.worker
        previous_rate = worker.failure_rate
        silent_since_send = worker.last_heard_at <= attempt.sent_at
        if event.outcome in (AttemptOutcome.SERVED, AttemptOutcome.SERVER_ERROR):
            worker.last_heard_at = self._context.now  # a timeout or a rejection does not show that it works
        # Read before the load report of this outcome changes it.
        in_flight = self._limits.note_in_flight(worker)
        self._record_connection(worker, event.outcome)
        free = self._free_slots(event)
        if free is not None:
            self._limits.learn_from_free_slots(worker, free)
        self._limits.record_reported_load(worker, event.load)
        if event.outcome == AttemptOutcome.SERVED:
            self._record_served(attempt, request, event.latency, None if free is not None else in_flight)
        elif event.outcome == AttemptOutcome.REJECTED:
            self._record_rejected(worker, request, event.latency, in_flight, free)
        else:
            self._record_failure(attempt, event.outcome, silent_since_send)
        if event.outcome == AttemptOutcome.SERVED:
            return codec.DeltaKind.SERVED
        failed = worker.failure_rate > previous_rate or event.outcome == AttemptOutcome.CONNECTION_LOST
        return codec.DeltaKind.FAILED if failed else codec.DeltaKind.ENDED

    def _free_slots(self, event: interface.AttemptEnded) -> float | None:
        return event.load.get(self._context.settings.free_slots_field) if event.load else None

    def _record_connection(self, worker: Worker, outcome: AttemptOutcome) -> None:
        if outcome in ANSWERS:
            self._workers.recently_answered.append(worker)
            worker.idle_connections.append(self._context.now)
            worker.connect_after = 0.0

    def _record_served(
        self, attempt: Attempt, request: Request, latency: float, in_flight: float | None
    ) -> None:
        """Update the estimates and the failure rate after a success.

        Args:
            attempt: The attempt.
            request: Its request.
            latency: Seconds from the send to the answer.
            in_flight: Slots in use on the worker, to learn its limit from; None if it reports free slots.
        """
        worker = attempt.worker
        cold = self._slow_start.is_cold(worker)
        self._estimates.record_served(worker, request, latency, attempt.start_delay_s, cold)
        self._outliers.decay_failure_rate(worker, FAILURE_WEIGHT)
        if in_flight is not None:
            self._limits.learn_from_served(worker, in_flight + request.slots)

    def _record_rejected(
        self, worker: Worker, request: Request, latency: float, in_flight: float, free: float | None
    ) -> None:
        """Count a rejection against the worker or as overload of the fleet.

        A worker that rejects although it has free slots fails fast, or drains before the list says so. Its
        rejection says nothing about the load of the fleet.
        """
        has_free_slots = in_flight + request.slots <= MIN_OVERLOAD_SLOT_SHARE * self._limits.limit_of(worker)
        if free is not None and round(free) >= request.slots:
            self._outliers.eject_for_class(worker, request.request_class)
            return
        if worker.on_probation or has_free_slots or latency > MAX_REJECTION_LATENCY_S:
            self._outliers.raise_failure_rate(worker, FAILURE_WEIGHT)
        else:
            self._admission.rejections += 1
            worker.ejected_until = max(worker.ejected_until, self._context.now + self._context.tick_s)
        worker.learned_limit = max(1.0, min(self._limits.limit_of(worker), in_flight))

    def _record_failure(self, attempt: Attempt, outcome: AttemptOutcome, silent_since_send: bool) -> None:
        worker, now = attempt.worker, self._context.now
        failed = outcome == AttemptOutcome.SERVER_ERROR
        if outcome == AttemptOutcome.NO_CONNECTION:
            silent = now - worker.last_heard_at > LOST_AFTER_S
            failed = silent or worker.failure_rate > PEER_FAILURE_WEIGHT / 2
            # Open connections may still be used: the worker may have reached its connection limit, or be slow
            # to accept new ones.
            jitter = 0.75 + 0.5 * self._context.random.random()
            worker.connect_after = now + BASE_EJECTION_S * jitter
        elif outcome == AttemptOutcome.CONNECTION_LOST:
            # One connection may break while the worker serves the others. The worker is at fault when two
            # break and it has sent nothing between them.
            failed = worker.last_heard_at <= worker.connection_lost_at
            worker.connection_lost_at = now
            worker.idle_connections = []
        elif outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED):
            age = now - attempt.sent_at  # an early end, when a client leaves soon, does not count
            failed = silent_since_send and age > self._estimates.mean_latency_s
        if failed:
            self._outliers.raise_failure_rate(worker, FAILURE_WEIGHT)

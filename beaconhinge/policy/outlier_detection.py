"""Outlier detection: ejects workers that fail too often.

An ejected worker returns on probation, on which it gets one job at a time.
"""

from ..gossip.aggregation import GossipNode
from . import interface
from .context import SMALL_GROUP_SIZE, Context
from .workers import BASE_EJECTION_S, Worker, WorkerTable

FAILURE_WEIGHT = 0.3
"""Weight in the failure rate of one failure of an own attempt."""

PEER_FAILURE_WEIGHT = 0.15
"""Weight in the failure rate of one failure reported by a peer; one alone does not eject a worker."""

EJECTION_FAILURE_RATE = 0.25
"""Failure rate at which a worker is ejected."""

RECOVERY_FAILURE_RATE = 0.15
"""Failure rate below which probation ends."""

PROBATION_SUCCESS_WEIGHT = 0.5
"""Weight in the failure rate of a success on probation."""

PROBATION_SPREAD_S = 1.0
"""Seconds per peer over which the dispatchers spread their first attempts on an ejected worker."""

MAX_EJECTION_S = 8.0

MAX_EJECTED_SHARE = 0.75
"""Largest share of the fleet that is ejected; if more workers fail, the cause is not in the workers."""


class OutlierDetection:
    """Tracks failure rates of workers and ejects those that fail too often."""

    def __init__(self, context: Context, gossip: GossipNode, workers: WorkerTable) -> None:
        """Track the workers of the table."""
        self._context = context
        self._gossip = gossip
        self._workers = workers

    def decay_failure_rate(self, worker: Worker, weight: float) -> None:
        """Count a success on a worker, which may end its probation."""
        worker.failure_rate *= 1 - max(weight, PROBATION_SUCCESS_WEIGHT * worker.on_probation)
        if worker.on_probation and worker.failure_rate < RECOVERY_FAILURE_RATE:
            worker.on_probation = False
            worker.ejected_until = worker.ejection_ends_at = 0.0

    def raise_failure_rate(self, worker: Worker, weight: float) -> None:
        """Count a failure on a worker, which may eject it.

        A worker that fails fast always has free slots and would attract all traffic. It returns on probation.
        """
        now, listed = self._context.now, self._workers.all_listed
        worker.failure_rate += weight * (1 - worker.failure_rate)
        ejected = sum(w.on_probation for w in listed)
        at_ejection_limit = not worker.on_probation and ejected + 1 > MAX_EJECTED_SHARE * len(listed)
        if worker.failure_rate < EJECTION_FAILURE_RATE or at_ejection_limit:
            return
        # Failures within one ejection count once, even if several peers report them.
        if now >= worker.ejection_ends_at:
            doubled = min(MAX_EJECTION_S, worker.ejection_s * 2)
            worker.ejection_s = doubled if worker.on_probation else BASE_EJECTION_S
            worker.on_probation = True
            text = f"worker {worker.id} ejected, failure rate {worker.failure_rate:.2f}"
            self._context.actions.append(interface.LogMessage(text))
        worker.ejection_ends_at = now + worker.ejection_s
        spread = max(BASE_EJECTION_S, PROBATION_SPREAD_S * (len(self._gossip.group_peers) - SMALL_GROUP_SIZE))
        # The random part keeps the dispatchers from trying the worker all at once.
        worker.ejected_until = worker.ejection_ends_at + self._context.random.random() * spread

    def record_peer_outcomes(self, worker: Worker, failures: int, *, served: bool) -> None:
        """Count the failures, and whether any attempt was served, that a peer reports of a worker."""
        for _ in range(failures):
            self.raise_failure_rate(worker, PEER_FAILURE_WEIGHT)
        if served:
            worker.last_heard_at = self._context.now
            self.decay_failure_rate(worker, PEER_FAILURE_WEIGHT)

    def eject_for_class(self, worker: Worker, request_class: interface.RequestClass) -> None:
        """Stop sending jobs of one class to a worker that rejects them; it may still run other classes."""
        previous = worker.class_ejections.get(request_class, (0.0, BASE_EJECTION_S / 2))[1]
        duration_s = min(MAX_EJECTION_S, 2 * previous)
        worker.class_ejections[request_class] = self._context.now + duration_s, duration_s
        number = self._context.settings.classes.index(request_class)
        text = f"worker {worker.id} rejected class {number} with slots free"
        self._context.actions.append(interface.LogMessage(text))

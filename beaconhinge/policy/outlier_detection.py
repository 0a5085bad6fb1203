"""Outlier detection: workers that fail too often are ejected, and come back on probation, a job at a time."""

from ..gossip.aggregation import GossipNode
from . import interface
from .context import SMALL_GROUP_SIZE, Context
from .workers import BASE_EJECTION_S, Worker, WorkerTable

FAILURE_WEIGHT = 0.3
"""Weight of one own failure."""

PEER_FAILURE_WEIGHT = 0.15
"""Weight of one failure reported by a peer: one alone does not eject."""

EJECTION_FAILURE_RATE = 0.25
"""Failure rate at which a worker is ejected."""

RECOVERY_FAILURE_RATE = 0.15
"""Failure rate under which a worker on probation is trusted again."""

PROBATION_SUCCESS_WEIGHT = 0.5
"""Weight of a success on probation."""

PROBATION_SPREAD_S = 1.0
"""Seconds for each peer over which dispatchers spread their tries of an ejected worker."""

MAX_EJECTION_S = 8.0

MAX_EJECTED_SHARE = 0.75
"""Eject no more of the fleet: then the fault lies elsewhere."""


class OutlierDetection:
    """Failure rates and ejections of workers."""

    def __init__(self, context: Context, gossip: GossipNode, workers: WorkerTable) -> None:
        """Judge the workers of the table."""
        self._context = context
        self._gossip = gossip
        self._workers = workers

    def decay_failure_rate(self, worker: Worker, weight: float) -> None:
        """Count a success."""
        worker.failure_rate *= 1 - max(weight, PROBATION_SUCCESS_WEIGHT * worker.on_probation)
        if worker.on_probation and worker.failure_rate < RECOVERY_FAILURE_RATE:
            worker.on_probation = False
            worker.ejected_until = worker.ejection_ends_at = 0.0

    def raise_failure_rate(self, worker: Worker, weight: float) -> None:
        """Count a failure.

        Guards against workers that fail fast and so draw all traffic; they return by single jobs on
        probation.
        """
        now, listed = self._context.now, self._workers.all_listed
        worker.failure_rate += weight * (1 - worker.failure_rate)
        ejected = sum(w.on_probation for w in listed)
        too_many = not worker.on_probation and ejected + 1 > MAX_EJECTED_SHARE * len(listed)
        if worker.failure_rate < EJECTION_FAILURE_RATE or too_many:
            return
        if now >= worker.ejection_ends_at:  # failures at the same time, reported by several, are one
            doubled = min(MAX_EJECTION_S, worker.ejection_s * 2)
            worker.ejection_s = doubled if worker.on_probation else BASE_EJECTION_S
            worker.on_probation = True
            text = f"worker {worker.id} ejected, failure rate {worker.failure_rate:.2f}"
            self._context.actions.append(interface.LogMessage(text))
        worker.ejection_ends_at = now + worker.ejection_s
        spread = max(BASE_EJECTION_S, PROBATION_SPREAD_S * (len(self._gossip.group_peers) - SMALL_GROUP_SIZE))
        # Lest all dispatchers try it at once.
        worker.ejected_until = worker.ejection_ends_at + self._context.random.random() * spread

    def record_peer_outcomes(self, worker: Worker, failures: int, *, served: bool) -> None:
        """Count what a peer reports of its attempts on a worker."""
        for _ in range(failures):
            self.raise_failure_rate(worker, PEER_FAILURE_WEIGHT)
        if served:
            worker.last_heard_at = self._context.now
            self.decay_failure_rate(worker, PEER_FAILURE_WEIGHT)

    def eject_for_class(self, worker: Worker, request_class: interface.RequestClass) -> None:
        """Keep jobs of one class from a worker which rejects them, and may well run others."""
        previous = worker.class_ejections.get(request_class, (0.0, BASE_EJECTION_S / 2))[1]
        length = min(MAX_EJECTION_S, 2 * previous)
        worker.class_ejections[request_class] = self._context.now + length, length
        number = self._context.settings.classes.index(request_class)
        text = f"worker {worker.id} rejected class {number} with slots free"
        self._context.actions.append(interface.LogMessage(text))

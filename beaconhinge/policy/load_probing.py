"""Load probing: polls workers for their load where dispatchers may not exchange messages."""

from . import interface
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .interface import AttemptOutcome
from .request_table import Request
from .routing import Router
from .workers import WorkerTable

PROBES_PER_REQUEST = 5
"""Number of workers probed for one request."""

SAMPLES_PER_PROBE = 3
"""Number of workers sampled for each one that is probed."""


class LoadProbing:
    """Probes workers for their load before a request is placed.

    Attributes:
        pending_probes: Number of probes without a result yet.
    """

    def __init__(
        self, context: Context, workers: WorkerTable, limits: ConcurrencyLimits, router: Router
    ) -> None:
        """Probe workers of the table."""
        self._context = context
        self._workers = workers
        self._limits = limits
        self._router = router
        self.pending_probes = 0

    def probe_for(self, request: Request) -> bool:
        """Probe some eligible workers for a request. Return True if there are any, so that it must wait."""
        allowed = self._limits.reported_load is not None and self._context.settings.probes_allowed
        pool = self._workers.listed.get(request.request_class.worker_kind, []) if allowed else []
        count = min(SAMPLES_PER_PROBE * PROBES_PER_REQUEST, len(pool))
        router = self._router
        eligible = [w for w in self._context.random.sample(pool, count) if router.is_eligible(w, request)]
        probed = sorted(eligible, key=lambda w: -router.class_affinity(w, request))[:PROBES_PER_REQUEST]
        self._context.actions += [interface.ProbeWorker(w.id) for w in probed]
        self.pending_probes += len(probed)
        return bool(probed)

    def record_result(self, event: interface.ProbeResult) -> bool:
        """Record the result of a probe.

        Returns:
            Whether it was the last pending one. If requests were placed after the first result, they would be
            sent to full workers.
        """
        worker = self._workers.by_id.get(event.worker)
        self.pending_probes -= 1
        if worker is not None and event.outcome == AttemptOutcome.SERVED:
            worker.idle_connections.append(self._context.now)
            self._limits.record_reported_load(worker, event.load)
        return self.pending_probes <= 0

    def forget_pending(self) -> None:
        """Stop waiting for the pending probes."""
        self.pending_probes = 0

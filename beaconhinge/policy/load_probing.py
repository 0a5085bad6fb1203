"""Load probing: where dispatchers may not exchange messages, workers are asked how full they are."""

from . import interface
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .interface import AttemptOutcome
from .request_table import Request
from .routing import Router
from .workers import WorkerTable

PROBES_PER_REQUEST = 5
"""Workers probed for a request."""

SAMPLES_PER_PROBE = 3
"""Workers looked at for each that is probed."""


class LoadProbing:
    """Probes of workers' load.

    Attributes:
        pending_probes: Workers whose answer is awaited.
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
        """Probe some workers for a request, which then waits. Returns whether there are any."""
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
        """Take in an answer.

        Returns:
            Whether it was the last one: with the first answer alone jobs would go to full workers.
        """
        worker = self._workers.by_id.get(event.worker)
        self.pending_probes -= 1
        if worker is not None and event.outcome == AttemptOutcome.SERVED:
            worker.idle_connections.append(self._context.now)
            self._limits.record_reported_load(worker, event.load)
        return self.pending_probes <= 0

    def forget_pending(self) -> None:
        """Who has not answered by now does not."""
        self.pending_probes = 0

"""Hedging: a second attempt of requests whose attempts have stalled."""

from .admission import Admission
from .context import Context
from .interface import Semantics
from .placement import Placement
from .request_table import Request, RequestTable
from .retries import RetryPolicy
from .stall_detection import StallDetection


class Hedging:
    """Copies stalled requests to free slots."""

    def __init__(
        self,
        context: Context,
        requests: RequestTable,
        admission: Admission,
        stalls: StallDetection,
        retries: RetryPolicy,
        placement: Placement,
    ) -> None:
        """Watch the requests of the table."""
        self._context = context
        self._requests = requests
        self._admission = admission
        self._stalls = stalls
        self._retries = retries
        self._placement = placement

    def hedge_stalled_attempts(self) -> None:
        """Copy requests all of whose attempts have stalled.

        On a worker that fell silent they may never end, on one that has slowed down they will be late, and
        one whose start is not reported may never have arrived.
        """
        if not self._context.settings.reports_start:
            return
        self._stalls.update_fleet_speed()
        for request in list(self._requests.by_id.values()):
            attempts = [a for a in request.attempts if a.in_flight]
            full = self._admission.fleet_full
            stalled = (self._stalls.is_stalled(request, a, full) for a in attempts)
            if attempts and not request.answered and all(stalled):
                self._hedge(request)

    def _hedge(self, request: Request) -> None:
        allowed = self._context.settings.hedging_allowed and not request.over_quota
        if not allowed or request.request_class.semantics == Semantics.UNSAFE:
            return
        if not self._retries.attempts_left(request):
            return
        worker = self._placement.choose(request)
        if worker is not None:
            self._placement.send(request, worker)

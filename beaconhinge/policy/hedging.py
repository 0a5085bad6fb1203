"""Hedging: sends a second attempt of a request whose attempts have stalled."""

from .admission import Admission
from .context import Context
from .interface import Semantics
from .placement import Placement
from .request_table import Request, RequestTable
from .retries import RetryPolicy
from .stall_detection import StallDetection


class Hedging:
    """Sends copies of stalled requests to workers with free slots."""

    def __init__(
        self,
        context: Context,
        requests: RequestTable,
        admission: Admission,
        stalls: StallDetection,
        retries: RetryPolicy,
        placement: Placement,
    ) -> None:
        """Hedge the requests of the table."""
        self._context = context
        self._requests = requests
        self._admission = admission
        self._stalls = stalls
        self._retries = retries
        self._placement = placement

    def hedge_stalled_attempts(self) -> None:
        """Send a second attempt of each request all of whose attempts have stalled.

        An attempt on a silent worker may never end, one on a worker that has slowed down will be late, and
        one whose start was not reported may never have arrived. Nothing is sent where workers do not report
        starts.
        """
        if not self._context.settings.reports_start:
            return
        self._stalls.update_fleet_speed()
        for request in list(self._requests.by_id.values()):
            attempts = [a for a in request.attempts if a.in_flight]
            rate_limited = self._admission.fleet_rate_limited
            stalled = (self._stalls.is_stalled(request, a, rate_limited) for a in attempts)
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

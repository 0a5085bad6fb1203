"""Placement: sends a request to a worker, queues it for a slot, or gives it its final answer."""

from ..gossip import codec
from ..gossip.aggregation import GossipNode
from . import interface
from .admission import Admission
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .request_queue import Rank, RequestQueue
from .request_table import Attempt, Request, RequestTable
from .retries import RetryPolicy
from .routing import Router
from .slow_start import SlowStart
from .workers import Worker


class Placement:
    """Sends requests to workers, and queues those for which there is no free slot."""

    def __init__(
        self,
        context: Context,
        gossip: GossipNode,
        requests: RequestTable,
        admission: Admission,
        limits: ConcurrencyLimits,
        slow_start: SlowStart,
        retries: RetryPolicy,
        router: Router,
    ) -> None:
        """Place requests on the workers that the router chooses."""
        self._context = context
        self._gossip = gossip
        self._requests = requests
        self._admission = admission
        self._limits = limits
        self._slow_start = slow_start
        self._retries = retries
        self._router = router
        self.queue = RequestQueue(context, retries)

    def choose(self, request: Request) -> Worker | None:
        """Choose a worker for the request. Return None if the request must wait."""
        return self._router.choose(request, self._admission.demand_share)

    def place(self, request: Request) -> None:
        """Send a request, or queue it if no worker has a free slot."""
        worker = self.choose(request)
        if worker is not None:
            self.send(request, worker)
        elif request.over_quota and self._admission.fleet_rate_limited and not request.attempts:
            # While the fleet rate is limited, over-quota jobs get spare slots only.
            self._requests.reject(request)
        else:
            self.enqueue(request)

    def send(self, request: Request, worker: Worker) -> None:
        """Start an attempt on a worker."""
        now, settings = self._context.now, self._context.settings
        self._admission.sends += 1
        self._gossip.record(now, worker.key, codec.DeltaKind.SENT, round(request.slots))
        if worker.in_flight == 0:
            worker.last_heard_at = now
        worker.in_flight += request.slots
        if worker.has_idle_connection(now - settings.idle_timeout_s):
            worker.idle_connections.pop()
        self._slow_start.record_send(worker, request)
        in_flight = self._limits.slots_in_flight(worker)
        attempt = Attempt(worker, now, worker.cell, worker.zone, in_flight_at_send=in_flight)
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        self._context.actions.append(
            interface.SendAttempt(request.id, worker.id, repeat_until=request.repeat_until)
        )

    def record_sibling_load(self, worker: Worker, slots: float) -> None:
        """Count slots of a worker that another process of this dispatcher has taken or (negative) freed."""
        worker.in_flight = max(0.0, worker.in_flight + slots)
        worker.last_heard_at = self._context.now
        if slots:
            delta_kind = codec.DeltaKind.SENT if slots > 0 else codec.DeltaKind.ENDED
            self._gossip.record(self._context.now, worker.key, delta_kind, abs(round(slots)))

    def enqueue(self, request: Request) -> None:
        """Queue a request for a slot, or finish it if too little time is left to serve it."""
        if not self.queue.add(request):
            self._requests.finish(request)

    def retry(self, request: Request) -> None:
        """Place a request again after its last attempt failed, or finish it if it may not be retried."""
        if self._retries.may_retry(request):
            self.place(request)
        else:
            self._requests.finish(request)

    def serve_queued(self, freed_worker: Worker | None = None) -> None:
        """Send queued requests to workers with free slots.

        Args:
            freed_worker: Worker on which an attempt of this dispatcher has just ended. Its slot may be used
                without regard to the claim probability.
        """
        self._router.freed_worker = freed_worker
        for entries in self.queue.first_entries():
            for entry in entries:
                request = entry.request
                worker = None if request.answered else self.choose(request)
                if worker is not None:
                    self.queue.remove(entry)
                    self.send(request, worker)
                elif not request.answered and request.first_possible_run is None:
                    break
        self._router.freed_worker = None

    def expire_queued(self) -> None:
        """Finish requests that have waited too long, or queue them again where a late answer has value."""
        for entry in self.queue.take_expired():
            request = entry.request
            # A request that gets no slot in time is as much a sign of full workers as a rejection, but in a
            # large group it may only mean that gossip is late or missing.
            counts_as_rejection = entry.rank == Rank.WITHIN_QUOTA and not self._context.large_group
            self._admission.rejections += counts_as_rejection
            late_has_value = entry.rank < Rank.LATE and request.request_class.late_value > 0
            if late_has_value and not self._admission.fleet_rate_limited:
                # Not while the rate is limited, as late work would take slots from requests that are in time.
                self.enqueue(request)
            else:
                self._requests.finish(request)

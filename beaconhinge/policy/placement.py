"""Placement: a request goes to a worker, waits for a slot, or gets its final answer."""

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
    """Sends requests, or queues them."""

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
        """Place requests by the router's choice."""
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
        """A worker for the request, or None."""
        return self._router.choose(request, self._admission.demand_share)

    def place(self, request: Request) -> None:
        """Send a request, or queue it."""
        worker = self.choose(request)
        if worker is not None:
            self.send(request, worker)
        elif request.over_quota and self._admission.fleet_rate_limited and not request.attempts:
            # Beyond its tenant's quota while the fleet is full: from spare slots only.
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
        request.attempts.append(Attempt(worker, now, in_flight_at_send=in_flight))
        request.attempts_in_flight += 1
        self._context.actions.append(interface.SendAttempt(request.id, worker.id))

    def record_sibling_load(self, worker: Worker, slots: float) -> None:
        """Count slots that another process of this dispatcher has taken on a worker, or given back."""
        worker.in_flight = max(0.0, worker.in_flight + slots)
        worker.last_heard_at = self._context.now
        if slots:
            what = codec.DeltaKind.SENT if slots > 0 else codec.DeltaKind.ENDED
            self._gossip.record(self._context.now, worker.key, what, abs(round(slots)))

    def enqueue(self, request: Request) -> None:
        """Have a request wait for a slot, or end it if too little time is left to serve it."""
        if not self.queue.add(request):
            self._requests.finish(request)

    def retry(self, request: Request) -> None:
        """The last attempt failed: send elsewhere while class, time and attempts allow, else answer."""
        if self._retries.may_retry(request):
            self.place(request)
        else:
            self._requests.finish(request)

    def serve_queued(self, freed_worker: Worker | None = None) -> None:
        """Free slots go to queued requests.

        Args:
            freed_worker: Worker on which an own slot has just fallen free; it is claimed at once.
        """
        self._router.freed_worker = freed_worker
        for entries in self.queue.first_entries():
            for entry in entries:
                request = entry.request
                worker = None if request.answered else self.choose(request)
                if worker is not None:
                    self.queue.remove(entry)
                    self.send(request, worker)
                elif not request.answered and request.first_run is None:
                    break
        self._router.freed_worker = None

    def expire_queued(self) -> None:
        """End what has waited too long, or let it wait on where a late answer has value."""
        for entry in self.queue.take_expired():
            request = entry.request
            # No slot in time: as full as if a worker had said so, but a large group may lack gossip.
            full = entry.rank == Rank.WITHIN_QUOTA and not self._context.large_group
            self._admission.rejections += full
            late_has_value = entry.rank < Rank.LATE and request.request_class.late_value > 0
            if late_has_value and not self._admission.fleet_rate_limited:
                self.enqueue(request)  # in a full fleet late work would take slots from work in time
            else:
                self._requests.finish(request)

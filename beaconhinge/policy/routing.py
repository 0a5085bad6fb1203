"""Routing: the choice of a worker for a request."""

from ..gossip import codec
from . import interface
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .interface import Semantics
from .request_table import Request
from .retries import RetryPolicy
from .slow_start import SlowStart
from .stall_detection import MIN_RELATIVE_SPEED, StallDetection
from .work_estimates import WorkEstimates
from .workers import ALL_KINDS, SAMPLE_SIZE, Worker, WorkerTable

GOSSIP_DELAY_S = 0.2
"""Seconds until dispatchers of a large group know of each other's sends."""

CLAIMS_PER_FREE_SLOT = 1.5
"""Claims on each slot seen free, by all dispatchers, until they hear of each other's."""

FRESH_REPORT_WEIGHT = 100.0
"""A worker that has just reported its load is likelier by that factor."""

AFFINITY_WEIGHT = 10.0
"""A worker that suits the request's class is likelier by that factor."""

OVER_QUOTA_RESERVE_SLOTS = 1.0
"""Slots a worker keeps free of over-quota jobs, by how little those are worth."""

PREFERENCE_PER_PRICE = 100.0
"""A price of one point in 100 doubles the preference for an idle connection or the own zone."""

WAITED_SHARE = 0.3
"""Part of the time until it must start after which a job of several slots takes less room than it needs."""

ROUNDING_SLOTS = 0.5
"""Limits are means: half a slot under the limit counts as one."""


class Router:
    """Chooses workers.

    Attributes:
        claim_probability: Chance of a claim on a slot while slots are scarce.
        freed_worker: Worker on which a slot of its own has just fallen free.
    """

    def __init__(
        self,
        context: Context,
        workers: WorkerTable,
        limits: ConcurrencyLimits,
        slow_start: SlowStart,
        stalls: StallDetection,
        estimates: WorkEstimates,
        retries: RetryPolicy,
    ) -> None:
        """Choose among the workers of the table by what the other parts know of them."""
        self._context = context
        self._workers = workers
        self._limits = limits
        self._slow_start = slow_start
        self._stalls = stalls
        self._estimates = estimates
        self._retries = retries
        self._tightest_class = min(context.settings.classes, key=lambda c: c.latency_objective_s)
        settings = context.settings
        self._idle_connection_weight = PREFERENCE_PER_PRICE * settings.cost_handshake
        self._own_zone_weight = PREFERENCE_PER_PRICE * settings.cost_cross_zone
        self.claim_probability = 1.0
        self.freed_worker: Worker | None = None

    def choose(self, request: Request, demand_share: float) -> Worker | None:
        """A random ready worker of the class's kind, likelier with more room for its pace.

        With no room anywhere each dispatcher has its part of a full worker by demand, lest who holds its
        slots keep refilling them; where that part is less than a job, the job waits for a slot.

        Args:
            request: The request.
            demand_share: This dispatcher's part of the fleet's demand.

        Returns:
            The worker, or None if the request must wait.
        """
        pool = self._candidates(request)
        ready, weights, without_room = self._weigh(pool, request, demand_share)
        if ready:
            return self._context.random.choices(ready, weights)[0]
        slots_in_flight = sum(w.in_flight for w in pool)
        all_slots = sum(self._limits.limit_of(w) for w in pool)
        if without_room and slots_in_flight < demand_share * all_slots:
            return self._context.random.choice(without_room)
        return None

    def _weigh(
        self, pool: list[Worker], request: Request, demand_share: float
    ) -> tuple[list[Worker], list[float], list[Worker]]:
        """Ready workers, their weights, and others in whose slots this dispatcher's part has room."""
        tried = self._tried_workers(request)
        skip_claim = self.claim_probability < 1 and self._context.random.random() >= self.claim_probability
        ready: list[Worker] = []
        weights: list[float] = []
        without_room: list[Worker] = []
        limits, slow_start, mean_pace = self._limits, self._slow_start, self._estimates.seconds_per_work
        speed_of, fleet_speed = self._stalls.speed_of, self._stalls.fleet_speed
        may_be_slow = self._context.now >= request.start_by
        for worker in pool:
            if worker in tried or not self.is_eligible(worker, request):
                continue
            if skip_claim and worker is not self.freed_worker and not slow_start.is_cold(worker):
                continue
            speed = speed_of(worker) / fleet_speed
            if speed < MIN_RELATIVE_SPEED and not may_be_slow:
                continue  # it would be late there, and need not be elsewhere
            share = slow_start.weight(worker, request)
            if share <= 0:
                continue
            room = self.free_slots(worker, request)
            if room > 0:
                pace = (
                    worker.seconds_per_work or mean_pace or 1.0
                ) / speed**2  # what has slowed down slows on
                ready.append(worker)
                weights.append(self._prefer(room * share / pace, worker, request))
            elif not worker.on_probation and not request.over_quota:
                own_part = limits.limit_of(worker) * demand_share + ROUNDING_SLOTS - worker.in_flight
                if own_part >= request.slots:
                    without_room.append(worker)
        return ready, weights, without_room

    def _candidates(self, request: Request) -> list[Worker]:
        """Workers looked at: in a large fleet a sample, as good as all, at a cost that does not grow."""
        kind = request.request_class.worker_kind
        pool = self._workers.listed.get(kind, [])
        if len(pool) <= 2 * SAMPLE_SIZE:
            return pool
        own = (w for w in self._workers.recently_answered if w.listed and kind in (ALL_KINDS, w.kind))
        return list(dict.fromkeys([*own, *self._context.random.choices(pool, k=SAMPLE_SIZE)]))

    def _tried_workers(self, request: Request) -> list[Worker]:
        """Workers not to be tried again: for unsafe requests all, as a late answer would end a retry."""
        unsafe = request.request_class.semantics == Semantics.UNSAFE
        attempts = request.attempts
        return [a.worker for a in attempts if unsafe or a.in_flight or a is attempts[-1]]

    def _prefer(self, weight: float, worker: Worker, request: Request) -> float:
        """The weight of a worker, changed by what is known of its load and what a send to it costs."""
        context, reported = self._context, self._limits.reported_load
        if reported is not None:
            known = FRESH_REPORT_WEIGHT if reported.is_fresh(context.now, worker.key) else 1.0
            weight *= known * self.class_affinity(worker, request)
        own_zone = 1 + self._own_zone_weight * (worker.zone == context.settings.zone)
        idle = worker.has_idle_connection(context.now - context.settings.idle_timeout_s)
        return weight * own_zone * (1 + self._idle_connection_weight * idle)

    def class_affinity(self, worker: Worker, request: Request) -> float:
        """Long jobs leave some workers to the class with the tightest objective: behind them it is late."""
        part = self._estimates.work_by_class.minor_share(self._tightest_class)
        own = codec.hash32(worker.id + 1) % 1000 < 2000 * part * self._context.large_group
        is_tightest = request.request_class is self._tightest_class
        return (AFFINITY_WEIGHT if own else 1.0) ** (1 if is_tightest else -1)

    def is_eligible(self, worker: Worker, request: Request) -> bool:
        """Whether a worker may have this request at all, for its health and the rules."""
        now = self._context.now
        if worker.class_ejections and now < self._ejected_for_class_until(worker, request.request_class):
            return False
        if now < worker.ejected_until:
            return False
        if not worker.has_idle_connection(now - self._context.settings.idle_timeout_s) and (
            now < worker.connect_after
        ):
            return False
        if worker.on_probation and self._limits.slots_in_flight(worker) >= 1:
            return False
        if worker.in_flight and self._stalls.is_silent(worker):
            return False
        return not request.attempts or self._retries.may_run_on(request, worker)

    def _ejected_for_class_until(self, worker: Worker, request_class: interface.RequestClass) -> float:
        return worker.class_ejections.get(request_class, (0.0, 0.0))[0]

    def free_slots(self, worker: Worker, request: Request) -> float:
        """Free slots as far as can be seen; 0 if they are too few for the request."""
        if worker.on_probation:
            return 1.0
        in_flight = self._limits.slots_in_flight(worker)
        room = self._limits.limit_of(worker) - in_flight + ROUNDING_SLOTS
        if request.over_quota:
            room -= OVER_QUOTA_RESERVE_SLOTS * (1 - self._context.settings.over_quota_value)
        if room >= request.slots or (in_flight < 1 and room > 0):
            return room
        if request.slots > 1 and room >= 1:
            time_to_start = request.start_by - request.first_tried_at
            if self._context.now - request.first_tried_at > WAITED_SHARE * time_to_start:
                return room
        return 0.0

    def update_claim_probability(self, send_rate: float) -> None:
        """Take anew the chance of a claim, in a large group.

        Many see the same free slot and hear late of claims on it: while slots are scarce each claims by
        chance, so that about one does. Slots that own jobs leave are claimed at once.

        Args:
            send_rate: Attempts a second of all dispatchers.
        """
        if not self._context.large_group:
            return
        limits, is_cold = self._limits, self._slow_start.is_cold
        room = sum(
            max(0.0, limits.limit_of(w) - limits.slots_in_flight(w))
            for w in self._workers.all_listed
            if not w.on_probation and not is_cold(w)
        )
        claims = max(send_rate * GOSSIP_DELAY_S, 1.0)
        self.claim_probability = min(1.0, CLAIMS_PER_FREE_SLOT * room / claims)

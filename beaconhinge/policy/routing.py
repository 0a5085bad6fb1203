"""Routing: chooses a worker for a request."""

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
"""Seconds until the dispatchers of a large group have received each other's sends."""

CLAIMS_PER_FREE_SLOT = 1.5
"""Wanted number of sends by all dispatchers to each free slot within one gossip delay."""

FRESH_REPORT_WEIGHT = 100.0
"""Factor for the weight of a worker that has just reported its load."""

AFFINITY_WEIGHT = 10.0
"""Factor for the weight of a worker that is reserved for the request's class."""

OVER_QUOTA_RESERVE_SLOTS = 1.0
"""Slots of a worker kept free of over-quota jobs, multiplied by 1 minus the value of such a job."""

PREFERENCE_PER_PRICE = 100.0
"""A cost of 0.01 doubles the weight of a worker with an idle connection, or in the same zone."""

PARTIAL_ROOM_WAIT_SHARE = 0.3
"""Share of the time from first try to latest start.

After it a job of several slots is also sent to a worker with fewer slots free.
"""

ROUNDING_SLOTS = 0.5
"""Added to limits, which are means: half a slot below the limit counts as a free slot."""


class Router:
    """Chooses workers.

    Attributes:
        claim_probability: Probability of using a free slot while free slots are scarce in a large group.
        freed_worker: Worker on which an attempt of this dispatcher has just ended; else None.
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
        """Choose among the workers of the table, by the data of the other components."""
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
        """Choose a worker of the class's kind at random, weighted by free slots and speed.

        When no worker has a free slot, each dispatcher may still use its share of a full worker's slots, by
        demand. Otherwise the dispatchers that hold the slots would refill them forever. If that share is
        smaller than the job, the job waits for a slot.

        Args:
            request: The request.
            demand_share: This dispatcher's share of the fleet's demand, from 0 to 1.

        Returns:
            The worker, or None if the request must wait.
        """
        pool = self._candidates(request)
        with_room, weights, without_room = self._weigh(pool, request, demand_share)
        if with_room:
            return self._context.random.choices(with_room, weights)[0]
        slots_in_flight = sum(w.in_flight for w in pool)
        all_slots = sum(self._limits.limit_of(w) for w in pool)
        if without_room and slots_in_flight < demand_share * all_slots:
            return self._context.random.choice(without_room)
        return None

    def _weigh(
        self, pool: list[Worker], request: Request, demand_share: float
    ) -> tuple[list[Worker], list[float], list[Worker]]:
        """Return workers with free slots, their weights, and full workers with room in the own share."""
        barred = self._barred_workers(request, pool) if request.attempts else ()
        skip_claim = self.claim_probability < 1 and self._context.random.random() >= self.claim_probability
        with_room: list[Worker] = []
        weights: list[float] = []
        without_room: list[Worker] = []
        limits, slow_start, mean_seconds_per_work = (
            self._limits,
            self._slow_start,
            self._estimates.seconds_per_work,
        )
        speed_of, fleet_speed = self._stalls.speed_of, self._stalls.fleet_speed
        accept_slow = self._context.now >= request.start_by
        for worker in pool:
            if worker in barred or not self.is_eligible(worker, request):
                continue
            if skip_claim and worker is not self.freed_worker and not slow_start.is_cold(worker):
                continue
            speed = speed_of(worker) / fleet_speed
            if speed < MIN_RELATIVE_SPEED and not accept_slow:
                continue  # the job would be late there, and until `start_by` a faster worker may get a slot
            cold_weight = slow_start.weight(worker, request)
            if cold_weight <= 0:
                continue
            room = self.free_slots(worker, request)
            if room > 0:
                # The speed is squared because a worker that has slowed down tends to get slower still.
                seconds_per_work = (worker.seconds_per_work or mean_seconds_per_work or 1.0) / speed**2
                with_room.append(worker)
                weights.append(self._prefer(room * cold_weight / seconds_per_work, worker, request))
            elif not worker.on_probation and not request.over_quota:
                own_room = limits.limit_of(worker) * demand_share + ROUNDING_SLOTS - worker.in_flight
                if own_room >= request.slots:
                    without_room.append(worker)
        return with_room, weights, without_room

    def _candidates(self, request: Request) -> list[Worker]:
        """Workers to choose from.

        In a large fleet this is a sample: its choice is as good, and the cost does not grow with the fleet.
        """
        kind = request.request_class.worker_kind
        pool = self._workers.listed.get(kind, [])
        if len(pool) <= 2 * SAMPLE_SIZE:
            return pool
        own = (w for w in self._workers.recently_answered if w.listed and kind in (ALL_KINDS, w.kind))
        return list(dict.fromkeys([*own, *self._context.random.choices(pool, k=SAMPLE_SIZE)]))

    def _barred_workers(self, request: Request, pool: list[Worker]) -> list[Worker]:
        """Workers of the pool that must not get another attempt of a request that has had one.

        These are the workers that have the job or may have it, and the last one. Of an unsafe request they
        are all that were tried. Of one with a key they are all that took it, because a late or repeated
        call-back about the earlier attempt would be taken as the end of the new one, which runs on.
        """
        attempts, semantics = request.attempts, request.request_class.semantics
        unsafe, with_key = semantics == Semantics.UNSAFE, semantics == Semantics.DEDUPLICATED
        callers = [a.worker for a in attempts if with_key and a.may_call_back]
        barred = [a.worker for a in attempts if unsafe or a.in_flight or a.withdrawal_pending]
        barred += callers
        last = attempts[-1].worker
        # The last one did not take the job if it is no caller. It gets another chance if no other is left.
        others_left = not callers or any(w is not last and w not in barred for w in pool)
        return [*barred, last] if others_left else barred

    def _prefer(self, weight: float, worker: Worker, request: Request) -> float:
        """Adjust a worker's weight by its reported load, its zone and the cost of a new connection."""
        context, reported = self._context, self._limits.reported_load
        if reported is not None:
            report_weight = FRESH_REPORT_WEIGHT if reported.is_fresh(context.now, worker.key) else 1.0
            weight *= report_weight * self.class_affinity(worker, request)
        own_zone = 1 + self._own_zone_weight * (worker.zone == context.settings.zone)
        idle = worker.has_idle_connection(context.now - context.settings.idle_timeout_s)
        return weight * own_zone * (1 + self._idle_connection_weight * idle)

    def class_affinity(self, worker: Worker, request: Request) -> float:
        """Factor for the weight of a worker, by whether it is reserved for the request's class.

        In a large group some workers are reserved for the class with the tightest latency objective, because
        its jobs are late when they wait behind long ones. On these the factor is AFFINITY_WEIGHT for that
        class and its inverse for other classes. On all other workers it is 1.
        """
        work_share = self._estimates.work_by_class.minor_share(self._tightest_class)
        reserved = codec.hash32(worker.id + 1) % 1000 < 2000 * work_share * self._context.large_group
        is_tightest = request.request_class is self._tightest_class
        return (AFFINITY_WEIGHT if reserved else 1.0) ** (1 if is_tightest else -1)

    def is_eligible(self, worker: Worker, request: Request) -> bool:
        """Whether the worker's health and the retry rules allow sending it this request."""
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
        """Estimated free slots of a worker; 0 if they are too few for the request."""
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
            if self._context.now - request.first_tried_at > PARTIAL_ROOM_WAIT_SHARE * time_to_start:
                return room
        return 0.0

    def update_claim_probability(self, send_rate: float) -> None:
        """Recompute the claim probability, in a large group.

        Many dispatchers see the same free slot and learn late that another has used it. While free slots are
        scarce each uses one with this probability, so that about one dispatcher does. A slot freed by this
        dispatcher's own attempt is used at once.

        Args:
            send_rate: Attempts per second of all dispatchers.
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

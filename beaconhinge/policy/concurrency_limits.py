"""Concurrency limits: how many slots of each worker are in use, and how many it has, as learned."""

from collections.abc import Mapping

from ..gossip.aggregation import GossipNode
from ..gossip.load_view import ReportedLoad
from .context import Context
from .request_table import Attempt
from .work_estimates import OBSERVATION_WEIGHT, WorkEstimates
from .workers import Worker, WorkerTable

INITIAL_LIMIT_SLOTS = 2.0
"""Limit of a worker until one has been learned for its kind."""

PROMPT_START_S = 0.05
"""A job that starts within this many seconds of its send found a free slot."""

KIND_OBSERVATION_WEIGHT = 0.02
"""Weight of one observation in the limit of a kind."""

WAIT_OBSERVATION_WEIGHT = 0.05
"""Weight of one start delay in the limit of a kind; it counts twice in the limit of a worker."""


class ConcurrencyLimits:
    """Slots in use and concurrency limits, by worker and by kind of worker.

    Attributes:
        by_kind: Mean limit of the workers of each kind, in slots.
        max_free_slots: Most free slots that any worker of the kind has reported.
        reported_load: Load reports of workers where dispatchers may not exchange messages; else None.
    """

    def __init__(
        self, context: Context, gossip: GossipNode, workers: WorkerTable, estimates: WorkEstimates
    ) -> None:
        """Start without learned limits."""
        self._context = context
        self._gossip = gossip
        self._workers = workers
        self._estimates = estimates
        self.by_kind: dict[int, float] = {}
        self.max_free_slots: dict[int, float] = {}
        settings = context.settings
        is_alone = settings.group_size == 1
        self.reported_load = None if is_alone or settings.peer_messages else ReportedLoad()

    def slots_in_flight(self, worker: Worker) -> float:
        """Slots of a worker in use by all dispatchers.

        They are known from gossip or, where dispatchers may not exchange messages, estimated from load
        reports.
        """
        if self.reported_load is None:
            return worker.in_flight + self._gossip.in_flight_elsewhere(worker.key, worker.in_flight)
        limit = self.by_kind.get(worker.kind, INITIAL_LIMIT_SLOTS)
        duration_s = self._estimates.mean_latency_s
        return worker.in_flight + self.reported_load.in_flight_elsewhere(
            self._context.now, worker.key, duration_s, limit
        )

    def limit_of(self, worker: Worker) -> float:
        """Concurrency limit of a worker, in slots.

        In a large group it is the mean of the worker's kind, because a dispatcher rarely sends to any one
        worker.
        """
        mean = self.by_kind.get(worker.kind, INITIAL_LIMIT_SLOTS)
        if self._context.large_group:
            return mean
        return worker.learned_limit or max(mean, self.slots_in_flight(worker))

    def learn(self, worker: Worker, limit: float) -> None:
        """Set the limit of a worker, and move the mean limit of its kind towards it."""
        worker.learned_limit = limit
        mean = self.by_kind.setdefault(worker.kind, limit)
        self.by_kind[worker.kind] = mean + KIND_OBSERVATION_WEIGHT * (limit - mean)

    def learn_from_served(self, worker: Worker, in_use: float) -> None:
        """Raise the limit of a worker that served with this many slots in use: it has at least these."""
        if in_use >= self.limit_of(worker):
            weight = OBSERVATION_WEIGHT if worker.learned_limit else 1.0
            self.learn(worker, worker.learned_limit + weight * (in_use + 1 - worker.learned_limit))

    def learn_from_free_slots(self, worker: Worker, free: float) -> None:
        """Update the limit by the number of slots that a worker reports free."""
        if self._context.large_group:
            max_free = max(self.max_free_slots.get(worker.kind, 1.0), round(free))
            self.max_free_slots[worker.kind] = max_free
            self.by_kind[worker.kind] = max(self.by_kind.get(worker.kind, 1.0), max_free)
        elif round(free) > 0:
            # The report may be old. The fewest slots in use lately plus the free ones are certain to fit.
            min_limit = round(free) + min(worker.min_in_flight, worker.previous_min_in_flight)
            self.learn(worker, max(min_limit, worker.learned_limit))

    def learn_from_start_delay(self, attempt: Attempt) -> None:
        """Update the limit by the time that a job waited for its start.

        The limit falls when a job waited although a slot seemed free. In a large group it rises when a job
        started at once although no slot seemed free.
        """
        worker, slots_at_send = attempt.worker, attempt.in_flight_at_send
        limit, started_at_once = self.limit_of(worker), attempt.start_delay_s < PROMPT_START_S
        if self._context.large_group and (
            slots_at_send > limit if started_at_once else slots_at_send <= limit
        ):
            limit += WAIT_OBSERVATION_WEIGHT * (
                slots_at_send - limit if started_at_once else slots_at_send - limit - 0.5
            )
            self.by_kind[worker.kind] = max(self.max_free_slots.get(worker.kind, 1.0), limit)
        elif worker.learned_limit and not started_at_once and slots_at_send <= limit:
            new_limit = limit + 2 * WAIT_OBSERVATION_WEIGHT * (slots_at_send - limit - 0.5)
            worker.learned_limit = max(1.0, new_limit)

    def record_reported_load(self, worker: Worker, load: Mapping[str, float] | None) -> None:
        """Record a worker's load report, where dispatchers may not exchange messages."""
        settings = self._context.settings
        free = load.get(settings.free_slots_field) if load else None
        if load and free is not None and self.reported_load is not None:
            in_use = self.limit_of(worker) - free + load.get(settings.queue_field, 0.0)
            self.reported_load.record(self._context.now, worker.key, max(0.0, in_use - worker.in_flight))

    def note_in_flight(self, worker: Worker) -> float:
        """Return the slots in use on a worker, and record the minimum of this control interval."""
        in_flight = self.slots_in_flight(worker)
        worker.min_in_flight = min(worker.min_in_flight, in_flight)
        return in_flight

    def roll_minimum(self) -> None:
        """Begin a new control interval for the minimum of slots in use."""
        for worker in self._workers.all_listed:
            worker.previous_min_in_flight = worker.min_in_flight
            worker.min_in_flight = self.slots_in_flight(worker)

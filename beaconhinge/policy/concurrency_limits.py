"""Learned limits: how many slots of each worker are taken, and how many it has."""

from collections.abc import Mapping

from ..gossip.aggregation import GossipNode
from ..gossip.load_view import ReportedLoad
from .context import Context
from .request_table import Attempt
from .work_estimates import OBSERVATION_WEIGHT, WorkEstimates
from .workers import Worker, WorkerTable

INITIAL_LIMIT_SLOTS = 2.0
"""Slots that a worker is taken to have before any of its kind has taught better."""

PROMPT_START_S = 0.05
"""Seconds from a send to its start within which a slot was free."""

KIND_OBSERVATION_WEIGHT = 0.02
"""Weight of one observation in the limit of a kind."""

WAIT_OBSERVATION_WEIGHT = 0.05
"""Weight of one start delay in the limit of a kind."""


class ConcurrencyLimits:
    """Slots taken and slots that fit, by worker and by kind of worker.

    Attributes:
        by_kind: Limit of the mean worker of each kind.
        max_free_slots: Most slots that a worker of the kind has reported free.
        reported_load: What workers reported, where dispatchers may not exchange messages; else None.
    """

    def __init__(
        self, context: Context, gossip: GossipNode, workers: WorkerTable, estimates: WorkEstimates
    ) -> None:
        """Start without limits."""
        self._context = context
        self._gossip = gossip
        self._workers = workers
        self._estimates = estimates
        self.by_kind: dict[int, float] = {}
        self.max_free_slots: dict[int, float] = {}
        settings = context.settings
        alone = settings.group_size == 1
        self.reported_load = None if alone or settings.peer_messages else ReportedLoad()

    def slots_in_flight(self, worker: Worker) -> float:
        """Slots taken, by gossip or, where dispatchers may not exchange messages, by load reports."""
        if self.reported_load is None:
            return worker.in_flight + self._gossip.in_flight_elsewhere(worker.key, worker.in_flight)
        limit = self.by_kind.get(worker.kind, INITIAL_LIMIT_SLOTS)
        duration_s = self._estimates.mean_latency_s
        return worker.in_flight + self.reported_load.in_flight_elsewhere(
            self._context.now, worker.key, duration_s, limit
        )

    def limit_of(self, worker: Worker) -> float:
        """Slots that fit: as it taught or, in a large group, where each is met seldom, as its kind did."""
        mean = self.by_kind.get(worker.kind, INITIAL_LIMIT_SLOTS)
        if self._context.large_group:
            return mean
        return worker.learned_limit or max(mean, self.slots_in_flight(worker))

    def learn(self, worker: Worker, limit: float) -> None:
        """Set the limit of a worker, and move that of its kind."""
        worker.learned_limit = limit
        mean = self.by_kind.setdefault(worker.kind, limit)
        self.by_kind[worker.kind] = mean + KIND_OBSERVATION_WEIGHT * (limit - mean)

    def learn_from_served(self, worker: Worker, in_use: float) -> None:
        """A worker that served with so many slots in use has at least these."""
        if in_use >= self.limit_of(worker):
            weight = OBSERVATION_WEIGHT if worker.learned_limit else 1.0
            self.learn(worker, worker.learned_limit + weight * (in_use + 1 - worker.learned_limit))

    def learn_from_free_slots(self, worker: Worker, free: float) -> None:
        """Take in how many slots a worker reports free."""
        if self._context.large_group:
            most = max(self.max_free_slots.get(worker.kind, 1.0), round(free))
            self.max_free_slots[worker.kind] = most
            self.by_kind[worker.kind] = max(self.by_kind.get(worker.kind, 1.0), most)
        elif round(free) > 0:
            # The report may be old: so many fit for certain.
            fitting = round(free) + min(worker.min_in_flight, worker.previous_min_in_flight)
            self.learn(worker, max(fitting, worker.learned_limit))

    def learn_from_start_delay(self, attempt: Attempt) -> None:
        """A job that had to wait where a slot seemed free, or did not where none was, moves the limit."""
        worker, full = attempt.worker, attempt.in_flight_at_send
        limit, prompt = self.limit_of(worker), attempt.start_delay_s < PROMPT_START_S
        if self._context.large_group and (full > limit if prompt else full <= limit):
            limit += WAIT_OBSERVATION_WEIGHT * (full - limit if prompt else full - limit - 0.5)
            self.by_kind[worker.kind] = max(self.max_free_slots.get(worker.kind, 1.0), limit)
        elif worker.learned_limit and not prompt and full <= limit:
            moved = limit + 2 * WAIT_OBSERVATION_WEIGHT * (full - limit - 0.5)
            worker.learned_limit = max(1.0, moved)

    def record_reported_load(self, worker: Worker, load: Mapping[str, float] | None) -> None:
        """Keep what a worker reported of its load, where dispatchers may not exchange messages."""
        settings = self._context.settings
        free = load.get(settings.free_slots_field) if load else None
        if load and free is not None and self.reported_load is not None:
            taken = self.limit_of(worker) - free + load.get(settings.queue_field, 0.0)
            self.reported_load.record(self._context.now, worker.key, max(0.0, taken - worker.in_flight))

    def note_in_flight(self, worker: Worker) -> float:
        """Slots taken; the fewest in this control interval are kept."""
        in_flight = self.slots_in_flight(worker)
        worker.min_in_flight = min(worker.min_in_flight, in_flight)
        return in_flight

    def roll_minimum(self) -> None:
        """Begin a new control interval."""
        for worker in self._workers.all_listed:
            worker.previous_min_in_flight = worker.min_in_flight
            worker.min_in_flight = self.slots_in_flight(worker)

"""The worker table: the state of each worker, and the workers that may receive jobs."""

from collections import deque
from dataclasses import dataclass, field

from ..gossip import codec
from . import interface
from .context import INF

SAMPLE_SIZE = 40
"""Number of workers sampled for a job in a large fleet, besides those that answered most recently."""

BASE_EJECTION_S = 0.5
"""Seconds of a worker's first ejection; doubled each time that it fails on probation."""

MAX_DEPARTED_WORKERS = 1024
"""Most workers that have left the list whose state is kept, in case they return."""

ALL_KINDS = -1
"""Key of the pool that holds the workers of all kinds."""


@dataclass(slots=True, eq=False)
class Worker:
    """State of one worker. All times are seconds on the dispatcher's clock."""

    id: int
    key: int  # its identifier in gossip messages
    kind: int = 0
    cell: int = 0
    zone: int = 0
    started_at: float = 0.0  # time of its last start by the list; identifies that start
    slow_start_from: float = 0.0  # the same start on this dispatcher's clock; 0: long ago
    ready: bool = False  # whether the list says that it is ready
    listed: bool = False  # whether it may receive jobs: ready, and not in maintenance
    idle_connections: list[float] = field(default_factory=list)  # last use of each idle connection
    connect_after: float = 0.0  # time before which no new connection is opened
    in_flight: float = 0.0  # slots in use by this dispatcher's jobs
    min_in_flight: float = 0.0  # fewest slots in use in this control interval
    previous_min_in_flight: float = 0.0  # the same in the interval before
    learned_limit: float = 0.0  # learned limit in slots; 0: the mean of its kind applies
    seconds_per_work: float = 0.0  # per unit of hinted work, or per job without hints; 0: the mean applies
    failure_rate: float = 0.0  # smoothed share of failures
    ejected_until: float = 0.0  # time at which this dispatcher may try it again
    ejection_s: float = BASE_EJECTION_S  # length of its last ejection
    ejection_ends_at: float = 0.0  # time from which any dispatcher may try it
    on_probation: bool = False  # gets one job at a time until its failure rate has fallen
    # Classes whose jobs it rejects although it has free slots: end and length of the ejection.
    class_ejections: dict[interface.RequestClass, tuple[float, float]] = field(default_factory=dict)
    last_heard_at: float = 0.0  # last sign that it works
    connection_lost_at: float = -INF  # when a connection to it last broke during a job
    relative_speed: float = 1.0  # speed of its jobs relative to their own best
    speed_measured_at: float = 0.0
    slow_start_sends: deque[tuple[float, float]] = field(default_factory=deque)  # (time, slot-seconds)

    def has_idle_connection(self, since: float) -> bool:
        """Whether an idle connection was last used at `since` or later. Forgets those used earlier."""
        idle = self.idle_connections
        while idle and idle[0] < since:
            idle.pop(0)
        return bool(idle)

    def restart(self, started_at: float, slow_start_from: float) -> None:
        """Record a new start, and reset the health of the time before.

        Args:
            started_at: Time of the start by the list.
            slow_start_from: The same on this dispatcher's clock. An earlier time than recorded is ignored.
        """
        self.started_at = started_at
        self.slow_start_from = max(slow_start_from, self.slow_start_from)
        self.reset_health()

    def reset_health(self) -> None:
        """Reset the failure rate, ejection and probation."""
        self.failure_rate, self.on_probation = 0.0, False
        self.ejected_until = self.ejection_ends_at = 0.0


class WorkerTable:
    """The workers that membership updates have named, and pools of those that may receive jobs.

    Of those that have left the list, the ones named last are kept, and all that have attempts in flight.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self.by_id: dict[int, Worker] = {}
        self.by_key: dict[int, Worker] = {}
        self.listed: dict[int, list[Worker]] = {ALL_KINDS: []}  # by kind
        # The workers that answered most recently. Connections to them are open.
        self.recently_answered: deque[Worker] = deque(maxlen=SAMPLE_SIZE // 2)

    @property
    def all_listed(self) -> list[Worker]:
        """All workers that may receive jobs."""
        return self.listed[ALL_KINDS]

    def get_or_add(self, worker_id: int) -> Worker:
        """Return the worker with this id, and create it if it is new."""
        return self.by_id.setdefault(worker_id, Worker(worker_id, codec.worker_key(worker_id)))

    def rebuild_pools(self) -> None:
        """Rebuild the pools by kind, after workers were added, removed or changed."""
        self._forget_departed()
        self.by_key = {w.key: w for w in self.by_id.values()}
        listed = [w for w in self.by_id.values() if w.listed]
        kinds = (ALL_KINDS, *{w.kind for w in listed})
        self.listed = {k: [w for w in listed if k in (ALL_KINDS, w.kind)] for k in kinds}

    def _forget_departed(self) -> None:
        departed = [w.id for w in self.by_id.values() if not w.ready and w.in_flight == 0]
        for worker_id in departed[: max(0, len(departed) - MAX_DEPARTED_WORKERS)]:
            del self.by_id[worker_id]

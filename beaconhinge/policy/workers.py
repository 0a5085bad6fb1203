"""The worker table: what is known of each worker, and which may have jobs."""

from collections import deque
from dataclasses import dataclass, field

from ..gossip import codec
from . import interface
from .context import INF

SAMPLE_SIZE = 40
"""Workers looked at for a job in a large fleet, besides those that answered last."""

BASE_EJECTION_S = 0.5
"""Seconds of a worker's first ejection; they double while its jobs on probation fail."""

ALL_KINDS = -1
"""Key of the pool that holds workers of every kind."""


@dataclass(slots=True, eq=False)
class Worker:
    """State of one worker. All times are seconds on the dispatcher's clock."""

    id: int
    key: int  # its name among dispatchers
    kind: int = 0
    cell: int = 0
    zone: int = 0
    started_at: float = 0.0  # names its last start
    slow_start_from: float = 0.0  # that start on the own clock; 0: long ago
    ready: bool = False  # as membership says
    listed: bool = False  # may have jobs: ready, and not in maintenance
    idle_connections: list[float] = field(default_factory=list)  # own ones, by the time of their last use
    connect_after: float = 0.0  # no new connection before
    in_flight: float = 0.0  # slots taken by own jobs
    min_in_flight: float = 0.0  # fewest slots taken in this control interval
    previous_min_in_flight: float = 0.0  # the same in the interval before
    learned_limit: float = 0.0  # slots under which it is ready; 0: take the mean of its kind
    seconds_per_work: float = 0.0  # per unit of hinted work, per job without hints; 0: take the mean
    failure_rate: float = 0.0  # smoothed share of failures
    ejected_until: float = 0.0  # this dispatcher's turn to try it again
    ejection_s: float = BASE_EJECTION_S
    ejection_ends_at: float = 0.0  # from then on any dispatcher may try it
    on_probation: bool = False  # it may have one job at a time until trusted again
    # Classes whose jobs it rejects with slots free: until when, and for how long that was.
    class_ejections: dict[interface.RequestClass, tuple[float, float]] = field(default_factory=dict)
    last_heard_at: float = 0.0
    connection_lost_at: float = -INF  # when a connection to it last broke under a job
    relative_speed: float = 1.0  # of its jobs against their own best
    speed_measured_at: float = 0.0
    slow_start_sends: deque[tuple[float, float]] = field(default_factory=deque)  # (time, slot-seconds)

    def has_idle_connection(self, since: float) -> bool:
        """Whether a connection is open that was used after `since`; older ones are forgotten."""
        idle = self.idle_connections
        while idle and idle[0] < since:
            idle.pop(0)
        return bool(idle)

    def restart(self, started_at: float, slow_start_from: float) -> None:
        """Forget how it was judged before this start."""
        self.started_at = started_at
        self.slow_start_from = max(slow_start_from, self.slow_start_from)
        self.reset_health()

    def reset_health(self) -> None:
        """Forget failures and ejections."""
        self.failure_rate, self.on_probation = 0.0, False
        self.ejected_until = self.ejection_ends_at = 0.0


class WorkerTable:
    """All workers that were ever named, and the pools of those that may have jobs."""

    def __init__(self) -> None:
        """Start without workers."""
        self.by_id: dict[int, Worker] = {}
        self.by_key: dict[int, Worker] = {}
        self.listed: dict[int, list[Worker]] = {ALL_KINDS: []}  # by kind
        # Those that answered last: connections to them are open.
        self.recently_answered: deque[Worker] = deque(maxlen=SAMPLE_SIZE // 2)

    @property
    def all_listed(self) -> list[Worker]:
        """All workers that may have jobs."""
        return self.listed[ALL_KINDS]

    def get_or_add(self, worker_id: int) -> Worker:
        """The worker of that id, made if it is new."""
        return self.by_id.setdefault(worker_id, Worker(worker_id, codec.worker_key(worker_id)))

    def rebuild_pools(self) -> None:
        """Sort listed workers by kind again, after any of them has come, left or changed."""
        self.by_key = {w.key: w for w in self.by_id.values()}
        listed = [w for w in self.by_id.values() if w.listed]
        kinds = (ALL_KINDS, *{w.kind for w in listed})
        self.listed = {k: [w for w in listed if k in (ALL_KINDS, w.kind)] for k in kinds}

"""Creates the simulated workers at random, and their entries in discovery's list."""

from __future__ import annotations

import random
from functools import partial

from ...policy import interface
from ...policy.interface import WorkerState
from .clock import Clock
from .plan import Plan
from .workers import FakeWorker, WorkerCallbacks

# Seconds added to virtual time for the dispatchers' clock and the times in their lists, so that neither
# begins at 0.
EPOCH_S = 1e6
# Shortest and longest time in seconds between two stalls of a worker.
STALL_INTERVAL_S = (4, 11)
# Shortest and longest time in seconds until a worker's first stall.
FIRST_STALL_S = (0, 8)
# A worker has at least this multiple of its kind's mean speed.
MIN_SPEED_FACTOR = 0.5
# Least and greatest share of its full speed that a worker has when it starts cold.
COLD_SPEED_SHARE = (0.4, 0.55)
CELLS_PER_ZONE = 3


class WorkerPool:
    """Creates workers, and holds all of them by id, including those that are gone."""

    def __init__(self, clock: Clock, rng: random.Random, plan: Plan, callbacks: WorkerCallbacks) -> None:
        self.clock = clock
        self.random = rng
        self.plan = plan
        self.callbacks = callbacks
        self.by_id: dict[int, FakeWorker] = {}
        self._create_all()

    @property
    def capacity(self) -> float:
        """The capacity of all workers together, in cores of standard speed."""
        return sum(worker.worker_kind.cores * worker.speed for worker in self.by_id.values())

    def _create_all(self) -> None:
        plan, kinds, share = self.plan, list[int](), 0.0
        for number, kind in enumerate(plan.site.worker_kinds):
            share += kind.share
            kinds += [number] * (round(plan.workers * share) - len(kinds))
        for i, number in enumerate(kinds):
            in_first_zone = plan.site.zones == 1 or (i * plan.first_zone_share) % 1 < plan.first_zone_share
            worker = self.create(number, 0 if in_first_zone else 1)
            if plan.max_stall_s > 0:
                self.clock.after(self.random.uniform(*FIRST_STALL_S), partial(self._stall, worker))

    def create(self, kind_index: int, zone: int) -> FakeWorker:
        """Create a worker of a kind (an index of the site's kinds) in a zone, with random speed and cell."""
        worker_kind, rng = self.plan.site.worker_kinds[kind_index], self.random
        speed = worker_kind.speed * max(MIN_SPEED_FACTOR, rng.gauss(1, self.plan.speed_cv))
        cell = 2 * rng.randrange(CELLS_PER_ZONE) + zone
        worker = FakeWorker(
            self.clock,
            rng,
            self.callbacks,
            rng.getrandbits(32),
            kind_index,
            worker_kind,
            zone,
            cell,
            speed,
            cold_speed_share=rng.uniform(*COLD_SPEED_SHARE),
        )
        self.by_id[worker.id] = worker
        return worker

    def _stall(self, worker: FakeWorker) -> None:
        worker.stall(self.random.uniform(0.0, self.plan.max_stall_s))
        self.clock.after(self.random.uniform(*STALL_INTERVAL_S), partial(self._stall, worker))

    def sample(self, count: int) -> list[FakeWorker]:
        """Return `count` different workers, drawn at random."""
        return self.random.sample(list(self.by_id.values()), count)


def member_entry(worker: FakeWorker, state: WorkerState | None = None) -> interface.MemberEntry:
    """Return the entry of a worker in discovery's list, with the given state or its own if none is given."""
    started_at = EPOCH_S + worker.started_at if worker.started_at else 0.0
    return interface.MemberEntry(
        worker.id, state or worker.state, worker.kind_index, worker.cell, worker.zone, 1.0, started_at
    )

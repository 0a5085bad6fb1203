"""All workers of the simulated fleet: how they are drawn, and how discovery lists them."""

from __future__ import annotations

import random
from functools import partial

from ...policy import interface
from ...policy.interface import WorkerState
from .clock import Clock
from .plan import Plan
from .workers import FakeWorker, WorkerCallbacks

# The clock of the dispatchers does not begin at nought, and neither do times in their lists.
EPOCH_S = 1e6
# Least and greatest seconds between two stalls of a worker, and until the first.
STALL_INTERVAL_S = (4, 11)
FIRST_STALL_S = (0, 8)
# Times a kind's mean speed, at least.
MIN_SPEED_FACTOR = 0.5
COLD_SPEED_SHARE = (0.4, 0.55)
CELLS_PER_ZONE = 3


class WorkerPool:
    """Draws workers, and keeps them by number, those that are gone too."""

    def __init__(self, clock: Clock, rng: random.Random, plan: Plan, callbacks: WorkerCallbacks) -> None:
        self.clock = clock
        self.random = rng
        self.plan = plan
        self.callbacks = callbacks
        self.by_id: dict[int, FakeWorker] = {}
        self._create_all()

    @property
    def capacity(self) -> float:
        """Cores of standard speed, in all."""
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

    def create(self, kind: int, zone: int) -> FakeWorker:
        """Draw one more worker of that kind in that zone."""
        worker_kind, rng = self.plan.site.worker_kinds[kind], self.random
        speed = worker_kind.speed * max(MIN_SPEED_FACTOR, rng.gauss(1, self.plan.speed_cv))
        cell = 2 * rng.randrange(CELLS_PER_ZONE) + zone
        worker = FakeWorker(
            self.clock,
            rng,
            self.callbacks,
            rng.getrandbits(32),
            kind,
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
        """Draw so many different workers."""
        return self.random.sample(list(self.by_id.values()), count)


def member_entry(worker: FakeWorker, state: WorkerState | None = None) -> interface.MemberEntry:
    """Return a worker as discovery lists it, in another state than its own if one is given."""
    started_at = EPOCH_S + worker.started_at if worker.started_at else 0.0
    return interface.MemberEntry(
        worker.id, state or worker.state, worker.kind_index, worker.cell, worker.zone, 1.0, started_at
    )

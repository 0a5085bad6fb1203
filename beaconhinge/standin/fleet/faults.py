"""The fault of a simulated day: what goes wrong, with how many workers or dispatchers, and for how long."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from ...policy.interface import WorkerState
from .clock import Clock
from .discovery import Discovery
from .entities import Node
from .network import Network
from .plan import BURST_S, Plan
from .worker_pool import WorkerPool, member_entry
from .workers import FakeWorker

# Least and greatest seconds that a worker takes to warm up.
WARM_UP_S = (3.6, 8.2)
# Least and greatest seconds from a dispatcher's end to its next start, and until the front notices the end.
RESTART_S = (1.7, 1.8)
FRONT_NOTICES_S = (1.0, 1.6)
# Seconds that the zones' dispatchers do not hear each other.
ZONE_CUT_S = 2.5
# Seconds that a part is cut off, and that lists come late then.
SPLIT_S = 6.0
LIST_DELAY_S = 7.0
# Parts of the workers that a fault meets.
SILENT_SHARE = 0.2
DRAINED_SHARE = 0.25
HUNG_SHARE = 0.3
LOST_SHARE = 0.3
REPLACED_SHARE = 0.6
# Part of the dispatchers that a release kills.
KILLED_SHARE = 0.7
# Times the pace of each worker, while it is slow.
SLOW_SPEED_FACTOR = 0.6
# Seconds until a change of workers is listed.
DRAIN_LISTED_S = 0.45
START_LISTED_S = 0.7
RETURN_LISTED_S = (0.2, 0.5)
LOSS_LISTED_S = 3.0
END_LISTED_S = 2.0
# Least and greatest seconds until a draining worker ends, and between two looks whether it is idle.
DRAIN_S = (2.0, 4.0)
DRAIN_POLL_S = 0.5
# Seconds from the drain of workers to the start of those that take their place.
REPLACEMENT_STARTS_S = 1.5
# Waves of a release of workers, of a roll of dispatchers, and of a lost zone; and seconds between two.
RELEASE_WAVES = 4
RELEASE_WAVE_S = 2.5
ROLL_WAVES = 5
ROLL_WAVE_S = 0.5
LOSS_WAVES = 3
LOSS_WAVE_S = 0.4
RETURN_WAVE_S = 0.35


class FaultSchedule:
    """Plans the day's fault, and carries it out as its time comes."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        plan: Plan,
        pool: WorkerPool,
        nodes: list[Node],
        discovery: Discovery,
        network: Network,
        kill: Callable[[Node], None],
        start: Callable[[Node], None],
    ) -> None:
        self.clock = clock
        self.random = rng
        self.plan = plan
        self.pool = pool
        self.nodes = nodes
        self.discovery = discovery
        self.network = network
        self.kill = kill
        self.start = start

    def schedule(self) -> None:
        """Plan the workers that fail from the start, and the fault."""
        plan = self.plan
        for worker in self.pool.sample(plan.failing_workers):
            self.clock.after(self.random.uniform(0.5, 3), partial(setattr, worker, "fails_fast", True))
        at_the_time: dict[str, Callable[[], object]] = {
            "zone": self._lose_zone,
            "join": self._replace,
            "herd": self._release,
            "hub": self._kill_aggregators,
            "cut": partial(self.network.cut_gossip, plan.fault_at_s + ZONE_CUT_S),
            "split": self._split_zones,
            "mute": self._silence_some,
            "drain": self._drain_some,
        }
        if plan.fault in at_the_time:
            self.clock.after(plan.fault_at_s, at_the_time[plan.fault])
        elif plan.fault == "roll":
            self._schedule_roll()
        elif plan.fault == "hang":
            for worker in self.pool.sample(max(1, round(HUNG_SHARE * len(self.pool.by_id)))):
                self.clock.after(plan.fault_at_s, worker.hang)
        elif plan.fault == "slow":
            for worker in self.pool.by_id.values():
                self.clock.after(plan.fault_at_s, partial(worker.set_speed_factor, SLOW_SPEED_FACTOR))
                self.clock.after(plan.fault_at_s + BURST_S, partial(worker.set_speed_factor, 1.0))

    # ---- dispatchers ---------------------------------------------------------------------------------------

    def _schedule_roll(self) -> None:
        """Half of the dispatchers are killed in waves."""
        order = self.random.sample(self.nodes, len(self.nodes) // 2)
        for wave in range(ROLL_WAVES):
            killed = order[wave::ROLL_WAVES]
            self.clock.after(self.plan.fault_at_s + ROLL_WAVE_S * wave, partial(self._kill_all, killed))

    def _kill_aggregators(self) -> None:
        self._kill_all([node for node in self.nodes if node.dispatcher.gossip.is_aggregator])

    def _kill_all(self, nodes: list[Node]) -> None:
        for node in nodes:
            self.kill(node)
            self.clock.after(self.random.uniform(*FRONT_NOTICES_S), partial(setattr, node, "admitted", False))
            self.clock.after(self.random.uniform(*RESTART_S), partial(self.start, node))

    # ---- cuts ----------------------------------------------------------------------------------------------

    def _partition_zones(self) -> None:
        """Let the zones not hear each other, and lists come late."""
        self.network.cut_gossip(self.clock.now + SPLIT_S)
        self.discovery.notices_held_until = self.clock.now + LIST_DELAY_S

    def _split_zones(self) -> None:
        """No dispatcher reaches a worker of the other zone."""
        self._partition_zones()
        self.network.worker_cut_until = self.network.gossip_cut_until

    def _silence_some(self) -> None:
        """A fifth of the workers is out of reach."""
        self._partition_zones()
        for worker in self.pool.sample(int(SILENT_SHARE * len(self.pool.by_id))):
            worker.unreachable_silently = True
            self.clock.after(SPLIT_S, partial(setattr, worker, "unreachable_silently", False))

    def _lose_zone(self) -> None:
        """A zone is cut off, listed as gone seconds later, and comes back cold."""
        lost = [worker for worker in self.pool.by_id.values() if worker.zone == 1]
        if self.plan.site.zones == 1:
            lost = self.pool.sample(max(1, round(LOST_SHARE * len(self.pool.by_id))))
        for worker in lost:
            worker.crash()
        for wave in range(LOSS_WAVES):
            part = lost[wave::LOSS_WAVES]
            listed_after_s = LOSS_LISTED_S + LOSS_WAVE_S * wave
            self.clock.after(listed_after_s, partial(self._publish, part, WorkerState.GONE))
            self.clock.after(self.plan.zone_lost_s + RETURN_WAVE_S * wave, partial(self._return_cold, part))

    def _return_cold(self, workers: list[FakeWorker]) -> None:
        for worker in workers:
            worker.start(self.random.uniform(*WARM_UP_S))
        self.clock.after(
            self.random.uniform(*RETURN_LISTED_S), partial(self._publish, workers, WorkerState.READY)
        )

    # ---- replacements --------------------------------------------------------------------------------------

    def _replace(self) -> None:
        """Six in ten workers are replaced within 7 s."""
        old = self.pool.sample(int(REPLACED_SHARE * len(self.pool.by_id)))
        self._swap(old[: len(old) // 2])
        self.clock.after(4.5, partial(self._swap, old[len(old) // 2 :]))

    def _release(self) -> None:
        """Workers are replaced in waves, and seven in ten dispatchers are killed at once and start again."""
        order = self.pool.sample(int(REPLACED_SHARE * len(self.pool.by_id)))
        for wave in range(RELEASE_WAVES):
            self.clock.after(0.5 + RELEASE_WAVE_S * wave, partial(self._swap, order[wave::RELEASE_WAVES]))
        killed = self.random.sample(self.nodes, int(KILLED_SHARE * len(self.nodes)))
        self.clock.after(3.0, partial(self._kill_all, killed))

    def _swap(self, old: list[FakeWorker]) -> None:
        """Drain some workers, and start as many new ones."""
        for worker in old:
            worker.drain()
            self.clock.after(self.random.uniform(*DRAIN_S), partial(self._end_when_idle, worker))
        self.clock.after(DRAIN_LISTED_S, partial(self._publish, old, WorkerState.DRAINING))
        fresh = [self.pool.create(worker.kind_index, worker.zone) for worker in old]
        for worker in fresh:
            worker.state = WorkerState.GONE
        self.clock.after(REPLACEMENT_STARTS_S, partial(self._start_new, fresh))

    def _start_new(self, workers: list[FakeWorker]) -> None:
        for worker in workers:
            worker.start(self.random.uniform(*WARM_UP_S))
        self.clock.after(START_LISTED_S, partial(self._publish, workers, WorkerState.READY))

    def _drain_some(self) -> None:
        """Some begin to drain and stay so, and nobody takes their place."""
        draining = self.pool.sample(max(1, round(DRAINED_SHARE * len(self.pool.by_id))))
        for worker in draining:
            worker.drain()
        self.clock.after(DRAIN_LISTED_S, partial(self._publish, draining, WorkerState.DRAINING))

    def _end_when_idle(self, worker: FakeWorker) -> None:
        if worker.running:
            self.clock.after(DRAIN_POLL_S, partial(self._end_when_idle, worker))
        else:
            worker.state = WorkerState.GONE
            self.clock.after(END_LISTED_S, partial(self._publish, [worker], WorkerState.GONE))

    def _publish(self, workers: list[FakeWorker], state: WorkerState) -> None:
        self.discovery.publish([member_entry(worker, state) for worker in workers])

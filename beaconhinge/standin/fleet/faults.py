"""Injects the fault of a plan: on which share of the workers or dispatchers, when and for how long."""

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

# Shortest and longest time in seconds that a worker takes to warm up.
WARM_UP_S = (3.6, 8.2)
# Shortest and longest time in seconds from a dispatcher's end to its next start.
RESTART_S = (1.7, 1.8)
# Shortest and longest time in seconds from a dispatcher's end until the front notices it.
FRONT_NOTICES_S = (1.0, 1.6)
# Duration in seconds of the fault `cut`, during which datagrams between zones are lost.
ZONE_CUT_S = 2.5
# Duration in seconds of the partition in the faults `split` and `mute`.
SPLIT_S = 6.0
# Seconds for which discovery holds back changes of the list in the faults `split` and `mute`.
LIST_DELAY_S = 7.0
# Share of the workers that the fault `mute` isolates.
ISOLATED_SHARE = 0.2
# Share of the workers that the fault `drain` drains.
DRAINED_SHARE = 0.25
# Share of the workers that hang in the fault `hang`.
HUNG_SHARE = 0.3
# Share of the workers that the fault `zone` crashes at a site with one zone.
LOST_SHARE = 0.3
# Share of the workers that the faults `join` and `herd` replace.
REPLACED_SHARE = 0.6
# Share of the dispatchers that a release (the fault `herd`) kills.
KILLED_SHARE = 0.7
# Multiple of its own speed at which each worker runs during the fault `slow`.
SLOW_SPEED_FACTOR = 0.6
# Seconds until discovery lists workers as draining.
DRAIN_LISTED_S = 0.45
# Seconds until discovery lists new workers.
START_LISTED_S = 0.7
# Shortest and longest time in seconds until discovery lists workers that are back after a loss.
RETURN_LISTED_S = (0.2, 0.5)
# Seconds until discovery lists the first lost workers as gone.
LOSS_LISTED_S = 3.0
# Seconds until discovery lists a worker as gone that has ended after its drain.
END_LISTED_S = 2.0
# Shortest and longest time in seconds for which a worker drains at least.
DRAIN_S = (2.0, 4.0)
# Seconds between checks after that time whether the worker is idle and may end.
DRAIN_POLL_S = 0.5
# Seconds from the drain of workers to the start of their replacements.
REPLACEMENT_STARTS_S = 1.5
# Waves in which a release (the fault `herd`) replaces workers, and seconds between two.
RELEASE_WAVES = 4
RELEASE_WAVE_S = 2.5
# Waves in which the fault `roll` kills dispatchers, and seconds between two.
ROLL_WAVES = 5
ROLL_WAVE_S = 0.5
# Waves in which the workers that the fault `zone` crashes are listed as gone, and seconds between two.
LOSS_WAVES = 3
LOSS_WAVE_S = 0.4
# Seconds between two of these waves when the workers start again.
RETURN_WAVE_S = 0.35


class FaultSchedule:
    """Schedules the plan's fault, and injects it at its time."""

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
        """Schedule the failures of the workers that fail from the first seconds on, and the fault."""
        plan = self.plan
        for worker in self.pool.sample(plan.failing_workers):
            self.clock.after(self.random.uniform(0.5, 3), partial(setattr, worker, "fails_fast", True))
        injections: dict[str, Callable[[], object]] = {
            "zone": self._lose_zone,
            "join": self._replace_workers,
            "herd": self._release,
            "hub": self._kill_aggregators,
            "cut": partial(self.network.cut_gossip, plan.fault_at_s + ZONE_CUT_S),
            "split": self._split_zones,
            "mute": self._isolate_workers,
            "drain": self._drain_workers,
        }
        if plan.fault in injections:
            self.clock.after(plan.fault_at_s, injections[plan.fault])
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
        """Schedule the kills of half of the dispatchers, in waves."""
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

    # ---- partitions and losses -----------------------------------------------------------------------------

    def _partition_zones(self) -> None:
        """Drop datagrams between zones for SPLIT_S, and hold back changes of the list for LIST_DELAY_S."""
        self.network.cut_gossip(self.clock.now + SPLIT_S)
        self.discovery.notices_held_until = self.clock.now + LIST_DELAY_S

    def _split_zones(self) -> None:
        """Drop datagrams, and messages between dispatchers and workers, between zones."""
        self._partition_zones()
        self.network.worker_cut_until = self.network.gossip_cut_until

    def _isolate_workers(self) -> None:
        """Drop datagrams between zones, and all messages of a fifth of the workers."""
        self._partition_zones()
        for worker in self.pool.sample(int(ISOLATED_SHARE * len(self.pool.by_id))):
            worker.unreachable_silently = True
            self.clock.after(SPLIT_S, partial(setattr, worker, "unreachable_silently", False))

    def _lose_zone(self) -> None:
        """Crash the workers of one zone; they are listed as gone seconds later, and start again cold.

        At a site with one zone, 3 in 10 of the workers are lost instead.
        """
        lost = [worker for worker in self.pool.by_id.values() if worker.zone == 1]
        if self.plan.site.zones == 1:
            lost = self.pool.sample(max(1, round(LOST_SHARE * len(self.pool.by_id))))
        for worker in lost:
            worker.crash()
        for wave in range(LOSS_WAVES):
            batch = lost[wave::LOSS_WAVES]
            listed_after_s = LOSS_LISTED_S + LOSS_WAVE_S * wave
            self.clock.after(listed_after_s, partial(self._publish, batch, WorkerState.GONE))
            self.clock.after(self.plan.zone_lost_s + RETURN_WAVE_S * wave, partial(self._restart_cold, batch))

    def _restart_cold(self, workers: list[FakeWorker]) -> None:
        for worker in workers:
            worker.start(self.random.uniform(*WARM_UP_S))
        self.clock.after(
            self.random.uniform(*RETURN_LISTED_S), partial(self._publish, workers, WorkerState.READY)
        )

    # ---- replacements --------------------------------------------------------------------------------------

    def _replace_workers(self) -> None:
        """Replace six in ten workers within 7 s."""
        old = self.pool.sample(int(REPLACED_SHARE * len(self.pool.by_id)))
        self._replace_batch(old[: len(old) // 2])
        self.clock.after(4.5, partial(self._replace_batch, old[len(old) // 2 :]))

    def _release(self) -> None:
        """Replace workers in waves, and kill seven in ten dispatchers at once, which start again."""
        order = self.pool.sample(int(REPLACED_SHARE * len(self.pool.by_id)))
        for wave in range(RELEASE_WAVES):
            self.clock.after(
                0.5 + RELEASE_WAVE_S * wave, partial(self._replace_batch, order[wave::RELEASE_WAVES])
            )
        killed = self.random.sample(self.nodes, int(KILLED_SHARE * len(self.nodes)))
        self.clock.after(3.0, partial(self._kill_all, killed))

    def _replace_batch(self, old: list[FakeWorker]) -> None:
        """Drain these workers, and start as many new ones of their kinds and zones."""
        for worker in old:
            worker.drain()
            self.clock.after(self.random.uniform(*DRAIN_S), partial(self._end_when_idle, worker))
        self.clock.after(DRAIN_LISTED_S, partial(self._publish, old, WorkerState.DRAINING))
        replacements = [self.pool.create(worker.kind_index, worker.zone) for worker in old]
        for worker in replacements:
            worker.state = WorkerState.GONE
        self.clock.after(REPLACEMENT_STARTS_S, partial(self._start_new, replacements))

    def _start_new(self, workers: list[FakeWorker]) -> None:
        for worker in workers:
            worker.start(self.random.uniform(*WARM_UP_S))
        self.clock.after(START_LISTED_S, partial(self._publish, workers, WorkerState.READY))

    def _drain_workers(self) -> None:
        """Drain a quarter of the workers, which stay so and are not replaced."""
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

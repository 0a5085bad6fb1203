"""Wires recovery: the stall watch, of which every part is told before anything else; keys; the return."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..config import Config
from ..config.local import RecoveryOptions
from ..dispatch.attempt import Attempt
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.request import RequestTable
from ..policy import interface
from ..policy.interface import AttemptOutcome
from ..recovery.stall import Stall, StallDetector
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Store
from .discovery import Discovery
from .keys import IdempotencyKeyService
from .listener import Listener
from .operator_calls import OperatorCalls
from .peers import PeerSocket
from .restart import MaintenanceStore, OrphanedJobs, RestartCoordinator
from .upgrade import ProcessUpgrade
from .worker_pool import WorkerPool

SOCKETS_FIRST_S = 0.1  # seconds that timers wait after a stall, while what came meanwhile is read
LIST_TIMEOUT_S = 0.5  # seconds that new jobs wait at most for a list asked for anew
STALL, START = "stall", "start"  # why they wait
REFRESH_SPREAD_S = (
    0.002  # seconds for each dispatcher, over which they ask where all may have stood still together
)


def wire_recovery(
    options: RecoveryOptions,
    config: Config,
    store: Store | None,
    policy_runner: PolicyRunner,
    timers: TimerWheel,
    requests: RequestTable,
    workers: WorkerPool,
    discovery: Discovery,
    peers: PeerSocket,
    listener: Listener,
    operators: OperatorCalls,
    upgrade: ProcessUpgrade | None,
    metrics: Metrics,
) -> RestartCoordinator:
    """Build the parts of recovery and connect them, before the listener opens.

    From then on jobs and datagrams come.
    """
    recovery = StallRecovery(options.stall_s, policy_runner, timers, requests, discovery, peers, metrics)
    coordinator = RestartCoordinator(config, store, timers, peers, metrics, recovery.delay_for_restart)
    keys = None
    if any(config.needs_key(cls) for cls in range(len(config.settings.classes))):
        keys = IdempotencyKeyService(
            config, store, options.max_keys, options.max_result_bytes, peers, timers, metrics
        )
        requests.keys, workers.on_late_result = keys, keys.record_late_result
        keys.own_state_known, coordinator.on_stale_incarnation = (
            lambda: coordinator.serving,
            keys.mark_journal_stale,
        )
    recovery.on_resumed = coordinator.process_resumed
    discovery.updates.on_list_applied = coordinator.list_received
    operators.phase = lambda: coordinator.stage_name
    listed = listener.ready
    listener.ready = lambda: listed() and coordinator.serving
    until = timers.now() + max(cls.deadline_s for cls in config.settings.classes)

    def stays(request: str) -> bool:
        """Somebody may come for its result, or another process of this dispatcher has it."""
        return upgrade is not None and upgrade.paired or keys is not None and keys.may_have(request)

    workers.on_unowned_job = OrphanedJobs(workers, timers, metrics, until, stays).observe
    if store is not None:
        maintenance_store = MaintenanceStore(config, store, timers, metrics)
        maintenance_store.restore(operators.set_maintenance)
        operators.persist_maintenance = maintenance_store.write
    return coordinator


class StallRecovery:
    """Reports stalls of the process to every part before anything else.

    Delays new jobs for a fresh list.
    """

    def __init__(
        self,
        after: float,
        policy_runner: PolicyRunner,
        timers: TimerWheel,
        requests: RequestTable,
        discovery: Discovery,
        peers: PeerSocket,
        metrics: Metrics,
        rng: Callable[[], float] = random.random,
    ) -> None:
        self.detector = StallDetector(after)
        self.policy_runner = policy_runner
        self.timers = timers
        self.requests = requests
        self.discovery = discovery
        self.peers = peers
        self.metrics = metrics
        self.random = rng
        self.on_resumed: Callable[[], None] = lambda: None  # hears of each stall
        self._delay_reasons: set[str] = set()  # why new jobs wait, for LIST_WITHIN at most
        self._settled = asyncio.Event()
        self._settled.set()
        self._timers_postponed_until = 0.0  # for timers
        timers.postponed_for = self._timers_postponed_for
        policy_runner.check_for_stall = peers.has_just_stalled = self.check
        requests.reported_outcome = self._excuse
        requests.running_seconds = self.detector.running_seconds

    def check(self) -> bool:
        """Whether the process has just gone on after a stall; all parts know it then."""
        stall = self.detector.observe(self.timers.now())
        if stall is not None:
            self._process_resumed(stall)
        return stall is not None

    def _process_resumed(self, stall: Stall) -> None:
        self._timers_postponed_until = stall.ended + SOCKETS_FIRST_S
        dropped = self.peers.drop_waiting()
        self.metrics.count("stalls")
        self.metrics.count("datagrams_stale", dropped)
        self.metrics.log("stalled", seconds=stall.seconds, datagrams_dropped=dropped)
        self.policy_runner.feed(interface.ProcessStalled(stall.seconds))
        self.on_resumed()
        if STALL not in self._delay_reasons:
            self._set_delay(STALL, True)
            # Datagrams that waited show that others ran meanwhile; else all may wake at this moment.
            alone = dropped > 0 or self.peers.config.settings.group_size <= 1
            wait = 0.0 if alone else REFRESH_SPREAD_S * self.peers.config.settings.group_size * self.random()
            self.metrics.spawn(self._refresh_list(wait), "list after a stall")

    async def _refresh_list(self, wait: float) -> None:
        try:
            await asyncio.sleep(wait)
            await self.discovery.refresh()
        finally:
            self._set_delay(STALL, False)

    def delay_for_restart(self, wait: bool) -> None:
        """Delay new jobs while the stages of a start last, or let them go on."""
        self._set_delay(START, wait)

    def _set_delay(self, why: str, wait: bool) -> None:
        if wait:
            self._delay_reasons.add(why)
            self._settled.clear()
        else:
            self._delay_reasons.discard(why)
            if not self._delay_reasons:
                self._settled.set()
        self.requests.wait_before_admission = self._wait_for_list if self._delay_reasons else None

    async def _wait_for_list(self) -> None:
        try:
            async with self.timers.timeout(LIST_TIMEOUT_S):
                await self._settled.wait()
        except TimeoutError:
            self.metrics.count("stall_list_late")

    def _timers_postponed_for(self) -> float:
        self.check()
        return self._timers_postponed_until - self.timers.now()

    def _excuse(self, attempt: Attempt, outcome: AttemptOutcome) -> AttemptOutcome:
        excused = self.detector.excused_outcome(attempt.sent_at, outcome)
        if excused != outcome:
            self.metrics.count("outcomes_excused")
        return excused

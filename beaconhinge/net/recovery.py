"""Connects recovery: stall detection, which notifies every part first, idempotency keys, and the restart."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..config import Config
from ..config.local import RecoveryOptions
from ..dispatch.attempt import Attempt
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.request_table import RequestTable
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

SOCKETS_FIRST_S = 0.1  # seconds for which timers are postponed after a stall, while data that waited is read
LIST_TIMEOUT_S = 0.5  # seconds that new jobs wait at most for a list that is read again
STALL, START = "stall", "start"  # reasons to delay new jobs
# Seconds for each dispatcher of the fleet: over their sum the dispatchers spread their reads of the list,
# since all may have stalled together.
REFRESH_SPREAD_S = 0.002


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
    """Build the parts of recovery and connect them; return the restart's coordinator.

    Has to run before the listener opens and jobs and datagrams arrive.
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
    has_list = listener.ready
    listener.ready = lambda: has_list() and coordinator.serving
    orphans_until = timers.now() + max(cls.deadline_s for cls in config.settings.classes)

    def may_be_wanted(request: str) -> bool:
        """Whether a client waits or may retry for its result, or another process may have the request."""
        if (
            request in requests.requests
        ):  # the report may be about an earlier attempt, and another is under way
            return True
        return upgrade is not None and upgrade.paired or keys is not None and keys.may_have(request)

    workers.on_unowned_job = OrphanedJobs(workers, timers, metrics, orphans_until, may_be_wanted).observe
    if store is not None:
        maintenance_store = MaintenanceStore(config, store, timers, metrics)
        maintenance_store.restore(operators.set_maintenance)
        operators.persist_maintenance = maintenance_store.write
    return coordinator


class StallRecovery:
    """Reports stalls of the process to every part before anything else, and delays new jobs after them.

    After a stall, new jobs wait for a list that is read again; during a start, until its stages are over.
    Both waits are limited to LIST_TIMEOUT_S.

    Attributes:
        on_resumed: Called after each stall.
    """

    def __init__(
        self,
        stall_s: float,
        policy_runner: PolicyRunner,
        timers: TimerWheel,
        requests: RequestTable,
        discovery: Discovery,
        peers: PeerSocket,
        metrics: Metrics,
        rng: Callable[[], float] = random.random,
    ) -> None:
        self.detector = StallDetector(stall_s)
        self.policy_runner = policy_runner
        self.timers = timers
        self.requests = requests
        self.discovery = discovery
        self.peers = peers
        self.metrics = metrics
        self.random = rng
        self.on_resumed: Callable[[], None] = lambda: None
        self._delay_reasons: set[str] = set()  # of STALL and START; new jobs wait while there is one
        self._delay_over = asyncio.Event()
        self._delay_over.set()
        self._timers_postponed_until = 0.0
        timers.postponed_for = self._timers_postponed_for
        policy_runner.check_for_stall = peers.has_just_stalled = self.check
        requests.reported_outcome = self._excuse
        requests.running_seconds = self.detector.running_seconds

    def check(self) -> bool:
        """Return whether the process has just resumed after a stall; all parts have been notified then."""
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
            # Datagrams that waited show that other dispatchers ran meanwhile. Otherwise all may resume now,
            # and spread their reads.
            read_at_once = dropped > 0 or self.peers.config.settings.group_size <= 1
            delay = (
                0.0
                if read_at_once
                else REFRESH_SPREAD_S * self.peers.config.settings.group_size * self.random()
            )
            self.metrics.spawn(self._refresh_list(delay), "list after a stall")

    async def _refresh_list(self, delay: float) -> None:
        try:
            await asyncio.sleep(delay)
            await self.discovery.refresh()
        finally:
            self._set_delay(STALL, False)

    def delay_for_restart(self, delayed: bool) -> None:
        """Delay new jobs while the stages of a start last, or stop delaying them for that reason."""
        self._set_delay(START, delayed)

    def _set_delay(self, reason: str, delayed: bool) -> None:
        if delayed:
            self._delay_reasons.add(reason)
            self._delay_over.clear()
        else:
            self._delay_reasons.discard(reason)
            if not self._delay_reasons:
                self._delay_over.set()
        self.requests.wait_before_admission = self._wait_for_list if self._delay_reasons else None

    async def _wait_for_list(self) -> None:
        try:
            async with self.timers.timeout(LIST_TIMEOUT_S):
                await self._delay_over.wait()
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

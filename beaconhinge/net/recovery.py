"""Wires recovery: the stall watch, of which every part is told before anything else; keys; the return."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..config import Config
from ..config.local import Recovery as Settings
from ..dispatch.attempt import Attempt
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.request import RequestTable
from ..policy import interface
from ..policy.interface import AttemptOutcome
from ..recovery.stall import Stall, StallWatch
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Store
from .discovery import Discovery
from .keys import Keys
from .listener import Listener
from .operator_calls import OperatorCalls
from .peers import PeerSocket
from .restart import ByHand, Orphans, Returning
from .upgrade import Upgrade
from .worker_pool import WorkerPool

SOCKETS_FIRST = 0.1  # seconds that timers wait after a stall, while what came meanwhile is read
LIST_WITHIN = 0.5  # seconds that new jobs wait at most for a list asked for anew
STALL, START = "stall", "start"  # why they wait
SPREAD = 0.002  # seconds for each dispatcher, over which they ask where all may have stood still together


def recover(
    local_config: Settings,
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
    upgrade: Upgrade | None,
    metrics: Metrics,
) -> Returning:
    """Before the door opens: from then on jobs and datagrams come."""
    recovery = Recovery(local_config.stall_s, policy_runner, timers, requests, discovery, peers, metrics)
    returning = Returning(config, store, timers, peers, metrics, recovery.hold_for_return)
    keys = None
    if any(config.keyed(cls) for cls in range(len(config.settings.classes))):
        keys = Keys(
            config, store, local_config.max_keys, local_config.max_result_bytes, peers, timers, metrics
        )
        requests.keys, workers.result_late = keys, keys.told
        keys.settled, returning.stale = lambda: returning.serving, keys.doubt
    recovery.woken, discovery.told = returning.woke, returning.listed
    operators.phase = lambda: returning.phase
    listed = listener.ready
    listener.ready = lambda: listed() and returning.serving
    until = timers.now() + max(cls.deadline_s for cls in config.settings.classes)

    def stays(request: str) -> bool:
        """Somebody may come for its result, or another process of this dispatcher has it."""
        return upgrade is not None and upgrade.paired or keys is not None and keys.may_have(request)

    workers.orphan = Orphans(workers, timers, metrics, until, stays).told
    if store is not None:
        hands = ByHand(config, store, timers, metrics)
        hands.restore(operators.apply)
        operators.keep = hands.keep
    return returning


class Recovery:
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
        self.watch = StallWatch(after)
        self.policy_runner = policy_runner
        self.timers = timers
        self.requests = requests
        self.discovery = discovery
        self.peers = peers
        self.metrics = metrics
        self.random = rng
        self.woken: Callable[[], None] = lambda: None  # hears of each stall
        self._holds: set[str] = set()  # why new jobs wait, for LIST_WITHIN at most
        self._settled = asyncio.Event()
        self._settled.set()
        self._held_until = 0.0  # for timers
        timers.postponed_for = self._held_for
        policy_runner.check_for_stall = peers.woken = self.look
        requests.reported_outcome = self._excuse
        requests.own_seconds = self.watch.own_seconds

    def look(self) -> bool:
        """Whether the process has just gone on after a stall; all parts know it then."""
        stall = self.watch.feed(self.timers.now())
        if stall is not None:
            self._woke(stall)
        return stall is not None

    def _woke(self, stall: Stall) -> None:
        self._held_until = stall.ended + SOCKETS_FIRST
        dropped = self.peers.forget_waiting()
        self.metrics.count("stalls")
        self.metrics.count("datagrams_stale", dropped)
        self.metrics.log("stalled", seconds=stall.seconds, datagrams_dropped=dropped)
        self.policy_runner.feed(interface.ProcessStalled(stall.seconds))
        self.woken()
        if STALL not in self._holds:
            self._hold(STALL, True)
            # Datagrams that waited show that others ran meanwhile; else all may wake at this moment.
            alone = dropped > 0 or self.peers.config.settings.group_size <= 1
            wait = 0.0 if alone else SPREAD * self.peers.config.settings.group_size * self.random()
            self.metrics.spawn(self._ask_anew(wait), "list after a stall")

    async def _ask_anew(self, wait: float) -> None:
        try:
            await asyncio.sleep(wait)
            await self.discovery.refresh()
        finally:
            self._hold(STALL, False)

    def hold_for_return(self, wait: bool) -> None:
        self._hold(START, wait)

    def _hold(self, why: str, wait: bool) -> None:
        if wait:
            self._holds.add(why)
            self._settled.clear()
        else:
            self._holds.discard(why)
            if not self._holds:
                self._settled.set()
        self.requests.wait_before_admission = self._list_first if self._holds else None

    async def _list_first(self) -> None:
        try:
            async with self.timers.timeout(LIST_WITHIN):
                await self._settled.wait()
        except TimeoutError:
            self.metrics.count("stall_list_late")

    def _held_for(self) -> float:
        self.look()
        return self._held_until - self.timers.now()

    def _excuse(self, attempt: Attempt, outcome: AttemptOutcome) -> AttemptOutcome:
        told = self.watch.outcome(attempt.sent_at, outcome)
        if told != outcome:
            self.metrics.count("outcomes_excused")
        return told

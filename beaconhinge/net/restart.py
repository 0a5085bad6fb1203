"""Restart of a dispatcher: recovery stages, incarnations, orphaned jobs, workers in maintenance mode.

The classes here connect the pure parts in `beaconhinge.recovery` to the store, the peers and the workers.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from ..config import Config
from ..policy.interface import UpdateKind
from ..recovery import incarnations, stages
from ..recovery.incarnations import Hello, PeerIncarnations
from ..recovery.stages import NAMES, NORMAL, READING, RecoveryStages
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Delete, Put, Store, StoreError
from .peers import PeerSocket
from .worker_pool import WorkerPool

STAGE_INTERVAL_S = 0.05  # seconds between steps of the recovery stages
MAX_QUERIED_PEERS = 8  # dispatchers queried; bounded, so that a restart of many does not flood itself
DISK_TIMEOUT_S = 1.0  # seconds after which a record that is not on the disk counts as not written
MAX_CONCURRENT_WITHDRAWALS = 4  # orphaned jobs
MAX_ORPHANS = 10_000  # orphaned jobs remembered, so that each is withdrawn only once
INCARNATION_KEY, MAINTENANCE_PREFIX = b"life", b"hand/"


class RestartCoordinator:
    """Advances a start through its recovery stages, and exchanges incarnations with other dispatchers."""

    def __init__(
        self,
        config: Config,
        store: Store | None,
        timers: TimerWheel,
        peers: PeerSocket,
        metrics: Metrics,
        delay_jobs: Callable[[bool], None],
    ) -> None:
        self.config = config
        self.store = store
        self.timers = timers
        self.peers = peers
        self.metrics = metrics
        self.delay_jobs = delay_jobs  # True holds new jobs back, False releases them
        # Called when a peer has received this incarnation, or a later one, from another start.
        self.on_stale_incarnation: Callable[[], None] = lambda: None
        self.peer_incarnations = PeerIncarnations()
        self.incarnation = 0
        self.start_id = random.getrandbits(32)
        self.stages = RecoveryStages(timers.now())
        peers.handlers[incarnations.HELLO] = self._receive_hello
        self._report_stages([READING])

    @property
    def stage_name(self) -> str:
        """Name of the current stage."""
        return NAMES[self.stages.stage]

    @property
    def serving(self) -> bool:
        """Whether the stages are complete: the list and peers' answers came, or their time limits passed."""
        return self.stages.stage == NORMAL

    def open(self, taken_over: bool) -> None:
        """Begin the stages; the listener is open.

        A process that took over from another one skips them and serves at once.
        """
        if taken_over:
            self.stages.stage = NORMAL
            self._report_stages([NORMAL])
        else:
            self._feed(stages.ListenerOpened())
            self._advance()
        self.metrics.spawn(self._announce(), "announce incarnation")

    def process_resumed(self) -> None:
        """Handle the end of a pause of the whole process: query the peers again if recovery is under way."""
        self._feed(stages.ProcessResumed(self._queried_peers()))
        if not self.serving:
            self._query_unanswered()

    def list_received(self, kind: str) -> None:
        """Handle a list of a kind (an `UpdateKind`) from discovery; only snapshots and changes count."""
        if kind in (UpdateKind.SNAPSHOT, UpdateKind.CHANGES):
            self._feed(stages.ListReceived())

    def _feed(self, event: stages.Event) -> None:
        self._report_stages(self.stages.feed(self.timers.now(), event))

    def _report_stages(self, entered: list[int]) -> None:
        for stage in entered:
            self.metrics.count(f"phase_{NAMES[stage]}")
            self.metrics.log(
                "phase",
                name=NAMES[stage],
                listed=self.stages.list_received,
                silent=len(self.stages.unanswered),
                serving=len(self.stages.peers_serving),
            )
        if entered:
            self.delay_jobs(not self.serving)

    def _advance(self) -> None:
        if self.stages.stage == NORMAL:
            return
        self.timers.after(STAGE_INTERVAL_S, self._advance)
        self._feed(stages.TimePassed())
        self._query_unanswered()

    def _query_unanswered(self) -> None:
        for number in self.stages.unanswered:
            self._send_hello(number, expects_reply=True)

    # ---- peers ---------------------------------------------------------------------------------------------

    def _queried_peers(self) -> frozenset[int]:
        """Return the numbers of the dispatchers to query.

        They are the same at each start, since they have received the earlier incarnations.
        """
        settings = self.config.settings
        size, own = settings.group_size, settings.own_number
        count = min(MAX_QUERIED_PEERS, size - 1) if settings.peer_messages else 0
        return frozenset((own + n) % size for n in range(1, count + 1))

    def _send_hello(self, number: int, expects_reply: bool = False, stale: bool = False) -> None:
        self.peers.send(
            number,
            incarnations.encode(
                Hello(self.stages.stage, self.incarnation, self.start_id, expects_reply, stale)
            ),
        )

    def _receive_hello(self, number: int, payload: bytes) -> None:
        hello = incarnations.decode(payload)
        if hello is None:
            self.metrics.count_and_log("datagram_malformed", sender=number, bytes=len(payload))
            return
        is_stale = self.peer_incarnations.observe(number, hello)
        if hello.expects_reply:
            self._send_hello(number, stale=is_stale)
        if hello.stale and self.incarnation:
            self.incarnation = 0  # announces none from now on, so this is reported once
            self.metrics.count_and_log("folder_stale", told_by=number)
            self.on_stale_incarnation()
        self._feed(stages.PeerAnswered(number, hello.stage))

    async def _announce(self) -> None:
        if self.store is not None:
            await self._advance_incarnation(self.store)
        self._feed(stages.PeersQueried(self._queried_peers()))
        for number in self._queried_peers():  # even if the stages advanced while the disk was slow
            self._send_hello(number, expects_reply=True)

    async def _advance_incarnation(self, store: Store) -> None:
        """Write this start's incarnation to the store before it is announced.

        The next start then never announces the same one again.
        """
        name, number = self.config.name, self.config.settings.own_number
        try:
            previous = incarnations.read_signed_record(store.get(INCARNATION_KEY), name, number)
            incarnation = incarnations.next_incarnation(previous)
            record = incarnations.sign_record(name, number, incarnations.incarnation_record(incarnation))
            async with self.timers.timeout(DISK_TIMEOUT_S):
                await store.commit([Put(INCARNATION_KEY, record)])
            self.incarnation = incarnation
        except (StoreError, TimeoutError) as error:
            self.metrics.count_and_log("incarnation_write_failed", why=f"{type(error).__name__}: {error}")


class OrphanedJobs:
    """Withdraws jobs of an earlier incarnation that workers still run though no client waits, each once.

    Args:
        until: The time in seconds from which no such job can be left; reports after it are ignored.
        may_be_awaited: Returns whether the result of a request, by its id, may still be requested.
    """

    def __init__(
        self,
        workers: WorkerPool,
        timers: TimerWheel,
        metrics: Metrics,
        until: float,
        may_be_awaited: Callable[[str], bool],
    ) -> None:
        self.workers = workers
        self.timers = timers
        self.metrics = metrics
        self.until = until
        self.may_be_awaited = may_be_awaited
        self._seen: set[tuple[str, int]] = set()
        self._queue: list[tuple[str, int]] = []
        self._withdrawals = 0

    def observe(self, request: str, worker: int) -> None:
        """Withdraw a job that a worker reports as running and for which this process has no open attempt."""
        job = request, worker
        if self.timers.now() >= self.until or job in self._seen or len(self._seen) >= MAX_ORPHANS:
            return
        if self.may_be_awaited(request):
            return
        self._seen.add(job)
        self._queue.append(job)
        if self._withdrawals < MAX_CONCURRENT_WITHDRAWALS:
            self._withdrawals += 1
            self.metrics.spawn(self._withdraw(), "withdraw orphaned jobs")

    async def _withdraw(self) -> None:
        try:
            while self._queue:
                request, worker = self._queue.pop(0)
                self.metrics.count("orphans_withdrawn")
                await self.workers.withdraw(request, worker)
        finally:
            self._withdrawals -= 1


class MaintenanceStore:
    """Stores which workers operators have put into maintenance mode, signed with this dispatcher's name."""

    def __init__(self, config: Config, store: Store, timers: TimerWheel, metrics: Metrics) -> None:
        self.store = store
        self.timers = timers
        self.metrics = metrics
        self._signature = incarnations.sign_record(config.name, config.settings.own_number, b"")

    def restore(self, apply: Callable[[str, bool], None]) -> None:
        """Call `apply(worker, True)` for each stored worker; count and skip records of other dispatchers."""
        foreign = 0
        try:
            for key, data in self.store.scan(MAINTENANCE_PREFIX):
                if data == self._signature:
                    apply(key[len(MAINTENANCE_PREFIX) :].decode(), True)
                else:
                    foreign += 1
        except (StoreError, ValueError) as error:
            self.metrics.count_and_log("maintenance_read_failed", why=f"{type(error).__name__}: {error}")
        if foreign:
            self.metrics.count_and_log("maintenance_records_foreign", records=foreign)

    async def write(self, worker: str, in_maintenance: bool) -> str:
        """Store that a worker is in maintenance mode, or no longer is.

        Returns:
            An empty text, or why the record could not be written within DISK_TIMEOUT_S.
        """
        key = MAINTENANCE_PREFIX + worker.encode()
        try:
            async with self.timers.timeout(DISK_TIMEOUT_S):
                await self.store.commit([Put(key, self._signature) if in_maintenance else Delete(key)])
            return ""
        except (StoreError, TimeoutError) as error:
            self.metrics.count_and_log("maintenance_write_failed", why=f"{type(error).__name__}: {error}")
            return f"{type(error).__name__}: {error}"

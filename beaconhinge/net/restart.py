"""Wires a start: its phases, the word with the others, orphans of the old life, workers out by hand."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..config import Config
from ..policy.interface import UpdateKind
from ..recovery import incarnations, stages
from ..recovery.incarnations import Hello, Lives
from ..recovery.stages import NAMES, NORMAL, READING, Return
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Delete, Put, Store, StoreError
from .peers import PeerSocket
from .worker_pool import WorkerPool

LOOK = 0.05  # seconds between turns of the phases
ASKED = 8  # others that are asked: a return of many must not drown itself
DISK_WITHIN = 1.0  # seconds after which a record that is not on the disk counts as not written
ORPHANS = 4  # withdrawn at a time
MOST_ORPHANS = 10_000  # remembered, so that each is withdrawn once
LIFE, HAND = b"life", b"hand/"


class Returning:
    def __init__(
        self,
        config: Config,
        store: Store | None,
        timers: TimerWheel,
        peers: PeerSocket,
        metrics: Metrics,
        hold: Callable[[bool], None],
    ) -> None:
        self.config = config
        self.store = store
        self.timers = timers
        self.peers = peers
        self.metrics = metrics
        self.hold = hold  # keeps new jobs waiting, or lets them go
        # Called when others have heard of this life, or a later one, from another start.
        self.stale: Callable[[], None] = lambda: None
        self.lives = Lives()
        self.life = 0
        self.start = random.getrandbits(32)
        self.machine = Return(timers.now())
        peers.talk[incarnations.HELLO] = self._heard
        self._entered([READING])

    @property
    def phase(self) -> str:
        return NAMES[self.machine.phase]

    @property
    def serving(self) -> bool:
        """The list is as good as it gets, and others have been asked about this life."""
        return self.machine.phase == NORMAL

    def open(self, taken_over: bool) -> None:
        """The door is open. A process that took over from another of this dispatcher serves on as before."""
        if taken_over:
            self.machine.phase = NORMAL
            self._entered([NORMAL])
        else:
            self._feed(stages.Opened())
            self._look()
        self.metrics.spawn(self._begin(), "life")

    def woke(self) -> None:
        self._feed(stages.Woke(self._others()))
        if not self.serving:
            self._ask()

    def listed(self, how: str) -> None:
        if how in (UpdateKind.SNAPSHOT, UpdateKind.CHANGES):
            self._feed(stages.Listed())

    def _feed(self, event: stages.Event) -> None:
        self._entered(self.machine.feed(self.timers.now(), event))

    def _entered(self, entered: list[int]) -> None:
        for phase in entered:
            self.metrics.count(f"phase_{NAMES[phase]}")
            self.metrics.log(
                "phase",
                name=NAMES[phase],
                listed=self.machine.listed,
                silent=len(self.machine.silent),
                serving=len(self.machine.serving),
            )
        if entered:
            self.hold(not self.serving)

    def _look(self) -> None:
        if self.machine.phase == NORMAL:
            return
        self.timers.after(LOOK, self._look)
        self._feed(stages.Turn())
        self._ask()

    def _ask(self) -> None:
        for number in self.machine.silent:
            self._tell(number, asks=True)

    # ---- the others ----------------------------------------------------------------------------------------

    def _others(self) -> frozenset[int]:
        """The same at each start: they are the ones that have heard of the lives before."""
        settings = self.config.settings
        size, own = settings.group_size, settings.own_number
        most = min(ASKED, size - 1) if settings.peer_messages else 0
        return frozenset((own + n) % size for n in range(1, most + 1))

    def _tell(self, number: int, asks: bool = False, stale: bool = False) -> None:
        self.peers.send(
            number, incarnations.encode(Hello(self.machine.phase, self.life, self.start, asks, stale))
        )

    def _heard(self, number: int, payload: bytes) -> None:
        hello = incarnations.decode(payload)
        if hello is None:
            self.metrics.count_and_log("datagram_malformed", sender=number, bytes=len(payload))
            return
        stale = self.lives.hear(number, hello)
        if hello.asks:
            self._tell(number, stale=stale)
        if hello.stale and self.life:
            self.life = 0  # told once, and it claims no life any more
            self.metrics.count_and_log("folder_stale", told_by=number)
            self.stale()
        self._feed(stages.Heard(number, hello.phase))

    async def _begin(self) -> None:
        if self.store is not None:
            await self._count_life(self.store)
        self._feed(stages.Asked(self._others()))
        for number in self._others():  # also where the phases have gone on without the disk
            self._tell(number, asks=True)

    async def _count_life(self, store: Store) -> None:
        """On the disk before it is told, so that the next start never tells it again."""
        name, number = self.config.name, self.config.settings.own_number
        try:
            life = incarnations.next_life(incarnations.read_signed(store.get(LIFE), name, number))
            async with self.timers.timeout(DISK_WITHIN):
                await store.commit(
                    [Put(LIFE, incarnations.signed(name, number, incarnations.life_record(life)))]
                )
            self.life = life
        except (StoreError, TimeoutError) as error:
            self.metrics.count_and_log("life_not_counted", why=f"{type(error).__name__}: {error}")


class Orphans:
    """Jobs of the old life that boxes still run for nobody: withdrawn, each once, while there can be any.
    `left_to_finish` says of a request whether somebody may come for its result.
    """

    def __init__(
        self,
        workers: WorkerPool,
        timers: TimerWheel,
        metrics: Metrics,
        until: float,
        left_to_finish: Callable[[str], bool],
    ) -> None:
        self.workers = workers
        self.timers = timers
        self.metrics = metrics
        self.until = until
        self.left_to_finish = left_to_finish
        self._seen: set[tuple[str, int]] = set()
        self._waiting: list[tuple[str, int]] = []
        self._busy = 0

    def told(self, request: str, worker: int) -> None:
        """A worker tells of a job that no attempt is open for, and that it has not ended."""
        job = request, worker
        if self.timers.now() >= self.until or job in self._seen or len(self._seen) >= MOST_ORPHANS:
            return
        if self.left_to_finish(request):
            return
        self._seen.add(job)
        self._waiting.append(job)
        if self._busy < ORPHANS:
            self._busy += 1
            self.metrics.spawn(self._withdraw(), "orphans")

    async def _withdraw(self) -> None:
        try:
            while self._waiting:
                request, worker = self._waiting.pop(0)
                self.metrics.count("orphans_withdrawn")
                await self.workers.withdraw(request, worker)
        finally:
            self._busy -= 1


class ByHand:
    """Workers that operators have taken out, on the disk under this dispatcher's name."""

    def __init__(self, config: Config, store: Store, timers: TimerWheel, metrics: Metrics) -> None:
        self.store = store
        self.timers = timers
        self.metrics = metrics
        self._sign = incarnations.signed(config.name, config.settings.own_number, b"")

    def restore(self, apply: Callable[[str, bool], None]) -> None:
        foreign = 0
        try:
            for place, data in self.store.scan(HAND):
                if data == self._sign:
                    apply(place[len(HAND) :].decode(), True)
                else:
                    foreign += 1
        except (StoreError, ValueError) as error:
            self.metrics.count_and_log("hands_not_read", why=f"{type(error).__name__}: {error}")
        if foreign:
            self.metrics.count_and_log("hands_foreign", records=foreign)

    async def keep(self, worker: str, out: bool) -> str:
        """Why it is not on the disk, if so."""
        place = HAND + worker.encode()
        try:
            async with self.timers.timeout(DISK_WITHIN):
                await self.store.commit([Put(place, self._sign) if out else Delete(place)])
            return ""
        except (StoreError, TimeoutError) as error:
            self.metrics.count_and_log("hand_not_written", why=f"{type(error).__name__}: {error}")
            return f"{type(error).__name__}: {error}"

"""Script boxes: slots and cores, a queue, cold starts, stalls, drains, load reports that lag."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ...policy.interface import AttemptOutcome, WorkerState
from .clock import Clock
from .plan import Kind

QUEUE_PER_CORE = 12
PROGRESS = 1.0  # seconds between notices of a running job
STEP = 0.5  # seconds after which a box looks at its jobs again at the latest: it warms up meanwhile
# Multiple of its present capacity for so many seconds that pushes a cold box over.
FALL = 4.0
WINDOW = 1.5
FAIL_FAST = 0.02  # seconds in which a bad box answers


@dataclass(eq=False)
class Attempt:
    """One send to one box. `owner` is who sent it."""

    owner: object
    number: int
    box: FakeWorker
    sent_at: float
    work: float
    expected: float  # as nobody is told the true one
    open: bool = True  # its sender waits for the outcome
    started: bool = False
    left: float = 0.0
    slots: int = 1


@dataclass
class Reports:
    """Whom a box tells of its jobs, and whom it hands their outcomes."""

    started: Callable[[Attempt], object]
    progress: Callable[[Attempt, float], object]
    ended: Callable[[Attempt, AttemptOutcome, dict[str, float] | None], object]


@dataclass(eq=False)
class FakeWorker:
    clock: Clock
    random: random.Random
    tell: Reports
    id: int
    kind: int
    of: Kind
    zone: int
    cell: int
    speed: float
    state: WorkerState = WorkerState.READY
    reachable: bool = True
    started_at: float = 0.0  # 0: long ago
    cold_for: float = 0.0
    cold_share: float = 0.45
    fails_fast: bool = False
    paused_until: float = 0.0
    slowed: float = 1.0  # pace beside its own, while something that all share is short
    silent: bool = False  # nothing comes in and nothing goes out, though it works on
    hung: bool = False  # it takes jobs, and never starts or ends one
    running: list[Attempt] = field(default_factory=list)
    queue: deque[Attempt] = field(default_factory=deque)
    spent: float = 0.0  # work done
    most_sent: float = 0.0  # work sent while cold in any window, as a part of what pushes it over
    _sent: deque[tuple[float, float]] = field(default_factory=deque)
    _updated: float = 0.0
    _version: int = 0  # of its next look: earlier ones are void
    _free: float = 0.0  # slots, as its answers have it, and jobs that wait
    _depth: float = 0.0

    def __post_init__(self) -> None:
        self._free = float(self.of.slots)
        self.clock.after(self.random.uniform(0, 1), partial(self._report, self.random.uniform(0.43, 1.1)))

    def _report(self, period: float) -> None:
        free, depth = float(self.of.slots - self._taken), float(len(self.queue))
        self.clock.after(self.random.uniform(0.05, 0.44), partial(self._show, free, depth))
        if self.state != WorkerState.GONE:
            self.clock.after(period, partial(self._report, period))

    def _show(self, free: float, depth: float) -> None:
        self._free, self._depth = free, depth

    @property
    def load(self) -> dict[str, float]:
        return {"x0": self._free, "depth": self._depth}

    @property
    def _taken(self) -> int:
        return sum(attempt.slots for attempt in self.running)

    # ---- capacity ------------------------------------------------------------------------------------------

    def warmth(self, at: float) -> float:
        if at >= self.started_at + self.cold_for:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0.0, at - self.started_at) / self.cold_for

    def _rate(self, at: float) -> float:
        """Work a second that each running job gets."""
        return self.speed * self.slowed * self.warmth(at) * min(1.0, self.of.cores / self._taken)

    def _carry_on(self) -> None:
        now = self.clock.now
        passed = now - max(self._updated, min(self.paused_until, now))
        if self.running and passed > 0:
            done = self._rate(now - passed / 2) * passed
            for attempt in self.running:
                attempt.left -= done
            self.spent += done * self._taken
        self._updated = now

    def _plan(self) -> None:
        self._version += 1
        if self.running:
            least = max(0.0, min(a.left for a in self.running)) / self._rate(self.clock.now + 0.1)
            wait = max(0.0, self.paused_until - self.clock.now) + least
            self.clock.after(min(wait, STEP) + 1e-6, partial(self._look, self._version))

    def _look(self, version: int) -> None:
        if version != self._version:
            return
        self._carry_on()
        for attempt in [a for a in self.running if a.left <= 1e-5]:
            self.running.remove(attempt)
            self.tell.ended(attempt, AttemptOutcome.SERVED, self.load)
        self._fill()
        self._plan()

    def _fill(self) -> None:
        while self.queue and self._taken + self.queue[0].slots <= self.of.slots:
            attempt = self.queue.popleft()
            attempt.left, attempt.started = attempt.work, True
            self.running.append(attempt)
            self.tell.started(attempt)
            self.clock.after(PROGRESS, partial(self._progress, attempt))

    def _progress(self, attempt: Attempt) -> None:
        if attempt.open and attempt in self.running and self.reachable:
            if self.clock.now >= self.paused_until:
                self._carry_on()
                self.tell.progress(attempt, 1 - max(attempt.left, 0.0) / attempt.work)
            self.clock.after(PROGRESS, partial(self._progress, attempt))

    # ---- what happens to it --------------------------------------------------------------------------------

    def arrive(self, attempt: Attempt) -> None:
        if not attempt.open or not self.reachable or self.hung:
            return  # given up, lost on the way, or taken for ever: its sender finds out by time
        if self.state != WorkerState.READY or len(self.queue) >= QUEUE_PER_CORE * self.of.cores:
            self.tell.ended(attempt, AttemptOutcome.REJECTED, self.load)
        elif self.fails_fast:
            self.clock.after(
                FAIL_FAST, partial(self.tell.ended, attempt, AttemptOutcome.SERVER_ERROR, self.load)
            )
        else:
            if self.warmth(self.clock.now) < 1.0:
                self._weigh(attempt)
            self._carry_on()
            self.queue.append(attempt)
            self._fill()
            self._plan()

    def _weigh(self, attempt: Attempt) -> None:
        now = self.clock.now
        self._sent.append((now, attempt.expected))
        while self._sent[0][0] < now - WINDOW:
            self._sent.popleft()
        present = self.of.cores * self.speed * self.warmth(now)
        part = sum(work for _, work in self._sent) / (FALL * present * WINDOW)
        self.most_sent = max(self.most_sent, part)

    def slow(self, pace: float) -> None:
        self._carry_on()
        self.slowed = pace
        self._plan()

    def stall(self, seconds: float) -> None:
        self._carry_on()
        self.paused_until = max(self.paused_until, self.clock.now + seconds)
        self._plan()

    def hang(self) -> None:
        self._carry_on()
        self.hung, self.running = True, []
        self.queue.clear()

    def drain(self) -> None:
        """Complete what runs, hand back what waits, take nothing new."""
        self.state = WorkerState.DRAINING
        waiting, self.queue = self.queue, deque()
        for attempt in waiting:
            self.tell.ended(attempt, AttemptOutcome.REJECTED, {"x0": 0.0})

    def lose(self) -> None:
        """The machine is cut off: what it held breaks, and nobody hears from it any more."""
        self._carry_on()
        self.reachable, self.state = False, WorkerState.GONE
        held, self.running, self.queue = [*self.running, *self.queue], [], deque()
        self._plan()
        for attempt in held:
            self.tell.ended(attempt, AttemptOutcome.CONNECTION_LOST, None)

    def start(self, cold_for: float) -> None:
        """Up again, or for the first time, and cold."""
        self.reachable, self.state = True, WorkerState.READY
        self.started_at, self.cold_for = self.clock.now, cold_for
        self._sent.clear()

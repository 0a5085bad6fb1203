"""Workers: slots and cores, a queue, cold starts, stalls, drains, load reports that lag."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ...policy.interface import AttemptOutcome, WorkerState
from .clock import Clock
from .plan import WorkerKind

QUEUE_PER_CORE = 12
# Between notices of a running job.
PROGRESS_INTERVAL_S = 1.0
# After which a worker computes its progress anew at the latest: it warms up meanwhile.
MAX_STEP_S = 0.5
# Multiple of its present capacity for so many seconds that overloads a cold worker.
OVERLOAD_MULTIPLE = 4.0
OVERLOAD_WINDOW_S = 1.5
# In which a worker that fails fast answers.
FAIL_FAST_S = 0.02
# Work left, in seconds of a standard core, that counts as none.
WORK_EPSILON = 1e-5


@dataclass(eq=False)
class Attempt:
    """One attempt at one worker. `owner` is who sent it.

    Attributes:
        expected_work: As nobody knows the true one.
        open: Whether its sender waits for the outcome.
    """

    owner: object
    number: int
    worker: FakeWorker
    sent_at: float
    work: float
    expected_work: float
    open: bool = True
    started: bool = False
    work_left: float = 0.0
    slots: int = 1


@dataclass
class WorkerCallbacks:
    """What a worker calls as a job starts, goes on, and ends."""

    started: Callable[[Attempt], object]
    progress: Callable[[Attempt, float], object]
    ended: Callable[[Attempt, AttemptOutcome, dict[str, float] | None], object]


@dataclass(eq=False)
class FakeWorker:
    """One worker: slots, cores that they share, and a queue.

    Attributes:
        started_at: 0: long ago.
        cold_for: Seconds that it takes to warm up.
        cold_share: Of its speed, as it starts.
        pace: Beside its own, while something that all share is short.
        unreachable_silently: Nothing comes in and nothing goes out, though it works on.
        hung: It takes jobs, and never starts or ends one.
        work_done: In seconds of a standard core.
        peak_cold_load: Work sent while cold in any window, as a part of what overloads it.
    """

    clock: Clock
    random: random.Random
    callbacks: WorkerCallbacks
    id: int
    kind: int
    worker_kind: WorkerKind
    zone: int
    cell: int
    speed: float
    state: WorkerState = WorkerState.READY
    reachable: bool = True
    started_at: float = 0.0
    cold_for: float = 0.0
    cold_share: float = 0.45
    fails_fast: bool = False
    paused_until: float = 0.0
    pace: float = 1.0
    unreachable_silently: bool = False
    hung: bool = False
    running: list[Attempt] = field(default_factory=list)
    queue: deque[Attempt] = field(default_factory=deque)
    work_done: float = 0.0
    peak_cold_load: float = 0.0
    _cold_sends: deque[tuple[float, float]] = field(default_factory=deque)
    _advanced_at: float = 0.0
    _step_version: int = 0  # of its next step: earlier ones are void
    _reported_free_slots: float = 0.0
    _reported_queue_depth: float = 0.0

    def __post_init__(self) -> None:
        self._reported_free_slots = float(self.worker_kind.slots)
        self.clock.after(self.random.uniform(0, 1), partial(self._report, self.random.uniform(0.43, 1.1)))

    def _report(self, period: float) -> None:
        free, depth = float(self.worker_kind.slots - self._slots_in_use), float(len(self.queue))
        self.clock.after(self.random.uniform(0.05, 0.44), partial(self._publish_report, free, depth))
        if self.state != WorkerState.GONE:
            self.clock.after(period, partial(self._report, period))

    def _publish_report(self, free: float, depth: float) -> None:
        self._reported_free_slots, self._reported_queue_depth = free, depth

    @property
    def load(self) -> dict[str, float]:
        """Its last load report; it lags behind."""
        return {"x0": self._reported_free_slots, "depth": self._reported_queue_depth}

    @property
    def _slots_in_use(self) -> int:
        return sum(attempt.slots for attempt in self.running)

    # ---- capacity ------------------------------------------------------------------------------------------

    def warmth(self, at: float) -> float:
        """Return the part of its speed that it has at a time."""
        if at >= self.started_at + self.cold_for:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0.0, at - self.started_at) / self.cold_for

    def _work_rate(self, at: float) -> float:
        """Work a second that each running job gets."""
        return (
            self.speed * self.pace * self.warmth(at) * min(1.0, self.worker_kind.cores / self._slots_in_use)
        )

    def _advance(self) -> None:
        now = self.clock.now
        passed = now - max(self._advanced_at, min(self.paused_until, now))
        if self.running and passed > 0:
            done = self._work_rate(now - passed / 2) * passed
            for attempt in self.running:
                attempt.work_left -= done
            self.work_done += done * self._slots_in_use
        self._advanced_at = now

    def _schedule_step(self) -> None:
        self._step_version += 1
        if self.running:
            least = max(0.0, min(a.work_left for a in self.running)) / self._work_rate(self.clock.now + 0.1)
            wait = max(0.0, self.paused_until - self.clock.now) + least
            self.clock.after(min(wait, MAX_STEP_S) + 1e-6, partial(self._step, self._step_version))

    def _step(self, version: int) -> None:
        if version != self._step_version:
            return
        self._advance()
        for attempt in [a for a in self.running if a.work_left <= WORK_EPSILON]:
            self.running.remove(attempt)
            self.callbacks.ended(attempt, AttemptOutcome.SERVED, self.load)
        self._start_queued()
        self._schedule_step()

    def _start_queued(self) -> None:
        while self.queue and self._slots_in_use + self.queue[0].slots <= self.worker_kind.slots:
            attempt = self.queue.popleft()
            attempt.work_left, attempt.started = attempt.work, True
            self.running.append(attempt)
            self.callbacks.started(attempt)
            self.clock.after(PROGRESS_INTERVAL_S, partial(self._progress, attempt))

    def _progress(self, attempt: Attempt) -> None:
        if attempt.open and attempt in self.running and self.reachable:
            if self.clock.now >= self.paused_until:
                self._advance()
                self.callbacks.progress(attempt, 1 - max(attempt.work_left, 0.0) / attempt.work)
            self.clock.after(PROGRESS_INTERVAL_S, partial(self._progress, attempt))

    # ---- what happens to it --------------------------------------------------------------------------------

    def arrive(self, attempt: Attempt) -> None:
        """Take a job, queue it or reject it."""
        if not attempt.open or not self.reachable or self.hung:
            return  # given up, lost on the way, or taken for ever: its sender finds out by time
        if self.state != WorkerState.READY or len(self.queue) >= QUEUE_PER_CORE * self.worker_kind.cores:
            self.callbacks.ended(attempt, AttemptOutcome.REJECTED, self.load)
        elif self.fails_fast:
            self.clock.after(
                FAIL_FAST_S, partial(self.callbacks.ended, attempt, AttemptOutcome.SERVER_ERROR, self.load)
            )
        else:
            if self.warmth(self.clock.now) < 1.0:
                self._note_cold_send(attempt)
            self._advance()
            self.queue.append(attempt)
            self._start_queued()
            self._schedule_step()

    def _note_cold_send(self, attempt: Attempt) -> None:
        now = self.clock.now
        self._cold_sends.append((now, attempt.expected_work))
        while self._cold_sends[0][0] < now - OVERLOAD_WINDOW_S:
            self._cold_sends.popleft()
        present = self.worker_kind.cores * self.speed * self.warmth(now)
        part = sum(work for _, work in self._cold_sends) / (OVERLOAD_MULTIPLE * present * OVERLOAD_WINDOW_S)
        self.peak_cold_load = max(self.peak_cold_load, part)

    def set_pace(self, pace: float) -> None:
        """Work at so many times its own speed from now on."""
        self._advance()
        self.pace = pace
        self._schedule_step()

    def stall(self, seconds: float) -> None:
        """Do nothing for so many seconds."""
        self._advance()
        self.paused_until = max(self.paused_until, self.clock.now + seconds)
        self._schedule_step()

    def hang(self) -> None:
        """Lose what it has, and take jobs without starting them from now on."""
        self._advance()
        self.hung, self.running = True, []
        self.queue.clear()

    def drain(self) -> None:
        """Complete what runs, reject what is queued, take nothing new."""
        self.state = WorkerState.DRAINING
        waiting, self.queue = self.queue, deque()
        for attempt in waiting:
            self.callbacks.ended(attempt, AttemptOutcome.REJECTED, {"x0": 0.0})

    def cut_off(self) -> None:
        """Lose the machine: connections break, and nobody hears from it any more."""
        self._advance()
        self.reachable, self.state = False, WorkerState.GONE
        held, self.running, self.queue = [*self.running, *self.queue], [], deque()
        self._schedule_step()
        for attempt in held:
            self.callbacks.ended(attempt, AttemptOutcome.CONNECTION_LOST, None)

    def start(self, cold_for: float) -> None:
        """Be up again, or for the first time, and cold."""
        self.reachable, self.state = True, WorkerState.READY
        self.started_at, self.cold_for = self.clock.now, cold_for
        self._cold_sends.clear()

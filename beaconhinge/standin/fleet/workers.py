"""Simulated workers with slots, cores, a queue, cold starts, stalls, drains and delayed load reports."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ...policy.interface import AttemptOutcome, WorkerState
from .clock import Clock
from .plan import WorkerKind

# Jobs for each core that a worker queues before it rejects more.
QUEUE_PER_CORE = 12
# Seconds between progress notices of a running job.
PROGRESS_INTERVAL_S = 1.0
# Longest time in seconds between two computations of progress, since the speed changes during warm-up.
MAX_STEP_S = 0.5
# A cold worker is overloaded by this multiple of its current capacity within this many seconds.
OVERLOAD_MULTIPLE = 4.0
OVERLOAD_WINDOW_S = 1.5
# Seconds until a worker that fails fast answers with a server error.
FAIL_FAST_S = 0.02
# A job is done when its remaining work, in seconds of a standard core, is at most this.
WORK_EPSILON = 1e-5


@dataclass(eq=False)
class Attempt:
    """One attempt of a request at one worker. Work is in seconds of a standard core.

    Attributes:
        owner: The request that the attempt belongs to.
        number: Index of the attempt in its request.
        sent_at: Time in seconds at which the dispatcher sent it.
        work: The work that the attempt really takes, which the dispatcher does not know.
        expected_work: The mean work of the job's class, times its slots.
        open: Whether the sender still waits for the outcome.
        started: Whether the worker has started the job, or may have.
        work_left: Remaining work of a started job.
        slots: Slots that the job takes at the worker.
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
    """Functions that a worker calls when a job starts, makes progress (with the share done) and ends."""

    started: Callable[[Attempt], object]
    progress: Callable[[Attempt, float], object]
    ended: Callable[[Attempt, AttemptOutcome, dict[str, float] | None], object]


@dataclass(eq=False)
class FakeWorker:
    """One worker with slots, cores shared by the running jobs, and a queue.

    Attributes:
        kind_index: Index of `worker_kind` in the site's kinds.
        speed: Of one core, as a multiple of a standard core's.
        reachable: Whether the machine is up; connections to it fail otherwise.
        started_at: Time of its last start in seconds; 0 if it started long ago.
        warm_up_s: Seconds from its start until it has its full speed.
        cold_speed_share: Share of its full speed that it has when it starts.
        fails_fast: Whether it answers every new job with a server error at once.
        paused_until: Time in seconds until which it is stalled.
        speed_factor: Multiple of its own speed, below 1 while a resource that all workers share is short.
        unreachable_silently: Whether all its messages are lost in both directions, while it works on.
        hung: Whether it accepts jobs but never starts or ends one.
        work_done: Seconds of a standard core.
        peak_cold_load: Most work sent to it while cold within one window, as a share of what overloads it.
    """

    clock: Clock
    random: random.Random
    callbacks: WorkerCallbacks
    id: int
    kind_index: int
    worker_kind: WorkerKind
    zone: int
    cell: int
    speed: float
    state: WorkerState = WorkerState.READY
    reachable: bool = True
    started_at: float = 0.0
    warm_up_s: float = 0.0
    cold_speed_share: float = 0.45
    fails_fast: bool = False
    paused_until: float = 0.0
    speed_factor: float = 1.0
    unreachable_silently: bool = False
    hung: bool = False
    running: list[Attempt] = field(default_factory=list)
    queue: deque[Attempt] = field(default_factory=deque)
    work_done: float = 0.0
    peak_cold_load: float = 0.0
    _cold_sends: deque[tuple[float, float]] = field(default_factory=deque)
    _advanced_at: float = 0.0
    _step_version: int = 0  # steps scheduled with an earlier version are ignored
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
        """The last published load report (free slots and queue length), which lags behind the real load."""
        return {"x0": self._reported_free_slots, "depth": self._reported_queue_depth}

    @property
    def _slots_in_use(self) -> int:
        return sum(attempt.slots for attempt in self.running)

    # ---- capacity ------------------------------------------------------------------------------------------

    def speed_share(self, at: float) -> float:
        """Return the share of its full speed that the worker has at a time; below 1 during warm-up."""
        if at >= self.started_at + self.warm_up_s:
            return 1.0
        return (
            self.cold_speed_share
            + (1 - self.cold_speed_share) * max(0.0, at - self.started_at) / self.warm_up_s
        )

    def _work_rate(self, at: float) -> float:
        """Return the work that each running job gets done per second, in seconds of a standard core."""
        return (
            self.speed
            * self.speed_factor
            * self.speed_share(at)
            * min(1.0, self.worker_kind.cores / self._slots_in_use)
        )

    def _advance(self) -> None:
        now = self.clock.now
        elapsed_s = now - max(self._advanced_at, min(self.paused_until, now))
        if self.running and elapsed_s > 0:
            done = self._work_rate(now - elapsed_s / 2) * elapsed_s
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

    # ---- jobs and faults -----------------------------------------------------------------------------------

    def arrive(self, attempt: Attempt) -> None:
        """Queue a job that has arrived, reject it, or fail it at once if the worker fails fast."""
        if not attempt.open or not self.reachable or self.hung:
            return  # cancelled, lost, or never answered: a sender that still waits detects it by a timeout
        if self.state != WorkerState.READY or len(self.queue) >= QUEUE_PER_CORE * self.worker_kind.cores:
            self.callbacks.ended(attempt, AttemptOutcome.REJECTED, self.load)
        elif self.fails_fast:
            self.clock.after(
                FAIL_FAST_S, partial(self.callbacks.ended, attempt, AttemptOutcome.SERVER_ERROR, self.load)
            )
        else:
            if self.speed_share(self.clock.now) < 1.0:
                self._record_cold_send(attempt)
            self._advance()
            self.queue.append(attempt)
            self._start_queued()
            self._schedule_step()

    def _record_cold_send(self, attempt: Attempt) -> None:
        now = self.clock.now
        self._cold_sends.append((now, attempt.expected_work))
        while self._cold_sends[0][0] < now - OVERLOAD_WINDOW_S:
            self._cold_sends.popleft()
        capacity = self.worker_kind.cores * self.speed * self.speed_share(now)
        load_share = sum(work for _, work in self._cold_sends) / (
            OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW_S
        )
        self.peak_cold_load = max(self.peak_cold_load, load_share)

    def set_speed_factor(self, speed_factor: float) -> None:
        """Run at this multiple of the worker's own speed from now on."""
        self._advance()
        self.speed_factor = speed_factor
        self._schedule_step()

    def stall(self, seconds: float) -> None:
        """Make no progress for this many seconds."""
        self._advance()
        self.paused_until = max(self.paused_until, self.clock.now + seconds)
        self._schedule_step()

    def hang(self) -> None:
        """Drop all running and queued jobs, and from now on accept jobs without ever starting them."""
        self._advance()
        self.hung, self.running = True, []
        self.queue.clear()

    def drain(self) -> None:
        """Complete the running jobs, reject the queued ones, and accept no new ones."""
        self.state = WorkerState.DRAINING
        waiting, self.queue = self.queue, deque()
        for attempt in waiting:
            self.callbacks.ended(attempt, AttemptOutcome.REJECTED, {"x0": 0.0})

    def crash(self) -> None:
        """Stop at once as a machine that fails: all connections break, and it becomes unreachable."""
        self._advance()
        self.reachable, self.state = False, WorkerState.GONE
        held, self.running, self.queue = [*self.running, *self.queue], [], deque()
        self._schedule_step()
        for attempt in held:
            self.callbacks.ended(attempt, AttemptOutcome.CONNECTION_LOST, None)

    def start(self, warm_up_s: float) -> None:
        """Start for the first time or again, cold, with full speed after `warm_up_s` seconds."""
        self.reachable, self.state = True, WorkerState.READY
        self.started_at, self.warm_up_s = self.clock.now, warm_up_s
        self._cold_sends.clear()

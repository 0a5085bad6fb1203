"""Checks the rules that dispatchers must keep, at each attempt, final answer and deadline in a run."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque

from ...policy.interface import Semantics
from .clock import Clock
from .entities import Request
from .plan import Site
from .workers import FakeWorker

# Seconds by which a deadline, drain or deduplication window may be exceeded, as in checks of runs on sockets.
TIMING_TOLERANCE_S = 0.05
# Seconds for which a dispatcher may still send jobs to a worker that its list shows as draining or gone.
DRAIN_GRACE_S = 0.4
# A worker counts as cold until this many seconds before the configured end of its slow start.
SLOW_START_END_SLACK_S = 0.1


class RuleChecker:
    """Collects descriptions of rule violations; a violation does not stop or change the run."""

    def __init__(self, clock: Clock, site: Site, counters: Counter[str]) -> None:
        self.clock = clock
        self.site = site
        self.counters = counters
        self.violations: list[str] = []
        # Time and work (in jobs of mean work) of each recent attempt to a cold worker by a dispatcher that
        # knew the worker's start time, by the worker's id and start time.
        self._cold_sends: defaultdict[tuple[int, float], deque[tuple[float, float]]] = defaultdict(deque)

    def check_send(self, request: Request, worker: FakeWorker) -> None:
        """Check an attempt that is about to be sent against the drain, repeat, count and cold-start rules."""
        self._check_drain(request, worker)
        self._check_repeat(request, worker)
        self._check_attempts(request, worker)
        self._check_cold(request, worker)

    def check_final(self, request: Request, refused: bool) -> None:
        """Check a rejection (`refused`) or a failure that a dispatcher gives as its final answer."""
        if request.answered:
            self.violations.append("a request got a second final answer")
        elif refused and not request.job.safe_to_repeat and request.may_have_run:
            self.violations.append("a job that is unsafe to repeat and may have run was refused")

    def check_deadline(self, request: Request) -> None:
        """Check that a request has its final answer; called when its deadline has passed."""
        if not request.answered and request.live:
            request.answered = True
            self.violations.append("a request got no answer by its deadline")

    def _check_drain(self, request: Request, worker: FakeWorker) -> None:
        since = request.node.draining_since.get(worker.id)
        if since is not None and self.clock.now > since + DRAIN_GRACE_S + TIMING_TOLERANCE_S:
            self.violations.append(
                f"an attempt was sent to a worker listed as draining {self.clock.now - since:.2f} s before"
            )

    def _check_repeat(self, request: Request, worker: FakeWorker) -> None:
        job_class = request.job.job_class
        may_have_run = [attempt for attempt in request.attempts if attempt.started or attempt.open]
        if not may_have_run:
            return
        first = may_have_run[0]
        if job_class.semantics == Semantics.DEDUPLICATED:
            outside_group = {
                "cell": first.worker.cell != worker.cell,
                "zone": first.worker.zone != worker.zone,
            }.get(job_class.group)
            too_late = self.clock.now > first.sent_at + job_class.deduplication_window_s + TIMING_TOLERANCE_S
            if outside_group or too_late:
                self.violations.append(
                    "a deduplicated job that may have run was sent again outside its group or window"
                )
        if job_class.semantics == Semantics.UNSAFE:
            self.violations.append("an unsafe job that may have run was sent again")

    def _check_attempts(self, request: Request, worker: FakeWorker) -> None:
        open_attempts = [attempt for attempt in request.attempts if attempt.open]
        if not self.site.may_duplicate and open_attempts:
            self.violations.append("a request has two open attempts where duplicates are not allowed")
        if len(request.attempts) >= self.site.max_attempts:
            self.violations.append("a request has more attempts than the site allows")
        if any(attempt.worker is worker for attempt in open_attempts):
            self.violations.append("a request has two open attempts at one worker")

    def _check_cold(self, request: Request, worker: FakeWorker) -> None:
        """Check how much work all dispatchers together send to a cold worker.

        The settings allow N jobs of mean work in each overload window. The limit is N + 2 * sqrt(N) + 2:
        dispatchers that keep the budget may exceed it by chance.
        """
        settings, now = request.node.dispatcher.settings, self.clock.now
        knows_start = request.node.dispatcher.workers[worker.id].started_at > 0
        cold_until = worker.started_at + settings.slow_start_s - SLOW_START_END_SLACK_S
        if not worker.started_at or now >= cold_until or not knows_start:
            return
        self.counters["cold_sends"] += 1
        mean_work = self.site.mean_work
        sent = self._cold_sends[worker.id, worker.started_at]
        sent.append((now, request.job.job_class.mean_work * request.job.slots / mean_work))
        while sent[0][0] < now - settings.overload_window_s:
            sent.popleft()
        ramp = (
            settings.slow_start_min_share
            + (1 - settings.slow_start_min_share) * (now - worker.started_at) / settings.slow_start_s
        )
        allowed = (
            settings.overload_multiple
            * ramp
            * settings.overload_window_s
            * worker.worker_kind.cores
            * worker.speed
            / mean_work
        )
        sent_work = sum(work for _, work in sent)
        if sent_work > allowed + 2 * math.sqrt(allowed) + 2:
            self.violations.append(
                f"a cold worker was sent {sent_work:.1f} jobs of mean work where {allowed:.1f} are allowed"
            )

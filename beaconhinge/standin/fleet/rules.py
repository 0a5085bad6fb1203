"""The rules that the simulated fleet is held to, checked as dispatchers send and answer."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque

from ...policy.interface import Semantics
from .clock import Clock
from .entities import Request
from .plan import Site
from .workers import FakeWorker

# Seconds, as the rules have them on sockets.
GRACE_S = 0.05
# Seconds after a worker began to drain in which it may still be sent jobs.
DRAIN_GRACE_S = 0.4
# Seconds before the configured end of slow start from which on a worker is not counted as cold.
SLOW_START_END_SLACK_S = 0.1


class RuleChecker:
    """Collects broken rules in words; they change nothing of what goes on."""

    def __init__(self, clock: Clock, site: Site, counters: Counter[str]) -> None:
        self.clock = clock
        self.site = site
        self.counters = counters
        self.broken: list[str] = []
        # What cold workers were sent by those that knew of their start: when, and work, by worker and start.
        self._cold_sends: defaultdict[tuple[int, float], deque[tuple[float, float]]] = defaultdict(deque)

    def check_send(self, request: Request, worker: FakeWorker) -> None:
        """Check an attempt that a dispatcher is about to send."""
        self._check_drain(request, worker)
        self._check_repeat(request, worker)
        self._check_attempts(request, worker)
        self._check_cold(request, worker)

    def check_final(self, request: Request, refused: bool) -> None:
        """Check a final answer without a result."""
        if request.answered:
            self.broken.append("a second final answer")
        elif refused and not request.job.safe_to_repeat and request.may_have_run:
            self.broken.append("a job was refused that may have run")

    def check_deadline(self, request: Request) -> None:
        """Check a request at its deadline."""
        if not request.answered and request.live:
            request.answered = True
            self.broken.append("a request without an answer at its deadline")

    def _check_drain(self, request: Request, worker: FakeWorker) -> None:
        since = request.node.draining_since.get(worker.id)
        if since is not None and self.clock.now > since + DRAIN_GRACE_S + GRACE_S:
            self.broken.append(f"a send to a worker known to drain for {self.clock.now - since:.2f} s")

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
            too_late = self.clock.now > first.sent_at + job_class.deduplication_window_s + GRACE_S
            if outside_group or too_late:
                self.broken.append("a keyed job that may have run was sent out of its group, or too late")
        if job_class.semantics == Semantics.UNSAFE:
            self.broken.append("a fragile job that may have run was sent again")

    def _check_attempts(self, request: Request, worker: FakeWorker) -> None:
        open_attempts = [attempt for attempt in request.attempts if attempt.open]
        if not self.site.may_duplicate and open_attempts:
            self.broken.append("two attempts out of one request")
        if len(request.attempts) >= self.site.attempts:
            self.broken.append("more attempts than are allowed")
        if any(attempt.worker is worker for attempt in open_attempts):
            self.broken.append("two attempts of one request at one worker")

    def _check_cold(self, request: Request, worker: FakeWorker) -> None:
        """Check what all dispatchers together send to a cold worker.

        Beyond the N jobs of mean work that the settings allow in the time that they name, twice the root of N
        and 2 are chance.
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
        got = sum(work for _, work in sent)
        if got > allowed + 2 * math.sqrt(allowed) + 2:
            self.broken.append(
                f"a cold worker got {got:.1f} jobs of mean work where {allowed:.1f} are allowed"
            )

"""Probes: short requests for a worker's health or its load."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..dispatch.policy_runner import PolicyRunner
from ..membership.inventory import WorkerEndpoint
from ..policy import interface
from ..policy.interface import AttemptOutcome
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Message
from .load_reports import LoadReportParser

HEALTH_TARGET = b"/alive"
LOAD_TARGET = b"/metrics/load"
STATUS_OK = 200

Exchange = Callable[[WorkerEndpoint, str, bytes], Awaitable[Message | AttemptOutcome]]


class Prober:
    """Sends the probes that the policy requests, and feeds it their results."""

    def __init__(
        self,
        find_host: Callable[[int], WorkerEndpoint | None],
        exchange: Exchange,
        load_reports: LoadReportParser,
        policy_runner: PolicyRunner,
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        """Create a prober and register it with the policy runner.

        Args:
            find_host: Returns the listed worker with that number, or None.
            exchange: Sends a short request (method and target) to a worker.
            load_reports: Parses the answers.
            policy_runner: Receives the results.
            timers: Provides the clock.
            metrics: Counts the probes.
        """
        self.find_host = find_host
        self.exchange = exchange
        self.load_reports = load_reports
        self.policy_runner = policy_runner
        self.timers = timers
        self.metrics = metrics
        policy_runner.action_handlers[interface.ProbeWorker] = lambda action: metrics.spawn(
            self.probe(action.worker), "probe"
        )

    async def probe(self, number: int) -> None:
        """Probe the worker with that number; an unlisted worker counts as NO_CONNECTION."""
        host, sent_at = self.find_host(number), self.timers.now()
        outcome, load = AttemptOutcome.NO_CONNECTION, None
        if host is not None:
            target = LOAD_TARGET if self.load_reports.enabled else HEALTH_TARGET
            answer = await self.exchange(host, "GET", target)
            if isinstance(answer, AttemptOutcome):
                outcome = answer
            else:
                outcome = AttemptOutcome.SERVED if answer.status == STATUS_OK else AttemptOutcome.SERVER_ERROR
                load = self.load_reports.parse(answer.body.decode("latin-1") or None)
        self.metrics.count("probes")
        self.policy_runner.feed(interface.ProbeResult(number, outcome, self.timers.now() - sent_at, load))

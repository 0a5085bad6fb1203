"""Reports of demand and slots in use to the dispatchers of the group, at an interval that limits traffic."""

from ..gossip import codec
from ..gossip.aggregation import GossipNode
from ..gossip.peers import REPORTS_SMOOTHED
from . import interface
from .admission import Admission
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .work_estimates import WorkEstimates
from .workers import WorkerTable

REPORT_INTERVAL_S = 0.5
"""Seconds between reports, before jitter, which keeps the dispatchers' timers out of step."""

MAX_REPORT_INTERVAL_S = 8.0

REPORT_BYTES_PER_JOB = 40
"""Wanted number of delivered report bytes for each own job."""

MIN_REPORTED_SLOTS = 0.5
"""Workers on which this dispatcher uses fewer slots are left out of a report."""


class PeerReports:
    """Reports this dispatcher's demand, limits and slots in use to its peers.

    Attributes:
        interval_s: Seconds between reports, before jitter.
        reported_at: Time in seconds of the last report.
        smoothing_since: Time in seconds from which on demand is smoothed.
    """

    def __init__(
        self,
        context: Context,
        gossip: GossipNode,
        workers: WorkerTable,
        admission: Admission,
        limits: ConcurrencyLimits,
        estimates: WorkEstimates,
    ) -> None:
        """Keep the components whose counts are reported."""
        self._context = context
        self._gossip = gossip
        self._workers = workers
        self._admission = admission
        self._limits = limits
        self._estimates = estimates
        self.interval_s = REPORT_INTERVAL_S
        self.reported_at = 0.0
        self.smoothing_since = 0.0

    def start(self) -> None:
        """Take the current time as the start of the first report interval."""
        self.smoothing_since = self.reported_at = self._context.now

    def announce_bucket(self) -> None:
        """Report a new bucket at once, but in a large group only when a report is due."""
        if self._context.settings.peer_messages and (
            not self._context.large_group or self._context.now - self.reported_at >= self.interval_s
        ):
            self.report()

    def report(self) -> None:
        """Send the counts to peers and reset them. In a large group, adapt the interval to the bytes sent."""
        span = self._context.now - self.reported_at
        entries = self._admission.usage_since_report()
        delivered = self._gossip.send_report(self._own_report(span, entries))
        if self._context.large_group:
            work = sum(allowed + denied for _, _, allowed, denied in entries)
            jobs = work / self._estimates.mean_work
            target_interval_s = delivered * span / (REPORT_BYTES_PER_JOB * max(jobs, 0.5))
            new_interval_s = max(REPORT_INTERVAL_S, (self.interval_s + target_interval_s) / 2)
            self.interval_s = min(new_interval_s, MAX_REPORT_INTERVAL_S)
        self.reported_at = self._context.now
        memory = min(REPORTS_SMOOTHED * self.interval_s, self._context.now - span - self.smoothing_since)
        self._admission.roll_report_window(span, memory)

    def next_interval_s(self) -> float:
        """Seconds until the next report, with random jitter."""
        return self.interval_s * (0.75 + 0.5 * self._context.random.random())

    def flush_gossip(self) -> None:
        """Send the gossip messages that wait in the outbox."""
        gossip = self._gossip
        gossip.advance(self._context.now)
        if gossip.wants_report:
            gossip.wants_report = False
            gossip.send_report(
                self._own_report(0.0, []), -1 if gossip.aggregator is None else gossip.aggregator
            )
        self._context.actions += [interface.SendToPeer(payload, number) for number, payload in gossip.outbox]
        gossip.outbox.clear()

    def _own_report(self, span: float, entries: list[codec.BucketUsage]) -> codec.DemandReport:
        used_workers = [w for w in self._workers.by_id.values() if w.in_flight >= MIN_REPORTED_SLOTS]
        in_flight = [(w.key, round(w.in_flight)) for w in used_workers]
        return codec.DemandReport(0, 0, span, entries, list(self._limits.by_kind.items()), in_flight)

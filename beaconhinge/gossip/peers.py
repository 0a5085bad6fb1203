"""What is known of each dispatcher that is heard directly."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from . import codec

INF = float("inf")

# Reports over which demand is smoothed, so that a lost one moves it little.
REPORTS_SMOOTHED = 4


@dataclass(slots=True)
class Peer:
    """Another dispatcher of the group: its last message, its demand and its attempts in flight.

    Attributes:
        heard: When its last message came.
        known: Seconds that its reports cover, up to the time over which demand is smoothed.
        span: Seconds between its reports.
        demand: Work per second that it is asked for, by tenant and class.
        admitted: Work per second that it admits.
        out: Slots in flight by key of a worker, where its deltas come here.
    """

    incarnation: int = -1
    sequence: int = 0
    heard_at: float = -INF
    covered_s: float = 0.0
    report_interval_s: float = 0.0
    demand: dict[tuple[int, int], float] = field(default_factory=dict)
    admitted: float = 0.0
    in_flight: Counter[int] = field(default_factory=Counter)

    def take_report(self, report: codec.DemandReport, min_interval: float) -> None:
        """Fold a report into the smoothed rates; reports come `min_interval` seconds apart at least."""
        covered = max(self.covered_s + report.span_s, 1e-3)
        self.demand = {key: rate * self.covered_s / covered for key, rate in self.demand.items()}
        for tenant, cls, allowed, denied in report.buckets:
            self.demand[tenant, cls] = self.demand.get((tenant, cls), 0.0) + (allowed + denied) / covered
        admitted = sum(allowed for _, _, allowed, _ in report.buckets)
        self.admitted = smoothed_rate(self.admitted, admitted, report.span_s, self.covered_s)
        self.report_interval_s = max(min_interval, report.span_s)
        self.covered_s = min(REPORTS_SMOOTHED * self.report_interval_s, self.covered_s + report.span_s)


def smoothed_rate(old: float, count: float, span: float, memory: float) -> float:
    """Fold `count` seen in `span` seconds into a rate smoothed over `memory`; robust to very short spans."""
    return (old * memory + count) / max(memory + span, 1e-3)

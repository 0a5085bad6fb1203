"""State of each dispatcher of the group, from the messages that it sends directly."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from . import codec

INF = float("inf")

# The number of report intervals over which demand is smoothed, so that a lost report changes it little.
REPORTS_SMOOTHED = 4


@dataclass(slots=True)
class Peer:
    """Another dispatcher of the group: its last message, its demand and its attempts in flight.

    Attributes:
        incarnation: The incarnation of its process; -1 if none is known.
        sequence: The sequence number of its last message.
        heard_at: When its last message was received.
        covered_s: Seconds that its reports cover, up to the time over which demand is smoothed.
        report_interval_s: Seconds between its reports.
        demand: Work per second that clients request from it, by tenant and class.
        admitted: Work per second that it admits.
        in_flight: Slots that it has in flight by worker key, if it sends its deltas to this dispatcher.
    """

    incarnation: int = -1
    sequence: int = 0
    heard_at: float = -INF
    covered_s: float = 0.0
    report_interval_s: float = 0.0
    demand: dict[tuple[int, int], float] = field(default_factory=dict)
    admitted: float = 0.0
    in_flight: Counter[int] = field(default_factory=Counter)

    def apply_report(self, report: codec.DemandReport, min_interval_s: float) -> None:
        """Add a report to the smoothed rates.

        Args:
            report: The report.
            min_interval_s: The shortest time between two reports.
        """
        covered_s = max(self.covered_s + report.span_s, 1e-3)
        self.demand = {key: rate * self.covered_s / covered_s for key, rate in self.demand.items()}
        for tenant, cls, allowed, denied in report.buckets:
            self.demand[tenant, cls] = self.demand.get((tenant, cls), 0.0) + (allowed + denied) / covered_s
        admitted = sum(allowed for _, _, allowed, _ in report.buckets)
        self.admitted = smoothed_rate(self.admitted, admitted, report.span_s, self.covered_s)
        self.report_interval_s = max(min_interval_s, report.span_s)
        self.covered_s = min(REPORTS_SMOOTHED * self.report_interval_s, self.covered_s + report.span_s)


def smoothed_rate(old: float, count: float, span_s: float, memory_s: float) -> float:
    """Return a smoothed rate per second, updated by a count; very short spans do not distort it.

    Args:
        old: The rate so far.
        count: What was counted in the last `span_s` seconds.
        span_s: The time that the count covers.
        memory_s: The time before it that the old rate covers.
    """
    return (old * memory_s + count) / max(memory_s + span_s, 1e-3)

"""What is known of each dispatcher that is heard directly."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from . import codec

INF = float("inf")

# Reports over which demand is smoothed, so that a lost one moves it little.
MEMORY = 4


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
    heard: float = -INF
    known: float = 0.0
    span: float = 0.0
    demand: dict[tuple[int, int], float] = field(default_factory=dict)
    admitted: float = 0.0
    out: Counter[int] = field(default_factory=Counter)

    def take_report(self, report: codec.Report, min_interval: float) -> None:
        """Fold a report into the smoothed rates; reports come `min_interval` seconds apart at least."""
        covered = max(self.known + report.span, 1e-3)
        self.demand = {key: rate * self.known / covered for key, rate in self.demand.items()}
        for tenant, cls, allowed, denied in report.buckets:
            self.demand[tenant, cls] = self.demand.get((tenant, cls), 0.0) + (allowed + denied) / covered
        admitted = sum(allowed for _, _, allowed, _ in report.buckets)
        self.admitted = smooth(self.admitted, admitted, report.span, self.known)
        self.span = max(min_interval, report.span)
        self.known = min(MEMORY * self.span, self.known + report.span)


def smooth(old: float, count: float, span: float, memory: float) -> float:
    """Fold `count` seen in `span` seconds into a rate smoothed over `memory`; robust to very short spans."""
    return (old * memory + count) / max(memory + span, 1e-3)

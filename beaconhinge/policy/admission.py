"""Admission: a fleet rate that falls when workers are full and rises again (AIMD), shared out to tenants."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..gossip import codec
from ..gossip.aggregation import GossipNode
from ..gossip.peers import smoothed_rate
from . import interface
from .context import INF, Context
from .fair_shares import max_min_shares
from .quotas import BURST_S
from .work_estimates import WorkEstimates

CONTROL_INTERVAL_S = 1.0
"""Seconds between changes of the fleet rate: a cut must show before the next."""

RATE_DECREASE_FACTOR = 0.9
"""Factor of a cut of the fleet rate."""

RATE_INCREASE_SHARE = 0.1
"""Share by which the fleet rate rises: it must come back as fast as it went."""

MAX_REJECTED_SHARE = 0.1
"""Share of sends rejected that cuts the rate: above chance, far below waste."""

MIN_REJECTIONS = 3
"""Rejections under which the rate is not cut."""

UNLIMITED_ABOVE = 1.2
"""The rate is lifted once it is that many times the demand."""

BURST_MEAN_JOBS = 4.0
"""Mean jobs that a bucket holds at least."""

MIN_RATE = 1e-6
MIN_ADMITTED = 1e-3
MIN_INTERVAL_S = 0.1

BucketKey = tuple[int, int]
"""Tenant and class."""


@dataclass(slots=True)
class TenantBucket:
    """Work of one tenant in one class. Rates are in work a second."""

    allowed: float = 0.0  # work since the last report
    denied: float = 0.0
    demand: float = 0.0  # smoothed
    admitted: float = 0.0
    tokens: float = 0.0
    rate: float = INF


class Admission:
    """Buckets of tenants and the rate of the fleet.

    Attributes:
        buckets: By tenant and class.
        fleet_rate: Work a second that the fleet admits; infinite while there is no cut.
        demand_share: This dispatcher's part of the fleet's demand.
        sends: Attempts in this control interval.
        rejections: Those of them that found a worker full.
        send_rate: Attempts a second of all dispatchers.
        adjusted_at: When the fleet rate was last adjusted.
        refilled_at: When tokens were last added.
    """

    def __init__(self, context: Context, gossip: GossipNode, estimates: WorkEstimates) -> None:
        """Start without a cut."""
        self._context = context
        self._gossip = gossip
        self._estimates = estimates
        self.buckets: dict[BucketKey, TenantBucket] = {}
        self.fleet_rate = INF
        self.demand_share = 1 / context.settings.group_size
        self.sends = 0
        self.rejections = 0
        self.send_rate = 0.0
        self.adjusted_at = 0.0
        self.refilled_at = 0.0

    @property
    def fleet_full(self) -> bool:
        """Whether the fleet rate is cut."""
        return self.fleet_rate < INF

    def start(self) -> None:
        """Count time from now on."""
        self.adjusted_at = self.refilled_at = self._context.now

    def get_or_add_bucket(self, tenant: int, class_index: int) -> tuple[TenantBucket, bool]:
        """The bucket of a tenant and class, and whether it is new."""
        bucket = self.buckets.get((tenant, class_index))
        if bucket is not None:
            return bucket, False
        bucket = self.buckets[tenant, class_index] = TenantBucket()
        return bucket, True

    def admit(self, bucket: TenantBucket, cost: float) -> bool:
        """Take the cost of a job from its bucket, or refuse it."""
        if bucket.rate < INF and bucket.tokens <= 0:
            bucket.denied += cost
            return False
        bucket.tokens -= cost
        bucket.allowed += cost
        return True

    def max_tokens(self, rate: float) -> float:
        """Most work that a bucket of that rate holds."""
        return max(BURST_S * rate, BURST_MEAN_JOBS * self._estimates.mean_work)

    def refill(self) -> float:
        """Add tokens. Returns the seconds since the last time."""
        passed = self._context.now - self.refilled_at
        self.refilled_at = self._context.now
        if self.fleet_full:
            for bucket in self.buckets.values():
                if bucket.rate < INF:
                    level = bucket.tokens + passed * bucket.rate
                    bucket.tokens = min(level, self.max_tokens(bucket.rate))
        if not self._context.large_group:
            self.demand_share = self.own_demand_share(self.total_demand())
        return passed

    def total_demand(self) -> dict[BucketKey, float]:
        """Demand of the fleet in work a second."""
        return self._gossip.fleet_demand({key: bucket.demand for key, bucket in self.buckets.items()})

    def own_demand_share(self, demand: Mapping[BucketKey, float]) -> float:
        """This dispatcher's part of the fleet by recent demand; one Nth until all peers have reported."""
        own = sum(b.demand for b in self.buckets.values())
        if own <= 0 or not self._gossip.all_peers_heard:
            return 1 / self._context.settings.group_size
        return own / sum(demand.values())

    def adjust_fleet_rate(self) -> None:
        """Once an interval: cut the fleet rate if too many sends found workers full, else let it rise."""
        own, peers = self.buckets.values(), self._gossip.peers.values()
        admitted = self._gossip.fleet_scale * (sum(b.admitted for b in own) + sum(p.admitted for p in peers))
        demand = self.total_demand()
        if self.rejections >= MIN_REJECTIONS and self.rejections > MAX_REJECTED_SHARE * self.sends:
            self.fleet_rate = RATE_DECREASE_FACTOR * min(self.fleet_rate, max(admitted, MIN_ADMITTED))
            cut = f"fleet rate cut to {self.fleet_rate:.2f}"
            text = f"{cut} after {self.rejections} full of {self.sends}"
            self._context.actions.append(interface.LogMessage(text))
        elif self.fleet_full and self.rejections <= 0:
            self.fleet_rate += RATE_INCREASE_SHARE * max(admitted, self.fleet_rate)
            if self.fleet_rate > UNLIMITED_ABOVE * sum(demand.values()):
                self.fleet_rate = INF
        self.demand_share = self.own_demand_share(demand)
        interval = max(self._context.now - self.adjusted_at, MIN_INTERVAL_S)
        self.send_rate = self._gossip.peer_weight * self._gossip.sends / interval
        self.sends = self.rejections = self._gossip.sends = 0
        self.adjusted_at = self._context.now
        self.allocate_rates(demand)

    def allocate_rates(self, demand: Mapping[BucketKey, float]) -> None:
        """Share the fleet rate out by max-min fairness.

        Tenants get it by their shares, unused share lent; dispatchers get their parts of that by demand.
        """
        for bucket in self.buckets.values():
            if INF in (self.fleet_rate, bucket.rate):
                bucket.rate, bucket.tokens = INF, 0.0
        if not self.fleet_full:
            return
        tenants = self._context.settings.tenants
        wanted = [sum(rate for key, rate in demand.items() if key[0] == t) for t in range(len(tenants))]
        parts = max_min_shares(self.fleet_rate, wanted, [t.share for t in tenants])
        for key, bucket in self.buckets.items():
            tenant = key[0]
            share = bucket.demand / demand[key] if demand[key] > 0 else 0.0
            if not self._gossip.all_peers_heard:
                share = min(share, 1 / self._context.settings.group_size)
            part = parts[tenant] * demand[key] / wanted[tenant] if wanted[tenant] > 0 else 0.0
            bucket.rate = max(part * share, MIN_RATE)

    def entries(self) -> list[codec.BucketUsage]:
        """Tenant, class, work allowed and work denied since the last report, where there was any."""
        return [
            codec.BucketUsage(*key, bucket.allowed, bucket.denied)
            for key, bucket in self.buckets.items()
            if bucket.allowed or bucket.denied
        ]

    def roll_report_window(self, span: float, memory: float) -> None:
        """Smooth what was counted in the last `span` seconds over `memory` seconds, and count anew."""
        for bucket in self.buckets.values():
            bucket.demand = smoothed_rate(bucket.demand, bucket.allowed + bucket.denied, span, memory)
            bucket.admitted = smoothed_rate(bucket.admitted, bucket.allowed, span, memory)
            bucket.allowed = bucket.denied = 0.0

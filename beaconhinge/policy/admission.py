"""Admission control: limits the rate of work of the whole fleet and divides it among tenants.

The fleet rate falls when too many sends find workers full, and rises again afterwards (AIMD).
"""

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
"""Seconds between changes of the fleet rate, so that a cut takes effect before the next one."""

RATE_DECREASE_FACTOR = 0.9
"""The fleet rate is multiplied by this when it is cut."""

RATE_INCREASE_SHARE = 0.1
"""Share by which the fleet rate rises: it must recover as fast as it fell."""

MAX_REJECTED_SHARE = 0.1
"""Share of rejected sends above which the rate is cut: more than by chance, far less than waste."""

MIN_REJECTIONS = 3
"""With fewer rejections in a control interval the rate is not cut."""

UNLIMITED_DEMAND_FACTOR = 1.2
"""The limit is removed once the fleet rate is more than this many times the demand."""

BURST_MEAN_JOBS = 4.0
"""Least capacity of a bucket, in jobs of mean work."""

MIN_RATE = 1e-6
MIN_ADMITTED = 1e-3
MIN_INTERVAL_S = 0.1

BucketKey = tuple[int, int]
"""Numbers of the tenant and of the request class."""


@dataclass(slots=True)
class TenantBucket:
    """Work of one tenant in one class, in units of hinted work; rates are in units per second."""

    allowed: float = 0.0  # work admitted since the last report
    denied: float = 0.0  # work rejected since the last report
    demand: float = 0.0  # smoothed rate of work that arrived
    admitted: float = 0.0  # smoothed rate of work admitted
    tokens: float = 0.0  # work that may be admitted now
    rate: float = INF  # rate at which tokens are added; infinite: no limit


class Admission:
    """Token buckets of tenants and the fleet rate that fills them.

    Attributes:
        buckets: Bucket of each tenant and class.
        fleet_rate: Work per second that the whole fleet admits; infinite while there is no limit.
        demand_share: This dispatcher's share of the fleet's demand, from 0 to 1.
        sends: Attempts in this control interval.
        rejections: Signs of full workers in this control interval: attempts that were rejected, and jobs
            that started late or found no slot in time.
        send_rate: Attempts per second of all dispatchers.
        adjusted_at: Time in seconds at which the fleet rate was last adjusted.
        refilled_at: Time in seconds at which tokens were last added.
    """

    def __init__(self, context: Context, gossip: GossipNode, estimates: WorkEstimates) -> None:
        """Start without a limit on the fleet rate."""
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
    def fleet_rate_limited(self) -> bool:
        """Whether the fleet rate is limited."""
        return self.fleet_rate < INF

    def start(self) -> None:
        """Take the current time as the start of the first control interval."""
        self.adjusted_at = self.refilled_at = self._context.now

    def get_or_add_bucket(self, tenant: int, class_index: int) -> tuple[TenantBucket, bool]:
        """Return the bucket of a tenant and class, and whether it is new."""
        bucket = self.buckets.get((tenant, class_index))
        if bucket is not None:
            return bucket, False
        bucket = self.buckets[tenant, class_index] = TenantBucket()
        return bucket, True

    def admit(self, bucket: TenantBucket, cost: float) -> bool:
        """Take the cost of a job, in work, from its bucket. Return False if the job is rejected."""
        if bucket.rate < INF and bucket.tokens <= 0:
            bucket.denied += cost
            return False
        bucket.tokens -= cost
        bucket.allowed += cost
        return True

    def max_tokens(self, rate: float) -> float:
        """Capacity, in work, of a bucket with this rate."""
        return max(BURST_S * rate, BURST_MEAN_JOBS * self._estimates.mean_work)

    def refill(self) -> float:
        """Add tokens to the limited buckets. Return the seconds since the last refill."""
        elapsed_s = self._context.now - self.refilled_at
        self.refilled_at = self._context.now
        if self.fleet_rate_limited:
            for bucket in self.buckets.values():
                if bucket.rate < INF:
                    tokens = bucket.tokens + elapsed_s * bucket.rate
                    bucket.tokens = min(tokens, self.max_tokens(bucket.rate))
        if not self._context.large_group:
            self.demand_share = self.own_demand_share(self.total_demand())
        return elapsed_s

    def total_demand(self) -> dict[BucketKey, float]:
        """Demand of the fleet by tenant and class, in work per second."""
        return self._gossip.fleet_demand({key: bucket.demand for key, bucket in self.buckets.items()})

    def own_demand_share(self, demand: Mapping[BucketKey, float]) -> float:
        """This dispatcher's share of the fleet's recent demand; 1 / group size until all peers have reported.

        Args:
            demand: Demand of the fleet by tenant and class, in work per second.
        """
        own = sum(b.demand for b in self.buckets.values())
        if own <= 0 or not self._gossip.all_peers_heard:
            return 1 / self._context.settings.group_size
        return own / sum(demand.values())

    def adjust_fleet_rate(self) -> None:
        """Cut the fleet rate if too many sends found workers full, else raise it. Runs once per interval."""
        own, peers = self.buckets.values(), self._gossip.peers.values()
        admitted = self._gossip.fleet_scale * (sum(b.admitted for b in own) + sum(p.admitted for p in peers))
        demand = self.total_demand()
        if self.rejections >= MIN_REJECTIONS and self.rejections > MAX_REJECTED_SHARE * self.sends:
            self.fleet_rate = RATE_DECREASE_FACTOR * min(self.fleet_rate, max(admitted, MIN_ADMITTED))
            cut = f"fleet rate cut to {self.fleet_rate:.2f}"
            text = f"{cut} after {self.rejections} full of {self.sends}"
            self._context.actions.append(interface.LogMessage(text))
        elif self.fleet_rate_limited and self.rejections <= 0:
            self.fleet_rate += RATE_INCREASE_SHARE * max(admitted, self.fleet_rate)
            if self.fleet_rate > UNLIMITED_DEMAND_FACTOR * sum(demand.values()):
                self.fleet_rate = INF
        self.demand_share = self.own_demand_share(demand)
        interval = max(self._context.now - self.adjusted_at, MIN_INTERVAL_S)
        self.send_rate = self._gossip.peer_weight * self._gossip.sends / interval
        self.sends = self.rejections = self._gossip.sends = 0
        self.adjusted_at = self._context.now
        self.allocate_rates(demand)

    def allocate_rates(self, demand: Mapping[BucketKey, float]) -> None:
        """Divide the fleet rate among the buckets by max-min fairness.

        Tenants get it by their shares, and what a tenant does not use is lent to the others. Of each tenant's
        rate this dispatcher takes its share by demand.

        Args:
            demand: Demand of the fleet by tenant and class, in work per second.
        """
        for bucket in self.buckets.values():
            if INF in (self.fleet_rate, bucket.rate):
                bucket.rate, bucket.tokens = INF, 0.0
        if not self.fleet_rate_limited:
            return
        tenants = self._context.settings.tenants
        wanted = [sum(rate for key, rate in demand.items() if key[0] == t) for t in range(len(tenants))]
        tenant_rates = max_min_shares(self.fleet_rate, wanted, [t.share for t in tenants])
        for key, bucket in self.buckets.items():
            tenant = key[0]
            own_share = bucket.demand / demand[key] if demand[key] > 0 else 0.0
            if not self._gossip.all_peers_heard:
                own_share = min(own_share, 1 / self._context.settings.group_size)
            bucket_rate = tenant_rates[tenant] * demand[key] / wanted[tenant] if wanted[tenant] > 0 else 0.0
            bucket.rate = max(bucket_rate * own_share, MIN_RATE)

    def usage_since_report(self) -> list[codec.BucketUsage]:
        """Work admitted and rejected since the last report, for each bucket that had any."""
        return [
            codec.BucketUsage(*key, bucket.allowed, bucket.denied)
            for key, bucket in self.buckets.items()
            if bucket.allowed or bucket.denied
        ]

    def roll_report_window(self, span: float, memory: float) -> None:
        """Update the smoothed rates with the counts of the last `span` seconds, and reset the counts.

        Args:
            span: Seconds in which the work was counted.
            memory: Seconds over which the rates are smoothed.
        """
        for bucket in self.buckets.values():
            bucket.demand = smoothed_rate(bucket.demand, bucket.allowed + bucket.denied, span, memory)
            bucket.admitted = smoothed_rate(bucket.admitted, bucket.allowed, span, memory)
            bucket.allowed = bucket.denied = 0.0

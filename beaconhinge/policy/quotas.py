"""Quotas of tenants in requests per second: a token bucket with this dispatcher's share of each quota."""

from .context import Context
from .interface import Settings

BURST_S = 3.0
"""Capacity of a bucket in seconds of its rate, because jobs arrive in bursts."""

BURST_JOBS = 4.0
"""Least capacity of a bucket in jobs."""


def max_tokens(quota_rps: float) -> float:
    """Capacity, in jobs, of a bucket with this rate."""
    return max(BURST_JOBS, BURST_S * quota_rps)


class TenantQuotas:
    """Token buckets of the tenants; a token is one job."""

    def __init__(self, context: Context) -> None:
        """Start with 1 / group size of a second's quota, but at least one job."""
        self._context = context
        settings: Settings = context.settings
        self.tokens = [max(1.0, t.quota_rps / settings.group_size) for t in settings.tenants]

    def tenant_or_default(self, tenant: int) -> int:
        """Return the number of the tenant, or 0, the first tenant, if the number is unknown."""
        return tenant if 0 <= tenant < len(self.tokens) else 0

    def spend(self, tenant: int) -> bool:
        """Take a token for a job. Return True if none is left; always False for a tenant without a quota."""
        if self._context.settings.tenants[tenant].quota_rps <= 0:
            return False
        over = self.tokens[tenant] < 1.0
        self.tokens[tenant] -= not over
        return over

    def refill(self, elapsed_s: float, demand_share: float) -> None:
        """Add the tokens of this dispatcher's share of each quota.

        Args:
            elapsed_s: Seconds since the last refill.
            demand_share: This dispatcher's share of the fleet's demand, from 0 to 1.
        """
        for tenant_index, tenant in enumerate(self._context.settings.tenants):
            rate = tenant.quota_rps * demand_share
            self.tokens[tenant_index] = min(self.tokens[tenant_index] + elapsed_s * rate, max_tokens(rate))

    def restore(self, tokens: list[float], age_s: float, demand_share: float) -> None:
        """Set the tokens from a record, and add those of the time since then.

        Args:
            tokens: Tokens of each tenant when the record was written.
            age_s: Seconds since the record was written.
            demand_share: This dispatcher's share of the fleet's demand, from 0 to 1.
        """
        for tenant_index, recorded in enumerate(tokens):
            rate = self._context.settings.tenants[tenant_index].quota_rps * demand_share
            self.tokens[tenant_index] = min(recorded + age_s * rate, max_tokens(rate))

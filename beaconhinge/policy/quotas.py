"""Quotas of tenants in requests a second: this dispatcher's part of each, as a bucket of tokens."""

from .context import Context
from .interface import Settings

BURST_S = 3.0
"""Seconds of its rate that a bucket holds: jobs come in clumps."""

BURST_JOBS = 4.0
"""Mean jobs that a bucket holds at least."""


def max_tokens(quota_rps: float) -> float:
    """Most tokens that a bucket of that rate holds."""
    return max(BURST_JOBS, BURST_S * quota_rps)


class TenantQuotas:
    """Tokens of each tenant, in jobs."""

    def __init__(self, context: Context) -> None:
        """Start with one Nth of a second's quota, and one job at least."""
        self._context = context
        settings: Settings = context.settings
        self.tokens = [max(1.0, t.quota_rps / settings.group_size) for t in settings.tenants]

    def known_tenant(self, tenant: int) -> int:
        """The tenant itself, or the first one for an unknown number."""
        return tenant if 0 <= tenant < len(self.tokens) else 0

    def spend(self, tenant: int) -> bool:
        """Count a job. Returns whether its tenant has used up its quota."""
        if self._context.settings.tenants[tenant].quota_rps <= 0:
            return False
        over = self.tokens[tenant] < 1.0
        self.tokens[tenant] -= not over
        return over

    def refill(self, passed_s: float, demand_share: float) -> None:
        """Add what this dispatcher's part of each quota gives in so many seconds."""
        for number, tenant in enumerate(self._context.settings.tenants):
            rate = tenant.quota_rps * demand_share
            self.tokens[number] = min(self.tokens[number] + passed_s * rate, max_tokens(rate))

    def restore(self, tokens: list[float], age_s: float, demand_share: float) -> None:
        """Take up tokens from a record that old."""
        for tenant, level in enumerate(tokens):
            rate = self._context.settings.tenants[tenant].quota_rps * demand_share
            self.tokens[tenant] = min(level + age_s * rate, max_tokens(rate))

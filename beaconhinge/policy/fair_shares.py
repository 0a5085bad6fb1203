"""Max-min fair division of a rate."""


def max_min_shares(total: float, wanted: list[float], shares: list[float]) -> list[float]:
    """Divide a total by max-min fairness.

    What a party does not want of its share is lent to the others, by their shares.

    Args:
        total: Rate to divide.
        wanted: Rate that each party wants.
        shares: Relative share of each party.

    Returns:
        Limit of each party, in the order of `wanted`. One that wants less than its share keeps the
        whole share as its limit.
    """
    shares_sum = sum(shares) or 1.0
    limits = [total * share / shares_sum for share in shares]
    demands = [(wanted[i] / max(shares[i], 1e-9), i) for i in range(len(shares)) if wanted[i] > 0]
    open_shares = sum(shares[i] for _, i in demands)
    for _, i in sorted(demands):
        grant = min(wanted[i], total * shares[i] / max(open_shares, 1e-9))
        limits[i] = max(limits[i], grant)
        total, open_shares = total - grant, open_shares - shares[i]
    return limits

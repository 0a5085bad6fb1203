"""Max-min fair division of a rate."""


def max_min_shares(total: float, wanted: list[float], shares: list[float]) -> list[float]:
    """Divide by shares and lend what is not wanted; who wants less than its share keeps it as its limit."""
    whole = sum(shares) or 1.0
    parts = [total * share / whole for share in shares]
    demands = [(wanted[i] / max(shares[i], 1e-9), i) for i in range(len(shares)) if wanted[i] > 0]
    weight = sum(shares[i] for _, i in demands)
    for _, i in sorted(demands):
        grant = min(wanted[i], total * shares[i] / max(weight, 1e-9))
        parts[i] = max(parts[i], grant)
        total, weight = total - grant, weight - shares[i]
    return parts

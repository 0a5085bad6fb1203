"""The budget of file descriptors and of bytes for message bodies."""

from __future__ import annotations

from beaconhinge.net.sockets import RESERVED_DESCRIPTORS, DescriptorBudget


def test_full_budget_closes_idle_connections_and_limits_body_bytes() -> None:
    budget, idle = DescriptorBudget(RESERVED_DESCRIPTORS + 4, 100), ["a", "b"]

    def reclaim() -> bool:
        if not idle:
            return False
        idle.pop()
        budget.release()
        return True

    budget.used = 2  # the two idle connections
    budget.reclaimers.append(reclaim)
    assert [budget.acquire() for _ in range(5)] == [True, True, True, True, False]
    assert idle == []
    assert [budget.reserve_message_bytes(count) for count in (60, 50, -60, 100, 1)] == [
        True,
        False,
        True,
        True,
        False,
    ]

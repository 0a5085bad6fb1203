"""The budget of descriptors."""

from __future__ import annotations

from beaconhinge.net.sockets import RESERVED_DESCRIPTORS, DescriptorBudget


def test_a_short_budget_closes_idle_connections_first_and_keeps_some_for_workers() -> None:
    budget, idle = DescriptorBudget(RESERVED_DESCRIPTORS + 4, 100), ["a", "b"]

    def reclaim() -> bool:
        if not idle:
            return False
        idle.pop()
        budget.release()
        return True

    budget.used = 2  # the two idle ones
    budget.reclaimers.append(reclaim)
    assert [budget.acquire() for _ in range(5)] == [True, True, True, True, False]
    assert idle == []
    assert [budget.reserve_body_bytes(count) for count in (60, 50, -60, 100, 1)] == [
        True,
        False,
        True,
        True,
        False,
    ]

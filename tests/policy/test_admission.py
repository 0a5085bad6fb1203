"""Admission control: fair shares, the fleet rate, and rejections on arrival."""

from __future__ import annotations

import pytest
from decision_helpers import final_answers
from helpers import job, sends, started

from beaconhinge.gossip.peers import smoothed_rate
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER
from beaconhinge.policy.fair_shares import max_min_shares


def test_max_min_shares_lend_what_is_not_wanted() -> None:
    assert max_min_shares(10, [2, 20, 20], [1, 1, 1]) == pytest.approx([10 / 3, 4, 4])


def test_max_min_shares_keep_whole_share_as_limit_of_idle_tenant() -> None:
    assert max_min_shares(10, [1, 1], [1, 1]) == pytest.approx([5, 5])


def test_max_min_shares_follow_configured_shares() -> None:
    assert max_min_shares(10, [50, 50], [3, 1]) == pytest.approx([7.5, 2.5])


def test_first_rate_estimate_is_not_biased_low() -> None:
    """Smoothing from 0 would make the first estimates of a rate too low."""
    assert smoothed_rate(0.0, 10.0, 1.0, 0.0) == pytest.approx(10.0)
    assert smoothed_rate(10.0, 10.0, 1.0, 2.0) == pytest.approx(10.0)


def test_fleet_rate_is_cut_once_per_interval_and_rises_again() -> None:
    """A second cut within the interval would come before the first one shows an effect."""
    dispatcher = started()
    for number in range(1, 9):
        dispatcher.handle(100.0 + number * 0.1, job(number))
    dispatcher.admission.rejections, dispatcher.admission.sends = 5, 8
    dispatcher.handle(101.5, interface.TimerFired(TICK_TIMER))
    rate_after_cut = dispatcher.admission.fleet_rate
    assert rate_after_cut < float("inf")
    dispatcher.admission.rejections, dispatcher.admission.sends = 5, 8
    dispatcher.handle(101.6, interface.TimerFired(TICK_TIMER))
    assert dispatcher.admission.fleet_rate == rate_after_cut
    dispatcher.admission.rejections = 0
    dispatcher.handle(102.6, interface.TimerFired(TICK_TIMER))
    assert dispatcher.admission.fleet_rate > rate_after_cut


def test_only_the_tenant_over_its_rate_is_rejected() -> None:
    """A tenant with too much load must not use up the rate of another one."""
    dispatcher = started(orgs__count="2", orgs__0__share="0.5", orgs__1__share="0.5")
    for number in range(1, 40):
        dispatcher.handle(100.0, job(number, tenant=0))
    dispatcher.handle(100.0, job(40, tenant=1))
    dispatcher.admission.fleet_rate = 4.0
    dispatcher.reports.report()
    dispatcher.admission.allocate_rates({(0, 0): 20.0, (1, 0): 0.5})
    for bucket in dispatcher.admission.buckets.values():
        bucket.demand = {0: 20.0, 1: 0.5}[0 if bucket is dispatcher.admission.buckets[(0, 0)] else 1]
    dispatcher.admission.allocate_rates({(0, 0): 20.0, (1, 0): 0.5})
    dispatcher.admission.buckets[(0, 0)].tokens = 0.0
    dispatcher.admission.buckets[(1, 0)].tokens = 1.0
    rejected = dispatcher.handle(100.1, job(41, tenant=0))
    assert final_answers(rejected) == [interface.Reject]
    assert not sends(rejected)
    assert final_answers(dispatcher.handle(100.1, job(42, tenant=1))) == []


def test_retry_after_is_random_within_its_limits() -> None:
    """With equal delays all rejected clients would return at the same time."""
    dispatcher = started(count=0)
    retry_delays = set()
    for number in range(1, 20):
        for action in dispatcher.handle(100.0, job(number, remaining=0.05)):
            if isinstance(action, interface.Reject):
                retry_delays.add(action.retry_after)
    assert len(retry_delays) == 19
    assert all(1.0 <= a <= 2.0 for a in retry_delays)


def test_late_client_retry_is_rejected_on_arrival() -> None:
    """The shorter timeout shows that the first try was 3.2 s ago, so the objective has passed."""
    dispatcher = started()
    assert sends(dispatcher.handle(100.0, job(1)))
    late = dispatcher.handle(103.0, job(2, remaining=0.8))
    assert final_answers(late) == [interface.Reject]
    assert not sends(late)

"""Runs up to two hundred dispatchers and workers in virtual time through losses, kills and partitions."""

from __future__ import annotations

import pytest

from beaconhinge.gossip import codec
from beaconhinge.gossip.aggregation import GossipNode
from beaconhinge.policy import interface
from beaconhinge.policy.interface import UpdateKind
from beaconhinge.standin.fleet.plan import LONG_JOBS, SCRIPTS, Plan, Site
from beaconhinge.standin.fleet.result import result
from beaconhinge.standin.fleet.world import SimulatedFleet

FULL_SIZE = {"dispatchers": 200, "workers": 200, "seconds": 2.5, "fault_at_s": 1.0, "load": 0.6}
# By then groups have new aggregators, and killed dispatchers have restarted.
RUN_UNTIL_S = 5.5


@pytest.mark.parametrize(
    ("fault", "loss", "min_served"),
    [("hub", 0.0, 0.9), ("cut", 0.0, 0.9), ("roll", 0.0, 0.8), ("", 1.0, 0.9)],
)
def test_rules_hold_with_two_hundred_dispatchers(fault: str, loss: float, min_served: float) -> None:
    """Guards against rule violations, failed jobs and groups without a working aggregator after a fault.

    The faults kill all aggregators, cut the zones' datagrams, kill half of the dispatchers or lose each datagram.
    """
    fleet = SimulatedFleet(Plan(fault=fault, datagram_loss=loss, **FULL_SIZE))  # type: ignore[arg-type]
    fleet.clock.run(RUN_UNTIL_S)
    assert fleet.violations == []
    ended = [
        job.outcome for job in fleet.jobs if job.outcome
    ]  # the others still run; some jobs are submitted twice
    assert ended.count("served") >= min_served * len(ended) > 600
    if not loss:  # each group has exactly one aggregator again, which is up
        gossip_nodes = [node.dispatcher.gossip for node in fleet.nodes]
        aggregators = {
            (gossip.own_number * gossip.group_count // 200, gossip.aggregator) for gossip in gossip_nodes
        }
        assert len(aggregators) == gossip_nodes[0].group_count == 5
        assert all(
            aggregator is not None and gossip_nodes[aggregator].is_aggregator for _, aggregator in aggregators
        )


def test_two_hundred_dispatchers_recover_from_a_slow_down() -> None:
    """Guards against groups that know only their own fifth of the jobs in flight.

    They queued the rest at random, and 0.61 of the jobs were in time up to the end; with the other groups'
    aggregates 0.77 are.
    """
    plan = Plan(
        fault="slow",
        dispatchers=200,
        workers=200,
        seconds=11.0,
        fault_at_s=1.0,
        load=0.85,
        load_swing=0.0,
        discovery_calls_per_s=30.0,
        seed=2,
    )
    fleet = SimulatedFleet(plan)
    fleet.clock.run(12.0)
    assert fleet.violations == []
    last = [job for job in fleet.jobs if 8.0 <= job.sent_at < 11.0]
    during = [job for job in fleet.jobs if 3.0 <= job.sent_at < 6.0]
    assert sum(job.in_time for job in during) < 0.7 * len(during)  # the fault had an effect
    assert sum(job.in_time for job in last) > 0.7 * len(last) > 1000


@pytest.mark.parametrize(("fault", "loss"), [("herd", 0.0), ("join", 0.3)])
def test_rules_hold_during_a_release_and_a_replacement(fault: str, loss: float) -> None:
    """Guards against rule violations and many refusals while most of forty dispatchers' workers are replaced."""
    fleet = SimulatedFleet(
        Plan(fault=fault, datagram_loss=loss, dispatchers=40, workers=60, seconds=9.0, fault_at_s=1.0, seed=3)
    )
    fleet.run()
    assert fleet.violations == []
    assert result(fleet).refused < 0.3


COLD_START_CASES = [
    (5, 12, SCRIPTS, "join", 3),
    (20, 24, LONG_JOBS, "join", 2),
    (30, 36, LONG_JOBS, "join", 3),
    (30, 36, SCRIPTS, "join", 4),
    (40, 60, SCRIPTS, "zone", 2),
    (200, 80, SCRIPTS, "join", 2),
]


@pytest.mark.parametrize(("dispatchers", "workers", "site", "fault", "seed"), COLD_START_CASES)
def test_cold_workers_stay_within_budget_without_datagrams(
    dispatchers: int, workers: int, site: Site, fault: str, seed: int
) -> None:
    """Guards against dispatchers of a full fleet that together overload a cold worker when no datagram arrives.

    The limit is the operators': N jobs of mean work, and for chance twice the root of N and 2 more. Twenty
    dispatchers sent a worker 6.9 jobs where 1.8 were allowed, five sent 30.6 where 13.2 were. Jobs were counted
    at the mean of all classes and kinds, weighted to short ones, and slots at the most ever estimated for a worker.
    """
    plan = Plan(
        site=site,
        peers=site is SCRIPTS,
        fault=fault,
        datagram_loss=1.0,
        load=0.95,
        dispatchers=dispatchers,
        workers=workers,
        seconds=14.0,
        fault_at_s=1.0,
        seed=seed,
    )
    fleet = SimulatedFleet(plan)
    fleet.clock.run(12.0 if dispatchers < 100 else 8.0)
    assert fleet.violations == []
    assert fleet.counters["cold_sends"] > 20  # cold workers were used


def test_discovery_calls_are_spread_after_a_common_restart() -> None:
    """Guards against dispatchers that all call discovery at once, are refused and call again without getting a list.

    A release kills 28 of 40 dispatchers at once; they start again nearly together.
    """
    fleet = SimulatedFleet(
        Plan(fault="herd", dispatchers=40, workers=60, seconds=8.0, fault_at_s=0.5, seed=2)
    )
    fleet.run()
    assert fleet.discovery.calls < 5 * len(fleet.nodes)
    assert all(node.list_version > 0 for node in fleet.nodes)


def test_two_runs_of_one_plan_give_the_same_result() -> None:
    """Guards against randomness that does not come from the plan's seed."""
    plan = Plan(fault="join", dispatchers=12, workers=12, seconds=4.0, fault_at_s=0.5, seed=5)
    first, second = SimulatedFleet(plan), SimulatedFleet(plan)
    first.run()
    second.run()
    assert result(first) == result(second)


def test_malformed_old_and_foreign_datagrams_are_ignored() -> None:
    """Guards against gossip that takes in deltas twice, out of order, cut short or of senders outside its group."""

    def create_node() -> GossipNode:
        created = GossipNode(200, 7, 1, 0.5)
        created.start(100.0)
        return created

    deltas = codec.encode_deltas(codec.DeltaMessage(3, 5, [(9, codec.DeltaKind.SENT)]))
    receiver = create_node()
    assert len(list(receiver.receive(100.0, 8, deltas))) == 1
    assert list(receiver.receive(100.1, 8, deltas)) == []  # repeated
    assert (
        list(
            receiver.receive(
                100.1, 8, codec.encode_deltas(codec.DeltaMessage(3, 4, [(9, codec.DeltaKind.SENT)]))
            )
        )
        == []
    )  # old
    assert receiver.in_flight_table.slots[9] == 1
    for number in (-1, 7, 199, 200, 2**31):  # no dispatcher, itself, another group, out of range
        assert list(create_node().receive(100.0, number, deltas)) == []
    for cut in range(len(deltas)):
        assert list(create_node().receive(100.0, 8, deltas[:cut])) == []
    assert list(create_node().receive(100.0, 8, b"\x00" + deltas)) == []


def test_jobs_are_spread_over_a_list_of_thousands() -> None:
    """Guards against a dispatcher that uses only a small part of a list of 3000 workers for 200 jobs."""
    from helpers import job, sends, started

    dispatcher = started(0)
    many = [interface.MemberEntry(n, cell=n % 6, zone=n % 2) for n in range(3000)]
    dispatcher.handle(101.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, many))
    assert len({s.worker for n in range(200) for s in sends(dispatcher.handle(101.0, job(n)))}) > 150


def aggregator_of_own_group(number: int, now: float = 101.0) -> GossipNode:
    """Return dispatcher `number` of 200, which has received no datagram and so is its group's aggregator."""
    node = GossipNode(200, number, number + 1, 0.5)
    node.start(100.0)
    node.advance(now)
    assert node.is_aggregator
    node.outbox.clear()
    return node


def deliver_outbox(sender: GossipNode, receivers: dict[int, GossipNode], now: float, lost: int = -1) -> None:
    """Deliver a node's outgoing datagrams to the receivers, except those to dispatcher `lost`."""
    sent, sender.outbox[:] = list(sender.outbox), []
    for number, payload in sent:
        if number in receivers and number != lost:
            list(receivers[number].receive(now, sender.own_number, payload))


def test_groups_learn_the_slots_that_other_groups_have_in_flight() -> None:
    """Guards against workers that look free although the jobs of other groups fill them.

    A dispatcher that knows only its own group's jobs sees a fifth of those in flight. The aggregators exchange
    the figures of their groups, and pass on the others' to their members.
    """
    first, second, member = (
        aggregator_of_own_group(0),
        aggregator_of_own_group(40),
        GossipNode(200, 41, 9, 0.5),
    )
    member.start(100.0)
    receivers = {0: first, 40: second, 41: member}
    for _ in range(4):
        first.record(101.0, 7, codec.DeltaKind.SENT, 1)
    now = 101.0
    while now < 103.0:
        now = round(now + 0.05, 3)
        for node in (first, second, member):
            node.advance(now)
            deliver_outbox(node, receivers, now)
    # Aggregates come from only one of the four other groups; the rest are estimated to have as many in flight.
    assert second.in_flight_elsewhere(7, 0.0) == member.in_flight_elsewhere(7, 0.0) == 16.0
    assert first.in_flight_elsewhere(7, 4.0) == 0.0
    member.advance(now + 1.1)
    assert not member.hears_remote_groups
    assert member.in_flight_elsewhere(7, 0.0) == 0.0


def test_a_remote_aggregator_is_searched_and_the_lowest_one_counts() -> None:
    """Guards against aggregates sent to a dispatcher that is no longer the aggregator of its group.

    Without recent aggregates each member is contacted in turn, from the first on. Of two dispatchers that send
    aggregates for one group the one with the lower number counts.
    """
    node = aggregator_of_own_group(0)
    aggregates = {
        n: codec.encode_aggregate(codec.AggregateMessage(n, 1, 0, [(7, n - 40, 0, False)]))
        for n in (41, 42, 43)
    }
    group = node.remote_groups[1]
    assert list(group.members) == list(range(40, 80))
    assert [group.contact(101.0) for _ in range(3)] == [40, 41, 42]
    list(node.receive(101.0, 42, aggregates[42]))
    assert group.contact(101.1) == 42
    assert group.in_flight[7] == 2
    list(node.receive(101.1, 43, aggregates[43]))  # 43 will give way to 42
    assert group.aggregator == 42
    list(node.receive(101.1, 41, aggregates[41]))
    assert group.aggregator == 41
    assert group.in_flight[7] == 1
    list(node.receive(101.2, 41, aggregates[41]))  # repeated
    assert group.heard_at == 101.1
    assert [group.contact(102.0) for _ in range(2)] == [40, 41]
    list(node.receive(102.0, 43, aggregates[43]))  # 41 has timed out
    assert group.aggregator == 43
    assert group.in_flight[7] == 3


def test_lost_aggregates_of_other_groups_are_sent_again() -> None:
    """Guards against members that never learn other groups' figures: their first aggregates are lost.

    The figures do not change afterwards, so that no new change makes the aggregator send them.
    """
    first, second, member = (
        aggregator_of_own_group(0),
        aggregator_of_own_group(40),
        GossipNode(200, 41, 9, 0.5),
    )
    member.start(100.0)
    for key in range(40):  # more workers than one aggregate holds
        first.record(101.0, key, codec.DeltaKind.SENT, 1)
    now = 101.0
    while now < 106.0:
        now = round(now + 0.05, 3)
        for node in (first, second, member):
            node.advance(now)
        deliver_outbox(first, {40: second}, now)
        deliver_outbox(second, {0: first} if now < 103.0 else {0: first, 41: member}, now)
        deliver_outbox(member, {}, now)
    assert [member.in_flight_elsewhere(key, 0.0) for key in range(40)] == [4.0] * 40


def test_aggregates_for_other_receivers_are_ignored() -> None:
    """Guards against counting aggregates that are meant for others.

    The aggregate of another group counts only for an aggregator. One over all other groups counts only within
    the sender's group.
    """
    of_group = codec.encode_aggregate(codec.AggregateMessage(1, 1, 0, [(7, 3, 0, False)]))
    over_others = codec.encode_aggregate(
        codec.AggregateMessage(1, 1, 0, [(7, 3, 0, False)], covers_other_groups=True)
    )
    assert (codec.decode(of_group), codec.decode(over_others)) == (
        codec.AggregateMessage(1, 1, 0, [(7, 3, 0, False)]),
        codec.AggregateMessage(1, 1, 0, [(7, 3, 0, False)], covers_other_groups=True),
    )
    member = GossipNode(200, 5, 1, 0.5)
    member.start(100.0)
    aggregator = aggregator_of_own_group(0)
    for payload, node in ((of_group, member), (over_others, aggregator)):
        list(node.receive(101.0, 45, payload))
        assert not node.hears_remote_groups
        assert not any(group.in_flight for group in node.remote_groups.values())
    for cut in range(len(over_others)):
        list(aggregator.receive(101.0, 45, over_others[:cut]))

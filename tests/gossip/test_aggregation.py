"""Gossip in a group with an aggregator: elections, aggregates, lost datagrams, restarts; in simulated time."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.gossip import codec
from beaconhinge.gossip.aggregation import (
    AGGREGATOR_TIMEOUT_S,
    ELECTION_STAGGER_S,
    HEARTBEAT_S,
    GossipNode,
    WorkerObservation,
)

TICK_S = 0.05


class SimulatedGroup:
    """The nodes of one group, their attempts in flight, and a network that may lose datagrams.

    Attributes:
        loss: The probability that a datagram is lost.
        stopped: Numbers of the dispatchers that neither send nor receive.
        in_flight: The slots that each dispatcher really has in flight, by worker key.
        observations: What each dispatcher has received about workers.
        delivered: The number of datagrams delivered.
    """

    def __init__(self, size: int = 20, loss: float = 0.0, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 100.0
        self.stopped: set[int] = set()
        self.nodes = [self.new_node(number, size) for number in range(size)]
        self.in_flight = [dict[int, int]() for _ in range(size)]
        self.observations: list[list[WorkerObservation]] = [[] for _ in range(size)]
        self.delivered = 0

    def new_node(self, number: int, size: int) -> GossipNode:
        node = GossipNode(size, number, self.random.getrandbits(8), 0.5)
        node.start(self.now)
        return node

    def restart(self, number: int) -> None:
        self.stopped.discard(number)
        self.in_flight[number] = {}
        self.nodes[number] = self.new_node(number, len(self.nodes))

    def record(self, number: int, key: int, kind: int = codec.DeltaKind.SENT) -> None:
        """Record an attempt of a dispatcher, or its end, on a worker."""
        own = self.in_flight[number]
        own[key] = own.get(key, 0) + (1 if kind == codec.DeltaKind.SENT else -1)
        self.nodes[number].record(self.now, key, kind, 1)

    def run(self, seconds: float) -> None:
        """Advance the time, send the reports that nodes want, and deliver their datagrams."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for number, node in enumerate(self.nodes):
                if number not in self.stopped:
                    node.advance(self.now)
                    if node.wants_report:
                        node.wants_report = False
                        report = codec.DemandReport(0, 0, 0.0, in_flight=list(self.in_flight[number].items()))
                        node.send_report(report, -1 if node.aggregator is None else node.aggregator)
                    node.forget_silent_peers(self.now)
                    self.deliver(number, node)

    def deliver(self, number: int, node: GossipNode) -> None:
        outbox, node.outbox = node.outbox, []
        for to, payload in outbox:
            assert len(payload) <= codec.MAX_BYTES
            for other in range(len(self.nodes)) if to < 0 else [to]:
                if other not in (number, *self.stopped) and self.random.random() >= self.loss:
                    self.delivered += 1
                    received = list(self.nodes[other].receive(self.now, number, payload))
                    self.observations[other] += [
                        entry for entry in received if isinstance(entry, WorkerObservation)
                    ]

    def slots_seen_by(self, number: int, key: int) -> float:
        """Return the slots in flight on a worker, as a dispatcher estimates them."""
        own = self.in_flight[number].get(key, 0)
        return own + self.nodes[number].in_flight_elsewhere(key, own)

    def slots_in_flight(self, key: int) -> int:
        """Return the slots that the running dispatchers really have in flight on a worker."""
        return sum(slots.get(key, 0) for n, slots in enumerate(self.in_flight) if n not in self.stopped)

    @property
    def aggregators(self) -> set[int | None]:
        """The aggregators of the group in the view of its running dispatchers."""
        return {node.aggregator for n, node in enumerate(self.nodes) if n not in self.stopped}


def test_lowest_number_becomes_aggregator_and_all_receive_each_send() -> None:
    """The aggregator sends the slots in flight, failures and served attempts of all to each dispatcher."""
    group = SimulatedGroup()
    group.run(AGGREGATOR_TIMEOUT_S + 0.3)
    assert group.aggregators == {0}
    for number in range(20):
        group.record(number, number % 7)
    group.run(0.3)
    assert all(
        group.slots_seen_by(n, key) == group.slots_in_flight(key) for n in range(20) for key in range(7)
    )
    group.record(5, 5, codec.DeltaKind.SERVED)
    group.record(6, 6, codec.DeltaKind.FAILED)
    group.record(13, 6, codec.DeltaKind.FAILED)
    group.run(0.4)
    assert [group.slots_seen_by(n, 5) for n in range(20)] == [2] * 20
    assert any(observation.served for observation in group.observations[9] if observation.key == 5)
    assert sum(observation.failures for observation in group.observations[9] if observation.key == 6) == 2


def test_stopped_aggregator_is_replaced_and_no_attempt_counts_twice() -> None:
    """A new aggregator starts from the reports of the running dispatchers, so that old attempts do not stay."""
    group = SimulatedGroup()
    group.run(1.0)
    for number in range(20):
        group.record(number, 3)
    group.run(0.3)
    group.stopped = set(range(14))  # most at once, the aggregator among them
    group.run(AGGREGATOR_TIMEOUT_S + 14 * ELECTION_STAGGER_S + 0.5)
    assert group.aggregators == {14}
    assert {group.slots_seen_by(n, 3) for n in range(14, 20)} == {6}
    for number in range(14):
        group.restart(number)
    group.record(2, 3)
    group.run(1.0)
    assert group.aggregators == {14}  # a working aggregator is not replaced by a lower number
    assert {group.slots_seen_by(n, 3) for n in range(20)} == {7}


def test_of_two_aggregators_the_higher_number_gives_way() -> None:
    """Two dispatchers may become the aggregator at once, while their first aggregates are in transit."""
    group = SimulatedGroup()
    group.nodes[11].aggregator = 11
    group.nodes[4].aggregator = 4
    group.record(7, 1)
    group.run(0.6)
    assert group.aggregators == {4}
    assert {group.slots_seen_by(n, 1) for n in range(20)} == {1}


@pytest.mark.parametrize("seed", range(4))
def test_lost_datagrams_are_corrected_by_later_ones(seed: int) -> None:
    """A lost delta leaves the counts wrong until the next report of its sender."""
    group = SimulatedGroup(loss=0.3, seed=seed)
    group.run(1.5)
    for _ in range(60):
        group.record(group.random.randrange(20), group.random.randrange(10))
        group.run(0.1)
    group.loss = 0.0
    for number, node in enumerate(group.nodes):  # the regular reports, sent to all
        node.send_report(codec.DemandReport(0, 0, 1.0, in_flight=list(group.in_flight[number].items())))
    group.run(1.5)
    assert all(
        group.slots_seen_by(n, key) == group.slots_in_flight(key) for n in range(20) for key in range(10)
    )


def test_dispatcher_counts_its_own_attempts_if_all_datagrams_are_lost() -> None:
    group = SimulatedGroup(loss=1.0)
    group.record(3, 1)
    group.run(4.0)
    assert group.slots_seen_by(3, 1) == 1
    assert group.slots_seen_by(4, 1) == 0


def test_attempts_of_a_silent_dispatcher_expire_those_of_an_idle_one_stay() -> None:
    """An idle dispatcher sends heartbeats; the attempts of a stopped one would keep workers occupied for ever."""
    group = SimulatedGroup()
    group.run(1.0)
    group.record(8, 2)
    group.record(9, 2)
    group.run(4.0)  # longer than PEER_TIMEOUT_S, with no deltas to send but heartbeats
    assert group.slots_seen_by(1, 2) == 2
    group.stopped = {8}
    group.run(2.0 + HEARTBEAT_S + 0.5)
    assert group.slots_seen_by(1, 2) == 1


def test_datagram_count_grows_linearly_with_the_group() -> None:
    """With deltas sent by each dispatcher to all others it grows with the square of the group's size."""

    def cost(size: int) -> float:
        group = SimulatedGroup(size)
        group.run(2.0)
        before = group.delivered
        for _ in range(40):
            for number in range(size):
                group.record(number, number)
                group.record(number, number, codec.DeltaKind.SERVED)
            group.run(0.25)
        return (group.delivered - before) / 40

    assert cost(60) < 2.5 * cost(30)


def test_aggregates_are_bounded_and_repeat_unchanged_entries() -> None:
    """A dispatcher that has lost an aggregate would otherwise not learn of workers that no longer change."""
    group = SimulatedGroup(12)
    group.run(1.0)
    for key in range(300):
        group.record(1 + key % 11, key)
    group.run(1.0)
    assert all(group.slots_seen_by(5, key) == 1 for key in range(300))
    group.nodes[5].aggregated_in_flight.clear()  # as if it had lost all aggregates
    group.run(300 / 4 * 0.15 + 1.0)
    assert all(group.slots_seen_by(5, key) == 1 for key in range(300))


@given(
    st.binary(max_size=300),
    st.sampled_from([codec.MessageType.DELTAS, codec.MessageType.AGGREGATE, codec.MessageType.REPORT]),
    st.integers(-1, 30),
)
def test_malformed_bytes_do_not_raise_and_unknown_senders_are_ignored(
    data: bytes, message_type: int, number: int
) -> None:
    node = GossipNode(20, 3, 7, 0.5)
    node.start(100.0)
    received = list(node.receive(100.0, number, bytes([message_type]) + data))
    if not 0 <= number < 20 or number == 3:
        assert received == []
        assert not node.peers


def test_aggregate_is_encoded_within_its_bounds_and_decoded() -> None:
    aggregate = codec.AggregateMessage(9, 200, 300, [(16383, 40, 5, True), (0, 0, 0, False)])
    data = codec.encode_aggregate(aggregate)
    assert codec.decode(data) == codec.AggregateMessage(9, 200, 255, [(16383, 31, 3, True), (0, 0, 0, False)])
    assert codec.decode(data[:-1]) is None

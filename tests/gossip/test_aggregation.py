"""What dispatchers of a larger group tell each other: the hub, its board, losses, restarts. No sockets, no bench."""

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

TICK = 0.05


class Circle:
    """Some fleets that hear each other after a while, if at all."""

    def __init__(self, size: int = 20, loss: float = 0.0, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 100.0
        self.dead: set[int] = set()
        self.fleets = [self.fresh(number, size) for number in range(size)]
        self.out = [dict[int, int]() for _ in range(size)]  # by member and key of a worker
        self.words: list[list[WorkerObservation]] = [[] for _ in range(size)]
        self.delivered = 0

    def fresh(self, number: int, size: int) -> GossipNode:
        fleet = GossipNode(size, number, self.random.getrandbits(8), 0.5)
        fleet.start(self.now)
        return fleet

    def restart(self, number: int) -> None:
        self.dead.discard(number)
        self.out[number] = {}
        self.fleets[number] = self.fresh(number, len(self.fleets))

    def send(self, number: int, key: int, what: int = codec.DeltaKind.SENT) -> None:
        own = self.out[number]
        own[key] = own.get(key, 0) + (1 if what == codec.DeltaKind.SENT else -1)
        self.fleets[number].record(self.now, key, what, 1)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for number, fleet in enumerate(self.fleets):
                if number not in self.dead:
                    fleet.advance(self.now)
                    if fleet.wants_report:
                        fleet.wants_report = False
                        report = codec.DemandReport(0, 0, 0.0, in_flight=list(self.out[number].items()))
                        fleet.send_report(report, -1 if fleet.aggregator is None else fleet.aggregator)
                    fleet.forget_silent_peers(self.now)
                    self.deliver(number, fleet)

    def deliver(self, number: int, fleet: GossipNode) -> None:
        outbox, fleet.outbox = fleet.outbox, []
        for to, payload in outbox:
            assert len(payload) <= codec.MAX_BYTES
            for other in range(len(self.fleets)) if to < 0 else [to]:
                if other not in (number, *self.dead) and self.random.random() >= self.loss:
                    self.delivered += 1
                    heard = list(self.fleets[other].receive(self.now, number, payload))
                    self.words[other] += [word for word in heard if isinstance(word, WorkerObservation)]

    def seen(self, number: int, key: int) -> float:
        """Slots out on a worker, as a member sees it."""
        own = self.out[number].get(key, 0)
        return own + self.fleets[number].in_flight_elsewhere(key, own)

    def true(self, key: int) -> int:
        return sum(out.get(key, 0) for n, out in enumerate(self.out) if n not in self.dead)

    @property
    def hubs(self) -> set[int | None]:
        return {fleet.aggregator for n, fleet in enumerate(self.fleets) if n not in self.dead}


def test_the_lowest_number_becomes_the_hub_and_all_hear_of_each_send() -> None:
    circle = Circle()
    circle.run(AGGREGATOR_TIMEOUT_S + 0.3)
    assert circle.hubs == {0}
    for number in range(20):
        circle.send(number, number % 7)
    circle.run(0.3)
    assert all(circle.seen(n, key) == circle.true(key) for n in range(20) for key in range(7))
    circle.send(5, 5, codec.DeltaKind.SERVED)
    circle.send(6, 6, codec.DeltaKind.FAILED)
    circle.send(13, 6, codec.DeltaKind.FAILED)
    circle.run(0.4)
    assert [circle.seen(n, 5) for n in range(20)] == [2] * 20
    assert any(word.served for word in circle.words[9] if word.key == 5)
    assert sum(word.failures for word in circle.words[9] if word.key == 6) == 2


def test_a_hub_that_dies_is_followed_by_the_next_and_nothing_counts_twice() -> None:
    circle = Circle()
    circle.run(1.0)
    for number in range(20):
        circle.send(number, 3)
    circle.run(0.3)
    circle.dead = set(range(14))  # most at once, the hub among them
    circle.run(AGGREGATOR_TIMEOUT_S + 14 * ELECTION_STAGGER_S + 0.5)
    assert circle.hubs == {14}
    assert {circle.seen(n, 3) for n in range(14, 20)} == {6}
    for number in range(14):
        circle.restart(number)
    circle.send(2, 3)
    circle.run(1.0)
    assert circle.hubs == {14}  # it stays: a hub that works is not replaced
    assert {circle.seen(n, 3) for n in range(20)} == {7}


def test_of_two_hubs_the_higher_gives_way() -> None:
    circle = Circle()
    circle.fleets[11].aggregator = 11
    circle.fleets[4].aggregator = 4
    circle.send(7, 1)
    circle.run(0.6)
    assert circle.hubs == {4}
    assert {circle.seen(n, 1) for n in range(20)} == {1}


@pytest.mark.parametrize("seed", range(4))
def test_lost_datagrams_are_mended_by_later_ones(seed: int) -> None:
    circle = Circle(loss=0.3, seed=seed)
    circle.run(1.5)
    for _ in range(60):
        circle.send(circle.random.randrange(20), circle.random.randrange(10))
        circle.run(0.1)
    circle.loss = 0.0
    for number, fleet in enumerate(circle.fleets):  # the reports that go to all now and then
        fleet.send_report(codec.DemandReport(0, 0, 1.0, in_flight=list(circle.out[number].items())))
    circle.run(1.5)
    assert all(circle.seen(n, key) == circle.true(key) for n in range(20) for key in range(10))


def test_with_every_datagram_lost_each_counts_its_own_and_goes_on() -> None:
    circle = Circle(loss=1.0)
    circle.send(3, 1)
    circle.run(4.0)
    assert circle.seen(3, 1) == 1
    assert circle.seen(4, 1) == 0


def test_a_dispatcher_that_falls_silent_takes_its_jobs_with_it_and_one_with_little_to_do_does_not() -> None:
    circle = Circle()
    circle.run(1.0)
    circle.send(8, 2)
    circle.send(9, 2)
    circle.run(4.0)  # neither has anything to tell, for longer than the hub waits for a word
    assert circle.seen(1, 2) == 2
    circle.dead = {8}
    circle.run(2.0 + HEARTBEAT_S + 0.5)
    assert circle.seen(1, 2) == 1


def test_the_cost_of_telling_grows_with_the_group_and_not_with_its_square() -> None:
    def cost(size: int) -> float:
        circle = Circle(size)
        circle.run(2.0)
        before = circle.delivered
        for _ in range(40):
            for number in range(size):
                circle.send(number, number)
                circle.send(number, number, codec.DeltaKind.SERVED)
            circle.run(0.25)
        return (circle.delivered - before) / 40

    assert cost(60) < 2.5 * cost(30)


def test_a_page_of_the_board_is_bounded_and_tells_again_what_is_old() -> None:
    circle = Circle(12)
    circle.run(1.0)
    for key in range(300):
        circle.send(1 + key % 11, key)
    circle.run(1.0)
    assert all(circle.seen(5, key) == 1 for key in range(300))
    circle.fleets[5].aggregated_in_flight.clear()  # as if all of that had been lost to it
    circle.run(300 / 4 * 0.15 + 1.0)
    assert all(circle.seen(5, key) == 1 for key in range(300))


@given(
    st.binary(max_size=300),
    st.sampled_from([codec.MessageType.DELTAS, codec.MessageType.AGGREGATE, codec.MessageType.REPORT]),
    st.integers(-1, 30),
)
def test_no_bytes_raise_and_strangers_are_not_heard(data: bytes, kind: int, number: int) -> None:
    fleet = GossipNode(20, 3, 7, 0.5)
    fleet.start(100.0)
    heard = list(fleet.receive(100.0, number, bytes([kind]) + data))
    if not 0 <= number < 20 or number == 3:
        assert heard == []
        assert not fleet.peers


def test_a_board_survives_its_bytes() -> None:
    board = codec.AggregateMessage(9, 200, 300, [(16383, 40, 5, True), (0, 0, 0, False)])
    data = codec.encode_aggregate(board)
    assert codec.decode(data) == codec.AggregateMessage(9, 200, 255, [(16383, 31, 3, True), (0, 0, 0, False)])
    assert codec.decode(data[:-1]) is None

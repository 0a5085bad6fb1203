"""Lease nodes in large fleets and with foreign datagrams, and the time until a lease has a holder."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lease_fleet import Fleet

from beaconhinge.leases import node, terms, wire
from beaconhinge.leases.holder import LeaseAcquired, LeaseEnded
from beaconhinge.leases.terms import Council, LeaseTerms
from beaconhinge.leases.votes import SendMessage
from beaconhinge.leases.wire import GRANT, REQUEST, LeaseMessage

MESSAGES = st.builds(
    LeaseMessage,
    st.integers(1, 6),
    st.integers(0, 3),
    st.integers(0, 5),
    st.integers(1, 2),
    st.integers(0, 9),
    st.sampled_from((0, 500, 2000, 2**32 - 1)),
)


def test_leases_keep_one_holder_each_while_a_zone_is_cut_off() -> None:
    """200 nodes, 9 of them voting, 20 leases: the cut-off minority must lose its leases within a span.

    Nodes that want no lease send nothing, and voters send fewer than 1000 datagrams a second.
    """
    fleet = Fleet(200, 9, 20, seed=3)
    fleet.want(range(0, 200, 3))
    fleet.run(6.0)
    assert all(len(fleet.holders(lease)) == 1 for lease in range(20))
    minority = frozenset(range(0, 4)) | frozenset(range(9, 100))
    held = {lease: fleet.holders(lease)[0] for lease in range(20)}
    assert set(held.values()) & minority
    assert not set(held.values()) <= minority
    fleet.cut = minority
    fleet.run(8.0)  # a span
    for _ in range(40):
        fleet.run(fleet.now + 0.1)
        assert all(
            len(fleet.holders(lease)) <= 1 and not set(fleet.holders(lease)) & minority for lease in range(20)
        )
    assert all(len(fleet.holders(lease)) == 1 for lease in range(20))
    fleet.cut = frozenset()
    fleet.sent.clear()
    fleet.run(17.0)
    assert all(len(fleet.holders(lease)) == 1 for lease in range(20))
    voters = max(fleet.sent[n] for n in range(9)) / 5.0
    idle = max(fleet.sent[n] for n in range(9, 200) if n % 3) / 5.0
    assert idle == 0
    assert voters < 1000


@pytest.mark.parametrize("size", [3, 5, 9])
def test_lease_outlives_killed_holders_and_lost_datagrams(size: int) -> None:
    """A killed holder is replaced within 1.5 spans; a loss of 30 % of the datagrams ends no tenure."""
    waits = []
    for seed in range(20):
        fleet = Fleet(size, size, 1, seed=seed)
        fleet.want(range(size))
        fleet.run(1.0 + seed / 20)
        [holder] = fleet.holders(0)
        del fleet.nodes[holder]
        died = fleet.now
        while not fleet.holders(0):
            fleet.run(fleet.now + 0.01)
            assert fleet.now < died + 3.0
        waits.append(fleet.now - died)
    assert sorted(waits)[10] < 2.3
    lossy = Fleet(size, size, 4, seed=7, loss=0.3)
    lossy.want(range(size))
    lossy.run(3.0)
    numbers = [lossy.nodes[lossy.holders(lease)[0]].holders[lease].tenure.number for lease in range(4)]  # type: ignore[union-attr]
    lossy.run(63.0)
    again = [lossy.nodes[lossy.holders(lease)[0]].holders[lease].tenure.number for lease in range(4)]  # type: ignore[union-attr]
    assert again == numbers  # about 400 renewals while 30 % of the datagrams are lost


def test_released_lease_goes_to_another_node_despite_a_new_request() -> None:
    """A node that hands a lease over must not win it back before the others can request it."""
    fleet = Fleet(3, 3, 1, seed=5)
    fleet.want(range(3))
    fleet.run(3.0)
    [holder] = fleet.holders(0)
    fleet.perform(holder, fleet.nodes[holder].release(fleet.now, 0, 2.0))
    fleet.perform(holder, fleet.nodes[holder].want(fleet.now, 0))
    fleet.run(6.0)
    assert fleet.holders(0)
    assert fleet.holders(0) != [holder]


# Random messages, except true grants, must raise nothing, give no tenure and make no vote longer than a span.
# They come from members and others, with any council and round, while the node requests a lease.
@given(st.lists(st.tuples(st.integers(0, 4), MESSAGES, st.floats(0.0, 1.0)), max_size=30))
def test_foreign_messages_raise_nothing_and_make_nobody_a_holder(
    told: list[tuple[int, LeaseMessage, float]],
) -> None:
    """Of other councils, to no request, or of dispatchers without a vote, while the process requests."""
    council, now = Council(1, frozenset({0, 1, 2})), 100.0
    made = node.new_node(0, council, LeaseTerms(2.0), now, random.Random(1).random)
    made.member.silent_until = 0.0
    done = made.want(now, 1)
    asked = {action.message.round_id for action in done if isinstance(action, SendMessage)}
    for sender, message, passed in told:
        now += passed
        if message.round_id in asked and message.kind == GRANT:
            continue
        done = made.receive(now, sender, message)
        asked |= {
            action.message.round_id
            for action in done
            if isinstance(action, SendMessage) and action.message.kind == REQUEST
        }
        assert not any(isinstance(action, LeaseAcquired | LeaseEnded) for action in done)
        assert all(vote.until <= now + LeaseTerms(2.0).grant_span for vote in made.member.votes.values())


# Truncated, too long or foreign datagrams must decode to None, and messages round-trip in 28 bytes.
@given(st.binary(max_size=60), MESSAGES)
def test_what_is_no_message_is_none(noise: bytes, message: LeaseMessage) -> None:
    data = wire.encode(message)
    assert wire.decode(data) == message
    assert len(data) == 28
    assert all(wire.decode(data[:cut]) is None for cut in range(28))
    assert wire.decode(data + b"x") is None
    assert noise[:1] == b"\x7d" and len(noise) == 28 or wire.decode(noise) is None
    assert wire.decode(b"\x7d\x07" + data[2:]) is None
    assert wire.decode(b"\x7d\x00" + data[2:]) is None


def test_new_council_grants_nothing_before_the_previous_one_is_left() -> None:
    """Else both councils could have a majority; for the same reason members change one at a time."""
    three, four = frozenset({0, 1, 2}), frozenset({0, 1, 2, 3})
    assert Council(2, four, three).problem() is None
    assert Council(2, three, four).problem() is None
    assert "one at a time" in (Council(2, frozenset({0, 1, 3, 4}), three).problem() or "")
    made = node.new_node(3, Council(2, four, three), LeaseTerms(2.0), 100.0, random.random)
    steps = [action.to for action in made.member.announce_council() if isinstance(action, SendMessage)]
    assert steps == [0, 1, 2]
    assert made.member.voting_at == float("inf")
    made.receive(110.0, 0, LeaseMessage(wire.COUNCIL_CHANGE, 1))
    made.receive(110.0, 1, LeaseMessage(wire.COUNCIL_CHANGE, 2, 1))
    assert made.member.voting_at == float("inf")  # only one of three has left the previous council
    made.receive(111.0, 2, LeaseMessage(wire.COUNCIL_CHANGE, 2))
    assert made.member.voting_at == 111.0 + LeaseTerms(2.0).silence
    assert made.member.announce_council() == []
    assert terms.LEASE_NAME.fullmatch("restart.0")
    assert not terms.LEASE_NAME.fullmatch("Restart")
    assert not terms.LEASE_NAME.fullmatch("a b")

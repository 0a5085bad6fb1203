"""Reports and deltas of peers: demand shares, slots in use and failures of workers."""

from __future__ import annotations

import pytest
from decision_helpers import group
from helpers import job, sends
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.gossip import codec
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import REPORT_TIMER, TICK_TIMER


def report(incarnation: int, sequence: int, allowed: float, in_flight: int = 0) -> interface.PeerMessage:
    slots = [(codec.worker_key(100), in_flight)] if in_flight else []
    body = codec.DemandReport(incarnation, sequence, 0.5, [(0, 0, allowed, 0.0)], in_flight=slots)
    return interface.PeerMessage(1, codec.encode_report(body))


def deltas(incarnation: int, sequence: int, *entries: tuple[int, int]) -> interface.PeerMessage:
    keyed_entries = [(codec.worker_key(worker), kind) for worker, kind in entries]
    return interface.PeerMessage(
        1, codec.encode_deltas(codec.DeltaMessage(incarnation, sequence, keyed_entries))
    )


def test_new_bucket_is_reported_at_once() -> None:
    """Until peers know of a new tenant's demand they take too large a share of its rate."""
    actions = group(1, 0).handle(100.0, job(1))
    assert any(isinstance(a, interface.SendToPeer) for a in actions)


def test_demand_share_is_one_nth_until_the_peer_reports() -> None:
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, job(1))
    dispatcher.handle(100.5, interface.TimerFired(REPORT_TIMER))
    assert dispatcher.admission.own_demand_share(dispatcher.admission.total_demand()) == 0.5
    dispatcher.handle(100.6, report(5, 1, 50.0))
    assert dispatcher.admission.own_demand_share(dispatcher.admission.total_demand()) < 0.1


def test_stale_repeated_and_invalid_reports_are_ignored() -> None:
    """Datagrams may be reordered, repeated or damaged, or come from an unknown peer."""
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 10, 5.0))
    before = dict(dispatcher.gossip.peers[1].demand)
    for payload in (
        report(5, 10, 90.0),
        report(5, 9, 90.0),
        interface.PeerMessage(1, b"xx"),
        interface.PeerMessage(3, b""),
    ):
        dispatcher.handle(100.1, payload)
    assert dispatcher.gossip.peers[1].demand == before
    assert 3 not in dispatcher.gossip.peers


def test_restarted_peer_loses_its_old_demand_at_once() -> None:
    """The demand of the peer's previous process would reduce this dispatcher's share."""
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 10, 500.0))
    dispatcher.handle(100.5, report(6, 1, 0.5))
    assert sum(dispatcher.gossip.peers[1].demand.values()) == pytest.approx(1.0, rel=0.1)


def test_silent_peer_is_forgotten_with_its_slots() -> None:
    """A peer that has crashed would otherwise hold its slots and demand forever."""
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 1, 5.0, in_flight=3))
    assert dispatcher.limits.slots_in_flight(dispatcher.workers[100]) == 3
    dispatcher.handle(110.0, interface.TimerFired(TICK_TIMER))
    assert dispatcher.limits.slots_in_flight(dispatcher.workers[100]) == 0
    assert not dispatcher.gossip.peers[1].demand


def test_deltas_count_slots_and_a_report_corrects_lost_ones() -> None:
    """Deltas may be lost, repeated or late; the next report contains the true number of slots."""
    dispatcher, worker = group(1, 0), 100
    slots = lambda: dispatcher.limits.slots_in_flight(dispatcher.workers[worker])  # noqa: E731
    dispatcher.handle(100.0, deltas(5, 1, (worker, codec.DeltaKind.SENT)))
    assert slots() == 1
    dispatcher.handle(100.0, report(5, 2, 1.0, in_flight=1))
    sent, ended = (worker, codec.DeltaKind.SENT), (worker, codec.DeltaKind.SERVED)
    for message, expected_slots in (
        (deltas(5, 3, sent, sent), 3),
        (deltas(5, 3, sent, sent), 3),
        (deltas(5, 2, sent), 3),
        (deltas(5, 5, ended, ended, ended, ended), 0),
        (deltas(5, 6, sent), 1),
        (report(5, 7, 1.0, in_flight=4), 4),
        (deltas(6, 8, sent), 1),
        (report(6, 9, 1.0, in_flight=2), 2),
    ):
        dispatcher.handle(100.1, message)
        assert slots() == expected_slots
    dispatcher.handle(100.2, interface.PeerMessage(1, deltas(6, 10, sent).payload[:-1]))
    # Deltas of a worker that is not in the own list are ignored.
    dispatcher.handle(100.2, deltas(6, 10, (999, codec.DeltaKind.SENT)))
    assert slots() == 2
    assert 999 not in dispatcher.workers


def test_peers_failures_eject_a_worker_and_successes_restore_it() -> None:
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 1, 1.0))
    worker = dispatcher.workers[100]
    dispatcher.handle(100.0, deltas(5, 2, (100, codec.DeltaKind.FAILED)))
    assert not worker.on_probation  # one failure that a peer reports does not eject a worker
    dispatcher.handle(100.1, deltas(5, 3, (100, codec.DeltaKind.FAILED)))
    assert worker.on_probation
    assert worker.ejected_until > 100.1
    for sequence in range(4, 8):
        dispatcher.handle(100.2, deltas(5, sequence, (100, codec.DeltaKind.SERVED)))
    assert not worker.on_probation
    assert worker.ejected_until < 100.2


def test_peer_with_all_slots_does_not_starve_this_dispatcher() -> None:
    """A peer that holds all slots could refill them forever, so this dispatcher may use its share of them."""
    dispatcher = group(1, 0)
    body = codec.DemandReport(5, 1, 0.5, in_flight=[(codec.worker_key(100 + i), 2) for i in range(4)])
    dispatcher.handle(100.0, interface.PeerMessage(1, codec.encode_report(body)))
    assert sends(dispatcher.handle(100.0, job(1)))


def test_report_bytes_round_trip_and_stay_in_the_limit() -> None:
    full = codec.DemandReport(
        7, 7000, 0.5, [(t, 0, 1.0, 2.0) for t in range(20)], [(0, 5.25)], [(w, 2) for w in range(90)]
    )
    data = codec.encode_report(full)
    assert len(data) <= codec.MAX_BYTES
    decoded = codec.decode(data)
    assert isinstance(decoded, codec.DemandReport)
    assert decoded.limits == full.limits
    assert decoded.in_flight
    assert decoded.in_flight == full.in_flight[: len(decoded.in_flight)]
    for decoded_bucket, bucket in zip(decoded.buckets, full.buckets, strict=True):
        assert decoded_bucket[:2] == bucket[:2]
        assert decoded_bucket[2:] == pytest.approx(bucket[2:], rel=0.05)
    for bad in (data[:-1], data + b"\0", b"\0" + data[1:], b""):
        assert codec.decode(bad) is None
    short = codec.encode_deltas(codec.DeltaMessage(7, 300, [(w, w % 4) for w in range(300)]))
    again = codec.decode(short)
    assert len(short) <= codec.MAX_BYTES
    assert isinstance(again, codec.DeltaMessage)
    assert (again.sequence, again.entries[5]) == (44, (5, 1))
    assert codec.decode(short[:-1]) is None


@given(st.binary(max_size=260))
def test_no_bytes_from_a_peer_raise_or_make_a_worker_known(data: bytes) -> None:
    dispatcher = group(1, 0)
    for payload in (data, bytes([codec.MessageType.DELTAS]) + data, bytes([codec.MessageType.REPORT]) + data):
        dispatcher.handle(100.0, interface.PeerMessage(1, payload))
    assert set(dispatcher.workers) == {100, 101, 102, 103}

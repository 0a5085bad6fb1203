"""One dispatcher's side of the gossip: what it sends to its peers, and what it has heard from them.

In a small group each dispatcher sends a delta to all others for each attempt and its end. In a larger one
that would cost more than it is worth. One of the group, the aggregator, receives the deltas and sends all of
them an aggregate: slots in flight by worker, in absolute figures, so that a later aggregate corrects a lost
one. A dispatcher that has heard no aggregate for a while becomes the aggregator, lower numbers sooner; of two
the higher-numbered one gives way. Reports of demand are rarer and go to all. A fleet of 80 or more is divided
into groups, whose aggregators exchange their aggregates; one that hears no other extrapolates from itself.

Pure: times are arguments, and what is to be sent lies in `outbox`.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass

from . import codec
from .groups import AGGREGATOR_TIMEOUT_S, GroupLayout, RemoteGroup
from .in_flight import InFlightTable
from .peers import Peer

INF = float("inf")

# Peers up to which each dispatcher sends its deltas to all others.
MAX_DIRECT_PEERS = 8
# Reports missed before a peer's demand is dropped.
MAX_MISSED_REPORTS = 4
# Without a message from a peer for so long its attempts count as over.
PEER_TIMEOUT_S = 2.0
# A dispatcher with nothing to send shows that it is alive after so long.
HEARTBEAT_S = 0.8
# How long a send or a failure waits to share a datagram with others, and how long any other end does.
URGENT_DELAY_S = 0.02
BATCH_DELAY_S = 0.1
# Between two aggregates, and the same when a worker has failed.
AGGREGATE_INTERVAL_S = 0.1
AGGREGATE_FAILURE_INTERVAL_S = 0.02
# After so long an own send shows in the aggregate.
AGGREGATE_LAG_S = 0.15
# Workers in an aggregate of other groups, those that changed most: each byte goes to all.
MAX_REMOTE_ENTRIES = 24
# Between two aggregates of other groups, and the age from which one says nothing any more.
REMOTE_INTERVAL_S = 0.25
REMOTE_TIMEOUT_S = 1.0
# By rank, so that one dispatcher after the other would become the aggregator.
ELECTION_STAGGER_S = 0.03


@dataclass(slots=True, frozen=True)
class WorkerObservation:
    """What was heard of one worker: whether it served, and how often it was at fault."""

    key: int
    served: bool
    failures: int


class GossipNode:
    """The gossip of one dispatcher with its group, and as its aggregator with other groups.

    Attributes:
        outbox: Datagrams to be sent, each with the number of its receiver; -1 is every dispatcher.
        introduce: The aggregator, or a peer, is new and does not know what this dispatcher has in flight: it
            wants a report.
        sends: Attempts sent by the whole group since the caller last reset it, as far as heard.
        standing: How many dispatchers of the fleet each peer stands for.
    """

    def __init__(
        self, group_size: int, own_number: int, incarnation: int, min_report_interval_s: float
    ) -> None:
        self.group_size = group_size
        self.own_number = own_number
        self.incarnation = incarnation
        self.min_report_interval_s = min_report_interval_s  # seconds between reports, at least
        layout = GroupLayout(group_size)
        self.group_count = layout.group_count
        own_group = layout.group_of(own_number)
        members = layout.members(own_group)
        self.rank = members.index(own_number)
        self.group_peers = [number for number in members if number != own_number]
        self.broadcast_targets = [-1] if self.group_count == 1 else self.group_peers
        self.peer_weight = (group_size - 1) / max(1, len(self.group_peers))
        self.remote_groups = {
            group: RemoteGroup(layout.members(group))
            for group in range(self.group_count)
            if group != own_group
        }
        # Slots that other groups have in flight, by key of a worker.
        self.remote_in_flight: Counter[int] = Counter()
        self._remote_heard_at = self._remote_sent_at = -INF
        # What was last sent of them, those sent longest ago first.
        self._remote_sent: Counter[int] = Counter()
        self._now = 0.0
        self.sends_directly = len(self.group_peers) <= MAX_DIRECT_PEERS
        self.outbox: list[tuple[int, bytes]] = []
        self.sends = 0
        self.peers: dict[int, Peer] = {}
        self.aggregator: int | None = None
        self.wants_report = False
        # What this dispatcher knows by deltas: as the aggregator, or in a small group.
        self.in_flight_table = InFlightTable()
        # Slots that the whole group has in flight by worker, from aggregates.
        self.aggregated_in_flight: Counter[int] = Counter()
        self._aggregator_heard_at = -INF
        # Own changes that no aggregate may show yet, as time, key of a worker and slots; their sums by key.
        self._unconfirmed: deque[tuple[float, int, int]] = deque()
        self._unconfirmed_sums: Counter[int] = Counter()
        self._sequence = 0
        self._deltas: list[codec.Delta] = []
        self._deltas_due_at = INF
        self._sent_at = self._aggregate_sent_at = -INF

    @property
    def is_aggregator(self) -> bool:
        """Whether this dispatcher is the aggregator of its group."""
        return self.aggregator == self.own_number

    @property
    def hears_remote_groups(self) -> bool:
        """Whether aggregates of other groups are recent.

        By the own fifth of a worker's jobs alone a full one looks free, and a free one full, so often that a
        busy fleet queues them at random.
        """
        return self._now - self._remote_heard_at <= REMOTE_TIMEOUT_S

    def in_flight_elsewhere(self, key: int, own: float) -> float:
        """Slots that other dispatchers have in flight on a worker, on which this one has `own`."""
        if self.sends_directly or self.is_aggregator:
            in_flight = self.in_flight_table.slots[key]
        else:
            in_flight = self.aggregated_in_flight[key] + self._unconfirmed_sums[key]
        in_group = max(0.0, in_flight - own)
        if self.hears_remote_groups:
            return in_group + self.remote_in_flight[key]
        return self.peer_weight * in_group

    # ---- sending -------------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        """Begin at `now`: the aggregator has as long as after an aggregate to show itself."""
        self._aggregator_heard_at = self._sent_at = now

    def process_resumed(self, now: float) -> None:
        """Forget what was heard before the process stood still: another may be the aggregator by now."""
        self.start(now)
        if self.sends_directly:
            return
        self.aggregator, self.in_flight_table = None, InFlightTable()
        self.aggregated_in_flight.clear()
        for peer in self.peers.values():
            peer.in_flight.clear()

    def record(self, now: float, key: int, what: int, slots: int) -> None:
        """Record an own attempt, or its end, on the worker with this key."""
        by = slots if what == codec.DeltaKind.SENT else -slots
        self.sends += max(by, 0)
        self.in_flight_table.adjust(key, by)
        if self.is_aggregator:
            self.in_flight_table.record(key, what)
        else:
            self._deltas += [codec.Delta(key, what)] * slots
            self._unconfirmed.append((now, key, by))
            self._unconfirmed_sums[key] += by
        urgent = what in (codec.DeltaKind.SENT, codec.DeltaKind.FAILED)
        self._deltas_due_at = min(self._deltas_due_at, now + (URGENT_DELAY_S if urgent else BATCH_DELAY_S))

    def send_report(self, report: codec.DemandReport, to: int = -1) -> int:
        """Send a report to the whole group, or to one dispatcher of it.

        Returns:
            The bytes delivered, over all receivers.
        """
        if to == self.own_number:  # a new aggregator takes its own report first
            for key, slots in report.in_flight:
                self.in_flight_table.adjust(key, slots)
            return 0
        report.incarnation, report.sequence = self.incarnation, self._next_sequence()
        payload = codec.encode_report(report)
        self.outbox += [(number, payload) for number in (self.broadcast_targets if to < 0 else [to])]
        return len(payload) * len(self.group_peers)

    def advance(self, now: float) -> None:
        """Put into the outbox what is due; to be called after each event."""
        self._now = now
        while self._unconfirmed and self._unconfirmed[0][0] < now - AGGREGATE_LAG_S:
            _, key, by = self._unconfirmed.popleft()
            self._unconfirmed_sums[key] -= by
        if self.is_aggregator:
            self._send_aggregates(now)
        elif self._aggregator_is_missing(now):
            self._become_aggregator()
        elif now >= self._deltas_due_at or not self.sends_directly and now - self._sent_at > HEARTBEAT_S:
            self._send_deltas(now)

    def _aggregator_is_missing(self, now: float) -> bool:
        silence = now - self._aggregator_heard_at
        return not self.sends_directly and silence > AGGREGATOR_TIMEOUT_S + ELECTION_STAGGER_S * self.rank

    def _become_aggregator(self) -> None:
        self.aggregator, self.in_flight_table = self.own_number, InFlightTable()
        for peer in self.peers.values():
            peer.in_flight.clear()  # each will send a report
        self.wants_report = True

    def _send_deltas(self, now: float) -> None:
        if self.aggregator is not None or self.sends_directly:
            message = codec.DeltaMessage(self.incarnation, self._next_sequence(), self._deltas)
            payload = codec.encode_deltas(message)
            targets = self.broadcast_targets if self.aggregator is None else [self.aggregator]
            self.outbox += [(number, payload) for number in targets]
        self._deltas, self._deltas_due_at, self._sent_at = [], INF, now

    def _send_aggregates(self, now: float) -> None:
        interval = AGGREGATE_FAILURE_INTERVAL_S if self.in_flight_table.failures else AGGREGATE_INTERVAL_S
        if now - self._aggregate_sent_at >= interval:
            payload = codec.encode_aggregate(
                self.in_flight_table.next_aggregate(self.incarnation, self._next_sequence())
            )
            self.outbox += [(number, payload) for number in self.broadcast_targets]
            self.outbox += [(group.contact(now), payload) for group in self.remote_groups.values()]
            self._aggregate_sent_at = now
        if self.remote_groups and now - self._remote_sent_at >= REMOTE_INTERVAL_S:
            self._remote_sent_at = now
            self._send_remote_aggregate(now)

    def _send_remote_aggregate(self, now: float) -> None:
        """Send the group what other groups have in flight, where that has changed most first.

        What was sent longest ago follows, which corrects what was lost. Groups that are not heard are taken
        to be like the others.
        """
        heard = [
            group.in_flight
            for group in self.remote_groups.values()
            if now - group.heard_at <= REMOTE_TIMEOUT_S
        ]
        if not heard:
            return
        scale = len(self.remote_groups) / len(heard)
        sums = Counter[int]()
        for in_flight in heard:
            sums.update(in_flight)
        self.remote_in_flight = Counter({key: round(scale * slots) for key, slots in sums.items()})
        self._remote_heard_at = now
        # Sorting keeps the order of equal changes: of those the one sent longest ago comes first.
        order = sorted(
            {**self._remote_sent, **self.remote_in_flight},
            key=lambda key: -abs(self.remote_in_flight[key] - self._remote_sent[key]),
        )
        entries = []
        for key in order[:MAX_REMOTE_ENTRIES]:
            del self._remote_sent[key]
            self._remote_sent[key] = self.remote_in_flight[key]
            entries.append(codec.WorkerLoad(key, self.remote_in_flight[key], 0, False))
        aggregate = codec.AggregateMessage(
            self.incarnation, self._next_sequence(), 0, entries, covers_other_groups=True
        )
        payload = codec.encode_aggregate(aggregate)
        self.outbox += [(number, payload) for number in self.broadcast_targets]

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) & 0xFFFF
        return self._sequence

    # ---- receiving -----------------------------------------------------------------------------------------

    def receive(
        self, now: float, number: int, payload: bytes
    ) -> Iterator[WorkerObservation | codec.DemandReport]:
        """Take in a datagram of dispatcher `number`, if it is new and of the own group.

        Yields what it says of single workers, each of which counts from the moment that it is asked for, or
        the report itself. Datagrams that cannot be read are passed over.
        """
        message = codec.decode(payload)
        if number not in self.group_peers:
            self._receive_from_other_group(now, number, message)
            return
        if message is None:
            return
        peer = self._known_peer(number, message)
        if not self._is_newer(peer, message):
            return
        peer.heard_at = now
        if isinstance(message, codec.DemandReport):
            self._receive_report(peer, message)
            yield message
        elif isinstance(message, codec.AggregateMessage):
            yield from self._receive_aggregate(now, number, message)
        else:
            yield from self._receive_deltas(peer, message)

    def _receive_from_other_group(self, now: float, number: int, message: codec.Message | None) -> None:
        group = self.remote_groups.get(number * self.group_count // self.group_size)
        if group is None or not self.is_aggregator:
            return
        if isinstance(message, codec.AggregateMessage) and not message.covers_other_groups:
            group.receive(now, number, message)

    def _known_peer(self, number: int, message: codec.Message) -> Peer:
        peer = self.peers.get(number)
        if peer is None or peer.incarnation != message.incarnation:  # restarted: its old usage is not its own
            self._replace_in_flight(peer or Peer(), Counter())
            peer = self.peers[number] = Peer(message.incarnation, message.sequence - 1)
            self.wants_report = self.wants_report or self.sends_directly or number == self.aggregator
        return peer

    @staticmethod
    def _is_newer(peer: Peer, message: codec.Message) -> bool:
        """Advance the peer's sequence; False for a message that is repeated, or overtaken by a newer one."""
        bits = codec.REPORT_SEQUENCE_MASK if isinstance(message, codec.DemandReport) else codec.SEQUENCE_MASK
        ahead = (message.sequence - peer.sequence) & bits
        if not 0 < ahead <= bits // 2:
            return False
        peer.sequence = (peer.sequence + ahead) & codec.REPORT_SEQUENCE_MASK
        return True

    def _receive_deltas(self, peer: Peer, message: codec.DeltaMessage) -> Iterator[WorkerObservation]:
        for key, kind in message.entries:
            self.sends += kind == codec.DeltaKind.SENT
            # Where the delta of the send was lost there is nothing to take off at its end.
            by = 1 if kind == codec.DeltaKind.SENT else max(-1, -peer.in_flight[key])
            peer.in_flight[key] += by
            self.in_flight_table.adjust(key, by)
            if self.is_aggregator:
                self.in_flight_table.record(key, kind)
            yield WorkerObservation(key, kind == codec.DeltaKind.SERVED, int(kind == codec.DeltaKind.FAILED))

    def _receive_aggregate(
        self, now: float, number: int, message: codec.AggregateMessage
    ) -> Iterator[WorkerObservation]:
        if number != self.aggregator:
            if (
                self.aggregator is not None
                and self.aggregator < number
                and now - self._aggregator_heard_at <= AGGREGATOR_TIMEOUT_S
            ):
                return  # it will give way
            self.aggregator, self.wants_report = number, True
            self.aggregated_in_flight.clear()
            self.remote_in_flight.clear()
        self._aggregator_heard_at = now
        if message.covers_other_groups:
            self._remote_heard_at = now
            for key, slots, _, _ in message.entries:
                self.remote_in_flight[key] = slots
            return
        self.sends += message.sends
        for key, slots, failures, served in message.entries:
            self.aggregated_in_flight[key] = slots
            yield WorkerObservation(key, served, failures)

    def _receive_report(self, peer: Peer, report: codec.DemandReport) -> None:
        peer.take_report(report, self.min_report_interval_s)
        if self.sends_directly or self.is_aggregator:
            self._replace_in_flight(peer, Counter(dict(report.in_flight)))

    def _replace_in_flight(self, peer: Peer, in_flight: Counter[int]) -> None:
        for key in {*peer.in_flight, *in_flight}:
            self.in_flight_table.adjust(key, in_flight[key] - peer.in_flight[key])
        peer.in_flight = in_flight

    def forget_silent_peers(self, now: float) -> None:
        """Drop the demand and the attempts of peers that have not been heard for too long."""
        for peer in self.peers.values():
            if peer.demand and now - peer.heard_at > MAX_MISSED_REPORTS * peer.report_interval_s:
                peer.demand, peer.admitted = {}, 0.0
            if peer.in_flight and now - peer.heard_at > PEER_TIMEOUT_S:
                self._replace_in_flight(peer, Counter())

    # ---- the whole fleet -----------------------------------------------------------------------------------

    @property
    def all_peers_heard(self) -> bool:
        """Whether every peer of the group has been heard at least once."""
        return len(self.peers) == len(self.group_peers)

    @property
    def fleet_scale(self) -> float:
        """How many dispatchers of the fleet each one that is heard stands for, this one included."""
        return self.group_size / (1 + len(self.peers))

    def fleet_demand(self, own: dict[tuple[int, int], float]) -> dict[tuple[int, int], float]:
        """Work per second that the whole fleet is asked for, by tenant and class."""
        total = Counter(own)
        for peer in self.peers.values():
            total.update(peer.demand)
        return {key: rate * self.fleet_scale for key, rate in total.items()}

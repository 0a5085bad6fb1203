"""One dispatcher's side of the gossip: the messages that it sends to its peers, and what it has received.

In a small group each dispatcher sends a delta to all others for each attempt and for its end. In a larger
group that would cost more than it is worth. One dispatcher, the aggregator, receives the deltas of the group
and sends every member an aggregate: the slots in flight by worker, as absolute numbers, so that a later
aggregate corrects a lost one. A dispatcher that has received no aggregate for a while becomes the aggregator,
lower numbers sooner; of two aggregators the one with the higher number gives way. Reports of demand are rarer
and are sent to all. A fleet of 80 or more dispatchers is divided into groups, whose aggregators exchange
their aggregates. A group that receives none from the others extrapolates their load from its own.

No I/O: times are arguments, in seconds, and datagrams to send are put into `outbox`.
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

# The largest number of group peers with which each dispatcher sends its deltas to all others.
MAX_DIRECT_PEERS = 8
# The number of report intervals without a message after which a peer's demand is dropped.
MAX_MISSED_REPORTS = 4
# A peer that has sent no message for this time has its attempts counted as ended.
PEER_TIMEOUT_S = 2.0
# A dispatcher that has sent no deltas to its aggregator for this time sends an empty message, to show that it
# is alive.
HEARTBEAT_S = 0.8
# How long the delta of a send or of a failure waits for others to share its datagram.
URGENT_DELAY_S = 0.02
# How long the delta of any other end waits for that.
BATCH_DELAY_S = 0.1
# The time between two aggregates.
AGGREGATE_INTERVAL_S = 0.1
# The time between two aggregates when a worker has failed.
AGGREGATE_FAILURE_INTERVAL_S = 0.02
# The time after which the aggregate is taken to include an own send.
AGGREGATE_LAG_S = 0.15
# The most workers in an aggregate of other groups, which holds those that changed most. The bound matters as
# each byte is sent to all members.
MAX_REMOTE_ENTRIES = 24
# The time between two aggregates of other groups.
REMOTE_INTERVAL_S = 0.25
# The age from which an aggregate of other groups is no longer used.
REMOTE_TIMEOUT_S = 1.0
# The additional time, per rank in the group, before a dispatcher becomes the aggregator. It keeps several
# dispatchers from doing so at once.
ELECTION_STAGGER_S = 0.03


@dataclass(slots=True, frozen=True)
class WorkerObservation:
    """Outcomes on one worker as reported by a peer or the aggregator.

    Attributes:
        key: The worker's key.
        served: Whether the worker has served an attempt.
        failures: How many attempts ended by the worker's fault.
    """

    key: int
    served: bool
    failures: int


class GossipNode:
    """The gossip of one dispatcher with its group and, if it is the aggregator, with other groups.

    Attributes:
        outbox: Datagrams to send, each with the number of its receiver; -1 is every dispatcher.
        wants_report: Whether a new peer or aggregator needs a report of what this dispatcher has in flight;
            the caller sends it and resets this.
        sends: Attempts sent by the whole group since the caller last reset this, as far as received.
        peer_weight: How many of the fleet's other dispatchers each group peer represents.
        rank: The position of this dispatcher in its group.
        broadcast_targets: The receivers of a message to the whole group; -1 is every dispatcher.
        sends_directly: Whether the group is small enough to work without an aggregator.
        aggregator: The number of the group's aggregator; None if none is known.
        sends_messages: Whether messages are sent at all. Otherwise nothing is kept for them.
    """

    def __init__(
        self,
        fleet_size: int,
        own_number: int,
        incarnation: int,
        min_report_interval_s: float,
        may_send: bool = True,
    ) -> None:
        self.fleet_size = fleet_size
        self.own_number = own_number
        self.incarnation = incarnation
        self.min_report_interval_s = min_report_interval_s  # the shortest time between reports
        layout = GroupLayout(fleet_size)
        self.group_count = layout.group_count
        own_group = layout.group_of(own_number)
        members = layout.members(own_group)
        self.rank = members.index(own_number)
        self.group_peers = [number for number in members if number != own_number]
        self.sends_messages = may_send and bool(self.group_peers)
        self.broadcast_targets = [-1] if self.group_count == 1 else self.group_peers
        self.peer_weight = (fleet_size - 1) / max(1, len(self.group_peers))
        self.remote_groups = {
            group: RemoteGroup(layout.members(group))
            for group in range(self.group_count)
            if group != own_group
        }
        # Slots that other groups have in flight, by worker key.
        self.remote_in_flight: Counter[int] = Counter()
        self._remote_heard_at = self._remote_sent_at = -INF
        # The slots of other groups that were last sent for each worker key, those sent longest ago first.
        self._remote_sent: Counter[int] = Counter()
        self._now = 0.0
        self.sends_directly = len(self.group_peers) <= MAX_DIRECT_PEERS
        self.outbox: list[tuple[int, bytes]] = []
        self.sends = 0
        self.peers: dict[int, Peer] = {}
        self.aggregator: int | None = None
        self.wants_report = False
        # Slots in flight by worker from deltas, used as the aggregator and in a small group.
        self.in_flight_table = InFlightTable()
        # Slots that the whole group has in flight by worker key, from aggregates.
        self.aggregated_in_flight: Counter[int] = Counter()
        self._aggregator_heard_at = -INF
        # Own changes that the aggregate may not include yet: time, worker key and change in slots.
        self._unconfirmed: deque[tuple[float, int, int]] = deque()
        # The sums of these changes by worker key.
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
        """Whether an aggregate of other groups has been received recently.

        Extrapolation from the own group is a poor substitute: from a fifth of a worker's jobs a full worker
        looks free, or a free one full, so often that a busy fleet queues jobs at random.
        """
        return self._now - self._remote_heard_at <= REMOTE_TIMEOUT_S

    def in_flight_elsewhere(self, key: int, own: float) -> float:
        """Return the slots that other dispatchers of the fleet have in flight on a worker.

        Args:
            key: The worker's key.
            own: The slots that this dispatcher has in flight on it.
        """
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
        """Start at `now`; the aggregator's timeout begins as if an aggregate had just been received."""
        self._aggregator_heard_at = self._sent_at = now

    def process_resumed(self, now: float) -> None:
        """Drop state received before a pause of this process, as the aggregator may have changed."""
        self.start(now)
        if self.sends_directly:
            return
        self.aggregator, self.in_flight_table = None, InFlightTable()
        self.aggregated_in_flight.clear()
        for peer in self.peers.values():
            peer.in_flight.clear()

    def record(self, now: float, key: int, kind: int, slots: int) -> None:
        """Record an own attempt, or its end, on the worker with this key.

        Args:
            now: The current time.
            key: The worker's key.
            kind: A `DeltaKind`.
            slots: The slots that the attempt takes.
        """
        change = slots if kind == codec.DeltaKind.SENT else -slots
        self.sends += max(change, 0)
        self.in_flight_table.adjust(key, change)
        if not self.sends_messages:
            return
        if self.is_aggregator:
            self.in_flight_table.record(key, kind)
        else:
            self._deltas += [codec.Delta(key, kind)] * slots
            self._unconfirmed.append((now, key, change))
            self._unconfirmed_sums[key] += change
        urgent = kind in (codec.DeltaKind.SENT, codec.DeltaKind.FAILED)
        self._deltas_due_at = min(self._deltas_due_at, now + (URGENT_DELAY_S if urgent else BATCH_DELAY_S))

    def send_report(self, report: codec.DemandReport, to: int = -1) -> int:
        """Send a report to the whole group or, with `to`, to one dispatcher of it.

        Returns:
            The bytes that a report to the whole group takes, summed over its receivers; 0 for a report to
            this dispatcher itself.
        """
        if to == self.own_number:  # a new aggregator applies its own report directly
            for key, slots in report.in_flight:
                self.in_flight_table.adjust(key, slots)
            return 0
        report.incarnation, report.sequence = self.incarnation, self._next_sequence()
        payload = codec.encode_report(report)
        if self.sends_messages:
            self.outbox += [(number, payload) for number in (self.broadcast_targets if to < 0 else [to])]
        return len(payload) * len(self.group_peers)

    def advance(self, now: float) -> None:
        """Put the messages that are due into the outbox; to be called after each event."""
        self._now = now
        while self._unconfirmed and self._unconfirmed[0][0] < now - AGGREGATE_LAG_S:
            _, key, change = self._unconfirmed.popleft()
            self._unconfirmed_sums[key] -= change
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
            peer.in_flight.clear()  # each peer sends a report to the new aggregator
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
        """Send the group the slots that other groups have in flight, workers with the largest changes first.

        Among equal changes, workers whose values were sent longest ago come first, which corrects lost
        datagrams. Groups from which no recent aggregate was received are assumed to be like the others.
        """
        recent = [
            group.in_flight
            for group in self.remote_groups.values()
            if now - group.heard_at <= REMOTE_TIMEOUT_S
        ]
        if not recent:
            return
        scale = len(self.remote_groups) / len(recent)
        sums = Counter[int]()
        for in_flight in recent:
            sums.update(in_flight)
        self.remote_in_flight = Counter({key: round(scale * slots) for key, slots in sums.items()})
        self._remote_heard_at = now
        # The sort is stable: among equal changes the one sent longest ago comes first.
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
        """Process a datagram from dispatcher `number`.

        Messages that are malformed, repeated or overtaken by newer ones are ignored. Other groups are
        represented by aggregates alone, which only an aggregator processes.

        Yields:
            An observation for each worker in the message, applied to this node as it is yielded, or the
            report itself.
        """
        message = codec.decode(payload)
        if number not in self.group_peers:
            self._receive_from_other_group(now, number, message)
            return
        if message is None:
            return
        peer = self._find_or_add_peer(number, message)
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
        group = self.remote_groups.get(number * self.group_count // self.fleet_size)
        if group is None or not self.is_aggregator:
            return
        if isinstance(message, codec.AggregateMessage) and not message.covers_other_groups:
            group.receive(now, number, message)

    def _find_or_add_peer(self, number: int, message: codec.Message) -> Peer:
        peer = self.peers.get(number)
        # A peer with another incarnation has restarted: the slots of its earlier process no longer count.
        if peer is None or peer.incarnation != message.incarnation:
            self._replace_in_flight(peer or Peer(), Counter())
            peer = self.peers[number] = Peer(message.incarnation, message.sequence - 1)
            self.wants_report = self.wants_report or self.sends_directly or number == self.aggregator
        return peer

    @staticmethod
    def _is_newer(peer: Peer, message: codec.Message) -> bool:
        """Advance the peer's sequence number to the message's.

        Returns:
            False, without a change, for a message that is repeated or overtaken by a newer one.
        """
        mask = codec.REPORT_SEQUENCE_MASK if isinstance(message, codec.DemandReport) else codec.SEQUENCE_MASK
        ahead = (message.sequence - peer.sequence) & mask
        if not 0 < ahead <= mask // 2:
            return False
        peer.sequence = (peer.sequence + ahead) & codec.REPORT_SEQUENCE_MASK
        return True

    def _receive_deltas(self, peer: Peer, message: codec.DeltaMessage) -> Iterator[WorkerObservation]:
        for key, kind in message.entries:
            self.sends += kind == codec.DeltaKind.SENT
            # If the delta of the send was lost, there is nothing to subtract at the attempt's end.
            change = 1 if kind == codec.DeltaKind.SENT else max(-1, -peer.in_flight[key])
            peer.in_flight[key] += change
            self.in_flight_table.adjust(key, change)
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
                return  # the sender has the higher number and will give way
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
        peer.apply_report(report, self.min_report_interval_s)
        if self.sends_directly or self.is_aggregator:
            self._replace_in_flight(peer, Counter(dict(report.in_flight)))

    def _replace_in_flight(self, peer: Peer, in_flight: Counter[int]) -> None:
        for key in {*peer.in_flight, *in_flight}:
            self.in_flight_table.adjust(key, in_flight[key] - peer.in_flight[key])
        peer.in_flight = in_flight

    def forget_silent_peers(self, now: float) -> None:
        """Drop the demand and the attempts of peers that have sent nothing for too long."""
        for peer in self.peers.values():
            if peer.demand and now - peer.heard_at > MAX_MISSED_REPORTS * peer.report_interval_s:
                peer.demand, peer.admitted = {}, 0.0
            if peer.in_flight and now - peer.heard_at > PEER_TIMEOUT_S:
                self._replace_in_flight(peer, Counter())

    # ---- the whole fleet -----------------------------------------------------------------------------------

    @property
    def all_peers_heard(self) -> bool:
        """Whether at least one message has been received from every peer of the group."""
        return len(self.peers) == len(self.group_peers)

    @property
    def fleet_scale(self) -> float:
        """The number of dispatchers of the fleet for each one whose demand is known.

        These are this dispatcher and the peers that have sent a message.
        """
        return self.fleet_size / (1 + len(self.peers))

    def fleet_demand(self, own: dict[tuple[int, int], float]) -> dict[tuple[int, int], float]:
        """Return the work per second requested from the whole fleet, by tenant and class.

        Args:
            own: The work per second requested from this dispatcher, by tenant and class.
        """
        total = Counter(own)
        for peer in self.peers.values():
            total.update(peer.demand)
        return {key: rate * self.fleet_scale for key, rate in total.items()}

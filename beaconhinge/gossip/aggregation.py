"""What dispatchers tell each other: who is there, what is asked of them, what they have out. No decisions.

In a small group each tells all others of each send and its end. In a larger one that would cost more than it
is worth: one of them, the hub, is told, and tells all what has changed on a board: slots out by worker, in
figures that a later board mends if one is lost. Whoever has heard no board for a while becomes the hub, lower
numbers sooner; of two the higher gives way. Rarer reports of demand go to all. A group of 80 or more falls
into circles, whose hubs tell each other their boards; one that hears no other stands for all. Times are
arguments; what is to be sent lies in `outbox`.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from . import codec

INF = float("inf")
MIN_GROUP_SIZE = 40  # dispatchers that hear each other at least, where there are as many
MAX_DIRECT_PEERS = 8  # mates up to which each tells all others
MEMORY = 4  # reports over which demand is smoothed, so that a lost one moves it little
SILENT_REPORTS = 4  # reports missed before a peer's counts are dropped
PEER_TIMEOUT_S = 2.0  # seconds without a word from a peer after which its jobs count as over
HEARTBEAT_S = 0.8  # seconds after which who has nothing to tell says that it is there
URGENT_DELAY_S, BATCH_DELAY_S = (
    0.02,
    0.1,
)  # seconds that a send or a failure, and any other end, waits for company
AGGREGATE_INTERVAL_S, AGGREGATE_FAILURE_INTERVAL_S = (
    0.1,
    0.02,
)  # seconds between boards, and at least when a worker has failed
REPEATED_ENTRIES = 4  # entries told again with each board, in turn: they mend what was lost
AGGREGATE_LAG_S = 0.15  # seconds after which an own send shows on the board
MAX_REMOTE_ENTRIES = 24  # workers on a far board, those that changed most: each byte goes to all
REMOTE_INTERVAL_S, REMOTE_TIMEOUT_S = (
    0.25,
    1.0,
)  # seconds between far boards, and after which one tells nothing any more
MIN_JOBS_FOR_MEAN, MAX_JOBS_IN_MEAN = (
    5.0,
    200.0,
)  # jobs of a class on a kind from which a mean counts, and that it is taken over
DECAY_PER_JOB, MAX_MINOR_SHARE = 0.01, 0.35  # of what was served before, with each job; of all work
FRESH_REPORT_S = 0.3  # seconds for which a report is as good as seen
MEAN_WEIGHT = 0.15  # weight of one report in what others have out on a worker as a rule
MAX_UNKNOWN_SHARE = (
    0.5  # part of a worker's slots that others are taken to have at most, without a fresh report
)
AGGREGATOR_TIMEOUT_S, ELECTION_STAGGER_S = (
    0.5,
    0.03,
)  # seconds without a board until the first, and each next one, becomes the hub


@dataclass(slots=True)
class Peer:
    incarnation: int = -1
    sequence: int = 0
    heard: float = -INF
    known: float = 0.0  # seconds covered by its reports
    span: float = 0.0  # seconds between them
    demand: dict[tuple[int, int], float] = field(default_factory=dict)  # work a second by bucket
    admitted: float = 0.0
    out: Counter[int] = field(default_factory=Counter)  # slots by key of a worker, where it tells them here


@dataclass(slots=True, frozen=True)
class WorkerObservation:
    """What was heard of one worker: whether it served, and how often it was at fault."""

    key: int
    served: bool
    failures: int


class InFlightTable:
    """What the hub has heard, until it is told to all."""

    def __init__(self) -> None:
        self.out: Counter[int] = Counter()  # slots of all, by key of a worker
        self.sends = 0
        self.changed: dict[int, None] = {}  # keys in the order of their first change
        self.failures: Counter[int] = Counter()
        self.served: set[int] = set()
        self.told: dict[int, None] = {}  # keys, those told longest ago first

    def adjust(self, key: int, by: int) -> None:
        if by:
            self.out[key] += by
            self.changed[key] = None

    def record(self, key: int, what: int) -> None:
        self.changed[key] = None
        self.sends += what == codec.SENT
        if what == codec.FAILED:
            self.failures[key] += 1
        elif what == codec.SERVED:
            self.served.add(key)

    def next_aggregate(self, incarnation: int, sequence: int) -> codec.Board:
        """What has changed, as far as it fits, and a few that have not."""
        keys = list(self.changed)[: codec.BOARD_MOST - REPEATED_ENTRIES]
        for key in keys:
            del self.changed[key]
            self.told.pop(key, None)
        again = list(self.told)[:REPEATED_ENTRIES]
        for key in again:
            del self.told[key]
        entries = []
        for key in keys + again:
            self.told[key] = None
            entries.append((key, self.out[key], self.failures.pop(key, 0), key in self.served))
            self.served.discard(key)
        sends, self.sends = self.sends, 0
        return codec.Board(incarnation, sequence, sends, entries)


@dataclass(slots=True)
class RemoteGroup:
    """Another circle, as its hub tells the own one."""

    members: list[int]
    _contacted: int = 0  # members told of the own board in turn, until the hub among them is known
    aggregator: int = -1
    incarnation: int = -1
    sequence: int = 0
    heard_at: float = -INF
    in_flight: Counter[int] = field(default_factory=Counter)  # slots by key of a worker

    def receive(self, now: float, number: int, told: codec.Board) -> bool:
        """Take in a board of it, unless it is an old one, or of a hub that will give way."""
        if (number, told.incarnation) != (self.aggregator, self.incarnation):
            if self.aggregator < number and now - self.heard_at <= AGGREGATOR_TIMEOUT_S:
                return False
            self.aggregator, self.incarnation, self.sequence = number, told.incarnation, told.sequence - 1
            self.in_flight = Counter()
        if not 0 < (told.sequence - self.sequence) & 0xFF <= 0x7F:
            return False
        self.sequence, self.heard_at = told.sequence, now
        for key, slots, _, _ in told.entries:
            self.in_flight[key] = slots
        return True

    def contact(self, now: float) -> int:
        """Whom to tell of the own board: hubs are mostly the first that are there."""
        if now - self.heard_at <= AGGREGATOR_TIMEOUT_S:
            self._contacted = 0
            return self.aggregator
        self._contacted += 1
        return self.members[(self._contacted - 1) % len(self.members)]


class Reported:
    """Slots that others have out on workers, by the workers' own reports, where dispatchers tell each other
    nothing. A report is worth the less the older it is beside the time that a job takes.
    """

    def __init__(self) -> None:
        self._told: dict[int, tuple[float, float]] = {}  # when, and slots, by key of a worker
        self._mean = 0.0

    def note(self, now: float, key: int, slots: float) -> None:
        self._told[key] = now, slots
        self._mean += MEAN_WEIGHT * (slots - self._mean)

    def fresh(self, now: float, key: int) -> bool:
        """Whether it has told just now."""
        return now - self._told.get(key, (-INF, 0.0))[0] < FRESH_REPORT_S

    def others(self, now: float, key: int, lasts: float, limit: float) -> float:
        """On a worker that holds `limit` slots; jobs take `lasts` seconds."""
        at, slots = self._told.get(key, (-INF, 0.0))
        fresh = math.exp((at - now) / max(lasts, 0.1))
        return fresh * slots + (1 - fresh) * min(self._mean, MAX_UNKNOWN_SHARE * limit)


class Spent:
    """Work lately served: how much of it was of each class of jobs, and how long a job of a class takes on a
    kind of worker. Seconds; `work` is what one slot was taken for.
    """

    def __init__(self) -> None:
        self._by_class: defaultdict[Hashable, float] = defaultdict(float)
        self._jobs: dict[tuple[Hashable, int], tuple[float, float]] = {}  # by class and kind: seconds, jobs

    def note(self, cls: Hashable, kind: int, work: float, slots: float) -> None:
        for other in self._by_class:
            self._by_class[other] *= 1 - DECAY_PER_JOB
        self._by_class[cls] += work * slots
        # A plain mean, since a smoothed one forgets the few long jobs that make up half of the work.
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        keep = 1 - 1 / MAX_JOBS_IN_MEAN if jobs >= MAX_JOBS_IN_MEAN else 1.0
        self._jobs[cls, kind] = seconds * keep + work, jobs * keep + 1

    def part(self, cls: Hashable) -> float:
        """0 where it is not a small one, or the only one, or not known yet."""
        part = self._by_class[cls] / max(sum(self._by_class.values()), 1e-9)
        return part if part < MAX_MINOR_SHARE else 0.0

    def mean(self, cls: Hashable, kind: int) -> float:
        """Seconds that a job of the class takes on the kind, or on any where few were seen; 0: unknown."""
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        if jobs >= MIN_JOBS_FOR_MEAN:
            return seconds / jobs
        told = [entry for (of, _), entry in self._jobs.items() if of == cls]
        return sum(seconds for seconds, _ in told) / max(sum(jobs for _, jobs in told), 1.0)


class Fleet:
    def __init__(self, group_size: int, own_number: int, incarnation: int, report_after: float) -> None:
        self.group_size = group_size
        self.own_number = own_number
        self.incarnation = incarnation
        self.report_after = report_after  # seconds between reports, at least
        self.group_count = max(1, group_size // MIN_GROUP_SIZE)
        of = [n * self.group_count // group_size for n in range(group_size)]
        circle = of[own_number]
        members = [n for n in range(group_size) if of[n] == circle]
        self.rank = members.index(own_number)
        self.mates = [n for n in members if n != own_number]
        self.broadcast_targets = [-1] if self.group_count == 1 else self.mates
        self.standing = (group_size - 1) / max(1, len(self.mates))  # for how many dispatchers a mate stands
        self.remote_groups = {
            c: RemoteGroup([n for n in range(group_size) if of[n] == c])
            for c in range(self.group_count)
            if c != circle
        }
        self.remote_in_flight: Counter[int] = (
            Counter()
        )  # slots that other circles have out, by key of a worker
        self._remote_heard_at = self._remote_sent_at = -INF
        self._remote_sent: Counter[int] = Counter()  # as the hub, those told longest ago first
        self._now = 0.0
        self.sends_directly = len(self.mates) <= MAX_DIRECT_PEERS
        self.outbox: list[tuple[int, bytes]] = []  # to whom, -1 for all
        self.sends = 0  # of the circle, as far as heard
        self.peers: dict[int, Peer] = {}
        self.hub: int | None = None
        self.introduce = False  # the hub, or a peer, is new and does not know what this one has out
        self.board = InFlightTable()  # the own one: as the hub, or of what mates told directly
        self.seen: Counter[int] = Counter()  # slots that the whole circle has out, by the hub's board
        self._hub_heard = -INF
        self._unconfirmed: deque[tuple[float, int, int]] = (
            deque()
        )  # own changes that the board may not show yet
        self._unconfirmed_sums: Counter[int] = Counter()  # their sums by key
        self._sequence = 0
        self._deltas: list[tuple[int, int]] = []
        self._deltas_due_at = INF
        self._sent_at = self._aggregate_sent_at = -INF

    @property
    def is_aggregator(self) -> bool:
        return self.hub == self.own_number

    def others(self, key: int, own: float) -> float:
        """Slots that other dispatchers have out on a worker, on which this one has `own`."""
        out = (
            self.board.out[key]
            if self.sends_directly or self.is_aggregator
            else self.seen[key] + self._unconfirmed_sums[key]
        )
        near = max(0.0, out - own)
        return near + self.remote_in_flight[key] if self.hears_remote_groups else self.standing * near

    @property
    def hears_remote_groups(self) -> bool:
        """Whether other circles are heard of. By the own fifth of a worker's jobs alone a full one looks
        free, and a free one full, so often that a busy fleet queues them at random.
        """
        return self._now - self._remote_heard_at <= REMOTE_TIMEOUT_S

    # ---- telling -------------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        self._hub_heard = self._sent_at = now

    def woke(self, now: float) -> None:
        """This dispatcher stood still: others may lead by now, and what it had heard is old."""
        self.start(now)
        if self.sends_directly:
            return
        self.hub, self.board = None, InFlightTable()
        self.seen.clear()
        for peer in self.peers.values():
            peer.out.clear()

    def note(self, now: float, key: int, what: int, slots: int) -> None:
        """An own send, or its end."""
        by = slots if what == codec.SENT else -slots
        self.sends += max(by, 0)
        self.board.adjust(key, by)
        if self.is_aggregator:
            self.board.record(key, what)
        else:
            self._deltas += [(key, what)] * slots
            self._unconfirmed.append((now, key, by))
            self._unconfirmed_sums[key] += by
        urgent = what in (codec.SENT, codec.FAILED)
        self._deltas_due_at = min(self._deltas_due_at, now + (URGENT_DELAY_S if urgent else BATCH_DELAY_S))

    def report(self, report: codec.Report, to: int = -1) -> int:
        """Tell all of the circle, or one; the bytes delivered."""
        if to == self.own_number:  # a new hub hears of itself first
            for key, slots in report.slots_out:
                self.board.adjust(key, slots)
            return 0
        report.incarnation, report.sequence = self.incarnation, self._next_sequence()
        payload = codec.encode(report)
        self.outbox += [(n, payload) for n in (self.broadcast_targets if to < 0 else [to])]
        return len(payload) * len(self.mates)

    def turn(self, now: float) -> None:
        """After each event: send what is due."""
        self._now = now
        while self._unconfirmed and self._unconfirmed[0][0] < now - AGGREGATE_LAG_S:
            _, key, by = self._unconfirmed.popleft()
            self._unconfirmed_sums[key] -= by
        if self.is_aggregator:
            self._send_aggregate(now)
        elif (
            not self.sends_directly
            and now - self._hub_heard > AGGREGATOR_TIMEOUT_S + ELECTION_STAGGER_S * self.rank
        ):
            self.hub, self.board = self.own_number, InFlightTable()
            for peer in self.peers.values():
                peer.out.clear()  # each will introduce itself
            self.introduce = True
        elif now >= self._deltas_due_at or not self.sends_directly and now - self._sent_at > HEARTBEAT_S:
            self._send_deltas(now)

    def _send_deltas(self, now: float) -> None:
        if self.hub is not None or self.sends_directly:
            news = codec.News(self.incarnation, self._next_sequence(), self._deltas)
            payload = codec.encode_news(news)
            self.outbox += [
                (n, payload) for n in (self.broadcast_targets if self.hub is None else [self.hub])
            ]
        self._deltas, self._deltas_due_at, self._sent_at = [], INF, now

    def _send_aggregate(self, now: float) -> None:
        if now - self._aggregate_sent_at >= (
            AGGREGATE_FAILURE_INTERVAL_S if self.board.failures else AGGREGATE_INTERVAL_S
        ):
            payload = codec.encode_board(self.board.next_aggregate(self.incarnation, self._next_sequence()))
            self.outbox += [(n, payload) for n in self.broadcast_targets]
            self.outbox += [(circle.contact(now), payload) for circle in self.remote_groups.values()]
            self._aggregate_sent_at = now
        if self.remote_groups and now - self._remote_sent_at >= REMOTE_INTERVAL_S:
            self._remote_sent_at = now
            self._send_remote_aggregate(now)

    def _send_remote_aggregate(self, now: float) -> None:
        """Sum up what other circles have out, and tell mates where that has changed most, then what was told
        longest ago, which mends what was lost. Circles that are not heard are taken to be like the others.
        """
        heard = [
            circle.in_flight
            for circle in self.remote_groups.values()
            if now - circle.heard_at <= REMOTE_TIMEOUT_S
        ]
        if not heard:
            return
        scale, sums = len(self.remote_groups) / len(heard), Counter[int]()
        for out in heard:
            sums.update(out)
        self.remote_in_flight = Counter({key: round(scale * slots) for key, slots in sums.items()})
        self._remote_heard_at = now
        # Sorting keeps the order of what has changed alike, or not at all: the one told longest ago is first.
        order = sorted(
            {**self._remote_sent, **self.remote_in_flight},
            key=lambda key: -abs(self.remote_in_flight[key] - self._remote_sent[key]),
        )
        for key in order[:MAX_REMOTE_ENTRIES]:
            del self._remote_sent[key]
            self._remote_sent[key] = self.remote_in_flight[key]
        entries = [(key, self.remote_in_flight[key], 0, False) for key in order[:MAX_REMOTE_ENTRIES]]
        payload = codec.encode_board(
            codec.Board(self.incarnation, self._next_sequence(), 0, entries, far=True)
        )
        self.outbox += [(n, payload) for n in self.broadcast_targets]

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) & 0xFFFF
        return self._sequence

    # ---- hearing -------------------------------------------------------------------------------------------

    def hear(self, now: float, number: int, payload: bytes) -> Iterator[WorkerObservation | codec.Report]:
        """Take in what is new and from the circle; each word is counted when it is asked for."""
        told = codec.decode(payload)
        if number not in self.mates:
            circle = self.remote_groups.get(number * self.group_count // self.group_size)
            if circle is not None and self.is_aggregator and isinstance(told, codec.Board) and not told.far:
                circle.receive(now, number, told)
            return
        if told is None:
            return
        peer = self.peers.get(number)
        if peer is None or peer.incarnation != told.incarnation:  # restarted: its old usage is not its own
            self._replace_in_flight(peer or Peer(), Counter())
            peer = self.peers[number] = Peer(told.incarnation, told.sequence - 1)
            self.introduce = self.introduce or self.sends_directly or number == self.hub
        bits = 0xFFFF if isinstance(told, codec.Report) else 0xFF
        ahead = (told.sequence - peer.sequence) & bits
        if not 0 < ahead <= bits // 2:
            return  # repeated, or overtaken by a newer one
        peer.sequence, peer.heard = (peer.sequence + ahead) & 0xFFFF, now
        if isinstance(told, codec.Report):
            self._receive_report(peer, told)
            yield told
        elif isinstance(told, codec.Board):
            yield from self._receive_aggregate(now, number, told)
        else:
            for key, what in told.entries:
                self.sends += what == codec.SENT
                # Where the send that ended was in news that were lost, there is nothing to take off.
                by = 1 if what == codec.SENT else max(-1, -peer.out[key])
                peer.out[key] += by
                self.board.adjust(key, by)
                if self.is_aggregator:
                    self.board.record(key, what)
                yield WorkerObservation(key, what == codec.SERVED, int(what == codec.FAILED))

    def _receive_aggregate(self, now: float, number: int, told: codec.Board) -> Iterator[WorkerObservation]:
        if number != self.hub:
            if self.hub is not None and self.hub < number and now - self._hub_heard <= AGGREGATOR_TIMEOUT_S:
                return  # it will give way
            self.hub, self.introduce = number, True
            self.seen.clear()
            self.remote_in_flight.clear()
        self._hub_heard = now
        if told.far:
            self._remote_heard_at = now
            for key, slots, _, _ in told.entries:
                self.remote_in_flight[key] = slots
            return
        self.sends += told.sends
        for key, slots, failures, served in told.entries:
            self.seen[key] = slots
            yield WorkerObservation(key, served, failures)

    def _receive_report(self, peer: Peer, told: codec.Report) -> None:
        whole = max(peer.known + told.span, 1e-3)
        peer.demand = {key: rate * peer.known / whole for key, rate in peer.demand.items()}
        for tenant, cls, allowed, denied in told.buckets:
            peer.demand[tenant, cls] = peer.demand.get((tenant, cls), 0.0) + (allowed + denied) / whole
        peer.admitted = smooth(peer.admitted, sum(b[2] for b in told.buckets), told.span, peer.known)
        peer.span = max(self.report_after, told.span)
        peer.known = min(MEMORY * peer.span, peer.known + told.span)
        if self.sends_directly or self.is_aggregator:
            self._replace_in_flight(peer, Counter(dict(told.slots_out)))

    def _replace_in_flight(self, peer: Peer, out: Counter[int]) -> None:
        for key in {*peer.out, *out}:
            self.board.adjust(key, out[key] - peer.out[key])
        peer.out = out

    def forget_silent(self, now: float) -> None:
        for peer in self.peers.values():
            if peer.demand and now - peer.heard > SILENT_REPORTS * peer.span:
                peer.demand, peer.admitted = {}, 0.0
            if peer.out and now - peer.heard > PEER_TIMEOUT_S:
                self._replace_in_flight(peer, Counter())

    # ---- the whole group -----------------------------------------------------------------------------------

    @property
    def all_heard(self) -> bool:
        return len(self.peers) == len(self.mates)

    @property
    def scale(self) -> float:
        """How many times the dispatchers heard, itself included, the group has: they stand for all."""
        return self.group_size / (1 + len(self.peers))

    def demand(self, own: dict[tuple[int, int], float]) -> dict[tuple[int, int], float]:
        """Work a second that the whole group is asked for, by bucket."""
        total = Counter(own)
        for peer in self.peers.values():
            total.update(peer.demand)
        return {key: rate * self.scale for key, rate in total.items()}


def smooth(old: float, count: float, span: float, memory: float) -> float:
    """Fold `count` seen in `span` seconds into a rate smoothed over `memory`; robust to very short spans."""
    return (old * memory + count) / max(memory + span, 1e-3)


def max_min(total: float, wanted: list[float], shares: list[float]) -> list[float]:
    """Divide by shares and lend what is not wanted; who wants less than its share keeps it as its limit."""
    whole = sum(shares) or 1.0
    parts = [total * share / whole for share in shares]
    asking = [(wanted[i] / max(shares[i], 1e-9), i) for i in range(len(shares)) if wanted[i] > 0]
    weight = sum(shares[i] for _, i in asking)
    for _, i in sorted(asking):
        grant = min(wanted[i], total * shares[i] / max(weight, 1e-9))
        parts[i] = max(parts[i], grant)
        total, weight = total - grant, weight - shares[i]
    return parts

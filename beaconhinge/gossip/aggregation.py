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
CIRCLE = 40  # dispatchers that hear each other at least, where there are as many
FEW = 8  # mates up to which each tells all others
MEMORY = 4  # reports over which demand is smoothed, so that a lost one moves it little
SILENT_REPORTS = 4  # reports missed before a peer's counts are dropped
GHOST = 2.0  # seconds without a word from a peer after which its jobs count as over
ALIVE = 0.8  # seconds after which who has nothing to tell says that it is there
URGENT, PATIENT = 0.02, 0.1  # seconds that a send or a failure, and any other end, waits for company
BOARD_AFTER, BOARD_LEAST = 0.1, 0.02  # seconds between boards, and at least when a worker has failed
REFRESHED = 4  # entries told again with each board, in turn: they mend what was lost
LAG = 0.15  # seconds after which an own send shows on the board
FAR_MOST = 24  # workers on a far board, those that changed most: each byte goes to all
FAR_AFTER, FAR_GONE = 0.25, 1.0  # seconds between far boards, and after which one tells nothing any more
ENOUGH, MEANT = 5.0, 200.0  # jobs of a class on a kind from which a mean counts, and that it is taken over
FORGOTTEN, SMALL_PART = 0.01, 0.35  # of what was served before, with each job; of all work
RECENT = 0.3  # seconds for which a report is as good as seen
USUAL = 0.15  # weight of one report in what others have out on a worker as a rule
UNKNOWN = 0.5  # part of a worker's slots that others are taken to have at most, without a fresh report
NO_BOARD, STAGGER = 0.5, 0.03  # seconds without a board until the first, and each next one, becomes the hub


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
class Word:
    """What was heard of one worker: whether it served, and how often it was at fault."""

    key: int
    served: bool
    failures: int


class Board:
    """What the hub has heard, until it is told to all."""

    def __init__(self) -> None:
        self.out: Counter[int] = Counter()  # slots of all, by key of a worker
        self.sends = 0
        self.changed: dict[int, None] = {}  # keys in the order of their first change
        self.failures: Counter[int] = Counter()
        self.served: set[int] = set()
        self.told: dict[int, None] = {}  # keys, those told longest ago first

    def add(self, key: int, by: int) -> None:
        if by:
            self.out[key] += by
            self.changed[key] = None

    def note(self, key: int, what: int) -> None:
        self.changed[key] = None
        self.sends += what == codec.SENT
        if what == codec.FAILED:
            self.failures[key] += 1
        elif what == codec.SERVED:
            self.served.add(key)

    def page(self, incarnation: int, sequence: int) -> codec.Board:
        """What has changed, as far as it fits, and a few that have not."""
        keys = list(self.changed)[: codec.BOARD_MOST - REFRESHED]
        for key in keys:
            del self.changed[key]
            self.told.pop(key, None)
        again = list(self.told)[:REFRESHED]
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
class Circle:
    """Another circle, as its hub tells the own one."""

    members: list[int]
    asked: int = 0  # members told of the own board in turn, until the hub among them is known
    hub: int = -1
    incarnation: int = -1
    sequence: int = 0
    heard: float = -INF
    out: Counter[int] = field(default_factory=Counter)  # slots by key of a worker

    def hear(self, now: float, number: int, told: codec.Board) -> bool:
        """Take in a board of it, unless it is an old one, or of a hub that will give way."""
        if (number, told.incarnation) != (self.hub, self.incarnation):
            if self.hub < number and now - self.heard <= NO_BOARD:
                return False
            self.hub, self.incarnation, self.sequence = number, told.incarnation, told.sequence - 1
            self.out = Counter()
        if not 0 < (told.sequence - self.sequence) & 0xFF <= 0x7F:
            return False
        self.sequence, self.heard = told.sequence, now
        for key, slots, _, _ in told.entries:
            self.out[key] = slots
        return True

    def contact(self, now: float) -> int:
        """Whom to tell of the own board: hubs are mostly the first that are there."""
        if now - self.heard <= NO_BOARD:
            self.asked = 0
            return self.hub
        self.asked += 1
        return self.members[(self.asked - 1) % len(self.members)]


class Reported:
    """Slots that others have out on workers, by the workers' own reports, where dispatchers tell each other
    nothing. A report is worth the less the older it is beside the time that a job takes.
    """

    def __init__(self) -> None:
        self._told: dict[int, tuple[float, float]] = {}  # when, and slots, by key of a worker
        self._mean = 0.0

    def note(self, now: float, key: int, slots: float) -> None:
        self._told[key] = now, slots
        self._mean += USUAL * (slots - self._mean)

    def fresh(self, now: float, key: int) -> bool:
        """Whether it has told just now."""
        return now - self._told.get(key, (-INF, 0.0))[0] < RECENT

    def others(self, now: float, key: int, lasts: float, limit: float) -> float:
        """On a worker that holds `limit` slots; jobs take `lasts` seconds."""
        at, slots = self._told.get(key, (-INF, 0.0))
        fresh = math.exp((at - now) / max(lasts, 0.1))
        return fresh * slots + (1 - fresh) * min(self._mean, UNKNOWN * limit)


class Spent:
    """Work lately served: how much of it was of each class of jobs, and how long a job of a class takes on a
    kind of worker. Seconds; `work` is what one slot was taken for.
    """

    def __init__(self) -> None:
        self._by_class: defaultdict[Hashable, float] = defaultdict(float)
        self._jobs: dict[tuple[Hashable, int], tuple[float, float]] = {}  # by class and kind: seconds, jobs

    def note(self, cls: Hashable, kind: int, work: float, slots: float) -> None:
        for other in self._by_class:
            self._by_class[other] *= 1 - FORGOTTEN
        self._by_class[cls] += work * slots
        # A plain mean, since a smoothed one forgets the few long jobs that make up half of the work.
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        keep = 1 - 1 / MEANT if jobs >= MEANT else 1.0
        self._jobs[cls, kind] = seconds * keep + work, jobs * keep + 1

    def part(self, cls: Hashable) -> float:
        """0 where it is not a small one, or the only one, or not known yet."""
        part = self._by_class[cls] / max(sum(self._by_class.values()), 1e-9)
        return part if part < SMALL_PART else 0.0

    def mean(self, cls: Hashable, kind: int) -> float:
        """Seconds that a job of the class takes on the kind, or on any where few were seen; 0: unknown."""
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        if jobs >= ENOUGH:
            return seconds / jobs
        told = [entry for (of, _), entry in self._jobs.items() if of == cls]
        return sum(seconds for seconds, _ in told) / max(sum(jobs for _, jobs in told), 1.0)


class Fleet:
    def __init__(self, group_size: int, own_number: int, incarnation: int, report_after: float) -> None:
        self.group_size = group_size
        self.own_number = own_number
        self.incarnation = incarnation
        self.report_after = report_after  # seconds between reports, at least
        self.circles = max(1, group_size // CIRCLE)
        of = [n * self.circles // group_size for n in range(group_size)]
        circle = of[own_number]
        members = [n for n in range(group_size) if of[n] == circle]
        self.rank = members.index(own_number)
        self.mates = [n for n in members if n != own_number]
        self.everyone = [-1] if self.circles == 1 else self.mates
        self.standing = (group_size - 1) / max(1, len(self.mates))  # for how many dispatchers a mate stands
        self.far = {
            c: Circle([n for n in range(group_size) if of[n] == c])
            for c in range(self.circles)
            if c != circle
        }
        self.abroad: Counter[int] = Counter()  # slots that other circles have out, by key of a worker
        self._abroad_at = self._far_at = -INF
        self._far_told: Counter[int] = Counter()  # as the hub, those told longest ago first
        self._now = 0.0
        self.direct = len(self.mates) <= FEW
        self.outbox: list[tuple[int, bytes]] = []  # to whom, -1 for all
        self.sends = 0  # of the circle, as far as heard
        self.peers: dict[int, Peer] = {}
        self.hub: int | None = None
        self.introduce = False  # the hub, or a peer, is new and does not know what this one has out
        self.board = Board()  # the own one: as the hub, or of what mates told directly
        self.seen: Counter[int] = Counter()  # slots that the whole circle has out, by the hub's board
        self._hub_heard = -INF
        self._unseen: deque[tuple[float, int, int]] = deque()  # own changes that the board may not show yet
        self._lately: Counter[int] = Counter()  # their sums by key
        self._sequence = 0
        self._news: list[tuple[int, int]] = []
        self._news_at = INF
        self._told_at = self._board_at = -INF

    @property
    def leads(self) -> bool:
        return self.hub == self.own_number

    def others(self, key: int, own: float) -> float:
        """Slots that other dispatchers have out on a worker, on which this one has `own`."""
        out = self.board.out[key] if self.direct or self.leads else self.seen[key] + self._lately[key]
        near = max(0.0, out - own)
        return near + self.abroad[key] if self.sees_far else self.standing * near

    @property
    def sees_far(self) -> bool:
        """Whether other circles are heard of. By the own fifth of a worker's jobs alone a full one looks
        free, and a free one full, so often that a busy fleet queues them at random.
        """
        return self._now - self._abroad_at <= FAR_GONE

    # ---- telling -------------------------------------------------------------------------------------------

    def start(self, now: float) -> None:
        self._hub_heard = self._told_at = now

    def woke(self, now: float) -> None:
        """This dispatcher stood still: others may lead by now, and what it had heard is old."""
        self.start(now)
        if self.direct:
            return
        self.hub, self.board = None, Board()
        self.seen.clear()
        for peer in self.peers.values():
            peer.out.clear()

    def note(self, now: float, key: int, what: int, slots: int) -> None:
        """An own send, or its end."""
        by = slots if what == codec.SENT else -slots
        self.sends += max(by, 0)
        self.board.add(key, by)
        if self.leads:
            self.board.note(key, what)
        else:
            self._news += [(key, what)] * slots
            self._unseen.append((now, key, by))
            self._lately[key] += by
        urgent = what in (codec.SENT, codec.FAILED)
        self._news_at = min(self._news_at, now + (URGENT if urgent else PATIENT))

    def report(self, report: codec.Report, to: int = -1) -> int:
        """Tell all of the circle, or one; the bytes delivered."""
        if to == self.own_number:  # a new hub hears of itself first
            for key, slots in report.slots_out:
                self.board.add(key, slots)
            return 0
        report.incarnation, report.sequence = self.incarnation, self._next()
        payload = codec.encode(report)
        self.outbox += [(n, payload) for n in (self.everyone if to < 0 else [to])]
        return len(payload) * len(self.mates)

    def turn(self, now: float) -> None:
        """After each event: send what is due."""
        self._now = now
        while self._unseen and self._unseen[0][0] < now - LAG:
            _, key, by = self._unseen.popleft()
            self._lately[key] -= by
        if self.leads:
            self._tell_board(now)
        elif not self.direct and now - self._hub_heard > NO_BOARD + STAGGER * self.rank:
            self.hub, self.board = self.own_number, Board()
            for peer in self.peers.values():
                peer.out.clear()  # each will introduce itself
            self.introduce = True
        elif now >= self._news_at or not self.direct and now - self._told_at > ALIVE:
            self._tell_news(now)

    def _tell_news(self, now: float) -> None:
        if self.hub is not None or self.direct:
            news = codec.News(self.incarnation, self._next(), self._news)
            payload = codec.encode_news(news)
            self.outbox += [(n, payload) for n in (self.everyone if self.hub is None else [self.hub])]
        self._news, self._news_at, self._told_at = [], INF, now

    def _tell_board(self, now: float) -> None:
        if now - self._board_at >= (BOARD_LEAST if self.board.failures else BOARD_AFTER):
            payload = codec.encode_board(self.board.page(self.incarnation, self._next()))
            self.outbox += [(n, payload) for n in self.everyone]
            self.outbox += [(circle.contact(now), payload) for circle in self.far.values()]
            self._board_at = now
        if self.far and now - self._far_at >= FAR_AFTER:
            self._far_at = now
            self._tell_far(now)

    def _tell_far(self, now: float) -> None:
        """Sum up what other circles have out, and tell mates where that has changed most, then what was told
        longest ago, which mends what was lost. Circles that are not heard are taken to be like the others.
        """
        heard = [circle.out for circle in self.far.values() if now - circle.heard <= FAR_GONE]
        if not heard:
            return
        scale, sums = len(self.far) / len(heard), Counter[int]()
        for out in heard:
            sums.update(out)
        self.abroad = Counter({key: round(scale * slots) for key, slots in sums.items()})
        self._abroad_at = now
        # Sorting keeps the order of what has changed alike, or not at all: the one told longest ago is first.
        order = sorted(
            {**self._far_told, **self.abroad}, key=lambda key: -abs(self.abroad[key] - self._far_told[key])
        )
        for key in order[:FAR_MOST]:
            del self._far_told[key]
            self._far_told[key] = self.abroad[key]
        entries = [(key, self.abroad[key], 0, False) for key in order[:FAR_MOST]]
        payload = codec.encode_board(codec.Board(self.incarnation, self._next(), 0, entries, far=True))
        self.outbox += [(n, payload) for n in self.everyone]

    def _next(self) -> int:
        self._sequence = (self._sequence + 1) & 0xFFFF
        return self._sequence

    # ---- hearing -------------------------------------------------------------------------------------------

    def hear(self, now: float, number: int, payload: bytes) -> Iterator[Word | codec.Report]:
        """Take in what is new and from the circle; each word is counted when it is asked for."""
        told = codec.decode(payload)
        if number not in self.mates:
            circle = self.far.get(number * self.circles // self.group_size)
            if circle is not None and self.leads and isinstance(told, codec.Board) and not told.far:
                circle.hear(now, number, told)
            return
        if told is None:
            return
        peer = self.peers.get(number)
        if peer is None or peer.incarnation != told.incarnation:  # restarted: its old usage is not its own
            self._replace_out(peer or Peer(), Counter())
            peer = self.peers[number] = Peer(told.incarnation, told.sequence - 1)
            self.introduce = self.introduce or self.direct or number == self.hub
        bits = 0xFFFF if isinstance(told, codec.Report) else 0xFF
        ahead = (told.sequence - peer.sequence) & bits
        if not 0 < ahead <= bits // 2:
            return  # repeated, or overtaken by a newer one
        peer.sequence, peer.heard = (peer.sequence + ahead) & 0xFFFF, now
        if isinstance(told, codec.Report):
            self._take_report(peer, told)
            yield told
        elif isinstance(told, codec.Board):
            yield from self._read_board(now, number, told)
        else:
            for key, what in told.entries:
                self.sends += what == codec.SENT
                # Where the send that ended was in news that were lost, there is nothing to take off.
                by = 1 if what == codec.SENT else max(-1, -peer.out[key])
                peer.out[key] += by
                self.board.add(key, by)
                if self.leads:
                    self.board.note(key, what)
                yield Word(key, what == codec.SERVED, int(what == codec.FAILED))

    def _read_board(self, now: float, number: int, told: codec.Board) -> Iterator[Word]:
        if number != self.hub:
            if self.hub is not None and self.hub < number and now - self._hub_heard <= NO_BOARD:
                return  # it will give way
            self.hub, self.introduce = number, True
            self.seen.clear()
            self.abroad.clear()
        self._hub_heard = now
        if told.far:
            self._abroad_at = now
            for key, slots, _, _ in told.entries:
                self.abroad[key] = slots
            return
        self.sends += told.sends
        for key, slots, failures, served in told.entries:
            self.seen[key] = slots
            yield Word(key, served, failures)

    def _take_report(self, peer: Peer, told: codec.Report) -> None:
        whole = max(peer.known + told.span, 1e-3)
        peer.demand = {key: rate * peer.known / whole for key, rate in peer.demand.items()}
        for tenant, cls, allowed, denied in told.buckets:
            peer.demand[tenant, cls] = peer.demand.get((tenant, cls), 0.0) + (allowed + denied) / whole
        peer.admitted = smooth(peer.admitted, sum(b[2] for b in told.buckets), told.span, peer.known)
        peer.span = max(self.report_after, told.span)
        peer.known = min(MEMORY * peer.span, peer.known + told.span)
        if self.direct or self.leads:
            self._replace_out(peer, Counter(dict(told.slots_out)))

    def _replace_out(self, peer: Peer, out: Counter[int]) -> None:
        for key in {*peer.out, *out}:
            self.board.add(key, out[key] - peer.out[key])
        peer.out = out

    def forget_silent(self, now: float) -> None:
        for peer in self.peers.values():
            if peer.demand and now - peer.heard > SILENT_REPORTS * peer.span:
                peer.demand, peer.admitted = {}, 0.0
            if peer.out and now - peer.heard > GHOST:
                self._replace_out(peer, Counter())

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

"""The fleet at work: dispatchers, boxes, clients, the network between them, and a day's troubles."""

from __future__ import annotations

import math
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ...policy import interface
from ...policy.dispatcher import Dispatcher
from ...policy.interface import (
    PROVEN_UNRUN,
    RETRY_FLAG,
    AttemptOutcome,
    NoticeKind,
    Semantics,
    UpdateKind,
    WorkerState,
)
from .clock import Clock
from .discovery import Discovery
from .plan import Plan, Sort, settings
from .workers import Attempt, FakeWorker, Reports

EPOCH = 1e6  # the modules' clock does not begin at nought
LEAST_DATAGRAM = 16  # bytes that a datagram is charged with at least, as the operators' price shows
CONNECT = 0.25  # seconds after which a connection has failed that does not come up
HOP, PEER_HOP = (0.0003, 0.0012), (0.002, 0.013)
AFTERWARDS = 12.0  # seconds in which what was asked for by the end is answered
COLD = (3.6, 8.2)  # seconds that a box takes to warm up
RESTART = (1.7, 1.8)
CUT = 2.5  # seconds that the zones' dispatchers do not hear each other
# Seconds that a part is cut off, and that lists come late then.
SPLIT = 6.0
LATE_LIST = 7.0
SILENT, DRAINED, HUNG, LOST = 0.2, 0.25, 0.3, 0.3  # parts of the boxes
BURST, SLOWED, CAUSE = 1.5, 0.6, 5.0  # times the traffic, times the pace of each box, for so many seconds
GRACE = 0.05  # seconds, as the rules have them on sockets
WARM_FROM = 0.1  # seconds before the told end of warming up from which on a box is not counted as cold
OWN_WORD = (
    AttemptOutcome.NO_CONNECTION,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.CANCELLED,
)  # outcomes that a dispatcher finds by itself
Modules = Callable[[interface.Settings, int], Dispatcher]


@dataclass(eq=False)
class Wish:
    """What a client wants, over all its tries."""

    at: float
    cls: int
    sort: Sort
    tenant: int
    zone: int
    work: float
    slots: int = 1
    tries: int = 0
    end: str = ""  # served, refused, failed
    in_time: bool = False

    @property
    def harmless(self) -> bool:
        """To run it twice, wherever that is."""
        sort = self.sort
        return (
            sort.semantics == Semantics.RETRYABLE
            or sort.semantics == Semantics.DEDUPLICATED
            and sort.group == "all"
        )


@dataclass(eq=False)
class Request:
    """One try, as one life of one dispatcher has it."""

    wish: Wish
    node: Node
    life: int
    number: int
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False

    @property
    def live(self) -> bool:
        return self.node.up and self.node.life == self.life


@dataclass(eq=False)
class Node:
    """A dispatcher's machine."""

    number: int
    zone: int
    module: Dispatcher
    life: int = 0
    up: bool = False
    admitted: bool = True  # by the front, which notices late
    version: int = 0  # of its list
    last_number: int = 0
    requests: dict[int, Request] = field(default_factory=dict)
    drained: dict[int, float] = field(default_factory=dict)  # boxes that it knows to have left: since when


class SimulatedFleet:
    def __init__(self, plan: Plan, modules: Modules = Dispatcher) -> None:
        self.plan = plan
        self.modules = modules
        self.random = random.Random(plan.seed)
        self.clock = Clock()
        self.count: Counter[str] = Counter()
        self.broken: list[str] = []  # rules, in words
        self.wishes: list[Wish] = []
        self.waits: list[float] = []  # from a send to its start
        # What cold boxes were sent by those that knew of their start: when, and work, by box and start.
        self.cold: defaultdict[tuple[int, float], deque[tuple[float, float]]] = defaultdict(deque)
        self.reports = Reports(self._started, self._progress, self._ended)
        self.boxes: dict[int, FakeWorker] = {}
        self._make_boxes()
        self.capacity = sum(b.of.cores * b.speed for b in self.boxes.values())  # cores of standard speed
        self.jobs_a_second = self.capacity / plan.site.mean_work
        self.told = settings(self.jobs_a_second, plan.peers, plan.site)
        self.discovery = Discovery(self.clock, self.random, plan.calls_a_second, self._listed)
        self.cut_until = -math.inf  # till then the zones' dispatchers do not hear each other
        self.split_until = -math.inf  # till then no dispatcher reaches a box of the other zone
        self.remembered = [self._member(box) for box in self.boxes.values()]
        self.nodes = [Node(n, n % plan.site.zones, self._module(n)) for n in range(plan.dispatchers)]
        for node in self.nodes:
            self._start(node)
        self._arrivals()
        self._plan_troubles()

    def run(self) -> None:
        self.clock.run(self.plan.seconds + AFTERWARDS)

    # ---- boxes ---------------------------------------------------------------------------------------------

    def _make_boxes(self) -> None:
        plan, kinds, share = self.plan, list[int](), 0.0
        for number, kind in enumerate(plan.site.kinds):
            share += kind.share
            kinds += [number] * (round(plan.boxes * share) - len(kinds))
        for i, number in enumerate(kinds):
            first = plan.site.zones == 1 or (i * plan.first_zone) % 1 < plan.first_zone
            box = self._new_box(number, 0 if first else 1)
            if plan.pause > 0:
                self.clock.after(self.random.uniform(0, 8), partial(self._stall, box))

    def _new_box(self, kind: int, zone: int) -> FakeWorker:
        of, rng = self.plan.site.kinds[kind], self.random
        speed = of.speed * max(0.5, rng.gauss(1, self.plan.speed_cv))
        cell = 2 * rng.randrange(3) + zone
        box = FakeWorker(
            self.clock,
            rng,
            self.reports,
            rng.getrandbits(32),
            kind,
            of,
            zone,
            cell,
            speed,
            cold_share=rng.uniform(0.4, 0.55),
        )
        self.boxes[box.id] = box
        return box

    def _stall(self, box: FakeWorker) -> None:
        box.stall(self.random.uniform(0.0, self.plan.pause))
        self.clock.after(self.random.uniform(4, 11), partial(self._stall, box))

    def _member(self, box: FakeWorker, state: WorkerState | None = None) -> interface.MemberEntry:
        started = EPOCH + box.started_at if box.started_at else 0.0
        return interface.MemberEntry(box.id, state or box.state, box.kind, box.cell, box.zone, 1.0, started)

    def _publish(self, boxes: list[FakeWorker], state: WorkerState) -> None:
        self.discovery.publish([self._member(box, state) for box in boxes])

    # ---- dispatchers ---------------------------------------------------------------------------------------

    def _module(self, number: int) -> Dispatcher:
        told = interface.Settings.from_pairs(
            {
                **self.told,
                "groupSize": str(self.plan.dispatchers),
                "myNumber": str(number),
                "zone": str(number % self.plan.site.zones),
            }
        )
        return self.modules(told, self.random.getrandbits(48))

    def _start(self, node: Node) -> None:
        node.life += 1
        node.up = node.admitted = True
        node.version = 0
        if node.life > 1:
            node.module = self._module(node.number)
        self.feed(node, interface.Start())
        self.feed(node, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 0, list(self.remembered)))

    def _kill(self, node: Node) -> None:
        node.up = False
        self.discovery.leave(node.number)
        node.drained.clear()
        requests, node.requests = list(node.requests.values()), {}
        for request in requests:
            for attempt in request.attempts:
                attempt.open = False
            if not request.answered:
                request.answered = True
                self._answer(request.wish, "failed", 0.0)

    def feed(self, node: Node, event: interface.Event) -> None:
        if not node.up:
            return
        if isinstance(event, interface.MembershipUpdate) and event.kind != UpdateKind.REFUSED:
            node.version = event.version
            for member in event.members:
                if member.state == WorkerState.READY:
                    node.drained.pop(member.worker, None)
                else:
                    node.drained.setdefault(member.worker, self.clock.now)
        for action in node.module.handle(EPOCH + self.clock.now, event):
            self._carry_out(node, action)

    def _listed(self, number: int, event: interface.MembershipUpdate) -> None:
        self.feed(self.nodes[number], event)

    def _timer(self, node: Node, life: int, token: int) -> None:
        if node.life == life:
            self.feed(node, interface.TimerFired(token))

    def _carry_out(self, node: Node, action: interface.Action) -> None:
        match action:
            case interface.SetTimer():
                self.clock.after(action.after, partial(self._timer, node, node.life, action.token))
            case interface.SendAttempt():
                self._send(node.requests[action.request], self.boxes[action.worker])
            case interface.Reject() | interface.Fail():
                self._final(node.requests[action.request], action)
            case interface.CancelAttempt():
                self._ended(
                    node.requests[action.request].attempts[action.attempt],
                    AttemptOutcome.CANCELLED,
                    None,
                )
            case interface.SendToPeer():
                self._tell(node, action)
            case interface.ProbeWorker():
                self.count["probes"] += 1
                self._probe(node, self.boxes[action.worker])
            case interface.SubscribeMembership():
                self.discovery.call(node.number, node.version)

    def _tell(self, node: Node, action: interface.SendToPeer) -> None:
        for other in self.nodes if action.peer < 0 else [self.nodes[action.peer]]:
            if other is not node:
                self.count["datagrams"] += 1
                if self.clock.now < self.plan.seconds:
                    self.count["charged"] += max(LEAST_DATAGRAM, len(action.payload))
                cut = self.clock.now < self.cut_until and node.zone != other.zone
                if not cut and self.random.random() >= self.plan.loss:
                    message = interface.PeerMessage(node.number, action.payload)
                    self.clock.after(self.random.uniform(*PEER_HOP), partial(self.feed, other, message))

    def _probe(self, node: Node, box: FakeWorker) -> None:
        if box.reachable and not box.hung and not self._apart(node, box):
            told = interface.ProbeResult(box.id, AttemptOutcome.SERVED, 0.001, box.load)
            self.clock.after(2 * self._hop(), partial(self.feed, node, told))

    def _apart(self, node: Node, box: FakeWorker) -> bool:
        return box.silent or node.zone != box.zone and self.clock.now < self.split_until

    # ---- attempts ------------------------------------------------------------------------------------------

    def _hop(self) -> float:
        return self.random.uniform(*HOP)

    def _send(self, request: Request, box: FakeWorker) -> None:
        node, wish, now = request.node, request.wish, self.clock.now
        self._check_send(request, box)
        work = wish.work * max(0.3, self.random.gauss(1, 0.15))
        attempt = Attempt(
            request, len(request.attempts), box, now, work, wish.sort.work * wish.slots, slots=wish.slots
        )
        request.attempts.append(attempt)
        self.count["attempts"] += 1
        self.count["cross_zone"] += box.zone != node.zone
        if not box.reachable or self._apart(node, box):
            self.clock.after(CONNECT, partial(self._ended, attempt, AttemptOutcome.NO_CONNECTION, None))
        elif box.state == WorkerState.GONE:
            self.clock.after(self._hop(), partial(self._ended, attempt, AttemptOutcome.NO_CONNECTION, None))
        else:
            self.clock.after(self._hop(), partial(box.arrive, attempt))
        self.clock.after(request.deadline - now, partial(self._ended, attempt, AttemptOutcome.TIMEOUT, None))

    def _check_send(self, request: Request, box: FakeWorker) -> None:
        gone = request.node.drained.get(box.id)
        if gone is not None and self.clock.now > gone + 0.4 + GRACE:
            self.broken.append(f"a send to a box known to drain for {self.clock.now - gone:.2f} s")
        sort, ran = request.wish.sort, [a for a in request.attempts if a.started or a.open]
        if sort.semantics == Semantics.DEDUPLICATED and ran:
            apart = {"cell": ran[0].box.cell != box.cell, "zone": ran[0].box.zone != box.zone}
            if apart.get(sort.group) or self.clock.now > ran[0].sent_at + sort.window + GRACE:
                self.broken.append("a keyed job that may have run was sent out of its group, or too late")
        if sort.semantics == Semantics.UNSAFE and ran:
            self.broken.append("a fragile job that may have run was sent again")
        if not self.plan.site.may_duplicate and any(a.open for a in request.attempts):
            self.broken.append("two attempts out of one request")
        if len(request.attempts) >= self.plan.site.attempts:
            self.broken.append("more attempts than are allowed")
        if any(a.open and a.box is box for a in request.attempts):
            self.broken.append("two attempts of one request at one box")
        self._check_cold(request, box)

    def _check_cold(self, request: Request, box: FakeWorker) -> None:
        """The sum of all dispatchers: beyond the N jobs of mean work that the settings allow in the time that
        they name, twice the root of N and 2 are chance.
        """
        told, now, site = request.node.module.settings, self.clock.now, self.plan.site
        knows = request.node.module.workers[box.id].started_at > 0
        if not box.started_at or now >= box.started_at + told.slow_start_s - WARM_FROM or not knows:
            return
        self.count["cold_sends"] += 1
        sent = self.cold[box.id, box.started_at]
        sent.append((now, request.wish.sort.work * request.wish.slots / site.mean_work))
        while sent[0][0] < now - told.overload_window_s:
            sent.popleft()
        ramp = (
            told.slow_start_min_share
            + (1 - told.slow_start_min_share) * (now - box.started_at) / told.slow_start_s
        )
        allowed = (
            told.overload_multiple * ramp * told.overload_window_s * box.of.cores * box.speed / site.mean_work
        )
        got = sum(work for _, work in sent)
        if got > allowed + 2 * math.sqrt(allowed) + 2:
            self.broken.append(f"a cold box got {got:.1f} jobs of mean work where {allowed:.1f} are allowed")

    def _started(self, attempt: Attempt) -> None:
        if attempt.open:
            self.waits.append(self.clock.now - attempt.sent_at)
            self.clock.after(self._hop(), partial(self._notice, attempt, NoticeKind.STARTED, 0.0))

    def _progress(self, attempt: Attempt, share: float) -> None:
        self._notice(attempt, NoticeKind.PROGRESS, share)

    def _notice(self, attempt: Attempt, what: int, share: float) -> None:
        request = attempt.owner
        assert isinstance(request, Request)
        if attempt.open and request.live and not self._apart(request.node, attempt.box):
            self.feed(
                request.node,
                interface.ProgressNotice(request.number, attempt.box.id, attempt.number, what, share),
            )

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, load: dict[str, float] | None) -> None:
        request = attempt.owner
        assert isinstance(request, Request)
        if not attempt.open or not request.live:
            return
        if outcome not in OWN_WORD and self._apart(request.node, attempt.box):
            return  # lost on the way: its sender finds out by time
        attempt.open = False
        attempt.started = attempt.started or outcome not in PROVEN_UNRUN
        self.count["outcome_" + outcome] += 1
        if outcome == AttemptOutcome.SERVED and not request.answered:
            request.answered = True
            self._answer(request.wish, "served", 0.0)
        # The module hears of it when its present event is dealt with.
        self.clock.after(0.0, partial(self._outcome, attempt, outcome, load))

    def _outcome(self, attempt: Attempt, outcome: AttemptOutcome, load: dict[str, float] | None) -> None:
        request = attempt.owner
        assert isinstance(request, Request)
        if request.live:
            latency = self.clock.now - attempt.sent_at
            self.feed(
                request.node,
                interface.AttemptEnded(
                    request.number, attempt.box.id, attempt.number, outcome, request.answered, latency, load
                ),
            )
            self._forget(request)

    # ---- clients -------------------------------------------------------------------------------------------

    def _final(self, request: Request, action: interface.Reject | interface.Fail) -> None:
        refused = isinstance(action, interface.Reject)
        if request.answered:
            self.broken.append("a second final answer")
        elif refused and not request.wish.harmless and any(a.started or a.open for a in request.attempts):
            self.broken.append("a job was refused that may have run")
        request.answered = True
        after = action.retry_after if isinstance(action, interface.Reject) else 0.0
        self._answer(request.wish, "refused" if refused else "failed", after)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.answered and not any(a.open for a in request.attempts):
            self.clock.after(0.01, partial(request.node.requests.pop, request.number, None))

    def _answer(self, wish: Wish, end: str, retry_after: float) -> None:
        wish.end = end
        if end == "served":
            wish.in_time = self.clock.now <= wish.at + wish.sort.aim + wish.sort.stretch * wish.work
        elif wish.tries == 1 and self.random.random() < self.plan.retries:
            wait = max(retry_after, self.random.uniform(0.01, 0.08))
            self.clock.after(wait, partial(self._ask, wish))

    def _ask(self, wish: Wish) -> None:
        wish.tries += 1
        self.count["tries"] += 1
        repeat = wish.tries > 1
        admitted = [n for n in self.nodes if n.admitted] or self.nodes
        node = self.random.choice([n for n in admitted if n.zone == wish.zone] or admitted)
        left = wish.sort.deadline - (self.clock.now - wish.at)
        if not node.up or left <= 0:
            self._answer(wish, "failed", 0.0)
            return
        node.last_number += 1
        request = Request(wish, node, node.life, node.last_number, self.clock.now + left)
        node.requests[request.number] = request
        self.clock.after(left + GRACE, partial(self._overdue, request))
        flags = RETRY_FLAG if repeat else 0
        job = interface.JobArrived(
            request.number, wish.cls, wish.tenant, left, slots=float(wish.slots), flags=flags
        )
        self.feed(node, job)

    def _overdue(self, request: Request) -> None:
        if not request.answered and request.live:
            request.answered = True
            self.broken.append("a request without an answer at its deadline")

    def _arrivals(self) -> None:
        plan, rng, at = self.plan, self.random, 0.0
        phase = rng.uniform(0, 11)
        while True:
            swing = 1 + plan.swing * math.sin(2 * math.pi * (at + phase) / 11)
            if plan.trouble == "burst" and plan.at <= at < plan.at + CAUSE:
                swing *= BURST
            at += rng.expovariate(plan.load * self.jobs_a_second * swing)
            if at >= plan.seconds:
                return
            sorts, shares = plan.site.sorts, plan.site.shares or (1.0,)
            cls = rng.choices(range(len(sorts)), [sort.part for sort in sorts])[0]
            work = sorts[cls].draw(rng)
            tenant = rng.choices(range(len(shares)), shares)[0]
            zone = 0 if plan.site.zones == 1 or rng.random() < 0.5 * (1 + plan.skew) else 1
            slots = 2 if sorts[cls].wide and rng.random() < sorts[cls].wide else 1
            wish = Wish(at, cls, sorts[cls], tenant, zone, work, slots)
            self.wishes.append(wish)
            self.clock.after(at, partial(self._ask, wish))

    # ---- troubles ------------------------------------------------------------------------------------------

    def _plan_troubles(self) -> None:
        plan, rng = self.plan, self.random
        for box in rng.sample(list(self.boxes.values()), plan.bad):
            self.clock.after(rng.uniform(0.5, 3), partial(setattr, box, "fails_fast", True))
        if plan.trouble == "zone":
            self.clock.after(plan.at, self._lose_zone)
        elif plan.trouble == "join":
            self.clock.after(plan.at, self._replace)
        elif plan.trouble == "herd":
            self.clock.after(plan.at, self._release)
        elif plan.trouble == "roll":
            order = rng.sample(self.nodes, len(self.nodes) // 2)
            for step in range(5):
                self.clock.after(plan.at + 0.5 * step, partial(self._kill_all, order[step::5]))
        elif plan.trouble == "hub":
            self.clock.after(plan.at, self._kill_hubs)
        elif plan.trouble == "cut":
            self.clock.after(plan.at, partial(setattr, self, "cut_until", plan.at + CUT))
        elif plan.trouble in ("split", "mute"):
            self.clock.after(plan.at, self._cut_off)
        elif plan.trouble == "drain":
            self.clock.after(plan.at, self._drain_some)
        elif plan.trouble == "hang":
            for box in rng.sample(list(self.boxes.values()), max(1, round(HUNG * len(self.boxes)))):
                self.clock.after(plan.at, box.hang)
        elif plan.trouble == "slow":
            for box in self.boxes.values():
                self.clock.after(plan.at, partial(box.slow, SLOWED))
                self.clock.after(plan.at + CAUSE, partial(box.slow, 1.0))

    def _cut_off(self) -> None:
        """A zone, or a fifth of the boxes, is out of reach; zones do not hear each other; lists come late."""
        self.cut_until = self.clock.now + SPLIT
        self.discovery.late_until = self.clock.now + LATE_LIST
        if self.plan.trouble == "split":
            self.split_until = self.cut_until
            return
        for box in self.random.sample(list(self.boxes.values()), int(SILENT * len(self.boxes))):
            box.silent = True
            self.clock.after(SPLIT, partial(setattr, box, "silent", False))

    def _kill_hubs(self) -> None:
        self._kill_all([node for node in self.nodes if node.module.gossip.is_aggregator])

    def _lose_zone(self) -> None:
        """A zone is cut off, listed as gone seconds later, and comes back cold."""
        lost = [box for box in self.boxes.values() if box.zone == 1]
        if self.plan.site.zones == 1:
            lost = self.random.sample(list(self.boxes.values()), max(1, round(LOST * len(self.boxes))))
        for box in lost:
            box.lose()
        for wave in range(3):
            part = lost[wave::3]
            self.clock.after(3.0 + 0.4 * wave, partial(self._publish, part, WorkerState.GONE))
            self.clock.after(self.plan.lost_for + 0.35 * wave, partial(self._come_back, part))

    def _come_back(self, boxes: list[FakeWorker]) -> None:
        for box in boxes:
            box.start(self.random.uniform(*COLD))
        self.clock.after(self.random.uniform(0.2, 0.5), partial(self._publish, boxes, WorkerState.READY))

    def _swap(self, old: list[FakeWorker]) -> None:
        """Drain some boxes, and start as many new ones."""
        for box in old:
            box.drain()
            self.clock.after(self.random.uniform(2.0, 4.0), partial(self._end_box, box))
        self.clock.after(0.45, partial(self._publish, old, WorkerState.DRAINING))
        fresh = [self._new_box(box.kind, box.zone) for box in old]
        for box in fresh:
            box.state = WorkerState.GONE
        self.clock.after(1.5, partial(self._come_up, fresh))

    def _come_up(self, boxes: list[FakeWorker]) -> None:
        for box in boxes:
            box.start(self.random.uniform(*COLD))
        self.clock.after(0.7, partial(self._publish, boxes, WorkerState.READY))

    def _drain_some(self) -> None:
        """Some begin to drain and stay so, and nobody takes their place."""
        leaving = self.random.sample(list(self.boxes.values()), max(1, round(DRAINED * len(self.boxes))))
        for box in leaving:
            box.drain()
        self.clock.after(0.45, partial(self._publish, leaving, WorkerState.DRAINING))

    def _end_box(self, box: FakeWorker) -> None:
        if box.running:
            self.clock.after(0.5, partial(self._end_box, box))
        else:
            box.state = WorkerState.GONE
            self.clock.after(2.0, partial(self._publish, [box], WorkerState.GONE))

    def _replace(self) -> None:
        """Six in ten boxes are replaced within 7 s."""
        old = self.random.sample(list(self.boxes.values()), int(0.6 * len(self.boxes)))
        self._swap(old[: len(old) // 2])
        self.clock.after(4.5, partial(self._swap, old[len(old) // 2 :]))

    def _release(self) -> None:
        """Boxes are replaced in waves, and seven in ten dispatchers are killed at once and start again."""
        order = self.random.sample(list(self.boxes.values()), int(0.6 * len(self.boxes)))
        for wave in range(4):
            self.clock.after(0.5 + 2.5 * wave, partial(self._swap, order[wave::4]))
        killed = self.random.sample(self.nodes, int(0.7 * len(self.nodes)))
        self.clock.after(3.0, partial(self._kill_all, killed))

    def _kill_all(self, nodes: list[Node]) -> None:
        for node in nodes:
            self._kill(node)
            self.clock.after(self.random.uniform(1.0, 1.6), partial(setattr, node, "admitted", False))
            self.clock.after(self.random.uniform(*RESTART), partial(self._start, node))

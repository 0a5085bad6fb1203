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
from .plan import JobClass, Plan, settings
from .workers import Attempt, FakeWorker, WorkerCallbacks

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
DispatcherFactory = Callable[[interface.Settings, int], Dispatcher]


@dataclass(eq=False)
class ClientJob:
    """What a client wants, over all its tries."""

    sent_at: float
    class_index: int
    job_class: JobClass
    tenant: int
    zone: int
    work: float
    slots: int = 1
    attempts: int = 0
    outcome: str = ""  # served, refused, failed
    in_time: bool = False

    @property
    def safe_to_repeat(self) -> bool:
        """To run it twice, wherever that is."""
        sort = self.job_class
        return (
            sort.semantics == Semantics.RETRYABLE
            or sort.semantics == Semantics.DEDUPLICATED
            and sort.group == "all"
        )


@dataclass(eq=False)
class Request:
    """One try, as one life of one dispatcher has it."""

    job: ClientJob
    node: Node
    incarnation: int
    number: int
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False

    @property
    def live(self) -> bool:
        return self.node.up and self.node.incarnation == self.incarnation


@dataclass(eq=False)
class Node:
    """A dispatcher's machine."""

    number: int
    zone: int
    dispatcher: Dispatcher
    incarnation: int = 0
    up: bool = False
    admitted: bool = True  # by the front, which notices late
    list_version: int = 0  # of its list
    last_request_number: int = 0
    requests: dict[int, Request] = field(default_factory=dict)
    draining_since: dict[int, float] = field(
        default_factory=dict
    )  # boxes that it knows to have left: since when


class SimulatedFleet:
    def __init__(self, plan: Plan, create_dispatcher: DispatcherFactory = Dispatcher) -> None:
        self.plan = plan
        self.modules = create_dispatcher
        self.random = random.Random(plan.seed)
        self.clock = Clock()
        self.counters: Counter[str] = Counter()
        self.broken: list[str] = []  # rules, in words
        self.jobs: list[ClientJob] = []
        self.start_waits_s: list[float] = []  # from a send to its start
        # What cold boxes were sent by those that knew of their start: when, and work, by box and start.
        self.cold: defaultdict[tuple[int, float], deque[tuple[float, float]]] = defaultdict(deque)
        self.reports = WorkerCallbacks(self._started, self._progress, self._ended)
        self.workers: dict[int, FakeWorker] = {}
        self._make_boxes()
        self.capacity = sum(
            b.worker_kind.cores * b.speed for b in self.workers.values()
        )  # cores of standard speed
        self.jobs_a_second = self.capacity / plan.site.mean_work
        self.site_settings = settings(self.jobs_a_second, plan.peers, plan.site)
        self.discovery = Discovery(self.clock, self.random, plan.discovery_calls_per_s, self._listed)
        self.cut_until = -math.inf  # till then the zones' dispatchers do not hear each other
        self.split_until = -math.inf  # till then no dispatcher reaches a box of the other zone
        self.bootstrap_members = [self._member(worker) for worker in self.workers.values()]
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
        for number, kind in enumerate(plan.site.worker_kinds):
            share += kind.share
            kinds += [number] * (round(plan.workers * share) - len(kinds))
        for i, number in enumerate(kinds):
            first = plan.site.zones == 1 or (i * plan.first_zone_share) % 1 < plan.first_zone_share
            worker = self._new_box(number, 0 if first else 1)
            if plan.max_stall_s > 0:
                self.clock.after(self.random.uniform(0, 8), partial(self._stall, worker))

    def _new_box(self, kind: int, zone: int) -> FakeWorker:
        of, rng = self.plan.site.worker_kinds[kind], self.random
        speed = of.speed * max(0.5, rng.gauss(1, self.plan.speed_cv))
        cell = 2 * rng.randrange(3) + zone
        worker = FakeWorker(
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
        self.workers[worker.id] = worker
        return worker

    def _stall(self, worker: FakeWorker) -> None:
        worker.stall(self.random.uniform(0.0, self.plan.max_stall_s))
        self.clock.after(self.random.uniform(4, 11), partial(self._stall, worker))

    def _member(self, worker: FakeWorker, state: WorkerState | None = None) -> interface.MemberEntry:
        started = EPOCH + worker.started_at if worker.started_at else 0.0
        return interface.MemberEntry(
            worker.id, state or worker.state, worker.kind, worker.cell, worker.zone, 1.0, started
        )

    def _publish(self, workers: list[FakeWorker], state: WorkerState) -> None:
        self.discovery.publish([self._member(worker, state) for worker in workers])

    # ---- dispatchers ---------------------------------------------------------------------------------------

    def _module(self, number: int) -> Dispatcher:
        told = interface.Settings.from_pairs(
            {
                **self.site_settings,
                "groupSize": str(self.plan.dispatchers),
                "myNumber": str(number),
                "zone": str(number % self.plan.site.zones),
            }
        )
        return self.modules(told, self.random.getrandbits(48))

    def _start(self, node: Node) -> None:
        node.incarnation += 1
        node.up = node.admitted = True
        node.list_version = 0
        if node.incarnation > 1:
            node.dispatcher = self._module(node.number)
        self.feed(node, interface.Start())
        self.feed(node, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 0, list(self.bootstrap_members)))

    def _kill(self, node: Node) -> None:
        node.up = False
        self.discovery.leave(node.number)
        node.draining_since.clear()
        requests, node.requests = list(node.requests.values()), {}
        for request in requests:
            for attempt in request.attempts:
                attempt.open = False
            if not request.answered:
                request.answered = True
                self._answer(request.job, "failed", 0.0)

    def feed(self, node: Node, event: interface.Event) -> None:
        if not node.up:
            return
        if isinstance(event, interface.MembershipUpdate) and event.kind != UpdateKind.REFUSED:
            node.list_version = event.version
            for member in event.members:
                if member.state == WorkerState.READY:
                    node.draining_since.pop(member.worker, None)
                else:
                    node.draining_since.setdefault(member.worker, self.clock.now)
        for action in node.dispatcher.handle(EPOCH + self.clock.now, event):
            self._carry_out(node, action)

    def _listed(self, number: int, event: interface.MembershipUpdate) -> None:
        self.feed(self.nodes[number], event)

    def _timer(self, node: Node, life: int, token: int) -> None:
        if node.incarnation == life:
            self.feed(node, interface.TimerFired(token))

    def _carry_out(self, node: Node, action: interface.Action) -> None:
        match action:
            case interface.SetTimer():
                self.clock.after(action.after, partial(self._timer, node, node.incarnation, action.token))
            case interface.SendAttempt():
                self._send(node.requests[action.request], self.workers[action.worker])
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
                self.counters["probes"] += 1
                self._probe(node, self.workers[action.worker])
            case interface.SubscribeMembership():
                self.discovery.call(node.number, node.list_version)

    def _tell(self, node: Node, action: interface.SendToPeer) -> None:
        for other in self.nodes if action.peer < 0 else [self.nodes[action.peer]]:
            if other is not node:
                self.counters["datagrams"] += 1
                if self.clock.now < self.plan.seconds:
                    self.counters["charged"] += max(LEAST_DATAGRAM, len(action.payload))
                cut = self.clock.now < self.cut_until and node.zone != other.zone
                if not cut and self.random.random() >= self.plan.datagram_loss:
                    message = interface.PeerMessage(node.number, action.payload)
                    self.clock.after(self.random.uniform(*PEER_HOP), partial(self.feed, other, message))

    def _probe(self, node: Node, worker: FakeWorker) -> None:
        if worker.reachable and not worker.hung and not self._apart(node, worker):
            told = interface.ProbeResult(worker.id, AttemptOutcome.SERVED, 0.001, worker.load)
            self.clock.after(2 * self._hop(), partial(self.feed, node, told))

    def _apart(self, node: Node, worker: FakeWorker) -> bool:
        return worker.unreachable_silently or node.zone != worker.zone and self.clock.now < self.split_until

    # ---- attempts ------------------------------------------------------------------------------------------

    def _hop(self) -> float:
        return self.random.uniform(*HOP)

    def _send(self, request: Request, worker: FakeWorker) -> None:
        node, wish, now = request.node, request.job, self.clock.now
        self._check_send(request, worker)
        work = wish.work * max(0.3, self.random.gauss(1, 0.15))
        attempt = Attempt(
            request,
            len(request.attempts),
            worker,
            now,
            work,
            wish.job_class.mean_work * wish.slots,
            slots=wish.slots,
        )
        request.attempts.append(attempt)
        self.counters["attempts"] += 1
        self.counters["cross_zone"] += worker.zone != node.zone
        if not worker.reachable or self._apart(node, worker):
            self.clock.after(CONNECT, partial(self._ended, attempt, AttemptOutcome.NO_CONNECTION, None))
        elif worker.state == WorkerState.GONE:
            self.clock.after(self._hop(), partial(self._ended, attempt, AttemptOutcome.NO_CONNECTION, None))
        else:
            self.clock.after(self._hop(), partial(worker.arrive, attempt))
        self.clock.after(request.deadline - now, partial(self._ended, attempt, AttemptOutcome.TIMEOUT, None))

    def _check_send(self, request: Request, worker: FakeWorker) -> None:
        gone = request.node.draining_since.get(worker.id)
        if gone is not None and self.clock.now > gone + 0.4 + GRACE:
            self.broken.append(f"a send to a box known to drain for {self.clock.now - gone:.2f} s")
        sort, ran = request.job.job_class, [a for a in request.attempts if a.started or a.open]
        if sort.semantics == Semantics.DEDUPLICATED and ran:
            apart = {"cell": ran[0].worker.cell != worker.cell, "zone": ran[0].worker.zone != worker.zone}
            if apart.get(sort.group) or self.clock.now > ran[0].sent_at + sort.deduplication_window_s + GRACE:
                self.broken.append("a keyed job that may have run was sent out of its group, or too late")
        if sort.semantics == Semantics.UNSAFE and ran:
            self.broken.append("a fragile job that may have run was sent again")
        if not self.plan.site.may_duplicate and any(a.open for a in request.attempts):
            self.broken.append("two attempts out of one request")
        if len(request.attempts) >= self.plan.site.attempts:
            self.broken.append("more attempts than are allowed")
        if any(a.open and a.worker is worker for a in request.attempts):
            self.broken.append("two attempts of one request at one box")
        self._check_cold(request, worker)

    def _check_cold(self, request: Request, worker: FakeWorker) -> None:
        """The sum of all dispatchers: beyond the N jobs of mean work that the settings allow in the time that
        they name, twice the root of N and 2 are chance.
        """
        told, now, site = request.node.dispatcher.settings, self.clock.now, self.plan.site
        knows = request.node.dispatcher.workers[worker.id].started_at > 0
        if not worker.started_at or now >= worker.started_at + told.slow_start_s - WARM_FROM or not knows:
            return
        self.counters["cold_sends"] += 1
        sent = self.cold[worker.id, worker.started_at]
        sent.append((now, request.job.job_class.mean_work * request.job.slots / site.mean_work))
        while sent[0][0] < now - told.overload_window_s:
            sent.popleft()
        ramp = (
            told.slow_start_min_share
            + (1 - told.slow_start_min_share) * (now - worker.started_at) / told.slow_start_s
        )
        allowed = (
            told.overload_multiple
            * ramp
            * told.overload_window_s
            * worker.worker_kind.cores
            * worker.speed
            / site.mean_work
        )
        got = sum(work for _, work in sent)
        if got > allowed + 2 * math.sqrt(allowed) + 2:
            self.broken.append(f"a cold box got {got:.1f} jobs of mean work where {allowed:.1f} are allowed")

    def _started(self, attempt: Attempt) -> None:
        if attempt.open:
            self.start_waits_s.append(self.clock.now - attempt.sent_at)
            self.clock.after(self._hop(), partial(self._notice, attempt, NoticeKind.STARTED, 0.0))

    def _progress(self, attempt: Attempt, share: float) -> None:
        self._notice(attempt, NoticeKind.PROGRESS, share)

    def _notice(self, attempt: Attempt, what: int, share: float) -> None:
        request = attempt.owner
        assert isinstance(request, Request)
        if attempt.open and request.live and not self._apart(request.node, attempt.worker):
            self.feed(
                request.node,
                interface.ProgressNotice(request.number, attempt.worker.id, attempt.number, what, share),
            )

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, load: dict[str, float] | None) -> None:
        request = attempt.owner
        assert isinstance(request, Request)
        if not attempt.open or not request.live:
            return
        if outcome not in OWN_WORD and self._apart(request.node, attempt.worker):
            return  # lost on the way: its sender finds out by time
        attempt.open = False
        attempt.started = attempt.started or outcome not in PROVEN_UNRUN
        self.counters["outcome_" + outcome] += 1
        if outcome == AttemptOutcome.SERVED and not request.answered:
            request.answered = True
            self._answer(request.job, "served", 0.0)
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
                    request.number,
                    attempt.worker.id,
                    attempt.number,
                    outcome,
                    request.answered,
                    latency,
                    load,
                ),
            )
            self._forget(request)

    # ---- clients -------------------------------------------------------------------------------------------

    def _final(self, request: Request, action: interface.Reject | interface.Fail) -> None:
        refused = isinstance(action, interface.Reject)
        if request.answered:
            self.broken.append("a second final answer")
        elif (
            refused and not request.job.safe_to_repeat and any(a.started or a.open for a in request.attempts)
        ):
            self.broken.append("a job was refused that may have run")
        request.answered = True
        after = action.retry_after if isinstance(action, interface.Reject) else 0.0
        self._answer(request.job, "refused" if refused else "failed", after)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.answered and not any(a.open for a in request.attempts):
            self.clock.after(0.01, partial(request.node.requests.pop, request.number, None))

    def _answer(self, wish: ClientJob, end: str, retry_after: float) -> None:
        wish.outcome = end
        if end == "served":
            wish.in_time = (
                self.clock.now
                <= wish.sent_at + wish.job_class.latency_objective_s + wish.job_class.stretch * wish.work
            )
        elif wish.attempts == 1 and self.random.random() < self.plan.client_retry_chance:
            wait = max(retry_after, self.random.uniform(0.01, 0.08))
            self.clock.after(wait, partial(self._ask, wish))

    def _ask(self, wish: ClientJob) -> None:
        wish.attempts += 1
        self.counters["tries"] += 1
        repeat = wish.attempts > 1
        admitted = [n for n in self.nodes if n.admitted] or self.nodes
        node = self.random.choice([n for n in admitted if n.zone == wish.zone] or admitted)
        left = wish.job_class.deadline_s - (self.clock.now - wish.sent_at)
        if not node.up or left <= 0:
            self._answer(wish, "failed", 0.0)
            return
        node.last_request_number += 1
        request = Request(wish, node, node.incarnation, node.last_request_number, self.clock.now + left)
        node.requests[request.number] = request
        self.clock.after(left + GRACE, partial(self._overdue, request))
        flags = RETRY_FLAG if repeat else 0
        job = interface.JobArrived(
            request.number, wish.class_index, wish.tenant, left, slots=float(wish.slots), flags=flags
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
            swing = 1 + plan.load_swing * math.sin(2 * math.pi * (at + phase) / 11)
            if plan.fault == "burst" and plan.fault_at_s <= at < plan.fault_at_s + CAUSE:
                swing *= BURST
            at += rng.expovariate(plan.load * self.jobs_a_second * swing)
            if at >= plan.seconds:
                return
            sorts, shares = plan.site.job_classes, plan.site.tenant_shares or (1.0,)
            cls = rng.choices(range(len(sorts)), [sort.share for sort in sorts])[0]
            work = sorts[cls].draw(rng)
            tenant = rng.choices(range(len(shares)), shares)[0]
            zone = 0 if plan.site.zones == 1 or rng.random() < 0.5 * (1 + plan.zone_skew) else 1
            slots = 2 if sorts[cls].two_slot_share and rng.random() < sorts[cls].two_slot_share else 1
            wish = ClientJob(at, cls, sorts[cls], tenant, zone, work, slots)
            self.jobs.append(wish)
            self.clock.after(at, partial(self._ask, wish))

    # ---- troubles ------------------------------------------------------------------------------------------

    def _plan_troubles(self) -> None:
        plan, rng = self.plan, self.random
        for worker in rng.sample(list(self.workers.values()), plan.failing_workers):
            self.clock.after(rng.uniform(0.5, 3), partial(setattr, worker, "fails_fast", True))
        if plan.fault == "zone":
            self.clock.after(plan.fault_at_s, self._lose_zone)
        elif plan.fault == "join":
            self.clock.after(plan.fault_at_s, self._replace)
        elif plan.fault == "herd":
            self.clock.after(plan.fault_at_s, self._release)
        elif plan.fault == "roll":
            order = rng.sample(self.nodes, len(self.nodes) // 2)
            for step in range(5):
                self.clock.after(plan.fault_at_s + 0.5 * step, partial(self._kill_all, order[step::5]))
        elif plan.fault == "hub":
            self.clock.after(plan.fault_at_s, self._kill_hubs)
        elif plan.fault == "cut":
            self.clock.after(plan.fault_at_s, partial(setattr, self, "cut_until", plan.fault_at_s + CUT))
        elif plan.fault in ("split", "mute"):
            self.clock.after(plan.fault_at_s, self._cut_off)
        elif plan.fault == "drain":
            self.clock.after(plan.fault_at_s, self._drain_some)
        elif plan.fault == "hang":
            for worker in rng.sample(list(self.workers.values()), max(1, round(HUNG * len(self.workers)))):
                self.clock.after(plan.fault_at_s, worker.hang)
        elif plan.fault == "slow":
            for worker in self.workers.values():
                self.clock.after(plan.fault_at_s, partial(worker.set_pace, SLOWED))
                self.clock.after(plan.fault_at_s + CAUSE, partial(worker.set_pace, 1.0))

    def _cut_off(self) -> None:
        """A zone, or a fifth of the boxes, is out of reach; zones do not hear each other; lists come late."""
        self.cut_until = self.clock.now + SPLIT
        self.discovery.late_until = self.clock.now + LATE_LIST
        if self.plan.fault == "split":
            self.split_until = self.cut_until
            return
        for worker in self.random.sample(list(self.workers.values()), int(SILENT * len(self.workers))):
            worker.unreachable_silently = True
            self.clock.after(SPLIT, partial(setattr, worker, "silent", False))

    def _kill_hubs(self) -> None:
        self._kill_all([node for node in self.nodes if node.dispatcher.fleet.is_aggregator])

    def _lose_zone(self) -> None:
        """A zone is cut off, listed as gone seconds later, and comes back cold."""
        lost = [worker for worker in self.workers.values() if worker.zone == 1]
        if self.plan.site.zones == 1:
            lost = self.random.sample(list(self.workers.values()), max(1, round(LOST * len(self.workers))))
        for worker in lost:
            worker.cut_off()
        for wave in range(3):
            part = lost[wave::3]
            self.clock.after(3.0 + 0.4 * wave, partial(self._publish, part, WorkerState.GONE))
            self.clock.after(self.plan.zone_lost_s + 0.35 * wave, partial(self._come_back, part))

    def _come_back(self, workers: list[FakeWorker]) -> None:
        for worker in workers:
            worker.start(self.random.uniform(*COLD))
        self.clock.after(self.random.uniform(0.2, 0.5), partial(self._publish, workers, WorkerState.READY))

    def _swap(self, old: list[FakeWorker]) -> None:
        """Drain some boxes, and start as many new ones."""
        for worker in old:
            worker.drain()
            self.clock.after(self.random.uniform(2.0, 4.0), partial(self._end_box, worker))
        self.clock.after(0.45, partial(self._publish, old, WorkerState.DRAINING))
        fresh = [self._new_box(worker.kind, worker.zone) for worker in old]
        for worker in fresh:
            worker.state = WorkerState.GONE
        self.clock.after(1.5, partial(self._come_up, fresh))

    def _come_up(self, workers: list[FakeWorker]) -> None:
        for worker in workers:
            worker.start(self.random.uniform(*COLD))
        self.clock.after(0.7, partial(self._publish, workers, WorkerState.READY))

    def _drain_some(self) -> None:
        """Some begin to drain and stay so, and nobody takes their place."""
        leaving = self.random.sample(list(self.workers.values()), max(1, round(DRAINED * len(self.workers))))
        for worker in leaving:
            worker.drain()
        self.clock.after(0.45, partial(self._publish, leaving, WorkerState.DRAINING))

    def _end_box(self, worker: FakeWorker) -> None:
        if worker.running:
            self.clock.after(0.5, partial(self._end_box, worker))
        else:
            worker.state = WorkerState.GONE
            self.clock.after(2.0, partial(self._publish, [worker], WorkerState.GONE))

    def _replace(self) -> None:
        """Six in ten boxes are replaced within 7 s."""
        old = self.random.sample(list(self.workers.values()), int(0.6 * len(self.workers)))
        self._swap(old[: len(old) // 2])
        self.clock.after(4.5, partial(self._swap, old[len(old) // 2 :]))

    def _release(self) -> None:
        """Boxes are replaced in waves, and seven in ten dispatchers are killed at once and start again."""
        order = self.random.sample(list(self.workers.values()), int(0.6 * len(self.workers)))
        for wave in range(4):
            self.clock.after(0.5 + 2.5 * wave, partial(self._swap, order[wave::4]))
        killed = self.random.sample(self.nodes, int(0.7 * len(self.nodes)))
        self.clock.after(3.0, partial(self._kill_all, killed))

    def _kill_all(self, nodes: list[Node]) -> None:
        for node in nodes:
            self._kill(node)
            self.clock.after(self.random.uniform(1.0, 1.6), partial(setattr, node, "admitted", False))
            self.clock.after(self.random.uniform(*RESTART), partial(self._start, node))

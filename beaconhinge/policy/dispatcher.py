"""The decisions of one dispatcher. Its settings, events and actions stand in `interface.py`.

`Dispatcher(settings, seed).handle(now, event)` answers with a list of actions, without clock, I/O or state
outside. A job's life: its tenant's bucket admits or refuses it on arrival; it goes to a random ready worker,
or is held for a slot; each outcome ends it, sends it elsewhere, or fails it."""

import math
import random
from bisect import insort
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import ClassVar

from ..gossip import codec
from ..gossip.aggregation import MEMORY, Fleet, Reported, Spent, max_min, smooth
from . import interface
from .interface import (
    PROVEN_UNRUN,
    RETRY_FLAG,
    AttemptOutcome,
    NoticeKind,
    Semantics,
    UpdateKind,
    WorkerState,
)

INF = float("inf")
TICK, REPORT = 1, 2  # timers: housekeeping and peer report
TICK_AFTER = 0.1  # seconds between wake-ups, a tenth of the shortest deadline at most; they cost little
REPORT_AFTER, REPORT_MOST = 0.5, 8.0  # seconds between reports, jittered, lest timers stay in step
CONTROL_AFTER = 1.0  # seconds between changes of the fleet rate: a cut must show before the next
ASK_SPREAD = 0.25  # seconds for each dispatcher, over which they spread their calls to discovery
FEW = 8  # in a larger group than that a dispatcher has few sends, and an Nth of a budget is less than a job
REPORT_BYTES = 40  # delivered bytes of reports for each own job
UNHEARD = 0.2  # seconds until dispatchers of a large group have heard of each other's sends
CLAIM = 1.5  # claims on each slot seen free, by all dispatchers, until they hear of each other's
CUT, STEP = 0.9, 0.1  # the fleet rate falls and rises by a tenth: it must come back as fast as it went
FULL_SHARE = 0.1  # share of sends ending 'full' that cuts the rate: above chance, far below waste
BURST, BURST_JOBS = 3.0, 4.0  # seconds of its rate, and mean jobs, that a bucket holds: they come in clumps
SHORT = 0.4  # a job without a hint is taken as this part of the mean: most are shorter than the mean
HOPELESS = 1.2  # a held job is given up when even this much faster it would end after its deadline
UNFILLED = 0.75  # a worker 'full' with less than this of its slots out is at fault, not the load
SAMPLE = 40  # workers looked at for a job in a large group, besides those that answered last
SCANNED = 32  # held jobs looked at when a slot falls free; bounds the work of one event
ASKED, TOLD, SUITS = 5, 100.0, 10.0  # asked for a job how full they are; likelier if it told, if it suits
RESERVE = 1.0  # slots a worker keeps free of over-quota jobs, by how little those are worth
LIMIT = 2.0  # slots that a worker is taken to have before any of its kind has taught better
PROMPT = 0.05  # seconds from a send to its start within which a slot was free
HANDED_BACK = 0.1  # seconds after which a job sent back was not turned away at the door: a worker drains
LEARN = 0.15  # weight of one observation in a worker's threshold and pace
KIND_WEIGHT, WAIT_WEIGHT = 0.02, 0.05  # weight of one observation, and of one wait, in a kind's threshold
BLAME, PEER_BLAME = 0.3, 0.15  # weight of one failure, own or told by a peer: one of a peer's does not bench
BENCH_SHARE, TRUST_SHARE = 0.25, 0.15  # failure share at which a worker is benched, and is trusted again
TRIAL_PRAISE, TRIAL_TURN = 0.5, 1.0  # weight of a good trial; seconds for each peer that trials spread over
BENCH_FIRST, BENCH_MOST = 0.5, 8.0  # seconds a worker sits out; doubles while its trial jobs fail
BENCHED_FLEET = 0.75  # bench no more of the fleet: then the fault lies elsewhere
SILENT_NOTICES, SILENT_JOBS = 1.5, 3.0  # progress intervals, or mean job times by slots out: a stall
SLOW = 0.5  # speed, by the progress of its jobs and beside the fleet's, under which a worker is passed over
SPEED_WEIGHT, SPEED_MEMORY = 0.4, 8.0  # weight of one progress notice; seconds after which speed is forgotten
UNNOTICED, WAITS = 1.0, 8.0  # seconds, and usual waits, until a job is lost: copies of waiting ones add load
PRICE = 100.0  # a price of one point in 100 doubles the preference for an idle connection or the own zone
COLD_MARGIN = 0.75  # part of the cold budget that is used: each sees lengths, slots and clocks differently


@dataclass(slots=True, eq=False)
class _Worker:
    id: int
    key: int  # its name among dispatchers
    kind: int = 0
    cell: int = 0
    zone: int = 0
    started_at: float = 0.0  # names its last start
    slow_start_from: float = 0.0  # that start on the own clock; 0: long ago
    up: bool = False  # by the list's word
    listed: bool = False  # may have jobs: up, and not taken out by hand
    idle: list[float] = field(default_factory=list)  # own idle connections, by the time of their last use
    connect_after: float = 0.0  # no new connection before
    out: float = 0.0  # own slots out
    low: float = 0.0  # fewest slots out in this control interval, and in the one before
    low_before: float = 0.0
    limit: float = 0.0  # threshold of slots out under which it is ready; 0: take the mean
    pace: float = 0.0  # seconds per unit of hinted work (per job without hints); 0: take the mean
    fail: float = 0.0  # smoothed share of failures
    benched_until: float = 0.0
    bench_for: float = BENCH_FIRST
    bench_over: float = 0.0  # from then on anyone may try it; benched_until is the own turn
    trial: bool = False  # it may have one job at a time until trusted again
    # Classes whose jobs it turns away with slots free: until when, and for how long that was.
    barred: dict[interface.RequestClass, tuple[float, float]] = field(default_factory=dict)
    last_sign: float = 0.0
    broke_at: float = -INF  # when a connection to it last broke under a job
    speed: float = 1.0  # of its jobs against their own best, and the time of the last notice of it
    speed_at: float = 0.0
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # (time, slot-seconds) sent while cold


@dataclass(slots=True)
class _Attempt:
    worker: _Worker
    sent_at: float
    open: bool = True
    unrun: bool = False  # proven never to have run
    position: float = 0.0  # slots out on the worker with it, as far as was told
    waited: float = 0.0  # before its start, where that is told
    noticed: bool = False  # a sign of its start has come
    share: float = 0.0  # done by the last progress notice, and the time of that
    share_at: float = 0.0
    rate: float = 0.0  # share a second: now, and on a worker at full speed
    full_rate: float = 0.0


@dataclass(slots=True, eq=False)
class _Request:
    id: int
    cls: interface.RequestClass
    slots: float
    work: float  # hinted work, 1 without a hint
    asked: float  # when its client first did, as far as can be told
    deadline: float
    due: float  # until then an answer has full worth
    expected: float  # time on a mean worker
    start_by: float  # a later start is likely to be late
    over: bool = False  # beyond its tenant's told quota
    attempts: list[_Attempt] = field(default_factory=list)
    pending: int = 0  # attempts without an outcome
    done: bool = False  # its final answer is given
    held: bool = False

    @property
    def ran(self) -> _Attempt | None:  # the first attempt that may have run, or may run yet
        return next((a for a in self.attempts if not a.unrun), None)


@dataclass(slots=True)
class _Bucket:
    allowed: float = 0.0  # work since the last report
    denied: float = 0.0
    demand: float = 0.0  # smoothed work a second
    admitted: float = 0.0
    tokens: float = 0.0
    rate: float = INF


class Dispatcher:
    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self.tick = min([TICK_AFTER] + [c.deadline_s / 10 for c in settings.classes if c.deadline_s > 0])
        self.actions: list[interface.Action] = []
        self.workers: dict[int, _Worker] = {}
        self.pool: dict[int, list[_Worker]] = {-1: []}  # listed workers by kind; -1: all of them
        self.recent: deque[_Worker] = deque(maxlen=SAMPLE // 2)  # those that answered last: open connections
        self.limits: dict[int, float] = {}  # of the mean worker of each kind
        self.most_free: dict[int, float] = {}  # slots that a worker of the kind has told free
        self.chance = 1.0  # of a claim while slots are scarce
        self.freed: _Worker | None = None  # on which a slot of its own has just fallen free
        self.pace = 0.0  # of the mean worker
        self.mean_work = 1.0  # of a job, as hinted
        self.job_time = 0.0  # mean latency of what was served
        self.spent, self.hasty = Spent(), min(settings.classes, key=lambda c: c.latency_objective_s)
        self.wait = 0.0  # from sends to starts, lately
        self.fleet_speed = 1.0  # of the middle worker
        self.requests: dict[int, _Request] = {}
        # Held jobs by kind, as (rank, until, id, request); rank 0 within quota, 1 beyond it, 2 and 3 late.
        self.held: dict[int, list[tuple[int, float, int, _Request]]] = {}
        self.buckets: dict[tuple[int, int], _Bucket] = {}
        self.quota = [max(1.0, t.quota_rps / settings.group_size) for t in settings.tenants]  # in jobs
        self.longest = [0.0] * len(settings.classes)  # most time that a job of the class came with
        incarnation = self.random.getrandbits(8)
        self.fleet = Fleet(settings.group_size, settings.own_number, incarnation, REPORT_AFTER)
        self.many = settings.group_size > FEW
        self.seen = Reported() if settings.group_size > 1 and not settings.peer_messages else None
        self.by_key: dict[int, _Worker] = {}
        self.by_hand: dict[int, float] = {}  # workers taken out by hand, and their start as known then
        self.report_after = REPORT_AFTER
        self.part = 1 / settings.group_size  # of the fleet's demand that comes here
        self.rate = INF  # work a second that the fleet admits
        self.sends = self.fulls = self.asking = 0  # asking: workers whose word on their load is awaited
        self.send_rate = 0.0  # of all, a second
        self.started = self.smoothed_from = self.controlled = self.reported = self.refilled = 0.0
        self.ask_at, self.ask_within = INF, ASK_SPREAD * settings.group_size

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        self.now = now
        self.actions = []
        if type(event) in self.HANDLERS:
            self.HANDLERS[type(event)](self, event)
        if self.settings.peer_messages and self.fleet.mates:
            self.tell()
        return self.actions

    def tell(self) -> None:
        self.fleet.turn(self.now)
        if self.fleet.introduce:
            self.fleet.introduce = False
            self.fleet.report(self.own_report(0.0, []), -1 if self.fleet.hub is None else self.fleet.hub)
        self.actions += [interface.SendToPeer(payload, number) for number, payload in self.fleet.outbox]
        self.fleet.outbox.clear()

    # ---- membership ---------------------------------------------------------------------------------------

    def on_start(self, _event: interface.Start) -> None:
        self.started = self.smoothed_from = self.controlled = self.reported = self.refilled = self.now
        self.fleet.start(self.now)
        self.actions.append(interface.SetTimer(TICK, self.tick))
        self.actions.append(interface.SetTimer(REPORT, REPORT_AFTER * self.random.random()))
        if self.many:  # a release restarts many at once, and discovery answers in turn, or not at all
            longest = min(self.ask_within, self.settings.membership_max_age_s) / 2
            self.ask_at = self.now + longest * self.random.random()
        else:
            self.ask()

    def ask(self) -> None:
        """Not asking counts as knowing after `must_ask_in`, and after four times that when it was refused."""
        if self.settings.membership_on_request:
            self.actions.append(interface.SubscribeMembership())
        self.ask_at = self.now + self.settings.membership_max_age_s / 2

    def on_membership(self, event: interface.MembershipUpdate) -> None:
        if event.kind == UpdateKind.REFUSED:
            # Asked again by all within a short time it answered none of them: each waits in a wide window.
            self.ask_at = self.now + self.ask_within * self.random.random()
            self.ask_within = min(2 * self.ask_within, 2 * self.settings.membership_max_age_s)
            return
        if event.kind != UpdateKind.CHANGES:
            named = {m.worker for m in event.members}
            for worker in self.workers.values():
                if worker.up and worker.id not in named:
                    worker.up = worker.listed = False
                    self.let_go(worker)
        for m in event.members:
            worker = self.workers.setdefault(m.worker, _Worker(m.worker, codec.key(m.worker)))
            if m.started_at not in (0, worker.started_at):  # another start, even by a clock that was set back
                started = m.slow_start_from or m.started_at
                worker.started_at, worker.slow_start_from = m.started_at, max(started, worker.slow_start_from)
                worker.fail, worker.trial, worker.benched_until, worker.bench_over = 0.0, False, 0.0, 0.0
            worker.kind, worker.cell, worker.zone, worker.up = (
                m.kind,
                m.cell,
                m.zone,
                m.state == WorkerState.READY,
            )
            worker.listed = worker.up and worker.id not in self.by_hand
            self.let_go(worker)
        if event.kind != UpdateKind.BOOTSTRAP and self.settings.membership_on_request:
            self.ask_at, self.ask_within = INF, ASK_SPREAD * self.settings.group_size
        self.relist()

    def on_maintenance(self, event: interface.MaintenanceMode) -> None:
        """Out by hand, a worker is as one that drains. Back, its past is void and it counts as cold: the list
        may not have told yet of a restart meanwhile."""
        worker = self.workers.setdefault(event.worker, _Worker(event.worker, codec.key(event.worker)))
        if event.enabled:
            self.by_hand.setdefault(worker.id, worker.started_at)
        elif worker.id in self.by_hand:
            known = self.by_hand.pop(worker.id)
            if worker.started_at == known:
                worker.slow_start_from = self.now
            worker.fail, worker.trial, worker.benched_until, worker.bench_over = 0.0, False, 0.0, 0.0
        worker.listed = worker.up and worker.id not in self.by_hand
        self.let_go(worker)
        self.relist()

    def on_elsewhere(self, event: interface.SiblingLoad) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.out, worker.last_sign = max(0.0, worker.out + event.slots), self.now
            if event.slots:
                what = codec.SENT if event.slots > 0 else codec.ENDED
                self.fleet.note(self.now, worker.key, what, abs(round(event.slots)))
            self.serve_held()

    def relist(self) -> None:
        self.by_key = {w.key: w for w in self.workers.values()}
        listed = [w for w in self.workers.values() if w.listed]
        self.pool = {k: [w for w in listed if k in (-1, w.kind)] for k in (-1, *{w.kind for w in listed})}
        self.serve_held()

    def let_go(self, worker: _Worker) -> None:
        """Where the rule stands, idle connections to a leaving worker are closed, after each outcome too."""
        if not worker.listed and self.settings.drain_close_within_s > 0:
            self.actions.append(interface.CloseIdleConnections(worker.id))

    # ---- buckets and fleet rate ---------------------------------------------------------------------------

    def on_job(self, job: interface.JobArrived) -> None:
        cls, work = self.settings.classes[job.class_index], job.size_hint or 1.0
        run = job.size_hint or SHORT * self.pace
        expected = job.size_hint * self.pace or run
        # The aim counts from the client's first try. A later one is marked or, where clients do not mark
        # theirs, shows by the less time it came with; marked ones guard against clients that just wait less.
        longest = self.longest[job.class_index] = max(
            self.longest[job.class_index], given := job.client_timeout or job.remaining
        )
        repeat = bool(job.flags & RETRY_FLAG) or not self.settings.clients_mark_retries
        first_try = self.now - (longest - given if repeat else 0.0)
        due = first_try + cls.latency_objective_s + cls.objective_stretch * run
        request = self.requests[job.request] = _Request(
            job.request,
            cls,
            max(job.slots, 1.0),
            work,
            first_try,
            self.now + job.remaining,
            due,
            expected,
            start_by=max(first_try + cls.latency_objective_s / 2, due - expected),
        )
        hopeless = self.now > (request.start_by if cls.late_value == 0 else self.give_up_at(request))
        if job.may_run_elsewhere or hopeless or job.remaining < min(given, expected):
            self.refuse(request)  # a client's repeat: a second run, or worthless by now; or we end before it
            return
        tenant = job.tenant if 0 <= job.tenant < len(self.quota) else 0
        if self.settings.tenants[tenant].quota_rps > 0:
            request.over = self.quota[tenant] < 1.0
            self.quota[tenant] -= not request.over
        if (bucket := self.buckets.get(key := (tenant, job.class_index))) is None:
            bucket = self.buckets[key] = _Bucket()
            if self.settings.peer_messages and (
                not self.many or self.now - self.reported >= self.report_after
            ):
                self.report()
        cost = work * request.slots
        self.mean_work += 0.05 * (work - self.mean_work)
        if bucket.rate < INF and bucket.tokens <= 0:
            bucket.denied += cost
            self.refuse(request)
            return
        bucket.tokens -= cost
        bucket.allowed += cost
        if not self.ask_round(request):
            self.place(request)

    def refill(self) -> None:
        passed = self.now - self.refilled
        self.refilled, self.asking = self.now, 0  # who has not answered by now does not
        for bucket in [b for b in self.buckets.values() if self.rate < INF and b.rate < INF]:
            most = max(BURST * bucket.rate, BURST_JOBS * self.mean_work)
            bucket.tokens = min(bucket.tokens + passed * bucket.rate, most)
        if not self.many:
            self.part = self.own_part(self.total_demand())
        for tenant, told in enumerate(self.settings.tenants):
            rate = told.quota_rps * self.part
            self.quota[tenant] = min(self.quota[tenant] + passed * rate, max(BURST_JOBS, BURST * rate))

    def own_part(self, demand: dict[tuple[int, int], float]) -> float:
        """This dispatcher's part of the fleet by recent demand; one Nth until peers are heard."""
        own = sum(b.demand for b in self.buckets.values())
        if own <= 0 or not self.fleet.all_heard:
            return 1 / self.settings.group_size
        return own / sum(demand.values())

    def control(self) -> None:
        """Once an interval: cut the fleet rate if too many sends ended 'full', else let it rise."""
        own, peers = self.buckets.values(), self.fleet.peers.values()
        admitted = self.fleet.scale * (sum(b.admitted for b in own) + sum(p.admitted for p in peers))
        demand = self.total_demand()
        if self.fulls >= 3 and self.fulls > FULL_SHARE * self.sends:
            self.rate = CUT * min(self.rate, max(admitted, 1e-3))
            self.actions.append(
                interface.LogMessage(
                    f"fleet rate cut to {self.rate:.2f} after {self.fulls} full of {self.sends}"
                )
            )
        elif self.rate < INF and self.fulls <= 0:
            self.rate += STEP * max(admitted, self.rate)
            if self.rate > 1.2 * sum(demand.values()):
                self.rate = INF
        self.part = self.own_part(demand)
        self.send_rate = self.fleet.standing * self.fleet.sends / max(self.now - self.controlled, 0.1)
        self.sends = self.fulls = self.fleet.sends = 0
        self.controlled = self.now
        for worker in self.pool[-1]:
            worker.low_before, worker.low = worker.low, self.out(worker)
        self.divide(demand)

    def total_demand(self) -> dict[tuple[int, int], float]:
        return self.fleet.demand({key: bucket.demand for key, bucket in self.buckets.items()})

    def divide(self, demand: dict[tuple[int, int], float]) -> None:
        """Fleet rate to tenants by told shares, unused share lent; their parts to dispatchers by demand."""
        for bucket in [b for b in self.buckets.values() if INF in (self.rate, b.rate)]:
            bucket.rate, bucket.tokens = INF, 0.0
        if self.rate == INF:
            return
        wanted = [sum(rate for key, rate in demand.items() if key[0] == t) for t in range(len(self.quota))]
        parts = max_min(self.rate, wanted, [t.share for t in self.settings.tenants])
        for key, bucket in self.buckets.items():
            share = bucket.demand / demand[key] if demand[key] > 0 else 0.0
            if not self.fleet.all_heard:
                share = min(share, 1 / self.settings.group_size)
            part = parts[key[0]] * demand[key] / wanted[key[0]] if wanted[key[0]] > 0 else 0.0
            bucket.rate = max(part * share, 1e-6)

    def report(self) -> None:
        """Send counts to the circle's peers, which stand for all, and reset them; a new bucket at once."""
        span = self.now - self.reported
        entries = [(*key, b.allowed, b.denied) for key, b in self.buckets.items() if b.allowed or b.denied]
        delivered = self.fleet.report(self.own_report(span, entries))
        if self.many:
            jobs = sum(allowed + denied for _, _, allowed, denied in entries) / self.mean_work
            after = delivered * span / (REPORT_BYTES * max(jobs, 0.5))
            self.report_after = min(max(REPORT_AFTER, (self.report_after + after) / 2), REPORT_MOST)
        self.fold(span)

    def own_report(self, span: float, entries: list[tuple[int, int, float, float]]) -> codec.Report:
        out = [(w.key, round(w.out)) for w in self.workers.values() if w.out >= 0.5]
        return codec.Report(0, 0, span, entries, list(self.limits.items()), out)

    def fold(self, span: float) -> None:
        self.reported = self.now
        memory = min(MEMORY * self.report_after, self.now - span - self.smoothed_from)
        for bucket in self.buckets.values():
            bucket.demand = smooth(bucket.demand, bucket.allowed + bucket.denied, span, memory)
            bucket.admitted = smooth(bucket.admitted, bucket.allowed, span, memory)
            bucket.allowed = bucket.denied = 0.0

    def on_stalled(self, event: interface.ProcessStalled) -> None:
        self.fleet.woke(self.now)
        for worker in self.workers.values():
            worker.last_sign += event.seconds  # their silence in that time was its own

    def on_peer(self, event: interface.PeerMessage) -> None:
        for word in self.fleet.hear(self.now, event.peer, event.payload):
            if isinstance(word, codec.Report):
                self.limits = {**dict(word.limits), **self.limits}
                continue
            if (worker := self.by_key.get(word.key)) is None:
                continue
            worker.low = min(worker.low, self.out(worker))
            for _ in range(word.failures):
                self.blame(worker, PEER_BLAME)
            if word.served:
                worker.last_sign = self.now
                self.praise(worker, PEER_BLAME)

    # ---- placement ----------------------------------------------------------------------------------------

    def ask_round(self, job: _Request) -> bool:
        """Where nobody tells of others' jobs some workers are asked how full they are; the job waits."""
        pool = self.pool.get(job.cls.worker_kind, []) if self.seen and self.settings.probes_allowed else []
        some = self.random.sample(pool, min(3 * ASKED, len(pool)))
        asked = sorted((w for w in some if self.able(w, job)), key=lambda w: -self.suits(w, job))[:ASKED]
        self.actions += [interface.ProbeWorker(w.id) for w in asked]
        self.asking += len(asked)
        if asked:
            self.hold(job)
        return bool(asked)

    def suits(self, worker: _Worker, request: _Request) -> float:
        """Long jobs leave some workers to the class with the shortest aim: behind them it is late first."""
        own = codec.mix(worker.id + 1) % 1000 < 2000 * self.spent.part(self.hasty) * self.many
        return (SUITS if own else 1.0) ** (1 if request.cls is self.hasty else -1)

    def place(self, request: _Request) -> None:
        worker = self.choose(request)
        if worker is not None:
            self.send(request, worker)
        elif request.over and self.rate < INF and not request.attempts:
            self.refuse(request)  # beyond its tenant's quota while the fleet is full: from spare slots only
        else:
            self.hold(request)

    def choose(self, request: _Request) -> _Worker | None:
        """A random ready worker of the class's kind, likelier with more room for its pace.

        With no room anywhere each dispatcher has its part of a full worker by demand, lest who holds its
        slots keep refilling them; where that part is less than a job, the job waits for a slot."""
        pool = self.pool.get(request.cls.worker_kind, [])
        if len(pool) > 2 * SAMPLE:  # as good as all of them, at a cost that does not grow
            own = (w for w in self.recent if w.listed and request.cls.worker_kind in (-1, w.kind))
            pool = list(dict.fromkeys([*own, *self.random.choices(pool, k=SAMPLE)]))
        unsafe = (
            request.cls.semantics == Semantics.UNSAFE
        )  # a late word on the first try there would end a second
        tried = [a.worker for a in request.attempts if unsafe or a.open or a is request.attempts[-1]]
        shy = self.chance < 1 and self.random.random() >= self.chance
        ready, rest = list[_Worker](), list[_Worker]()
        weights: list[float] = []
        kept, near = PRICE * self.settings.cost_handshake, PRICE * self.settings.cost_cross_zone
        for worker in pool:
            if worker in tried or not self.able(worker, request):
                continue
            if shy and worker is not self.freed and not self.cold(worker):
                continue
            speed = self.speed(worker) / self.fleet_speed
            if speed < SLOW and self.now < request.start_by:
                continue  # it would be late there, and need not be elsewhere
            share = self.cold_share(worker, request)
            if share <= 0:
                continue
            room = self.room(worker, request)
            pace = (worker.pace or self.pace or 1.0) / speed**2  # what has slowed down slows on
            if room > 0:
                ready.append(worker)
                home = 1 + near * (worker.zone == self.settings.zone)
                told = TOLD if self.seen and self.seen.fresh(self.now, worker.key) else 1.0
                told *= self.suits(worker, request) if self.seen else 1.0
                weights.append(room * share / pace * told * home * (1 + kept * self.has_idle(worker)))
            elif not worker.trial and not request.over:
                if self.limit(worker) * self.part + 0.5 - worker.out >= request.slots:
                    rest.append(worker)
        if ready:
            return self.random.choices(ready, weights)[0]
        slots_held, all_slots = sum(w.out for w in pool), sum(self.limit(w) for w in pool)
        return self.random.choice(rest) if rest and slots_held < self.part * all_slots else None

    def out(self, worker: _Worker) -> float:
        """Slots taken, as far as dispatchers have told or, where they may not, as reports did."""
        if self.seen is None:
            return worker.out + self.fleet.others(worker.key, worker.out)
        limit = self.limits.get(worker.kind, LIMIT)
        return worker.out + self.seen.others(self.now, worker.key, self.job_time, limit)

    def limit(self, worker: _Worker) -> float:
        """Slots that fit: as it taught or, in a large group, where each is met seldom, as its kind did."""
        mean = self.limits.get(worker.kind, LIMIT)
        return mean if self.many else worker.limit or max(mean, self.out(worker))

    def learn_limit(self, worker: _Worker, limit: float) -> None:
        worker.limit = limit
        mean = self.limits.setdefault(worker.kind, limit)
        self.limits[worker.kind] = mean + KIND_WEIGHT * (limit - mean)

    def look_round(self) -> None:
        if self.many:
            # Many see the same free slot and hear late of claims on it: while slots are scarce each claims
            # by chance, so that about one does. Slots that own jobs leave are claimed at once.
            room = sum(
                max(0.0, self.limit(w) - self.out(w))
                for w in self.pool[-1]
                if not w.trial and not self.cold(w)
            )
            self.chance = min(1.0, CLAIM * room / max(self.send_rate * UNHEARD, 1.0))

    def learn_wait(self, attempt: _Attempt) -> None:
        """A job that had to wait where a slot seemed free, or did not where none was, moves the threshold."""
        worker, full = attempt.worker, attempt.position
        limit, prompt = self.limit(worker), attempt.waited < PROMPT
        if self.many and (full > limit if prompt else full <= limit):
            limit += WAIT_WEIGHT * (full - limit if prompt else full - limit - 0.5)
            self.limits[worker.kind] = max(self.most_free.get(worker.kind, 1.0), limit)
        elif worker.limit and not prompt and full <= limit:
            worker.limit = max(1.0, limit + 2 * WAIT_WEIGHT * (full - limit - 0.5))

    def able(self, worker: _Worker, request: _Request) -> bool:
        """Whether a worker may have this job at all, for its health and the rules."""
        now = self.now
        if now < worker.barred.get(request.cls, (0.0, 0.0))[0]:
            return False
        if now < worker.benched_until or not self.has_idle(worker) and now < worker.connect_after:
            return False
        if worker.trial and self.out(worker) >= 1 or worker.out and self.silent(worker):
            return False
        return request.ran is None or self.may_repeat(request, worker)

    def silent(self, worker: _Worker) -> bool:
        """Guards against a worker with jobs that stands still with its process up, or is cut off. With more
        jobs out one of them should end sooner; a run of long jobs may cost it new ones until one ends."""
        patience = SILENT_NOTICES * self.settings.progress_interval_s
        patience = patience or self.job_time * (1 + SILENT_JOBS / max(worker.out, 1.0))
        return worker.out > 0 and self.now - worker.last_sign > patience > 0

    def room(self, worker: _Worker, request: _Request) -> float:
        """Free slots as far as can be seen; 0 if they are too few for the job."""
        if worker.trial:
            return 1.0
        out = self.out(worker)
        room = self.limit(worker) - out + 0.5
        room -= RESERVE * (1 - self.settings.over_quota_value) if request.over else 0.0
        waited = self.now - request.asked > 0.3 * (request.start_by - request.asked)
        if room >= request.slots or out < 1 and room > 0 or request.slots > 1 and waited and room >= 1:
            return room
        return 0.0

    def has_idle(self, worker: _Worker) -> bool:
        while worker.idle and worker.idle[0] < self.now - self.settings.idle_timeout_s:
            worker.idle.pop(0)
        return bool(worker.idle)

    def cold(self, worker: _Worker) -> bool:
        started = worker.slow_start_from
        return started > 0 and self.now - started < self.settings.slow_start_s

    def cold_share(self, worker: _Worker, request: _Request) -> float:
        """How much more than usual a cold worker may have from here; 0 lest it be pushed over."""
        if not self.cold(worker):
            return 1.0
        told, age = self.settings, self.now - worker.slow_start_from
        ramp = told.slow_start_min_share + (1 - told.slow_start_min_share) * max(age, 0.0) / told.slow_start_s
        late = self.now + request.expected / ramp > request.due and self.now < request.start_by
        if late or worker.slow_start_from < self.started > self.now - told.overload_window_s:
            return 0.0  # it need not be late elsewhere; and what an earlier life of this one sent counts
        while worker.sent and worker.sent[0][0] < self.now - told.overload_window_s:
            worker.sent.popleft()
        slots = min(self.limit(worker), self.limits.get(worker.kind, LIMIT))
        budget = COLD_MARGIN * told.overload_multiple * ramp * slots * told.overload_window_s
        # Where an Nth is less than a job few own it, by a rank; in powers of two most see as many.
        size, parts = told.group_size, max(1, int(budget / (2 * self.mean_work * (self.pace or 1.0))))
        owners = min(size, 1 << parts.bit_length() - 1)
        rank = (told.own_number - codec.mix(worker.id ^ int(worker.started_at))) % size
        cost = self.slot_seconds(request, worker)
        if rank >= owners or sum(load for _, load in worker.sent) + cost > budget / owners:
            return 0.0
        return ramp * size / owners if owners < size else 1.0

    def slot_seconds(self, request: _Request, worker: _Worker) -> float:
        mean = self.spent.mean(request.cls, worker.kind)
        return request.slots * max(mean, request.work * (self.pace or 1.0))

    def may_repeat(self, request: _Request, worker: _Worker) -> bool:
        """Rule 2: a job that may have run goes on only where its effect is known to be dropped."""
        cls, first = request.cls, request.ran
        if first is None or cls.semantics == Semantics.RETRYABLE:
            return True
        written = self.now + self.settings.connect_timeout_s  # at the latest; another may have sent before us
        if cls.semantics == Semantics.UNSAFE or written >= request.asked + cls.dedup_window_s:
            return False
        cell, zone = worker.cell == first.worker.cell, worker.zone == first.worker.zone
        return {"cell": cell, "all": True}.get(cls.dedup_group, zone)

    def send(self, request: _Request, worker: _Worker) -> None:
        self.sends += 1
        self.fleet.note(self.now, worker.key, codec.SENT, round(request.slots))
        if worker.out == 0:
            worker.last_sign = self.now
        worker.out += request.slots
        if self.has_idle(worker):
            worker.idle.pop()
        if self.cold(worker):
            worker.sent.append((self.now, self.slot_seconds(request, worker)))
        request.attempts.append(_Attempt(worker, self.now, position=self.out(worker)))
        request.pending += 1
        self.actions.append(interface.SendAttempt(request.id, worker.id))

    def hold(self, request: _Request) -> None:
        late, until = self.now >= request.start_by, self.give_up_at(request)
        if self.now >= until:
            self.finish(request)  # too little time left to serve it
            return
        request.held, until = True, until if late else min(until, request.start_by)
        entry = (2 * late + request.over, until, request.id, request)
        insort(self.held.setdefault(request.cls.worker_kind, []), entry)

    def give_up_at(self, request: _Request) -> float:
        """When a held job is let go; hints being rough, a first try may start while it would be in time."""
        last = request.deadline - 2 * self.tick
        return min(last, max(request.start_by, request.deadline - request.expected / HOPELESS))

    def serve_held(self) -> None:
        """Free slots go to held jobs, those that must start soonest first, those already late last."""
        for queue in self.held.values():
            for entry in queue[:SCANNED]:
                request = entry[3]
                worker = None if request.done else self.choose(request)
                if worker is not None:
                    queue.remove(entry)
                    request.held = False
                    self.send(request, worker)
                elif not request.done and request.ran is None:
                    break

    def expire_held(self) -> None:
        for queue in self.held.values():
            for entry in [e for e in queue if e[1] <= self.now or e[3].done]:
                queue.remove(entry)
                request, entry[3].held = entry[3], False
                if request.done:
                    continue
                # No slot in time: as full as by its own word, but in a large group it may want news.
                self.fulls += entry[0] == 0 and not self.many
                if entry[0] < 2 and request.cls.late_value > 0 and self.rate == INF:
                    self.hold(request)  # in a full fleet late work would take slots from work in time
                else:
                    self.finish(request)

    # ---- worker health ------------------------------------------------------------------------------------

    def learn(self, attempt: _Attempt, request: _Request, event: interface.AttemptEnded) -> None:
        worker, outcome = attempt.worker, event.outcome
        unheard, age = worker.last_sign <= attempt.sent_at, self.now - attempt.sent_at  # clients leave early
        if outcome in (AttemptOutcome.SERVED, AttemptOutcome.SERVER_ERROR):
            worker.last_sign = self.now  # a time-out or a word from its door does not show that it works
        out = self.out(worker)
        worker.low = min(worker.low, out)
        if outcome in (
            AttemptOutcome.SERVED,
            AttemptOutcome.SERVER_ERROR,
            AttemptOutcome.REJECTED,
        ):
            self.recent.append(worker)
            worker.idle.append(self.now)
            worker.connect_after = 0.0
        free = event.load.get(self.settings.free_slots_field) if event.load else None
        if free is not None and self.many:
            most = self.most_free[worker.kind] = max(self.most_free.get(worker.kind, 1.0), round(free))
            self.limits[worker.kind] = max(self.limits.get(worker.kind, 1.0), most)
        elif free is not None and round(free) > 0:
            seen = round(free) + min(worker.low, worker.low_before)  # an old report: this fits for certain
            self.learn_limit(worker, max(seen, worker.limit))
        self.hear_load(worker, event.load)
        if outcome == AttemptOutcome.SERVED:
            pace = max(event.latency - attempt.waited, event.latency / 10, 1e-4) / request.work
            weight = min(request.work / self.mean_work, 3.0)  # waits make short jobs seem slow
            self.job_time += 0.05 * (event.latency - self.job_time) if self.job_time else event.latency
            if not self.cold(worker):
                worker.pace += LEARN * weight * (pace - worker.pace) if worker.pace else pace
                self.pace += 0.05 * weight * (pace - self.pace) if self.pace else pace
            worker.barred.pop(request.cls, None)
            self.spent.note(request.cls, worker.kind, pace * request.work, request.slots)
            self.praise(worker, BLAME)
            if free is None and out + request.slots >= self.limit(worker):
                weight = LEARN if worker.limit else 1.0
                self.learn_limit(worker, worker.limit + weight * (out + request.slots + 1 - worker.limit))
        elif outcome == AttemptOutcome.REJECTED:
            # With slots free it drains unseen or fails fast, and its word says nothing of the fleet.
            unfilled = out + request.slots <= UNFILLED * self.limit(worker)
            if free is not None and round(free) >= request.slots:
                # Free slots by its own word: it cannot run jobs of this class, and may well run others.
                length = min(BENCH_MOST, 2 * worker.barred.get(request.cls, (0.0, BENCH_FIRST / 2))[1])
                worker.barred[request.cls] = self.now + length, length
                number = self.settings.classes.index(request.cls)
                self.actions.append(
                    interface.LogMessage(f"worker {worker.id} turned away class {number} with slots free")
                )
                return
            if worker.trial or unfilled or event.latency > HANDED_BACK:
                self.blame(worker, BLAME)
            else:
                self.fulls += 1
                worker.benched_until = max(worker.benched_until, self.now + self.tick)
            worker.limit = max(1.0, min(self.limit(worker), out))
        doubted = self.now - worker.last_sign > UNNOTICED or worker.fail > PEER_BLAME / 2
        if (
            outcome == AttemptOutcome.NO_CONNECTION
        ):  # open ones may be used: it may be full of them, or slow to open
            worker.connect_after = self.now + BENCH_FIRST * (0.75 + 0.5 * self.random.random())
        failed = outcome == AttemptOutcome.SERVER_ERROR or outcome == AttemptOutcome.NO_CONNECTION and doubted
        if outcome == AttemptOutcome.CONNECTION_LOST:
            # One may break while the worker serves the others: two without a sign between them are its fault.
            failed, worker.broke_at = worker.last_sign <= worker.broke_at, self.now
        if (
            failed
            or outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED)
            and unheard
            and age > self.job_time
        ):
            self.blame(worker, BLAME)
        worker.idle = [] if outcome == AttemptOutcome.CONNECTION_LOST else worker.idle

    def hear_load(self, worker: _Worker, load: Mapping[str, float] | None) -> None:
        free = load.get(self.settings.free_slots_field) if load else None
        if load and free is not None and self.seen is not None:
            taken = self.limit(worker) - free + load.get(self.settings.queue_field, 0.0)
            self.seen.note(self.now, worker.key, max(0.0, taken - worker.out))

    def on_probed(self, event: interface.ProbeResult) -> None:
        worker, self.asking = self.workers.get(event.worker), self.asking - 1
        if worker is not None and event.outcome == AttemptOutcome.SERVED:
            worker.idle.append(self.now)
            self.hear_load(worker, event.load)
        if self.asking <= 0:  # with the first word alone the job went to who was full, or to anybody
            self.serve_held()

    def praise(self, worker: _Worker, weight: float) -> None:
        worker.fail *= 1 - max(weight, TRIAL_PRAISE * worker.trial)
        if worker.trial and worker.fail < TRUST_SHARE:
            worker.trial, worker.benched_until, worker.bench_over = False, 0.0, 0.0

    def blame(self, worker: _Worker, weight: float) -> None:
        """Guards against workers that fail fast and so draw all traffic; they return by single trial jobs."""
        worker.fail += weight * (1 - worker.fail)
        benched = sum(w.trial for w in self.pool[-1])
        if worker.fail < BENCH_SHARE or not worker.trial and benched + 1 > BENCHED_FLEET * len(self.pool[-1]):
            return
        if self.now >= worker.bench_over:  # failures at the same time, told by several, are one
            worker.bench_for = min(BENCH_MOST, worker.bench_for * 2) if worker.trial else BENCH_FIRST
            worker.trial = True
            self.actions.append(
                interface.LogMessage(f"worker {worker.id} benched, failure share {worker.fail:.2f}")
            )
        worker.bench_over = self.now + worker.bench_for
        turn = self.random.random() * max(BENCH_FIRST, TRIAL_TURN * (len(self.fleet.mates) - FEW))
        worker.benched_until = worker.bench_over + turn  # lest all try it at once

    def on_notice(self, event: interface.ProgressNotice) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.last_sign = self.now
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if event.kind == NoticeKind.STARTED:
            attempt.waited = self.now - attempt.sent_at
            if not attempt.noticed:
                self.wait += LEARN * (attempt.waited - self.wait)
                self.learn_wait(attempt)
                self.fulls += self.many and self.now > request.start_by  # as full, though the queue is not
            attempt.share_at = self.now
        elif worker is not None:
            self.follow(attempt, worker, event.fraction_done)
        if not any(a.noticed for a in request.attempts):
            self.call_off(request, attempt)
        attempt.noticed = True

    def follow(self, attempt: _Attempt, worker: _Worker, share: float) -> None:
        """How fast a job goes on. Its length is not known, but it is the same all the time: when it goes on
        slower than it did, the worker has slowed down, though it answers and fails nothing."""
        span = self.now - (attempt.share_at or attempt.sent_at)
        if span < self.settings.progress_interval_s / 2 or share < attempt.share:
            return  # told again, or late
        rate, speed = (share - attempt.share) / span, self.speed(worker)
        attempt.full_rate = max(attempt.full_rate, rate if attempt.full_rate else rate / speed, 1e-6)
        attempt.rate, attempt.share, attempt.share_at = rate, share, self.now
        worker.speed = max(speed + SPEED_WEIGHT * (rate / attempt.full_rate - speed), 0.01)
        worker.speed_at = self.now

    def speed(self, worker: _Worker) -> float:
        return 1 - (1 - worker.speed) * math.exp((worker.speed_at - self.now) / SPEED_MEMORY)

    def call_off(self, request: _Request, but: _Attempt | None = None) -> None:
        """Attempts that nobody needs give their places back, where a worker heeds that."""
        for number, attempt in enumerate(request.attempts):
            if self.settings.cancel_allowed and attempt.open and attempt is not but:
                self.actions.append(interface.CancelAttempt(request.id, number))

    def copy_stranded(self) -> None:
        """Jobs on a worker that fell silent may never end, on one that has slowed down they will be late, and
        one whose start is not told may never have arrived: a copy takes a free slot."""
        if not self.settings.reports_start:
            return
        self.fleet_speed = median([self.speed(w) for w in self.pool[-1]] or [1.0])
        for request in list(self.requests.values()):
            out = [a for a in request.attempts if a.open]
            if out and not request.done and all(self.stranded(request, a) for a in out):
                self.copy(request)

    def stranded(self, request: _Request, attempt: _Attempt) -> bool:
        if not attempt.noticed:
            lost = self.now - max(attempt.sent_at, attempt.worker.last_sign) > UNNOTICED + WAITS * self.wait
            return lost and not (self.many and self.rate < INF)  # in a full fleet a copy would wait as well
        if self.silent(attempt.worker):
            return True
        if attempt.rate >= SLOW * attempt.full_rate * self.fleet_speed:
            return False
        whole = 1 / attempt.full_rate
        due = request.asked + request.cls.latency_objective_s + request.cls.objective_stretch * whole
        left = (1 - attempt.share) / max(attempt.rate, 1e-6)
        return self.now + whole / self.fleet_speed < due < self.now + left

    def copy(self, request: _Request) -> None:
        allowed = (
            request.cls.semantics != Semantics.UNSAFE and self.settings.hedging_allowed and not request.over
        )
        left = allowed and len(request.attempts) < self.settings.max_attempts
        if (worker := self.choose(request) if left else None) is not None:
            self.send(request, worker)

    def on_outcome(self, event: interface.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open, request.pending = False, request.pending - 1
        worker = attempt.worker
        worker.out = max(0.0, worker.out - request.slots)
        before = worker.fail
        self.learn(attempt, request, event)
        failed = worker.fail > before or event.outcome == AttemptOutcome.CONNECTION_LOST
        served = event.outcome == AttemptOutcome.SERVED
        ended = codec.SERVED if served else codec.FAILED if failed else codec.ENDED
        self.fleet.note(self.now, worker.key, ended, round(request.slots))
        self.let_go(worker)
        attempt.unrun = event.outcome in PROVEN_UNRUN
        if event.settled:
            request.done = True
            self.call_off(request)
        if request.done:
            self.end(request)
        elif request.pending == 0 and not request.held and event.outcome == AttemptOutcome.INVALID_REQUEST:
            self.actions.append(interface.Fail(request.id))  # no other worker would take it, nor later
            self.end(request)
        elif request.pending == 0 and not request.held:
            self.again(request)
        self.freed = worker
        self.serve_held()
        self.freed = None

    def again(self, request: _Request) -> None:
        """The last attempt failed: send elsewhere while class, time and attempts allow, else answer."""
        spent = len(request.attempts) >= self.settings.max_attempts or self.now >= self.give_up_at(request)
        if spent or request.ran is not None and not self.may_repeat(request, request.ran.worker):
            self.finish(request)
        else:
            self.place(request)

    def finish(self, request: _Request) -> None:
        """Final answer without a result; a refusal says that nothing ran or that a repeat is harmless."""
        cls = request.cls
        harmless = (
            cls.semantics == Semantics.RETRYABLE
            or cls.semantics == Semantics.DEDUPLICATED
            and cls.dedup_group == "all"
        )
        if request.ran is None or harmless:
            self.refuse(request)
        else:
            self.actions.append(interface.Fail(request.id))
            self.end(request)

    def refuse(self, request: _Request) -> None:
        after = self.settings.max_retry_after_s * (0.5 + 0.5 * self.random.random())  # lest all come at once
        self.actions.append(interface.Reject(request.id, after if self.settings.retry_after_allowed else 0.0))
        self.end(request)

    def end(self, request: _Request) -> None:
        request.done = True
        if request.pending == 0:
            self.requests.pop(request.id, None)

    def on_gone(
        self, event: interface.ClientDisconnected | interface.StreamStarted
    ) -> None:  # what is out still has its outcome
        if event.request in self.requests:
            self.end(self.requests[event.request])

    def on_timer(self, event: interface.TimerFired) -> None:
        if event.token == REPORT:
            self.report()
            self.actions.append(
                interface.SetTimer(REPORT, self.report_after * (0.75 + 0.5 * self.random.random()))
            )
        elif event.token == TICK:
            self.actions.append(interface.SetTimer(TICK, self.tick))
            self.refill()
            if self.now >= self.ask_at:
                self.ask()
            if self.now - self.controlled >= CONTROL_AFTER:
                self.fleet.forget_silent(self.now)
                self.control()
            self.expire_held()
            self.look_round()
            self.serve_held()
            self.copy_stranded()

    HANDLERS: ClassVar[dict[type, Callable[..., None]]] = {
        interface.Start: on_start,
        interface.MembershipUpdate: on_membership,
        interface.MaintenanceMode: on_maintenance,
        interface.SiblingLoad: on_elsewhere,
        interface.JobArrived: on_job,
        interface.AttemptEnded: on_outcome,
        interface.ProgressNotice: on_notice,
        interface.StreamStarted: on_gone,
        interface.ClientDisconnected: on_gone,
        interface.PeerMessage: on_peer,
        interface.TimerFired: on_timer,
        interface.ProcessStalled: on_stalled,
        interface.ProbeResult: on_probed,
    }

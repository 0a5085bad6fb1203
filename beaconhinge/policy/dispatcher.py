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
TICK_TIMER, REPORT_TIMER = 1, 2  # timers: housekeeping and peer report
MAX_TICK_INTERVAL_S = (
    0.1  # seconds between wake-ups, a tenth of the shortest deadline at most; they cost little
)
REPORT_INTERVAL_S, MAX_REPORT_INTERVAL_S = (
    0.5,
    8.0,
)  # seconds between reports, jittered, lest timers stay in step
CONTROL_INTERVAL_S = 1.0  # seconds between changes of the fleet rate: a cut must show before the next
FETCH_SPREAD_S = 0.25  # seconds for each dispatcher, over which they spread their calls to discovery
SMALL_GROUP_SIZE = (
    8  # in a larger group than that a dispatcher has few sends, and an Nth of a budget is less than a job
)
REPORT_BYTES_PER_JOB = 40  # delivered bytes of reports for each own job
GOSSIP_DELAY_S = 0.2  # seconds until dispatchers of a large group have heard of each other's sends
CLAIMS_PER_FREE_SLOT = (
    1.5  # claims on each slot seen free, by all dispatchers, until they hear of each other's
)
RATE_DECREASE_FACTOR, RATE_INCREASE_SHARE = (
    0.9,
    0.1,
)  # the fleet rate falls and rises by a tenth: it must come back as fast as it went
MAX_REJECTED_SHARE = 0.1  # share of sends ending 'full' that cuts the rate: above chance, far below waste
BURST_S, BURST_MEAN_JOBS = (
    3.0,
    4.0,
)  # seconds of its rate, and mean jobs, that a bucket holds: they come in clumps
UNHINTED_WORK_SHARE = (
    0.4  # a job without a hint is taken as this part of the mean: most are shorter than the mean
)
MAX_SPEEDUP = 1.2  # a held job is given up when even this much faster it would end after its deadline
MIN_FULL_SHARE = 0.75  # a worker 'full' with less than this of its slots out is at fault, not the load
SAMPLE_SIZE = 40  # workers looked at for a job in a large group, besides those that answered last
MAX_SCANNED_REQUESTS = 32  # held jobs looked at when a slot falls free; bounds the work of one event
PROBES_PER_REQUEST, FRESH_REPORT_WEIGHT, AFFINITY_WEIGHT = (
    5,
    100.0,
    10.0,
)  # asked for a job how full they are; likelier if it told, if it suits
OVER_QUOTA_RESERVE_SLOTS = 1.0  # slots a worker keeps free of over-quota jobs, by how little those are worth
INITIAL_LIMIT_SLOTS = 2.0  # slots that a worker is taken to have before any of its kind has taught better
PROMPT_START_S = 0.05  # seconds from a send to its start within which a slot was free
HANDED_BACK_AFTER_S = (
    0.1  # seconds after which a job sent back was not turned away at the door: a worker drains
)
OBSERVATION_WEIGHT = 0.15  # weight of one observation in a worker's threshold and pace
KIND_OBSERVATION_WEIGHT, WAIT_OBSERVATION_WEIGHT = (
    0.02,
    0.05,
)  # weight of one observation, and of one wait, in a kind's threshold
FAILURE_WEIGHT, PEER_FAILURE_WEIGHT = (
    0.3,
    0.15,
)  # weight of one failure, own or told by a peer: one of a peer's does not bench
EJECTION_FAILURE_RATE, RECOVERY_FAILURE_RATE = (
    0.25,
    0.15,
)  # failure share at which a worker is benched, and is trusted again
PROBATION_SUCCESS_WEIGHT, PROBATION_SPREAD_S = (
    0.5,
    1.0,
)  # weight of a good trial; seconds for each peer that trials spread over
BASE_EJECTION_S, MAX_EJECTION_S = 0.5, 8.0  # seconds a worker sits out; doubles while its trial jobs fail
MAX_EJECTED_SHARE = 0.75  # bench no more of the fleet: then the fault lies elsewhere
SILENT_PROGRESS_INTERVALS, SILENT_JOB_TIMES = (
    1.5,
    3.0,
)  # progress intervals, or mean job times by slots out: a stall
MIN_RELATIVE_SPEED = (
    0.5  # speed, by the progress of its jobs and beside the fleet's, under which a worker is passed over
)
SPEED_OBSERVATION_WEIGHT, SPEED_DECAY_S = (
    0.4,
    8.0,
)  # weight of one progress notice; seconds after which speed is forgotten
LOST_AFTER_S, LOST_AFTER_START_DELAYS = (
    1.0,
    8.0,
)  # seconds, and usual waits, until a job is lost: copies of waiting ones add load
PREFERENCE_PER_PRICE = (
    100.0  # a price of one point in 100 doubles the preference for an idle connection or the own zone
)
SLOW_START_BUDGET_SHARE = (
    0.75  # part of the cold budget that is used: each sees lengths, slots and clocks differently
)


@dataclass(slots=True, eq=False)
class Worker:
    id: int
    key: int  # its name among dispatchers
    kind: int = 0
    cell: int = 0
    zone: int = 0
    started_at: float = 0.0  # names its last start
    slow_start_from: float = 0.0  # that start on the own clock; 0: long ago
    ready: bool = False  # by the list's word
    listed: bool = False  # may have jobs: up, and not taken out by hand
    idle_connections: list[float] = field(
        default_factory=list
    )  # own idle connections, by the time of their last use
    connect_after: float = 0.0  # no new connection before
    in_flight: float = 0.0  # own slots out
    min_in_flight: float = 0.0  # fewest slots out in this control interval, and in the one before
    previous_min_in_flight: float = 0.0
    learned_limit: float = 0.0  # threshold of slots out under which it is ready; 0: take the mean
    seconds_per_work: float = 0.0  # seconds per unit of hinted work (per job without hints); 0: take the mean
    failure_rate: float = 0.0  # smoothed share of failures
    ejected_until: float = 0.0
    ejection_s: float = BASE_EJECTION_S
    ejection_ends_at: float = 0.0  # from then on anyone may try it; benched_until is the own turn
    on_probation: bool = False  # it may have one job at a time until trusted again
    # Classes whose jobs it turns away with slots free: until when, and for how long that was.
    class_ejections: dict[interface.RequestClass, tuple[float, float]] = field(default_factory=dict)
    last_heard_at: float = 0.0
    connection_lost_at: float = -INF  # when a connection to it last broke under a job
    relative_speed: float = 1.0  # of its jobs against their own best, and the time of the last notice of it
    speed_measured_at: float = 0.0
    slow_start_sends: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # (time, slot-seconds) sent while cold


@dataclass(slots=True)
class Attempt:
    worker: Worker
    sent_at: float
    in_flight: bool = True
    never_ran: bool = False  # proven never to have run
    in_flight_at_send: float = 0.0  # slots out on the worker with it, as far as was told
    start_delay_s: float = 0.0  # before its start, where that is told
    start_seen: bool = False  # a sign of its start has come
    progress: float = 0.0  # done by the last progress notice, and the time of that
    progress_at: float = 0.0
    progress_rate: float = 0.0  # share a second: now, and on a worker at full speed
    best_progress_rate: float = 0.0


@dataclass(slots=True, eq=False)
class Request:
    id: int
    request_class: interface.RequestClass
    slots: float
    work: float  # hinted work, 1 without a hint
    first_tried_at: float  # when its client first did, as far as can be told
    deadline: float
    objective_at: float  # until then an answer has full worth
    expected_s: float  # time on a mean worker
    start_by: float  # a later start is likely to be late
    over_quota: bool = False  # beyond its tenant's told quota
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0  # attempts without an outcome
    answered: bool = False  # its final answer is given
    queued: bool = False

    @property
    def first_run(self) -> Attempt | None:  # the first attempt that may have run, or may run yet
        return next((a for a in self.attempts if not a.never_ran), None)


@dataclass(slots=True)
class TenantBucket:
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
        self.tick_s = min(
            [MAX_TICK_INTERVAL_S] + [c.deadline_s / 10 for c in settings.classes if c.deadline_s > 0]
        )
        self.actions: list[interface.Action] = []
        self.workers: dict[int, Worker] = {}
        self.listed: dict[int, list[Worker]] = {-1: []}  # listed workers by kind; -1: all of them
        self.recently_answered: deque[Worker] = deque(
            maxlen=SAMPLE_SIZE // 2
        )  # those that answered last: open connections
        self.kind_limits: dict[int, float] = {}  # of the mean worker of each kind
        self.max_free_slots: dict[int, float] = {}  # slots that a worker of the kind has told free
        self.claim_probability = 1.0  # of a claim while slots are scarce
        self.freed_worker: Worker | None = None  # on which a slot of its own has just fallen free
        self.seconds_per_work = 0.0  # of the mean worker
        self.mean_work = 1.0  # of a job, as hinted
        self.mean_latency_s = 0.0  # mean latency of what was served
        self.work_by_class, self.tightest_class = (
            Spent(),
            min(settings.classes, key=lambda c: c.latency_objective_s),
        )
        self.mean_start_delay_s = 0.0  # from sends to starts, lately
        self.fleet_speed = 1.0  # of the middle worker
        self.requests: dict[int, Request] = {}
        # Held jobs by kind, as (rank, until, id, request); rank 0 within quota, 1 beyond it, 2 and 3 late.
        self.queues: dict[int, list[tuple[int, float, int, Request]]] = {}
        self.buckets: dict[tuple[int, int], TenantBucket] = {}
        self.quota_tokens = [max(1.0, t.quota_rps / settings.group_size) for t in settings.tenants]  # in jobs
        self.max_client_timeouts = [0.0] * len(
            settings.classes
        )  # most time that a job of the class came with
        incarnation = self.random.getrandbits(8)
        self.fleet = Fleet(settings.group_size, settings.own_number, incarnation, REPORT_INTERVAL_S)
        self.large_group = settings.group_size > SMALL_GROUP_SIZE
        self.reported_load = Reported() if settings.group_size > 1 and not settings.peer_messages else None
        self.by_key: dict[int, Worker] = {}
        self.in_maintenance: dict[int, float] = {}  # workers taken out by hand, and their start as known then
        self.report_interval_s = REPORT_INTERVAL_S
        self.demand_share = 1 / settings.group_size  # of the fleet's demand that comes here
        self.fleet_rate = INF  # work a second that the fleet admits
        self.sends = self.rejections = self.pending_probes = (
            0  # asking: workers whose word on their load is awaited
        )
        self.send_rate = 0.0  # of all, a second
        self.started_at = self.smoothing_since = self.controlled_at = self.reported_at = self.refilled_at = (
            0.0
        )
        self.fetch_at, self.fetch_within_s = INF, FETCH_SPREAD_S * settings.group_size

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        self.now = now
        self.actions = []
        if type(event) in self.HANDLERS:
            self.HANDLERS[type(event)](self, event)
        if self.settings.peer_messages and self.fleet.mates:
            self.flush_gossip()
        return self.actions

    def flush_gossip(self) -> None:
        self.fleet.turn(self.now)
        if self.fleet.introduce:
            self.fleet.introduce = False
            self.fleet.report(self.own_report(0.0, []), -1 if self.fleet.hub is None else self.fleet.hub)
        self.actions += [interface.SendToPeer(payload, number) for number, payload in self.fleet.outbox]
        self.fleet.outbox.clear()

    # ---- membership ---------------------------------------------------------------------------------------

    def on_start(self, _event: interface.Start) -> None:
        self.started_at = self.smoothing_since = self.controlled_at = self.reported_at = self.refilled_at = (
            self.now
        )
        self.fleet.start(self.now)
        self.actions.append(interface.SetTimer(TICK_TIMER, self.tick_s))
        self.actions.append(interface.SetTimer(REPORT_TIMER, REPORT_INTERVAL_S * self.random.random()))
        if self.large_group:  # a release restarts many at once, and discovery answers in turn, or not at all
            longest = min(self.fetch_within_s, self.settings.membership_max_age_s) / 2
            self.fetch_at = self.now + longest * self.random.random()
        else:
            self.fetch_membership()

    def fetch_membership(self) -> None:
        """Not asking counts as knowing after `must_ask_in`, and after four times that when it was refused."""
        if self.settings.membership_on_request:
            self.actions.append(interface.SubscribeMembership())
        self.fetch_at = self.now + self.settings.membership_max_age_s / 2

    def on_membership(self, event: interface.MembershipUpdate) -> None:
        if event.kind == UpdateKind.REFUSED:
            # Asked again by all within a short time it answered none of them: each waits in a wide window.
            self.fetch_at = self.now + self.fetch_within_s * self.random.random()
            self.fetch_within_s = min(2 * self.fetch_within_s, 2 * self.settings.membership_max_age_s)
            return
        if event.kind != UpdateKind.CHANGES:
            named = {m.worker for m in event.members}
            for worker in self.workers.values():
                if worker.ready and worker.id not in named:
                    worker.ready = worker.listed = False
                    self.close_idle_connections(worker)
        for m in event.members:
            worker = self.workers.setdefault(m.worker, Worker(m.worker, codec.key(m.worker)))
            if m.started_at not in (0, worker.started_at):  # another start, even by a clock that was set back
                started = m.slow_start_from or m.started_at
                worker.started_at, worker.slow_start_from = m.started_at, max(started, worker.slow_start_from)
                worker.failure_rate, worker.on_probation, worker.ejected_until, worker.ejection_ends_at = (
                    0.0,
                    False,
                    0.0,
                    0.0,
                )
            worker.kind, worker.cell, worker.zone, worker.ready = (
                m.kind,
                m.cell,
                m.zone,
                m.state == WorkerState.READY,
            )
            worker.listed = worker.ready and worker.id not in self.in_maintenance
            self.close_idle_connections(worker)
        if event.kind != UpdateKind.BOOTSTRAP and self.settings.membership_on_request:
            self.fetch_at, self.fetch_within_s = INF, FETCH_SPREAD_S * self.settings.group_size
        self.relist()

    def on_maintenance(self, event: interface.MaintenanceMode) -> None:
        """Out by hand, a worker is as one that drains. Back, its past is void and it counts as cold: the list
        may not have told yet of a restart meanwhile."""
        worker = self.workers.setdefault(event.worker, Worker(event.worker, codec.key(event.worker)))
        if event.enabled:
            self.in_maintenance.setdefault(worker.id, worker.started_at)
        elif worker.id in self.in_maintenance:
            known = self.in_maintenance.pop(worker.id)
            if worker.started_at == known:
                worker.slow_start_from = self.now
            worker.failure_rate, worker.on_probation, worker.ejected_until, worker.ejection_ends_at = (
                0.0,
                False,
                0.0,
                0.0,
            )
        worker.listed = worker.ready and worker.id not in self.in_maintenance
        self.close_idle_connections(worker)
        self.relist()

    def on_sibling_load(self, event: interface.SiblingLoad) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.in_flight, worker.last_heard_at = max(0.0, worker.in_flight + event.slots), self.now
            if event.slots:
                what = codec.SENT if event.slots > 0 else codec.ENDED
                self.fleet.note(self.now, worker.key, what, abs(round(event.slots)))
            self.serve_queued()

    def relist(self) -> None:
        self.by_key = {w.key: w for w in self.workers.values()}
        listed = [w for w in self.workers.values() if w.listed]
        self.listed = {k: [w for w in listed if k in (-1, w.kind)] for k in (-1, *{w.kind for w in listed})}
        self.serve_queued()

    def close_idle_connections(self, worker: Worker) -> None:
        """Where the rule stands, idle connections to a leaving worker are closed, after each outcome too."""
        if not worker.listed and self.settings.drain_close_within_s > 0:
            self.actions.append(interface.CloseIdleConnections(worker.id))

    # ---- buckets and fleet rate ---------------------------------------------------------------------------

    def on_job(self, job: interface.JobArrived) -> None:
        cls, work = self.settings.classes[job.class_index], job.size_hint or 1.0
        run = job.size_hint or UNHINTED_WORK_SHARE * self.seconds_per_work
        expected = job.size_hint * self.seconds_per_work or run
        # The aim counts from the client's first try. A later one is marked or, where clients do not mark
        # theirs, shows by the less time it came with; marked ones guard against clients that just wait less.
        longest = self.max_client_timeouts[job.class_index] = max(
            self.max_client_timeouts[job.class_index], given := job.client_timeout or job.remaining
        )
        repeat = bool(job.flags & RETRY_FLAG) or not self.settings.clients_mark_retries
        first_try = self.now - (longest - given if repeat else 0.0)
        due = first_try + cls.latency_objective_s + cls.objective_stretch * run
        request = self.requests[job.request] = Request(
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
            self.reject(request)  # a client's repeat: a second run, or worthless by now; or we end before it
            return
        tenant = job.tenant if 0 <= job.tenant < len(self.quota_tokens) else 0
        if self.settings.tenants[tenant].quota_rps > 0:
            request.over_quota = self.quota_tokens[tenant] < 1.0
            self.quota_tokens[tenant] -= not request.over_quota
        if (bucket := self.buckets.get(key := (tenant, job.class_index))) is None:
            bucket = self.buckets[key] = TenantBucket()
            if self.settings.peer_messages and (
                not self.large_group or self.now - self.reported_at >= self.report_interval_s
            ):
                self.report()
        cost = work * request.slots
        self.mean_work += 0.05 * (work - self.mean_work)
        if bucket.rate < INF and bucket.tokens <= 0:
            bucket.denied += cost
            self.reject(request)
            return
        bucket.tokens -= cost
        bucket.allowed += cost
        if not self.probe_for_load(request):
            self.place(request)

    def refill(self) -> None:
        passed = self.now - self.refilled_at
        self.refilled_at, self.pending_probes = self.now, 0  # who has not answered by now does not
        for bucket in [b for b in self.buckets.values() if self.fleet_rate < INF and b.rate < INF]:
            most = max(BURST_S * bucket.rate, BURST_MEAN_JOBS * self.mean_work)
            bucket.tokens = min(bucket.tokens + passed * bucket.rate, most)
        if not self.large_group:
            self.demand_share = self.own_demand_share(self.total_demand())
        for tenant, told in enumerate(self.settings.tenants):
            rate = told.quota_rps * self.demand_share
            self.quota_tokens[tenant] = min(
                self.quota_tokens[tenant] + passed * rate, max(BURST_MEAN_JOBS, BURST_S * rate)
            )

    def own_demand_share(self, demand: dict[tuple[int, int], float]) -> float:
        """This dispatcher's part of the fleet by recent demand; one Nth until peers are heard."""
        own = sum(b.demand for b in self.buckets.values())
        if own <= 0 or not self.fleet.all_heard:
            return 1 / self.settings.group_size
        return own / sum(demand.values())

    def adjust_fleet_rate(self) -> None:
        """Once an interval: cut the fleet rate if too many sends ended 'full', else let it rise."""
        own, peers = self.buckets.values(), self.fleet.peers.values()
        admitted = self.fleet.scale * (sum(b.admitted for b in own) + sum(p.admitted for p in peers))
        demand = self.total_demand()
        if self.rejections >= 3 and self.rejections > MAX_REJECTED_SHARE * self.sends:
            self.fleet_rate = RATE_DECREASE_FACTOR * min(self.fleet_rate, max(admitted, 1e-3))
            self.actions.append(
                interface.LogMessage(
                    f"fleet rate cut to {self.fleet_rate:.2f} after {self.rejections} full of {self.sends}"
                )
            )
        elif self.fleet_rate < INF and self.rejections <= 0:
            self.fleet_rate += RATE_INCREASE_SHARE * max(admitted, self.fleet_rate)
            if self.fleet_rate > 1.2 * sum(demand.values()):
                self.fleet_rate = INF
        self.demand_share = self.own_demand_share(demand)
        self.send_rate = self.fleet.standing * self.fleet.sends / max(self.now - self.controlled_at, 0.1)
        self.sends = self.rejections = self.fleet.sends = 0
        self.controlled_at = self.now
        for worker in self.listed[-1]:
            worker.previous_min_in_flight, worker.min_in_flight = (
                worker.min_in_flight,
                self.slots_in_flight(worker),
            )
        self.allocate_rates(demand)

    def total_demand(self) -> dict[tuple[int, int], float]:
        return self.fleet.demand({key: bucket.demand for key, bucket in self.buckets.items()})

    def allocate_rates(self, demand: dict[tuple[int, int], float]) -> None:
        """Fleet rate to tenants by told shares, unused share lent; their parts to dispatchers by demand."""
        for bucket in [b for b in self.buckets.values() if INF in (self.fleet_rate, b.rate)]:
            bucket.rate, bucket.tokens = INF, 0.0
        if self.fleet_rate == INF:
            return
        wanted = [
            sum(rate for key, rate in demand.items() if key[0] == t) for t in range(len(self.quota_tokens))
        ]
        parts = max_min(self.fleet_rate, wanted, [t.share for t in self.settings.tenants])
        for key, bucket in self.buckets.items():
            share = bucket.demand / demand[key] if demand[key] > 0 else 0.0
            if not self.fleet.all_heard:
                share = min(share, 1 / self.settings.group_size)
            part = parts[key[0]] * demand[key] / wanted[key[0]] if wanted[key[0]] > 0 else 0.0
            bucket.rate = max(part * share, 1e-6)

    def report(self) -> None:
        """Send counts to the circle's peers, which stand for all, and reset them; a new bucket at once."""
        span = self.now - self.reported_at
        entries = [(*key, b.allowed, b.denied) for key, b in self.buckets.items() if b.allowed or b.denied]
        delivered = self.fleet.report(self.own_report(span, entries))
        if self.large_group:
            jobs = sum(allowed + denied for _, _, allowed, denied in entries) / self.mean_work
            after = delivered * span / (REPORT_BYTES_PER_JOB * max(jobs, 0.5))
            self.report_interval_s = min(
                max(REPORT_INTERVAL_S, (self.report_interval_s + after) / 2), MAX_REPORT_INTERVAL_S
            )
        self.roll_report_window(span)

    def own_report(self, span: float, entries: list[tuple[int, int, float, float]]) -> codec.Report:
        out = [(w.key, round(w.in_flight)) for w in self.workers.values() if w.in_flight >= 0.5]
        return codec.Report(0, 0, span, entries, list(self.kind_limits.items()), out)

    def roll_report_window(self, span: float) -> None:
        self.reported_at = self.now
        memory = min(MEMORY * self.report_interval_s, self.now - span - self.smoothing_since)
        for bucket in self.buckets.values():
            bucket.demand = smooth(bucket.demand, bucket.allowed + bucket.denied, span, memory)
            bucket.admitted = smooth(bucket.admitted, bucket.allowed, span, memory)
            bucket.allowed = bucket.denied = 0.0

    def on_process_stalled(self, event: interface.ProcessStalled) -> None:
        self.fleet.woke(self.now)
        for worker in self.workers.values():
            worker.last_heard_at += event.seconds  # their silence in that time was its own

    def on_peer_message(self, event: interface.PeerMessage) -> None:
        for word in self.fleet.hear(self.now, event.peer, event.payload):
            if isinstance(word, codec.Report):
                self.kind_limits = {**dict(word.limits), **self.kind_limits}
                continue
            if (worker := self.by_key.get(word.key)) is None:
                continue
            worker.min_in_flight = min(worker.min_in_flight, self.slots_in_flight(worker))
            for _ in range(word.failures):
                self.raise_failure_rate(worker, PEER_FAILURE_WEIGHT)
            if word.served:
                worker.last_heard_at = self.now
                self.decay_failure_rate(worker, PEER_FAILURE_WEIGHT)

    # ---- placement ----------------------------------------------------------------------------------------

    def probe_for_load(self, job: Request) -> bool:
        """Where nobody tells of others' jobs some workers are asked how full they are; the job waits."""
        pool = (
            self.listed.get(job.request_class.worker_kind, [])
            if self.reported_load and self.settings.probes_allowed
            else []
        )
        some = self.random.sample(pool, min(3 * PROBES_PER_REQUEST, len(pool)))
        asked = sorted(
            (w for w in some if self.is_eligible(w, job)), key=lambda w: -self.class_affinity(w, job)
        )[:PROBES_PER_REQUEST]
        self.actions += [interface.ProbeWorker(w.id) for w in asked]
        self.pending_probes += len(asked)
        if asked:
            self.enqueue(job)
        return bool(asked)

    def class_affinity(self, worker: Worker, request: Request) -> float:
        """Long jobs leave some workers to the class with the shortest aim: behind them it is late first."""
        own = (
            codec.mix(worker.id + 1) % 1000
            < 2000 * self.work_by_class.part(self.tightest_class) * self.large_group
        )
        return (AFFINITY_WEIGHT if own else 1.0) ** (
            1 if request.request_class is self.tightest_class else -1
        )

    def place(self, request: Request) -> None:
        worker = self.choose(request)
        if worker is not None:
            self.send(request, worker)
        elif request.over_quota and self.fleet_rate < INF and not request.attempts:
            self.reject(request)  # beyond its tenant's quota while the fleet is full: from spare slots only
        else:
            self.enqueue(request)

    def choose(self, request: Request) -> Worker | None:
        """A random ready worker of the class's kind, likelier with more room for its pace.

        With no room anywhere each dispatcher has its part of a full worker by demand, lest who holds its
        slots keep refilling them; where that part is less than a job, the job waits for a slot."""
        pool = self.listed.get(request.request_class.worker_kind, [])
        if len(pool) > 2 * SAMPLE_SIZE:  # as good as all of them, at a cost that does not grow
            own = (
                w
                for w in self.recently_answered
                if w.listed and request.request_class.worker_kind in (-1, w.kind)
            )
            pool = list(dict.fromkeys([*own, *self.random.choices(pool, k=SAMPLE_SIZE)]))
        unsafe = (
            request.request_class.semantics == Semantics.UNSAFE
        )  # a late word on the first try there would end a second
        tried = [a.worker for a in request.attempts if unsafe or a.in_flight or a is request.attempts[-1]]
        shy = self.claim_probability < 1 and self.random.random() >= self.claim_probability
        ready, rest = list[Worker](), list[Worker]()
        weights: list[float] = []
        kept, near = (
            PREFERENCE_PER_PRICE * self.settings.cost_handshake,
            PREFERENCE_PER_PRICE * self.settings.cost_cross_zone,
        )
        for worker in pool:
            if worker in tried or not self.is_eligible(worker, request):
                continue
            if shy and worker is not self.freed_worker and not self.is_cold(worker):
                continue
            speed = self.speed_of(worker) / self.fleet_speed
            if speed < MIN_RELATIVE_SPEED and self.now < request.start_by:
                continue  # it would be late there, and need not be elsewhere
            share = self.slow_start_weight(worker, request)
            if share <= 0:
                continue
            room = self.free_slots(worker, request)
            pace = (
                worker.seconds_per_work or self.seconds_per_work or 1.0
            ) / speed**2  # what has slowed down slows on
            if room > 0:
                ready.append(worker)
                home = 1 + near * (worker.zone == self.settings.zone)
                told = (
                    FRESH_REPORT_WEIGHT
                    if self.reported_load and self.reported_load.fresh(self.now, worker.key)
                    else 1.0
                )
                told *= self.class_affinity(worker, request) if self.reported_load else 1.0
                weights.append(room * share / pace * told * home * (1 + kept * self.has_idle(worker)))
            elif not worker.on_probation and not request.over_quota:
                if self.limit_of(worker) * self.demand_share + 0.5 - worker.in_flight >= request.slots:
                    rest.append(worker)
        if ready:
            return self.random.choices(ready, weights)[0]
        slots_held, all_slots = sum(w.in_flight for w in pool), sum(self.limit_of(w) for w in pool)
        return self.random.choice(rest) if rest and slots_held < self.demand_share * all_slots else None

    def slots_in_flight(self, worker: Worker) -> float:
        """Slots taken, as far as dispatchers have told or, where they may not, as reports did."""
        if self.reported_load is None:
            return worker.in_flight + self.fleet.others(worker.key, worker.in_flight)
        limit = self.kind_limits.get(worker.kind, INITIAL_LIMIT_SLOTS)
        return worker.in_flight + self.reported_load.others(self.now, worker.key, self.mean_latency_s, limit)

    def limit_of(self, worker: Worker) -> float:
        """Slots that fit: as it taught or, in a large group, where each is met seldom, as its kind did."""
        mean = self.kind_limits.get(worker.kind, INITIAL_LIMIT_SLOTS)
        return mean if self.large_group else worker.learned_limit or max(mean, self.slots_in_flight(worker))

    def learn_limit(self, worker: Worker, limit: float) -> None:
        worker.learned_limit = limit
        mean = self.kind_limits.setdefault(worker.kind, limit)
        self.kind_limits[worker.kind] = mean + KIND_OBSERVATION_WEIGHT * (limit - mean)

    def update_claim_probability(self) -> None:
        if self.large_group:
            # Many see the same free slot and hear late of claims on it: while slots are scarce each claims
            # by chance, so that about one does. Slots that own jobs leave are claimed at once.
            room = sum(
                max(0.0, self.limit_of(w) - self.slots_in_flight(w))
                for w in self.listed[-1]
                if not w.on_probation and not self.is_cold(w)
            )
            self.claim_probability = min(
                1.0, CLAIMS_PER_FREE_SLOT * room / max(self.send_rate * GOSSIP_DELAY_S, 1.0)
            )

    def learn_from_start_delay(self, attempt: Attempt) -> None:
        """A job that had to wait where a slot seemed free, or did not where none was, moves the threshold."""
        worker, full = attempt.worker, attempt.in_flight_at_send
        limit, prompt = self.limit_of(worker), attempt.start_delay_s < PROMPT_START_S
        if self.large_group and (full > limit if prompt else full <= limit):
            limit += WAIT_OBSERVATION_WEIGHT * (full - limit if prompt else full - limit - 0.5)
            self.kind_limits[worker.kind] = max(self.max_free_slots.get(worker.kind, 1.0), limit)
        elif worker.learned_limit and not prompt and full <= limit:
            worker.learned_limit = max(1.0, limit + 2 * WAIT_OBSERVATION_WEIGHT * (full - limit - 0.5))

    def is_eligible(self, worker: Worker, request: Request) -> bool:
        """Whether a worker may have this job at all, for its health and the rules."""
        now = self.now
        if now < worker.class_ejections.get(request.request_class, (0.0, 0.0))[0]:
            return False
        if now < worker.ejected_until or not self.has_idle(worker) and now < worker.connect_after:
            return False
        if (
            worker.on_probation
            and self.slots_in_flight(worker) >= 1
            or worker.in_flight
            and self.is_silent(worker)
        ):
            return False
        return request.first_run is None or self.may_repeat(request, worker)

    def is_silent(self, worker: Worker) -> bool:
        """Guards against a worker with jobs that stands still with its process up, or is cut off. With more
        jobs out one of them should end sooner; a run of long jobs may cost it new ones until one ends."""
        patience = SILENT_PROGRESS_INTERVALS * self.settings.progress_interval_s
        patience = patience or self.mean_latency_s * (1 + SILENT_JOB_TIMES / max(worker.in_flight, 1.0))
        return worker.in_flight > 0 and self.now - worker.last_heard_at > patience > 0

    def free_slots(self, worker: Worker, request: Request) -> float:
        """Free slots as far as can be seen; 0 if they are too few for the job."""
        if worker.on_probation:
            return 1.0
        out = self.slots_in_flight(worker)
        room = self.limit_of(worker) - out + 0.5
        room -= OVER_QUOTA_RESERVE_SLOTS * (1 - self.settings.over_quota_value) if request.over_quota else 0.0
        waited = self.now - request.first_tried_at > 0.3 * (request.start_by - request.first_tried_at)
        if room >= request.slots or out < 1 and room > 0 or request.slots > 1 and waited and room >= 1:
            return room
        return 0.0

    def has_idle(self, worker: Worker) -> bool:
        while (
            worker.idle_connections and worker.idle_connections[0] < self.now - self.settings.idle_timeout_s
        ):
            worker.idle_connections.pop(0)
        return bool(worker.idle_connections)

    def is_cold(self, worker: Worker) -> bool:
        started = worker.slow_start_from
        return started > 0 and self.now - started < self.settings.slow_start_s

    def slow_start_weight(self, worker: Worker, request: Request) -> float:
        """How much more than usual a cold worker may have from here; 0 lest it be pushed over."""
        if not self.is_cold(worker):
            return 1.0
        told, age = self.settings, self.now - worker.slow_start_from
        ramp = told.slow_start_min_share + (1 - told.slow_start_min_share) * max(age, 0.0) / told.slow_start_s
        late = self.now + request.expected_s / ramp > request.objective_at and self.now < request.start_by
        if late or worker.slow_start_from < self.started_at > self.now - told.overload_window_s:
            return 0.0  # it need not be late elsewhere; and what an earlier life of this one sent counts
        while worker.slow_start_sends and worker.slow_start_sends[0][0] < self.now - told.overload_window_s:
            worker.slow_start_sends.popleft()
        slots = min(self.limit_of(worker), self.kind_limits.get(worker.kind, INITIAL_LIMIT_SLOTS))
        budget = SLOW_START_BUDGET_SHARE * told.overload_multiple * ramp * slots * told.overload_window_s
        # Where an Nth is less than a job few own it, by a rank; in powers of two most see as many.
        size, parts = (
            told.group_size,
            max(1, int(budget / (2 * self.mean_work * (self.seconds_per_work or 1.0)))),
        )
        owners = min(size, 1 << parts.bit_length() - 1)
        rank = (told.own_number - codec.mix(worker.id ^ int(worker.started_at))) % size
        cost = self.slot_seconds(request, worker)
        if rank >= owners or sum(load for _, load in worker.slow_start_sends) + cost > budget / owners:
            return 0.0
        return ramp * size / owners if owners < size else 1.0

    def slot_seconds(self, request: Request, worker: Worker) -> float:
        mean = self.work_by_class.mean(request.request_class, worker.kind)
        return request.slots * max(mean, request.work * (self.seconds_per_work or 1.0))

    def may_repeat(self, request: Request, worker: Worker) -> bool:
        """Rule 2: a job that may have run goes on only where its effect is known to be dropped."""
        cls, first = request.request_class, request.first_run
        if first is None or cls.semantics == Semantics.RETRYABLE:
            return True
        written = self.now + self.settings.connect_timeout_s  # at the latest; another may have sent before us
        if cls.semantics == Semantics.UNSAFE or written >= request.first_tried_at + cls.dedup_window_s:
            return False
        cell, zone = worker.cell == first.worker.cell, worker.zone == first.worker.zone
        return {"cell": cell, "all": True}.get(cls.dedup_group, zone)

    def send(self, request: Request, worker: Worker) -> None:
        self.sends += 1
        self.fleet.note(self.now, worker.key, codec.SENT, round(request.slots))
        if worker.in_flight == 0:
            worker.last_heard_at = self.now
        worker.in_flight += request.slots
        if self.has_idle(worker):
            worker.idle_connections.pop()
        if self.is_cold(worker):
            worker.slow_start_sends.append((self.now, self.slot_seconds(request, worker)))
        request.attempts.append(Attempt(worker, self.now, in_flight_at_send=self.slots_in_flight(worker)))
        request.attempts_in_flight += 1
        self.actions.append(interface.SendAttempt(request.id, worker.id))

    def enqueue(self, request: Request) -> None:
        late, until = self.now >= request.start_by, self.give_up_at(request)
        if self.now >= until:
            self.finish(request)  # too little time left to serve it
            return
        request.queued, until = True, until if late else min(until, request.start_by)
        entry = (2 * late + request.over_quota, until, request.id, request)
        insort(self.queues.setdefault(request.request_class.worker_kind, []), entry)

    def give_up_at(self, request: Request) -> float:
        """When a held job is let go; hints being rough, a first try may start while it would be in time."""
        last = request.deadline - 2 * self.tick_s
        return min(last, max(request.start_by, request.deadline - request.expected_s / MAX_SPEEDUP))

    def serve_queued(self) -> None:
        """Free slots go to held jobs, those that must start soonest first, those already late last."""
        for queue in self.queues.values():
            for entry in queue[:MAX_SCANNED_REQUESTS]:
                request = entry[3]
                worker = None if request.answered else self.choose(request)
                if worker is not None:
                    queue.remove(entry)
                    request.queued = False
                    self.send(request, worker)
                elif not request.answered and request.first_run is None:
                    break

    def expire_queued(self) -> None:
        for queue in self.queues.values():
            for entry in [e for e in queue if e[1] <= self.now or e[3].answered]:
                queue.remove(entry)
                request, entry[3].queued = entry[3], False
                if request.answered:
                    continue
                # No slot in time: as full as by its own word, but in a large group it may want news.
                self.rejections += entry[0] == 0 and not self.large_group
                if entry[0] < 2 and request.request_class.late_value > 0 and self.fleet_rate == INF:
                    self.enqueue(request)  # in a full fleet late work would take slots from work in time
                else:
                    self.finish(request)

    # ---- worker health ------------------------------------------------------------------------------------

    def record_outcome(self, attempt: Attempt, request: Request, event: interface.AttemptEnded) -> None:
        worker, outcome = attempt.worker, event.outcome
        unheard, age = (
            worker.last_heard_at <= attempt.sent_at,
            self.now - attempt.sent_at,
        )  # clients leave early
        if outcome in (AttemptOutcome.SERVED, AttemptOutcome.SERVER_ERROR):
            worker.last_heard_at = self.now  # a time-out or a word from its door does not show that it works
        out = self.slots_in_flight(worker)
        worker.min_in_flight = min(worker.min_in_flight, out)
        if outcome in (
            AttemptOutcome.SERVED,
            AttemptOutcome.SERVER_ERROR,
            AttemptOutcome.REJECTED,
        ):
            self.recently_answered.append(worker)
            worker.idle_connections.append(self.now)
            worker.connect_after = 0.0
        free = event.load.get(self.settings.free_slots_field) if event.load else None
        if free is not None and self.large_group:
            most = self.max_free_slots[worker.kind] = max(
                self.max_free_slots.get(worker.kind, 1.0), round(free)
            )
            self.kind_limits[worker.kind] = max(self.kind_limits.get(worker.kind, 1.0), most)
        elif free is not None and round(free) > 0:
            seen = round(free) + min(
                worker.min_in_flight, worker.previous_min_in_flight
            )  # an old report: this fits for certain
            self.learn_limit(worker, max(seen, worker.learned_limit))
        self.record_reported_load(worker, event.load)
        if outcome == AttemptOutcome.SERVED:
            pace = max(event.latency - attempt.start_delay_s, event.latency / 10, 1e-4) / request.work
            weight = min(request.work / self.mean_work, 3.0)  # waits make short jobs seem slow
            self.mean_latency_s += (
                0.05 * (event.latency - self.mean_latency_s) if self.mean_latency_s else event.latency
            )
            if not self.is_cold(worker):
                worker.seconds_per_work += (
                    OBSERVATION_WEIGHT * weight * (pace - worker.seconds_per_work)
                    if worker.seconds_per_work
                    else pace
                )
                self.seconds_per_work += (
                    0.05 * weight * (pace - self.seconds_per_work) if self.seconds_per_work else pace
                )
            worker.class_ejections.pop(request.request_class, None)
            self.work_by_class.note(request.request_class, worker.kind, pace * request.work, request.slots)
            self.decay_failure_rate(worker, FAILURE_WEIGHT)
            if free is None and out + request.slots >= self.limit_of(worker):
                weight = OBSERVATION_WEIGHT if worker.learned_limit else 1.0
                self.learn_limit(
                    worker, worker.learned_limit + weight * (out + request.slots + 1 - worker.learned_limit)
                )
        elif outcome == AttemptOutcome.REJECTED:
            # With slots free it drains unseen or fails fast, and its word says nothing of the fleet.
            unfilled = out + request.slots <= MIN_FULL_SHARE * self.limit_of(worker)
            if free is not None and round(free) >= request.slots:
                # Free slots by its own word: it cannot run jobs of this class, and may well run others.
                length = min(
                    MAX_EJECTION_S,
                    2 * worker.class_ejections.get(request.request_class, (0.0, BASE_EJECTION_S / 2))[1],
                )
                worker.class_ejections[request.request_class] = self.now + length, length
                number = self.settings.classes.index(request.request_class)
                self.actions.append(
                    interface.LogMessage(f"worker {worker.id} turned away class {number} with slots free")
                )
                return
            if worker.on_probation or unfilled or event.latency > HANDED_BACK_AFTER_S:
                self.raise_failure_rate(worker, FAILURE_WEIGHT)
            else:
                self.rejections += 1
                worker.ejected_until = max(worker.ejected_until, self.now + self.tick_s)
            worker.learned_limit = max(1.0, min(self.limit_of(worker), out))
        doubted = (
            self.now - worker.last_heard_at > LOST_AFTER_S or worker.failure_rate > PEER_FAILURE_WEIGHT / 2
        )
        if (
            outcome == AttemptOutcome.NO_CONNECTION
        ):  # open ones may be used: it may be full of them, or slow to open
            worker.connect_after = self.now + BASE_EJECTION_S * (0.75 + 0.5 * self.random.random())
        failed = outcome == AttemptOutcome.SERVER_ERROR or outcome == AttemptOutcome.NO_CONNECTION and doubted
        if outcome == AttemptOutcome.CONNECTION_LOST:
            # One may break while the worker serves the others: two without a sign between them are its fault.
            failed, worker.connection_lost_at = worker.last_heard_at <= worker.connection_lost_at, self.now
        if (
            failed
            or outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED)
            and unheard
            and age > self.mean_latency_s
        ):
            self.raise_failure_rate(worker, FAILURE_WEIGHT)
        worker.idle_connections = [] if outcome == AttemptOutcome.CONNECTION_LOST else worker.idle_connections

    def record_reported_load(self, worker: Worker, load: Mapping[str, float] | None) -> None:
        free = load.get(self.settings.free_slots_field) if load else None
        if load and free is not None and self.reported_load is not None:
            taken = self.limit_of(worker) - free + load.get(self.settings.queue_field, 0.0)
            self.reported_load.note(self.now, worker.key, max(0.0, taken - worker.in_flight))

    def on_probe_result(self, event: interface.ProbeResult) -> None:
        worker, self.pending_probes = self.workers.get(event.worker), self.pending_probes - 1
        if worker is not None and event.outcome == AttemptOutcome.SERVED:
            worker.idle_connections.append(self.now)
            self.record_reported_load(worker, event.load)
        if self.pending_probes <= 0:  # with the first word alone the job went to who was full, or to anybody
            self.serve_queued()

    def decay_failure_rate(self, worker: Worker, weight: float) -> None:
        worker.failure_rate *= 1 - max(weight, PROBATION_SUCCESS_WEIGHT * worker.on_probation)
        if worker.on_probation and worker.failure_rate < RECOVERY_FAILURE_RATE:
            worker.on_probation, worker.ejected_until, worker.ejection_ends_at = False, 0.0, 0.0

    def raise_failure_rate(self, worker: Worker, weight: float) -> None:
        """Guards against workers that fail fast and so draw all traffic; they return by single trial jobs."""
        worker.failure_rate += weight * (1 - worker.failure_rate)
        benched = sum(w.on_probation for w in self.listed[-1])
        if (
            worker.failure_rate < EJECTION_FAILURE_RATE
            or not worker.on_probation
            and benched + 1 > MAX_EJECTED_SHARE * len(self.listed[-1])
        ):
            return
        if self.now >= worker.ejection_ends_at:  # failures at the same time, told by several, are one
            worker.ejection_s = (
                min(MAX_EJECTION_S, worker.ejection_s * 2) if worker.on_probation else BASE_EJECTION_S
            )
            worker.on_probation = True
            self.actions.append(
                interface.LogMessage(f"worker {worker.id} benched, failure share {worker.failure_rate:.2f}")
            )
        worker.ejection_ends_at = self.now + worker.ejection_s
        turn = self.random.random() * max(
            BASE_EJECTION_S, PROBATION_SPREAD_S * (len(self.fleet.mates) - SMALL_GROUP_SIZE)
        )
        worker.ejected_until = worker.ejection_ends_at + turn  # lest all try it at once

    def on_progress(self, event: interface.ProgressNotice) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.last_heard_at = self.now
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if event.kind == NoticeKind.STARTED:
            attempt.start_delay_s = self.now - attempt.sent_at
            if not attempt.start_seen:
                self.mean_start_delay_s += OBSERVATION_WEIGHT * (
                    attempt.start_delay_s - self.mean_start_delay_s
                )
                self.learn_from_start_delay(attempt)
                self.rejections += (
                    self.large_group and self.now > request.start_by
                )  # as full, though the queue is not
            attempt.progress_at = self.now
        elif worker is not None:
            self.record_progress(attempt, worker, event.fraction_done)
        if not any(a.start_seen for a in request.attempts):
            self.cancel_attempts(request, attempt)
        attempt.start_seen = True

    def record_progress(self, attempt: Attempt, worker: Worker, share: float) -> None:
        """How fast a job goes on. Its length is not known, but it is the same all the time: when it goes on
        slower than it did, the worker has slowed down, though it answers and fails nothing."""
        span = self.now - (attempt.progress_at or attempt.sent_at)
        if span < self.settings.progress_interval_s / 2 or share < attempt.progress:
            return  # told again, or late
        rate, speed = (share - attempt.progress) / span, self.speed_of(worker)
        attempt.best_progress_rate = max(
            attempt.best_progress_rate, rate if attempt.best_progress_rate else rate / speed, 1e-6
        )
        attempt.progress_rate, attempt.progress, attempt.progress_at = rate, share, self.now
        worker.relative_speed = max(
            speed + SPEED_OBSERVATION_WEIGHT * (rate / attempt.best_progress_rate - speed), 0.01
        )
        worker.speed_measured_at = self.now

    def speed_of(self, worker: Worker) -> float:
        return 1 - (1 - worker.relative_speed) * math.exp(
            (worker.speed_measured_at - self.now) / SPEED_DECAY_S
        )

    def cancel_attempts(self, request: Request, but: Attempt | None = None) -> None:
        """Attempts that nobody needs give their places back, where a worker heeds that."""
        for number, attempt in enumerate(request.attempts):
            if self.settings.cancel_allowed and attempt.in_flight and attempt is not but:
                self.actions.append(interface.CancelAttempt(request.id, number))

    def hedge_stalled_attempts(self) -> None:
        """Jobs on a worker that fell silent may never end, on one that has slowed down they will be late, and
        one whose start is not told may never have arrived: a copy takes a free slot."""
        if not self.settings.reports_start:
            return
        self.fleet_speed = median([self.speed_of(w) for w in self.listed[-1]] or [1.0])
        for request in list(self.requests.values()):
            out = [a for a in request.attempts if a.in_flight]
            if out and not request.answered and all(self.is_stalled(request, a) for a in out):
                self.hedge(request)

    def is_stalled(self, request: Request, attempt: Attempt) -> bool:
        if not attempt.start_seen:
            lost = (
                self.now - max(attempt.sent_at, attempt.worker.last_heard_at)
                > LOST_AFTER_S + LOST_AFTER_START_DELAYS * self.mean_start_delay_s
            )
            return lost and not (
                self.large_group and self.fleet_rate < INF
            )  # in a full fleet a copy would wait as well
        if self.is_silent(attempt.worker):
            return True
        if attempt.progress_rate >= MIN_RELATIVE_SPEED * attempt.best_progress_rate * self.fleet_speed:
            return False
        whole = 1 / attempt.best_progress_rate
        due = (
            request.first_tried_at
            + request.request_class.latency_objective_s
            + request.request_class.objective_stretch * whole
        )
        left = (1 - attempt.progress) / max(attempt.progress_rate, 1e-6)
        return self.now + whole / self.fleet_speed < due < self.now + left

    def hedge(self, request: Request) -> None:
        allowed = (
            request.request_class.semantics != Semantics.UNSAFE
            and self.settings.hedging_allowed
            and not request.over_quota
        )
        left = allowed and len(request.attempts) < self.settings.max_attempts
        if (worker := self.choose(request) if left else None) is not None:
            self.send(request, worker)

    def on_outcome(self, event: interface.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.in_flight:
            return
        attempt.in_flight, request.attempts_in_flight = False, request.attempts_in_flight - 1
        worker = attempt.worker
        worker.in_flight = max(0.0, worker.in_flight - request.slots)
        before = worker.failure_rate
        self.record_outcome(attempt, request, event)
        failed = worker.failure_rate > before or event.outcome == AttemptOutcome.CONNECTION_LOST
        served = event.outcome == AttemptOutcome.SERVED
        ended = codec.SERVED if served else codec.FAILED if failed else codec.ENDED
        self.fleet.note(self.now, worker.key, ended, round(request.slots))
        self.close_idle_connections(worker)
        attempt.never_ran = event.outcome in PROVEN_UNRUN
        if event.settled:
            request.answered = True
            self.cancel_attempts(request)
        if request.answered:
            self.end(request)
        elif (
            request.attempts_in_flight == 0
            and not request.queued
            and event.outcome == AttemptOutcome.INVALID_REQUEST
        ):
            self.actions.append(interface.Fail(request.id))  # no other worker would take it, nor later
            self.end(request)
        elif request.attempts_in_flight == 0 and not request.queued:
            self.retry(request)
        self.freed_worker = worker
        self.serve_queued()
        self.freed_worker = None

    def retry(self, request: Request) -> None:
        """The last attempt failed: send elsewhere while class, time and attempts allow, else answer."""
        spent = len(request.attempts) >= self.settings.max_attempts or self.now >= self.give_up_at(request)
        if spent or request.first_run is not None and not self.may_repeat(request, request.first_run.worker):
            self.finish(request)
        else:
            self.place(request)

    def finish(self, request: Request) -> None:
        """Final answer without a result; a refusal says that nothing ran or that a repeat is harmless."""
        cls = request.request_class
        harmless = (
            cls.semantics == Semantics.RETRYABLE
            or cls.semantics == Semantics.DEDUPLICATED
            and cls.dedup_group == "all"
        )
        if request.first_run is None or harmless:
            self.reject(request)
        else:
            self.actions.append(interface.Fail(request.id))
            self.end(request)

    def reject(self, request: Request) -> None:
        after = self.settings.max_retry_after_s * (0.5 + 0.5 * self.random.random())  # lest all come at once
        self.actions.append(interface.Reject(request.id, after if self.settings.retry_after_allowed else 0.0))
        self.end(request)

    def end(self, request: Request) -> None:
        request.answered = True
        if request.attempts_in_flight == 0:
            self.requests.pop(request.id, None)

    def on_request_over(
        self, event: interface.ClientDisconnected | interface.StreamStarted
    ) -> None:  # what is out still has its outcome
        if event.request in self.requests:
            self.end(self.requests[event.request])

    def on_timer(self, event: interface.TimerFired) -> None:
        if event.token == REPORT_TIMER:
            self.report()
            self.actions.append(
                interface.SetTimer(REPORT_TIMER, self.report_interval_s * (0.75 + 0.5 * self.random.random()))
            )
        elif event.token == TICK_TIMER:
            self.actions.append(interface.SetTimer(TICK_TIMER, self.tick_s))
            self.refill()
            if self.now >= self.fetch_at:
                self.fetch_membership()
            if self.now - self.controlled_at >= CONTROL_INTERVAL_S:
                self.fleet.forget_silent(self.now)
                self.adjust_fleet_rate()
            self.expire_queued()
            self.update_claim_probability()
            self.serve_queued()
            self.hedge_stalled_attempts()

    HANDLERS: ClassVar[dict[type, Callable[..., None]]] = {
        interface.Start: on_start,
        interface.MembershipUpdate: on_membership,
        interface.MaintenanceMode: on_maintenance,
        interface.SiblingLoad: on_sibling_load,
        interface.JobArrived: on_job,
        interface.AttemptEnded: on_outcome,
        interface.ProgressNotice: on_progress,
        interface.StreamStarted: on_request_over,
        interface.ClientDisconnected: on_request_over,
        interface.PeerMessage: on_peer_message,
        interface.TimerFired: on_timer,
        interface.ProcessStalled: on_process_stalled,
        interface.ProbeResult: on_probe_result,
    }

"""Runs dispatchers, workers, clients, discovery and the network in virtual time, with one planned fault."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from ...policy import interface
from ...policy.dispatcher import Dispatcher
from ...policy.interface import (
    PROVEN_UNRUN,
    RETRY_FLAG,
    AttemptOutcome,
    NoticeKind,
    UpdateKind,
    WorkerState,
)
from .clients import Clients
from .clock import Clock
from .discovery import Discovery
from .entities import ClientJob, Node, Request, request_of
from .faults import FaultSchedule
from .network import Network
from .plan import Plan, settings
from .rules import TIMING_TOLERANCE_S, RuleChecker
from .worker_pool import EPOCH_S, WorkerPool, member_entry
from .workers import Attempt, FakeWorker, WorkerCallbacks

# Seconds after which an attempt to connect to an unreachable worker fails.
CONNECT_TIMEOUT_S = 0.25
# Seconds that a run goes on after the last jobs were sent, so that they get their answers.
OVERRUN_S = 12.0
# Seconds that a worker takes to answer a probe, without the network delay.
PROBE_S = 0.001
# Seconds that an answered request without open attempts is kept before it is removed.
FORGET_AFTER_S = 0.01
# An attempt's work is its job's work times a normally distributed factor with mean 1.
# Least value of the factor, and its standard deviation.
MIN_WORK_FACTOR = 0.3
WORK_FACTOR_SPREAD = 0.15
# Outcomes that a dispatcher detects without a message from the worker.
DETECTED_BY_SENDER = (AttemptOutcome.NO_CONNECTION, AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED)
DispatcherFactory = Callable[[interface.Settings, int], Dispatcher]


class SimulatedFleet:
    """Executes and counts the actions that the dispatchers return; makes no decision about jobs itself."""

    def __init__(self, plan: Plan, create_dispatcher: DispatcherFactory = Dispatcher) -> None:
        """Create the fleet, draw all jobs and schedule the fault; `run` executes the plan."""
        self.plan = plan
        self.create_dispatcher = create_dispatcher
        self.random = random.Random(plan.seed)
        self.clock = Clock()
        self.counters: Counter[str] = Counter()
        # Seconds from sending an attempt to the start of its job at the worker.
        self.start_waits_s: list[float] = []
        self.rules = RuleChecker(self.clock, plan.site, self.counters)
        self.network = Network(self.clock, self.random, plan, self.counters)
        callbacks = WorkerCallbacks(self._on_started, self._on_progress, self._on_ended)
        self.pool = WorkerPool(self.clock, self.random, plan, callbacks)
        jobs_per_s = self.pool.capacity / plan.site.mean_work
        self.site_settings = settings(jobs_per_s, plan.peers, plan.site)
        self.discovery = Discovery(self.clock, self.random, plan.discovery_calls_per_s, self._on_update)
        self.bootstrap_members = [member_entry(worker) for worker in self.pool.by_id.values()]
        self.nodes = [
            Node(number, number % plan.site.zones, self._new_dispatcher(number))
            for number in range(plan.dispatchers)
        ]
        for node in self.nodes:
            self._start(node)
        self.clients = Clients(self.clock, self.random, plan, self.nodes, self.counters, self._submit)
        self.clients.schedule(jobs_per_s)
        self.faults = FaultSchedule(
            self.clock,
            self.random,
            plan,
            self.pool,
            self.nodes,
            self.discovery,
            self.network,
            self._kill,
            self._start,
        )
        self.faults.schedule()

    @property
    def workers(self) -> dict[int, FakeWorker]:
        """All workers by id, including those that are gone."""
        return self.pool.by_id

    @property
    def jobs(self) -> list[ClientJob]:
        """All jobs of the run, in the order in which clients first send them."""
        return self.clients.jobs

    @property
    def violations(self) -> list[str]:
        """A description of each rule violation so far."""
        return self.rules.violations

    def run(self) -> None:
        """Run the plan to its end, and OVERRUN_S longer for the last answers."""
        self.clock.run(self.plan.seconds + OVERRUN_S)

    # ---- dispatchers ---------------------------------------------------------------------------------------

    def _new_dispatcher(self, number: int) -> Dispatcher:
        pairs = {
            **self.site_settings,
            "groupSize": str(self.plan.dispatchers),
            "myNumber": str(number),
            "zone": str(number % self.plan.site.zones),
        }
        return self.create_dispatcher(interface.Settings.from_pairs(pairs), self.random.getrandbits(48))

    def _start(self, node: Node) -> None:
        node.incarnation += 1
        node.up = node.admitted = True
        node.list_version = 0
        if node.incarnation > 1:
            node.dispatcher = self._new_dispatcher(node.number)
        self.feed(node, interface.Start())
        self.feed(node, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 0, list(self.bootstrap_members)))

    def _kill(self, node: Node) -> None:
        node.up = False
        self.discovery.unsubscribe(node.number)
        node.draining_since.clear()
        requests, node.requests = list(node.requests.values()), {}
        for request in requests:
            for attempt in request.attempts:
                attempt.open = False
            if not request.answered:
                request.answered = True
                self.clients.finish(request.job, "failed", 0.0)

    def feed(self, node: Node, event: interface.Event) -> None:
        """Pass an event to a dispatcher that is up, and execute the actions that it returns."""
        if not node.up:
            return
        if isinstance(event, interface.MembershipUpdate) and event.kind != UpdateKind.REFUSED:
            node.list_version = event.version
            for member in event.members:
                if member.state == WorkerState.READY:
                    node.draining_since.pop(member.worker, None)
                else:
                    node.draining_since.setdefault(member.worker, self.clock.now)
        for action in node.dispatcher.handle(EPOCH_S + self.clock.now, event):
            self._carry_out(node, action)

    def _on_update(self, number: int, event: interface.MembershipUpdate) -> None:
        self.feed(self.nodes[number], event)

    def _on_timer(self, node: Node, incarnation: int, token: int) -> None:
        if node.incarnation == incarnation:
            self.feed(node, interface.TimerFired(token))

    def _carry_out(self, node: Node, action: interface.Action) -> None:
        match action:
            case interface.SetTimer():
                timer = partial(self._on_timer, node, node.incarnation, action.token)
                self.clock.after(action.after, timer)
            case interface.SendAttempt():
                self._send(node.requests[action.request], self.workers[action.worker])
            case interface.Reject() | interface.Fail():
                self._finish(node.requests[action.request], action)
            case interface.CancelAttempt():
                attempt = node.requests[action.request].attempts[action.attempt]
                self._on_ended(attempt, AttemptOutcome.CANCELLED, None)
            case interface.SendToPeer():
                receivers = self.nodes if action.peer < 0 else [self.nodes[action.peer]]
                message = interface.PeerMessage(node.number, action.payload)
                deliver = partial(self._deliver, message)
                self.network.send_datagrams(node, receivers, len(action.payload), deliver)
            case interface.ProbeWorker():
                self.counters["probes"] += 1
                self._probe(node, self.workers[action.worker])
            case interface.SubscribeMembership():
                self.discovery.call(node.number, node.list_version)

    def _deliver(self, message: interface.PeerMessage, receiver: Node) -> None:
        self.feed(receiver, message)

    def _probe(self, node: Node, worker: FakeWorker) -> None:
        if worker.reachable and not worker.hung and not self.network.are_separated(node, worker):
            result = interface.ProbeResult(worker.id, AttemptOutcome.SERVED, PROBE_S, worker.load)
            self.clock.after(2 * self.network.hop_s(), partial(self.feed, node, result))

    # ---- requests ------------------------------------------------------------------------------------------

    def _submit(self, job: ClientJob, node: Node, left_s: float) -> None:
        node.last_request_number += 1
        deadline = self.clock.now + left_s
        request = Request(job, node, node.incarnation, node.last_request_number, deadline)
        node.requests[request.number] = request
        self.clock.after(left_s + TIMING_TOLERANCE_S, partial(self.rules.check_deadline, request))
        flags = RETRY_FLAG if job.submissions > 1 else 0
        arrived = interface.JobArrived(
            request.number, job.class_index, job.tenant, left_s, slots=float(job.slots), flags=flags
        )
        self.feed(node, arrived)

    def _finish(self, request: Request, action: interface.Reject | interface.Fail) -> None:
        refused = isinstance(action, interface.Reject)
        self.rules.check_final(request, refused)
        request.answered = True
        retry_after_s = action.retry_after if isinstance(action, interface.Reject) else 0.0
        self.clients.finish(request.job, "refused" if refused else "failed", retry_after_s)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.answered and not any(attempt.open for attempt in request.attempts):
            self.clock.after(FORGET_AFTER_S, partial(request.node.requests.pop, request.number, None))

    # ---- attempts ------------------------------------------------------------------------------------------

    def _send(self, request: Request, worker: FakeWorker) -> None:
        node, job, now = request.node, request.job, self.clock.now
        self.rules.check_send(request, worker)
        attempt = Attempt(
            request,
            len(request.attempts),
            worker,
            now,
            job.work * max(MIN_WORK_FACTOR, self.random.gauss(1, WORK_FACTOR_SPREAD)),
            job.job_class.mean_work * job.slots,
            slots=job.slots,
        )
        request.attempts.append(attempt)
        self.counters["attempts"] += 1
        self.counters["cross_zone"] += worker.zone != node.zone
        no_connection = partial(self._on_ended, attempt, AttemptOutcome.NO_CONNECTION, None)
        if not worker.reachable or self.network.are_separated(node, worker):
            self.clock.after(CONNECT_TIMEOUT_S, no_connection)
        elif worker.state == WorkerState.GONE:
            self.clock.after(self.network.hop_s(), no_connection)
        else:
            self.clock.after(self.network.hop_s(), partial(worker.arrive, attempt))
        timeout = partial(self._on_ended, attempt, AttemptOutcome.TIMEOUT, None)
        self.clock.after(request.deadline - now, timeout)

    def _on_started(self, attempt: Attempt) -> None:
        if attempt.open:
            self.start_waits_s.append(self.clock.now - attempt.sent_at)
            notify = partial(self._notify, attempt, NoticeKind.STARTED, 0.0)
            self.clock.after(self.network.hop_s(), notify)

    def _on_progress(self, attempt: Attempt, share: float) -> None:
        self._notify(attempt, NoticeKind.PROGRESS, share)

    def _notify(self, attempt: Attempt, kind: int, share: float) -> None:
        request = request_of(attempt)
        separated = self.network.are_separated(request.node, attempt.worker)
        if attempt.open and request.live and not separated:
            notice = interface.ProgressNotice(request.number, attempt.worker.id, attempt.number, kind, share)
            self.feed(request.node, notice)

    def _on_ended(self, attempt: Attempt, outcome: AttemptOutcome, load: dict[str, float] | None) -> None:
        request = request_of(attempt)
        if not attempt.open or not request.live:
            return
        if outcome not in DETECTED_BY_SENDER and self.network.are_separated(request.node, attempt.worker):
            return  # the message is lost: the sender detects it by a timeout
        attempt.open = False
        attempt.started = attempt.started or outcome not in PROVEN_UNRUN
        self.counters["outcome_" + outcome] += 1
        if outcome == AttemptOutcome.SERVED and not request.answered:
            request.answered = True
            self.clients.finish(request.job, "served", 0.0)
        # The dispatcher gets this event only after all actions of its current one are executed.
        self.clock.after(0.0, partial(self._report_outcome, attempt, outcome, load))

    def _report_outcome(
        self, attempt: Attempt, outcome: AttemptOutcome, load: dict[str, float] | None
    ) -> None:
        request = request_of(attempt)
        if request.live:
            latency_s = self.clock.now - attempt.sent_at
            ended = interface.AttemptEnded(
                request.number,
                attempt.worker.id,
                attempt.number,
                outcome,
                request.answered,
                latency_s,
                load,
            )
            self.feed(request.node, ended)
            self._forget(request)

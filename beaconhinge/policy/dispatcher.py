"""The policy of one dispatcher: passes each event to the components that handle it.

`Dispatcher(settings, seed).handle(now, event)` returns a list of actions. It reads no clock, does no I/O and
keeps all state in the object. When a job arrives, its tenant's bucket admits or rejects it. An admitted job
is sent to a ready worker, chosen at random by weight, or queued until a slot is free. When an attempt ends,
its request is finished, retried on another worker, or failed.
"""

import random
from collections.abc import Callable
from typing import ClassVar

from ..gossip import codec
from ..gossip.aggregation import GossipNode
from . import interface
from .admission import CONTROL_INTERVAL_S, Admission
from .arrivals import Arrivals
from .attempt_outcomes import OutcomeRecorder
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .hedging import Hedging
from .interface import PROVEN_UNRUN, AttemptOutcome
from .load_probing import LoadProbing
from .membership import Membership
from .outlier_detection import OutlierDetection
from .peer_reports import REPORT_INTERVAL_S, PeerReports
from .placement import Placement
from .progress_notices import ProgressRecorder
from .quotas import TenantQuotas
from .request_table import RequestTable
from .retries import RetryPolicy
from .routing import Router
from .slow_start import SlowStart
from .stall_detection import StallDetection
from .work_estimates import WorkEstimates
from .workers import Worker, WorkerTable

TICK_TIMER = 1  # token of the housekeeping timer
REPORT_TIMER = 2  # token of the timer for reports to peers


class Dispatcher:
    """Passes each event to the components of the policy and collects their actions.

    Args:
        settings: Settings of this dispatcher.
        seed: Seed of the random number generator of all components.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """Create the components and connect each to the ones that it uses."""
        self.settings = settings
        self.context = context = Context(settings, random.Random(seed))
        incarnation = context.random.getrandbits(8)
        self.gossip = gossip = GossipNode(
            settings.group_size,
            settings.own_number,
            incarnation,
            REPORT_INTERVAL_S,
            may_send=settings.peer_messages,
        )
        self.worker_table = workers = WorkerTable()
        self.requests = requests = RequestTable(context)
        retries = RetryPolicy(context)
        self.estimates = estimates = WorkEstimates()
        self.arrivals = Arrivals(context, estimates, retries)
        self.membership = Membership(context, workers)
        self.quotas = TenantQuotas(context)
        self.admission = admission = Admission(context, gossip, estimates)
        self.limits = limits = ConcurrencyLimits(context, gossip, workers, estimates)
        self.reports = PeerReports(context, gossip, workers, admission, limits, estimates)
        self.slow_start = slow_start = SlowStart(context, limits, estimates)
        self.outliers = outliers = OutlierDetection(context, gossip, workers)
        self.stalls = stalls = StallDetection(context, workers, estimates)
        self.router = router = Router(context, workers, limits, slow_start, stalls, estimates, retries)
        self.probing = LoadProbing(context, workers, limits, router)
        self.placement = placement = Placement(
            context, gossip, requests, admission, limits, slow_start, retries, router
        )
        self.hedging = Hedging(context, requests, admission, stalls, retries, placement)
        self.progress = ProgressRecorder(context, workers, requests, admission, limits, stalls)
        self.outcomes = OutcomeRecorder(context, workers, admission, limits, estimates, slow_start, outliers)

    @property
    def workers(self) -> dict[int, Worker]:
        """All workers that any membership update has named, by id."""
        return self.worker_table.by_id

    def is_silent(self, worker: Worker) -> bool:
        """Whether a worker with jobs in flight has sent nothing for too long."""
        return self.stalls.is_silent(worker)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Handle one event.

        Args:
            now: Time of the event in seconds. It must not decrease from one call to the next.
            event: The event. Events of unknown types are ignored.

        Returns:
            The actions that the caller must perform, in this order.
        """
        actions: list[interface.Action] = []
        self.context.now, self.context.actions = now, actions
        if type(event) in self.HANDLERS:
            self.HANDLERS[type(event)](self, event)
        if self.gossip.sends_messages:
            self.reports.flush_gossip()
        return actions

    def on_start(self, _event: interface.Start) -> None:
        """Record the start time, set the timers and fetch the list of workers."""
        context = self.context
        self.slow_start.dispatcher_started_at = context.now
        self.admission.start()
        self.reports.start()
        self.gossip.start(context.now)
        context.actions.append(interface.SetTimer(TICK_TIMER, context.tick_s))
        first_report_s = REPORT_INTERVAL_S * context.random.random()
        context.actions.append(interface.SetTimer(REPORT_TIMER, first_report_s))
        self.membership.start()

    def on_membership(self, event: interface.MembershipUpdate) -> None:
        """Apply a membership update, and send queued requests to workers that it added."""
        if self.membership.update(event):
            self.placement.serve_queued()

    def on_maintenance(self, event: interface.MaintenanceMode) -> None:
        """Put a worker into maintenance, or take it out, on an operator's request."""
        self.membership.set_maintenance(event)
        self.placement.serve_queued()

    def on_sibling_load(self, event: interface.SiblingLoad) -> None:
        """Record how many slots of a worker another process of this dispatcher has taken or freed."""
        worker = self.workers.get(event.worker)
        if worker is not None:
            self.placement.record_sibling_load(worker, event.slots)
            self.placement.serve_queued()

    def on_job(self, job: interface.JobArrived) -> None:
        """Admit or reject a job. An admitted job is placed at once, or queued while workers are probed."""
        request = self.arrivals.create_request(job)
        self.requests.by_id[job.request] = request
        if self.arrivals.should_reject(job, request):
            self.requests.reject(request)
            return
        tenant = self.quotas.tenant_or_default(job.tenant)
        request.over_quota = self.quotas.spend(tenant)
        bucket, is_new = self.admission.get_or_add_bucket(tenant, job.class_index)
        if is_new:
            self.reports.announce_bucket()
        self.estimates.record_arrival(request.work)
        if not self.admission.admit(bucket, request.work * request.slots):
            self.requests.reject(request)
        elif self.probing.probe_for(request):
            self.placement.enqueue(request)
        else:
            self.placement.place(request)

    def on_outcome(self, event: interface.AttemptEnded) -> None:
        """Record the end of an attempt, retry or finish its request, and use the slot for a queued one."""
        found = self.requests.find_attempt(event.request, event.attempt)
        if found is None or not found[1].in_flight:
            return
        request, attempt = found
        attempt.in_flight, request.attempts_in_flight = False, request.attempts_in_flight - 1
        worker = attempt.worker
        worker.in_flight = max(0.0, worker.in_flight - request.slots)
        ended = self.outcomes.record(attempt, request, event)
        self.gossip.record(self.context.now, worker.key, ended, round(request.slots))
        self.membership.close_idle_connections(worker)
        attempt.never_ran = event.outcome in PROVEN_UNRUN
        attempt.withdrawal_pending = event.withdrawal_pending
        attempt.may_call_back = event.may_call_back
        if event.settled:
            request.answered = True
            self.requests.cancel_attempts(request)
        if request.answered:
            self.requests.end(request)
        elif request.attempts_in_flight == 0 and not request.queued:
            if event.outcome == AttemptOutcome.INVALID_REQUEST:
                self.requests.fail(request)  # no worker would accept it, now or later
            else:
                self.placement.retry(request)
        self.placement.serve_queued(freed_worker=worker)

    def on_attempt_released(self, event: interface.AttemptReleased) -> None:
        """Record that a worker holds a given-up attempt no more; a queued request may be sent to it again."""
        found = self.requests.find_attempt(event.request, event.attempt)
        if found is not None:
            found[1].withdrawal_pending = False
            self.placement.serve_queued()

    def on_progress(self, event: interface.ProgressNotice) -> None:
        """Record that a worker has reported the start or the progress of a job."""
        self.progress.record(event)

    def on_request_over(self, event: interface.ClientDisconnected | interface.StreamStarted) -> None:
        """End a request that needs no final answer any more; its attempts in flight still report outcomes."""
        if event.request in self.requests.by_id:
            self.requests.end(self.requests.by_id[event.request])

    def on_deadline_passed(self, event: interface.DeadlinePassed) -> None:
        """Give a request its final answer if it has none at its deadline."""
        request = self.requests.by_id.get(event.request)
        if request is not None and not request.answered:
            self.requests.finish(request)

    def on_peer_message(self, event: interface.PeerMessage) -> None:
        """Record a peer's report of its demand, or of its attempts on workers."""
        for entry in self.gossip.receive(self.context.now, event.peer, event.payload):
            if isinstance(entry, codec.DemandReport):
                self.limits.by_kind = {**dict(entry.limits), **self.limits.by_kind}
                continue
            worker = self.worker_table.by_key.get(entry.key)
            if worker is None:
                continue
            self.limits.note_in_flight(worker)
            self.outliers.record_peer_outcomes(worker, entry.failures, served=bool(entry.served))

    def on_process_stalled(self, event: interface.ProcessStalled) -> None:
        """Allow for a time in which this process itself did not run."""
        self.gossip.process_resumed(self.context.now)
        self.stalls.skip_own_stall(event.seconds)

    def on_probe_result(self, event: interface.ProbeResult) -> None:
        """Record the result of a probe, and serve queued requests after the last pending one."""
        if self.probing.record_result(event):
            self.placement.serve_queued()

    def on_timer(self, event: interface.TimerFired) -> None:
        """Send the report to peers, or do the housekeeping, and set the timer again."""
        actions = self.context.actions
        if event.token == REPORT_TIMER:
            self.reports.report()
            actions.append(interface.SetTimer(REPORT_TIMER, self.reports.next_interval_s()))
        elif event.token == TICK_TIMER:
            actions.append(interface.SetTimer(TICK_TIMER, self.context.tick_s))
            self._tick()

    def _tick(self) -> None:
        self.probing.forget_pending()
        elapsed_s = self.admission.refill()
        self.quotas.refill(elapsed_s, self.admission.demand_share)
        self.membership.fetch_if_due()
        if self.context.now - self.admission.adjusted_at >= CONTROL_INTERVAL_S:
            self.gossip.forget_silent_peers(self.context.now)
            self.admission.adjust_fleet_rate()
            self.limits.roll_minimum()
        self.placement.expire_queued()
        self.router.update_claim_probability(self.admission.send_rate)
        self.placement.serve_queued()
        self.hedging.hedge_stalled_attempts()

    HANDLERS: ClassVar[dict[type, Callable[..., None]]] = {
        interface.Start: on_start,
        interface.MembershipUpdate: on_membership,
        interface.MaintenanceMode: on_maintenance,
        interface.SiblingLoad: on_sibling_load,
        interface.JobArrived: on_job,
        interface.AttemptEnded: on_outcome,
        interface.AttemptReleased: on_attempt_released,
        interface.ProgressNotice: on_progress,
        interface.StreamStarted: on_request_over,
        interface.ClientDisconnected: on_request_over,
        interface.DeadlinePassed: on_deadline_passed,
        interface.PeerMessage: on_peer_message,
        interface.TimerFired: on_timer,
        interface.ProcessStalled: on_process_stalled,
        interface.ProbeResult: on_probe_result,
    }

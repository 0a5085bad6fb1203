"""The judge of a run: its rules, by what clients, workers, discovery and logs recorded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from ...membership.inventory import worker_number
from . import shim
from .clients import ANSWER_GRACE_S
from .record import FinishedRun, RunRecord
from .verdict import (
    ClientAttempt,
    Verdict,
    attempts_after_disconnect,
    describe_missing,
    ejections_logged,
    keys_run_twice,
    lease_violations,
    leases_without_acts,
    lost_in_shutdowns,
    missing_without_excuse,
    overstated_deadlines,
    served_share_of_attempts,
    served_share_of_jobs,
    wrongly_failed,
)

# Last events of a run that a verdict names where a rule was broken.
MAX_EVENTS = 12
# Examples of one broken rule that a verdict names.
MAX_EXAMPLES = 5
# Log lines of one process that could not be read, and that a verdict names.
MAX_UNREAD_LINES = 3
# Seconds from the last fault to the span in which service is judged.
SERVICE_JUDGED_AFTER_S = 0.5
# Seconds after the last return of a process in which the tenants' shares are judged.
TENANT_SHARES_JUDGED_S = 5.0
# Lease spans after the last fault, and a second, by which a lease has a holder again.
LEASE_HELD_WITHIN_SPANS = 3.0
LEASE_HELD_SLACK_S = 1.0
# Seconds after which what a silent watch misses counts as notified.
SILENT_WATCH_NOTICED_S = 6.0
# Seconds after a change in which discovery writes it to those that watch.
CHANGE_WRITTEN_S = 0.1
# Seconds in which sends to a draining worker have to stop, with the slack of the page.
DRAIN_GRACE_S = 0.45
# Seconds that a deadline may be overstated: 0.15 of the page, and what a busy machine adds to two writes.
DEADLINE_SLACK_S = 0.2
# Seconds after a client's disconnect in which an attempt may begin: 0.1 of the page, and the same.
DISCONNECT_GRACE_S = 0.15


def judge(run: FinishedRun) -> Verdict:
    """Return what a run came to, with the rules that it broke."""
    scenario, record = run.scenario, run.record
    for counts in run.topology.shim_counts:
        hits = shim.read_hits(counts)
        record.fault_hits.update({f"shim_{kind}": times for kind, times in hits.items()})
    counters, runs, ejections = _counters(run), _job_runs(run), _ejections(run)
    broken = [
        *_broken_by_requests(run, runs),
        *_broken_by_processes(run, counters, ejections),
        *_broken_by_shutdowns(run),
        *_broken_by_sends(run),
        *_broken_by_leases(run),
        *_nothing_shown(run),
    ]
    attempts, answered, acts = run.clients.attempts, run.clients.answered, record.lease_acts
    service = _judge_service(run)
    return Verdict(
        name=scenario.name,
        seed=scenario.seed,
        asked=len(attempts),
        ends=dict(sorted(Counter(attempt.outcome for attempt in attempts).items())),
        keys=len(answered),
        keys_unanswered=sum(not done for done in answered.values()),
        runs=runs.total(),
        ejected=dict(ejections),
        faults=dict(record.fault_hits),
        counters=dict(sorted(counters.items())),
        served_before=service.before_faults,
        served_after=service.after_faults,
        plain_after=service.plain_after_faults,
        first_share=service.within_quota_on_return,
        greedy_share=service.over_quota_on_return,
        acts=sum(act.accepted for act in acts),
        tenures=len({(act.lease, act.number) for act in acts}),
        stale=sum(not act.accepted for act in acts),
        orphans=record.orphaned_jobs,
        broken=broken,
        last=[*_own_stalls(record), *record.events[-MAX_EVENTS:]] if broken else [],
    )


def _own_stalls(record: RunRecord) -> Iterator[str]:
    """Say how often the rig itself stood still. Nothing is excused by that; it tells where to look first."""
    if record.own_stalls:
        longest_s = max(until - since for since, until in record.own_stalls)
        yield f"the rig itself stood still {len(record.own_stalls)} times, {longest_s:.2f} s at most"


@dataclass(frozen=True, slots=True)
class _Service:
    """Parts of the jobs that were served, round the faults."""

    before_faults: float
    after_faults: float
    plain_after_faults: float  # of the jobs without a key
    within_quota_on_return: float  # of the attempts after the last return of a process
    over_quota_on_return: float  # what the tenant beyond its quota got then, in quotas


def _judge_service(run: FinishedRun) -> _Service:
    scenario, record, attempts = run.scenario, run.record, run.clients.attempts
    first_fault = record.began_at + min((fault.at_s for fault in scenario.faults), default=scenario.seconds)
    judged_from = _last_fault_ended(run) + SERVICE_JUDGED_AFTER_S
    end = record.began_at + scenario.seconds + record.faults_late_s
    returned = max(
        (ended for process in run.topology.processes for _, ended in process.down_spans),
        default=record.began_at,
    )
    shares_until = returned + TENANT_SHARES_JUDGED_S
    within_quota = [attempt for attempt in attempts if attempt.tenant == "north"]
    over_quota = [
        attempt
        for attempt in attempts
        if attempt.tenant == "south" and returned <= attempt.sent_at < shares_until
    ]
    plain = [attempt for attempt in attempts if not attempt.key]
    return _Service(
        before_faults=served_share_of_jobs(attempts, record.began_at, first_fault),
        after_faults=served_share_of_jobs(attempts, judged_from, end),
        plain_after_faults=served_share_of_jobs(plain, judged_from, end),
        within_quota_on_return=served_share_of_attempts(within_quota, returned, shares_until),
        over_quota_on_return=sum(attempt.outcome == "200" for attempt in over_quota)
        / (TENANT_SHARES_JUDGED_S * scenario.quota_rps),
    )


def _counters(run: FinishedRun) -> Counter[str]:
    """Of all processes, over all their lives."""
    total: Counter[str] = Counter()
    for process in run.topology.processes:
        total.update(process.counters)
    return total


def _job_runs(run: FinishedRun) -> Counter[str]:
    """How often each job ran, by its key, or by its request where it has none."""
    total: Counter[str] = Counter()
    for worker in run.topology.workers:
        total.update(worker.runs)
    return total


def _ejections(run: FinishedRun) -> Counter[str]:
    """How often a dispatcher ejected a worker, by the worker's name. All of them are well."""
    names = {str(worker_number(worker.name)): worker.name for worker in run.topology.workers}
    total: Counter[str] = Counter()
    for process in run.topology.processes:
        total.update({names.get(n, n): times for n, times in ejections_logged(process.log_lines).items()})
    return total


def _last_fault_ended(run: FinishedRun) -> float:
    ends = (fault.at_s + fault.duration_s for fault in run.scenario.faults)
    return run.record.began_at + max(ends, default=0.0) + run.record.faults_late_s


def _broken_by_requests(run: FinishedRun, runs: Counter[str]) -> Iterator[str]:
    attempts = run.clients.attempts
    down_spans = [process.down_spans for process in run.topology.processes]
    unanswered = missing_without_excuse(attempts, down_spans, ANSWER_GRACE_S)
    for lost in islice((a for a in unanswered if not _shut_by_crowd(run, a)), MAX_EXAMPLES):
        yield describe_missing(lost, run.record.began_at, run.topology.has_reached_worker(lost.request_id))
    yield from wrongly_failed(attempts)[:MAX_EXAMPLES]
    once = [*run.clients.answered, *(a.request_id for a in attempts if a.job_class == "transfer")]
    for key in keys_run_twice({key: runs[key] for key in once}):
        yield f"key {key} ran {runs[key]} times"
    if not any(attempt.outcome == "200" for attempt in attempts):
        yield "nothing was served"


def _broken_by_processes(run: FinishedRun, counters: Counter[str], ejections: Counter[str]) -> Iterator[str]:
    if run.scenario.ejections_judged:
        for name, times in ejections.items():
            yield f"{name}, a healthy worker, was ejected {times} times"
    for status in run.record.exit_statuses:
        if status:
            yield f"a dispatcher ended with status {status}"
    for process in run.topology.processes:
        unread = [line["text"] for line in process.log_lines if line["event"] == "unread"]
        for text in unread[-MAX_UNREAD_LINES:]:
            yield f"dispatcher {process.number} said: {text}"
    for name, count in counters.items():
        if name == "task_failed" or name.startswith(("broken_", "invariant_violations_")):
            yield f"{name}: {count}"


def _broken_by_shutdowns(run: FinishedRun) -> Iterator[str]:
    shutdowns = run.record.shutdowns
    for shutdown in shutdowns:
        if shutdown.status and not shutdown.killed:
            yield f"dispatcher {shutdown.process} ended with status {shutdown.status} after SIGTERM"
    lost = lost_in_shutdowns(run.clients.attempts, shutdowns, lambda attempt: _shut_by_crowd(run, attempt))
    yield from lost[:MAX_EXAMPLES]


def _shut_by_crowd(run: FinishedRun, attempt: ClientAttempt) -> bool:
    """Whether a crowd may have had its connection shut unread; what came to a worker had been read."""
    spans = run.record.crowded_spans.get(attempt.dispatcher, [])
    met = any(begun <= attempt.ended_at and attempt.sent_at <= ended for begun, ended in spans)
    return met and not run.topology.has_reached_worker(attempt.request_id)


def _broken_by_sends(run: FinishedRun) -> list[str]:
    deadlines = [deadline for worker in run.topology.workers for deadline in worker.deadlines]
    overstatements = overstated_deadlines(run.clients.attempts, deadlines, DEADLINE_SLACK_S)
    for_nobody = attempts_after_disconnect(run.clients.attempts, deadlines, DISCONNECT_GRACE_S)
    return [*_sent_to_draining(run), *overstatements[:MAX_EXAMPLES], *for_nobody[:MAX_EXAMPLES]]


def _broken_by_leases(run: FinishedRun) -> Iterator[str]:
    yield from lease_violations(run.record.lease_acts)
    since = _last_fault_ended(run)
    until = since + LEASE_HELD_WITHIN_SPANS * run.scenario.lease_span_s + LEASE_HELD_SLACK_S
    yield from leases_without_acts(run.lease_names, run.record.lease_acts, since, until)


def _nothing_shown(run: FinishedRun) -> Iterator[str]:
    """Find faults that hit nothing: such a run has shown nothing."""
    scenario = run.scenario
    if scenario.faults and not run.record.fault_hits.total():
        yield "no fault hit anything"
    planned = scenario.faults[: len(scenario.faults) - scenario.drawn_faults]
    for kind in sorted({fault.kind for fault in planned}):
        if scenario.every_fault_hits and not run.record.fault_hits[kind]:
            yield f"the fault {kind} hit nothing"


# ---- sends to draining workers -----------------------------------------------------------------------------


def _notified_at(run: FinishedRun, number: int, changed_at: float) -> float:
    """Return when a dispatcher counts as notified of a change of the list.

    That is at once, unless something kept the notice from it then; else 6 s after the change, whatever it
    knew before, or after discovery is back. Where an agent has the list, what the agent has counts for a
    process from its first moment on.
    """
    outages = run.record.discovery_outages.get(number, [])
    down = run.topology.processes[number].down_spans
    silent_before = [at for at in run.record.silent_from.get(number, []) if at <= changed_at]
    if silent_before:
        return max(changed_at, max(silent_before) + SILENT_WATCH_NOTICED_S)
    if run.scenario.pushed_membership:
        fetched_at = max([changed_at, *(ended for start, ended in outages if start <= changed_at < ended)])
        return max([fetched_at, *(ended for start, ended in down if start <= fetched_at < ended)])
    reachable_at = changed_at
    # What a watch could not tell whole takes the whole list, so that discovery has to give that.
    for start, ended in sorted([*outages, *run.record.unreadable_spans.get(number, [])]):
        if start < reachable_at + SILENT_WATCH_NOTICED_S and ended > reachable_at:
            reachable_at = ended
    spans = [*outages, *down, *run.record.spoilt_spans.get(number, [])]
    kept_away = any(start <= changed_at + CHANGE_WRITTEN_S < ended for start, ended in spans)
    # What it learned before it ended is lost.
    kept_away |= any(changed_at < ended for _, ended in down)
    return reachable_at + SILENT_WATCH_NOTICED_S if kept_away else changed_at


def _sent_to_draining(run: FinishedRun) -> list[str]:
    """Find jobs that came to a draining worker too late, counted until the worker was put back."""
    found = []
    for process in run.topology.processes:
        for drain in run.record.drains:
            if not drain.concerns(process.number):
                continue
            notified_at = _notified_at(run, process.number, drain.began_at)
            late = [
                at - notified_at - DRAIN_GRACE_S
                for at, port in drain.worker.arrivals
                if port == process.port and notified_at + DRAIN_GRACE_S < at < drain.ended_at
            ]
            if late:
                found.append(
                    f"dispatcher {process.number} sent to {drain.worker.name}, {late[-1]:.2f} s too late"
                )
    return found

"""Judges a run by its rules, from what clients, workers, discovery and logs recorded."""

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
    MB_BYTES,
    TIME_OUT_PASSED,
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
    over_memory_limit,
    overstated_deadlines,
    served_share_of_attempts,
    served_share_of_jobs,
    wrongly_failed,
)

# Most events that a verdict lists when a rule was broken: the last ones of the run.
MAX_EVENTS = 12
# Most examples of one broken rule that a verdict lists.
MAX_EXAMPLES = 5
# Most unparsable log lines of one process that a verdict lists.
MAX_UNREAD_LINES = 3
# Seconds from the end of the last fault to the span in which service is judged.
SERVICE_JUDGED_AFTER_S = 0.5
# Seconds after the last restart of a process in which the tenants' shares are judged.
TENANT_SHARES_JUDGED_S = 5.0
# A lease must have a holder again within this many lease spans after the last fault ...
LEASE_HELD_WITHIN_SPANS = 3.0
# ... and this many seconds.
LEASE_HELD_SLACK_S = 1.0
# Seconds after which a dispatcher counts as notified of a change that a silent watch did not report.
SILENT_WATCH_NOTICED_S = 6.0
# Seconds after a change within which discovery writes it to open watches.
CHANGE_WRITTEN_S = 0.1
# Seconds within which sends to a draining worker must stop, including the slack of the specification.
DRAIN_GRACE_S = 0.45
# Seconds by which a deadline may be overstated: 0.15 by the specification, the rest for two writes on a busy
# machine.
DEADLINE_SLACK_S = 0.2
# Seconds after a client's disconnect in which an attempt may begin: 0.1 by the specification, the rest for
# two writes on a busy machine.
DISCONNECT_GRACE_S = 0.15


def judge(run: FinishedRun) -> Verdict:
    """Return the verdict on a finished run: its figures, and the rules that it broke."""
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
        *over_memory_limit(run.peak_memory_bytes, run.scenario.memory_mb),
        *_faults_without_hits(run),
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
        peak_memory_mb=round(max(run.peak_memory_bytes.values(), default=0) / MB_BYTES, 1),
        orphans=record.orphaned_jobs,
        broken=broken,
        last=[*_own_stalls(record), *record.events[-MAX_EVENTS:]] if broken else [],
    )


def _own_stalls(record: RunRecord) -> Iterator[str]:
    """Report how often and for how long the rig's own process stood still.

    A stall excuses no broken rule, but it is the first cause to look at.
    """
    if record.own_stalls:
        longest_s = max(until - since for since, until in record.own_stalls)
        yield f"the rig itself stood still {len(record.own_stalls)} times, {longest_s:.2f} s at most"


@dataclass(frozen=True, slots=True)
class _Service:
    """Shares of the jobs served before and after the faults, as parts of 1 unless said otherwise."""

    before_faults: float
    after_faults: float
    plain_after_faults: float  # of the jobs without a key
    within_quota_on_return: float  # of the attempts after the last restart of a process
    over_quota_on_return: float  # service that the tenant over its quota got then, in multiples of its quota


def _judge_service(run: FinishedRun) -> _Service:
    """Compute the shares of jobs that were served."""
    scenario, record, attempts = run.scenario, run.record, run.clients.attempts
    first_fault = record.began_at + min((fault.at_s for fault in scenario.faults), default=scenario.seconds)
    judged_from = _last_fault_ended(run) + SERVICE_JUDGED_AFTER_S
    end = record.began_at + scenario.seconds + record.faults_late_s
    last_restart = max(
        (ended for process in run.topology.processes for _, ended in process.down_spans),
        default=record.began_at,
    )
    shares_until = last_restart + TENANT_SHARES_JUDGED_S
    within_quota = [attempt for attempt in attempts if attempt.tenant == "north"]
    over_quota = [
        attempt
        for attempt in attempts
        if attempt.tenant == "south" and last_restart <= attempt.sent_at < shares_until
    ]
    without_key = [attempt for attempt in attempts if not attempt.key]
    return _Service(
        before_faults=served_share_of_jobs(attempts, record.began_at, first_fault),
        after_faults=served_share_of_jobs(attempts, judged_from, end),
        plain_after_faults=served_share_of_jobs(without_key, judged_from, end),
        within_quota_on_return=served_share_of_attempts(within_quota, last_restart, shares_until),
        over_quota_on_return=sum(attempt.outcome == "200" for attempt in over_quota)
        / (TENANT_SHARES_JUDGED_S * scenario.quota_rps),
    )


def _counters(run: FinishedRun) -> Counter[str]:
    """Return the counters of all dispatchers, summed over all their incarnations."""
    total: Counter[str] = Counter()
    for process in run.topology.processes:
        total.update(process.counters)
    return total


def _job_runs(run: FinishedRun) -> Counter[str]:
    """Return how often each job ran, by its key, or by its request id if it has no key."""
    total: Counter[str] = Counter()
    for worker in run.topology.workers:
        total.update(worker.runs)
    return total


def _ejections(run: FinishedRun) -> Counter[str]:
    """Return how often dispatchers ejected each worker, by the worker's name. All workers are healthy."""
    names = {str(worker_number(worker.name)): worker.name for worker in run.topology.workers}
    total: Counter[str] = Counter()
    for process in run.topology.processes:
        total.update({names.get(n, n): times for n, times in ejections_logged(process.log_lines).items()})
    return total


def _last_fault_ended(run: FinishedRun) -> float:
    """Return when the last fault ended, by the rig's clock."""
    ends = (fault.at_s + fault.duration_s for fault in run.scenario.faults)
    return run.record.began_at + max(ends, default=0.0) + run.record.faults_late_s


def _broken_by_requests(run: FinishedRun, runs: Counter[str]) -> Iterator[str]:
    """Find attempts without an answer, wrong answers and jobs that ran twice."""
    attempts = run.clients.attempts
    down_spans = [process.down_spans for process in run.topology.processes]
    unanswered = missing_without_excuse(attempts, down_spans, ANSWER_GRACE_S)
    for lost in islice((a for a in unanswered if not _may_be_closed_by_crowd(run, a)), MAX_EXAMPLES):
        yield describe_missing(lost, run.record.began_at, run.topology.has_reached_worker(lost.request_id))
    yield from wrongly_failed(attempts)[:MAX_EXAMPLES]
    run_at_most_once = [*run.clients.answered, *(a.request_id for a in attempts if a.job_class == "transfer")]
    for key in keys_run_twice({key: runs[key] for key in run_at_most_once}):
        yield f"key {key} ran {runs[key]} times"
    if not any(attempt.outcome == "200" for attempt in attempts):
        yield "nothing was served"


def _broken_by_processes(run: FinishedRun, counters: Counter[str], ejections: Counter[str]) -> Iterator[str]:
    """Find wrong ejections, exit statuses, unparsable log lines and counters of internal faults."""
    if run.scenario.ejections_judged:
        for name, times in ejections.items():
            yield f"{name}, a healthy worker, was ejected {times} times"
    for status in run.record.exit_statuses:
        if status:
            yield f"a dispatcher ended with status {status}"
    for process in run.topology.processes:
        unread = [line["text"] for line in process.log_lines if line["event"] == "unread"]
        for text in unread[-MAX_UNREAD_LINES:]:
            yield f"dispatcher {process.number} logged a line that is not JSON: {text}"
    for name, count in counters.items():
        if name == "task_failed" or name.startswith(("broken_", "invariant_violations_")):
            yield f"{name}: {count}"
    for process in run.topology.processes:
        for line in process.log_lines:
            if line["event"] == "task_failed":
                failure = f"{line.get('task')}: {line.get('error')} ({line.get('at')})"
                yield f"dispatcher {process.number} had a failed task, {failure}"


def _broken_by_shutdowns(run: FinishedRun) -> Iterator[str]:
    """Find planned shutdowns with a wrong exit status or with attempts that were never answered."""
    shutdowns = run.record.shutdowns
    for shutdown in shutdowns:
        if shutdown.status and not shutdown.killed:
            yield f"dispatcher {shutdown.process} ended with status {shutdown.status} after SIGTERM"
    lost = lost_in_shutdowns(
        run.clients.attempts, shutdowns, lambda attempt: _may_be_closed_by_crowd(run, attempt)
    )
    yield from lost[:MAX_EXAMPLES]


def _may_be_closed_by_crowd(run: FinishedRun, attempt: ClientAttempt) -> bool:
    """Return whether the dispatcher may have closed the attempt's connection unread, to make room.

    That happens while a crowd of clients holds connections. A request that reached a worker had been read,
    and one whose client waited until its time-out had not been closed: it was kept out.
    """
    if attempt.missing_why == TIME_OUT_PASSED:
        return False
    spans = run.record.crowded_spans.get(attempt.dispatcher, [])
    overlaps = any(begun <= attempt.ended_at and attempt.sent_at <= ended for begun, ended in spans)
    return overlaps and not run.topology.has_reached_worker(attempt.request_id)


def _broken_by_sends(run: FinishedRun) -> list[str]:
    """Find sends to draining workers, with overstated deadlines, after a disconnect, or beside another."""
    deadlines = [deadline for worker in run.topology.workers for deadline in worker.deadlines]
    overstatements = overstated_deadlines(run.clients.attempts, deadlines, DEADLINE_SLACK_S)
    after_disconnect = attempts_after_disconnect(run.clients.attempts, deadlines, DISCONNECT_GRACE_S)
    second_attempts = [
        f"{worker.name} got a second attempt of {request} while it had the first"
        for worker in run.topology.workers
        for request in worker.second_attempts
    ]
    return [
        *_sent_to_draining(run),
        *overstatements[:MAX_EXAMPLES],
        *after_disconnect[:MAX_EXAMPLES],
        *second_attempts[:MAX_EXAMPLES],
    ]


def _broken_by_leases(run: FinishedRun) -> Iterator[str]:
    """Find overlapping tenures, and leases that were not held again in time after the last fault."""
    yield from lease_violations(run.record.lease_acts)
    since = _last_fault_ended(run)
    until = since + LEASE_HELD_WITHIN_SPANS * run.scenario.lease_span_s + LEASE_HELD_SLACK_S
    yield from leases_without_acts(run.lease_names, run.record.lease_acts, since, until)


def _faults_without_hits(run: FinishedRun) -> Iterator[str]:
    """Find faults that hit nothing. Such a run proves nothing about them, so this breaks a rule."""
    scenario = run.scenario
    if scenario.faults and not run.record.fault_hits.total():
        yield "no fault hit anything"
    planned = scenario.faults[: len(scenario.faults) - scenario.drawn_faults]
    for kind in sorted({fault.kind for fault in planned}):
        if scenario.every_fault_hits and not run.record.fault_hits[kind]:
            yield f"the fault {kind} hit nothing"


# ---- sends to draining workers -----------------------------------------------------------------------------


def _notified_at(run: FinishedRun, number: int, changed_at: float) -> float:
    """Return when a dispatcher counts as notified of a change of the list, by the rig's clock.

    That is at once, unless something kept the notice from the dispatcher. Then it is 6 s after the change,
    after its watch fell silent or after discovery is back, whatever the dispatcher knew before. With pushed
    membership, it is as soon as its agent has the change, or as soon as the process is up again.
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
    # A change that the watch could not report in full needs a read of the whole list, which discovery must
    # answer.
    for start, ended in sorted([*outages, *run.record.unreadable_spans.get(number, [])]):
        if start < reachable_at + SILENT_WATCH_NOTICED_S and ended > reachable_at:
            reachable_at = ended
    spans = [*outages, *down, *run.record.spoilt_spans.get(number, [])]
    missed = any(start <= changed_at + CHANGE_WRITTEN_S < ended for start, ended in spans)
    # A process that ended after the change has lost the notice.
    missed |= any(changed_at < ended for _, ended in down)
    return reachable_at + SILENT_WATCH_NOTICED_S if missed else changed_at


def _sent_to_draining(run: FinishedRun) -> list[str]:
    """Find jobs that reached a draining worker too late, but before it was set back to Ready."""
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

"""The judge of a run: its rules, by what clients, workers, discovery and logs recorded."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from itertools import islice
from typing import TYPE_CHECKING

from ...membership.inventory import worker_number
from . import shim
from .clients import ANSWER_GRACE_S
from .verdict import (
    Verdict,
    attempts_after_disconnect,
    ejections_logged,
    keys_run_twice,
    lease_violations,
    missing_without_excuse,
    overstated_deadlines,
    served_share_of_attempts,
    served_share_of_jobs,
)

if TYPE_CHECKING:
    from .runner import ScenarioRun

EVENTS_TOLD = 12  # last events of a run, where a rule was broken
EXAMPLES = 5  # of one broken rule that are told
SERVICE_JUDGED_AFTER_S = 0.5  # from the last fault
FIRST_SHARES_S = 5.0  # after the last fault, in which who gets what is judged
LEASE_HELD_AGAIN = 3.0  # spans after the last fault, and a second, by which a lease has a holder again
SILENT_TOLD_S = 6.0  # after which what a silent watch misses counts as notified
WRITTEN_S = 0.1  # after a change, in which discovery writes it to those that watch
DRAIN_GRACE_S = 0.45  # in which sends to a leaving worker have to stop, with the slack of the page
DEADLINE_SLACK_S = 0.4  # 0.15 of the page, and what the stand-ins' own loop may be late
CLIENT_GRACE_S = 0.5  # 0.1 of the page, and the same


def _notified_at(run: ScenarioRun, number: int, began: float) -> float:
    """When a dispatcher counts as notified of a change made at `began`: at once, unless something kept
    the word from it then; else 6 s after the change, whatever it knew before, or after discovery is back.
    Where an agent has the list, what the agent has counts for a process from its first moment on.
    """
    away, stood = run.away.get(number, []), run.processes[number].down_spans
    silent = run.silent.get(number, math.inf)
    if began >= silent:
        return max(began, silent + SILENT_TOLD_S)
    if run.scenario.pushed_membership:
        kept = max([began, *(ended for start, ended in away if start <= began < ended)])
        return max([kept, *(ended for start, ended in stood if start <= kept < ended)])
    reachable = began
    for start, ended in sorted(away):
        if start < reachable + SILENT_TOLD_S and ended > reachable:
            reachable = ended
    spans = [*away, *stood, *run.spoilt.get(number, [])]
    kept_from = any(start <= began + WRITTEN_S < ended for start, ended in spans)
    kept_from |= any(began < ended for _, ended in stood)  # what it heard before it ended is gone
    return reachable + SILENT_TOLD_S if kept_from else began


def _sent_to_leaving(run: ScenarioRun) -> list[str]:
    """Jobs that came to a box later than its dispatcher has after it counts as notified, and until the
    box was put back.
    """
    found = []
    for process in run.processes:
        for worker, began, ended in run.drains:
            told = _notified_at(run, process.number, began)
            late = [
                at - told - DRAIN_GRACE_S
                for at, port in worker.arrivals
                if port == process.port and told + DRAIN_GRACE_S < at < ended
            ]
            if late:
                found.append(f"dispatcher {process.number} sent to {worker.name}, {late[-1]:.2f} s too late")
    return found


def judged(run: ScenarioRun) -> Verdict:
    """What the run came to, once it is over."""
    scenario, tries, answered = run.scenario, run.clients.attempts, run.clients.answered
    for counts in run.shim_counts:
        run.hits.update({f"shim_{kind}": times for kind, times in shim.read_hits(counts).items()})
    counters, runs, ejections = _counters(run), _runs(run), _ejections(run)
    broken = [
        *_broken_by_requests(run, runs),
        *_broken_by_processes(run, counters, ejections),
        *_broken_by_sends(run),
        *_broken_by_leases(run),
        *_nothing_shown(run),
    ]
    first_fault = run.began + min((fault.at_s for fault in scenario.faults), default=scenario.seconds)
    judged_from = _last_fault_ended(run) + SERVICE_JUDGED_AFTER_S
    end = run.began + scenario.seconds + run.late_by_s
    back = max((ended for process in run.processes for _, ended in process.down_spans), default=run.began)
    within = [t for t in tries if t.tenant == "north"]
    greedy = [t for t in tries if t.tenant == "south" and back <= t.sent_at < back + FIRST_SHARES_S]
    return Verdict(
        name=scenario.name,
        seed=scenario.seed,
        asked=len(tries),
        ends=dict(sorted(Counter(t.outcome for t in tries).items())),
        keys=len(answered),
        keys_unanswered=sum(not done for done in answered.values()),
        runs=runs.total(),
        benched=dict(ejections),
        faults=dict(run.hits),
        counters=dict(sorted(counters.items())),
        served_before=served_share_of_jobs(tries, run.began, first_fault),
        served_after=served_share_of_jobs(tries, judged_from, end),
        plain_after=served_share_of_jobs([t for t in tries if not t.key], judged_from, end),
        first_share=served_share_of_attempts(within, back, back + FIRST_SHARES_S),
        greedy_share=sum(t.outcome == "200" for t in greedy) / (FIRST_SHARES_S * scenario.quota_rps),
        acts=sum(act.accepted for act in run.acts),
        tenures=len({(act.lease, act.number) for act in run.acts}),
        stale=sum(not act.accepted for act in run.acts),
        orphans=run.orphans,
        broken=broken,
        last=run.events[-EVENTS_TOLD:] if broken else [],
    )


def _counters(run: ScenarioRun) -> Counter[str]:
    """Of all processes, over all their lives."""
    total: Counter[str] = Counter()
    for process in run.processes:
        total.update(process.counters)
    return total


def _runs(run: ScenarioRun) -> Counter[str]:
    """How often each job ran, by its key, or by its request where it has none."""
    total: Counter[str] = Counter()
    for worker in run.boxes:
        total.update(worker.runs)
    return total


def _ejections(run: ScenarioRun) -> Counter[str]:
    """How often a dispatcher ejected a worker, by the worker's name. All of them are well."""
    names = {str(worker_number(worker.name)): worker.name for worker in run.boxes}
    total: Counter[str] = Counter()
    for process in run.processes:
        total.update({names.get(n, n): times for n, times in ejections_logged(process.log_lines).items()})
    return total


def _last_fault_ended(run: ScenarioRun) -> float:
    ends = (fault.at_s + fault.duration_s for fault in run.scenario.faults)
    return run.began + max(ends, default=0.0) + run.late_by_s


def _broken_by_requests(run: ScenarioRun, runs: Counter[str]) -> Iterator[str]:
    tries = run.clients.attempts
    for lost in islice(
        missing_without_excuse(tries, [process.down_spans for process in run.processes], ANSWER_GRACE_S),
        EXAMPLES,
    ):
        yield f"no answer from dispatcher {lost.dispatcher} to a {lost.job_class}"
    once = [*run.clients.answered, *(t.request_id for t in tries if t.job_class == "transfer")]
    for key in keys_run_twice({key: runs[key] for key in once}):
        yield f"key {key} ran {runs[key]} times"
    if not any(t.outcome == "200" for t in tries):
        yield "nothing was served"


def _broken_by_processes(run: ScenarioRun, counters: Counter[str], ejections: Counter[str]) -> Iterator[str]:
    if run.scenario.ejections_judged:
        for name, times in ejections.items():
            yield f"{name}, a healthy box, was benched {times} times"
    for status in run.statuses:
        if status:
            yield f"a dispatcher ended with status {status}"
    for process in run.processes:
        unread = [line["text"] for line in process.log_lines if line["event"] == "unread"]
        for text in unread[-3:]:
            yield f"dispatcher {process.number} said: {text}"
    for name, count in counters.items():
        if name == "task_failed" or name.startswith(("broken_", "invariant_violations_")):
            yield f"{name}: {count}"


def _broken_by_sends(run: ScenarioRun) -> list[str]:
    given = [deadline for worker in run.boxes for deadline in worker.deadlines]
    overstatements = overstated_deadlines(run.clients.attempts, given, DEADLINE_SLACK_S)
    for_nobody = attempts_after_disconnect(run.clients.attempts, given, CLIENT_GRACE_S)
    return [*_sent_to_leaving(run), *overstatements[:EXAMPLES], *for_nobody[:EXAMPLES]]


def _broken_by_leases(run: ScenarioRun) -> Iterator[str]:
    yield from lease_violations(run.acts)
    since = _last_fault_ended(run)
    until = since + LEASE_HELD_AGAIN * run.scenario.lease_span_s + 1
    for lease in run.leases:
        if not any(since < act.begin <= until for act in run.acts if act.lease == lease):
            yield f"nobody acted under lease {lease} in time after the last fault"


def _nothing_shown(run: ScenarioRun) -> Iterator[str]:
    """A run in which the faults hit nothing has shown nothing."""
    scenario = run.scenario
    if scenario.faults and not run.hits.total():
        yield "no fault hit anything"
    planned = scenario.faults[: len(scenario.faults) - scenario.drawn_faults]
    for kind in sorted({fault.kind for fault in planned}):
        if scenario.every_fault_hits and not run.hits[kind]:
            yield f"the fault {kind} hit nothing"

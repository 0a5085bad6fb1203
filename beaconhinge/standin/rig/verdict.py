"""The verdict on a scenario, and the checks of what clients, workers and logs recorded. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

import msgspec

from ..workers import ReceivedDeadline
from .process import Shutdown

TimeSpan = tuple[float, float]

# The class of the rig's jobs that may be retried without a key.
RETRYABLE_CLASS = "render"
# The status that reports a job as failed though it may have run.
FAILED = "502"
MB_BYTES = 1024 * 1024
# Why an attempt has no answer, if its connection stayed open.
TIME_OUT_PASSED = "the client's time-out passed"


class ClientAttempt(msgspec.Struct):
    """One attempt of a client at one dispatcher. Times are seconds by the rig's clock.

    `outcome` is the answer's status, or `missing` (no answer in time), `left` (the client disconnected before
    the answer) or `nobody` (the front found no dispatcher). `disconnected_at` is 0 unless the client
    disconnected before the answer. `missing_why` says why there is no answer.
    """

    key: str
    job_class: str
    dispatcher: int
    sent_at: float
    ended_at: float = 0.0
    outcome: str = ""
    tenant: str = ""
    request_id: str = ""
    timeout_s: float = 0.0
    disconnected_at: float = 0.0
    missing_why: str = ""


class Act(msgspec.Struct):
    """One act under a lease, as the resource recorded it, in seconds by the resource's clock.

    `number` is that of the lease's tenure. `accepted` is False if the resource refused the act.
    """

    lease: str
    number: int
    begin: float
    end: float
    accepted: bool = True


class Verdict(msgspec.Struct):
    """The result of a run. The fields are the keys of its JSON, but for `ejected`, which is `benched` there.

    Attributes:
        name: Name of the scenario.
        seed: Seed of the scenario.
        asked: Number of attempts that clients made.
        ends: Number of attempts by outcome.
        keys: Number of jobs with a key.
        keys_unanswered: Number of those for which no attempt returned a result.
        runs: Number of job runs on all workers.
        ejected: How often dispatchers ejected a healthy worker, by the worker's name.
        faults: Number of hits by kind of fault.
        counters: Counters of all dispatchers, summed over all their incarnations.
        served_before: Share of the jobs first sent before the first fault that were served.
        served_after: The same share for jobs first sent after the last fault.
        plain_after: The same as `served_after` for the jobs without a key, which are sent once.
        first_share: Share of the attempts within quota that were served in the 5 s after the last restart of
            a process.
        greedy_share: Service that the tenant over its quota got in that time, in multiples of its quota.
        acts: Number of accepted acts under leases.
        tenures: Number of tenures that acts were made under.
        stale: Number of acts that the resource refused for their tenure's number.
        peak_memory_mb: The most memory that a dispatcher had, in megabytes.
        orphans: Jobs without a key of killed processes that workers still ran 2 s after the restart.
        broken: Broken rules, as texts. A run that served nothing or a fault that hit nothing breaks one too.
        last: The last events of the run, if a rule was broken.
    """

    name: str
    seed: int
    asked: int
    ends: dict[str, int]
    keys: int
    keys_unanswered: int
    runs: int
    ejected: dict[str, int] = msgspec.field(name="benched")
    faults: dict[str, int]
    counters: dict[str, int]
    served_before: float
    served_after: float
    plain_after: float
    first_share: float
    greedy_share: float
    acts: int
    tenures: int
    stale: int
    peak_memory_mb: float
    orphans: int
    broken: list[str]
    last: list[str]

    @property
    def well(self) -> bool:
        """True if no rule was broken."""
        return not self.broken


def ejections_logged(lines: Iterable[Mapping[str, Any]]) -> Counter[str]:
    """Count the ejections that a dispatcher's log reports, by the worker's number."""
    return Counter(
        str(line["text"]).split()[1]
        for line in lines
        if line.get("event") == "policy" and " ejected" in str(line.get("text"))
    )


def missing_without_excuse(
    attempts: Iterable[ClientAttempt], down_spans: Sequence[Sequence[TimeSpan]], grace: float
) -> list[ClientAttempt]:
    """Return the attempts without a final answer whose dispatcher ran all the time.

    A connection that waited to be accepted while a process was paused may be served late, so each down span
    is widened by `grace` seconds at both ends.
    """
    return [
        attempt
        for attempt in attempts
        if attempt.outcome == "missing"
        and not any(
            begun - grace <= attempt.ended_at and attempt.sent_at <= ended + grace
            for begun, ended in down_spans[attempt.dispatcher]
        )
    ]


def describe_missing(attempt: ClientAttempt, began_at: float, reached_worker: bool) -> str:
    """Return a text that names an attempt without an answer, when it was sent and how it ended.

    Args:
        attempt: The attempt.
        began_at: When the run began, in seconds by the rig's clock.
        reached_worker: Whether a worker received the request.
    """
    waited_s = attempt.ended_at - attempt.sent_at
    return (
        f"no answer from dispatcher {attempt.dispatcher} to a {attempt.job_class}: "
        f"{attempt.request_id} sent at {attempt.sent_at - began_at:.2f} s, "
        f"ended after {waited_s:.2f} of {attempt.timeout_s:.2f} s ({attempt.missing_why or 'unknown'}), "
        f"{'received' if reached_worker else 'not received'} by a worker"
    )


def wrongly_failed(attempts: Iterable[ClientAttempt]) -> list[str]:
    """Find retryable jobs that were answered as failed, which is wrong even if they may have run.

    The right final answer without a result is a rejection. The stand-ins answer none of these jobs with a
    client error.
    """
    return [
        f"dispatcher {attempt.dispatcher} answered {attempt.request_id}, a {attempt.job_class} that may be "
        f"retried, with {attempt.outcome}"
        for attempt in attempts
        if attempt.job_class == RETRYABLE_CLASS and attempt.outcome == FAILED
    ]


def lost_in_shutdowns(
    attempts: Iterable[ClientAttempt],
    shutdowns: Sequence[Shutdown],
    excuse: Callable[[ClientAttempt], bool],
) -> list[str]:
    """Find attempts that a process received during a planned shutdown and never answered.

    A process must answer what it accepts before SIGKILL, which is sent no sooner than the longest deadline
    and 0.7 s after SIGTERM. Attempts at a process that was paused meanwhile are not counted, nor those that
    `excuse` accepts.
    """
    found = []
    for shutdown in shutdowns:
        lost = [
            attempt
            for attempt in attempts
            if attempt.outcome == "missing"
            and attempt.dispatcher == shutdown.process
            and shutdown.term_at < attempt.ended_at
            and attempt.sent_at < shutdown.ended_at
            and not shutdown.paused
            and not excuse(attempt)
        ]
        found += [
            f"dispatcher {shutdown.process} lost a {attempt.job_class} that was sent "
            f"{attempt.sent_at - shutdown.term_at:.2f} s after SIGTERM"
            f"{', and was ended by SIGKILL' if shutdown.killed else ''}"
            for attempt in lost
        ]
    return found


def lease_violations(acts: Iterable[Act]) -> list[str]:
    """Find accepted acts of two tenures that overlap, and tenure numbers accepted after greater ones."""
    found, last = list[str](), dict[str, Act]()
    for act in sorted((act for act in acts if act.accepted), key=lambda act: act.begin):
        before = last.get(act.lease, act)
        if before.number != act.number and act.begin < before.end:
            found.append(
                f"acts under {before.number} and {act.number} of lease {act.lease} overlap by "
                f"{before.end - act.begin:.3f} s"
            )
        if act.number < before.number:
            found.append(f"lease {act.lease}: {act.number} was accepted after {before.number}")
        last[act.lease] = max(before, act, key=lambda act: act.end)
    return found


def leases_without_acts(
    leases: Iterable[str], acts: Sequence[Act], since: float, until: float
) -> Iterator[str]:
    """Find leases under which no act began between `since` and `until`.

    Each text gives the acts nearest to `since`. They distinguish a lease that got its holder late from a
    lease without a holder, and from a holder that cannot act.
    """
    for lease in leases:
        of_lease = [act for act in acts if act.lease == lease]
        if any(since < act.begin <= until for act in of_lease):
            continue
        before = max((act.end - since for act in of_lease if act.begin <= since), default=None)
        after = min((act.begin - since for act in of_lease if act.begin > since), default=None)
        yield (
            f"nobody acted under lease {lease} in time after the last fault: "
            f"{'none before it' if before is None else f'the last before it ended at {before:+.2f} s'}, "
            f"{'none after it' if after is None else f'the next began at {after:+.2f} s'}"
        )


def overstated_deadlines(
    attempts: Iterable[ClientAttempt], deadlines: Iterable[ReceivedDeadline], slack: float
) -> list[str]:
    """Find attempts that gave a worker over `slack` seconds more than their client still waited."""
    ends = {attempt.request_id: attempt.sent_at + attempt.timeout_s for attempt in attempts}
    overstatements = [
        (deadline.request_id, deadline.received_at + deadline.time_left_s - ends[deadline.request_id])
        for deadline in deadlines
        if deadline.request_id in ends
    ]
    return [
        f"request {request}: a worker's deadline was {seconds:.2f} s later than its client's"
        for request, seconds in overstatements
        if seconds > slack
    ]


def attempts_after_disconnect(
    attempts: Iterable[ClientAttempt], deadlines: Iterable[ReceivedDeadline], grace: float
) -> list[str]:
    """Find attempts that reached a worker more than `grace` seconds after their client's disconnect."""
    disconnected = {
        attempt.request_id: attempt.disconnected_at for attempt in attempts if attempt.disconnected_at
    }
    delays = [
        (deadline.request_id, deadline.received_at - disconnected[deadline.request_id])
        for deadline in deadlines
        if deadline.request_id in disconnected
    ]
    return [
        f"request {request}: an attempt began {seconds:.2f} s after its client's disconnect"
        for request, seconds in delays
        if seconds > grace
    ]


def over_memory_limit(peak_bytes: Mapping[int, int], limit_mb: int) -> list[str]:
    """Find dispatchers that had more memory than the platform allows; it would have killed them."""
    return [
        f"dispatcher {number} had {memory_bytes / MB_BYTES:.0f} MB of memory, its limit being {limit_mb} MB"
        for number, memory_bytes in sorted(peak_bytes.items())
        if memory_bytes > limit_mb * MB_BYTES
    ]


def keys_run_twice(runs: Mapping[str, int]) -> list[str]:
    """Return the keys that ran more than once, sorted."""
    return sorted(key for key, times in runs.items() if times > 1)


def served_share_of_attempts(attempts: Sequence[ClientAttempt], since: float, until: float) -> float:
    """Return the share of the attempts sent from `since` to `until` that were served; 0 if there are none."""
    within = [attempt for attempt in attempts if since <= attempt.sent_at < until]
    return sum(attempt.outcome == "200" for attempt in within) / max(1, len(within))


def served_share_of_jobs(attempts: Sequence[ClientAttempt], since: float, until: float) -> float:
    """Return the share of the jobs first sent from `since` to `until` that were served; 0 if there are none.

    A job counts as served if any of its attempts was. A job with a key is retried: if attempts were counted,
    a job that a fault lost before the span would fail in it up to three times.
    """
    served, first_sent_at = dict[object, bool](), dict[object, float]()
    for number, attempt in enumerate(attempts):
        job = attempt.key or number
        first_sent_at.setdefault(job, attempt.sent_at)
        served[job] = served.get(job, False) or attempt.outcome == "200"
    within = [done for job, done in served.items() if since <= first_sent_at[job] < until]
    return sum(within) / max(1, len(within))

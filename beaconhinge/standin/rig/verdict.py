"""What a scenario came to, by what clients, workers and logs wrote down. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

import msgspec

from ..workers import ReceivedDeadline
from .process import Shutdown

TimeSpan = tuple[float, float]

# The class of the rig's jobs that may be repeated without a key.
RETRYABLE_CLASS = "render"
# The status of a job that may have run.
FAILED = "502"


class ClientAttempt(msgspec.Struct):
    """One attempt of a client at one dispatcher. Times are of the rig's clock.

    `outcome` is a status, `missing` or `left`; `disconnected_at` is 0 unless the client left before it.
    `missing_why` is why there is no answer.
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
    """One act under a lease, as the resource wrote it down by its own clock."""

    lease: str
    number: int
    begin: float
    end: float
    accepted: bool = True


class Verdict(msgspec.Struct):
    """What a run came to; the fields are the keys of its JSON.

    Attributes:
        name: Of the scenario.
        seed: Of the scenario.
        asked: Attempts of clients.
        ends: Attempts by outcome.
        keys: Jobs with a key.
        keys_unanswered: Those that no attempt brought a result of.
        runs: Runs of jobs, on all workers.
        ejected: Healthy workers that a dispatcher ejected: how often, by name.
        faults: What faults hit, by kind.
        counters: Of all dispatchers, over all their incarnations.
        served_before: Share of the jobs served that were first sent before the first fault.
        served_after: The same after the last fault.
        plain_after: The same as `served_after`, of the jobs without a key, which are sent once.
        first_share: Share of the attempts within quota served in the 5 s after the last return of a process.
        greedy_share: What the tenant beyond its quota got then, in quotas.
        acts: Under a lease.
        tenures: That the acts were of.
        stale: Acts that the resource refused for their number.
        orphans: Plain jobs of a killed process that workers still ran some time after its return.
        broken: Broken rules, in words. Nothing done, or a fault that hit nothing, is a break too.
        last: The last events, where a rule was broken.
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
    orphans: int
    broken: list[str]
    last: list[str]

    @property
    def well(self) -> bool:
        """Whether no rule was broken."""
        return not self.broken


def ejections_logged(lines: Iterable[Mapping[str, Any]]) -> Counter[str]:
    """Count the ejections that a dispatcher's log reports, by number of the worker."""
    return Counter(
        str(line["text"]).split()[1]
        for line in lines
        if line.get("event") == "policy" and " ejected" in str(line.get("text"))
    )


def missing_without_excuse(
    attempts: Iterable[ClientAttempt], down_spans: Sequence[Sequence[TimeSpan]], grace: float
) -> list[ClientAttempt]:
    """Return the attempts without one final answer whose dispatcher ran all the while.

    A connection that waited in front of a process as it went on may be served late, for which it has `grace`
    seconds.
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
    """Describe an attempt without an answer: which, when it was sent, and how it ended.

    Args:
        attempt: The attempt.
        began_at: When the run began.
        reached_worker: Whether a worker had the request.
    """
    waited_s = attempt.ended_at - attempt.sent_at
    return (
        f"no answer from dispatcher {attempt.dispatcher} to a {attempt.job_class}: "
        f"{attempt.request_id} sent at {attempt.sent_at - began_at:.2f} s, "
        f"over after {waited_s:.2f} of {attempt.timeout_s:.2f} s ({attempt.missing_why or 'unknown'}), "
        f"{'had' if reached_worker else 'not had'} by a worker"
    )


def wrongly_failed(attempts: Iterable[ClientAttempt]) -> list[str]:
    """Find jobs that may be repeated whatever has run of them, and whose client was told that they failed.

    Their final answer without a result is a rejection; the stand-ins answer none of them with a client error.
    """
    return [
        f"dispatcher {attempt.dispatcher} answered {attempt.request_id}, a {attempt.job_class} that may be "
        f"repeated, with {attempt.outcome}"
        for attempt in attempts
        if attempt.job_class == RETRYABLE_CLASS and attempt.outcome == FAILED
    ]


def lost_in_shutdowns(
    attempts: Iterable[ClientAttempt],
    shutdowns: Sequence[Shutdown],
    excuse: Callable[[ClientAttempt], bool],
) -> list[str]:
    """Find attempts that a process in a planned end had taken and never answered.

    What it takes it has to answer before SIGKILL, which comes no sooner than the longest deadline and 0.7 s
    after SIGTERM. A process that was stopped meanwhile could not.
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
            f"dispatcher {shutdown.process} lost a {attempt.job_class} that came "
            f"{attempt.sent_at - shutdown.term_at:.2f} s after SIGTERM"
            f"{', when SIGKILL came' if shutdown.killed else ''}"
            for attempt in lost
        ]
    return found


def lease_violations(acts: Iterable[Act]) -> list[str]:
    """Find acts of two tenures at one time, and numbers accepted after greater ones."""
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
    """Find leases that nobody began an act under in a span, with the acts next to its beginning.

    These tell a lease that has a holder late from one that has none, and from a holder that cannot act.
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
    """Find attempts that gave a worker more time than their client had left, beyond so many seconds."""
    ends = {attempt.request_id: attempt.sent_at + attempt.timeout_s for attempt in attempts}
    over = [
        (given.request, given.came_at + given.time_left - ends[given.request])
        for given in deadlines
        if given.request in ends
    ]
    return [
        f"request {request}: a worker was given {seconds:.2f} s more than was left"
        for request, seconds in over
        if seconds > slack
    ]


def attempts_after_disconnect(
    attempts: Iterable[ClientAttempt], deadlines: Iterable[ReceivedDeadline], grace: float
) -> list[str]:
    """Find attempts that came to a worker more than `grace` seconds after their client had left."""
    left = {attempt.request_id: attempt.disconnected_at for attempt in attempts if attempt.disconnected_at}
    late = [
        (given.request, given.came_at - left[given.request]) for given in deadlines if given.request in left
    ]
    return [
        f"request {request}: an attempt began {seconds:.2f} s after its client had left"
        for request, seconds in late
        if seconds > grace
    ]


def keys_run_twice(runs: Mapping[str, int]) -> list[str]:
    """Return the keys that ran more than once, sorted."""
    return sorted(key for key, times in runs.items() if times > 1)


def served_share_of_attempts(attempts: Sequence[ClientAttempt], since: float, until: float) -> float:
    """Return the part of the attempts sent in a span that were served."""
    within = [attempt for attempt in attempts if since <= attempt.sent_at < until]
    return sum(attempt.outcome == "200" for attempt in within) / max(1, len(within))


def served_share_of_jobs(attempts: Sequence[ClientAttempt], since: float, until: float) -> float:
    """Return the part of the jobs first sent in a span that one of their attempts brought back.

    A job with a key comes again: counted by attempts, one that a fault lost before the span would fail in it
    up to three times.
    """
    jobs, at = dict[object, bool](), dict[object, float]()
    for number, attempt in enumerate(attempts):
        job = attempt.key or number
        at.setdefault(job, attempt.sent_at)
        jobs[job] = jobs.get(job, False) or attempt.outcome == "200"
    within = [done for job, done in jobs.items() if since <= at[job] < until]
    return sum(within) / max(1, len(within))

"""What a scenario came to, by what clients, boxes and logs wrote down. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from ..workers import ReceivedDeadline

TimeSpan = tuple[float, float]


class ClientAttempt(msgspec.Struct):
    """One try of a client at one dispatcher. Times are of the rig's clock; `end` is a status or `missing`."""

    key: str
    job_class: str
    dispatcher: int
    sent_at: float
    ended_at: float = 0.0
    outcome: str = ""
    tenant: str = ""
    request_id: str = ""
    timeout_s: float = 0.0  # that it waits
    disconnected_at: float = 0.0  # when it closed its connection before the answer; 0: it did not


class Act(msgspec.Struct):
    """One act under a lease, as the resource wrote it down by its own clock."""

    lease: str
    number: int
    begin: float
    end: float
    accepted: bool = True


class Verdict(msgspec.Struct):
    """`broken`: rules, in words. Nothing done, or a fault that hit nothing, is a break too."""

    name: str
    seed: int
    asked: int
    ends: dict[str, int]
    keys: int
    keys_unanswered: int
    runs: int
    benched: dict[str, int]  # healthy boxes that a dispatcher benched: how often
    faults: dict[str, int]  # what faults hit, by kind
    counters: dict[str, int]  # of all dispatchers
    served_before: float  # part of the jobs served that were first asked before the first fault,
    served_after: float  # and after the last
    plain_after: float  # the same as `served_after`, of the jobs without a key, which come once
    first_share: float  # of the tries within quota in the 5 s after the last fault, served
    greedy_share: float  # what the tenant beyond its quota got then, in quotas
    acts: int  # under a lease, and the tenures that they were of
    tenures: int
    stale: int  # acts that the resource refused for their number
    orphans: int  # plain jobs of an old life that boxes still ran ORPHANED s after a return
    broken: list[str]
    last: list[str]  # the last events, where a rule was broken

    @property
    def well(self) -> bool:
        return not self.broken


def ejections_logged(lines: Iterable[Mapping[str, Any]]) -> Counter[str]:
    """Boxes, by number, that the module says it has benched."""
    return Counter(
        str(line["text"]).split()[1]
        for line in lines
        if line.get("event") == "module" and " benched" in str(line.get("text"))
    )


def missing_without_excuse(
    asked: Iterable[ClientAttempt], stood: Sequence[Sequence[TimeSpan]], grace: float
) -> list[ClientAttempt]:
    """Tries without one final answer whose dispatcher ran all the while. A connection that waited in front of
    a process as it went on may be served late, for which it has `grace` seconds.
    """
    return [
        try_
        for try_ in asked
        if try_.outcome == "missing"
        and not any(
            begun - grace <= try_.ended_at and try_.sent_at <= ended + grace
            for begun, ended in stood[try_.dispatcher]
        )
    ]


def lease_violations(acts: Iterable[Act]) -> list[str]:
    """Acts of two tenures at one time, and numbers accepted after greater ones."""
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


def overstated_deadlines(
    asked: Iterable[ClientAttempt], deadlines: Iterable[ReceivedDeadline], slack: float
) -> list[str]:
    """Attempts that gave a worker more time than their client had left, with so many seconds of slack."""
    ends = {try_.request_id: try_.sent_at + try_.timeout_s for try_ in asked}
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
    asked: Iterable[ClientAttempt], deadlines: Iterable[ReceivedDeadline], grace: float
) -> list[str]:
    """Attempts that came to a worker more than so many seconds after their client had left."""
    left = {try_.request_id: try_.disconnected_at for try_ in asked if try_.disconnected_at}
    late = [
        (given.request, given.came_at - left[given.request]) for given in deadlines if given.request in left
    ]
    return [
        f"request {request}: an attempt began {seconds:.2f} s after its client had left"
        for request, seconds in late
        if seconds > grace
    ]


def keys_run_twice(runs: Mapping[str, int]) -> list[str]:
    return sorted(key for key, times in runs.items() if times > 1)


def served_share_of_attempts(asked: Sequence[ClientAttempt], since: float, until: float) -> float:
    within = [try_ for try_ in asked if since <= try_.sent_at < until]
    return sum(try_.outcome == "200" for try_ in within) / max(1, len(within))


def served_share_of_jobs(asked: Sequence[ClientAttempt], since: float, until: float) -> float:
    """Part of the jobs first asked in a span that one of their tries brought back. A job with a key comes
    again: counted by tries, one that a fault lost before the span would fail in it up to three times.
    """
    jobs, at = dict[object, bool](), dict[object, float]()
    for number, try_ in enumerate(asked):
        job = try_.key or number
        at.setdefault(job, try_.sent_at)
        jobs[job] = jobs.get(job, False) or try_.outcome == "200"
    within = [done for job, done in jobs.items() if since <= at[job] < until]
    return sum(within) / max(1, len(within))

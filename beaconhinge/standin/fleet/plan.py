"""What a day is like, and what dispatchers are told of the site."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ...policy.interface import Semantics

TROUBLES = (
    "",
    "zone",
    "join",
    "herd",
    "roll",
    "hub",
    "cut",
    "split",
    "mute",
    "burst",
    "slow",
    "drain",
    "hang",
)


@dataclass(frozen=True)
class Kind:
    """Boxes of one machine kind: their part of the fleet, cores, jobs at once, speed of a core."""

    share: float
    cores: int
    slots: int
    speed: float


@dataclass(frozen=True)
class Sort:
    """One class of jobs, as clients ask for it and as dispatchers are told of it."""

    name: str
    part: float  # of the jobs
    work: float  # seconds of a standard core, in the mean
    aim: float
    stretch: float
    deadline: float
    worth: float
    semantics: str = Semantics.RETRYABLE
    group: str = "all"
    window: float = 5.0
    wide: float = 0.0  # part of its jobs that take two slots
    cv: float = 0.0  # of the work, lognormal; 0: a heavy tail

    def draw(self, rng: random.Random) -> float:
        if self.cv == 0.0:
            return self.work * min(0.4 * rng.paretovariate(1.6), 12.0)  # a few are much longer than most
        spread = math.log(1 + self.cv**2)
        return self.work * rng.lognormvariate(-spread / 2, math.sqrt(spread))


@dataclass(frozen=True)
class Site:
    """What does not change from day to day: a deployment."""

    sorts: tuple[Sort, ...]
    kinds: tuple[Kind, ...]
    shares: tuple[float, ...] = ()  # of the tenants
    zones: int = 2
    reports: tuple[str, ...] = ("x0",)  # fields of a load report
    quota: float = 0.8  # of the capacity, in all
    pushed: bool = False
    cancel: bool = True
    may_duplicate: bool = True
    marks_retry: bool = True
    tells_start: bool = True
    attempts: int = 3
    fall_multiple: float = 4.0
    tip_after: float = 1.5

    @property
    def mean_work(self) -> float:
        """Of a job, in slot-seconds of a standard core."""
        return sum(sort.part * sort.work * (1 + sort.wide) for sort in self.sorts)


SCRIPTS = Site(
    (
        Sort("render", 0.69, 0.57, 0.25, 2.0, 7.5, 3.0),
        Sort("publish", 0.31, 2.3, 0.6, 2.5, 25.0, 9.0, Semantics.DEDUPLICATED, "cell", 40.0),
    ),
    (Kind(0.32, 4, 5, 1.3), Kind(0.39, 5, 6, 0.95), Kind(0.29, 5, 5, 0.7)),
    (0.54, 0.29, 0.17),
)
# Long jobs, some of two slots, three classes of which the shortest is asked for most, one zone, no tenants.
LONG_JOBS = Site(
    (
        Sort("lookup", 0.49, 0.8, 0.4, 2.5, 10.0, 2.0, cv=0.7),
        Sort("summary", 0.27, 3.2, 1.5, 2.5, 25.0, 1.0, wide=0.2, cv=0.5),
        Sort(
            "close",
            0.24,
            4.9,
            4.0,
            2.0,
            25.0,
            5.0,
            Semantics.DEDUPLICATED,
            "cell",
            40.0,
            wide=0.2,
            cv=0.5,
        ),
    ),
    (Kind(0.3, 5, 6, 1.45), Kind(0.7, 4, 4, 0.95)),
    zones=1,
    reports=("depth", "x0"),
    marks_retry=False,
    attempts=5,
    fall_multiple=3.0,
    tip_after=1.0,
)


@dataclass(frozen=True)
class Plan:
    """One day. `load` is the part of the fleet's capacity that is asked for."""

    site: Site = SCRIPTS
    dispatchers: int = 40
    boxes: int = 60
    load: float = 0.68
    seconds: float = 24.0
    seed: int = 1
    swing: float = 0.2  # of the traffic, up and down
    skew: float = 0.2  # more traffic in the first zone, less in the other
    first_zone: float = 0.45  # part of the boxes in the zone that is never lost
    speed_cv: float = 0.15
    pause: float = 0.07  # longest stall of a box, which comes every 4 to 11 s
    bad: int = 0  # boxes that fail fast from the first seconds on
    loss: float = 0.0  # part of the datagrams that is lost
    peers: bool = True
    retries: float = 0.7  # chance that a client asks once more
    calls_a_second: float = 6.0  # that discovery answers
    trouble: str = ""  # one of TROUBLES
    at: float = 6.0  # when it begins
    lost_for: float = 6.3  # seconds that a zone is lost

    def __post_init__(self) -> None:
        if self.trouble not in TROUBLES:
            raise ValueError(f"trouble: {self.trouble!r} is none of {', '.join(filter(None, TROUBLES))}")


def settings(capacity: float, peers: bool, site: Site = SCRIPTS) -> dict[str, str]:
    """Pairs as a site gives them. `capacity` is in jobs a second."""
    told = {
        "requestClasses.count": str(len(site.sorts)),
        "membershipMode": "pushed" if site.pushed else "on_request",
        "clients.marksRetry": str(site.marks_retry).lower(),
        "policyLimits.maxAttempts": str(site.attempts),
        "policyLimits.retryAfter": "true",
        "policyLimits.maxRetryAfter": "2",
        "policyLimits.cancel": str(site.cancel).lower(),
        "policyLimits.mayDuplicate": str(site.may_duplicate).lower(),
        "policyLimits.probes": "true",
        "policyLimits.peers": str(peers).lower(),
        "policyLimits.connectTimeout": "0.25",
        "policyLimits.idleClose": "5",
        "familyInfo.tellsStart": str(site.tells_start).lower(),
        "familyInfo.progress": "1" if site.tells_start else "0",
        "familyInfo.classStretch": ",".join(str(sort.stretch) for sort in site.sorts),
        "familyInfo.reportX0": "free_slots",
        "report.source": "answers" if site.reports else "none",
        "report.names": ",".join(site.reports),
        "overShareWorth": "0.2",
        "quantum": "0.002",
        "rules.mustAskIn": "10",
        "rules.coldShare": "0.38",
        "rules.warmWithin": "8.4",
        "rules.drainGrace": "0.4",
        "rules.fallMultiple": str(site.fall_multiple),
        "rules.tipAfter": str(site.tip_after),
        "rules.graceToAnswer": "0.008",
        "costs.crossZone": "0.03",
        "costs.waste": "0.04",
        "costs.peer": "0.01",
        "orgs.count": str(len(site.shares)),
    }
    for i, sort in enumerate(site.sorts):
        path = f"requestClasses.{i}."
        told |= {
            path + "aim": str(sort.aim),
            path + "hardLimit": str(sort.deadline),
            path + "group": sort.group,
            path + "semantics": sort.semantics,
            path + "dedupWindow": str(sort.window),
            path + "importance": str(sort.worth),
            path + "name": sort.name,
        }
    for i, share in enumerate(site.shares):
        told |= {f"orgs.{i}.share": str(share), f"orgs.{i}.quotaRps": f"{site.quota * capacity * share:.1f}"}
    return told

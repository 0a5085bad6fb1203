"""Describes a simulated run (plan, site, job classes, worker kinds), and makes its dispatchers' settings."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ...policy.interface import Semantics

# Names of the faults that `FaultSchedule` and, for `burst`, `Clients` can inject; empty: none.
FAULTS = (
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


# Duration in seconds of the faults `burst` (more traffic) and `slow` (all workers slower).
BURST_S = 5.0


@dataclass(frozen=True)
class WorkerKind:
    """A kind of worker.

    Attributes:
        share: Share of the fleet's workers.
        slots: How many slots jobs can take at once.
        speed: Mean speed of a core, as a multiple of a standard core's.
    """

    share: float
    cores: int
    slots: int
    speed: float


@dataclass(frozen=True)
class JobClass:
    """A class of jobs, for the clients' submissions and the dispatchers' settings.

    Attributes:
        share: Share of all jobs.
        mean_work: Seconds of a standard core.
        latency_objective_s: Seconds in which a job should be served, besides `stretch`.
        stretch: Seconds that each second of a job's work adds to its latency objective.
        deadline_s: Seconds after which the client stops waiting.
        priority: Weight of a job in the figures of a run.
        group: Workers that drop repeats of a job together: all, those of a zone, or those of a cell.
        deduplication_window_s: Seconds in which a group drops repeats.
        two_slot_share: Share of its jobs that take two slots.
        work_variation: Coefficient of variation of the work, which is lognormal; 0: a heavy tail.
    """

    name: str
    share: float
    mean_work: float
    latency_objective_s: float
    stretch: float
    deadline_s: float
    priority: float
    semantics: str = Semantics.RETRYABLE
    group: str = "all"
    deduplication_window_s: float = 5.0
    two_slot_share: float = 0.0
    work_variation: float = 0.0

    def draw(self, rng: random.Random) -> float:
        """Return the work of one job, drawn at random, in seconds of a standard core."""
        if self.work_variation == 0.0:  # a few jobs take much longer than most
            return self.mean_work * min(0.4 * rng.paretovariate(1.6), 12.0)
        spread = math.log(1 + self.work_variation**2)
        return self.mean_work * rng.lognormvariate(-spread / 2, math.sqrt(spread))


@dataclass(frozen=True)
class Site:
    """A deployment, which several plans can share.

    Attributes:
        tenant_shares: Share of the jobs and of the quota of each tenant; empty: no tenants.
        report_fields: Fields of the workers' load reports; empty: no reports.
        quota_share: Quota of all tenants together, as a share of the fleet's capacity.
        pushed_membership: Whether dispatchers are configured for a pushed list of workers.
        cancel: Whether dispatchers may cancel attempts.
        may_duplicate: Whether a request may have several open attempts.
        marks_retry: Whether dispatchers are configured for clients that mark repeated requests.
        reports_start: Whether dispatchers are configured for workers that report start and progress of jobs.
        max_attempts: Most attempts of one request.
        overload_multiple: A cold worker is overloaded by this multiple of its current capacity.
        overload_window_s: Seconds over which that load is summed.
    """

    job_classes: tuple[JobClass, ...]
    worker_kinds: tuple[WorkerKind, ...]
    tenant_shares: tuple[float, ...] = ()
    zones: int = 2
    report_fields: tuple[str, ...] = ("x0",)
    quota_share: float = 0.8
    pushed_membership: bool = False
    cancel: bool = True
    may_duplicate: bool = True
    marks_retry: bool = True
    reports_start: bool = True
    max_attempts: int = 3
    overload_multiple: float = 4.0
    overload_window_s: float = 1.5

    @property
    def mean_work(self) -> float:
        """The mean work of a job of any class, in slot-seconds of a standard core."""
        return sum(
            job_class.share * job_class.mean_work * (1 + job_class.two_slot_share)
            for job_class in self.job_classes
        )


# The default site: two classes of jobs, three kinds of workers, three tenants and two zones.
SCRIPTS = Site(
    (
        JobClass("render", 0.69, 0.57, 0.25, 2.0, 7.5, 3.0),
        JobClass("publish", 0.31, 2.3, 0.6, 2.5, 25.0, 9.0, Semantics.DEDUPLICATED, "cell", 40.0),
    ),
    (WorkerKind(0.32, 4, 5, 1.3), WorkerKind(0.39, 5, 6, 0.95), WorkerKind(0.29, 5, 5, 0.7)),
    (0.54, 0.29, 0.17),
)
# A site with long jobs, some of two slots, in three classes of which the shortest is requested most; one zone
# and no tenants.
LONG_JOBS = Site(
    (
        JobClass("lookup", 0.49, 0.8, 0.4, 2.5, 10.0, 2.0, work_variation=0.7),
        JobClass("summary", 0.27, 3.2, 1.5, 2.5, 25.0, 1.0, two_slot_share=0.2, work_variation=0.5),
        JobClass(
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
            two_slot_share=0.2,
            work_variation=0.5,
        ),
    ),
    (WorkerKind(0.3, 5, 6, 1.45), WorkerKind(0.7, 4, 4, 0.95)),
    zones=1,
    report_fields=("depth", "x0"),
    marks_retry=False,
    max_attempts=5,
    overload_multiple=3.0,
    overload_window_s=1.0,
)


@dataclass(frozen=True)
class Plan:
    """One simulated run.

    Attributes:
        load: Mean traffic, as a share of the fleet's capacity.
        seconds: Time in seconds at which clients stop submitting new jobs.
        load_swing: Amplitude of the periodic change of traffic, as a share of its mean.
        zone_skew: Share by which the first zone has more traffic than an even half, and the other less.
        first_zone_share: Share of the workers in the first zone, which is never lost.
        speed_cv: Coefficient of variation of the workers' speed.
        max_stall_s: Longest stall in seconds of a worker; each worker stalls every 4 to 11 s.
        failing_workers: How many workers fail fast from the first seconds on.
        datagram_loss: Share of the datagrams that is lost.
        peers: Whether dispatchers exchange datagrams.
        client_retry_chance: Probability that a client repeats a job that was refused or failed.
        discovery_calls_per_s: Calls that discovery can answer per second.
        fault: One of FAULTS.
        fault_at_s: Time in seconds at which the fault begins.
        zone_lost_s: Seconds for which a zone is lost.
    """

    site: Site = SCRIPTS
    dispatchers: int = 40
    workers: int = 60
    load: float = 0.68
    seconds: float = 24.0
    seed: int = 1
    load_swing: float = 0.2
    zone_skew: float = 0.2
    first_zone_share: float = 0.45
    speed_cv: float = 0.15
    max_stall_s: float = 0.07
    failing_workers: int = 0
    datagram_loss: float = 0.0
    peers: bool = True
    client_retry_chance: float = 0.7
    discovery_calls_per_s: float = 6.0
    fault: str = ""
    fault_at_s: float = 6.0
    zone_lost_s: float = 6.3

    def __post_init__(self) -> None:
        if self.fault not in FAULTS:
            raise ValueError(
                f"unknown fault {self.fault!r}, expected one of {', '.join(filter(None, FAULTS))}"
            )


def settings(capacity: float, peers: bool, site: Site = SCRIPTS) -> dict[str, str]:
    """Return the settings of a dispatcher as key-value pairs; `capacity` is in jobs per second."""
    pairs = {
        "requestClasses.count": str(len(site.job_classes)),
        "membershipMode": "pushed" if site.pushed_membership else "on_request",
        "clients.marksRetry": str(site.marks_retry).lower(),
        "policyLimits.maxAttempts": str(site.max_attempts),
        "policyLimits.retryAfter": "true",
        "policyLimits.maxRetryAfter": "2",
        "policyLimits.cancel": str(site.cancel).lower(),
        "policyLimits.mayDuplicate": str(site.may_duplicate).lower(),
        "policyLimits.probes": "true",
        "policyLimits.peers": str(peers).lower(),
        "policyLimits.connectTimeout": "0.25",
        "policyLimits.idleClose": "5",
        "familyInfo.tellsStart": str(site.reports_start).lower(),
        "familyInfo.progress": "1" if site.reports_start else "0",
        "familyInfo.classStretch": ",".join(str(job_class.stretch) for job_class in site.job_classes),
        "familyInfo.reportX0": "free_slots",
        "report.source": "answers" if site.report_fields else "none",
        "report.names": ",".join(site.report_fields),
        "overShareWorth": "0.2",
        "quantum": "0.002",
        "rules.mustAskIn": "10",
        "rules.coldShare": "0.38",
        "rules.warmWithin": "8.4",
        "rules.drainGrace": "0.4",
        "rules.fallMultiple": str(site.overload_multiple),
        "rules.tipAfter": str(site.overload_window_s),
        "rules.graceToAnswer": "0.008",
        "costs.crossZone": "0.03",
        "costs.waste": "0.04",
        "costs.peer": "0.01",
        "orgs.count": str(len(site.tenant_shares)),
    }
    for number, job_class in enumerate(site.job_classes):
        pairs |= _class_settings(f"requestClasses.{number}.", job_class)
    for number, share in enumerate(site.tenant_shares):
        pairs |= {
            f"orgs.{number}.share": str(share),
            f"orgs.{number}.quotaRps": f"{site.quota_share * capacity * share:.1f}",
        }
    return pairs


def _class_settings(path: str, job_class: JobClass) -> dict[str, str]:
    return {
        path + "aim": str(job_class.latency_objective_s),
        path + "hardLimit": str(job_class.deadline_s),
        path + "group": job_class.group,
        path + "semantics": job_class.semantics,
        path + "dedupWindow": str(job_class.deduplication_window_s),
        path + "importance": str(job_class.priority),
        path + "name": job_class.name,
    }

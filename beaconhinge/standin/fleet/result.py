"""Computes the figures of a simulated run, as the operators compute them."""

from __future__ import annotations

from dataclasses import asdict, dataclass

from ...policy.interface import AttemptOutcome
from .entities import ClientJob
from .world import SimulatedFleet

# Length in seconds of the windows of which the worst counts.
WINDOW_S = 10
# A wait from sending an attempt to its start is long beyond this many seconds.
LONG_WAIT_S = 0.1
# Price of sending one datagram of 256 bytes per job.
PEER_PRICE = 0.01
# Price of sending one attempt to another zone per job.
CROSS_PRICE = 0.03
# Price of wasting as much work as all jobs together need.
WASTE_PRICE = 0.04


@dataclass(frozen=True)
class Result:
    """Figures of a run: shares of the requested priorities, shares of the requested jobs, and counts.

    Attributes:
        G: The operators' overall score: the weighted shares served in time, less the prices.
        whole: Share of the priorities that was served in time.
        worst: The same in the worst 10 s.
        worst_class: The same for the worst class.
        worst_tenant: The same for the worst tenant.
        peer: Price of the datagrams.
        cross: Price of attempts in another zone.
        waste: Price of work for jobs that were not served.
        late: Share of the jobs that was served, but not in time.
        refused: Share of the jobs that was refused.
        failed: Share of the jobs that failed.
        waited: Share of the started attempts that started more than 0.1 s after they were sent.
        attempts: Mean number of attempts per job.
        no_connection: Number of attempts that got no connection.
        calls: Number of calls to discovery.
        calls_refused: Number of these that were refused or failed.
        datagrams: Number of datagrams between dispatchers.
        cold_most: Most work sent to a cold worker within one window, as a share of what overloads it.
        broken: Number of rule violations.
    """

    G: float
    whole: float
    worst: float
    worst_class: float
    worst_tenant: float
    peer: float
    cross: float
    waste: float
    late: float
    refused: float
    failed: float
    waited: float
    attempts: float
    no_connection: int
    calls: int
    calls_refused: int
    datagrams: int
    cold_most: float
    broken: int

    def row(self) -> dict[str, float]:
        """Return the figures by name."""
        return asdict(self)


def result(fleet: SimulatedFleet) -> Result:
    """Return the figures of a run that has ended."""
    jobs, counters = fleet.jobs, fleet.counters
    windows = [
        [job for job in jobs if start <= job.sent_at < start + WINDOW_S]
        for start in range(max(1, int(fleet.plan.seconds) - WINDOW_S + 1))
    ]
    whole, worst = _in_time_share(jobs), min(map(_in_time_share, windows))
    worst_class = min(served_by_class(fleet).values())
    tenants = range(max(1, len(fleet.plan.site.tenant_shares)))
    worst_tenant = min(_in_time_share([job for job in jobs if job.tenant == tenant]) for tenant in tenants)
    job_count = max(1, len(jobs))
    peer = PEER_PRICE * counters["charged_bytes"] / (256 * job_count)
    cross = CROSS_PRICE * counters["cross_zone"] / job_count
    served = [job for job in jobs if job.outcome == "served"]
    work_done = sum(worker.work_done for worker in fleet.workers.values())
    work_requested = max(1e-9, sum(job.work for job in jobs))
    waste = WASTE_PRICE * max(0.0, work_done - sum(job.work for job in served)) / work_requested
    score = 0.25 * whole + 0.45 * worst + 0.2 * worst_class + 0.1 * worst_tenant - peer - cross - waste
    return Result(
        score,
        whole,
        worst,
        worst_class,
        worst_tenant,
        peer,
        cross,
        waste,
        late=sum(not job.in_time for job in served) / job_count,
        refused=_outcome_share(jobs, "refused"),
        failed=_outcome_share(jobs, "failed"),
        waited=sum(wait > LONG_WAIT_S for wait in fleet.start_waits_s) / max(1, len(fleet.start_waits_s)),
        attempts=counters["attempts"] / job_count,
        no_connection=counters["outcome_" + AttemptOutcome.NO_CONNECTION],
        calls=fleet.discovery.calls,
        calls_refused=fleet.discovery.refusals,
        datagrams=counters["datagrams"],
        cold_most=max(worker.peak_cold_load for worker in fleet.workers.values()),
        broken=len(fleet.violations),
    )


def served_by_class(fleet: SimulatedFleet) -> dict[str, float]:
    """Return the share of each class's jobs that was served in time, by the class's name."""
    return {
        job_class.name: _in_time_share([job for job in fleet.jobs if job.job_class is job_class])
        for job_class in fleet.plan.site.job_classes
    }


def _in_time_share(jobs: list[ClientJob]) -> float:
    """Return the share of the jobs' priorities that was served in time; 1 if there are none."""
    requested = sum(job.job_class.priority for job in jobs)
    return sum(job.job_class.priority for job in jobs if job.in_time) / requested if requested else 1.0


def _outcome_share(jobs: list[ClientJob], outcome: str) -> float:
    return sum(job.outcome == outcome for job in jobs) / max(1, len(jobs))

"""Other deployments than the first, in virtual time: settings of every mode, rules kept, no class starved."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beaconhinge.policy.interface import Semantics, WorkerState
from beaconhinge.standin.fleet.plan import LONG_JOBS, SCRIPTS, Plan, Site
from beaconhinge.standin.fleet.result import served_by_class
from beaconhinge.standin.fleet.world import SimulatedFleet


def with_semantics(site: Site, semantics: str, group: str = "all", only: int | None = None) -> Site:
    """The site with other rights to repeat: all classes, or one."""
    return replace(
        site,
        job_classes=tuple(
            replace(job_class, semantics=semantics, group=group, deduplication_window_s=20.0)
            if only in (None, i)
            else job_class
            for i, job_class in enumerate(site.job_classes)
        ),
    )


SHORT = replace(
    SCRIPTS,
    job_classes=tuple(
        replace(job_class, deadline_s=job_class.deadline_s / 4) for job_class in SCRIPTS.job_classes
    ),
)
SITES = {
    "scripts": SCRIPTS,
    "long jobs": LONG_JOBS,
    "pushed": replace(SCRIPTS, pushed_membership=True),
    "short deadlines": SHORT,
    "no reports": replace(SCRIPTS, report_fields=()),
    "long, no reports": replace(LONG_JOBS, report_fields=()),
    "no cancel": replace(SCRIPTS, cancel=False),
    "one at a time": replace(SCRIPTS, may_duplicate=False),
    "starts not told": replace(LONG_JOBS, reports_start=False),
    "fragile render": with_semantics(SCRIPTS, Semantics.UNSAFE, only=0),
    "fragile publish": with_semantics(SCRIPTS, Semantics.UNSAFE, only=1),
    "fragile lookup": with_semantics(LONG_JOBS, Semantics.UNSAFE, only=0),
    "all fragile": with_semantics(LONG_JOBS, Semantics.UNSAFE),
    "keyed by all": with_semantics(SCRIPTS, Semantics.DEDUPLICATED, "all"),
    "keyed by zone": with_semantics(SCRIPTS, Semantics.DEDUPLICATED, "zone"),
    "keyed by cell": with_semantics(LONG_JOBS, Semantics.DEDUPLICATED, "cell"),
}


def simulated(**plan: object) -> SimulatedFleet:
    fleet = SimulatedFleet(Plan(**{"seconds": 9.0, "fault_at_s": 2.0, "load": 0.6, **plan}))  # type: ignore[arg-type]
    fleet.run()
    return fleet


def fault_hit_something(fleet: SimulatedFleet) -> bool:
    """Whether the day's fault hit anything: a worker drained or gone, or jobs taken for ever."""
    return any(worker.hung or worker.state != WorkerState.READY for worker in fleet.workers.values())


@pytest.mark.parametrize("fault", ["drain", "hang"])
@pytest.mark.parametrize("peers", [True, False])
@pytest.mark.parametrize("site", SITES)
def test_a_site_keeps_the_rules_and_serves_each_class(site: str, peers: bool, fault: str) -> None:
    fleet = simulated(site=SITES[site], peers=peers, fault=fault, dispatchers=6, workers=12)
    assert fault_hit_something(fleet)
    assert len(fleet.jobs) > 80
    assert fleet.violations == []
    assert min(served_by_class(fleet).values()) > 0.5, served_by_class(fleet)


@pytest.mark.parametrize(("dispatchers", "workers"), [(1, 9), (5, 9), (40, 40)])
@pytest.mark.parametrize("site", ["scripts", "long jobs"])
def test_sizes_from_one_to_forty(site: str, dispatchers: int, workers: int) -> None:
    fleet = simulated(
        site=SITES[site],
        peers=site == "scripts",
        fault="drain",
        dispatchers=dispatchers,
        workers=workers,
        load=0.55,
    )
    assert fault_hit_something(fleet)
    assert fleet.violations == []
    assert min(served_by_class(fleet).values()) > 0.7, served_by_class(fleet)


@pytest.mark.parametrize(("dispatchers", "workers", "until"), [(230, 500, 2.0), (1024, 1024, 1.1)])
def test_hundreds_and_a_thousand_of_each_begin_their_day(
    dispatchers: int, workers: int, until: float
) -> None:
    """Lists and groups of that size: drains are kept, and what ends by then is served."""
    fleet = SimulatedFleet(
        Plan(
            site=LONG_JOBS,
            peers=dispatchers > 1000,
            fault="drain",
            dispatchers=dispatchers,
            workers=workers,
            seconds=until,
            fault_at_s=0.05,
            load=0.3,
        )
    )
    fleet.clock.run(until)
    assert fault_hit_something(fleet)
    assert fleet.violations == []
    ended = [job.outcome for job in fleet.jobs if job.outcome]
    assert ended.count("served") >= 0.95 * len(ended) > 50


def test_a_job_that_waits_in_a_busy_fleet_is_not_copied() -> None:
    """After a second without word of its start each job got copies, which waited too: 2.25 attempts a job."""
    fleet = simulated(
        site=LONG_JOBS, peers=False, fault="drain", dispatchers=60, workers=60, load=0.65, seconds=20.0
    )
    assert sum(wait > 1.0 for wait in fleet.start_waits_s) > 0.05 * len(
        fleet.start_waits_s
    )  # many waited that long
    assert fleet.counters["attempts"] < 1.5 * fleet.counters["submissions"]
    assert min(served_by_class(fleet).values()) > 0.5, served_by_class(fleet)


def test_a_hung_worker_that_takes_jobs_is_not_given_one_after_the_other() -> None:
    """A withdrawn job counted against nobody: the worker looked free, and got the next."""
    fleet = simulated(fault="hang", dispatchers=6, workers=12, seconds=20.0)
    assert fault_hit_something(fleet)
    assert min(served_by_class(fleet).values()) > 0.86, served_by_class(fleet)


@pytest.mark.parametrize("dispatchers", [5, 8])
def test_a_few_dispatchers_use_cold_workers_whose_budget_is_less_than_a_job_for_each(
    dispatchers: int,
) -> None:
    """A fifth of it was no job, so that few were sent: the workers stood idle until they counted as warm. Over six days,
    since one has too few jobs of a class to tell: of the shortest 0.74 to 0.91 are in time on a day.
    """
    fleets = [
        simulated(
            site=LONG_JOBS,
            peers=False,
            fault="join",
            dispatchers=dispatchers,
            workers=10,
            load=0.7,
            fault_at_s=3.0,
            seconds=20.0,
            seed=seed,
        )
        for seed in range(1, 7)
    ]
    assert [fleet.violations for fleet in fleets] == [[]] * 6
    assert sum(fleet.counters["cold_sends"] for fleet in fleets) > 180
    days = [served_by_class(fleet) for fleet in fleets]
    assert min(sum(day[name] for day in days) / 6 for name in days[0]) > 0.78, days

"""Other deployments than the first, in virtual time: settings of every mode, rules kept, no class starved."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beaconhinge.policy.interface import Semantics, WorkerState
from beaconhinge.standin.fleet.plan import LONG_JOBS, SCRIPTS, Plan, Site
from beaconhinge.standin.fleet.result import classes
from beaconhinge.standin.fleet.world import SimulatedFleet


def with_semantics(site: Site, semantics: str, group: str = "all", only: int | None = None) -> Site:
    """The site with other rights to repeat: all classes, or one."""
    return replace(
        site,
        sorts=tuple(
            replace(sort, semantics=semantics, group=group, window=20.0) if only in (None, i) else sort
            for i, sort in enumerate(site.sorts)
        ),
    )


SHORT = replace(SCRIPTS, sorts=tuple(replace(sort, deadline=sort.deadline / 4) for sort in SCRIPTS.sorts))
SITES = {
    "scripts": SCRIPTS,
    "long jobs": LONG_JOBS,
    "pushed": replace(SCRIPTS, pushed=True),
    "short deadlines": SHORT,
    "no reports": replace(SCRIPTS, reports=()),
    "long, no reports": replace(LONG_JOBS, reports=()),
    "no cancel": replace(SCRIPTS, cancel=False),
    "one at a time": replace(SCRIPTS, may_duplicate=False),
    "starts not told": replace(LONG_JOBS, tells_start=False),
    "fragile render": with_semantics(SCRIPTS, Semantics.UNSAFE, only=0),
    "fragile publish": with_semantics(SCRIPTS, Semantics.UNSAFE, only=1),
    "fragile lookup": with_semantics(LONG_JOBS, Semantics.UNSAFE, only=0),
    "all fragile": with_semantics(LONG_JOBS, Semantics.UNSAFE),
    "keyed by all": with_semantics(SCRIPTS, Semantics.DEDUPLICATED, "all"),
    "keyed by zone": with_semantics(SCRIPTS, Semantics.DEDUPLICATED, "zone"),
    "keyed by cell": with_semantics(LONG_JOBS, Semantics.DEDUPLICATED, "cell"),
}


def played(**plan: object) -> SimulatedFleet:
    world = SimulatedFleet(Plan(**{"seconds": 9.0, "at": 2.0, "load": 0.6, **plan}))  # type: ignore[arg-type]
    world.run()
    return world


def hit(world: SimulatedFleet) -> bool:
    """Whether the day's trouble touched anything: a box drained or gone, or jobs taken for ever."""
    return any(box.hung or box.state != WorkerState.READY for box in world.boxes.values())


@pytest.mark.parametrize("trouble", ["drain", "hang"])
@pytest.mark.parametrize("peers", [True, False])
@pytest.mark.parametrize("site", SITES)
def test_a_site_keeps_the_rules_and_serves_each_class(site: str, peers: bool, trouble: str) -> None:
    world = played(site=SITES[site], peers=peers, trouble=trouble, dispatchers=6, boxes=12)
    assert hit(world) and len(world.wishes) > 80
    assert world.broken == []
    assert min(classes(world).values()) > 0.5, classes(world)


@pytest.mark.parametrize(("dispatchers", "boxes"), [(1, 9), (5, 9), (40, 40)])
@pytest.mark.parametrize("site", ["scripts", "long jobs"])
def test_sizes_from_one_to_forty(site: str, dispatchers: int, boxes: int) -> None:
    world = played(
        site=SITES[site],
        peers=site == "scripts",
        trouble="drain",
        dispatchers=dispatchers,
        boxes=boxes,
        load=0.55,
    )
    assert hit(world) and world.broken == []
    assert min(classes(world).values()) > 0.7, classes(world)


@pytest.mark.parametrize(("dispatchers", "boxes", "until"), [(230, 500, 2.0), (1024, 1024, 1.1)])
def test_hundreds_and_a_thousand_of_each_begin_their_day(dispatchers: int, boxes: int, until: float) -> None:
    """Lists and groups of that size: drains are kept, and what ends by then is served."""
    world = SimulatedFleet(
        Plan(
            site=LONG_JOBS,
            peers=dispatchers > 1000,
            trouble="drain",
            dispatchers=dispatchers,
            boxes=boxes,
            seconds=until,
            at=0.05,
            load=0.3,
        )
    )
    world.clock.run(until)
    assert hit(world) and world.broken == []
    ended = [wish.end for wish in world.wishes if wish.end]
    assert ended.count("served") >= 0.95 * len(ended) > 50


def test_a_job_that_waits_in_a_busy_fleet_is_not_copied() -> None:
    """After a second without word of its start each job got copies, which waited too: 2.25 attempts a job."""
    world = played(
        site=LONG_JOBS, peers=False, trouble="drain", dispatchers=60, boxes=60, load=0.65, seconds=20.0
    )
    assert sum(wait > 1.0 for wait in world.waits) > 0.05 * len(world.waits)  # many waited that long
    assert world.count["attempts"] < 1.5 * world.count["tries"]
    assert min(classes(world).values()) > 0.5, classes(world)


def test_a_hung_box_that_takes_jobs_is_not_given_one_after_the_other() -> None:
    """A withdrawn job counted against nobody: the box looked free, and got the next."""
    world = played(trouble="hang", dispatchers=6, boxes=12, seconds=20.0)
    assert hit(world)
    assert min(classes(world).values()) > 0.86, classes(world)


@pytest.mark.parametrize("dispatchers", [5, 8])
def test_a_handful_uses_cold_boxes_whose_budget_is_less_than_a_job_for_each(dispatchers: int) -> None:
    """A fifth of it was no job, so that few were sent: the boxes stood idle until they counted as warm. Over six days,
    since one has too few jobs of a class to tell: of the shortest 0.74 to 0.91 are in time on a day.
    """
    worlds = [
        played(
            site=LONG_JOBS,
            peers=False,
            trouble="join",
            dispatchers=dispatchers,
            boxes=10,
            load=0.7,
            at=3.0,
            seconds=20.0,
            seed=seed,
        )
        for seed in range(1, 7)
    ]
    assert [world.broken for world in worlds] == [[]] * 6
    assert sum(world.count["cold_sends"] for world in worlds) > 180
    days = [classes(world) for world in worlds]
    assert min(sum(day[name] for day in days) / 6 for name in days[0]) > 0.78, days

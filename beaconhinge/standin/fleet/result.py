"""What a day came to, as the operators count it."""

from __future__ import annotations

from dataclasses import asdict, dataclass

from ...policy.interface import AttemptOutcome
from .world import SimulatedFleet, Wish

WINDOW = 10  # seconds
PEER_PRICE, CROSS_PRICE, WASTE_PRICE = 0.01, 0.03, 0.04


@dataclass(frozen=True)
class Result:
    """Parts of the worth asked for, parts of the jobs asked for, and counts."""

    G: float
    whole: float
    worst: float  # 10 s
    worst_class: float
    worst_tenant: float
    peer: float  # prices
    cross: float
    waste: float
    late: float
    refused: float
    failed: float
    waited: float  # part of the starts that came over 0.1 s after their send
    attempts: float  # for each job
    no_connection: int
    calls: int  # to discovery, and those refused
    calls_refused: int
    datagrams: int
    cold_most: float  # work sent to a cold box in any window, as a part of what pushes it over
    broken: int  # rules

    def row(self) -> dict[str, float]:
        return asdict(self)


def result(world: SimulatedFleet) -> Result:
    wishes, count = world.wishes, world.count
    windows = [
        [w for w in wishes if start <= w.at < start + WINDOW]
        for start in range(max(1, int(world.plan.seconds) - WINDOW + 1))
    ]
    whole, worst = _worth(wishes), min(map(_worth, windows))
    worst_class = min(classes(world).values())
    worst_tenant = min(
        _worth([w for w in wishes if w.tenant == t]) for t in range(max(1, len(world.plan.site.shares)))
    )
    jobs = max(1, len(wishes))
    peer = PEER_PRICE * count["charged"] / (256 * jobs)
    cross = CROSS_PRICE * count["cross_zone"] / jobs
    served = [w for w in wishes if w.end == "served"]
    spent = sum(box.spent for box in world.boxes.values())
    asked = max(1e-9, sum(w.work for w in wishes))
    waste = WASTE_PRICE * max(0.0, spent - sum(w.work for w in served)) / asked
    figure = 0.25 * whole + 0.45 * worst + 0.2 * worst_class + 0.1 * worst_tenant - peer - cross - waste
    return Result(
        figure,
        whole,
        worst,
        worst_class,
        worst_tenant,
        peer,
        cross,
        waste,
        late=sum(not w.in_time for w in served) / jobs,
        refused=_ended(wishes, "refused"),
        failed=_ended(wishes, "failed"),
        waited=sum(w > 0.1 for w in world.waits) / max(1, len(world.waits)),
        attempts=count["attempts"] / jobs,
        no_connection=count["outcome_" + AttemptOutcome.NO_CONNECTION],
        calls=world.discovery.calls,
        calls_refused=world.discovery.refusals,
        datagrams=count["datagrams"],
        cold_most=max(box.most_sent for box in world.boxes.values()),
        broken=len(world.broken),
    )


def classes(world: SimulatedFleet) -> dict[str, float]:
    """The part of each class that was served in time."""
    return {sort.name: _worth([w for w in world.wishes if w.sort is sort]) for sort in world.plan.site.sorts}


def _worth(wishes: list[Wish]) -> float:
    asked = sum(w.sort.worth for w in wishes)
    return sum(w.sort.worth for w in wishes if w.in_time) / asked if asked else 1.0


def _ended(wishes: list[Wish], end: str) -> float:
    return sum(w.end == end for w in wishes) / max(1, len(wishes))

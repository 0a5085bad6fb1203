"""What a day is like, and what dispatchers are told of the site."""

from __future__ import annotations

from dataclasses import dataclass

RENDER, PUBLISH = 0, 1
NAMES = ("render", "publish")
WORTH = (3.0, 9.0)
AIM, STRETCH, DEADLINE = (0.25, 0.6), (2.0, 2.5), (7.5, 25.0)
MEAN_WORK = (0.57, 2.3)
PUBLISHED = 0.31  # part of the jobs
SHARES = (0.54, 0.29, 0.17)
QUOTA = 0.8  # of the capacity, in all
TROUBLES = ("", "zone", "join", "herd", "roll", "hub", "cut", "split", "mute", "burst", "slow")


@dataclass(frozen=True)
class Kind:
    """Boxes of one machine kind: their part of the fleet, cores, jobs at once, speed of a core."""

    share: float
    cores: int
    slots: int
    speed: float


@dataclass(frozen=True)
class Plan:
    """One day. `load` is the part of the fleet's capacity that is asked for."""

    dispatchers: int = 40
    boxes: int = 60
    load: float = 0.68
    seconds: float = 24.0
    seed: int = 1
    swing: float = 0.2  # of the traffic, up and down
    skew: float = 0.2  # more traffic in the first zone, less in the other
    first_zone: float = 0.45  # part of the boxes in the zone that is never lost
    kinds: tuple[Kind, ...] = (Kind(0.32, 4, 5, 1.3), Kind(0.39, 5, 6, 0.95), Kind(0.29, 5, 5, 0.7))
    speed_cv: float = 0.15
    pause: float = 0.07  # longest stall of a box, which comes every 4 to 11 s
    bad: int = 0  # boxes that fail fast from the first seconds on
    loss: float = 0.0  # part of the datagrams that is lost
    peers: bool = True
    retries: float = 0.7  # chance that a client asks once more
    calls_a_second: float = 6.0  # that discovery answers
    trouble: str = ""  # one of TROUBLES
    at: float = 6.0  # when it begins

    def __post_init__(self) -> None:
        if self.trouble not in TROUBLES:
            raise ValueError(f"trouble: {self.trouble!r} is none of {', '.join(filter(None, TROUBLES))}")


def settings(capacity: float, peers: bool) -> dict[str, str]:
    """Pairs as a site of this kind gives them. `capacity` is in jobs a second."""
    told = {
        "requestClasses.count": "2", "membershipMode": "on_request", "clients.marksRetry": "true",
        "policyLimits.maxAttempts": "3", "policyLimits.retryAfter": "true", "policyLimits.maxRetryAfter": "2",
        "policyLimits.cancel": "true", "policyLimits.mayDuplicate": "true", "policyLimits.probes": "true",
        "policyLimits.peers": str(peers).lower(), "policyLimits.connectTimeout": "0.25",
        "policyLimits.idleClose": "5", "familyInfo.tellsStart": "true", "familyInfo.progress": "1",
        "familyInfo.classStretch": ",".join(map(str, STRETCH)), "familyInfo.reportX0": "free_slots",
        "report.source": "answers", "report.names": "x0", "overShareWorth": "0.2", "quantum": "0.002",
        "rules.mustAskIn": "10", "rules.coldShare": "0.38", "rules.warmWithin": "8.4",
        "rules.drainGrace": "0.4", "rules.fallMultiple": "4", "rules.tipAfter": "1.5",
        "rules.graceToAnswer": "0.008", "costs.crossZone": "0.03", "costs.waste": "0.04",
        "costs.peer": "0.01", "orgs.count": str(len(SHARES)),
    }
    for i, (semantics, group, window) in enumerate((("retryable", "all", 5), ("dedup", "cell", 40))):
        path = f"requestClasses.{i}."
        told |= {path + "aim": str(AIM[i]), path + "hardLimit": str(DEADLINE[i]), path + "group": group,
                 path + "semantics": semantics, path + "dedupWindow": str(window),
                 path + "importance": str(WORTH[i]), path + "name": NAMES[i]}
    for i, share in enumerate(SHARES):
        told |= {f"orgs.{i}.share": str(share), f"orgs.{i}.quotaRps": f"{QUOTA * capacity * share:.1f}"}
    return told

"""Settings, events and actions of the dispatcher: the whole interface of the module, without decisions.

All times are seconds as floats on the caller's clock, which only goes forward. Classes, tenants, zones and
kinds are positions in the lists of the settings. Worker and request ids are opaque whole numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

RETRYABLE, DEDUP, FRAGILE = "retryable", "dedup", "fragile"

# Attempt outcomes. Those in PROVEN_UNRUN guarantee that the job never started.
SERVED = "served"
FULL = "turned_away"
ERROR = "server_error"
TIMEOUT = "no_answer"
NO_CONNECTION = "no_connection"
RESET = "connection_lost"
CANCELLED = "called_off"
NOT_SENT = "not_sent"
UNUSABLE = "unusable"  # the worker finds fault with the request itself; not on the simulator's wire
OUTCOMES = frozenset((SERVED, FULL, ERROR, TIMEOUT, NO_CONNECTION, RESET, CANCELLED, NOT_SENT))
PROVEN_UNRUN = frozenset((FULL, NO_CONNECTION, NOT_SENT))

# Kinds of a membership update, states of a worker in it, and what a progress notice tells.
CHANGES, SNAPSHOT, REMEMBERED, REFUSED = "changes", "all", "remembered", "refused"
UP, DRAINING, GONE = "U", "L", "D"
STARTED, PROGRESS = 1, 2
REPEAT = 2  # flag of a job: a client's repeat, where clients mark theirs


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of jobs. `aim` + `stretch` x the job's own run time is the time in which it is wanted."""

    aim: float
    deadline: float
    semantics: str = RETRYABLE
    dedup_group: str = "all"
    dedup_window: float = 0.0
    late_worth: float = 0.0
    importance: float = 1.0
    stretch: float = 0.0
    kind: int = -1
    stream: bool = False
    priority: int = 0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant's told share of the service and its quota in requests a second (0: none told)."""

    share: float = 1.0
    quota_rps: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What an instance is told once, at its start. Defaults stand for keys that may be absent."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = (Tenant(),)
    group_size: int = 1
    own_number: int = 0
    zone: int = 0
    subscribe: bool = False  # membership comes only on request
    must_ask_in: float = 10.0
    peers: bool = False
    probes: bool = False
    cancel: bool = False
    may_duplicate: bool = False
    retry_after: bool = False
    max_retry_after: float = 1.0
    max_attempts: int = 4
    max_held: int = 20000
    connect_timeout: float = 0.25
    progress: float = 0.0  # interval of progress notices; 0: none
    tells_start: bool = False
    free_slots_field: str = ""  # name of the load report value that holds free slots, "" if none does
    queue_field: str = ""  # of the one that holds the jobs that wait
    over_share_worth: float = 1.0
    grace_to_answer: float = 0.0
    drain_grace: float = 0.0
    drain_release: float = 0.0  # within it idle connections to a draining worker are closed; 0: no such rule
    cold_share: float = 1.0
    warm_within: float = 0.0
    fall_multiple: float = 1.0
    tip_after: float = 1.0
    quantum: float = 0.001
    cost_waste: float = 0.0
    cost_cross_zone: float = 0.0
    cost_handshake: float = 0.0
    idle_close: float = 15.0
    marks_retry: bool = False

    @classmethod
    def from_pairs(cls, pairs: Mapping[str, str]) -> Settings:
        """Read path=value pairs; unknown keys are skipped, nonsense raises ValueError naming the key."""
        read = _Reader(pairs)
        count = read.whole("requestClasses.count", 0)
        if count < 1:
            raise ValueError("requestClasses.count: at least one class is needed")
        stretches = read.numbers("familyInfo.classStretch")
        kinds = read.numbers("familyInfo.classKind")
        priorities = read.numbers("familyInfo.classPriority")
        classes = []
        for i in range(count):
            path = f"requestClasses.{i}."
            semantics = pairs.get(path + "semantics", RETRYABLE)
            if semantics not in (RETRYABLE, DEDUP, FRAGILE):
                raise ValueError(f"{path}semantics: {semantics!r} is not known")
            classes.append(
                RequestClass(
                    aim=read.seconds(path + "aim", 1.0),
                    deadline=read.seconds(path + "hardLimit", 10.0),
                    semantics=semantics,
                    dedup_group=pairs.get(path + "group", "all"),
                    dedup_window=read.seconds(path + "dedupWindow", 0.0),
                    late_worth=read.seconds(path + "lateWorth", 0.0),
                    importance=read.seconds(path + "importance", 1.0),
                    stretch=read.seconds(path + "aimStretch", stretches[i] if i < len(stretches) else 0.0),
                    kind=int(kinds[i]) if i < len(kinds) else -1,
                    stream=read.flag(path + "stream"),
                    priority=int(priorities[i]) if i < len(priorities) else 0,
                )
            )
        tenants = tuple(
            Tenant(read.seconds(f"orgs.{i}.share", 1.0), read.seconds(f"orgs.{i}.quotaRps", 0.0))
            for i in range(read.whole("orgs.count", 0))
        ) or (Tenant(),)
        group_size = read.whole("groupSize", 1)
        if group_size < 1:
            raise ValueError("groupSize: must be 1 or more")
        own_number = read.whole("myNumber", 0)
        if not 0 <= own_number < group_size:
            raise ValueError("myNumber: must be from 0 to groupSize - 1")
        free = queue = ""
        if pairs.get("report.source", "none") == "answers":
            for name in ("x0", "x1"):
                meaning = pairs.get(f"familyInfo.reportX{name[1]}", "")
                if meaning == "free_slots" and name in pairs.get("report.names", "").split(","):
                    free = name
            queue = "depth" if "depth" in pairs.get("report.names", "").split(",") else ""
        return cls(
            classes=tuple(classes),
            tenants=tenants,
            group_size=group_size,
            own_number=own_number,
            zone=read.whole("zone", 0),
            subscribe=pairs.get("membershipMode", "pushed") == "on_request",
            must_ask_in=read.seconds("rules.mustAskIn", 10.0),
            peers=read.flag("policyLimits.peers"),
            probes=read.flag("policyLimits.probes"),
            cancel=read.flag("policyLimits.cancel"),
            may_duplicate=read.flag("policyLimits.mayDuplicate"),
            retry_after=read.flag("policyLimits.retryAfter"),
            max_retry_after=read.seconds("policyLimits.maxRetryAfter", 1.0),
            max_attempts=read.whole("policyLimits.maxAttempts", 4),
            max_held=read.whole("policyLimits.mostHeld", 20000),
            connect_timeout=read.seconds("policyLimits.connectTimeout", 0.25),
            progress=read.seconds("familyInfo.progress", 0.0),
            tells_start=read.flag("familyInfo.tellsStart"),
            free_slots_field=free,
            queue_field=queue,
            over_share_worth=read.seconds("overShareWorth", 1.0),
            grace_to_answer=read.seconds("rules.graceToAnswer", 0.0),
            drain_grace=read.seconds("rules.drainGrace", 0.0),
            drain_release=read.seconds("rules.drainRelease", 0.0),
            cold_share=read.seconds("rules.coldShare", 1.0),
            warm_within=read.seconds("rules.warmWithin", 0.0),
            fall_multiple=read.seconds("rules.fallMultiple", 1.0),
            tip_after=read.seconds("rules.tipAfter", 1.0),
            quantum=read.seconds("quantum", 0.001),
            cost_waste=read.seconds("costs.waste", 0.0),
            cost_cross_zone=read.seconds("costs.crossZone", 0.0),
            cost_handshake=read.seconds("costs.handshake", 0.0),
            idle_close=read.seconds("policyLimits.idleClose", 15.0),
            marks_retry=read.flag("clients.marksRetry"),
        )


class _Reader:
    """Typed look-ups in path=value pairs."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def number(self, key: str, default: float) -> float:
        text = self.pairs.get(key, "-")
        if text in ("-", ""):
            return default
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{key}: {text!r} is not a number") from None
        if value != value or value in (float("inf"), float("-inf")):
            raise ValueError(f"{key}: {text!r} is not a finite number")
        return value

    def seconds(self, key: str, default: float) -> float:
        value = self.number(key, default)
        if value < 0:
            raise ValueError(f"{key}: must not be negative")
        return value

    def whole(self, key: str, default: int) -> int:
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        return self.pairs.get(key, "false") in ("true", "1")

    def numbers(self, key: str) -> list[float]:
        text = self.pairs.get(key, "")
        try:
            return [float(part) for part in text.split(",")] if text not in ("", "-") else []
        except ValueError:
            raise ValueError(f"{key}: {text!r} is not a list of numbers") from None


# ---- events -------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Member:
    """One worker in a membership update."""

    worker: int
    status: str = UP
    kind: int = 0
    cell: int = 0
    zone: int = 0
    weight: float = 1.0
    # Of its last start, as the list tells it: names that start, alike at every dispatcher. 0: long ago.
    started_at: float = 0.0
    # The same on this dispatcher's own clock, which the age goes by; 0: `started_at` is on that clock.
    slow_start_from: float = 0.0


@dataclass(slots=True)
class Start:
    """The instance has started with empty state."""


@dataclass(slots=True)
class Membership:
    how: str
    version: int = 0
    members: list[Member] = field(default_factory=list)


@dataclass(slots=True)
class Maintenance:
    """Operators take a worker out, or put it back, whatever lists say. Not on the simulator's wire."""

    worker: int
    out: bool


@dataclass(slots=True)
class Elsewhere:
    """Another process of this dispatcher has more slots out on a worker, or fewer; 0: the worker was heard
    there. Not on the simulator's wire.
    """

    worker: int
    slots: float


@dataclass(slots=True)
class Job:
    """A request has arrived and waits for its one final answer, `remaining` seconds at most."""

    request: int
    cls: int
    tenant: int
    remaining: float
    key: str = ""
    size_hint: float = 0.0  # expected work in standard-core seconds; 0: not told
    slots: float = 1.0
    memory: float = 0.0
    flags: int = 0
    doubted: bool = False  # it may have run elsewhere, and nobody knows where
    patience: float = 0.0  # seconds that its client waits, maybe more than `remaining`; 0: no more


@dataclass(slots=True)
class Notice:
    request: int
    worker: int
    attempt: int
    what: int
    value: float = 0.0


@dataclass(slots=True)
class StreamStarted:
    request: int
    worker: int
    attempt: int
    latency: float = 0.0


@dataclass(slots=True)
class Outcome:
    """An attempt is over; `settled` is set when the request has its final answer."""

    request: int
    worker: int
    attempt: int
    outcome: str
    settled: bool = False
    latency: float = 0.0
    load: Mapping[str, float] | None = None
    detail: int = 0


@dataclass(slots=True)
class ClientGone:
    request: int


@dataclass(slots=True)
class PeerMessage:
    peer: int
    payload: bytes


@dataclass(slots=True)
class ProbeResult:
    worker: int
    outcome: str
    latency: float = 0.0
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class Stalled:
    """The instance itself did not run for so many seconds, until now."""

    seconds: float


@dataclass(slots=True)
class Timer:
    token: int


Event: TypeAlias = (
    Start
    | Membership
    | Maintenance
    | Elsewhere
    | Job
    | Notice
    | StreamStarted
    | Outcome
    | ClientGone
    | PeerMessage
    | ProbeResult
    | Stalled
    | Timer
)

# ---- actions ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Attempt the request on a worker; `timeout` 0 means until the client gives up."""

    request: int
    worker: int
    timeout: float = 0.0


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, harmless to repeat after `retry_after` seconds."""

    request: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Abort:
    """Final answer: an error; it is not told whether the job ran."""

    request: int


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    token: int
    after: float


@dataclass(slots=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Ask for the whole membership list once."""


@dataclass(slots=True)
class Probe:
    worker: int


@dataclass(slots=True)
class Disconnect:
    worker: int


@dataclass(slots=True)
class Tell:
    """Send a message to one peer, or to all if `peer` is -1."""

    payload: bytes
    peer: int = -1


@dataclass(slots=True)
class Log:
    text: str


Action: TypeAlias = (
    Send | Refuse | Abort | Cancel | SetTimer | Subscribe | Fetch | Probe | Disconnect | Tell | Log
)

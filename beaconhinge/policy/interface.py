"""Settings, events and actions of the dispatcher: the whole interface of the module, without decisions.

All times are seconds as floats on the caller's clock, which only goes forward. Classes, tenants, zones and
kinds are positions in the lists of the settings. Worker and request ids are opaque whole numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import TypeAlias


class Semantics(StrEnum):
    """Whether a request of a class may run twice."""

    RETRYABLE = "retryable"
    DEDUPLICATED = "dedup"  # workers of one deduplication group drop a second run within a window
    UNSAFE = "fragile"  # must never run twice, and has no idempotency key


class AttemptOutcome(StrEnum):
    """How an attempt ended. The values are those of the simulator's wire and of the counters' names."""

    SERVED = "served"
    REJECTED = "turned_away"  # by the worker, before it began
    SERVER_ERROR = "server_error"
    TIMEOUT = "no_answer"
    NO_CONNECTION = "no_connection"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "called_off"
    NOT_SENT = "not_sent"
    INVALID_REQUEST = "unusable"  # the worker rejects the request itself; not on the simulator's wire


WIRE_OUTCOMES = frozenset(AttemptOutcome) - {AttemptOutcome.INVALID_REQUEST}

PROVEN_UNRUN = frozenset((AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT))
"""Outcomes which guarantee that the job never started."""


class UpdateKind(StrEnum):
    """What a membership update holds."""

    CHANGES = "changes"
    SNAPSHOT = "all"
    BOOTSTRAP = "remembered"  # the list from the configuration, or from the process before
    REFUSED = "refused"  # discovery has not answered


class WorkerState(StrEnum):
    """State of a worker in a membership update."""

    READY = "U"
    DRAINING = "L"
    GONE = "D"


class NoticeKind(IntEnum):
    """What a worker reports of a job in flight."""

    STARTED = 1
    PROGRESS = 2


RETRY_FLAG = 2
"""Flag of a job: a client's retry, where clients mark theirs."""


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of jobs. `aim` + `stretch` x the job's own run time is the time in which it is wanted."""

    latency_objective_s: float
    deadline_s: float
    semantics: Semantics = Semantics.RETRYABLE
    dedup_group: str = "all"
    dedup_window_s: float = 0.0
    late_value: float = 0.0
    importance: float = 1.0
    objective_stretch: float = 0.0
    worker_kind: int = -1
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
    membership_on_request: bool = False  # membership comes only on request
    membership_max_age_s: float = 10.0
    peer_messages: bool = False
    probes_allowed: bool = False
    cancel_allowed: bool = False
    hedging_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_s: float = 1.0
    max_attempts: int = 4
    max_queued: int = 20000
    connect_timeout_s: float = 0.25
    progress_interval_s: float = 0.0  # interval of progress notices; 0: none
    reports_start: bool = False
    free_slots_field: str = ""  # name of the load report value that holds free slots, "" if none does
    queue_field: str = ""  # of the one that holds the jobs that wait
    over_quota_value: float = 1.0
    answer_grace_s: float = 0.0
    drain_grace_s: float = 0.0
    drain_close_within_s: float = (
        0.0  # within it idle connections to a draining worker are closed; 0: no such rule
    )
    slow_start_min_share: float = 1.0
    slow_start_s: float = 0.0
    overload_multiple: float = 1.0
    overload_window_s: float = 1.0
    quantum: float = 0.001
    cost_waste: float = 0.0
    cost_cross_zone: float = 0.0
    cost_handshake: float = 0.0
    idle_timeout_s: float = 15.0
    clients_mark_retries: bool = False

    @classmethod
    def from_pairs(cls, pairs: Mapping[str, str]) -> Settings:
        """Read path=value pairs; unknown keys are skipped, nonsense raises ValueError naming the key."""
        read = _PairReader(pairs)
        count = read.integer("requestClasses.count", 0)
        if count < 1:
            raise ValueError("requestClasses.count: at least one class is needed")
        stretches = read.numbers("familyInfo.classStretch")
        kinds = read.numbers("familyInfo.classKind")
        priorities = read.numbers("familyInfo.classPriority")
        classes = []
        for i in range(count):
            path = f"requestClasses.{i}."
            semantics = pairs.get(path + "semantics", Semantics.RETRYABLE.value)
            if semantics not in frozenset(Semantics):
                raise ValueError(f"{path}semantics: {semantics!r} is not known")
            classes.append(
                RequestClass(
                    latency_objective_s=read.non_negative(path + "aim", 1.0),
                    deadline_s=read.non_negative(path + "hardLimit", 10.0),
                    semantics=Semantics(semantics),
                    dedup_group=pairs.get(path + "group", "all"),
                    dedup_window_s=read.non_negative(path + "dedupWindow", 0.0),
                    late_value=read.non_negative(path + "lateWorth", 0.0),
                    importance=read.non_negative(path + "importance", 1.0),
                    objective_stretch=read.non_negative(
                        path + "aimStretch", stretches[i] if i < len(stretches) else 0.0
                    ),
                    worker_kind=int(kinds[i]) if i < len(kinds) else -1,
                    stream=read.flag(path + "stream"),
                    priority=int(priorities[i]) if i < len(priorities) else 0,
                )
            )
        tenants = tuple(
            Tenant(read.non_negative(f"orgs.{i}.share", 1.0), read.non_negative(f"orgs.{i}.quotaRps", 0.0))
            for i in range(read.integer("orgs.count", 0))
        ) or (Tenant(),)
        group_size = read.integer("groupSize", 1)
        if group_size < 1:
            raise ValueError("groupSize: must be 1 or more")
        own_number = read.integer("myNumber", 0)
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
            zone=read.integer("zone", 0),
            membership_on_request=pairs.get("membershipMode", "pushed") == "on_request",
            membership_max_age_s=read.non_negative("rules.mustAskIn", 10.0),
            peer_messages=read.flag("policyLimits.peers"),
            probes_allowed=read.flag("policyLimits.probes"),
            cancel_allowed=read.flag("policyLimits.cancel"),
            hedging_allowed=read.flag("policyLimits.mayDuplicate"),
            retry_after_allowed=read.flag("policyLimits.retryAfter"),
            max_retry_after_s=read.non_negative("policyLimits.maxRetryAfter", 1.0),
            max_attempts=read.integer("policyLimits.maxAttempts", 4),
            max_queued=read.integer("policyLimits.mostHeld", 20000),
            connect_timeout_s=read.non_negative("policyLimits.connectTimeout", 0.25),
            progress_interval_s=read.non_negative("familyInfo.progress", 0.0),
            reports_start=read.flag("familyInfo.tellsStart"),
            free_slots_field=free,
            queue_field=queue,
            over_quota_value=read.non_negative("overShareWorth", 1.0),
            answer_grace_s=read.non_negative("rules.graceToAnswer", 0.0),
            drain_grace_s=read.non_negative("rules.drainGrace", 0.0),
            drain_close_within_s=read.non_negative("rules.drainRelease", 0.0),
            slow_start_min_share=read.non_negative("rules.coldShare", 1.0),
            slow_start_s=read.non_negative("rules.warmWithin", 0.0),
            overload_multiple=read.non_negative("rules.fallMultiple", 1.0),
            overload_window_s=read.non_negative("rules.tipAfter", 1.0),
            quantum=read.non_negative("quantum", 0.001),
            cost_waste=read.non_negative("costs.waste", 0.0),
            cost_cross_zone=read.non_negative("costs.crossZone", 0.0),
            cost_handshake=read.non_negative("costs.handshake", 0.0),
            idle_timeout_s=read.non_negative("policyLimits.idleClose", 15.0),
            clients_mark_retries=read.flag("clients.marksRetry"),
        )


class _PairReader:
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

    def non_negative(self, key: str, default: float) -> float:
        value = self.number(key, default)
        if value < 0:
            raise ValueError(f"{key}: must not be negative")
        return value

    def integer(self, key: str, default: int) -> int:
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
class MemberEntry:
    """One worker in a membership update."""

    worker: int
    state: WorkerState = WorkerState.READY
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
class MembershipUpdate:
    kind: UpdateKind
    version: int = 0
    members: list[MemberEntry] = field(default_factory=list)


@dataclass(slots=True)
class MaintenanceMode:
    """Operators take a worker out, or put it back, whatever lists say. Not on the simulator's wire."""

    worker: int
    enabled: bool


@dataclass(slots=True)
class SiblingLoad:
    """Another process of this dispatcher has more slots out on a worker, or fewer; 0: the worker was heard
    there. Not on the simulator's wire.
    """

    worker: int
    slots: float


@dataclass(slots=True)
class JobArrived:
    """A request has arrived and waits for its one final answer, `remaining` seconds at most."""

    request: int
    class_index: int
    tenant: int
    remaining: float
    key: str = ""
    size_hint: float = 0.0  # expected work in standard-core seconds; 0: not told
    slots: float = 1.0
    memory: float = 0.0
    flags: int = 0
    may_run_elsewhere: bool = False  # it may have run elsewhere, and nobody knows where
    client_timeout: float = 0.0  # seconds that its client waits, maybe more than `remaining`; 0: no more


@dataclass(slots=True)
class ProgressNotice:
    request: int
    worker: int
    attempt: int
    kind: int  # a NoticeKind; any other number counts as progress
    fraction_done: float = 0.0


@dataclass(slots=True)
class StreamStarted:
    request: int
    worker: int
    attempt: int
    latency: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt is over; `settled` is set when the request has its final answer."""

    request: int
    worker: int
    attempt: int
    outcome: AttemptOutcome
    settled: bool = False
    latency: float = 0.0
    load: Mapping[str, float] | None = None
    detail: int = 0


@dataclass(slots=True)
class ClientDisconnected:
    request: int


@dataclass(slots=True)
class PeerMessage:
    peer: int
    payload: bytes


@dataclass(slots=True)
class ProbeResult:
    worker: int
    outcome: AttemptOutcome
    latency: float = 0.0
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class ProcessStalled:
    """The instance itself did not run for so many seconds, until now."""

    seconds: float


@dataclass(slots=True)
class TimerFired:
    token: int


Event: TypeAlias = (
    Start
    | MembershipUpdate
    | MaintenanceMode
    | SiblingLoad
    | JobArrived
    | ProgressNotice
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | PeerMessage
    | ProbeResult
    | ProcessStalled
    | TimerFired
)

# ---- actions ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class SendAttempt:
    """Attempt the request on a worker; `timeout` 0 means until the client gives up."""

    request: int
    worker: int
    timeout: float = 0.0


@dataclass(slots=True)
class Reject:
    """Final answer: not done, harmless to repeat after `retry_after` seconds."""

    request: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: an error; it is not told whether the job ran."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    token: int
    after: float


@dataclass(slots=True)
class SubscribeMembership:
    enabled: bool = True


@dataclass(slots=True)
class FetchMembership:
    """Ask for the whole membership list once."""


@dataclass(slots=True)
class ProbeWorker:
    worker: int


@dataclass(slots=True)
class CloseIdleConnections:
    worker: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to one peer, or to all if `peer` is -1."""

    payload: bytes
    peer: int = -1


@dataclass(slots=True)
class LogMessage:
    text: str


Action: TypeAlias = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | SubscribeMembership
    | FetchMembership
    | ProbeWorker
    | CloseIdleConnections
    | SendToPeer
    | LogMessage
)

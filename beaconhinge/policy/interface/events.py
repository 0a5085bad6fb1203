"""Events: the inputs of the dispatcher. All times are seconds."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from .enums import AttemptOutcome, UpdateKind, WorkerState


@dataclass(slots=True)
class MemberEntry:
    """One worker in a membership update."""

    worker: int
    state: WorkerState = WorkerState.READY
    kind: int = 0
    cell: int = 0
    zone: int = 0
    weight: float = 1.0
    # Of its last start, by the list: names that start, alike at every dispatcher. 0: long ago.
    started_at: float = 0.0
    # The same on this dispatcher's own clock, which the age goes by; 0: `started_at` is on that clock.
    slow_start_from: float = 0.0


@dataclass(slots=True)
class Start:
    """The instance has started with empty state."""


@dataclass(slots=True)
class MembershipUpdate:
    """A list of workers, a change of it, or a refusal."""

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
    """Another process of this dispatcher has more slots in use on a worker, or fewer.

    0: the worker gave a sign there. Not on the simulator's wire.
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
    size_hint: float = 0.0  # expected work in standard-core seconds; 0: unknown
    slots: float = 1.0
    memory: float = 0.0
    flags: int = 0
    may_run_elsewhere: bool = False  # it may have run elsewhere, and nobody knows where
    client_timeout: float = 0.0  # seconds that its client waits, maybe more than `remaining`; 0: no more
    # From when these two times count; 0: from the event itself. Not on the simulator's wire.
    times_from: float = 0.0


@dataclass(slots=True)
class ProgressNotice:
    """A worker reports that a job has started, or how far it is."""

    request: int
    worker: int
    attempt: int
    kind: int  # a NoticeKind; any other number counts as progress
    fraction_done: float = 0.0


@dataclass(slots=True)
class StreamStarted:
    """The first bytes of a streamed answer went to the client: no other attempt may answer."""

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
    """The client has left; attempts in flight still have their outcomes."""

    request: int


@dataclass(slots=True)
class DeadlinePassed:
    """The request's deadline is past and it has no final answer. Not on the simulator's wire."""

    request: int


@dataclass(slots=True)
class PeerMessage:
    """A datagram of another dispatcher of the group."""

    peer: int
    payload: bytes


@dataclass(slots=True)
class ProbeResult:
    """The answer of a probed worker, or why there is none."""

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
    """A timer that was set has run out."""

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
    | DeadlinePassed
    | PeerMessage
    | ProbeResult
    | ProcessStalled
    | TimerFired
)

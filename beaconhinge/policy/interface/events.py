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
    # Time of its last start by the list, equal for all dispatchers, which identifies the start. 0: long ago.
    started_at: float = 0.0
    # The same on this dispatcher's own clock, from which the worker's age is computed. 0: `started_at` is on
    # that clock.
    slow_start_from: float = 0.0


@dataclass(slots=True)
class Start:
    """The dispatcher has started with empty state."""


@dataclass(slots=True)
class MembershipUpdate:
    """A list of workers, a change of the list, or a failed request for it."""

    kind: UpdateKind
    version: int = 0
    members: list[MemberEntry] = field(default_factory=list)


@dataclass(slots=True)
class MaintenanceMode:
    """An operator puts a worker into maintenance or takes it out, whatever the list says.

    Not in the simulator's protocol.
    """

    worker: int
    enabled: bool


@dataclass(slots=True)
class SiblingLoad:
    """Another process of this dispatcher uses more slots of a worker, or fewer if `slots` is negative.

    0: that process received something from the worker. Not in the simulator's protocol.
    """

    worker: int
    slots: float


@dataclass(slots=True)
class JobArrived:
    """A request has arrived. It needs its one final answer within `remaining` seconds."""

    request: int
    class_index: int
    tenant: int
    remaining: float
    key: str = ""
    size_hint: float = 0.0  # expected work in seconds of a standard core; 0: unknown
    slots: float = 1.0
    memory: float = 0.0
    flags: int = 0
    may_run_elsewhere: bool = False  # whether it may have run on an unknown worker already
    client_timeout: float = 0.0  # seconds that its client waits; may exceed `remaining`. 0: equal to it
    # Time from which `remaining` and `client_timeout` count; 0: that of the event. Not in the simulator's
    # protocol.
    times_from: float = 0.0


@dataclass(slots=True)
class ProgressNotice:
    """A worker reports that a job has started, or how much of it is done."""

    request: int
    worker: int
    attempt: int
    kind: int  # a NoticeKind; any other number means progress
    fraction_done: float = 0.0


@dataclass(slots=True)
class StreamStarted:
    """The first bytes of a streamed answer were sent to the client, so no other attempt may answer."""

    request: int
    worker: int
    attempt: int
    latency: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. `settled` is set if the request has its final answer."""

    request: int
    worker: int
    attempt: int
    outcome: AttemptOutcome
    settled: bool = False
    latency: float = 0.0
    load: Mapping[str, float] | None = None
    detail: int = 0
    # Whether the attempt was given up and its worker may still hold the job; then `AttemptReleased` follows
    # once it does not. Not in the simulator's protocol.
    withdrawal_pending: bool = False
    # Whether call-backs about the attempt may still come: its worker took the job, or may have. Not in the
    # simulator's protocol.
    may_call_back: bool = False


@dataclass(slots=True)
class AttemptReleased:
    """The worker of a given-up attempt does not hold its job any more. Not in the simulator's protocol."""

    request: int
    attempt: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected. Attempts in flight still report their outcomes."""

    request: int


@dataclass(slots=True)
class DeadlinePassed:
    """The deadline of a request without a final answer has passed. Not in the simulator's protocol."""

    request: int


@dataclass(slots=True)
class PeerMessage:
    """A datagram from another dispatcher of the group has arrived."""

    peer: int
    payload: bytes


@dataclass(slots=True)
class ProbeResult:
    """A probe has ended, with the worker's answer or the reason why there is none."""

    worker: int
    outcome: AttemptOutcome
    latency: float = 0.0
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class ProcessStalled:
    """This process itself did not run for the last `seconds` seconds."""

    seconds: float


@dataclass(slots=True)
class TimerFired:
    """A timer has expired."""

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
    | AttemptReleased
    | ClientDisconnected
    | DeadlinePassed
    | PeerMessage
    | ProbeResult
    | ProcessStalled
    | TimerFired
)

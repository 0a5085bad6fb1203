"""Actions: what the dispatcher answers to an event."""

from dataclasses import dataclass
from typing import TypeAlias


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
    """Final answer: an error, which leaves open whether the job ran."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Let the worker know that nobody needs the attempt any more."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` with this token after so many seconds."""

    token: int
    after: float


@dataclass(slots=True)
class SubscribeMembership:
    """Ask for the membership list and its changes, or end that."""

    enabled: bool = True


@dataclass(slots=True)
class FetchMembership:
    """Ask for the whole membership list once."""


@dataclass(slots=True)
class ProbeWorker:
    """Ask a worker for its load."""

    worker: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close idle connections to a worker."""

    worker: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to one peer, or to all if `peer` is -1."""

    payload: bytes
    peer: int = -1


@dataclass(slots=True)
class LogMessage:
    """A line for the log."""

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

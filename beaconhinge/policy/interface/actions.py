"""Actions: what the caller must do after an event."""

import math
from dataclasses import dataclass
from typing import TypeAlias


@dataclass(slots=True)
class SendAttempt:
    """Send the request to a worker.

    Attributes:
        request: The request's number.
        worker: The worker's number.
        timeout: In seconds; 0: as long as the client waits.
        repeat_until: Time from which on the request must not be written if another attempt of it may have
            run, in seconds on the dispatcher's clock.
    """

    request: int
    worker: int
    timeout: float = 0.0
    repeat_until: float = math.inf


@dataclass(slots=True)
class Reject:
    """Reject the request with a final answer: a retry after `retry_after` seconds is harmless."""

    request: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Give the final answer that the request failed; the job may have run or not."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt at its worker, because its result is not needed any more."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` event with this token after `after` seconds."""

    token: int
    after: float


@dataclass(slots=True)
class SubscribeMembership:
    """Start or end the subscription to the membership list and its changes."""

    enabled: bool = True


@dataclass(slots=True)
class FetchMembership:
    """Request the whole membership list once."""


@dataclass(slots=True)
class ProbeWorker:
    """Request a load report from a worker."""

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
    """Write a line to the log."""

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

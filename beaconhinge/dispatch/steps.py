"""The steps of a request: what its queue holds and its coroutine handles one after the other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..policy import interface
from .attempt import AttemptFinished, AttemptProgress, AttemptReleased


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """Step: the client has closed its connection."""


@dataclass(slots=True, frozen=True)
class Overdue:
    """Step: the deadline has passed, and half of the grace period for the answer after it."""


@dataclass(slots=True, frozen=True)
class Admitted:
    """Step: the job was passed to the policy. The actions that it returned at once precede this step."""


Step: TypeAlias = (
    interface.SendAttempt
    | interface.Reject
    | interface.Fail
    | interface.CancelAttempt
    | AttemptFinished
    | AttemptProgress
    | AttemptReleased
    | ClientLeft
    | Overdue
    | Admitted
)

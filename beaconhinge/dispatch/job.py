"""What a client hands in, what it gets back, and what is known of its idempotency key."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class RequestEnd(StrEnum):
    """How a request ended for its client. The values are part of counters' names."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_GONE = "gone"  # nobody is left to answer


@dataclass(slots=True)
class Job:
    """What a client hands in, whatever protocol it speaks."""

    id: str
    class_index: int
    tenant: int
    remaining_s: float
    """From `received_at` until it must have its answer."""
    received_at: float
    """When it was read; what it had waited for that by then is subtracted from its times."""
    target: bytes
    """Path and query, passed on unchanged."""
    body: bytes
    idempotency_key: str = ""
    route_key: str = ""
    slots: float = 1.0
    memory: float = 0.0
    is_retry: bool = False
    work_s: float = 0.0
    """Seconds of a standard core that it may take; 0 if that is not known."""
    client_timeout_s: float = 0.0
    """From `received_at`, how long its client waits; 0 for `remaining_s` and no more."""

    @property
    def deadline(self) -> float:
        """The time by which it must have its answer."""
        return self.received_at + self.remaining_s


@dataclass(slots=True, frozen=True)
class Answer:
    """The end of a request, with the result or the time after which to try again."""

    end: RequestEnd
    body: bytes = b""
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class KeyStatus:
    """What is known of a job's idempotency key before the job is started."""

    may_run_elsewhere: bool = False
    """It may have run elsewhere, or may be about to."""
    result: bytes | None = None
    """The result of an earlier request with the same key."""
    registered: bool = False
    """The key is registered now; `IdempotencyKeys.left` is due when the request ends."""


class IdempotencyKeys(Protocol):
    """Knows which keys are, or were lately, at this or another dispatcher."""

    async def register(self, job: Job) -> KeyStatus:
        """Look the job's key up, and register it if nobody else has it."""

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        """Take note of the end of a job whose key was registered."""

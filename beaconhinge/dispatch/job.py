"""Jobs as clients submit them, the answers to them, and the state of their idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class RequestEnd(StrEnum):
    """How a request ended for its client. The values are part of counters' names."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_GONE = "gone"  # the client disconnected before its answer


@dataclass(slots=True)
class Job:
    """A job as submitted by a client, whatever protocol the client speaks."""

    id: str
    class_index: int
    tenant: int
    remaining_s: float
    """Seconds from `received_at` to the deadline for the answer."""
    received_at: float
    """Time at which the job was read, in seconds.

    The time that it had waited to be read is already subtracted from `remaining_s` and `client_timeout_s`.
    """
    target: bytes
    """Path and query, forwarded unchanged."""
    body: bytes
    idempotency_key: str = ""
    route_key: str = ""
    slots: float = 1.0
    memory: float = 0.0
    is_retry: bool = False
    work_s: float = 0.0
    """Estimated work in seconds of a standard core; 0 if unknown."""
    client_timeout_s: float = 0.0
    """Seconds that the client waits from `received_at`; 0 if the client waits for `remaining_s` only."""

    @property
    def deadline(self) -> float:
        """Time by which the client must have its answer, in seconds."""
        return self.received_at + self.remaining_s


@dataclass(slots=True, frozen=True)
class Answer:
    """The end of a request, with the result or the time after which to retry."""

    end: RequestEnd
    body: bytes = b""
    """The result, if the request was served."""
    retry_after: float = 0.0
    """Seconds after which a rejected client may retry; 0 if no time is announced."""


@dataclass(slots=True, frozen=True)
class KeyStatus:
    """Result of the look-up of a job's idempotency key, before the job is started."""

    may_run_elsewhere: bool = False
    """Whether a job with the same key may have run, or may yet run, at another dispatcher."""
    result: bytes | None = None
    """The result of an earlier request with the same key; None if there is none."""
    registered: bool = False
    """Whether the key is now registered: `IdempotencyKeys.release` must be called when the request ends."""


class IdempotencyKeys(Protocol):
    """Registry of the idempotency keys in use, or recently used, at this or another dispatcher."""

    async def register(self, job: Job) -> KeyStatus:
        """Look up the job's key, and register it if no other dispatcher has it."""

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        """Record the end of a job whose key was registered.

        Args:
            job: The job.
            may_have_run: Whether a worker may have run it, or may yet.
            result: The result if the job was served, else None.
        """

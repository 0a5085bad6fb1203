"""Enumerations of the interface. Texts and numbers in them are those of the simulator's wire."""

from enum import IntEnum, StrEnum


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

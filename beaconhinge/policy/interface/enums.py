"""Enumerations of the interface. Their values are those of the simulator's protocol."""

from enum import IntEnum, StrEnum


class Semantics(StrEnum):
    """Whether a request of a class may run twice."""

    RETRYABLE = "retryable"
    DEDUPLICATED = "dedup"  # workers of one deduplication group drop a second run within a time window
    UNSAFE = "fragile"  # must never run twice, and has no idempotency key


class AttemptOutcome(StrEnum):
    """How an attempt ended. The values are also used in the names of counters."""

    SERVED = "served"
    REJECTED = "turned_away"  # by the worker, before the job began
    SERVER_ERROR = "server_error"
    TIMEOUT = "no_answer"
    NO_CONNECTION = "no_connection"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "called_off"
    NOT_SENT = "not_sent"
    INVALID_REQUEST = "unusable"  # the worker rejects the request as invalid; not in the simulator's protocol


WIRE_OUTCOMES = frozenset(AttemptOutcome) - {AttemptOutcome.INVALID_REQUEST}

PROVEN_UNRUN = frozenset((AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT))
"""Outcomes which guarantee that the job never started."""


class UpdateKind(StrEnum):
    """What a membership update contains."""

    CHANGES = "changes"
    SNAPSHOT = "all"
    BOOTSTRAP = "remembered"  # the list from the configuration, or from the previous process
    REFUSED = "refused"  # discovery gave no list


class WorkerState(StrEnum):
    """State of a worker in a membership update."""

    READY = "U"
    DRAINING = "L"
    GONE = "D"


class NoticeKind(IntEnum):
    """What a worker reports about a job in flight."""

    STARTED = 1
    PROGRESS = 2


RETRY_FLAG = 2
"""Bit in a job's flags: the job is a client's retry. Set only where clients mark their retries."""

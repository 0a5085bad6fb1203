"""Queue of the requests that wait for a free slot, by kind of worker."""

from bisect import insort
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from .context import Context
from .request_table import Request
from .retries import RetryPolicy

MAX_SCANNED_REQUESTS = 32
"""Most queued requests tried when a slot becomes free; this limits the work of one event."""


class Rank(IntEnum):
    """Priority in the queue; lower values come first."""

    WITHIN_QUOTA = 0
    OVER_QUOTA = 1
    LATE = 2
    LATE_OVER_QUOTA = 3


class QueuedRequest(NamedTuple):
    """Queue entry of a request. Entries are sorted by their fields.

    Attributes:
        rank: Priority, lower first.
        expires_at: Time in seconds at which the entry expires.
        id: Id of the request.
        request: The request.
    """

    rank: int
    expires_at: float
    id: int
    request: Request


class RequestQueue:
    """Queued requests by kind of worker, sorted by rank and then by the time at which they expire.

    A request that is not late expires when it must have started, and a late one when it is given up.
    """

    def __init__(self, context: Context, retries: RetryPolicy) -> None:
        """Create an empty queue."""
        self._context = context
        self._retries = retries
        self.by_kind: dict[int, list[QueuedRequest]] = {}

    def add(self, request: Request) -> bool:
        """Queue a request. Return False if too little time is left to serve it."""
        now = self._context.now
        late, expires_at = now >= request.start_by, self._retries.give_up_at(request)
        if now >= expires_at:
            return False
        request.queued, expires_at = True, expires_at if late else min(expires_at, request.start_by)
        entry = QueuedRequest(2 * late + request.over_quota, expires_at, request.id, request)
        insort(self.by_kind.setdefault(request.request_class.worker_kind, []), entry)
        return True

    def first_entries(self) -> Iterator[list[QueuedRequest]]:
        """Yield the first entries of each kind of worker, to be tried when a slot is free."""
        for queue in self.by_kind.values():
            yield queue[:MAX_SCANNED_REQUESTS]

    def remove(self, entry: QueuedRequest) -> None:
        """Remove an entry."""
        self.by_kind[entry.request.request_class.worker_kind].remove(entry)
        entry.request.queued = False

    def take_expired(self) -> Iterator[QueuedRequest]:
        """Remove expired and answered requests, and yield the entries of those without a final answer."""
        for queue in self.by_kind.values():
            for entry in [e for e in queue if e.expires_at <= self._context.now or e.request.answered]:
                queue.remove(entry)
                entry.request.queued = False
                if not entry.request.answered:
                    yield entry

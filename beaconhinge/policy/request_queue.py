"""Requests that wait for a free slot, by kind of worker."""

from bisect import insort
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from .context import Context
from .request_table import Request
from .retries import RetryPolicy

MAX_SCANNED_REQUESTS = 32
"""Queued requests looked at when a slot falls free; bounds the work of one event."""


class Rank(IntEnum):
    """Order in the queue."""

    WITHIN_QUOTA = 0
    OVER_QUOTA = 1
    LATE = 2
    LATE_OVER_QUOTA = 3


class QueuedRequest(NamedTuple):
    """Place of a request in the queue; entries are ordered by their fields."""

    rank: int
    until: float
    id: int
    request: Request


class RequestQueue:
    """Queued requests: those that must start soonest first, those already late last."""

    def __init__(self, context: Context, retries: RetryPolicy) -> None:
        """Start empty."""
        self._context = context
        self._retries = retries
        self.by_kind: dict[int, list[QueuedRequest]] = {}

    def add(self, request: Request) -> bool:
        """Queue a request. Returns False if too little time is left to serve it."""
        now = self._context.now
        late, until = now >= request.start_by, self._retries.give_up_at(request)
        if now >= until:
            return False
        request.queued, until = True, until if late else min(until, request.start_by)
        entry = QueuedRequest(2 * late + request.over_quota, until, request.id, request)
        insort(self.by_kind.setdefault(request.request_class.worker_kind, []), entry)
        return True

    def first_entries(self) -> Iterator[list[QueuedRequest]]:
        """The entries of each kind that are looked at when a slot falls free."""
        for queue in self.by_kind.values():
            yield queue[:MAX_SCANNED_REQUESTS]

    def remove(self, entry: QueuedRequest) -> None:
        """Take an entry out."""
        self.by_kind[entry.request.request_class.worker_kind].remove(entry)
        entry.request.queued = False

    def take_expired(self) -> Iterator[QueuedRequest]:
        """Take out what has waited too long; what was answered meanwhile is dropped."""
        for queue in self.by_kind.values():
            for entry in [e for e in queue if e.until <= self._context.now or e.request.answered]:
                queue.remove(entry)
                entry.request.queued = False
                if not entry.request.answered:
                    yield entry

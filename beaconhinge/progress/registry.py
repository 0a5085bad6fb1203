"""Registry of the streams that a client may return to: their jobs, tenants, tokens and times. Does no I/O.

A stream is registered from its first event on. While its job is in progress, it stays as long as it has a
reader and for `detached_s` after that. Once it has its outcome, it stays for `keep_outcome_s`, within a limit
on the bytes kept.
"""

from __future__ import annotations

import hmac
from collections import OrderedDict
from dataclasses import dataclass

from .feed import ProgressFeed

ENTRY_OVERHEAD_BYTES = 2048  # bytes counted for a stream beside its outcome


@dataclass(slots=True, eq=False)
class StreamEntry:
    """A registered stream.

    Attributes:
        id: the id of its job.
        token: secret that a client must present to return to the stream.
        reader: number of the newest reader, which has replaced all older ones.
        attached: whether the newest reader is connected.
        expires_at: when the stream is removed, or its job given up if it has no outcome yet.
        size_bytes: bytes counted against the limit once it has its outcome.
    """

    id: str
    tenant: int
    token: str
    feed: ProgressFeed
    reader: int = 0
    attached: bool = False
    expires_at: float = float("inf")
    size_bytes: int = ENTRY_OVERHEAD_BYTES


class StreamRegistry:
    """The streams that a client may return to. Times are seconds of a monotonic clock.

    Attributes:
        detached_s: time that a job without a reader goes on; 0 gives it up at once.
        keep_outcome_s: time that an outcome is kept; 0 keeps none.
        max_detached: highest number of jobs in progress without a reader.
        max_finished_bytes: limit on the bytes counted for the streams with an outcome.
        entries: all streams, by job id.
        finished_entries: the streams with an outcome, oldest first.
        finished_bytes: bytes counted for them.
    """

    def __init__(
        self, detached_s: float, keep_outcome_s: float, max_detached: int, max_finished_bytes: int
    ) -> None:
        self.detached_s = detached_s
        self.keep_outcome_s = keep_outcome_s
        self.max_detached = max_detached
        self.max_finished_bytes = max_finished_bytes
        self.entries: dict[str, StreamEntry] = {}
        self.finished_entries: OrderedDict[str, StreamEntry] = OrderedDict()
        self.finished_bytes = 0

    def add(self, job: str, tenant: int, token: str, feed: ProgressFeed) -> StreamEntry:
        """Register the stream of a new job and return its entry.

        A stream of the same id whose outcome is kept is removed: its job has ended, so the id may be used
        again.
        """
        self._forget(job)
        entry = self.entries[job] = StreamEntry(job, tenant, token, feed)
        return entry

    def find(self, job: str, token: str, tenant: int | None) -> StreamEntry | None:
        """Return the entry of a job if the token matches, or None for a wrong token, job or tenant alike.

        `tenant` is None when the reader does not name one.
        """
        entry = self.entries.get(job)
        # The comparison is always made and takes constant time, so that the delay does not reveal which jobs
        # exist.
        token_matches = hmac.compare_digest((entry.token if entry else "-" * 22).encode(), token.encode())
        if entry is None or not token_matches or tenant not in (None, entry.tenant):
            return None
        return entry

    def attach(self, entry: StreamEntry) -> int:
        """Register a new reader, which replaces the one before, and return its number."""
        entry.reader += 1
        entry.attached = True
        if not entry.feed.finished:
            entry.expires_at = float("inf")
        return entry.reader

    @property
    def detached(self) -> int:
        """Number of jobs in progress without a reader."""
        return sum(not entry.attached and not entry.feed.finished for entry in self.entries.values())

    def reader_left(self, entry: StreamEntry, reader: int, now: float) -> bool:
        """Record that a reader has disconnected. Returns whether its job must be given up at once."""
        if reader != entry.reader:
            return False  # a newer reader has replaced it
        entry.attached = False
        if entry.feed.finished:
            return False
        if self.detached_s <= 0 or self.detached > self.max_detached:
            return True
        entry.expires_at = now + self.detached_s
        return False

    def job_ended(self, entry: StreamEntry, size: int, now: float) -> None:
        """Keep a stream's outcome of `size` bytes for returning readers.

        The oldest outcomes are removed while the kept bytes are over the limit.
        """
        if self.entries.get(entry.id) is not entry:
            return
        entry.expires_at, entry.size_bytes = now + self.keep_outcome_s, ENTRY_OVERHEAD_BYTES + size
        self.finished_entries[entry.id] = entry
        self.finished_bytes += entry.size_bytes
        while self.finished_entries and (
            self.finished_bytes > self.max_finished_bytes or self.keep_outcome_s <= 0
        ):
            self._forget(next(iter(self.finished_entries)))

    def expire(self, now: float) -> list[StreamEntry]:
        """Remove finished streams that have expired and have no reader.

        Returns the expired streams whose jobs are in progress and must be given up, each once.
        """
        given_up = []
        for entry in [entry for entry in self.entries.values() if entry.expires_at <= now]:
            if not entry.feed.finished:
                entry.expires_at = float("inf")
                given_up.append(entry)
            elif not entry.attached:
                self._forget(entry.id)
        return given_up

    def _forget(self, job: str) -> None:
        """Remove a job's stream, if there is one."""
        entry = self.entries.pop(job, None)
        if entry is not None and self.finished_entries.pop(job, None) is not None:
            self.finished_bytes -= entry.size_bytes

"""Streams that can be come back to: which job, whose, with which token, and for how long. Decides, and does
no I/O.

A stream is known from its first event on. While its job is in work it stays as long as somebody reads it, and
for `detached_s` after that; with its outcome it stays for `keep_outcome_s`, within a bound on the bytes kept.
"""

from __future__ import annotations

import hmac
from collections import OrderedDict
from dataclasses import dataclass

from .feed import ProgressFeed

ENTRY_OVERHEAD_BYTES = 2048  # bytes counted for a stream beside its outcome


@dataclass(slots=True, eq=False)
class StreamEntry:
    id: str
    tenant: int
    token: str
    feed: ProgressFeed
    reader: int = 0  # number of the newest reader; an older one has been taken over from
    attached: bool = False
    expires_at: float = float("inf")  # when it is forgotten, or its job given up
    size_bytes: int = ENTRY_OVERHEAD_BYTES


class StreamRegistry:
    """Times are seconds of any clock that goes forward."""

    def __init__(
        self, detached_s: float, keep_outcome_s: float, max_detached: int, max_finished_bytes: int
    ) -> None:
        self.detached_s = detached_s
        self.keep_outcome_s = keep_outcome_s
        self.max_detached = max_detached
        self.max_finished_bytes = max_finished_bytes
        self.entries: dict[str, StreamEntry] = {}
        self.finished_entries: OrderedDict[str, StreamEntry] = (
            OrderedDict()
        )  # with their outcomes, the oldest first
        self.finished_bytes = 0

    def add(self, job: str, tenant: int, token: str, feed: ProgressFeed) -> StreamEntry:
        """A job that begins. One of the same id whose outcome is kept is forgotten: the id was free again."""
        self._forget(job)
        entry = self.entries[job] = StreamEntry(job, tenant, token, feed)
        return entry

    def find(self, job: str, token: str, tenant: int | None) -> StreamEntry | None:
        """The entry that this token opens. Nothing tells a wrong token from a job that is not there; `tenant`
        is None where the reader does not say whose it is.
        """
        entry = self.entries.get(job)
        # Compared in any case and in constant time, so that the answer's delay says nothing either.
        right = hmac.compare_digest((entry.token if entry else "-" * 22).encode(), token.encode())
        if entry is None or not right or tenant not in (None, entry.tenant):
            return None
        return entry

    def attach(self, entry: StreamEntry) -> int:
        """A reader takes the stream over; its number."""
        entry.reader += 1
        entry.attached = True
        if not entry.feed.finished:
            entry.expires_at = float("inf")
        return entry.reader

    @property
    def detached(self) -> int:
        """Jobs in work that nobody reads."""
        return sum(not entry.attached and not entry.feed.finished for entry in self.entries.values())

    def reader_left(self, entry: StreamEntry, reader: int, now: float) -> bool:
        """A reader has gone. True when its job is to be given up at once."""
        if reader != entry.reader:
            return False  # the newer one goes on
        entry.attached = False
        if entry.feed.finished:
            return False
        if self.detached_s <= 0 or self.detached > self.max_detached:
            return True
        entry.expires_at = now + self.detached_s
        return False

    def job_ended(self, entry: StreamEntry, size: int, now: float) -> None:
        """The outcome is there: kept for those who come back, the oldest going first where room is short."""
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
        """Forget what is due; the jobs in work that are to be given up."""
        given_up = []
        for entry in [entry for entry in self.entries.values() if entry.expires_at <= now]:
            if not entry.feed.finished:
                entry.expires_at = float("inf")
                given_up.append(entry)
            elif not entry.attached:
                self._forget(entry.id)
        return given_up

    def _forget(self, job: str) -> None:
        entry = self.entries.pop(job, None)
        if entry is not None and self.finished_entries.pop(job, None) is not None:
            self.finished_bytes -= entry.size_bytes

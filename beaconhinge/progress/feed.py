"""What the stream of one request says, in order, to whoever reads it. Decides, and does no I/O.

A `Feed` hears what becomes of the request and keeps what a reader must be told: each milestone, and of the
progress the newest alone. A `Reader` is a place in it. So what waits for a slow reader is never more than the
milestones of its request and one event, and one that comes back with the number that it saw last goes on from
there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

ACCEPTED, STARTED, PROGRESS, OUTCOME = "accepted", "started", "progress", "outcome"


@dataclass(slots=True, frozen=True)
class ProgressEvent:
    """One event. Numbers rise by one from 1 on and are the events' ids."""

    number: int
    name: str
    content: Mapping[str, Any]


@dataclass(slots=True)
class ProgressFeed:
    """`share` never goes back: with several attempts the furthest counts, and one that starts from nothing
    again after all that had run are lost is told by `restart`, until it has passed what was reached before.
    """

    milestones: list[ProgressEvent] = field(default_factory=list)
    latest_progress: ProgressEvent | None = None  # progress
    share: float = 0.0
    finished: bool = False
    _last_number: int = 0
    _started: set[int] = field(default_factory=set)  # attempts that told of their start
    _running: set[int] = field(default_factory=set)

    def accepted(self, content: Mapping[str, Any]) -> None:
        self._milestone(ACCEPTED, content)

    def started(self, attempt: int) -> None:
        """An attempt tells of its start, or shows it by its progress. Told once for each attempt."""
        if self.finished or attempt in self._started:
            return
        restart = bool(self._started) and not self._running
        self._started.add(attempt)
        self._running.add(attempt)
        self._milestone(STARTED, {"attempt": attempt, "restart": restart})

    def progress(self, attempt: int, share: float) -> None:
        """A report. One that does not lead further says nothing: late, repeated, or of the copy that is
        behind.
        """
        self.started(attempt)
        if self.finished or attempt not in self._running or not self.share < share <= 1.0:
            return
        self.share = share
        self._last_number += 1
        self.latest_progress = ProgressEvent(
            self._last_number, PROGRESS, {"attempt": attempt, "share": share}
        )

    def attempt_lost(self, attempt: int) -> None:
        """An attempt has ended without a result."""
        self._running.discard(attempt)

    def outcome(self, content: Mapping[str, Any]) -> None:
        """The one final outcome. Whatever is told later is passed over."""
        if not self.finished:
            self.finished = True
            self.latest_progress = None
            self._milestone(OUTCOME, content)

    def _milestone(self, name: str, content: Mapping[str, Any]) -> None:
        self._last_number += 1
        self.milestones.append(ProgressEvent(self._last_number, name, content))

    def events_after(self, number: int) -> list[ProgressEvent]:
        """What a reader that has seen events up to `number` must be told now, in order."""
        waiting = [event for event in self.milestones if event.number > number]
        if self.latest_progress is not None and self.latest_progress.number > number:
            waiting.append(self.latest_progress)
            waiting.sort(key=lambda event: event.number)
        return waiting


class FeedReader:
    """One reader's place, its pace and its patience. Times are seconds of any clock that goes forward."""

    def __init__(
        self,
        feed: ProgressFeed,
        now: float,
        last_seen: int = 0,
        events_per_s: float = 4.0,
        keep_alive_s: float = 15.0,
    ) -> None:
        self.feed = feed
        self.last_seen = min(
            max(last_seen, 0), feed._last_number
        )  # a number that was never given out counts as the last one
        self.min_interval_s = 1 / events_per_s
        self.keep_alive_s = keep_alive_s
        self._next_progress_at = now  # no progress before
        self._written_at = now

    def next_events(self, now: float) -> list[ProgressEvent]:
        """What to write now. Milestones go at once; progress waits for its turn, and the newest one goes."""
        waiting = self.feed.events_after(self.last_seen)
        if now < self._next_progress_at and all(event.name == PROGRESS for event in waiting):
            return []
        if waiting:
            self.last_seen = waiting[-1].number
            self._written_at = now
            if any(event.name == PROGRESS for event in waiting):
                self._next_progress_at = now + self.min_interval_s
        return waiting

    def keep_alive_due(self, now: float) -> bool:
        """Whether a comment is due, since nothing has been written for as long as links may be silent."""
        if now - self._written_at < self.keep_alive_s:
            return False
        self._written_at = now
        return True

    def seconds_to_wait(self, now: float) -> float:
        """Seconds after which to look again though nothing new has come."""
        until = self._written_at + self.keep_alive_s
        for event in self.feed.events_after(self.last_seen):  # told while the last event was being written
            until = min(until, self._next_progress_at if event.name == PROGRESS else now)
        return max(until - now, 0.0)

    @property
    def done(self) -> bool:
        """The outcome has been handed out."""
        return self.feed.finished and self.last_seen >= self.feed.milestones[-1].number

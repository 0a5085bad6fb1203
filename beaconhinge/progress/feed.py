"""The events of one request's stream, in order, for its readers. Does no I/O.

A `ProgressFeed` is notified of what happens to the request and keeps the events that a reader must receive:
every milestone, and the newest progress report only. A `FeedReader` is a position in it. So no more than the
request's milestones and one event are ever kept for a slow reader, and a reader that reconnects with the
number of the last event it received continues from there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

ACCEPTED, STARTED, PROGRESS, OUTCOME = "accepted", "started", "progress", "outcome"


@dataclass(slots=True, frozen=True)
class ProgressEvent:
    """One event. Its number is its id; numbers count up from 1."""

    number: int
    name: str
    content: Mapping[str, Any]


@dataclass(slots=True)
class ProgressFeed:
    """The events of one request.

    `share` never decreases. With several attempts, the furthest one counts. An attempt that starts after all
    earlier ones were lost is announced by an event with `restart` set; its progress is reported once it has
    passed the share reached before.

    Attributes:
        milestones: all events but progress.
        latest_progress: the newest progress event, until the outcome.
        share: the part of the job done, from 0 to 1, in the newest progress event.
        finished: whether the outcome is among the milestones.
    """

    milestones: list[ProgressEvent] = field(default_factory=list)
    latest_progress: ProgressEvent | None = None
    share: float = 0.0
    finished: bool = False
    _last_number: int = 0
    _started: set[int] = field(default_factory=set)  # attempts that have reported their start
    _running: set[int] = field(default_factory=set)  # those of them that have not been lost

    def accepted(self, content: Mapping[str, Any]) -> None:
        """Add the event of the request's admission."""
        self._milestone(ACCEPTED, content)

    def started(self, attempt: int) -> None:
        """Add the event of an attempt's start, once for each attempt.

        An attempt reports its start itself, or implies it by its first progress report.
        """
        if self.finished or attempt in self._started:
            return
        restart = bool(self._started) and not self._running
        self._started.add(attempt)
        self._running.add(attempt)
        self._milestone(STARTED, {"attempt": attempt, "restart": restart})

    def progress(self, attempt: int, share: float) -> None:
        """Add a progress report of an attempt.

        A report that does not raise `share` is ignored: a late or repeated one, or one of the slower attempt.
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
        """Record that an attempt has ended without a result."""
        self._running.discard(attempt)

    def outcome(self, content: Mapping[str, Any]) -> None:
        """Add the final outcome. All later notifications are ignored."""
        if not self.finished:
            self.finished = True
            self.latest_progress = None
            self._milestone(OUTCOME, content)

    def _milestone(self, name: str, content: Mapping[str, Any]) -> None:
        self._last_number += 1
        self.milestones.append(ProgressEvent(self._last_number, name, content))

    def events_after(self, number: int) -> list[ProgressEvent]:
        """Return the events for a reader that has received events up to `number`, in order."""
        pending = [event for event in self.milestones if event.number > number]
        if self.latest_progress is not None and self.latest_progress.number > number:
            pending.append(self.latest_progress)
            pending.sort(key=lambda event: event.number)
        return pending


class FeedReader:
    """One reader's position in a feed, its rate limit and its keep-alive. Times are seconds of a monotonic
    clock.
    """

    def __init__(
        self,
        feed: ProgressFeed,
        now: float,
        last_seen: int = 0,
        events_per_s: float = 4.0,
        keep_alive_s: float = 15.0,
    ) -> None:
        self.feed = feed
        # A number that was never given out counts as the last one.
        self.last_seen = min(max(last_seen, 0), feed._last_number)
        self.min_interval_s = 1 / events_per_s
        self.keep_alive_s = keep_alive_s
        self._next_progress_at = now  # earliest time of the next progress event
        self._written_at = now

    def next_events(self, now: float) -> list[ProgressEvent]:
        """Return the events to write now.

        Milestones are due at once, with any progress event pending. A progress event alone waits for the rate
        limit; the newest one is then sent.
        """
        pending = self.feed.events_after(self.last_seen)
        if now < self._next_progress_at and all(event.name == PROGRESS for event in pending):
            return []
        if pending:
            self.last_seen = pending[-1].number
            self._written_at = now
            if any(event.name == PROGRESS for event in pending):
                self._next_progress_at = now + self.min_interval_s
        return pending

    def keep_alive_due(self, now: float) -> bool:
        """Return whether a keep-alive comment is due, and assume that it is written.

        It is due when nothing has been written for `keep_alive_s`.
        """
        if now - self._written_at < self.keep_alive_s:
            return False
        self._written_at = now
        return True

    def seconds_to_wait(self, now: float) -> float:
        """Return the seconds after which to check again if no new event arrives before."""
        due_at = self._written_at + self.keep_alive_s
        for event in self.feed.events_after(self.last_seen):  # added during the last write
            due_at = min(due_at, self._next_progress_at if event.name == PROGRESS else now)
        return max(due_at - now, 0.0)

    @property
    def done(self) -> bool:
        """Whether the outcome has been returned by `next_events`."""
        return self.feed.finished and self.last_seen >= self.feed.milestones[-1].number

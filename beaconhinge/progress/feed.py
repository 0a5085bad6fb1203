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
class Said:
    """One event. Numbers rise by one from 1 on and are the events' ids."""

    number: int
    name: str
    content: Mapping[str, Any]


@dataclass(slots=True)
class Feed:
    """`share` never goes back: with several attempts the furthest counts, and one that starts from nothing
    again after all that had run are lost is told by `restart`, until it has passed what was reached before.
    """

    milestones: list[Said] = field(default_factory=list)
    newest: Said | None = None  # progress
    share: float = 0.0
    over: bool = False
    _last: int = 0
    _started: set[int] = field(default_factory=set)  # attempts that told of their start
    _running: set[int] = field(default_factory=set)

    def accepted(self, content: Mapping[str, Any]) -> None:
        self._milestone(ACCEPTED, content)

    def started(self, attempt: int) -> None:
        """An attempt tells of its start, or shows it by its progress. Told once for each attempt."""
        if self.over or attempt in self._started:
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
        if self.over or attempt not in self._running or not self.share < share <= 1.0:
            return
        self.share = share
        self._last += 1
        self.newest = Said(self._last, PROGRESS, {"attempt": attempt, "share": share})

    def lost(self, attempt: int) -> None:
        """An attempt has ended without a result."""
        self._running.discard(attempt)

    def outcome(self, content: Mapping[str, Any]) -> None:
        """The one final outcome. Whatever is told later is passed over."""
        if not self.over:
            self.over = True
            self.newest = None
            self._milestone(OUTCOME, content)

    def _milestone(self, name: str, content: Mapping[str, Any]) -> None:
        self._last += 1
        self.milestones.append(Said(self._last, name, content))

    def since(self, number: int) -> list[Said]:
        """What a reader that has seen events up to `number` must be told now, in order."""
        waiting = [said for said in self.milestones if said.number > number]
        if self.newest is not None and self.newest.number > number:
            waiting.append(self.newest)
            waiting.sort(key=lambda said: said.number)
        return waiting


class Reader:
    """One reader's place, its pace and its patience. Times are seconds of any clock that goes forward."""

    def __init__(
        self, feed: Feed, now: float, seen: int = 0, events_per_s: float = 4.0, keep_alive_s: float = 15.0
    ) -> None:
        self.feed = feed
        self.seen = min(max(seen, 0), feed._last)  # a number that was never given out counts as the last one
        self.gap = 1 / events_per_s
        self.keep_alive_s = keep_alive_s
        self._quiet_until = now  # no progress before
        self._wrote_at = now

    def take(self, now: float) -> list[Said]:
        """What to write now. Milestones go at once; progress waits for its turn, and the newest one goes."""
        waiting = self.feed.since(self.seen)
        if now < self._quiet_until and all(said.name == PROGRESS for said in waiting):
            return []
        if waiting:
            self.seen = waiting[-1].number
            self._wrote_at = now
            if any(said.name == PROGRESS for said in waiting):
                self._quiet_until = now + self.gap
        return waiting

    def keep_alive(self, now: float) -> bool:
        """Whether a comment is due, since nothing has been written for as long as links may be silent."""
        if now - self._wrote_at < self.keep_alive_s:
            return False
        self._wrote_at = now
        return True

    def wait(self, now: float) -> float:
        """Seconds after which to look again though nothing new has come."""
        until = self._wrote_at + self.keep_alive_s
        for said in self.feed.since(self.seen):  # told while the last event was being written
            until = min(until, self._quiet_until if said.name == PROGRESS else now)
        return max(until - now, 0.0)

    @property
    def done(self) -> bool:
        """The outcome has been handed out."""
        return self.feed.over and self.seen >= self.feed.milestones[-1].number

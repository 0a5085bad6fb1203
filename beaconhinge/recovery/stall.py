"""Detects by the process's own clock that it stood still, and excuses workers for that time.

Pure: times are arguments, in seconds of one forward-only clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..policy.interface import AttemptOutcome

MAX_STALLS = 8  # stalls remembered; an attempt that outlasts more of them is judged by the last ones

# What an attempt that a stall may have ended is told as: ended by us, and whether it can have run.
EXCUSED_OUTCOMES = {
    AttemptOutcome.TIMEOUT: AttemptOutcome.CANCELLED,
    AttemptOutcome.CONNECTION_LOST: AttemptOutcome.CANCELLED,
    AttemptOutcome.NO_CONNECTION: AttemptOutcome.NOT_SENT,
}


@dataclass(frozen=True, slots=True)
class Stall:
    """Between two turns of the process that should have been `after` seconds apart at most."""

    began: float
    ended: float

    @property
    def seconds(self) -> float:
        """How long the process stood still."""
        return self.ended - self.began


class StallDetector:
    """Detects stalls from the times at which the process runs.

    `observe` is called by whatever wakes the process first; while it is healthy, something has to wake it
    well within `threshold_s` seconds.
    """

    def __init__(self, threshold_s: float) -> None:
        self.threshold_s = threshold_s
        self.stalls: deque[Stall] = deque(maxlen=MAX_STALLS)
        self._last: float | None = None

    def observe(self, now: float) -> Stall | None:
        """The stall that has just ended, reported once."""
        last, self._last = self._last, now
        if last is None or now - last <= self.threshold_s:
            return None
        stall = Stall(last, now)
        self.stalls.append(stall)
        return stall

    def excused_outcome(self, sent_at: float, outcome: AttemptOutcome) -> AttemptOutcome:
        """The outcome to report for an attempt; what the worker itself answered stands."""
        if self.stalls and sent_at < self.stalls[-1].ended:
            return EXCUSED_OUTCOMES.get(outcome, outcome)
        return outcome

    def running_seconds(self, since: float, now: float) -> float:
        """The part of that span in which this process ran."""
        stood = sum(max(0.0, min(s.ended, now) - max(s.began, since)) for s in self.stalls)
        return max(0.0, now - since - stood)

"""Detects by the process's own clock that it stalled, and excuses workers for outcomes of that time.

Pure: times are arguments, in seconds of one forward-only clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..policy.interface import AttemptOutcome

MAX_STALLS = 8  # stalls remembered; for an attempt that outlasts more, only the last ones count

# The outcome that is reported for an attempt that a stall may have ended: the dispatcher ended it, and it may
# have run (CANCELLED) or cannot have run (NOT_SENT).
EXCUSED_OUTCOMES = {
    AttemptOutcome.TIMEOUT: AttemptOutcome.CANCELLED,
    AttemptOutcome.CONNECTION_LOST: AttemptOutcome.CANCELLED,
    AttemptOutcome.NO_CONNECTION: AttemptOutcome.NOT_SENT,
}


@dataclass(frozen=True, slots=True)
class Stall:
    """A time in which the process did not run: two observations were further apart than the threshold.

    Attributes:
        began: Time of the last observation before it.
        ended: Time of the first observation after it.
    """

    began: float
    ended: float

    @property
    def seconds(self) -> float:
        """Duration of the stall in seconds."""
        return self.ended - self.began


class StallDetector:
    """Detects stalls from the times at which the process runs.

    Everything that wakes the process calls `observe` first. While the process is healthy, something has to
    wake it well within `threshold_s` seconds.
    """

    def __init__(self, threshold_s: float) -> None:
        self.threshold_s = threshold_s
        self.stalls: deque[Stall] = deque(maxlen=MAX_STALLS)
        self._last: float | None = None

    def observe(self, now: float) -> Stall | None:
        """Record that the process runs at `now`; return the stall that has just ended, or None."""
        last, self._last = self._last, now
        if last is None or now - last <= self.threshold_s:
            return None
        stall = Stall(last, now)
        self.stalls.append(stall)
        return stall

    def excused_outcome(self, sent_at: float, outcome: AttemptOutcome) -> AttemptOutcome:
        """Return the outcome to report for an attempt that was sent at `sent_at`.

        It differs from `outcome` only if a stall ended after that, and the worker has not answered.
        """
        if self.stalls and sent_at < self.stalls[-1].ended:
            return EXCUSED_OUTCOMES.get(outcome, outcome)
        return outcome

    def running_seconds(self, since: float, now: float) -> float:
        """Return the seconds between `since` and `now` in which this process ran."""
        stalled = sum(max(0.0, min(s.ended, now) - max(s.began, since)) for s in self.stalls)
        return max(0.0, now - since - stalled)

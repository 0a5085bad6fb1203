"""The earliest time at which a request that is read now may have arrived.

No I/O: time is an argument, in seconds.

A client's time budget counts from the last byte of its request. A process that was paused, or whose event
loop was late, reads that byte later, and nothing in the bytes tells when they arrived. They arrived after the
process last ran, though: that much is subtracted from the time that is left.
"""

from __future__ import annotations

# The gap between two signs of running, which come about every 0.1 s, from which on the process was paused.
PROCESS_PAUSE_S = 0.2
# After a pause, input that arrived during it is read for a while: a fraction of the pause, within bounds.
# What arrives just then counts as having arrived earlier than it did, and has less time.
DRAIN_INPUT_MIN_S = 0.1
DRAIN_INPUT_MAX_S = 0.5
DRAIN_INPUT_FRACTION = 0.1


class ArrivalBounds:
    """Lower bounds for the arrival time of bytes that are read now."""

    def __init__(self, now: float) -> None:
        self._last_running_s = now
        self._paused_since_s = now
        self._input_drained_s = now  # when all input that arrived during the pause has been read

    def mark_running(self, now: float) -> None:
        """Record a sign that this process runs."""
        if now - self._last_running_s > PROCESS_PAUSE_S:
            if self._last_running_s >= self._input_drained_s:  # else input of the pause before is still read
                self._paused_since_s = self._last_running_s
            drain_s = DRAIN_INPUT_FRACTION * (now - self._paused_since_s)
            self._input_drained_s = now + min(max(drain_s, DRAIN_INPUT_MIN_S), DRAIN_INPUT_MAX_S)
        self._last_running_s = now

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which input that is read now may have arrived."""
        self.mark_running(now)
        return self._paused_since_s if now < self._input_drained_s else now

"""Since when a request that is read now may have been there. No I/O: time is an argument.

A client's time counts from the last byte of its request. A process that stood still, or whose loop was late,
reads that byte later, and nothing in the bytes tells when they came. They came after the process last ran,
though: so much is taken off what is left. Times are seconds.
"""

from __future__ import annotations

# Between two signs that the process runs, which it gives about every 0.1 s: more, and it was late.
LATE_AFTER = 0.2
# From the moment in which it goes on, in which all that came meanwhile has been read: the longer it stood
# still, the more that is. What comes just then counts as come earlier than it was, and has less time.
READ_WITHIN, READ_WITHIN_MOST = 0.1, 0.5
READ_WITHIN_PART = 0.1  # of the time that it stood still


class ArrivalBounds:
    """Bounds for when bytes came that are read now."""

    def __init__(self, now: float) -> None:
        self._ran_at = now
        self._stood_since = now
        self._read_by = now  # when all that came meanwhile has been read

    def mark_running(self, now: float) -> None:
        """This process runs."""
        if now - self._ran_at > LATE_AFTER:
            if self._ran_at >= self._read_by:  # else what came during the gap before is being read still
                self._stood_since = self._ran_at
            part = READ_WITHIN_PART * (now - self._stood_since)
            self._read_by = now + min(max(part, READ_WITHIN), READ_WITHIN_MOST)
        self._ran_at = now

    def earliest_arrival(self, now: float) -> float:
        """The earliest moment at which what is read now may have come."""
        self.mark_running(now)
        return self._stood_since if now < self._read_by else now

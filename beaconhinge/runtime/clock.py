"""The clock of this process: seconds of Unix time at its start, carried on by the monotonic clock."""

from __future__ import annotations

import time


class Clock:
    """A clock that only goes forward: it is set by the wall clock once, and never again.

    Wall times that come later are brought to it by `start_times.py`.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds of Unix time by this clock."""
        return self._offset + time.monotonic()

    def wall_time(self) -> float:
        """What the wall clock shows, Unix time; it may have been set anew since this one began."""
        return time.time()

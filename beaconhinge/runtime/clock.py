"""The clock of this process: Unix time in seconds, set once at its start and advanced monotonically."""

from __future__ import annotations

import time


class Clock:
    """A clock that never goes back: set from the wall clock at its creation, advanced by the monotonic clock.

    `membership/start_times.py` converts wall times that are received later to this clock.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the Unix time in seconds by this clock."""
        return self._offset + time.monotonic()

    def wall_time(self) -> float:
        """Return the wall clock's Unix time in seconds; it may have been set since this clock was created."""
        return time.time()

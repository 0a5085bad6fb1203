"""Start times of workers on this process's monotonic clock.

No I/O: times are arguments, in seconds.

Discovery reports a worker's start as wall time, and wall clocks step, on this machine or on all of them. Slow
start depends on a worker's age, and an age that is too large overloads a worker that is still warming up. So
each start is converted to the monotonic clock of this process once, when it is first reported, and is kept
whatever the wall clock does later. If the wall clock has stepped since this process started, the smaller of
the possible ages is used: a worker may then be treated as warming up for longer than necessary. A wall clock
that was wrong during the whole lifetime of this process can't be detected.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _StartTime:
    """One reported start on both clocks, in seconds."""

    wall_s: float
    monotonic_s: float


class StartTimes:
    """Converted start times of the workers that were listed last, by worker id."""

    def __init__(self) -> None:
        # The smallest lead of the wall clock over the monotonic clock seen so far. The two begin equal.
        self._min_wall_lead_s = 0.0
        self._starts_by_worker: dict[str, _StartTime] = {}

    def observe_clocks(self, now: float, wall: float) -> None:
        """Record a simultaneous reading of the monotonic clock (`now`) and the wall clock."""
        self._min_wall_lead_s = min(self._min_wall_lead_s, wall - now)

    def to_monotonic(self, worker_id: str, wall_start_s: float, now: float) -> float:
        """Convert a reported start to the monotonic clock.

        Args:
            worker_id: The worker's id in the endpoint list.
            wall_start_s: Its start as discovery reports it, in wall time; 0 means long ago.
            now: The current monotonic time.

        Returns:
            The start in monotonic time, the same for each call with the same arguments; 0 if it was long ago.
        """
        if wall_start_s <= 0:
            return 0.0
        known = self._starts_by_worker.get(worker_id)
        if known is not None and known.wall_s == wall_start_s:
            return known.monotonic_s
        age_s = max(0.0, now + self._min_wall_lead_s - wall_start_s)
        self._starts_by_worker[worker_id] = _StartTime(wall_start_s, now - age_s)
        return now - age_s

    def retain_only(self, worker_ids: set[str]) -> None:
        """Forget all workers but these, which are the ones in a snapshot."""
        self._starts_by_worker = {
            worker_id: start for worker_id, start in self._starts_by_worker.items() if worker_id in worker_ids
        }

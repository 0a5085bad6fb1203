"""When workers started, on the clock of this process. No I/O: times are arguments.

Discovery tells a start as wall time, and wall clocks step: this machine's, or all of them. A worker's age is
what slow start goes by, and an age that is too large has a cold worker overloaded. So each start is brought
to the forward-only clock of this process once, when it is first told, and stays as it is whatever the wall
clock does later. Where the wall clock has stepped since this process started, the smaller of the ages that it
gives is taken: a worker may then count as cold for a while longer than it is. A wall clock that was wrong all
through the life of this process can't be noticed. Times are seconds.
"""

from __future__ import annotations


class StartTimes:
    """The starts of the workers that were told last, by their ids."""

    def __init__(self) -> None:
        self._least_wall_lead = 0.0  # of the wall clock before the process's, which begin as one
        self._starts: dict[str, tuple[float, float]] = {}  # as told, and on this process's clock

    def wall_clock_read(self, now: float, wall: float) -> None:
        """What both clocks show this moment."""
        self._least_wall_lead = min(self._least_wall_lead, wall - now)

    def on_own_clock(self, worker: str, told: float, now: float) -> float:
        """When the worker started that is told to have started at `told` in wall time; 0 stays 0: long
        ago.
        """
        if told <= 0:
            return 0.0
        known = self._starts.get(worker)
        if known is not None and known[0] == told:
            return known[1]
        age = max(0.0, now + self._least_wall_lead - told)
        self._starts[worker] = told, now - age
        return now - age

    def keep(self, workers: set[str]) -> None:
        """Forget all but these, which a whole list names."""
        self._starts = {worker: start for worker, start in self._starts.items() if worker in workers}

"""Clients' rough guesses of what a job costs, made fit for the module. Pure."""

from __future__ import annotations

from bisect import insort
from collections import deque

KEPT = 31  # hints by which a class's middle one is known; over half of them must be absurd to move it far
FEW = 5  # hints under which there is no middle one to go by
SPREAD = 32.0  # a hint this many times the middle one of its class, or that part of it, is absurd
USED = 0.75  # part of the latest jobs with a hint from which on hints count
UNUSED = 0.25  # and under which they count no more
LEARN = 1 / 32


class WorkEstimator:
    """What a deployment's clients guess. The module's figures are by unit of hinted work, so either every
    job has some or none has: a missing one is filled in, and a few in a deployment without are passed over.
    """

    def __init__(self) -> None:
        self.bounded_count = 0  # hints that were absurd
        self.in_use = False
        self._share = 0.0  # of the latest jobs that came with a hint
        self._seen = 0
        self._mean = 0.0  # work of a job, as bounded
        self._classes: dict[int, _Class] = {}

    def estimate_s(self, cls: int, told: float, remaining: float) -> float:
        """Work in seconds of a standard core for a job whose client said `told` seconds (0: nothing) and
        waits `remaining` seconds. 0 where hints are not in use.
        """
        self._seen += 1
        self._share += max(LEARN, 1 / self._seen) * ((told > 0) - self._share)
        self.in_use = self._share >= (UNUSED if self.in_use else USED)
        if (known := self._classes.get(cls)) is None:
            known = self._classes[cls] = _Class()
        if told > 0:
            work = known.bound(told, remaining)
            self.bounded_count += work != told
            known.learn(told, work)
            self._mean += LEARN * (work - self._mean) if self._mean else work
        else:
            work = known.mean or self._mean
        return work if self.in_use else 0.0


class _Class:
    def __init__(self) -> None:
        self.mean = 0.0
        self._latest: deque[float] = deque(maxlen=KEPT)  # as told
        self._sorted: list[float] = []

    def bound(self, told: float, remaining: float) -> float:
        if len(self._sorted) < FEW:
            return min(told, remaining)  # more would be of no use to its client
        middle = self._sorted[len(self._sorted) // 2]
        return min(max(told, middle / SPREAD), middle * SPREAD)

    def learn(self, told: float, work: float) -> None:
        if len(self._latest) == KEPT:
            self._sorted.remove(self._latest[0])
        self._latest.append(told)
        insort(self._sorted, told)
        self.mean += LEARN * (work - self.mean) if self.mean else work

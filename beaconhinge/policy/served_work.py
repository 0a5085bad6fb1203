"""Work lately served, by class of jobs and kind of worker."""

from collections import defaultdict
from collections.abc import Hashable

# Jobs of a class on a kind of worker from which their mean counts, and over which it is taken.
MIN_JOBS_FOR_MEAN = 5.0
MAX_JOBS_IN_MEAN = 200.0
# Part of the work served before that is forgotten with each job.
DECAY_PER_JOB = 0.01
# A class with a larger share of all work is not a minor one.
MAX_MINOR_SHARE = 0.35


class ServedWork:
    """Work lately served: its division among classes, and the time a job takes on a kind of worker."""

    def __init__(self) -> None:
        self._by_class: defaultdict[Hashable, float] = defaultdict(float)
        self._jobs: dict[tuple[Hashable, int], tuple[float, float]] = {}  # by class and kind: seconds, jobs

    def record(self, cls: Hashable, kind: int, work: float, slots: float) -> None:
        """Record a job that was served; `work` is the seconds for which it took each of its slots."""
        for other in self._by_class:
            self._by_class[other] *= 1 - DECAY_PER_JOB
        self._by_class[cls] += work * slots
        # A plain mean, since a smoothed one forgets the few long jobs that make up half of the work.
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        keep = 1 - 1 / MAX_JOBS_IN_MEAN if jobs >= MAX_JOBS_IN_MEAN else 1.0
        self._jobs[cls, kind] = seconds * keep + work, jobs * keep + 1

    def minor_share(self, cls: Hashable) -> float:
        """The class's share of all work; 0 where it is not a small one, or the only one, or not known yet."""
        part = self._by_class[cls] / max(sum(self._by_class.values()), 1e-9)
        return part if part < MAX_MINOR_SHARE else 0.0

    def mean_seconds(self, cls: Hashable, kind: int) -> float:
        """Seconds that a job of the class takes on the kind, or on any where few were seen; 0: unknown."""
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        if jobs >= MIN_JOBS_FOR_MEAN:
            return seconds / jobs
        entries = [entry for (of, _), entry in self._jobs.items() if of == cls]
        return sum(seconds for seconds, _ in entries) / max(sum(jobs for _, jobs in entries), 1.0)

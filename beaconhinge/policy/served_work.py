"""Statistics of recently served work, by request class and kind of worker."""

from collections import defaultdict
from collections.abc import Hashable

# With fewer jobs of a class on a kind of worker, the mean over all kinds is used.
MIN_JOBS_FOR_MEAN = 5.0
# From this many jobs on, older jobs lose weight in the mean.
MAX_JOBS_IN_MEAN = 200.0
# Share of the recorded work of all classes that is forgotten with each job.
DECAY_PER_JOB = 0.01
# A class with at least this share of all work is not a minor one.
MAX_MINOR_SHARE = 0.35


class ServedWork:
    """Share of recent work by class, and mean time of a job by class and kind of worker."""

    def __init__(self) -> None:
        self._by_class: defaultdict[Hashable, float] = defaultdict(float)
        self._jobs: dict[tuple[Hashable, int], tuple[float, float]] = {}  # by class and kind: seconds, jobs

    def record(self, cls: Hashable, kind: int, work: float, slots: float) -> None:
        """Record a served job.

        Args:
            cls: Class of the job.
            kind: Kind of the worker.
            work: Seconds for which the job used each of its slots.
            slots: Number of its slots.
        """
        for other in self._by_class:
            self._by_class[other] *= 1 - DECAY_PER_JOB
        self._by_class[cls] += work * slots
        # This is a plain mean, as a smoothed one forgets the few long jobs that make up half of the work.
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        keep = 1 - 1 / MAX_JOBS_IN_MEAN if jobs >= MAX_JOBS_IN_MEAN else 1.0
        self._jobs[cls, kind] = seconds * keep + work, jobs * keep + 1

    def minor_share(self, cls: Hashable) -> float:
        """Share of the class in recent work, from 0 to 1; 0 if the class is not a minor one or unseen."""
        part = self._by_class[cls] / max(sum(self._by_class.values()), 1e-9)
        return part if part < MAX_MINOR_SHARE else 0.0

    def mean_seconds(self, cls: Hashable, kind: int) -> float:
        """Mean seconds that a job of the class takes on a kind of worker.

        Where too few jobs were seen on this kind, it is the mean over all kinds. Returns 0 without any job.
        """
        seconds, jobs = self._jobs.get((cls, kind), (0.0, 0.0))
        if jobs >= MIN_JOBS_FOR_MEAN:
            return seconds / jobs
        entries = [entry for (of, _), entry in self._jobs.items() if of == cls]
        return sum(seconds for seconds, _ in entries) / max(sum(jobs for _, jobs in entries), 1.0)

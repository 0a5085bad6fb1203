"""What workers report of jobs in flight: their start and their progress."""

from . import interface
from .admission import Admission
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .interface import NoticeKind
from .request_table import RequestTable
from .stall_detection import StallDetection
from .workers import WorkerTable


class ProgressRecorder:
    """Gives each part its lesson of a progress notice."""

    def __init__(
        self,
        context: Context,
        workers: WorkerTable,
        requests: RequestTable,
        admission: Admission,
        limits: ConcurrencyLimits,
        stalls: StallDetection,
    ) -> None:
        """Teach these parts."""
        self._context = context
        self._workers = workers
        self._requests = requests
        self._admission = admission
        self._limits = limits
        self._stalls = stalls

    def record(self, event: interface.ProgressNotice) -> None:
        """Learn from a notice; at the first sign of a start the request's other attempts are cancelled."""
        now = self._context.now
        worker = self._workers.by_id.get(event.worker)
        if worker is not None:
            worker.last_heard_at = now
        found = self._requests.find_attempt(event.request, event.attempt)
        if found is None:
            return
        request, attempt = found
        if event.kind == NoticeKind.STARTED:
            self._stalls.record_start(attempt)
            if not attempt.start_seen:
                self._limits.learn_from_start_delay(attempt)
                # As full as if the worker had rejected the job, though its queue is not.
                self._admission.rejections += self._context.large_group and now > request.start_by
            attempt.progress_at = now
        elif worker is not None:
            self._stalls.record_progress(attempt, worker, event.fraction_done)
        if not any(a.start_seen for a in request.attempts):
            self._requests.cancel_attempts(request, keep=attempt)
        attempt.start_seen = True

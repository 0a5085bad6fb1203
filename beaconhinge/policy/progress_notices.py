"""Progress notices: workers report the start and the progress of jobs in flight."""

from . import interface
from .admission import Admission
from .concurrency_limits import ConcurrencyLimits
from .context import Context
from .interface import NoticeKind
from .request_table import RequestTable
from .stall_detection import StallDetection
from .workers import WorkerTable


class ProgressRecorder:
    """Passes a progress notice to the components that learn from it."""

    def __init__(
        self,
        context: Context,
        workers: WorkerTable,
        requests: RequestTable,
        admission: Admission,
        limits: ConcurrencyLimits,
        stalls: StallDetection,
    ) -> None:
        """Keep the components to update."""
        self._context = context
        self._workers = workers
        self._requests = requests
        self._admission = admission
        self._limits = limits
        self._stalls = stalls

    def record(self, event: interface.ProgressNotice) -> None:
        """Record a notice. At the first sign of a start, cancel the request's other attempts."""
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
                # In a large group a late start is as much a sign of full workers as a rejection, although the
                # worker still had room in its queue.
                self._admission.rejections += self._context.large_group and now > request.start_by
            attempt.progress_at = now
        elif worker is not None:
            self._stalls.record_progress(attempt, worker, event.fraction_done)
        if not any(a.start_seen for a in request.attempts):
            self._requests.cancel_attempts(request, keep=attempt)
        attempt.start_seen = True

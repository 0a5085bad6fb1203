"""What is logged, counted and traced of endpoint lists. docs/oncall.md explains the events."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..membership.discovery_call import AnswerDecision, DiscoveryCall, PassedOver
from ..membership.inventory import WorkerEndpoint, WorkerList
from ..policy.interface import UpdateKind, WorkerState
from ..runtime.metrics import Metrics
from .discovery_answer import AnswerProgress

# How many of the lists applied last are named with each traced watch without a change.
TRACED_LISTS = 8


class ListLog:
    """Reports discovery's answers and what was decided on them."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._recent_lists: deque[str] = deque(maxlen=TRACED_LISTS)

    def report_decision(
        self,
        call: DiscoveryCall,
        worker_list: WorkerList,
        decision: AnswerDecision,
        previous_version: int | None,
        applied_version: int | None,
    ) -> None:
        """Count and log what is out of the ordinary.

        Args:
            call: The call that was answered.
            worker_list: The answer.
            decision: What follows from it.
            previous_version: The version of the applied list before the answer.
            applied_version: The version of the applied list after it.
        """
        version, kind = worker_list.version, decision.update_kind
        entries, unparsed = len(worker_list.endpoints), len(worker_list.unparsed_ids)
        if not decision.keep_connection:
            why = decision.passed_over.value if decision.passed_over else "unknown"
            self._metrics.count_and_log(
                "list_unexpected", version=version, known=applied_version, why=why, index=call.index
            )
        elif decision.passed_over is PassedOver.OVERTAKEN:
            self._metrics.count("lists_overtaken")
        if not call.is_watch and kind and version == previous_version:
            self._metrics.count("lists_verified")
        if decision.contradicts_earlier:
            self._metrics.count_and_log("list_contradicted", version=version, entries=entries)
        if kind:
            self._recent_lists.append(f"{kind}:{previous_version}-{version}:{entries}:{unparsed}")

    def report_change(
        self,
        call: DiscoveryCall,
        worker_list: WorkerList,
        kind: UpdateKind,
        previous_version: int | None,
        elapsed_s: float,
        progress: AnswerProgress,
    ) -> None:
        """Log a list that changes the workers or their version, and the call that it answered."""
        self._metrics.log(
            "list_taken",
            kind=kind,
            version=worker_list.version,
            known=previous_version,
            index=call.index,
            wait=call.wait_s,
            purpose=call.purpose.value,
            entries=len(worker_list.endpoints),
            unread=len(worker_list.unparsed_ids),
            after=elapsed_s,
            first_byte=progress.first_byte_s,
            received=progress.body_bytes,
        )

    def report_failed_call(
        self,
        name: str,
        call: DiscoveryCall,
        error: Exception,
        elapsed_s: float,
        progress: AnswerProgress,
        list_age_s: float,
    ) -> None:
        """Count and log a call that failed, with what had come of its answer.

        Args:
            name: The event's name: `watch_silent` or `discovery_failed`.
            call: The call.
            error: How it failed.
            elapsed_s: The time from the call to its failure.
            progress: How far its answer had come.
            list_age_s: Seconds since discovery last confirmed the list.
        """
        self._metrics.count_and_log(
            name,
            why=f"{type(error).__name__}: {error}",
            index=call.index,
            wait=call.wait_s,
            purpose=call.purpose.value,
            after=elapsed_s,
            first_byte=progress.first_byte_s,
            last_byte=progress.last_byte_s,
            received=progress.body_bytes,
            list_age=list_age_s,
        )

    def report_cancelled_call(self, why: str, version: int | None, progress: AnswerProgress) -> None:
        """Count a call that is given up for another, and log one whose answer had begun."""
        self._metrics.count("discovery_calls_cancelled")
        if progress.body_bytes:
            self._metrics.log(
                "discovery_call_cancelled",
                why=why,
                known=version,
                first_byte=progress.first_byte_s,
                last_byte=progress.last_byte_s,
                received=progress.body_bytes,
            )

    def report_departures(
        self, leaving: WorkerList, known: int | None, unfinished: bool, progress: AnswerProgress
    ) -> None:
        """Count workers that were taken out of service before their answer was taken.

        Args:
            leaving: The workers, as changes.
            known: The version of the applied list.
            unfinished: Whether the answer has not ended, or is dropped: if so, it is logged.
            progress: How far it has come.
        """
        self._metrics.count("list_departures_applied", len(leaving.endpoints))
        if unfinished:
            self._metrics.log(
                "list_departures_applied",
                version=leaving.version,
                known=known,
                workers=len(leaving.endpoints),
                first_byte=progress.first_byte_s,
                received=progress.body_bytes,
            )

    def trace_call(self, call: DiscoveryCall) -> None:
        """Trace a call as it is made, with the newest version that is known."""
        self._metrics.trace(
            "lists",
            "discovery_call",
            purpose=call.purpose.value,
            index=call.index,
            wait=call.wait_s,
            newest=call.newest_version,
        )

    def trace_unchanged(
        self, call: DiscoveryCall, worker_list: WorkerList, known: Sequence[WorkerEndpoint]
    ) -> None:
        """Trace an answer that is not applied, with the known workers and the lists applied last."""
        self._metrics.trace(
            "lists",
            "list_unchanged",
            purpose=call.purpose.value,
            version=worker_list.version,
            workers=len(known),
            ready=sum(endpoint.member.state == WorkerState.READY for endpoint in known),
            taken=" ".join(self._recent_lists),
        )

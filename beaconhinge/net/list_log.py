"""Logs, counts and traces endpoint lists and the calls for them. docs/oncall.md explains the events."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..membership.discovery_call import AnswerDecision, DiscoveryCall, PassedOver
from ..membership.inventory import WorkerEndpoint, WorkerList
from ..policy.interface import UpdateKind, WorkerState
from ..runtime.metrics import Metrics
from .discovery_answer import AnswerProgress

# The number of recently applied lists in the trace line of an answer that changes nothing.
TRACED_LISTS = 8


class ListLog:
    """Reports discovery's answers and the decisions on them."""

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
        """Count and log unusual decisions, and remember the list for traces if it is applied.

        Args:
            call: The call that was answered.
            worker_list: The list in the answer.
            decision: The decision on the answer.
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
        """Log a list that changes the workers or the version, and the call that it answers.

        Args:
            call: The call that was answered.
            worker_list: The list in the answer.
            kind: How the list is applied.
            previous_version: The version of the applied list before the answer.
            elapsed_s: Seconds from the call to the end of its answer.
            progress: How much of the answer has arrived.
        """
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
        """Count and log a call that failed, with the part of its answer that had arrived.

        Args:
            name: The event's name: `watch_silent` or `discovery_failed`.
            call: The call.
            error: The error that ended the call.
            elapsed_s: Seconds from the call to its failure.
            progress: How much of the answer had arrived.
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
        """Count a call that is cancelled for another, and log it if its answer had begun."""
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
        self, leaving: WorkerList, applied_version: int | None, unfinished: bool, progress: AnswerProgress
    ) -> None:
        """Count workers that were taken out of service before the answer was complete or processed.

        Args:
            leaving: The workers, as a list of changes.
            applied_version: The version of the applied list.
            unfinished: Whether the answer has not ended or was dropped; the workers are logged if so.
            progress: How much of the answer has arrived.
        """
        self._metrics.count("list_departures_applied", len(leaving.endpoints))
        if unfinished:
            self._metrics.log(
                "list_departures_applied",
                version=leaving.version,
                known=applied_version,
                workers=len(leaving.endpoints),
                first_byte=progress.first_byte_s,
                received=progress.body_bytes,
            )

    def trace_call(self, call: DiscoveryCall) -> None:
        """Trace a call as it is made, with the newest version that discovery has announced."""
        self._metrics.trace(
            "lists",
            "discovery_call",
            purpose=call.purpose.value,
            index=call.index,
            wait=call.wait_s,
            newest=call.newest_version,
        )

    def trace_unchanged(
        self, call: DiscoveryCall, worker_list: WorkerList, endpoints: Sequence[WorkerEndpoint]
    ) -> None:
        """Trace an answer that is not applied, with counts of the known workers and the recent lists."""
        self._metrics.trace(
            "lists",
            "list_unchanged",
            purpose=call.purpose.value,
            version=worker_list.version,
            workers=len(endpoints),
            ready=sum(endpoint.member.state == WorkerState.READY for endpoint in endpoints),
            taken=" ".join(self._recent_lists),
        )

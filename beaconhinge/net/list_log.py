"""What is logged, counted and traced of endpoint lists. docs/oncall.md explains the events."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..membership.discovery_watch import DiscoveryCall, WatchDecision
from ..membership.inventory import WorkerEndpoint, WorkerList
from ..policy.interface import UpdateKind, WorkerState
from ..runtime.metrics import Metrics

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
        decision: WatchDecision,
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
            self._metrics.count_and_log("list_unexpected", version=version, known=applied_version)
        if call.wait_s == 0 and kind and version == previous_version:
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
    ) -> None:
        """Log a list that changes the workers or their version, and the call that it answered."""
        self._metrics.log(
            "list_taken",
            kind=kind,
            version=worker_list.version,
            known=previous_version,
            index=call.index,
            wait=call.wait_s,
            entries=len(worker_list.endpoints),
            unread=len(worker_list.unparsed_ids),
            after=elapsed_s,
        )

    def trace_unchanged(self, worker_list: WorkerList, known: Sequence[WorkerEndpoint]) -> None:
        """Trace an answer that is not applied, with the known workers and the lists applied last."""
        self._metrics.trace(
            "lists",
            "list_unchanged",
            version=worker_list.version,
            workers=len(known),
            ready=sum(endpoint.member.state == WorkerState.READY for endpoint in known),
            taken=" ".join(self._recent_lists),
        )

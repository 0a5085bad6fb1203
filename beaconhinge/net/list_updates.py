"""Parses, applies and reports the answers of discovery and the failed calls of all its connections.

`membership/list_state.py` decides which version is applied.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from ..dispatch.policy_runner import PolicyRunner
from ..membership.call_retries import CallFailure
from ..membership.discovery_call import AnswerDecision, DiscoveryCall, ReceivedAnswer
from ..membership.inventory import WorkerList, WorkerListError, WorkerListParser
from ..membership.list_state import ListState
from ..membership.partial_list import LeavingEntries
from ..policy.interface import UpdateKind
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery_connection import DiscoveryConnection
from .http1 import BadMessage, Closed
from .list_applier import ListApplier
from .list_availability import ListAvailability
from .list_log import ListLog
from .worker_pool import WorkerPool

# HTTP statuses by which discovery reports that it has too many callers.
OVERLOAD_STATUSES = (429, 503)


class AnswerDecider(Protocol):
    """Decides on the answers to one sequence of calls: the watch, or the reads beside it."""

    @property
    def failing(self) -> bool:
        """Whether the last call has failed."""

    def handle_answer(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Decide whether and how to apply the answer to a call."""


@dataclass(frozen=True, slots=True)
class DiscoveryAnswer:
    """The list parsed from an answer, and the JSON that it was parsed from."""

    worker_list: WorkerList
    content: Mapping[str, Any]


class ListUpdates:
    """Applies discovery's answers to the worker pool and the policy.

    Attributes:
        on_list_applied: Called with the kind of each list after it was applied.
        log: Logs and counts lists and calls.
    """

    def __init__(
        self,
        state: ListState,
        list_parser: WorkerListParser,
        applier: ListApplier,
        availability: ListAvailability,
        policy_runner: PolicyRunner,
        workers: WorkerPool,
        timers: TimerWheel,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.on_list_applied: Callable[[str], None] = lambda _kind: None
        self.log = ListLog(metrics)
        self._state = state
        self._list_parser = list_parser
        self._applier = applier
        self._availability = availability
        self._policy_runner = policy_runner
        self._workers = workers
        self._timers = timers
        self._metrics = metrics
        self._random = rng

    @property
    def version(self) -> int | None:
        """The version of the applied list; None if it is unknown."""
        return self._state.version

    def update_availability(self) -> None:
        """Release the senders that wait for a usable list, or make senders wait from now on."""
        self._availability.update()

    def parse(self, body: bytes) -> DiscoveryAnswer:
        """Parse the body of an answer.

        Raises:
            WorkerListError: The body is not JSON, or not a list of workers.
        """
        try:
            content = json.loads(body)
            worker_list = self._list_parser.parse(content)
        except (ValueError, RecursionError) as error:
            raise WorkerListError(str(error)) from None
        worker_list.size_bytes = len(body)
        return DiscoveryAnswer(worker_list, content)

    def handle_answer(
        self,
        decider: AnswerDecider,
        connection: DiscoveryConnection,
        call: DiscoveryCall,
        answer: DiscoveryAnswer,
        started_s: float,
        departures_applied: bool,
    ) -> AnswerDecision:
        """Verify and apply an answer.

        Args:
            decider: Decides whether and how the answer is applied.
            connection: The connection on which the answer arrived.
            call: The call that was answered.
            answer: The answer.
            started_s: The time when the call began.
            departures_applied: Whether entries of the answer have already taken workers out of service.

        Returns:
            The decision on the answer.
        """
        now, previous_version, worker_list = self._timers.now(), self._state.version, answer.worker_list
        elapsed_s = now - started_s
        if decider.failing:
            self._metrics.log("discovery_back", list_age=self._availability.list_age_s)
        self._applier.fill_in_unparsed(worker_list)
        changes_workers = departures_applied or self._workers.would_change(worker_list)
        decision = decider.handle_answer(
            ReceivedAnswer(call, worker_list, elapsed_s, now, self._random.random(), changes_workers)
        )
        if decision.proves_current:
            self._availability.handle_answer(started_s, now)
        else:  # proves no more than a failed call
            self._availability.freshness.handle_failure(started_s, now, refused=False, was_watch=False)
        if not decision.keep_connection:
            connection.close()
        self.log.report_decision(call, worker_list, decision, previous_version, self._state.version)
        if decision.update_kind:
            if changes_workers or worker_list.version != previous_version:
                self.log.report_change(
                    call,
                    worker_list,
                    decision.update_kind,
                    previous_version,
                    elapsed_s,
                    connection.progress,
                )
            self._policy_runner.monitor.list_received(answer.content, now)
            self.apply(decision.update_kind, worker_list)
        else:
            self.log.trace_unchanged(call, worker_list, self._workers.endpoints())
        return decision

    def handle_failure(
        self,
        connection: DiscoveryConnection,
        call: DiscoveryCall,
        error: Exception,
        started_s: float,
    ) -> CallFailure:
        """Report a failed call, read the part of its answer that has arrived, and return how it failed."""
        refused = isinstance(error, (ConnectionRefusedError, ConnectionResetError, BrokenPipeError, Closed))
        self._availability.freshness.handle_failure(started_s, self._timers.now(), refused, call.is_watch)
        answer_begun, progress = connection.answer_begun, connection.progress
        if isinstance(error, TimeoutError):
            connection.give_up()
        else:
            connection.close()
        silent = isinstance(error, TimeoutError) and not answer_begun
        event = "watch_silent" if silent and call.is_watch else "discovery_failed"
        elapsed_s = self._timers.now() - started_s
        self.log.report_failed_call(event, call, error, elapsed_s, progress, self._availability.list_age_s)
        refused_by_discovery = isinstance(error, BadMessage) and error.status in OVERLOAD_STATUSES
        return CallFailure(silent, answer_begun, refused_by_discovery)

    def apply_leaving(self, leaving: LeavingEntries, connection: DiscoveryConnection) -> bool:
        """Take workers out of service by entries of an answer that may be incomplete, or never end.

        A change counts as notified once discovery has written it. Waiting for the end of the answer, or for
        the call to be abandoned, meant that jobs were sent to leaving workers for a second or longer. The
        answer's version is not applied yet.

        Returns:
            Whether a worker was taken out of service.
        """
        if self._state.is_older(leaving.version):
            self._metrics.count("list_departures_older")
            return False
        now, worker_list = self._timers.now(), leaving.to_worker_list()
        self._policy_runner.monitor.list_received({"full": False, "servers": leaving.entries}, now)
        self._applier.fill_in_unparsed(worker_list)
        if not self._workers.would_change(worker_list):
            return False
        unfinished = not connection.answer_complete
        self.log.report_departures(worker_list, self._state.version, unfinished, connection.progress)
        self.apply(UpdateKind.CHANGES, worker_list)
        return True

    def apply(self, kind: UpdateKind, worker_list: WorkerList) -> None:
        """Apply a list to the worker pool and the policy."""
        self._applier.apply(kind, worker_list)
        self._state.entry_count = len(self._workers.workers)
        self.on_list_applied(kind)

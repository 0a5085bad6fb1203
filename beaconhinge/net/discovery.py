"""The client of discovery: polls and watches the endpoint list, and applies and confirms what comes.

`membership/discovery_watch.py` decides on the calls and on their answers, `discovery_connection.py` makes the
calls, `list_applier.py` applies lists, `list_availability.py` tells whether the list may be acted on, and
`list_log.py` reports what happened.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ..config import Address, Config
from ..dispatch.policy_runner import PolicyRunner
from ..membership.discovery_watch import DiscoveryCall, DiscoveryWatch
from ..membership.inventory import WorkerList, WorkerListError, WorkerListParser
from ..membership.partial_list import LeavingEntries
from ..policy import interface
from ..policy.interface import UpdateKind
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery_connection import DiscoveryConnection
from .http1 import BadMessage, Closed
from .late_answers import LateAnswers
from .list_applier import ListApplier
from .list_availability import ListAvailability
from .list_log import ListLog
from .worker_pool import WorkerPool

# The window of the first calls of a group that starts at once, for each member, and its maximum. None of them
# serves before it has its list.
START_SPREAD_PER_DISPATCHER_S = 0.01
START_SPREAD_MAX_S = 3.0
# By these discovery says that it has too many callers.
OVERLOAD_STATUSES = (429, 503)
# The time between signs that this process runs.
RUN_CHECK_S = 0.15


@dataclass(frozen=True, slots=True)
class DiscoveryAnswer:
    """An answer as parsed, and the JSON that it was parsed from."""

    worker_list: WorkerList
    content: Mapping[str, Any]


class Discovery:
    """Keeps the endpoint list of this process up to date.

    Attributes:
        watch: Decides on calls and answers.
        availability: Whether the list may be acted on.
        address: Where discovery is called.
        on_list_applied: Called with the kind of each list that was applied.
    """

    def __init__(
        self,
        config: Config,
        policy_runner: PolicyRunner,
        workers: WorkerPool,
        timers: TimerWheel,
        metrics: Metrics,
        wall_clock: Callable[[], float],
    ) -> None:
        self.config = config
        self.policy_runner = policy_runner
        self.workers = workers
        self.timers = timers
        self.metrics = metrics
        settings = config.settings
        pushed = not settings.membership_on_request
        self._random = random.Random(config.seed)  # of its own: the policy's draws stay as they are
        self.watch = DiscoveryWatch(
            pushed,
            settings.group_size,
            settings.membership_max_age_s,
            _complete_version(config.bootstrap_list),
            timers.now(),
            self._random.random(),
        )
        self.list_parser = WorkerListParser(
            config.zones, config.kinds, lambda why: metrics.count_and_log("list_entry_malformed", why=why)
        )
        self.address = config.discovery
        self.on_list_applied: Callable[[str], None] = lambda _kind: None
        self.availability = ListAvailability(pushed, timers, metrics, self._handle_process_pause)
        self._applier = ListApplier(policy_runner, workers, timers, metrics, wall_clock)
        self._bootstrap_list = config.bootstrap_list or WorkerList()
        self._poll_task: asyncio.Task[None] | None = None
        self._late_answers = LateAnswers(timers, metrics)
        self._connection = self._new_connection()
        self._leaving_applied = False  # workers were taken out of service since the last call was made
        self._call_ended = asyncio.Event()  # a call has been answered, or has failed
        self._log = ListLog(metrics)
        policy_runner.action_handlers[interface.SubscribeMembership] = self._subscribe
        policy_runner.action_handlers[interface.FetchMembership] = lambda _action: self._restart_polling(
            "snapshot_wanted", snapshot=True
        )
        policy_runner.on_event_failed = self._handle_event_failure
        workers.list_usable = lambda: self.list_usable
        workers.wait_until_list_usable = self.availability.wait_until_usable
        timers.after(RUN_CHECK_S, self._check)

    @property
    def list_usable(self) -> bool:
        """Whether the list may be acted on, as far as is known this moment."""
        return self.availability.usable

    @property
    def version(self) -> int | None:
        """The version of the applied list; None if none is known."""
        return self.watch.version

    def start_from_bootstrap(self) -> None:
        """Apply the configured or inherited list, however old, and call discovery.

        Nothing is sent by that list before discovery has been called, which is done here: the policy asks
        later where many dispatchers start.
        """
        self._apply(UpdateKind.BOOTSTRAP, self._bootstrap_list)
        spread_s = min(START_SPREAD_PER_DISPATCHER_S * self.config.settings.group_size, START_SPREAD_MAX_S)
        pause_s = 0.0 if self.watch.pushed else spread_s * self._random.random()
        self._restart_polling("start", pause_s=pause_s)

    def take_over_list(self, worker_list: WorkerList, same_discovery: bool) -> None:
        """Take the list of the process that this one replaces as the bootstrap list.

        Args:
            worker_list: The other process's list.
            same_discovery: Whether it came from the discovery that this process calls; versions count for one
                discovery alone.
        """
        if same_discovery and self.version is not None and self.version > worker_list.version:
            return
        version = _complete_version(worker_list) if same_discovery else None
        self.watch.restart(version, self.timers.now(), self._random.random())
        self._bootstrap_list = worker_list

    def switch_to(self, address: Address) -> None:
        """Call another discovery from now on.

        Its versions count by themselves, so that the snapshot is asked for. A call to the old address is
        cancelled, lest its answer be taken for one of the new discovery.
        """
        if address == self.address:
            return
        polling = self._poll_task is not None
        self._stop_polling("other_discovery")  # what the old one has written counts by its own versions
        self._late_answers.close()
        self.address = address
        pause_s = self.watch.switch_discovery(self.timers.now(), self._random.random())
        if polling:  # the policy would ask again only when the old watch had failed
            self._restart_polling("other_discovery", pause_s=pause_s)

    async def refresh(self) -> None:
        """Fetch what has changed at once; returns when that has been applied, or has failed."""
        self._call_ended.clear()
        self._restart_polling("refresh")
        await self._call_ended.wait()

    def _check(self) -> None:
        self.timers.after(RUN_CHECK_S, self._check)
        self._applier.observe_clocks()
        self.availability.update()

    def _handle_process_pause(self) -> None:
        """Call discovery at once, whatever call is out: what was announced meanwhile is not known."""
        self.metrics.count("lists_refreshed_after_stall")
        if self._poll_task is not None:
            self._restart_polling("process_paused")

    def _subscribe(self, action: interface.SubscribeMembership) -> None:
        if self._poll_task is not None and not action.enabled:
            self._stop_polling("unsubscribed")
        elif action.enabled and (self._poll_task is None or self._poll_task.done()):
            self._restart_polling("subscribed")

    def _stop_polling(self, why: str) -> None:
        """Cancel the call that is out, if there is one."""
        if self._poll_task is not None:
            self._log.report_cancelled_call(why, self.version, self._connection.progress)
            self._connection.give_up()
            self._poll_task.cancel()
            self._poll_task = None

    def _restart_polling(self, why: str, snapshot: bool = False, pause_s: float = 0.0) -> None:
        """Call now, and continue from there. One call at a time: no answer overtakes another."""
        self._stop_polling(why)
        self.watch.resync(snapshot)
        self._connection = self._new_connection()
        self._poll_task = self.metrics.spawn(self._poll(self._connection, pause_s), "watch")

    async def _poll(self, connection: DiscoveryConnection, pause_s: float) -> None:
        """One call after the other: first for what was missed, which is answered at once, then watches."""
        try:
            while True:
                await connection.rest(pause_s)
                self._leaving_applied = False
                self.watch.entry_count = len(self.workers.workers)
                started_s = self.timers.now()
                call = self.watch.next_call(started_s)
                try:
                    answer = self._parse(await connection.fetch(self.address, call))
                except (OSError, Closed, BadMessage, WorkerListError) as error:
                    pause_s = self._handle_failure(connection, call, error, started_s)
                else:
                    elapsed_s = self.timers.now() - started_s
                    pause_s = self._handle_answer(connection, call, answer, elapsed_s)
                self._call_ended.set()
                self.availability.update()
        finally:
            connection.close()

    def _parse(self, body: bytes) -> DiscoveryAnswer:
        try:
            content = json.loads(body)
            worker_list = self.list_parser.parse(content)
        except (ValueError, RecursionError) as error:
            raise WorkerListError(str(error)) from None
        worker_list.size_bytes = len(body)
        return DiscoveryAnswer(worker_list, content)

    def _handle_answer(
        self, connection: DiscoveryConnection, call: DiscoveryCall, answer: DiscoveryAnswer, elapsed_s: float
    ) -> float:
        """Verify and apply an answer; returns the time to the next call."""
        now, previous_version, worker_list = self.timers.now(), self.version, answer.worker_list
        if self.watch.failing:
            self.metrics.log("discovery_back", list_age=self.availability.list_age_s)
        self._applier.fill_in_unparsed(worker_list)
        changes_workers = self._leaving_applied or self.workers.would_change(worker_list)
        decision = self.watch.handle_answer(
            worker_list, elapsed_s, now, self._random.random(), changes_workers
        )
        if decision.proves_current:
            self.availability.handle_answer(now - elapsed_s, now)
        else:  # shows as little as a call that fails
            self.availability.freshness.handle_failure(now - elapsed_s, now, refused=False, was_watch=False)
        if not decision.keep_connection:
            connection.close()
        self._log.report_decision(call, worker_list, decision, previous_version, self.version)
        if decision.update_kind:
            if changes_workers or worker_list.version != previous_version:
                self._log.report_change(
                    call,
                    worker_list,
                    decision.update_kind,
                    previous_version,
                    elapsed_s,
                    connection.progress,
                )
            self.policy_runner.monitor.list_received(answer.content, now)
            self._apply(decision.update_kind, worker_list)
        else:
            self._log.trace_unchanged(worker_list, self.workers.endpoints())
        return decision.pause_s

    def _handle_failure(
        self, connection: DiscoveryConnection, call: DiscoveryCall, error: Exception, started_s: float
    ) -> float:
        """Report a failed call, and use what came of its answer; returns the time to the next call."""
        refused = isinstance(error, (ConnectionRefusedError, ConnectionResetError, BrokenPipeError, Closed))
        was_watch = call.wait_s > 0
        self.availability.freshness.handle_failure(started_s, self.timers.now(), refused, was_watch)
        answer_begun, progress = connection.answer_begun, connection.progress
        if isinstance(error, TimeoutError):
            connection.give_up()
        else:
            connection.close()
        silent = isinstance(error, TimeoutError) and not answer_begun
        event = "watch_silent" if silent and was_watch else "discovery_failed"
        elapsed_s, list_age_s = self.timers.now() - started_s, self.availability.list_age_s
        self._log.report_failed_call(event, call, error, elapsed_s, progress, list_age_s)
        refused_by_discovery = isinstance(error, BadMessage) and error.status in OVERLOAD_STATUSES
        return self.watch.handle_failure(
            silent, self.timers.now(), self._random.random(), answer_begun, refused_by_discovery
        )

    def _new_connection(self) -> DiscoveryConnection:
        return DiscoveryConnection(self.timers, self.metrics, self._apply_leaving, self._late_answers)

    def _apply_leaving(self, leaving: LeavingEntries) -> None:
        """Take workers out of service by entries of an answer that may not have ended, or never will.

        The change counts as notified once it is written. Waiting for the answer's end, or for the call to be
        given up, had jobs sent to leaving workers for a second and longer. Its version does not count yet.
        """
        if leaving.version < (self.version or 0):
            self.metrics.count("list_departures_older")
            return
        now, worker_list = self.timers.now(), leaving.to_worker_list()
        self.policy_runner.monitor.list_received({"full": False, "servers": leaving.entries}, now)
        self._applier.fill_in_unparsed(worker_list)
        if self.workers.would_change(worker_list):
            self._leaving_applied = True
            self._log.report_departures(
                worker_list, self.version, not self._connection.answer_whole, self._connection.progress
            )
            self._apply(UpdateKind.CHANGES, worker_list)

    def _apply(self, kind: UpdateKind, worker_list: WorkerList) -> None:
        self._applier.apply(kind, worker_list)
        self.on_list_applied(kind)

    def _handle_event_failure(self, event: interface.Event) -> None:
        """The policy failed on an event: if that was a list, it may hold another one than is known here."""
        if isinstance(event, interface.MembershipUpdate):
            self.watch.handle_apply_failure(self.timers.now())


def _complete_version(worker_list: WorkerList | None) -> int | None:
    """The version of a list whose content is complete; None if some entries could not be parsed."""
    if worker_list is None or worker_list.unparsed_ids:
        return None
    return worker_list.version

"""Applies endpoint lists to the worker pool and the policy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..dispatch.policy_runner import PolicyRunner
from ..membership.inventory import WorkerList
from ..membership.start_times import StartTimes
from ..policy.interface import MemberEntry, MembershipUpdate, UpdateKind, WorkerState
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .worker_pool import WorkerPool


class ListApplier:
    """Applies lists to the worker pool and, right after that, to the policy."""

    def __init__(
        self,
        policy_runner: PolicyRunner,
        workers: WorkerPool,
        timers: TimerWheel,
        metrics: Metrics,
        wall_clock: Callable[[], float],
    ) -> None:
        self._policy_runner = policy_runner
        self._workers = workers
        self._timers = timers
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._start_times = StartTimes()

    def observe_clocks(self) -> None:
        """Compare the wall clock with the monotonic clock; to be called a few times a second."""
        self._start_times.observe_clocks(self._timers.now(), self._wall_clock())

    def fill_in_unparsed(self, worker_list: WorkerList) -> None:
        """Add entries for known workers whose own entries could not be parsed.

        If such an entry has a readable state that takes the worker out of service, the state is applied.
        Otherwise the worker stays as it is; a snapshot gets its known entry, so that it doesn't count as
        departed.
        """
        for known in self._workers.known_endpoints(worker_list.unparsed_ids):
            state = worker_list.unparsed_states.get(known.id, WorkerState.READY)
            if state != WorkerState.READY:
                worker_list.endpoints.append(known.with_state(state))
            elif worker_list.is_snapshot:
                worker_list.endpoints.append(known)

    def apply(self, kind: UpdateKind, worker_list: WorkerList) -> None:
        """Apply a list to the worker pool and the policy."""
        self._metrics.count("lists_" + kind)
        if worker_list.is_snapshot:  # a worker whose entry can't be parsed has not departed
            worker_list.endpoints += self._workers.known_endpoints(worker_list.unparsed_ids)
        self._workers.apply_list(worker_list)
        self._policy_runner.feed(MembershipUpdate(kind, worker_list.version, self._members(worker_list)))

    def _members(self, worker_list: WorkerList) -> list[MemberEntry]:
        """Return the policy's entries, with each worker's start time converted to this process's clock."""
        now = self._timers.now()
        self._start_times.observe_clocks(now, self._wall_clock())
        if worker_list.is_snapshot:
            self._start_times.retain_only({endpoint.id for endpoint in worker_list.endpoints})
        members = []
        for endpoint in worker_list.endpoints:
            member = endpoint.member
            start_s = self._start_times.to_monotonic(endpoint.id, member.started_at, now)
            members.append(replace(member, slow_start_from=start_s) if start_s else member)
        return members

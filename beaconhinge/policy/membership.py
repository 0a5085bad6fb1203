"""Membership: lists of workers and their changes, maintenance by operators, and when to ask for a list."""

from . import interface
from .context import INF, Context
from .interface import UpdateKind, WorkerState
from .workers import Worker, WorkerTable

FETCH_SPREAD_S = 0.25
"""Seconds for each dispatcher, over which they spread their requests to discovery."""


class Membership:
    """Which workers may have jobs.

    Attributes:
        in_maintenance: Workers taken out by operators, and their start as known then.
        fetch_at: When discovery is asked next.
        fetch_within_s: Seconds over which the next request is spread after a refusal.
    """

    def __init__(self, context: Context, workers: WorkerTable) -> None:
        """Start without a list."""
        self._context = context
        self._workers = workers
        self.in_maintenance: dict[int, float] = {}
        self.fetch_at = INF
        self.fetch_within_s = FETCH_SPREAD_S * context.settings.group_size

    def start(self) -> None:
        """Ask for the list; in a large group at a random time.

        A release restarts many dispatchers at once, and discovery answers in turn, or not at all.
        """
        if self._context.large_group:
            longest = min(self.fetch_within_s, self._context.settings.membership_max_age_s) / 2
            self.fetch_at = self._context.now + longest * self._context.random.random()
        else:
            self.fetch()

    def fetch(self) -> None:
        """Ask for the list.

        Not asking counts as knowing after the longest age, and after four times that when it was refused.
        """
        settings = self._context.settings
        if settings.membership_on_request:
            self._context.actions.append(interface.SubscribeMembership())
        self.fetch_at = self._context.now + settings.membership_max_age_s / 2

    def fetch_if_due(self) -> None:
        """Ask for the list when it is time to."""
        if self._context.now >= self.fetch_at:
            self.fetch()

    def update(self, event: interface.MembershipUpdate) -> bool:
        """Take in a list or a change. Returns False for a refusal, which changes nothing."""
        if event.kind == UpdateKind.REFUSED:
            self._postpone()
            return False
        if event.kind != UpdateKind.CHANGES:
            self._remove_unnamed({m.worker for m in event.members})
        for entry in event.members:
            self._update_member(entry)
        if event.kind != UpdateKind.BOOTSTRAP and self._context.settings.membership_on_request:
            self.fetch_at = INF
            self.fetch_within_s = FETCH_SPREAD_S * self._context.settings.group_size
        self._workers.rebuild_pools()
        return True

    def _postpone(self) -> None:
        """Wait in a wide window: discovery that all ask within a short time answers none of them."""
        self.fetch_at = self._context.now + self.fetch_within_s * self._context.random.random()
        longest = 2 * self._context.settings.membership_max_age_s
        self.fetch_within_s = min(2 * self.fetch_within_s, longest)

    def _remove_unnamed(self, named: set[int]) -> None:
        for worker in self._workers.by_id.values():
            if worker.ready and worker.id not in named:
                worker.ready = worker.listed = False
                self.close_idle_connections(worker)

    def _update_member(self, entry: interface.MemberEntry) -> None:
        worker = self._workers.get_or_add(entry.worker)
        if entry.started_at not in (0, worker.started_at):  # another start, even by a clock that was set back
            worker.restart(entry.started_at, entry.slow_start_from or entry.started_at)
        worker.kind, worker.cell, worker.zone = entry.kind, entry.cell, entry.zone
        worker.ready = entry.state == WorkerState.READY
        self._set_listed(worker)

    def _set_listed(self, worker: Worker) -> None:
        worker.listed = worker.ready and worker.id not in self.in_maintenance
        self.close_idle_connections(worker)

    def set_maintenance(self, event: interface.MaintenanceMode) -> None:
        """Operators take a worker out or put it back.

        Out, it is as one that drains. Back, its past is void and it counts as cold: the list may not have
        shown yet a restart meanwhile.
        """
        worker = self._workers.get_or_add(event.worker)
        if event.enabled:
            self.in_maintenance.setdefault(worker.id, worker.started_at)
        elif worker.id in self.in_maintenance:
            known = self.in_maintenance.pop(worker.id)
            if worker.started_at == known:
                worker.slow_start_from = self._context.now
            worker.reset_health()
        self._set_listed(worker)
        self._workers.rebuild_pools()

    def close_idle_connections(self, worker: Worker) -> None:
        """Where the rule stands, idle connections to a leaving worker are closed, after each outcome too."""
        if not worker.listed and self._context.settings.drain_close_within_s > 0:
            self._context.actions.append(interface.CloseIdleConnections(worker.id))

"""Membership: applies lists of workers and maintenance, and decides when to fetch a list."""

from . import interface
from .context import INF, Context
from .interface import UpdateKind, WorkerState
from .workers import Worker, WorkerTable

FETCH_SPREAD_S = 0.25
"""Seconds per dispatcher of the group over which they spread their requests to discovery."""


class Membership:
    """Keeps which workers may receive jobs.

    Attributes:
        in_maintenance: Id of each worker in maintenance, and its `started_at` when that began.
        fetch_at: Time in seconds of the next request to discovery.
        fetch_within_s: Seconds within which the next request is sent, at random, after a refusal.
    """

    def __init__(self, context: Context, workers: WorkerTable) -> None:
        """Start without a list."""
        self._context = context
        self._workers = workers
        self.in_maintenance: dict[int, float] = {}
        self.fetch_at = INF
        self.fetch_within_s = FETCH_SPREAD_S * context.settings.group_size

    def start(self) -> None:
        """Fetch the list; in a large group after a random delay.

        A release restarts many dispatchers at once, and discovery answers their requests one by one, or not
        at all.
        """
        if self._context.large_group:
            max_delay_s = min(self.fetch_within_s, self._context.settings.membership_max_age_s) / 2
            self.fetch_at = self._context.now + max_delay_s * self._context.random.random()
        else:
            self.fetch()

    def fetch(self) -> None:
        """Request the list from discovery, where it is on request, and schedule the next request.

        The rules treat a dispatcher that has not requested the list for longer than the maximum age as if it
        had received all changes. After a refused request, they do so after four times the maximum age.
        """
        settings = self._context.settings
        if settings.membership_on_request:
            self._context.actions.append(interface.SubscribeMembership())
        self.fetch_at = self._context.now + settings.membership_max_age_s / 2

    def fetch_if_due(self) -> None:
        """Fetch the list if the next request for it is due."""
        if self._context.now >= self.fetch_at:
            self.fetch()

    def update(self, event: interface.MembershipUpdate) -> bool:
        """Apply a list or a change. Return False for a refusal, which changes no worker."""
        if event.kind == UpdateKind.REFUSED:
            self._postpone()
            return False
        if event.kind != UpdateKind.CHANGES:
            self._remove_unlisted({m.worker for m in event.members})
        for entry in event.members:
            self._update_member(entry)
        if event.kind != UpdateKind.BOOTSTRAP and self._context.settings.membership_on_request:
            self.fetch_at = INF
            self.fetch_within_s = FETCH_SPREAD_S * self._context.settings.group_size
        self._workers.rebuild_pools()
        return True

    def _postpone(self) -> None:
        """Schedule the next request at random in a window that doubles with each refusal.

        When all dispatchers send requests within a short time, discovery answers none of them.
        """
        self.fetch_at = self._context.now + self.fetch_within_s * self._context.random.random()
        max_delay_s = 2 * self._context.settings.membership_max_age_s
        self.fetch_within_s = min(2 * self.fetch_within_s, max_delay_s)

    def _remove_unlisted(self, named: set[int]) -> None:
        for worker in self._workers.by_id.values():
            if worker.ready and worker.id not in named:
                worker.ready = worker.listed = False
                self.close_idle_connections(worker)

    def _update_member(self, entry: interface.MemberEntry) -> None:
        worker = self._workers.get_or_add(entry.worker)
        # Any other time is another start, even an earlier one: a wall clock may have been set back.
        if entry.started_at not in (0, worker.started_at):
            worker.restart(entry.started_at, entry.slow_start_from or entry.started_at)
        worker.kind, worker.cell, worker.zone = entry.kind, entry.cell, entry.zone
        worker.ready = entry.state == WorkerState.READY
        self._set_listed(worker)

    def _set_listed(self, worker: Worker) -> None:
        worker.listed = worker.ready and worker.id not in self.in_maintenance
        self.close_idle_connections(worker)

    def set_maintenance(self, event: interface.MaintenanceMode) -> None:
        """Put a worker into maintenance, or take it out.

        In maintenance it is treated as draining. When it comes out, its failures and ejections are reset, and
        it counts as cold unless the list has shown a new start, because it may have been restarted meanwhile.
        """
        worker = self._workers.get_or_add(event.worker)
        if event.enabled:
            self.in_maintenance.setdefault(worker.id, worker.started_at)
        elif worker.id in self.in_maintenance:
            started_at_before = self.in_maintenance.pop(worker.id)
            if worker.started_at == started_at_before:
                worker.slow_start_from = self._context.now
            worker.reset_health()
        self._set_listed(worker)
        self._workers.rebuild_pools()

    def close_idle_connections(self, worker: Worker) -> None:
        """Close idle connections to a worker that may receive no jobs, if the settings require it.

        Also called after each outcome, since that leaves a connection idle.
        """
        if not worker.listed and self._context.settings.drain_close_within_s > 0:
            self._context.actions.append(interface.CloseIdleConnections(worker.id))

"""Writes quota snapshots to the store at an interval and at an orderly stop, and restores one at a start."""

from __future__ import annotations

from ..policy.dispatcher import Dispatcher
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Put, Store, StoreError
from . import record

SNAPSHOT_KEY = b"books"


class SnapshotWriter:
    """Keeps the stored snapshot of one dispatcher up to date."""

    def __init__(
        self,
        store: Store,
        dispatcher: Dispatcher,
        timers: TimerWheel,
        metrics: Metrics,
        interval_s: float,
        max_age_s: float,
    ) -> None:
        """`interval_s`: time between snapshots. `max_age_s`: a snapshot older than this is not restored."""
        self.store = store
        self.dispatcher = dispatcher
        self.timers = timers
        self.metrics = metrics
        self.interval_s = interval_s
        self.max_age_s = max_age_s

    def restore(self) -> bool:
        """Restore the stored snapshot, after the dispatcher was started and before it handles other events.

        An unusable snapshot is counted and logged.

        Returns:
            Whether a snapshot was restored.
        """
        try:
            data = self.store.get(SNAPSHOT_KEY)
            if data is None:
                return False
            now = self.timers.now()
            found = record.decode(data)
            age = record.check(found, self.dispatcher.settings, now, self.max_age_s)
        except (record.StaleRecordError, StoreError) as why:
            self.metrics.count_and_log("quota_snapshot_discarded", why=why)
            return False
        record.restore(self.dispatcher, found, now, age)
        self.metrics.count("quota_snapshot_restored")
        self.metrics.log(
            "quota_snapshot_restored", age=age, tenants=len(found.quota_tokens), others=len(found.peers)
        )
        return True

    def schedule_write(self) -> None:
        """Start writing snapshots at the interval."""
        self.timers.after(self.interval_s, lambda: self.metrics.spawn(self._write_and_reschedule(), "books"))

    async def _write_and_reschedule(self) -> None:
        await self.write()
        if self.store.failure is None:  # a failed store stays read-only: logged once, no more writes
            self.schedule_write()

    async def write(self) -> None:
        """Write one snapshot; an error of the store is counted and logged."""
        data = record.encode(record.take(self.dispatcher, self.timers.now()))
        try:
            await self.store.commit([Put(SNAPSHOT_KEY, data)])
            self.metrics.count("quota_snapshot_written")
        except StoreError as error:
            self.metrics.count_and_log("quota_snapshot_write_failed", why=error)

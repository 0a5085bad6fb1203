"""Quota snapshots over a restart: tenant shares are kept, and unusable snapshots are rejected with a reason."""

from __future__ import annotations

import asyncio
import io
from functools import cache
from statistics import mean

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from snapshot_world import GROUP_SIZE, PAIRS, FleetSimulation

from beaconhinge.gossip.peers import Peer
from beaconhinge.policy import interface
from beaconhinge.policy.admission import TenantBucket
from beaconhinge.policy.context import INF
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.quota_snapshots import record
from beaconhinge.quota_snapshots.writer import SNAPSHOT_KEY, SnapshotWriter
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel
from beaconhinge.standin.disk import SimDisk, failing
from beaconhinge.store import Put, Store

SEEDS = range(1, 7)
KILLED_AT, RESTARTED_AT = 20.0, 21.0


@cache
def simulations(restart: bool, use_snapshots: bool) -> list[FleetSimulation]:
    runs = [FleetSimulation(seed, KILLED_AT if restart else 0.0, use_snapshots) for seed in SEEDS]
    for simulation in runs:
        simulation.run(RESTARTED_AT + 10.0)
    return runs


def mean_shares(restart: bool, use_snapshots: bool, seconds: float) -> list[float]:
    """Return each tenant's share of the jobs served after the restart, as the mean over the seeds."""
    shares_by_seed = [
        simulation.served_shares(RESTARTED_AT, RESTARTED_AT + seconds)
        for simulation in simulations(restart, use_snapshots)
    ]
    return [mean(tenant_shares) for tenant_shares in zip(*shares_by_seed, strict=True)]


def largest_difference(actual: list[float], expected: list[float]) -> float:
    return max(abs(a - b) for a, b in zip(actual, expected, strict=True))


@pytest.mark.parametrize("seconds", [3.0, 10.0])
def test_snapshots_keep_tenant_shares_over_a_kill_under_load(seconds: float) -> None:
    """A dispatcher restarted without a snapshot gives tenants other shares until it has measured demand again."""
    expected = mean_shares(False, False, seconds)
    without_snapshots, with_snapshots = mean_shares(True, False, seconds), mean_shares(True, True, seconds)
    assert largest_difference(with_snapshots, expected) < 0.5 * largest_difference(
        without_snapshots, expected
    ), (expected, without_snapshots, with_snapshots)
    assert (
        largest_difference(with_snapshots, expected) < 0.02 < largest_difference(without_snapshots, expected)
    ), (expected, without_snapshots, with_snapshots)


def test_snapshot_of_other_settings_is_ignored_at_the_start() -> None:
    """Shares and rates of another configuration or group must not be applied; the start continues without."""

    def change_settings(data: bytes) -> bytes:
        return record.encode(msgspec.structs.replace(record.decode(data), settings_fingerprint="other"))

    simulation = FleetSimulation(1, 2.0, True, edit=change_settings)
    simulation.run(4.0)
    assert simulation.rejected_snapshots == ["taken under other settings or in another group"]


def settings(**changes: str) -> interface.Settings:
    return interface.Settings.from_pairs({**PAIRS, "orgs.0.quotaRps": "6", **changes})


def dispatcher_with_state(now: float = 1000.0) -> Dispatcher:
    """Return a dispatcher with a limited fleet rate, two buckets, two peers and quota tokens."""
    dispatcher = Dispatcher(settings(), 1)
    dispatcher.handle(now, interface.Start())
    dispatcher.admission.fleet_rate = 50.0
    dispatcher.admission.buckets[0, 0] = TenantBucket(0.0, 0.0, 12.0, 9.0, 0.5, 4.0)
    dispatcher.admission.buckets[2, 0] = TenantBucket(0.0, 0.0, 3.0, 3.0, 0.0, INF)
    for number, heard_at in ((1, now - 0.2), (2, now - 2.0)):
        dispatcher.gossip.peers[number] = Peer(7, 5, heard_at, 2.0, 0.5, {(0, 0): 6.0}, 4.0)
    dispatcher.quotas.tokens = [0.5, 1.0, 1.0]
    return dispatcher


def restored_dispatcher(age: float) -> Dispatcher:
    """Return a new dispatcher restored from a snapshot that is `age` seconds old."""
    snapshot = record.decode(record.encode(record.take(dispatcher_with_state(), 1000.0)))
    dispatcher = Dispatcher(settings(), 2)
    dispatcher.handle(1000.0 + age, interface.Start())
    record.restore(dispatcher, snapshot, 1000.0 + age, record.check(snapshot, settings(), 1000.0 + age, 30.0))
    return dispatcher


def test_snapshot_of_age_zero_restores_the_same_state() -> None:
    dispatcher = restored_dispatcher(0.0)
    expected = record.take(dispatcher_with_state(), 1000.0)
    # The demand share is computed again: 15 of the 27 jobs a second that the dispatcher knows of.
    assert record.take(dispatcher, 1000.0) == msgspec.structs.replace(expected, demand_share=15 / 27)


def test_restored_state_is_aged_by_the_time_passed() -> None:
    """State restored as it was written would ignore the tokens and the reports of the time in between."""
    dispatcher = restored_dispatcher(1.0)
    assert dispatcher.admission.buckets[0, 0].tokens == 4.5  # 0.5, and 4 a second for one second
    # A reduced fleet rate recovers by the time passed as it would have without the restart.
    assert dispatcher.admission.fleet_rate == pytest.approx(55.0)
    assert dispatcher.quotas.tokens[0] > 0.5
    assert dispatcher.gossip.peers[1].demand
    assert not dispatcher.gossip.peers[2].demand
    assert restored_dispatcher(25.0).admission.buckets[0, 0].tokens == 12.0  # limited to the bucket's burst


@pytest.mark.parametrize(
    ("age", "changes", "reason"),
    [
        (31.0, {}, "31.0 s old"),
        (-5.0, {}, "in the future"),
        (1.0, {"groupSize": str(GROUP_SIZE + 1)}, "other settings"),
        (1.0, {"orgs.1.share": "0.3"}, "other settings"),
        (1.0, {"requestClasses.0.aim": "0.6"}, "other settings"),
    ],
)
def test_stale_or_foreign_snapshot_is_rejected(age: float, changes: dict[str, str], reason: str) -> None:
    snapshot = record.take(dispatcher_with_state(), 1000.0)
    with pytest.raises(record.StaleRecordError, match=reason):
        record.check(snapshot, settings(**changes), 1000.0 + age, 30.0)


@given(st.binary(max_size=60))
def test_no_bytes_but_a_record_are_taken_for_one(data: bytes) -> None:
    with pytest.raises(record.StaleRecordError):
        record.decode(data)


def test_other_version_or_truncated_record_is_rejected() -> None:
    """A record of another program version or a damaged one must not be read in part."""
    snapshot = record.take(dispatcher_with_state(), 1000.0)
    with pytest.raises(record.StaleRecordError, match="version"):
        record.decode(record.encode(msgspec.structs.replace(snapshot, version=2)))
    data = record.encode(snapshot)
    for size in range(len(data)):
        with pytest.raises(record.StaleRecordError):
            record.decode(data[:size])


def test_writer_restores_and_reports_unusable_snapshots() -> None:
    """An unusable snapshot or a failed disk must be logged and must not stop the dispatcher."""

    async def scenario() -> None:
        now = [1000.0]
        disk, log = SimDisk(), io.StringIO()
        metrics = Metrics(lambda: now[0], log)
        store = Store.open("sim", disk=disk, new_id=lambda: b"S" * 16)
        timers = TimerWheel(lambda: now[0], metrics.log_exception)
        await SnapshotWriter(store, dispatcher_with_state(), timers, metrics, 0.5, 30.0).write()
        now[0] += 1.0
        fresh = Dispatcher(settings(), 2)
        fresh.handle(now[0], interface.Start())
        assert SnapshotWriter(store, fresh, timers, metrics, 0.5, 30.0).restore()
        assert fresh.admission.fleet_rate == pytest.approx(55.0)
        assert "quota_snapshot_restored age=1.000" in log.getvalue()
        await store.commit([Put(SNAPSHOT_KEY, b"rubbish")])
        assert not SnapshotWriter(store, fresh, timers, metrics, 0.5, 30.0).restore()
        assert "quota_snapshot_discarded" in log.getvalue()
        assert metrics.counters["quota_snapshot_discarded"] == 1
        disk.faults = failing("sync", 5)
        writer = SnapshotWriter(store, fresh, timers, metrics, 0.5, 30.0)
        await writer._write_and_reschedule()  # a disk failure is logged once; no more writes follow
        assert metrics.counters["quota_snapshot_write_failed"] == 1
        assert "quota_snapshot_write_failed" in log.getvalue()
        await store.close()

    asyncio.run(scenario())

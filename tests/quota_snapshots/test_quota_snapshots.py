"""Books over a restart: shares stay as they were, and what must not be used is dropped with its reason."""

from __future__ import annotations

import asyncio
import io
from functools import cache
from statistics import mean

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from snapshot_world import GROUP, PAIRS, World

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
KILLED, BACK = 20.0, 21.0


@cache
def worlds(restart: bool, books: bool) -> list[World]:
    made = [World(seed, KILLED if restart else 0.0, books) for seed in SEEDS]
    for world in made:
        world.run(BACK + 10.0)
    return made


def shares(restart: bool, books: bool, seconds: float) -> list[float]:
    """Each tenant's part of what was served after the restart, mean over the seeds."""
    parts = [world.share(BACK, BACK + seconds) for world in worlds(restart, books)]
    return [mean(part) for part in zip(*parts, strict=True)]


def off(found: list[float], right: list[float]) -> float:
    return max(abs(a - b) for a, b in zip(found, right, strict=True))


@pytest.mark.parametrize("seconds", [3.0, 10.0])
def test_after_a_kill_under_load_shares_are_nearer_to_those_without_a_restart(seconds: float) -> None:
    right = shares(False, False, seconds)
    empty, kept = shares(True, False, seconds), shares(True, True, seconds)
    assert off(kept, right) < 0.5 * off(empty, right), (right, empty, kept)
    assert off(kept, right) < 0.02 < off(empty, right), (right, empty, kept)


def test_a_record_of_another_configuration_is_dropped_and_the_start_goes_on() -> None:
    def edit(data: bytes) -> bytes:
        return record.encode(msgspec.structs.replace(record.decode(data), settings_fingerprint="other"))

    world = World(1, 2.0, True, edit=edit)
    world.run(4.0)
    assert world.dropped == ["taken under other settings or in another group"]


def settings(**changes: str) -> interface.Settings:
    return interface.Settings.from_pairs({**PAIRS, "orgs.0.quotaRps": "6", **changes})


def busy(now: float = 1000.0) -> Dispatcher:
    dispatcher = Dispatcher(settings(), 1)
    dispatcher.handle(now, interface.Start())
    dispatcher.admission.fleet_rate = 50.0
    dispatcher.admission.buckets[0, 0] = TenantBucket(0.0, 0.0, 12.0, 9.0, 0.5, 4.0)
    dispatcher.admission.buckets[2, 0] = TenantBucket(0.0, 0.0, 3.0, 3.0, 0.0, INF)
    for number, heard in ((1, now - 0.2), (2, now - 2.0)):
        dispatcher.gossip.peers[number] = Peer(7, 5, heard, 2.0, 0.5, {(0, 0): 6.0}, 4.0)
    dispatcher.quotas.tokens = [0.5, 1.0, 1.0]
    return dispatcher


def restored(age: float) -> Dispatcher:
    taken = record.decode(record.encode(record.take(busy(), 1000.0)))
    dispatcher = Dispatcher(settings(), 2)
    dispatcher.handle(1000.0 + age, interface.Start())
    record.restore(dispatcher, taken, 1000.0 + age, record.check(taken, settings(), 1000.0 + age, 30.0))
    return dispatcher


def test_books_come_back_as_they_were_when_no_time_has_passed() -> None:
    dispatcher = restored(0.0)
    right = record.take(busy(), 1000.0)
    # Its part of the demand is worked out anew: 15 of the 27 jobs a second that it knows of.
    assert record.take(dispatcher, 1000.0) == msgspec.structs.replace(right, demand_share=15 / 27)


def test_books_age_by_the_time_passed() -> None:
    dispatcher = restored(1.0)
    assert dispatcher.admission.buckets[0, 0].tokens == 4.5  # half a job and a second's four
    assert dispatcher.admission.fleet_rate == pytest.approx(55.0)  # a cut fades as it would have
    assert dispatcher.quotas.tokens[0] > 0.5
    assert dispatcher.gossip.peers[1].demand
    assert not dispatcher.gossip.peers[2].demand
    assert restored(25.0).admission.buckets[0, 0].tokens == 12.0  # a bucket holds no more than its burst


@pytest.mark.parametrize(
    ("age", "changes", "why"),
    [
        (31.0, {}, "31.0 s old"),
        (-5.0, {}, "in the future"),
        (1.0, {"groupSize": str(GROUP + 1)}, "other settings"),
        (1.0, {"orgs.1.share": "0.3"}, "other settings"),
        (1.0, {"requestClasses.0.aim": "0.6"}, "other settings"),
    ],
)
def test_what_is_stale_or_from_elsewhere_is_refused(age: float, changes: dict[str, str], why: str) -> None:
    taken = record.take(busy(), 1000.0)
    with pytest.raises(record.StaleRecordError, match=why):
        record.check(taken, settings(**changes), 1000.0 + age, 30.0)


@given(st.binary(max_size=60))
def test_no_bytes_but_a_record_are_taken_for_one(data: bytes) -> None:
    with pytest.raises(record.StaleRecordError):
        record.decode(data)


def test_another_version_is_refused_and_each_cut_of_a_record_too() -> None:
    taken = record.take(busy(), 1000.0)
    with pytest.raises(record.StaleRecordError, match="version"):
        record.decode(record.encode(msgspec.structs.replace(taken, version=2)))
    data = record.encode(taken)
    for size in range(len(data)):
        with pytest.raises(record.StaleRecordError):
            record.decode(data[:size])


def test_the_keeper_writes_restores_and_says_what_it_dropped() -> None:
    async def scenario() -> None:
        now = [1000.0]
        disk, log = SimDisk(), io.StringIO()
        metrics = Metrics(lambda: now[0], log)
        store = Store.open("sim", disk=disk, new_id=lambda: b"S" * 16)
        timers = TimerWheel(lambda: now[0], metrics.log_exception)
        await SnapshotWriter(store, busy(), timers, metrics, 0.5, 30.0).write()
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
        keeper = SnapshotWriter(store, fresh, timers, metrics, 0.5, 30.0)
        await keeper._write_and_reschedule()  # a failed disk is told once, and nothing more is tried
        assert metrics.counters["quota_snapshot_write_failed"] == 1
        assert "quota_snapshot_write_failed" in log.getvalue()
        await store.close()

    asyncio.run(scenario())

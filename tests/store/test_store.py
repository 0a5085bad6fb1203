"""Tests of the store's asynchronous interface: concurrent commits, scans, cleaning, closing and reopening."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from explore import SMALL, changed
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from beaconhinge.standin.disk import SimDisk, draws, failing
from beaconhinge.store import (
    Delete,
    Options,
    Put,
    Store,
    StoreClosed,
    StoreError,
    StoreFailed,
    StoreLocked,
    codec,
)
from beaconhinge.store.codec import Change
from beaconhinge.store.compaction import RateLimiter, SegmentUsage, choose_segment, cleaning_speedup


def opened(disk: SimDisk, options: Options = SMALL, **more: Any) -> Store:
    return Store.open("sim", options, disk=disk, new_id=lambda: b"S" * 16, **more)


def run_async(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(run())


class PausableDisk(SimDisk):
    """A disk whose syncs block until the test resumes them, while `paused` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.resume = threading.Semaphore(0)
        self.paused = False
        self.on_sync: Callable[[], object] = lambda: None

    def step(self, what: str, name: str, size: int = 0) -> int | None:
        if what == "sync" and self.paused:
            self.on_sync()
            self.resume.acquire()
        return super().step(what, name, size)


def test_waiting_commits_share_a_sync_without_blocking_the_loop() -> None:
    """One sync for each commit, or a sync on the event loop, would stall the dispatcher."""

    async def scenario() -> None:
        disk = PausableDisk()
        store = opened(disk)
        sync_reached = asyncio.Event()
        loop = asyncio.get_running_loop()
        disk.on_sync = lambda: loop.call_soon_threadsafe(sync_reached.set)
        disk.paused = True
        first = asyncio.create_task(store.commit([Put(b"0", b"first")]))
        await sync_reached.wait()  # its sync is blocked, and the loop is not
        others = [asyncio.create_task(store.commit([Put(b"%d" % i, b"v")])) for i in range(1, 9)]
        await asyncio.sleep(0)
        assert store.get(b"0") is None
        assert not first.done()
        before = sum(what == "sync" for what, _, _ in disk.log)
        disk.paused = False
        disk.resume.release()
        await asyncio.gather(first, *others)
        syncs = sum(what == "sync" for what, _, _ in disk.log) - before
        assert syncs == 2
        assert store.metrics()["store_groups"] == 2
        assert store.metrics()["store_batches"] == 9
        await store.close()

    run_async(scenario)


def test_reads_return_durable_values_only() -> None:
    """A value whose sync failed must not be served, since it may be lost in a power cut."""

    async def scenario() -> None:
        disk = SimDisk()
        store = opened(disk)
        await store.commit([Put(b"a", b"1")])
        disk.faults = failing("sync", 5)
        with pytest.raises(StoreFailed):
            await store.commit([Put(b"a", b"2")])
        assert store.get(b"a") == b"1"
        assert store.failure is not None
        with pytest.raises(StoreFailed):
            await store.commit([Put(b"b", b"3")])
        await store.close()

    run_async(scenario)


def test_scan_is_ordered_and_sees_changes_ahead_of_it() -> None:
    """Commits during a scan shift the sorted keys; the scan must not skip or repeat any."""

    async def scenario() -> None:
        store = opened(SimDisk())
        await store.commit([Put(key, key) for key in (b"b2", b"a", b"b1", b"c", b"b3")])
        assert [key for key, _ in store.scan()] == [b"a", b"b1", b"b2", b"b3", b"c"]
        seen = []
        for key, value in store.scan(b"b"):
            assert key == value
            seen.append(key)
            if key == b"b1":
                await store.commit([Delete(b"b2"), Put(b"b4", b"b4"), Put(b"b0", b"b0")])
        assert seen == [b"b1", b"b3", b"b4"]
        assert len(store) == 6
        assert b"b0" in store
        assert b"b2" not in store
        await store.close()

    run_async(scenario)


def test_cleaning_runs_beside_commits_and_reads() -> None:
    async def scenario() -> None:
        disk = SimDisk()
        store = opened(
            disk,
            Options(
                **{
                    **{f: getattr(SMALL, f) for f in SMALL.__struct_fields__},
                    "segment_bytes": 2000,
                    "compact_bytes_per_s": 10**9,
                }
            ),
        )
        state: dict[bytes, bytes] = {}

        async def write(writer: int) -> None:
            for number in range(120):
                key, value = b"%d-%d" % (writer, number % 7), b"%d" % number * 5
                await store.commit([Put(key, value)])
                state[key] = value
                assert store.get(key) == value

        await asyncio.gather(*(write(writer) for writer in range(4)))
        assert dict(store.scan()) == state
        assert int(store.metrics()["store_segments_cleaned"]) >= 1
        await store.compact()
        assert store.engine.disk_bytes < 3 * sum(store.engine.index.live.values()) + 200
        await store.close()
        reopened = opened(disk.after_cut(draws("none")))
        assert dict(reopened.scan()) == state
        await reopened.close()

    run_async(scenario)


def test_damage_stops_cleaning_but_not_commits() -> None:
    """Cleaning reads old frames; an unreadable one must not make the store unusable."""

    async def scenario() -> None:
        disk = SimDisk()
        events: list[str] = []
        store = opened(disk, log=lambda event, **fields: events.append(event))
        for number in range(6):
            await store.commit([Put(b"k%d" % number, b"v" * 50)])
        await store.commit([Put(b"k0", b"new"), Put(b"k1", b"new")])
        disk.flip(codec.segment_name(1), codec.HEADER_BYTES + 3 * 73 + 40, 1)
        with pytest.raises(StoreError):
            await store.compact()
        await store.commit([Put(b"later", b"1")])
        assert store.get(b"later") == b"1"
        assert store.get(b"k0") == b"new"
        assert "store_corrupt" in events
        await store.close()

    run_async(scenario)


def test_second_open_and_use_after_close_fail(tmp_path: Path) -> None:
    """Two processes writing to one folder would destroy the store."""

    async def scenario() -> None:
        store = Store.open(tmp_path / "deep" / "folder")
        with pytest.raises(StoreLocked):
            Store.open(tmp_path / "deep" / "folder")
        pending = asyncio.create_task(store.commit([Put(b"a", b"1")]))
        await asyncio.sleep(0)
        await store.close()  # waits for the commit
        await pending
        for call in (store.commit([Put(b"b", b"")]), store.compact()):
            with pytest.raises(StoreClosed):
                await call
        with pytest.raises(StoreClosed):
            store.get(b"a")
        reopened = Store.open(tmp_path / "deep" / "folder")
        assert reopened.get(b"a") == b"1"
        await reopened.close()

    run_async(scenario)


def test_unusable_folder_raises_store_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError, match="file"):
        Store.open(tmp_path / "file" / "folder")


def test_cancelled_commits_do_not_block_others() -> None:
    """A cancelled caller's future must not stop the group's completion for the other callers."""

    async def scenario() -> None:
        store = opened(SimDisk())
        tasks = [asyncio.create_task(store.commit([Put(b"%d" % i, b"v")])) for i in range(5)]
        await asyncio.sleep(0)
        for task in tasks[::2]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await store.commit([Put(b"last", b"v")])
        assert {b"1", b"3", b"last"} <= {key for key, _ in store.scan()}
        await store.close()

    run_async(scenario)


def test_truncated_files_never_give_wrong_data(tmp_path: Path) -> None:
    """Shorten each file of a store on a real disk to each length.

    A store with a short manifest or old segment must not open; a short index file must not change the
    content; a short active segment must give the state after one of the commits.
    """
    source, work = tmp_path / "source", tmp_path / "work"
    states: list[dict[bytes, bytes]] = [{}]

    async def fill() -> None:
        store = Store.open(source, SMALL)
        for number in range(14):
            batch: list[Change] = [Put(b"k%d" % (number % 5), b"v%d" % number * 9)]
            if number % 4 == 3:
                batch.append(Delete(b"k%d" % ((number + 1) % 5)))
            await store.commit(batch)
            states.append(changed(states[-1], batch))
        await store.close()

    run_async(fill)
    names = sorted(p.name for p in source.iterdir() if p.name != "LOCK")
    active = max(name for name in names if name.endswith(".log"))
    assert len(names) >= 5
    work.mkdir()
    errors = torn_tails = 0
    for name in names:
        whole = (source / name).read_bytes()
        for size in range(len(whole)):
            for old in work.iterdir():
                old.unlink()
            for other in names:
                (work / other).write_bytes(whole[:size] if other == name else (source / other).read_bytes())
            try:
                store = Store.open(work, SMALL)
            except StoreError as error:
                assert name in str(error)
                errors += 1
                continue
            found = dict(store.scan())
            store.shut()
            if name == active:
                assert found in states
                torn_tails += found != states[-1]
            else:
                assert found == states[-1], (name, size)  # an index file, which recovery can do without
    assert errors > 400
    assert torn_tails > 20


class AgainstADict(RuleBasedStateMachine):
    """Whatever is done in whatever order, the store holds what a dict would."""

    keys = Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.disk = SimDisk()
        self.store = self.open()
        self.model: dict[bytes, bytes] = {}

    def open(self) -> Store:
        return opened(self.disk)

    def teardown(self) -> None:
        self.loop.run_until_complete(self.store.close())
        self.loop.close()

    @rule(target=keys, key=st.binary(max_size=3))
    def key(self, key: bytes) -> bytes:
        return key

    @rule(changes=st.lists(st.tuples(keys, st.none() | st.binary(max_size=60)), min_size=1, max_size=4))
    def commit(self, changes: list[tuple[bytes, bytes | None]]) -> None:
        batch: list[Change] = [Delete(key) if value is None else Put(key, value) for key, value in changes]
        self.loop.run_until_complete(self.store.commit(batch))
        self.model = changed(self.model, batch)

    @rule()
    def compact(self) -> None:
        self.loop.run_until_complete(self.store.compact())

    @rule(kind=st.sampled_from(["closed", "killed", "none", 1, 2, 3]))
    def restart(self, kind: str | int) -> None:
        self.loop.run_until_complete(self.store.close())
        if kind == "killed":
            self.disk = self.disk.killed()
        elif kind != "closed":
            self.disk = self.disk.after_cut(draws(kind))
        self.store = self.open()

    @invariant()
    def the_same(self) -> None:
        assert list(self.store.scan()) == sorted(self.model.items())
        assert len(self.store) == len(self.model)
        assert sum(self.store.engine.index.live.values()) == sum(
            codec.FRAME_BYTES + len(k) + len(v) for k, v in self.model.items()
        )


TestAgainstADict = AgainstADict.TestCase
TestAgainstADict.settings = settings(max_examples=60, stateful_step_count=25, deadline=None, derandomize=True)


# ---- choice of segments to clean, and the rate ------------------------------------------------------------


def test_segment_with_most_dead_bytes_is_cleaned_first() -> None:
    segments = [SegmentUsage(1, 100, 90, 0), SegmentUsage(2, 100, 30, 0), SegmentUsage(3, 100, 10, 0)]
    assert choose_segment(segments, 0.5) == 3
    assert choose_segment(segments[:2], 0.5) == 2
    assert choose_segment(segments[:1], 0.5) is None
    assert choose_segment([], 0.5) is None


def test_deletions_are_dead_in_the_oldest_segment_only() -> None:
    assert choose_segment([SegmentUsage(1, 100, 90, 0), SegmentUsage(2, 100, 0, 45)], 0.5) == 2
    assert choose_segment([SegmentUsage(1, 100, 90, 0), SegmentUsage(2, 100, 0, 80)], 0.5) is None
    assert choose_segment([SegmentUsage(1, 100, 0, 80)], 0.5) == 1
    # Deletions fill half of all bytes: the oldest segment is cleaned, though it is nearly all live, so that
    # the segments with the deletions become the oldest.
    assert (
        choose_segment(
            [SegmentUsage(1, 100, 95, 0), SegmentUsage(2, 100, 0, 100), SegmentUsage(3, 100, 0, 95)], 0.5
        )
        == 1
    )


def test_rate_limiter_spreads_reads_without_credit_for_pauses() -> None:
    """Credit for idle time would let cleaning read in a burst that delays commits."""
    limiter = RateLimiter(1000.0)
    assert limiter.wait(10.0, 100) == pytest.approx(0.1)
    assert limiter.wait(10.0, 100) == pytest.approx(0.2)
    assert limiter.wait(20.0, 100) == pytest.approx(0.1)
    assert limiter.wait(30.0, 100, cleaning_speedup(100, 100)) == pytest.approx(0.1 / 16)
    assert [cleaning_speedup(used, 100) for used in (0, 50, 75, 100, 130)] == [1.0, 1.0, 8.5, 16.0, 16.0]

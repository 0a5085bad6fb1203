"""The store on a faulty disk (full, failing or short writes, failing syncs), at its limits, and damaged files."""

from __future__ import annotations

import errno
import random

import pytest
from explore import SMALL, Run, clean_segments, content, history, open_engine
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.standin.disk import SimDisk, draws, failing, full
from beaconhinge.store import (
    Delete,
    Options,
    Put,
    StoreCorrupt,
    StoreError,
    StoreFailed,
    StoreFull,
    StoreTooLarge,
    StoreUnreadable,
    StoreVersion,
    codec,
    scan,
)
from beaconhinge.store.codec import HEADER_BYTES
from beaconhinge.store.disk import RealDisk
from beaconhinge.store.engine import Engine
from beaconhinge.store.repair import salvage, verify


def put(store: Engine, key: bytes, value: bytes) -> StoreFull | None:
    """Commit one key and return the error if there was no room."""
    written = store.write([[Put(key, value)]])
    store.apply(written.records)
    return written.failures.get(0)


@pytest.mark.parametrize("room", range(0, 60, 7))
def test_full_disk_fails_one_commit_and_undoes_its_bytes(room: int) -> None:
    """A partial write must be removed, or recovery could find a commit that was reported as failed."""
    disk = SimDisk()
    store = open_engine(disk)
    assert put(store, b"a", b"1" * 40) is None
    before = disk.content(store.active.name)
    disk.faults = full(room, disk)
    failed = put(store, b"b", b"2" * 40)
    assert isinstance(failed, StoreFull)
    assert "No space left" in str(failed)
    assert disk.content(store.active.name) == before
    assert content(store) == {b"a": b"1" * 40}
    # The undone bytes do not return after a power cut.
    assert content(open_engine(disk.after_cut(draws("all")))) == {b"a": b"1" * 40}
    disk.faults = lambda what, name, size: None
    assert put(store, b"b", b"2" * 40) is None
    assert content(open_engine(disk.after_cut(draws("none")))) == {b"a": b"1" * 40, b"b": b"2" * 40}


def test_batches_that_fit_alone_are_written_when_the_group_does_not() -> None:
    """A large batch must not make the small ones that share its write fail."""
    disk = SimDisk()
    store = open_engine(disk)
    disk.faults = full(60, disk)
    written = store.write([[Put(b"large", b"x" * 60)], [Put(b"small", b"y")]])
    store.apply(written.records)
    assert list(written.failures) == [0]
    assert content(store) == {b"small": b"y"}


@pytest.mark.parametrize("where", ["log", "MANIFEST.tmp"])
def test_no_room_for_a_new_segment_keeps_the_old_one_active(where: str) -> None:
    disk = SimDisk()
    store = open_engine(disk)
    while store.active.size < SMALL.segment_bytes:
        put(store, b"k", b"v" * 50)
    disk.faults = failing("write", errno.ENOSPC, name=where)
    assert isinstance(put(store, b"n", b"1"), StoreFull)
    assert not store.sealed
    assert store.failure is None
    assert put(store, b"n", b"2") is None
    assert len(store.sealed) == 1
    assert content(open_engine(disk.after_cut(draws("none")))) == {b"k": b"v" * 50, b"n": b"2"}


def test_failed_sync_makes_store_read_only_without_a_retry() -> None:
    """After a failed sync the system may drop the pages and report success for the next sync."""
    disk = SimDisk()
    store = open_engine(disk)
    put(store, b"a", b"1")
    disk.faults = failing("sync", errno.EIO)
    with pytest.raises(StoreFailed, match="sync"):
        put(store, b"b", b"2")
    syncs = sum(what == "sync" for what, _, _ in disk.log)
    for _ in range(3):
        with pytest.raises(StoreFailed):
            store.check([Put(b"c", b"3")])
        with pytest.raises(StoreFailed):
            put(store, b"c", b"3")
    assert sum(what == "sync" for what, _, _ in disk.log) == syncs
    assert content(store) == {b"a": b"1"}  # reads continue
    assert store.counters["store_failed"] == 1


@pytest.mark.parametrize("what", ["truncate", "sync"])
def test_write_that_cannot_be_undone_makes_store_read_only(what: str) -> None:
    disk = SimDisk()
    store = open_engine(disk)
    room, operation_fails = full(10, disk), failing(what, errno.EIO)
    disk.faults = lambda op, name, size: room(op, name, size) or operation_fails(op, name, size)
    with pytest.raises(StoreFailed):
        put(store, b"b", b"2" * 30)


def test_write_error_other_than_no_space_makes_store_read_only() -> None:
    disk = SimDisk()
    store = open_engine(disk)
    disk.faults = failing("write", errno.EIO)
    with pytest.raises(StoreFailed, match="write"):
        put(store, b"b", b"2")


def test_failed_folder_sync_makes_store_read_only() -> None:
    disk = SimDisk()
    store = open_engine(disk)
    while store.active.size < SMALL.segment_bytes:
        put(store, b"k", b"v" * 50)
    disk.faults = failing("sync", errno.EIO, name=".")
    with pytest.raises(StoreFailed, match="folder"):
        put(store, b"n", b"1")


def test_short_writes_are_continued() -> None:
    disk = SimDisk()
    disk.faults = lambda what, name, size: 5 if what == "write" and size > 5 else None
    store = open_engine(disk)
    for number in range(20):
        assert put(store, b"k%d" % number, b"v" * 30) is None
    assert len(content(open_engine(disk.after_cut(draws("none"))))) == 20


def test_full_disk_while_cleaning_loses_nothing_and_cleaning_resumes() -> None:
    """Cleaning needs room for the records it moves and for a new manifest."""
    run = Run(SimDisk())
    run.play(history(3, 12))
    disk = run.disk.fresh()
    store = open_engine(disk)
    for number in range(8):
        put(store, b"k%d" % number, b"x" * 50)
        put(store, b"k0", b"y" * 50)
    state = content(store)
    dead = store.cleaning_candidate(0.99)
    assert dead is not None
    assert not store.index.live.get(dead.number)
    records = next(
        found for s in store.sealed.values() if (found := store.live_records(s, HEADER_BYTES, 10_000)[0])
    )
    disk.faults = full(0, disk)
    assert not store.write([], records).all_moved
    assert content(store) == state
    assert content(open_engine(disk.after_cut(draws("none")))) == state
    assert not store.drop(dead)  # no room for the new manifest: the old one stays in place
    disk.faults = lambda what, name, size: None
    assert clean_segments(store, 0.1) >= 1
    assert content(store) == state == content(open_engine(disk.after_cut(draws("none"))))


def test_limit_errors_name_the_limit_and_are_counted() -> None:
    """Deletions must be accepted over max_disk_bytes, or a full store could never shrink."""
    store = open_engine(
        SimDisk(),
        Options(
            max_key_bytes=4,
            max_value_bytes=8,
            max_batch_bytes=80,
            segment_bytes=200,
            max_disk_bytes=300,
            max_index_bytes=10_000,
        ),
    )
    for change, name in ((Put(b"12345", b""), "max_key_bytes"), (Put(b"1", b"123456789"), "max_value_bytes")):
        with pytest.raises(StoreTooLarge, match=name):
            store.check([change])
        assert store.counters["store_limit_" + name] == 1
    with pytest.raises(StoreTooLarge, match="max_batch_bytes"):
        store.check([Put(b"1", b"12345678")] * 3)
    failed = None
    for number in range(20):
        failed = failed or put(store, b"%d" % number, b"v" * 8)
    assert "max_disk_bytes" in str(failed)
    assert store.disk_bytes <= 300
    written = store.write([[Delete(b"0")]])  # a deletion is accepted over the limit
    assert not written.failures


def test_index_memory_is_limited() -> None:
    store = open_engine(SimDisk(), Options(max_index_bytes=1000))
    failed = [put(store, b"%d" % number, b"") for number in range(10)]
    assert "max_index_bytes" in str(failed[-1])
    assert store.index.memory_bytes <= 1000
    assert put(store, b"0", b"again") is None  # not a new key, so it takes no more memory


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"segment_bytes": 5}, "segment_bytes"),
        ({"max_batch_bytes": 10}, "max_batch_bytes"),
        ({"compact_dead_share": 1.5}, "compact_dead_share"),
        ({"max_key_bytes": 70_000}, "max_key_bytes"),
        ({"group_bytes": 0}, "group_bytes"),
        ({"segment_bytes": 1 << 30}, "segment_bytes"),
    ],
)
def test_invalid_options_are_reported_by_key(change: dict[str, int], key: str) -> None:
    problem = Options(**change).problem()
    assert problem is not None
    assert problem[0] == key


# ---- damaged files -----------------------------------------------------------------------------------------


@given(st.binary(max_size=200), st.integers(0, 2**32 - 1), st.integers(-5, 210))
def test_arbitrary_bytes_are_no_frame_and_raise_nothing(data: bytes, salt: int, offset: int) -> None:
    assert codec.decode_frame(data, offset, salt) is None
    assert scan.find_frame(data, salt, 0) is None


@given(st.binary(max_size=300), st.booleans())
def test_arbitrary_bytes_raise_store_errors_alone(data: bytes, with_magic: bool) -> None:
    for magic, read in (
        (codec.SEGMENT_MAGIC, lambda d: codec.read_segment_header("x", d, b"S" * 16, 1)),
        (codec.MANIFEST_MAGIC, codec.decode_manifest),
        (b"", lambda d: scan.read("x", d, 7, False, 0)),
    ):
        try:
            read((magic if with_magic else b"") + data)
        except StoreError:
            pass
    assert codec.decode_index(data, b"S" * 16, 1, 7, 100) is None


@given(
    st.lists(
        st.tuples(st.booleans(), st.binary(max_size=20), st.binary(max_size=90)), min_size=1, max_size=5
    ),
    st.integers(0, 2**32 - 1),
    st.integers(1, 2**48 - 1),
)
def test_frames_come_back_as_written_in_their_own_segment_alone(
    parts: list[tuple[bool, bytes, bytes]], salt: int, batch: int
) -> None:
    changes = [Put(key, value) if is_put else Delete(key) for is_put, key, value in parts]
    data = b"".join(codec.encode_batch(salt, batch, 0, changes))
    offset, seen = 0, []
    while offset < len(data):
        frame = codec.decode_frame(data, offset, salt)
        assert frame is not None
        assert frame.batch == batch
        assert (frame.first, frame.last) == (offset == 0, offset + frame.size == len(data))
        seen.append(Put(frame.key, frame.value) if frame.kind == codec.PUT else Delete(frame.key))
        offset += frame.size
    assert seen == changes
    assert codec.decode_frame(data, 0, salt ^ 1) is None
    found = scan.find_frame(b"#" * 9 + data, salt, 0)
    assert found is not None
    assert found.offset == 9


@pytest.mark.parametrize("name", ["segment", "manifest"])
def test_newer_format_version_is_rejected(name: str) -> None:
    disk = SimDisk()
    put(open_engine(disk), b"a", b"1")
    file = codec.MANIFEST if name == "manifest" else codec.segment_name(1)
    data = bytearray(disk.content(file))
    data[4:6] = (codec.VERSION + 1).to_bytes(2, "little")
    if name == "manifest":
        data[-4:] = codec.checksum(bytes(data[:-4])).to_bytes(4, "little")
    else:
        data[32:36] = codec.checksum(bytes(data[:32])).to_bytes(4, "little")
    damaged = disk.fresh()
    damaged.put(file, bytes(data))
    with pytest.raises(StoreVersion, match=f"{file}: format version {codec.VERSION + 1}"):
        open_engine(damaged)
    assert damaged.steps == 0


def disk_with_sealed_segments(seed: int = 5) -> SimDisk:
    """Return the disk of a store with 40 keys in several sealed segments."""
    disk = SimDisk()
    store = open_engine(disk)
    rng = random.Random(seed)
    for number in range(40):
        put(store, b"k%d" % number, bytes(rng.randrange(256) for _ in range(30)))
        index = store.unindexed()
        if index is not None:
            store.write_index(index)
    assert len(store.sealed) > 3
    return disk.fresh()


@pytest.mark.parametrize("what", ["missing", "shorter", "longer", "another store"])
def test_changed_sealed_segment_is_reported_by_name(what: str) -> None:
    disk = disk_with_sealed_segments()
    name = codec.segment_name(2)
    data = disk.content(name)
    if what == "missing":
        disk.drop(name)
    elif what == "another store":
        disk.put(name, codec.segment_header(b"T" * 16, 2) + data[HEADER_BYTES:])
    else:
        disk.put(name, data[:-1] if what == "shorter" else data + b"x")
    with pytest.raises(StoreCorrupt, match=name):
        open_engine(disk)
    assert disk.steps == 0


def test_missing_manifest_is_an_error_when_segments_exist() -> None:
    """Taken for an empty store, the folder's data would be overwritten."""
    disk = disk_with_sealed_segments()
    disk.drop(codec.MANIFEST)
    with pytest.raises(StoreCorrupt, match="MANIFEST"):
        open_engine(disk)
    assert disk.steps == 0


def test_damaged_index_file_does_not_change_the_content() -> None:
    """An index file repeats what its segment holds; recovery must read the segment instead."""
    disk = disk_with_sealed_segments()
    expected = content(open_engine(disk.fresh()))
    for name in [n for n in disk.names() if n.endswith(".idx")]:
        for offset in range(0, len(disk.content(name)), 3):
            damaged = disk.fresh()
            damaged.flip(name, offset, offset % 8)
            store = open_engine(damaged)
            assert store.counters["store_index_unusable"] == 1
            assert content(store) == expected


def test_index_file_is_written_once_with_all_its_entries() -> None:
    """A second write would store an index file without entries and hide every key of the segment."""
    disk = disk_with_sealed_segments()
    name = codec.segment_name(2)
    disk.drop(codec.index_name(2))
    store = open_engine(disk)  # writes the file again
    expected = content(store)
    segment = store.sealed[2]
    assert segment.name == name
    assert segment.index_entry_count == 0
    store.write_index(segment)  # the second call, as by a commit and compact() at the same time
    assert content(open_engine(disk.fresh())) == expected


def test_disk_read_error_fails_only_that_read() -> None:
    disk = disk_with_sealed_segments()
    store = open_engine(disk)
    name = codec.segment_name(1)
    disk.unreadable.add(name)
    first = store.sealed[1]
    for read in (lambda: content(store), lambda: store.live_records(first, HEADER_BYTES, 1000)):
        with pytest.raises(StoreUnreadable, match=name):
            read()
    assert put(store, b"later", b"1") is None
    assert store.failure is None
    assert store.counters["store_unreadable"] == 2
    disk.unreadable.clear()
    assert len(content(store)) == 41


def test_segment_with_live_values_is_never_dropped() -> None:
    """A defect in cleaning must make the store fail rather than lose values."""
    store = open_engine(disk_with_sealed_segments())
    expected = content(store)
    with pytest.raises(StoreFailed, match="wanted"):
        store.drop(next(iter(store.sealed.values())))
    assert content(open_engine(store.disk.fresh())) == expected  # type: ignore[attr-defined]


def test_read_finds_damage_that_the_index_file_hides() -> None:
    """Recovery does not read a segment that has an index file, so reads must check the frames."""
    disk = disk_with_sealed_segments()
    disk.flip(codec.segment_name(1), HEADER_BYTES + 40, 3)
    store = open_engine(disk)
    with pytest.raises(StoreCorrupt, match=codec.segment_name(1)):
        content(store)
    assert [d.file for d in verify(disk).damage] == [codec.segment_name(1)]


def test_salvage_keeps_readable_batches_and_lists_lost_ones() -> None:
    disk = disk_with_sealed_segments()
    expected = content(open_engine(disk.fresh()))
    disk.flip(codec.segment_name(2), HEADER_BYTES + 60, 1)
    target = SimDisk()
    result = salvage(disk, target, SMALL, lambda event, **fields: None, lambda: b"N" * 16)
    assert [damage.file for damage in result.lost] == [codec.segment_name(2)]
    assert result.batches == len(expected) - 1
    found = content(open_engine(target.fresh()))
    assert len(found) == len(expected) - 1
    assert found.items() <= expected.items()


@pytest.mark.parametrize("what", ["manifest", "header", "missing"])
def test_salvage_without_a_manifest_or_a_header(what: str) -> None:
    disk = disk_with_sealed_segments()
    expected = content(open_engine(disk.fresh()))
    if what == "manifest":
        disk.drop(codec.MANIFEST)
    elif what == "header":
        disk.flip(codec.segment_name(2), 9, 1)
    else:
        disk.drop(codec.segment_name(2))
    target = SimDisk()
    result = salvage(disk, target, SMALL, lambda event, **fields: None, lambda: b"N" * 16)
    found = content(open_engine(target.fresh()))
    assert result.lost
    assert found.items() <= expected.items()
    assert len(found) == len(expected) or what == "missing" and len(found) > len(expected) / 2


def test_salvage_omits_a_batch_that_lost_a_frame() -> None:
    """A batch is atomic: salvage must not bring back one of its two keys."""
    disk = SimDisk()
    store = open_engine(disk)
    for number in range(3):
        store.apply(store.write([[Put(b"a%d" % number, b"1" * 9), Put(b"b%d" % number, b"2" * 9)]]).records)
    frame = codec.FRAME_BYTES + 11
    for offset, gone in ((HEADER_BYTES + 5, 0), (HEADER_BYTES + 3 * frame + 30, 1)):
        damaged = disk.fresh()
        damaged.flip(store.active.name, offset, 2)
        target = SimDisk()
        result = salvage(damaged, target, SMALL, lambda event, **fields: None, lambda: b"N" * 16)
        kept = [n for n in range(3) if n != gone]
        assert sorted(content(open_engine(target.fresh()))) == sorted(
            [b"%c%d" % (c, n) for c in b"ab" for n in kept]
        )
        assert result.batches == 2
        assert result.lost


def test_folder_can_be_locked_once_at_a_time(tmp_path: object) -> None:
    first, second = RealDisk(str(tmp_path)), RealDisk(str(tmp_path))
    first.lock()
    with pytest.raises(BlockingIOError):
        second.lock()
    first.unlock()
    second.lock()
    second.unlock()

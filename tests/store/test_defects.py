"""The checks must find defects: each deliberate defect in the store fails the check that the store passes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from explore import (
    Broken,
    Run,
    check_cut,
    check_every_cut,
    clean_segments,
    content,
    history,
    open_engine,
    recover,
)

from beaconhinge.standin.disk import SimDisk, draws
from beaconhinge.store import Delete, Put, StoreError, codec, scan
from beaconhinge.store import engine as engine_module
from beaconhinge.store.codec import Change
from beaconhinge.store.disk import Disk, write_all
from beaconhinge.store.engine import Engine, Segment

Patch = Callable[[pytest.MonkeyPatch], None]


def no_sync_before_acknowledgement(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Engine, "_sync", lambda self, file: None)


def folder_not_synced(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SimDisk, "sync_names", lambda self: None)


def checksum_not_checked(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(codec, "_extend", lambda start, data: 0)


def manifest_overwritten_in_place(patch: pytest.MonkeyPatch) -> None:
    def replace(disk: Disk, name: str, data: bytes) -> None:
        file = disk.open(name, write=True) if name in disk.names() else disk.create(name)
        file.truncate(0)
        write_all(file, data, 0)
        file.sync()

    patch.setattr(engine_module, "replace", replace)


def segment_dropped_with_live_values(patch: pytest.MonkeyPatch) -> None:
    def live_records(self: Engine, segment: Segment, offset: int, limit: int) -> Any:
        return [], segment.size

    patch.setattr(Engine, "live_records", live_records)
    patch.setattr(Engine, "_has_live_values", lambda self, segment: False)


def deletions_lost_in_cleaning(patch: pytest.MonkeyPatch) -> None:
    original = Engine.live_records

    def live_records(self: Engine, segment: Segment, offset: int, limit: int) -> Any:
        found, at = original(self, segment, offset, limit)
        return [r for r in found if r[1] != codec.DELETE], at

    patch.setattr(Engine, "live_records", live_records)


def partial_batches_accepted(patch: pytest.MonkeyPatch) -> None:
    def read(file: str, data: bytes, salt: int, newest: bool, after_batch: int) -> scan.Scan:
        found = list(scan.frames(data, salt))
        end = found[-1].offset + found[-1].size if found else codec.HEADER_BYTES
        return scan.Scan(found, end, len(data) - end, found[-1].batch if found else after_batch)

    patch.setattr(scan, "read", read)


def recovered_state_not_synced(patch: pytest.MonkeyPatch) -> None:
    def settle(self: Engine, names: set[str], found: scan.Scan, unindexed: Any) -> None:
        if found.torn:
            self.active.file.truncate(found.end)
            self.active.size = found.end

    patch.setattr(Engine, "_make_durable", settle)


DEFECTS = [
    no_sync_before_acknowledgement,
    folder_not_synced,
    checksum_not_checked,
    manifest_overwritten_in_place,
    segment_dropped_with_live_values,
    partial_batches_accepted,
    recovered_state_not_synced,
]


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.__name__)
def test_cut_check_finds_defect(defect: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    defect(monkeypatch)
    with pytest.raises(Broken):
        for seed in range(1, 5):
            check_every_cut(seed, 10, recovery_cuts_every=10**9, seeds=1)


def check_deletion_cleaned_before_its_value() -> None:
    """Clean the segment with a deletion before the older segment, all live, that holds the deleted value.

    The value must not come back after a power cut.
    """
    groups: list[list[list[Change]]] = [[[Put(b"a%d" % n, b"x" * 60)]] for n in range(4)]
    groups += [[[Delete(b"a0")]], *([[Put(b"z", b"%d" % n * 40)]] for n in range(12))]
    run = Run(SimDisk())
    run.play(groups)
    assert any(what == "remove" and name.endswith("2.log") for what, name, _ in run.disk.log)
    recover(run.disk.after_cut(draws("none")), run.states, "after cleaning")


def test_deletion_survives_cleaning_of_its_segment() -> None:
    """Cleaning that drops a deletion would bring back the value in an older segment."""
    check_deletion_cleaned_before_its_value()


def test_check_finds_deletions_lost_in_cleaning(monkeypatch: pytest.MonkeyPatch) -> None:
    deletions_lost_in_cleaning(monkeypatch)
    with pytest.raises(Broken, match="a0"):
        check_deletion_cleaned_before_its_value()


def store_without_index_files() -> tuple[SimDisk, dict[bytes, bytes]]:
    """Return a disk with several segments and no index files, so that recovery reads each frame, and its state."""
    run = Run(SimDisk())
    run.play(history(1, 10))
    disk = run.disk.fresh()
    store = open_engine(disk)
    for number in range(12):
        run.states = [content(store)]
        run.commit(store, [[Put(b"n%d" % (number % 8), b"%d" % number * 20)]])
    assert len(store.sealed) >= 2
    for name in disk.names():
        if name.endswith(".idx"):
            disk.drop(name)
    return disk.fresh(), run.states[0]


def check_flipped_bits(disk: SimDisk, states: list[dict[bytes, bytes]]) -> int:
    """Flip a bit at each byte of each sealed segment and return their number.

    Opening must fail with an error that names the segment, and change nothing on disk. Raises Broken
    otherwise.
    """
    active = max(name for name in disk.names() if name.endswith(".log"))
    count = 0
    for name in disk.names():
        if not name.endswith(".log") or name == active:
            continue
        for offset in range(len(disk.content(name))):
            damaged = disk.fresh()
            damaged.flip(name, offset, offset % 8)
            before = {n: damaged.content(n) for n in damaged.names()}
            try:
                found = content(open_engine(damaged))
            except StoreError as error:
                assert name in str(error)
                assert damaged.steps == 0
                assert before == {n: damaged.content(n) for n in damaged.names()}
            else:
                raise Broken(f"{name} damaged at {offset}: {found} of {states}")
            count += 1
    return count


def test_flipped_bit_in_sealed_segment_is_reported_without_changes() -> None:
    """Damage in a sealed segment must not be taken for a torn tail and cut off."""
    disk, state = store_without_index_files()
    assert check_flipped_bits(disk, [state]) > 600


def test_check_finds_damage_accepted_as_torn_tail(monkeypatch: pytest.MonkeyPatch) -> None:
    original = scan.read
    disk, state = store_without_index_files()
    monkeypatch.setattr(
        scan, "read", lambda file, data, salt, newest, after: original(file, data, salt, True, after)
    )
    monkeypatch.setattr(scan, "_find_durability_proof", lambda *args: None)
    with pytest.raises(Broken):
        check_flipped_bits(disk, [state])


def test_flipped_bit_in_newest_segment_loses_last_group_at_most() -> None:
    """Damage before the last group hits acknowledged commits and must not be taken for a torn tail."""
    disk, _ = store_without_index_files()
    store = open_engine(disk)
    states = [content(store)]
    for number in range(3):
        run = Run(disk)
        run.states = [states[-1]]
        run.commit(store, [[Put(b"z%d" % number, b"y" * 20)]])
        states.append(run.states[0])
    name = store.active.name
    error_count = torn_count = 0
    for offset in range(store.active.size):
        damaged = disk.fresh()
        damaged.flip(name, offset, offset % 8)
        try:
            found = content(open_engine(damaged))
        except StoreError:
            error_count += 1
        else:
            # Only the last group may be taken for one that was not acknowledged.
            assert found in states[-2:], offset
            torn_count += 1
    assert error_count > 30
    assert torn_count > 20


def test_cut_while_cleaning_keeps_all_values() -> None:
    """Repeat the check of every cut over a history that mostly cleans segments."""
    disk, state = store_without_index_files()
    scratch = disk.fresh()
    store = open_engine(scratch)
    before = scratch.steps
    assert clean_segments(store, 0.01) >= 1
    for number in range(before, scratch.steps):
        run = disk.fresh()
        run.cut_at = number
        try:
            clean_segments(open_engine(run), 0.01)
        except BaseException as cut:
            assert type(cut).__name__ == "Cut"
        for kind in ("none", "all", number):
            check_cut(run.after_cut(draws(kind)), [state], f"cleaning cut at {number}, {kind} kept", False)

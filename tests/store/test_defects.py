"""The checks bite: each deliberate defect in the store is found by the same check that the store passes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from explore import Broken, Run, check, clean, content, engine, every_cut, history, recover

from beaconhinge.standin.disk import SimDisk, draws
from beaconhinge.store import Delete, Put, StoreError, codec, scan
from beaconhinge.store import engine as engine_module
from beaconhinge.store.codec import Change
from beaconhinge.store.disk import Disk, write_all
from beaconhinge.store.engine import Engine, Segment

Patch = Callable[[pytest.MonkeyPatch], None]


def no_sync_before_the_acknowledgement(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Engine, "_sync", lambda self, file: None)


def no_sync_of_the_folder(patch: pytest.MonkeyPatch) -> None:
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


def segment_dropped_before_its_values_are_moved(patch: pytest.MonkeyPatch) -> None:
    def live_records(self: Engine, segment: Segment, offset: int, limit: int) -> Any:
        return [], segment.size

    patch.setattr(Engine, "live_records", live_records)
    patch.setattr(Engine, "_has_live_values", lambda self, segment: False)


def deletions_not_kept_when_cleaning(patch: pytest.MonkeyPatch) -> None:
    right = Engine.live_records

    def live_records(self: Engine, segment: Segment, offset: int, limit: int) -> Any:
        found, at = right(self, segment, offset, limit)
        return [r for r in found if r[1] != codec.DELETE], at

    patch.setattr(Engine, "live_records", live_records)


def half_batches_taken(patch: pytest.MonkeyPatch) -> None:
    def read(file: str, data: bytes, salt: int, newest: bool, after_batch: int) -> scan.Scan:
        found = list(scan.frames(data, salt))
        end = found[-1].offset + found[-1].size if found else codec.HEADER_BYTES
        return scan.Scan(found, end, len(data) - end, found[-1].batch if found else after_batch)

    patch.setattr(scan, "read", read)


def nothing_synced_at_recovery(patch: pytest.MonkeyPatch) -> None:
    def settle(self: Engine, names: set[str], found: scan.Scan, unindexed: Any) -> None:
        if found.torn:
            self.active.file.truncate(found.end)
            self.active.size = found.end

    patch.setattr(Engine, "_make_durable", settle)


DEFECTS = [
    no_sync_before_the_acknowledgement,
    no_sync_of_the_folder,
    checksum_not_checked,
    manifest_overwritten_in_place,
    segment_dropped_before_its_values_are_moved,
    half_batches_taken,
    nothing_synced_at_recovery,
]


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.__name__)
def test_every_cut_finds(defect: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    defect(monkeypatch)
    with pytest.raises(Broken):
        for seed in range(1, 5):
            every_cut(seed, 10, again_every=10**9, seeds=1)


def a_deletion_is_cleaned_behind_its_value() -> None:
    """An old segment that is all wanted holds the value; its deletion lies in a later one that is cleaned
    first.
    """
    groups: list[list[list[Change]]] = [[[Put(b"a%d" % n, b"x" * 60)]] for n in range(4)]
    groups += [[[Delete(b"a0")]], *([[Put(b"z", b"%d" % n * 40)]] for n in range(12))]
    run = Run(SimDisk())
    run.play(groups)
    assert any(what == "remove" and name.endswith("2.log") for what, name, _ in run.disk.log)
    recover(run.disk.after_cut(draws("none")), run.states, "after cleaning")


def test_a_deletion_outlives_the_cleaning_of_its_segment() -> None:
    a_deletion_is_cleaned_behind_its_value()


def test_that_check_finds_deletions_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    deletions_not_kept_when_cleaning(monkeypatch)
    with pytest.raises(Broken, match="a0"):
        a_deletion_is_cleaned_behind_its_value()


def sealed_store() -> tuple[SimDisk, dict[bytes, bytes]]:
    """A store of several segments without index files, so that recovery reads each frame."""
    run = Run(SimDisk())
    run.play(history(1, 10))
    disk = run.disk.fresh()
    store = engine(disk)
    for number in range(12):
        run.states = [content(store)]
        run.commit(store, [[Put(b"n%d" % (number % 8), b"%d" % number * 20)]])
    assert len(store.sealed) >= 2
    for name in disk.names():
        if name.endswith(".idx"):
            disk.drop(name)
    return disk.fresh(), run.states[0]


def flips(disk: SimDisk, states: list[dict[bytes, bytes]]) -> int:
    """Flip a bit at each byte of each sealed segment: an error each time, and nothing changed on disk."""
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
                found = content(engine(damaged))
            except StoreError as error:
                assert name in str(error)
                assert damaged.steps == 0
                assert before == {n: damaged.content(n) for n in damaged.names()}
            else:
                raise Broken(f"{name} damaged at {offset}: {found} of {states}")
            count += 1
    return count


def test_a_flipped_bit_in_a_sealed_segment_is_named_and_nothing_is_changed() -> None:
    disk, state = sealed_store()
    assert flips(disk, [state]) > 600


def test_damage_taken_for_a_torn_tail_in_an_old_segment_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    right = scan.read
    disk, state = sealed_store()
    monkeypatch.setattr(
        scan, "read", lambda file, data, salt, newest, after: right(file, data, salt, True, after)
    )
    monkeypatch.setattr(scan, "_find_durability_proof", lambda *args: None)
    with pytest.raises(Broken):
        flips(disk, [state])


def test_a_flipped_bit_in_the_newest_segment_is_an_error_or_a_torn_tail_of_the_last_group() -> None:
    disk, _ = sealed_store()
    store = engine(disk)
    states = [content(store)]
    for number in range(3):
        run = Run(disk)
        run.states = [states[-1]]
        run.commit(store, [[Put(b"z%d" % number, b"y" * 20)]])
        states.append(run.states[0])
    name = store.active.name
    errors = torn = 0
    for offset in range(store.active.size):
        damaged = disk.fresh()
        damaged.flip(name, offset, offset % 8)
        try:
            found = content(engine(damaged))
        except StoreError:
            errors += 1
        else:
            assert found in states[-2:], (
                offset
            )  # only the last group may be taken for one that was never told
            torn += 1
    assert errors > 30
    assert torn > 20


def test_a_cut_in_the_middle_of_cleaning_leaves_the_old_or_the_new() -> None:
    """The every-cut check again, over a history that does little else than clean."""
    disk, state = sealed_store()
    whole = disk.fresh()
    store = engine(whole)
    before = whole.steps
    assert clean(store, 0.01) >= 1
    for number in range(before, whole.steps):
        run = disk.fresh()
        run.cut_at = number
        try:
            clean(engine(run), 0.01)
        except BaseException as cut:
            assert type(cut).__name__ == "Cut"
        for kind in ("none", "all", number):
            check(run.after_cut(draws(kind)), [state], f"cleaning cut at {number}, {kind} kept", False)

"""Simulates a power cut at every possible point of a scripted history of commits, and checks that recovery
finds what was acknowledged.

The history runs on the store's engine over a simulated disk, without threads, so that the position of the cut
and a seed reproduce a run. The scenarios and the deliberate defects share this check.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Iterator
from typing import Any

from beaconhinge.standin.disk import Cut, SimDisk, cuts, draws
from beaconhinge.store import Delete, Options, Put
from beaconhinge.store.codec import HEADER_BYTES, Change
from beaconhinge.store.engine import Engine

SMALL = Options(
    max_key_bytes=8,
    max_value_bytes=64,
    max_batch_bytes=512,
    segment_bytes=300,
    group_bytes=400,
    compact_step_bytes=80,
)
Content = dict[bytes, bytes]


class Broken(AssertionError):
    """The store lost or changed data; the message says after which cut."""


def open_engine(disk: SimDisk, options: Options = SMALL, log: Callable[..., None] | None = None) -> Engine:
    return Engine(disk, options, log or (lambda event, **fields: None), lambda: b"S" * 16)


def content(store: Engine) -> Content:
    """Return all keys and values, read from the disk."""
    return {key: store.read(where, key) for key, where in store.index.locations.items()}


def changed(state: Content, batch: list[Change]) -> Content:
    """Return a state with a batch applied."""
    state = dict(state)
    for change in batch:
        if isinstance(change, Put):
            state[change.key] = change.value
        else:
            state.pop(change.key, None)
    return state


def history(seed: int, groups: int) -> list[list[list[Change]]]:
    """Return groups of batches over a few keys; most changes overwrite or delete, which leaves much to clean."""
    rng = random.Random(seed)
    groups_made: list[list[list[Change]]] = []
    for number in range(groups):
        group: list[list[Change]] = []
        for _ in range(rng.choice((1, 1, 1, 2, 3))):
            batch: list[Change] = []
            for _ in range(rng.choice((1, 1, 2, 3))):
                key = b"k%d" % rng.randrange(6)
                value = b"%d." % number * rng.randrange(1, 8)
                batch.append(Delete(key) if rng.random() < 0.3 else Put(key, value))
            group.append(batch)
        groups_made.append(group)
    return groups_made


class Run:
    """Plays a history and keeps what was acknowledged.

    Attributes:
        states: each state that may be found after a cut: the one after the last acknowledged batch, and those
            after each batch of the group being written.
    """

    def __init__(self, disk: SimDisk) -> None:
        self.disk = disk
        self.states: list[Content] = [{}]

    def play(self, groups: list[list[list[Change]]]) -> None:
        store = open_engine(self.disk)
        for number, group in enumerate(groups):
            self.commit(store, group)
            segment = store.unindexed()
            if segment is not None:
                store.write_index(segment)
            if number % 2:
                clean_segments(store)

    def commit(self, store: Engine, group: list[list[Change]]) -> None:
        for batch in group:
            self.states.append(changed(self.states[-1], batch))
        written = store.write(group)
        assert not written.failures
        store.apply(written.records)
        self.states = self.states[-1:]


def clean_segments(store: Engine, at_least: float = 0.4) -> int:
    """Clean segments while it is worth it, as `Store` does between commits; return how many were dropped."""
    dropped = 0
    while (segment := store.cleaning_candidate(at_least)) is not None:
        offset = HEADER_BYTES
        while offset < segment.size:
            records, offset = store.live_records(segment, offset, store.options.compact_step_bytes)
            written = store.write([], records)
            assert written.all_moved
            store.apply(written.records)
        assert store.drop(segment)
        store.forget_segment(segment)
        dropped += 1
    return dropped


def recover(disk: SimDisk, states: list[Content], context: str) -> Engine:
    """Open a disk after a cut. Raises Broken when its content is none of `states`."""
    try:
        store = open_engine(disk)
        found = content(store)
    except Cut:
        raise
    except Exception as error:
        raise Broken(f"{context}: {type(error).__name__}: {error}") from error
    if found not in states:
        raise Broken(f"{context}: found {found}, not one of {states}")
    return store


def check_cut(disk: SimDisk, states: list[Content], context: str, cut_recovery: bool) -> None:
    """Recover and commit once more; with `cut_recovery`, also cut during that recovery at every point."""
    probe = disk.killed()
    store = recover(probe, states, context)
    served = [content(store)]
    for survival in ("none", "all"):  # a recovered state must survive the next cut
        recover(probe.after_cut(draws(survival)), served, f"{context}, served, {survival} kept")
    if cut_recovery:
        for number, byte in cuts(probe.log):
            second = disk.killed()
            second.cut_at, second.cut_byte = number, byte
            try:
                open_engine(second)
            except Cut:
                pass
            for survival in ("none", "all", number):
                recover(
                    second.after_cut(draws(survival)),
                    states,
                    f"{context}, and again at {number}.{byte}, {survival} kept",
                )
    continued = Run(probe)
    continued.states = served
    continued.commit(store, [[Put(b"after", b"cut")]])
    recover(probe.after_cut(draws("none")), continued.states, f"{context}, then one more commit")


def disks_after_cuts(
    groups: list[list[list[Change]]], seeds: int = 2
) -> Iterator[tuple[SimDisk, list[Content], str]]:
    """Yield the disk after each possible cut of a history, the states that may be found, and a description."""
    full_run = Run(SimDisk())
    full_run.play(groups)
    for number, (operation, name, size) in enumerate(full_run.disk.log):
        run = Run(SimDisk(number, size))
        try:
            run.play(groups)
        except Cut:
            pass
        for byte in range(size + 1) if operation == "write" else (0,):
            disk = run.disk.torn(name, byte) if operation == "write" else run.disk
            survivals: list[Any] = ["killed", "none", "all", *range(number, number + seeds)]
            for survival in survivals:
                disk_after_cut = disk.killed() if survival == "killed" else disk.after_cut(draws(survival))
                yield (
                    disk_after_cut,
                    run.states,
                    f"cut at {number}.{byte} ({operation} {name}), {survival} kept",
                )


def check_every_cut(seed: int, groups: int, recovery_cuts_every: int = 7, seeds: int = 2) -> int:
    """Check every cut of one history and return their number.

    For one cut in `recovery_cuts_every`, the cuts during its recovery are checked as well.
    """
    count = 0
    for disk_after_cut, states, context in disks_after_cuts(history(seed, groups), seeds):
        check_cut(disk_after_cut, states, context, count % recovery_cuts_every == 0)
        count += 1
    return count


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Cut one history of the store wherever it can be cut.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--groups", type=int, default=16)
    args = parser.parse_args()
    print(check_every_cut(args.seed, args.groups), "cuts, all well")

"""Cuts a scripted history of the store wherever it can be cut, and compares what is found with what was told.

The history runs on the store's own engine over a simulated disk, without threads, so that a place of a cut
and a seed say all. The scenarios and the deliberate defects share this one check.
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
    """The store's promise does not hold; the text says after which cut."""


def engine(disk: SimDisk, options: Options = SMALL, log: Callable[..., None] | None = None) -> Engine:
    return Engine(disk, options, log or (lambda event, **fields: None), lambda: b"S" * 16)


def content(store: Engine) -> Content:
    return {key: store.read(where, key) for key, where in store.index.locations.items()}


def changed(state: Content, batch: list[Change]) -> Content:
    state = dict(state)
    for change in batch:
        if isinstance(change, Put):
            state[change.key] = change.value
        else:
            state.pop(change.key, None)
    return state


def history(seed: int, groups: int) -> list[list[list[Change]]]:
    """Groups of batches over a few keys: most changes overwrite or delete, so that there is much to clean."""
    draw = random.Random(seed)
    made: list[list[list[Change]]] = []
    for number in range(groups):
        group: list[list[Change]] = []
        for _ in range(draw.choice((1, 1, 1, 2, 3))):
            batch: list[Change] = []
            for _ in range(draw.choice((1, 1, 2, 3))):
                key = b"k%d" % draw.randrange(6)
                value = b"%d." % number * draw.randrange(1, 8)
                batch.append(Delete(key) if draw.random() < 0.3 else Put(key, value))
            group.append(batch)
        made.append(group)
    return made


class Run:
    """Plays a history and keeps what was acknowledged. `states` holds each state that may be found after a
    cut: those after the last batch acknowledged and after each one of the group under way.
    """

    def __init__(self, disk: SimDisk) -> None:
        self.disk = disk
        self.states: list[Content] = [{}]

    def play(self, groups: list[list[list[Change]]]) -> None:
        store = engine(self.disk)
        for number, group in enumerate(groups):
            self.commit(store, group)
            segment = store.unindexed()
            if segment is not None:
                store.write_index(segment)
            if number % 2:
                clean(store)

    def commit(self, store: Engine, group: list[list[Change]]) -> None:
        for batch in group:
            self.states.append(changed(self.states[-1], batch))
        written = store.write(group)
        assert not written.failures
        store.apply(written.records)
        self.states = self.states[-1:]


def clean(store: Engine, at_least: float = 0.4) -> int:
    """Clean while it is worth it, as `Store` does between commits. The number of segments dropped."""
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


def recover(disk: SimDisk, states: list[Content], told: str) -> Engine:
    try:
        store = engine(disk)
        found = content(store)
    except Cut:
        raise
    except Exception as error:
        raise Broken(f"{told}: {type(error).__name__}: {error}") from error
    if found not in states:
        raise Broken(f"{told}: found {found}, not one of {states}")
    return store


def check(disk: SimDisk, states: list[Content], told: str, again: bool) -> None:
    """Recover, cut again during that recovery, and go on writing."""
    probe = disk.killed()
    store = recover(probe, states, told)
    served = [content(store)]
    for kind in ("none", "all"):  # what was served from must not vanish at the next cut
        recover(probe.after_cut(draws(kind)), served, f"{told}, served, {kind} kept")
    if again:
        for number, byte in cuts(probe.log):
            second = disk.killed()
            second.cut_at, second.cut_byte = number, byte
            try:
                engine(second)
            except Cut:
                pass
            for kind in ("none", "all", number):
                recover(
                    second.after_cut(draws(kind)),
                    states,
                    f"{told}, and again at {number}.{byte}, {kind} kept",
                )
    go_on = Run(probe)
    go_on.states = served
    go_on.commit(store, [[Put(b"after", b"cut")]])
    recover(probe.after_cut(draws("none")), go_on.states, f"{told}, then one more commit")


def runs(groups: list[list[list[Change]]], seeds: int = 2) -> Iterator[tuple[SimDisk, list[Content], str]]:
    """The disk after each possible cut of a history, the states that may be found, and words for the place."""
    whole = Run(SimDisk())
    whole.play(groups)
    for number, (what, name, size) in enumerate(whole.disk.log):
        run = Run(SimDisk(number, size))
        try:
            run.play(groups)
        except Cut:
            pass
        for byte in range(size + 1) if what == "write" else (0,):
            disk = run.disk.torn(name, byte) if what == "write" else run.disk
            kinds: list[Any] = ["killed", "none", "all", *range(number, number + seeds)]
            for kind in kinds:
                left = disk.killed() if kind == "killed" else disk.after_cut(draws(kind))
                yield left, run.states, f"cut at {number}.{byte} ({what} {name}), {kind} kept"


def every_cut(seed: int, groups: int, again_every: int = 7, seeds: int = 2) -> int:
    """Check every cut of one history; the cuts during the recovery for one in `again_every`. Returns the
    count.
    """
    count = 0
    for left, states, told in runs(history(seed, groups), seeds):
        check(left, states, told, count % again_every == 0)
        count += 1
    return count


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Cut one history of the store wherever it can be cut.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--groups", type=int, default=16)
    asked = parser.parse_args()
    print(every_cut(asked.seed, asked.groups), "cuts, all well")

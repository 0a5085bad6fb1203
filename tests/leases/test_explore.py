"""The explorer never finds two processes that hold one lease, and finds each deliberate defect."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from lease_defects import DEFECTS, find
from lease_explorer import SETTINGS, THREE, Bounds, World, exhaust, make_move, walk, world_of


@pytest.mark.parametrize("name", SETTINGS)
def test_random_walks_never_give_one_lease_two_holders(name: str) -> None:
    """Messages are lost, repeated and delayed; processes crash, stop and are upgraded; clocks drift."""
    total: Counter[str] = Counter()
    for number in range(120):
        world = world_of(name)
        trace, broken = walk(world, random.Random(f"ci/{name}/{number}"), 160)
        assert broken == "", trace
        total += world.tally
    assert total["tenures"] > 50 and total["act"] > 30 and total["begin"] > 10, total
    happened = {"crash", "start", "upgrade"} if world_of(name).moves_left.crashes else set()
    happened |= {"step"} if world_of(name).moves_left.steps else set()
    assert all(total[kind] > 50 for kind in happened | {"deliver", "tick", "turn"}), total


def test_all_orders_of_a_few_moves_are_safe() -> None:
    """Every order of the moves, not a sample of them, is tried until 3000 states are reached."""
    bounds = Bounds(ticks=5, wants=2, crashes=1, upgrades=0, acts=0, gives=0)
    states, depth, tally = exhaust(lambda: World(THREE, bounds=Bounds(**vars(bounds)), copies=1), 3000)
    assert states >= 3000
    assert depth >= 4
    assert tally["tenures"] > 0
    assert tally["crash"] > 0


@pytest.mark.parametrize("name", DEFECTS)
def test_explorer_finds_each_deliberate_defect(name: str) -> None:
    """Guards against an explorer whose checks or walks have become too weak to find anything."""
    number, broken, trace = find(name, 450)
    assert broken and trace, name


def test_trace_replays_to_the_same_state() -> None:
    """A trace that a failed walk prints is of use only if it leads to the same state again."""
    first, replayed = world_of("5 members, 1 lease"), world_of("5 members, 1 lease")
    trace, _ = walk(first, random.Random(7), 160)
    assert all(make_move(replayed, move) or move[0] in ("act", "check", "give", "start") for move in trace)
    assert replayed.key() == first.key()
    assert replayed.tally == first.tally

"""No two hold one lease, by the explorer, which finds each deliberate mistake."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from lease_defects import DEFECTS, find
from lease_explorer import SETTINGS, THREE, Bounds, World, exhaust, made, walk, world_of


@pytest.mark.parametrize("name", SETTINGS)
def test_no_two_hold_one_lease_whatever_befalls_processes_messages_and_clocks(name: str) -> None:
    total: Counter[str] = Counter()
    for number in range(120):
        world = world_of(name)
        trace, broken = walk(world, random.Random(f"ci/{name}/{number}"), 160)
        assert broken == "", trace
        total += world.tally
    assert total["tenures"] > 50 and total["act"] > 30 and total["begin"] > 10, total
    happened = {"crash", "start", "upgrade"} if world_of(name).left.crashes else set()
    happened |= {"step"} if world_of(name).left.steps else set()
    assert all(total[kind] > 50 for kind in happened | {"deliver", "tick", "turn"}), total


def test_all_orders_of_a_few_moves_are_safe() -> None:
    bounds = Bounds(ticks=5, wants=2, crashes=1, upgrades=0, acts=0, gives=0)
    states, deep, tally = exhaust(lambda: World(THREE, bounds=Bounds(**vars(bounds)), copies=1), 3000)
    assert states >= 3000
    assert deep >= 4
    assert tally["tenures"] > 0
    assert tally["crash"] > 0


@pytest.mark.parametrize("name", DEFECTS)
def test_the_explorer_finds_each_deliberate_mistake(name: str) -> None:
    number, broken, trace = find(name, 450)
    assert broken and trace, name


def test_a_trace_can_be_played_again() -> None:
    first, again = world_of("5 members, 1 lease"), world_of("5 members, 1 lease")
    trace, _ = walk(first, random.Random(7), 160)
    assert all(made(again, move) or move[0] in ("act", "check", "give", "start") for move in trace)
    assert again.key() == first.key()
    assert again.tally == first.tally

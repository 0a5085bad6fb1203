"""When discovery is called and what of it is taken: the decisions alone, in made-up time."""

from __future__ import annotations

import random

import pytest

from beaconhinge.inventory import Hosts, Inventory
from beaconhinge.membership import PAUSE, Following
from ospreyroute import api

TOLD_SILENT, TOLD_AFTER_WAIT, GRACE = 6.0, 2.0, 0.4  # seconds, as the operators have them


def answer(version: int, full: bool = False, *entries: object) -> Hosts:
    return Inventory([], []).read({"version": version, "full": full, "servers": list(entries)})


def watching(version: int = 5, pushed: bool = False, size: int = 200, must_ask_in: float = 10.0) -> Following:
    """One that has caught up, and is about to watch."""
    following = Following(pushed, size, must_ask_in, version)
    assert following.call().wait == 0
    assert following.answered(answer(version), 0.01).how == api.CHANGES
    return following


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("size", [1, 5, 40, 230, 1024])
@pytest.mark.parametrize("must_ask_in", [2.0, 10.0, 30.0])
def test_what_a_silent_watch_misses_is_asked_for_before_it_counts_as_told(
    pushed: bool, size: int, must_ask_in: float
) -> None:
    """Its call was given up just as that counted as told, and came again up to 50 s later."""
    following, chance = watching(pushed=pushed, size=size, must_ask_in=must_ask_in), random.Random(size)
    call = following.call()
    assert 0 < call.wait <= 0.4 * must_ask_in
    silent_from = 0.0  # in the worst case right after the call
    at = call.patience
    at += following.failed(silent=True, chance=chance.random())
    told = max(silent_from + TOLD_SILENT, call.wait + TOLD_AFTER_WAIT)
    assert at < told + GRACE - 1.0  # a second for the call itself
    again = following.call()
    assert again.wait == 0 and again.index == 5
    at += 0.2 + following.failed(silent=False, chance=chance.random())  # and once more, refused
    assert at < told + GRACE


@pytest.mark.parametrize("size", [1, 5, 40, 230, 1024])
def test_after_a_break_the_list_is_asked_for_before_not_asking_counts_as_knowing(size: int) -> None:
    for seed in range(50):
        following = watching(size=size)
        call = following.call()  # the last one; the watch breaks just before its end
        pause = following.failed(silent=False, chance=random.Random(seed).random())
        assert call.wait + pause < 10.0
        last, at = call.wait + pause, call.wait + pause
        for _ in range(6):  # refused again and again: four times as long from each that failed
            following.call()
            at += 1.0 + following.failed(silent=False, chance=1.0)
            assert at - last < 4 * 10.0
            last = at


def test_the_calls_of_many_after_a_common_break_are_spread() -> None:
    times = []
    for seed in range(230):
        following = watching(size=230)
        following.call()
        times.append(following.failed(silent=False, chance=random.Random(seed).random()))
    busiest = max(sum(start <= time < start + 1 for time in times) for start in range(5))
    assert busiest < 75 and max(times) > 4


def test_an_agent_is_asked_again_within_the_grace_for_drains_for_as_long_as_it_is_away() -> None:
    following = watching(pushed=True)
    following.call()
    for number in range(200):
        assert following.failed(silent=number % 3 == 0, chance=0.999) + 0.2 < GRACE
        assert following.call().patience <= 1.2


def test_an_older_list_is_not_used_until_it_comes_twice_on_new_connections() -> None:
    following = watching(version=9)
    following.call()
    step = following.answered(answer(3, True), 0.02)  # a second answer to an earlier call, say
    assert step.how == "" and not step.keep and following.version == 9
    assert following.call().index is None
    assert following.answered(answer(9, True), 0.02).how == api.SNAPSHOT
    following.call()
    assert following.answered(answer(2), 1.0).how == ""
    assert following.call().index is None
    step = following.answered(answer(2, True), 0.02)  # so discovery has begun anew
    assert step.how == api.SNAPSHOT and step.keep and following.version == 2


def test_the_same_again_before_its_wait_is_over_closes_the_connection() -> None:
    following = watching()
    call = following.call()
    step = following.answered(answer(5), 0.1 * call.wait)
    assert step == type(step)("", keep=False, pause=PAUSE)
    call = following.call()
    assert call.index == 5 and call.wait > 0
    step = following.answered(answer(5), call.wait)  # nothing new, in due time
    assert step.how == "" and step.keep


def test_changes_where_all_was_asked_for_are_not_taken() -> None:
    following = Following(False, 3, 10.0, None)
    assert following.call().index is None
    assert following.answered(answer(4), 0.01).how == ""
    assert following.version is None
    assert following.answered(answer(4, True), 0.01).how == api.SNAPSHOT


def test_an_entry_that_cannot_be_read_has_all_asked_for_once_and_no_more() -> None:
    following = watching()
    following.call()
    assert following.answered(answer(6, False, {"id": "s-1"}), 0.3).how == api.CHANGES
    assert following.call().index is None
    assert following.answered(answer(6, True, {"id": "s-1"}), 0.02).how == api.SNAPSHOT
    call = following.call()
    assert call.index == 6 and call.wait > 0  # it is what discovery has

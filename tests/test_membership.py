"""When discovery is called and what of it is taken: the decisions alone, in made-up time."""

from __future__ import annotations

import random

import pytest

from beaconhinge.membership.discovery_watch import PAUSE, Call, DiscoveryWatch, Step
from beaconhinge.membership.inventory import WorkerList, WorkerListParser
from beaconhinge.policy.interface import UpdateKind

TOLD_SILENT, TOLD_AFTER_WAIT, GRACE = 6.0, 2.0, 0.4  # seconds, as the operators have them


def answer(version: int, full: bool = False, *entries: object) -> WorkerList:
    return WorkerListParser([], []).parse({"version": version, "full": full, "servers": list(entries)})


class Following(DiscoveryWatch):
    """A watch in made-up time, which stands still but where a test moves it on."""

    def __init__(self, pushed: bool, size: int, must_ask_in: float, version: int | None) -> None:
        super().__init__(pushed, size, must_ask_in, version, 0.0, 0.5)
        self.now = 0.0

    def next_call(self) -> Call:
        return self.call(self.now)

    def fail(self, silent: bool, chance: float) -> float:
        return self.failed(silent, self.now, chance)

    def take(self, hosts: WorkerList, after: float, differs: bool = True) -> Step:
        return self.answered(hosts, after, self.now, 0.5, differs)


def watching(version: int = 5, pushed: bool = False, size: int = 200, must_ask_in: float = 10.0) -> Following:
    """One that has caught up, and is about to watch."""
    following = Following(pushed, size, must_ask_in, version)
    assert following.next_call().wait == 0
    assert following.take(answer(version), 0.01, differs=False).kind == UpdateKind.CHANGES
    return following


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("size", [1, 5, 40, 230, 1024])
@pytest.mark.parametrize("must_ask_in", [2.0, 10.0, 30.0])
def test_what_a_silent_watch_misses_is_asked_for_before_it_counts_as_told(
    pushed: bool, size: int, must_ask_in: float
) -> None:
    """Its call was given up just as that counted as told, and came again up to 50 s later."""
    following, chance = watching(pushed=pushed, size=size, must_ask_in=must_ask_in), random.Random(size)
    call = following.next_call()
    assert 0 < call.wait <= 0.4 * must_ask_in
    silent_from = 0.0  # in the worst case right after the call
    at = call.patience
    at += following.fail(silent=True, chance=chance.random())
    told = max(silent_from + TOLD_SILENT, call.wait + TOLD_AFTER_WAIT)
    assert at < told + GRACE - 1.0  # a second for the call itself
    again = following.next_call()
    assert again.wait == 0 and again.index == 5
    at += 0.2 + following.fail(silent=False, chance=chance.random())  # and once more, refused
    assert at < told + GRACE


@pytest.mark.parametrize("size", [1, 5, 40, 230, 1024])
def test_after_a_break_the_list_is_asked_for_before_not_asking_counts_as_knowing(size: int) -> None:
    for seed in range(50):
        following = watching(size=size)
        call = following.next_call()  # the last one; the watch breaks just before its end
        pause = following.fail(silent=False, chance=random.Random(seed).random())
        assert call.wait + pause < 10.0
        last, at = call.wait + pause, call.wait + pause
        for _ in range(6):  # refused again and again: four times as long from each that failed
            following.next_call()
            at += 1.0 + following.fail(silent=False, chance=1.0)
            assert at - last < 4 * 10.0
            last = at


SIZES = [1, 5, 30, 230, 1024]


def test_the_calls_of_many_after_a_common_break_are_spread() -> None:
    """Over as long as leaves each of them a second try before its news count as told, and evenly."""
    times = []
    for seed in range(230):
        following = watching(size=230)
        following.next_call()
        times.append(following.fail(silent=False, chance=random.Random(seed).random()))
    busiest = max(sum(start <= time < start + 0.5 for time in times) for start in (0.0, 0.5, 1.0, 1.5))
    assert busiest < 75 and 1.9 < max(times) <= 2.0


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("must_ask_in", [0.0, 2.0, 10.0, 30.0])
@pytest.mark.parametrize("failures", [0, 1, 3, 9])
def test_however_often_calls_failed_the_next_that_can_be_answered_ends_before_its_news_count_as_told(
    size: int, must_ask_in: float, failures: int
) -> None:
    """Calls came again in up to 10 s after a failure in a group of 200, and had 3.2 s each."""
    following = watching(size=size, must_ask_in=must_ask_in)
    following.next_call()
    for _ in range(failures):
        assert following.fail(silent=False, chance=0.999) > 0  # nobody hammers
        following.next_call()
    # Discovery is back right after the beginning of this call, which it has not seen. A watch ended as it went.
    call = following.next_call()
    back_for = 0.0 if call.wait else call.patience
    back_for += following.fail(silent=False, chance=1.0)
    assert back_for + following.next_call().patience <= TOLD_SILENT


class Desk:
    """A discovery that answers in turn, so many calls a second; who has waited 2 s is refused, and a call that was
    given up is worked on all the same.
    """

    def __init__(self, rate: float, away: tuple[float, float]) -> None:
        self.rate, self.away = rate, away
        self.busy_until = 0.0

    def call(self, now: float, patience: float) -> tuple[bool, float]:
        """Whether it is answered, and after how long that is known."""
        if self.away[0] <= now < self.away[1]:
            return False, min(patience, 2.0)
        starts = max(self.busy_until, now)
        if starts - now > 2.0:
            return False, min(patience, 2.0)
        self.busy_until = starts + 1 / self.rate
        waited = self.busy_until - now
        return waited <= patience, min(waited, patience)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("way", ["away and back", "all watches reset", "all moved"])
def test_a_whole_group_that_comes_at_once_has_its_news_in_time(size: int, way: str) -> None:
    """A third of the group a second, as large days have it. The last of 230 had its list 12.1 s after discovery was
    back, and of 1,024 22 s after, while calls backed off.
    """
    back = 12.0 if way == "away and back" else 4.0
    desk, rng = Desk(max(size / 3, 3.0), (4.0, back)), random.Random(size)
    events = list[tuple[float, int]]()
    group = {}
    for number in range(size):
        following = group[number] = watching(size=size)
        following.next_call()
        moved = way == "all moved"
        pause = (
            following.moved(now=0.0, chance=rng.random())
            if moved
            else following.fail(silent=False, chance=rng.random())
        )
        events.append((4.0 + pause, number))
    had, calls = dict[int, float](), 0
    while events:
        now, number = event = min(events)
        events.remove(event)
        following, calls = group[number], calls + 1
        answered, after = desk.call(now, following.next_call().patience)
        if answered:
            had[number] = now + after
        else:
            events.append((now + after + following.fail(silent=False, chance=rng.random()), number))
    assert max(had.values()) - back <= TOLD_SILENT
    assert calls <= size * (2 + (back - 4.0))  # while it is away nobody calls more than once a second


def test_an_agent_is_asked_again_within_the_grace_for_drains_for_as_long_as_it_is_away() -> None:
    """Silent calls had up to 1.2 s each, and what it had at its return counted at once."""
    following = watching(pushed=True)
    following.next_call()
    for number in range(50):
        pause = following.fail(silent=number % 3 == 0, chance=0.999)
        assert 0 < pause and pause + following.next_call().patience < GRACE - 0.05
    for _ in range(200):  # by now it is not silent but slow
        assert following.fail(silent=True, chance=0.999) + 0.2 < GRACE
        assert following.next_call().patience <= 1.2
    assert following.next_call().patience > 0.5


def test_an_older_list_is_not_used_until_it_comes_twice_on_new_connections() -> None:
    following = watching(version=9)
    following.next_call()
    step = following.take(answer(3, True), 0.02)  # a second answer to an earlier call, say
    assert step.kind is None and not step.keep and following.version == 9
    assert following.next_call().index is None
    assert following.take(answer(9, True), 0.02).kind == UpdateKind.SNAPSHOT
    following.next_call()
    assert following.take(answer(2), 1.0).kind is None
    assert following.next_call().index is None
    step = following.take(answer(2, True), 0.02)  # so discovery has begun anew
    assert step.kind == UpdateKind.SNAPSHOT and step.keep and following.version == 2


def test_the_same_again_before_its_wait_is_over_closes_the_connection() -> None:
    following = watching()
    call = following.next_call()
    step = following.take(answer(5), 0.1 * call.wait)
    assert step == type(step)(None, keep=False, pause=PAUSE, current=False)
    call = following.next_call()
    assert call.index == 5 and call.wait > 0
    step = following.take(answer(5), call.wait)  # nothing new, in due time
    assert step.kind is None and step.keep


def test_changes_where_all_was_asked_for_are_not_taken() -> None:
    following = Following(False, 3, 10.0, None)
    assert following.next_call().index is None
    assert following.take(answer(4), 0.01).kind is None
    assert following.version is None
    assert following.take(answer(4, True), 0.01).kind == UpdateKind.SNAPSHOT


def test_an_entry_that_cannot_be_read_has_all_asked_for_once_and_no_more() -> None:
    following = watching()
    following.next_call()
    assert following.take(answer(6, False, {"id": "s-1"}), 0.3).kind == UpdateKind.CHANGES
    assert following.next_call().index is None
    assert following.take(answer(6, True, {"id": "s-1"}), 0.02).kind == UpdateKind.SNAPSHOT
    call = following.next_call()
    assert call.index == 6 and call.wait > 0  # it is what discovery has


def test_changes_in_answer_to_calls_for_the_whole_list_are_not_taken_and_asked_about_ever_later() -> None:
    """Each was followed by the same call 0.05 s later, for as long as discovery answered so."""
    following, calls = watching(), 0
    following.catch_up(whole=True)
    while following.now < 20.0:
        assert following.next_call().index is None
        calls += 1
        step = following.take(answer(6, False, {"id": "s-1", "state": "Gone"}), 0.01)
        assert not step.kind and not step.keep
        following.now += 0.01 + step.pause
    assert calls < 20
    for _ in range(2000):  # as long as that lasts
        step = following.take(answer(6, False), 0.01)
    assert step.pause == 2.0
    assert following.take(answer(6, True), 0.01).kind == UpdateKind.SNAPSHOT
    assert following.next_call().wait > 0


@pytest.mark.parametrize(("size", "whole_again"), [(18, True), (19, False), (230, False)])
def test_the_whole_list_of_another_discovery_is_read_twice_in_a_small_group_alone(
    size: int, whole_again: bool
) -> None:
    """After SIGHUP all of a group ask for whole lists; a second time, they would keep it from answering."""
    following = watching(size=size)
    following.moved(0.0, 0.5)
    assert following.next_call().index is None
    following.take(answer(3, True, {"id": "s-1", "addr": "127.0.0.1:9", "state": "Ready"}), 0.02)
    whole = 0
    while following.now < 10.0:
        call = following.next_call()
        whole += call.index is None
        following.now += call.wait + 0.05
        following.take(answer(3, call.index is None), call.wait, differs=False)
    assert (whole == 1) is whole_again


@pytest.mark.parametrize(
    ("size", "prompt"), [(1, True), (18, True), (19, False), (230, False), (1024, False)]
)
def test_what_a_start_missed_is_confirmed_at_once_in_a_small_group(size: int, prompt: bool) -> None:
    """A large group that asks for whole lists as well keeps discovery from answering anybody."""
    following = watching(size=size)
    following.catch_up()
    assert following.next_call().index == 5
    following.take(answer(7, False, {"id": "s-1", "addr": "127.0.0.1:9", "state": "Gone"}), 0.01)
    following.now += PAUSE
    assert (following.next_call().index is None) is prompt

"""Which keys may have run, by one book and by the word of all. No processes here."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.dispatch.job import Job
from beaconhinge.net.keys import Keys
from beaconhinge.policy import Settings
from beaconhinge.recovery import keys
from beaconhinge.recovery.keys import (
    HERE,
    KEPT,
    NOT_HERE,
    PART_BYTES,
    UNKNOWN,
    Assembly,
    Fetch,
    Inquiry,
    KeyBook,
    Part,
    Question,
    Reply,
)
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel
from beaconhinge.store import Put

WINDOW = 60.0


def book(complete: bool = True, most: int = 100, room: int = 1000) -> KeyBook:
    return KeyBook(WINDOW, 100.0 if complete else 100.0 + WINDOW, most, room)


def test_a_key_is_here_from_its_taking_on_until_the_window_after_its_end() -> None:
    made = book()
    assert made.word(100.0, 7) == NOT_HERE
    made.take(100.0, 7, "r1")
    assert made.word(100.0 + 2 * WINDOW, 7) == HERE  # a process that stood still has it in hand all the same
    made.leave(300.0, 7, True, None)
    assert made.word(300.0 + WINDOW - 0.1, 7) == HERE and made.word(300.0 + WINDOW, 7) == NOT_HERE
    made.take(400.0, 8, "r2")
    made.leave(401.0, 8, False, None)  # proven never to have run
    assert made.word(401.0, 8) == NOT_HERE and len(made) == 1


def test_what_an_earlier_life_had_is_not_known_without_its_journal() -> None:
    blank, whole = book(complete=False), book()
    assert (blank.word(100.0, 7), whole.word(100.0, 7)) == (UNKNOWN, NOT_HERE)
    assert blank.word(100.0 + WINDOW, 7) == NOT_HERE
    assert (
        whole.restore(100.0, 7, 90.0, "r1")
        and whole.word(149.9, 7) == HERE
        and whole.word(150.0, 7) == NOT_HERE
    )
    assert not whole.restore(100.0, 8, 40.0, "r2")  # too old to matter
    assert whole.restore(100.0, 9, 5000.0, "r3")  # the clock has stepped back
    assert whole.word(100.0 + WINDOW - 0.1, 9) == HERE and whole.word(100.0 + WINDOW, 9) == NOT_HERE


def test_a_journal_tells_only_its_own_dispatcher_and_says_what_it_does_not_know() -> None:
    assert keys.unsure_until(None, "n", 1, 100.0, WINDOW) == 160.0  # an empty folder
    assert keys.unsure_until(keys.owner("n", 1, 0.0), "n", 1, 100.0, WINDOW) == 0.0
    # Empty a moment ago and killed again: what the life before that had is still not known.
    assert keys.unsure_until(keys.owner("n", 1, 150.0), "n", 1, 100.0, WINDOW) == 150.0
    assert (
        keys.unsure_until(keys.owner("n", 1, 1e9), "n", 1, 100.0, WINDOW) == 160.0
    )  # the clock stepped back
    for other in (
        keys.owner("m", 1, 0.0),
        keys.owner("n", 2, 0.0),
        b"",
        b"1234",
        keys.owner("n", 1, float("nan")),
    ):
        assert keys.unsure_until(other, "n", 1, 100.0, WINDOW) == 160.0


def test_results_are_kept_for_who_comes_again_and_dropped_before_the_memory_that_it_ran() -> None:
    made = book(room=10)
    for key, request, result in ((1, "a", b"12345678"), (2, "b", b"123")):
        made.take(100.0, key, request)
        made.leave(101.0, key, True, result)
    assert made.result(102.0, 1) == b"12345678" and made.result(102.0, 2) is None
    assert made.word(102.0, 2) == HERE and made.results_dropped == 1
    made.restore(102.0, 3, 101.0, "c")
    assert made.told(103.0, "c", b"x") and made.result(103.0, 3) == b"x"  # told to the next life
    assert not made.told(103.0, "c", b"y") and not made.told(103.0, "stranger", b"z")
    made.sweep(101.0 + 2 * WINDOW)
    assert len(made) == 0 and made.result(101.0 + 2 * WINDOW, 1) is None
    made.take(300.0, 4, "d")
    made.leave(301.0, 4, True, b"1234567890")  # the room is free again
    assert made.result(302.0, 4) == b"1234567890"


def test_a_key_that_is_taken_again_after_its_window_gives_back_the_room_of_its_result() -> None:
    made = book(room=10)
    for turn in range(4):  # never swept in between
        at = 100.0 + 2 * WINDOW * turn
        made.take(at, 1, f"r{turn}")
        assert not made.told(at, f"r{turn - 1}", b"late for the life before")
        made.leave(at, 1, True, b"12345678")
        assert made.result(at, 1) == b"12345678"
    made.take(900.0, 2, "twice")
    assert not made.told(900.0, "twice", b"12345678") and made.limits_hit() == (
        0,
        1,
    )  # no room beside the other
    made.sweep(900.0)
    assert made.told(900.0, "twice", b"12345678")
    made.leave(901.0, 2, True, b"87654321")  # another attempt's, counted once
    assert made.result(901.0, 2) == b"12345678"
    made.take(1100.0, 3, "next")
    made.leave(1100.0, 3, True, b"1234567890")
    made.sweep(1100.0)
    assert made.limits_hit() == (0, 1) and 2 not in made and 3 in made


def test_a_full_book_says_that_it_does_not_know_what_it_forgot() -> None:
    made = book(most=3)
    for key in range(4):
        made.take(100.0, key, f"r{key}")
        made.leave(100.0, key, True, None)
    assert made.limits_hit() == (1, 0) and made.limits_hit() == (0, 0) and len(made) == 3
    assert made.word(101.0, 0) == UNKNOWN and made.word(101.0, 3) == HERE and made.word(101.0, 99) == UNKNOWN
    assert made.word(100.0 + WINDOW, 99) == NOT_HERE


@given(
    st.dictionaries(
        st.integers(0, 6), st.lists(st.sampled_from((NOT_HERE, HERE, UNKNOWN, KEPT)), min_size=1, max_size=3)
    )
)
def test_only_the_no_of_every_other_is_a_no(said: dict[int, list[int]]) -> None:
    inquiry = Inquiry(frozenset(range(5)))
    for number, words in said.items():
        for word in words:
            inquiry.hear(number, word)
    of_others = [words for number, words in said.items() if number < 5]
    kept = [number for number, words in said.items() if number < 5 and KEPT in words]
    here = any(HERE in words for words in of_others)
    no = len(of_others) == 5 and all(set(words) == {NOT_HERE} for words in of_others)
    assert inquiry.verdict == (KEPT if kept else HERE if here else NOT_HERE if no else UNKNOWN)
    assert inquiry.settled == (bool(kept) or here or len(of_others) == 5)
    assert not kept or inquiry.keeper in kept


class Node:
    """One dispatcher of the fleet below: its book, what is on its disk, whether it runs."""

    def __init__(self) -> None:
        self.disk: dict[int, tuple[float, str]] = {}
        self.up = True
        self.unsure_until = 0.0
        self.start(100.0, True)

    def start(self, now: float, complete: bool) -> None:
        known = keys.owner("n", 1, self.unsure_until) if complete else None
        self.unsure_until = keys.unsure_until(known, "n", 1, now, WINDOW)
        self.book = KeyBook(WINDOW, self.unsure_until, 1000, 10_000)
        for key, (at, request) in self.disk.items():
            self.book.restore(now, key, at, request)


def fleet_day(seed: int, journal: bool, mistake: str = "") -> tuple[int, int, int, list[float]]:
    """Five books by the rules of the page, every order of answers, losses, stops and kills that the seed draws.
    Keys run, refusals, kills, and the seconds between two runs of one key within the window, by an observer.
    """
    rng = random.Random(seed)
    nodes, now, refused, kills = [Node() for _ in range(5)], 100.0, 0, 0
    first = {key: rng.randrange(5) for key in range(12)}  # tries that nobody marks, each on its way to one
    ran: dict[int, float] = {}
    too_soon: list[float] = []
    open_: list[tuple[int, int, Inquiry]] = []  # node, key, its question
    for step in range(1500):
        now += rng.expovariate(20.0)
        at, key = rng.randrange(5), rng.randrange(12)
        node = nodes[at]
        if step % 60 == 30:
            node.up = not node.up
            if node.up and rng.random() < 0.5:  # it was killed, not stopped; its connections are gone
                kills += 1
                open_ = [held for held in open_ if held[0] != at]
                first = {k: n for k, n in first.items() if n != at}
                node.start(now, journal or mistake == "no wait")
        elif not node.up:
            continue
        elif rng.random() < 0.4:
            repeat = first.get(key) != at or rng.random() < 0.8
            if not repeat:
                del first[key]
            if node.book.word(now, key) == HERE:
                refused += 1
                continue
            ask = repeat or node.book.claimed(now, key) and mistake != "no claim"
            if ask and now < node.book.unsure_until:
                refused += 1
                continue
            if mistake != "from its send":
                node.book.take(now, key, f"{at}-{key}")
            open_.append((at, key, Inquiry(frozenset(range(5)) - {at} if ask else frozenset())))
        elif open_:  # one question goes on by a step: an answer comes, is lost, or the asker decides
            index = rng.randrange(len(open_))
            asker, key, inquiry = open_[index]
            silent = sorted(inquiry.silent)
            if not nodes[asker].up:
                continue
            if silent and rng.random() < 0.95:
                other = rng.choice(silent)
                if nodes[other].up and rng.random() < 0.9:
                    inquiry.hear(other, nodes[other].book.asked(now, key))
                continue
            del open_[index]
            heard = list(inquiry.said.values())
            most = mistake == "majority" and HERE not in heard and heard.count(NOT_HERE) >= 2
            if inquiry.verdict == NOT_HERE or most:
                nodes[asker].book.take(now, key, f"{asker}-{key}")
                if journal:
                    nodes[asker].disk[key] = now, f"{asker}-{key}"
                if now - ran.get(key, 0.0) < WINDOW:
                    too_soon.append(now - ran[key])
                ran[key] = now
                nodes[asker].book.leave(now, key, True, None)
            else:
                refused += 1
                nodes[asker].book.leave(now, key, False, None)
    return len(ran), refused, kills, too_soon


@pytest.mark.parametrize("journal", [True, False])
def test_no_key_runs_twice_in_a_fleet_that_is_killed_cut_and_stopped(journal: bool) -> None:
    days = [fleet_day(seed, journal) for seed in range(120)]
    assert all(too_soon == [] for _, _, _, too_soon in days)
    assert all(refused > 20 for _, refused, _, _ in days)
    assert sum(keys_run for keys_run, _, _, _ in days) > 300 and sum(kills for _, _, kills, _ in days) > 300


@pytest.mark.parametrize("mistake", ["no wait", "no claim", "from its send", "majority"])
def test_the_observer_finds_each_mistake(mistake: str) -> None:
    """A start without its journal that does not wait; a no that is not remembered; a key that counts from its
    send on; a majority in place of all.
    """
    assert any(fleet_day(seed, False, mistake)[3] for seed in range(120))


@given(st.binary(max_size=16 * PART_BYTES), st.randoms(use_true_random=False))
def test_a_result_comes_whole_over_lost_repeated_and_mixed_up_parts_or_not_at_all(
    result: bytes, rng: random.Random
) -> None:
    assembly = Assembly()
    for _ in range(200):
        if not assembly.missing:
            break
        for number in assembly.missing:
            part = keys.part_of(result, Fetch(7, 1, number))
            other = keys.part_of(result[::-1] + b"!", Fetch(7, 1, number))
            if part is not None and rng.random() < 0.6:
                assembly.hear(part)
                if other is not None:  # of a later run, after the first has come
                    assembly.hear(other)
    assert assembly.result == result
    assert (
        keys.part_of(result, Fetch(7, 1, 16)) is None
        and keys.part_of(bytes(17 * PART_BYTES), Fetch(7, 1, 0)) is None
    )
    forged = Assembly()
    forged.hear(Part(7, 0, 1, 5, b"not that"))
    assert forged.missing == [] and forged.result is None


def test_who_has_a_small_result_says_so_and_a_large_one_stays() -> None:
    made = book(room=10_000)
    for key, size in ((1, 16 * PART_BYTES), (2, 16 * PART_BYTES + 1)):
        made.take(100.0, key, f"r{key}")
        made.leave(101.0, key, True, bytes(size))
    assert [made.asked(102.0, key) for key in (1, 2, 3)] == [KEPT, HERE, NOT_HERE]


def test_words_survive_the_wire_and_foreign_ones_are_none() -> None:
    for message in (Question(2**32 - 1, 2**64 - 1), Reply(5, HERE), Reply(0, KEPT), Fetch(1, 2**64 - 1, 15)):
        wire = keys.encode(message)
        assert keys.decode(wire) == message and len(wire) <= 14
        assert all(keys.decode(wire[:cut]) is None for cut in range(len(wire)))
        assert keys.decode(wire + b"x") is None and keys.decode(b"\x00" + wire[1:]) is None
    part = Part(9, 15, 16, 2**32 - 1, bytes(PART_BYTES))
    assert keys.decode(keys.encode(part)) == part and len(keys.encode(part)) <= 256
    for bad in (
        Part(9, 16, 16, 0, b""),
        Part(9, 0, 0, 0, b""),
        Part(9, 0, 17, 0, b""),
        Part(9, 0, 1, 0, bytes(241)),
    ):
        assert keys.decode(keys.encode(bad)) is None
    assert keys.decode(keys.encode(Fetch(1, 2, 16))) is None and keys.decode(b"") is None
    assert keys.decode(keys.encode(Reply(5, HERE))[:-1] + b"\x09") is None
    assert keys.read_record(keys.record(12.5, "r-1")) == (12.5, "r-1")
    for bad in (b"", b"1234567", b"\xff" * 9, keys.record(float("nan"), "r")):
        with pytest.raises(ValueError):
            keys.read_record(bad)
    assert keys.name(1, 0, "k") != keys.name(0, 1, "k") != keys.name(1, 0, "l")


def test_a_key_that_is_taken_again_at_once_keeps_its_newer_record() -> None:
    """The delete of the record before was under way, and would have come after it."""

    class Disk:
        def __init__(self) -> None:
            self.changes: list[object] = []

        def get(self, key: bytes) -> None:
            return None

        def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
            return []

        async def commit(self, changes: list[object]) -> None:
            self.changes += changes

    async def scenario() -> list[object]:
        disk, metrics = Disk(), Metrics(lambda: 100.0, writer=lambda event, fields: None)
        settings = Settings.from_pairs(
            {
                "requestClasses.count": "1",
                "requestClasses.0.semantics": "dedup",
                "requestClasses.0.dedupWindow": "40",
                "requestClasses.0.hardLimit": "20",
                "clients.marksRetry": "true",
            }
        )
        config = SimpleNamespace(name="n0", settings=settings, keyed=lambda cls: True)
        wired = Keys(
            config,
            disk,
            10,
            10,
            SimpleNamespace(talk={}),
            TimerWheel(lambda: 100.0, metrics.log_exception),
            metrics,
        )  # type: ignore[arg-type]
        first, second = (Job(name, 0, 0, 9.0, 100.0, b"/", b"", dedup_key="k") for name in ("a", "b"))
        assert (await wired.enter(first)).registered
        wired.left(first, False, None)  # spawns the delete
        assert (await wired.enter(second)).registered
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return disk.changes

    changes = asyncio.run(scenario())
    records = [change for change in changes if change.key.startswith(b"key/")]  # type: ignore[attr-defined]
    assert len(records) == 2 and all(isinstance(change, Put) for change in records)

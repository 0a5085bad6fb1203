"""Which keys may have run, by one book and by the word of all. No processes here."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.dispatch.job import Job
from beaconhinge.net.keys import IdempotencyKeyService
from beaconhinge.policy import Settings
from beaconhinge.recovery import key_messages, key_records
from beaconhinge.recovery.key_inquiry import KeyInquiry, ResultAssembly
from beaconhinge.recovery.key_messages import (
    MAX_PART_BYTES,
    FetchResultPart,
    KeyAnswer,
    KeyQuery,
    KeyState,
    ResultPart,
)
from beaconhinge.recovery.key_registry import KeyRegistry
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel
from beaconhinge.store import Put

WINDOW = 60.0


def book(complete: bool = True, most: int = 100, room: int = 1000) -> KeyRegistry:
    return KeyRegistry(WINDOW, 100.0 if complete else 100.0 + WINDOW, most, room)


def test_a_key_is_here_from_its_taking_on_until_the_window_after_its_end() -> None:
    made = book()
    assert made.state(100.0, 7) == KeyState.ABSENT
    made.begin(100.0, 7, "r1")
    assert (
        made.state(100.0 + 2 * WINDOW, 7) == KeyState.PRESENT
    )  # a process that stood still has it in hand all the same
    made.end(300.0, 7, True, None)
    assert made.state(300.0 + WINDOW - 0.1, 7) == KeyState.PRESENT
    assert made.state(300.0 + WINDOW, 7) == KeyState.ABSENT
    made.begin(400.0, 8, "r2")
    made.end(401.0, 8, False, None)  # proven never to have run
    assert made.state(401.0, 8) == KeyState.ABSENT
    assert len(made) == 1


def test_what_an_earlier_life_had_is_not_known_without_its_journal() -> None:
    blank, whole = book(complete=False), book()
    assert (blank.state(100.0, 7), whole.state(100.0, 7)) == (KeyState.UNKNOWN, KeyState.ABSENT)
    assert blank.state(100.0 + WINDOW, 7) == KeyState.ABSENT
    assert whole.restore(100.0, 7, 90.0, "r1")
    assert whole.state(149.9, 7) == KeyState.PRESENT
    assert whole.state(150.0, 7) == KeyState.ABSENT
    assert not whole.restore(100.0, 8, 40.0, "r2")  # too old to matter
    assert whole.restore(100.0, 9, 5000.0, "r3")  # the clock has stepped back
    assert whole.state(100.0 + WINDOW - 0.1, 9) == KeyState.PRESENT
    assert whole.state(100.0 + WINDOW, 9) == KeyState.ABSENT


def test_a_journal_tells_only_its_own_dispatcher_and_says_what_it_does_not_know() -> None:
    assert key_records.uncertain_until(None, "n", 1, 100.0, WINDOW) == 160.0  # an empty folder
    assert key_records.uncertain_until(key_records.encode_owner("n", 1, 0.0), "n", 1, 100.0, WINDOW) == 0.0
    # Empty a moment ago and killed again: what the life before that had is still not known.
    assert (
        key_records.uncertain_until(key_records.encode_owner("n", 1, 150.0), "n", 1, 100.0, WINDOW) == 150.0
    )
    assert (
        key_records.uncertain_until(key_records.encode_owner("n", 1, 1e9), "n", 1, 100.0, WINDOW) == 160.0
    )  # the clock stepped back
    for other in (
        key_records.encode_owner("m", 1, 0.0),
        key_records.encode_owner("n", 2, 0.0),
        b"",
        b"1234",
        key_records.encode_owner("n", 1, float("nan")),
    ):
        assert key_records.uncertain_until(other, "n", 1, 100.0, WINDOW) == 160.0


def test_results_are_kept_for_who_comes_again_and_dropped_before_the_memory_that_it_ran() -> None:
    made = book(room=10)
    for key, request, result in ((1, "a", b"12345678"), (2, "b", b"123")):
        made.begin(100.0, key, request)
        made.end(101.0, key, True, result)
    assert made.result(102.0, 1) == b"12345678"
    assert made.result(102.0, 2) is None
    assert made.state(102.0, 2) == KeyState.PRESENT
    assert made.results_dropped == 1
    made.restore(102.0, 3, 101.0, "c")
    assert made.record_late_result(103.0, "c", b"x")
    assert made.result(103.0, 3) == b"x"
    assert not made.record_late_result(103.0, "c", b"y")
    assert not made.record_late_result(103.0, "stranger", b"z")
    made.expire(101.0 + 2 * WINDOW)
    assert len(made) == 0
    assert made.result(101.0 + 2 * WINDOW, 1) is None
    made.begin(300.0, 4, "d")
    made.end(301.0, 4, True, b"1234567890")  # the room is free again
    assert made.result(302.0, 4) == b"1234567890"


def test_a_key_that_is_taken_again_after_its_window_gives_back_the_room_of_its_result() -> None:
    made = book(room=10)
    for turn in range(4):  # never swept in between
        at = 100.0 + 2 * WINDOW * turn
        made.begin(at, 1, f"r{turn}")
        assert not made.record_late_result(at, f"r{turn - 1}", b"late for the life before")
        made.end(at, 1, True, b"12345678")
        assert made.result(at, 1) == b"12345678"
    made.begin(900.0, 2, "twice")
    assert not made.record_late_result(900.0, "twice", b"12345678")
    assert made.take_limit_counts() == (
        0,
        1,
    )
    made.expire(900.0)
    assert made.record_late_result(900.0, "twice", b"12345678")
    made.end(901.0, 2, True, b"87654321")  # another attempt's, counted once
    assert made.result(901.0, 2) == b"12345678"
    made.begin(1100.0, 3, "next")
    made.end(1100.0, 3, True, b"1234567890")
    made.expire(1100.0)
    assert made.take_limit_counts() == (0, 1)
    assert 2 not in made
    assert 3 in made


def test_a_full_book_says_that_it_does_not_know_what_it_forgot() -> None:
    made = book(most=3)
    for key in range(4):
        made.begin(100.0, key, f"r{key}")
        made.end(100.0, key, True, None)
    assert made.take_limit_counts() == (1, 0)
    assert made.take_limit_counts() == (0, 0)
    assert len(made) == 3
    assert made.state(101.0, 0) == KeyState.UNKNOWN
    assert made.state(101.0, 3) == KeyState.PRESENT
    assert made.state(101.0, 99) == KeyState.UNKNOWN
    assert made.state(100.0 + WINDOW, 99) == KeyState.ABSENT


@given(
    st.dictionaries(
        st.integers(0, 6),
        st.lists(
            st.sampled_from((KeyState.ABSENT, KeyState.PRESENT, KeyState.UNKNOWN, KeyState.RESULT_CACHED)),
            min_size=1,
            max_size=3,
        ),
    )
)
def test_only_the_no_of_every_other_is_a_no(said: dict[int, list[int]]) -> None:
    inquiry = KeyInquiry(frozenset(range(5)))
    for number, words in said.items():
        for word in words:
            inquiry.record(number, word)
    of_others = [words for number, words in said.items() if number < 5]
    kept = [number for number, words in said.items() if number < 5 and KeyState.RESULT_CACHED in words]
    here = any(KeyState.PRESENT in words for words in of_others)
    no = len(of_others) == 5 and all(set(words) == {KeyState.ABSENT} for words in of_others)
    assert inquiry.verdict == (
        KeyState.RESULT_CACHED
        if kept
        else KeyState.PRESENT
        if here
        else KeyState.ABSENT
        if no
        else KeyState.UNKNOWN
    )
    assert inquiry.decided == (bool(kept) or here or len(of_others) == 5)
    assert not kept or inquiry.result_holder in kept


class Node:
    """One dispatcher of the fleet below: its book, what is on its disk, whether it runs."""

    def __init__(self) -> None:
        self.disk: dict[int, tuple[float, str]] = {}
        self.up = True
        self.uncertain_until = 0.0
        self.start(100.0, True)

    def start(self, now: float, complete: bool) -> None:
        known = key_records.encode_owner("n", 1, self.uncertain_until) if complete else None
        self.uncertain_until = key_records.uncertain_until(known, "n", 1, now, WINDOW)
        self.book = KeyRegistry(WINDOW, self.uncertain_until, 1000, 10_000)
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
    open_: list[tuple[int, int, KeyInquiry]] = []  # node, key, its question
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
            if node.book.state(now, key) == KeyState.PRESENT:
                refused += 1
                continue
            ask = repeat or node.book.is_claimed(now, key) and mistake != "no claim"
            if ask and now < node.book.uncertain_until:
                refused += 1
                continue
            if mistake != "from its send":
                node.book.begin(now, key, f"{at}-{key}")
            open_.append((at, key, KeyInquiry(frozenset(range(5)) - {at} if ask else frozenset())))
        elif open_:  # one question goes on by a step: an answer comes, is lost, or the asker decides
            index = rng.randrange(len(open_))
            asker, key, inquiry = open_[index]
            silent = sorted(inquiry.unanswered)
            if not nodes[asker].up:
                continue
            if silent and rng.random() < 0.95:
                other = rng.choice(silent)
                if nodes[other].up and rng.random() < 0.9:
                    inquiry.record(other, nodes[other].book.claim_for_peer(now, key))
                continue
            del open_[index]
            heard = list(inquiry.answers.values())
            most = (
                mistake == "majority" and KeyState.PRESENT not in heard and heard.count(KeyState.ABSENT) >= 2
            )
            if inquiry.verdict == KeyState.ABSENT or most:
                nodes[asker].book.begin(now, key, f"{asker}-{key}")
                if journal:
                    nodes[asker].disk[key] = now, f"{asker}-{key}"
                if now - ran.get(key, 0.0) < WINDOW:
                    too_soon.append(now - ran[key])
                ran[key] = now
                nodes[asker].book.end(now, key, True, None)
            else:
                refused += 1
                nodes[asker].book.end(now, key, False, None)
    return len(ran), refused, kills, too_soon


@pytest.mark.parametrize("journal", [True, False])
def test_no_key_runs_twice_in_a_fleet_that_is_killed_cut_and_stopped(journal: bool) -> None:
    days = [fleet_day(seed, journal) for seed in range(120)]
    assert all(too_soon == [] for _, _, _, too_soon in days)
    assert all(refused > 20 for _, refused, _, _ in days)
    assert sum(keys_run for keys_run, _, _, _ in days) > 300
    assert sum(kills for _, _, kills, _ in days) > 300


@pytest.mark.parametrize("mistake", ["no wait", "no claim", "from its send", "majority"])
def test_the_observer_finds_each_mistake(mistake: str) -> None:
    """A start without its journal that does not wait; a no that is not remembered; a key that counts from its
    send on; a majority in place of all.
    """
    assert any(fleet_day(seed, False, mistake)[3] for seed in range(120))


@given(st.binary(max_size=16 * MAX_PART_BYTES), st.randoms(use_true_random=False))
def test_a_result_comes_whole_over_lost_repeated_and_mixed_up_parts_or_not_at_all(
    result: bytes, rng: random.Random
) -> None:
    assembly = ResultAssembly()
    for _ in range(200):
        if not assembly.missing:
            break
        for number in assembly.missing:
            part = key_messages.result_part(result, FetchResultPart(7, 1, number))
            other = key_messages.result_part(result[::-1] + b"!", FetchResultPart(7, 1, number))
            if part is not None and rng.random() < 0.6:
                assembly.add(part)
                if other is not None:  # of a later run, after the first has come
                    assembly.add(other)
    assert assembly.result == result
    assert key_messages.result_part(result, FetchResultPart(7, 1, 16)) is None
    assert key_messages.result_part(bytes(17 * MAX_PART_BYTES), FetchResultPart(7, 1, 0)) is None
    forged = ResultAssembly()
    forged.add(ResultPart(7, 0, 1, 5, b"not that"))
    assert forged.missing == []
    assert forged.result is None


def test_who_has_a_small_result_says_so_and_a_large_one_stays() -> None:
    made = book(room=10_000)
    for key, size in ((1, 16 * MAX_PART_BYTES), (2, 16 * MAX_PART_BYTES + 1)):
        made.begin(100.0, key, f"r{key}")
        made.end(101.0, key, True, bytes(size))
    assert [made.claim_for_peer(102.0, key) for key in (1, 2, 3)] == [
        KeyState.RESULT_CACHED,
        KeyState.PRESENT,
        KeyState.ABSENT,
    ]


def test_words_survive_the_wire_and_foreign_ones_are_none() -> None:
    for message in (
        KeyQuery(2**32 - 1, 2**64 - 1),
        KeyAnswer(5, KeyState.PRESENT),
        KeyAnswer(0, KeyState.RESULT_CACHED),
        FetchResultPart(1, 2**64 - 1, 15),
    ):
        wire = key_messages.encode(message)
        assert key_messages.decode(wire) == message
        assert len(wire) <= 14
        assert all(key_messages.decode(wire[:cut]) is None for cut in range(len(wire)))
        assert key_messages.decode(wire + b"x") is None
        assert key_messages.decode(b"\x00" + wire[1:]) is None
    part = ResultPart(9, 15, 16, 2**32 - 1, bytes(MAX_PART_BYTES))
    assert key_messages.decode(key_messages.encode(part)) == part
    assert len(key_messages.encode(part)) <= 256
    for bad in (
        ResultPart(9, 16, 16, 0, b""),
        ResultPart(9, 0, 0, 0, b""),
        ResultPart(9, 0, 17, 0, b""),
        ResultPart(9, 0, 1, 0, bytes(241)),
    ):
        assert key_messages.decode(key_messages.encode(bad)) is None
    assert key_messages.decode(key_messages.encode(FetchResultPart(1, 2, 16))) is None
    assert key_messages.decode(b"") is None
    assert key_messages.decode(key_messages.encode(KeyAnswer(5, KeyState.PRESENT))[:-1] + b"\x09") is None
    assert key_records.decode_record(key_records.encode_record(12.5, "r-1")) == (12.5, "r-1")
    for bad in (b"", b"1234567", b"\xff" * 9, key_records.encode_record(float("nan"), "r")):
        with pytest.raises(ValueError):
            key_records.decode_record(bad)
    assert (
        key_messages.key_hash(1, 0, "k")
        != key_messages.key_hash(0, 1, "k")
        != key_messages.key_hash(1, 0, "l")
    )


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
        config = SimpleNamespace(name="n0", settings=settings, needs_key=lambda cls: True)
        wired = IdempotencyKeyService(
            config,
            disk,
            10,
            10,
            SimpleNamespace(handlers={}),
            TimerWheel(lambda: 100.0, metrics.log_exception),
            metrics,
        )  # type: ignore[arg-type]
        first, second = (Job(name, 0, 0, 9.0, 100.0, b"/", b"", idempotency_key="k") for name in ("a", "b"))
        assert (await wired.register(first)).registered
        wired.release(first, False, None)  # spawns the delete
        assert (await wired.register(second)).registered
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return disk.changes

    changes = asyncio.run(scenario())
    records = [change for change in changes if change.key.startswith(b"key/")]  # type: ignore[attr-defined]
    assert len(records) == 2
    assert all(isinstance(change, Put) for change in records)

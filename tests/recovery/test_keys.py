"""Idempotency keys: one dispatcher's registry, queries to all others, records and messages. No processes."""

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


def new_registry(complete: bool = True, max_keys: int = 100, max_bytes: int = 1000) -> KeyRegistry:
    return KeyRegistry(WINDOW, 100.0 if complete else 100.0 + WINDOW, max_keys, max_bytes)


def test_key_is_present_from_its_begin_until_a_window_after_its_end() -> None:
    """A key that is forgotten too early lets its job run twice."""
    registry = new_registry()
    assert registry.state(100.0, 7) == KeyState.ABSENT
    registry.begin(100.0, 7, "r1")
    assert registry.state(100.0 + 2 * WINDOW, 7) == KeyState.PRESENT  # in progress, also after a long stall
    registry.end(300.0, 7, True, None)
    assert registry.state(300.0 + WINDOW - 0.1, 7) == KeyState.PRESENT
    assert registry.state(300.0 + WINDOW, 7) == KeyState.ABSENT
    registry.begin(400.0, 8, "r2")
    registry.end(401.0, 8, False, None)  # proven never to have run
    assert registry.state(401.0, 8) == KeyState.ABSENT
    assert len(registry) == 1


def test_keys_of_an_earlier_incarnation_are_unknown_without_its_records() -> None:
    """Else a job of the earlier incarnation could run again after a restart with an empty folder."""
    uncertain, certain = new_registry(complete=False), new_registry()
    assert (uncertain.state(100.0, 7), certain.state(100.0, 7)) == (KeyState.UNKNOWN, KeyState.ABSENT)
    assert uncertain.state(100.0 + WINDOW, 7) == KeyState.ABSENT
    assert certain.restore(100.0, 7, 90.0, "r1")
    assert certain.state(149.9, 7) == KeyState.PRESENT
    assert certain.state(150.0, 7) == KeyState.ABSENT
    assert not certain.restore(100.0, 8, 40.0, "r2")  # expired
    assert certain.restore(100.0, 9, 5000.0, "r3")  # the clock was set back
    assert certain.state(100.0 + WINDOW - 0.1, 9) == KeyState.PRESENT
    assert certain.state(100.0 + WINDOW, 9) == KeyState.ABSENT


def test_owner_record_limits_the_uncertain_time_of_its_own_dispatcher() -> None:
    """With a copied, damaged or missing record the keys must be uncertain for a whole window."""
    assert key_records.uncertain_until(None, "n", 1, 100.0, WINDOW) == 160.0  # an empty folder
    assert key_records.uncertain_until(key_records.encode_owner("n", 1, 0.0), "n", 1, 100.0, WINDOW) == 0.0
    # Killed again soon after a start with an empty folder: keys from before that start are still uncertain.
    assert (
        key_records.uncertain_until(key_records.encode_owner("n", 1, 150.0), "n", 1, 100.0, WINDOW) == 150.0
    )
    assert (
        key_records.uncertain_until(key_records.encode_owner("n", 1, 1e9), "n", 1, 100.0, WINDOW) == 160.0
    )  # the clock was set back
    for other in (
        key_records.encode_owner("m", 1, 0.0),
        key_records.encode_owner("n", 2, 0.0),
        b"",
        b"1234",
        key_records.encode_owner("n", 1, float("nan")),
    ):
        assert key_records.uncertain_until(other, "n", 1, 100.0, WINDOW) == 160.0


def test_results_over_the_byte_limit_are_dropped_but_their_keys_stay() -> None:
    """A dropped result must not make the key absent, or its job would run again."""
    registry = new_registry(max_bytes=10)
    for key, request, result in ((1, "a", b"12345678"), (2, "b", b"123")):
        registry.begin(100.0, key, request)
        registry.end(101.0, key, True, result)
    assert registry.result(102.0, 1) == b"12345678"
    assert registry.result(102.0, 2) is None
    assert registry.state(102.0, 2) == KeyState.PRESENT
    assert registry.results_dropped == 1
    registry.restore(102.0, 3, 101.0, "c")
    assert registry.record_late_result(103.0, "c", b"x")
    assert registry.result(103.0, 3) == b"x"
    assert not registry.record_late_result(103.0, "c", b"y")
    assert not registry.record_late_result(103.0, "stranger", b"z")
    registry.expire(101.0 + 2 * WINDOW)
    assert len(registry) == 0
    assert registry.result(101.0 + 2 * WINDOW, 1) is None
    registry.begin(300.0, 4, "d")
    registry.end(301.0, 4, True, b"1234567890")  # the first result's bytes are free again
    assert registry.result(302.0, 4) == b"1234567890"


def test_key_that_begins_again_after_its_window_frees_its_old_result() -> None:
    """Else the bytes of old results would count against the limit until no result is cached any more."""
    registry = new_registry(max_bytes=10)
    for turn in range(4):  # without `expire` in between
        at = 100.0 + 2 * WINDOW * turn
        registry.begin(at, 1, f"r{turn}")
        assert not registry.record_late_result(at, f"r{turn - 1}", b"late for the life before")
        registry.end(at, 1, True, b"12345678")
        assert registry.result(at, 1) == b"12345678"
    registry.begin(900.0, 2, "twice")
    assert not registry.record_late_result(900.0, "twice", b"12345678")
    assert registry.take_limit_counts() == (0, 1)
    registry.expire(900.0)
    assert registry.record_late_result(900.0, "twice", b"12345678")
    registry.end(901.0, 2, True, b"87654321")  # of another attempt; the bytes are counted once
    assert registry.result(901.0, 2) == b"12345678"
    registry.begin(1100.0, 3, "next")
    registry.end(1100.0, 3, True, b"1234567890")
    registry.expire(1100.0)
    assert registry.take_limit_counts() == (0, 1)
    assert 2 not in registry
    assert 3 in registry


def test_full_registry_answers_unknown_after_it_has_forgotten_a_key() -> None:
    """A forgotten key that counted as absent would let its job run twice."""
    registry = new_registry(max_keys=3)
    for key in range(4):
        registry.begin(100.0, key, f"r{key}")
        registry.end(100.0, key, True, None)
    assert registry.take_limit_counts() == (1, 0)
    assert registry.take_limit_counts() == (0, 0)
    assert len(registry) == 3
    assert registry.state(101.0, 0) == KeyState.UNKNOWN
    assert registry.state(101.0, 3) == KeyState.PRESENT
    assert registry.state(101.0, 99) == KeyState.UNKNOWN
    assert registry.state(100.0 + WINDOW, 99) == KeyState.ABSENT


# A key is absent only if each of the other five dispatchers answers so; one positive answer is enough for
# present.
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
    """One dispatcher of `fleet_day`: its registry, the key records on its disk, and whether it runs."""

    def __init__(self) -> None:
        self.disk: dict[int, tuple[float, str]] = {}
        self.up = True
        self.uncertain_until = 0.0
        self.start(100.0, True)

    def start(self, now: float, complete: bool) -> None:
        known = key_records.encode_owner("n", 1, self.uncertain_until) if complete else None
        self.uncertain_until = key_records.uncertain_until(known, "n", 1, now, WINDOW)
        self.registry = KeyRegistry(WINDOW, self.uncertain_until, 1000, 10_000)
        for key, (at, request) in self.disk.items():
            self.registry.restore(now, key, at, request)


def fleet_day(seed: int, has_records: bool, mistake: str = "") -> tuple[int, int, int, list[float]]:
    """Play five registries with answers, losses, stops and kills in an order drawn by the seed.

    Returns:
        The numbers of keys that ran, of refusals and of kills, and the seconds between two runs of one key
        that were less than a window apart, as an observer of all nodes sees them.
    """
    rng = random.Random(seed)
    nodes, now, refused, kills = [Node() for _ in range(5)], 100.0, 0, 0
    # The first attempt of each key, which is not marked as a retry, and the node that it goes to.
    first = {key: rng.randrange(5) for key in range(12)}
    ran: dict[int, float] = {}
    too_soon: list[float] = []
    open_queries: list[tuple[int, int, KeyInquiry]] = []  # node, key, its query
    for step in range(1500):
        now += rng.expovariate(20.0)
        at, key = rng.randrange(5), rng.randrange(12)
        node = nodes[at]
        if step % 60 == 30:
            node.up = not node.up
            if node.up and rng.random() < 0.5:  # it was killed, not stopped, and its connections are closed
                kills += 1
                open_queries = [held for held in open_queries if held[0] != at]
                first = {k: n for k, n in first.items() if n != at}
                node.start(now, has_records or mistake == "no wait")
        elif not node.up:
            continue
        elif rng.random() < 0.4:
            repeat = first.get(key) != at or rng.random() < 0.8
            if not repeat:
                del first[key]
            if node.registry.state(now, key) == KeyState.PRESENT:
                refused += 1
                continue
            query_others = repeat or node.registry.is_claimed(now, key) and mistake != "no claim"
            if query_others and now < node.registry.uncertain_until:
                refused += 1
                continue
            if mistake != "from its send":
                node.registry.begin(now, key, f"{at}-{key}")
            open_queries.append(
                (at, key, KeyInquiry(frozenset(range(5)) - {at} if query_others else frozenset()))
            )
        elif open_queries:  # one query advances: an answer arrives or is lost, or the querying node decides
            index = rng.randrange(len(open_queries))
            querying, key, inquiry = open_queries[index]
            unanswered = sorted(inquiry.unanswered)
            if not nodes[querying].up:
                continue
            if unanswered and rng.random() < 0.95:
                other = rng.choice(unanswered)
                if nodes[other].up and rng.random() < 0.9:
                    inquiry.record(other, nodes[other].registry.claim_for_peer(now, key))
                continue
            del open_queries[index]
            answers = list(inquiry.answers.values())
            has_majority = (
                mistake == "majority"
                and KeyState.PRESENT not in answers
                and answers.count(KeyState.ABSENT) >= 2
            )
            if inquiry.verdict == KeyState.ABSENT or has_majority:
                nodes[querying].registry.begin(now, key, f"{querying}-{key}")
                if has_records:
                    nodes[querying].disk[key] = now, f"{querying}-{key}"
                if now - ran.get(key, 0.0) < WINDOW:
                    too_soon.append(now - ran[key])
                ran[key] = now
                nodes[querying].registry.end(now, key, True, None)
            else:
                refused += 1
                nodes[querying].registry.end(now, key, False, None)
    return len(ran), refused, kills, too_soon


@pytest.mark.parametrize("has_records", [True, False])
def test_no_key_runs_twice_while_nodes_are_killed_and_stopped(has_records: bool) -> None:
    """The whole protocol of queries, claims and records, with and without key records on the disk."""
    days = [fleet_day(seed, has_records) for seed in range(120)]
    assert all(too_soon == [] for _, _, _, too_soon in days)
    assert all(refused > 20 for _, refused, _, _ in days)
    assert sum(keys_run for keys_run, _, _, _ in days) > 300
    assert sum(kills for _, _, kills, _ in days) > 300


@pytest.mark.parametrize("mistake", ["no wait", "no claim", "from its send", "majority"])
def test_observer_finds_each_deliberate_mistake(mistake: str) -> None:
    """Each rule of the protocol is needed: without it some seed shows a key that runs twice.

    The mistakes: a start without key records that is not uncertain for a window, a query that leaves no
    claim, a key that is registered only when its job is sent, and a majority of answers in place of all.
    """
    assert any(fleet_day(seed, False, mistake)[3] for seed in range(120))


# Lost, repeated and mixed-up parts must give the whole first result or none, never a mixture of two.
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


def test_only_results_that_fit_into_16_parts_are_offered_to_peers() -> None:
    """A peer that fetched a larger result would never get it whole."""
    registry = new_registry(max_bytes=10_000)
    for key, size in ((1, 16 * MAX_PART_BYTES), (2, 16 * MAX_PART_BYTES + 1)):
        registry.begin(100.0, key, f"r{key}")
        registry.end(101.0, key, True, bytes(size))
    assert [registry.claim_for_peer(102.0, key) for key in (1, 2, 3)] == [
        KeyState.RESULT_CACHED,
        KeyState.PRESENT,
        KeyState.ABSENT,
    ]


def test_messages_and_records_round_trip_and_malformed_ones_are_rejected() -> None:
    """Truncated, too long or foreign datagrams must decode to None, damaged records raise ValueError."""
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


def test_key_that_begins_again_at_once_keeps_its_newer_record() -> None:
    """The deletion of the old record is still pending then, and must not delete the new record."""

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
        service = IdempotencyKeyService(
            config,
            disk,
            10,
            10,
            SimpleNamespace(handlers={}),
            TimerWheel(lambda: 100.0, metrics.log_exception),
            metrics,
        )  # type: ignore[arg-type]
        first, second = (Job(name, 0, 0, 9.0, 100.0, b"/", b"", idempotency_key="k") for name in ("a", "b"))
        assert (await service.register(first)).registered
        service.release(first, False, None)  # spawns the delete
        assert (await service.register(second)).registered
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return disk.changes

    changes = asyncio.run(scenario())
    records = [change for change in changes if change.key.startswith(b"key/")]  # type: ignore[attr-defined]
    assert len(records) == 2
    assert all(isinstance(change, Put) for change in records)

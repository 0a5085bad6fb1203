"""Streams that can be come back to: whose they are, how long they stay, and how much is kept."""

from __future__ import annotations

from beaconhinge.progress.feed import ProgressFeed
from beaconhinge.progress.registry import ENTRY_OVERHEAD_BYTES, StreamEntry, StreamRegistry


def registry(**changes: float) -> StreamRegistry:
    told = {
        "detached_s": 5.0,
        "keep_outcome_s": 10.0,
        "max_detached": 2,
        "max_finished_bytes": 10 * ENTRY_OVERHEAD_BYTES,
        **changes,
    }
    return StreamRegistry(**told)  # type: ignore[arg-type]


def add(book: StreamRegistry, job: str = "a") -> StreamEntry:
    entry = book.add(job, 1, f"token-{job}", ProgressFeed())
    book.attach(entry)
    return entry


def end(book: StreamRegistry, entry: StreamEntry, size: int, now: float) -> None:
    entry.feed.outcome({})
    book.job_ended(entry, size, now)


def test_only_the_right_token_of_the_right_tenant_opens() -> None:
    book = registry()
    entry = add(book)
    assert book.find("a", "token-a", 1) is entry is book.find("a", "token-a", None)
    for job, token, tenant in (("a", "token-b", 1), ("a", "", 1), ("b", "token-a", 1), ("a", "token-a", 0)):
        assert book.find(job, token, tenant) is None


def test_a_job_nobody_reads_is_given_up_once_when_its_time_is_over() -> None:
    book = registry()
    entry = add(book)
    assert not book.reader_left(entry, 1, 100.0)
    assert book.detached == 1
    assert book.expire(104.9) == []
    assert book.expire(105.0) == [entry]
    assert book.expire(200.0) == []


def test_one_that_comes_back_in_time_keeps_it() -> None:
    book = registry()
    entry = add(book)
    book.reader_left(entry, 1, 100.0)
    assert book.attach(entry) == 2
    assert book.expire(1000.0) == []
    assert book.detached == 0
    assert not book.reader_left(entry, 1, 100.0)  # the older reader's going means nothing
    assert entry.attached


def test_by_default_and_over_the_limit_a_job_is_given_up_at_once() -> None:
    book = registry(detached_s=0.0)
    assert book.reader_left(add(book), 1, 100.0)
    book = registry(max_detached=2)
    assert [book.reader_left(add(book, job), 1, 100.0) for job in "abc"] == [False, False, True]


def test_outcomes_are_kept_for_their_time_within_the_bytes() -> None:
    book = registry()
    entries = [add(book, job) for job in "abcd"]
    for entry in entries:
        end(book, entry, 2 * ENTRY_OVERHEAD_BYTES, 100.0)  # three times the overhead each, ten are kept
    assert list(book.finished_entries) == ["b", "c", "d"]
    assert "a" not in book.entries
    for entry in entries:
        book.reader_left(entry, 1, 101.0)
    assert book.expire(109.9) == []
    assert len(book.entries) == 3
    book.expire(110.0)
    assert not book.entries
    assert not book.finished_entries
    assert book.finished_bytes == 0


def test_one_that_is_being_read_is_not_forgotten_under_its_reader() -> None:
    book = registry()
    entry = add(book)
    end(book, entry, 0, 100.0)
    book.expire(200.0)
    assert book.entries["a"] is entry
    book.reader_left(entry, 1, 200.0)
    book.expire(200.0)
    assert not book.entries


def test_an_id_used_again_forgets_the_kept_outcome_and_no_more() -> None:
    book = registry()
    old = add(book)
    end(book, old, 100, 100.0)
    new = add(book)
    book.job_ended(old, 100, 101.0)
    assert book.entries["a"] is new
    assert book.finished_bytes == 0


def test_nothing_is_kept_where_no_time_is_given() -> None:
    book = registry(keep_outcome_s=0.0)
    end(book, add(book), 0, 100.0)
    assert not book.entries

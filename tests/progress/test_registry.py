"""The registry of streams that clients may return to: access, expiry, and the limit on kept outcomes."""

from __future__ import annotations

from beaconhinge.progress.feed import ProgressFeed
from beaconhinge.progress.registry import ENTRY_OVERHEAD_BYTES, StreamEntry, StreamRegistry


def registry(**changes: float) -> StreamRegistry:
    arguments = {
        "detached_s": 5.0,
        "keep_outcome_s": 10.0,
        "max_detached": 2,
        "max_finished_bytes": 10 * ENTRY_OVERHEAD_BYTES,
        **changes,
    }
    return StreamRegistry(**arguments)  # type: ignore[arg-type]


def add_attached(streams: StreamRegistry, job: str = "a") -> StreamEntry:
    entry = streams.add(job, 1, f"token-{job}", ProgressFeed())
    streams.attach(entry)
    return entry


def finish(streams: StreamRegistry, entry: StreamEntry, size: int, now: float) -> None:
    entry.feed.outcome({})
    streams.job_ended(entry, size, now)


def test_find_requires_the_token_and_the_tenant() -> None:
    streams = registry()
    entry = add_attached(streams)
    assert streams.find("a", "token-a", 1) is entry is streams.find("a", "token-a", None)
    for job, token, tenant in (("a", "token-b", 1), ("a", "", 1), ("b", "token-a", 1), ("a", "token-a", 0)):
        assert streams.find(job, token, tenant) is None


def test_job_without_a_reader_is_given_up_once_after_its_time() -> None:
    """The check runs at an interval: a job given up must not be reported again while it ends."""
    streams = registry()
    entry = add_attached(streams)
    assert not streams.reader_left(entry, 1, 100.0)
    assert streams.detached == 1
    assert streams.expire(104.9) == []
    assert streams.expire(105.0) == [entry]
    assert streams.expire(200.0) == []


def test_reader_that_returns_in_time_keeps_the_job() -> None:
    streams = registry()
    entry = add_attached(streams)
    streams.reader_left(entry, 1, 100.0)
    assert streams.attach(entry) == 2
    assert streams.expire(1000.0) == []
    assert streams.detached == 0
    assert not streams.reader_left(entry, 1, 100.0)  # the replaced reader does not detach the stream
    assert entry.attached


def test_job_is_given_up_at_once_without_time_or_over_the_limit() -> None:
    streams = registry(detached_s=0.0)
    assert streams.reader_left(add_attached(streams), 1, 100.0)
    streams = registry(max_detached=2)
    assert [streams.reader_left(add_attached(streams, job), 1, 100.0) for job in "abc"] == [
        False,
        False,
        True,
    ]


def test_outcomes_are_kept_for_their_time_within_the_byte_limit() -> None:
    streams = registry()
    entries = [add_attached(streams, job) for job in "abcd"]
    for entry in entries:
        finish(streams, entry, 2 * ENTRY_OVERHEAD_BYTES, 100.0)  # each counts as 3 overheads; the limit is 10
    assert list(streams.finished_entries) == ["b", "c", "d"]
    assert "a" not in streams.entries
    for entry in entries:
        streams.reader_left(entry, 1, 101.0)
    assert streams.expire(109.9) == []
    assert len(streams.entries) == 3
    streams.expire(110.0)
    assert not streams.entries
    assert not streams.finished_entries
    assert streams.finished_bytes == 0


def test_finished_stream_with_a_reader_is_not_removed() -> None:
    """Expiry while the outcome is being written would take the stream away from its reader."""
    streams = registry()
    entry = add_attached(streams)
    finish(streams, entry, 0, 100.0)
    streams.expire(200.0)
    assert streams.entries["a"] is entry
    streams.reader_left(entry, 1, 200.0)
    streams.expire(200.0)
    assert not streams.entries


def test_reused_id_removes_the_kept_outcome_only() -> None:
    """The end of an old job must not touch the stream of a new job with the same id."""
    streams = registry()
    old = add_attached(streams)
    finish(streams, old, 100, 100.0)
    new = add_attached(streams)
    streams.job_ended(old, 100, 101.0)
    assert streams.entries["a"] is new
    assert streams.finished_bytes == 0


def test_no_outcome_is_kept_without_a_time() -> None:
    streams = registry(keep_outcome_s=0.0)
    finish(streams, add_attached(streams), 0, 100.0)
    assert not streams.entries

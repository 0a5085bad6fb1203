"""A stream's events: milestones are never lost, progress never decreases, one progress event is kept at most."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.progress.feed import (
    ACCEPTED,
    OUTCOME,
    PROGRESS,
    STARTED,
    FeedReader,
    ProgressEvent,
    ProgressFeed,
)


def names(events: list[ProgressEvent]) -> list[str]:
    return [event.name for event in events]


def started_feed() -> ProgressFeed:
    feed = ProgressFeed()
    feed.accepted({"id": "r1"})
    feed.started(0)
    return feed


def test_events_are_numbered_and_handed_out_once() -> None:
    feed = started_feed()
    reader = FeedReader(feed, 0.0)
    assert [(s.number, s.name) for s in reader.next_events(0.0)] == [(1, ACCEPTED), (2, STARTED)]
    feed.progress(0, 0.25)
    assert [(s.number, dict(s.content)) for s in reader.next_events(0.1)] == [
        (3, {"attempt": 0, "share": 0.25})
    ]
    feed.outcome({"status": 200})
    assert names(reader.next_events(0.2)) == [OUTCOME]
    assert reader.done
    assert reader.next_events(9.0) == []


def test_only_the_newest_pending_progress_is_kept() -> None:
    """Progress that waits for a slow reader must not pile up, and must not displace milestones."""
    feed = started_feed()
    reader = FeedReader(feed, 0.0)
    for share in (0.1, 0.2, 0.3):
        feed.progress(0, share)
    feed.started(1)
    events = reader.next_events(0.0)
    assert names(events) == [ACCEPTED, STARTED, PROGRESS, STARTED]
    assert events[2].content["share"] == 0.3


def test_late_repeated_and_slower_reports_are_ignored() -> None:
    """Call-backs arrive late or twice, and two attempts may run at once: progress must not go down."""
    feed = started_feed()
    feed.progress(0, 0.6)
    newest = feed.latest_progress
    for attempt, share in ((0, 0.6), (0, 0.4), (1, 0.5), (1, float("nan")), (0, 1.5), (0, -1.0)):
        feed.progress(attempt, share)
    assert feed.latest_progress is newest
    feed.progress(1, 0.7)  # attempt 1 is ahead now
    assert feed.latest_progress is not None
    assert feed.latest_progress.content == {"attempt": 1, "share": 0.7}


def test_restart_is_announced_and_share_never_decreases() -> None:
    """A new attempt after a lost one starts at 0, below the share that the client has already seen."""
    feed = started_feed()
    feed.progress(0, 0.9)
    feed.attempt_lost(0)
    feed.started(1)
    assert feed.milestones[-1].content == {"attempt": 1, "restart": True}
    feed.progress(1, 0.5)
    assert feed.share == 0.9
    feed.progress(0, 0.95)  # from a lost attempt
    assert feed.share == 0.9
    feed.progress(1, 0.91)
    assert feed.share == 0.91


def test_second_attempt_beside_the_first_is_no_restart() -> None:
    feed = started_feed()
    feed.started(1)
    assert feed.milestones[-1].content == {"attempt": 1, "restart": False}


def test_no_event_follows_the_outcome() -> None:
    """Call-backs of other attempts may still arrive after the job has been answered."""
    feed = started_feed()
    feed.outcome({"status": 502})
    feed.outcome({"status": 200})
    feed.progress(0, 0.5)
    feed.started(3)
    assert names(feed.milestones) == [ACCEPTED, STARTED, OUTCOME]
    assert feed.latest_progress is None


def test_progress_is_rate_limited_and_milestones_are_not() -> None:
    feed = started_feed()
    reader = FeedReader(feed, 0.0, events_per_s=2.0)
    reader.next_events(0.0)
    feed.progress(0, 0.1)
    assert names(reader.next_events(0.0)) == [PROGRESS]
    feed.progress(0, 0.2)
    assert reader.next_events(0.4) == []
    assert abs(reader.seconds_to_wait(0.4) - 0.1) < 1e-9
    feed.progress(0, 0.3)
    assert [s.content["share"] for s in reader.next_events(0.5)] == [0.3]
    feed.progress(0, 0.4)
    feed.outcome({"status": 200})
    assert reader.seconds_to_wait(0.6) == 0.0
    assert names(reader.next_events(0.6)) == [OUTCOME]


def test_keep_alive_is_due_after_its_interval_of_silence() -> None:
    reader = FeedReader(started_feed(), 0.0, keep_alive_s=5.0)
    reader.next_events(1.0)
    assert not reader.keep_alive_due(5.9)
    assert reader.seconds_to_wait(2.0) == 4.0
    assert reader.keep_alive_due(6.0)
    assert not reader.keep_alive_due(6.1)


def test_returning_reader_gets_the_events_it_missed() -> None:
    """A client reconnects with the id of its last event; this must neither repeat nor skip milestones."""
    feed = started_feed()
    feed.progress(0, 0.5)
    feed.attempt_lost(0)
    feed.started(1)
    feed.outcome({"status": 200})
    assert names(FeedReader(feed, 0.0, last_seen=1).next_events(0.0)) == [STARTED, STARTED, OUTCOME]
    assert names(FeedReader(feed, 0.0, last_seen=4).next_events(0.0)) == [OUTCOME]
    for beyond in (5, 99, 10**9):  # an id above the last event counts as the last one
        reader = FeedReader(feed, 0.0, last_seen=beyond)
        assert reader.next_events(0.0) == []
        assert reader.done


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("started"), st.integers(0, 3)),
        st.tuples(st.just("attempt_lost"), st.integers(0, 3)),
        st.tuples(st.just("progress"), st.integers(0, 3), st.floats(-0.5, 1.5)),
        st.tuples(st.just("read"), st.floats(0, 1)),
        st.tuples(st.just("come back"), st.integers(-2, 30)),
        st.tuples(st.just("outcome")),
    ),
    max_size=60,
)


# Guards against orders of notifications, reads and reconnections that repeat or reorder events or pile them
# up.
@given(EVENTS)
def test_whatever_happens_in_whatever_order(events: list[tuple[object, ...]]) -> None:
    """Numbers rise, shares rise, nothing comes behind the one outcome, and what waits is bounded."""
    feed, now = ProgressFeed(), 0.0
    feed.accepted({})
    reader = FeedReader(feed, now)
    shares: list[float] = []
    seen: list[ProgressEvent] = []
    for what, *rest in events:
        if what == "read":
            now += rest[0]  # type: ignore[operator]
            seen += reader.next_events(now)
        elif what == "come back":
            last = seen[-1].number if seen else 0
            reader = FeedReader(feed, now, last_seen=last)
        elif what == "outcome":
            feed.outcome({"status": 200})
        else:
            getattr(feed, what)(*rest)  # type: ignore[call-overload]
        assert len(feed.events_after(0)) <= 1 + 4 + 1 + 1  # accepted, four starts, a progress, the outcome
    feed.outcome({"status": 502})
    seen += reader.next_events(now + 100.0)
    numbers = [said.number for said in seen]
    shares = [float(said.content["share"]) for said in seen if said.name == PROGRESS]
    assert numbers == sorted(set(numbers))
    assert shares == sorted(set(shares))
    assert [said.name for said in seen].count(OUTCOME) == 1
    assert seen[-1].name == OUTCOME
    assert seen[0].name == ACCEPTED
    assert reader.done

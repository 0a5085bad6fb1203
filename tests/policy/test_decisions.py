"""The mechanism piece by piece: buckets, shares, rise and cut, peers, cold cap, outcomes, health."""

from __future__ import annotations

import pytest
from helpers import PAIRS, job, members, outcome, sends, settings, started
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.gossip import codec
from beaconhinge.gossip.aggregation import max_min, smooth
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import REPORT_TIMER, TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import (
    RETRY_FLAG,
    AttemptOutcome,
    NoticeKind,
    Semantics,
    UpdateKind,
    WorkerState,
)
from beaconhinge.policy.stall_detection import MIN_RELATIVE_SPEED
from beaconhinge.quota_snapshots import record


def finals(actions: list[interface.Action]) -> list[type]:
    return [type(a) for a in actions if isinstance(a, (interface.Reject, interface.Fail))]


# ---- shares and rate


def test_max_min_lends_unused_share() -> None:
    assert max_min(10, [2, 20, 20], [1, 1, 1]) == pytest.approx([10 / 3, 4, 4])


def test_max_min_keeps_the_whole_share_of_a_quiet_tenant_as_its_limit() -> None:
    assert max_min(10, [1, 1], [1, 1]) == pytest.approx([5, 5])


def test_max_min_by_told_shares() -> None:
    assert max_min(10, [50, 50], [3, 1]) == pytest.approx([7.5, 2.5])


def test_first_rate_estimate_is_not_biased_low() -> None:
    assert smooth(0.0, 10.0, 1.0, 0.0) == pytest.approx(10.0)
    assert smooth(10.0, 10.0, 1.0, 2.0) == pytest.approx(10.0)


def test_rate_is_cut_once_an_interval_and_rises_again() -> None:
    dispatcher = started()
    for number in range(1, 9):
        dispatcher.handle(100.0 + number * 0.1, job(number))
    dispatcher.admission.rejections, dispatcher.admission.sends = 5, 8
    dispatcher.handle(101.5, interface.TimerFired(TICK_TIMER))
    first = dispatcher.admission.fleet_rate
    assert first < float("inf")
    dispatcher.admission.rejections, dispatcher.admission.sends = 5, 8
    dispatcher.handle(101.6, interface.TimerFired(TICK_TIMER))
    assert dispatcher.admission.fleet_rate == first
    dispatcher.admission.rejections = 0
    dispatcher.handle(102.6, interface.TimerFired(TICK_TIMER))
    assert dispatcher.admission.fleet_rate > first


def test_over_rate_tenant_is_refused_unsent_and_the_other_is_not() -> None:
    dispatcher = started(orgs__count="2", orgs__0__share="0.5", orgs__1__share="0.5")
    for number in range(1, 40):
        dispatcher.handle(100.0, job(number, tenant=0))
    dispatcher.handle(100.0, job(40, tenant=1))
    dispatcher.admission.fleet_rate = 4.0
    dispatcher.reports.report()
    dispatcher.admission.allocate_rates({(0, 0): 20.0, (1, 0): 0.5})
    for bucket in dispatcher.admission.buckets.values():
        bucket.demand = {0: 20.0, 1: 0.5}[0 if bucket is dispatcher.admission.buckets[(0, 0)] else 1]
    dispatcher.admission.allocate_rates({(0, 0): 20.0, (1, 0): 0.5})
    dispatcher.admission.buckets[(0, 0)].tokens = 0.0
    dispatcher.admission.buckets[(1, 0)].tokens = 1.0
    refused = dispatcher.handle(100.1, job(41, tenant=0))
    assert finals(refused) == [interface.Reject] and not sends(refused)
    assert finals(dispatcher.handle(100.1, job(42, tenant=1))) == []


def test_retry_after_spreads_clients() -> None:
    dispatcher = started(count=0)
    advice = set()
    for number in range(1, 20):
        for action in dispatcher.handle(100.0, job(number, remaining=0.05)):
            if isinstance(action, interface.Reject):
                advice.add(action.retry_after)
    assert len(advice) == 19 and all(1.0 <= a <= 2.0 for a in advice)


def test_a_repeat_past_its_worth_is_refused_at_arrival() -> None:
    dispatcher = started()
    assert sends(dispatcher.handle(100.0, job(1)))
    late = dispatcher.handle(103.0, job(2, remaining=0.8))
    assert finals(late) == [interface.Reject] and not sends(late)


# ---- peers


def group(seed: int, number: int) -> Dispatcher:
    return started(seed=seed, groupSize="2", myNumber=str(number), policyLimits__peers="true")


def report(incarnation: int, sequence: int, allowed: float, out: int = 0) -> interface.PeerMessage:
    slots = [(codec.key(100), out)] if out else []
    body = codec.Report(incarnation, sequence, 0.5, [(0, 0, allowed, 0.0)], slots_out=slots)
    return interface.PeerMessage(1, codec.encode(body))


def news(incarnation: int, sequence: int, *entries: tuple[int, int]) -> interface.PeerMessage:
    told = [(codec.key(worker), what) for worker, what in entries]
    return interface.PeerMessage(1, codec.encode_news(codec.News(incarnation, sequence, told)))


def test_a_new_bucket_reports_at_once() -> None:
    actions = group(1, 0).handle(100.0, job(1))
    assert any(isinstance(a, interface.SendToPeer) for a in actions)


def test_one_nth_until_the_peer_is_heard_then_by_demand() -> None:
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, job(1))
    dispatcher.handle(100.5, interface.TimerFired(REPORT_TIMER))
    assert dispatcher.admission.own_demand_share(dispatcher.admission.total_demand()) == 0.5
    dispatcher.handle(100.6, report(5, 1, 50.0))
    assert dispatcher.admission.own_demand_share(dispatcher.admission.total_demand()) < 0.1


def test_stale_repeated_and_foreign_reports_change_nothing() -> None:
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 10, 5.0))
    before = dict(dispatcher.fleet.peers[1].demand)
    for payload in (
        report(5, 10, 90.0),
        report(5, 9, 90.0),
        interface.PeerMessage(1, b"xx"),
        interface.PeerMessage(3, b""),
    ):
        dispatcher.handle(100.1, payload)
    assert dispatcher.fleet.peers[1].demand == before and 3 not in dispatcher.fleet.peers


def test_a_restarted_peer_loses_its_old_usage_at_once() -> None:
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 10, 500.0))
    dispatcher.handle(100.5, report(6, 1, 0.5))
    assert sum(dispatcher.fleet.peers[1].demand.values()) == pytest.approx(1.0, rel=0.1)


def test_a_silent_peer_is_aged_out_with_its_slots() -> None:
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 1, 5.0, out=3))
    assert dispatcher.limits.slots_in_flight(dispatcher.workers[100]) == 3
    dispatcher.handle(110.0, interface.TimerFired(TICK_TIMER))
    assert (
        dispatcher.limits.slots_in_flight(dispatcher.workers[100]) == 0
        and not dispatcher.fleet.peers[1].demand
    )


def test_news_count_what_a_peer_has_out_and_a_report_mends_what_was_lost() -> None:
    dispatcher, worker = group(1, 0), 100
    out = lambda: dispatcher.limits.slots_in_flight(dispatcher.workers[worker])  # noqa: E731
    dispatcher.handle(100.0, news(5, 1, (worker, codec.SENT)))
    assert out() == 1
    dispatcher.handle(100.0, report(5, 2, 1.0, out=1))
    sent, ended = (worker, codec.SENT), (worker, codec.SERVED)
    for message, there in (
        (news(5, 3, sent, sent), 3),
        (news(5, 3, sent, sent), 3),
        (news(5, 2, sent), 3),
        (news(5, 5, ended, ended, ended, ended), 0),
        (news(5, 6, sent), 1),
        (report(5, 7, 1.0, out=4), 4),
        (news(6, 8, sent), 1),
        (report(6, 9, 1.0, out=2), 2),
    ):
        dispatcher.handle(100.1, message)
        assert out() == there
    dispatcher.handle(100.2, interface.PeerMessage(1, news(6, 10, sent).payload[:-1]))
    dispatcher.handle(100.2, news(6, 10, (999, codec.SENT)))  # of a worker that the own list has not named
    assert out() == 2 and 999 not in dispatcher.workers


def test_failures_that_peers_tell_of_bench_a_worker_and_their_successes_bring_it_back() -> None:
    dispatcher = group(1, 0)
    dispatcher.handle(100.0, report(5, 1, 1.0))
    worker = dispatcher.workers[100]
    dispatcher.handle(100.0, news(5, 2, (100, codec.FAILED)))
    assert not worker.on_probation  # one word alone does not bench
    dispatcher.handle(100.1, news(5, 3, (100, codec.FAILED)))
    assert worker.on_probation and worker.ejected_until > 100.1
    for sequence in range(4, 8):
        dispatcher.handle(100.2, news(5, sequence, (100, codec.SERVED)))
    assert not worker.on_probation and worker.ejected_until < 100.2


def test_a_peer_that_holds_all_slots_does_not_starve_this_dispatcher() -> None:
    dispatcher = group(1, 0)
    body = codec.Report(5, 1, 0.5, slots_out=[(codec.key(100 + i), 2) for i in range(4)])
    dispatcher.handle(100.0, interface.PeerMessage(1, codec.encode(body)))
    assert sends(dispatcher.handle(100.0, job(1)))


def test_report_bytes_round_trip_and_stay_in_the_limit() -> None:
    full = codec.Report(
        7, 7000, 0.5, [(t, 0, 1.0, 2.0) for t in range(20)], [(0, 5.25)], [(w, 2) for w in range(90)]
    )
    data = codec.encode(full)
    assert len(data) <= codec.MAX_BYTES
    back = codec.decode(data)
    assert isinstance(back, codec.Report) and back.limits == full.limits
    assert back.slots_out and back.slots_out == full.slots_out[: len(back.slots_out)]
    for told, was in zip(back.buckets, full.buckets, strict=True):
        assert told[:2] == was[:2] and told[2:] == pytest.approx(was[2:], rel=0.05)
    for bad in (data[:-1], data + b"\0", b"\0" + data[1:], b""):
        assert codec.decode(bad) is None
    short = codec.encode_news(codec.News(7, 300, [(w, w % 4) for w in range(300)]))
    again = codec.decode(short)
    assert len(short) <= codec.MAX_BYTES and isinstance(again, codec.News)
    assert (again.sequence, again.entries[5]) == (44, (5, 1)) and codec.decode(short[:-1]) is None


@given(st.binary(max_size=260))
def test_no_bytes_from_a_peer_raise_or_make_a_worker_known(data: bytes) -> None:
    dispatcher = group(1, 0)
    for payload in (data, bytes([codec.NEWS]) + data, bytes([codec.REPORT]) + data):
        dispatcher.handle(100.0, interface.PeerMessage(1, payload))
    assert set(dispatcher.workers) == {100, 101, 102, 103}


# ---- placement


def test_width_and_threshold_are_respected() -> None:
    dispatcher = started(count=2)
    for worker in dispatcher.workers.values():
        worker.learned_limit = 2.0
    placed = [sends(dispatcher.handle(100.0, job(n))) for n in range(1, 6)]
    assert [len(p) for p in placed] == [1, 1, 1, 1, 0]
    assert dispatcher.placement.queue.by_kind[-1]


def test_a_freed_slot_goes_to_the_held_job() -> None:
    dispatcher = started(count=1)
    dispatcher.workers[100].learned_limit = 1.0
    dispatcher.handle(100.0, job(1))
    assert not sends(dispatcher.handle(100.0, job(2)))
    assert [s.request for s in sends(dispatcher.handle(100.3, outcome(1, 100, AttemptOutcome.SERVED)))] == [2]


def test_threshold_learns_from_free_slots_and_from_full() -> None:
    dispatcher = started(
        count=1, report__source="answers", report__names="tps,x0", familyInfo__reportX0="free_slots"
    )
    dispatcher.handle(100.0, job(1))
    done = outcome(1, 100, AttemptOutcome.SERVED)
    done.load = {"x0": 4.1}
    dispatcher.handle(100.5, done)
    assert dispatcher.workers[100].learned_limit == 4.0
    for n in range(2, 6):
        dispatcher.handle(101.0, job(n))
    dispatcher.handle(101.1, outcome(5, 100, AttemptOutcome.REJECTED, latency=0.001))
    assert dispatcher.workers[100].learned_limit == 3.0 and dispatcher.admission.rejections == 1


def test_a_cold_worker_gets_less_than_a_warm_one_from_its_first_second() -> None:
    def placed(started_at: float, hint: float) -> int:
        dispatcher = started(count=0, groupSize="3")
        dispatcher.handle(
            102.0,
            interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=started_at)),
        )
        dispatcher.workers[100].learned_limit = dispatcher.limits.by_kind[0] = 8.0
        dispatcher.estimates.seconds_per_work = 1.0
        return sum(bool(sends(dispatcher.handle(102.0, job(n, size_hint=hint)))) for n in range(1, 20))

    # A third of 0.75 of fall_multiple x ramp x slots x tip_after is the work that may be sent in any second.
    assert placed(started_at=101.99, hint=0.1) == 8  # 0.8 s: light jobs fill the slots
    assert placed(started_at=98.0, hint=0.4) == 7  # 3.1 s
    assert placed(started_at=0.0, hint=0.4) == 8


def test_a_cold_workers_budget_counts_a_class_by_what_its_jobs_take_on_that_kind() -> None:
    """All classes were counted at the mean of all, weighed to short ones: long jobs pushed it over threefold."""

    def placed(cls: int, seconds: float) -> int:
        dispatcher = started(count=0, groupSize="3")
        dispatcher.handle(
            102.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=98.0))
        )
        dispatcher.workers[100].learned_limit = dispatcher.limits.by_kind[0] = 8.0
        dispatcher.estimates.seconds_per_work = 0.4
        for kind, work in ((0, seconds), (1, 0.1)):
            for _ in range(6):
                dispatcher.estimates.work_by_class.note(dispatcher.settings.classes[cls], kind, work, 1.0)
        return sum(bool(sends(dispatcher.handle(102.0, job(n, cls, size_hint=0.0)))) for n in range(1, 20))

    assert placed(cls=0, seconds=0.1) == 7  # at the mean of all, 0.4 s, of 3.1 s
    assert placed(cls=0, seconds=1.0) == placed(cls=2, seconds=1.0) == 3
    assert placed(cls=2, seconds=4.0) == 0


def test_a_cold_workers_budget_goes_by_its_kinds_slots_where_its_own_seem_more() -> None:
    dispatcher = started(count=0)
    dispatcher.handle(102.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=98.0)))
    (
        dispatcher.workers[100].learned_limit,
        dispatcher.limits.by_kind[0],
        dispatcher.estimates.seconds_per_work,
    ) = (
        8.0,
        2.0,
        1.0,
    )
    # 0.75 x 3 x 0.52 x 2 slots x 1 s: 2.3 s
    assert sum(bool(sends(dispatcher.handle(102.0, job(n, size_hint=0.4)))) for n in range(1, 20)) == 5


@pytest.mark.parametrize("books", [False, True])
def test_what_an_earlier_life_may_have_sent_to_a_cold_worker_counts_until_its_time_is_over(
    books: bool,
) -> None:
    """A process that was killed and came back in time had its budget anew; with books, which say nothing of that,
    also after this was mended: they moved the start back by which it is known.
    """
    dispatcher = started(count=0)  # at 100.0; the budget is over 1 s
    if books:
        record.restore(dispatcher, record.take(dispatcher, 100.0), 100.0, 0.0)
        dispatcher.quotas.tokens = [99.0] * len(dispatcher.quotas.tokens)
    for now, started_at, expected in ((100.9, 99.0, False), (100.95, 100.5, True), (101.1, 99.0, True)):
        dispatcher.handle(
            now,
            interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=started_at)),
        )
        dispatcher.workers[100].started_at = started_at
        dispatcher.workers[100].learned_limit = dispatcher.limits.by_kind[0] = 8.0
        assert bool(sends(dispatcher.handle(now, job(int(now * 100), size_hint=0.1)))) is expected


def test_a_restart_under_the_same_id_is_cold_again() -> None:
    dispatcher = started(count=1)
    dispatcher.workers[100].failure_rate = 0.9
    dispatcher.handle(105.0, interface.MembershipUpdate(UpdateKind.CHANGES, 2, members(1, started_at=105.0)))
    worker = dispatcher.workers[100]
    assert worker.failure_rate == 0.0 and worker.started_at == 105.0


def test_drained_and_missing_workers_get_nothing_at_once() -> None:
    dispatcher = started(count=2)
    dispatcher.handle(
        100.0,
        interface.MembershipUpdate(UpdateKind.CHANGES, 2, [interface.MemberEntry(100, WorkerState.DRAINING)]),
    )
    assert {s.worker for n in range(1, 9) for s in sends(dispatcher.handle(100.0, job(n)))} == {101}
    dispatcher.handle(100.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 3, []))
    assert not sends(dispatcher.handle(100.0, job(9)))


@pytest.mark.parametrize("how", [UpdateKind.CHANGES, UpdateKind.SNAPSHOT, UpdateKind.BOOTSTRAP])
def test_idle_connections_to_a_leaving_worker_are_given_back(how: str) -> None:
    dispatcher = started(count=1, rules__drainRelease="0.8")
    dispatcher.handle(100.0, job(1))
    leaving = [interface.MemberEntry(100, WorkerState.DRAINING)]
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        101.0, interface.MembershipUpdate(how, 2, leaving)
    )
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        102.0, outcome(1, 100, AttemptOutcome.SERVED)
    )
    dispatcher.handle(103.0, interface.MembershipUpdate(UpdateKind.CHANGES, 3, members(1)))
    dispatcher.handle(103.0, job(2))
    assert interface.CloseIdleConnections(100) not in dispatcher.handle(
        104.0, outcome(2, 100, AttemptOutcome.SERVED)
    )
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        105.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 4, [])
    )


def test_subscription_is_asked_again_with_back_off_inside_the_limit() -> None:
    dispatcher = Dispatcher(settings(membershipMode="on_request", rules__mustAskIn="8"), 3)
    assert interface.SubscribeMembership(True) in dispatcher.handle(100.0, interface.Start())
    asked, now = [100.0], 100.0
    dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.REFUSED))
    while now < 140.0:
        now += 0.1
        actions = dispatcher.handle(now, interface.TimerFired(TICK_TIMER))
        if interface.SubscribeMembership(True) in actions:
            asked.append(now)
            dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.REFUSED))
    gaps = [b - a for a, b in zip(asked, asked[1:], strict=False)]
    # Not asking counts as knowing after four times 8 s when a call was refused; half of that is kept free.
    assert len(gaps) > 5 and max(gaps) <= 16.2 and sum(gaps[:3]) < sum(gaps[-3:])


# ---- attempts and health


@pytest.mark.parametrize("what", [AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION])
def test_proven_unrun_fragile_goes_elsewhere(what: str) -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    again = sends(dispatcher.handle(100.1, outcome(1, first, what)))
    assert len(again) == 1 and again[0].worker != first


@pytest.mark.parametrize(
    "what",
    [
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.TIMEOUT,
    ],
)
def test_fragile_that_may_have_run_is_aborted(what: str) -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    actions = dispatcher.handle(100.1, outcome(1, first, what))
    assert finals(actions) == [interface.Fail] and not sends(actions)


def test_keyed_stays_in_its_cell_and_window() -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 1)))[0].worker
    again = sends(dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVER_ERROR)))
    assert [s.worker % 2 for s in again] == [first % 2]
    actions = dispatcher.handle(102.5, outcome(1, again[0].worker, AttemptOutcome.SERVER_ERROR, 1))
    assert finals(actions) == [interface.Fail]


def test_a_fast_failer_is_benched_and_returns_by_single_trials() -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(100.0, job(1, 2)))[0].worker
    dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVER_ERROR))
    worker = dispatcher.workers[first]
    assert worker.on_probation
    placed = [s.worker for n in range(2, 9) for s in sends(dispatcher.handle(100.2, job(n)))]
    assert first not in placed
    placed = [s.worker for n in range(9, 30) for s in sends(dispatcher.handle(102.0, job(n)))]
    assert placed.count(first) <= 1


def test_never_more_than_three_quarters_of_the_fleet_are_benched() -> None:
    dispatcher = started()
    for number in range(1, 40):
        for send in sends(dispatcher.handle(100.0, job(number, 2))):
            dispatcher.handle(100.0, outcome(number, send.worker, AttemptOutcome.SERVER_ERROR))
    assert sum(w.on_probation for w in dispatcher.workers.values()) == 3


def test_a_worker_that_turns_away_with_slots_free_is_at_fault_not_the_load() -> None:
    dispatcher = started()
    for worker in dispatcher.workers.values():
        worker.learned_limit = 4.0
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.0, outcome(1, first, AttemptOutcome.REJECTED, latency=0.001))
    assert dispatcher.workers[first].on_probation and dispatcher.admission.rejections == 0


def test_a_time_out_blames_only_a_worker_that_was_silent() -> None:
    dispatcher = started(count=2)
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(102.0, interface.ProgressNotice(1, first, 0, NoticeKind.PROGRESS, 0.3))
    dispatcher.handle(104.0, outcome(1, first, AttemptOutcome.TIMEOUT))
    assert dispatcher.workers[first].failure_rate == 0.0


def test_unknown_ended_and_gone_requests_are_ignored() -> None:
    dispatcher = started()
    assert dispatcher.handle(100.0, outcome(9, 100, AttemptOutcome.SERVER_ERROR)) == []
    assert dispatcher.handle(100.0, interface.ClientDisconnected(9)) == []
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.1, interface.ClientDisconnected(1))
    late = dispatcher.handle(100.2, outcome(1, first, AttemptOutcome.SERVER_ERROR))
    assert not sends(late) and finals(late) == []
    assert dispatcher.workers[first].in_flight == 0


def test_a_start_told_with_the_answer_does_not_make_a_worker_infinitely_quick() -> None:
    dispatcher = started(count=2, familyInfo__tellsStart="true")
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.5, interface.ProgressNotice(1, first, 0, NoticeKind.STARTED))
    dispatcher.handle(100.5, outcome(1, first, AttemptOutcome.SERVED))
    assert dispatcher.workers[first].seconds_per_work > 0
    assert sends(dispatcher.handle(100.6, job(2)))


# ---- settings


@pytest.mark.parametrize(
    "key, value",
    [
        ("requestClasses.count", "0"),
        ("requestClasses.0.aim", "-1"),
        ("groupSize", "0"),
        ("myNumber", "5"),
        ("rules.tipAfter", "x"),
        ("rules.drainRelease", "-1"),
        ("rules.drainRelease", "soon"),
        ("requestClasses.0.semantics", "odd"),
    ],
)
def test_senseless_settings_name_their_key(key: str, value: str) -> None:
    with pytest.raises(ValueError, match=key.replace(".", r"\.")):
        interface.Settings.from_pairs({**PAIRS, key: value})


def test_unknown_keys_are_skipped_and_absent_ones_have_defaults() -> None:
    read = interface.Settings.from_pairs({"requestClasses.count": "1", "later.invention": "1"})
    assert read.classes[0].semantics == Semantics.RETRYABLE and read.group_size == 1


def test_a_worker_that_stands_still_is_passed_over_and_its_time_outs_blame_it() -> None:
    dispatcher = started(count=2)
    dispatcher.estimates.mean_latency_s = 0.5
    stalled = sends(dispatcher.handle(100.0, job(1, remaining=2.0)))[0].worker
    placed = []
    for step in range(1, 9):
        actions = dispatcher.handle(100.0 + step * 0.25, job(1 + step))
        for send in sends(actions):
            if step * 0.25 > 2.0 - 1e-9 or send.worker != stalled:
                placed.append(send.worker)
                dispatcher.handle(100.0 + step * 0.25, outcome(1 + step, send.worker, AttemptOutcome.SERVED))
    for request in [
        r for r in list(dispatcher.requests.by_id) if dispatcher.requests.by_id[r].attempts_in_flight
    ]:
        dispatcher.handle(104.0, outcome(request, stalled, AttemptOutcome.TIMEOUT))
    assert dispatcher.workers[stalled].on_probation
    assert {s.worker for n in range(50, 55) for s in sends(dispatcher.handle(104.0, job(n)))} != {stalled}


def test_a_dispatcher_with_its_part_of_all_slots_does_not_queue_on_full_workers() -> None:
    dispatcher = group(1, 0)
    for worker in dispatcher.workers.values():
        worker.learned_limit, worker.in_flight, dispatcher.fleet.board.out[worker.key] = 4.0, 3.0, 7
    dispatcher.workers[100].in_flight, dispatcher.fleet.board.out[dispatcher.workers[100].key] = 0.0, 4
    assert not sends(dispatcher.handle(100.0, job(1)))


def notice(dispatcher: Dispatcher, now: float, request: int, worker: int, share: float | None = None) -> None:
    what = NoticeKind.STARTED if share is None else NoticeKind.PROGRESS
    dispatcher.handle(now, interface.ProgressNotice(request, worker, 0, what, share or 0.0))


NOTED = {"familyInfo__tellsStart": "true", "familyInfo__progress": "1", "policyLimits__mayDuplicate": "true"}


def test_a_worker_whose_jobs_go_on_ever_slower_is_passed_over_and_comes_back() -> None:
    dispatcher = started(count=3, **NOTED)
    slow = sends(dispatcher.handle(100.0, job(1, remaining=60.0)))[0].worker
    notice(dispatcher, 100.0, 1, slow)
    for step, share in enumerate((0.2, 0.4, 0.44, 0.48, 0.5, 0.52)):
        notice(dispatcher, 101.0 + step, 1, slow, share)
        notice(dispatcher, 101.0 + step, 1, slow, share)  # told again: no news
    assert dispatcher.stalls.speed_of(dispatcher.workers[slow]) < MIN_RELATIVE_SPEED
    placed = [send for n in range(2, 8) for send in sends(dispatcher.handle(106.0, job(n, remaining=60.0)))]
    assert placed and slow not in {send.worker for send in placed}
    for n in range(2, 8):
        dispatcher.handle(106.5, interface.ClientDisconnected(n))
    for step in range(1, 5):
        notice(dispatcher, 106.0 + step, 1, slow, 0.52 + 0.1 * step)
    assert dispatcher.stalls.speed_of(dispatcher.workers[slow]) > MIN_RELATIVE_SPEED


@pytest.mark.parametrize(
    ("shares", "copied"),
    [
        ((), True),  # started, then silent
        ((0.3, 0.6, 0.9), False),
        ((0.3, 0.31, 0.32), True),  # 100 s to go here, 3 elsewhere
    ],
)
def test_a_job_that_will_be_late_where_it_is_gets_a_copy_where_a_slot_is_free(
    shares: tuple[float, ...], copied: bool
) -> None:
    dispatcher = started(count=2, requestClasses__0__aim="8", familyInfo__classStretch="0,0,0", **NOTED)
    first = sends(dispatcher.handle(100.0, job(1, remaining=60.0)))[0].worker
    notice(dispatcher, 100.0, 1, first)
    for step, share in enumerate(shares):
        notice(dispatcher, 101.0 + step, 1, first, share)
    again = sends(dispatcher.handle(103.1, interface.TimerFired(TICK_TIMER)))
    assert [send.request for send in again if send.worker != first] == [1] * copied


@pytest.mark.parametrize(
    ("noticed", "cls", "copied"), [(False, 0, True), (True, 0, False), (False, 2, False)]
)
def test_a_job_without_a_start_notice_gets_a_copy_where_a_repeat_is_harmless(
    noticed: bool, cls: int, copied: bool
) -> None:
    dispatcher = started(count=2, **NOTED)
    first = sends(dispatcher.handle(100.0, job(1, cls)))[0].worker
    if noticed:
        notice(dispatcher, 100.0, 1, first)
    assert not sends(dispatcher.handle(100.9, interface.TimerFired(TICK_TIMER)))
    assert len(sends(dispatcher.handle(101.1, interface.TimerFired(TICK_TIMER)))) == copied


def full(request: int, worker: int, free: float) -> interface.AttemptEnded:
    return interface.AttemptEnded(request, worker, 0, AttemptOutcome.REJECTED, False, 0.1, {"x0": free})


def test_a_class_that_a_worker_with_free_slots_turns_away_is_barred_there_alone() -> None:
    dispatcher = started(
        count=2, report__names="x0", report__source="answers", familyInfo__reportX0="free_slots"
    )
    worker = sends(dispatcher.handle(100.0, job(1)))[0].worker
    rate, limit = dispatcher.admission.fleet_rate, dispatcher.limits.limit_of(dispatcher.workers[worker])
    again = sends(dispatcher.handle(100.1, full(1, worker, 3.0)))
    assert [send.worker for send in again] == [201 - worker]
    placed = [send.worker for n in range(2, 5) for send in sends(dispatcher.handle(100.2, job(n)))]
    assert placed and worker not in placed  # jobs of that class go elsewhere
    others = [send.worker for n in range(5, 11) for send in sends(dispatcher.handle(100.2, job(n, 1)))]
    assert worker in others  # and those of others do not
    assert (dispatcher.admission.fleet_rate, dispatcher.admission.rejections) == (
        rate,
        0,
    ) and dispatcher.limits.limit_of(dispatcher.workers[worker]) >= limit
    for n in range(1, 11):
        dispatcher.handle(100.3, interface.ClientDisconnected(n))
        for attempt, send in enumerate(
            dispatcher.requests.by_id[n].attempts if n in dispatcher.requests.by_id else ()
        ):
            dispatcher.handle(100.3, outcome(n, send.worker.id, AttemptOutcome.CANCELLED, attempt))
    later = [send.worker for n in range(20, 26) for send in sends(dispatcher.handle(101.0, job(n)))]
    assert worker in later


@pytest.mark.parametrize(
    ("breaks", "sign", "benched"), [(1, False, False), (2, False, True), (2, True, False)]
)
def test_a_single_broken_connection_does_not_bench_a_worker_that_works(
    breaks: int, sign: bool, benched: bool
) -> None:
    dispatcher = started(count=3)
    placed: dict[int, int] = {}
    for n in range(1, 7):
        for send in sends(dispatcher.handle(100.0, job(n))):
            placed[n] = send.worker
    worker = max(placed.values(), key=list(placed.values()).count)
    mine = [n for n, at in placed.items() if at == worker]
    assert len(mine) >= 2
    for n in mine[:breaks]:
        dispatcher.handle(100.5, outcome(n, worker, AttemptOutcome.CONNECTION_LOST))
        if sign:
            notice(dispatcher, 100.6, n, worker)
    assert dispatcher.workers[worker].on_probation == benched


def test_a_request_that_a_worker_finds_faulty_is_failed_at_once_and_nobody_is_blamed() -> None:
    dispatcher = started(count=3)
    worker = sends(dispatcher.handle(100.0, job(1)))[0].worker
    assert dispatcher.handle(100.1, outcome(1, worker, AttemptOutcome.INVALID_REQUEST)) == [
        interface.Fail(request=1)
    ]
    assert (dispatcher.workers[worker].failure_rate, dispatcher.workers[worker].on_probation) == (0.0, False)
    assert 1 not in dispatcher.requests.by_id


# ---- repeats


def test_a_repeat_leaves_its_connection_the_time_to_come_up_within_the_window() -> None:
    """It was decided just inside the window, and written up to `connectTimeout` later, beyond it."""

    def repeated(at: float) -> bool:
        dispatcher = started(count=3, policyLimits__connectTimeout="0.25")  # 100 and 102 share a cell
        dispatcher.limits.by_kind[0] = 20.0
        [first] = [
            send
            for n in range(1, 9)
            for send in sends(dispatcher.handle(100.0, job(n, 1)))
            if send.worker == 100
        ][:1]
        again = sends(dispatcher.handle(at, outcome(first.request, 100, AttemptOutcome.CONNECTION_LOST)))
        return [send.worker for send in again if send.request == first.request] == [102]

    # The window is 2 s from the first attempt.
    assert [repeated(at) for at in (100.5, 101.7, 101.8, 102.0)] == [True, True, False, False]


@pytest.mark.parametrize(
    ("remaining", "flags", "marks", "expected"),
    [
        (3.0, 0, "true", [True, True, False]),
        (3.0, RETRY_FLAG, "true", [True, False, False]),
        (3.0, 0, "false", [True, False, False]),
        (4.0, 0, "false", [True, True, False]),
    ],
)
def test_the_window_counts_from_the_clients_first_try_which_another_dispatcher_may_have_sent(
    remaining: float, flags: int, marks: str, expected: list[bool]
) -> None:
    """It was counted from this one's own first send, when the rack's may have been over."""

    def repeated(at: float) -> bool:
        dispatcher = started(
            count=3,
            requestClasses__1__aim="3",
            clients__marksRetry=marks,
            policyLimits__connectTimeout="0.25",
        )
        dispatcher.limits.by_kind[0] = 20.0
        dispatcher.arrivals.max_client_timeouts[1] = 4.0  # so that 3 s left tell of a first try a second ago
        [first] = [
            send
            for n in range(1, 9)
            for send in sends(dispatcher.handle(100.0, job(n, 1, remaining=remaining, flags=flags)))
            if send.worker == 100
        ][:1]
        again = sends(dispatcher.handle(at, outcome(first.request, 100, AttemptOutcome.CONNECTION_LOST)))
        return [send.worker for send in again if send.request == first.request] == [102]

    # The window is 2 s from the first try, which is this one's own or a second before it.
    assert [repeated(at) for at in (100.5, 101.2, 101.8)] == expected


def test_an_unsafe_job_goes_to_no_worker_twice() -> None:
    """Handed back, refused elsewhere, and at the first again: the word on the first try, which is said up to ten
    times, ended the second there, and the job went on to a third worker while it ran.
    """
    for cls, twice in ((0, True), (2, False)):
        dispatcher, at = started(count=2, policyLimits__cancel="false"), 100.0
        [send] = sends(dispatcher.handle(at, job(1, cls, remaining=60.0)))
        taken = [send.worker]
        for attempt in range(3):
            at += 0.3
            again = sends(dispatcher.handle(at, outcome(1, taken[-1], AttemptOutcome.NO_CONNECTION, attempt)))
            again = again or sends(dispatcher.handle(at + 0.2, interface.TimerFired(TICK_TIMER)))
            if not again:
                break
            taken.append(again[0].worker)
        assert (len(taken) > len(set(taken))) is twice
        assert len(set(taken)) == 2


# ---- less time here than the client gives


@pytest.mark.parametrize("marks", ["true", "false"])
@pytest.mark.parametrize("flags", [0, RETRY_FLAG])
def test_a_process_that_ends_does_not_take_its_own_end_for_a_clients_long_wait(
    marks: str, flags: int
) -> None:
    """The less time that a job had there was read as time gone since its client's first try: all were refused."""
    dispatcher = started(clients__marksRetry=marks)
    assert sends(dispatcher.handle(100.0, job(1, 2, remaining=4.0, size_hint=0.5)))
    taken = job(2, 2, remaining=1.5, size_hint=0.5, client_timeout=4.0, flags=flags)
    assert sends(dispatcher.handle(100.1, taken))
    late = job(3, 2, remaining=1.5, size_hint=0.5, flags=RETRY_FLAG)  # 2.5 s are gone for its client too
    assert finals(dispatcher.handle(100.2, late)) == [interface.Reject]


def test_a_process_that_ends_refuses_at_once_what_would_outlast_it_and_only_then() -> None:
    """Taken, it would be lost with the process, and may have run: another dispatcher can still have it."""
    dispatcher = started(clients__marksRetry="true")
    dispatcher.estimates.seconds_per_work = 1.0
    assert finals(dispatcher.handle(100.0, job(1, remaining=1.0, size_hint=2.0, client_timeout=4.0))) == [
        interface.Reject
    ]
    assert sends(dispatcher.handle(100.0, job(2, remaining=1.0, size_hint=0.5, client_timeout=4.0)))
    assert sends(dispatcher.handle(100.0, job(3, remaining=1.0, size_hint=2.0)))  # its client's own choice


def test_an_older_start_under_a_newer_version_leaves_a_cold_worker_cold() -> None:
    """A list may hold old content, and a wall clock that was set back gives a restart an older time."""
    dispatcher = started(1, rules__warmWithin="10")
    for version, (told, own) in enumerate(
        [(98.0, 98.0), (40.0, 40.0), (97.5 - 3600, 99.5), (0.0, 0.0)], start=2
    ):
        member = interface.MemberEntry(100, started_at=told, slow_start_from=own)
        dispatcher.handle(100.0, interface.MembershipUpdate(UpdateKind.CHANGES, version, [member]))
        assert dispatcher.slow_start.is_cold(dispatcher.workers[100])
    assert dispatcher.workers[100].slow_start_from == 99.5

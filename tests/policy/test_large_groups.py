"""Large groups: bounded reports, cold workers with few owners, second copies, little sight. No fleet is modelled."""

from __future__ import annotations

import random
import struct

import pytest
from helpers import job, members, outcome, sends, started

from beaconhinge.gossip import codec
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import REPORT_TIMER, TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import RETRY_FLAG, AttemptOutcome, UpdateKind
from beaconhinge.policy.membership import FETCH_SPREAD_S
from beaconhinge.policy.peer_reports import REPORT_BYTES_PER_JOB
from beaconhinge.policy.routing import Router
from beaconhinge.policy.workers import SAMPLE_SIZE


def member(size: int, number: int = 0, workers: int = 4, **changes: str) -> Dispatcher:
    given = {"groupSize": str(size), "myNumber": str(number), "policyLimits__peers": "true", **changes}
    return started(workers, number + 1, **given)  # type: ignore[arg-type]


class Group:
    """Dispatchers that hear each other's reports; jobs are served at once, messages may be lost or swapped."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.members = [member(size, number) for number in range(size)]
        self.random = random.Random(size)
        self.loss = loss
        self.report_at = [100.0 + self.random.random() * 0.5 for _ in self.members]
        self.bytes = self.jobs = 0
        self.delayed: list[tuple[int, interface.PeerMessage]] = []
        self.silent: set[int] = set()
        self.now = 100.0

    def run(self, seconds: float, rate: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            for number, dispatcher in enumerate(self.members):
                if number in self.silent:
                    continue
                dispatcher.handle(self.now, interface.TimerFired(TICK_TIMER))
                if self.random.random() < rate * 0.1:
                    self.jobs += 1
                    for send in self.carry(number, dispatcher.handle(self.now, job(self.jobs))):
                        self.carry(
                            number,
                            dispatcher.handle(
                                self.now, outcome(send.request, send.worker, AttemptOutcome.SERVED)
                            ),
                        )
                if self.now >= self.report_at[number]:
                    actions = dispatcher.handle(self.now, interface.TimerFired(REPORT_TIMER))
                    timers = [
                        a.after
                        for a in actions
                        if isinstance(a, interface.SetTimer) and a.token == REPORT_TIMER
                    ]
                    self.report_at[number] = self.now + timers[0]
                    self.carry(number, actions)

    def carry(self, sender: int, actions: list[interface.Action]) -> list[interface.SendAttempt]:
        for action in actions:
            if isinstance(action, interface.SendToPeer):
                to = range(len(self.members)) if action.peer < 0 else [action.peer]
                for peer in to:
                    if peer == sender or peer in self.silent:
                        continue
                    self.bytes += len(action.payload)
                    if self.random.random() >= self.loss:
                        self.delayed.append((peer, interface.PeerMessage(sender, action.payload)))
        if len(self.delayed) > 20 or not self.loss:
            if self.loss:  # out of order, and some of them twice
                self.random.shuffle(self.delayed)
                self.delayed += self.delayed[:3]
            for peer, message in self.delayed:
                self.members[peer].handle(self.now, message)
            self.delayed = []
        return sends(actions)


@pytest.mark.parametrize("size", [20, 150, 300])
def test_delivered_bytes_for_each_own_job_do_not_grow_with_the_group(size: int) -> None:
    group = Group(size)
    group.run(12.0, rate=2.0)
    group.bytes = group.jobs = 0
    group.run(15.0, rate=2.0)
    assert 0 < group.bytes / group.jobs < 1.3 * REPORT_BYTES_PER_JOB


@pytest.mark.parametrize(("size", "loss"), [(20, 0.0), (150, 0.0), (150, 0.3)])
def test_the_demand_of_the_fleet_is_known_from_the_circle(size: int, loss: float) -> None:
    group = Group(size, loss)
    group.run(20.0, rate=2.0)
    real = group.jobs * 0.5 / 20.0  # hinted work a second
    seen = sorted(sum(m.admission.total_demand().values()) for m in group.members)
    assert 0.7 * real < seen[size // 10]
    assert seen[-size // 10] < 1.4 * real
    parts = [m.admission.own_demand_share(m.admission.total_demand()) for m in group.members]
    assert sum(parts) == pytest.approx(1.0, rel=0.25)


def test_a_silent_part_of_the_group_and_a_restart_of_all_are_survived() -> None:
    group = Group(150)
    group.run(10.0, rate=2.0)
    group.silent = set(range(0, 150, 3))
    group.run(45.0, rate=2.0)
    heard = [m for n, m in enumerate(group.members) if n not in group.silent]
    # A third of each circle is silent and asks for nothing: so does a third of the fleet.
    assert sum(sum(m.admission.total_demand().values()) for m in heard) / len(heard) == pytest.approx(
        100.0, rel=0.25
    )
    group.silent = set()
    group.members = [member(150, number) for number in range(150)]
    group.run(25.0, rate=2.0)
    parts = [m.admission.own_demand_share(m.admission.total_demand()) for m in group.members]
    assert sum(parts) == pytest.approx(1.0, rel=0.3)


def test_unheard_peers_leave_one_nth_and_jobs_are_still_placed() -> None:
    for dispatcher in (member(150), member(150, policyLimits__peers="false")):
        assert dispatcher.admission.own_demand_share(dispatcher.admission.total_demand()) == 1 / 150
        assert sends(dispatcher.handle(100.1, job(1)))


def test_foreign_bytes_and_numbers_change_nothing() -> None:
    dispatcher = member(150)
    outside = 149  # in another circle than number 0
    good = codec.encode_report(codec.DemandReport(5, 1, 0.5, [(0, 0, 9.0, 0.0)]))
    former = struct.pack(">HBBIHHBB", 0x6F73, 2, 1, 5, 1, 500, 0, 0)
    for peer, payload in ((outside, good), (1, former), (0, good), (900, b""), (1, good + good)):
        dispatcher.handle(100.1, interface.PeerMessage(peer, payload))
    assert dispatcher.gossip.peers == {}
    assert dispatcher.admission.total_demand() == {}


@pytest.mark.parametrize("size", [2, 20, 150])
@pytest.mark.parametrize("age", [0.0, 3.0, 8.0])
def test_all_together_stay_under_the_cold_budget_and_use_it(size: int, age: float) -> None:
    now, slots, hint = 100.0, 4.0, 0.3
    group = [member(size, number, workers=0) for number in range(size)]
    sent: list[tuple[float, float]] = []
    for dispatcher in group:
        dispatcher.handle(
            now,
            interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, members(1, started_at=now - age)),
        )
        dispatcher.workers[100].learned_limit = slots
        dispatcher.estimates.seconds_per_work = 1.0
        dispatcher.estimates.mean_work = hint
    for step in range(20):
        for dispatcher in group:
            number = 1000 * step + 1
            for send in sends(dispatcher.handle(now, job(number, size_hint=hint))):
                sent.append((now, hint))
                dispatcher.handle(now, outcome(send.request, send.worker, AttemptOutcome.SERVED))
            if number in dispatcher.requests.by_id:
                dispatcher.handle(now, interface.ClientDisconnected(number))
        now += 0.1
    given = group[0].settings
    for start, _ in sent:
        ramp = (
            given.slow_start_min_share
            + (1 - given.slow_start_min_share)
            * (start + given.overload_window_s - 100.0 + age)
            / given.slow_start_s
        )
        window = sum(load for at, load in sent if start <= at < start + given.overload_window_s)
        assert window <= given.overload_multiple * ramp * slots * given.overload_window_s
    assert len(sent) >= 2


def test_slow_handshakes_leave_open_connections_in_use() -> None:
    dispatcher = member(150, workers=2)
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVED))
    for n, worker in enumerate(dispatcher.workers.values(), 2):  # a further, new connection to each fails
        request = n
        dispatcher.workers[200 - worker.id + 1].ejected_until = 200.0
        worker.ejected_until, open_ones, worker.idle_connections = 0.0, worker.idle_connections, []
        assert sends(dispatcher.handle(100.2, job(request)))[0].worker == worker.id
        worker.idle_connections = open_ones
        dispatcher.handle(100.2, interface.ClientDisconnected(request))
        dispatcher.handle(100.26, outcome(request, worker.id, AttemptOutcome.NO_CONNECTION))
    for worker in dispatcher.workers.values():
        worker.ejected_until = 0.0
    assert sends(dispatcher.handle(100.3, job(9)))[0].worker == first
    assert not sends(dispatcher.handle(100.3, job(10)))  # the open one is taken, no new one is tried yet


def test_an_early_time_out_of_an_impatient_client_does_not_blame() -> None:
    dispatcher = member(150)
    dispatcher.estimates.mean_latency_s = 1.0
    worker = sends(dispatcher.handle(100.0, job(1, 2, remaining=0.4)))[0].worker
    dispatcher.handle(100.4, outcome(1, worker, AttemptOutcome.TIMEOUT))
    assert dispatcher.workers[worker].failure_rate == 0.0


@pytest.mark.parametrize(("flags", "refused"), [(0, False), (RETRY_FLAG, True)])
def test_less_time_left_is_a_repeat_only_by_its_mark_where_clients_mark(flags: int, refused: bool) -> None:
    dispatcher = member(2, clients__marksRetry="true")
    dispatcher.handle(100.0, job(1, 2))
    actions = dispatcher.handle(100.1, job(2, 2, remaining=0.8, flags=flags))
    assert any(isinstance(a, interface.Reject) for a in actions) == refused


TELLS = {"familyInfo__tellsStart": "true", "policyLimits__mayDuplicate": "true"}


def test_jobs_that_wait_for_their_start_are_not_sent_twice() -> None:
    """A copy of each waiting job gave a busy fleet twice its work, since a cancel does not drop what waits."""
    dispatcher = member(40, **TELLS)
    dispatcher.handle(100.0, interface.PeerMessage(1, codec.encode_report(codec.DemandReport(5, 1, 0.5))))
    for number in (1, 2):
        dispatcher.handle(100.0, job(number, remaining=9.0))
    signs = [
        (worker.key, codec.DeltaKind.SERVED) for worker in dispatcher.workers.values()
    ]  # of jobs of others
    for step in range(1, 30):
        news = codec.encode_deltas(codec.DeltaMessage(5, 1 + step, signs))
        for event in (
            interface.PeerMessage(1, news),
            interface.TimerFired(TICK_TIMER),
            interface.TimerFired(17),
            interface.TimerFired(18),
        ):
            assert not sends(dispatcher.handle(100.0 + step / 10, event))
    assert [len(r.attempts) for r in dispatcher.requests.by_id.values()] == [1, 1]
    later = [dispatcher.handle(103.0 + step / 10, interface.TimerFired(TICK_TIMER)) for step in range(20)]
    assert any(sends(actions) for actions in later)  # from a worker that has fallen silent they are fetched


def test_the_work_of_one_job_does_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    looked = []
    able = Router.is_eligible
    monkeypatch.setattr(Router, "is_eligible", lambda self, w, r: looked.append(w) or able(self, w, r))
    dispatcher = member(150, workers=400)
    dispatcher.handle(100.0, job(1))
    assert 0 < len(looked) <= 2 * SAMPLE_SIZE


def test_a_small_clump_of_a_tenant_within_its_quota_is_not_over_it() -> None:
    dispatcher = member(150, orgs__count="1", orgs__0__quotaRps="30", orgs__0__share="1")
    for step in range(200):  # twenty seconds without a job fill the quota's bucket
        dispatcher.handle(100.0 + step * 0.1, interface.TimerFired(TICK_TIMER))
    for n in range(1, 5):
        dispatcher.handle(120.0, job(n))
    assert [dispatcher.requests.by_id[n].over_quota for n in range(1, 5)] == [False] * 4


def asked(group: list[Dispatcher], refused: bool, seconds: float) -> list[float]:
    """When each of a group asks for the list, after a start or a refusal that all had at 100.0."""
    times = []
    for dispatcher in group:
        if refused:
            dispatcher.handle(100.0, interface.MembershipUpdate(UpdateKind.REFUSED))
        for step in range(int(seconds * 10)):
            now = 100.0 + step / 10
            if any(
                isinstance(a, interface.SubscribeMembership)
                for a in dispatcher.handle(now, interface.TimerFired(TICK_TIMER))
            ):
                times.append(now)
                dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.CHANGES, 1))
    return sorted(times)


@pytest.mark.parametrize("refused", [False, True])
def test_calls_to_discovery_after_a_common_start_or_failure_are_spread(refused: bool) -> None:
    """Forty watches broke within a second, all asked again within a third of one, and none was ever answered."""
    group = [member(40, number, membershipMode="on_request") for number in range(40)]
    times = asked(group, refused, 4.9 if not refused else 9.9)
    assert len(times) == 40  # well before not asking counts as knowing
    busiest = max(sum(start <= t < start + 1.0 for t in times) for start in times)
    assert busiest <= (16 if not refused else 10)


def test_a_refused_call_is_repeated_ever_later_but_in_time_for_the_rule() -> None:
    dispatcher, now, waits = member(40, membershipMode="on_request"), 100.0, []
    for _ in range(60):
        dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.REFUSED))
        waits.append(dispatcher.membership.fetch_at - now)
        now = dispatcher.membership.fetch_at
        assert any(
            isinstance(a, interface.SubscribeMembership)
            for a in dispatcher.handle(now, interface.TimerFired(TICK_TIMER))
        )
    assert max(waits) <= 2 * dispatcher.settings.membership_max_age_s
    assert sum(waits[20:]) / 40 > 0.8 * sum(waits[:1])
    dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.CHANGES, 2))
    dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.REFUSED))
    assert dispatcher.membership.fetch_at <= now + FETCH_SPREAD_S * 40

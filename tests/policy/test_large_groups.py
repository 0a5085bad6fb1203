"""Policy in large groups, where a dispatcher sends few attempts itself.

The tests cover reports of bounded size, cold workers whose budget only a few dispatchers share, hedging, and
requests to discovery. Workers are not simulated: each test gives the outcomes itself.
"""

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
    pairs = {"groupSize": str(size), "myNumber": str(number), "policyLimits__peers": "true", **changes}
    return started(workers, number + 1, **pairs)  # type: ignore[arg-type]


class Group:
    """Dispatchers that exchange reports.

    Jobs are served at once; messages may be lost, reordered or repeated.
    """

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
        """Run all for a time; each receives `rate` jobs per second on average."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            for number, dispatcher in enumerate(self.members):
                if number in self.silent:
                    continue
                dispatcher.handle(self.now, interface.TimerFired(TICK_TIMER))
                if self.random.random() < rate * 0.1:
                    self.jobs += 1
                    for send in self.deliver(number, dispatcher.handle(self.now, job(self.jobs))):
                        self.deliver(
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
                    self.deliver(number, actions)

    def deliver(self, sender: int, actions: list[interface.Action]) -> list[interface.SendAttempt]:
        """Deliver the messages among the actions of one dispatcher. Return its sends."""
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
            if self.loss:  # deliver out of order, and three of them twice
                self.random.shuffle(self.delayed)
                self.delayed += self.delayed[:3]
            for peer, message in self.delayed:
                self.members[peer].handle(self.now, message)
            self.delayed = []
        return sends(actions)


@pytest.mark.parametrize("size", [20, 150, 300])
def test_report_bytes_per_job_do_not_grow_with_the_group(size: int) -> None:
    """If each dispatcher reported to all others, bytes per job would grow with the group."""
    group = Group(size)
    group.run(12.0, rate=2.0)
    group.bytes = group.jobs = 0
    group.run(15.0, rate=2.0)
    assert 0 < group.bytes / group.jobs < 1.3 * REPORT_BYTES_PER_JOB


@pytest.mark.parametrize(("size", "loss"), [(20, 0.0), (150, 0.0), (150, 0.3)])
def test_fleet_demand_is_estimated_from_reports_of_the_circle(size: int, loss: float) -> None:
    """Each dispatcher receives reports of its gossip group only, and scales them to the whole fleet."""
    group = Group(size, loss)
    group.run(20.0, rate=2.0)
    demand = group.jobs * 0.5 / 20.0  # hinted work per second
    estimates = sorted(sum(m.admission.total_demand().values()) for m in group.members)
    assert 0.7 * demand < estimates[size // 10]
    assert estimates[-size // 10] < 1.4 * demand
    demand_shares = [m.admission.own_demand_share(m.admission.total_demand()) for m in group.members]
    assert sum(demand_shares) == pytest.approx(1.0, rel=0.25)


def test_demand_is_right_with_silent_peers_and_after_a_restart_of_all() -> None:
    group = Group(150)
    group.run(10.0, rate=2.0)
    group.silent = set(range(0, 150, 3))
    group.run(45.0, rate=2.0)
    reporting = [m for n, m in enumerate(group.members) if n not in group.silent]
    # A third of each gossip group is silent and has no demand, as a third of the whole fleet.
    assert sum(sum(m.admission.total_demand().values()) for m in reporting) / len(reporting) == pytest.approx(
        100.0, rel=0.25
    )
    group.silent = set()
    group.members = [member(150, number) for number in range(150)]
    group.run(25.0, rate=2.0)
    demand_shares = [m.admission.own_demand_share(m.admission.total_demand()) for m in group.members]
    assert sum(demand_shares) == pytest.approx(1.0, rel=0.3)


def test_without_peer_reports_share_is_one_nth_and_jobs_are_placed() -> None:
    for dispatcher in (member(150), member(150, policyLimits__peers="false")):
        assert dispatcher.admission.own_demand_share(dispatcher.admission.total_demand()) == 1 / 150
        assert sends(dispatcher.handle(100.1, job(1)))


def test_invalid_peer_messages_and_numbers_are_ignored() -> None:
    dispatcher = member(150)
    other_circle_peer = 149  # in another gossip group than number 0
    valid = codec.encode_report(codec.DemandReport(5, 1, 0.5, [(0, 0, 9.0, 0.0)]))
    old_format = struct.pack(">HBBIHHBB", 0x6F73, 2, 1, 5, 1, 500, 0, 0)
    for peer, payload in (
        (other_circle_peer, valid),
        (1, old_format),
        (0, valid),
        (900, b""),
        (1, valid + valid),
    ):
        dispatcher.handle(100.1, interface.PeerMessage(peer, payload))
    assert dispatcher.gossip.peers == {}
    assert dispatcher.admission.total_demand() == {}


@pytest.mark.parametrize("size", [2, 20, 150])
@pytest.mark.parametrize("age", [0.0, 3.0, 8.0])
def test_group_stays_within_the_cold_workers_budget_and_uses_it(size: int, age: float) -> None:
    """Each dispatcher knows only its own sends, but all of them together may overload the worker."""
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
    settings = group[0].settings
    for start, _ in sent:
        ramp = (
            settings.slow_start_min_share
            + (1 - settings.slow_start_min_share)
            * (start + settings.overload_window_s - 100.0 + age)
            / settings.slow_start_s
        )
        window = sum(load for at, load in sent if start <= at < start + settings.overload_window_s)
        assert window <= settings.overload_multiple * ramp * slots * settings.overload_window_s
    assert len(sent) >= 2


def test_failed_connect_leaves_open_connections_in_use() -> None:
    """A worker that is slow to accept a new connection still serves those that are open."""
    dispatcher = member(150, workers=2)
    first = sends(dispatcher.handle(100.0, job(1)))[0].worker
    dispatcher.handle(100.1, outcome(1, first, AttemptOutcome.SERVED))
    for n, worker in enumerate(dispatcher.workers.values(), 2):  # another new connection to each worker fails
        request = n
        dispatcher.workers[200 - worker.id + 1].ejected_until = 200.0
        worker.ejected_until, open_connections, worker.idle_connections = 0.0, worker.idle_connections, []
        assert sends(dispatcher.handle(100.2, job(request)))[0].worker == worker.id
        worker.idle_connections = open_connections
        dispatcher.handle(100.2, interface.ClientDisconnected(request))
        dispatcher.handle(100.26, outcome(request, worker.id, AttemptOutcome.NO_CONNECTION))
    for worker in dispatcher.workers.values():
        worker.ejected_until = 0.0
    assert sends(dispatcher.handle(100.3, job(9)))[0].worker == first
    # The open connection is in use, and it is too early for a new one.
    assert not sends(dispatcher.handle(100.3, job(10)))


def test_early_client_timeout_is_no_failure_of_the_worker() -> None:
    """A client that waits less than the mean latency would otherwise get a healthy worker ejected."""
    dispatcher = member(150)
    dispatcher.estimates.mean_latency_s = 1.0
    worker = sends(dispatcher.handle(100.0, job(1, 2, remaining=0.4)))[0].worker
    dispatcher.handle(100.4, outcome(1, worker, AttemptOutcome.TIMEOUT))
    assert dispatcher.workers[worker].failure_rate == 0.0


@pytest.mark.parametrize(("flags", "rejected"), [(0, False), (RETRY_FLAG, True)])
def test_shorter_timeout_is_no_retry_where_clients_mark_retries(flags: int, rejected: bool) -> None:
    """Clients of one class may have different timeouts; only the flag shows a retry."""
    dispatcher = member(2, clients__marksRetry="true")
    dispatcher.handle(100.0, job(1, 2))
    actions = dispatcher.handle(100.1, job(2, 2, remaining=0.8, flags=flags))
    assert any(isinstance(a, interface.Reject) for a in actions) == rejected


HEDGING = {"familyInfo__tellsStart": "true", "policyLimits__mayDuplicate": "true"}


def test_jobs_that_wait_for_their_start_are_not_hedged() -> None:
    """A copy of each waiting job would double a busy fleet's work, as a cancel doesn't remove queued jobs."""
    dispatcher = member(40, **HEDGING)
    dispatcher.handle(100.0, interface.PeerMessage(1, codec.encode_report(codec.DemandReport(5, 1, 0.5))))
    for number in (1, 2):
        dispatcher.handle(100.0, job(number, remaining=9.0))
    # Jobs of other dispatchers, which these workers have served.
    served_deltas = [(worker.key, codec.DeltaKind.SERVED) for worker in dispatcher.workers.values()]
    for step in range(1, 30):
        deltas_message = codec.encode_deltas(codec.DeltaMessage(5, 1 + step, served_deltas))
        for event in (
            interface.PeerMessage(1, deltas_message),
            interface.TimerFired(TICK_TIMER),
            interface.TimerFired(17),
            interface.TimerFired(18),
        ):
            assert not sends(dispatcher.handle(100.0 + step / 10, event))
    assert [len(r.attempts) for r in dispatcher.requests.by_id.values()] == [1, 1]
    after_silence = [
        dispatcher.handle(103.0 + step / 10, interface.TimerFired(TICK_TIMER)) for step in range(20)
    ]
    # Jobs on a worker that has fallen silent are hedged.
    assert any(sends(actions) for actions in after_silence)


def test_routing_checks_a_bounded_number_of_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    """The cost of routing one job must not grow with the fleet."""
    checked = []
    is_eligible = Router.is_eligible
    monkeypatch.setattr(
        Router, "is_eligible", lambda self, w, r: checked.append(w) or is_eligible(self, w, r)
    )
    dispatcher = member(150, workers=400)
    dispatcher.handle(100.0, job(1))
    assert 0 < len(checked) <= 2 * SAMPLE_SIZE


def test_small_burst_of_a_tenant_is_within_its_quota() -> None:
    """This dispatcher's share of the quota is 0.2 jobs per second, but jobs arrive in bursts."""
    dispatcher = member(150, orgs__count="1", orgs__0__quotaRps="30", orgs__0__share="1")
    for step in range(200):  # 20 s without a job fill the quota's bucket
        dispatcher.handle(100.0 + step * 0.1, interface.TimerFired(TICK_TIMER))
    for n in range(1, 5):
        dispatcher.handle(120.0, job(n))
    assert [dispatcher.requests.by_id[n].over_quota for n in range(1, 5)] == [False] * 4


def fetch_times(group: list[Dispatcher], refused: bool, seconds: float) -> list[float]:
    """Times at which the dispatchers request the list, after a common start or refusal at 100.0."""
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
def test_requests_to_discovery_are_spread_after_start_or_refusal(refused: bool) -> None:
    """Discovery answers nobody when all dispatchers send requests at once.

    When the watches of forty dispatchers broke within a second, all requested the list again within a third
    of a second, and no request was ever answered.
    """
    group = [member(40, number, membershipMode="on_request") for number in range(40)]
    times = fetch_times(group, refused, 4.9 if not refused else 9.9)
    assert len(times) == 40  # long before a dispatcher without a request is held to know the list
    busiest = max(sum(start <= t < start + 1.0 for t in times) for start in times)
    assert busiest <= (16 if not refused else 10)


def test_refused_fetch_is_repeated_with_growing_limited_delay() -> None:
    """Discovery that refuses must get fewer requests, but the list must not get too old."""
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

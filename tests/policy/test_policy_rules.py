"""Checks generated histories against the four rules, and shows that the checker finds violations."""

from __future__ import annotations

import pytest
from helpers import PolicyDriver, job, members, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import WIRE_OUTCOMES, AttemptOutcome, UpdateKind, WorkerState

OUTCOMES = st.sampled_from(sorted(WIRE_OUTCOMES - {AttemptOutcome.NOT_SENT}))
STEP = st.one_of(
    st.tuples(st.just("job"), st.integers(0, 2), st.floats(0.05, 4.0), st.sampled_from([0.0, 0.2, 3.0])),
    st.tuples(st.just("outcome"), st.integers(0, 50), OUTCOMES),
    st.tuples(st.just("wait"), st.floats(0.0, 1.5)),
    st.tuples(st.just("member"), st.integers(0, 5), st.sampled_from("ULD"), st.booleans()),
    st.tuples(st.just("gone"), st.integers(0, 50)),
    st.tuples(st.just("list"), st.integers(0, 6)),
    st.tuples(st.just("refused")),
    st.tuples(st.just("peer"), st.binary(max_size=40)),
)


def play(driver: PolicyDriver, steps: list[tuple]) -> None:
    driver.feed(interface.Start())
    driver.feed(interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, members(4)))
    number = 0
    for step in steps:
        match step:
            case ("job", cls, remaining, hint):
                number += 1
                driver.feed(job(number, cls, remaining=remaining, size_hint=hint))
            case ("outcome", index, outcome) if driver.open:
                driver.resolve(index % len(driver.open), outcome)
            case ("wait", seconds):
                driver.advance(driver.now + seconds)
            case ("member", index, status, restarted):
                member = interface.MemberEntry(
                    100 + index, status, cell=index % 2, started_at=driver.now if restarted else 0.0
                )
                driver.feed(interface.MembershipUpdate(UpdateKind.CHANGES, 2, [member]))
            case ("gone", index) if number:
                request = 1 + index % number
                if not driver.checker.calls[request].settled:
                    driver.feed(interface.ClientDisconnected(request))
            case ("list", count):
                driver.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 3, members(count)))
            case ("refused",):
                driver.feed(interface.MembershipUpdate(UpdateKind.REFUSED))
            case ("peer", payload):
                driver.feed(interface.PeerMessage(1, payload))
    driver.advance(driver.now + 10.0)
    driver.checker.end(driver.now)


@hypothesis_settings(derandomize=True, max_examples=250, deadline=None)
@given(
    steps=st.lists(STEP, max_size=60),
    group=st.sampled_from(["all", "zone", "cell"]),
    late=st.sampled_from(["0", "0.3"]),
    limit=st.sampled_from(["0.3", "4"]),
    size=st.sampled_from(["1", "3"]),
)
def test_no_history_breaks_a_rule(steps: list[tuple], group: str, late: str, limit: str, size: str) -> None:
    chosen = settings(
        requestClasses__1__group=group,
        requestClasses__0__lateWorth=late,
        requestClasses__2__hardLimit=limit,
        groupSize=size,
        policyLimits__peers="true",
        rules__drainRelease="0.8",
    )
    dispatcher = Dispatcher(chosen, 7)
    driver = PolicyDriver(chosen, dispatcher.handle)
    play(driver, steps)
    assert driver.checker.broken == []
    assert not [r for r in dispatcher.requests.by_id.values() if r.attempts_in_flight == 0 and not r.queued]


@hypothesis_settings(derandomize=True, max_examples=40, deadline=None)
@given(steps=st.lists(STEP, max_size=40))
def test_identical_events_give_identical_actions(steps: list[tuple]) -> None:
    logs = []
    for _ in range(2):
        chosen = settings()
        driver = PolicyDriver(chosen, Dispatcher(chosen, 5).handle)
        play(driver, steps)
        logs.append(driver.log)
    assert logs[0] == logs[1]


def scripted_driver(answer: list[interface.Action], when: type) -> PolicyDriver:
    """Return a driver of a policy that answers events of one type with these actions, others with none."""

    def policy(now: float, event: interface.Event) -> list[interface.Action]:
        return list(answer) if isinstance(event, when) else []

    driver = PolicyDriver(settings(), policy)
    driver.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 1, members(2)))
    return driver


def test_checker_finds_a_request_without_an_answer() -> None:
    driver = scripted_driver([], interface.JobArrived)
    driver.feed(job(1))
    driver.advance(driver.now + 5)
    driver.checker.end(driver.now)
    assert driver.checker.broken == ["1: no answer for 1"]


def test_checker_finds_a_send_after_the_final_answer() -> None:
    driver = scripted_driver([interface.Reject(1), interface.SendAttempt(1, 100)], interface.JobArrived)
    driver.feed(job(1))
    assert driver.checker.broken == ["1: send after the end of 1"]


@pytest.mark.parametrize(
    ("answer", "cls"),
    [(interface.SendAttempt(1, 100), 2), (interface.Reject(1), 2), (interface.SendAttempt(1, 101), 1)],
)
def test_checker_finds_a_job_that_may_run_twice(answer: interface.Action, cls: int) -> None:
    driver = scripted_driver([answer], interface.AttemptEnded)
    driver.feed(job(1, cls))
    driver.checker.actions(driver.now, [interface.SendAttempt(1, 100)])
    driver.feed(interface.AttemptEnded(1, 100, 0, AttemptOutcome.CONNECTION_LOST))
    assert driver.checker.broken
    assert driver.checker.broken[0].startswith("2:")


def test_checker_finds_a_send_to_a_drained_worker() -> None:
    driver = scripted_driver([interface.SendAttempt(1, 100)], interface.JobArrived)
    driver.feed(
        interface.MembershipUpdate(UpdateKind.CHANGES, 2, [interface.MemberEntry(100, WorkerState.DRAINING)])
    )
    driver.advance(driver.now + 0.6)
    driver.feed(job(1))
    assert driver.checker.broken == ["3: send to 100, which has left"]


def test_checker_finds_connections_kept_to_a_leaving_worker() -> None:
    chosen = settings(rules__drainRelease="0.8")
    for are_closed in (False, True):
        driver = PolicyDriver(
            chosen,
            lambda _now, _event, close=are_closed: [interface.CloseIdleConnections(100)] if close else [],
        )
        driver.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 1, members(2)))
        driver.feed(
            interface.MembershipUpdate(
                UpdateKind.CHANGES, 2, [interface.MemberEntry(100, WorkerState.DRAINING)]
            )
        )
        driver.checker.end(driver.now + 1.0)
        assert bool(driver.checker.broken) != are_closed


def test_checker_finds_an_overloaded_cold_worker() -> None:
    driver = scripted_driver([], interface.JobArrived)
    driver.feed(
        interface.MembershipUpdate(UpdateKind.CHANGES, 2, [interface.MemberEntry(100, started_at=driver.now)])
    )
    for number in range(1, 7):
        driver.feed(job(number))
        driver.checker.actions(driver.now, [interface.SendAttempt(number, 100)])
    assert any(text.startswith("4:") for text in driver.checker.broken)

"""Decisions on repeats."""

from __future__ import annotations

import pytest
from helpers import job, outcome, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER
from beaconhinge.policy.interface import (
    RETRY_FLAG,
    AttemptOutcome,
)


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

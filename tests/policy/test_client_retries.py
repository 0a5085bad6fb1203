"""Retries of deduplicated and unsafe requests."""

from __future__ import annotations

import pytest
from helpers import job, outcome, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER
from beaconhinge.policy.interface import (
    RETRY_FLAG,
    AttemptOutcome,
)


def test_retry_in_dedup_window_allows_for_connect_timeout() -> None:
    """A retry decided just inside the window may be written up to `connectTimeout` later, outside it."""

    def is_retried(at: float) -> bool:
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
    assert [is_retried(at) for at in (100.5, 101.7, 101.8, 102.0)] == [True, True, False, False]


@pytest.mark.parametrize(
    ("remaining", "flags", "marks_retries", "expected"),
    [
        (3.0, 0, "true", [True, True, False]),
        (3.0, RETRY_FLAG, "true", [True, False, False]),
        (3.0, 0, "false", [True, False, False]),
        (4.0, 0, "false", [True, True, False]),
    ],
)
def test_dedup_window_counts_from_the_clients_first_try(
    remaining: float, flags: int, marks_retries: str, expected: list[bool]
) -> None:
    """Another dispatcher may have sent the first try.

    If the window counted from this dispatcher's own first send, the deduplication group's could be over.
    """

    def is_retried(at: float) -> bool:
        dispatcher = started(
            count=3,
            requestClasses__1__aim="3",
            clients__marksRetry=marks_retries,
            policyLimits__connectTimeout="0.25",
        )
        dispatcher.limits.by_kind[0] = 20.0
        dispatcher.arrivals.max_client_timeouts[1] = 4.0  # so 3 s left mean that the first try was 1 s ago
        [first] = [
            send
            for n in range(1, 9)
            for send in sends(dispatcher.handle(100.0, job(n, 1, remaining=remaining, flags=flags)))
            if send.worker == 100
        ][:1]
        again = sends(dispatcher.handle(at, outcome(first.request, 100, AttemptOutcome.CONNECTION_LOST)))
        return [send.worker for send in again if send.request == first.request] == [102]

    # The window is 2 s from the first try, which is this send or was 1 s before it.
    assert [is_retried(at) for at in (100.5, 101.2, 101.8)] == expected


def test_unsafe_job_is_sent_to_no_worker_twice() -> None:
    """An unsafe job is never sent to the same worker again, even if its attempt there did not run.

    The call-back about the end of the first attempt may be repeated up to ten times. It would be taken as the
    end of a second attempt on that worker, and the job would be sent to a third worker while it still runs.
    """
    for cls, same_worker_allowed in ((0, True), (2, False)):
        dispatcher, at = started(count=2, policyLimits__cancel="false"), 100.0
        [send] = sends(dispatcher.handle(at, job(1, cls, remaining=60.0)))
        workers = [send.worker]
        for attempt in range(3):
            at += 0.3
            again = sends(
                dispatcher.handle(at, outcome(1, workers[-1], AttemptOutcome.NO_CONNECTION, attempt))
            )
            again = again or sends(dispatcher.handle(at + 0.2, interface.TimerFired(TICK_TIMER)))
            if not again:
                break
            workers.append(again[0].worker)
        assert (len(workers) > len(set(workers))) is same_worker_allowed
        assert len(set(workers)) == 2

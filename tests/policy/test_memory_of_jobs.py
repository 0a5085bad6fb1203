"""The policy keeps nothing of a job that has ended, in a group or alone, with peer messages or without."""

from __future__ import annotations

import tracemalloc

import pytest
from helpers import job, outcome, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import REPORT_TIMER, TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import AttemptOutcome

JOB_INTERVAL_S = 0.05
TIMER_INTERVAL_JOBS = 10
MAX_GROWTH_PER_JOB_BYTES = 5


def run_jobs(dispatcher: Dispatcher, first: int, count: int) -> None:
    """Feed jobs that are served at once, and the timers."""
    for number in range(first, first + count):
        now = 100.0 + number * JOB_INTERVAL_S
        for attempt in sends(dispatcher.handle(now, job(number))):
            served = outcome(number, attempt.worker, AttemptOutcome.SERVED, latency=0.01)
            dispatcher.handle(now + 0.01, served)
        if number % TIMER_INTERVAL_JOBS == 0:
            for token in (TICK_TIMER, REPORT_TIMER):
                dispatcher.handle(now + 0.02, interface.TimerFired(token))


@pytest.mark.parametrize(
    ("group_size", "peers"), [(1, "true"), (1, "false"), (2, "true"), (2, "false"), (40, "false")]
)
def test_memory_does_not_grow_with_the_number_of_jobs(group_size: int, peers: str) -> None:
    """Guards against a dispatcher that fills its memory job by job where it has nobody to gossip with."""
    dispatcher = started(groupSize=str(group_size), policyLimits__peers=peers)
    run_jobs(dispatcher, 1, 2000)
    tracemalloc.start()
    try:
        run_jobs(dispatcher, 2001, 2000)
        growth_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert growth_bytes < MAX_GROWTH_PER_JOB_BYTES * 2000

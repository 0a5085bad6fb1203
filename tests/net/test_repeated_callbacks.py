"""Call-backs that a worker repeats: one about an earlier attempt never counts as the end of a later one there.

Times are seconds of a virtual clock.
"""

from __future__ import annotations

import asyncio

import pytest
from attempt_scenario import DEDUPLICATED_CLASS, Scenario, play

from beaconhinge.dispatch.job import RequestEnd
from beaconhinge.net.http1 import Message

ENDS = ("returned", "failed", "lost")


@pytest.mark.parametrize("repeated_after_s", [0.0, 0.1, 2.0])
@pytest.mark.parametrize("state", ["started", "returned"])
def test_repeat_of_a_callback_sends_no_keyed_job_to_a_second_cell(
    state: str, repeated_after_s: float
) -> None:
    """Guards against a keyed job that runs in two cells: a repeated call-back ended the attempt that ran.

    The first worker hands the job back, the second one, in the other cell, turns it away.
    """

    async def scenario(s: Scenario) -> None:
        first = await s.until_written(1)
        await asyncio.sleep(0.05)
        s.call_back(first, "returned")
        await s.until_written(2)
        last = await s.until_written(3)  # a repeat that is allowed is not suppressed
        s.call_back(last, "started")
        await asyncio.sleep(repeated_after_s)
        s.call_back(first, state)
        await asyncio.sleep(1.0)
        assert len(s.pool.written) == 3, "the job is under way"
        s.call_back(last, "done", result="served")
        await s.request.answer
        assert last != first, "its call-backs cannot be told apart"

    turned_away = Message(status=503, headers={"x-not-processed": "1"})
    played = play(scenario, DEDUPLICATED_CLASS, answers=[Message(status=202), turned_away])
    assert played.request.answer.result().end is RequestEnd.SERVED
    assert not played.broken()


@pytest.mark.parametrize("second_end", ENDS)
@pytest.mark.parametrize("first_end", ENDS)
def test_job_that_may_run_on_is_withdrawn_before_it_goes_on(first_end: str, second_end: str) -> None:
    """Guards against a second attempt beside the first: a repeated call-back ended the attempt that runs.

    Both workers have ended an attempt of a job that may be repeated; the first one has a second attempt.
    """

    async def scenario(s: Scenario) -> None:
        first = await s.until_written(1)
        await asyncio.sleep(0.05)
        s.call_back(first, first_end)
        second = await s.until_written(2)
        await asyncio.sleep(0.05)
        s.call_back(second, "failed")
        assert await s.until_written(3) == first
        await asyncio.sleep(0.05)
        assert not s.pool.confirmed
        s.call_back(first, second_end)
        assert await s.until_written(4) == second
        await asyncio.sleep(0.2)
        # An end that the earlier attempt did not have is that of the later one.
        assert bool(s.pool.confirmed) == (first_end == second_end)
        s.call_back(second, "done", result="served")
        await s.request.answer

    played = play(scenario)
    assert played.request.answer.result().end is RequestEnd.SERVED
    assert played.metrics.counters["callbacks_uncertain"] == (first_end == second_end)
    assert not played.broken()


@pytest.mark.parametrize("state", [*ENDS, "done"])
def test_any_end_after_an_unanswered_attempt_is_uncertain(state: str) -> None:
    """A worker that took a job behind a connection that had ended may report any end, and late."""

    async def scenario(s: Scenario) -> None:
        first = await s.until_written(1)
        await s.until_written(2)
        s.pool.breaks = False
        assert await s.until_written(3) == first
        confirmed = len(s.pool.confirmed)
        await asyncio.sleep(0.05)
        s.call_back(first, state, result="served")
        await asyncio.sleep(0.2)
        assert len(s.pool.confirmed) > confirmed
        if state != "done":
            await s.until(lambda: len(s.pool.written) == 4)
            s.call_back(s.pool.written[-1][1].worker, "done", result="served")
        assert (await s.request.answer).body == b"served"

    assert not play(scenario, breaks=True).broken()

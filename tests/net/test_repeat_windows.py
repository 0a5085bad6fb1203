"""Repeats of a job that may have run: never written after their window or in another group, however long they wait.

Times are seconds of a virtual clock, from the write of the first attempt.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any

import pytest
from fake_pool import FakePool
from helpers import members, settings
from virtual_time import PausingClock, run_in_virtual_time

from beaconhinge.dispatch.job import Job, RequestEnd
from beaconhinge.dispatch.policy_runner import PolicyRunner
from beaconhinge.dispatch.request_table import RequestTable
from beaconhinge.net.attempts import AttemptSender
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

WINDOW_S = 2.0
HOLD_UP_S = 0.15  # between reading the clock and writing: STANDING
CONNECT_TIMEOUT_S = 0.25
DEADLINE_S = 15.0
DEDUPLICATED_CLASS = 1
LOST_S = (0.2, 1.0, 1.6)  # when the first attempt is lost
WAITS_S = (0.0, 0.1, 0.5, 1.0, 2.0, 5.8, 10.0)  # from the loss until the list may be acted on again
CONNECT_S = (0.0, 0.24)


@dataclass
class Run:
    """What a run wrote, when and how it was answered, and its counters."""

    written: list[tuple[float, interface.MemberEntry]]
    answered_s: float
    end: RequestEnd
    counters: Counter[str]

    @property
    def repeats(self) -> list[tuple[float, interface.MemberEntry]]:
        """The writes after the first one, with their times since the first one."""
        return [(at - self.written[0][0], entry) for at, entry in self.written[1:]]


def run_job(lost_s: float, wait_s: float, connect_s: float, group: str = "cell", moves: bool = False) -> Run:
    """Run a job whose first attempt is lost while the list is unknown; its repeat is served, if there is one.

    Args:
        lost_s: When the first attempt is lost.
        wait_s: How long after that the list may be acted on again.
        connect_s: How long each connection takes.
        group: The group of workers that share deduplication.
        moves: Whether a list moves all workers to the other cell while the repeat waits.
    """

    async def scenario(clock: PausingClock) -> Run:
        metrics = Metrics(clock.now, writer=lambda event, fields: None)
        timers = TimerWheel(clock.now, metrics.log_exception)
        job_settings = settings(
            requestClasses__1__group=group,
            requestClasses__1__dedupWindow=str(WINDOW_S),
            requestClasses__1__hardLimit=str(DEADLINE_S),
            policyLimits__connectTimeout=str(CONNECT_TIMEOUT_S),
        )
        runner = PolicyRunner(Dispatcher(job_settings, 1), timers, metrics)
        pool = FakePool(clock, timers, connect_s)
        config: Any = SimpleNamespace(settings=job_settings)
        load_reports: Any = SimpleNamespace(parse=lambda _text: None)
        fake_pool: Any = pool
        sender = AttemptSender(config, fake_pool, load_reports, runner, timers, metrics)
        table = RequestTable(runner, sender, timers, metrics, job_settings, ["render", "publish", "transfer"])
        entries = members(8)
        pool.list_members(entries)
        runner.feed(interface.Start())
        runner.feed(interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, entries))
        job = Job("a", DEDUPLICATED_CLASS, 0, DEADLINE_S, clock.now(), b"/publish", b"", idempotency_key="k")
        request = table.take(job)
        await asyncio.sleep(connect_s + lost_s)
        lost_at = clock.now()
        pool.usable_from_s = lost_at + wait_s
        first = next(iter(sender.open.values())).attempt
        first.end(AttemptOutcome.CONNECTION_LOST)
        if moves:
            await asyncio.sleep(wait_s / 2)
            moved = [replace(entry, cell=1 - entry.cell) for entry in entries]
            pool.list_members(moved)
            runner.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, moved))
        while not request.answer.done():
            await asyncio.sleep(0.05)
            for sent in list(sender.open.values()) if len(pool.written) > 1 else []:
                sent.attempt.end(AttemptOutcome.SERVED, b"done")
        answer = request.answer.result()
        return Run(pool.written, clock.now() - job.received_at, answer.end, metrics.counters)

    clock = PausingClock()
    return run_in_virtual_time(clock, scenario(clock))


@pytest.mark.parametrize(
    ("lost_s", "wait_s", "connect_s"), list(itertools.product(LOST_S, WAITS_S, CONNECT_S))
)
def test_repeat_is_written_within_its_window_or_never(lost_s: float, wait_s: float, connect_s: float) -> None:
    """Guards against a job that is applied twice: its repeat waited for the list until after its window."""
    run = run_job(lost_s, wait_s, connect_s)
    first_cell = run.written[0][1].cell
    assert all(after_s <= WINDOW_S - HOLD_UP_S and entry.cell == first_cell for after_s, entry in run.repeats)
    written_s = lost_s + wait_s + 2 * connect_s + 0.05  # the timer wheel adds some milliseconds
    if written_s < WINDOW_S - CONNECT_TIMEOUT_S:
        assert len(run.repeats) == 1, "a repeat that was still in time"
        assert run.end is RequestEnd.SERVED
    if not run.repeats:
        assert run.end is RequestEnd.FAILED
        assert (
            run.answered_s <= WINDOW_S + connect_s + 0.3
        )  # at once when the window ends, not at the deadline
    assert not [name for name in run.counters if name.startswith(("broken_", "invariant_", "task_"))]


@pytest.mark.parametrize("wait_s", [0.2, 0.6])
def test_repeat_is_not_written_to_a_worker_that_a_list_has_moved_to_another_cell(wait_s: float) -> None:
    """Guards against a repeat in a group that has not seen the key, where the list changed during the wait."""
    run = run_job(0.2, wait_s, 0.0, moves=True)
    first_cell = run.written[0][1].cell
    assert [entry.cell for _, entry in run.repeats] == [first_cell]
    assert run.end is RequestEnd.SERVED
    assert not [name for name in run.counters if name.startswith(("broken_", "invariant_", "task_"))]


def test_refusal_of_a_late_repeat_is_counted() -> None:
    run = run_job(1.0, 5.8, 0.0)
    assert run.counters["send_refused_repeat_late"] == 1
    assert run.counters["outcome_" + AttemptOutcome.NOT_SENT] == 1

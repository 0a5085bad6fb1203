"""Timers fire once and never early, and a block with a timeout ends in time."""

from __future__ import annotations

import asyncio

import pytest

from beaconhinge.runtime.clock import Clock
from beaconhinge.runtime.timer_wheel import SLOTS, TICK_S, TimerWheel


@pytest.mark.parametrize("seconds", [0.0, TICK_S, 0.02, 0.0501, 0.1])
def test_timer_fires_once_and_never_early(seconds: float) -> None:
    async def run() -> None:
        clock, failures = Clock(), []
        timers = TimerWheel(clock.now, lambda where, error: failures.append(error))
        fired: asyncio.Queue[float] = asyncio.Queue()
        start = clock.now()
        timers.after(1.0, lambda: fired.put_nowait(0.0))  # a distant timer must not delay a near one
        timers.after(seconds, lambda: 1 / 0)  # a failing timer must not stop the others
        timers.after(seconds, lambda: fired.put_nowait(0.0)).cancel()
        timers.after(seconds, lambda: fired.put_nowait(clock.now() - start))
        assert seconds - 1e-4 <= await asyncio.wait_for(fired.get(), 0.9) < seconds + 0.5
        assert fired.empty()
        assert len(failures) == 1

    asyncio.run(run())


def test_timers_beyond_one_rotation_are_kept_and_late_ones_all_fire() -> None:
    async def run() -> None:
        now, fired = [0.0], []
        timers = TimerWheel(lambda: now[0], lambda where, error: None)
        for ticks in (1, SLOTS - 1, SLOTS, SLOTS + 1, 3 * SLOTS + 5):
            timers.after(ticks * TICK_S, lambda ticks=ticks: fired.append(ticks))
        now[0] += SLOTS * TICK_S
        timers.fire_due()
        assert fired == [1, SLOTS - 1, SLOTS]
        now[0] += 10 * SLOTS * TICK_S
        timers.fire_due()
        assert fired == [1, SLOTS - 1, SLOTS, SLOTS + 1, 3 * SLOTS + 5]

    asyncio.run(run())


def test_no_timer_fires_after_stop_even_if_set_before_it() -> None:
    async def run() -> None:
        now, fired = [0.0], list[str]()
        timers = TimerWheel(lambda: now[0], lambda where, error: None)
        timers.after(TICK_S, lambda: fired.append("before"))
        timers.stop()
        timers.after(TICK_S, lambda: fired.append("after"))
        now[0] += 1.0
        timers.fire_due()
        assert fired == []

    asyncio.run(run())


def test_timeout_ends_its_block_and_passes_on_a_cancellation() -> None:
    async def run() -> None:
        timers = TimerWheel(Clock().now, lambda where, error: None)

        async def body(seconds: float) -> None:
            async with timers.timeout(seconds):
                await asyncio.Event().wait()

        with pytest.raises(TimeoutError):
            await body(0.02)
        task = asyncio.create_task(body(5.0))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())

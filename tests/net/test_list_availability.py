"""Whether senders may act on the endpoint list, and whether they wait until they may, in simulated time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, cast

from beaconhinge.membership.freshness import LIST_MAX_AGE_S, PROCESS_PAUSE_S
from beaconhinge.net.list_availability import ListAvailability
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

CHECK_S = 0.15


class FakeTimers:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class FakeMetrics:
    """Counts what is logged, and keeps the fields of the last line."""

    def __init__(self) -> None:
        self.counters = Counter[str]()
        self.fields: dict[str, Any] = {}

    def count_and_log(self, name: str, **fields: Any) -> None:
        self.counters[name] += 1
        self.fields = fields


class Setup:
    """A list that was confirmed just now, with fakes around it."""

    def __init__(self) -> None:
        self.timers, self.metrics, self.pauses = FakeTimers(), FakeMetrics(), 0
        self.availability = ListAvailability(
            False, cast(TimerWheel, self.timers), cast(Metrics, self.metrics), self.count_pause
        )

    def count_pause(self) -> None:
        self.pauses += 1

    def confirm(self) -> None:
        self.availability.handle_answer(self.timers.time, self.timers.time)
        self.availability.update()

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / CHECK_S)):
            self.timers.time += CHECK_S
            self.availability.update()


async def waits(availability: ListAvailability) -> bool:
    """Whether a sender has to wait at this moment."""
    sender = asyncio.ensure_future(availability.wait_until_usable())
    for _ in range(3):
        await asyncio.sleep(0)
    if sender.done():
        return False
    sender.cancel()
    return True


def test_senders_wait_from_the_start_until_discovery_has_answered() -> None:
    async def scenario() -> None:
        setup = Setup()
        assert not setup.availability.usable
        sender = asyncio.ensure_future(setup.availability.wait_until_usable())
        await asyncio.sleep(0)
        assert not sender.done()
        setup.confirm()
        async with asyncio.timeout(1.0):
            await sender
        assert not setup.metrics.counters

    asyncio.run(scenario())


def test_list_that_turns_unknown_is_logged_once_with_its_age_and_has_senders_wait() -> None:
    async def scenario() -> None:
        setup = Setup()
        setup.confirm()
        assert not await waits(setup.availability)
        setup.run_for(LIST_MAX_AGE_S + 1.0)
        assert await waits(setup.availability)
        assert setup.metrics.counters == {"list_unknown": 1}
        assert LIST_MAX_AGE_S < setup.metrics.fields["list_age"] <= LIST_MAX_AGE_S + 2 * CHECK_S
        setup.confirm()
        assert not await waits(setup.availability)

    asyncio.run(scenario())


def test_sender_that_comes_before_the_next_update_does_not_pass_by_a_stale_event() -> None:
    async def scenario() -> None:
        setup = Setup()
        setup.confirm()
        setup.run_for(LIST_MAX_AGE_S - 2 * CHECK_S)
        setup.timers.time += 4 * CHECK_S  # no update since: the event is still set
        assert await waits(setup.availability)

    asyncio.run(scenario())


def test_pause_of_the_process_is_reported_once_and_has_senders_wait() -> None:
    async def scenario() -> None:
        setup = Setup()
        setup.confirm()
        setup.run_for(1.0)
        setup.timers.time += LIST_MAX_AGE_S + PROCESS_PAUSE_S
        assert not setup.availability.usable
        assert setup.pauses == 1
        assert await waits(setup.availability)
        assert setup.pauses == 1

    asyncio.run(scenario())

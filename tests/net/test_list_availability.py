"""Senders wait until the endpoint list may be acted on. Simulated time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, cast

from beaconhinge.membership.freshness import LIST_MAX_AGE_S, PROCESS_PAUSE_S
from beaconhinge.net.list_availability import ListAvailability
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

UPDATE_INTERVAL_S = 0.15


class FakeTimers:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class FakeMetrics:
    """Counts logged events by name, and keeps the fields of the last one."""

    def __init__(self) -> None:
        self.counters = Counter[str]()
        self.fields: dict[str, Any] = {}

    def count_and_log(self, name: str, **fields: Any) -> None:
        self.counters[name] += 1
        self.fields = fields


class Setup:
    """A ListAvailability with a fake clock and fake metrics, before discovery has confirmed the list."""

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
        for _ in range(round(seconds / UPDATE_INTERVAL_S)):
            self.timers.time += UPDATE_INTERVAL_S
            self.availability.update()


async def must_wait(availability: ListAvailability) -> bool:
    """Return whether a sender has to wait now."""
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


def test_list_that_becomes_unknown_is_logged_once_and_blocks_senders() -> None:
    async def scenario() -> None:
        setup = Setup()
        setup.confirm()
        assert not await must_wait(setup.availability)
        setup.run_for(LIST_MAX_AGE_S + 1.0)
        assert await must_wait(setup.availability)
        assert setup.metrics.counters == {"list_unknown": 1}
        assert LIST_MAX_AGE_S < setup.metrics.fields["list_age"] <= LIST_MAX_AGE_S + 2 * UPDATE_INTERVAL_S
        setup.confirm()
        assert not await must_wait(setup.availability)

    asyncio.run(scenario())


def test_sender_waits_if_the_list_became_unknown_since_the_last_update() -> None:
    async def scenario() -> None:
        setup = Setup()
        setup.confirm()
        setup.run_for(LIST_MAX_AGE_S - 2 * UPDATE_INTERVAL_S)
        setup.timers.time += 4 * UPDATE_INTERVAL_S  # no update since: the event is still set
        assert await must_wait(setup.availability)

    asyncio.run(scenario())


def test_process_pause_is_reported_once_and_blocks_senders() -> None:
    async def scenario() -> None:
        setup = Setup()
        setup.confirm()
        setup.run_for(1.0)
        setup.timers.time += LIST_MAX_AGE_S + PROCESS_PAUSE_S
        assert not setup.availability.usable
        assert setup.pauses == 1
        assert await must_wait(setup.availability)
        assert setup.pauses == 1

    asyncio.run(scenario())

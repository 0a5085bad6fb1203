"""The interface for parts of the program: a tenure, its guard, its end. One member, an injected clock, no sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from beaconhinge.config.local import LeaseOptions as Settings
from beaconhinge.leases import terms
from beaconhinge.leases.holder import Tenure
from beaconhinge.net.leases import LeaseLost, LeaseService, _LocalLease
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel


class Alone:
    """A dispatcher that is its own majority."""

    def __init__(self) -> None:
        self.now = 100.0
        self.logged: list[str] = []
        self.metrics = Metrics(lambda: self.now, writer=lambda event, fields: self.logged.append(event))
        self.timers = TimerWheel(lambda: self.now, self.metrics.log_exception)
        settings = SimpleNamespace(own_number=0, group_size=1)
        config: Any = SimpleNamespace(name="n0", settings=settings, peer_listen=None)
        peers: Any = SimpleNamespace(handlers={}, config=config, send=lambda number, payload: None)
        self.leases = LeaseService(
            Settings(enabled=True, span_s=2.0), config, None, peers, self.timers, self.metrics
        )

    async def begin(self) -> None:
        self.leases.open()
        await asyncio.sleep(0)
        self.pass_(2.1)  # its silence

    def pass_(self, seconds: float) -> None:
        self.now += seconds
        self.timers.fire_due()

    def voted(self, name: str) -> bool:
        assert self.leases.node is not None
        vote = self.leases.node.member.votes.get(terms.lease_key(name))
        return vote is not None and self.now < vote.until


def played(scenario: Callable[[Alone], Awaitable[None]]) -> Alone:
    async def whole() -> Alone:
        alone = Alone()
        await alone.begin()
        await scenario(alone)
        return alone

    return asyncio.run(whole())


def test_an_act_may_begin_with_its_longest_time_left_and_the_lease_is_kept_till_it_is_over() -> None:
    async def scenario(alone: Alone) -> None:
        tenures = []

        async def body() -> None:
            async with alone.leases.hold("export") as tenure:
                tenures.append(tenure)
                assert tenure.number > 100_000
                assert 1.9 < tenure.seconds_left < 2.0
                assert not tenure.may_act(2.0)
                assert tenure.may_act(0.5)

        task = asyncio.create_task(body())
        await asyncio.sleep(0)
        [tenure] = tenures
        alone.pass_(0.4)
        await asyncio.sleep(0)
        assert alone.voted("export")
        assert not task.done()
        alone.pass_(0.2)
        await task
        assert not alone.voted("export")
        assert not tenure.may_act(0.1)
        assert tenure.seconds_left == 0.0
        async with alone.leases.hold("export") as again:
            assert again.number > tenure.number
            assert again.may_act(0.5)
            assert not tenure.may_act(0.1)
            again.act_done()
        assert not alone.voted("export")

    played(scenario)


def test_who_was_stopped_finds_its_tenure_over_before_anything_else() -> None:
    async def scenario(alone: Alone) -> None:
        with pytest.raises(LeaseLost):
            async with alone.leases.hold("export") as tenure:
                alone.now += 10.0  # no timer has run yet
                assert not tenure.may_act(0.1)
                assert tenure.seconds_left == 0.0
                await asyncio.sleep(60)
        assert "lease_lost" in alone.logged

    played(scenario)


def test_it_is_renewed_while_it_is_held_and_one_body_waits_for_the_other() -> None:
    async def scenario(alone: Alone) -> None:
        order = []

        async def body(name: str) -> None:
            async with alone.leases.hold("export") as tenure:
                order.append(name)
                for _ in range(40):
                    alone.pass_(0.1)
                    await asyncio.sleep(0)
                    assert tenure.seconds_left > 0.5
                order.append(name)

        await asyncio.gather(body("a"), body("b"))
        assert order == ["a", "a", "b", "b"]

    assert played(scenario).metrics.counters["leases_held"] == 2


def test_a_cancel_from_elsewhere_stays_one_and_what_is_no_name_is_refused() -> None:
    async def scenario(alone: Alone) -> None:
        async def body() -> None:
            async with alone.leases.hold("export"):
                await asyncio.sleep(60)

        task = asyncio.create_task(body())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert not alone.voted("export")
        for name in ("", "Export", "a b", "x" * 41):
            with pytest.raises(ValueError, match="name"):
                alone.leases.hold(name)

    played(scenario)


def test_the_wait_for_an_act_ends_though_the_timers_have_stopped() -> None:
    """A process that ended beside load hung until SIGKILL: its call under a lease was cancelled in an act.

    Cause: the wait for the act's end was a timer's, and none fires once the last answer is written. Shown by five
    processes of 60 that hung, and none of 75 since the wait is the loop's own.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        timers = TimerWheel(loop.time, lambda where, error: None)
        timers.stop()
        service = LeaseService.__new__(LeaseService)
        service.timers = timers
        service.current_tenure = lambda lease: Tenure(1, loop.time() + 1.0, 1)  # type: ignore[method-assign]
        lease = _LocalLease("export")
        lease.busy_until = loop.time() + 0.02
        async with asyncio.timeout(2.0):
            await service.wait_for_acts(lease)
        assert loop.time() >= lease.busy_until

    asyncio.run(run())

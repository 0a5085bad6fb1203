"""Leases as other modules use them: tenures, `may_act` and their end. One member, fake clock, no sockets."""

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


class SingleMember:
    """The leases of a dispatcher that is the only member, with a clock that tests set."""

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
        self.advance_clock(2.1)  # until it may vote

    def advance_clock(self, seconds: float) -> None:
        self.now += seconds
        self.timers.fire_due()

    def has_vote(self, name: str) -> bool:
        assert self.leases.node is not None
        vote = self.leases.node.member.votes.get(terms.lease_key(name))
        return vote is not None and self.now < vote.until


def run_alone(scenario: Callable[[SingleMember], Awaitable[None]]) -> SingleMember:
    async def run() -> SingleMember:
        member = SingleMember()
        await member.begin()
        await scenario(member)
        return member

    return asyncio.run(run())


def test_lease_is_kept_until_the_act_in_progress_is_over() -> None:
    """Else another process could act at the same time; an act that may outlast the tenure must not begin."""

    async def scenario(member: SingleMember) -> None:
        tenures = []

        async def body() -> None:
            async with member.leases.hold("export") as tenure:
                tenures.append(tenure)
                assert tenure.number > 100_000
                assert 1.9 < tenure.seconds_left < 2.0
                assert not tenure.may_act(2.0)
                assert tenure.may_act(0.5)

        task = asyncio.create_task(body())
        await asyncio.sleep(0)
        [tenure] = tenures
        member.advance_clock(0.4)
        await asyncio.sleep(0)
        assert member.has_vote("export")
        assert not task.done()
        member.advance_clock(0.2)
        await task
        assert not member.has_vote("export")
        assert not tenure.may_act(0.1)
        assert tenure.seconds_left == 0.0
        async with member.leases.hold("export") as again:
            assert again.number > tenure.number
            assert again.may_act(0.5)
            assert not tenure.may_act(0.1)
            again.act_done()
        assert not member.has_vote("export")

    run_alone(scenario)


def test_tenure_is_over_after_a_stop_before_any_timer_runs() -> None:
    """A process that was stopped for more than a span could otherwise act while another holds the lease."""

    async def scenario(member: SingleMember) -> None:
        with pytest.raises(LeaseLost):
            async with member.leases.hold("export") as tenure:
                member.now += 10.0  # no timer has run yet
                assert not tenure.may_act(0.1)
                assert tenure.seconds_left == 0.0
                await asyncio.sleep(60)
        assert "lease_lost" in member.logged

    run_alone(scenario)


def test_lease_is_renewed_while_held_and_bodies_run_one_after_another() -> None:
    """Two bodies of one process must not hold the lease at once, nor a long body lose it."""

    async def scenario(member: SingleMember) -> None:
        order = []

        async def body(name: str) -> None:
            async with member.leases.hold("export") as tenure:
                order.append(name)
                for _ in range(40):
                    member.advance_clock(0.1)
                    await asyncio.sleep(0)
                    assert tenure.seconds_left > 0.5
                order.append(name)

        await asyncio.gather(body("a"), body("b"))
        assert order == ["a", "a", "b", "b"]

    assert run_alone(scenario).metrics.counters["leases_held"] == 2


def test_outside_cancel_is_not_lease_lost_and_bad_names_are_rejected() -> None:
    """LeaseLost must replace only the cancellation by the lease itself, or a task could not be cancelled."""

    async def scenario(member: SingleMember) -> None:
        async def body() -> None:
            async with member.leases.hold("export"):
                await asyncio.sleep(60)

        task = asyncio.create_task(body())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert not member.has_vote("export")
        for name in ("", "Export", "a b", "x" * 41):
            with pytest.raises(ValueError, match="name"):
                member.leases.hold(name)

    run_alone(scenario)


def test_wait_for_an_act_ends_after_the_timers_have_stopped() -> None:
    """A process that ended under load hung until SIGKILL when its call under a lease was cancelled in an act.

    The wait for the act's end used a timer of the timer wheel, which fires none once the last answer is
    written: 5 of 60 processes hung. With the wait on the event loop's clock none of 75 did.
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

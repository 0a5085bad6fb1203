"""Ids of open requests in an upgrade: no id is taken by both processes, whichever of them a client reaches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from virtual_time import PausingClock, run_in_virtual_time

from beaconhinge.management.frames import FrameKind
from beaconhinge.net.request_ids import CLAIM_TIMEOUT_S, Claim, RequestIds
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

LINK_DELAY_S = 0.001


class FakeProcess:
    """The ids of one process, with its open requests; frames to others arrive after LINK_DELAY_S."""

    def __init__(self, clock: PausingClock) -> None:
        self.open: set[str] = set()
        self.metrics = Metrics(clock.now, writer=lambda event, fields: None)
        timers = TimerWheel(clock.now, self.metrics.log_exception)
        self.ids = RequestIds(self.open, timers, self.metrics)
        self.link_works = True

    def follow(self, older: FakeProcess) -> None:
        """Become the newer process of `older`."""

        def deliver(target: FakeProcess, receive: Callable[[int, str], None], kind: int, data: bytes) -> None:
            if target.link_works:
                asyncio.get_running_loop().call_later(LINK_DELAY_S, receive, kind, data.decode())

        def to_newer(kind: int, data: bytes) -> None:
            deliver(self, self._receive_decision, kind, data)

        def receive_claim(kind: int, request: str) -> None:
            if kind == FrameKind.CLAIM_ID:
                older.metrics.spawn(older.ids.grant(request, to_newer), "grant")
            else:
                older.ids.released(request)

        self.ids.ask_older_process(lambda kind, data: deliver(older, receive_claim, kind, data))

    def _receive_decision(self, kind: int, request: str) -> None:
        self.ids.decided(request, Claim.GRANTED if kind == FrameKind.ID_GRANTED else Claim.IN_USE)

    async def take(self, request: str) -> bool:
        """Take a request as the router does; returns whether it was taken."""
        if request in self.ids or await self.ids.claim(request) is not Claim.GRANTED:
            return False
        self.open.add(request)
        return True

    def finish(self, request: str) -> None:
        self.open.remove(request)
        self.ids.release(request)


def play(scenario: Callable[[list[FakeProcess]], Coroutine[Any, Any, None]], count: int = 2) -> None:
    """Play a scenario of so many processes, each the newer one of the process before it."""
    clock = PausingClock()

    async def run() -> None:
        processes = [FakeProcess(clock) for _ in range(count)]
        for older, newer in zip(processes, processes[1:], strict=False):
            newer.follow(older)
        await scenario(processes)

    run_in_virtual_time(clock, run())


@pytest.mark.parametrize("offset_s", [0.0, 0.0005, LINK_DELAY_S, 0.0015, 2 * LINK_DELAY_S, 0.1])
@pytest.mark.parametrize(("first", "second"), [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1), (1, 1)])
def test_id_is_taken_once_however_close_the_requests_come(first: int, second: int, offset_s: float) -> None:
    """Guards against an open id that the other process of an upgrade takes for a new one (review/9)."""

    async def scenario(processes: list[FakeProcess]) -> None:
        taking = asyncio.create_task(processes[first].take("a"))
        await asyncio.sleep(offset_s)
        taken = [await processes[second].take("a"), await taking]
        assert taken.count(True) == 1
        (holder,) = (process for process in processes if "a" in process.open)
        holder.finish("a")
        await asyncio.sleep(0.01)
        # A client's honest retry, wherever it comes.
        for process in processes:
            assert await process.take("a")
            process.finish("a")
            await asyncio.sleep(0.01)

    play(scenario, 3)


def test_ids_of_a_process_that_has_ended_are_free() -> None:
    async def scenario(processes: list[FakeProcess]) -> None:
        older, newer = processes
        assert await newer.take("of the newer one")
        older.ids.newer_process_ended()
        assert await older.take("of the newer one")
        assert await older.take("of the older one")
        newer.ids.older_process_ended()
        assert await newer.take("of the older one")

    play(scenario)


def test_end_of_the_older_process_decides_what_it_was_asked() -> None:
    async def scenario(processes: list[FakeProcess]) -> None:
        older, newer = processes
        older.link_works = False
        taking = asyncio.create_task(newer.take("a"))
        await asyncio.sleep(0.01)
        assert not taking.done()
        newer.ids.older_process_ended()
        assert await taking

    play(scenario)


def test_older_process_that_does_not_answer_leaves_the_id_unknown_in_time() -> None:
    """A process that stands still must not hold up the clients of the other one."""

    async def scenario(processes: list[FakeProcess]) -> None:
        older, newer = processes
        older.link_works = False
        began = asyncio.get_running_loop().time()
        assert await newer.ids.claim("a") is Claim.UNKNOWN
        assert asyncio.get_running_loop().time() - began < CLAIM_TIMEOUT_S + 0.01
        older.link_works = True
        newer.ids.release("a")
        await asyncio.sleep(0.01)
        assert await newer.take("a")

    play(scenario)

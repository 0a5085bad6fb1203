"""Ages of workers stay right when the wall clock steps while a dispatcher runs."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest
from harness import SETTINGS, Harness, ReceivedMessage, reply, run_scenario

from beaconhinge.membership.inventory import worker_number
from beaconhinge.policy.dispatcher import Dispatcher

WARM_WITHIN_S = 20.0
SLOW_START = {"coldShare": 0.2, "warmWithin": WARM_WITHIN_S, "fallMultiple": 2.0, "tipAfter": 3.0}


class WallClock:
    """Replaces the wall clock that the dispatcher reads; `step` seconds are added to the real time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step = 0.0
        self._real = time.time
        monkeypatch.setattr("beaconhinge.runtime.clock.time.time", self.read)

    def read(self) -> float:
        return self._real() + self.step


@pytest.mark.parametrize("process_step", [-3600.0, -5.0, 0.0, 5.0, 3600.0])
@pytest.mark.parametrize("everywhere", [True, False])
def test_new_worker_is_in_slow_start_despite_steps_of_the_wall_clock(
    process_step: float, everywhere: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a step back the worker's age was an hour, and it got as many jobs as a warm one; after a step forward it
    was cold for an hour. `everywhere`: the clock of the worker's machine has stepped as well.
    """
    wall, dispatchers = WallClock(monkeypatch), list[Dispatcher]()

    def create_dispatcher(settings: Any, seed: int) -> Dispatcher:
        dispatchers.append(Dispatcher(settings, seed))
        return dispatchers[0]

    monkeypatch.setattr("beaconhinge.application.Dispatcher", create_dispatcher)

    async def scenario(harness: Harness) -> None:
        answered = asyncio.Event()

        async def script(message: ReceivedMessage) -> bytes | None:
            if answered.is_set():
                await asyncio.Event().wait()
            answered.set()
            started = wall.read() if everywhere else time.time() - wall.step
            changes = {
                "version": 1,
                "full": False,
                "servers": [harness.host(0, started_ms=round(started * 1000))],
            }
            return reply(200, json.dumps(changes).encode())

        await harness.discovery.seen.get()
        wall.step = process_step
        harness.discovery.script = script
        harness.discovery.cut()
        await answered.wait()
        dispatcher, number = dispatchers[0], worker_number("s-0")
        while not dispatcher.workers[number].started_at:
            await asyncio.sleep(0)
        worker = dispatcher.workers[number]
        assert dispatcher.slow_start.is_cold(worker)
        dispatcher.context.now += WARM_WITHIN_S + 1.0
        assert not dispatcher.slow_start.is_cold(worker)

    run_scenario(scenario, settings={**SETTINGS, "rules": {**SETTINGS["rules"], **SLOW_START}})

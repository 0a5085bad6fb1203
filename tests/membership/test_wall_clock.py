"""The wall clock steps while the program runs: what it takes from wall times must stay right."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest
from harness import SETTINGS, Harness, ReceivedMessage, reply, run_scenario

from beaconhinge.membership.inventory import worker_number
from beaconhinge.policy.dispatcher import Dispatcher

WARM_WITHIN = 20.0
SLOW_START = {"coldShare": 0.2, "warmWithin": WARM_WITHIN, "fallMultiple": 2.0, "tipAfter": 3.0}


class WallClock:
    """The wall clock as the program reads it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step = 0.0
        self._real = time.time
        monkeypatch.setattr("beaconhinge.runtime.clock.time.time", self.read)

    def read(self) -> float:
        return self._real() + self.step


@pytest.mark.parametrize("process_step", [-3600.0, -5.0, 0.0, 5.0, 3600.0])
@pytest.mark.parametrize("everywhere", [True, False])
def test_worker_that_has_just_started_is_in_slow_start_whatever_the_wall_clock_did(
    process_step: float, everywhere: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a step back its age was an hour, and it was sent as much as a warm one; after a step forward it was
    cold for an hour. `everywhere`: the worker's machine has stepped as well.
    """
    wall, modules = WallClock(monkeypatch), list[Dispatcher]()

    def made(settings: Any, seed: int) -> Dispatcher:
        modules.append(Dispatcher(settings, seed))
        return modules[0]

    monkeypatch.setattr("beaconhinge.application.Dispatcher", made)

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
        module, number = modules[0], worker_number("s-0")
        while not module.workers[number].started_at:
            await asyncio.sleep(0)
        worker = module.workers[number]
        assert module.slow_start.is_cold(worker)
        module.context.now += WARM_WITHIN + 1.0
        assert not module.slow_start.is_cold(worker)

    run_scenario(scenario, settings={**SETTINGS, "rules": {**SETTINGS["rules"], **SLOW_START}})

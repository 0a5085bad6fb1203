"""The time that a job tells its worker, where the process stands still while the job is made ready to be sent."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from virtual_time import PausingClock

from beaconhinge.dispatch.invariants import SendMonitor
from beaconhinge.net.attempts import AttemptSender
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

LEFT_S = 5.0
SLACK_S = 0.02  # of the 0.15 s that the terms allow


@pytest.mark.parametrize("pause_s", [0.005, 0.2, 0.9, 3.0])
def test_a_pause_while_a_job_is_encoded_is_no_part_of_the_time_that_its_worker_is_told(
    pause_s: float,
) -> None:
    # Guards against workers that are given more time than their client has left: 0.9 s after a pause of that length.
    async def announced(clock: PausingClock) -> tuple[float, float, int]:
        broken = list[tuple[Any, ...]]()
        monitor = SendMonitor(lambda *violation: broken.append(violation))
        timers = TimerWheel(clock.now, lambda _where, _error: None)
        sender: Any = AttemptSender.__new__(AttemptSender)
        sender.timers, sender.metrics = timers, Metrics(clock.now, writer=lambda _event, _fields: None)
        sender.pool, sender.policy_runner = SimpleNamespace(list_version=1), SimpleNamespace(monitor=monitor)
        until = clock.now() + LEFT_S
        monitor.request_started("a", until, False)
        job = SimpleNamespace(id="a", idempotency_key="", target=b"/render")
        attempt = SimpleNamespace(job=job, until=until)
        sent = SimpleNamespace(attempt=attempt, host=SimpleNamespace(id="s-0"), body=b"work")
        head = sender._request_bytes(sent).decode().split("\r\n")
        readings = clock.readings
        told_ms = next(int(line.split(": ")[1]) for line in head if line.startswith("X-Timeout-Ms"))
        assert broken == []
        return told_ms / 1000, until - clock.now(), readings

    whole = asyncio.run(announced(PausingClock()))
    for reading in range(1, whole[2]):  # the first is that of the deadline
        told_s, left_s, _ = asyncio.run(announced(PausingClock(reading, pause_s)))
        assert told_s <= left_s + SLACK_S, reading

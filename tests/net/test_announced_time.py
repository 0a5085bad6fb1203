"""The timeout announced to a worker in X-Timeout-Ms, where the process is paused while it encodes the job."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from virtual_time import PausingClock

from beaconhinge.dispatch.invariants import RepeatRule, RepeatsAllowed, SendMonitor
from beaconhinge.net.attempts import AttemptSender
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

LEFT_S = 5.0
SLACK_S = 0.02  # far less than the 0.15 s (DEADLINE_SLACK_S) that the invariant allows


@pytest.mark.parametrize("pause_s", [0.005, 0.2, 0.9, 3.0])
def test_announced_timeout_excludes_pause_during_encoding(
    pause_s: float,
) -> None:
    # Guards against announcing more time to a worker than its client has left: after a pause of 0.9 s during the
    # encoding of a job, the announced timeout was 0.9 s too long.
    async def announced(clock: PausingClock) -> tuple[float, float, int]:
        violations = list[tuple[Any, ...]]()
        monitor = SendMonitor(lambda *violation: violations.append(violation))
        timers = TimerWheel(clock.now, lambda _where, _error: None)
        sender: Any = AttemptSender.__new__(AttemptSender)
        sender.timers, sender.metrics = timers, Metrics(clock.now, writer=lambda _event, _fields: None)
        sender.pool, sender.policy_runner = SimpleNamespace(list_version=1), SimpleNamespace(monitor=monitor)
        expires_at = clock.now() + LEFT_S
        monitor.request_started("a", expires_at, RepeatRule(RepeatsAllowed.ALWAYS))
        job = SimpleNamespace(id="a", idempotency_key="", target=b"/render")
        attempt = SimpleNamespace(job=job, expires_at=expires_at, sent_at=expires_at - LEFT_S)
        sent_attempt = SimpleNamespace(attempt=attempt, host=SimpleNamespace(id="s-0"), body=b"work")
        sender._refusal = lambda _sent: None
        request = sender._encode_if_allowed(sent_attempt)
        sender._record_send(sent_attempt, request)
        head = request.data.decode().split("\r\n")
        readings = clock.readings
        announced_ms = next(int(line.split(": ")[1]) for line in head if line.startswith("X-Timeout-Ms"))
        assert violations == []
        return announced_ms / 1000, expires_at - clock.now(), readings

    unpaused = asyncio.run(announced(PausingClock()))
    for reading in range(1, unpaused[2]):  # reading 0 sets the deadline
        announced_s, remaining_s, _ = asyncio.run(announced(PausingClock(reading, pause_s)))
        assert announced_s <= remaining_s + SLACK_S, reading

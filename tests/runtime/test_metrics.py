"""Counters, log lines, supervised tasks and invariant checks."""

from __future__ import annotations

import asyncio
import io
import subprocess
import sys
from pathlib import Path

import pytest

from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.process_memory import anonymous_memory_bytes

ROOT = Path(__file__).resolve().parents[2]


def test_repeated_events_are_counted_and_logged_at_a_limited_rate() -> None:
    """A value with line breaks or control characters from a peer must not forge log lines or fields."""
    now, sink = [10.0], io.StringIO()
    metrics = Metrics(lambda: now[0], sink)
    for _ in range(1000):
        metrics.count_and_log("callback_malformed", why="a\nforged line x=1 \x1b[31m \u2028")
    assert metrics.counters["callback_malformed"] == 1000
    assert len(sink.getvalue().splitlines()) == 1
    now[0] += 6.0
    metrics.count_and_log("callback_malformed", why="again")
    assert sink.getvalue().splitlines()[1] == "16.000 callback_malformed total=1001 why=again"


def test_failed_task_is_logged_and_counted() -> None:
    async def run() -> None:
        metrics = Metrics(lambda: 1.0, sink := io.StringIO())

        async def fail() -> None:
            raise KeyError("x")

        await asyncio.wait([metrics.spawn(fail(), "story")])
        await asyncio.sleep(0)
        assert metrics.counters["task_failed"] == 1
        assert "task=story" in sink.getvalue()

    asyncio.run(run())


def test_gauges_are_logged_beside_the_counters() -> None:
    metrics = Metrics(lambda: 1.0, sink := io.StringIO())
    metrics.log_counters()
    assert "gauges" not in sink.getvalue()
    metrics.gauges = {"b": lambda: 2, "a": lambda: 1}
    metrics.log_counters()
    assert sink.getvalue().splitlines()[-1] == "1.000 gauges a=1 b=2"


def test_memory_of_a_process_is_read() -> None:
    own_bytes = anonymous_memory_bytes()
    kept = bytearray(50_000_000)
    assert anonymous_memory_bytes() >= own_bytes + 0.9 * len(kept)
    assert anonymous_memory_bytes(2**22 + 1) == 0  # no such process


def test_false_check_raises_in_debug_mode_and_is_counted_otherwise() -> None:
    with pytest.raises(AssertionError, match="name"):
        Metrics(lambda: 1.0).check(False, "name")
    code = (
        "from beaconhinge.runtime.metrics import Metrics; s = Metrics(lambda: 1.0)\n"
        "print(s.check(False, 'name'), s.check(True, 'name'), s.counters['broken_name'])"
    )
    done = subprocess.run(
        [sys.executable, "-O", "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=20
    )
    assert done.stdout == "False True 1\n"

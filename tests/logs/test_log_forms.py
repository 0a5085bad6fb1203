"""Log lines in each format have the same events and fields, and bytes from a peer cannot forge a line."""

from __future__ import annotations

import io
import json
from collections.abc import Callable
from typing import Any, Literal

import pytest

from beaconhinge.logs import writer
from beaconhinge.runtime.metrics import Metrics


def lines(form: Literal["logfmt", "json"], act: Callable[[Metrics], Any]) -> list[str]:
    """Return the log lines that `act` writes in this format, at a clock that stays at 12.5 s."""
    sink = io.StringIO()
    act(Metrics(lambda: 12.5, writer=writer(form, sink, lambda: 12.5)))
    return sink.getvalue().splitlines()


def test_json_lines_hold_time_event_and_fields() -> None:
    [line] = lines("json", lambda s: s.log("started", name="n0", workers=3, load=0.12345, up=True))
    assert json.loads(line) == {
        "time": 12.5,
        "event": "started",
        "name": "n0",
        "workers": 3,
        "load": 0.123,
        "up": True,
    }


def test_logfmt_lines_begin_with_time_and_event() -> None:
    [line] = lines("logfmt", lambda s: s.log("stopping", why="a b", owed=2))
    assert line == 'time=12.5 event=stopping why="a b" owed=2'


@pytest.mark.parametrize("form", ["logfmt", "json"])
def test_values_are_bounded_and_cannot_forge_a_line(form: Literal["logfmt", "json"]) -> None:
    forged = 'x\nevent=stopped time=1 "' + "\x00é" + "y" * 5000
    [line] = lines(form, lambda s: s.count_and_log("client_message_malformed", why=forged))
    assert len(line) < 600
    assert line.isascii()
    if form == "json":
        fields = json.loads(line)
        assert fields["event"] == "client_message_malformed"
        assert fields["total"] == 1


@pytest.mark.parametrize("form", ["logfmt", "json"])
def test_repeated_complaints_are_rate_limited(form: Literal["logfmt", "json"]) -> None:
    def repeat_complaint(metrics: Metrics) -> None:
        for _ in range(5):
            metrics.count_and_log("sockets_short", worker="w")

    assert len(lines(form, repeat_complaint)) == 1


def test_broken_log_pipe_is_counted_and_raises_nothing() -> None:
    class Broken(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    metrics = Metrics(lambda: 1.0, writer=writer("json", Broken(), lambda: 1.0))
    metrics.log("started")
    assert metrics.counters["log_lost"] == 1

"""Sums the log lines of many dispatchers: events by second and by dispatcher, and counters. Does no I/O."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .event_names import current_name

# A log collector may put a prefix in brackets in front of the line.
_PLAIN_LINE = re.compile(r"(?:\[[^\]]*\]\s+)?(\d+\.\d+) (\w+)((?: \w+=.*)?)$")
_INTEGER_FIELD = re.compile(r" (\w+)=(\d+)(?= |$)")


@dataclass
class Summary:
    """The sums of many dispatchers' logs.

    Attributes:
        start: Unix time of the earliest line, in seconds.
        events_by_second: Number of log lines by whole second since `start`, and event.
        events_by_dispatcher: Number of log lines by dispatcher and event.
        counters: Sums over all processes of the counters that each logged last.
        unread: Number of lines that are not a dispatcher's log lines.
    """

    start: float = 0.0
    events_by_second: Counter[tuple[int, str]] = field(default_factory=Counter)
    events_by_dispatcher: Counter[tuple[str, str]] = field(default_factory=Counter)
    counters: Counter[str] = field(default_factory=Counter)
    unread: int = 0

    @property
    def event_names(self) -> list[str]:
        """The names of all events, the most frequent first."""
        totals = Counter[str]()
        for (_, event), count in self.events_by_second.items():
            totals[event] += count
        return [event for event, _ in sorted(totals.items(), key=lambda item: (-item[1], item[0]))]


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log, with the present names of its event and counters.

    Attributes:
        time: Unix time, in seconds.
        event: Name of the event.
        integers: The fields whose values are whole numbers.
    """

    time: float
    event: str
    integers: dict[str, int]


def parse_line(line: str) -> LogLine | None:
    """Parse a plain or JSON log line; return None for any other line."""
    if line.lstrip().startswith("{"):
        return _parse_json_line(line)
    match = _PLAIN_LINE.match(line.rstrip())
    if match is None:
        return None
    integers = {current_name(name): int(n) for name, n in _INTEGER_FIELD.findall(match[3])}
    return LogLine(float(match[1]), current_name(match[2]), integers)


def _parse_json_line(line: str) -> LogLine | None:
    try:
        content = json.loads(line)
        time, event = float(content["time"]), str(content["event"])
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    integers = {current_name(name): n for name, n in content.items() if type(n) is int}
    return LogLine(time, current_name(event), integers)


def sum_logs(logs: Iterable[tuple[str, Iterable[str]]]) -> Summary:
    """Sum logs, each given as the name of its dispatcher and its lines.

    A `counters` line replaces the counters that the same process logged before; `started` begins another one.
    """
    summary, log_lines = Summary(), list[tuple[str, LogLine]]()
    for name, lines in logs:
        parsed = [parse_line(line) for line in lines if line.strip()]
        valid = [line for line in parsed if line is not None]
        summary.unread += len(parsed) - len(valid)
        log_lines += [(name, line) for line in valid]
        summary.counters.update(_last_counters(valid))
    summary.start = min((line.time for _, line in log_lines), default=0.0)
    for name, line in log_lines:
        summary.events_by_second[int(line.time - summary.start), line.event] += 1
        summary.events_by_dispatcher[name, line.event] += 1
    return summary


def _last_counters(lines: Iterable[LogLine]) -> Counter[str]:
    """Return the sums of the counters that each process in one log reported last."""
    total, last = Counter[str](), dict[str, int]()
    for line in lines:
        if line.event == "started":
            total.update(last)
            last = {}
        elif line.event == "counters":
            last = line.integers
    total.update(last)
    return total

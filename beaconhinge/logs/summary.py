"""Adds up the log lines of many dispatchers: what happened when, and the sums of their counters. Pure."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .event_names import current_name

# A collector may put its own words in front, in brackets.
_LINE = re.compile(r"(?:\[[^\]]*\]\s+)?(\d+\.\d+) (\w+)((?: \w+=.*)?)$")
_NUMBER = re.compile(r" (\w+)=(\d+)(?= |$)")


@dataclass
class Summary:
    """The sums of many dispatchers' logs."""

    first: float = 0.0  # Unix time of the earliest line, seconds
    seconds: Counter[tuple[int, str]] = field(default_factory=Counter)  # by second from there, and event
    events: Counter[tuple[str, str]] = field(default_factory=Counter)  # by dispatcher and event
    counters: Counter[str] = field(default_factory=Counter)  # of all processes, as each told last
    unread: int = 0  # lines that are none of ours

    @property
    def names(self) -> list[str]:
        """Events, the most frequent first."""
        totals = Counter[str]()
        for (_, event), count in self.seconds.items():
            totals[event] += count
        return [event for event, _ in sorted(totals.items(), key=lambda item: (-item[1], item[0]))]


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log, under the names that its event and counters have now.

    Attributes:
        time: Unix time, seconds.
        integers: Its fields that hold whole numbers.
    """

    time: float
    event: str
    integers: dict[str, int]


def read(line: str) -> LogLine | None:
    """The content of a plain or a JSON line; None for any other."""
    if line.lstrip().startswith("{"):
        return _read_json(line)
    found = _LINE.match(line.rstrip())
    if found is None:
        return None
    integers = {current_name(name): int(n) for name, n in _NUMBER.findall(found[3])}
    return LogLine(float(found[1]), current_name(found[2]), integers)


def _read_json(line: str) -> LogLine | None:
    try:
        content = json.loads(line)
        time, event = float(content["time"]), str(content["event"])
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    integers = {current_name(name): n for name, n in content.items() if type(n) is int}
    return LogLine(time, current_name(event), integers)


def add_up(logs: Iterable[tuple[str, Iterable[str]]]) -> Summary:
    """Add up logs, each given with the name of its dispatcher.

    A `counters` line replaces what the same process reported before; `started` begins another process.
    """
    summary, seen = Summary(), list[tuple[str, LogLine]]()
    for name, lines in logs:
        content = [read(line) for line in lines if line.strip()]
        readable = [line for line in content if line is not None]
        summary.unread += len(content) - len(readable)
        seen += [(name, line) for line in readable]
        summary.counters.update(_last_counters(readable))
    summary.first = min((line.time for _, line in seen), default=0.0)
    for name, line in seen:
        summary.seconds[int(line.time - summary.first), line.event] += 1
        summary.events[name, line.event] += 1
    return summary


def _last_counters(lines: Iterable[LogLine]) -> Counter[str]:
    """The sum of the counters that each process of one log reported last."""
    total, last = Counter[str](), dict[str, int]()
    for line in lines:
        if line.event == "started":
            total.update(last)
            last = {}
        elif line.event == "counters":
            last = line.integers
    total.update(last)
    return total

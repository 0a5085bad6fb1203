"""Adds up the log lines of many dispatchers: what happened when, and the sums of their counters. Pure."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

# A collector may put its own words in front, in brackets.
_LINE = re.compile(r"(?:\[[^\]]*\]\s+)?(\d+\.\d+) (\w+)((?: \w+=.*)?)$")
_NUMBER = re.compile(r" (\w+)=(\d+)(?= |$)")


@dataclass
class Summary:
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


def read(line: str) -> tuple[float, str, dict[str, int]] | None:
    """Time, event and whole-number fields of a plain or a JSON line; None for any other."""
    if line.lstrip().startswith("{"):
        try:
            told = json.loads(line)
            at, event = float(told["time"]), str(told["event"])
        except (ValueError, TypeError, KeyError, RecursionError):
            return None
        return at, event, {name: n for name, n in told.items() if type(n) is int}
    found = _LINE.match(line.rstrip())
    if found is None:
        return None
    return float(found[1]), found[2], {name: int(n) for name, n in _NUMBER.findall(found[3])}


def add_up(logs: Iterable[tuple[str, Iterable[str]]]) -> Summary:
    """By name. A `counters` line replaces what the same process told before; `started` begins another."""
    summary, seen = Summary(), list[tuple[float, str, str]]()
    for name, lines in logs:
        last = dict[str, int]()
        for line in lines:
            told = read(line)
            if told is None:
                summary.unread += bool(line.strip())
                continue
            at, event, fields = told
            seen.append((at, name, event))
            if event == "started":
                summary.counters.update(last)
                last = {}
            elif event == "counters":
                last = fields
        summary.counters.update(last)
    summary.first = min((at for at, _, _ in seen), default=0.0)
    for at, name, event in seen:
        summary.seconds[int(at - summary.first), event] += 1
        summary.events[name, event] += 1
    return summary

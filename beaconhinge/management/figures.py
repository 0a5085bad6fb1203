"""The figures that `show-stat` shows. Pure; each is counted where its thing happens, by this name."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from ..policy.dispatcher import Dispatcher

SUCCESS, BUSY, FAILURE = "success", "busy", "failure"  # by class
BACKEND_CALLS = "backend_calls"


def counter_name(kind: str, cls: str) -> str:
    """The name of a class's figure in `Metrics.counters`."""
    return f"{kind}_{cls}"


def stat_json(
    counters: Mapping[str, int],
    classes: Iterable[str],
    inflight: int,
    listed: int,
    down: int,
    phase: str = "",
) -> str:
    """The figures as one line of JSON.

    Every class of the settings appears; the phase only where there are phases.
    """
    calls = {
        cls: {kind: counters.get(counter_name(kind, cls), 0) for kind in (SUCCESS, BUSY, FAILURE)}
        for cls in classes
    }
    shown = {
        "calls": calls,
        BACKEND_CALLS: counters.get(BACKEND_CALLS, 0),
        "inflight": inflight,
        "hosts_listed": listed,
        "hosts_down": down,
    }
    return json.dumps({**shown, "phase": phase} if phase else shown, separators=(",", ":"))


def count_down(dispatcher: Dispatcher, listed: Iterable[int], now: float) -> int:
    """Of the listed workers, by number, those that get no jobs now: taken out by hand, leaving, ejected, or
    silent while they have jobs.
    """
    found = 0
    for number in listed:
        worker = dispatcher.workers.get(number)
        if worker is None:
            continue
        ejected = worker.on_probation and now < worker.ejected_until
        found += not worker.listed or ejected or dispatcher.is_silent(worker)
    return found

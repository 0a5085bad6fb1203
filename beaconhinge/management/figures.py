"""The figures in the answer to `show-stat`. Pure; each is counted under its name where its event occurs."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from ..policy.dispatcher import Dispatcher

SUCCESS, BUSY, FAILURE = "success", "busy", "failure"  # kinds of figures of a request class
BACKEND_CALLS = "backend_calls"


def counter_name(kind: str, cls: str) -> str:
    """Return the name in `Metrics.counters` of a request class's figure of one kind."""
    return f"{kind}_{cls}"


def stat_json(
    counters: Mapping[str, int],
    classes: Iterable[str],
    inflight: int,
    listed: int,
    down: int,
    phase: str = "",
) -> str:
    """Return the figures as one line of JSON.

    Args:
        counters: `Metrics.counters`.
        classes: names of the request classes; each appears, also with zeros alone.
        inflight: requests without an answer.
        listed: workers in the list.
        down: listed workers that get no jobs now; see `count_down`.
        phase: name of the recovery stage; left out if empty.
    """
    calls = {
        cls: {kind: counters.get(counter_name(kind, cls), 0) for kind in (SUCCESS, BUSY, FAILURE)}
        for cls in classes
    }
    stat = {
        "calls": calls,
        BACKEND_CALLS: counters.get(BACKEND_CALLS, 0),
        "inflight": inflight,
        "hosts_listed": listed,
        "hosts_down": down,
    }
    return json.dumps({**stat, "phase": phase} if phase else stat, separators=(",", ":"))


def count_down(dispatcher: Dispatcher, listed: Iterable[int], now: float) -> int:
    """Return how many of the listed workers get no jobs now.

    These are in maintenance mode, draining, ejected, or silent while they have jobs. `listed` holds numbers
    of workers; `now` is the policy's time in seconds.
    """
    down = 0
    for number in listed:
        worker = dispatcher.workers.get(number)
        if worker is None:
            continue
        ejected = worker.on_probation and now < worker.ejected_until
        down += not worker.listed or ejected or dispatcher.is_silent(worker)
    return down

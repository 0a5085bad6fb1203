"""Checks at run time that no rule of sending was broken. Pure: time is an argument, in seconds.

The guard (`send_guard.py`) decides before a byte is written. This checks what was written, from other sources
and with none of the guard's code: raw entries of lists as they came, the calls that write, the clients'
disconnects. What it finds is a defect of this program; a healthy run has none.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

# From the announcement that a worker leaves to the last send to it.
DRAIN_GRACE_S = 0.4
# From a client's disconnect to the last beginning of an attempt.
CLIENT_GRACE_S = 0.1
# By which the timeout announced to a worker may exceed the time that is left.
DEADLINE_SLACK_S = 0.15
# How many workers that have left are remembered.
DEPARTED_WORKERS_KEPT = 4096


class InvariantRule(enum.Enum):
    """The rules that are checked. The values are the names that operators see."""

    DRAIN = "drain"  # sent to a worker that has left, after the grace
    CLIENT_GONE = "lost"  # begun for a client that had disconnected
    DUPLICATE = "duplicate"  # a second attempt at the same worker, or of what must not run twice
    DEADLINE = "deadline"  # a longer timeout announced to a worker than there was time left


@dataclass(slots=True)
class _MonitoredRequest:
    """A request in progress."""

    deadline_s: float
    must_not_run_twice: bool
    workers_in_flight: set[str] = field(default_factory=set)  # ids of the workers that have an attempt
    may_have_run: bool = False
    client_gone_s: float | None = None  # when the client disconnected


class SendMonitor:
    """Checks the sends of one process."""

    def __init__(self, on_violation: Callable[[InvariantRule, str, str, str], object]) -> None:
        """Create a monitor.

        Args:
            on_violation: Called with the rule, the request's id, the worker's id and the reason.
        """
        self._on_violation = on_violation
        self._requests: dict[str, _MonitoredRequest] = {}
        self._ready_worker_ids: set[str] = set()
        self._departed_s: dict[str, float] = {}  # when it was announced that a worker leaves, by its id

    def list_received(self, content: Mapping[str, Any], now: float) -> None:
        """Take in an endpoint list as decoded: `{"full": …, "servers": [{"id": …, "state": …}, …]}`."""
        states = {
            entry["id"]: entry.get("state")
            for entry in content.get("servers", ())
            if isinstance(entry, Mapping) and isinstance(entry.get("id"), str)
        }
        for worker, state in states.items():
            if state == "Ready":
                self._departed_s.pop(worker, None)
                self._ready_worker_ids.add(worker)
            elif state in ("Terminating", "Gone"):
                self._mark_departed(worker, now)
        if content.get("full") is not False and len(states) == len(content.get("servers", ())):
            for worker in self._ready_worker_ids - states.keys():
                self._mark_departed(worker, now)

    def _mark_departed(self, worker: str, now: float) -> None:
        self._ready_worker_ids.discard(worker)
        self._departed_s.setdefault(worker, now)
        if len(self._departed_s) > DEPARTED_WORKERS_KEPT:
            self._departed_s.pop(next(iter(self._departed_s)))

    def request_started(self, request: str, deadline: float, must_not_run_twice: bool) -> None:
        """Record a request that was admitted, with its deadline."""
        self._requests[request] = _MonitoredRequest(deadline, must_not_run_twice)

    def request_finished(self, request: str) -> None:
        """Record that no attempt of the request may begin any more."""
        self._requests.pop(request, None)

    def client_disconnected(self, request: str, now: float) -> None:
        """Record that the request's client is gone."""
        monitored = self._requests.get(request)
        if monitored is not None and monitored.client_gone_s is None:
            monitored.client_gone_s = now

    def attempt_started(self, request: str, worker: str, now: float, announced_timeout_ms: int) -> None:
        """Check an attempt whose first byte is written now.

        Args:
            request: The request's id.
            worker: The worker's id.
            now: The current time.
            announced_timeout_ms: The time that the worker is told it has.
        """
        departed_s = self._departed_s.get(worker)
        if departed_s is not None and now - departed_s > DRAIN_GRACE_S:
            self._on_violation(InvariantRule.DRAIN, request, worker, f"it left {now - departed_s:.2f} s ago")
        monitored = self._requests.get(request)
        if monitored is None:
            self._on_violation(InvariantRule.CLIENT_GONE, request, worker, "the request is over")
            return
        gone_s = monitored.client_gone_s
        if gone_s is not None and now - gone_s > CLIENT_GRACE_S:
            self._on_violation(InvariantRule.CLIENT_GONE, request, worker, f"gone for {now - gone_s:.2f} s")
        if worker in monitored.workers_in_flight:
            self._on_violation(InvariantRule.DUPLICATE, request, worker, "it has one")
        elif monitored.must_not_run_twice and (monitored.workers_in_flight or monitored.may_have_run):
            self._on_violation(InvariantRule.DUPLICATE, request, worker, "it must not run twice")
        left_s = monitored.deadline_s - now
        if announced_timeout_ms / 1000 > left_s + DEADLINE_SLACK_S:
            why = f"{announced_timeout_ms} ms of {left_s:.3f} s"
            self._on_violation(InvariantRule.DEADLINE, request, worker, why)
        monitored.workers_in_flight.add(worker)

    def attempt_ended(self, request: str, worker: str, never_ran: bool) -> None:
        """Record that an attempt has ended or been given up.

        Args:
            request: The request's id.
            worker: The worker's id.
            never_ran: Whether it is certain that the worker never ran it.
        """
        monitored = self._requests.get(request)
        if monitored is not None and worker in monitored.workers_in_flight:
            monitored.workers_in_flight.discard(worker)
            monitored.may_have_run |= not never_ran

"""Checks at run time that no send broke an invariant. No I/O and no clock: time is an argument, in seconds.

The guard (`send_guard.py`) decides before a byte is written. The monitor checks what was written, from other
sources and with none of the guard's code: the raw entries of received lists, the calls that write, and the
clients' disconnects. Each violation is a defect of this program; a healthy run has none.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

# How long after the announcement of a worker's departure a send to it is still allowed.
DRAIN_GRACE_S = 0.4
# How long after a client's disconnect an attempt may still be started.
CLIENT_GRACE_S = 0.1
# By how much the timeout announced to a worker may exceed the remaining time.
DEADLINE_SLACK_S = 0.15
# Maximum number of departed workers that are remembered; the oldest are dropped.
DEPARTED_WORKERS_KEPT = 4096


# Maximum number of workers whose place is remembered; the oldest are dropped.
PLACES_KEPT = 8192


class InvariantRule(enum.Enum):
    """The invariants that are checked. The values are the names that operators see."""

    DRAIN = "drain"  # an attempt was sent to a departed worker after the grace period
    CLIENT_GONE = "lost"  # an attempt was started for a disconnected client or a finished request
    DUPLICATE = "duplicate"  # a second attempt at the same worker, or of a job that could run a second time
    DEADLINE = "deadline"  # the timeout announced to a worker exceeded the remaining time


class RepeatsAllowed(enum.Enum):
    """Where a job that may have run may be sent again."""

    ALWAYS = "always"  # anywhere, at any time
    NEVER = "never"
    EVERYWHERE = "all"  # anywhere, within the window
    SAME_ZONE = "zone"  # within the window, to workers of the zone in which it may have run first
    SAME_CELL = "cell"  # the same, of the cell


@dataclass(frozen=True, slots=True)
class RepeatRule:
    """Where and for how long after its first possible run a job may be sent again.

    Attributes:
        allowed: Where.
        window_s: How many seconds after the write of the first attempt that may have run.
    """

    allowed: RepeatsAllowed
    window_s: float = math.inf


@dataclass(frozen=True, slots=True)
class _Place:
    """Cell and zone of a worker, as a list gave them."""

    cell: object
    zone: object


@dataclass(slots=True)
class _MonitoredAttempt:
    """An attempt that was written."""

    worker: str
    written_s: float
    place: _Place | None  # None if no list has shown it
    in_flight: bool = True


@dataclass(slots=True)
class _MonitoredRequest:
    """State of a request in progress."""

    deadline_s: float
    rule: RepeatRule
    possible_runs: list[_MonitoredAttempt] = field(default_factory=list)  # written, and not known as unrun
    # By worker: the ends of its earlier attempts that it reported, and may report again; None for one that
    # was given up, which may report any.
    reportable_ends: dict[str, set[str | None]] = field(default_factory=dict)
    client_gone_s: float | None = None  # time of the client's disconnect


class SendMonitor:
    """Checks the sends of one process against the rules in `InvariantRule`."""

    def __init__(self, on_violation: Callable[[InvariantRule, str, str, str], object]) -> None:
        """Create a monitor.

        Args:
            on_violation: Called with the rule, the request's id, the worker's id and the reason.
        """
        self._on_violation = on_violation
        self._requests: dict[str, _MonitoredRequest] = {}
        self._ready_worker_ids: set[str] = set()
        self._places: dict[str, _Place] = {}  # by worker's id, the latest last
        self._departed_s: dict[str, float] = {}  # time at which a worker's departure was announced, by its id

    def list_received(self, content: Mapping[str, Any], now: float) -> None:
        """Record a decoded endpoint list: `{"full": …, "servers": [{"id": …, "state": …}, …]}`.

        A worker departs when its state is `Terminating` or `Gone`, or when a full list in which every entry
        has a distinct id no longer names it. The time of its first announced departure counts.
        """
        self._record_places(content)
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

    def _record_places(self, content: Mapping[str, Any]) -> None:
        for entry in content.get("servers", ()):
            # An entry without an address may be cut short, or name a worker that leaves.
            if isinstance(entry, Mapping) and isinstance(entry.get("id"), str) and "addr" in entry:
                self._places.pop(entry["id"], None)
                self._places[entry["id"]] = _Place(entry.get("cell", 0), entry.get("zone"))
        while len(self._places) > PLACES_KEPT:
            self._places.pop(next(iter(self._places)))

    def _mark_departed(self, worker: str, now: float) -> None:
        self._ready_worker_ids.discard(worker)
        self._departed_s.setdefault(worker, now)
        if len(self._departed_s) > DEPARTED_WORKERS_KEPT:
            self._departed_s.pop(next(iter(self._departed_s)))

    def request_started(self, request: str, deadline: float, rule: RepeatRule) -> None:
        """Record a request from its start, with its deadline in seconds and the rule of its class."""
        self._requests[request] = _MonitoredRequest(deadline, rule)

    def request_finished(self, request: str) -> None:
        """Record that no further attempt of the request may be started."""
        self._requests.pop(request, None)

    def client_disconnected(self, request: str, now: float) -> None:
        """Record that the request's client has disconnected; only the first call counts."""
        monitored = self._requests.get(request)
        if monitored is not None and monitored.client_gone_s is None:
            monitored.client_gone_s = now

    def attempt_started(self, request: str, worker: str, now: float, announced_timeout_ms: int) -> None:
        """Check an attempt whose first byte is about to be written, in the same turn of the event loop.

        Args:
            request: The request's id.
            worker: The worker's id.
            now: The current time.
            announced_timeout_ms: The timeout announced to the worker, in milliseconds.
        """
        departed_s = self._departed_s.get(worker)
        if departed_s is not None and now - departed_s > DRAIN_GRACE_S:
            self._on_violation(
                InvariantRule.DRAIN, request, worker, f"the worker left {now - departed_s:.2f} s ago"
            )
        monitored = self._requests.get(request)
        if monitored is None:
            self._on_violation(InvariantRule.CLIENT_GONE, request, worker, "the request is over")
            return
        gone_s = monitored.client_gone_s
        if gone_s is not None and now - gone_s > CLIENT_GRACE_S:
            self._on_violation(
                InvariantRule.CLIENT_GONE, request, worker, f"the client left {now - gone_s:.2f} s ago"
            )
        attempt = _MonitoredAttempt(worker, now, self._places.get(worker))
        if (why := _duplicate(monitored, attempt)) is not None:
            self._on_violation(InvariantRule.DUPLICATE, request, worker, why)
        left_s = monitored.deadline_s - now
        if announced_timeout_ms / 1000 > left_s + DEADLINE_SLACK_S:
            why = f"{announced_timeout_ms} ms announced, {left_s:.3f} s left"
            self._on_violation(InvariantRule.DEADLINE, request, worker, why)
        monitored.possible_runs.append(attempt)

    def attempt_given_up(self, request: str, worker: str) -> None:
        """Record that an attempt was given up, or its connection lost; the worker may still have the job.

        `attempt_ended` follows when the worker has confirmed that it has not.
        """
        monitored = self._requests.get(request)
        if monitored is not None:
            monitored.reportable_ends.setdefault(worker, set()).add(None)

    def attempt_called_back(self, request: str, worker: str, end: str, never_ran: bool) -> None:
        """Record that a worker has called back to report the end of an attempt.

        A report that may be about an earlier attempt there says nothing of the one in flight.

        Args:
            request: The request's id.
            worker: The worker's id.
            end: How the attempt ended by the report, in any words; equal for equal reports.
            never_ran: Whether the report says that the worker never ran the job.
        """
        monitored = self._requests.get(request)
        if monitored is None:
            return
        ends = monitored.reportable_ends.setdefault(worker, set())
        repeated = end in ends or None in ends
        ends.add(end)
        if not repeated:
            self.attempt_ended(request, worker, never_ran)

    def attempt_ended(self, request: str, worker: str, never_ran: bool) -> None:
        """Record that an attempt is known to have ended at its worker.

        Args:
            request: The request's id.
            worker: The worker's id.
            never_ran: Whether it is certain that the worker never ran the job.
        """
        monitored = self._requests.get(request)
        if monitored is None:
            return
        for attempt in list(monitored.possible_runs):
            if attempt.worker == worker and attempt.in_flight:
                attempt.in_flight = False
                if never_ran:
                    monitored.possible_runs.remove(attempt)


def _duplicate(monitored: _MonitoredRequest, attempt: _MonitoredAttempt) -> str | None:
    """Return why an attempt may run a job a second time; None if it may not, or that is allowed."""
    runs, rule = monitored.possible_runs, monitored.rule
    if any(run.worker == attempt.worker and run.in_flight for run in runs):
        return "the worker has an open attempt"
    if not runs or rule.allowed is RepeatsAllowed.ALWAYS:
        return None
    if rule.allowed is RepeatsAllowed.NEVER:
        return "the job must not run twice"
    first = runs[0]
    late_s = attempt.written_s - first.written_s - rule.window_s
    if late_s > 0:
        return f"the window for repeats ended {late_s:.3f} s ago"
    if first.place is None or attempt.place is None:
        return None
    if rule.allowed is RepeatsAllowed.SAME_CELL and attempt.place.cell != first.place.cell:
        return f"cell {attempt.place.cell}, and it may have run in cell {first.place.cell}"
    if rule.allowed is RepeatsAllowed.SAME_ZONE and attempt.place.zone != first.place.zone:
        return f"zone {attempt.place.zone}, and it may have run in zone {first.place.zone}"
    return None

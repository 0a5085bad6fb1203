"""A check, while the program runs, that no rule of sending was broken. Pure: time is an argument.

The guard (`guard.py`) decides before a byte is written. This watches what was written, from other sources
and with none of the guard's code: raw entries of lists as they came, the calls that write, the clients'
ends. What it finds is a defect of this program; a healthy run has none.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

DRAIN_GRACE_S = 0.4  # from the word that a worker leaves to the last send
CLIENT_GRACE_S = 0.1  # from a client's end to the last beginning of an attempt
DEADLINE_SLACK_S = 0.15  # by which the time told to a worker may exceed what is left
LEFT_KEPT = 4096  # workers that have left are remembered up to so many


class InvariantRule(enum.Enum):
    """The rules that are watched, by the names that operators use."""

    DRAIN = "drain"  # sent to a worker that has left, after the grace
    CLIENT_GONE = "lost"  # begun for a client that had gone
    DUPLICATE = "duplicate"  # a second attempt at a worker that has one, or of what must not run twice
    DEADLINE = "deadline"  # a worker was told more time than is left


@dataclass(slots=True)
class _Watched:
    """A request in hand."""

    deadline: float
    unsafe: bool
    out: set[str] = field(default_factory=set)  # workers that have an attempt
    may_have_run: bool = False
    client_left_at: float | None = None


class SendMonitor:
    """Watches the sends of one process. `violated` is told the rule, the request's id, the worker's, and
    why."""

    def __init__(self, violated: Callable[[InvariantRule, str, str, str], object]) -> None:
        self._violated = violated
        self._requests: dict[str, _Watched] = {}
        self._listed: set[str] = set()
        self._left: dict[str, float] = {}  # when the word came that a worker leaves, by its id

    def list_received(self, content: Mapping[str, Any], now: float) -> None:
        """A list was taken, as it was parsed: `{"full": …, "servers": [{"id": …, "state": …}, …]}`."""
        named = {
            entry["id"]: entry.get("state")
            for entry in content.get("servers", ())
            if isinstance(entry, Mapping) and isinstance(entry.get("id"), str)
        }
        for worker, state in named.items():
            if state == "Ready":
                self._left.pop(worker, None)
                self._listed.add(worker)
            elif state in ("Terminating", "Gone"):
                self._leaves(worker, now)
        if content.get("full") is not False and len(named) == len(content.get("servers", ())):
            for worker in self._listed - named.keys():
                self._leaves(worker, now)

    def _leaves(self, worker: str, now: float) -> None:
        self._listed.discard(worker)
        self._left.setdefault(worker, now)
        if len(self._left) > LEFT_KEPT:
            self._left.pop(next(iter(self._left)))

    def request_started(self, request: str, deadline: float, unsafe: bool) -> None:
        """`unsafe`: it must not run twice."""
        self._requests[request] = _Watched(deadline, unsafe)

    def request_finished(self, request: str) -> None:
        self._requests.pop(request, None)

    def client_disconnected(self, request: str, now: float) -> None:
        watched = self._requests.get(request)
        if watched is not None and watched.client_left_at is None:
            watched.client_left_at = now

    def attempt_started(self, request: str, worker: str, now: float, told_ms: int) -> None:
        """The first byte of an attempt goes out now, and tells the worker that it has `told_ms`."""
        left_at = self._left.get(worker)
        if left_at is not None and now - left_at > DRAIN_GRACE_S:
            self._violated(InvariantRule.DRAIN, request, worker, f"it left {now - left_at:.2f} s ago")
        watched = self._requests.get(request)
        if watched is None:
            self._violated(InvariantRule.CLIENT_GONE, request, worker, "the request is over")
            return
        if watched.client_left_at is not None and now - watched.client_left_at > CLIENT_GRACE_S:
            self._violated(
                InvariantRule.CLIENT_GONE, request, worker, f"gone for {now - watched.client_left_at:.2f} s"
            )
        if worker in watched.out:
            self._violated(InvariantRule.DUPLICATE, request, worker, "it has one")
        elif watched.unsafe and (watched.out or watched.may_have_run):
            self._violated(InvariantRule.DUPLICATE, request, worker, "it must not run twice")
        if told_ms / 1000 > watched.deadline - now + DEADLINE_SLACK_S:
            self._violated(
                InvariantRule.DEADLINE, request, worker, f"{told_ms} ms of {watched.deadline - now:.3f} s"
            )
        watched.out.add(worker)

    def attempt_ended(self, request: str, worker: str, unrun: bool) -> None:
        """An attempt that was written has ended, or been given up; `unrun`: it surely never ran."""
        watched = self._requests.get(request)
        if watched is not None and worker in watched.out:
            watched.out.discard(worker)
            watched.may_have_run |= not unrun

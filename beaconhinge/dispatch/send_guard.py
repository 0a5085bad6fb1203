"""The one question before anything is sent to a worker: may it be, at this moment? Pure.

Whoever writes the first byte of an attempt asks in the same turn of the loop, and asks again after every
wait: a list may have come, a client have gone, or a clock have run out meanwhile. The answer is None, or the
reason why not, under which it is counted (`send_refused_REASON`, docs/oncall.md). What was really written is
watched apart from this, by `invariants.py`, which shares none of its code.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..policy.interface import MemberEntry, WorkerState


class SendRefusal(enum.Enum):
    """Why an attempt may not begin."""

    LIST_UNKNOWN = "list_unknown"  # nobody knows whether the believed list is current: wait, or do without
    ATTEMPT_ENDED = "answered"  # the attempt, or its request, has ended
    CLIENT_GONE = "client_gone"
    DEADLINE_PASSED = "out_of_time"
    WORKER_REMOVED = "worker_removed"
    WORKER_DRAINING = "worker_draining"
    WORKER_REPLACED = "worker_replaced"  # it has started anew, or moved, since it was chosen
    DISABLED_BY_OPERATOR = "out_by_hand"
    ATTEMPT_IN_FLIGHT = "attempt_out"  # this worker has an attempt of the request
    UNSAFE_REPEAT = "unsafe_repeat"  # one that may have run, or may yet, and a class that must not run twice


@dataclass(frozen=True, slots=True)
class SendState:
    """All that decides whether an attempt may begin. Seconds."""

    list_usable: bool
    entry_when_chosen: MemberEntry  # the worker as it was listed when it was chosen
    current_entry: MemberEntry | None  # as it is listed now
    same_address: bool
    disabled_by_operator: bool
    attempt_open: bool  # the attempt has not ended
    client_waiting: bool  # its client is there and waits
    time_left_s: float
    other_attempts_at_worker: int  # attempts of the request that this worker has
    other_attempts_in_flight: int  # attempts of the request that are out anywhere
    may_have_run: bool  # one that has ended may have run
    must_not_run_twice: bool  # the class must not run twice


def find_send_refusal(state: SendState) -> SendRefusal | None:
    """Why the attempt may not begin; None if it may."""
    if not state.attempt_open:
        return SendRefusal.ATTEMPT_ENDED
    if not state.client_waiting:
        return SendRefusal.CLIENT_GONE
    if state.time_left_s <= 0:
        return SendRefusal.DEADLINE_PASSED
    if not state.list_usable:
        return SendRefusal.LIST_UNKNOWN
    if state.current_entry is None:
        return SendRefusal.WORKER_REMOVED
    if state.current_entry.state != WorkerState.READY:
        return SendRefusal.WORKER_DRAINING
    if not state.same_address or state.current_entry.started_at != state.entry_when_chosen.started_at:
        return SendRefusal.WORKER_REPLACED
    if state.disabled_by_operator:
        return SendRefusal.DISABLED_BY_OPERATOR
    if state.other_attempts_at_worker:
        return SendRefusal.ATTEMPT_IN_FLIGHT
    if state.must_not_run_twice and (state.other_attempts_in_flight or state.may_have_run):
        return SendRefusal.UNSAFE_REPEAT
    return None

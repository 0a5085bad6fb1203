"""The send guard: decides whether an attempt may be sent to its worker at this moment. No I/O and no clock.

The code that writes the first byte of an attempt calls the guard in the same turn of the event loop, and
again after every wait: meanwhile a list may have arrived, a client may have disconnected, or a deadline may
have passed. The guard returns None, or the reason for the refusal, which is counted as
`send_refused_REASON` (docs/oncall.md). What was actually written is checked independently by
`invariants.py`, which shares no code with the guard.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..policy.interface import MemberEntry, WorkerState


class SendRefusal(enum.Enum):
    """Why an attempt may not be sent. The values are parts of counters' names."""

    LIST_UNKNOWN = "list_unknown"  # it is unknown whether the list of workers is current: wait, or give up
    ATTEMPT_ENDED = "answered"  # the attempt, or its request, has ended
    CLIENT_GONE = "client_gone"
    DEADLINE_PASSED = "out_of_time"
    WORKER_REMOVED = "worker_removed"
    WORKER_DRAINING = "worker_draining"
    WORKER_REPLACED = "worker_replaced"  # the worker has restarted or changed its address since it was chosen
    DISABLED_BY_OPERATOR = "out_by_hand"
    ATTEMPT_IN_FLIGHT = "attempt_out"  # this worker already has an open attempt of the request
    UNSAFE_REPEAT = (
        "unsafe_repeat"  # another attempt may have run, or may yet run, and the class is not idempotent
    )
    REPEAT_TOO_LATE = "repeat_late"  # another attempt may have run, and the window for repeats is over
    OTHER_GROUP = (
        "other_group"  # another attempt may have run in a group with which this worker shares no keys
    )


@dataclass(frozen=True, slots=True)
class SendState:
    """The inputs of the decision whether an attempt may be sent.

    Attributes:
        list_usable: Whether the list of workers is current enough to act on.
        entry_when_chosen: The worker's list entry at the time when the worker was chosen.
        current_entry: The worker's current list entry; None if the worker is no longer listed.
        same_address: Whether the worker's address is still the address of the connection.
        disabled_by_operator: Whether an operator has taken the worker out of service.
        attempt_open: Whether the attempt has not ended.
        client_waiting: Whether the client is connected and has no answer yet.
        time_left_s: Seconds until the attempt's time-out.
        other_attempts_at_worker: Number of the request's other attempts in flight at this worker.
        other_attempts_in_flight: Number of the request's other attempts in flight at any worker.
        may_have_run: Whether an attempt of the request that has ended may have run.
        must_not_run_twice: Whether the request's class is not idempotent.
        repeat_time_left_s: Seconds for which the request may still be repeated, with the longest hold-up
            allowed for; infinite if no other attempt may have run, or repeats are allowed at any time.
        same_deduplication_group: Whether the worker drops a repeat of what another attempt may have run; True
            if that does not matter.
    """

    list_usable: bool
    entry_when_chosen: MemberEntry
    current_entry: MemberEntry | None
    same_address: bool
    disabled_by_operator: bool
    attempt_open: bool
    client_waiting: bool
    time_left_s: float
    other_attempts_at_worker: int
    other_attempts_in_flight: int
    may_have_run: bool
    must_not_run_twice: bool
    repeat_time_left_s: float
    same_deduplication_group: bool


def find_send_refusal(state: SendState) -> SendRefusal | None:
    """Return why the attempt may not be sent; None if it may."""
    return _request_refusal(state) or _worker_refusal(state) or _repeat_refusal(state)


def _request_refusal(state: SendState) -> SendRefusal | None:
    if not state.attempt_open:
        return SendRefusal.ATTEMPT_ENDED
    if not state.client_waiting:
        return SendRefusal.CLIENT_GONE
    if state.time_left_s <= 0:
        return SendRefusal.DEADLINE_PASSED
    if state.repeat_time_left_s <= 0:
        return SendRefusal.REPEAT_TOO_LATE
    return None


def _worker_refusal(state: SendState) -> SendRefusal | None:
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
    return None


def _repeat_refusal(state: SendState) -> SendRefusal | None:
    if state.other_attempts_at_worker:
        return SendRefusal.ATTEMPT_IN_FLIGHT
    if state.must_not_run_twice and (state.other_attempts_in_flight or state.may_have_run):
        return SendRefusal.UNSAFE_REPEAT
    if not state.same_deduplication_group:
        return SendRefusal.OTHER_GROUP
    return None

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


class Refusal(enum.Enum):
    """Why an attempt may not begin."""

    LIST_UNKNOWN = "list_unknown"  # nobody knows whether the believed list is current: wait, or do without
    ANSWERED = "answered"  # the attempt, or its request, has ended
    CLIENT_GONE = "client_gone"
    OUT_OF_TIME = "out_of_time"
    WORKER_REMOVED = "worker_removed"
    WORKER_DRAINING = "worker_draining"
    WORKER_REPLACED = "worker_replaced"  # it has started anew, or moved, since it was chosen
    OUT_BY_HAND = "out_by_hand"
    ATTEMPT_OUT = "attempt_out"  # this worker has an attempt of the request
    UNSAFE_REPEAT = "unsafe_repeat"  # one that may have run, or may yet, and a class that must not run twice


@dataclass(frozen=True, slots=True)
class SendState:
    """All that decides whether an attempt may begin. Seconds."""

    list_usable: bool
    chosen: MemberEntry  # the worker as it was listed when it was chosen
    listed: MemberEntry | None  # as it is listed now
    same_address: bool
    out_by_hand: bool
    open: bool  # the attempt has not ended
    wanted: bool  # its client is there and waits
    time_left: float
    others_at_worker: int  # attempts of the request that this worker has
    others_out: int  # attempts of the request that are out anywhere
    may_have_run: bool  # one that has ended may have run
    unsafe: bool  # the class must not run twice


def refusal(state: SendState) -> Refusal | None:
    """Why the attempt may not begin; None if it may."""
    if not state.open:
        return Refusal.ANSWERED
    if not state.wanted:
        return Refusal.CLIENT_GONE
    if state.time_left <= 0:
        return Refusal.OUT_OF_TIME
    if not state.list_usable:
        return Refusal.LIST_UNKNOWN
    if state.listed is None:
        return Refusal.WORKER_REMOVED
    if state.listed.state != WorkerState.READY:
        return Refusal.WORKER_DRAINING
    if not state.same_address or state.listed.started_at != state.chosen.started_at:
        return Refusal.WORKER_REPLACED
    if state.out_by_hand:
        return Refusal.OUT_BY_HAND
    if state.others_at_worker:
        return Refusal.ATTEMPT_OUT
    if state.unsafe and (state.others_out or state.may_have_run):
        return Refusal.UNSAFE_REPEAT
    return None

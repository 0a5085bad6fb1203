"""The guard: each reason on its own stops a send, and nothing else does."""

from __future__ import annotations

from dataclasses import fields, replace
from typing import Any

import pytest

from beaconhinge.dispatch.send_guard import Refusal, SendState, refusal
from beaconhinge.policy.interface import MemberEntry, WorkerState

WORKER = MemberEntry(7, WorkerState.READY, started_at=50.0)
ALLOWED = SendState(
    list_usable=True,
    chosen=WORKER,
    listed=WORKER,
    same_address=True,
    out_by_hand=False,
    open=True,
    wanted=True,
    time_left=1.0,
    others_at_worker=0,
    others_out=0,
    may_have_run=False,
    unsafe=False,
)

STOPPED: list[tuple[Refusal, dict[str, Any]]] = [
    (Refusal.LIST_UNKNOWN, {"list_usable": False}),
    (Refusal.ANSWERED, {"open": False}),
    (Refusal.CLIENT_GONE, {"wanted": False}),
    (Refusal.OUT_OF_TIME, {"time_left": 0.0}),
    (Refusal.WORKER_REMOVED, {"listed": None}),
    (Refusal.WORKER_DRAINING, {"listed": replace(WORKER, state=WorkerState.DRAINING)}),
    (Refusal.WORKER_DRAINING, {"listed": replace(WORKER, state=WorkerState.GONE)}),
    (Refusal.WORKER_REPLACED, {"listed": replace(WORKER, started_at=60.0)}),
    (Refusal.WORKER_REPLACED, {"same_address": False}),
    (Refusal.OUT_BY_HAND, {"out_by_hand": True}),
    (Refusal.ATTEMPT_OUT, {"others_at_worker": 1, "others_out": 1}),
    (Refusal.UNSAFE_REPEAT, {"unsafe": True, "others_out": 1}),
    (Refusal.UNSAFE_REPEAT, {"unsafe": True, "may_have_run": True}),
]


def test_a_send_with_nothing_against_it_is_allowed() -> None:
    assert refusal(ALLOWED) is None
    # A safe class may have a copy elsewhere, and weights move.
    assert (
        refusal(replace(ALLOWED, others_out=1, may_have_run=True, listed=replace(WORKER, weight=2.0))) is None
    )


@pytest.mark.parametrize(("why", "change"), STOPPED)
def test_each_reason_stops_it_alone(why: Refusal, change: dict[str, Any]) -> None:
    assert refusal(replace(ALLOWED, **change)) is why


def test_every_reason_and_every_field_is_tried() -> None:
    assert {why for why, _ in STOPPED} == set(Refusal)
    assert {name for _, change in STOPPED for name in change} | {"chosen"} == {
        field.name for field in fields(SendState)
    }

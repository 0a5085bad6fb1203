"""The send guard: each reason on its own refuses a send, and nothing else does."""

from __future__ import annotations

from dataclasses import fields, replace
from typing import Any

import pytest

from beaconhinge.dispatch.send_guard import SendRefusal, SendState, find_send_refusal
from beaconhinge.policy.interface import MemberEntry, WorkerState

WORKER = MemberEntry(7, WorkerState.READY, started_at=50.0)
ALLOWED = SendState(
    list_usable=True,
    entry_when_chosen=WORKER,
    current_entry=WORKER,
    same_address=True,
    disabled_by_operator=False,
    attempt_open=True,
    client_waiting=True,
    time_left_s=1.0,
    other_attempts_at_worker=0,
    other_attempts_in_flight=0,
    may_have_run=False,
    must_not_run_twice=False,
    repeat_time_left_s=1.0,
    same_deduplication_group=True,
)

REFUSED_SENDS: list[tuple[SendRefusal, dict[str, Any]]] = [
    (SendRefusal.LIST_UNKNOWN, {"list_usable": False}),
    (SendRefusal.ATTEMPT_ENDED, {"attempt_open": False}),
    (SendRefusal.CLIENT_GONE, {"client_waiting": False}),
    (SendRefusal.DEADLINE_PASSED, {"time_left_s": 0.0}),
    (SendRefusal.WORKER_REMOVED, {"current_entry": None}),
    (SendRefusal.WORKER_DRAINING, {"current_entry": replace(WORKER, state=WorkerState.DRAINING)}),
    (SendRefusal.WORKER_DRAINING, {"current_entry": replace(WORKER, state=WorkerState.GONE)}),
    (SendRefusal.WORKER_REPLACED, {"current_entry": replace(WORKER, started_at=60.0)}),
    (SendRefusal.WORKER_REPLACED, {"same_address": False}),
    (SendRefusal.DISABLED_BY_OPERATOR, {"disabled_by_operator": True}),
    (SendRefusal.ATTEMPT_IN_FLIGHT, {"other_attempts_at_worker": 1, "other_attempts_in_flight": 1}),
    (SendRefusal.UNSAFE_REPEAT, {"must_not_run_twice": True, "other_attempts_in_flight": 1}),
    (SendRefusal.UNSAFE_REPEAT, {"must_not_run_twice": True, "may_have_run": True}),
    (SendRefusal.REPEAT_TOO_LATE, {"repeat_time_left_s": 0.0}),
    (SendRefusal.OTHER_GROUP, {"same_deduplication_group": False}),
]


def test_send_without_any_refusal_reason_is_allowed() -> None:
    assert find_send_refusal(ALLOWED) is None
    # A job of an idempotent class may have another copy in flight, and a changed weight does not matter.
    assert (
        find_send_refusal(
            replace(
                ALLOWED,
                other_attempts_in_flight=1,
                may_have_run=True,
                current_entry=replace(WORKER, weight=2.0),
            )
        )
        is None
    )


@pytest.mark.parametrize(("refusal", "change"), REFUSED_SENDS)
def test_each_reason_alone_refuses_the_send(refusal: SendRefusal, change: dict[str, Any]) -> None:
    assert find_send_refusal(replace(ALLOWED, **change)) is refusal


def test_repeat_after_its_window_is_refused_at_once_while_the_list_is_unknown() -> None:
    too_late = replace(ALLOWED, repeat_time_left_s=-0.1, list_usable=False)
    assert find_send_refusal(too_late) is SendRefusal.REPEAT_TOO_LATE


def test_every_reason_and_every_field_is_covered() -> None:
    assert {refusal for refusal, _ in REFUSED_SENDS} == set(SendRefusal)
    assert {name for _, change in REFUSED_SENDS for name in change} | {"entry_when_chosen"} == {
        field.name for field in fields(SendState)
    }

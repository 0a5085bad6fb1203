"""The send monitor reports each deliberately broken invariant, and nothing for a healthy history."""

from __future__ import annotations

from typing import Any

import pytest

from beaconhinge.dispatch.invariants import (
    DEPARTED_WORKERS_KEPT,
    PLACES_KEPT,
    InvariantRule,
    RepeatRule,
    RepeatsAllowed,
    SendMonitor,
)

ALWAYS = RepeatRule(RepeatsAllowed.ALWAYS)
NEVER = RepeatRule(RepeatsAllowed.NEVER)


class History:
    """A request r1, started at 100.0 with 5 s left, and ready workers a and b, listed at 99.0."""

    def __init__(self, rule: RepeatRule = ALWAYS) -> None:
        self.violations: list[InvariantRule] = []
        self.monitor = SendMonitor(lambda rule, _request, _worker, _why: self.violations.append(rule))
        self.monitor.list_received(decoded_list(True, a="Ready", b="Ready"), 99.0)
        self.monitor.request_started("r1", 105.0, rule)


def decoded_list(full: bool, **states: str) -> dict[str, Any]:
    return {
        "version": 1,
        "full": full,
        "servers": [{"id": name, "state": state} for name, state in states.items()],
    }


def test_healthy_history_has_no_violation() -> None:
    history = History()
    history.monitor.attempt_started("r1", "a", 100.0, 5000)
    history.monitor.attempt_ended("r1", "a", never_ran=False)
    history.monitor.list_received(decoded_list(False, a="Terminating"), 101.0)
    history.monitor.attempt_started("r1", "a", 101.3, 3700)  # within the grace period
    history.monitor.attempt_started("r1", "b", 102.0, 3000)  # a second copy, of an idempotent class
    history.monitor.list_received(decoded_list(False, a="Ready"), 103.0)
    history.monitor.attempt_ended("r1", "a", never_ran=True)
    history.monitor.client_disconnected("r1", 104.0)
    history.monitor.attempt_started("r1", "a", 104.05, 950)
    assert history.violations == []


@pytest.mark.parametrize(
    "departure",
    [decoded_list(False, a="Terminating"), decoded_list(False, a="Gone"), decoded_list(True, b="Ready")],
)
def test_send_to_a_departed_worker_is_a_violation(departure: dict[str, Any]) -> None:
    history = History()
    history.monitor.list_received(departure, 100.0)
    history.monitor.list_received(departure, 100.3)  # repeated: the first announcement counts
    history.monitor.attempt_started("r1", "a", 100.5, 4500)
    assert history.violations == [InvariantRule.DRAIN]


def test_snapshot_with_an_entry_without_id_removes_no_worker() -> None:
    history = History()
    history.monitor.list_received(
        {"full": True, "servers": [{"id": "b", "state": "Ready"}, {"id": 7}]}, 100.0
    )
    history.monitor.attempt_started("r1", "a", 101.0, 4000)
    assert history.violations == []


def test_send_for_a_departed_client_or_finished_request_is_a_violation() -> None:
    history = History()
    history.monitor.client_disconnected("r1", 100.0)
    history.monitor.client_disconnected("r1", 100.3)
    history.monitor.attempt_started("r1", "a", 100.2, 4800)
    history.monitor.request_finished("r1")
    history.monitor.attempt_started("r1", "b", 100.2, 4800)
    assert history.violations == [InvariantRule.CLIENT_GONE, InvariantRule.CLIENT_GONE]


@pytest.mark.parametrize(
    ("unsafe", "second", "ended", "never_ran", "violations"),
    [
        (False, "a", False, False, [InvariantRule.DUPLICATE]),
        (False, "b", False, False, []),
        (True, "b", False, False, [InvariantRule.DUPLICATE]),
        (True, "b", True, False, [InvariantRule.DUPLICATE]),
        (True, "b", True, True, []),
    ],
)
def test_second_attempt_is_checked_for_duplicates(
    unsafe: bool, second: str, ended: bool, never_ran: bool, violations: list[InvariantRule]
) -> None:
    history = History(NEVER if unsafe else ALWAYS)
    history.monitor.attempt_started("r1", "a", 100.0, 5000)
    if ended:
        history.monitor.attempt_ended("r1", "a", never_ran)
    history.monitor.attempt_started("r1", second, 101.0, 4000)
    assert history.violations == violations


@pytest.mark.parametrize(
    ("group", "second", "second_s", "never_ran", "violations"),
    [
        (RepeatsAllowed.SAME_CELL, "a2", 101.9, False, []),
        (RepeatsAllowed.SAME_CELL, "a2", 102.1, False, [InvariantRule.DUPLICATE]),  # after the window
        (RepeatsAllowed.SAME_CELL, "b", 101.0, False, [InvariantRule.DUPLICATE]),  # another cell
        (RepeatsAllowed.SAME_CELL, "b", 104.0, True, []),  # the first attempt never ran
        (RepeatsAllowed.SAME_ZONE, "b", 101.0, False, []),
        (RepeatsAllowed.SAME_ZONE, "c", 101.0, False, [InvariantRule.DUPLICATE]),
        (RepeatsAllowed.EVERYWHERE, "c", 101.0, False, []),
        (RepeatsAllowed.EVERYWHERE, "c", 102.1, False, [InvariantRule.DUPLICATE]),
        (RepeatsAllowed.SAME_CELL, "unlisted", 101.0, False, []),
    ],
)
def test_repeat_is_checked_against_the_window_and_the_group(
    group: RepeatsAllowed, second: str, second_s: float, never_ran: bool, violations: list[InvariantRule]
) -> None:
    """Guards against a monitor that does not see a job applied twice because its repeat came too late."""
    history = History(RepeatRule(group, window_s=2.0))
    history.monitor.list_received(
        {
            "full": False,
            "servers": [
                {"id": "a", "addr": "x", "state": "Ready", "cell": 1, "zone": "north"},
                {"id": "a2", "addr": "x", "state": "Ready", "cell": 1, "zone": "north"},
                {"id": "b", "addr": "x", "state": "Ready", "cell": 2, "zone": "north"},
                {"id": "c", "addr": "x", "state": "Ready", "cell": 3, "zone": "south"},
            ],
        },
        99.0,
    )
    history.monitor.attempt_started("r1", "a", 100.0, 5000)
    history.monitor.attempt_ended("r1", "a", never_ran)
    history.monitor.list_received(
        {"full": False, "servers": [{"id": "a", "addr": "x", "state": "Ready", "cell": 2}]}, 100.5
    )  # where the worker was at the send counts
    history.monitor.attempt_started("r1", second, second_s, 900)
    assert history.violations == violations


def test_number_of_remembered_places_is_bounded() -> None:
    history = History()
    history.monitor.list_received(
        {"servers": [{"id": f"w{n}", "addr": "x", "state": "Ready"} for n in range(PLACES_KEPT + 10)]}, 99.0
    )
    assert len(history.monitor._places) == PLACES_KEPT


def test_announced_timeout_beyond_the_deadline_is_a_violation() -> None:
    history = History()
    history.monitor.attempt_started("r1", "a", 101.0, 4140)
    history.monitor.attempt_started("r1", "b", 101.0, 4160)
    assert history.violations == [InvariantRule.DEADLINE]


def test_number_of_remembered_departed_workers_is_bounded() -> None:
    history = History()
    for number in range(DEPARTED_WORKERS_KEPT + 10):
        history.monitor.list_received(decoded_list(False, **{f"w{number}": "Gone"}), 100.0)
    history.monitor.attempt_started("r1", "w0", 101.0, 4000)  # no longer remembered
    history.monitor.attempt_started("r1", f"w{DEPARTED_WORKERS_KEPT}", 101.0, 4000)
    assert history.violations == [InvariantRule.DRAIN]


@pytest.mark.parametrize("end", ["turned_away", "server_error", "connection_lost"])
@pytest.mark.parametrize("earlier", ["given up", "called back"])
def test_repeated_callback_taken_for_the_end_of_a_later_attempt_is_a_violation(
    earlier: str, end: str
) -> None:
    """The fault planted: the job goes to another cell, or to the same worker, while it may run (review/8)."""
    for next_worker in "ab":
        history = History(RepeatRule(RepeatsAllowed.SAME_CELL, 40.0))
        cells = [{"id": name, "state": "Ready", "addr": "x", "cell": name} for name in "ab"]
        history.monitor.list_received({"version": 2, "full": True, "servers": cells}, 99.5)
        history.monitor.attempt_started("r1", "a", 100.0, 5000)
        if earlier == "called back":
            history.monitor.attempt_called_back("r1", "a", end, never_ran=True)
        else:
            history.monitor.attempt_given_up("r1", "a")
            history.monitor.attempt_ended("r1", "a", never_ran=True)
        history.monitor.attempt_started("r1", "a", 101.0, 4000)
        assert history.violations == []
        history.monitor.attempt_called_back("r1", "a", end, never_ran=True)
        history.monitor.attempt_started("r1", next_worker, 101.5, 3500)
        assert history.violations == [InvariantRule.DUPLICATE]


def test_callback_that_no_earlier_attempt_can_have_sent_ends_the_later_one() -> None:
    history = History(RepeatRule(RepeatsAllowed.SAME_CELL, 40.0))
    for end in ("turned_away", "server_error"):
        history.monitor.attempt_started("r1", "a", 100.0, 5000)
        history.monitor.attempt_called_back("r1", "a", end, never_ran=end == "turned_away")
    history.monitor.attempt_started("r1", "a", 101.0, 4000)
    assert history.violations == []

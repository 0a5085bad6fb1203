"""The run-time check finds each rule that is broken on purpose, and nothing in a healthy history."""

from __future__ import annotations

from typing import Any

import pytest

from beaconhinge.dispatch.invariants import DEPARTED_WORKERS_KEPT, InvariantRule, SendMonitor


class History:
    """A request r1, taken at 100.0 with 5 s, and workers a and b."""

    def __init__(self, unsafe: bool = False) -> None:
        self.found: list[InvariantRule] = []
        self.monitor = SendMonitor(lambda rule, _request, _worker, _why: self.found.append(rule))
        self.monitor.list_received(listing(True, a="Ready", b="Ready"), 99.0)
        self.monitor.request_started("r1", 105.0, unsafe)


def listing(full: bool, **states: str) -> dict[str, Any]:
    return {
        "version": 1,
        "full": full,
        "servers": [{"id": name, "state": state} for name, state in states.items()],
    }


def test_healthy_history_has_no_violation() -> None:
    history = History()
    history.monitor.attempt_started("r1", "a", 100.0, 5000)
    history.monitor.attempt_ended("r1", "a", never_ran=False)
    history.monitor.list_received(listing(False, a="Terminating"), 101.0)
    history.monitor.attempt_started("r1", "a", 101.3, 3700)  # within the grace
    history.monitor.attempt_started("r1", "b", 102.0, 3000)  # a copy, of a class that may run twice
    history.monitor.list_received(listing(False, a="Ready"), 103.0)
    history.monitor.attempt_ended("r1", "a", never_ran=True)
    history.monitor.client_disconnected("r1", 104.0)
    history.monitor.attempt_started("r1", "a", 104.05, 950)
    assert history.found == []


@pytest.mark.parametrize(
    "left", [listing(False, a="Terminating"), listing(False, a="Gone"), listing(True, b="Ready")]
)
def test_send_to_a_departed_worker(left: dict[str, Any]) -> None:
    history = History()
    history.monitor.list_received(left, 100.0)
    history.monitor.list_received(left, 100.3)  # announced again: it counts from the first announcement
    history.monitor.attempt_started("r1", "a", 100.5, 4500)
    assert history.found == [InvariantRule.DRAIN]


def test_snapshot_with_an_entry_without_id_removes_no_worker() -> None:
    history = History()
    history.monitor.list_received(
        {"full": True, "servers": [{"id": "b", "state": "Ready"}, {"id": 7}]}, 100.0
    )
    history.monitor.attempt_started("r1", "a", 101.0, 4000)
    assert history.found == []


def test_send_for_a_disconnected_client_or_a_finished_request() -> None:
    history = History()
    history.monitor.client_disconnected("r1", 100.0)
    history.monitor.client_disconnected("r1", 100.3)
    history.monitor.attempt_started("r1", "a", 100.2, 4800)
    history.monitor.request_finished("r1")
    history.monitor.attempt_started("r1", "b", 100.2, 4800)
    assert history.found == [InvariantRule.CLIENT_GONE, InvariantRule.CLIENT_GONE]


@pytest.mark.parametrize(
    ("unsafe", "second", "ended", "unrun", "found"),
    [
        (False, "a", False, False, [InvariantRule.DUPLICATE]),
        (False, "b", False, False, []),
        (True, "b", False, False, [InvariantRule.DUPLICATE]),
        (True, "b", True, False, [InvariantRule.DUPLICATE]),
        (True, "b", True, True, []),
    ],
)
def test_second_attempt(
    unsafe: bool, second: str, ended: bool, unrun: bool, found: list[InvariantRule]
) -> None:
    history = History(unsafe)
    history.monitor.attempt_started("r1", "a", 100.0, 5000)
    if ended:
        history.monitor.attempt_ended("r1", "a", unrun)
    history.monitor.attempt_started("r1", second, 101.0, 4000)
    assert history.found == found


def test_longer_timeout_announced_than_there_is_time_left() -> None:
    history = History()
    history.monitor.attempt_started("r1", "a", 101.0, 4140)
    history.monitor.attempt_started("r1", "b", 101.0, 4160)
    assert history.found == [InvariantRule.DEADLINE]


def test_departed_workers_are_remembered_in_bounds() -> None:
    history = History()
    for number in range(DEPARTED_WORKERS_KEPT + 10):
        history.monitor.list_received(listing(False, **{f"w{number}": "Gone"}), 100.0)
    history.monitor.attempt_started("r1", "w0", 101.0, 4000)  # forgotten by now
    history.monitor.attempt_started("r1", f"w{DEPARTED_WORKERS_KEPT}", 101.0, 4000)
    assert history.found == [InvariantRule.DRAIN]

"""Decisions on less time here than the client gives."""

from __future__ import annotations

import pytest
from decision_helpers import finals
from helpers import job, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.interface import (
    RETRY_FLAG,
    UpdateKind,
)


@pytest.mark.parametrize("marks", ["true", "false"])
@pytest.mark.parametrize("flags", [0, RETRY_FLAG])
def test_a_process_that_ends_does_not_take_its_own_end_for_a_clients_long_wait(
    marks: str, flags: int
) -> None:
    """The less time that a job had there was read as time gone since its client's first try: all were refused."""
    dispatcher = started(clients__marksRetry=marks)
    assert sends(dispatcher.handle(100.0, job(1, 2, remaining=4.0, size_hint=0.5)))
    taken = job(2, 2, remaining=1.5, size_hint=0.5, client_timeout=4.0, flags=flags)
    assert sends(dispatcher.handle(100.1, taken))
    late = job(3, 2, remaining=1.5, size_hint=0.5, flags=RETRY_FLAG)  # 2.5 s are gone for its client too
    assert finals(dispatcher.handle(100.2, late)) == [interface.Reject]


def test_a_process_that_ends_refuses_at_once_what_would_outlast_it_and_only_then() -> None:
    """Taken, it would be lost with the process, and may have run: another dispatcher can still have it."""
    dispatcher = started(clients__marksRetry="true")
    dispatcher.estimates.seconds_per_work = 1.0
    assert finals(dispatcher.handle(100.0, job(1, remaining=1.0, size_hint=2.0, client_timeout=4.0))) == [
        interface.Reject
    ]
    assert sends(dispatcher.handle(100.0, job(2, remaining=1.0, size_hint=0.5, client_timeout=4.0)))
    assert sends(dispatcher.handle(100.0, job(3, remaining=1.0, size_hint=2.0)))  # its client's own choice


def test_an_older_start_under_a_newer_version_leaves_a_cold_worker_cold() -> None:
    """A list may hold old content, and a wall clock that was set back gives a restart an older time."""
    dispatcher = started(1, rules__warmWithin="10")
    for version, (told, own) in enumerate(
        [(98.0, 98.0), (40.0, 40.0), (97.5 - 3600, 99.5), (0.0, 0.0)], start=2
    ):
        member = interface.MemberEntry(100, started_at=told, slow_start_from=own)
        dispatcher.handle(100.0, interface.MembershipUpdate(UpdateKind.CHANGES, version, [member]))
        assert dispatcher.slow_start.is_cold(dispatcher.workers[100])
    assert dispatcher.workers[100].slow_start_from == 99.5

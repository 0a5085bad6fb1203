"""Workers that have left the list: the policy keeps some of them, in case they return, and forgets the others."""

from __future__ import annotations

from helpers import job, sends, started

from beaconhinge.policy import interface
from beaconhinge.policy.interface import MemberEntry, UpdateKind
from beaconhinge.policy.workers import MAX_DEPARTED_WORKERS

LISTED = 4


def test_number_of_departed_workers_is_bounded_and_those_with_attempts_stay() -> None:
    """Guards against memory and work that grow with each worker that a release has ever replaced."""
    dispatcher = started(LISTED)
    (attempt,) = sends(dispatcher.handle(100.1, job(1)))
    for version in range(2, 3 + MAX_DEPARTED_WORKERS // LISTED + 10):
        replaced = [MemberEntry(1000 * version + n) for n in range(LISTED)]
        dispatcher.handle(100.0 + version, interface.MembershipUpdate(UpdateKind.SNAPSHOT, version, replaced))
    assert len(dispatcher.workers) == LISTED + MAX_DEPARTED_WORKERS + 1
    assert attempt.worker in dispatcher.workers
    assert replaced[0].worker in dispatcher.workers

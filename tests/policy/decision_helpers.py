"""Helpers for tests of the policy: final answers, a dispatcher in a group of two, and rejections."""

from __future__ import annotations

from helpers import started

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import (
    AttemptOutcome,
)


def final_answers(actions: list[interface.Action]) -> list[type]:
    """Return the types of the final answers among the actions."""
    return [type(a) for a in actions if isinstance(a, (interface.Reject, interface.Fail))]


def group(seed: int, number: int) -> Dispatcher:
    """Return a started dispatcher that belongs to a group of two, which exchanges messages with its peer."""
    return started(seed=seed, groupSize="2", myNumber=str(number), policyLimits__peers="true")


def free_slot_rejection(request: int, worker: int, free: float) -> interface.AttemptEnded:
    """Return a rejection by a worker that reports `free` free slots."""
    return interface.AttemptEnded(request, worker, 0, AttemptOutcome.REJECTED, False, 0.1, {"x0": free})

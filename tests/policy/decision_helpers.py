"""Groups, messages of peers and final answers for the tests of decisions."""

from __future__ import annotations

from helpers import started

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import (
    AttemptOutcome,
)


def finals(actions: list[interface.Action]) -> list[type]:
    return [type(a) for a in actions if isinstance(a, (interface.Reject, interface.Fail))]


def group(seed: int, number: int) -> Dispatcher:
    return started(seed=seed, groupSize="2", myNumber=str(number), policyLimits__peers="true")


def full(request: int, worker: int, free: float) -> interface.AttemptEnded:
    return interface.AttemptEnded(request, worker, 0, AttemptOutcome.REJECTED, False, 0.1, {"x0": free})

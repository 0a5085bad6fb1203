"""A request without a final answer at its deadline gets one from the policy, once."""

from __future__ import annotations

import pytest
from helpers import members, settings

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import UpdateKind

RETRYABLE, UNSAFE = 0, 2  # numbers of the classes in `helpers.PAIRS`


def final_answers(actions: list[interface.Action]) -> list[type]:
    return [type(a) for a in actions if isinstance(a, interface.Reject | interface.Fail)]


@pytest.mark.parametrize(
    ("class_index", "workers", "answer"),
    [(RETRYABLE, 2, interface.Reject), (UNSAFE, 2, interface.Fail), (UNSAFE, 0, interface.Reject)],
)
def test_final_answer_at_deadline_depends_on_what_may_have_run(
    class_index: int, workers: int, answer: type
) -> None:
    # Guards against a 502, which the policy did not decide, for a job that is safe to repeat or never ran.
    dispatcher = Dispatcher(settings(), 1)
    dispatcher.handle(100.0, interface.Start())
    dispatcher.handle(100.0, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, members(workers)))
    arrived = dispatcher.handle(100.0, interface.JobArrived(7, class_index, 0, 2.0, size_hint=0.1))
    assert final_answers(arrived) == []
    assert final_answers(dispatcher.handle(102.1, interface.DeadlinePassed(7))) == [answer]
    assert final_answers(dispatcher.handle(102.2, interface.DeadlinePassed(7))) == []
    assert final_answers(dispatcher.handle(102.3, interface.TimerFired(1))) == []

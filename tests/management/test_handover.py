"""The form that one process hands to the next, and its frames."""

from __future__ import annotations

import json
import random

import pytest
from helpers import job, members, outcome, started

from beaconhinge.management import handover
from beaconhinge.management.handover import FrameReader, HandoverError
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind


def worked(seed: int = 1, **changes: str) -> Dispatcher:
    """A module that has seen some of everything."""
    dispatcher = started(6, seed=seed, groupSize="3", policyLimits__peers="true", **changes)
    draw, now, sent = random.Random(seed), 100.0, []
    for number in range(200):
        now += draw.random() / 10
        sent += [
            a
            for a in dispatcher.handle(now, job(number, cls=number % 3))
            if isinstance(a, interface.SendAttempt)
        ]
        if sent and draw.random() < 0.8:
            done = sent.pop(0)
            what = draw.choice(
                [AttemptOutcome.SERVED] * 6
                + [
                    AttemptOutcome.SERVER_ERROR,
                    AttemptOutcome.REJECTED,
                    AttemptOutcome.CONNECTION_LOST,
                ]
            )
            after = dispatcher.handle(now, outcome(done.request, done.worker, what))
            sent += [a for a in after if isinstance(a, interface.SendAttempt) and a.request != done.request]
        dispatcher.handle(now, interface.TimerFired(1))
    dispatcher.handle(now, interface.MaintenanceMode(103, True))
    return dispatcher


def test_what_is_handed_over_is_what_was_taken() -> None:
    old = worked()
    form = handover.seal({"module": handover.export_state(old)})
    new = started(6, seed=2, groupSize="3", policyLimits__peers="true")
    handover.restore(new, handover.unseal(form)["module"])
    given, got = handover.export_state(old), handover.export_state(new)
    assert (
        got["fleet"].pop("sequence")
        == (given["fleet"].pop("sequence") + handover.SEQUENCE_ALLOWANCE) & 0xFFFF
    )
    assert json.loads(json.dumps(got)) == json.loads(json.dumps(given))
    new.handle(130.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 3, members(6)))
    assert not new.workers[103].listed  # out by hand, across the hand-over
    assert (
        sum(w.in_flight for w in old.workers.values()) == sum(w.in_flight for w in new.workers.values()) > 0
    )


@pytest.mark.parametrize("many", ["3", "40"])
def test_slots_of_the_other_process_count_until_they_end(many: str) -> None:
    dispatcher = started(2, groupSize=many, policyLimits__peers="true")
    worker = dispatcher.workers[100]
    dispatcher.handle(101.0, interface.SiblingLoad(100, 3.0))
    assert dispatcher.limits.slots_in_flight(worker) == worker.in_flight == 3.0
    dispatcher.handle(108.0, interface.SiblingLoad(100, 0.0))
    assert not dispatcher.is_silent(worker)  # it was heard by the other
    dispatcher.handle(109.0, interface.SiblingLoad(100, -3.0))
    assert dispatcher.limits.slots_in_flight(worker) == worker.in_flight == 0.0
    dispatcher.handle(109.0, interface.SiblingLoad(999, 1.0))  # left the list meanwhile


def test_a_form_cut_or_changed_at_any_byte_is_not_used() -> None:
    form = handover.seal({"module": {"books": {"rate": float("inf")}}, "list": {}})
    assert handover.unseal(form)["module"]["books"]["rate"] == float("inf")
    for at in range(len(form)):
        with pytest.raises(HandoverError):
            handover.unseal(form[:at])
        with pytest.raises(HandoverError):
            handover.unseal(form[:at] + bytes([form[at] ^ 1]) + form[at + 1 :])
    with pytest.raises(HandoverError, match="another version"):
        handover.unseal(form.replace(b" 1 ", b" 0 ", 1))


def test_what_does_not_fit_changes_nothing() -> None:
    content = handover.export_state(worked())
    for key in content:
        for wrong in (None, [1], {}, "text", [[1, 2, 3, 4, 5]]):
            new = started(6, groupSize="3", policyLimits__peers="true")
            before = json.dumps(handover.export_state(new))
            try:
                handover.restore(new, {**content, key: wrong})
            except HandoverError:
                assert json.dumps(handover.export_state(new)) == before


def test_frames_in_pieces_are_frames() -> None:
    sent = [(handover.STATE, b"x" * 3000), (handover.SERVING, b""), (handover.CALLBACK, b"{}")]
    data, draw = b"".join(handover.encode_frame(kind, payload) for kind, payload in sent), random.Random(3)
    for _ in range(50):
        frames, got, at = FrameReader(), [], 0
        while at < len(data):
            size = draw.choice([1, 2, 7, 500, 5000])
            got += frames.feed(data[at : at + size])
            at += size
        assert got == sent
    with pytest.raises(HandoverError, match="a frame of"):
        list(FrameReader().feed(b"\xff" * 5))


def test_figures_of_other_settings_are_not_used() -> None:
    content = handover.export_state(worked())
    for changes in ({"groupSize": "4"}, {"requestClasses__0__aim": "2"}, {"myNumber": "1"}):
        new = started(6, **{"groupSize": "3", "policyLimits__peers": "true", **changes})
        with pytest.raises(HandoverError, match="other settings"):
            handover.restore(new, content)

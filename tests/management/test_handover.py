"""The state that a process hands to its successor, and the frames between the two."""

from __future__ import annotations

import json
import random

import pytest
from helpers import job, members, outcome, started

from beaconhinge.management import handover
from beaconhinge.management.frames import FrameKind, FrameReader, HandoverError, encode_frame
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind


def used_dispatcher(seed: int = 1, **changes: str) -> Dispatcher:
    """A dispatcher that has handled jobs, attempts of each outcome, timers and a maintenance mode."""
    dispatcher = started(6, seed=seed, groupSize="3", policyLimits__peers="true", **changes)
    rng, now, open_attempts = random.Random(seed), 100.0, []
    for number in range(200):
        now += rng.random() / 10
        open_attempts += [
            action
            for action in dispatcher.handle(now, job(number, cls=number % 3))
            if isinstance(action, interface.SendAttempt)
        ]
        if open_attempts and rng.random() < 0.8:
            ended = open_attempts.pop(0)
            end = rng.choice(
                [AttemptOutcome.SERVED] * 6
                + [
                    AttemptOutcome.SERVER_ERROR,
                    AttemptOutcome.REJECTED,
                    AttemptOutcome.CONNECTION_LOST,
                ]
            )
            actions = dispatcher.handle(now, outcome(ended.request, ended.worker, end))
            open_attempts += [
                action
                for action in actions
                if isinstance(action, interface.SendAttempt) and action.request != ended.request
            ]
        dispatcher.handle(now, interface.TimerFired(1))
    dispatcher.handle(now, interface.MaintenanceMode(103, True))
    return dispatcher


def test_restored_state_equals_the_exported_state() -> None:
    old = used_dispatcher()
    sealed = handover.seal({"module": handover.export_state(old)})
    new = started(6, seed=2, groupSize="3", policyLimits__peers="true")
    handover.restore(new, handover.unseal(sealed)["module"])
    exported, restored = handover.export_state(old), handover.export_state(new)
    assert (
        restored["fleet"].pop("sequence")
        == (exported["fleet"].pop("sequence") + handover.SEQUENCE_ALLOWANCE) & 0xFFFF
    )
    assert json.loads(json.dumps(restored)) == json.loads(json.dumps(exported))
    new.handle(130.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 3, members(6)))
    assert not new.workers[103].listed  # its maintenance mode was handed over
    assert (
        sum(w.in_flight for w in old.workers.values()) == sum(w.in_flight for w in new.workers.values()) > 0
    )


@pytest.mark.parametrize("group_size", ["3", "40"])
def test_slots_used_by_the_other_process_count_until_released(group_size: str) -> None:
    dispatcher = started(2, groupSize=group_size, policyLimits__peers="true")
    worker = dispatcher.workers[100]
    dispatcher.handle(101.0, interface.SiblingLoad(100, 3.0))
    assert dispatcher.limits.slots_in_flight(worker) == worker.in_flight == 3.0
    dispatcher.handle(108.0, interface.SiblingLoad(100, 0.0))
    assert not dispatcher.is_silent(worker)  # the other process received a sign of life
    dispatcher.handle(109.0, interface.SiblingLoad(100, -3.0))
    assert dispatcher.limits.slots_in_flight(worker) == worker.in_flight == 0.0
    dispatcher.handle(109.0, interface.SiblingLoad(999, 1.0))  # a worker that is not in the list is ignored


def test_truncated_or_corrupted_state_is_refused() -> None:
    sealed = handover.seal({"module": {"books": {"rate": float("inf")}}, "list": {}})
    assert handover.unseal(sealed)["module"]["books"]["rate"] == float("inf")
    for at in range(len(sealed)):
        with pytest.raises(HandoverError):
            handover.unseal(sealed[:at])
        with pytest.raises(HandoverError):
            handover.unseal(sealed[:at] + bytes([sealed[at] ^ 1]) + sealed[at + 1 :])
    with pytest.raises(HandoverError, match="another version"):
        handover.unseal(sealed.replace(b" 1 ", b" 0 ", 1))


def test_malformed_state_leaves_the_dispatcher_unchanged() -> None:
    content = handover.export_state(used_dispatcher())
    for key in content:
        for wrong in (None, [1], {}, "text", [[1, 2, 3, 4, 5]]):
            new = started(6, groupSize="3", policyLimits__peers="true")
            before = json.dumps(handover.export_state(new))
            try:
                handover.restore(new, {**content, key: wrong})
            except HandoverError:
                assert json.dumps(handover.export_state(new)) == before


def test_frames_split_at_any_byte_are_decoded() -> None:
    sent = [(FrameKind.STATE, b"x" * 3000), (FrameKind.SERVING, b""), (FrameKind.CALLBACK, b"{}")]
    data, rng = b"".join(encode_frame(kind, payload) for kind, payload in sent), random.Random(3)
    for _ in range(50):
        frames, received, at = FrameReader(), [], 0
        while at < len(data):
            size = rng.choice([1, 2, 7, 500, 5000])
            received += frames.feed(data[at : at + size])
            at += size
        assert received == sent
    with pytest.raises(HandoverError, match="a frame of"):
        list(FrameReader().feed(b"\xff" * 5))


def test_state_taken_under_other_settings_is_refused() -> None:
    content = handover.export_state(used_dispatcher())
    for changes in ({"groupSize": "4"}, {"requestClasses__0__aim": "2"}, {"myNumber": "1"}):
        new = started(6, **{"groupSize": "3", "policyLimits__peers": "true", **changes})
        with pytest.raises(HandoverError, match="other settings"):
            handover.restore(new, content)

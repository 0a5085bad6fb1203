"""Stalls: detection, excused outcomes, postponed timers, and what policy and gossip do after one."""

from __future__ import annotations

import asyncio
import math

from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.gossip import codec
from beaconhinge.gossip.aggregation import GossipNode
from beaconhinge.policy import Dispatcher, Settings, interface
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind
from beaconhinge.recovery.stall import EXCUSED_OUTCOMES, StallDetector
from beaconhinge.runtime.timer_wheel import TimerWheel

SPANS = st.lists(st.floats(0.0, 30.0, allow_nan=False), min_size=1, max_size=8)


# A stall is reported once, and exactly if two observations are more than the threshold apart.
@given(SPANS, st.floats(0.3, 5.0))
def test_a_stall_is_noticed_once_exactly_where_two_turns_lie_too_far_apart(
    spans: list[float], after: float
) -> None:
    watch, now = StallDetector(after), 100.0
    assert watch.observe(now) is None
    for span in spans:
        before, now = now, now + span
        stall = watch.observe(now)
        assert (stall is not None) == (now - before > after)
        if stall is not None:
            assert (stall.began, stall.ended) == (before, now)
        assert watch.observe(now) is None


# Time in which the process stalled must not count as a request's running time, and an attempt that was open
# during a stall must not be blamed on its worker.
@given(
    SPANS,
    st.floats(0.3, 5.0),
    st.integers(0, 8),
    st.sampled_from(
        sorted(
            {
                *EXCUSED_OUTCOMES,
                AttemptOutcome.SERVED,
                AttemptOutcome.SERVER_ERROR,
                AttemptOutcome.REJECTED,
            }
        )
    ),
)
def test_own_time_and_blame_leave_out_what_the_process_slept_through(
    spans: list[float], after: float, since: int, outcome: str
) -> None:
    watch, turns = StallDetector(after), [100.0]
    watch.observe(100.0)
    for span in spans:
        turns.append(turns[-1] + span)
        watch.observe(turns[-1])
    sent = turns[min(since, len(turns) - 1)]
    stood = [(a, b) for a, b in zip(turns, turns[1:], strict=False) if b - a > after]
    ran = sum(b - a for a, b in zip(turns, turns[1:], strict=False) if a >= sent and b - a <= after)
    assert math.isclose(watch.running_seconds(sent, turns[-1]), ran, abs_tol=1e-6)
    excused = any(sent < ended for _, ended in stood)
    assert watch.excused_outcome(sent, outcome) == (
        EXCUSED_OUTCOMES.get(outcome, outcome) if excused else outcome
    )
    assert watch.excused_outcome(turns[-1] + 1, outcome) == outcome


def test_timers_wait_for_sockets_after_a_stall_despite_new_timers() -> None:
    """Time-outs that fire before waiting answers are read would end attempts that were answered in time."""

    async def scenario() -> list[str]:
        loop, fired, failures = asyncio.get_running_loop(), [], []
        timers = TimerWheel(loop.time, lambda where, error: failures.append(where))
        postponements = [0.05, 0.0]
        timers.postponed_for = lambda: postponements.pop(0) if postponements else 0.0
        done = asyncio.Event()
        timers.after(0.0, lambda: fired.append("due"))
        timers.fire_due()  # postponed, as after a stall
        assert not fired
        timers.after(0.0, lambda: (fired.append("newer"), done.set()))
        loop.call_soon(lambda: fired.append("socket"))
        await asyncio.wait_for(done.wait(), 5)
        assert not failures
        return fired

    assert asyncio.run(scenario()) == ["socket", "due", "newer"]


def new_policy(size: int) -> Dispatcher:
    policy = Dispatcher(
        Settings.from_pairs(
            {
                "requestClasses.count": "1",
                "requestClasses.0.aim": "0.25",
                "requestClasses.0.hardLimit": "7.5",
                "groupSize": str(size),
                "myNumber": "0",
                "policyLimits.peers": "true",
            }
        ),
        seed=1,
    )
    policy.handle(100.0, interface.Start())
    policy.handle(
        100.0,
        interface.MembershipUpdate(
            UpdateKind.BOOTSTRAP, 1, [interface.MemberEntry(worker=n) for n in range(4)]
        ),
    )
    return policy


def test_workers_do_not_count_as_silent_for_the_time_of_a_stall() -> None:
    """Else the dispatcher would avoid all workers with jobs in flight after its own stall."""
    stalled, running = new_policy(1), new_policy(1)
    for policy in (stalled, running):
        policy.handle(100.1, interface.JobArrived(request=1, class_index=0, tenant=0, remaining=7.5))
        sent = next(iter(policy.requests.by_id.values())).attempts[0].worker
        policy.estimates.mean_latency_s = 0.2
        if policy is stalled:
            policy.handle(106.0, interface.ProcessStalled(5.8))
        policy.context.now = 106.0
        assert policy.is_silent(sent) == (policy is running)


def test_aggregator_that_stalled_listens_before_it_aggregates_again() -> None:
    """Another node may have become the aggregator in the meantime; its aggregate must be accepted."""
    fleet = GossipNode(40, 0, 1, 0.5)
    fleet.start(100.0)
    fleet.advance(101.0)
    assert fleet.is_aggregator
    fleet.process_resumed(110.0)
    fleet.advance(110.0)
    assert not fleet.is_aggregator
    assert not fleet.outbox[1:]
    aggregate = codec.encode_aggregate(codec.AggregateMessage(2, 1, 0, [(9, 3, 0, False)]))
    assert len(list(fleet.receive(110.1, 7, aggregate))) == 1
    assert fleet.aggregator == 7
    assert fleet.in_flight_elsewhere(9, 0.0) == 3


def test_stall_alone_causes_no_policy_action() -> None:
    """The event ProcessStalled must not send, reject or cancel anything by itself."""
    assert new_policy(5).handle(104.0, interface.ProcessStalled(3.0)) == []

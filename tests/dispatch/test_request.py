"""Scenarios of one request with a scripted policy: cancels, time-outs, refusals, disconnects, failures."""

from __future__ import annotations

import asyncio
import time

import pytest
from harness import Harness, ReceivedMessage, job_bytes, next_event, reply, run_scenario, use_scripted_policy

from beaconhinge.membership.inventory import worker_number
from beaconhinge.policy import interface
from beaconhinge.policy.interface import AttemptOutcome

FIRST, SECOND = worker_number("s-0"), worker_number("s-1")


async def never_answer(_message: ReceivedMessage) -> bytes | None:
    await asyncio.Event().wait()
    return None


def test_cancel_before_the_202_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = use_scripted_policy(
        monkeypatch,
        interface.SendAttempt(1, FIRST),
        interface.SetTimer(9, 0.05),
        TimerFired=[interface.CancelAttempt(1, 0)],
        AttemptEnded=[interface.Fail(1)],
    )

    async def script(_message: ReceivedMessage) -> bytes | None:
        await asyncio.sleep(0.3)
        return reply(202)

    async def scenario(harness: Harness) -> None:
        assert (await harness.post()).status == 502
        ended = await next_event(policy, interface.AttemptEnded)
        assert (ended.outcome, ended.settled) == (AttemptOutcome.CANCELLED, False)
        assert await harness.workers[0].ended.get()
        assert harness.workers[0].seen.qsize() == 1  # the job, and no DELETE

    run_scenario(scenario, script)


def test_cancel_after_the_202_withdraws_the_job(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = use_scripted_policy(
        monkeypatch,
        interface.SendAttempt(1, FIRST),
        ProgressNotice=[interface.CancelAttempt(1, 0)],
        AttemptEnded=[interface.Fail(1)],
    )

    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await asyncio.sleep(0.2)  # until the 202 has been read
        await harness.callback(state="started")
        assert (await answer_task).status == 502
        assert (await next_event(policy, interface.AttemptEnded)).outcome == AttemptOutcome.CANCELLED
        assert (await harness.workers[0].seen.get()).start_line == "DELETE /jobs/r1 HTTP/1.1"
        assert harness.workers[0].connections == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("timeout", "timeout_ms", "min_s"), [(0.1, "5000", 0.1), (0.0, "150", 0.14), (9.0, "150", 0.14)]
)
def test_attempt_ends_at_its_time_out_or_at_the_deadline(
    monkeypatch: pytest.MonkeyPatch, timeout: float, timeout_ms: str, min_s: float
) -> None:
    policy = use_scripted_policy(
        monkeypatch, interface.SendAttempt(1, FIRST, timeout), AttemptEnded=[interface.Reject(1, 1.5)]
    )

    async def scenario(harness: Harness) -> None:
        sent_at = asyncio.get_running_loop().time()
        answer = await harness.post(X_Timeout_Ms=timeout_ms)
        answered_after = asyncio.get_running_loop().time() - sent_at
        assert (answer.status, answer.headers["retry-after"]) == (503, "1.500")
        ended = await next_event(policy, interface.AttemptEnded)
        assert (ended.outcome, ended.settled) == (AttemptOutcome.TIMEOUT, False)
        # A deadline counts from the request's arrival; the attempt does not include the time before the read.
        assert min_s <= (ended.latency if timeout == min_s else answered_after)
        assert ended.latency <= answered_after < min_s + 1.0

    run_scenario(scenario)


def test_first_result_is_the_answer_and_second_copy_ends_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    policy = use_scripted_policy(
        monkeypatch, interface.SendAttempt(1, FIRST), interface.SendAttempt(1, SECOND)
    )

    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        for worker in harness.workers:
            await worker.seen.get()
        await harness.callback(1, state="done", result="second", load={"x0": 2.5})
        assert (await answer_task).body == b"second"
        ended = await next_event(policy, interface.AttemptEnded)
        assert (ended.worker, ended.attempt, ended.outcome, ended.settled) == (
            SECOND,
            1,
            AttemptOutcome.SERVED,
            True,
        )
        assert ended.load == {"x0": 2.5}
        await harness.callback(0, state="lost")
        ended = await next_event(policy, interface.AttemptEnded)
        assert (ended.worker, ended.outcome, ended.settled) == (
            FIRST,
            AttemptOutcome.CONNECTION_LOST,
            True,
        )

    run_scenario(scenario, workers=2)


def test_client_disconnect_is_reported_and_outcomes_are_still_read(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = use_scripted_policy(
        monkeypatch, interface.SendAttempt(1, FIRST), ClientDisconnected=[interface.SendAttempt(1, SECOND)]
    )

    async def scenario(harness: Harness) -> None:
        _, writer = await harness.open()
        writer.write(job_bytes())
        await harness.workers[0].seen.get()
        writer.close()
        assert (await next_event(policy, interface.ClientDisconnected)).request == 1
        late = await next_event(policy, interface.AttemptEnded)  # nothing is sent for a finished request
        assert (late.worker, late.outcome, late.settled) == (SECOND, AttemptOutcome.NOT_SENT, True)
        await harness.callback(state="done", result="unread")
        ended = await next_event(policy, interface.AttemptEnded)
        assert (ended.worker, ended.outcome, ended.settled) == (FIRST, AttemptOutcome.SERVED, True)

    run_scenario(scenario, workers=2)


@pytest.mark.parametrize("fault", ["dead", "unreachable"])
def test_failed_connection_counts_as_no_connection(monkeypatch: pytest.MonkeyPatch, fault: str) -> None:
    policy = use_scripted_policy(
        monkeypatch, interface.SendAttempt(1, FIRST), AttemptEnded=[interface.Reject(1)]
    )

    async def scenario(harness: Harness) -> None:
        harness.workers[0].server.close()
        if fault == "unreachable":  # its machine accepts no connections: the connect never completes

            async def never(address: tuple[str, int]) -> None:
                await asyncio.Event().wait()

            monkeypatch.setattr("beaconhinge.net.worker_pool.connect", never)
        assert (await harness.post()).status == 503
        assert (await next_event(policy, interface.AttemptEnded)).outcome == AttemptOutcome.NO_CONNECTION

    run_scenario(scenario)


def test_second_attempt_at_a_busy_worker_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = use_scripted_policy(
        monkeypatch, interface.SendAttempt(1, FIRST), interface.SendAttempt(1, FIRST)
    )
    # As under -O: a failed check does not raise.
    monkeypatch.setattr("beaconhinge.runtime.metrics.Metrics.check", lambda self, condition, name: condition)

    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        ended = await next_event(policy, interface.AttemptEnded)
        assert (ended.attempt, ended.outcome) == (1, AttemptOutcome.NOT_SENT)
        await harness.callback(state="done", result="one")
        assert (await answer_task).body == b"one"

    run_scenario(scenario)


def test_client_gets_an_answer_if_the_policy_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = use_scripted_policy(monkeypatch)

    def fail(_now: float, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.JobArrived):
            raise ZeroDivisionError("in the policy")
        return [interface.SubscribeMembership()] if isinstance(event, interface.Start) else []

    policy.handle = fail  # type: ignore[method-assign]

    async def scenario(harness: Harness) -> None:
        assert (await harness.post()).status == 502
        assert (await harness.post(X_Request_ID="r2")).status == 502

    run_scenario(scenario)


def test_client_gets_an_answer_if_the_policy_returns_no_action(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_scripted_policy(monkeypatch)
    monkeypatch.setattr("beaconhinge.runtime.metrics.Metrics.check", lambda self, condition, name: condition)

    async def scenario(harness: Harness) -> None:
        assert (await harness.post(X_Timeout_Ms="100")).status == 502

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("action", "start_line"),
    [
        (interface.ProbeWorker(FIRST), "GET /metrics/load HTTP/1.1"),
        (interface.FetchMembership(), "GET /discovery/hosts HTTP/1.1"),
    ],
)
def test_probe_and_list_read_are_sent_to_their_servers(
    monkeypatch: pytest.MonkeyPatch, action: interface.Action, start_line: str
) -> None:
    policy = use_scripted_policy(monkeypatch, action, interface.Reject(1))

    async def script(_message: ReceivedMessage) -> bytes | None:
        return reply(200, b"err_ps=0.5,x0=3")

    async def scenario(harness: Harness) -> None:
        await harness.post()
        receiver = harness.workers[0] if isinstance(action, interface.ProbeWorker) else harness.discovery
        while (await receiver.seen.get()).start_line != start_line:
            pass
        if isinstance(action, interface.ProbeWorker):
            result = await next_event(policy, interface.ProbeResult)
            assert (result.worker, result.outcome, result.load) == (
                FIRST,
                AttemptOutcome.SERVED,
                {"err_ps": 0.5, "x0": 3.0},
            )

    run_scenario(scenario, script)


def test_timer_fires_again_if_the_policy_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.dispatch.policy_runner.FAILED_TIMER_RETRY_S", 0.05)
    policy, failures = (
        use_scripted_policy(monkeypatch, interface.SetTimer(9, 0.01)),
        [ZeroDivisionError("once")],
    )
    handle = policy.handle

    def fail_once(now: float, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.TimerFired) and failures:
            raise failures.pop()
        return handle(now, event)

    policy.handle = fail_once  # type: ignore[method-assign]

    async def scenario(harness: Harness) -> None:
        _, writer = await harness.open()
        writer.write(job_bytes())
        assert (await next_event(policy, interface.TimerFired)).token == 9
        writer.close()

    run_scenario(scenario)


def test_policy_answers_at_the_deadline_even_if_the_loop_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_scripted_policy(monkeypatch, interface.SendAttempt(1, FIRST), AttemptEnded=[interface.Reject(1, 1.0)])

    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post(X_Timeout_Ms="150"))
        await harness.workers[0].seen.get()
        time.sleep(0.3)  # blocks the event loop past the deadline and the grace period after it
        assert (await answer_task).status == 503

    run_scenario(scenario)


def test_send_for_a_finished_request_gets_an_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = use_scripted_policy(monkeypatch, ClientDisconnected=[interface.SendAttempt(1, FIRST)])

    async def scenario(harness: Harness) -> None:
        _, writer = await harness.open()
        writer.write(job_bytes())
        await next_event(policy, interface.JobArrived)
        writer.close()
        ended = await next_event(policy, interface.AttemptEnded)
        assert (ended.outcome, ended.settled) == (AttemptOutcome.NOT_SENT, True)
        assert harness.workers[0].seen.empty()

    run_scenario(scenario)


def test_policy_without_an_answer_is_notified_of_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a 502 ("the job may have run") where the policy knows that a repeat is harmless: a policy
    # that had not answered by the deadline was not called once more.
    use_scripted_policy(monkeypatch, DeadlinePassed=[interface.Reject(1, 1.5)])
    monkeypatch.setattr("beaconhinge.runtime.metrics.Metrics.check", lambda self, condition, name: condition)

    async def scenario(harness: Harness) -> None:
        answer = await harness.post(X_Timeout_Ms="100")
        assert (answer.status, answer.headers["retry-after"]) == (503, "1.500")

    run_scenario(scenario)

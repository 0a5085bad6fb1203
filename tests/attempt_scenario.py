"""Plays one request with the real policy, request table and sender, on two workers without sockets.

Times are seconds of a virtual clock.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from fake_pool import FakePool
from helpers import members, settings
from virtual_time import PausingClock, run_in_virtual_time

from beaconhinge.dispatch.job import Job
from beaconhinge.dispatch.policy_runner import PolicyRunner
from beaconhinge.dispatch.request import Request
from beaconhinge.dispatch.request_table import RequestTable
from beaconhinge.membership.inventory import WorkerEndpoint
from beaconhinge.net.attempts import AttemptSender
from beaconhinge.net.callbacks import CallbackReceiver
from beaconhinge.net.http1 import Closed, Message
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

DEADLINE_S = 20.0
RETRYABLE_CLASS = 0
DEDUPLICATED_CLASS = 1
EXCHANGE_S = 0.01
POLL_S = 0.005


@dataclass
class ScriptedPool(FakePool):
    """Workers whose answers to withdrawals are `failure` until `confirmed_from_s`, and 204 from then on."""

    failure: Message | AttemptOutcome = AttemptOutcome.NO_CONNECTION
    confirmed_from_s: float = 0.0
    confirmed: list[tuple[float, int]] = field(default_factory=list)  # time, number of the worker
    breaks: bool = False  # whether a connection ends before the answer to the job
    answers: list[Message] = field(default_factory=list)  # to the next jobs; 202 once they are used up

    async def exchange(self, host: WorkerEndpoint, method: str, target: bytes) -> Message | AttemptOutcome:
        assert (method, target) == ("DELETE", b"/jobs/a")
        await asyncio.sleep(EXCHANGE_S)
        if self.clock.now() < self.confirmed_from_s:
            return self.failure
        self.confirmed.append((self.clock.now(), host.member.worker))
        return Message(status=204)

    async def connection(self, host: WorkerEndpoint) -> Any:
        connection = await super().connection(host)
        if self.breaks:
            connection.next = _end_of_stream
        elif self.answers:
            connection.next = self._next_answer
        return connection

    async def _next_answer(self) -> Message:
        return self.answers.pop(0)


async def _end_of_stream() -> Message:
    raise Closed


@dataclass
class Scenario:
    """A request, with the parts that serve it, on workers of numbers 100 and 101."""

    clock: PausingClock
    metrics: Metrics
    runner: PolicyRunner
    pool: ScriptedPool
    sender: AttemptSender
    callbacks: CallbackReceiver
    request: Request

    def list_workers(self, entries: list[interface.MemberEntry]) -> None:
        self.pool.list_members(entries)
        self.runner.feed(interface.MembershipUpdate(UpdateKind.SNAPSHOT, 2, entries))

    async def until(self, condition: Callable[[], bool], within_s: float = DEADLINE_S) -> None:
        """Wait in virtual time until the condition holds."""
        end = self.clock.now() + within_s
        while not condition():
            assert self.clock.now() < end, "not in time"
            await asyncio.sleep(POLL_S)

    def call_back(self, worker: int, state: str, **fields: Any) -> None:
        """Deliver a call-back of a worker, given by its number."""
        content = {"id": "a", "from": f"w{worker}", "state": state, **fields}
        self.callbacks.receive(json.dumps(content).encode())

    async def until_written(self, count: int) -> int:
        """Wait until so many attempts have been written; return the number of the worker of that one."""
        await self.until(lambda: len(self.pool.written) >= count)
        return self.pool.written[count - 1][1].worker

    def open_attempt(self) -> Any:
        (sent,) = self.sender.open.values()
        return sent.attempt

    def broken(self) -> Counter[str]:
        names = ("broken_", "invariant_", "task_")
        return Counter({n: c for n, c in self.metrics.counters.items() if n.startswith(names)})


def play(
    scenario: Callable[[Scenario], Coroutine[Any, Any, None]],
    class_index: int = RETRYABLE_CLASS,
    **pool_fields: Any,
) -> Scenario:
    """Play a scenario from the moment on at which the request is taken; return its final state."""
    clock = PausingClock()
    played: list[Scenario] = []

    async def run() -> None:
        metrics = Metrics(clock.now, writer=lambda event, fields: None)
        timers = TimerWheel(clock.now, metrics.log_exception)
        job_settings = settings(
            requestClasses__0__hardLimit=str(DEADLINE_S),
            requestClasses__0__aim="10",
            requestClasses__1__hardLimit=str(DEADLINE_S),
            requestClasses__1__aim="10",
            requestClasses__1__dedupWindow=str(DEADLINE_S),
            policyLimits__mayDuplicate="true",
            familyInfo__tellsStart="true",
        )
        runner = PolicyRunner(Dispatcher(job_settings, 1), timers, metrics)
        pool = ScriptedPool(clock, timers, 0.0, **pool_fields)
        config: Any = SimpleNamespace(settings=job_settings)
        load_reports: Any = SimpleNamespace(parse=lambda _text: None)
        any_pool: Any = pool
        sender = AttemptSender(config, any_pool, load_reports, runner, timers, metrics)
        table = RequestTable(runner, sender, timers, metrics, job_settings, ["render", "publish", "transfer"])
        runner.feed(interface.Start())
        entries = members(2)
        pool.list_members(entries)
        runner.feed(interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, entries))
        unmatched: Any = SimpleNamespace(
            on_unmatched_callback=lambda _body, _worker: None,
            on_late_result=lambda _request, _result: None,
            on_unowned_job=lambda _request, _worker: None,
        )
        callbacks = CallbackReceiver(sender.find, unmatched, load_reports, metrics)
        job = Job("a", class_index, 0, DEADLINE_S, clock.now(), b"/render", b"")
        played.append(Scenario(clock, metrics, runner, pool, sender, callbacks, table.take(job)))
        await scenario(played[0])

    run_in_virtual_time(clock, run())
    return played[0]

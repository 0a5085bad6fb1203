"""Clients that ask on schedule at any dispatcher, and with a key come again until they have a result."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from ...net import http1
from ...net.http1 import BadMessage, Closed, Message
from ..http import Caller
from .scenario import Scenario
from .verdict import ClientAttempt

ANSWER_GRACE_S = 2.0  # seconds beyond a try's own time after which its answer counts as missing
# Times the patience that a client with a key gives each try, of three times in all.
KEYED_TIMEOUT_FACTOR = 1.5
RETRY_DELAY_S = 0.3  # seconds until it comes again


class Clients:
    def __init__(
        self,
        scenario: Scenario,
        ports: list[int],
        extra_seconds: Callable[[], float],
        reached_worker: Callable[[str], bool],
    ) -> None:
        """`late`: seconds for which they go on asking beyond the scenario's own end. `sent`: whether a worker
        has had that request.
        """
        self.scenario = scenario
        self.late = extra_seconds
        self.sent = reached_worker
        self.random = random.Random(scenario.seed)
        self.callers = [Caller(port) for port in ports]
        self.attempts: list[ClientAttempt] = []
        self.answered: dict[str, bool] = {}  # keys: whether one try had the result
        self._open_jobs: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        loop, scenario = asyncio.get_running_loop(), self.scenario
        due = loop.time()
        end = due + scenario.seconds
        greedy = scenario.over_quota_factor * scenario.quota_rps
        while (due := due + self.random.expovariate(scenario.rate + greedy)) < end + self.late():
            beyond_quota = greedy and self.random.random() * (scenario.rate + greedy) < greedy
            tenant = "south" if beyond_quota else "north"
            keyed = tenant == "north" and self.random.random() < scenario.keyed
            number = f"{self.random.getrandbits(64):016x}"
            order = self.random.sample(range(scenario.processes), scenario.processes)
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.create_task(self._run_job(tenant, keyed, number, order))
            self._open_jobs.add(task)
            task.add_done_callback(self._open_jobs.discard)
        if self._open_jobs:
            await asyncio.wait(self._open_jobs)
        for caller in self.callers:
            caller.close()

    async def _run_job(self, tenant: str, keyed: bool, number: str, order: list[int]) -> None:
        if not keyed:
            cls = "transfer" if self._chance(self.scenario.unsafe) else "render"
            await self._attempt(tenant, cls, "", number, order[0], self.scenario.client_timeout_s, False)
            return
        self.answered[number] = False
        until, turn = time.monotonic() + 3 * self.scenario.client_timeout_s, 0
        while not self.answered[number] and (left := until - time.monotonic()) > RETRY_DELAY_S:
            name = f"{number[:-2]}{turn % 256:02x}"
            at = order[turn % len(order)]
            most = min(left, KEYED_TIMEOUT_FACTOR * self.scenario.client_timeout_s)
            status = await self._attempt(tenant, "publish", number, name, at, most, turn > 0)
            self.answered[number] = status == "200"
            turn += 1
            await asyncio.sleep(0.0 if self.answered[number] else RETRY_DELAY_S)

    async def _attempt(
        self, tenant: str, cls: str, key: str, name: str, at: int, seconds: float, again: bool
    ) -> str:
        head = {"Host": "service", "X-Request-ID": name, "X-Tenant-Id": tenant, "Content-Length": "4"}
        head |= {"Idempotency-Key": key} if key else {}
        head |= {"X-Retried": "1"} if again else {}
        try_ = ClientAttempt(
            key, cls, at, time.monotonic(), tenant=tenant, request_id=name, timeout_s=seconds
        )
        self.attempts.append(try_)
        leaves = not key and self._chance(self.scenario.disconnecting)
        waits = (
            self.random.uniform(0.0, seconds / 2)
            if leaves
            else seconds + (ANSWER_GRACE_S / 2 if key else ANSWER_GRACE_S)
        )
        try_.outcome = "missing"
        try:
            async with asyncio.timeout(waits):
                try_.outcome = str((await self._send(try_, head)).status)
        except TimeoutError:
            if leaves:
                try_.outcome, try_.disconnected_at = "left", time.monotonic()
        except (OSError, Closed, BadMessage):
            pass
        try_.ended_at = time.monotonic()
        return try_.outcome

    async def _send(self, try_: ClientAttempt, head: dict[str, str]) -> Message:
        """The answer. A request that crossed the end of a kept connection goes once more, on a new one and
        with the time that is left; one that must not run twice only if no worker has had it.
        """
        caller = self.callers[try_.dispatcher]
        try:
            return await caller.call(self._encode(try_, head))
        except (Closed, ConnectionError):
            if try_.job_class == "transfer" and self.sent(try_.request_id):
                raise
            return await caller.call(self._encode(try_, head), fresh=True)

    def _encode(self, try_: ClientAttempt, head: dict[str, str]) -> bytes:
        left = try_.sent_at + try_.timeout_s - time.monotonic()
        timed = {**head, "X-Timeout-Ms": str(max(1, int(1000 * left)))}
        return http1.request("POST", f"/{try_.job_class}".encode(), timed, b"work")

    def _chance(self, part: float) -> bool:
        """Whether this one is among such a part of all; nothing is drawn for none."""
        return part > 0 and self.random.random() < part

"""Clients that send jobs on schedule to any dispatcher, and retry a job with a key until it has a result."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from ...net import http1
from ...net.http1 import BadMessage, Closed, Message
from ..http import Caller
from .scenario import Scenario
from .verdict import TIME_OUT_PASSED, ClientAttempt

# Seconds after an attempt's time-out when its answer counts as missing.
ANSWER_GRACE_S = 2.0
# Time-out of one attempt with a key, in client time-outs. All attempts of a key together get three.
KEYED_TIMEOUT_FACTOR = 1.5
# Most dispatchers that the front tries, one after the other, while connections are refused or lost.
MAX_SENDS = 3
# Seconds from an attempt with a key to its retry.
RETRY_DELAY_S = 0.3


# Turns of the event loop after a time-out in which an answer that has already arrived is still read.
TURNS_TO_READ = 10


class NoDispatcherError(Exception):
    """The front found no dispatcher that accepted the connection."""


class Clients:
    """All clients of a scenario: jobs arrive by a Poisson process, each at a randomly chosen dispatcher."""

    def __init__(
        self,
        scenario: Scenario,
        ports: list[int],
        extra_s: Callable[[], float],
        reached_worker: Callable[[str], bool],
        takes_new_connections: Callable[[int], bool] = lambda _dispatcher: True,
    ) -> None:
        """Set up the clients without sending anything.

        Args:
            scenario: Gives rates, classes, time-outs and the seed.
            ports: Ports of the dispatchers, by number.
            extra_s: Returns for how many seconds after the scenario's planned end jobs are still sent.
            reached_worker: Returns whether a worker has received the request with this id.
            takes_new_connections: Returns whether the front opens connections to the dispatcher with this
                number.
        """
        self.scenario = scenario
        self.extra_s = extra_s
        self.reached_worker = reached_worker
        self.takes_new_connections = takes_new_connections
        self.random = random.Random(scenario.seed)
        self.callers = [Caller(port) for port in ports]
        self.attempts: list[ClientAttempt] = []
        # By key: whether an attempt returned the result.
        self.answered: dict[str, bool] = {}
        self._open_jobs: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send jobs until the scenario's end, wait for the last answers and close all connections."""
        loop, scenario = asyncio.get_running_loop(), self.scenario
        due = loop.time()
        end = due + scenario.seconds
        over_quota_rate = scenario.over_quota_factor * scenario.quota_rps
        rate = scenario.rate + over_quota_rate
        while (due := due + self.random.expovariate(rate)) < end + self.extra_s():
            beyond_quota = over_quota_rate and self.random.random() * rate < over_quota_rate
            tenant = "south" if beyond_quota else "north"
            keyed = tenant == "north" and self.random.random() < scenario.keyed
            job_id = f"{self.random.getrandbits(64):016x}"
            order = self.random.sample(range(scenario.processes), scenario.processes)
            await asyncio.sleep(max(0.0, due - loop.time()))
            job = (
                self._run_keyed_job(tenant, job_id, order)
                if keyed
                else self._run_job(tenant, job_id, order[0])
            )
            task = asyncio.create_task(job)
            self._open_jobs.add(task)
            task.add_done_callback(self._open_jobs.discard)
        if self._open_jobs:
            await asyncio.wait(self._open_jobs)
        for caller in self.callers:
            caller.close()

    async def _run_job(self, tenant: str, job_id: str, dispatcher: int) -> None:
        """Send a job without a key, once."""
        job_class = "transfer" if self._chance(self.scenario.unsafe) else "render"
        await self._send_attempt(
            ClientAttempt(
                "",
                job_class,
                dispatcher,
                time.monotonic(),
                tenant=tenant,
                request_id=job_id,
                timeout_s=self.scenario.client_timeout_s,
            )
        )

    async def _run_keyed_job(self, tenant: str, key: str, order: list[int]) -> None:
        """Send a job with a key to one dispatcher after another until one has the result or time is up."""
        self.answered[key] = False
        until, number = time.monotonic() + 3 * self.scenario.client_timeout_s, 0
        while not self.answered[key] and (left_s := until - time.monotonic()) > RETRY_DELAY_S:
            attempt = ClientAttempt(
                key,
                "publish",
                order[number % len(order)],
                time.monotonic(),
                tenant=tenant,
                request_id=f"{key[:-2]}{number % 256:02x}",
                timeout_s=min(left_s, KEYED_TIMEOUT_FACTOR * self.scenario.client_timeout_s),
            )
            outcome = await self._send_attempt(attempt, is_retry=number > 0)
            self.answered[key] = outcome == "200"
            number += 1
            if number == self.scenario.keyed_attempts:
                return
            await asyncio.sleep(0.0 if self.answered[key] else RETRY_DELAY_S)

    async def _send_attempt(self, attempt: ClientAttempt, is_retry: bool = False) -> str:
        """Send an attempt, wait for its answer, and record and return its outcome."""
        headers = {
            "Host": "service",
            "X-Request-ID": attempt.request_id,
            "X-Tenant-Id": attempt.tenant,
            "Content-Length": "4",
        }
        headers |= {"Idempotency-Key": attempt.key} if attempt.key else {}
        headers |= {"X-Retried": "1"} if is_retry else {}
        self.attempts.append(attempt)
        disconnects = not attempt.key and self._chance(self.scenario.disconnecting)
        if disconnects:
            wait_s = self.random.uniform(0.0, attempt.timeout_s / 2)
        else:
            wait_s = attempt.timeout_s + (ANSWER_GRACE_S / 2 if attempt.key else ANSWER_GRACE_S)
        attempt.outcome = "missing"
        try:
            answer = await wait_for_answer(self._call(attempt, headers), wait_s)
            attempt.outcome = str(answer.status)
        except TimeoutError:
            if disconnects:
                attempt.outcome, attempt.disconnected_at = "left", time.monotonic()
            else:
                attempt.missing_why = TIME_OUT_PASSED
        except NoDispatcherError:
            attempt.outcome = "nobody"
        except (OSError, Closed, BadMessage) as error:
            attempt.missing_why = f"{type(error).__name__}: {error}"
        attempt.ended_at = time.monotonic()
        return attempt.outcome

    async def _call(self, attempt: ClientAttempt, headers: dict[str, str]) -> Message:
        """Send the request, and return the answer.

        Without a front, a request whose connection was closed before the answer is sent once more, on a new
        connection and with the time that is left. A request that must not run twice is sent again only if no
        worker has received it.
        """
        encode = partial(self._encode, attempt, headers)
        if self.scenario.front:
            return await self._call_through_front(attempt, encode)
        caller = self.callers[attempt.dispatcher]
        try:
            return await caller.call(encode)
        except (Closed, ConnectionError):
            unsafe_repeat = attempt.job_class == "transfer" and self.reached_worker(attempt.request_id)
            if unsafe_repeat or _remaining_s(attempt) <= 0:
                raise
            return await caller.call(encode, fresh=True)

    async def _call_through_front(self, attempt: ClientAttempt, encode: Callable[[], bytes]) -> Message:
        """Return the answer of the chosen dispatcher, or of the next one that accepts the connection.

        The front reuses an open connection until it is closed. A request whose kept connection was closed
        before the answer is sent to a new connection, unless a worker has received it: then the dispatcher
        had read the request, and it is lost.

        Raises:
            NoDispatcherError: No dispatcher accepted the connection in MAX_SENDS tries.
        """
        only_new = False
        for _ in range(MAX_SENDS):
            attempt.dispatcher, is_kept = self._choose_dispatcher(attempt.dispatcher, only_new)
            caller = self.callers[attempt.dispatcher]
            try:
                return await caller.call(encode, fresh=only_new)
            except ConnectionRefusedError:
                only_new = True
            except (Closed, ConnectionError):
                if not is_kept or self.reached_worker(attempt.request_id) or _remaining_s(attempt) <= 0:
                    raise
                only_new = True
        raise NoDispatcherError

    def _choose_dispatcher(self, preferred: int, only_new: bool) -> tuple[int, bool]:
        """Return the dispatcher that a request is sent to, and whether an idle connection to it is reused.

        Args:
            preferred: The dispatcher that is tried first.
            only_new: Whether idle connections are not to be reused.

        Raises:
            NoDispatcherError: The front opens connections to no dispatcher.
        """
        if not only_new and self.callers[preferred].has_idle():
            return preferred, True
        for step in range(len(self.callers)):
            dispatcher = (preferred + step) % len(self.callers)
            if self.takes_new_connections(dispatcher):
                return dispatcher, not only_new and self.callers[dispatcher].has_idle()
        raise NoDispatcherError

    def _encode(self, attempt: ClientAttempt, headers: dict[str, str]) -> bytes:
        headers_with_timeout = {**headers, "X-Timeout-Ms": str(max(1, int(1000 * _remaining_s(attempt))))}
        return http1.request("POST", f"/{attempt.job_class}".encode(), headers_with_timeout, b"work")

    def _chance(self, share: float) -> bool:
        """Return True with the probability `share`. For 0 no random number is drawn."""
        return share > 0 and self.random.random() < share


async def wait_for_answer(call: Coroutine[Any, Any, Message], seconds: float) -> Message:
    """Return the result of a call, or cancel the call after `seconds`.

    All clients share one process. If that process stood still, an answer that arrived in time may still be
    unread when the time-out passes. So the event loop gets TURNS_TO_READ more turns to read what has arrived,
    without further waiting.

    Raises:
        TimeoutError: No answer arrived in time; the call is cancelled.
    """
    task = asyncio.get_running_loop().create_task(call)
    try:
        await asyncio.wait({task}, timeout=seconds)
        for _ in range(TURNS_TO_READ):
            if task.done():
                return task.result()
            await asyncio.sleep(0)
        raise TimeoutError
    finally:
        task.cancel()
        await asyncio.wait({task})


def _remaining_s(attempt: ClientAttempt) -> float:
    """Return the seconds for which the attempt's client still waits. No request is sent again after that."""
    return attempt.sent_at + attempt.timeout_s - time.monotonic()

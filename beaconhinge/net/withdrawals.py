"""Withdraws jobs from workers, and tries again until each worker is known to hold its job no more.

A withdrawal that was decided on is not yet known to the worker: its connection may not come up, it may be
lost, or the worker may fail to answer it. Until the worker has answered, it may still hold the job, and must
not get another attempt of the request.
"""

# The end of the last withdrawal is polled for: it happens once, at the end of the process.
# ruff: noqa: ASYNC110

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..membership.inventory import WorkerEndpoint
from ..policy.interface import AttemptOutcome
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Message

FIRST_RETRY_S = 0.05  # delay after a failed withdrawal; doubled after each further failure
MAX_RETRY_S = 0.5
GRACE_S = 2.0  # how long after the job's deadline a withdrawal is still retried
FINISH_POLL_S = 0.02  # seconds between checks whether withdrawals are left, at the end of the process

# The worker has read the request to withdraw the job: with success it has dropped the job, and another answer
# in the 400s says that it has no such job. The two exceptions ask for a repeat.
ANSWERED = range(200, 500)
ASK_FOR_REPEAT = (408, 429)

Exchange = Callable[[WorkerEndpoint, str, bytes], Awaitable[Message | AttemptOutcome]]


def _ignore_release() -> None:
    pass


@dataclass(frozen=True, slots=True, eq=False)
class Withdrawal:
    """A job to be withdrawn from a worker.

    Attributes:
        request: The request's id.
        host: The worker's list entry at the time of the attempt.
        until: Time until which the withdrawal is retried, in seconds.
        on_released: Called once when the worker is known not to hold the job any more.
    """

    request: str
    host: WorkerEndpoint
    until: float
    on_released: Callable[[], None] = _ignore_release


class Withdrawals:
    """The withdrawals of one process that no worker has confirmed yet.

    Attributes:
        pending: Those withdrawals, in the order in which they began.
    """

    def __init__(
        self,
        exchange: Exchange,
        current_entry: Callable[[int], WorkerEndpoint | None],
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        """Create the component.

        Args:
            exchange: Sends a request to a worker; returns its answer, or why there is none.
            current_entry: Returns the list entry of a worker by its number; None if it is not listed.
            timers: Provides the clock and the delays.
            metrics: Runs the tasks and counts their results.
        """
        self._exchange = exchange
        self._current_entry = current_entry
        self._timers = timers
        self._metrics = metrics
        self.pending: dict[Withdrawal, None] = {}

    def start(self, withdrawal: Withdrawal) -> None:
        """Withdraw a job in a task of its own."""
        self.pending[withdrawal] = None
        self._metrics.spawn(self.run(withdrawal), "withdrawal")

    async def finish(self, within_s: float) -> None:
        """Wait until no withdrawal is pending, for `within_s` seconds at most."""
        until = self._timers.now() + within_s
        while self.pending and self._timers.now() < until:
            await asyncio.sleep(FINISH_POLL_S)

    async def run(self, withdrawal: Withdrawal) -> None:
        """Withdraw a job; returns when its worker does not hold it any more, or when it is given up."""
        self.pending[withdrawal] = None
        try:
            if await self._retry_until_released(withdrawal):
                withdrawal.on_released()
        finally:
            del self.pending[withdrawal]

    async def _retry_until_released(self, withdrawal: Withdrawal) -> bool:
        """Withdraw a job repeatedly; return whether the worker is known not to hold it any more."""
        delay_s = FIRST_RETRY_S
        while not self._has_restarted(withdrawal.host):
            if await self.try_once(withdrawal):
                return True
            if self._timers.now() + delay_s >= withdrawal.until:
                self._metrics.count_and_log(
                    "withdrawal_unconfirmed", request=withdrawal.request, worker=withdrawal.host.id
                )
                return False
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_S)
        self._trace("withdrawal_of_restarted", withdrawal, "")
        return True

    async def try_once(self, withdrawal: Withdrawal) -> bool:
        """Withdraw a job once; return whether the worker has confirmed it."""
        target = f"/jobs/{withdrawal.request}".encode()
        reply = await self._exchange(self._address_of(withdrawal.host), "DELETE", target)
        if isinstance(reply, AttemptOutcome):
            self._metrics.count("withdrawals_retried")
            self._trace("withdrawal_failed", withdrawal, reply)
            return False
        confirmed = reply.status in ANSWERED and reply.status not in ASK_FOR_REPEAT
        if not confirmed:
            self._metrics.count("withdrawals_retried")
        self._trace("withdrawal_answered", withdrawal, reply.status)
        return confirmed

    def _trace(self, event: str, withdrawal: Withdrawal, result: object) -> None:
        self._metrics.trace(
            "attempts", event, request=withdrawal.request, worker=withdrawal.host.id, result=result
        )

    def _has_restarted(self, host: WorkerEndpoint) -> bool:
        """Return whether the worker has started again since the attempt, which ended all its jobs."""
        current = self._current_entry(host.member.worker)
        return current is not None and current.member.started_at != host.member.started_at

    def _address_of(self, host: WorkerEndpoint) -> WorkerEndpoint:
        """Return the worker's current entry, or that of the attempt if it has left the list."""
        return self._current_entry(host.member.worker) or host

"""A sequence of calls to discovery, one at a time: either the watch or the reads beside it."""

from __future__ import annotations

import asyncio

from ..config import Address
from ..membership.call_retries import CallFailure
from ..membership.discovery_call import AnswerDecision, DiscoveryCall
from ..membership.inventory import WorkerListError
from ..membership.partial_list import LeavingEntries
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery_connection import DiscoveryConnection
from .http1 import BadMessage, Closed
from .late_answers import LateAnswers
from .list_updates import AnswerDecider, ListUpdates


class DiscoveryChannel:
    """Makes calls over its own connection, and has their answers applied."""

    def __init__(
        self,
        decider: AnswerDecider,
        updates: ListUpdates,
        timers: TimerWheel,
        metrics: Metrics,
        late_answers: LateAnswers,
    ) -> None:
        """Create a channel whose connection is opened by the first call.

        Args:
            decider: Decides what to do with each answer.
            updates: Applies the answers.
            timers: The clock.
            metrics: Where calls are counted.
            late_answers: Reads the answers to abandoned calls.
        """
        self._decider = decider
        self._updates = updates
        self._timers = timers
        self._connection = DiscoveryConnection(timers, metrics, self._apply_leaving, late_answers)
        self._departures_applied = False  # whether workers were taken out of service since the last call

    async def call(self, address: Address, call: DiscoveryCall) -> AnswerDecision | CallFailure:
        """Make a call, and have its answer applied or its failure reported.

        Returns:
            The decision on the answer, or how the call failed.
        """
        self._departures_applied = False
        started_s = self._timers.now()
        self._updates.log.trace_call(call)
        try:
            answer = self._updates.parse(await self._connection.fetch(address, call))
        except (OSError, Closed, BadMessage, WorkerListError) as error:
            return self._updates.handle_failure(self._connection, call, error, started_s)
        return self._updates.handle_answer(
            self._decider, self._connection, call, answer, started_s, self._departures_applied
        )

    async def wait_and_read(self, pause_s: float, wake: asyncio.Event | None = None) -> None:
        """Wait for `pause_s` seconds or until `wake` is set, and read the bytes that arrive meanwhile."""
        await self._connection.wait_and_read(pause_s, wake)

    def give_up(self, why: str, version: int | None) -> None:
        """Stop waiting for the answer to the call in flight; it is still read when it arrives.

        Args:
            why: The reason for the log.
            version: The version of the applied list, for the log.
        """
        if self._connection.awaiting_answer:
            self._updates.log.report_cancelled_call(why, version, self._connection.progress)
        self._connection.give_up()

    def close(self) -> None:
        """Read what has arrived, and close the connection."""
        self._connection.close()

    def _apply_leaving(self, leaving: LeavingEntries) -> None:
        if self._updates.apply_leaving(leaving, self._connection):
            self._departures_applied = True

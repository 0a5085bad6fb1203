"""One HTTP exchange with discovery at a time, over a connection that is kept between calls."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Literal

from ..config import Address
from ..membership.call_retries import BODY_IDLE_TIMEOUT_S, CONTENT_END_TIMEOUT_S
from ..membership.discovery_call import DiscoveryCall
from ..membership.partial_list import LeavingEntries
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from . import http1
from .discovery_answer import STATUS_OK, AnswerProgress, AnswerReader
from .http1 import BadMessage, Closed, Connection, Message
from .late_answers import LateAnswers
from .sockets import connect

# 1,024 workers take some 400 KiB, indented.
MAX_LIST_BYTES = 2 * 1024 * 1024


class DiscoveryConnection:
    """A connection to discovery, opened by the first call and again after each close.

    What arrives is read while it arrives, also while no call is out and right before a close: a change counts
    as notified once it is written, whatever becomes of the answer that holds it.
    """

    def __init__(
        self,
        timers: TimerWheel,
        metrics: Metrics,
        on_leaving: Callable[[LeavingEntries], None],
        late_answers: LateAnswers,
    ) -> None:
        """Create one that is not open yet.

        Args:
            timers: The clock.
            metrics: Where calls are counted.
            on_leaving: Called with entries that take workers out of service, in the turn that read them.
            late_answers: Reads answers to calls that were given up.
        """
        self._timers = timers
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._late_answers = late_answers
        self._connection: Connection | None = None
        self._reader = AnswerReader(timers, on_leaving)
        self._answer_due = False  # a call has been made and is not answered

    @property
    def progress(self) -> AnswerProgress:
        """How far the answer to the latest call has come."""
        return self._reader.progress

    @property
    def answer_begun(self) -> bool:
        """Whether an answer has begun and is incomplete."""
        return self._connection is not None and self._connection.partial

    @property
    def answer_due(self) -> bool:
        """Whether a call has been made and is not answered."""
        return self._answer_due

    @property
    def answer_whole(self) -> bool:
        """Whether an answer has come to its end and is about to be taken."""
        return self._connection is not None and self._connection.settled

    def close(self) -> None:
        """Read what has arrived, and close the connection if there is one; the next call opens another."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.read_arrived()
            connection.close()

    def give_up(self) -> None:
        """Wait no longer for an answer that is due. It is read when it comes; the next call connects anew."""
        if self._connection is None or not self._answer_due:
            self.close()
            return
        self._late_answers.read(self._connection)
        self._connection, self._answer_due = None, False
        self._reader = AnswerReader(self._timers, self._on_leaving)  # the other goes with its connection

    async def rest(self, pause_s: float, wake: asyncio.Event | None = None) -> None:
        """Wait until the next call is due, and read what comes meanwhile.

        Args:
            pause_s: Seconds until the next call is due; may be infinite if there is an event.
            wake: Ends the wait when it is set.
        """
        end_s = self._timers.now() + pause_s
        woken = None if wake is None else asyncio.ensure_future(wake.wait())
        try:
            while (left_s := end_s - self._timers.now()) > 0 and not (wake and wake.is_set()):
                await self._rest_once(None if math.isinf(left_s) else left_s, woken)
        finally:
            if woken is not None:
                woken.cancel()

    async def _rest_once(self, timeout_s: float | None, woken: asyncio.Task[Literal[True]] | None) -> None:
        """Wait for the timeout, bytes or the event, and close a connection that has ended."""
        reading = None if self._connection is None else self._connection.reading()
        waits = {wait for wait in (reading, woken) if wait is not None}
        if not waits:
            await asyncio.sleep(timeout_s or 0.0)
            return
        done, _ = await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        if reading in done and not reading.result():
            self.close()

    async def fetch(self, address: Address, call: DiscoveryCall) -> bytes:
        """Make one call and return the body of its answer.

        Raises:
            TimeoutError: The answer did not begin, continue or end in time.
            OSError: The connection could not be made, or broke.
            Closed: Discovery closed the connection.
            BadMessage: The answer is not HTTP, is too large, or has another status than 200.
        """
        self._metrics.count("discovery_calls")
        self._reader.start_call()
        self._answer_due = False
        query = "" if call.index is None else f"?index={call.index}&wait={call.wait_s * 1000:.0f}"
        if self._connection is not None and not self._is_at_rest(self._connection):
            # A second answer to the call before: every later one would be taken for that of another call.
            self.close()
            self._metrics.count("discovery_unsolicited_answer")
        async with self._timers.timeout(call.first_byte_timeout_s):
            if self._connection is None:
                sock = await connect(address)
                self._connection = Connection(
                    sock, False, lambda: None, MAX_LIST_BYTES, body_sink=self._reader
                )
            connection = self._connection
            self._answer_due = True
            await connection.send(
                http1.request("GET", f"/discovery/hosts{query}".encode(), {"Host": "discovery"})
            )
            await connection.begun()
        message = await self._receive(connection, call.body_timeout_s)
        self._answer_due = False
        if not message.keep_alive:
            self.close()
        if message.status != STATUS_OK:
            raise BadMessage(message.status, f"status {message.status}")
        return message.body

    @staticmethod
    def _is_at_rest(connection: Connection) -> bool:
        """Whether nothing has come since the last answer."""
        return not connection.partial and connection.silent()

    async def _receive(self, connection: Connection, timeout_s: float) -> Message:
        """The rest of an answer that has begun: within the timeout, and as long as bytes come.

        An answer whose list is complete is taken though its end does not come.
        """
        deadline_s = self._timers.now() + timeout_s
        try:
            while not connection.settled:
                complete = self._reader.content_complete
                idle_s = CONTENT_END_TIMEOUT_S if complete else BODY_IDLE_TIMEOUT_S
                async with self._timers.timeout_at(min(self._timers.now() + idle_s, deadline_s)):
                    if not await connection.reading():
                        break
            return await connection.next()
        except (TimeoutError, Closed):
            if not self._reader.content_complete:
                raise
        self._metrics.count("discovery_answers_unended")
        return Message(status=STATUS_OK, body=connection.unfinished_body(), keep_alive=False)

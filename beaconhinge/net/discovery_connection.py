"""Makes one HTTP exchange with discovery at a time, over a connection that is kept between calls."""

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

# A list of 1,024 workers takes about 400 KiB as indented JSON.
MAX_LIST_BYTES = 2 * 1024 * 1024


class DiscoveryConnection:
    """A connection to discovery, opened by the first call and again after each close.

    Bytes are read as they arrive, also while no call is in flight and right before a close: a change counts
    as notified once discovery has written it, even if the answer that holds it fails or is abandoned.
    """

    def __init__(
        self,
        timers: TimerWheel,
        metrics: Metrics,
        on_leaving: Callable[[LeavingEntries], None],
        late_answers: LateAnswers,
    ) -> None:
        """Create a connection that is not open yet.

        Args:
            timers: The clock.
            metrics: Where calls are counted.
            on_leaving: Called with entries that take workers out of service, in the turn that reads them.
            late_answers: Reads the answers to abandoned calls.
        """
        self._timers = timers
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._late_answers = late_answers
        self._connection: Connection | None = None
        self._reader = AnswerReader(timers, on_leaving)
        self._awaiting_answer = False

    @property
    def progress(self) -> AnswerProgress:
        """How much of the answer to the latest call has arrived."""
        return self._reader.progress

    @property
    def answer_begun(self) -> bool:
        """Whether an answer has begun to arrive and is incomplete."""
        return self._connection is not None and self._connection.partial

    @property
    def awaiting_answer(self) -> bool:
        """Whether a call has been made and its answer is incomplete."""
        return self._awaiting_answer

    @property
    def answer_complete(self) -> bool:
        """Whether an answer has arrived completely and has not been returned yet."""
        return self._connection is not None and self._connection.settled

    def close(self) -> None:
        """Read what has arrived, and close the connection if there is one; the next call opens another."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.read_arrived()
            connection.close()

    def give_up(self) -> None:
        """Stop waiting for the answer to the call in flight.

        The answer is still read when it arrives; the next call opens a new connection.
        """
        if self._connection is None or not self._awaiting_answer:
            self.close()
            return
        self._late_answers.read(self._connection)
        self._connection, self._awaiting_answer = None, False
        self._reader = AnswerReader(self._timers, self._on_leaving)  # the old connection keeps the old reader

    async def wait_and_read(self, pause_s: float, wake: asyncio.Event | None = None) -> None:
        """Wait until the next call is due, and read the bytes that arrive meanwhile.

        Args:
            pause_s: Seconds until the next call is due; may be infinite if `wake` is given.
            wake: Ends the wait when it is set.
        """
        end_s = self._timers.now() + pause_s
        woken = None if wake is None else asyncio.ensure_future(wake.wait())
        try:
            while (left_s := end_s - self._timers.now()) > 0 and not (wake and wake.is_set()):
                await self._wait_and_read_once(None if math.isinf(left_s) else left_s, woken)
        finally:
            if woken is not None:
                woken.cancel()

    async def _wait_and_read_once(
        self, timeout_s: float | None, woken: asyncio.Task[Literal[True]] | None
    ) -> None:
        """Wait for the timeout, bytes or the event; close the connection if discovery has closed it.

        Args:
            timeout_s: The longest wait in seconds; None for no limit.
            woken: A task that ends when the event is set.
        """
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
            OSError: The connection could not be opened, or it broke.
            Closed: Discovery closed the connection.
            BadMessage: The answer is not HTTP, is too large, or has another status than 200.
        """
        self._metrics.count("discovery_calls")
        self._reader.start_call()
        self._awaiting_answer = False
        query = "" if call.index is None else f"?index={call.index}&wait={call.wait_s * 1000:.0f}"
        if self._connection is not None and not self._is_idle(self._connection):
            # A second answer to the last call has arrived. On this connection each later answer would be
            # taken for that of the next call.
            self.close()
            self._metrics.count("discovery_unsolicited_answer")
        async with self._timers.timeout(call.first_byte_timeout_s):
            if self._connection is None:
                sock = await connect(address)
                self._connection = Connection(
                    sock, False, lambda: None, MAX_LIST_BYTES, body_sink=self._reader
                )
            connection = self._connection
            self._awaiting_answer = True
            await connection.send(
                http1.request("GET", f"/discovery/hosts{query}".encode(), {"Host": "discovery"})
            )
            await connection.begun()
        message = await self._receive(connection, call.body_timeout_s)
        self._awaiting_answer = False
        if not message.keep_alive:
            self.close()
        if message.status != STATUS_OK:
            raise BadMessage(message.status, f"status {message.status}")
        return message.body

    @staticmethod
    def _is_idle(connection: Connection) -> bool:
        """Whether no bytes have arrived since the last answer."""
        return not connection.partial and connection.silent()

    async def _receive(self, connection: Connection, timeout_s: float) -> Message:
        """Receive the rest of an answer that has begun, and return the answer.

        An answer whose list is complete is accepted even if the end of its message does not arrive.

        Raises:
            TimeoutError: The answer took longer than the timeout, or no bytes arrived for too long.
            Closed: Discovery closed the connection before the list was complete.
            BadMessage: The answer is not HTTP, or is too large.
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

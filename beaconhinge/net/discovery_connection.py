"""One HTTP exchange with discovery at a time, over a connection that is kept between calls."""

from __future__ import annotations

from ..config import Address
from ..membership.discovery_watch import BODY_IDLE_TIMEOUT_S, DiscoveryCall
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from . import http1
from .discovery_answer import AnswerProgress, AnswerRecorder
from .http1 import BadMessage, Connection, Message
from .sockets import connect

# 1,024 workers take some 400 KiB, indented.
MAX_LIST_BYTES = 2 * 1024 * 1024
STATUS_OK = 200


class DiscoveryConnection:
    """A connection to discovery, opened by the first call and again after each close."""

    def __init__(self, timers: TimerWheel, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._connection: Connection | None = None
        self._recorder = AnswerRecorder(timers)

    @property
    def progress(self) -> AnswerProgress:
        """How far the answer to the latest call has come."""
        return self._recorder.progress

    @property
    def answer_begun(self) -> bool:
        """Whether an answer has begun and is incomplete."""
        return self._connection is not None and self._connection.partial

    def unfinished_body(self) -> bytes:
        """Return what has come of the body of an incomplete answer."""
        return b"" if self._connection is None else self._connection.unfinished_body()

    def close(self) -> None:
        """Close the connection if there is one; the next call opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def fetch(self, address: Address, call: DiscoveryCall) -> bytes:
        """Make one call and return the body of its answer.

        Raises:
            TimeoutError: The answer did not begin, continue or end in time.
            OSError: The connection could not be made, or broke.
            Closed: Discovery closed the connection.
            BadMessage: The answer is not HTTP, is too large, or has another status than 200.
        """
        self._metrics.count("discovery_calls")
        self._recorder.start_call()
        query = "" if call.index is None else f"?index={call.index}&wait={call.wait_s * 1000:.0f}"
        if self._connection is not None and not self._connection.silent():
            # A second answer to the call before: every later one would be taken for that of another call.
            self.close()
            self._metrics.count("discovery_unsolicited_answer")
        async with self._timers.timeout(call.first_byte_timeout_s):
            if self._connection is None:
                sock = await connect(address)
                self._connection = Connection(
                    sock, False, lambda: None, MAX_LIST_BYTES, on_body_part=self._recorder.receive_body
                )
            connection = self._connection
            await connection.send(
                http1.request("GET", f"/discovery/hosts{query}".encode(), {"Host": "discovery"})
            )
            await connection.begun()
        message = await self._receive(connection, call.body_timeout_s)
        if not message.keep_alive:
            self.close()
        if message.status != STATUS_OK:
            raise BadMessage(message.status, f"status {message.status}")
        return message.body

    async def _receive(self, connection: Connection, timeout_s: float) -> Message:
        """The rest of an answer that has begun: within the timeout, and as long as bytes come."""
        deadline_s = self._timers.now() + timeout_s
        while True:
            received_before, left_s = connection.received, deadline_s - self._timers.now()
            try:
                async with self._timers.timeout(min(BODY_IDLE_TIMEOUT_S, left_s)):
                    return await connection.next()
            except TimeoutError:
                if connection.received == received_before or self._timers.now() >= deadline_s:
                    raise

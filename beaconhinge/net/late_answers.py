"""Answers of discovery to calls that were given up, or cancelled: read still as they come, for a while."""

from __future__ import annotations

import asyncio

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Connection

# How long an answer may still come. By then a change counts as notified whether or not it arrived.
LATE_ANSWER_MAX_S = 6.0
# How many connections are read on for it, of the watch and of the reads beside it; the oldest is closed for
# another one.
MAX_LATE_ANSWERS = 4


class LateAnswers:
    """Reads on connections whose call nobody waits for any more.

    A change counts as notified once discovery has written it, and discovery answers a call that was given up
    all the same. Closing the connection threw the answer away: jobs went to leaving workers until the next
    call was answered.
    """

    def __init__(self, timers: TimerWheel, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._tasks: dict[Connection, asyncio.Task[None]] = {}

    def read(self, connection: Connection) -> None:
        """Read a connection until its answer has ended, or LATE_ANSWER_MAX_S have passed, and close it.

        What is read goes to the connection's `BodySink`, in the turn that reads it.
        """
        connection.read_arrived()
        while len(self._tasks) >= MAX_LATE_ANSWERS:
            self._close(next(iter(self._tasks)))
        self._tasks[connection] = self._metrics.spawn(self._read(connection), "late_answer")

    def close(self) -> None:
        """Read what has arrived, and read no more: another discovery is called from now on."""
        for connection in list(self._tasks):
            self._close(connection)

    def _close(self, connection: Connection) -> None:
        self._tasks.pop(connection).cancel()
        connection.read_arrived()
        connection.close()

    async def _read(self, connection: Connection) -> None:
        until_s = self._timers.now() + LATE_ANSWER_MAX_S
        try:
            while not connection.settled and (left_s := until_s - self._timers.now()) > 0:
                reading = connection.reading()
                # Not awaited itself: the call that was given up may just be cancelling it.
                done, _ = await asyncio.wait((reading,), timeout=left_s)
                if done and not reading.cancelled() and not reading.result():
                    break
            if connection.settled:
                self._metrics.count("discovery_answers_late")
        finally:
            self._tasks.pop(connection, None)
            connection.close()

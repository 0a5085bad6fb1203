"""Reads discovery's late answers: those to calls that timed out or were cancelled, for a limited time."""

from __future__ import annotations

import asyncio

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Connection

# How long a late answer is awaited. After that, a change counts as notified whether or not it arrived.
LATE_ANSWER_MAX_S = 6.0
# Maximum number of connections that are read for late answers, of the watch and of reads together. The oldest
# is closed to make room for a new one.
MAX_LATE_ANSWERS = 4


class LateAnswers:
    """Keeps reading connections whose call has been abandoned.

    A change counts as notified once discovery has written it, and discovery answers an abandoned call all
    the same. Closing the connection at once discarded that answer: jobs were sent to leaving workers until
    the next call was answered.
    """

    def __init__(self, timers: TimerWheel, metrics: Metrics) -> None:
        self._timers = timers
        self._metrics = metrics
        self._tasks: dict[Connection, asyncio.Task[None]] = {}

    def read(self, connection: Connection) -> None:
        """Read a connection until its answer is complete or LATE_ANSWER_MAX_S have passed, then close it.

        The bytes go to the connection's `BodySink`, in the turn of the event loop that reads them.
        """
        connection.read_arrived()
        while len(self._tasks) >= MAX_LATE_ANSWERS:
            self._close(next(iter(self._tasks)))
        self._tasks[connection] = self._metrics.spawn(self._read(connection), "late_answer")

    def close(self) -> None:
        """Read what has arrived, then close all connections: another discovery server is used from now on."""
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
                # The task is not awaited directly: the abandoned call may be cancelling it at this moment.
                done, _ = await asyncio.wait((reading,), timeout=left_s)
                if done and not reading.cancelled() and not reading.result():
                    break
            if connection.settled:
                self._metrics.count("discovery_answers_late")
        finally:
            self._tasks.pop(connection, None)
            connection.close()

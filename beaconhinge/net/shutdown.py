"""Stops accepting clients: an operator's drain, a hand-over to a new process, the shutdown after a signal.

A drain or a shutdown serves as usual while clients still connect, then closes idle connections, then rejects
new jobs. A drain and a hand-over can be undone.
"""

# The conditions awaited here change in many places, and some show only on the sockets, so they are polled.
# ruff: noqa: ASYNC110

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..policy.interface import RequestClass
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .client_table import ClientTable

CLOSE_IDLE_AFTER_S = 0.45  # after SIGTERM or `drain`; clients keep connecting for 0.4 s
REJECT_AFTER_S = 0.15  # after idle connections were closed; requests in transit have arrived by then
KILL_AFTER_S = 0.7  # after SIGTERM and the longest deadline, the process may be killed
MAX_DEADLINE_S = 3.0  # upper bound of the deadline that a shutdown waits for
ANSWER_BEFORE_KILL_S = 0.2  # a job accepted after SIGTERM is answered this long before the kill time
CLOSE_BEFORE_KILL_S = 1.2  # this long before the kill time, idle connections close even if no peer serves
DRAINED_REJECT_AFTER_S = 1.9  # after `drain`; a client with a job in the last 2 s is sent away 4 s after it
DRAINED_CLOSE_AFTER_S = 1.2  # after `drain`, idle connections close even if no other dispatcher serves
POLL_S = 0.02  # seconds between checks of a condition that is awaited


@dataclass(slots=True)
class ServingState:
    """How far this process has stopped accepting clients. Only `Shutdown` sets the fields."""

    draining: bool = False
    """The health check reports that the process does not serve."""
    closing_connections: bool = False
    """Each connection is closed after its next answer."""
    rejecting: bool = False
    """New jobs are rejected."""
    ending: bool = False
    """The process is shutting down, which cannot be undone."""
    handed_over: bool = False
    """Another process of this dispatcher accepts clients."""
    answer_by: float = math.inf
    """The time (seconds of the timers' clock) by which every accepted job is answered."""


def kill_time(now: float, classes: tuple[RequestClass, ...]) -> float:
    """Return the time, in seconds, at which a process that receives SIGTERM at `now` may be killed."""
    longest_s = max(request_class.deadline_s for request_class in classes)
    return now + min(longest_s or MAX_DEADLINE_S, MAX_DEADLINE_S) + KILL_AFTER_S


class AcceptingSocket(Protocol):
    """The operations on the listening socket that `Shutdown` needs."""

    def steer_to_successor(self) -> None:
        """Direct new connections to the process that listened second."""

    def stop_listening(self) -> None:
        """Accept the connections that are queued, then close the socket."""

    def listen_again(self) -> None:
        """Listen, unless the socket is listening already."""


class Shutdown:
    """Drains, hands over and ends this process; publishes its progress in `state`."""

    def __init__(
        self,
        state: ServingState,
        classes: tuple[RequestClass, ...],
        socket: AcceptingSocket,
        clients: ClientTable,
        unanswered: Callable[[], int],
        others_serve: Callable[[], bool],
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        """Take the parts it acts on.

        `unanswered` returns the number of clients still owed an answer; `others_serve` returns whether
        another dispatcher is there for clients to turn to.
        """
        self.state = state
        self.classes = classes
        self.socket = socket
        self.clients = clients
        self.unanswered = unanswered
        self.others_serve = others_serve
        self.timers = timers
        self.metrics = metrics
        self._task: asyncio.Task[None] | None = None  # the background task of a drain or a hand-over

    def drain(self) -> None:
        """Send clients away but keep running: jobs in progress are answered, and call-backs are accepted."""
        if not self.state.draining:
            self.state.draining = True
            self._task = self.metrics.spawn(self._stay_drained(self.timers.now()), "drain")

    def resume(self) -> None:
        """Serve again after a drain."""
        self._stop_task()
        self.state.draining = self.state.closing_connections = self.state.rejecting = False

    async def hand_over(self) -> None:
        """Leave new connections to another process of this dispatcher, which listens on the same address.

        Connections queued on this process's socket are accepted before it closes, or they would be reset.
        """
        self._stop_task()
        self.state.handed_over = self.state.closing_connections = True
        self.state.draining = self.state.rejecting = False
        self.socket.steer_to_successor()
        await asyncio.sleep(POLL_S)
        if self.state.handed_over:  # the other process may have died meanwhile
            self.socket.stop_listening()
            self._task = self.metrics.spawn(self._end_idle_clients(), "end idle clients")

    def take_back(self) -> None:
        """Accept clients again after a hand-over, because the other process has died."""
        self._stop_task()
        self.state.handed_over = self.state.closing_connections = False
        self.socket.listen_again()

    async def finish(self) -> None:
        """Serve requests that still arrive, close connections, and return once every request is answered."""
        state = self.state
        kill_at = kill_time(self.timers.now(), self.classes)
        state.ending = True
        self._stop_task()  # a drain that has not closed connections yet starts again; there is time for it
        state.draining, state.answer_by = True, kill_at - ANSWER_BEFORE_KILL_S
        if not state.closing_connections:
            await self._close_idle_connections(kill_at - CLOSE_BEFORE_KILL_S)
        await asyncio.sleep(REJECT_AFTER_S)
        self.clients.end_idle()
        state.rejecting = True
        # Each call-back arrives on its own connection, so the listener stays open while one is awaited;
        # otherwise every job in progress would fail. No client relies on it any more; a client that connects
        # is refused at once.
        while self.unanswered():
            await asyncio.sleep(POLL_S)
        self.socket.stop_listening()
        while self.unanswered() or self.clients.has_recent_connections():
            await asyncio.sleep(POLL_S)
        self.clients.end_all()
        while self.clients.closing:  # closing at once would reset connections whose answers are in transit
            await asyncio.sleep(POLL_S)

    async def _stay_drained(self, since: float) -> None:
        await self._close_idle_connections(since + DRAINED_CLOSE_AFTER_S)
        while True:
            await asyncio.sleep(POLL_S)
            self.state.rejecting = self.timers.now() >= since + DRAINED_REJECT_AFTER_S
            self.clients.end_idle()

    async def _end_idle_clients(self) -> None:
        """Close idle connections that have carried a message; their clients reconnect to the new process.

        A connection without a message may be new, with a request about to arrive.
        """
        while True:
            self.clients.end_idle(with_message_only=True)
            await asyncio.sleep(POLL_S)

    async def _close_idle_connections(self, close_by: float) -> None:
        """Serve as usual while clients are still directed here, then close connections that are idle.

        That happens once another dispatcher serves, and by the time `close_by` in any case.
        """
        await asyncio.sleep(CLOSE_IDLE_AFTER_S)
        # In a rolling restart the dispatcher restarted before this one may not serve yet, and clients sent
        # away then found none. Their connections are served until another dispatcher serves.
        while not self.others_serve() and self.timers.now() < close_by:
            await asyncio.sleep(POLL_S)
        self.state.closing_connections = True
        self.clients.end_idle()

    def _stop_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

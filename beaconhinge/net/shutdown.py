"""The ways out: drained by an operator, handed over to a new process, ended by a signal; and the ways back.

All serve as usual while clients still come, then close connections that are idle, then reject what is new.
"""

# What ends a wait here changes in many places, some of it seen only by looking at the sockets: it is polled.
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

CLOSE_IDLE_AFTER_S = 0.45  # after SIGTERM or `drain`: clients keep coming for 0.4 s
REJECT_AFTER_S = 0.15  # after idle connections were closed: what was on its way has come
KILL_AFTER_S = 0.7  # after SIGTERM, beside the longest deadline: then the process may be killed
MAX_DEADLINE_S = 3.0  # no longer deadline is waited for
ANSWER_BEFORE_KILL_S = 0.2  # by then whatever was taken after SIGTERM has its answer
CLOSE_BEFORE_KILL_S = 1.2  # idle connections are closed then, though no other dispatcher was heard
DRAINED_REJECT_AFTER_S = 1.9  # after `drain`: who has a job from the last 2 s is told to go 4 s after it
DRAINED_CLOSE_AFTER_S = 1.2  # after `drain`, idle connections are closed though no other was heard
POLL_S = 0.02  # between two looks whether anybody is left


@dataclass(slots=True)
class ServingState:
    """How far this process is on a way out. All are set by `Shutdown` alone."""

    draining: bool = False
    """The health check says no."""
    closing_connections: bool = False
    """Each connection ends with its next answer."""
    rejecting: bool = False
    """New jobs are rejected."""
    ending: bool = False
    """The process ends; there is no way back."""
    handed_over: bool = False
    """Another process of this dispatcher accepts clients."""
    answer_by: float = math.inf
    """The time by which whatever is taken has its answer."""


def kill_time(now: float, classes: tuple[RequestClass, ...]) -> float:
    """The time at which a process that is told to end `now` may be killed."""
    longest_s = max(request_class.deadline_s for request_class in classes)
    return now + min(longest_s or MAX_DEADLINE_S, MAX_DEADLINE_S) + KILL_AFTER_S


class AcceptingSocket(Protocol):
    """The listening socket, as far as the ways out need it."""

    def steer_to_successor(self) -> None:
        """Lead new connections to the process that listened second."""

    def stop_listening(self) -> None:
        """Accept those who wait and close the socket."""

    def listen_again(self) -> None:
        """Listen, unless that is so already."""


class Shutdown:
    """Drains, hands over and ends; `state` shows all others how far that is."""

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
        """`others_serve` tells whether another dispatcher is there for clients to turn to."""
        self.state = state
        self.classes = classes
        self.socket = socket
        self.clients = clients
        self.unanswered = unanswered
        self.others_serve = others_serve
        self.timers = timers
        self.metrics = metrics
        self._task: asyncio.Task[None] | None = None  # the way out that goes on by itself

    def drain(self) -> None:
        """Send clients away, and stay: what is in work is answered, and call-backs still come in."""
        if not self.state.draining:
            self.state.draining = True
            self._task = self.metrics.spawn(self._stay_drained(self.timers.now()), "drain")

    def resume(self) -> None:
        """Serve again after a drain."""
        self._stop_task()
        self.state.draining = self.state.closing_connections = self.state.rejecting = False

    async def hand_over(self) -> None:
        """Leave new connections to another process of this dispatcher, which listens here too.

        What waits in this one's queue is taken before that is closed, or it would be reset.
        """
        self._stop_task()
        self.state.handed_over = self.state.closing_connections = True
        self.state.draining = self.state.rejecting = False
        self.socket.steer_to_successor()
        await asyncio.sleep(POLL_S)
        if self.state.handed_over:  # the other process may have died meanwhile
            self.socket.stop_listening()
            self._task = self.metrics.spawn(self._end_idle_clients(), "send off")

    def take_back(self) -> None:
        """Accept again: the other process has died."""
        self._stop_task()
        self.state.handed_over = self.state.closing_connections = False
        self.socket.listen_again()

    async def finish(self) -> None:
        """Serve what still comes, close connections, and return once all is answered."""
        state = self.state
        kill_at = kill_time(self.timers.now(), self.classes)
        state.ending = True
        self._stop_task()  # one that has closed no connection yet starts again: there is time for it
        state.draining, state.answer_by = True, kill_at - ANSWER_BEFORE_KILL_S
        if not state.closing_connections:
            await self._close_idle_connections(kill_at - CLOSE_BEFORE_KILL_S)
        await asyncio.sleep(REJECT_AFTER_S)
        self.clients.end_idle()
        state.rejecting = True
        # Each call-back comes on a connection of its own: the listener stays as long as one is waited for, or
        # all that is in work would fail. No client counts on it any more; one that comes is refused at once.
        while self.unanswered():
            await asyncio.sleep(POLL_S)
        self.socket.stop_listening()
        while self.unanswered() or self.clients.has_recent_connections():
            await asyncio.sleep(POLL_S)
        self.clients.end_all()
        while self.clients.closing:  # closed here at once, what is on its way would reset the answers
            await asyncio.sleep(POLL_S)

    async def _stay_drained(self, since: float) -> None:
        await self._close_idle_connections(since + DRAINED_CLOSE_AFTER_S)
        while True:
            await asyncio.sleep(POLL_S)
            self.state.rejecting = self.timers.now() >= since + DRAINED_REJECT_AFTER_S
            self.clients.end_idle()

    async def _end_idle_clients(self) -> None:
        """Who has just come may be about to write; all others come again by the new process."""
        while True:
            self.clients.end_idle(with_message_only=True)
            await asyncio.sleep(POLL_S)

    async def _close_idle_connections(self, close_by: float) -> None:
        """Serve as usual while clients are still sent here, then close connections that are idle."""
        await asyncio.sleep(CLOSE_IDLE_AFTER_S)
        # In a rolling restart the dispatcher before this one may not be back yet: clients sent away then
        # found nobody. The connections that they have are served until somebody else is there.
        while not self.others_serve() and self.timers.now() < close_by:
            await asyncio.sleep(POLL_S)
        self.state.closing_connections = True
        self.clients.end_idle()

    def _stop_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

"""The one listening socket, for clients, the health check and workers' call-backs. Accepts within limits."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..config import Config
from ..dispatch.request_table import RequestTable
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .client_connection import ClientServer
from .client_table import REQUEST_IN_TRANSIT_S, Client, ClientTable
from .http1 import Connection
from .job_parsing import JobParser
from .request_ids import RequestIds
from .request_router import RequestRouter
from .shutdown import ServingState, Shutdown
from .sockets import DescriptorBudget, close, readable, steer_to_second, tcp_listener

if TYPE_CHECKING:
    from .streams import Streams

RESERVED_FOR_WORKERS = 0.25  # share of the sockets that is reserved for connections to workers
RESERVED_FOR_CALLBACKS = 0.125  # share of the client connections that open jobs must leave free
MAX_ACCEPTS_PER_TURN = 64  # connections accepted before other tasks of the event loop run
ACCEPT_RETRY_S = 0.01  # delay after a failed accept
MAX_ACCEPT_FAILURES = 64  # tolerated while the backlog is emptied at closing, when there is no time to wait


class Listener:
    """Accepts connections and has them served; `shutdown` drains, hands over and ends the process.

    Attributes:
        ready: Returns whether there is a list of workers to serve from.
        clients: All accepted connections.
        ids: The ids of open requests, of both processes in an upgrade.
        state: How far this process has got in draining, handing over or ending.
    """

    def __init__(
        self,
        config: Config,
        requests: RequestTable,
        on_callback: Callable[[bytes], None],
        ready: Callable[[], bool],
        others_serve: Callable[[], bool],
        timers: TimerWheel,
        budget: DescriptorBudget,
        metrics: Metrics,
    ) -> None:
        """Create the parts that serve clients; no connection is accepted before `listen`."""
        self.config = config
        self.ready = ready
        self.timers = timers
        self.budget = budget
        self.metrics = metrics
        self.state = ServingState()
        self.clients = ClientTable(timers, metrics)
        self.ids = RequestIds(requests.requests, timers, metrics)
        requests.on_left = self.ids.release
        parser = JobParser(config, timers.now, metrics)
        self.router = RequestRouter(
            requests,
            parser,
            self.ids,
            on_callback,
            lambda: self.serving,
            lambda: self.max_jobs,
            self.state,
            metrics,
        )
        self.server = ClientServer(self.clients, self.router.respond, timers, metrics)
        self.shutdown = Shutdown(
            self.state,
            config.settings.classes,
            self,
            self.clients,
            lambda: self.unanswered,
            others_serve,
            timers,
            metrics,
        )
        self._socket: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        budget.reclaimers.append(self.clients.close_one)

    # ---- state and shutdown --------------------------------------------------------------------------------

    @property
    def streams(self) -> Streams | None:
        """Progress streams, if they are configured, else None."""
        return self.router.streams

    @streams.setter
    def streams(self, streams: Streams) -> None:
        self.router.streams = streams

    @property
    def serving(self) -> bool:
        """Whether the health check and the operators' `ready` answer yes."""
        return self.ready() and not self.state.draining

    @property
    def unanswered(self) -> int:
        """Number of connections and detached streams that await an answer."""
        streams = self.router.streams
        return (streams.detached if streams is not None else 0) + self.clients.unanswered

    @property
    def draining(self) -> bool:
        """Whether the health check answers no, so that clients use other dispatchers."""
        return self.state.draining

    @property
    def ending(self) -> bool:
        """Whether this process is ending."""
        return self.state.ending

    @property
    def handed(self) -> bool:
        """Whether another process of this dispatcher accepts clients."""
        return self.state.handed_over

    def drain(self) -> None:
        """Drain: send clients to other dispatchers, but keep the process running."""
        self.shutdown.drain()

    def resume(self) -> None:
        """Serve again after a drain."""
        self.shutdown.resume()

    async def hand_over(self) -> None:
        """Leave new connections to another process of this dispatcher, which listens already."""
        await self.shutdown.hand_over()

    def take_back(self) -> None:
        """Accept again: the other process has died."""
        self.shutdown.take_back()

    async def finish(self) -> None:
        """Serve the remaining requests, and return once all are answered."""
        await self.shutdown.finish()

    # ---- accepting -----------------------------------------------------------------------------------------

    def listen(self) -> None:
        """Listen and accept.

        Raises:
            AddressUnavailable: The address is in use or does not belong to this machine.
        """
        self._socket = tcp_listener(self.config.listen, "listen", self.config.mgmt is not None)
        self._accepting = self.metrics.spawn(self._accept(self._socket), "accept")

    def listen_again(self) -> None:
        """Listen and accept, unless the socket is already open."""
        if self._socket is None:
            self.listen()

    def steer_to_successor(self) -> None:
        """Route new connections to the process that was the second to listen on this address."""
        if self._socket is not None and not steer_to_second(self._socket):
            self.metrics.count_and_log("steering_refused")

    async def _accept(self, listener: socket.socket) -> None:
        """Accept connections, each time until the backlog is empty, yielding every MAX_ACCEPTS_PER_TURN.

        After a pause of the process, the requests in the backlog have already used up much of their time.
        """
        while True:
            await readable(listener)
            accepted = 0
            while await self._accept_one(listener):
                accepted += 1
                if accepted % MAX_ACCEPTS_PER_TURN == 0:
                    await asyncio.sleep(0)

    async def _accept_one(self, listener: socket.socket) -> bool:
        """Accept one connection, waiting for a descriptor if none is free.

        Returns:
            Whether further connections may be waiting.
        """
        while not self._reserve():
            self.metrics.count_and_log("clients_wait_for_sockets", used=self.budget.used)
            with contextlib.suppress(TimeoutError):
                # after half of that time, further connections may count as idle and can be closed
                async with self.timers.timeout(REQUEST_IN_TRANSIT_S / 2):
                    await self.budget.wait_for_release()
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            self.budget.release()
            return False
        except OSError as error:  # that connection has failed, or the process is out of descriptors after all
            self.budget.release()
            self.metrics.count_and_log("accept_failed", why=error)
            await asyncio.sleep(ACCEPT_RETRY_S)
            return True
        self._serve(sock)
        return True

    @property
    def max_clients(self) -> int:
        """Maximum number of client connections."""
        limits = self.config.limits
        of_sockets = int((1 - RESERVED_FOR_WORKERS) * self.budget.total)
        return min(of_sockets, int(limits.max_connections * self.budget.share))

    @property
    def max_jobs(self) -> int:
        """Maximum number of client connections that wait for a job's answer at the same time."""
        return max(1, int((1 - RESERVED_FOR_CALLBACKS) * self.max_clients))

    def _reserve(self) -> bool:
        """Reserve a descriptor for one more connection; returns whether there was one.

        At the limit, an idle connection is closed: clients and workers' call-backs share the listening
        socket, and both would otherwise wait behind idle clients.
        """
        has_room = len(self.clients.clients) < self.max_clients or self.clients.close_one()
        return has_room and self.budget.acquire()

    def _serve(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(
            Connection(
                sock,
                requests=True,
                on_close=self.budget.release,
                reserve_bytes=self.budget.reserve_message_bytes,
                hold_bytes=self.budget.hold_message_bytes,
                now=self.timers.now,
            )
        )
        self.clients.add(client)
        self.metrics.count("connections_accepted")
        self.metrics.spawn(self.server.serve(client), "connection")

    def stop_listening(self) -> None:
        """Accept the connections in the backlog, since their clients expect answers, and close the socket."""
        if self._socket is None or self._accepting is None:
            return
        self._accepting.cancel()
        self._accept_backlog(self._socket)
        close(self._socket)
        self._socket = None

    def _accept_backlog(self, listener: socket.socket) -> None:
        """Accept all connections in the backlog.

        A failed call does not mean that the backlog is empty: a single connection may have failed, or
        descriptors may be short.
        """
        failures = 0
        while failures < MAX_ACCEPT_FAILURES and self.budget.acquire():
            try:
                sock, _ = listener.accept()
            except BlockingIOError:  # the backlog is empty
                self.budget.release()
                return
            except OSError as error:
                self.budget.release()
                self.metrics.count_and_log("accept_failed", why=error)
                failures += 1
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self.clients.close_one()
            else:
                self._serve(sock)

"""The one listening socket: clients, the health check, the workers' call-backs. Accepts, within the room."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..config import Config
from ..dispatch.request import RequestTable
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .client_connection import ClientServer
from .client_table import REQUEST_MAY_BE_ON_ITS_WAY_S, Client, ClientTable
from .http1 import Connection
from .job_parsing import JobParser
from .request_router import RequestRouter
from .shutdown import ServingState, Shutdown
from .sockets import DescriptorBudget, close, readable, steer_to_second, tcp_listener

if TYPE_CHECKING:
    from .streams import Streams

RESERVED_FOR_WORKERS = 0.25  # part of the sockets that clients leave to connections to workers
RESERVED_FOR_CALLBACKS = 0.125  # part of the clients' connections that jobs in work leave free
ACCEPTS_IN_A_TURN = 64  # connections, before others have their turn
ACCEPT_RETRY_S = 0.01  # after a failed accept
MAX_ACCEPT_FAILURES = 64  # as the listener closes: it can't wait for better times


class Listener:
    """Accepts connections and has them served; drains, hands over and ends by `shutdown`.

    Attributes:
        ready: whether there is a list of workers to serve by.
        clients: all connections.
        state: how far this process is on a way out.
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
        """Build the parts that serve clients; nothing is accepted before `listen`."""
        self.config = config
        self.ready = ready
        self.timers = timers
        self.budget = budget
        self.metrics = metrics
        self.state = ServingState()
        self.clients = ClientTable(timers, metrics)
        parser = JobParser(config, timers.now, metrics)
        self.router = RequestRouter(
            requests,
            parser,
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

    # ---- what others ask for -------------------------------------------------------------------------------

    @property
    def streams(self) -> Streams | None:
        """Answers as streams, where they are configured."""
        return self.router.streams

    @streams.setter
    def streams(self, streams: Streams) -> None:
        self.router.streams = streams

    @property
    def serving(self) -> bool:
        """What the health check and the operators' `ready` say."""
        return self.ready() and not self.state.draining

    @property
    def unanswered(self) -> int:
        """Number of connections and detached streams that an answer is owed to."""
        streams = self.router.streams
        return (streams.detached if streams is not None else 0) + self.clients.unanswered

    @property
    def draining(self) -> bool:
        """Whether clients are sent away."""
        return self.state.draining

    @property
    def ending(self) -> bool:
        """Whether this process ends."""
        return self.state.ending

    @property
    def handed(self) -> bool:
        """Whether another process of this dispatcher accepts clients."""
        return self.state.handed_over

    def drain(self) -> None:
        """Send clients away, and stay."""
        self.shutdown.drain()

    def resume(self) -> None:
        """Serve again after a drain."""
        self.shutdown.resume()

    async def hand_over(self) -> None:
        """Leave new connections to another process of this dispatcher."""
        await self.shutdown.hand_over()

    def take_back(self) -> None:
        """Accept again: the other process has died."""
        self.shutdown.take_back()

    async def finish(self) -> None:
        """Serve what still comes, and return once all is answered."""
        await self.shutdown.finish()

    # ---- accepting -----------------------------------------------------------------------------------------

    def listen(self) -> None:
        """Listen and accept.

        Raises:
            AddressUnavailable: the address is in use, or is not this machine's.
        """
        self._socket = tcp_listener(self.config.listen, "listen", self.config.mgmt is not None)
        self._accepting = self.metrics.spawn(self._accept(self._socket), "accept")

    def listen_again(self) -> None:
        """Listen, unless that is so already."""
        if self._socket is None:
            self.listen()

    def steer_to_successor(self) -> None:
        """Lead new connections to the process that listened second."""
        if self._socket is not None and not steer_to_second(self._socket):
            self.metrics.count_and_log("steering_refused")

    async def _accept(self, listener: socket.socket) -> None:
        """All who wait are let in at once: after a stop they have waited for long, and their time runs."""
        while True:
            await readable(listener)
            accepted = 0
            while await self._accept_one(listener):
                accepted += 1
                if accepted % ACCEPTS_IN_A_TURN == 0:
                    await asyncio.sleep(0)

    async def _accept_one(self, listener: socket.socket) -> bool:
        """Whether somebody may be there still."""
        while not self._reserve():
            self.metrics.count_and_log("clients_wait_for_sockets", used=self.budget.used)
            with contextlib.suppress(TimeoutError):
                # others may have been still for long enough then
                async with self.timers.timeout(REQUEST_MAY_BE_ON_ITS_WAY_S / 2):
                    await self.budget.wait_for_release()
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            self.budget.release()
            return False
        except OSError as error:  # that connection has failed, or descriptors are short after all
            self.budget.release()
            self.metrics.count_and_log("accept_failed", why=error)
            await asyncio.sleep(ACCEPT_RETRY_S)
            return True
        self._serve(sock)
        return True

    @property
    def max_clients(self) -> int:
        """Connections that clients may have."""
        limits = self.config.limits
        of_sockets = int((1 - RESERVED_FOR_WORKERS) * self.budget.total)
        return min(of_sockets, int(limits.max_connections * self.budget.share))

    @property
    def max_jobs(self) -> int:
        """Connections of clients that may wait for a job's answer at a time."""
        return max(1, int((1 - RESERVED_FOR_CALLBACKS) * self.max_clients))

    def _reserve(self) -> bool:
        """Take a descriptor for one more connection.

        Clients and workers' call-backs come in by the same socket: when there is no room, an idle connection
        goes, or those would wait behind idle clients.
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
                reserve_bytes=self.budget.reserve_body_bytes,
                now=self.timers.now,
            )
        )
        self.clients.add(client)
        self.metrics.count("connections_accepted")
        self.metrics.spawn(self.server.serve(client), "connection")

    def stop_listening(self) -> None:
        """Take what waits in the backlog, since who sent it counts on an answer, and close the socket."""
        if self._socket is None or self._accepting is None:
            return
        self._accepting.cancel()
        self._accept_backlog(self._socket)
        close(self._socket)
        self._socket = None

    def _accept_backlog(self, listener: socket.socket) -> None:
        """Accept all who wait.

        A call may fail for one of them, or for want of a descriptor, and the rest still wait.
        """
        failures = 0
        while failures < MAX_ACCEPT_FAILURES and self.budget.acquire():
            try:
                sock, _ = listener.accept()
            except BlockingIOError:  # nobody is left
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

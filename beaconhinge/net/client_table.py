"""The connections of clients, and of workers that call back: who may be closed, and who is owed an answer."""

from __future__ import annotations

from itertools import chain

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Connection

LINGER_S = 1.0  # a peer has it to take a last answer and close
REQUEST_MAY_BE_ON_ITS_WAY_S = 0.1  # after connecting, and after an answer


class Client:
    """A connection from a client, or from a worker that calls back.

    Attributes:
        connection: the socket and its parser.
        answering: an answer is being made or written.
        sends_callbacks: it is a worker's.
        ended_here: our side has ended: what comes now is not taken, its client sends it again.
    """

    def __init__(self, connection: Connection) -> None:
        """Wrap a connection that has just been accepted."""
        self.connection = connection
        self.answering = False
        self.sends_callbacks = False
        self.ended_here = False

    @property
    def idle(self) -> bool:
        """Whether nothing is owed to it, and nothing it sent waits to be read."""
        return not self.answering and not self.connection.partial and self.connection.silent()


class ClientTable:
    """All connections that were accepted.

    Attributes:
        clients: in the order of their last use.
        without_message: those that have sent no whole message, in the order they came.
        closing: those whose peer has been notified that the connection ends, until it closes as well.
    """

    def __init__(self, timers: TimerWheel, metrics: Metrics) -> None:
        """Make an empty table."""
        self.timers = timers
        self.metrics = metrics
        self.clients: dict[Client, None] = {}
        self.without_message: dict[Client, None] = {}
        self.closing: set[Client] = set()

    def add(self, client: Client) -> None:
        """Take a new connection in."""
        client.connection.used_at = self.timers.now()
        self.clients[client] = self.without_message[client] = None

    def has_sent_message(self, client: Client) -> None:
        """Take note that it has sent a whole message."""
        self.without_message.pop(client, None)

    def mark_used(self, client: Client) -> None:
        """Make it the one used last."""
        client.connection.used_at = self.timers.now()
        client.connection.release()
        if self.clients.pop(client, client) is None:
            self.clients[client] = None

    def forget(self, client: Client) -> None:
        """Take it out; it may go on closing."""
        self.clients.pop(client, None)
        self.without_message.pop(client, None)

    def leave_room(self, client: Client) -> None:
        """Leave its place to others: it has its last answer, and is about to close."""
        self.forget(client)
        self.closing.add(client)

    def closed(self, client: Client) -> None:
        """Take it out for good."""
        self.forget(client)
        self.closing.discard(client)

    def close_one(self) -> bool:
        """Make room: first who has never sent a whole message, then who has sent none for the longest.

        Returns whether there was one to close.
        """
        idle_since = self.timers.now() - REQUEST_MAY_BE_ON_ITS_WAY_S
        for client in chain(self.without_message, self.clients):
            # A request that lies unread counts as taken: only who has sent nothing to this moment goes.
            quiet = client.connection.silent() if client in self.without_message else client.idle
            if client.connection.used_at < idle_since and quiet:
                self.forget(client)
                client.connection.close()
                self.metrics.count("connections_closed_for_room")
                return True
        return False

    def end_idle(self, with_message_only: bool = False) -> None:
        """End the idle connections of clients, or of those only that have sent a whole message."""
        for client in [client for client in self.clients if client.idle and not client.sends_callbacks]:
            if with_message_only and client in self.without_message:
                continue
            self.end(client)

    def end_all(self) -> None:
        """End every connection."""
        for client in list(self.clients):
            self.end(client)

    def end(self, client: Client) -> None:
        """End our side, and read until the peer has closed as well.

        What it sends meanwhile has crossed that and is not taken: it comes again elsewhere.
        """
        self.forget(client)
        client.ended_here = True
        client.connection.end()
        self.closing.add(client)
        self.timers.after(LINGER_S, client.connection.close)

    def has_newcomers(self) -> bool:
        """Whether somebody came so lately that its request may be on the way."""
        since = self.timers.now() - REQUEST_MAY_BE_ON_ITS_WAY_S
        return any(client.connection.used_at > since for client in self.without_message)

    @property
    def unanswered(self) -> int:
        """Number of clients that are owed an answer, or have sent what is not read yet."""
        return sum(not client.idle for client in self.clients)

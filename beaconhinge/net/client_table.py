"""The accepted connections: which are idle and may be closed, and which still await an answer."""

from __future__ import annotations

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Connection

LINGER_S = 1.0  # time that a peer has to read its last answer and close the connection
REQUEST_IN_TRANSIT_S = 0.1  # how long after connecting, or an answer, a request may still be in transit
# A connection with an incomplete message gives way to a newcomer if its peer has been quiet for so long, or
# is slower than this once the message has taken as long as a first one may. A client that sends a large body
# at a steady pace is faster.
QUIET_S = 1.0
MIN_PACE_BYTES_PER_S = 1024
FIRST_MESSAGE_TIMEOUT_S = 2.5  # from connecting to the last byte of the first message; bounds unused sockets


class Client:
    """A connection from a client, or from a worker that calls back.

    Attributes:
        connection: The socket with its parser.
        answering: Whether an answer is being prepared or written.
        sends_callbacks: Whether the peer is a worker.
        is_shut_down: Whether our side is shut down. Later messages are ignored; the client must resend them.
        message_began_at: When the first byte of the message that is read, or was read last, was noticed,
            in seconds; not set for the first message.
    """

    def __init__(self, connection: Connection) -> None:
        """Wrap a connection that has just been accepted."""
        self.connection = connection
        self.answering = False
        self.sends_callbacks = False
        self.is_shut_down = False
        self.message_began_at = 0.0

    def has_stalled(self, now: float) -> bool:
        """Whether the peer has sent a part of a message and is quiet or slow, so that others go first."""
        if self.answering or not self.connection.partial or not self.connection.silent():
            return False
        if self.connection.seconds_quiet() >= QUIET_S:
            return True
        elapsed_s = now - self.message_began_at
        return (
            elapsed_s >= FIRST_MESSAGE_TIMEOUT_S
            and self.connection.received < elapsed_s * MIN_PACE_BYTES_PER_S
        )

    @property
    def idle(self) -> bool:
        """Whether the peer awaits no answer, and nothing that it sent waits to be read."""
        return not self.answering and not self.connection.partial and self.connection.silent()


class ClientTable:
    """All accepted connections.

    Attributes:
        clients: The open connections, least recently used first.
        without_message: Those that have sent no complete message, in order of arrival.
        closing: Connections with our side shut down, or about to be, until the peer closes as well.
    """

    def __init__(self, timers: TimerWheel, metrics: Metrics) -> None:
        """Create an empty table."""
        self.timers = timers
        self.metrics = metrics
        self.clients: dict[Client, None] = {}
        self.without_message: dict[Client, None] = {}
        self.closing: set[Client] = set()

    def add(self, client: Client) -> None:
        """Add a new connection."""
        client.connection.used_at = self.timers.now()
        self.clients[client] = self.without_message[client] = None

    def record_message(self, client: Client) -> None:
        """Record that the peer has sent a complete message."""
        self.without_message.pop(client, None)

    def mark_used(self, client: Client) -> None:
        """Make the connection the most recently used one, and give back the memory of its bodies."""
        client.connection.used_at = self.timers.now()
        client.connection.release()
        if self.clients.pop(client, client) is None:
            self.clients[client] = None

    def remove_open(self, client: Client) -> None:
        """Remove the connection from the open ones; it may still be in `closing`."""
        self.clients.pop(client, None)
        self.without_message.pop(client, None)

    def free_place(self, client: Client) -> None:
        """Free the connection's place for others: its last answer is written, and it is about to close."""
        self.remove_open(client)
        self.closing.add(client)

    def closed(self, client: Client) -> None:
        """Remove a closed connection from the table."""
        self.remove_open(client)
        self.closing.discard(client)

    def close_one(self) -> bool:
        """Close one connection for a newcomer: one that has sent no complete message, stalls or is idle.

        They go in this order, and of each kind the least recently used one first. A connection that was
        accepted or used less than REQUEST_IN_TRANSIT_S ago is kept, as is a connection that awaits an answer
        or has unread bytes.

        Returns:
            Whether a connection was closed.
        """
        now = self.timers.now()
        client = self._find_to_close(now)
        if client is None:
            return False
        self.metrics.count("connections_closed_for_room")
        if client.connection.partial:
            self.metrics.count("connections_closed_stalled")
        self.remove_open(client)
        client.connection.close()
        return True

    def _find_to_close(self, now: float) -> Client | None:
        used_before = now - REQUEST_IN_TRANSIT_S
        for client in self.without_message:
            # An unread request counts as received: only a connection without unread bytes is closed.
            if client.connection.used_at < used_before and client.connection.silent():
                return client
        idle: Client | None = None
        for client in self.clients:
            if client.connection.used_at >= used_before or client in self.without_message:
                continue
            if client.has_stalled(now):
                return client
            if idle is None and client.idle:
                idle = client
        return idle

    def end_idle(self, with_message_only: bool = False) -> None:
        """Shut down the idle connections of clients.

        Args:
            with_message_only: Whether to keep those that have sent no complete message.
        """
        for client in [client for client in self.clients if client.idle and not client.sends_callbacks]:
            if with_message_only and client in self.without_message:
                continue
            self.end(client)

    def end_all(self) -> None:
        """Shut down every connection."""
        for client in list(self.clients):
            self.end(client)

    def end(self, client: Client) -> None:
        """Shut down our side, and keep reading until the peer closes as well, for LINGER_S at most.

        Requests that arrive meanwhile were sent before the peer saw the end; they are ignored, and the client
        must resend them to another dispatcher.
        """
        self.remove_open(client)
        client.is_shut_down = True
        client.connection.shut_down_writing()
        self.closing.add(client)
        self.timers.after(LINGER_S, client.connection.close)

    def has_recent_connections(self) -> bool:
        """Return whether a connection is so new that its first request may still be in transit."""
        since = self.timers.now() - REQUEST_IN_TRANSIT_S
        return any(client.connection.used_at > since for client in self.without_message)

    @property
    def message_memory_bytes(self) -> int:
        """Memory that the messages of all connections take, in bytes."""
        return sum(client.connection.memory_bytes for client in self.clients)

    @property
    def past_bound(self) -> int:
        """Number of connections whose further bytes are dropped, as their peer has gone past a bound."""
        return sum(client.connection.past_bound for client in self.clients)

    @property
    def unanswered(self) -> int:
        """Number of connections that await an answer, or whose peer has sent bytes that are not read yet."""
        return sum(not client.idle for client in self.clients)

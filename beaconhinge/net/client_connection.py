"""Reads the messages of a connection one after the other, and writes the answer to each."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .client_table import FIRST_MESSAGE_TIMEOUT_S, LINGER_S, REQUEST_IN_TRANSIT_S, Client, ClientTable
from .http1 import BadMessage, Closed, Connection, Message
from .request_router import Reply, error_response

WRITE_TIMEOUT_S = 10.0  # for writing an answer, if the client reads slowly
MESSAGE_TIMEOUT_S = 10.0  # from the first byte of a later message to its last
MAX_SILENCE_S = 2.5  # between two pieces of a later message


class ClientServer:
    """Serves connections, each in a task of its own."""

    def __init__(
        self,
        clients: ClientTable,
        respond: Callable[[Client, Message], Awaitable[Reply]],
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        """Create a server; `respond` returns the reply to a message."""
        self.clients = clients
        self.respond = respond
        self.timers = timers
        self.metrics = metrics

    async def serve(self, client: Client) -> None:
        """Answer the messages of a connection until it ends or fails, then close it."""
        try:
            await self._answer_messages(client)
        except BadMessage as error:
            self.metrics.count_and_log("client_message_malformed", why=error)
            await self._answer_last(client, error_response(error.status, str(error), close=True))
        except (Closed, OSError):  # a time-out is an OSError too
            pass
        except Exception as error:  # noqa: BLE001  # a defect here: the client must still get an answer
            self.metrics.log_exception("connection", error)
            await self._answer_last(client, error_response(500, "internal error", close=True))
        finally:
            client.answering = False
            self.clients.closed(client)
            client.connection.close()

    async def _answer_messages(self, client: Client) -> None:
        while True:
            message = await self._next_message(client)
            if client.is_shut_down:
                self.metrics.count("requests_after_shutdown")
                continue
            self.clients.record_message(client)
            reply = await self.respond(client, message)
            if reply.close:
                await self._answer_last(client, reply.data, reply.frees_place)
                return
            async with self.timers.timeout(WRITE_TIMEOUT_S):
                await client.connection.send(reply.data)
            client.answering = False
            self.clients.mark_used(client)

    async def _next_message(self, client: Client) -> Message:
        """Return the next message.

        The time-outs guard against peers that hold a socket and send only a part of a message, or nothing.

        Raises:
            BadMessage: The message was incomplete at its time-out.
            Closed: The connection has ended, or no byte of the first message has arrived by its time-out.
        """
        connection = client.connection
        if client in self.clients.without_message:
            why = f"the message was not whole after {FIRST_MESSAGE_TIMEOUT_S:g} s"
            message = await self._message_within(connection, FIRST_MESSAGE_TIMEOUT_S)
        else:
            await connection.begun()
            client.message_began_at = self.timers.now()
            message, why = await self._later_message(connection)
        if message is None and not connection.silent():
            # This process was late, and received bytes are still unread.
            message = await self._message_within(connection, REQUEST_IN_TRANSIT_S)
        if message is not None:
            return message
        if not connection.partial:
            raise Closed
        raise BadMessage(408, why)

    async def _later_message(self, connection: Connection) -> tuple[Message | None, str]:
        """Return a message that has begun; or None and the reason, if its peer is quiet or takes too long."""
        until = self.timers.now() + MESSAGE_TIMEOUT_S
        # What has arrived may have waited to be read, as its connection waited to be accepted.
        quiet_s = 0.0 if connection.settled else connection.seconds_quiet()
        while quiet_s < MAX_SILENCE_S:
            left_s = until - self.timers.now()
            if left_s <= 0:
                return None, f"the message was not whole after {MESSAGE_TIMEOUT_S:g} s"
            message = await self._message_within(connection, min(MAX_SILENCE_S - quiet_s, left_s))
            if message is not None:
                return message, ""
            quiet_s = connection.seconds_quiet()
        return None, f"nothing more of the message came for {MAX_SILENCE_S:g} s"

    async def _message_within(self, connection: Connection, wait_s: float) -> Message | None:
        """Return the next message; None if it is not whole after `wait_s` seconds."""
        with contextlib.suppress(TimeoutError):
            async with self.timers.timeout(wait_s):
                return await connection.next()
        return None

    async def _answer_last(self, client: Client, data: bytes, frees_place: bool = False) -> None:
        """Write the last answer of a connection, and give the peer LINGER_S to read it and to close."""
        self.clients.record_message(client)
        client.answering = True
        try:
            async with self.timers.timeout(LINGER_S):
                await client.connection.send(data)
                if frees_place:
                    self.clients.free_place(client)
                await client.connection.linger()
        except OSError:
            pass

"""Reads the messages of one connection in turn, and writes the answer to each."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable

from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .client_table import LINGER_S, REQUEST_MAY_BE_ON_ITS_WAY_S, Client, ClientTable
from .http1 import BadMessage, Closed, Message
from .request_router import Reply, problem

WRITE_TIMEOUT_S = 10.0  # a client has it to take its answer
MESSAGE_TIMEOUT_S = 10.0  # from the first byte of a message to its last
FIRST_MESSAGE_TIMEOUT_S = 2.5  # from connecting to the end of the first: who sends none holds a socket


class ClientServer:
    """Serves connections, each in a task of its own."""

    def __init__(
        self,
        clients: ClientTable,
        respond: Callable[[Client, Message], Awaitable[Reply]],
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        """`respond` makes the reply to a message."""
        self.clients = clients
        self.respond = respond
        self.timers = timers
        self.metrics = metrics

    async def serve(self, client: Client) -> None:
        """Answer one message after the other until the connection ends, and close it."""
        try:
            await self._answer_messages(client)
        except BadMessage as error:
            self.metrics.count_and_log("client_message_malformed", why=error)
            await self._answer_last(client, problem(error.status, str(error), close=True))
        except (Closed, OSError):  # a time-out is an OSError too
            pass
        except Exception as error:  # noqa: BLE001  # a defect here: whoever asked still gets an answer
            self.metrics.log_exception("connection", error)
            await self._answer_last(client, problem(500, "internal error", close=True))
        finally:
            client.answering = False
            self.clients.closed(client)
            client.connection.close()

    async def _answer_messages(self, client: Client) -> None:
        while True:
            message = await self._next_message(client)
            if client.ended_here:
                self.metrics.count("requests_after_shutdown")
                continue
            self.clients.has_sent_message(client)
            reply = await self.respond(client, message)
            if reply.close:
                await self._answer_last(client, reply.data, reply.leaves_room)
                return
            async with self.timers.timeout(WRITE_TIMEOUT_S):
                await client.connection.send(reply.data)
            client.answering = False
            self.clients.mark_used(client)

    async def _next_message(self, client: Client) -> Message:
        """The next message. Guards against peers that send a part of one, or nothing, and hold a socket."""
        connection, limit_s = client.connection, MESSAGE_TIMEOUT_S
        if client in self.clients.without_message:
            limit_s = FIRST_MESSAGE_TIMEOUT_S
        else:
            await connection.begun()
        for wait_s in (limit_s, REQUEST_MAY_BE_ON_ITS_WAY_S):
            with contextlib.suppress(TimeoutError):
                async with self.timers.timeout(wait_s):
                    return await connection.next()
            if connection.silent():  # or this process was late itself, and has not read what had come
                break
        if not connection.partial:
            raise Closed
        raise BadMessage(408, f"the message was not whole after {limit_s:g} s")

    async def _answer_last(self, client: Client, data: bytes, leaves_room: bool = False) -> None:
        """Write the last answer of a connection, and let the peer read it before the connection closes."""
        self.clients.has_sent_message(client)
        client.answering = True
        try:
            async with self.timers.timeout(LINGER_S):
                await client.connection.send(data)
                if leaves_room:
                    self.clients.leave_room(client)
                await client.connection.linger()
        except OSError:
            pass

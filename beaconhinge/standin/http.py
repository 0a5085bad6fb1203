"""Servers and calls for the stand-ins, on the dispatcher's own codec of messages."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..net.http1 import BadMessage, Closed, Connection, Message
from ..net.sockets import connect

# In which a paced answer is written.
PIECES = 20


@dataclass(frozen=True, slots=True)
class Paced:
    """An answer whose `data` takes so many seconds from its first byte to its last.

    `at_once` is written before it. With `cut` the connection ends after it; without, an answer that is not
    whole is followed by silence.
    """

    data: bytes
    seconds: float
    cut: bool = False
    at_once: bytes = b""


Answer = Callable[[Message], Awaitable[bytes | Paced | None]]


class Server:
    """Answers each message by a script; None from it ends the connection without a word."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.tasks: set[asyncio.Task[None]] = set()
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setblocking(False)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(256)
        self.port: int = self._listener.getsockname()[1]

    @property
    def address(self) -> str:
        """Host and port, as lists of workers have them."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Accept connections from now on."""
        self.spawn(self._accept())

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run a task that ends with the server."""
        task = asyncio.ensure_future(work)
        assert isinstance(task, asyncio.Task)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _accept(self) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.spawn(self._serve(Connection(sock, True, lambda: None)))

    async def _serve(self, connection: Connection) -> None:
        try:
            while True:
                message = await connection.next()
                answer = await self.answer(message)
                if answer is None:
                    return
                if isinstance(answer, Paced):
                    await _send_paced(connection, answer)
                else:
                    await connection.send(answer)
                if not message.keep_alive or isinstance(answer, Paced) and answer.cut:
                    return
        except (Closed, BadMessage, OSError):
            pass
        finally:
            connection.close()

    async def stop(self) -> None:
        """Accept no more, and cancel all tasks."""
        self._listener.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def _send_paced(connection: Connection, answer: Paced) -> None:
    if answer.at_once:
        await connection.send(answer.at_once)
    if not answer.data:
        return
    size = -(-len(answer.data) // PIECES)
    for start in range(0, len(answer.data), size):
        if start:
            await asyncio.sleep(answer.seconds / (PIECES - 1))
        await connection.send(answer.data[start : start + size])


class Caller:
    """Calls to one address over connections that are kept, one request at a time on each."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._idle: list[Connection] = []

    async def call(self, data: bytes | Callable[[], bytes], fresh: bool = False) -> Message:
        """Send a request and return the answer. Nothing is sent again from here.

        A request that states the time that is left is given as a function, called in the turn that writes it.

        Raises:
            OSError: No connection.
            Closed: The connection ended before the answer.
        """
        kept = None if fresh else self._take()
        connection = kept or Connection(await connect(("127.0.0.1", self.port)), False, lambda: None)
        try:
            await connection.send(data if isinstance(data, bytes) else data())
            message = await connection.next()
        except BaseException:
            connection.close()
            raise
        if message.keep_alive and not fresh:
            self._idle.append(connection)
        else:
            connection.close()
        return message

    async def ask(self, data: bytes) -> Message:
        """Call as clients do: what crossed the end of a kept connection goes once more, on a new one."""
        try:
            return await self.call(data)
        except (Closed, ConnectionError):
            return await self.call(data, fresh=True)

    def has_idle(self) -> bool:
        """Whether a connection is kept that has not ended."""
        while self._idle and not self._idle[-1].silent():
            self._idle.pop().close()
        return bool(self._idle)

    def _take(self) -> Connection | None:
        return self._idle.pop() if self.has_idle() else None

    def close(self) -> None:
        """Close the kept connections."""
        with contextlib.suppress(IndexError):
            while True:
                self._idle.pop().close()

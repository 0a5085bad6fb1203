"""HTTP server and client for the stand-ins, built on the dispatcher's own codec of messages."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..net.http1 import BadMessage, Closed, Connection, Message
from ..net.sockets import connect

# Number of pieces in which a paced answer is written.
PIECES = 20


@dataclass(frozen=True, slots=True)
class Paced:
    """An answer that is written slowly.

    Attributes:
        data: Bytes written in PIECES pieces.
        seconds: Seconds from the first piece of `data` to the last.
        cut: Whether the connection is closed after `data`. If not, silence follows an incomplete answer.
        at_once: Bytes written before `data`, all at once.
    """

    data: bytes
    seconds: float
    cut: bool = False
    at_once: bytes = b""


Answer = Callable[[Message], Awaitable[bytes | Paced | None]]


class Server:
    """Answers each message by a callback, or closes the connection if the callback returns None."""

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
        """Host and port, in the form that lists of workers use."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Begin to accept connections."""
        self.spawn(self._accept())

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run a task that is cancelled when the server stops, and return it."""
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
        """Close the listening socket, and cancel all tasks."""
        self._listener.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def _send_paced(connection: Connection, answer: Paced) -> None:
    """Write an answer at its pace."""
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
    """Client of one loopback port that keeps its connections, with one request at a time on each."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._idle: list[Connection] = []

    async def call(self, data: bytes | Callable[[], bytes], fresh: bool = False) -> Message:
        """Send a request once, without a retry, and return the answer.

        Args:
            data: The request. A request that states its remaining time is given as a function, which is
                called just before the request is written.
            fresh: Whether to use a new connection and close it after the answer.

        Raises:
            OSError: The connection could not be made, or failed.
            Closed: The connection was closed before the answer.
            BadMessage: The answer is malformed.
        """
        kept = None if fresh else self._take_idle()
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

    async def call_with_retry(self, data: bytes) -> Message:
        """Call as clients do: if the connection is closed before the answer, retry once on a new one.

        Raises:
            OSError: The new connection could not be made, or failed.
            Closed: The new connection was closed before the answer too.
            BadMessage: The answer is malformed.
        """
        try:
            return await self.call(data)
        except (Closed, ConnectionError):
            return await self.call(data, fresh=True)

    def has_idle(self) -> bool:
        """Return whether a kept connection is still open. Those that ended are dropped."""
        while self._idle and not self._idle[-1].silent():
            self._idle.pop().close()
        return bool(self._idle)

    def _take_idle(self) -> Connection | None:
        return self._idle.pop() if self.has_idle() else None

    def close(self) -> None:
        """Close the kept connections."""
        with contextlib.suppress(IndexError):
            while True:
                self._idle.pop().close()

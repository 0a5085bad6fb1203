"""HTTP/1.1 connections on non-blocking sockets. `message_parser` parses what they read, within its bounds."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus

from . import sockets
from .message_parser import MAX_BODY_BYTES, BadMessage, BodySink, Message, MessageParser

__all__ = [
    "MAX_BODY_BYTES",
    "BadMessage",
    "BodySink",
    "Closed",
    "Connection",
    "Message",
    "request",
    "response",
]

MAX_READS_BEFORE_CLOSE = 128  # reads of bytes that have already arrived, before a connection is closed
READ_BYTES = 16 * 1024  # buffer size of a connection once a read has filled its first buffer
FIRST_READ_BYTES = 2 * 1024  # size of a connection's first buffer; most connections need no larger one
# Pause before bytes are dropped. The reads after it are many at first, as a close behind bytes that wait in
# buffers must be noticed within 0.1 s, and few for a peer that goes on sending.
DROP_INTERVAL_S = 0.005
MAX_FAST_DROP_BYTES = 8 * 1024 * 1024
FAST_DROP_READS = 64
SLOW_DROP_READS = 8


class Closed(Exception):  # noqa: N818
    """The peer has closed the connection, or it has failed."""


class Connection:
    """One socket with its parser. At most one read is in progress, see `reading`.

    Attributes:
        used_at: Time of the last use in seconds, 0 before the first; set and read by the connection's owner.
    """

    def __init__(
        self,
        sock: socket.socket,
        requests: bool,
        on_close: Callable[[], None],
        max_body_bytes: int = MAX_BODY_BYTES,
        max_kept_body_bytes: int | None = None,
        reserve_bytes: Callable[[int], bool] = lambda _count: True,
        hold_bytes: Callable[[int], object] = lambda _count: None,
        body_sink: BodySink | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Take ownership of a socket.

        Args:
            sock: A connected, non-blocking socket.
            requests: Whether the peer sends requests rather than answers.
            on_close: Called once, when the socket is closed.
            max_body_bytes: Maximum length of a body.
            max_kept_body_bytes: How much of a body is kept; None for all of it.
            reserve_bytes: Reserves memory for that many bytes of messages and returns whether there was
                enough; a negative count gives memory back.
            hold_bytes: Counts that many bytes of memory as used, whether or not there is enough; a negative
                count gives memory back.
            body_sink: Receives bodies while they arrive, in addition to the complete messages.
            now: Clock, in seconds.
        """
        self.sock = sock
        self.used_at = 0.0
        self._on_close = on_close
        self._open = True
        self._now = now
        self._hold_bytes = hold_bytes
        self._buffer = bytearray(FIRST_READ_BYTES)
        self._view = memoryview(self._buffer)
        self._parser = MessageParser(
            requests, max_body_bytes, max_kept_body_bytes, reserve_bytes, body_sink, self._arrival_time
        )
        self._dropped_bytes = 0  # read after the parser began to drop
        self._reading: asyncio.Task[bool] | None = None

    # ---- what was received ---------------------------------------------------------------------------------

    @property
    def partial(self) -> bool:
        """Whether a message has begun and is incomplete."""
        return self._parser.partial

    @property
    def received(self) -> int:
        """Number of raw bytes of the message that is being read, or was read last."""
        return self._parser.raw_bytes

    @property
    def settled(self) -> bool:
        """Whether `next` would return or raise without another read."""
        return bool(self._parser.inbox) or self.past_bound

    @property
    def past_bound(self) -> bool:
        """Whether the peer has sent an unacceptable message, so that all further bytes are dropped."""
        return self._parser.error is not None

    @property
    def memory_bytes(self) -> int:
        """Memory that the messages of this connection take, in bytes."""
        return self._parser.memory_bytes

    @property
    def version(self) -> str:
        """HTTP version of the peer's last message, for example "1.1"."""
        return self._parser.version

    def unfinished_body(self) -> bytes:
        """Return the part of an incomplete message's body that has arrived."""
        return self._parser.unfinished_body()

    def release(self) -> None:
        """Give back the memory of the messages that `next` has returned."""
        self._parser.release()

    def _arrival_time(self) -> float:
        """Return when the last byte that was read arrived at this machine, in seconds.

        That is not the time of the read: a request may have waited in the accept queue or during a pause of
        the process.
        """
        return self._now() - sockets.seconds_since_data_arrived(self.sock)

    # ---- reading and writing ---------------------------------------------------------------------------

    async def _fill(self) -> bool:
        """Read and parse once; returns False if the peer has closed the connection or it has failed."""
        if not self._open:  # it was closed for room after the last read, before its owner ran again
            return False
        try:
            if self._parser.dropping:
                return await self._drop_arriving()
            count = await self._receive()
        except OSError:
            return False
        if count == 0:
            self._parser.end_of_stream()
            return False
        self._parse(count)
        return True

    def _parse(self, count: int) -> None:
        """Parse the first `count` bytes of the buffer."""
        self._parser.feed(self._view[:count])
        self._grow_buffer(count)

    def _grow_buffer(self, count: int) -> None:
        """Use a large buffer from now on if a read of `count` bytes has filled the first one."""
        if count == len(self._buffer) < READ_BYTES:
            self._buffer = bytearray(READ_BYTES)
            self._view = memoryview(self._buffer)

    async def _receive(self) -> int:
        """Wait for bytes and read them into the buffer, in the same turn of the event loop that parses them.

        Bytes read in one turn and parsed in the next would be missed by `silent` and `partial` in between.

        Returns:
            The number of bytes; 0 at the end of the peer's stream.
        """
        while True:
            try:
                return self.sock.recv_into(self._buffer)
            except BlockingIOError:
                await sockets.readable(self.sock)

    async def _drop_arriving(self) -> bool:
        """Read and drop bytes, at a limited rate, to notice the end of the peer's stream behind them.

        Without the pause, a peer that sends at full speed would take all the time of this process.

        Returns:
            False at the end of the peer's stream.
        """
        await asyncio.sleep(DROP_INTERVAL_S)
        await sockets.readable(self.sock)
        with contextlib.suppress(BlockingIOError):
            fast = self._dropped_bytes < MAX_FAST_DROP_BYTES
            for _ in range(FAST_DROP_READS if fast else SLOW_DROP_READS):
                count = self.sock.recv_into(self._buffer)
                if count == 0:
                    return False
                self._dropped_bytes += count
                self._grow_buffer(count)
        return True

    def reading(self) -> asyncio.Task[bool]:
        """Return the task of the one outstanding read; its result is False at the end of the connection.

        The task goes on when a caller that awaits it is cancelled, so that no bytes are lost.
        """
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._fill())
        return self._reading

    def read_arrived(self) -> None:
        """Read and parse the bytes that have already arrived, in MAX_READS_BEFORE_CLOSE reads at most."""
        with contextlib.suppress(OSError):  # no more bytes have arrived, or the connection has failed
            for _ in range(MAX_READS_BEFORE_CLOSE):
                count = self.sock.recv_into(self._buffer)
                if count == 0 or self._parser.dropping:
                    return
                self._parse(count)

    async def begun(self) -> None:
        """Wait for the first bytes of a message.

        Raises:
            Closed: The peer has closed the connection or it has failed.
        """
        while not self.settled and not self.partial:
            if not await self.reading():
                raise Closed

    async def next(self) -> Message:
        """Wait for the next complete message and return it.

        Raises:
            BadMessage: The peer has sent an unacceptable message.
            Closed: The peer has closed the connection or it has failed.
        """
        parser = self._parser
        while not parser.inbox:
            if parser.error is not None:
                raise parser.error
            if not await self.reading() and not parser.inbox:
                raise Closed
        return parser.take()

    async def send(self, data: bytes) -> None:
        """Write all of `data`; while the peer does not take it, it counts as memory used.

        Raises:
            OSError: The connection has failed.
        """
        rest = memoryview(data)
        with contextlib.suppress(BlockingIOError):
            rest = rest[self.sock.send(rest) :]
        if not rest:
            return
        self._hold_bytes(len(data))
        try:
            await asyncio.get_running_loop().sock_sendall(self.sock, rest)
        finally:
            self._hold_bytes(-len(data))

    def silent(self) -> bool:
        """Return whether nothing waits to be read or taken, not even the end of the peer's stream."""
        return not self._parser.inbox and self._peek() is None

    def seconds_quiet(self) -> float:
        """Return the seconds since the last bytes of the peer arrived at this machine, read or not."""
        return sockets.seconds_since_data_arrived(self.sock)

    def is_closed(self) -> bool:
        """Return whether we or the peer have closed the connection, even if its end was not read yet."""
        return not self._open or self._peek() == b""

    def _peek(self) -> bytes | None:
        """Return the first unread byte without reading it.

        Returns:
            The byte; b"" if the peer has closed the connection or it has failed; None if nothing is unread.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def shut_down_writing(self) -> None:
        """Shut down our side for writing: the peer reads the end of the stream, and should close as well."""
        with contextlib.suppress(OSError):  # the connection has already failed
            self.sock.shutdown(socket.SHUT_WR)

    async def linger(self) -> None:
        """Shut down writing, and read and drop bytes until the peer closes, up to a bound on the reads.

        Closing with unread bytes would reset the connection, and the peer could lose its last answer.
        """
        self.shut_down_writing()
        self._parser.stop()
        try:
            for _ in range(2 * MAX_BODY_BYTES // len(self._buffer)):
                if not await self.reading():
                    return
        except OSError:
            pass

    def close(self) -> None:
        """Close the socket and give back its reservations; later calls have no effect."""
        if self._open:
            self._open = False
            if self._reading is not None:
                self._reading.cancel()
            sockets.close(self.sock)
            self._parser.close()
            self._on_close()


def response(
    status: int, body: bytes = b"", headers: Mapping[str, str] | None = None, close: bool = False
) -> bytes:
    """Return the bytes of an answer; `close` announces that the connection ends with it."""
    reason = HTTPStatus(status).phrase
    lines = [f"HTTP/1.1 {status} {reason}"]
    if status != HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: bytes, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; with a body, `headers` must contain Content-Length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return method.encode() + b" " + target + b" HTTP/1.1\r\n" + lines.encode("latin-1") + b"\r\n" + body

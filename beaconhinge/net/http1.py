"""HTTP/1.1 connections on non-blocking sockets, parsed by httptools, with bounds on what a peer may send."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import httptools

from . import sockets

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
# Raw bytes of one message, including chunk framing and trailers.
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES
MAX_MESSAGES_AHEAD = 4  # messages read ahead on a connection
MAX_READS_BEFORE_CLOSE = 128  # reads of bytes that have already arrived, before a connection is closed
READ_BYTES = 16 * 1024  # buffer size of a connection once a read has filled its first buffer
FIRST_READ_BYTES = 2 * 1024  # size of a connection's first buffer; most connections need no larger one


class BadMessage(Exception):  # noqa: N818
    """A peer sent an unacceptable message; `status` (an HTTP status) and the text give the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Closed(Exception):  # noqa: N818
    """The peer has closed the connection, or it has failed."""


@dataclass(slots=True)
class Message:
    """A request or an answer; fields that do not apply keep their defaults.

    Attributes:
        method: Method of a request.
        target: Target of a request: path and query.
        status: Status of an answer.
        arrived_at: Time at which the last byte of a request arrived at this machine, in seconds, by its
            connection's clock.
        headers: Values by header name in lower case; repeated headers are joined with ", ".
        keep_alive: Whether the connection may be used after this message.
    """

    method: str = ""
    target: bytes = b""
    status: int = 0
    arrived_at: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class BodySink(Protocol):
    """Receives bodies while they arrive, in the turn of the event loop that reads them.

    `begin_message` and `receive_body` are called from within the parser and must not raise.
    """

    def begin_message(self) -> None:
        """Called at the beginning of a message."""

    def receive_body(self, status: int, part: bytes) -> None:
        """Called with each part of a body; `status` is the status of an answer, 0 for a request."""

    def finish_read(self) -> None:
        """Called once all bytes of one read have been parsed."""


class Connection:
    """One socket with its parser. At most one read is in progress, see `reading`.

    Attributes:
        inbox: Complete messages that `next` has not returned yet.
        partial: Whether a message has begun and is incomplete.
        used_at: Time of the last use in seconds, 0 before the first; set and read by the connection's owner.
    """

    def __init__(
        self,
        sock: socket.socket,
        requests: bool,
        on_close: Callable[[], None],
        max_body_bytes: int = MAX_BODY_BYTES,
        reserve_bytes: Callable[[int], bool] = lambda _count: True,
        body_sink: BodySink | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Take ownership of a socket.

        Args:
            sock: A connected, non-blocking socket.
            requests: Whether the peer sends requests rather than answers.
            on_close: Called once, when the socket is closed.
            max_body_bytes: Maximum length of a body.
            reserve_bytes: Reserves memory for that many bytes of bodies and returns whether there was enough;
                a negative count gives memory back.
            body_sink: Receives bodies while they arrive, in addition to the complete messages.
            now: Clock, in seconds.
        """
        self.sock = sock
        self.inbox: deque[Message] = deque()
        self.partial = False
        self.used_at = 0.0
        self._max_body_bytes = max_body_bytes
        self._max_raw_bytes = max(MAX_MESSAGE_BYTES, MAX_HEAD_BYTES + 2 * max_body_bytes)
        self._on_close = on_close
        self._open = True
        self._reserve_bytes = reserve_bytes
        self._body_sink = body_sink
        self._now = now
        self._reserved_bytes = 0  # bytes of bodies for which memory is reserved
        self._buffer = bytearray(FIRST_READ_BYTES)
        self._view = memoryview(self._buffer)
        self._parser: Any = (httptools.HttpRequestParser if requests else httptools.HttpResponseParser)(self)
        self._requests = requests
        self._error: BadMessage | None = None
        self._message = Message()
        self._chunks: list[bytes] = []
        self._in_head = False
        self._raw_bytes = self._body_bytes = 0
        self._reading: asyncio.Task[bool] | None = None

    # ---- called by httptools; it would garble exceptions raised in here, so errors are stored in _error ---

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._message, self._chunks = Message(), []
        self._raw_bytes = self._body_bytes = 0
        self.partial = self._in_head = True
        if self._body_sink is not None:
            self._body_sink.begin_message()

    def on_url(self, part: bytes) -> None:
        """Called by the parser with all or a part of the target."""
        self._message.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, for headers and trailers."""
        if self._in_head:  # trailers are ignored
            headers, key = self._message.headers, name.decode("latin-1").lower()
            text = value.decode("latin-1").strip(" \t")  # blanks around are not part of it: RFC 9110, 5.5
            headers[key] = f"{headers[key]}, {text}" if key in headers else text

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._in_head = False
        if self._requests:
            self._message.method = self._parser.get_method().decode("latin-1")
        else:
            self._message.status = self._parser.get_status_code()
        length = self._message.headers.get("content-length", "")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._fail(413, f"body over {self._max_body_bytes} bytes")

    def on_body(self, part: bytes) -> None:
        """Called by the parser with all or a part of the body."""
        self._body_bytes += len(part)
        if self._body_bytes > self._max_body_bytes:
            self._fail(413, f"body over {self._max_body_bytes} bytes")
        elif self._error is None:
            if self._reserve_bytes(len(part)):
                self._reserved_bytes += len(part)
                self._chunks.append(part)
                if self._body_sink is not None:
                    self._body_sink.receive_body(self._message.status, part)
            else:
                self._fail(503, "too many bodies in hand: try again later")

    def on_message_complete(self) -> None:
        """Called by the parser; interim (1xx) answers are dropped."""
        self.partial = False
        message, chunks = self._message, self._chunks
        self._message, self._chunks = Message(), []  # kept references doubled the memory of bodies
        message.body = b"".join(chunks)
        message.keep_alive = self._parser.should_keep_alive()
        if self._requests:
            # Not the time of the read: the request may have waited in the accept queue or during a pause of
            # the process.
            message.arrived_at = self._now() - sockets.seconds_since_data_arrived(self.sock)
        if self._error is None and (self._requests or message.status >= HTTPStatus.OK):
            self.inbox.append(message)

    def _fail(self, status: int, reason: str) -> None:
        self._error = self._error or BadMessage(status, reason)
        self._chunks = []  # the body will not be read

    def release(self) -> None:
        """Give back the memory reserved for bodies, unless a message is incomplete or not yet taken."""
        if not self.partial and not self.inbox:
            self._reserve_bytes(-self._reserved_bytes)
            self._reserved_bytes = 0

    # ---- reading and writing ---------------------------------------------------------------------------

    async def _fill(self) -> bool:
        """Read and parse once; returns False if the peer has closed the connection or it has failed."""
        try:
            count = await self._receive()
        except OSError:
            return False
        if count == 0:
            self._handle_end_of_stream()
            return False
        self._parse(count)
        return True

    def _parse(self, count: int) -> None:
        """Parse the first `count` bytes of the buffer, and record an error if a bound is exceeded."""
        self._raw_bytes += count
        full = count == len(self._buffer) < READ_BYTES
        try:
            self._parser.feed_data(self._view[:count])
        except httptools.HttpParserUpgrade:
            self._fail(400, "no upgrade is offered")
        except httptools.HttpParserError as error:
            self._fail(400, f"malformed message: {error}")
        if full:
            self._buffer = bytearray(READ_BYTES)
            self._view = memoryview(self._buffer)
        if self._in_head and self._raw_bytes > MAX_HEAD_BYTES:
            self._fail(431, f"head over {MAX_HEAD_BYTES} bytes")
        elif self._raw_bytes > self._max_raw_bytes:
            self._fail(413, "message too long")
        elif len(self.inbox) > MAX_MESSAGES_AHEAD:
            self._fail(400, "too many requests sent ahead")
        if self._body_sink is not None:
            self._body_sink.finish_read()

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

    def _handle_end_of_stream(self) -> None:
        """Complete an answer that has no length: it ends with its connection."""
        headers = self._message.headers
        framed = "content-length" in headers or "transfer-encoding" in headers
        if not self._requests and self.partial and not self._in_head and not framed:
            self.on_message_complete()  # the parser reports keep_alive as false

    def reading(self) -> asyncio.Task[bool]:
        """Return the task of the one outstanding read; its result is False at the end of the connection.

        The task goes on when a caller that awaits it is cancelled, so that no bytes are lost.
        """
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._fill())
        return self._reading

    @property
    def received(self) -> int:
        """Number of raw bytes of the message that is being read, or was read last."""
        return self._raw_bytes

    def unfinished_body(self) -> bytes:
        """Return the part of an incomplete message's body that has arrived."""
        return b"".join(self._chunks)

    @property
    def settled(self) -> bool:
        """Whether `next` would return or raise without another read."""
        return bool(self.inbox) or self._error is not None

    def read_arrived(self) -> None:
        """Read and parse the bytes that have already arrived, in MAX_READS_BEFORE_CLOSE reads at most."""
        with contextlib.suppress(OSError):  # no more bytes have arrived, or the connection has failed
            for _ in range(MAX_READS_BEFORE_CLOSE):
                count = self.sock.recv_into(self._buffer)
                if count == 0:
                    return
                self._parse(count)

    async def begun(self) -> None:
        """Wait for the first bytes of a message.

        Raises:
            Closed: The peer has closed the connection or it has failed.
        """
        while not self.inbox and not self.partial and self._error is None:
            if not await self.reading():
                raise Closed

    async def next(self) -> Message:
        """Wait for the next complete message and return it.

        Raises:
            BadMessage: The peer has sent an unacceptable message.
            Closed: The peer has closed the connection or it has failed.
        """
        while not self.inbox:
            if self._error is not None:
                raise self._error
            if not await self.reading() and not self.inbox:
                raise Closed
        return self.inbox.popleft()

    @property
    def version(self) -> str:
        """HTTP version of the peer's last message, for example "1.1"."""
        version: str = self._parser.get_http_version()
        return version

    async def send(self, data: bytes) -> None:
        """Write all of `data`.

        Raises:
            OSError: The connection has failed.
        """
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    def silent(self) -> bool:
        """Return whether nothing waits to be read or taken, not even the end of the peer's stream."""
        return not self.inbox and self._peek() is None

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
        """Shut down writing and read until the peer closes, up to a bound on the reads.

        Closing with unread bytes would reset the connection, and the peer could lose its last answer.
        """
        self.shut_down_writing()
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
            self._reserve_bytes(-self._reserved_bytes)
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

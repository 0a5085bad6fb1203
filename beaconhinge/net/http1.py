"""HTTP/1.1 messages on asyncio's socket calls, parsed by httptools, with bounds on what a peer may send."""

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
# One message raw, chunk framing and trailers included.
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES
MAX_MESSAGES_AHEAD = 4  # messages read ahead on a connection
MAX_READS_BEFORE_CLOSE = 128  # of bytes that have arrived already
READ_BYTES = 16 * 1024  # the buffer of a peer that has filled the first one
FIRST_READ_BYTES = 2 * 1024  # the first buffer of each connection: most need no other


class BadMessage(Exception):  # noqa: N818
    """What a peer sent cannot be taken; `status`, of HTTP, and the text say why."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Closed(Exception):  # noqa: N818
    """The peer ended the connection or broke it."""


@dataclass(slots=True)
class Message:
    """A request or an answer, each with the fields that it has.

    Attributes:
        arrived_at: when the last byte of a request came to this machine, by its connection's clock.
    """

    method: str = ""
    target: bytes = b""
    status: int = 0
    arrived_at: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class BodySink(Protocol):
    """Takes bodies while they arrive, in the turn of the loop that reads them.

    Called from within the parser, but for `finish_read`: the others must not raise.
    """

    def begin_message(self) -> None:
        """A message has begun."""

    def receive_body(self, status: int, part: bytes) -> None:
        """A part of the body of a message, of that status where it is an answer."""

    def finish_read(self) -> None:
        """All that was read in this turn has been handed in."""


class Connection:
    """One socket with its parser. At most one read is under way, see `reading`.

    Attributes:
        inbox: messages that are whole and not taken yet.
        partial: a message has begun and is not whole.
        used_at: when it was used last; set and read by its owner, 0 before the first use.
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
        """Take the socket over.

        Args:
            sock: connected and not blocking.
            requests: whether the peer sends requests, not answers.
            on_close: called once, as the socket is closed.
            max_body_bytes: the longest body that is taken.
            reserve_bytes: takes room for so many bytes of bodies, or gives it back.
            body_sink: takes bodies while they arrive, beside the messages that are made of them.
            now: the clock, in seconds.
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
        self._reserved_bytes = 0  # bytes of bodies for which there is room taken
        self._buffer = bytearray(FIRST_READ_BYTES)
        self._view = memoryview(self._buffer)
        self._parser: Any = (httptools.HttpRequestParser if requests else httptools.HttpResponseParser)(self)
        self._requests = requests
        self._fault: BadMessage | None = None
        self._message = Message()
        self._chunks: list[bytes] = []
        self._in_head = False
        self._raw_bytes = self._body_bytes = 0
        self._reading: asyncio.Task[bool] | None = None

    # ---- called by httptools; what is raised in here would come out garbled, so faults are kept ----------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._message, self._chunks = Message(), []
        self._raw_bytes = self._body_bytes = 0
        self.partial = self._in_head = True
        if self._body_sink is not None:
            self._body_sink.begin_message()

    def on_url(self, part: bytes) -> None:
        """Called by the parser, perhaps with a part."""
        self._message.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, for headers and trailers."""
        if self._in_head:  # trailers are not asked for and passed over
            headers, key = self._message.headers, name.decode("latin-1").lower()
            text = value.decode("latin-1").strip(" \t")  # blanks around are none of it: RFC 9110, 5.5
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
        """Called by the parser, perhaps with a part."""
        self._body_bytes += len(part)
        if self._body_bytes > self._max_body_bytes:
            self._fail(413, f"body over {self._max_body_bytes} bytes")
        elif self._fault is None:
            if self._reserve_bytes(len(part)):
                self._reserved_bytes += len(part)
                self._chunks.append(part)
                if self._body_sink is not None:
                    self._body_sink.receive_body(self._message.status, part)
            else:
                self._fail(503, "too many bodies in hand: try again later")

    def on_message_complete(self) -> None:
        """Called by the parser; interim answers are dropped."""
        self.partial = False
        message, chunks = self._message, self._chunks
        self._message, self._chunks = Message(), []  # kept here, bodies once took twice the memory
        message.body = b"".join(chunks)
        message.keep_alive = self._parser.should_keep_alive()
        if self._requests:
            # Not when it is read: it may have waited unaccepted, or in a process that stood still.
            message.arrived_at = self._now() - sockets.seconds_since_data_arrived(self.sock)
        if self._fault is None and (self._requests or message.status >= HTTPStatus.OK):
            self.inbox.append(message)

    def _fail(self, status: int, reason: str) -> None:
        self._fault = self._fault or BadMessage(status, reason)
        self._chunks = []  # nobody will read them

    def release(self) -> None:
        """Give back the room of the bodies read so far: they have been dealt with."""
        if not self.partial and not self.inbox:
            self._reserve_bytes(-self._reserved_bytes)
            self._reserved_bytes = 0

    # ---- reading and writing ---------------------------------------------------------------------------

    async def _fill(self) -> bool:
        """Read once; False when the peer has ended or broken the connection."""
        try:
            count = await self._receive()
        except OSError:
            return False
        if count == 0:
            self._take_end()
            return False
        self._parse(count)
        return True

    def _parse(self, count: int) -> None:
        """Parse so many bytes of the buffer."""
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
        """Wait for bytes, and read them in the very turn that parses them."""
        while True:
            try:
                return self.sock.recv_into(self._buffer)
            except BlockingIOError:
                await sockets.readable(self.sock)

    def _take_end(self) -> None:
        """An answer without a length is whole when its connection ends."""
        headers = self._message.headers
        framed = "content-length" in headers or "transfer-encoding" in headers
        if not self._requests and self.partial and not self._in_head and not framed:
            self.on_message_complete()  # it finds by itself that the connection does not stay

    def reading(self) -> asyncio.Task[bool]:
        """The one outstanding read. It outlives those who wait for it, so that no bytes are lost."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._fill())
        return self._reading

    @property
    def received(self) -> int:
        """Raw bytes of the message that is being read, or was read last."""
        return self._raw_bytes

    def unfinished_body(self) -> bytes:
        """What has come of the body of a message that is not whole."""
        return b"".join(self._chunks)

    @property
    def settled(self) -> bool:
        """Whether `next` returns or raises without another read."""
        return bool(self.inbox) or self._fault is not None

    def read_arrived(self) -> None:
        """Read what has arrived and nobody has read yet, up to a bound, without waiting."""
        with contextlib.suppress(OSError):  # nothing more is there, or the connection has broken
            for _ in range(MAX_READS_BEFORE_CLOSE):
                count = self.sock.recv_into(self._buffer)
                if count == 0:
                    return
                self._parse(count)

    async def begun(self) -> None:
        """Wait for the first bytes of a message."""
        while not self.inbox and not self.partial and self._fault is None:
            if not await self.reading():
                raise Closed

    async def next(self) -> Message:
        """Wait for the next whole message.

        Raises:
            BadMessage: the peer has sent what cannot be taken.
            Closed: the peer has ended or broken the connection.
        """
        while not self.inbox:
            if self._fault is not None:
                raise self._fault
            if not await self.reading() and not self.inbox:
                raise Closed
        return self.inbox.popleft()

    @property
    def version(self) -> str:
        """Of HTTP, as the peer's last message had it."""
        version: str = self._parser.get_http_version()
        return version

    async def send(self, data: bytes) -> None:
        """Write all of `data`.

        Raises:
            OSError: the connection has broken.
        """
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    def silent(self) -> bool:
        """Nothing waits to be read, not even the peer's end of the connection."""
        return not self.inbox and self._peek() is None

    def ended(self) -> bool:
        """Whether the peer has gone, though the task that reads here may not have run since."""
        return not self._open or self._peek() == b""

    def _peek(self) -> bytes | None:
        """The first unread byte; none if the peer has ended or broken the connection, None if it rests."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def end(self) -> None:
        """Nothing more is written: the peer reads the end of the connection, and closes it."""
        with contextlib.suppress(OSError):  # it has broken by now
            self.sock.shutdown(socket.SHUT_WR)

    async def linger(self) -> None:
        """Let the peer read a last answer: closing on its unread bytes would reset that away."""
        self.end()
        try:
            for _ in range(2 * MAX_BODY_BYTES // len(self._buffer)):
                if not await self.reading():
                    return
        except OSError:
            pass

    def close(self) -> None:
        """Close the socket and give back what it took; a second call changes nothing."""
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
    """The bytes of an answer; `close` says that the connection ends with it."""
    reason = HTTPStatus(status).phrase
    lines = [f"HTTP/1.1 {status} {reason}"]
    if status != HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: bytes, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """The bytes of a request; `headers` hold Content-Length where there is a body."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return method.encode() + b" " + target + b" HTTP/1.1\r\n" + lines.encode("latin-1") + b"\r\n" + body

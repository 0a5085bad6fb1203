"""Incremental parsing of HTTP/1.1 messages, with bounds on what a peer makes this process keep. No sockets.

A bound ends everything at once: no further byte of that connection is parsed or kept. What is kept is counted
by the memory that it takes here, not by its bytes on the wire: a header of four bytes takes two hundred.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import httptools

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 128
MAX_BODY_BYTES = 64 * 1024
# Raw bytes of one message, including chunk framing and trailers.
MAX_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES
# Raw bytes without a byte of the body, after the head: chunk sizes, chunk extensions and trailers.
MAX_FRAMING_BYTES = 4 * 1024
MAX_MESSAGES_AHEAD = 4  # messages read ahead on a connection
# Most bytes that the parser gets at once. The bounds are checked between two such pieces.
PIECE_BYTES = 4 * 1024
# Memory that a header takes beside its bytes: two strings and an entry of a dictionary.
HEADER_OVERHEAD_BYTES = 200
# Memory that a message takes beside its headers, its target and its body.
MESSAGE_OVERHEAD_BYTES = 768
# Memory for messages that each connection may use without a reservation. Ordinary messages need no more.
INCLUDED_BYTES = 4 * 1024


class BadMessage(Exception):  # noqa: N818
    """A peer sent an unacceptable message; `status` (an HTTP status) and the text give the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


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
        memory_bytes: Memory that the message takes, as counted by `MessageParser`.
    """

    method: str = ""
    target: bytes = b""
    status: int = 0
    arrived_at: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    memory_bytes: int = 0


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


def _no_time() -> float:
    return 0.0


def _always(_count: int) -> bool:
    return True


class MessageParser:
    """Parses the messages of one connection, and counts the memory that they take.

    Attributes:
        inbox: Complete messages that were not taken yet.
        partial: Whether a message has begun and is incomplete.
        error: Why the peer's messages are not accepted any more; None if they are.
        raw_bytes: Number of raw bytes of the message that is being read, or was read last.
        dropping: Whether all further bytes are dropped: after an error, `stop` or `close`.
    """

    def __init__(
        self,
        requests: bool,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_kept_body_bytes: int | None = None,
        reserve_bytes: Callable[[int], bool] = _always,
        body_sink: BodySink | None = None,
        arrival_time: Callable[[], float] = _no_time,
    ) -> None:
        """Create a parser.

        Args:
            requests: Whether the peer sends requests rather than answers.
            max_body_bytes: Maximum length of a body.
            max_kept_body_bytes: How much of a body is kept; None for all of it.
            reserve_bytes: Reserves memory for that many bytes and returns whether there was enough; a
                negative count gives memory back.
            body_sink: Receives bodies while they arrive, in addition to the complete messages.
            arrival_time: Returns when the last byte that was read arrived at this machine, in seconds.
        """
        self.inbox: deque[Message] = deque()
        self.partial = False
        self.error: BadMessage | None = None
        self.raw_bytes = 0
        self.dropping = False
        self._requests = requests
        self._max_body_bytes = max_body_bytes
        self._max_kept_body_bytes = max_body_bytes if max_kept_body_bytes is None else max_kept_body_bytes
        self._max_raw_bytes = max(MAX_MESSAGE_BYTES, MAX_HEAD_BYTES + 2 * max_body_bytes)
        self._reserve_bytes = reserve_bytes
        self._body_sink = body_sink
        self._arrival_time = arrival_time
        self._parser: Any = (httptools.HttpRequestParser if requests else httptools.HttpResponseParser)(self)
        self._last_version = ""  # set once the parser is dropped
        self._message = Message()
        self._body = bytearray()
        self._in_head = False
        self._body_bytes = 0  # length of the current body, kept or not
        self._header_count = 0
        self._header_bytes = 0  # raw bytes of the target and of the headers that are complete
        self._head_memory_bytes = 0  # memory counted for the current head
        self._framing_bytes = 0  # raw bytes since the head or the last part of the body
        self._taken_bytes = 0  # memory of messages that were taken and not released
        self._memory_bytes = 0  # memory of all messages: taken, complete and partial
        self._reserved_bytes = 0

    # ---- called by httptools; it would garble exceptions raised in here, so errors are stored --------------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        if self.dropping:
            return
        self.partial = self._in_head = True
        self.raw_bytes = self._body_bytes = self._framing_bytes = 0
        self._header_count = self._header_bytes = self._head_memory_bytes = 0
        if self._body_sink is not None:
            self._body_sink.begin_message()

    def on_url(self, part: bytes) -> None:
        """Called by the parser with all or a part of the target."""
        if not self.dropping:
            self._header_bytes += len(part)
            self._message.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, for headers and trailers."""
        if self.dropping or not self._in_head:  # trailers are ignored
            return
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._fail(431, f"more than {MAX_HEADERS} headers")
            return
        self._header_bytes += len(name) + len(value)
        headers, key = self._message.headers, name.decode("latin-1").lower()
        text = value.decode("latin-1").strip(" \t")  # blanks around are not part of it: RFC 9110, 5.5
        headers[key] = f"{headers[key]}, {text}" if key in headers else text

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        if self.dropping:
            return
        self._in_head = False
        self._framing_bytes = 0
        self._count_head()
        if self._requests:
            self._message.method = self._parser.get_method().decode("latin-1")
        else:
            self._message.status = self._parser.get_status_code()
        length = self._message.headers.get("content-length", "")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._fail_for_body_length()

    def on_body(self, part: bytes) -> None:
        """Called by the parser with all or a part of the body."""
        if self.dropping:
            return
        self._body_bytes += len(part)
        self._framing_bytes = 0
        if self._body_bytes > self._max_body_bytes:
            self._fail_for_body_length()
            return
        kept = part[: max(0, self._max_kept_body_bytes - len(self._body))]
        allocated = self._body.__alloc__()
        self._body += kept
        grown_bytes = self._body.__alloc__() - allocated  # often more than the part: room to grow
        if self._keep(grown_bytes) and self._body_sink is not None:
            self._body_sink.receive_body(self._message.status, part)

    def on_message_complete(self) -> None:
        """Called by the parser; interim (1xx) answers are dropped."""
        if self.dropping:
            return
        message = self._message
        message.body = bytes(self._body)
        self._keep(len(message.body) - self._body.__alloc__())
        message.keep_alive = self._parser.should_keep_alive()
        if not self._requests and message.status < HTTPStatus.OK:
            self._free(message.memory_bytes)
        else:
            if self._requests:
                message.arrived_at = self._arrival_time()
            self.inbox.append(message)
        self.partial = False
        self._message, self._body = Message(), bytearray()

    def _fail_for_body_length(self) -> None:
        self._fail(413, f"body over {self._max_body_bytes} bytes")

    def _fail(self, status: int, reason: str) -> None:
        """Accept nothing more, and drop the message that is incomplete."""
        if self.error is None:
            self.error = BadMessage(status, reason)
            self.dropping = True
            self._free(self._message.memory_bytes)
            self._message, self._body = Message(), bytearray()

    # ---- memory --------------------------------------------------------------------------------------------

    def _keep(self, count: int) -> bool:
        """Count memory for the message being read; returns False, with `error` set, if there is none left."""
        missing = self._memory_bytes + count - INCLUDED_BYTES - self._reserved_bytes
        if missing > 0:
            if not self._reserve_bytes(missing):
                self._fail(503, "too many bodies in hand: try again later")
                return False
            self._reserved_bytes += missing
        self._memory_bytes += count
        self._message.memory_bytes += count
        return True

    def _count_head(self) -> None:
        """Count memory for the head as far as it was fed: headers, target and what the parser keeps."""
        needed = MESSAGE_OVERHEAD_BYTES + self._header_count * HEADER_OVERHEAD_BYTES + self._header_bytes
        if self._in_head:  # the parser keeps a header until it is complete
            needed += max(0, self.raw_bytes - self._header_bytes)
        if self._keep(needed - self._head_memory_bytes):
            self._head_memory_bytes = needed

    def _free(self, count: int) -> None:
        """Give back memory that messages took."""
        self._memory_bytes -= count
        spare = self._reserved_bytes - max(0, self._memory_bytes - INCLUDED_BYTES)
        if spare > 0:
            self._reserve_bytes(-spare)
            self._reserved_bytes -= spare

    @property
    def memory_bytes(self) -> int:
        """Memory that the connection's messages take, in bytes: taken, complete and partial ones."""
        return self._memory_bytes

    def take(self) -> Message:
        """Remove and return the first complete message; its memory counts until `release`."""
        message = self.inbox.popleft()
        self._taken_bytes += message.memory_bytes
        return message

    def release(self) -> None:
        """Give back the memory of the messages that were taken."""
        self._free(self._taken_bytes)
        self._taken_bytes = 0

    def close(self) -> None:
        """Drop everything, and give back all memory; nothing is accepted any more.

        This ends all reference cycles, which would keep the connection until the garbage collector runs.
        """
        self.dropping = True
        self.inbox.clear()
        self._message, self._body = Message(), bytearray()
        self._taken_bytes = 0
        self._free(self._memory_bytes)
        self._drop_parser()
        self.error, self._body_sink, self._arrival_time = None, None, _no_time

    # ---- parsing -------------------------------------------------------------------------------------------

    def stop(self) -> None:
        """Drop all further bytes: nobody will take another message."""
        self.dropping = True

    def feed(self, data: memoryview) -> None:
        """Parse the bytes of one read, or the part of them up to an error, which is stored in `error`."""
        start = 0
        while start < len(data) and not self.dropping:
            self._feed_piece(data[start : start + PIECE_BYTES])
            start += PIECE_BYTES
        if len(self.inbox) > MAX_MESSAGES_AHEAD:
            self._fail(400, "too many requests sent ahead")
        if self.dropping:
            self._drop_parser()
        if self._body_sink is not None:
            self._body_sink.finish_read()

    def _feed_piece(self, piece: memoryview) -> None:
        self.raw_bytes += len(piece)
        self._framing_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self._fail(400, "no upgrade is offered")
        except httptools.HttpParserError as error:
            self._fail(400, f"malformed message: {error}")
        if self._in_head and not self.dropping:
            self._count_head()
        if self._in_head and self.raw_bytes > MAX_HEAD_BYTES:
            self._fail(431, f"head over {MAX_HEAD_BYTES} bytes")
        elif self.raw_bytes > self._max_raw_bytes or self._framing_is_too_long():
            self._fail(413, "message too long")

    def _framing_is_too_long(self) -> bool:
        return self.partial and not self._in_head and self._framing_bytes > MAX_FRAMING_BYTES

    def end_of_stream(self) -> None:
        """Complete an answer that has no length: it ends with its connection."""
        headers = self._message.headers
        framed = "content-length" in headers or "transfer-encoding" in headers
        if not self._requests and self.partial and not self._in_head and not framed:
            self.on_message_complete()  # the parser reports keep_alive as false

    def unfinished_body(self) -> bytes:
        """Return the part of an incomplete message's body that has arrived."""
        return bytes(self._body)

    @property
    def version(self) -> str:
        """HTTP version of the peer's last message, for example "1.1"."""
        version: str = self._last_version if self._parser is None else self._parser.get_http_version()
        return version

    def _drop_parser(self) -> None:
        """Drop the parser with the header that it may keep; only its version is still wanted."""
        self._last_version, self._parser = self.version, None

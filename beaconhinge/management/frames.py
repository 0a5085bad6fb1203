"""Frames on the link between the two processes of one dispatcher: kinds, encoding and decoding. Pure."""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator

MAX_FRAME_BYTES = 8 * 1024 * 1024
_FRAME_HEADER = struct.Struct(">IB")  # length of the payload in bytes, kind


class HandoverError(Exception):
    """A handed-over state or a frame is unusable; the text says why."""


class FrameKind(enum.IntEnum):
    """Kinds of frames. The numbers never change, since another version may read them.

    A version from before CLAIM_ID must not be sent that kind or a later one: it takes them for RESUME.
    """

    STATE = 1
    SERVING = 2
    ADDRESSES_RELEASED = 3
    ALL_ANSWERED = 4
    CALLBACK = 5
    SLOTS_CHANGE = 6
    DISABLE_WORKER = 7
    ENABLE_WORKER = 8
    DRAIN = 9
    RESUME = 10
    CLAIM_ID = 11  # the newer process is about to take a request with this id
    ID_GRANTED = 12
    ID_IN_USE = 13
    RELEASE_ID = 14  # its request has ended


def encode_frame(kind: int, payload: bytes = b"") -> bytes:
    """Return the bytes of one frame between the two processes."""
    return _FRAME_HEADER.pack(len(payload), kind) + payload


class FrameReader:
    """Decodes frames from a stream of bytes that arrives in pieces of any size."""

    def __init__(self) -> None:
        self._unread = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Append bytes, and yield the kind and payload of each complete frame.

        Raises:
            HandoverError: A frame is longer than MAX_FRAME_BYTES.
        """
        self._unread += data
        while len(self._unread) >= _FRAME_HEADER.size:
            length, kind = _FRAME_HEADER.unpack_from(self._unread)
            if length > MAX_FRAME_BYTES:
                raise HandoverError(f"a frame of {length} bytes is over the limit")
            if len(self._unread) < _FRAME_HEADER.size + length:
                return
            payload = bytes(self._unread[_FRAME_HEADER.size : _FRAME_HEADER.size + length])
            del self._unread[: _FRAME_HEADER.size + length]
            yield kind, payload

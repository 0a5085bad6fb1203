"""Incarnations of one dispatcher: records signed with its name, and the datagram that tells others of one."""

from __future__ import annotations

import struct
from dataclasses import dataclass

HELLO = 0x7C  # magic and version in one, beside those of `keys`
_HELLO = struct.Struct(">BBBII")
_INCARNATION = struct.Struct(">I")
_ASKS = 1
_STALE = 2


def sign_record(name: str, number: int, body: bytes) -> bytes:
    """A record that counts for this dispatcher alone, wherever its folder is copied to."""
    return f"{number} {name}\n".encode() + body


def read_signed_record(data: bytes | None, name: str, number: int) -> bytes | None:
    """None for a record that is missing, or another's."""
    own = sign_record(name, number, b"")
    return data[len(own) :] if data is not None and data.startswith(own) else None


def next_incarnation(body: bytes | None) -> int:
    """The incarnation after the one in the record; 1 without a record that can be read."""
    return (
        _INCARNATION.unpack(body)[0] % 0xFFFFFFFF + 1
        if body is not None and len(body) == _INCARNATION.size
        else 1
    )


def incarnation_record(incarnation: int) -> bytes:
    """The record of an incarnation, to be signed."""
    return _INCARNATION.pack(incarnation)


@dataclass(frozen=True, slots=True)
class Hello:
    """What a dispatcher says of its start.

    Attributes:
        stage: Its recovery stage.
        incarnation: Its incarnation; 0 if none is counted.
        start_id: Drawn at random at each start.
        expects_reply: The receiver is asked for a hello of its own.
        stale: The receiver's incarnation has been heard of from another start.
    """

    stage: int
    incarnation: int
    start_id: int
    expects_reply: bool = False
    stale: bool = False


def encode(hello: Hello) -> bytes:
    """Bytes of a hello."""
    flags = _ASKS * hello.expects_reply | _STALE * hello.stale
    return _HELLO.pack(HELLO, flags, hello.stage, hello.incarnation, hello.start_id)


def decode(payload: bytes) -> Hello | None:
    """The hello in a datagram; None if it is foreign, truncated or of another version."""
    if len(payload) != _HELLO.size or payload[0] != HELLO or payload[1] > _ASKS | _STALE:
        return None
    _, flags, phase, life, start = _HELLO.unpack(payload)
    return Hello(phase, life, start, bool(flags & _ASKS), bool(flags & _STALE))


class PeerIncarnations:
    """What this process has heard of the incarnations of other dispatchers."""

    def __init__(self) -> None:
        self._known: dict[int, tuple[int, int]] = {}  # by number: life and start

    def observe(self, number: int, hello: Hello) -> bool:
        """Whether that incarnation is stale: as old as one that another start has announced, or older."""
        known = self._known.get(number)
        if hello.incarnation == 0:
            return False
        if known is None or hello.incarnation > known[0]:
            self._known[number] = hello.incarnation, hello.start_id
            return False
        return hello.start_id != known[1]

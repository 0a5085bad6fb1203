"""Incarnations of one dispatcher: records marked with its name, and the datagram that announces one."""

from __future__ import annotations

import struct
from dataclasses import dataclass

HELLO = 0x7C  # first byte of the datagram: type and version in one, distinct from those of `key_messages`
_HELLO = struct.Struct(">BBBII")
_INCARNATION = struct.Struct(">I")
_EXPECTS_REPLY = 1
_STALE = 2


def sign_record(name: str, number: int, body: bytes) -> bytes:
    """Return a record that is valid for this dispatcher alone, wherever the store's folder is copied to."""
    return f"{number} {name}\n".encode() + body


def read_signed_record(data: bytes | None, name: str, number: int) -> bytes | None:
    """Return the body of a signed record; None if it is missing or belongs to another dispatcher."""
    own = sign_record(name, number, b"")
    return data[len(own) :] if data is not None and data.startswith(own) else None


def next_incarnation(body: bytes | None) -> int:
    """Return the incarnation after the one in the record's body; 1 if there is no readable record."""
    return (
        _INCARNATION.unpack(body)[0] % 0xFFFFFFFF + 1
        if body is not None and len(body) == _INCARNATION.size
        else 1
    )


def incarnation_record(incarnation: int) -> bytes:
    """Return the body of an incarnation's record, for `sign_record`."""
    return _INCARNATION.pack(incarnation)


@dataclass(frozen=True, slots=True)
class Hello:
    """The message by which a dispatcher announces its start.

    Attributes:
        stage: The sender's recovery stage.
        incarnation: The sender's incarnation; 0 if it counts none.
        start_id: Drawn at random at each start.
        expects_reply: The receiver is to answer with a hello of its own.
        stale: The sender has received the receiver's incarnation, or a later one, from another start.
    """

    stage: int
    incarnation: int
    start_id: int
    expects_reply: bool = False
    stale: bool = False


def encode(hello: Hello) -> bytes:
    """Return the datagram of a hello."""
    flags = _EXPECTS_REPLY * hello.expects_reply | _STALE * hello.stale
    return _HELLO.pack(HELLO, flags, hello.stage, hello.incarnation, hello.start_id)


def decode(payload: bytes) -> Hello | None:
    """Return the hello in a datagram; None if it is foreign, truncated or of another version."""
    if len(payload) != _HELLO.size or payload[0] != HELLO or payload[1] > _EXPECTS_REPLY | _STALE:
        return None
    _, flags, stage, incarnation, start_id = _HELLO.unpack(payload)
    return Hello(stage, incarnation, start_id, bool(flags & _EXPECTS_REPLY), bool(flags & _STALE))


class PeerIncarnations:
    """The latest incarnation of each other dispatcher that this process has received."""

    def __init__(self) -> None:
        self._latest: dict[int, tuple[int, int]] = {}  # by dispatcher's number: incarnation and start id

    def observe(self, number: int, hello: Hello) -> bool:
        """Record a hello; return whether its incarnation is stale.

        It is stale if another start of that dispatcher has announced the same incarnation or a later one.
        """
        latest = self._latest.get(number)
        if hello.incarnation == 0:
            return False
        if latest is None or hello.incarnation > latest[0]:
            self._latest[number] = hello.incarnation, hello.start_id
            return False
        return hello.start_id != latest[1]

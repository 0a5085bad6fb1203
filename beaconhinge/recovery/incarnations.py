"""The lives of one dispatcher: records signed with its name, the word by which others know a life. Pure."""

from __future__ import annotations

import struct
from dataclasses import dataclass

HELLO = 0x7C  # magic and version in one, beside those of `keys`
_HELLO = struct.Struct(">BBBII")
_LIFE = struct.Struct(">I")
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
    """After the one in the record; 1 without one that can be read."""
    return _LIFE.unpack(body)[0] % 0xFFFFFFFF + 1 if body is not None and len(body) == _LIFE.size else 1


def incarnation_record(life: int) -> bytes:
    return _LIFE.pack(life)


@dataclass(frozen=True, slots=True)
class Hello:
    """`start` is drawn anew at each start. `stale`: the receiver's life has been heard of from another."""

    stage: int
    incarnation: int  # 0: none is counted
    start_id: int
    expects_reply: bool = False
    stale: bool = False


def encode(hello: Hello) -> bytes:
    flags = _ASKS * hello.expects_reply | _STALE * hello.stale
    return _HELLO.pack(HELLO, flags, hello.stage, hello.incarnation, hello.start_id)


def decode(payload: bytes) -> Hello | None:
    """None for whatever is foreign, truncated or of another version."""
    if len(payload) != _HELLO.size or payload[0] != HELLO or payload[1] > _ASKS | _STALE:
        return None
    _, flags, phase, life, start = _HELLO.unpack(payload)
    return Hello(phase, life, start, bool(flags & _ASKS), bool(flags & _STALE))


class PeerIncarnations:
    """What this process has heard of the others' lives."""

    def __init__(self) -> None:
        self._known: dict[int, tuple[int, int]] = {}  # by number: life and start

    def observe(self, number: int, hello: Hello) -> bool:
        """Whether that life is stale: as old as one that another start has told, or older."""
        known = self._known.get(number)
        if hello.incarnation == 0:
            return False
        if known is None or hello.incarnation > known[0]:
            self._known[number] = hello.incarnation, hello.start_id
            return False
        return hello.start_id != known[1]

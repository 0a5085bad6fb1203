"""What members say of leases, in datagrams of 28 bytes. Pure."""

from __future__ import annotations

import struct
from dataclasses import dataclass

DATAGRAM_TYPE = 0x7D  # magic and version in one, beside those of `recovery`
REQUEST, RENEW, GRANT, DENY, RELEASE, COUNCIL_CHANGE = range(1, 7)
_FORM = struct.Struct(">BBHIQQI")
_MOST = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A message between members.

    Attributes:
        council: Number of the sender's council.
        round_id: Ties an answer to its request; in COUNCIL_CHANGE, 1 asks for an answer.
        number: Of the tenure; in DENY the highest that the member has granted.
        value: In milliseconds: of REQUEST and RENEW the span, of DENY the time until it is worth asking
            again. Of RELEASE, 1 gives a tenure back, 0 a request that failed.
    """

    kind: int
    council: int
    round_id: int = 0
    lease: int = 0
    number: int = 0  # of the tenure; in NO the highest that the member has granted
    value: int = 0


def encode(message: LeaseMessage) -> bytes:
    """Bytes of a message."""
    return _FORM.pack(
        DATAGRAM_TYPE,
        message.kind,
        message.council,
        message.round_id,
        message.lease,
        message.number,
        min(message.value, _MOST),
    )


def decode(payload: bytes) -> LeaseMessage | None:
    """The message in a datagram; None if it is foreign, truncated or of another version."""
    if (
        len(payload) != _FORM.size
        or payload[0] != DATAGRAM_TYPE
        or not REQUEST <= payload[1] <= COUNCIL_CHANGE
    ):
        return None
    return LeaseMessage(*_FORM.unpack(payload)[1:])


def milliseconds(seconds: float) -> int:
    """A span as it is sent, from 0 to 2^32 - 1."""
    return max(0, min(round(seconds * 1000), _MOST))

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
    """`council`: the number of the sender's. `round` ties an answer to its question; in STEP, 1 asks for one.
    `value`, in milliseconds: of ASK and RENEW the span, of NO the time until it is worth asking again; of
    RELEASE, 1 gives a tenure back, 0 a question that failed.
    """

    kind: int
    council: int
    round_id: int = 0
    lease: int = 0
    number: int = 0  # of the tenure; in NO the highest that the member has granted
    value: int = 0


def encode(message: LeaseMessage) -> bytes:
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
    """None for whatever is foreign, truncated or of another version."""
    if (
        len(payload) != _FORM.size
        or payload[0] != DATAGRAM_TYPE
        or not REQUEST <= payload[1] <= COUNCIL_CHANGE
    ):
        return None
    return LeaseMessage(*_FORM.unpack(payload)[1:])


def milliseconds(seconds: float) -> int:
    return max(0, min(round(seconds * 1000), _MOST))

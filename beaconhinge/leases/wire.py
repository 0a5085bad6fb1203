"""What members say of leases, in datagrams of 28 bytes. Pure."""

from __future__ import annotations

import struct
from dataclasses import dataclass

LEASE = 0x7D  # magic and version in one, beside those of `recovery`
ASK, RENEW, GRANT, NO, RELEASE, STEP = range(1, 7)
_FORM = struct.Struct(">BBHIQQI")
_MOST = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Message:
    """`council`: the number of the sender's. `round` ties an answer to its question; in STEP, 1 asks for one.
    `value`, in milliseconds: of ASK and RENEW the span, of NO the time until it is worth asking again; of
    RELEASE, 1 gives a tenure back, 0 a question that failed.
    """

    kind: int
    council: int
    round: int = 0
    lease: int = 0
    number: int = 0  # of the tenure; in NO the highest that the member has granted
    value: int = 0


def encode(message: Message) -> bytes:
    return _FORM.pack(
        LEASE,
        message.kind,
        message.council,
        message.round,
        message.lease,
        message.number,
        min(message.value, _MOST),
    )


def decode(payload: bytes) -> Message | None:
    """None for whatever is foreign, truncated or of another version."""
    if len(payload) != _FORM.size or payload[0] != LEASE or not ASK <= payload[1] <= STEP:
        return None
    return Message(*_FORM.unpack(payload)[1:])


def milliseconds(seconds: float) -> int:
    return max(0, min(round(seconds * 1000), _MOST))

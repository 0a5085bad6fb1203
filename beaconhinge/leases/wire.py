"""Encodes and decodes the lease messages between members, datagrams of 28 bytes. Pure."""

from __future__ import annotations

import struct
from dataclasses import dataclass

DATAGRAM_TYPE = 0x7D  # first byte: type and version in one, distinct from those of `recovery`
REQUEST, RENEW, GRANT, DENY, RELEASE, COUNCIL_CHANGE = range(1, 7)
_LAYOUT = struct.Struct(">BBHIQQI")
_MAX_UINT32 = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A message between members.

    Attributes:
        kind: REQUEST, RENEW, GRANT, DENY, RELEASE or COUNCIL_CHANGE.
        council: Number of the sender's council.
        round_id: Identifies the request that is sent, answered or released. In COUNCIL_CHANGE, 1 requests an
            answer.
        lease: Key of the lease, by `terms.lease_key`.
        number: Number of the tenure; in DENY the highest that the member has granted.
        value: In REQUEST and RENEW the span, in DENY the time after which a new request may succeed, both in
            milliseconds. In RELEASE 1 if a tenure is released, 0 if it is the request of a failed round.
    """

    kind: int
    council: int
    round_id: int = 0
    lease: int = 0
    number: int = 0
    value: int = 0


def encode(message: LeaseMessage) -> bytes:
    """Return the datagram of a message; a `value` over 2^32 - 1 is sent as that."""
    return _LAYOUT.pack(
        DATAGRAM_TYPE,
        message.kind,
        message.council,
        message.round_id,
        message.lease,
        message.number,
        min(message.value, _MAX_UINT32),
    )


def decode(payload: bytes) -> LeaseMessage | None:
    """Return the message in a datagram; None if it is foreign, truncated or of another version."""
    if (
        len(payload) != _LAYOUT.size
        or payload[0] != DATAGRAM_TYPE
        or not REQUEST <= payload[1] <= COUNCIL_CHANGE
    ):
        return None
    return LeaseMessage(*_LAYOUT.unpack(payload)[1:])


def milliseconds(seconds: float) -> int:
    """Return a time in seconds as whole milliseconds, limited to the range from 0 to 2^32 - 1."""
    return max(0, min(round(seconds * 1000), _MAX_UINT32))

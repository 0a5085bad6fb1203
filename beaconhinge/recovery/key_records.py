"""Records of idempotency keys in the store: one for each key, and one that says whose journal it is."""

from __future__ import annotations

import math
import struct

_TIME = struct.Struct(">d")
# No time of a record lies beyond; what does is damage.
_MAX_TIME_S = 1e12


def encode_record(taken_at: float, request: str) -> bytes:
    """The record of a key: when its job was taken, and the request's id."""
    return _TIME.pack(taken_at) + request.encode()


def decode_record(data: bytes) -> tuple[float, str]:
    """Time and request id of a record.

    Raises:
        ValueError: `encode_record` has not written this.
    """
    if len(data) < _TIME.size:
        raise ValueError("a record of a key is too short")
    (taken_at,) = _TIME.unpack_from(data)
    if math.isnan(taken_at) or abs(taken_at) >= _MAX_TIME_S:
        raise ValueError("a record of a key has no time")
    return taken_at, data[_TIME.size :].decode()


def encode_owner(name: str, number: int, uncertain_until: float) -> bytes:
    """Whose journal it is, and until when even that dispatcher does not know all the keys that it had."""
    return _TIME.pack(uncertain_until) + f"{number} {name}".encode()


def uncertain_until(found: bytes | None, name: str, number: int, now: float, window: float) -> float:
    """Until when a journal with this owner record may lack keys.

    One that is new, another's or damaged says nothing: then for the whole window. The clock may have
    stepped, so that nobody waits for longer than the window.
    """
    if found is None or found[_TIME.size :] != encode_owner(name, number, 0.0)[_TIME.size :]:
        return now + window
    (until,) = _TIME.unpack_from(found)
    return now + window if math.isnan(until) else min(until, now + window)

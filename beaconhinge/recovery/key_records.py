"""Records of idempotency keys in the store: one for each key, and one for the journal's owner."""

from __future__ import annotations

import math
import struct

_TIME = struct.Struct(">d")
_MAX_TIME_S = 1e12  # a record with a greater time is damaged


def encode_record(taken_at: float, request: str) -> bytes:
    """Return the record of a key: the time at which its job was accepted, and the request's id."""
    return _TIME.pack(taken_at) + request.encode()


def decode_record(data: bytes) -> tuple[float, str]:
    """Return the time and the request id of a record.

    Raises:
        ValueError: The record is damaged.
    """
    if len(data) < _TIME.size:
        raise ValueError("key record is too short")
    (taken_at,) = _TIME.unpack_from(data)
    if math.isnan(taken_at) or abs(taken_at) >= _MAX_TIME_S:
        raise ValueError("key record has an invalid time")
    return taken_at, data[_TIME.size :].decode()


def encode_owner(name: str, number: int, uncertain_until: float) -> bytes:
    """Return the owner's record: the dispatcher, and the time until which its journal may lack keys."""
    return _TIME.pack(uncertain_until) + f"{number} {name}".encode()


def uncertain_until(owner_record: bytes | None, name: str, number: int, now: float, window: float) -> float:
    """Return the time until which a journal with this owner record may lack keys.

    Without a record, or with a damaged one or that of another dispatcher, it is the end of the window that
    starts now. It is never later than that, even if the clock has been set back.
    """
    if owner_record is None or owner_record[_TIME.size :] != encode_owner(name, number, 0.0)[_TIME.size :]:
        return now + window
    (until,) = _TIME.unpack_from(owner_record)
    return now + window if math.isnan(until) else min(until, now + window)

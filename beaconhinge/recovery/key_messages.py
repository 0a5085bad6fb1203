"""Datagrams between dispatchers about idempotency keys: typed messages and their bytes.

A query asks for a dispatcher's state of a key, an answer returns it, and a cached result is fetched in parts.
A key is identified by a hash of class, tenant and key.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

# A larger result than these parts hold, 3840 bytes, is not sent to other dispatchers.
MAX_PART_BYTES = 240
MAX_PARTS = 16


class KeyState(IntEnum):
    """A dispatcher's state of a key. The values are sent in datagrams."""

    ABSENT = 0
    PRESENT = 1
    UNKNOWN = 2  # the dispatcher may have lost keys
    RESULT_CACHED = 3  # present, with its result


class MessageType(IntEnum):
    """First byte of a datagram: type and version in one, distinct from those of `gossip.codec`."""

    QUERY = 0x78
    ANSWER = 0x79
    FETCH = 0x7A
    PART = 0x7B


_QUERY = struct.Struct(">BIQ")
_ANSWER = struct.Struct(">BIB")
_FETCH = struct.Struct(">BIQB")
_PART = struct.Struct(">BIBBI")


def key_hash(cls: int, tenant: int, key: str) -> int:
    """Return the 64-bit hash that identifies a key.

    Two keys with the same hash are taken for one, which rejects a request needlessly; the chance is 1 in
    2^64.
    """
    digest = hashlib.blake2b(f"{cls}/{tenant}/{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@dataclass(frozen=True, slots=True)
class KeyQuery:
    """Requests a dispatcher's state of a key."""

    query_id: int  # repeated by the answers, to distinguish them from answers to an older query
    key: int


@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """The sender's state of the key of a query."""

    query_id: int
    state: KeyState


@dataclass(frozen=True, slots=True)
class FetchResultPart:
    """Requests one part of a result from the dispatcher that has cached it."""

    query_id: int
    key: int
    part: int


@dataclass(frozen=True, slots=True)
class ResultPart:
    """One part of a cached result."""

    query_id: int
    part: int
    part_count: int
    checksum: int  # CRC-32 of the whole result, so that parts of two results are not combined
    data: bytes


Message: TypeAlias = KeyQuery | KeyAnswer | FetchResultPart | ResultPart


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    match message:
        case KeyQuery():
            return _QUERY.pack(MessageType.QUERY, message.query_id, message.key)
        case KeyAnswer():
            return _ANSWER.pack(MessageType.ANSWER, message.query_id, message.state)
        case FetchResultPart():
            return _FETCH.pack(MessageType.FETCH, message.query_id, message.key, message.part)
        case ResultPart():
            head = (message.query_id, message.part, message.part_count, message.checksum)
            return _PART.pack(MessageType.PART, *head) + message.data


def decode(payload: bytes) -> Message | None:
    """Return the message in a datagram; None if it is foreign, truncated or of another version."""
    message_type, size = payload[:1], len(payload)
    if message_type == bytes([MessageType.QUERY]) and size == _QUERY.size:
        return KeyQuery(*_QUERY.unpack(payload)[1:])
    if message_type == bytes([MessageType.ANSWER]) and size == _ANSWER.size:
        _, query_id, state = _ANSWER.unpack(payload)
        return KeyAnswer(query_id, KeyState(state)) if state <= KeyState.RESULT_CACHED else None
    if message_type == bytes([MessageType.FETCH]) and size == _FETCH.size:
        _, query_id, key, part = _FETCH.unpack(payload)
        return FetchResultPart(query_id, key, part) if part < MAX_PARTS else None
    if message_type == bytes([MessageType.PART]) and _PART.size <= size <= _PART.size + MAX_PART_BYTES:
        _, query_id, part, part_count, checksum = _PART.unpack_from(payload)
        valid = part < part_count <= MAX_PARTS
        return ResultPart(query_id, part, part_count, checksum, payload[_PART.size :]) if valid else None
    return None


def result_part(result: bytes, fetch: FetchResultPart) -> ResultPart | None:
    """Return the requested part of a result; None if it has no such part or is too large to send."""
    part_count = max(1, -(-len(result) // MAX_PART_BYTES))
    if fetch.part >= part_count or part_count > MAX_PARTS:
        return None
    start = fetch.part * MAX_PART_BYTES
    data = result[start : start + MAX_PART_BYTES]
    return ResultPart(fetch.query_id, fetch.part, part_count, zlib.crc32(result), data)

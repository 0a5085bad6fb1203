"""Datagrams between dispatchers about idempotency keys: typed messages and their bytes.

A query asks what a dispatcher knows of a key; an answer says so; a cached result is fetched in parts. A key
is named by a hash of class, tenant and key.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

# Bytes and number of the parts in which a result is handed to another dispatcher; larger results stay.
MAX_PART_BYTES = 240
MAX_PARTS = 16


class KeyState(IntEnum):
    """What a dispatcher knows of a key. The values are those of the wire."""

    ABSENT = 0
    PRESENT = 1
    UNKNOWN = 2
    RESULT_CACHED = 3  # present, and its result too


class MessageType(IntEnum):
    """First byte of a datagram: type and version in one, beside those of `gossip.codec`."""

    QUERY = 0x78
    ANSWER = 0x79
    FETCH = 0x7A
    PART = 0x7B


_QUERY = struct.Struct(">BIQ")
_ANSWER = struct.Struct(">BIB")
_FETCH = struct.Struct(">BIQB")
_PART = struct.Struct(">BIBBI")


def key_name(cls: int, tenant: int, key: str) -> int:
    """A key's name of 64 bits; two keys with one name count for each other: a needless rejection in 2^64."""
    digest = hashlib.blake2b(f"{cls}/{tenant}/{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@dataclass(frozen=True, slots=True)
class KeyQuery:
    """Asks what a dispatcher knows of a key."""

    query_id: int  # by which its answers are told from those to an older one
    key: int


@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """What the sender knows of the key of a query."""

    query_id: int
    state: KeyState


@dataclass(frozen=True, slots=True)
class FetchResultPart:
    """Asks a dispatcher that has cached the result for one part of it."""

    query_id: int
    key: int
    part: int


@dataclass(frozen=True, slots=True)
class ResultPart:
    """One part of a cached result."""

    query_id: int
    part: int
    part_count: int
    checksum: int  # CRC-32 of the whole result, so that parts of two results are never put together
    data: bytes


Message: TypeAlias = KeyQuery | KeyAnswer | FetchResultPart | ResultPart


def encode(message: Message) -> bytes:
    """Bytes of a message."""
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
    """The message in a datagram; None if it is foreign, truncated or of another version."""
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
    """The part that is asked for; None if the result has no such part, or is too large to be handed over."""
    part_count = max(1, -(-len(result) // MAX_PART_BYTES))
    if fetch.part >= part_count or part_count > MAX_PARTS:
        return None
    start = fetch.part * MAX_PART_BYTES
    data = result[start : start + MAX_PART_BYTES]
    return ResultPart(fetch.query_id, fetch.part, part_count, zlib.crc32(result), data)

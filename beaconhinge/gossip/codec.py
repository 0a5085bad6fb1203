"""Datagrams between dispatchers: typed messages and their encoding, big-endian, versioned, 256 bytes at most.

Deltas are short and frequent: they say to which worker an attempt was sent, and how it ended. An aggregate is
the sum of the deltas of a group, made by its aggregator: slots in flight by worker, failures, and whether the
worker has served. A remote aggregate gives a group the slots that all other groups have in flight. A report
is rarer: it holds the work admitted and denied in each bucket since the sender's last report, the learned
limit of slots of each kind of worker, and the sender's slots in flight on each worker, which correct the
effects of lost deltas. Workers are identified by a key of 14 bits; two workers with the same key are counted
as one, which is harmless while it is rare.

`decode` returns None for a datagram that is foreign, truncated or of another version. Whether a message is
stale is decided by its receiver, which compares incarnation and sequence number.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, TypeAlias

MAX_BYTES = 256
KEY_COUNT = 1 << 14
SEQUENCE_MASK = 0xFF
REPORT_SEQUENCE_MASK = 0xFFFF


class MessageType(IntEnum):
    """The first byte of a datagram, which is both type and version."""

    DELTAS = 0x73
    REPORT = 0x74
    AGGREGATE = 0x75
    REMOTE_AGGREGATE = 0x76


class DeltaKind(IntEnum):
    """Which event of an attempt a delta reports."""

    SENT = 0
    SERVED = 1
    FAILED = 2  # the attempt ended by the worker's fault
    ENDED = 3  # the attempt ended in any other way


_DELTAS_HEAD = struct.Struct(">BBB")  # type, incarnation, sequence
_REPORT_HEAD = struct.Struct(
    ">BBHHBBB"
)  # type, incarnation, sequence, span in ms, lengths of the three lists
_AGGREGATE_HEAD = struct.Struct(">BBBB")  # type, incarnation, sequence, sends
_KIND_LIMIT = struct.Struct(">BB")  # kind of worker, slots in eighths
_WORKER_LOAD = struct.Struct(">HB")  # key, then slots in flight, failures and served in 5, 2 and 1 bits
_BUCKET = struct.Struct(">BBBB")  # tenant, class, work allowed, work denied
_WORKER_SLOTS = struct.Struct(">HB")  # key, slots in flight
MAX_AGGREGATE_ENTRIES = (MAX_BYTES - _AGGREGATE_HEAD.size) // _WORKER_LOAD.size
_MAX_DELTAS = (MAX_BYTES - _DELTAS_HEAD.size) // 2
_MAX_KIND_LIMITS = 16
_LIMIT_UNITS_PER_SLOT = 8
_MAX_LOAD_SLOTS = 31
_MAX_LOAD_FAILURES = 3
_MAX_BYTE = 0xFF
_MAX_SPAN_MS = 0xFFFF

# An amount of work is encoded in one byte on a logarithmic scale: from 0.05 s to 1.6e9 s in steps of 10 %.
_WORK_STEP = math.log(1.1)
_MIN_WORK_S = 0.05


class Delta(NamedTuple):
    """The start or the end of one attempt on a worker.

    Attributes:
        key: The worker's key.
        kind: A `DeltaKind`.
    """

    key: int
    kind: int


class WorkerLoad(NamedTuple):
    """A worker in an aggregate.

    Attributes:
        key: The worker's key.
        in_flight: Slots in flight, 31 at most.
        failures: Failures since the last aggregate, 3 at most.
        served: Whether the worker has served an attempt since then.
    """

    key: int
    in_flight: int
    failures: int
    served: bool


class BucketUsage(NamedTuple):
    """Work of a tenant in a request class since the last report.

    Attributes:
        tenant: The tenant's number.
        cls: The number of the request class.
        allowed: Work that was admitted, in seconds.
        denied: Work that was denied, in seconds.
    """

    tenant: int
    cls: int
    allowed: float
    denied: float


@dataclass(slots=True)
class DeltaMessage:
    """Deltas of one dispatcher, for its aggregator or, in a small group, for all."""

    incarnation: int
    sequence: int  # 8 bits
    entries: list[Delta] = field(default_factory=list)


@dataclass(slots=True)
class AggregateMessage:
    """An aggregate of a group.

    Attributes:
        sends: Attempts that the whole group has sent since the last aggregate, 255 at most.
        covers_other_groups: Whether the slots in flight are those of all other groups, not of the own one.
    """

    incarnation: int
    sequence: int  # 8 bits
    sends: int
    entries: list[WorkerLoad] = field(default_factory=list)
    covers_other_groups: bool = False


@dataclass(slots=True)
class DemandReport:
    """Demand, learned limits and attempts in flight of one dispatcher.

    Attributes:
        sequence: The sequence number, 16 bits; its lower 8 bits order it among deltas and aggregates.
        span_s: Seconds that the counts cover.
        buckets: The work of each tenant and class in that time.
        limits: Kinds of workers, each with the slots that one worker has, as learned.
        in_flight: Keys of workers, each with the sender's slots in flight.
    """

    incarnation: int
    sequence: int
    span_s: float
    buckets: Sequence[BucketUsage] = field(default_factory=list)
    limits: list[tuple[int, float]] = field(default_factory=list)
    in_flight: list[tuple[int, int]] = field(default_factory=list)


Message: TypeAlias = DeltaMessage | AggregateMessage | DemandReport


def worker_key(worker: int) -> int:
    """Return the key that identifies a worker in messages, the same at every dispatcher.

    The hash spreads consecutive worker numbers over the keys.
    """
    return hash32(worker) % KEY_COUNT


def hash32(number: int) -> int:
    """Return a hash of 32 bits that is the same at every dispatcher."""
    number = (number ^ number >> 16) * 0x45D9F3B & 0xFFFFFFFF
    return (number ^ number >> 16) * 0x45D9F3B & 0xFFFFFFFF


def encode_deltas(message: DeltaMessage) -> bytes:
    """Return the bytes of a message of deltas; deltas that do not fit are left out."""
    words = [key << 2 | kind for key, kind in message.entries[:_MAX_DELTAS]]
    head = _DELTAS_HEAD.pack(
        MessageType.DELTAS, message.incarnation & _MAX_BYTE, message.sequence & SEQUENCE_MASK
    )
    return head + struct.pack(f">{len(words)}H", *words)


def encode_aggregate(message: AggregateMessage) -> bytes:
    """Return the bytes of an aggregate; entries that do not fit are left out."""
    head = _AGGREGATE_HEAD.pack(
        MessageType.REMOTE_AGGREGATE if message.covers_other_groups else MessageType.AGGREGATE,
        message.incarnation & _MAX_BYTE,
        message.sequence & SEQUENCE_MASK,
        min(_MAX_BYTE, message.sends),
    )
    return head + b"".join(_encode_load(entry) for entry in message.entries[:MAX_AGGREGATE_ENTRIES])


def _encode_load(entry: WorkerLoad) -> bytes:
    key, slots, failures, served = entry
    bits = min(_MAX_LOAD_SLOTS, max(0, slots)) << 3 | min(_MAX_LOAD_FAILURES, failures) << 1 | served
    return _WORKER_LOAD.pack(key, bits)


def encode_report(report: DemandReport) -> bytes:
    """Return the bytes of a report; buckets and workers that do not fit are left out, workers first."""
    limits = report.limits[:_MAX_KIND_LIMITS]
    bytes_left = MAX_BYTES - _REPORT_HEAD.size - len(limits) * _KIND_LIMIT.size
    buckets = report.buckets[: bytes_left // _BUCKET.size]
    bytes_left -= len(buckets) * _BUCKET.size
    workers = report.in_flight[: bytes_left // _WORKER_SLOTS.size]
    head = _REPORT_HEAD.pack(
        MessageType.REPORT,
        report.incarnation & _MAX_BYTE,
        report.sequence & REPORT_SEQUENCE_MASK,
        min(_MAX_SPAN_MS, max(1, round(report.span_s * 1000))),
        len(limits),
        len(buckets),
        len(workers),
    )
    parts = [head]
    parts += [
        _KIND_LIMIT.pack(kind & _MAX_BYTE, min(_MAX_BYTE, round(limit * _LIMIT_UNITS_PER_SLOT)))
        for kind, limit in limits
    ]
    parts += [
        _BUCKET.pack(tenant & _MAX_BYTE, cls & _MAX_BYTE, _work_to_byte(allowed), _work_to_byte(denied))
        for tenant, cls, allowed, denied in buckets
    ]
    parts += [_WORKER_SLOTS.pack(key, min(_MAX_BYTE, slots)) for key, slots in workers]
    return b"".join(parts)


def decode(payload: bytes) -> Message | None:
    """Return the message in a datagram, or None if it is foreign, truncated or of another version."""
    if not _DELTAS_HEAD.size <= len(payload) <= MAX_BYTES:
        return None
    message_type = payload[0]
    if message_type == MessageType.DELTAS:
        return _decode_deltas(payload)
    if message_type in (MessageType.AGGREGATE, MessageType.REMOTE_AGGREGATE):
        return _decode_aggregate(payload)
    if message_type == MessageType.REPORT:
        return _decode_report(payload)
    return None


def _decode_deltas(payload: bytes) -> DeltaMessage | None:
    if len(payload) % 2 == 0:
        return None
    _, incarnation, sequence = _DELTAS_HEAD.unpack_from(payload)
    words = struct.unpack(f">{len(payload) // 2 - 1}H", payload[_DELTAS_HEAD.size :])
    return DeltaMessage(incarnation, sequence, [Delta(word >> 2, word & 3) for word in words])


def _decode_aggregate(payload: bytes) -> AggregateMessage | None:
    if len(payload) % _WORKER_LOAD.size != _AGGREGATE_HEAD.size % _WORKER_LOAD.size:
        return None
    message_type, incarnation, sequence, sends = _AGGREGATE_HEAD.unpack_from(payload)
    entries = [
        WorkerLoad(key, bits >> 3, bits >> 1 & 3, bool(bits & 1))
        for key, bits in _WORKER_LOAD.iter_unpack(payload[_AGGREGATE_HEAD.size :])
    ]
    return AggregateMessage(
        incarnation, sequence, sends, entries, message_type == MessageType.REMOTE_AGGREGATE
    )


def _decode_report(payload: bytes) -> DemandReport | None:
    if len(payload) < _REPORT_HEAD.size:
        return None
    _, incarnation, sequence, span_ms, limit_count, bucket_count, worker_count = _REPORT_HEAD.unpack_from(
        payload
    )
    buckets_at = _REPORT_HEAD.size + limit_count * _KIND_LIMIT.size
    workers_at = buckets_at + bucket_count * _BUCKET.size
    if span_ms == 0 or len(payload) != workers_at + worker_count * _WORKER_SLOTS.size:
        return None
    return DemandReport(
        incarnation,
        sequence,
        span_ms / 1000,
        [
            BucketUsage(tenant, cls, _work_from_byte(allowed), _work_from_byte(denied))
            for tenant, cls, allowed, denied in _BUCKET.iter_unpack(payload[buckets_at:workers_at])
        ],
        [
            (kind, limit / _LIMIT_UNITS_PER_SLOT)
            for kind, limit in _KIND_LIMIT.iter_unpack(payload[_REPORT_HEAD.size : buckets_at])
        ],
        list(_WORKER_SLOTS.iter_unpack(payload[workers_at:])),
    )


def _work_to_byte(work_s: float) -> int:
    if work_s < _MIN_WORK_S / 2:
        return 0
    return min(_MAX_BYTE, max(1, 1 + round(math.log(work_s / _MIN_WORK_S) / _WORK_STEP)))


def _work_from_byte(encoded: int) -> float:
    return _MIN_WORK_S * math.exp(_WORK_STEP * (encoded - 1)) if encoded else 0.0

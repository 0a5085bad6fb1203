"""Datagrams between dispatchers: typed messages and their bytes, 256 at most, versioned, big-endian.

Deltas are short and frequent: what was sent to which worker, and how it ended. An aggregate is their sum by
an aggregator: slots in flight by worker, and how each has done. A remote aggregate tells a group what all
others have in flight. A report is rarer: the work admitted and denied in each bucket since the sender's last
report, what a worker of each kind was found to hold, and the sender's slots in flight on each worker, which
corrects what lost deltas left wrong. Workers are named by a key of 14 bits; two workers with one key count
for each other, which is harmless while it is rare.

`decode` answers None to whatever is foreign, truncated or of another version; whether a message is stale is
for its receiver, which compares incarnation and sequence.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, TypeAlias

MAX_BYTES = 256
KEYS = 1 << 14
SEQUENCE_MASK = 0xFF
REPORT_SEQUENCE_MASK = 0xFFFF


class MessageType(IntEnum):
    """First byte of a datagram: type and version in one."""

    DELTAS = 0x73
    REPORT = 0x74
    AGGREGATE = 0x75
    REMOTE_AGGREGATE = 0x76


class DeltaKind(IntEnum):
    """What a delta says of a worker."""

    SENT = 0
    SERVED = 1
    FAILED = 2  # ended by the worker's fault
    ENDED = 3  # any other end


_DELTAS_HEAD = struct.Struct(">BBB")  # type, incarnation, sequence
_REPORT_HEAD = struct.Struct(">BBHHBBB")  # type, incarnation, sequence, span in ms, counts of each list
_AGGREGATE_HEAD = struct.Struct(">BBBB")  # type, incarnation, sequence, sends
_KIND_LIMIT = struct.Struct(">BB")  # kind of worker, slots in eighths
_WORKER_LOAD = struct.Struct(">HB")  # key, then slots in flight, failures and served in 5, 2 and 1 bits
_BUCKET = struct.Struct(">BBBB")  # tenant, class, work allowed, work denied
_WORKER_SLOTS = struct.Struct(">HB")  # key, slots in flight
MAX_AGGREGATE_ENTRIES = (MAX_BYTES - _AGGREGATE_HEAD.size) // _WORKER_LOAD.size
_MAX_DELTAS = (MAX_BYTES - _DELTAS_HEAD.size) // 2
_MAX_KIND_LIMITS = 16
_SLOTS_PER_LIMIT_UNIT = 8
_MAX_LOAD_SLOTS = 31
_MAX_LOAD_FAILURES = 3
_MAX_BYTE = 0xFF
_MAX_SPAN_MS = 0xFFFF

# A count of work takes one byte: from 0.05 s on in steps of a tenth, up to 1.6e9 s.
_WORK_STEP = math.log(1.1)
_LEAST_WORK_S = 0.05


class Delta(NamedTuple):
    """One attempt, or its end, on a worker."""

    key: int
    kind: int


class WorkerLoad(NamedTuple):
    """A worker in an aggregate: slots in flight (31 at most), failures (3 at most), whether it has served."""

    key: int
    in_flight: int
    failures: int
    served: bool


class BucketUsage(NamedTuple):
    """Work of a tenant in a class since the last report, in seconds."""

    tenant: int
    cls: int
    allowed: float
    denied: float


@dataclass(slots=True)
class DeltaMessage:
    """Deltas of one dispatcher, for its aggregator or, in a small group, for all."""

    incarnation: int
    sequence: int  # of 8 bits
    entries: list[Delta] = field(default_factory=list)


@dataclass(slots=True)
class AggregateMessage:
    """An aggregate of a group.

    Attributes:
        sends: Attempts of the whole group since the last aggregate, 255 at most.
        far: The slots in flight are those of all other groups, not of the own one.
    """

    incarnation: int
    sequence: int  # of 8 bits
    sends: int
    entries: list[WorkerLoad] = field(default_factory=list)
    covers_other_groups: bool = False


@dataclass(slots=True)
class DemandReport:
    """Demand, learned limits and attempts in flight of one dispatcher.

    Attributes:
        sequence: Of 16 bits; its lower half orders it among deltas and aggregates.
        span: Seconds that the counts cover.
        limits: Kinds of workers, each with the slots that one holds.
        slots_out: Keys of workers, each with the sender's slots in flight.
    """

    incarnation: int
    sequence: int
    span_s: float
    buckets: Sequence[BucketUsage] = field(default_factory=list)
    limits: list[tuple[int, float]] = field(default_factory=list)
    in_flight: list[tuple[int, int]] = field(default_factory=list)


Message: TypeAlias = DeltaMessage | AggregateMessage | DemandReport


def worker_key(worker: int) -> int:
    """The worker's name in messages, the same at every dispatcher; scatters ids that may run on."""
    return hash32(worker) % KEYS


def hash32(number: int) -> int:
    """A hash of 32 bits that every dispatcher computes alike."""
    number = (number ^ number >> 16) * 0x45D9F3B & 0xFFFFFFFF
    return (number ^ number >> 16) * 0x45D9F3B & 0xFFFFFFFF


def encode_deltas(message: DeltaMessage) -> bytes:
    """Bytes of a message of deltas; those that do not fit are left out."""
    words = [worker << 2 | kind for worker, kind in message.entries[:_MAX_DELTAS]]
    head = _DELTAS_HEAD.pack(
        MessageType.DELTAS, message.incarnation & _MAX_BYTE, message.sequence & SEQUENCE_MASK
    )
    return head + struct.pack(f">{len(words)}H", *words)


def encode_aggregate(message: AggregateMessage) -> bytes:
    """Bytes of an aggregate; entries that do not fit are left out."""
    head = _AGGREGATE_HEAD.pack(
        MessageType.REMOTE_AGGREGATE if message.covers_other_groups else MessageType.AGGREGATE,
        message.incarnation & _MAX_BYTE,
        message.sequence & SEQUENCE_MASK,
        min(_MAX_BYTE, message.sends),
    )
    return head + b"".join(_encode_load(entry) for entry in message.entries[:MAX_AGGREGATE_ENTRIES])


def _encode_load(entry: WorkerLoad) -> bytes:
    worker, slots, failures, served = entry
    bits = min(_MAX_LOAD_SLOTS, max(0, slots)) << 3 | min(_MAX_LOAD_FAILURES, failures) << 1 | served
    return _WORKER_LOAD.pack(worker, bits)


def encode_report(report: DemandReport) -> bytes:
    """Bytes of a report; buckets, then workers that do not fit are left out."""
    limits = report.limits[:_MAX_KIND_LIMITS]
    room = MAX_BYTES - _REPORT_HEAD.size - len(limits) * _KIND_LIMIT.size
    buckets = report.buckets[: room // _BUCKET.size]
    room -= len(buckets) * _BUCKET.size
    workers = report.in_flight[: room // _WORKER_SLOTS.size]
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
        _KIND_LIMIT.pack(kind & _MAX_BYTE, min(_MAX_BYTE, round(limit * _SLOTS_PER_LIMIT_UNIT)))
        for kind, limit in limits
    ]
    parts += [
        _BUCKET.pack(tenant & _MAX_BYTE, cls & _MAX_BYTE, _work_to_byte(allowed), _work_to_byte(denied))
        for tenant, cls, allowed, denied in buckets
    ]
    parts += [_WORKER_SLOTS.pack(worker, min(_MAX_BYTE, slots)) for worker, slots in workers]
    return b"".join(parts)


def decode(payload: bytes) -> Message | None:
    """The message in a datagram; None if it is foreign, truncated or of another version."""
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
        WorkerLoad(worker, bits >> 3, bits >> 1 & 3, bool(bits & 1))
        for worker, bits in _WORKER_LOAD.iter_unpack(payload[_AGGREGATE_HEAD.size :])
    ]
    return AggregateMessage(
        incarnation, sequence, sends, entries, message_type == MessageType.REMOTE_AGGREGATE
    )


def _decode_report(payload: bytes) -> DemandReport | None:
    if len(payload) < _REPORT_HEAD.size:
        return None
    _, incarnation, sequence, span_ms, kinds, buckets, workers = _REPORT_HEAD.unpack_from(payload)
    buckets_at = _REPORT_HEAD.size + kinds * _KIND_LIMIT.size
    workers_at = buckets_at + buckets * _BUCKET.size
    if span_ms == 0 or len(payload) != workers_at + workers * _WORKER_SLOTS.size:
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
            (kind, limit / _SLOTS_PER_LIMIT_UNIT)
            for kind, limit in _KIND_LIMIT.iter_unpack(payload[_REPORT_HEAD.size : buckets_at])
        ],
        list(_WORKER_SLOTS.iter_unpack(payload[workers_at:])),
    )


def _work_to_byte(work: float) -> int:
    if work < _LEAST_WORK_S / 2:
        return 0
    return min(_MAX_BYTE, max(1, 1 + round(math.log(work / _LEAST_WORK_S) / _WORK_STEP)))


def _work_from_byte(count: int) -> float:
    return _LEAST_WORK_S * math.exp(_WORK_STEP * (count - 1)) if count else 0.0

"""Bytes of what dispatchers tell each other: versioned, 256 bytes at most, big-endian.

News are short and frequent: what was sent to which worker, and how it ended. A board is a hub's sum of them:
slots out by worker, and how each has done. A far board tells a circle what all others have out. A report is
rarer: the work admitted and denied in each bucket since the sender's last report, what a worker of each kind
was found to hold, and the sender's slots out on each worker, which mends what lost news left wrong. Workers
are named by a key of 14 bits; two workers with one key count for each other, which is harmless while it is
rare.
`decode` answers None to whatever is foreign, truncated or of another version; whether it is stale is for its
receiver, which compares incarnation and sequence.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

MAX_BYTES = 256
NEWS, REPORT, BOARD, FAR = 0x73, 0x74, 0x75, 0x76  # magic and version in one
# What news tell: a send, its good end, an end by the worker's fault, any other end.
SENT, SERVED, FAILED, ENDED = range(4)
KEYS = 1 << 14
_NEWS = struct.Struct(">BBB")
_REPORT = struct.Struct(">BBHHBBB")
_KIND = struct.Struct(">BB")
_BOARD = struct.Struct(">BBBB")
_ENTRY = struct.Struct(">HB")  # key, then slots out, failures and served in 5, 2 and 1 bits
BOARD_MOST = (MAX_BYTES - _BOARD.size) // _ENTRY.size
_BUCKET = struct.Struct(">BBBB")
_WORKER = struct.Struct(">HB")
_STEP = math.log(1.1)  # a count of work takes one byte: from 0.05 s on in steps of a tenth, to 1.6e9 s
_LEAST = 0.05


@dataclass(slots=True)
class News:
    incarnation: int
    sequence: int  # of 8 bits
    entries: list[tuple[int, int]] = field(default_factory=list)  # key of a worker, and what


@dataclass(slots=True)
class Board:
    incarnation: int
    sequence: int  # of 8 bits
    sends: int  # of the whole circle since the last board, 255 at most
    # Key of a worker, slots out on it (31 at most), its failures (3 at most), whether it served since then.
    entries: list[tuple[int, int, int, bool]] = field(default_factory=list)
    far: bool = False  # slots that all other circles have out, in place of the own one's


@dataclass(slots=True)
class Report:
    incarnation: int
    sequence: int  # of 16 bits; its lower half orders it among news and boards
    span: float  # seconds that the counts cover
    # tenant, class, work allowed, work denied
    buckets: list[tuple[int, int, float, float]] = field(default_factory=list)
    limits: list[tuple[int, float]] = field(default_factory=list)  # kind of worker, slots that one holds
    slots_out: list[tuple[int, int]] = field(default_factory=list)  # key of a worker, slots


def key(worker: int) -> int:
    """The same at every dispatcher; scatters ids that may run on."""
    return mix(worker) % KEYS


def mix(number: int) -> int:
    number = (number ^ number >> 16) * 0x45D9F3B & 0xFFFFFFFF
    return (number ^ number >> 16) * 0x45D9F3B & 0xFFFFFFFF


def encode_news(news: News) -> bytes:
    words = [k << 2 | what for k, what in news.entries[: (MAX_BYTES - _NEWS.size) // 2]]
    head = _NEWS.pack(NEWS, news.incarnation & 0xFF, news.sequence & 0xFF)
    return head + struct.pack(f">{len(words)}H", *words)


def encode_board(board: Board) -> bytes:
    head = _BOARD.pack(
        FAR if board.far else BOARD, board.incarnation & 0xFF, board.sequence & 0xFF, min(255, board.sends)
    )
    return head + b"".join(
        _ENTRY.pack(k, min(31, max(0, slots)) << 3 | min(3, failures) << 1 | served)
        for k, slots, failures, served in board.entries[:BOARD_MOST]
    )


def encode(report: Report) -> bytes:
    limits = report.limits[:16]
    room = MAX_BYTES - _REPORT.size - len(limits) * _KIND.size
    buckets = report.buckets[: room // _BUCKET.size]
    room -= len(buckets) * _BUCKET.size
    workers = report.slots_out[: room // _WORKER.size]
    span = min(65535, max(1, round(report.span * 1000)))
    parts = [
        _REPORT.pack(
            REPORT,
            report.incarnation & 0xFF,
            report.sequence & 0xFFFF,
            span,
            len(limits),
            len(buckets),
            len(workers),
        )
    ]
    parts += [_KIND.pack(kind & 255, min(255, round(limit * 8))) for kind, limit in limits]
    parts += [
        _BUCKET.pack(tenant & 255, cls & 255, _to_byte(allowed), _to_byte(denied))
        for tenant, cls, allowed, denied in buckets
    ]
    parts += [_WORKER.pack(worker, min(255, slots)) for worker, slots in workers]
    return b"".join(parts)


def decode(payload: bytes) -> News | Board | Report | None:
    if len(payload) > MAX_BYTES or len(payload) < _NEWS.size:
        return None
    if payload[0] == NEWS and len(payload) % 2:
        _, incarnation, sequence = _NEWS.unpack_from(payload)
        words = struct.unpack(f">{len(payload) // 2 - 1}H", payload[_NEWS.size :])
        return News(incarnation, sequence, [(word >> 2, word & 3) for word in words])
    if payload[0] in (BOARD, FAR) and len(payload) % _ENTRY.size == _BOARD.size % _ENTRY.size:
        what, incarnation, sequence, sends = _BOARD.unpack_from(payload)
        entries = [
            (k, b >> 3, b >> 1 & 3, bool(b & 1)) for k, b in _ENTRY.iter_unpack(payload[_BOARD.size :])
        ]
        return Board(incarnation, sequence, sends, entries, what == FAR)
    if payload[0] != REPORT or len(payload) < _REPORT.size:
        return None
    _, incarnation, sequence, span, kinds, buckets, workers = _REPORT.unpack_from(payload)
    middle = _REPORT.size + kinds * _KIND.size
    at = middle + buckets * _BUCKET.size
    if span == 0 or len(payload) != at + workers * _WORKER.size:
        return None
    return Report(
        incarnation,
        sequence,
        span / 1000,
        [
            (tenant, cls, _from_byte(allowed), _from_byte(denied))
            for tenant, cls, allowed, denied in _BUCKET.iter_unpack(payload[middle:at])
        ],
        [(kind, limit / 8) for kind, limit in _KIND.iter_unpack(payload[_REPORT.size : middle])],
        list(_WORKER.iter_unpack(payload[at:])),
    )


def _to_byte(work: float) -> int:
    return 0 if work < _LEAST / 2 else min(255, max(1, 1 + round(math.log(work / _LEAST) / _STEP)))


def _from_byte(count: int) -> float:
    return _LEAST * math.exp(_STEP * (count - 1)) if count else 0.0

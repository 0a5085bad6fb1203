"""Which keys this dispatcher has, or had within the window, and what others say of theirs. Pure.

Times are seconds of one forward-only clock; a name is a hash of class, tenant and key.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from dataclasses import dataclass, field
from typing import TypeAlias

NOT_HERE, HERE, UNKNOWN, KEPT = range(4)  # what a dispatcher says of a key; KEPT: here, and its result too
ASK, ANSWER, FETCH, PART = 0x78, 0x79, 0x7A, 0x7B  # magic and version in one, beside those of `peerwire`
# Of a result that is handed to another dispatcher; larger ones stay.
MAX_PART_BYTES = 240
MAX_PARTS = 16
_ASK = struct.Struct(">BIQ")
_ANSWER = struct.Struct(">BIB")
_FETCH = struct.Struct(">BIQB")
_PART = struct.Struct(">BIBBI")
_RECORD = struct.Struct(">d")  # when the job was taken; its request id follows


def key_name(cls: int, tenant: int, key: str) -> int:
    """Two keys with one name count for each other: a refusal too many in 2^64 pairs."""
    digest = hashlib.blake2b(f"{cls}/{tenant}/{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@dataclass(frozen=True, slots=True)
class KeyQuery:
    query_id: int  # by which its answers are told from those to an older one
    key: int


@dataclass(frozen=True, slots=True)
class KeyAnswer:
    query_id: int
    state: int


@dataclass(frozen=True, slots=True)
class FetchResultPart:
    """Asks who has said KEPT for one part of the result."""

    query_id: int
    key: int
    part: int


@dataclass(frozen=True, slots=True)
class ResultPart:
    query_id: int
    part: int
    part_count: int
    checksum: int  # CRC-32 of the whole result, so that parts of two results are never put together
    data: bytes


Message: TypeAlias = KeyQuery | KeyAnswer | FetchResultPart | ResultPart


def encode(message: Message) -> bytes:
    match message:
        case KeyQuery():
            return _ASK.pack(ASK, message.query_id, message.key)
        case KeyAnswer():
            return _ANSWER.pack(ANSWER, message.query_id, message.state)
        case FetchResultPart():
            return _FETCH.pack(FETCH, message.query_id, message.key, message.part)
        case ResultPart():
            return (
                _PART.pack(PART, message.query_id, message.part, message.part_count, message.checksum)
                + message.data
            )


def decode(payload: bytes) -> Message | None:
    """None for whatever is foreign, truncated or of another version."""
    kind, size = payload[:1], len(payload)
    if kind == bytes([ASK]) and size == _ASK.size:
        return KeyQuery(*_ASK.unpack(payload)[1:])
    if kind == bytes([ANSWER]) and size == _ANSWER.size and payload[-1] <= KEPT:
        return KeyAnswer(*_ANSWER.unpack(payload)[1:])
    if kind == bytes([FETCH]) and size == _FETCH.size and payload[-1] < MAX_PARTS:
        return FetchResultPart(*_FETCH.unpack(payload)[1:])
    if kind == bytes([PART]) and _PART.size <= size <= _PART.size + MAX_PART_BYTES:
        _, number, part, parts, check = _PART.unpack_from(payload)
        whole = part < parts <= MAX_PARTS
        return ResultPart(number, part, parts, check, payload[_PART.size :]) if whole else None
    return None


def result_part(result: bytes, fetch: FetchResultPart) -> ResultPart | None:
    """None for a part that there is not."""
    parts = max(1, -(-len(result) // MAX_PART_BYTES))
    if fetch.part >= parts or parts > MAX_PARTS:
        return None
    start = fetch.part * MAX_PART_BYTES
    return ResultPart(
        fetch.query_id, fetch.part, parts, zlib.crc32(result), result[start : start + MAX_PART_BYTES]
    )


def encode_record(taken_at: float, request: str) -> bytes:
    return _RECORD.pack(taken_at) + request.encode()


def decode_record(data: bytes) -> tuple[float, str]:
    """Raises ValueError for what `record` did not write."""
    if len(data) < _RECORD.size:
        raise ValueError("a record of a key is too short")
    (taken_at,) = _RECORD.unpack_from(data)
    if not abs(taken_at) < 1e12:  # nan too
        raise ValueError("a record of a key has no time")
    return taken_at, data[_RECORD.size :].decode()


def encode_owner(name: str, number: int, unsure_until: float) -> bytes:
    """Says whose journal it is, and until when even that dispatcher does not know all that it had."""
    return _RECORD.pack(unsure_until) + f"{number} {name}".encode()


def uncertain_until(found: bytes | None, name: str, number: int, now: float, window: float) -> float:
    """By the journal's own word. One that is new, another's or damaged tells nothing; the clock may have
    stepped, so that nobody waits for longer than the window.
    """
    if found is None or found[_RECORD.size :] != encode_owner(name, number, 0.0)[_RECORD.size :]:
        return now + window
    (until,) = _RECORD.unpack_from(found)
    return min(until, now + window) if until == until else now + window


@dataclass(slots=True)
class _KeyEntry:
    request: str
    expires_at: float  # forgotten then, unless in hand
    in_progress: bool = True
    result: bytes | None = None


class KeyRegistry:
    """Until `unsure_until` it may not hold all that earlier lives had, and what is not in it is not known."""

    def __init__(self, window_s: float, uncertain_until: float, max_keys: int, max_bytes: int) -> None:
        self.window = window_s
        self.max_keys = max_keys
        self.max_bytes = max_bytes
        self.unsure_until = uncertain_until
        self.results_dropped = 0  # since `limits_hit` was last asked
        self.overflows = 0
        self._keys: dict[int, _KeyEntry] = {}
        self._names: dict[str, int] = {}  # by request
        self._claims: dict[int, float] = {}  # another was about to start it; until when that counts
        self._bytes = 0

    def restore(self, now: float, key: int, taken_at: float, request: str) -> bool:
        """A key of an earlier life, which may have run. False once it is too old to matter. One that seems to
        come from the future is as old as now: the clock has stepped back.
        """
        until = min(taken_at, now) + self.window
        if until <= now:
            return False
        self._keys[key] = _KeyEntry(request, until, in_progress=False)
        self._names[request] = key
        return True

    def state(self, now: float, key: int) -> int:
        """What to say of it."""
        if self._known(now, key) is not None:
            return HERE
        return UNKNOWN if now < self.unsure_until else NOT_HERE

    def claim_for_peer(self, now: float, key: int) -> int:
        """Another is about to start it unless it is here: what to say, with the claim noted first."""
        self._claims[key] = now + self.window
        result = self.result(now, key)
        fits = result is not None and len(result) <= MAX_PARTS * MAX_PART_BYTES
        return KEPT if fits else self.state(now, key)

    def is_claimed(self, now: float, key: int) -> bool:
        return self._claims.get(key, now) > now

    def result(self, now: float, key: int) -> bytes | None:
        found = self._known(now, key)
        return found.result if found else None

    def begin(self, now: float, key: int, request: str) -> None:
        """It is in hand from now on, and was not here: at most it is too old, and not swept yet."""
        if key in self._keys:
            self._drop(key)
        if len(self._keys) >= self.max_keys:
            self.expire(now)
        if len(self._keys) >= self.max_keys:
            # What is forgotten early is not known any more, and said to be so.
            self.overflows += 1
            self.unsure_until = now + self.window
            first = next(iter(self._keys))
            self._drop(next((k for k, held in self._keys.items() if not held.in_progress), first))
        self._keys[key] = _KeyEntry(request, now + self.window)
        self._names[request] = key

    def end(self, now: float, key: int, may_have_run: bool, result: bytes | None) -> None:
        """The request that had it has ended."""
        held = self._keys.get(key)
        if held is None:
            return
        held.in_progress, held.expires_at = False, now + self.window
        if result is not None:
            self._cache_result(held, result)
        elif not may_have_run:
            self._drop(key)

    def record_late_result(self, now: float, request: str, result: bytes) -> bool:
        """A box tells the result of a job that no attempt is open for. Whether a client may still want it."""
        key = self._names.get(request)
        held = None if key is None else self._known(now, key)
        if held is None or held.result is not None:
            return False
        self._cache_result(held, result)
        return held.result is not None

    def take_limit_counts(self) -> tuple[int, int]:
        """Keys forgotten early, and results that found no room, since this was last asked."""
        hit = self.overflows, self.results_dropped
        self.overflows = self.results_dropped = 0
        return hit

    def expire(self, now: float) -> list[int]:
        """Forget what is too old to matter; their names."""
        old = [key for key, held in self._keys.items() if not held.in_progress and held.expires_at <= now]
        for key in old:
            self._drop(key)
        for key in [key for key, until in self._claims.items() if until <= now]:
            del self._claims[key]
        return old

    def __len__(self) -> int:
        return len(self._keys)

    def has_request(self, request: str) -> bool:
        return request in self._names

    def __contains__(self, key: int) -> bool:
        return key in self._keys

    def _known(self, now: float, key: int) -> _KeyEntry | None:
        held = self._keys.get(key)
        return held if held is not None and (held.in_progress or now < held.expires_at) else None

    def _cache_result(self, held: _KeyEntry, result: bytes) -> None:
        if held.result is not None:  # told by a worker while another attempt was out: the first stands
            return
        if self._bytes + len(result) > self.max_bytes:
            self.results_dropped += 1  # it has run, and that stays known
            return
        held.result = result
        self._bytes += len(result)

    def _drop(self, key: int) -> None:
        held = self._keys.pop(key)
        self._bytes -= len(held.result or b"")
        if self._names.get(held.request) == key:
            del self._names[held.request]


# Which word of several counts.
_WEIGHT = {NOT_HERE: 0, UNKNOWN: 1, HERE: 2, KEPT: 3}


@dataclass(slots=True)
class KeyInquiry:
    """A question to all others. Only the no of each of them is a no."""

    peers: frozenset[int]
    answers: dict[int, int] = field(default_factory=dict)

    def record(self, number: int, word: int) -> None:
        """A later word of one dispatcher does not take back that it had the key."""
        if number in self.peers:
            self.answers[number] = max(word, self.answers.get(number, NOT_HERE), key=_WEIGHT.__getitem__)

    @property
    def unanswered(self) -> frozenset[int]:
        return self.peers - self.answers.keys()

    @property
    def decided(self) -> bool:
        return self.verdict in (HERE, KEPT) or not self.unanswered

    @property
    def verdict(self) -> int:
        heaviest = max(self.answers.values(), key=_WEIGHT.__getitem__, default=NOT_HERE)
        return UNKNOWN if heaviest == NOT_HERE and self.unanswered else heaviest

    @property
    def result_holder(self) -> int:
        """Who has said KEPT."""
        return next(number for number, word in self.answers.items() if word == KEPT)


@dataclass(slots=True)
class ResultAssembly:
    """A result on its way here, in parts that may be lost, come twice, or be of another result."""

    parts: dict[int, ResultPart] = field(default_factory=dict)

    def add(self, part: ResultPart) -> None:
        first = next(iter(self.parts.values()), part)
        if (part.checksum, part.part_count) == (first.checksum, first.part_count):
            self.parts[part.part] = part

    @property
    def missing(self) -> list[int]:
        parts = next((part.part_count for part in self.parts.values()), 1)
        return [number for number in range(parts) if number not in self.parts]

    @property
    def result(self) -> bytes | None:
        """None unless it is whole, and what its keeper has."""
        if self.missing:
            return None
        result = b"".join(part.data for _, part in sorted(self.parts.items()))
        return result if zlib.crc32(result) == self.parts[0].checksum else None

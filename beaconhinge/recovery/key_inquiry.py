"""One question about an idempotency key to all other dispatchers, and a result on its way here in parts."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from .key_messages import KeyState, ResultPart

# Which answer of several counts.
_WEIGHT = {KeyState.ABSENT: 0, KeyState.UNKNOWN: 1, KeyState.PRESENT: 2, KeyState.RESULT_CACHED: 3}


@dataclass(slots=True)
class KeyInquiry:
    """A query to all other dispatchers: a key is absent only if each of them says so."""

    peers: frozenset[int]
    answers: dict[int, KeyState] = field(default_factory=dict)

    def record(self, number: int, state: KeyState) -> None:
        """Take in an answer. A later one does not take back that a dispatcher had the key."""
        if number in self.peers:
            self.answers[number] = max(
                state, self.answers.get(number, KeyState.ABSENT), key=_WEIGHT.__getitem__
            )

    @property
    def unanswered(self) -> frozenset[int]:
        """Dispatchers that have not answered yet."""
        return self.peers - self.answers.keys()

    @property
    def decided(self) -> bool:
        """Whether further answers cannot change the verdict, or none is missing."""
        return self.verdict in (KeyState.PRESENT, KeyState.RESULT_CACHED) or not self.unanswered

    @property
    def verdict(self) -> KeyState:
        """The `KeyState` that follows from the answers so far."""
        heaviest = max(self.answers.values(), key=_WEIGHT.__getitem__, default=KeyState.ABSENT)
        return KeyState.UNKNOWN if heaviest == KeyState.ABSENT and self.unanswered else heaviest

    @property
    def result_holder(self) -> int:
        """The dispatcher that has cached the result."""
        return next(number for number, state in self.answers.items() if state == KeyState.RESULT_CACHED)


@dataclass(slots=True)
class ResultAssembly:
    """A result that arrives in parts, which may be lost, come twice, or belong to another result."""

    parts: dict[int, ResultPart] = field(default_factory=dict)

    def add(self, part: ResultPart) -> None:
        """Take in a part, unless it belongs to another result than the first one did."""
        first = next(iter(self.parts.values()), part)
        if (part.checksum, part.part_count) == (first.checksum, first.part_count):
            self.parts[part.part] = part

    @property
    def missing(self) -> list[int]:
        """Numbers of the parts that have not come; 0 alone while none has."""
        parts = next((part.part_count for part in self.parts.values()), 1)
        return [number for number in range(parts) if number not in self.parts]

    @property
    def result(self) -> bytes | None:
        """The result, once it is complete and its checksum right."""
        if self.missing:
            return None
        result = b"".join(part.data for _, part in sorted(self.parts.items()))
        return result if zlib.crc32(result) == self.parts[0].checksum else None

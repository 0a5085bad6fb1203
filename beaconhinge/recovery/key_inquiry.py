"""One query about an idempotency key to all other dispatchers, and the assembly of a result sent in parts."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from .key_messages import KeyState, ResultPart

# The answer with the greatest precedence decides.
_PRECEDENCE = {KeyState.ABSENT: 0, KeyState.UNKNOWN: 1, KeyState.PRESENT: 2, KeyState.RESULT_CACHED: 3}


@dataclass(slots=True)
class KeyInquiry:
    """A query to all other dispatchers; a key is absent only if each of them answers so.

    Attributes:
        peers: Numbers of all other dispatchers.
        answers: The answers received so far, by dispatcher.
    """

    peers: frozenset[int]
    answers: dict[int, KeyState] = field(default_factory=dict)

    def record(self, number: int, state: KeyState) -> None:
        """Record a dispatcher's answer; of several, the one with the greatest precedence counts."""
        if number in self.peers:
            self.answers[number] = max(
                state, self.answers.get(number, KeyState.ABSENT), key=_PRECEDENCE.__getitem__
            )

    @property
    def unanswered(self) -> frozenset[int]:
        """Dispatchers that have not answered yet."""
        return self.peers - self.answers.keys()

    @property
    def decided(self) -> bool:
        """Whether the key is present on some dispatcher, or all dispatchers have answered."""
        return self.verdict in (KeyState.PRESENT, KeyState.RESULT_CACHED) or not self.unanswered

    @property
    def verdict(self) -> KeyState:
        """The key's state by the answers so far; UNKNOWN while a missing answer could change ABSENT."""
        strongest = max(self.answers.values(), key=_PRECEDENCE.__getitem__, default=KeyState.ABSENT)
        return KeyState.UNKNOWN if strongest == KeyState.ABSENT and self.unanswered else strongest

    @property
    def result_holder(self) -> int:
        """Number of the first dispatcher that has answered that it has cached the result.

        Raises:
            StopIteration: None has.
        """
        return next(number for number, state in self.answers.items() if state == KeyState.RESULT_CACHED)


@dataclass(slots=True)
class ResultAssembly:
    """A result that arrives in parts, which may be lost, arrive twice or belong to another result."""

    parts: dict[int, ResultPart] = field(default_factory=dict)

    def add(self, part: ResultPart) -> None:
        """Add a part, unless its result differs from that of the first part."""
        first = next(iter(self.parts.values()), part)
        if (part.checksum, part.part_count) == (first.checksum, first.part_count):
            self.parts[part.part] = part

    @property
    def missing(self) -> list[int]:
        """Numbers of the parts that have not arrived; only 0 as long as none has."""
        parts = next((part.part_count for part in self.parts.values()), 1)
        return [number for number in range(parts) if number not in self.parts]

    @property
    def result(self) -> bytes | None:
        """The result; None while a part is missing or if the checksum does not match."""
        if self.missing:
            return None
        result = b"".join(part.data for _, part in sorted(self.parts.items()))
        return result if zlib.crc32(result) == self.parts[0].checksum else None

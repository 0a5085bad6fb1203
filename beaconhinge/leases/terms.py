"""For how long a lease holds, and by whose votes. Pure."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.01  # by which a clock may run fast or slow against true time; quartz stays within 0.0002
MAX_LEASES = 10_000  # that a member keeps numbers of
LEASE_NAME = re.compile(r"[a-z][a-z0-9-]{0,39}(\.[0-9]{1,3})?")


def lease_key(name: str) -> int:
    """Two leases with one key count as one: they exclude each other, and nothing worse."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The holder counts its span short from before it asked, a member counts it long from after it granted.
    So as long as no clock is off by more than `drift`, a tenure is over before any vote for it is.
    """

    span: float  # seconds
    previous_span: float = 0.0  # the span before the present step, where that was longer
    drift: float = MAX_CLOCK_DRIFT
    spread: float = 0.0  # spans over which many contenders spread their tries

    open_for: float = 0.1  # part of the span that a question may stay open; later answers are to nobody

    @property
    def round_timeout(self) -> float:
        return self.span * self.open_for

    @property
    def holder_span(self) -> float:
        return self.span * (1 - self.drift)

    @property
    def grant_span(self) -> float:
        return self.span * (1 + self.drift)

    @property
    def silence(self) -> float:
        """After it no vote of a life, or a step, before this one can be in force."""
        return max(self.span, self.previous_span) * (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Council:
    """Whose votes count, under a number that each change raises. Anybody may hold by them."""

    number: int
    members: frozenset[int]
    previous_members: frozenset[int] = frozenset()  # the members of the step before, where there was one

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    def is_settled(self, numbers: dict[int, int]) -> bool:
        """Whether the step before is over: a majority of its members, by the numbers heard, has left it."""
        left = sum(numbers.get(member, 0) >= self.number for member in self.previous_members)
        return not self.previous_members or left >= len(self.previous_members) // 2 + 1

    def problem(self) -> str | None:
        """Why two majorities could exist, or none."""
        if not self.members:
            return "members: at least one is needed"
        if self.previous_members and len(self.members ^ self.previous_members) > 1:
            return "members: more than one differs from members_before; go there one at a time"
        return None

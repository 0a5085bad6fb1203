"""For how long a lease holds, and by whose votes. Pure."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.01  # by which a clock may run fast or slow against true time; quartz stays within 0.0002
MAX_LEASES = 10_000  # that a member keeps numbers of
LEASE_NAME = re.compile(r"[a-z][a-z0-9-]{0,39}(\.[0-9]{1,3})?")


def lease_key(name: str) -> int:
    """A lease's name in messages; two leases with one key exclude each other, and nothing worse."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """For how long a lease holds.

    The holder counts its span short from before it asked, a member counts it long from after it granted. So
    as long as no clock is off by more than `drift`, a tenure is over before any vote for it is.

    Attributes:
        span: Seconds for which a lease is granted.
        previous_span: The span of the council before, where that was longer.
        spread: Spans over which many contenders spread their requests.
        open_for: Part of the span for which a request stays open.
    """

    span: float  # seconds
    previous_span: float = 0.0  # the span before the present step, where that was longer
    drift: float = MAX_CLOCK_DRIFT
    spread: float = 0.0  # spans over which many contenders spread their tries

    open_for: float = 0.1  # part of the span that a question may stay open; later answers are to nobody

    @property
    def round_timeout(self) -> float:
        """Seconds for which a request stays open; later answers are to nobody."""
        return self.span * self.open_for

    @property
    def holder_span(self) -> float:
        """Seconds that a holder counts from its request."""
        return self.span * (1 - self.drift)

    @property
    def grant_span(self) -> float:
        """Seconds that a member counts from its grant."""
        return self.span * (1 + self.drift)

    @property
    def silence(self) -> float:
        """Seconds after which no vote of an earlier incarnation, or council, can be in force."""
        return max(self.span, self.previous_span) * (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Council:
    """The members whose votes count, under a number that each change raises; anybody may hold by them.

    Attributes:
        previous_members: The members of the council before, where there was one.
    """

    number: int
    members: frozenset[int]
    previous_members: frozenset[int] = frozenset()  # the members of the step before, where there was one

    @property
    def majority(self) -> int:
        """Votes that grant a lease."""
        return len(self.members) // 2 + 1

    def is_settled(self, numbers: dict[int, int]) -> bool:
        """Whether a majority of the previous members has left the council before, by the numbers heard."""
        left = sum(numbers.get(member, 0) >= self.number for member in self.previous_members)
        return not self.previous_members or left >= len(self.previous_members) // 2 + 1

    def problem(self) -> str | None:
        """Why two majorities could exist, or None."""
        if not self.members:
            return "members: at least one is needed"
        if self.previous_members and len(self.members ^ self.previous_members) > 1:
            return "members: more than one differs from members_before; go there one at a time"
        return None

"""The time limits of leases, and the councils whose votes grant them. Pure."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.01  # share by which a clock may run fast or slow; quartz clocks stay within 0.0002
MAX_LEASES = 10_000  # leases whose highest number a member keeps; it denies requests for further ones
LEASE_NAME = re.compile(r"[a-z][a-z0-9-]{0,39}(\.[0-9]{1,3})?")


def lease_key(name: str) -> int:
    """Return the 64-bit hash that names a lease in messages.

    Two leases with the same key exclude each other; a collision has no other effect.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The time limits of a lease.

    The holder counts a shortened span from before it sent its request; a member counts a lengthened one from
    after its grant. So while no clock drifts by more than `drift`, a tenure ends before the votes for it do.

    Attributes:
        span: Seconds for which a lease is granted.
        previous_span: The span in seconds of the previous council, where that was longer.
        drift: Share by which a clock may run fast or slow against true time.
        spread: Spans over which many contenders spread their requests.
        open_for: Share of the span for which a request stays open; later answers are ignored.
    """

    span: float
    previous_span: float = 0.0
    drift: float = MAX_CLOCK_DRIFT
    spread: float = 0.0

    open_for: float = 0.1

    @property
    def round_timeout(self) -> float:
        """Seconds for which a request stays open; later answers are ignored."""
        return self.span * self.open_for

    @property
    def holder_span(self) -> float:
        """Seconds from its first request, by its own clock, for which a holder counts on a grant."""
        return self.span * (1 - self.drift)

    @property
    def grant_span(self) -> float:
        """Seconds from its grant, by its own clock, for which a member's vote is in force."""
        return self.span * (1 + self.drift)

    @property
    def silence(self) -> float:
        """Seconds after which no vote of an earlier incarnation or an earlier council can be in force."""
        return max(self.span, self.previous_span) * (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Council:
    """The dispatchers whose votes grant leases; any dispatcher may hold one.

    Attributes:
        number: Raised by each change of the members or the span.
        members: Numbers of the voting dispatchers.
        previous_members: The members of the previous council; empty if there was none.
    """

    number: int
    members: frozenset[int]
    previous_members: frozenset[int] = frozenset()

    @property
    def majority(self) -> int:
        """The number of votes that grant a lease."""
        return len(self.members) // 2 + 1

    def is_settled(self, numbers: dict[int, int]) -> bool:
        """Return whether a majority of the previous members has left the previous council.

        Args:
            numbers: The council number that each member last reported.
        """
        left = sum(numbers.get(member, 0) >= self.number for member in self.previous_members)
        return not self.previous_members or left >= len(self.previous_members) // 2 + 1

    def problem(self) -> str | None:
        """Return why two disjoint majorities could exist, or None if they cannot."""
        if not self.members:
            return "members: at least one is needed"
        if self.previous_members and len(self.members ^ self.previous_members) > 1:
            return "members: more than one differs from members_before; go there one at a time"
        return None

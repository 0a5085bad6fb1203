"""How a large fleet is divided into groups, and what an aggregator knows of the other groups."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from . import codec

INF = float("inf")

# Dispatchers that hear each other directly at least, where there are as many.
MIN_GROUP_SIZE = 40
# Without an aggregate for so long another dispatcher becomes the aggregator.
AGGREGATOR_TIMEOUT_S = 0.5


class GroupLayout:
    """Which dispatcher is in which group, the same at every dispatcher."""

    def __init__(self, fleet_size: int) -> None:
        self.group_count = max(1, fleet_size // MIN_GROUP_SIZE)
        self._group_of = [number * self.group_count // fleet_size for number in range(fleet_size)]

    def group_of(self, number: int) -> int:
        """The group of a dispatcher."""
        return self._group_of[number]

    def members(self, group: int) -> list[int]:
        """The dispatchers of a group, in ascending order."""
        return [number for number, own in enumerate(self._group_of) if own == group]


@dataclass(slots=True)
class RemoteGroup:
    """Another group of the fleet, as its aggregator describes it to the own one.

    Attributes:
        members: Its dispatchers, in ascending order.
        heard_at: When its last aggregate came.
        in_flight: Slots that the group has in flight, by key of a worker.
    """

    members: list[int]
    aggregator: int = -1
    incarnation: int = -1
    sequence: int = 0
    heard_at: float = -INF
    in_flight: Counter[int] = field(default_factory=Counter)
    _contacted: int = 0  # members addressed in turn, until the aggregator among them is known

    def receive(self, now: float, number: int, aggregate: codec.AggregateMessage) -> bool:
        """Take in an aggregate of dispatcher `number`.

        Returns:
            False if it is an old one, or of an aggregator that will give way.
        """
        if (number, aggregate.incarnation) != (self.aggregator, self.incarnation):
            if self.aggregator < number and now - self.heard_at <= AGGREGATOR_TIMEOUT_S:
                return False
            self.aggregator, self.incarnation = number, aggregate.incarnation
            self.sequence = aggregate.sequence - 1
            self.in_flight = Counter()
        if not 0 < (aggregate.sequence - self.sequence) & codec.SEQUENCE_MASK <= codec.SEQUENCE_MASK // 2:
            return False
        self.sequence, self.heard_at = aggregate.sequence, now
        for key, slots, _, _ in aggregate.entries:
            self.in_flight[key] = slots
        return True

    def contact(self, now: float) -> int:
        """Where the own aggregate is sent: to the aggregator or, while unknown, to each member in turn."""
        if now - self.heard_at <= AGGREGATOR_TIMEOUT_S:
            self._contacted = 0
            return self.aggregator
        self._contacted += 1
        return self.members[(self._contacted - 1) % len(self.members)]

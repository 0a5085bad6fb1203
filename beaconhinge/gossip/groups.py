"""The division of a large fleet into groups, and the state that an aggregator holds of the other groups."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from . import codec

INF = float("inf")

# The smallest number of dispatchers in a group when a fleet is divided.
MIN_GROUP_SIZE = 40
# When no aggregate has arrived for this time, another dispatcher becomes the aggregator.
AGGREGATOR_TIMEOUT_S = 0.5


class GroupLayout:
    """Assigns dispatchers to groups, with the same result at every dispatcher."""

    def __init__(self, fleet_size: int) -> None:
        self.group_count = max(1, fleet_size // MIN_GROUP_SIZE)
        self._group_of = [number * self.group_count // fleet_size for number in range(fleet_size)]

    def group_of(self, number: int) -> int:
        """Return the group of a dispatcher."""
        return self._group_of[number]

    def members(self, group: int) -> list[int]:
        """Return the numbers of the dispatchers of a group, in ascending order."""
        return [number for number, assigned in enumerate(self._group_of) if assigned == group]


@dataclass(slots=True)
class RemoteGroup:
    """Another group of the fleet, as its aggregator reports it to the aggregator of the own group.

    Attributes:
        members: The numbers of its dispatchers, in ascending order.
        aggregator: The number of its aggregator; -1 if none is known.
        incarnation: The incarnation of that aggregator's process.
        sequence: The sequence number of its last aggregate.
        heard_at: When its last aggregate was received.
        in_flight: Slots that the group has in flight, by worker key.
    """

    members: list[int]
    aggregator: int = -1
    incarnation: int = -1
    sequence: int = 0
    heard_at: float = -INF
    in_flight: Counter[int] = field(default_factory=Counter)
    _contacted: int = 0  # how many members were addressed in turn while the aggregator was unknown

    def receive(self, now: float, number: int, aggregate: codec.AggregateMessage) -> bool:
        """Apply an aggregate from dispatcher `number`.

        Returns:
            False if the aggregate is ignored, as it is old or from an aggregator that will give way.
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
        """Return the member to which the own aggregate is sent.

        This is the group's aggregator or, while that is unknown, each member in turn.
        """
        if now - self.heard_at <= AGGREGATOR_TIMEOUT_S:
            self._contacted = 0
            return self.aggregator
        self._contacted += 1
        return self.members[(self._contacted - 1) % len(self.members)]

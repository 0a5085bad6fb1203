"""Slots in flight by worker, summed over dispatchers: what an aggregator collects and sends to its group."""

from __future__ import annotations

from collections import Counter

from . import codec

# Unchanged entries that are sent again with each aggregate, in turn: they correct what was lost.
REPEATED_ENTRIES = 4


class InFlightTable:
    """What an aggregator has heard, until it is sent to the group.

    Attributes:
        out: Slots in flight of all dispatchers, by key of a worker.
        sends: Attempts sent since the last aggregate.
        told: Keys that were sent, those sent longest ago first.
    """

    def __init__(self) -> None:
        self.slots: Counter[int] = Counter()
        self.sends = 0
        self.sent_keys: dict[int, None] = {}
        self.failures: Counter[int] = Counter()
        self._served: set[int] = set()
        self._changed: dict[int, None] = {}  # keys in the order of their first change

    def adjust(self, key: int, by: int) -> None:
        """Change the slots in flight on a worker."""
        if by:
            self.slots[key] += by
            self._changed[key] = None

    def record(self, key: int, what: int) -> None:
        """Count a delta of a worker for the next aggregate."""
        self._changed[key] = None
        self.sends += what == codec.DeltaKind.SENT
        if what == codec.DeltaKind.FAILED:
            self.failures[key] += 1
        elif what == codec.DeltaKind.SERVED:
            self._served.add(key)

    def next_aggregate(self, incarnation: int, sequence: int) -> codec.AggregateMessage:
        """What has changed since the last aggregate, as far as it fits, and a few entries that have not."""
        changed = list(self._changed)[: codec.MAX_AGGREGATE_ENTRIES - REPEATED_ENTRIES]
        for key in changed:
            del self._changed[key]
            self.sent_keys.pop(key, None)
        repeated = list(self.sent_keys)[:REPEATED_ENTRIES]
        for key in repeated:
            del self.sent_keys[key]
        entries = [self._entry(key) for key in changed + repeated]
        sends, self.sends = self.sends, 0
        return codec.AggregateMessage(incarnation, sequence, sends, entries)

    def _entry(self, key: int) -> codec.WorkerLoad:
        self.sent_keys[key] = None
        entry = codec.WorkerLoad(key, self.slots[key], self.failures.pop(key, 0), key in self._served)
        self._served.discard(key)
        return entry

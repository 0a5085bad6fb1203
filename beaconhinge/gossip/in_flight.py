"""Slots in flight by worker, summed over dispatchers, which an aggregator collects and sends to its group."""

from __future__ import annotations

from collections import Counter

from . import codec

# The number of unchanged entries that each aggregate repeats, in turn, to correct lost datagrams.
REPEATED_ENTRIES = 4


class InFlightTable:
    """Slots in flight and outcomes by worker, collected from deltas and reports for the next aggregate.

    Attributes:
        slots: Slots that all dispatchers of the group have in flight, by worker key.
        sends: Attempts sent since the last aggregate.
        sent_keys: Worker keys that were sent, those sent longest ago first.
        failures: Failures of workers since they were last sent, by worker key.
    """

    def __init__(self) -> None:
        self.slots: Counter[int] = Counter()
        self.sends = 0
        self.sent_keys: dict[int, None] = {}
        self.failures: Counter[int] = Counter()
        self._served: set[int] = set()
        self._changed: dict[int, None] = {}  # worker keys in the order of their first change

    def adjust(self, key: int, change: int) -> None:
        """Add `change` to the slots in flight on a worker."""
        if change:
            self.slots[key] += change
            self._changed[key] = None

    def record(self, key: int, kind: int) -> None:
        """Count a delta of this kind (a `DeltaKind`) on a worker for the next aggregate."""
        self._changed[key] = None
        self.sends += kind == codec.DeltaKind.SENT
        if kind == codec.DeltaKind.FAILED:
            self.failures[key] += 1
        elif kind == codec.DeltaKind.SERVED:
            self._served.add(key)

    def next_aggregate(self, incarnation: int, sequence: int) -> codec.AggregateMessage:
        """Return the next aggregate: changed entries, as far as they fit, and a few unchanged ones.

        The returned changes, sends and failures count as sent, and are not returned again.
        """
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

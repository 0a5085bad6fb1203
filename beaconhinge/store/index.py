"""The location of each present key: a hash table, and a sorted list of the keys from the first scan on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from sortedcontainers import SortedList

from .options import KEY_OVERHEAD_BYTES

# A location is one integer, since a tuple would take three times the memory: segment number, offset in the
# segment, size of the frame in bytes.
_MASK = (1 << 32) - 1


def pack_location(segment: int, offset: int, size: int) -> int:
    """Return the location of a frame of `size` bytes."""
    return segment << 64 | offset << 32 | size


def unpack_location(location: int) -> tuple[int, int, int]:
    """Return the segment number, the offset and the size of a location."""
    return location >> 64, location >> 32 & _MASK, location & _MASK


class Index:
    """Maps keys to locations, and counts the live bytes of each segment.

    Attributes:
        locations: location of each present key.
        live: bytes of the frames of present values, by segment number.
        key_bytes: length of all present keys together.
    """

    def __init__(self) -> None:
        self.locations: dict[bytes, int] = {}
        self.live: defaultdict[int, int] = defaultdict(int)
        self.key_bytes = 0
        self._order: SortedList | None = None

    def __len__(self) -> int:
        return len(self.locations)

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the index, in bytes."""
        return self.key_bytes + KEY_OVERHEAD_BYTES * len(self.locations)

    def put(self, key: bytes, location: int) -> None:
        """Set the location of a key's value."""
        locations, live = self.locations, self.live
        old = locations.get(key)
        locations[key] = location
        live[location >> 64] += location & _MASK
        if old is not None:
            live[old >> 64] -= old & _MASK
            return
        self.key_bytes += len(key)
        if self._order is not None:
            self._order.add(key)

    def delete(self, key: bytes) -> None:
        """Remove a key if it is present."""
        old = self.locations.pop(key, None)
        if old is None:
            return
        self.live[old >> 64] -= old & _MASK
        self.key_bytes -= len(key)
        if self._order is not None:
            self._order.remove(key)

    def scan(self, prefix: bytes) -> Iterator[bytes]:
        """Yield the present keys with the prefix, in byte order, including changes made during the scan."""
        if self._order is None:
            self._order = SortedList(self.locations)
        key: bytes | None = None
        while True:
            # The position is looked up for each key, since commits during the scan shift the list's items.
            position = self._order.bisect_left(prefix) if key is None else self._order.bisect_right(key)
            if position >= len(self._order):
                return
            key = self._order[position]
            if not key.startswith(prefix):
                return
            yield key

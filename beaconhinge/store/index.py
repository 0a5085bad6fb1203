"""Where each present key lies: a hash table, with an order that is kept from the first ordered scan on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from sortedcontainers import SortedList

from .options import KEY_BYTES

# A place is one whole number, since a tuple would take three times the memory: segment, offset, bytes of the
# frame.
_MASK = (1 << 32) - 1


def place(segment: int, offset: int, size: int) -> int:
    return segment << 64 | offset << 32 | size


def parts(where: int) -> tuple[int, int, int]:
    return where >> 64, where >> 32 & _MASK, where & _MASK


class Index:
    """Keys and places, and how many bytes of each segment are still wanted."""

    def __init__(self) -> None:
        self.places: dict[bytes, int] = {}
        self.live: defaultdict[int, int] = defaultdict(int)  # bytes of frames of present values
        self.key_bytes = 0
        self._order: SortedList | None = None

    def __len__(self) -> int:
        return len(self.places)

    @property
    def memory(self) -> int:
        """An estimate, in bytes."""
        return self.key_bytes + KEY_BYTES * len(self.places)

    def put(self, key: bytes, where: int) -> None:
        places, live = self.places, self.live
        old = places.get(key)
        places[key] = where
        live[where >> 64] += where & _MASK
        if old is not None:
            live[old >> 64] -= old & _MASK
            return
        self.key_bytes += len(key)
        if self._order is not None:
            self._order.add(key)

    def delete(self, key: bytes) -> None:
        old = self.places.pop(key, None)
        if old is None:
            return
        self.live[old >> 64] -= old & _MASK
        self.key_bytes -= len(key)
        if self._order is not None:
            self._order.remove(key)

    def scan(self, prefix: bytes) -> Iterator[bytes]:
        """Present keys with the prefix, in order of their bytes, as they are while the scan goes on."""
        if self._order is None:
            self._order = SortedList(self.places)
        key: bytes | None = None
        while True:
            # Found again for each: what is committed meanwhile moves places within the list.
            at = self._order.bisect_left(prefix) if key is None else self._order.bisect_right(key)
            if at >= len(self._order):
                return
            key = self._order[at]
            if not key.startswith(prefix):
                return
            yield key

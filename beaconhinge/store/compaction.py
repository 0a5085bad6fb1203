"""Which segment is cleaned next, and how fast. Decides, and does no I/O.

Cleaning moves what is still wanted of the chosen segment to the log's end, in ordinary batches, and then
drops the whole file. So there is never more than one segment's live bytes of extra space in use, and at no
moment does a change of the manifest decide more than that one file is no longer needed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

HASTE = 16.0


@dataclass(slots=True, frozen=True)
class Sealed:
    """A segment as the choice sees it. Bytes of frames: of present values, of deletions, and of the whole
    file.
    """

    number: int
    size: int
    live: int
    deletions: int


def choose(sealed: Sequence[Sealed], dead_share: float) -> int | None:
    """The number of the segment to clean, or None while none is worth it. `sealed` is oldest first.

    A deletion must stay as long as an older segment may hold its key, so that it is dead in the oldest one
    alone. Where deletions that are kept fill the share in a segment, it is cleaned once it is the oldest;
    until then the oldest one is cleaned, which brings it there.
    """
    best: tuple[float, int] | None = None
    pinned = total = 0
    for i, segment in enumerate(sealed):
        kept = segment.deletions if i else 0
        pinned += kept
        total += segment.size
        share = 1 - (segment.live + kept) / max(segment.size, 1)
        if share >= dead_share and (best is None or share > best[0]):
            best = share, segment.number
    if best is not None:
        return best[1]
    return sealed[0].number if sealed and total and pinned / total >= dead_share else None


def haste(used: int, most: int) -> float:
    """How many times the usual pace to clean at: 1 up to half of the room, HASTE where none is left."""
    return 1 + (HASTE - 1) * min(max(2 * used / most - 1, 0.0), 1.0)


class Pace:
    """Spreads the reading of old segments over time: `wait` says how long to pause after so many bytes."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def wait(self, now: float, count: int, times: float = 1.0) -> float:
        """Seconds from `now` to the next step, at so many times the usual pace."""
        self._free_at = max(self._free_at, now) + count / (self.bytes_per_s * times)
        return self._free_at - now

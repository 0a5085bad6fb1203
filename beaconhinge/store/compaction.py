"""Chooses the segment to clean next and the speed of cleaning. Does no I/O.

Cleaning copies the live records of the chosen segment to the end of the log, in ordinary batches, and then
deletes the whole file. The extra disk space in use is therefore never more than one segment's live bytes, and
each change of the manifest only records that one file is no longer needed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_SPEEDUP = 16.0  # cleaning rate with no room left, as a multiple of the usual rate


@dataclass(slots=True, frozen=True)
class SegmentUsage:
    """How the bytes of a sealed segment are used, in bytes of frames.

    Attributes:
        size: all frames.
        live: frames of values that are present.
        deletions: frames that delete a key.
    """

    number: int
    size: int
    live: int
    deletions: int


def choose_segment(sealed: Sequence[SegmentUsage], dead_share: float) -> int | None:
    """Return the number of the segment to clean, or None while none has a dead share of `dead_share` or more.

    `sealed` is oldest first. A deletion must be kept while an older segment may hold its key, so deletions
    are dead in the oldest segment only. When the deletions that must be kept make up `dead_share` of all
    bytes, the oldest segment is cleaned: their segments then become the oldest and can be cleaned in turn.
    """
    best: tuple[float, int] | None = None
    total_kept_deletions = total_size = 0
    for i, segment in enumerate(sealed):
        kept_deletions = segment.deletions if i else 0
        total_kept_deletions += kept_deletions
        total_size += segment.size
        segment_dead_share = 1 - (segment.live + kept_deletions) / max(segment.size, 1)
        if segment_dead_share >= dead_share and (best is None or segment_dead_share > best[0]):
            best = segment_dead_share, segment.number
    if best is not None:
        return best[1]
    return (
        sealed[0].number
        if sealed and total_size and total_kept_deletions / total_size >= dead_share
        else None
    )


def cleaning_speedup(used: int, max_bytes: int) -> float:
    """Return the factor on the usual cleaning rate: 1 up to half of `max_bytes`, MAX_SPEEDUP at all of it."""
    return 1 + (MAX_SPEEDUP - 1) * min(max(2 * used / max_bytes - 1, 0.0), 1.0)


class RateLimiter:
    """Limits the rate at which cleaning reads old segments. Time without reads earns no credit."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def wait(self, now: float, count: int, speedup: float = 1.0) -> float:
        """Return the seconds to pause from `now` on after reading `count` bytes.

        `speedup` is the factor on the usual rate.
        """
        self._free_at = max(self._free_at, now) + count / (self.bytes_per_s * speedup)
        return self._free_at - now

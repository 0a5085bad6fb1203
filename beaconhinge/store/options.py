"""Limits of the store, by name, with their defaults. `[store]` in the TOML file has the same keys."""

from __future__ import annotations

import msgspec

from .codec import FRAME_BYTES, HEADER_BYTES, MAX_KEY, MAX_SEGMENT

KEY_BYTES = 170  # memory that a present key takes beside its own bytes, measured by benchmarks/store.py


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    max_key_bytes: int = 1024
    max_value_bytes: int = 1024 * 1024
    max_batch_bytes: int = 8 * 1024 * 1024
    segment_bytes: int = 32 * 1024 * 1024
    max_disk_bytes: int = 4 * 1024 * 1024 * 1024
    max_index_bytes: int = 512 * 1024 * 1024
    group_bytes: int = 4 * 1024 * 1024  # of commits that share one write
    compact_dead_share: float = 0.5  # of a sealed segment, from which on it is worth cleaning
    compact_bytes_per_s: int = 4 * 1024 * 1024  # read from old segments while cleaning, with room to spare
    compact_step_bytes: int = 16 * 1024  # live bytes moved in one group, between two of the commits

    def problem(self) -> tuple[str, str] | None:
        """The first key that makes no sense, and why."""
        for name in Options.__struct_fields__:  # a table of configuration has more
            if not getattr(self, name) > 0:
                return name, "must be more than 0"
        if self.max_key_bytes > MAX_KEY:
            return "max_key_bytes", f"must be {MAX_KEY} at most"
        frame = FRAME_BYTES + self.max_key_bytes + self.max_value_bytes
        if self.max_batch_bytes < frame:
            return "max_batch_bytes", f"must be {frame} or more, to hold the largest key and value"
        if self.segment_bytes < HEADER_BYTES + FRAME_BYTES:
            return "segment_bytes", f"must be {HEADER_BYTES + FRAME_BYTES} or more"
        if self.segment_bytes + self.max_batch_bytes + self.group_bytes > MAX_SEGMENT:
            return "segment_bytes", f"with max_batch_bytes and group_bytes it must be {MAX_SEGMENT} at most"
        if self.compact_dead_share > 1:
            return "compact_dead_share", "must be 1 at most"
        return None

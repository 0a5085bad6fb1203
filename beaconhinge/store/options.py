"""The store's options, with their defaults. Table `[store]` of the TOML file has the same keys."""

from __future__ import annotations

import msgspec

from .codec import FRAME_BYTES, HEADER_BYTES, MAX_KEY, MAX_SEGMENT

KEY_OVERHEAD_BYTES = 170  # memory that a present key takes besides its own bytes; see benchmarks/store.py


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and cleaning parameters of a store.

    Attributes:
        segment_bytes: size from which on a segment is sealed and the next one begun.
        group_bytes: largest size of the commits that share one write.
        compact_dead_share: dead share of a sealed segment from which on it is worth cleaning.
        compact_bytes_per_s: rate at which cleaning reads old segments while there is room to spare.
        compact_step_bytes: live bytes that cleaning moves in one group, between two groups of commits.
    """

    max_key_bytes: int = 1024
    max_value_bytes: int = 1024 * 1024
    max_batch_bytes: int = 8 * 1024 * 1024
    segment_bytes: int = 32 * 1024 * 1024
    max_disk_bytes: int = 4 * 1024 * 1024 * 1024
    max_index_bytes: int = 512 * 1024 * 1024
    group_bytes: int = 4 * 1024 * 1024
    compact_dead_share: float = 0.5
    compact_bytes_per_s: int = 4 * 1024 * 1024
    compact_step_bytes: int = 16 * 1024

    def problem(self) -> tuple[str, str] | None:
        """Return the first invalid option and what is wrong with it, or None."""
        for name in Options.__struct_fields__:  # a subclass for the configuration file has more fields
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

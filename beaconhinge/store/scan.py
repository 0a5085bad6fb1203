"""Parses a segment's bytes into whole batches, and distinguishes a torn tail from damage. Does no I/O.

Groups of batches are written one at a time and synced before the next one begins, so a power cut may leave
any part of the last group. Each frame carries the offset where its group begins, and all bytes before that
offset were durable when the frame was written. Where the first invalid frame is found, there are two cases:

- No valid frame after it proves that its bytes were durable: the rest is a torn tail, whose commits were
  never acknowledged.
- A later frame proves it: the bytes were acknowledged and have changed since. That is damage in any segment.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .codec import FRAME_PATTERN, FRAME_PATTERN_OFFSET, HEADER_BYTES, Frame, decode_frame
from .errors import StoreCorrupt


@dataclass(slots=True)
class Scan:
    """The content of one segment, without the values.

    Attributes:
        frames: frames of all whole batches, with empty values.
        end: offset where the last whole batch ends.
        torn: bytes after that.
        last_batch: number of the last whole batch.
    """

    frames: list[Frame] = field(default_factory=list)
    end: int = HEADER_BYTES
    torn: int = 0
    last_batch: int = 0


def frames(data: bytes, salt: int, start: int = HEADER_BYTES) -> Iterator[Frame]:
    """Yield consecutive valid frames from `start` on, up to the first offset without one."""
    offset = start
    while (frame := decode_frame(data, offset, salt)) is not None:
        yield frame
        offset += frame.size


def find_frame(data: bytes, salt: int, start: int) -> Frame | None:
    """Return the first valid frame that begins at `start` or at any later byte, or None. Raises nothing.

    A false match takes a checksum collision: one in 2^32 for each offset that matches FRAME_PATTERN.
    """
    for match in FRAME_PATTERN.finditer(data, start + FRAME_PATTERN_OFFSET):
        frame = decode_frame(data, match.start() - FRAME_PATTERN_OFFSET, salt)
        if frame is not None:
            return frame
    return None


def read(file: str, data: bytes, salt: int, newest: bool, after_batch: int) -> Scan:
    """Parse a whole segment, header included, whose batch numbers are above `after_batch`.

    `file` is the name for errors. A torn tail is accepted in the newest segment only. Raises StoreCorrupt for
    all other damage.
    """
    result = Scan(last_batch=after_batch)
    batch_frames: list[Frame] = []  # frames of a batch that has not ended yet
    offset = HEADER_BYTES
    for frame in frames(data, salt):
        if frame.first != (not batch_frames) or frame.batch != (
            batch_frames[0].batch if batch_frames else frame.batch
        ):
            raise StoreCorrupt(
                file, frame.offset, f"batch {frame.batch} begins within another batch or has no beginning"
            )
        if frame.first and frame.batch <= result.last_batch:
            raise StoreCorrupt(file, frame.offset, f"batch {frame.batch} follows batch {result.last_batch}")
        if frame.group > frame.offset:
            raise StoreCorrupt(file, frame.offset, "the frame's group begins after the frame")
        frame.value = b""  # keeping the values would triple the memory that a start with a full segment takes
        batch_frames.append(frame)
        offset = frame.offset + frame.size
        if frame.last:
            result.frames += batch_frames
            result.end, result.last_batch, batch_frames = offset, frame.batch, []
    result.torn = len(data) - result.end
    if result.torn == 0:
        return result
    if not newest:
        raise StoreCorrupt(file, offset, "no whole batch begins here, in a sealed segment")
    proof = _find_durability_proof(data, salt, offset, result.end)
    if proof is not None:
        raise StoreCorrupt(
            file,
            offset,
            f"no valid frame begins here, but the frame at byte {proof.offset} "
            f"was written when all bytes before byte {proof.group} were durable",
        )
    return result


def _find_durability_proof(data: bytes, salt: int, offset: int, end: int) -> Frame | None:
    """Return a frame after `offset` whose group offset proves the bytes at `end` durable, or None."""
    position = offset
    while (frame := find_frame(data, salt, position)) is not None:
        if frame.group > end:
            return frame
        position = frame.offset + frame.size
    return None

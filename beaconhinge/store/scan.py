"""What a segment's bytes mean: whole batches, a torn tail, or damage. Decides, and does no I/O.

A cut leaves any part of the last group of batches, since groups are written one at a time and synced before
the next one begins. So each frame carries the place where its group begins, and all before that place was
durable when the frame was written. From the first frame that is not valid, two things can follow:

- no valid frame further on says that this place was durable: the rest is a torn tail, of which nobody was
  told;
- one does: what stands here was acknowledged and has changed since. That is damage, wherever it lies.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .codec import FRAME_PATTERN, FRAME_PATTERN_OFFSET, HEADER_BYTES, Frame, decode_frame
from .errors import StoreCorrupt


@dataclass(slots=True)
class Scan:
    """What one segment holds, without the values.

    `end` is where its last whole batch ends, `torn` counts the bytes after that.
    """

    frames: list[Frame] = field(default_factory=list)
    end: int = HEADER_BYTES
    torn: int = 0
    last_batch: int = 0


def frames(data: bytes, salt: int, start: int = HEADER_BYTES) -> Iterator[Frame]:
    """Valid frames one after the other, up to the first place where none stands."""
    offset = start
    while (frame := decode_frame(data, offset, salt)) is not None:
        yield frame
        offset += frame.size


def find_frame(data: bytes, salt: int, start: int) -> Frame | None:
    """The first valid frame at or after `start`, at any offset.

    Raises nothing. A chance match takes a checksum collision, one in 2^32 for each offset that looks
    plausible.
    """
    for likely in FRAME_PATTERN.finditer(data, start + FRAME_PATTERN_OFFSET):
        frame = decode_frame(data, likely.start() - FRAME_PATTERN_OFFSET, salt)
        if frame is not None:
            return frame
    return None


def read(file: str, data: bytes, salt: int, newest: bool, after_batch: int) -> Scan:
    """Read a whole segment, header included, whose batches follow `after_batch`.

    A torn tail is taken for one in the newest segment alone. Raises StoreCorrupt for all other damage.
    """
    result = Scan(last_batch=after_batch)
    held: list[Frame] = []  # of a batch whose end has not come
    offset = HEADER_BYTES
    for frame in frames(data, salt):
        if frame.first != (not held) or frame.batch != (held[0].batch if held else frame.batch):
            raise StoreCorrupt(
                file, frame.offset, f"batch {frame.batch} begins within another or has no beginning"
            )
        if frame.first and frame.batch <= result.last_batch:
            raise StoreCorrupt(file, frame.offset, f"batch {frame.batch} after batch {result.last_batch}")
        if frame.group > frame.offset:
            raise StoreCorrupt(file, frame.offset, "its group begins after it")
        frame.value = b""  # a start with a full segment once took three times the memory for these
        held.append(frame)
        offset = frame.offset + frame.size
        if frame.last:
            result.frames += held
            result.end, result.last_batch, held = offset, frame.batch, []
    result.torn = len(data) - result.end
    if result.torn == 0:
        return result
    if not newest:
        raise StoreCorrupt(file, offset, "no whole batch stands here, in a segment that was sealed")
    later = _claims(data, salt, offset, result.end)
    if later is not None:
        raise StoreCorrupt(
            file,
            offset,
            f"no valid frame stands here, but the one at byte {later.offset} "
            f"was written when all before byte {later.group} was durable",
        )
    return result


def _claims(data: bytes, salt: int, offset: int, end: int) -> Frame | None:
    """A later frame by whose word the bytes at `end` were durable."""
    at = offset
    while (frame := find_frame(data, salt, at)) is not None:
        if frame.group > end:
            return frame
        at = frame.offset + frame.size
    return None

"""Checks a store on disk without opening it, and salvages a damaged one into a new folder."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from . import codec, scan
from .codec import HEADER_BYTES, MANIFEST, PUT, Change, Delete, Frame, Manifest, Put
from .disk import Disk, file_size, read_whole
from .engine import Engine
from .errors import StoreCorrupt, StoreError, StoreVersion
from .options import Options

Progress = Callable[[int, int], None]  # bytes done, bytes in all


def _no_progress(done: int, total: int) -> None:
    """Ignore the progress: the default where a caller shows none."""


@dataclass(slots=True, frozen=True)
class Damage:
    """A range of bytes in a store's file that cannot be trusted.

    Attributes:
        offset: first byte of the range.
        size: bytes in the range; 0 where it is not known.
    """

    file: str
    offset: int
    size: int
    reason: str


@dataclass(slots=True)
class Verified:
    """The result of reading a store's files from the first to the last byte.

    Attributes:
        segments: number of segments.
        frames: number of frames in whole batches.
        size: bytes of all segments together.
        torn: bytes of a torn tail, which the next open cuts off.
        indexes_unusable: number of index files that cannot be used.
    """

    segments: int = 0
    frames: int = 0
    size: int = 0
    torn: int = 0
    indexes_unusable: int = 0
    damage: list[Damage] = field(default_factory=list)


def verify(disk: Disk, progress: Progress = _no_progress) -> Verified:
    """Read every frame of every segment and list the damage. Changes nothing on disk.

    `progress` is called with the bytes read and the bytes in all. Raises StoreCorrupt for an unusable
    manifest, StoreVersion for a newer format, OSError.
    """
    names = set(disk.names())
    if MANIFEST not in names:
        raise StoreCorrupt(MANIFEST, 0, "missing: this folder holds no store")
    manifest = codec.decode_manifest(read_whole(disk, MANIFEST))
    total = sum(size for _, size, _ in manifest.sealed)
    result, previous_batch = Verified(), 0
    for number, expected_size, last_batch in [*manifest.sealed, (manifest.active, -1, -1)]:
        name, newest = codec.segment_name(number), expected_size < 0
        size = file_size(disk, name) if name in names else 0
        try:
            if name not in names:
                raise StoreCorrupt(name, 0, "missing")
            data = read_whole(disk, name)
            salt = codec.read_segment_header(name, data[:HEADER_BYTES], manifest.store_id, number)
            if not newest and len(data) != expected_size:
                raise StoreCorrupt(
                    name, min(len(data), expected_size), f"{len(data)} bytes of {expected_size}"
                )
            found = scan.read(name, data, salt, newest, manifest.floor if newest else previous_batch)
            result.frames += len(found.frames)
            result.torn += found.torn
            index = codec.index_name(number)
            if (
                index in names
                and codec.decode_index(read_whole(disk, index), manifest.store_id, number, salt, len(data))
                is None
            ):
                result.indexes_unusable += 1
        except StoreCorrupt as error:
            result.damage.append(Damage(error.file, error.offset, max(0, size - error.offset), error.reason))
        result.segments += 1
        result.size += size
        previous_batch = last_batch
        progress(result.size, max(total, result.size))
    return result


@dataclass(slots=True)
class SalvageResult:
    """The result of a salvage.

    Attributes:
        batches: number of batches written to the new store.
        keys: number of keys in the new store.
        lost: what could not be read.
    """

    batches: int = 0
    keys: int = 0
    lost: list[Damage] = field(default_factory=list)


def salvage(
    source: Disk,
    target: Disk,
    options: Options,
    log: Callable[..., None],
    new_id: Callable[[], bytes],
    progress: Progress = _no_progress,
) -> SalvageResult:
    """Write each whole batch that can be read into a new store at `target`, which must be empty.

    A batch that lost any frame is left out and listed. A key whose last change is lost has its earlier value
    in the new store, or is present though it was deleted; such keys cannot be recognized. `progress` is
    called with the bytes read and the bytes in all. Raises StoreError.
    """
    if target.names():
        raise StoreError("the folder for the salvaged store is not empty")
    result = SalvageResult()
    numbers, store_id = _segments(source, result)
    sizes = {number: file_size(source, codec.segment_name(number)) for number in numbers}
    engine = Engine(target, options, log, new_id)
    done = 0
    for number in numbers:
        for batch in _batches(source, number, store_id, result):
            written = engine.write([batch])
            if written.failures:
                raise written.failures[0]
            engine.apply(written.records)
            result.batches += 1
            index = engine.unindexed()
            if index is not None:
                engine.write_index(index)
        done += sizes[number]
        progress(done, sum(sizes.values()))
    result.keys = len(engine.index)
    engine.close()
    return result


def _segments(source: Disk, result: SalvageResult) -> tuple[list[int], bytes | None]:
    """Return the numbers of the segments to read, oldest first, and the store's id if it is known.

    The manifest decides which segments are read: a segment that was already cleaned, but not yet removed,
    could bring deleted keys back. Without a usable manifest, all segments in the folder are read. Raises
    StoreVersion.
    """
    present = sorted(
        int(name[:-4]) for name in source.names() if name.endswith(".log") and name[:-4].isdigit()
    )
    try:
        manifest: Manifest = codec.decode_manifest(read_whole(source, MANIFEST))
    except StoreVersion:
        raise
    except (StoreCorrupt, OSError) as error:
        result.lost.append(Damage(MANIFEST, 0, 0, f"{error}; all segments in the folder are read instead"))
        return present, None
    listed = [number for number, _, _ in manifest.sealed] + [manifest.active]
    sizes = {number: size for number, size, _ in manifest.sealed}
    for number in listed:
        if number not in present:
            result.lost.append(Damage(codec.segment_name(number), 0, sizes.get(number, 0), "missing"))
    return [number for number in listed if number in present], manifest.store_id


def _batches(
    source: Disk, number: int, store_id: bytes | None, result: SalvageResult
) -> Iterator[list[Change]]:
    """Yield the whole batches of a segment, and add what cannot be read to `result.lost`."""
    name = codec.segment_name(number)
    try:
        data = read_whole(source, name)
    except OSError as error:
        result.lost.append(Damage(name, 0, 0, str(error)))
        return
    try:
        salt = codec.read_segment_header(name, data[:HEADER_BYTES], store_id or data[8:24], number)
    except StoreCorrupt as error:
        # The salt is the header's checksum, which can be computed: its fields are known from the manifest and
        # the file's name.
        result.lost.append(Damage(name, 0, HEADER_BYTES, error.reason))
        if store_id is None:
            return
        salt = codec.segment_salt(codec.segment_header(store_id, number))
    batch_frames: list[Frame] = []
    offset = HEADER_BYTES
    while offset < len(data):
        frame = codec.decode_frame(data, offset, salt, offset)
        if frame is None:
            found = scan.find_frame(data, salt, offset + 1)
            next_offset = found.offset if found else len(data)
            start = batch_frames[0].offset if batch_frames else offset
            result.lost.append(Damage(name, start, next_offset - start, "no whole batch"))
            batch_frames, offset = [], next_offset
            continue
        if frame.first or batch_frames:
            if frame.first and batch_frames:  # the previous batch lost its end
                start = batch_frames[0].offset
                result.lost.append(Damage(name, start, offset - start, "a batch without its end"))
                batch_frames = []
            batch_frames.append(frame)
        else:
            result.lost.append(Damage(name, offset, frame.size, "a batch without its beginning"))
        offset += frame.size
        if frame.last and batch_frames:
            yield [Put(f.key, f.value) if f.kind == PUT else Delete(f.key) for f in batch_frames]
            batch_frames = []
    if batch_frames:
        start = batch_frames[0].offset
        result.lost.append(Damage(name, start, len(data) - start, "a batch without its end"))

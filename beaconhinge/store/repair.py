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


def _quiet(done: int, total: int) -> None:
    """No bar is wanted."""


@dataclass(slots=True, frozen=True)
class Damage:
    file: str
    offset: int
    size: int  # bytes that cannot be trusted
    reason: str


@dataclass(slots=True)
class Verified:
    """What a store's files hold, read from the first to the last byte."""

    segments: int = 0
    frames: int = 0
    size: int = 0
    torn: int = 0  # bytes of a torn tail, which the next open cuts off
    indexes_unusable: int = 0
    damage: list[Damage] = field(default_factory=list)


def verify(disk: Disk, progress: Progress = _quiet) -> Verified:
    """Read every frame of every segment. Changes nothing; raises StoreCorrupt for a manifest that cannot be
    read, StoreVersion for a newer format, OSError.
    """
    names = set(disk.names())
    if MANIFEST not in names:
        raise StoreCorrupt(MANIFEST, 0, "missing: this folder holds no store")
    manifest = codec.decode_manifest(read_whole(disk, MANIFEST))
    total = sum(size for _, size, _ in manifest.sealed)
    result, before = Verified(), 0
    for number, told, last_batch in [*manifest.sealed, (manifest.active, -1, -1)]:
        name, newest = codec.segment_name(number), told < 0
        size = file_size(disk, name) if name in names else 0
        try:
            if name not in names:
                raise StoreCorrupt(name, 0, "missing")
            data = read_whole(disk, name)
            salt = codec.read_segment_header(name, data[:HEADER_BYTES], manifest.store_id, number)
            if not newest and len(data) != told:
                raise StoreCorrupt(name, min(len(data), told), f"{len(data)} bytes of {told}")
            found = scan.read(name, data, salt, newest, manifest.floor if newest else before)
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
        before = last_batch
        progress(result.size, max(total, result.size))
    return result


@dataclass(slots=True)
class Salvaged:
    batches: int = 0
    keys: int = 0
    lost: list[Damage] = field(default_factory=list)


def salvage(
    source: Disk,
    target: Disk,
    options: Options,
    log: Callable[..., None],
    new_id: Callable[[], bytes],
    progress: Progress = _quiet,
) -> Salvaged:
    """Write each whole batch that can be read into a new store at `target`, which must be empty.

    A batch of which any frame is lost is left out whole, and listed. A key whose last change is lost has its
    earlier value again, or is back though it was deleted: nothing tells which. Raises StoreError.
    """
    if target.names():
        raise StoreError("the folder for what is salvaged is not empty")
    result = Salvaged()
    numbers, store_id = _segments(source, result)
    sizes = {number: file_size(source, codec.segment_name(number)) for number in numbers}
    engine = Engine(target, options, log, new_id)
    done = 0
    for number in numbers:
        for batch in _batches(source, number, store_id, result):
            written = engine.write([batch])
            if written.failed:
                raise written.failed[0]
            engine.apply(written.placed)
            result.batches += 1
            index = engine.unindexed()
            if index is not None:
                engine.write_index(index)
        done += sizes[number]
        progress(done, sum(sizes.values()))
    result.keys = len(engine.index)
    engine.close()
    return result


def _segments(source: Disk, result: Salvaged) -> tuple[list[int], bytes | None]:
    """Numbers of the segments to read, oldest first. Without a manifest, those that are there: one that had
    been cleaned already may then bring deleted keys back, so that the manifest's word goes first.
    """
    there = sorted(int(name[:-4]) for name in source.names() if name.endswith(".log") and name[:-4].isdigit())
    try:
        manifest: Manifest = codec.decode_manifest(read_whole(source, MANIFEST))
    except StoreVersion:
        raise
    except (StoreCorrupt, OSError) as error:
        result.lost.append(Damage(MANIFEST, 0, 0, f"{error}; all segments that are there are read"))
        return there, None
    wanted = [number for number, _, _ in manifest.sealed] + [manifest.active]
    sizes = {number: size for number, size, _ in manifest.sealed}
    for number in wanted:
        if number not in there:
            result.lost.append(Damage(codec.segment_name(number), 0, sizes.get(number, 0), "missing"))
    return [number for number in wanted if number in there], manifest.store_id


def _batches(source: Disk, number: int, store_id: bytes | None, result: Salvaged) -> Iterator[list[Change]]:
    name = codec.segment_name(number)
    try:
        data = read_whole(source, name)
    except OSError as error:
        result.lost.append(Damage(name, 0, 0, str(error)))
        return
    try:
        salt = codec.read_segment_header(name, data[:HEADER_BYTES], store_id or data[8:24], number)
    except StoreCorrupt as error:
        # The header's checksum follows from its fields, which are known from the manifest and the name.
        result.lost.append(Damage(name, 0, HEADER_BYTES, error.reason))
        if store_id is None:
            return
        salt = codec.segment_salt(codec.segment_header(store_id, number))
    held: list[Frame] = []
    offset = HEADER_BYTES
    while offset < len(data):
        frame = codec.decode_frame(data, offset, salt, offset)
        if frame is None:
            found = scan.find_frame(data, salt, offset + 1)
            until = found.offset if found else len(data)
            start = held[0].offset if held else offset
            result.lost.append(Damage(name, start, until - start, "no whole batch"))
            held, offset = [], until
            continue
        if frame.first or held:
            if frame.first and held:  # the one before lost its end
                start = held[0].offset
                result.lost.append(Damage(name, start, offset - start, "a batch without its end"))
                held = []
            held.append(frame)
        else:
            result.lost.append(Damage(name, offset, frame.size, "a batch without its beginning"))
        offset += frame.size
        if frame.last and held:
            yield [Put(f.key, f.value) if f.kind == PUT else Delete(f.key) for f in held]
            held = []
    if held:
        start = held[0].offset
        result.lost.append(Damage(name, start, len(data) - start, "a batch without its end"))

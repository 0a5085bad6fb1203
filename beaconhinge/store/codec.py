"""Encodes and decodes the store's file format, which `docs/design/store-format.md` specifies. Pure: it uses
no files and no clocks.

A checksum is CRC-32C (RFC 3720, appendix B.4). Every frame's checksum starts from that of its segment's
header, so that a frame is valid in its own segment only: leftover bytes of another file on the same disk
blocks are never taken for one.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import google_crc32c
import msgspec

from .errors import StoreCorrupt, StoreVersion

VERSION = 1
SEGMENT_MAGIC, INDEX_MAGIC, MANIFEST_MAGIC = b"BHSG", b"BHIX", b"BHMF"
# Kinds of frames.
PUT = 1
DELETE = 2
# Flags that are set in the kind byte of a batch's first and last frame.
FIRST = 0x40
LAST = 0x80
_KINDS = {
    kind | flags: (kind, bool(flags & FIRST), bool(flags & LAST))
    for kind in (PUT, DELETE)
    for flags in (0, FIRST, LAST, FIRST | LAST)
}
MAX_SEGMENT = 1 << 30  # bytes; offsets within a segment are stored in 4 bytes
MAX_KEY = 0xFFFF  # bytes; a key's length is stored in 2 bytes

_HEADER = struct.Struct("<4sHH16sQ")  # magic, version, reserved, id of the store, number of the segment
_CRC = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _CRC.size
# Checksum, length of key and value together, batch number, offset where its group begins, kind, length of the
# key.
_FRAME = struct.Struct("<IIQIBH")
FRAME_BYTES = _FRAME.size
_CHECKSUMMED_FROM = 4  # offset in a frame; its checksum covers everything from here on

# Magic, version, reserved, id of the store, number of the segment, bytes of the segment, number of entries,
# checksum of the segment's header.
_INDEX_HEADER = struct.Struct("<4sHH16sQQQI")
_ENTRY = struct.Struct("<IIBH")  # offset of the frame, its size in bytes, its kind, length of its key

_extend = google_crc32c.extend


@dataclass(slots=True, frozen=True)
class Put:
    """Sets a key to a value."""

    key: bytes
    value: bytes


@dataclass(slots=True, frozen=True)
class Delete:
    """Removes a key; a key that is not present is no error."""

    key: bytes


Change = Put | Delete


@dataclass(slots=True)
class Frame:
    """One record of a segment: a put or a deletion of a key.

    Attributes:
        offset: where the frame begins in its segment, in bytes.
        batch: number of its batch.
        group: offset where its group of batches begins; all bytes before it were durable when this frame was
            written.
        kind: PUT or DELETE, without the flags.
        first: whether it is the first frame of its batch.
        last: whether it is the last frame of its batch.
        size: bytes on disk, header included.
    """

    offset: int
    batch: int
    group: int
    kind: int
    first: bool
    last: bool
    key: bytes
    value: bytes
    size: int


# Matches where the last two bytes of a frame's batch number begin. These are 0 in batches below 2^48; after
# them come the four bytes of the group and the kind. It finds candidates in bytes of unknown content.
FRAME_PATTERN = re.compile(rb"(?s)(?=\x00\x00.{4}[\x01\x02\x41\x42\x81\x82\xc1\xc2])")
FRAME_PATTERN_OFFSET = 14  # offset in a frame at which FRAME_PATTERN matches


def checksum(data: bytes, start: int = 0) -> int:
    """Return the CRC-32C of `data`, continued from the checksum `start`."""
    return int(_extend(start, data))


def segment_name(number: int) -> str:
    return f"{number:012d}.log"


def index_name(number: int) -> str:
    return f"{number:012d}.idx"


MANIFEST = "MANIFEST"


# ---- segments ------------------------------------------------------------------------------------------


def segment_header(store_id: bytes, number: int) -> bytes:
    head = _HEADER.pack(SEGMENT_MAGIC, VERSION, 0, store_id, number)
    return head + _CRC.pack(checksum(head))


def segment_salt(header: bytes) -> int:
    """Return the checksum in a segment's header, from which the checksums of its frames start."""
    return int(_CRC.unpack_from(header, _HEADER.size)[0])


def read_segment_header(file: str, data: bytes, store_id: bytes, number: int) -> int:
    """Check a segment's header and return its salt (see `segment_salt`).

    `file` is the name for errors; `store_id` and `number` are what the header must hold. Raises StoreCorrupt
    or StoreVersion.
    """
    if len(data) < HEADER_BYTES:
        raise StoreCorrupt(file, len(data), "the segment's header is cut off")
    magic, version, _, found_store, found_number = _HEADER.unpack_from(data)
    if magic != SEGMENT_MAGIC:
        raise StoreCorrupt(file, 0, f"not a segment: it begins with {magic!r}")
    if checksum(data[: _HEADER.size]) != segment_salt(data):
        raise StoreCorrupt(file, _HEADER.size, "the checksum of the segment's header does not match")
    if version > VERSION:
        raise StoreVersion(file, version, VERSION)
    if found_store != store_id:
        raise StoreCorrupt(file, 8, f"belongs to another store, {found_store.hex()}")
    if found_number != number:
        raise StoreCorrupt(file, 24, f"the header is that of segment {found_number}")
    return segment_salt(data)


def encode_frame(salt: int, batch: int, group: int, kind: int, key: bytes, value: bytes) -> bytes:
    """Return one frame; `kind` includes the flags."""
    checksummed = (
        _FRAME.pack(0, len(key) + len(value), batch, group, kind, len(key))[_CHECKSUMMED_FROM:] + key + value
    )
    return _CRC.pack(_extend(salt, checksummed)) + checksummed


def decode_frame(data: bytes, offset: int, salt: int, at: int | None = None) -> Frame | None:
    """Return the frame at `offset` of `data`, or None when no whole and valid frame begins there. Raises
    nothing.

    `at` is the frame's offset in its segment, for `data` that does not begin where the segment begins.
    """
    if offset < 0 or offset + FRAME_BYTES > len(data):
        return None
    crc, length, batch, group, flagged_kind, key_length = _FRAME.unpack_from(data, offset)
    end = offset + FRAME_BYTES + length
    kind_and_flags = _KINDS.get(flagged_kind)
    if end > len(data) or key_length > length or kind_and_flags is None:
        return None
    kind, first, last = kind_and_flags
    if kind == DELETE and key_length != length:
        return None
    if _extend(salt, data[offset + _CHECKSUMMED_FROM : end]) != crc:
        return None
    value_start = offset + FRAME_BYTES + key_length
    return Frame(
        offset if at is None else at,
        batch,
        group,
        kind,
        first,
        last,
        data[offset + FRAME_BYTES : value_start],
        data[value_start:end],
        FRAME_BYTES + length,
    )


def decode_value(data: bytes, salt: int, key: bytes) -> bytes | None:
    """Return the value in a frame that puts `key`, or None when `data` is not exactly one such frame."""
    if len(data) < FRAME_BYTES:
        return None
    crc, length, _, _, flagged_kind, key_length = _FRAME.unpack_from(data)
    value_start = FRAME_BYTES + key_length
    if (
        _extend(salt, data[_CHECKSUMMED_FROM:]) != crc
        or FRAME_BYTES + length != len(data)
        or not flagged_kind & PUT
        or data[FRAME_BYTES:value_start] != key
    ):
        return None
    return data[value_start:]


def encode_batch(salt: int, batch: int, group: int, changes: Iterable[Change]) -> list[bytes]:
    """Return one frame for each change, in order; the first and the last one are flagged."""
    ordered = list(changes)
    frames = []
    for i, change in enumerate(ordered):
        flags = (FIRST if i == 0 else 0) | (LAST if i == len(ordered) - 1 else 0)
        if isinstance(change, Put):
            frames.append(encode_frame(salt, batch, group, PUT | flags, change.key, change.value))
        else:
            frames.append(encode_frame(salt, batch, group, DELETE | flags, change.key, b""))
    return frames


def frame_size(change: Change) -> int:
    """Return the bytes that a change takes on disk."""
    return FRAME_BYTES + len(change.key) + (len(change.value) if isinstance(change, Put) else 0)


# ---- index files ---------------------------------------------------------------------------------------


def index_entry(offset: int, kind: int, key: bytes, size: int) -> bytes:
    """Return an index file's entry for one frame; `size` is that of the whole frame in bytes."""
    return _ENTRY.pack(offset, size, kind, len(key)) + key


def encode_index(
    store_id: bytes, number: int, salt: int, segment_bytes: int, count: int, entries: bytes | bytearray
) -> bytes:
    """Return an index file. `entries` holds `count` results of `index_entry`, one after the other."""
    head = _INDEX_HEADER.pack(INDEX_MAGIC, VERSION, 0, store_id, number, segment_bytes, count, salt)
    return head + bytes(entries) + _CRC.pack(_extend(checksum(head), bytes(entries)))


def decode_index(
    data: bytes, store_id: bytes, number: int, salt: int, segment_bytes: int
) -> Iterator[tuple[int, int, int, bytes]] | None:
    """Return a sealed segment's entries (offset, bytes on disk, kind, key) in order, or None for an unusable
    index file.

    An index file holds nothing that is not in the segment as well, so an unusable one costs time only.
    """
    size, end = _INDEX_HEADER.size, len(data) - _CRC.size
    if end < size or checksum(data[:end]) != _CRC.unpack_from(data, end)[0]:
        return None
    magic, version, _, found_store, found_number, found_bytes, count, found_salt = _INDEX_HEADER.unpack_from(
        data
    )
    if (magic, version, found_store, found_number, found_bytes, found_salt) != (
        INDEX_MAGIC,
        VERSION,
        store_id,
        number,
        segment_bytes,
        salt,
    ):
        return None
    return _entries(data, size, count)


def _entries(data: bytes, at: int, count: int) -> Iterator[tuple[int, int, int, bytes]]:
    unpack, size = _ENTRY.unpack_from, _ENTRY.size
    for _ in range(count):
        offset, frame, kind, key_length = unpack(data, at)
        at += size + key_length
        yield offset, frame, kind, data[at - key_length : at]


# ---- the manifest --------------------------------------------------------------------------------------


class Manifest(msgspec.Struct, frozen=True):
    """Names the segments that make up the store.

    Attributes:
        active: number of the segment that is written to.
        floor: last batch number before the active segment; its batches have higher numbers.
        sealed: number, bytes and last batch number of each older segment, oldest first. A segment that is
            missing or of another length is damage.
    """

    store_id: bytes
    active: int
    floor: int = 0
    sealed: list[tuple[int, int, int]] = []


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the manifest file's bytes."""
    body = msgspec.msgpack.encode(manifest)
    head = MANIFEST_MAGIC + struct.pack("<HHI", VERSION, 0, len(body))
    return head + body + _CRC.pack(checksum(head + body))


def decode_manifest(data: bytes) -> Manifest:
    """Return the manifest in a manifest file's bytes. Raises StoreCorrupt or StoreVersion."""
    if len(data) < 16 or data[:4] != MANIFEST_MAGIC:
        raise StoreCorrupt(MANIFEST, 0, "not a manifest")
    version, _, length = struct.unpack_from("<HHI", data, 4)
    if version > VERSION:
        raise StoreVersion(MANIFEST, version, VERSION)
    if len(data) != 12 + length + 4 or checksum(data[:-4]) != _CRC.unpack_from(data, len(data) - 4)[0]:
        raise StoreCorrupt(MANIFEST, 12, "the manifest's length or checksum does not match")
    try:
        manifest = msgspec.msgpack.decode(data[12:-4], type=Manifest)
    except msgspec.DecodeError as error:
        raise StoreCorrupt(MANIFEST, 12, str(error)) from None
    if len(manifest.store_id) != 16:
        raise StoreCorrupt(MANIFEST, 12, "the id of the store does not have 16 bytes")
    return manifest

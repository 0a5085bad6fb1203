"""The store's bytes, as `docs/design/store-format.md` publishes them. Pure: no files, no clocks.

A checksum is CRC-32C (RFC 3720, appendix B.4). Every frame's checksum starts from that of its segment's
header, so that a frame is valid in its own segment only, never a left-over of another file on the same
blocks.
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
# Kinds of a frame.
PUT = 1
DELETE = 2
# Set on the kind of a batch's first and last frame.
FIRST = 0x40
END = 0x80
_KINDS = {
    kind | mark: (kind, bool(mark & FIRST), bool(mark & END))
    for kind in (PUT, DELETE)
    for mark in (0, FIRST, END, FIRST | END)
}
MAX_SEGMENT = 1 << 30  # bytes: offsets within a segment take 4 bytes
MAX_KEY = 0xFFFF

_HEADER = struct.Struct("<4sHH16sQ")  # magic, version, reserved, store's id, number of the segment
_CRC = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _CRC.size
# Checksum, length of key and value together, batch, where its group begins, kind, length of the key.
_FRAME = struct.Struct("<IIQIBH")
FRAME_BYTES = _FRAME.size
_SUMMED = 4  # a frame's checksum covers all that follows it

# Magic, version, reserved, store's id, number, bytes of the segment, entries, its header's checksum.
_INDEX_HEADER = struct.Struct("<4sHH16sQQQI")
_ENTRY = struct.Struct("<IIBH")  # offset and bytes of the frame, its kind, length of its key

_extend = google_crc32c.extend


@dataclass(slots=True, frozen=True)
class Put:
    key: bytes
    value: bytes


@dataclass(slots=True, frozen=True)
class Delete:
    key: bytes


Change = Put | Delete


@dataclass(slots=True)
class Frame:
    """One record of a segment. `size` counts its bytes on disk, header included."""

    offset: int
    batch: int
    group: int  # where the group that it was written with begins: all before that was durable by then
    kind: int
    first: bool
    last: bool
    key: bytes
    value: bytes
    size: int


# A frame from its batch number on: six bytes, two that are 0 below batch 2^48, the group, the kind. For
# finding one.
LIKELY = re.compile(rb"(?s)(?=\x00\x00.{4}[\x01\x02\x41\x42\x81\x82\xc1\xc2])")
LIKELY_AT = 14  # where in a frame that pattern begins


def checksum(data: bytes, start: int = 0) -> int:
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


def salt_of(header: bytes) -> int:
    """What the checksums of a segment's frames start from."""
    return int(_CRC.unpack_from(header, _HEADER.size)[0])


def read_segment_header(file: str, data: bytes, store_id: bytes, number: int) -> int:
    """The segment's salt. Raises StoreCorrupt or StoreVersion."""
    if len(data) < HEADER_BYTES:
        raise StoreCorrupt(file, len(data), "the segment's header is cut off")
    magic, version, _, its_store, its_number = _HEADER.unpack_from(data)
    if magic != SEGMENT_MAGIC:
        raise StoreCorrupt(file, 0, f"no segment: it begins with {magic!r}")
    if checksum(data[: _HEADER.size]) != salt_of(data):
        raise StoreCorrupt(file, _HEADER.size, "the header's checksum does not match")
    if version > VERSION:
        raise StoreVersion(file, version, VERSION)
    if its_store != store_id:
        raise StoreCorrupt(file, 8, f"belongs to another store, {its_store.hex()}")
    if its_number != number:
        raise StoreCorrupt(file, 24, f"holds segment {its_number}")
    return salt_of(data)


def encode_frame(salt: int, batch: int, group: int, kind: int, key: bytes, value: bytes) -> bytes:
    rest = _FRAME.pack(0, len(key) + len(value), batch, group, kind, len(key))[_SUMMED:] + key + value
    return _CRC.pack(_extend(salt, rest)) + rest


def decode_frame(data: bytes, offset: int, salt: int, at: int | None = None) -> Frame | None:
    """The frame at `offset` of `data`, or None when no whole and valid frame stands there. Raises nothing.

    `at` is the frame's place in its segment where `data` is only a part of it.
    """
    if offset < 0 or offset + FRAME_BYTES > len(data):
        return None
    crc, length, batch, group, marked, key_length = _FRAME.unpack_from(data, offset)
    end = offset + FRAME_BYTES + length
    meaning = _KINDS.get(marked)
    if end > len(data) or key_length > length or meaning is None:
        return None
    kind, first, last = meaning
    if kind == DELETE and key_length != length:
        return None
    if _extend(salt, data[offset + _SUMMED : end]) != crc:
        return None
    middle = offset + FRAME_BYTES + key_length
    return Frame(
        offset if at is None else at,
        batch,
        group,
        kind,
        first,
        last,
        data[offset + FRAME_BYTES : middle],
        data[middle:end],
        FRAME_BYTES + length,
    )


def value_of(data: bytes, salt: int, key: bytes) -> bytes | None:
    """The value in a whole frame that puts `key`, or None when `data` is no such frame."""
    if len(data) < FRAME_BYTES:
        return None
    crc, length, _, _, marked, key_length = _FRAME.unpack_from(data)
    middle = FRAME_BYTES + key_length
    if (
        _extend(salt, data[_SUMMED:]) != crc
        or FRAME_BYTES + length != len(data)
        or not marked & PUT
        or data[FRAME_BYTES:middle] != key
    ):
        return None
    return data[middle:]


def encode_batch(salt: int, batch: int, group: int, changes: Iterable[Change]) -> list[bytes]:
    """One frame a change, in order; the first and the last one are marked."""
    listed = list(changes)
    frames = []
    for i, change in enumerate(listed):
        mark = (FIRST if i == 0 else 0) | (END if i == len(listed) - 1 else 0)
        if isinstance(change, Put):
            frames.append(encode_frame(salt, batch, group, PUT | mark, change.key, change.value))
        else:
            frames.append(encode_frame(salt, batch, group, DELETE | mark, change.key, b""))
    return frames


def frame_size(change: Change) -> int:
    return FRAME_BYTES + len(change.key) + (len(change.value) if isinstance(change, Put) else 0)


# ---- index files ---------------------------------------------------------------------------------------


def index_entry(offset: int, kind: int, key: bytes, size: int) -> bytes:
    """`size` counts the whole frame."""
    return _ENTRY.pack(offset, size, kind, len(key)) + key


def encode_index(
    store_id: bytes, number: int, salt: int, segment_bytes: int, count: int, entries: bytes | bytearray
) -> bytes:
    head = _INDEX_HEADER.pack(INDEX_MAGIC, VERSION, 0, store_id, number, segment_bytes, count, salt)
    return head + bytes(entries) + _CRC.pack(_extend(checksum(head), bytes(entries)))


def decode_index(
    data: bytes, store_id: bytes, number: int, salt: int, segment_bytes: int
) -> Iterator[tuple[int, int, int, bytes]] | None:
    """Entries (offset, bytes on disk, kind, key) of a sealed segment in order; None for an index that cannot
    be used. It holds nothing that the segment does not hold, so that a bad one costs time and no more.
    """
    size, end = _INDEX_HEADER.size, len(data) - _CRC.size
    if end < size or checksum(data[:end]) != _CRC.unpack_from(data, end)[0]:
        return None
    magic, version, _, its_store, its_number, its_bytes, count, its_salt = _INDEX_HEADER.unpack_from(data)
    if (magic, version, its_store, its_number, its_bytes, its_salt) != (
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
    """Which segments make up the store, oldest first.

    `active` is written to, and its batches are numbered after `floor`. `sealed` gives each older segment's
    number, its bytes and its last batch: one that is missing or of another length is damage.
    """

    store_id: bytes
    active: int
    floor: int = 0
    sealed: list[tuple[int, int, int]] = []


def encode_manifest(manifest: Manifest) -> bytes:
    body = msgspec.msgpack.encode(manifest)
    head = MANIFEST_MAGIC + struct.pack("<HHI", VERSION, 0, len(body))
    return head + body + _CRC.pack(checksum(head + body))


def decode_manifest(data: bytes) -> Manifest:
    """Raises StoreCorrupt or StoreVersion."""
    if len(data) < 16 or data[:4] != MANIFEST_MAGIC:
        raise StoreCorrupt(MANIFEST, 0, "no manifest")
    version, _, length = struct.unpack_from("<HHI", data, 4)
    if version > VERSION:
        raise StoreVersion(MANIFEST, version, VERSION)
    if len(data) != 12 + length + 4 or checksum(data[:-4]) != _CRC.unpack_from(data, len(data) - 4)[0]:
        raise StoreCorrupt(MANIFEST, 12, "the checksum does not match")
    try:
        manifest = msgspec.msgpack.decode(data[12:-4], type=Manifest)
    except msgspec.DecodeError as error:
        raise StoreCorrupt(MANIFEST, 12, str(error)) from None
    if len(manifest.store_id) != 16:
        raise StoreCorrupt(MANIFEST, 12, "the store's id has not 16 bytes")
    return manifest

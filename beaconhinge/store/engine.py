"""The store without its threads: recovery, groups of batches, rolling and cleaning segments, reads.

Every method that touches the disk blocks, and says whether it may run beside others. The index changes in
`apply` and `dropped` alone, which the owner calls between the blocking ones.
"""

from __future__ import annotations

import errno
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from . import codec, scan
from .codec import DELETE, HEADER_BYTES, MANIFEST, PUT, Change, Manifest, Put
from .compaction import SegmentUsage, choose_segment
from .disk import Disk, File, file_size, read_whole, replace, write_all
from .errors import StoreCorrupt, StoreFailed, StoreFull, StoreTooLarge, StoreUnreadable
from .index import Index, pack_location, unpack_location
from .options import KEY_OVERHEAD_BYTES, Options

FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

Log = Callable[..., None]
Placed = tuple[bytes, int, int]  # key, kind, place


@dataclass(slots=True)
class Segment:
    number: int
    file: File
    salt: int
    size: int
    last_batch: int
    deletions: int = 0  # bytes of frames that delete
    entries: bytearray = field(default_factory=bytearray)  # of its index file, until that is written
    count: int = 0

    @property
    def name(self) -> str:
        return codec.segment_name(self.number)


@dataclass(slots=True)
class Written:
    """A group that is durable, to be applied to the index; and the batches of it that have failed."""

    placed: list[Placed] = field(default_factory=list)
    failed: dict[int, StoreFull] = field(default_factory=dict)
    moved: bool = True  # what was to be moved out of a segment has been


class Engine:
    def __init__(self, disk: Disk, options: Options, log: Log, new_id: Callable[[], bytes]) -> None:
        self.disk = disk
        self.options = options
        self.log = log
        self.counters: Counter[str] = Counter()
        self.index = Index()
        self.sealed: dict[int, Segment] = {}  # oldest first
        self.failure: StoreFailed | None = None
        self.store_id = b""
        self.active: Segment
        self.batch = 0  # the last one given out
        self._floor = 0
        self._files: list[File] = []
        try:
            self._recover(new_id)
        except BaseException:
            for file in self._files:
                file.close()
            raise

    # ---- recovery ------------------------------------------------------------------------------------------

    def _recover(self, new_id: Callable[[], bytes]) -> None:
        """Read everything first, so that damage is found before anything on disk has been changed."""
        names = set(self.disk.names())
        if MANIFEST not in names:
            self._create(names, new_id)
            return
        manifest = codec.decode_manifest(read_whole(self.disk, MANIFEST))
        self.store_id, self._floor = manifest.store_id, manifest.floor
        before = 0
        unindexed: list[Segment] = []
        for number, size, last_batch in manifest.sealed:
            segment = self._open_segment(number, names)
            if segment.size != size:
                raise StoreCorrupt(segment.name, min(segment.size, size), f"{segment.size} bytes of {size}")
            segment.last_batch = last_batch
            if not self._load_index(segment, names):
                self._load_frames(segment, read_whole(self.disk, segment.name), False, before)
                unindexed.append(segment)
            self.sealed[number] = segment
            before = last_batch
        self.active = self._open_segment(manifest.active, names, write=True)
        found = self._load_frames(self.active, read_whole(self.disk, self.active.name), True, manifest.floor)
        self.batch = found.last_batch
        self._settle(names, found, unindexed)

    def _create(self, names: set[str], new_id: Callable[[], bytes]) -> None:
        """A new store. What a cut during an earlier creation left is less than one whole segment."""
        first = codec.segment_name(1)
        for name in sorted(names):
            if not _ours(name) or name == MANIFEST + ".tmp":
                continue
            if name != first or file_size(self.disk, name) > HEADER_BYTES:
                raise StoreCorrupt(MANIFEST, 0, f"missing, though {name} is there")
        for name in names & {first, MANIFEST + ".tmp"}:
            self.disk.remove(name)
        self.store_id = new_id()
        self.active = self._new_segment(1)
        self.disk.sync_names()
        self._write_manifest(Manifest(self.store_id, 1))
        self.log("store_created", id=self.store_id.hex())

    def _open_segment(self, number: int, names: set[str], write: bool = False) -> Segment:
        name = codec.segment_name(number)
        if name not in names:
            raise StoreCorrupt(name, 0, "missing")
        file = self.disk.open(name, write)
        self._files.append(file)
        salt = codec.read_segment_header(name, file.read(0, HEADER_BYTES), self.store_id, number)
        return Segment(number, file, salt, file.size(), 0)

    def _load_index(self, segment: Segment, names: set[str]) -> bool:
        name = codec.index_name(segment.number)
        if name not in names:
            return False
        entries = codec.decode_index(
            read_whole(self.disk, name), self.store_id, segment.number, segment.salt, segment.size
        )
        if entries is None:
            self.counters["store_index_unusable"] += 1
            self.log("store_index_unusable", file=name)
            return False
        put, delete, base = self.index.put, self.index.delete, segment.number << 64
        for offset, size, kind, key in entries:
            if kind == PUT:
                put(key, base | offset << 32 | size)
            else:
                delete(key)
                segment.deletions += size
        return True

    def _load_frames(self, segment: Segment, data: bytes, newest: bool, after_batch: int) -> scan.Scan:
        found = scan.read(segment.name, data, segment.salt, newest, after_batch)
        put, delete, base = self.index.put, self.index.delete, segment.number << 64
        for frame in found.frames:
            segment.entries += codec.index_entry(frame.offset, frame.kind, frame.key, frame.size)
            if frame.kind == PUT:
                put(frame.key, base | frame.offset << 32 | frame.size)
            else:
                delete(frame.key)
                segment.deletions += frame.size
        segment.count = len(found.frames)
        segment.last_batch = found.last_batch
        return found

    def _settle(self, names: set[str], found: scan.Scan, unindexed: Sequence[Segment]) -> None:
        """Make what was read the state on disk: nothing that is served from here on may vanish at a cut."""
        try:
            if found.torn:
                self.counters["store_tail_cut"] += 1
                self.log("store_tail_cut", file=self.active.name, offset=found.end, bytes=found.torn)
                self.active.file.truncate(found.end)
                self.active.size = found.end
            # A process that was killed, not cut, may have left whole batches and renames that were never
            # synced.
            self.active.file.sync()
            self.disk.sync_names()
            kept = {MANIFEST, self.active.name}
            for segment in self.sealed.values():
                kept |= {segment.name, codec.index_name(segment.number)}
            for name in sorted(n for n in names - kept if _ours(n)):
                self.disk.remove(name)
                self.log("store_leftover_removed", file=name)
        except OSError as error:
            raise StoreFailed(f"recovery cannot be made durable: {error}") from None
        for segment in unindexed:
            self.write_index(segment)

    # ---- segments ------------------------------------------------------------------------------------------

    def _new_segment(self, number: int) -> Segment:
        """Created, written and synced; its name is durable after the next `sync_names`."""
        name = codec.segment_name(number)
        header = codec.segment_header(self.store_id, number)
        if name in self.disk.names():  # of a roll that had no room to end
            self.disk.remove(name)
        file = self.disk.create(name)
        try:
            write_all(file, header, 0)
        except OSError:
            file.close()
            self.disk.remove(name)
            raise
        self._sync(file)
        return Segment(number, file, codec.segment_salt(header), len(header), self.batch)

    def _sync(self, file: File) -> None:
        """Sync once. After an error the system may have dropped the pages that it could not write and call
        the next sync a success, so that no second one is tried (fsyncgate, 2018).
        """
        try:
            file.sync()
        except OSError as error:
            raise self.fail(f"sync: {error}") from None

    def _sync_names(self) -> None:
        try:
            self.disk.sync_names()
        except OSError as error:
            raise self.fail(f"sync of the folder: {error}") from None

    def fail(self, why: str) -> StoreFailed:
        if self.failure is None:
            self.failure = StoreFailed(f"read-only since a failure of the disk: {why}")
            self.counters["store_failed"] += 1
            self.log("store_failed", why=why)
        return self.failure

    def _only_room(self, what: str, error: OSError) -> None:
        """Raises StoreFailed for any error but a lack of room, which passes."""
        if error.errno not in FULL:
            raise self.fail(f"{what}: {error}") from None

    def _write_manifest(self, manifest: Manifest) -> None:
        """Raises OSError while the old one stands, StoreFailed when neither is known to."""
        replace(self.disk, MANIFEST, codec.encode_manifest(manifest))
        self._sync_names()

    def _manifest(
        self, active: int, floor: int, without: int | None = None, sealing: Segment | None = None
    ) -> Manifest:
        sealed = [*self.sealed.values(), *([sealing] if sealing else [])]
        return Manifest(
            self.store_id,
            active,
            floor,
            [(s.number, s.size, s.last_batch) for s in sealed if s.number != without],
        )

    def _roll(self) -> None:
        """Seal the active segment and begin the next. Raises OSError (nothing changed) or StoreFailed."""
        old = self.active
        number = max([old.number, *self.sealed]) + 1
        new = self._new_segment(number)
        try:
            self._sync_names()
            self._write_manifest(self._manifest(number, self.batch, sealing=old))
        except OSError:
            new.file.close()
            self.disk.remove(new.name)
            raise
        self.sealed[old.number], self.active, self._floor = old, new, self.batch
        self.counters["store_segments_sealed"] += 1

    def seal(self) -> None:
        """Roll now if anything stands in the active segment. Raises StoreFull or StoreFailed."""
        if self.failure is not None:
            raise self.failure
        if self.active.size <= HEADER_BYTES:
            return
        try:
            self._roll()
        except OSError as error:
            self._only_room("a new segment", error)
            raise self.full(str(error)) from None

    def unindexed(self) -> Segment | None:
        return next((s for s in self.sealed.values() if s.count), None)

    def write_index(self, segment: Segment) -> None:
        """Save what recovery would have to read a sealed segment for. To fail at this costs time only.

        Asked for twice, or for a segment that has been cleaned, it does nothing: an index without its entries
        would hide every key of the segment.
        """
        if not segment.count or segment.number not in self.sealed:
            return
        data = codec.encode_index(
            self.store_id, segment.number, segment.salt, segment.size, segment.count, segment.entries
        )
        segment.entries, segment.count = bytearray(), 0
        try:
            replace(self.disk, codec.index_name(segment.number), data)
        except OSError as error:
            self.counters["store_index_not_written"] += 1
            self.log("store_index_not_written", file=codec.index_name(segment.number), why=error)

    # ---- groups of batches ---------------------------------------------------------------------------------

    def check(self, changes: Sequence[Change]) -> int:
        """Bytes of a batch on disk. Raises StoreTooLarge or StoreFailed; touches no disk."""
        if self.failure is not None:
            raise self.failure
        told, total = self.options, 0
        for change in changes:
            size = len(change.value) if isinstance(change, Put) else 0
            if len(change.key) > told.max_key_bytes:
                self.counters["store_limit_max_key_bytes"] += 1
                raise StoreTooLarge(
                    f"a key of {len(change.key)} bytes; max_key_bytes is {told.max_key_bytes}"
                )
            if size > told.max_value_bytes:
                self.counters["store_limit_max_value_bytes"] += 1
                raise StoreTooLarge(f"a value of {size} bytes; max_value_bytes is {told.max_value_bytes}")
            total += codec.frame_size(change)
        if total > told.max_batch_bytes:
            self.counters["store_limit_max_batch_bytes"] += 1
            raise StoreTooLarge(f"a batch of {total} bytes; max_batch_bytes is {told.max_batch_bytes}")
        return total

    @property
    def disk_bytes(self) -> int:
        return self.active.size + sum(segment.size for segment in self.sealed.values())

    def write(self, batches: Sequence[Sequence[Change]], moves: Sequence[Placed] = ()) -> Written:
        """Write a group with one sync; on the store's own thread, one at a time.

        `moves` are records of a segment that is being cleaned. Raises StoreFailed.
        """
        if self.failure is not None:
            raise self.failure
        result = Written()
        try:
            if self.active.size >= self.options.segment_bytes:
                self._roll()
        except OSError as error:
            self._only_room("a new segment", error)
            result.failed = {i: self.full(str(error)) for i in range(len(batches))}
            result.moved = False
            return result
        whole: list[tuple[int, Sequence[Change]]] = []
        try:
            held = self._live(moves)
        except (StoreCorrupt, StoreUnreadable):
            # Told where it was found; the commits of the group are none the worse for it.
            held, result.moved = [], False
        if held:
            whole.append((-1, held))
        room = self.options.max_disk_bytes - self.disk_bytes
        memory = self.options.max_index_bytes - self.index.memory_bytes
        for i, changes in enumerate(batches):
            growth = sum(map(codec.frame_size, changes))
            full = self._no_room(changes, growth, room, memory)
            if full is not None:
                result.failed[i] = full
                continue
            room -= growth
            whole.append((i, changes))
        self._write_group(whole, result)
        return result

    def _no_room(self, changes: Sequence[Change], growth: int, room: int, memory: int) -> StoreFull | None:
        """Deletions may go over the limits by a segment's length: they are the way back under them."""
        if growth > room:
            puts = any(isinstance(change, Put) for change in changes)
            if puts or growth > room + self.options.segment_bytes:
                self.counters["store_limit_max_disk_bytes"] += 1
                return self.full(f"max_disk_bytes is {self.options.max_disk_bytes}")
        if growth + KEY_OVERHEAD_BYTES * len(changes) <= memory:
            return None
        new = {c.key for c in changes if isinstance(c, Put) and c.key not in self.index.locations}
        if new and sum(map(len, new)) + KEY_OVERHEAD_BYTES * len(new) > memory:
            self.counters["store_limit_max_index_bytes"] += 1
            return self.full(f"max_index_bytes is {self.options.max_index_bytes}")
        return None

    def full(self, why: str) -> StoreFull:
        self.counters["store_full"] += 1
        return StoreFull(f"no room for this commit: {why}")

    def _live(self, moves: Iterable[Placed]) -> list[Change]:
        """Those records of a segment being cleaned that are still wanted, read anew."""
        held: list[Change] = []
        for key, kind, where in moves:
            if kind == DELETE:
                if key not in self.index.locations:
                    held.append(codec.Delete(key))
            elif self.index.locations.get(key) == where:
                held.append(Put(key, self.read(where, key)))
        return held

    def _write_group(self, whole: Sequence[tuple[int, Sequence[Change]]], result: Written) -> None:
        if not whole:
            return
        segment, start, batch = self.active, self.active.size, self.batch
        pieces: list[bytes] = []
        placed: list[Placed] = []
        entries: list[bytes] = []
        deletions = 0
        offset, base = start, segment.number << 64
        for _, changes in whole:
            batch += 1
            frames = codec.encode_batch(segment.salt, batch, start, changes)
            pieces += frames
            for change, frame in zip(changes, frames, strict=True):
                key, size = change.key, len(frame)
                kind = PUT if isinstance(change, Put) else DELETE
                placed.append((key, kind, base | offset << 32 | size))
                entries.append(codec.index_entry(offset, kind, key, size))
                if kind == DELETE:
                    deletions += size
                offset += size
        try:
            write_all(segment.file, b"".join(pieces), start)
        except OSError as error:
            self._undo(error)
            if len(whole) > 1:  # one of them alone may still fit
                for one in whole:
                    self._write_group([one], result)
            elif whole[0][0] >= 0:
                result.failed[whole[0][0]] = self.full(str(error))
            else:
                self.counters["store_cleaning_without_room"] += 1
                result.moved = False
            return
        self._sync(segment.file)
        segment.size, segment.last_batch, self.batch = offset, batch, batch
        segment.entries += b"".join(entries)
        segment.count += len(entries)
        segment.deletions += deletions
        result.placed += placed
        self.counters["store_groups"] += 1
        self.counters["store_batches"] += len(whole)

    def _undo(self, error: OSError) -> None:
        """Take back a group that did not fit. Raises StoreFailed when that, or more than room, is amiss."""
        self._only_room("write", error)
        try:
            self.active.file.truncate(self.active.size)
        except OSError as second:
            raise self.fail(f"undoing a write: {second}") from None
        self._sync(self.active.file)  # told as failed, its bytes must not be back after a cut

    def apply(self, placed: Iterable[Placed]) -> None:
        put, delete = self.index.put, self.index.delete
        for key, kind, where in placed:
            if kind == PUT:
                put(key, where)
            else:
                delete(key)

    # ---- cleaning ------------------------------------------------------------------------------------------

    def candidate(self, at_least: float) -> Segment | None:
        """The sealed segment that is best cleaned next, if its dead share is worth it."""
        live = self.index.live
        number = choose_segment(
            [
                SegmentUsage(s.number, s.size - HEADER_BYTES, live.get(s.number, 0), s.deletions)
                for s in self.sealed.values()
            ],
            at_least,
        )
        return None if number is None else self.sealed[number]

    def wasted(self, segment: Segment) -> bool:
        """Whether cleaning a sealed segment would free anything."""
        oldest = next(iter(self.sealed)) == segment.number
        kept = self.index.live.get(segment.number, 0) + (0 if oldest else segment.deletions)
        return kept < segment.size - HEADER_BYTES

    def records(self, segment: Segment, offset: int, limit: int) -> tuple[list[Placed], int]:
        """Records from `offset` on, of `limit` bytes about, that may be wanted still; and where to go on.

        Raises StoreCorrupt for a frame that is not what was written, StoreUnreadable.
        """
        oldest = next(iter(self.sealed)) == segment.number
        found: list[Placed] = []
        end = min(offset + limit, segment.size)
        data = self._bytes(segment, offset, end - offset)
        at = offset
        while at < segment.size:
            frame = codec.decode_frame(data, at - offset, segment.salt, at)
            if frame is None:
                if end == segment.size:
                    raise self._corrupt(segment.name, at)
                if at > offset:  # cut off by the limit
                    break
                end = min(segment.size, offset + 2 * (end - offset) + self.options.max_value_bytes)
                data = self._bytes(segment, offset, end - offset)  # a frame larger than the limit by itself
                continue
            where = pack_location(segment.number, at, frame.size)
            if frame.kind == DELETE:
                if not oldest:
                    found.append((frame.key, DELETE, where))
            elif self.index.locations.get(frame.key) == where:
                found.append((frame.key, PUT, where))
            at += frame.size
        return found, at

    def drop(self, segment: Segment) -> bool:
        """Forget a segment of which nothing is wanted any more; False when there was no room to say so."""
        if self._wanted(segment):
            raise self.fail(f"{segment.name} would be dropped with values that are wanted")
        try:
            self._write_manifest(self._manifest(self.active.number, self._floor, without=segment.number))
        except OSError as error:
            self._only_room("manifest", error)
            self.counters["store_cleaning_without_room"] += 1
            return False
        for name in (segment.name, codec.index_name(segment.number)):
            try:
                self.disk.remove(name)
            except FileNotFoundError:
                pass
            except OSError as error:  # it is removed at the next open
                self.log("store_leftover", file=name, why=error)
        self.counters["store_segments_cleaned"] += 1
        return True

    def _wanted(self, segment: Segment) -> bool:
        return self.index.live.get(segment.number, 0) > 0

    def dropped(self, segment: Segment) -> None:
        del self.sealed[segment.number]
        self.index.live.pop(segment.number, None)
        segment.file.close()

    # ---- reads ---------------------------------------------------------------------------------------------

    def read(self, where: int, key: bytes) -> bytes:
        """The value at a place. Raises StoreCorrupt when it is not what was written, StoreUnreadable."""
        number, offset, size = unpack_location(where)
        active = self.active
        segment = active if number == active.number else self.sealed[number]
        value = codec.decode_value(self._bytes(segment, offset, size), segment.salt, key)
        if value is None:
            raise self._corrupt(segment.name, offset)
        return value

    def _bytes(self, segment: Segment, offset: int, size: int) -> bytes:
        try:
            return segment.file.read(offset, size)
        except OSError as error:
            self.counters["store_unreadable"] += 1
            self.log("store_unreadable", file=segment.name, offset=offset, why=error)
            raise StoreUnreadable(f"{segment.name} at byte {offset}: {error}") from None

    def _corrupt(self, name: str, offset: int) -> StoreCorrupt:
        self.counters["store_corrupt"] += 1
        self.log("store_corrupt", file=name, offset=offset)
        return StoreCorrupt(name, offset, "this frame is not what was written")

    def close(self) -> None:
        for segment in (*self.sealed.values(), self.active):
            segment.file.close()


def _ours(name: str) -> bool:
    """Whether a file in the folder is of a kind that the store makes."""
    name = name.removesuffix(".tmp")
    stem, _, ending = name.partition(".")
    return name == MANIFEST or ending in ("log", "idx") and len(stem) == 12 and stem.isdigit()

"""The store without its thread: recovery, writing groups of batches, rolling and cleaning segments, reads.

Every method that touches the disk blocks. Only `apply` and `forget_segment` change the index after recovery;
the owner calls them between the blocking methods.
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

OUT_OF_SPACE_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

Log = Callable[..., None]
LocatedRecord = tuple[bytes, int, int]  # key, kind, location (see index.py)


@dataclass(slots=True)
class Segment:
    """An open segment file.

    Attributes:
        salt: the value that its frames' checksums start from.
        size: bytes, header included.
        last_batch: number of its last batch.
        deletions: bytes of its frames that delete a key.
        index_entries: entries of its index file, until that is written.
        index_entry_count: number of these entries.
    """

    number: int
    file: File
    salt: int
    size: int
    last_batch: int
    deletions: int = 0
    index_entries: bytearray = field(default_factory=bytearray)
    index_entry_count: int = 0

    @property
    def name(self) -> str:
        return codec.segment_name(self.number)


@dataclass(slots=True)
class GroupResult:
    """The result of writing a group of batches.

    Attributes:
        records: durable records, to be applied to the index.
        failures: errors of the batches that were not written, by position in the group.
        all_moved: whether all live records of the segment being cleaned have been moved.
    """

    records: list[LocatedRecord] = field(default_factory=list)
    failures: dict[int, StoreFull] = field(default_factory=dict)
    all_moved: bool = True


class Engine:
    """An open store on a disk.

    Attributes:
        counters: counts of events, by name.
        sealed: the sealed segments by number, oldest first.
        failure: the error after which the store is read-only, if there was one.
        store_id: 16 bytes that identify the store; each segment's header holds them.
        active: the segment that is written to.
        last_batch: number of the last batch written.
    """

    def __init__(self, disk: Disk, options: Options, log: Log, new_id: Callable[[], bytes]) -> None:
        """Recover the store on `disk`, or create one with an id from `new_id`.

        Raises StoreCorrupt, StoreVersion, StoreFailed or OSError.
        """
        self.disk = disk
        self.options = options
        self.log = log
        self.counters: Counter[str] = Counter()
        self.index = Index()
        self.sealed: dict[int, Segment] = {}
        self.failure: StoreFailed | None = None
        self.store_id = b""
        self.active: Segment
        self.last_batch = 0
        self._floor = 0  # last batch number before the active segment
        self._files: list[File] = []
        try:
            self._recover(new_id)
        except BaseException:
            for file in self._files:
                file.close()
            raise

    # ---- recovery ------------------------------------------------------------------------------------------

    def _recover(self, new_id: Callable[[], bytes]) -> None:
        """Read everything before changing anything on disk, so that damage is found first."""
        names = set(self.disk.names())
        if MANIFEST not in names:
            self._create(names, new_id)
            return
        manifest = codec.decode_manifest(read_whole(self.disk, MANIFEST))
        self.store_id, self._floor = manifest.store_id, manifest.floor
        previous_batch = 0
        unindexed: list[Segment] = []
        for number, size, last_batch in manifest.sealed:
            segment = self._open_segment(number, names)
            if segment.size != size:
                raise StoreCorrupt(segment.name, min(segment.size, size), f"{segment.size} bytes of {size}")
            segment.last_batch = last_batch
            if not self._load_index(segment, names):
                self._load_frames(segment, read_whole(self.disk, segment.name), False, previous_batch)
                unindexed.append(segment)
            self.sealed[number] = segment
            previous_batch = last_batch
        self.active = self._open_segment(manifest.active, names, write=True)
        found = self._load_frames(self.active, read_whole(self.disk, self.active.name), True, manifest.floor)
        self.last_batch = found.last_batch
        self._make_durable(names, found, unindexed)

    def _create(self, names: set[str], new_id: Callable[[], bytes]) -> None:
        """Create a new store.

        A power cut during an earlier creation leaves at most the first segment's header and a temporary
        manifest, which are removed. Raises StoreCorrupt when the folder holds more of a store than that.
        """
        first = codec.segment_name(1)
        for name in sorted(names):
            if not _is_store_file(name) or name == MANIFEST + ".tmp":
                continue
            if name != first or file_size(self.disk, name) > HEADER_BYTES:
                raise StoreCorrupt(MANIFEST, 0, f"missing, though {name} exists")
        for name in names & {first, MANIFEST + ".tmp"}:
            self.disk.remove(name)
        self.store_id = new_id()
        self.active = self._new_segment(1)
        self.disk.sync_names()
        self._write_manifest(Manifest(self.store_id, 1))
        self.log("store_created", id=self.store_id.hex())

    def _open_segment(self, number: int, names: set[str], write: bool = False) -> Segment:
        """Open a segment and check its header. Raises StoreCorrupt or StoreVersion."""
        name = codec.segment_name(number)
        if name not in names:
            raise StoreCorrupt(name, 0, "missing")
        file = self.disk.open(name, write)
        self._files.append(file)
        salt = codec.read_segment_header(name, file.read(0, HEADER_BYTES), self.store_id, number)
        return Segment(number, file, salt, file.size(), 0)

    def _load_index(self, segment: Segment, names: set[str]) -> bool:
        """Load a sealed segment's records from its index file; return False when there is no usable one."""
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
        """Load a segment's records from its frames. Raises StoreCorrupt."""
        found = scan.read(segment.name, data, segment.salt, newest, after_batch)
        put, delete, base = self.index.put, self.index.delete, segment.number << 64
        for frame in found.frames:
            segment.index_entries += codec.index_entry(frame.offset, frame.kind, frame.key, frame.size)
            if frame.kind == PUT:
                put(frame.key, base | frame.offset << 32 | frame.size)
            else:
                delete(frame.key)
                segment.deletions += frame.size
        segment.index_entry_count = len(found.frames)
        segment.last_batch = found.last_batch
        return found

    def _make_durable(self, names: set[str], found: scan.Scan, unindexed: Sequence[Segment]) -> None:
        """Make the recovered state durable, since nothing served from here on may be lost in a power cut.

        Cuts a torn tail off and removes leftover files. Raises StoreFailed.
        """
        try:
            if found.torn:
                self.counters["store_tail_cut"] += 1
                self.log("store_tail_cut", file=self.active.name, offset=found.end, bytes=found.torn)
                self.active.file.truncate(found.end)
                self.active.size = found.end
            # A process that was killed, without a power cut, may have left whole batches and renames that
            # were never synced.
            self.active.file.sync()
            self.disk.sync_names()
            kept = {MANIFEST, self.active.name}
            for segment in self.sealed.values():
                kept |= {segment.name, codec.index_name(segment.number)}
            for name in sorted(n for n in names - kept if _is_store_file(n)):
                self.disk.remove(name)
                self.log("store_leftover_removed", file=name)
        except OSError as error:
            raise StoreFailed(f"the recovered state cannot be made durable: {error}") from None
        for segment in unindexed:
            self.write_index(segment)

    # ---- segments ------------------------------------------------------------------------------------------

    def _new_segment(self, number: int) -> Segment:
        """Create a segment and sync its header; its name is durable after the next `sync_names`.

        Raises OSError or StoreFailed.
        """
        name = codec.segment_name(number)
        header = codec.segment_header(self.store_id, number)
        if name in self.disk.names():  # left by a roll that ran out of space
            self.disk.remove(name)
        file = self.disk.create(name)
        try:
            write_all(file, header, 0)
        except OSError:
            file.close()
            self.disk.remove(name)
            raise
        self._sync(file)
        return Segment(number, file, codec.segment_salt(header), len(header), self.last_batch)

    def _sync(self, file: File) -> None:
        """Sync a file. Raises StoreFailed after one attempt.

        After an error the system may have dropped the pages that it could not write and report success for
        the next sync, so the sync is not repeated (fsyncgate, 2018).
        """
        try:
            file.sync()
        except OSError as error:
            raise self.fail(f"sync: {error}") from None

    def _sync_names(self) -> None:
        """Sync the folder. Raises StoreFailed."""
        try:
            self.disk.sync_names()
        except OSError as error:
            raise self.fail(f"sync of the folder: {error}") from None

    def fail(self, why: str) -> StoreFailed:
        """Make the store read-only and return the error to raise; the first failure stays the reason."""
        if self.failure is None:
            self.failure = StoreFailed(f"the store is read-only since a disk failure: {why}")
            self.counters["store_failed"] += 1
            self.log("store_failed", why=why)
        return self.failure

    def _raise_unless_out_of_space(self, operation: str, error: OSError) -> None:
        """Raise StoreFailed, unless the error is a lack of space, which is temporary."""
        if error.errno not in OUT_OF_SPACE_ERRNOS:
            raise self.fail(f"{operation}: {error}") from None

    def _write_manifest(self, manifest: Manifest) -> None:
        """Replace the manifest.

        Raises OSError when the old manifest is still in place, StoreFailed when it is uncertain which one is.
        """
        replace(self.disk, MANIFEST, codec.encode_manifest(manifest))
        self._sync_names()

    def _manifest(
        self, active: int, floor: int, without: int | None = None, sealing: Segment | None = None
    ) -> Manifest:
        """Return a manifest of the sealed segments, with `sealing` added and number `without` left out."""
        sealed = [*self.sealed.values(), *([sealing] if sealing else [])]
        return Manifest(
            self.store_id,
            active,
            floor,
            [(s.number, s.size, s.last_batch) for s in sealed if s.number != without],
        )

    def _roll(self) -> None:
        """Seal the active segment and begin the next. Raises StoreFailed, or OSError with nothing changed."""
        old = self.active
        number = max([old.number, *self.sealed]) + 1
        new = self._new_segment(number)
        try:
            self._sync_names()
            self._write_manifest(self._manifest(number, self.last_batch, sealing=old))
        except OSError:
            new.file.close()
            self.disk.remove(new.name)
            raise
        self.sealed[old.number], self.active, self._floor = old, new, self.last_batch
        self.counters["store_segments_sealed"] += 1

    def seal(self) -> None:
        """Seal the active segment now unless it is empty. Raises StoreFull or StoreFailed."""
        if self.failure is not None:
            raise self.failure
        if self.active.size <= HEADER_BYTES:
            return
        try:
            self._roll()
        except OSError as error:
            self._raise_unless_out_of_space("a new segment", error)
            raise self.out_of_space(str(error)) from None

    def unindexed(self) -> Segment | None:
        """Return the oldest sealed segment whose index file has not been written, or None."""
        return next((s for s in self.sealed.values() if s.index_entry_count), None)

    def write_index(self, segment: Segment) -> None:
        """Write a sealed segment's index file, so that recovery need not read the segment.

        A failure is logged and costs time at the next recovery only. A second call for a segment, or a call
        for a segment that has been cleaned, does nothing: an index file without its entries would hide every
        key of the segment.
        """
        if not segment.index_entry_count or segment.number not in self.sealed:
            return
        data = codec.encode_index(
            self.store_id,
            segment.number,
            segment.salt,
            segment.size,
            segment.index_entry_count,
            segment.index_entries,
        )
        segment.index_entries, segment.index_entry_count = bytearray(), 0
        try:
            replace(self.disk, codec.index_name(segment.number), data)
        except OSError as error:
            self.counters["store_index_not_written"] += 1
            self.log("store_index_not_written", file=codec.index_name(segment.number), why=error)

    # ---- groups of batches ---------------------------------------------------------------------------------

    def check(self, changes: Sequence[Change]) -> int:
        """Return the bytes that a batch takes on disk. Raises StoreTooLarge or StoreFailed; does no I/O."""
        if self.failure is not None:
            raise self.failure
        limits, total = self.options, 0
        for change in changes:
            size = len(change.value) if isinstance(change, Put) else 0
            if len(change.key) > limits.max_key_bytes:
                self.counters["store_limit_max_key_bytes"] += 1
                raise StoreTooLarge(
                    f"a key of {len(change.key)} bytes; max_key_bytes is {limits.max_key_bytes}"
                )
            if size > limits.max_value_bytes:
                self.counters["store_limit_max_value_bytes"] += 1
                raise StoreTooLarge(f"a value of {size} bytes; max_value_bytes is {limits.max_value_bytes}")
            total += codec.frame_size(change)
        if total > limits.max_batch_bytes:
            self.counters["store_limit_max_batch_bytes"] += 1
            raise StoreTooLarge(f"a batch of {total} bytes; max_batch_bytes is {limits.max_batch_bytes}")
        return total

    @property
    def disk_bytes(self) -> int:
        """Size of all segments together, in bytes."""
        return self.active.size + sum(segment.size for segment in self.sealed.values())

    def write(self, batches: Sequence[Sequence[Change]], moves: Sequence[LocatedRecord] = ()) -> GroupResult:
        """Write a group of batches with one sync. Runs on the store's own thread, one group at a time.

        `moves` are records of a segment that is being cleaned; the live ones are written with the group.
        Raises StoreFailed.
        """
        if self.failure is not None:
            raise self.failure
        result = GroupResult()
        try:
            if self.active.size >= self.options.segment_bytes:
                self._roll()
        except OSError as error:
            self._raise_unless_out_of_space("a new segment", error)
            result.failures = {i: self.out_of_space(str(error)) for i in range(len(batches))}
            result.all_moved = False
            return result
        accepted: list[tuple[int, Sequence[Change]]] = []
        try:
            live_changes = self._live_changes(moves)
        except (StoreCorrupt, StoreUnreadable):
            # The read has logged and counted the error; the commits of the group are not affected.
            live_changes, result.all_moved = [], False
        if live_changes:
            accepted.append((-1, live_changes))
        room = self.options.max_disk_bytes - self.disk_bytes
        index_room = self.options.max_index_bytes - self.index.memory_bytes
        for i, changes in enumerate(batches):
            growth = sum(map(codec.frame_size, changes))
            refusal = self._check_room(changes, growth, room, index_room)
            if refusal is not None:
                result.failures[i] = refusal
                continue
            room -= growth
            accepted.append((i, changes))
        self._write_group(accepted, result)
        return result

    def _check_room(
        self, changes: Sequence[Change], growth: int, room: int, index_room: int
    ) -> StoreFull | None:
        """Return the error for a batch that would go over a limit, or None.

        `room` is in bytes on disk, `index_room` in bytes of memory. Deletions may go over max_disk_bytes by
        the size of a segment, since they are the way to get back under it.
        """
        if growth > room:
            puts = any(isinstance(change, Put) for change in changes)
            if puts or growth > room + self.options.segment_bytes:
                self.counters["store_limit_max_disk_bytes"] += 1
                return self.out_of_space(f"max_disk_bytes is {self.options.max_disk_bytes}")
        if growth + KEY_OVERHEAD_BYTES * len(changes) <= index_room:
            return None
        new = {c.key for c in changes if isinstance(c, Put) and c.key not in self.index.locations}
        if new and sum(map(len, new)) + KEY_OVERHEAD_BYTES * len(new) > index_room:
            self.counters["store_limit_max_index_bytes"] += 1
            return self.out_of_space(f"max_index_bytes is {self.options.max_index_bytes}")
        return None

    def out_of_space(self, why: str) -> StoreFull:
        """Count a commit without room and return the error to raise."""
        self.counters["store_full"] += 1
        return StoreFull(f"no room for this commit: {why}")

    def _live_changes(self, moves: Iterable[LocatedRecord]) -> list[Change]:
        """Return the changes for those records of a segment being cleaned that are still live.

        Values are read from the disk. Raises StoreCorrupt or StoreUnreadable.
        """
        live_changes: list[Change] = []
        for key, kind, location in moves:
            if kind == DELETE:
                if key not in self.index.locations:
                    live_changes.append(codec.Delete(key))
            elif self.index.locations.get(key) == location:
                live_changes.append(Put(key, self.read(location, key)))
        return live_changes

    def _write_group(self, accepted: Sequence[tuple[int, Sequence[Change]]], result: GroupResult) -> None:
        """Write and sync batches, given with their positions in the group (-1 for moved records).

        When they do not fit together, each one is written by itself. Raises StoreFailed.
        """
        if not accepted:
            return
        segment, start, batch = self.active, self.active.size, self.last_batch
        pieces: list[bytes] = []
        records: list[LocatedRecord] = []
        entries: list[bytes] = []
        deletions = 0
        offset, base = start, segment.number << 64
        for _, changes in accepted:
            batch += 1
            frames = codec.encode_batch(segment.salt, batch, start, changes)
            pieces += frames
            for change, frame in zip(changes, frames, strict=True):
                key, size = change.key, len(frame)
                kind = PUT if isinstance(change, Put) else DELETE
                records.append((key, kind, base | offset << 32 | size))
                entries.append(codec.index_entry(offset, kind, key, size))
                if kind == DELETE:
                    deletions += size
                offset += size
        try:
            write_all(segment.file, b"".join(pieces), start)
        except OSError as error:
            self._undo(error)
            if len(accepted) > 1:  # a single batch may still fit
                for single in accepted:
                    self._write_group([single], result)
            elif accepted[0][0] >= 0:
                result.failures[accepted[0][0]] = self.out_of_space(str(error))
            else:
                self.counters["store_cleaning_without_room"] += 1
                result.all_moved = False
            return
        self._sync(segment.file)
        segment.size, segment.last_batch, self.last_batch = offset, batch, batch
        segment.index_entries += b"".join(entries)
        segment.index_entry_count += len(entries)
        segment.deletions += deletions
        result.records += records
        self.counters["store_groups"] += 1
        self.counters["store_batches"] += len(accepted)

    def _undo(self, error: OSError) -> None:
        """Remove the bytes of a group that did not fit.

        Raises StoreFailed when that fails, or when `error` is not a lack of space.
        """
        self._raise_unless_out_of_space("write", error)
        try:
            self.active.file.truncate(self.active.size)
        except OSError as second:
            raise self.fail(f"undoing a write: {second}") from None
        self._sync(self.active.file)  # its commits fail, so its bytes must not return after a power cut

    def apply(self, records: Iterable[LocatedRecord]) -> None:
        """Apply the durable records of a group to the index."""
        put, delete = self.index.put, self.index.delete
        for key, kind, location in records:
            if kind == PUT:
                put(key, location)
            else:
                delete(key)

    # ---- cleaning ------------------------------------------------------------------------------------------

    def cleaning_candidate(self, at_least: float) -> Segment | None:
        """Return the sealed segment to clean next, or None; see `choose_segment` for the dead share."""
        live = self.index.live
        number = choose_segment(
            [
                SegmentUsage(s.number, s.size - HEADER_BYTES, live.get(s.number, 0), s.deletions)
                for s in self.sealed.values()
            ],
            at_least,
        )
        return None if number is None else self.sealed[number]

    def has_dead_bytes(self, segment: Segment) -> bool:
        """Return whether cleaning a sealed segment would free any bytes."""
        oldest = next(iter(self.sealed)) == segment.number
        kept = self.index.live.get(segment.number, 0) + (0 if oldest else segment.deletions)
        return kept < segment.size - HEADER_BYTES

    def live_records(self, segment: Segment, offset: int, limit: int) -> tuple[list[LocatedRecord], int]:
        """Return the records from `offset` on that may still be live, and the offset to continue at.

        About `limit` bytes are read. Raises StoreCorrupt for a frame that is not what was written,
        StoreUnreadable.
        """
        oldest = next(iter(self.sealed)) == segment.number
        found: list[LocatedRecord] = []
        end = min(offset + limit, segment.size)
        data = self._bytes(segment, offset, end - offset)
        at = offset
        while at < segment.size:
            frame = codec.decode_frame(data, at - offset, segment.salt, at)
            if frame is None:
                if end == segment.size:
                    raise self._corrupt(segment.name, at)
                if at > offset:  # the limit ends within this frame
                    break
                end = min(segment.size, offset + 2 * (end - offset) + self.options.max_value_bytes)
                data = self._bytes(segment, offset, end - offset)  # a single frame is larger than the limit
                continue
            location = pack_location(segment.number, at, frame.size)
            if frame.kind == DELETE:
                if not oldest:
                    found.append((frame.key, DELETE, location))
            elif self.index.locations.get(frame.key) == location:
                found.append((frame.key, PUT, location))
            at += frame.size
        return found, at

    def drop(self, segment: Segment) -> bool:
        """Remove a segment without live values from the manifest and the disk.

        Returns False when there was no room for the manifest. Raises StoreFailed.
        """
        if self._has_live_values(segment):
            raise self.fail(f"{segment.name} must not be dropped: it holds values that are still wanted")
        try:
            self._write_manifest(self._manifest(self.active.number, self._floor, without=segment.number))
        except OSError as error:
            self._raise_unless_out_of_space("manifest", error)
            self.counters["store_cleaning_without_room"] += 1
            return False
        for name in (segment.name, codec.index_name(segment.number)):
            try:
                self.disk.remove(name)
            except FileNotFoundError:
                pass
            except OSError as error:  # the file is removed at the next open
                self.log("store_leftover", file=name, why=error)
        self.counters["store_segments_cleaned"] += 1
        return True

    def _has_live_values(self, segment: Segment) -> bool:
        return self.index.live.get(segment.number, 0) > 0

    def forget_segment(self, segment: Segment) -> None:
        """Remove a dropped segment from memory and close its file."""
        del self.sealed[segment.number]
        self.index.live.pop(segment.number, None)
        segment.file.close()

    # ---- reads ---------------------------------------------------------------------------------------------

    def read(self, location: int, key: bytes) -> bytes:
        """Return the value at a location.

        Raises StoreCorrupt when the frame there is not what was written for `key`, StoreUnreadable.
        """
        number, offset, size = unpack_location(location)
        active = self.active
        segment = active if number == active.number else self.sealed[number]
        value = codec.decode_value(self._bytes(segment, offset, size), segment.salt, key)
        if value is None:
            raise self._corrupt(segment.name, offset)
        return value

    def _bytes(self, segment: Segment, offset: int, size: int) -> bytes:
        """Read from a segment; return fewer than `size` bytes at its end. Raises StoreUnreadable."""
        try:
            return segment.file.read(offset, size)
        except OSError as error:
            self.counters["store_unreadable"] += 1
            self.log("store_unreadable", file=segment.name, offset=offset, why=error)
            raise StoreUnreadable(f"{segment.name} at byte {offset}: {error}") from None

    def _corrupt(self, name: str, offset: int) -> StoreCorrupt:
        """Count and log a damaged frame and return the error to raise."""
        self.counters["store_corrupt"] += 1
        self.log("store_corrupt", file=name, offset=offset)
        return StoreCorrupt(name, offset, "the frame here is not what was written")

    def close(self) -> None:
        """Close all segment files."""
        for segment in (*self.sealed.values(), self.active):
            segment.file.close()


def _is_store_file(name: str) -> bool:
    """Return whether a file name has the form that the store gives to its files."""
    name = name.removesuffix(".tmp")
    stem, _, ending = name.partition(".")
    return name == MANIFEST or ending in ("log", "idx") and len(stem) == 12 and stem.isdigit()

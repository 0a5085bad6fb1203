"""The store's asynchronous interface: commits of many callers share one write and sync, on a thread of its
own.
"""

from __future__ import annotations

import asyncio
import os
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from queue import SimpleQueue
from typing import Any, TypeVar

from .codec import HEADER_BYTES, Change
from .compaction import RateLimiter, cleaning_speedup
from .disk import Disk, RealDisk
from .engine import Engine, GroupResult, LocatedRecord, Segment
from .errors import StoreClosed, StoreCorrupt, StoreError, StoreFailed, StoreLocked, StoreUnreadable
from .options import Options

T = TypeVar("T")
# Number of groups after which the store checks for a segment worth cleaning; it also checks at each sealing.
CLEANING_CHECK_GROUPS = 256
CLEANING_RETRY_S = 5.0  # seconds until cleaning is tried again after it found no room


def _no_log(event: str, **fields: object) -> None:
    """Discard a log event: the default where a caller wants no log."""


@dataclass(slots=True)
class _PendingCommit:
    """A commit that waits for its group. `size` is in bytes on disk."""

    changes: Sequence[Change]
    size: int
    done: asyncio.Future[None]


class Store:
    """Maps keys to values, both bytes; one process at a time has its folder open.

    `open` creates it. All other methods must be called on one event loop.
    """

    def __init__(self, engine: Engine, now: Callable[[], float] = time.monotonic) -> None:
        self.engine = engine
        self._now = now
        self._read_limiter = RateLimiter(engine.options.compact_bytes_per_s)
        self._thread_calls: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._run_calls, name="store", daemon=True)
        self._thread.start()
        self._pending_commits: deque[_PendingCommit] = deque()
        self._pending_moves: tuple[Sequence[LocatedRecord], asyncio.Future[bool]] | None = None
        self._writing = False
        self._closed = False
        self._cleaner: asyncio.Task[None] | None = None
        self._clean_after = 0.0
        self._cleaning_lock = asyncio.Lock()
        self._groups = 0

    @classmethod
    def open(
        cls,
        folder: str | os.PathLike[str],
        options: Options | None = None,
        *,
        disk: Disk | None = None,
        log: Callable[..., None] = _no_log,
        now: Callable[[], float] = time.monotonic,
        new_id: Callable[[], bytes] = lambda: os.urandom(16),
    ) -> Store:
        """Recover the folder's store, or create a new one. Blocks.

        Raises StoreLocked, StoreCorrupt or StoreVersion with nothing changed on disk, StoreFailed when the
        disk fails, and StoreError for a folder that cannot be used.
        """
        options = options or Options()
        problem = options.problem()
        if problem is not None:
            raise StoreError("{}: {}".format(*problem))
        try:
            disk = disk or RealDisk(folder)
            try:
                disk.lock()
            except BlockingIOError:
                raise StoreLocked(f"{folder}: another process has this store open") from None
            try:
                return cls(Engine(disk, options, log, new_id), now)
            except BaseException:
                disk.unlock()
                raise
        except OSError as error:
            raise StoreError(f"{folder}: {error}") from error

    # ---- commits -------------------------------------------------------------------------------------------

    async def commit(self, changes: Iterable[Change]) -> None:
        """Make a batch of changes durable atomically; of several changes of one key the last one wins.

        Raises StoreTooLarge, StoreFull, StoreFailed or StoreClosed. The batch has then not been committed,
        except that after StoreFailed a later start may find it whole. The batch of a cancelled call may or
        may not be committed.
        """
        if self._closed:
            raise StoreClosed("the store is closed")
        change_list = list(changes)
        size = self.engine.check(change_list)
        if not change_list:
            return
        pending = _PendingCommit(change_list, size, asyncio.get_running_loop().create_future())
        self._pending_commits.append(pending)
        if not self._writing:
            self._start_next_group()
        await pending.done

    def _start_next_group(self) -> None:
        """Start writing the next group if commits or moves are pending."""
        self._writing = False
        group: list[_PendingCommit] = []
        size, most = 0, self.engine.options.group_bytes
        while self._pending_commits and (not group or size + self._pending_commits[0].size <= most):
            pending = self._pending_commits.popleft()
            if not pending.done.cancelled():
                group.append(pending)
                size += pending.size
        pending_moves, self._pending_moves = self._pending_moves, None
        if not group and pending_moves is None:
            return
        self._writing = True
        batches = [pending.changes for pending in group]
        records = pending_moves[0] if pending_moves else ()
        self._submit(
            lambda: self.engine.write(batches, records),
            lambda written, error: self._group_done(
                group, pending_moves[1] if pending_moves else None, written, error
            ),
        )

    def _group_done(
        self,
        group: Sequence[_PendingCommit],
        moves_done: asyncio.Future[bool] | None,
        written: GroupResult | None,
        error: BaseException | None,
    ) -> None:
        """Apply a group's result to the index and complete the futures of its callers."""
        if written is not None:
            self.engine.apply(written.records)
        for i, pending in enumerate(group):
            failure = error if written is None else written.failures.get(i)
            if pending.done.done():
                continue
            if failure is not None:
                pending.done.set_exception(failure)
            else:
                pending.done.set_result(None)
        if moves_done is not None and not moves_done.done():
            moves_done.set_result(written is not None and written.all_moved)
        # One turn of the loop later, the callers completed here have had the chance to add their next commits
        # to the same group.
        asyncio.get_running_loop().call_soon(self._start_next_group)
        self._start_maintenance()

    # ---- the thread ----------------------------------------------------------------------------------------

    def _submit(self, call: Callable[[], T], done: Callable[[T | None, BaseException | None], None]) -> None:
        """Run a blocking call on the store's thread, then `done` with its result or error on the loop."""
        loop = asyncio.get_running_loop()

        def work() -> None:
            result: T | None = None
            error: BaseException | None = None
            try:
                result = call()
            except StoreError as problem:
                error = problem
            except BaseException as problem:  # a bug here must not leave callers waiting or allow more writes
                error = self.engine.fail(f"{type(problem).__name__}: {problem}")
            try:
                loop.call_soon_threadsafe(done, result, error)
            except RuntimeError:  # the loop was closed without waiting for the store
                pass

        self._thread_calls.put(work)

    def _run_calls(self) -> None:
        """Run the submitted calls in order: the store's thread."""
        while (work := self._thread_calls.get()) is not None:
            work()

    async def _run_on_thread(self, call: Callable[[], T]) -> T:
        """Return the result of a blocking call on the store's thread, where it runs between two groups."""
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        def done(result: Any, error: BaseException | None) -> None:
            if future.done():
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(result)

        self._submit(call, done)
        result: T = await future
        return result

    # ---- cleaning ------------------------------------------------------------------------------------------

    def _start_maintenance(self) -> None:
        """Write the index file of a newly sealed segment, and start cleaning if it is worth it."""
        self._groups += 1
        sealed = self.engine.unindexed()
        if sealed is not None:
            self._submit(lambda: self.engine.write_index(sealed), lambda result, error: None)
        elif self._groups % CLEANING_CHECK_GROUPS:
            return
        idle = self._cleaner is None or self._cleaner.done()
        if (
            idle
            and not self._closed
            and self.engine.failure is None
            and self._now() >= self._clean_after
            and self.engine.cleaning_candidate(self.engine.options.compact_dead_share) is not None
        ):
            self._cleaner = asyncio.get_running_loop().create_task(self._clean_segments())

    async def _clean_segments(self) -> None:
        """Clean segments until none is worth it. Logs errors; a lack of room delays the next attempt."""
        share = self.engine.options.compact_dead_share
        try:
            while (segment := self.engine.cleaning_candidate(share)) is not None:
                async with self._cleaning_lock:
                    if segment.number in self.engine.sealed and not await self._clean_segment(segment, True):
                        self._clean_after = self._now() + CLEANING_RETRY_S
                        return
        except (StoreCorrupt, StoreUnreadable) as error:
            # The damage is logged. Commits and reads continue, the segment is left as it is, and cleaning is
            # not started again.
            self.engine.log("store_cleaning_stopped", why=error)
            self._clean_after = float("inf")
        except StoreError as error:
            self.engine.log("store_cleaning_stopped", why=error)

    async def _clean_segment(self, segment: Segment, paced: bool) -> bool:
        """Move the live records of a segment to the end of the log, then drop the segment.

        `paced` limits the rate of reading. Returns False when there was no room.
        """
        offset, step = HEADER_BYTES, self.engine.options.compact_step_bytes
        while offset < segment.size:
            step_start = offset
            records, offset = await self._run_on_thread(
                partial(self.engine.live_records, segment, step_start, step)
            )
            if records and not await self._move_records(records):
                return False
            if paced:
                speedup = cleaning_speedup(self.engine.disk_bytes, self.engine.options.max_disk_bytes)
                await asyncio.sleep(self._read_limiter.wait(self._now(), offset - step_start, speedup))
        if not await self._run_on_thread(lambda: self.engine.drop(segment)):
            return False
        self.engine.forget_segment(segment)
        return True

    async def _move_records(self, records: Sequence[LocatedRecord]) -> bool:
        """Write records of a segment being cleaned with the next group; return False if there was no room."""
        moves_done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending_moves = records, moves_done
        if not self._writing:
            self._start_next_group()
        return await moves_done

    async def compact(self) -> None:
        """Clean every segment that holds dead bytes, without a limit on the rate.

        Raises StoreFull when there is no room to move the live records, StoreCorrupt, StoreFailed or
        StoreClosed.
        """
        if self._closed:
            raise StoreClosed("the store is closed")
        async with self._cleaning_lock:
            await self._run_on_thread(self.engine.seal)
            while (sealed := self.engine.unindexed()) is not None:
                await self._run_on_thread(partial(self.engine.write_index, sealed))
            for segment in list(self.engine.sealed.values()):
                if self.engine.has_dead_bytes(segment) and not await self._clean_segment(segment, False):
                    raise self.engine.out_of_space("compaction cannot move the live records")

    # ---- reads ---------------------------------------------------------------------------------------------

    def get(self, key: bytes) -> bytes | None:
        """Return the value last committed for a key, or None.

        It is read from the file and blocks for a disk read when the page is not cached. Raises StoreCorrupt
        when the bytes are not what was written, StoreUnreadable, StoreClosed.
        """
        if self._closed:
            raise StoreClosed("the store is closed")
        location = self.engine.index.locations.get(key)
        return None if location is None else self.engine.read(location, key)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Yield the present keys with the prefix and their values, in byte order of the keys.

        A change committed during the scan is seen if the scan has not passed its key yet. Raises as `get`
        does.
        """
        for key in self.engine.index.scan(prefix):
            value = self.get(key)
            if value is not None:
                yield key, value

    def __len__(self) -> int:
        return len(self.engine.index)

    def __contains__(self, key: bytes) -> bool:
        return key in self.engine.index.locations

    def metrics(self) -> dict[str, int | float | str]:
        """Return the current state of the store by name, and the counters that are not zero."""
        engine = self.engine
        live = sum(engine.index.live.values())
        return {
            "id": engine.store_id.hex(),
            "keys": len(engine.index),
            "segments": len(engine.sealed) + 1,
            "disk_bytes": engine.disk_bytes,
            "live_bytes": live,
            "index_bytes": engine.index.memory_bytes,
            "last_batch": engine.last_batch,
            "state": "failed" if engine.failure else "open",
            **dict(sorted(engine.counters.items())),
        }

    @property
    def failure(self) -> StoreFailed | None:
        """The error after which the store is read-only, or None."""
        return self.engine.failure

    # ---- the end -------------------------------------------------------------------------------------------

    async def close(self) -> None:
        """Wait for pending commits, then close the files and unlock the folder.

        Later calls raise StoreClosed.
        """
        if self._closed:
            return
        self._closed = True
        if self._cleaner is not None:
            self._cleaner.cancel()
            await asyncio.gather(self._cleaner, return_exceptions=True)
        while self._writing or self._pending_commits:
            await self._run_on_thread(lambda: None)
        await self._run_on_thread(lambda: None)  # an index file may still be pending
        self.shut()

    def shut(self) -> None:
        """Close without an event loop, for a store with nothing pending. Commits in flight are abandoned."""
        self._closed = True
        self._thread_calls.put(None)
        self._thread.join()
        self.engine.close()
        self.engine.disk.unlock()

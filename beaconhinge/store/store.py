"""The store as other code calls it: commits of many callers share one write and sync, off the loop."""

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
from .engine import Engine, Placed, Segment, Written
from .errors import StoreClosed, StoreCorrupt, StoreError, StoreFailed, StoreLocked, StoreUnreadable
from .options import Options

T = TypeVar("T")
LOOK_EVERY = 256  # groups between two looks for a segment worth cleaning, beside those when one is sealed
AGAIN_AFTER = 5.0  # seconds until cleaning is tried again after it found no room


def _silent(event: str, **fields: object) -> None:
    """Stands for a log where none is wanted."""


@dataclass(slots=True)
class _Waiting:
    changes: Sequence[Change]
    size: int
    done: asyncio.Future[None]


class Store:
    """Bytes by key, kept in one folder by one process. `open` it; all else belongs to one event loop."""

    def __init__(self, engine: Engine, now: Callable[[], float] = time.monotonic) -> None:
        self.engine = engine
        self._now = now
        self._pace = RateLimiter(engine.options.compact_bytes_per_s)
        self._work: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._labour, name="store", daemon=True)
        self._thread.start()
        self._waiting: deque[_Waiting] = deque()
        self._moves: tuple[Sequence[Placed], asyncio.Future[bool]] | None = None
        self._writing = False
        self._closed = False
        self._cleaner: asyncio.Task[None] | None = None
        self._clean_after = 0.0
        self._cleaning = asyncio.Lock()
        self._groups = 0

    @classmethod
    def open(
        cls,
        folder: str | os.PathLike[str],
        options: Options | None = None,
        *,
        disk: Disk | None = None,
        log: Callable[..., None] = _silent,
        now: Callable[[], float] = time.monotonic,
        new_id: Callable[[], bytes] = lambda: os.urandom(16),
    ) -> Store:
        """Recover the folder's store, or make a new one; blocking.

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
        """Make a batch durable, all of it or nothing; later changes of one key in it win.

        Raises StoreTooLarge, StoreFull, StoreFailed or StoreClosed; after these it has not taken place,
        except that after StoreFailed a later start may find it whole. A cancelled call may take place or not.
        """
        if self._closed:
            raise StoreClosed("the store is closed")
        listed = list(changes)
        size = self.engine.check(listed)
        if not listed:
            return
        waiting = _Waiting(listed, size, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        if not self._writing:
            self._next()
        await waiting.done

    def _next(self) -> None:
        """Start the next group if anybody waits for one."""
        self._writing = False
        group: list[_Waiting] = []
        size, most = 0, self.engine.options.group_bytes
        while self._waiting and (not group or size + self._waiting[0].size <= most):
            waiting = self._waiting.popleft()
            if not waiting.done.cancelled():
                group.append(waiting)
                size += waiting.size
        moves, self._moves = self._moves, None
        if not group and moves is None:
            return
        self._writing = True
        batches = [waiting.changes for waiting in group]
        records = moves[0] if moves else ()
        self._submit(
            lambda: self.engine.write(batches, records),
            lambda written, error: self._wrote(group, moves[1] if moves else None, written, error),
        )

    def _wrote(
        self,
        group: Sequence[_Waiting],
        moved: asyncio.Future[bool] | None,
        written: Written | None,
        error: BaseException | None,
    ) -> None:
        if written is not None:
            self.engine.apply(written.placed)
        for i, waiting in enumerate(group):
            why = error if written is None else written.failed.get(i)
            if waiting.done.done():
                continue
            if why is not None:
                waiting.done.set_exception(why)
            else:
                waiting.done.set_result(None)
        if moved is not None and not moved.done():
            moved.set_result(written is not None and written.moved)
        # A turn later those who go on by now have their next commits ready for the same group.
        asyncio.get_running_loop().call_soon(self._next)
        self._look_after()

    # ---- the thread ----------------------------------------------------------------------------------------

    def _submit(self, call: Callable[[], T], done: Callable[[T | None, BaseException | None], None]) -> None:
        loop = asyncio.get_running_loop()

        def work() -> None:
            result: T | None = None
            error: BaseException | None = None
            try:
                result = call()
            except StoreError as problem:
                error = problem
            except BaseException as problem:  # a defect here: nobody may wait for ever, or write after it
                error = self.engine.fail(f"{type(problem).__name__}: {problem}")
            try:
                loop.call_soon_threadsafe(done, result, error)
            except RuntimeError:  # the loop has ended without waiting for the store
                pass

        self._work.put(work)

    def _labour(self) -> None:
        while (work := self._work.get()) is not None:
            work()

    async def _run(self, call: Callable[[], T]) -> T:
        """One blocking call on the store's thread, between two groups."""
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

    def _look_after(self) -> None:
        """After a group: save the index of a segment that was sealed, start cleaning where it is worth it."""
        self._groups += 1
        sealed = self.engine.unindexed()
        if sealed is not None:
            self._submit(lambda: self.engine.write_index(sealed), lambda result, error: None)
        elif self._groups % LOOK_EVERY:
            return
        idle = self._cleaner is None or self._cleaner.done()
        if (
            idle
            and not self._closed
            and self.engine.failure is None
            and self._now() >= self._clean_after
            and self.engine.candidate(self.engine.options.compact_dead_share) is not None
        ):
            self._cleaner = asyncio.get_running_loop().create_task(self._clean_up())

    async def _clean_up(self) -> None:
        share = self.engine.options.compact_dead_share
        try:
            while (segment := self.engine.candidate(share)) is not None:
                async with self._cleaning:
                    if segment.number in self.engine.sealed and not await self._clean(segment, True):
                        self._clean_after = self._now() + AGAIN_AFTER
                        return
        except (StoreCorrupt, StoreUnreadable) as error:
            # Told; what is well goes on, and that segment is left as it is.
            self.engine.log("store_cleaning_stopped", why=error)
            self._clean_after = float("inf")
        except StoreError as error:
            self.engine.log("store_cleaning_stopped", why=error)

    async def _clean(self, segment: Segment, paced: bool) -> bool:
        """Move what is wanted of a segment to the log's end, then drop it. False when there was no room."""
        offset, step = HEADER_BYTES, self.engine.options.compact_step_bytes
        while offset < segment.size:
            before = offset
            records, offset = await self._run(partial(self.engine.records, segment, before, step))
            if records and not await self._move(records):
                return False
            if paced:
                times = cleaning_speedup(self.engine.disk_bytes, self.engine.options.max_disk_bytes)
                await asyncio.sleep(self._pace.wait(self._now(), offset - before, times))
        if not await self._run(lambda: self.engine.drop(segment)):
            return False
        self.engine.dropped(segment)
        return True

    async def _move(self, records: Sequence[Placed]) -> bool:
        moved: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._moves = records, moved
        if not self._writing:
            self._next()
        return await moved

    async def compact(self) -> None:
        """Clean every segment that holds anything no longer wanted, at full speed.

        Raises StoreFull when there is no room to move what is wanted, StoreCorrupt, StoreFailed or
        StoreClosed.
        """
        if self._closed:
            raise StoreClosed("the store is closed")
        async with self._cleaning:
            await self._run(self.engine.seal)
            while (sealed := self.engine.unindexed()) is not None:
                await self._run(partial(self.engine.write_index, sealed))
            for segment in list(self.engine.sealed.values()):
                if self.engine.wasted(segment) and not await self._clean(segment, False):
                    raise self.engine.full("no room to move what is wanted")

    # ---- reads ---------------------------------------------------------------------------------------------

    def get(self, key: bytes) -> bytes | None:
        """The value last committed, or None. Read from the file: a page that is in no cache costs a disk
        read.

        Raises StoreCorrupt when the bytes are not what was written, StoreUnreadable, StoreClosed.
        """
        if self._closed:
            raise StoreClosed("the store is closed")
        where = self.engine.index.locations.get(key)
        return None if where is None else self.engine.read(where, key)

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Present keys with the prefix and their values, in order of the keys' bytes.

        What is committed while the scan goes on counts when its key has not been passed yet.
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
        """Figures of this moment, and the counters that are not zero."""
        engine = self.engine
        live = sum(engine.index.live.values())
        return {
            "id": engine.store_id.hex(),
            "keys": len(engine.index),
            "segments": len(engine.sealed) + 1,
            "disk_bytes": engine.disk_bytes,
            "live_bytes": live,
            "index_bytes": engine.index.memory_bytes,
            "last_batch": engine.batch,
            "state": "failed" if engine.failure else "open",
            **dict(sorted(engine.counters.items())),
        }

    @property
    def failure(self) -> StoreFailed | None:
        """Why nothing can be committed any more, if so."""
        return self.engine.failure

    # ---- the end -------------------------------------------------------------------------------------------

    async def close(self) -> None:
        """Wait for commits under way, then let go of the folder. Later calls raise StoreClosed."""
        if self._closed:
            return
        self._closed = True
        if self._cleaner is not None:
            self._cleaner.cancel()
            await asyncio.gather(self._cleaner, return_exceptions=True)
        while self._writing or self._waiting:
            await self._run(lambda: None)
        await self._run(lambda: None)  # an index file may still be on its way
        self.shut()

    def shut(self) -> None:
        """`close` without an event loop, for when nothing is under way. Commits in flight are abandoned."""
        self._closed = True
        self._work.put(None)
        self._thread.join()
        self.engine.close()
        self.engine.disk.unlock()

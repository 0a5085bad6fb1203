"""How fast a disk makes commits durable, measured where the store is to lie."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from .codec import Put
from .store import Store

VALUE = 200  # bytes


def measure(
    folder: Path | None,
    commits: int,
    writers: int,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> dict[str, int | float]:
    """Commits a second, each of one key of 16 bytes with a value of 200. Raises OSError, StoreError."""
    with tempfile.TemporaryDirectory(prefix="store-bench-", dir=folder) as place:
        bare = bare_appends(Path(place) / "bare", commits)
        progress(1, 3)
        one = asyncio.run(store_commits(Path(place) / "one", commits, 1))
        progress(2, 3)
        many = asyncio.run(store_commits(Path(place) / "many", max(commits, writers), writers))
        progress(3, 3)
    return {
        "bare_appends_per_s": round(bare),
        "one_writer_per_s": round(one),
        "writers": writers,
        "many_writers_per_s": round(many),
        "one_writer_of_bare": round(one / bare, 3),
    }


def bare_appends(file: Path, count: int) -> float:
    """Appends of a frame's bytes with one fdatasync each, a second: the limit for one writer."""
    descriptor = os.open(file, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    data = os.urandom(VALUE + 16 + 23)
    begun = time.perf_counter()
    for _ in range(count):
        os.write(descriptor, data)
        os.fdatasync(descriptor)
    passed = time.perf_counter() - begun
    os.close(descriptor)
    return count / passed


async def store_commits(folder: Path, count: int, writers: int) -> float:
    store = Store.open(folder)
    value = os.urandom(VALUE)
    each = count // writers

    async def write(writer: int) -> None:
        for number in range(each):
            await store.commit([Put(b"%08d%08d" % (writer, number), value)])

    begun = time.perf_counter()
    await asyncio.gather(*(write(writer) for writer in range(writers)))
    passed = time.perf_counter() - begun
    await store.close()
    return each * writers / passed

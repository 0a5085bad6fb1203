"""Measures how many commits a second a disk makes durable, in the folder where the store will be."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from .codec import Put
from .store import Store

VALUE_BYTES = 200


def measure(
    folder: Path | None,
    commits: int,
    writers: int,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> dict[str, int | float]:
    """Measure commits a second; each commit puts one key of 16 bytes with a value of 200 bytes.

    Returns the rates by name. `progress` is called with the steps done and the number of steps. Raises
    OSError or StoreError.
    """
    with tempfile.TemporaryDirectory(prefix="store-bench-", dir=folder) as directory:
        bare_rate = bare_appends(Path(directory) / "bare", commits)
        progress(1, 3)
        one_writer_rate = asyncio.run(store_commits(Path(directory) / "one", commits, 1))
        progress(2, 3)
        many_writers_rate = asyncio.run(
            store_commits(Path(directory) / "many", max(commits, writers), writers)
        )
        progress(3, 3)
    return {
        "bare_appends_per_s": round(bare_rate),
        "one_writer_per_s": round(one_writer_rate),
        "writers": writers,
        "many_writers_per_s": round(many_writers_rate),
        "one_writer_of_bare": round(one_writer_rate / bare_rate, 3),
    }


def bare_appends(file: Path, count: int) -> float:
    """Return how often a second a frame's bytes are appended with one fdatasync each: one writer's limit."""
    descriptor = os.open(file, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    data = os.urandom(VALUE_BYTES + 16 + 23)
    started = time.perf_counter()
    for _ in range(count):
        os.write(descriptor, data)
        os.fdatasync(descriptor)
    elapsed_s = time.perf_counter() - started
    os.close(descriptor)
    return count / elapsed_s


async def store_commits(folder: Path, count: int, writers: int) -> float:
    """Return the commits a second of `writers` concurrent tasks that share `count` commits."""
    store = Store.open(folder)
    value = os.urandom(VALUE_BYTES)
    commits_per_writer = count // writers

    async def write(writer: int) -> None:
        for number in range(commits_per_writer):
            await store.commit([Put(b"%08d%08d" % (writer, number), value)])

    started = time.perf_counter()
    await asyncio.gather(*(write(writer) for writer in range(writers)))
    elapsed_s = time.perf_counter() - started
    await store.close()
    return commits_per_writer * writers / elapsed_s

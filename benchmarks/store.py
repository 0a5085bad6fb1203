"""Compares the store with SQLite, LMDB and bare appends with fdatasync, in one run.

    python benchmarks/store.py [FILE]

Prints a table and writes the same figures as JSON. All files are in one temporary folder beside the JSON
file, so that the same disk is measured. The stores take turns in each round; ratios are taken round by
round, and the medians are printed.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import platform
import resource
import sqlite3
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

import lmdb
import uvloop
from rich.console import Console
from rich.table import Table

from beaconhinge.store import Options, Put, Store
from beaconhinge.store.bench import bare_appends, store_commits
from beaconhinge.store.codec import index_name

VALUE = os.urandom(200)
ROUNDS = 5


def key(number: int) -> bytes:
    """Return the 16-byte key with this number."""
    return b"%016d" % number


# ---- other stores ----------------------------------------------------------------------------------------


def open_sqlite(file: Path) -> sqlite3.Connection:
    """Open a SQLite database that syncs at each commit, and create its table if it has none."""
    database = sqlite3.connect(file, isolation_level=None, timeout=60)
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.execute("CREATE TABLE IF NOT EXISTS t (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID")
    return database


def sqlite_commits(file: Path, count: int, writers: int) -> float:
    """Return SQLite's commits per second, by so many writing threads."""
    open_sqlite(file).close()

    def write(writer: int) -> None:
        database = open_sqlite(file)
        for number in range(count // writers):
            database.execute(
                "INSERT OR REPLACE INTO t VALUES (?, ?)", (b"%08d%08d" % (writer, number), VALUE)
            )
        database.close()

    return _threads(write, writers, count)


def open_lmdb(file: Path) -> Any:
    """Open an LMDB environment of 4 GiB at most."""
    return lmdb.open(str(file), map_size=1 << 32, max_readers=512)


def lmdb_commits(file: Path, count: int, writers: int) -> float:
    """Return LMDB's commits per second, by so many writing threads."""
    database = open_lmdb(file)

    def write(writer: int) -> None:
        for number in range(count // writers):
            with database.begin(write=True) as transaction:
                transaction.put(b"%08d%08d" % (writer, number), VALUE)

    rate = _threads(write, writers, count)
    database.close()
    return rate


def _threads(write: Callable[[int], None], writers: int, count: int) -> float:
    threads = [threading.Thread(target=write, args=(writer,)) for writer in range(writers)]
    start_time = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return count // writers * writers / (time.perf_counter() - start_time)


def sqlite_through_a_thread(file: Path, count: int) -> float:
    """Return SQLite's commits per second as an event loop has to make them: each awaited on a thread."""
    database = sqlite3.connect(file, isolation_level=None, check_same_thread=False)
    open_sqlite(file).close()
    database.execute("PRAGMA synchronous=FULL")

    async def write() -> float:
        start_time = time.perf_counter()
        for number in range(count):
            row = key(number), VALUE
            await asyncio.to_thread(database.execute, "INSERT OR REPLACE INTO t VALUES (?, ?)", row)
        return count / (time.perf_counter() - start_time)

    rate = uvloop.run(write())
    database.close()
    return rate


# ---- figures ---------------------------------------------------------------------------------------------


def commits(folder: Path, count: int) -> dict[str, Any]:
    """Return commits per second of all stores, and their ratios."""
    rounds: dict[str, list[float]] = {}
    for number in range(ROUNDS):
        round_folder = folder / f"commits{number}"
        round_folder.mkdir()
        runs: dict[str, Callable[[], float]] = {
            "bare append + fdatasync": lambda p=round_folder: bare_appends(p / "bare", count),  # type: ignore[misc]
            "store, 1 writer": lambda p=round_folder: uvloop.run(store_commits(p / "s1", count, 1)),  # type: ignore[misc]
            "SQLite, 1 writer": lambda p=round_folder: sqlite_commits(p / "q1", count, 1),  # type: ignore[misc]
            "SQLite by a thread, 1 writer": lambda p=round_folder: sqlite_through_a_thread(p / "qt", count),  # type: ignore[misc]
            "LMDB, 1 writer": lambda p=round_folder: lmdb_commits(p / "l1", count, 1),  # type: ignore[misc]
            "store, 64 writers": lambda p=round_folder: uvloop.run(store_commits(p / "s64", 8 * count, 64)),  # type: ignore[misc]
            "SQLite, 64 writers": lambda p=round_folder: sqlite_commits(p / "q64", count, 64),  # type: ignore[misc]
            "LMDB, 64 writers": lambda p=round_folder: lmdb_commits(p / "l64", count, 64),  # type: ignore[misc]
        }
        for name, run in runs.items():
            rounds.setdefault(name, []).append(run())

    def ratio(a: str, b: str) -> float:
        return median(x / y for x, y in zip(rounds[a], rounds[b], strict=True))

    return {
        **{f"{name}, commits a second": round(median(rates)) for name, rates in rounds.items()},
        "1 writer of bare append (aim 0.6)": ratio("store, 1 writer", "bare append + fdatasync"),
        "1 writer of SQLite's (aim over 1)": ratio("store, 1 writer", "SQLite, 1 writer"),
        "1 writer of SQLite's by a thread": ratio("store, 1 writer", "SQLite by a thread, 1 writer"),
        "64 writers of SQLite's 64 (aim 10)": ratio("store, 64 writers", "SQLite, 64 writers"),
        "64 writers of SQLite's one (aim 10)": ratio("store, 64 writers", "SQLite, 1 writer"),
        "64 writers of LMDB's 64": ratio("store, 64 writers", "LMDB, 64 writers"),
    }


def reads(folder: Path, count: int) -> dict[str, Any]:
    """Return the microseconds of a read in each store, of keys that exist, in a scattered order."""
    order = [key(number * 7919 % count) for number in range(count)]

    async def fill() -> Store:
        store = Store.open(folder / "reads")
        for at in range(0, count, 1000):
            await store.commit([Put(key(number), VALUE) for number in range(at, at + 1000)])
        return store

    store = asyncio.run(fill())
    database = open_sqlite(folder / "reads.db")
    database.execute("BEGIN")
    database.executemany("INSERT INTO t VALUES (?, ?)", ((key(number), VALUE) for number in range(count)))
    database.execute("COMMIT")
    environment = open_lmdb(folder / "reads.lmdb")
    with environment.begin(write=True) as transaction:
        for number in range(count):
            transaction.put(key(number), VALUE)
    rounds: dict[str, list[float]] = {}

    def from_sqlite(wanted: bytes) -> bytes:
        value: bytes = database.execute("SELECT v FROM t WHERE k = ?", (wanted,)).fetchone()[0]
        return value

    for _ in range(ROUNDS):
        for name, get in (("store", store.get), ("SQLite", from_sqlite)):
            start_time = time.perf_counter()
            for wanted in order:
                assert get(wanted)
            rounds.setdefault(name, []).append((time.perf_counter() - start_time) / count * 1e6)
        with environment.begin() as transaction:
            start_time = time.perf_counter()
            for wanted in order:
                assert transaction.get(wanted)
            rounds.setdefault("LMDB", []).append((time.perf_counter() - start_time) / count * 1e6)
    store.shut()
    return {
        **{f"read, {name}, us": median(times) for name, times in rounds.items()},
        "reads a second of SQLite's (aim 2)": median(
            b / a for a, b in zip(rounds["store"], rounds["SQLite"], strict=True)
        ),
    }


# Opens a store; prints the seconds that it took, the number of keys, and the bytes of memory that it uses.
RECOVER = """
import gc, resource, sys, time
from beaconhinge.store import Store

def resident():
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()

before = resident()
start_time = time.perf_counter()
store = Store.open(sys.argv[1])
elapsed = time.perf_counter() - start_time
print(elapsed, len(store), resident() - before)
store.shut()
"""


def recover(folder: Path) -> tuple[float, int, int]:
    """Open a store in a new process; return seconds, number of keys, and bytes of memory."""
    command = [sys.executable, "-c", RECOVER, str(folder)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    elapsed, keys, memory = done.stdout.split()
    return float(elapsed), int(keys), int(memory)


def recovery(folder: Path, sizes: list[int]) -> dict[str, Any]:
    """Measure starts with and without index files, memory per key, and a commit, for each number of keys."""
    figures: dict[str, Any] = {}

    async def fill(store_folder: Path, count: int) -> float:
        store = Store.open(store_folder)
        for at in range(0, count, 1000):
            await store.commit([Put(key(number), VALUE) for number in range(at, at + 1000)])
        start_time = time.perf_counter()
        for number in range(1000):
            await store.commit([Put(key(number), VALUE)])
        elapsed = time.perf_counter() - start_time
        await store.close()
        return elapsed / 1000

    for count in sizes:
        store_folder = folder / f"recovery{count}"
        figures[f"{count:,} keys: a commit, us"] = uvloop.run(fill(store_folder, count)) * 1e6
        gc.collect()
        seconds, keys, memory = min(recover(store_folder) for _ in range(3))
        assert keys == count
        figures[f"{count:,} keys: start with index files, s"] = seconds
        figures[f"{count:,} keys: memory a key, bytes"] = memory / count
        for file in [store_folder / index_name(number) for number in range(1, 1000)]:
            file.unlink(missing_ok=True)
        figures[f"{count:,} keys: start without, s"] = recover(store_folder)[0]
    return figures


def cleaning(folder: Path, count: int) -> dict[str, Any]:
    """Measure the 99th percentile of a commit while old segments are compacted, and while none are."""

    async def run(name: str, dead_share: float) -> tuple[list[float], int]:
        options = Options(segment_bytes=2 * 1024 * 1024, compact_dead_share=dead_share)
        store = Store.open(folder / name, options)
        for at in range(0, 40_000, 1000):
            await store.commit([Put(key(number), VALUE) for number in range(at, at + 1000)])
        waits = []
        for number in range(count):
            changes = [Put(key(number * 97 % 40_000 + i), VALUE) for i in range(10)]
            start_time = time.perf_counter()
            await store.commit(changes)
            waits.append(time.perf_counter() - start_time)
        cleaned = int(store.metrics().get("store_segments_cleaned", 0))
        await store.close()
        return sorted(waits), cleaned

    ratios, rows = [], []
    for number in range(3):
        without, none_cleaned = uvloop.run(run(f"still{number}", 1.0))
        during, cleaned = uvloop.run(run(f"busy{number}", 0.2))
        rows.append((without[int(0.99 * count)], during[int(0.99 * count)], cleaned, none_cleaned))
        ratios.append(rows[-1][1] / rows[-1][0])
    return {
        "commit p99 without cleaning, us": median(r[0] for r in rows) * 1e6,
        "commit p99 while cleaning, us": median(r[1] for r in rows) * 1e6,
        "segments cleaned meanwhile": median(r[2] for r in rows),
        "p99 while cleaning of that without (aim 3)": median(ratios),
    }


def main() -> None:
    """Measure, print a table, and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=Path, default=Path("build/benchmarks/store.json"))
    parser.add_argument("--commits", type=int, default=3000)
    parser.add_argument("--keys", type=int, default=1_000_000)
    options = parser.parse_args()
    figures: dict[str, Any] = {
        "machine": f"{platform.machine()}, {os.cpu_count()} cores, Python "
        f"{platform.python_version()}, {platform.system()} {platform.release()}"
    }
    sizes = [size for size in (10_000, 100_000, 1_000_000) if size <= options.keys]
    options.file.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="bench-", dir=options.file.parent) as temporary:
        folder = Path(temporary)
        figures |= commits(folder, options.commits)
        figures |= reads(folder, min(100_000, options.keys))
        figures |= recovery(folder, sizes)
        figures |= cleaning(folder, 4000)
    figures["peak memory of this run, MB"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    table = Table("figure", "value")
    for name, value in figures.items():
        form = ",.3f" if isinstance(value, float) else "," if isinstance(value, int) else ""
        table.add_row(name, format(value, form))
    Console(width=110).print(table)
    options.file.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()

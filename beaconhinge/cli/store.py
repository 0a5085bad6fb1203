"""`beaconhinge store`: shows, verifies, compacts and repairs a store on disk, and measures the disk."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from ..store import Store
    from ..store.repair import Damage

app = typer.Typer(
    no_args_is_help=True,
    help="Show, verify, compact and repair a store. All commands on a store but verify "
    "need the program that uses it to be stopped.",
)
Folder = Annotated[Path, typer.Argument(exists=True, file_okay=False, help="The store's folder.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]
DAMAGED = 3  # exit status


@contextlib.contextmanager
def _progress_bar(title: str) -> Iterator[Callable[[int, int], None]]:
    """Show a progress bar if standard error is a terminal; yield a function that takes done and total."""
    from rich.console import Console
    from rich.progress import BarColumn, DownloadColumn, Progress, TimeRemainingColumn

    console = Console(stderr=True)
    with Progress(
        title,
        BarColumn(),
        DownloadColumn(),
        TimeRemainingColumn(),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    ) as progress:
        task = progress.add_task(title, total=None)
        yield lambda done, total: progress.update(task, completed=done, total=total)


def _print_figures(figures: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(figures))
        return
    for name, value in figures.items():
        print(f"{name:28} {value:,}" if isinstance(value, int) else f"{name:28} {value}")


def _damage_rows(damage: Sequence[Damage]) -> list[dict[str, Any]]:
    return [{"file": d.file, "offset": d.offset, "bytes": d.size, "reason": d.reason} for d in damage]


def _print_damage_rows(label: str, rows: list[dict[str, Any]]) -> None:
    for row in rows:
        print("{}: {file} at byte {offset}, {bytes} bytes: {reason}".format(label, **row))


def _open(folder: Path) -> Store:
    from ..store import Store, StoreError
    from ..store.codec import MANIFEST

    if not (folder / MANIFEST).exists():  # Store.open would create a store there
        raise StoreError(f"{folder}: no store is in this folder")
    return Store.open(
        folder,
        log=lambda event, **fields: print(
            event, *(f"{key}={value}" for key, value in fields.items()), file=sys.stderr
        ),
    )


@app.command()
def stat(folder: Folder, as_json: AsJson = False) -> int:
    """Print the numbers of keys, bytes and segments.

    This opens the store, which cuts off a torn tail, as every start does.

    Example: beaconhinge store stat /var/lib/beaconhinge --json
    """
    store = _open(folder)
    _print_figures(store.metrics(), as_json)
    store.shut()
    return 0


@app.command()
def verify(folder: Folder, as_json: AsJson = False) -> int:
    """Read every byte and report damage; change nothing.

    Exit status 3 when damage is found.

    Example: beaconhinge store verify /var/lib/beaconhinge
    """
    from ..store import StoreCorrupt
    from ..store.disk import RealDisk
    from ..store.repair import Damage, Verified
    from ..store.repair import verify as check

    try:
        with _progress_bar("verifying") as progress:
            result = check(RealDisk(folder, make=False), progress)
    except StoreCorrupt as error:
        result = Verified(damage=[Damage(error.file, error.offset, 0, error.reason)])
    damage = _damage_rows(result.damage)
    figures = {
        "segments": result.segments,
        "frames": result.frames,
        "bytes": result.size,
        "torn_tail_bytes": result.torn,
        "unusable_indexes": result.indexes_unusable,
    }
    if as_json:
        print(json.dumps({**figures, "well": not damage, "damage": damage}))
    else:
        _print_figures(figures, False)
        _print_damage_rows("damage", damage)
        print("damaged" if damage else "well")
    return DAMAGED if damage else 0


@app.command()
def dump(
    folder: Folder,
    prefix: Annotated[str, typer.Option(help="Print only keys that begin with this.")] = "",
    values: Annotated[bool, typer.Option(help="Print values as well, in hexadecimal.")] = False,
    as_json: AsJson = False,
) -> int:
    """Print the keys in order, with their values' sizes in bytes.

    Example: beaconhinge store dump /var/lib/beaconhinge --prefix books --values
    """
    store = _open(folder)
    try:
        for key, value in store.scan(os.fsencode(prefix)):
            name = key.decode("ascii", "backslashreplace")
            if as_json:
                optional = {"hex": value.hex()} if values else {}
                print(json.dumps({"key": name, "bytes": len(value), **optional}))
            else:
                print(name, len(value), *([value.hex()] if values else []))
    finally:
        store.shut()
    return 0


@app.command()
def compact(folder: Folder, as_json: AsJson = False) -> int:
    """Rewrite every segment with deleted or replaced values.

    This frees the disk space that these values take.

    Example: beaconhinge store compact /var/lib/beaconhinge
    """

    async def compact_store() -> dict[str, Any]:
        store = _open(folder)
        before = store.engine.disk_bytes
        try:
            await store.compact()
            return {"bytes_before": before, "bytes_after": store.engine.disk_bytes, "keys": len(store)}
        finally:
            await store.close()

    _print_figures(asyncio.run(compact_store()), as_json)
    return 0


@app.command()
def repair(
    folder: Folder,
    into: Annotated[Path, typer.Argument(help="A new or empty folder for the salvaged store.")],
    as_json: AsJson = False,
) -> int:
    """Copy every intact batch into a new store and list what was lost. The old folder is not changed.

    Example: beaconhinge store repair /var/lib/beaconhinge /var/lib/beaconhinge-2
    """
    from ..store import Options, StoreLocked
    from ..store.disk import RealDisk
    from ..store.repair import salvage

    if into.exists() and any(into.iterdir()):
        raise typer.BadParameter(f"{into} is not empty: the salvaged store needs a new or empty folder")
    source = RealDisk(folder, make=False)
    try:
        source.lock()
    except BlockingIOError:
        raise StoreLocked(f"{folder}: another process has this store open") from None
    target = RealDisk(into)
    target.lock()
    with _progress_bar("salvaging") as progress:
        result = salvage(
            source, target, Options(), lambda event, **fields: None, lambda: os.urandom(16), progress
        )
    source.unlock()
    target.unlock()
    lost = _damage_rows(result.lost)
    if as_json:
        print(json.dumps({"batches": result.batches, "keys": result.keys, "lost": lost}))
    else:
        _print_figures({"batches": result.batches, "keys": result.keys}, False)
        _print_damage_rows("lost", lost)
    return 0


@app.command()
def bench(
    folder: Annotated[
        Path | None, typer.Argument(help="Folder to measure in; by default a temporary one.")
    ] = None,
    commits: Annotated[int, typer.Option(min=1, max=1_000_000)] = 2000,
    writers: Annotated[int, typer.Option(min=1, max=1000)] = 64,
    as_json: AsJson = False,
) -> int:
    """Measure how many durable commits per second a disk makes.

    The figures are for one writer, for many, and for bare appends with fdatasync.

    Example: beaconhinge store bench /var/lib --commits 5000
    """
    from ..store.bench import measure

    with _progress_bar("measuring") as progress:
        _print_figures(measure(folder, commits, writers, progress), as_json)
    return 0

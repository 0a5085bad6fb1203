"""`beaconhinge store`: look at a store on disk, check it, clean it, salvage it."""

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
    help="Look at, check, clean and salvage a store. All but verify and "
    "repair need the program that uses it to be stopped.",
)
Folder = Annotated[Path, typer.Argument(exists=True, file_okay=False, help="The store's folder.")]
AsJson = Annotated[bool, typer.Option("--json", help="For scripts.")]
BROKEN = 3


@contextlib.contextmanager
def _bar(title: str) -> Iterator[Callable[[int, int], None]]:
    """A progress bar on a terminal, and nothing elsewhere."""
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


def _print(figures: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(figures))
        return
    for name, value in figures.items():
        print(f"{name:28} {value:,}" if isinstance(value, int) else f"{name:28} {value}")


def _listed(damage: Sequence[Damage]) -> list[dict[str, Any]]:
    return [{"file": d.file, "offset": d.offset, "bytes": d.size, "reason": d.reason} for d in damage]


def _print_listed(word: str, rows: list[dict[str, Any]]) -> None:
    for row in rows:
        print("{}: {file} at byte {offset}, {bytes} bytes: {reason}".format(word, **row))


def _open(folder: Path) -> Store:
    from ..store import Store, StoreError
    from ..store.codec import MANIFEST

    if not (folder / MANIFEST).exists():  # opening would make a new store there
        raise StoreError(f"{folder}: no store is in this folder")
    return Store.open(
        folder,
        log=lambda event, **fields: print(
            event, *(f"{key}={value}" for key, value in fields.items()), file=sys.stderr
        ),
    )


@app.command()
def stat(folder: Folder, as_json: AsJson = False) -> int:
    """Keys, bytes and segments. Opens the store, so that a torn tail is cut off as at any start.

    Example: beaconhinge store stat /var/lib/beaconhinge --json
    """
    store = _open(folder)
    _print(store.metrics(), as_json)
    store.shut()
    return 0


@app.command()
def verify(folder: Folder, as_json: AsJson = False) -> int:
    """Read every byte and change nothing. Status 3 when damage is found.

    Example: beaconhinge store verify /var/lib/beaconhinge
    """
    from ..store import StoreCorrupt
    from ..store.disk import RealDisk
    from ..store.repair import Damage, Verified
    from ..store.repair import verify as check

    try:
        with _bar("verifying") as progress:
            found = check(RealDisk(folder, make=False), progress)
    except StoreCorrupt as error:
        found = Verified(damage=[Damage(error.file, error.offset, 0, error.reason)])
    damage = _listed(found.damage)
    figures = {
        "segments": found.segments,
        "frames": found.frames,
        "bytes": found.size,
        "torn_tail_bytes": found.torn,
        "unusable_indexes": found.indexes_unusable,
    }
    if as_json:
        print(json.dumps({**figures, "well": not damage, "damage": damage}))
    else:
        _print(figures, False)
        _print_listed("damage", damage)
        print("damaged" if damage else "well")
    return BROKEN if damage else 0


@app.command()
def dump(
    folder: Folder,
    prefix: Annotated[str, typer.Option(help="Only keys that begin so.")] = "",
    values: Annotated[bool, typer.Option(help="Values as well, in hexadecimal.")] = False,
    as_json: AsJson = False,
) -> int:
    """Present keys in order, one a line.

    Example: beaconhinge store dump /var/lib/beaconhinge --prefix books --values
    """
    store = _open(folder)
    try:
        for key, value in store.scan(os.fsencode(prefix)):
            name = key.decode("ascii", "backslashreplace")
            if as_json:
                told = {"hex": value.hex()} if values else {}
                print(json.dumps({"key": name, "bytes": len(value), **told}))
            else:
                print(name, len(value), *([value.hex()] if values else []))
    finally:
        store.shut()
    return 0


@app.command()
def compact(folder: Folder, as_json: AsJson = False) -> int:
    """Clean every segment that holds anything no longer wanted.

    Example: beaconhinge store compact /var/lib/beaconhinge
    """

    async def work() -> dict[str, Any]:
        store = _open(folder)
        before = store.engine.disk_bytes
        try:
            await store.compact()
            return {"bytes_before": before, "bytes_after": store.engine.disk_bytes, "keys": len(store)}
        finally:
            await store.close()

    _print(asyncio.run(work()), as_json)
    return 0


@app.command()
def repair(
    folder: Folder,
    into: Annotated[Path, typer.Argument(help="A new folder for what is salvaged.")],
    as_json: AsJson = False,
) -> int:
    """Salvage every whole batch into a new folder and list what was lost. The old one stays as it is.

    Example: beaconhinge store repair /var/lib/beaconhinge /var/lib/beaconhinge-2
    """
    from ..store import Options, StoreLocked
    from ..store.disk import RealDisk
    from ..store.repair import salvage

    if into.exists() and any(into.iterdir()):
        raise typer.BadParameter(f"{into} is not empty")
    source = RealDisk(folder, make=False)
    try:
        source.lock()
    except BlockingIOError:
        raise StoreLocked(f"{folder}: another process has this store open") from None
    target = RealDisk(into)
    target.lock()
    with _bar("salvaging") as progress:
        found = salvage(
            source, target, Options(), lambda event, **fields: None, lambda: os.urandom(16), progress
        )
    source.unlock()
    target.unlock()
    lost = _listed(found.lost)
    if as_json:
        print(json.dumps({"batches": found.batches, "keys": found.keys, "lost": lost}))
    else:
        _print({"batches": found.batches, "keys": found.keys}, False)
        _print_listed("lost", lost)
    return 0


@app.command()
def bench(
    folder: Annotated[Path | None, typer.Argument(help="Where; else a temporary folder.")] = None,
    commits: Annotated[int, typer.Option(min=1, max=1_000_000)] = 2000,
    writers: Annotated[int, typer.Option(min=1, max=1000)] = 64,
    as_json: AsJson = False,
) -> int:
    """How fast this disk makes commits durable: by one writer, by many, and bare append with fdatasync.

    Example: beaconhinge store bench /var/lib --commits 5000
    """
    from ..store.bench import measure

    with _bar("measuring") as progress:
        _print(measure(folder, commits, writers, progress), as_json)
    return 0

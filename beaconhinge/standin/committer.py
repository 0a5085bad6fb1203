"""A process that commits without end and prints what was acknowledged, to be killed.

    python -m beaconhinge.standin.committer FOLDER START

Each batch holds two keys of one number, so that half a batch shows; every tenth deletes an earlier one. A
line is written only after its commit has returned.
"""

from __future__ import annotations

import asyncio
import os
import sys

from ..store import Delete, Options, Put, Store

WRITERS = 8
OPTIONS = Options(segment_bytes=16 * 1024, compact_bytes_per_s=64 * 1024 * 1024, compact_dead_share=0.3)


def keys(number: int) -> tuple[bytes, bytes]:
    """Return the two keys of a number."""
    return b"a%09d" % number, b"b%09d" % number


async def run(folder: str, start: int) -> None:
    """Commit from a number on, with several writers, until killed."""
    store = Store.open(folder, OPTIONS)
    os.write(1, b"open\n")
    numbers = iter(range(start, 10**9))

    async def write() -> None:
        for number in numbers:
            first, second = keys(number)
            await store.commit([Put(first, b"%d" % number * 20), Put(second, b"%d" % number * 20)])
            os.write(1, b"put %d\n" % number)
            if number % 10 == 0:
                gone = number - 100
                await store.commit([Delete(key) for key in keys(gone)])
                os.write(1, b"gone %d\n" % gone)

    await asyncio.gather(*(write() for _ in range(WRITERS)))


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], int(sys.argv[2])))
